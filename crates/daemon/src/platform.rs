//! The platform's table service and its list of instances.

mod parts;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use rosemarypond_core::claim::{Read, Record, State, Version, Write};
use rosemarypond_core::config;
use rosemarypond_core::id;
use rosemarypond_core::request::Key;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::agent::agent;
use crate::upstream::Answer;

/// How long an answer of the platform is waited for.
pub const TIMEOUT: Duration = Duration::from_secs(1);
/// The longest answer that is kept under a key, in bytes.
pub const MAX_KEPT_BYTES: usize = 256 * 1024;
/// The row that names the configuration in force.
pub const HEAD: &str = "config/head";

/// Why the platform gave no usable answer.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// No answer came; a write may have taken effect.
    #[error("The platform gave no answer: {0}.")]
    Lost(String),
    /// Another version stands.
    #[error("Another version, {0}, stands in the platform's table.")]
    Conflict(Version),
    /// What stands there is not understood.
    #[error("What the platform holds is not understood: {0}.")]
    Content(String),
}

/// An entry of the platform's list of instances.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Listed {
    /// The instance.
    pub instance: id::Instance,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Where callers and operators reach it.
    pub http: SocketAddr,
    /// Where its peers reach it.
    pub peer: SocketAddr,
}

/// The row that names the configuration in force; its version is the row's.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Head {
    /// The row that lists the rows whose content together is the document.
    pub index: String,
    /// Who wrote it.
    pub operator: String,
}

#[derive(Debug, Deserialize, Serialize)]
struct StoredRecord {
    state: String,
    nonce: String,
    fingerprint: String,
    answer: Option<Answer>,
}

/// Texts of a configuration's parts, by the names of their rows.
type Parts = HashMap<String, Arc<str>>;

/// A client of the platform.
#[derive(Clone, Debug)]
pub struct Client {
    agent: ureq::Agent,
    address: SocketAddr,
    /// The parts of the configuration that was read or written last.
    parts: Arc<Mutex<Parts>>,
}

impl Client {
    /// A client of the platform at an address.
    ///
    /// ```
    /// let client = rosemarypond::platform::Client::new("127.0.0.1:1".parse()?);
    /// assert!(client.instances().is_err());
    /// # Ok::<(), std::net::AddrParseError>(())
    /// ```
    pub fn new(address: SocketAddr) -> Self {
        Self { agent: agent(TIMEOUT), address, parts: Arc::default() }
    }

    /// Reads a row.
    ///
    /// # Errors
    ///
    /// Where no answer came or it is not understood.
    pub fn get(&self, row: &str) -> Result<Option<(Version, Value)>, Error> {
        let url = format!("http://{}/table/{row}", self.address);
        let mut response = self.agent.get(url).call().map_err(lost)?;
        match response.status().as_u16() {
            200 => {}
            404 => return Ok(None),
            status => return Err(Error::Lost(format!("status {status}"))),
        }
        let mut body = json_body(&mut response)?;
        let version = body["version"].as_u64().ok_or_else(|| no_version(&body))?;
        Ok(Some((version, body["value"].take())))
    }

    /// Writes a row where `expected` stands; 0 stands for no row.
    ///
    /// # Errors
    ///
    /// Where another version stands, or no answer came.
    pub fn put(&self, row: &str, expected: Version, value: &Value) -> Result<Version, Error> {
        let url = format!("http://{}/table/{row}?expect={expected}", self.address);
        let mut response = self.agent.put(url).send(value.to_string()).map_err(lost)?;
        let status = response.status().as_u16();
        if status != 200 && status != 409 {
            return Err(Error::Lost(format!("status {status}")));
        }
        let body = json_body(&mut response)?;
        let version = body["version"].as_u64().ok_or_else(|| no_version(&body))?;
        if status == 409 { Err(Error::Conflict(version)) } else { Ok(version) }
    }

    /// The instances that the platform lists.
    ///
    /// # Errors
    ///
    /// Where no answer came or it is not understood.
    pub fn instances(&self) -> Result<Vec<Listed>, Error> {
        let url = format!("http://{}/instances", self.address);
        let mut response = self.agent.get(url).call().map_err(lost)?;
        if response.status() != 200 {
            return Err(Error::Lost(format!("status {}", response.status())));
        }
        let body = json_body(&mut response)?;
        serde_json::from_value(body).map_err(|e| Error::Content(e.to_string()))
    }

    /// Tells the platform where this instance is.
    ///
    /// # Errors
    ///
    /// Where no answer came.
    pub fn announce(&self, own: &Listed) -> Result<(), Error> {
        let url = format!("http://{}/instances/{}", self.address, own.instance);
        let text = serde_json::to_string(own).map_err(|e| Error::Content(e.to_string()))?;
        let response = self.agent.put(url).send(text).map_err(lost)?;
        match response.status().as_u16() {
            200 => Ok(()),
            status => Err(Error::Lost(format!("status {status}"))),
        }
    }

    /// The configuration in force, if it is above `known`.
    ///
    /// # Errors
    ///
    /// Where no answer came or what stands there is not understood.
    pub fn config_above(
        &self,
        known: config::Version,
    ) -> Result<Option<(config::Version, config::Document)>, Error> {
        let Some((version, head)) = self.get(HEAD)? else { return Ok(None) };
        if version <= known.0 {
            return Ok(None);
        }
        let head: Head = serde_json::from_value(head).map_err(|e| Error::Content(e.to_string()))?;
        let index = self.load_row(&head.index)?;
        let names: Vec<String> =
            serde_json::from_value(index).map_err(|e| Error::Content(e.to_string()))?;
        let parts = self.load_parts(&names)?;
        let document = parts::join(parts.iter().map(AsRef::as_ref))
            .map_err(|e| Error::Content(e.to_string()))?;
        document.check().map_err(|e| Error::Content(e.to_string()))?;
        Ok(Some((config::Version(version), document)))
    }

    /// Reads the parts that are not known yet, and forgets all others.
    fn load_parts(&self, names: &[String]) -> Result<Vec<Arc<str>>, Error> {
        let mut loaded = HashMap::new();
        for name in names {
            let known = self.known_parts().get(name).cloned();
            let part = match known {
                Some(part) => part,
                None => self.load_row(name)?.to_string().into(),
            };
            loaded.insert(name.clone(), part);
        }
        let parts = names.iter().map(|name| loaded[name].clone()).collect();
        *self.known_parts() = loaded;
        Ok(parts)
    }

    fn load_row(&self, name: &str) -> Result<Value, Error> {
        let missing = || Error::Content(format!("the row {name} is missing"));
        let (_, value) = self.get(name)?.ok_or_else(missing)?;
        Ok(value)
    }

    fn known_parts(&self) -> MutexGuard<'_, Parts> {
        self.parts.lock().expect("no holder panics")
    }

    /// Puts a document in force where the version `expected` still is.
    ///
    /// Parts that are not known to be there are written first, under names
    /// made from their content, so that the one conditional write of the head
    /// decides between two operators.
    ///
    /// # Errors
    ///
    /// Where another version is in force, or no answer came.
    pub fn put_config(
        &self,
        expected: config::Version,
        document: &config::Document,
        operator: &str,
    ) -> Result<config::Version, Error> {
        let parts = parts::split(document);
        for (name, part) in &parts {
            if !self.known_parts().contains_key(name) {
                self.put_part(name, part)?;
            }
        }
        let names = parts.iter().map(|(name, _)| name.as_str()).collect();
        let (index, names) = parts::named("index", names);
        self.put_part(&index, &names)?;
        let head = Head { index, operator: operator.to_owned() };
        let head = serde_json::to_value(head).map_err(|e| Error::Content(e.to_string()))?;
        self.settle(HEAD, expected.0, &head).map(config::Version)
    }

    /// Writes a part; one that is there already has the same content.
    fn put_part(&self, name: &str, part: &Value) -> Result<(), Error> {
        match self.settle(name, 0, part) {
            Ok(_) | Err(Error::Conflict(_)) => Ok(()),
            Err(e) => Err(e),
        }
    }

    /// Writes a row; where the answer is lost, looks whether it took effect.
    fn settle(&self, row: &str, expected: Version, value: &Value) -> Result<Version, Error> {
        match self.put(row, expected, value) {
            Err(Error::Lost(why)) => match self.get(row)? {
                Some((version, found)) if found == *value => Ok(version),
                Some((version, _)) if version > expected => Err(Error::Conflict(version)),
                _ => Err(Error::Lost(why)),
            },
            other => other,
        }
    }

    /// Reads the record of a key and the answer that is kept with it.
    pub fn read_record(&self, key: &Key) -> (Read, Option<Answer>) {
        match self.get(&record_row(key)) {
            Ok(None) => (Read::Found(None), None),
            Ok(Some((version, value))) => match parse_record(value) {
                Some((record, answer)) => (Read::Found(Some((version, record))), answer),
                None => (Read::Lost, None),
            },
            Err(_) => (Read::Lost, None),
        }
    }

    /// Settles a key whose record says that its request was dispatched; says
    /// whether there was such a record.
    ///
    /// # Errors
    ///
    /// Where the record changed meanwhile, or no answer came.
    pub fn resolve(&self, key: &Key, state: State) -> Result<bool, Error> {
        let row = record_row(key);
        let Some((version, value)) = self.get(&row)? else { return Ok(false) };
        let stored: StoredRecord =
            serde_json::from_value(value).map_err(|e| Error::Content(e.to_string()))?;
        if stored.state != state_name(State::Dispatched) {
            return Ok(false);
        }
        let settled = StoredRecord { state: state_name(state).to_owned(), ..stored };
        let value = serde_json::to_value(settled).map_err(|e| Error::Content(e.to_string()))?;
        self.put(&row, version, &value)?;
        Ok(true)
    }

    /// Writes the record of a key and the answer that is kept with it.
    pub fn write_record(
        &self,
        key: &Key,
        expected: Version,
        record: Record,
        answer: Option<Answer>,
    ) -> Write {
        let stored = StoredRecord {
            state: state_name(record.state).to_owned(),
            nonce: format!("{:016x}", record.nonce),
            fingerprint: format!("{:016x}", record.fingerprint),
            answer: answer.filter(|a| a.body.len() <= MAX_KEPT_BYTES),
        };
        let Ok(value) = serde_json::to_value(stored) else { return Write::Lost };
        match self.put(&record_row(key), expected, &value) {
            Ok(version) => Write::Done(version),
            Err(Error::Conflict(_)) => Write::Conflict,
            Err(_) => Write::Lost,
        }
    }
}

/// The row of a key's record.
///
/// ```
/// use rosemarypond_core::request::Key;
/// let key = Key { team: "osei".parse()?, text: "order-1".into(), fingerprint: 1 };
/// assert!(rosemarypond::platform::record_row(&key).starts_with("keys/"));
/// # Ok::<(), rosemarypond_core::id::Error>(())
/// ```
pub fn record_row(key: &Key) -> String {
    format!("keys/{}", config::digest(format!("{}\n{}", key.team, key.text)))
}

fn state_name(state: State) -> &'static str {
    match state {
        State::Dispatched => "dispatched",
        State::Done => "done",
        State::Closed => "closed",
    }
}

fn parse_record(value: Value) -> Option<(Record, Option<Answer>)> {
    let stored: StoredRecord = serde_json::from_value(value).ok()?;
    let state = match stored.state.as_str() {
        "dispatched" => State::Dispatched,
        "done" => State::Done,
        "closed" => State::Closed,
        _ => return None,
    };
    let nonce = u64::from_str_radix(&stored.nonce, 16).ok()?;
    let fingerprint = u64::from_str_radix(&stored.fingerprint, 16).ok()?;
    Some((Record { state, nonce, fingerprint }, stored.answer))
}

fn lost(error: ureq::Error) -> Error {
    Error::Lost(error.to_string())
}

fn no_version(body: &Value) -> Error {
    Error::Content(format!("no version in {body}"))
}

fn json_body(response: &mut ureq::http::Response<ureq::Body>) -> Result<Value, Error> {
    let limit = rosemarypond_wire::codec::MAX_FRAME_BYTES as u64;
    let text = response.body_mut().with_config().limit(limit).read_to_string().map_err(lost)?;
    serde_json::from_str(&text).map_err(|e| Error::Content(e.to_string()))
}
