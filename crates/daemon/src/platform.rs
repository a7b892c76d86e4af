//! Client of the platform's table service and its list of instances.

mod parts;

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::Method;
use rosemarypond_core::claim::{Read, Record, State, Version, Write};
use rosemarypond_core::config;
use rosemarypond_core::id;
use rosemarypond_core::request::Key;
use rosemarypond_wire::codec::MAX_FRAME_BYTES;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::answer::Answer;
use crate::client;

/// How long an answer of the platform may take.
pub const TIMEOUT: Duration = Duration::from_secs(1);
/// The longest answer that is stored under a key, in bytes.
pub const MAX_KEPT_BYTES: usize = 256 * 1024;
/// The row that refers to the configuration in force.
pub const HEAD_ROW: &str = "config/head";

/// Why the platform gave no usable answer.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// No answer came; a write may have taken effect.
    #[error("The platform gave no answer: {0}.")]
    Lost(String),
    /// The row has another version.
    #[error("Another version, {0}, stands in the platform's table.")]
    Conflict(Version),
    /// The row's content is malformed.
    #[error("What the platform holds is not understood: {0}.")]
    Malformed(String),
}

/// An entry of the platform's list of instances.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Listed {
    /// The instance.
    pub instance: id::Instance,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Its address for callers and operators.
    pub http: SocketAddr,
    /// Its address for peers.
    pub peer: SocketAddr,
}

/// The content of [`HEAD_ROW`]; the row's version is the configuration's.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Head {
    /// The row that lists the rows of the document's parts.
    pub index: String,
    /// The operator who wrote it.
    pub operator: String,
}

#[derive(Debug, Deserialize, Serialize)]
struct StoredRecord {
    state: String,
    nonce: String,
    fingerprint: String,
    answer: Option<Answer>,
}

/// JSON texts of a configuration's parts, by the names of their rows.
type Parts = HashMap<String, Rc<str>>;

/// A client of the platform.
#[derive(Clone, Debug)]
pub struct Client {
    http: Rc<client::Client>,
    address: SocketAddr,
    /// The parts of the last configuration that was read.
    parts: Rc<RefCell<Parts>>,
}

impl Client {
    /// Creates a client of the platform at an address.
    ///
    /// ```
    /// use rosemarypond::platform::Client;
    /// use rosemarypond_edge::thread::Runtime;
    /// let client = Client::new("127.0.0.1:1".parse()?);
    /// assert!(Runtime::new()?.block_on(client.instances()).is_err());
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    pub fn new(address: SocketAddr) -> Self {
        let http = Rc::new(client::Client::new(TIMEOUT, MAX_FRAME_BYTES));
        Self { http, address, parts: Rc::default() }
    }

    async fn call(&self, method: Method, path: &str, body: String) -> Result<Answer, Error> {
        let request = client::request(method, self.address, path, body);
        let request = request.map_err(|e| Error::Malformed(e.to_string()))?;
        self.http.call(self.address, request).await.map_err(|e| Error::Lost(e.to_string()))
    }

    /// Reads a row.
    ///
    /// # Errors
    ///
    /// Where no answer came or it is malformed.
    pub async fn get(&self, row: &str) -> Result<Option<(Version, Value)>, Error> {
        let answer = self.call(Method::GET, &format!("/table/{row}"), String::new()).await?;
        match answer.status {
            200 => {}
            404 => return Ok(None),
            status => return Err(Error::Lost(format!("status {status}"))),
        }
        let mut body = json_body(&answer)?;
        let version = body["version"].as_u64().ok_or_else(|| no_version(&body))?;
        Ok(Some((version, body["value"].take())))
    }

    /// Writes a row on condition that it has the version `expected`, 0 for a row
    /// that does not exist, and returns its new version.
    ///
    /// # Errors
    ///
    /// Where the row has another version, or no answer came.
    pub async fn put(&self, row: &str, expected: Version, value: &Value) -> Result<Version, Error> {
        let path = format!("/table/{row}?expect={expected}");
        let answer = self.call(Method::PUT, &path, value.to_string()).await?;
        let status = answer.status;
        if status != 200 && status != 409 {
            return Err(Error::Lost(format!("status {status}")));
        }
        let body = json_body(&answer)?;
        let version = body["version"].as_u64().ok_or_else(|| no_version(&body))?;
        if status == 409 { Err(Error::Conflict(version)) } else { Ok(version) }
    }

    /// Returns the platform's list of instances.
    ///
    /// # Errors
    ///
    /// Where no answer came or it is malformed.
    pub async fn instances(&self) -> Result<Vec<Listed>, Error> {
        let answer = self.call(Method::GET, "/instances", String::new()).await?;
        if answer.status != 200 {
            return Err(Error::Lost(format!("status {}", answer.status)));
        }
        serde_json::from_value(json_body(&answer)?).map_err(|e| Error::Malformed(e.to_string()))
    }

    /// Adds this instance to the platform's list.
    ///
    /// # Errors
    ///
    /// Where no answer came.
    pub async fn register(&self, own: &Listed) -> Result<(), Error> {
        let path = format!("/instances/{}", own.instance);
        let text = serde_json::to_string(own).map_err(|e| Error::Malformed(e.to_string()))?;
        match self.call(Method::PUT, &path, text).await?.status {
            200 => Ok(()),
            status => Err(Error::Lost(format!("status {status}"))),
        }
    }

    /// Returns the configuration in force, if it is newer than `known`.
    ///
    /// # Errors
    ///
    /// Where no answer came or the configuration is invalid.
    pub async fn config_newer_than(
        &self,
        known: config::Version,
    ) -> Result<Option<(config::Version, config::Document)>, Error> {
        let Some((version, head)) = self.get(HEAD_ROW).await? else { return Ok(None) };
        if version <= known.0 {
            return Ok(None);
        }
        let head: Head =
            serde_json::from_value(head).map_err(|e| Error::Malformed(e.to_string()))?;
        let index = self.load_row(&head.index).await?;
        let names: Vec<String> =
            serde_json::from_value(index).map_err(|e| Error::Malformed(e.to_string()))?;
        let parts = self.load_parts(&names).await?;
        let document = parts::join(parts.iter().map(AsRef::as_ref))
            .map_err(|e| Error::Malformed(e.to_string()))?;
        document.check().map_err(|e| Error::Malformed(e.to_string()))?;
        Ok(Some((config::Version(version), document)))
    }

    /// Reads the parts that are not cached, and drops all others from the cache.
    async fn load_parts(&self, names: &[String]) -> Result<Vec<Rc<str>>, Error> {
        let mut loaded = HashMap::new();
        for name in names {
            let cached = self.parts.borrow().get(name).cloned();
            let part = match cached {
                Some(part) => part,
                None => self.load_row(name).await?.to_string().into(),
            };
            loaded.insert(name.clone(), part);
        }
        let parts = names.iter().map(|name| loaded[name].clone()).collect();
        self.parts.replace(loaded);
        Ok(parts)
    }

    async fn load_row(&self, name: &str) -> Result<Value, Error> {
        let missing = || Error::Malformed(format!("the row {name} is missing"));
        let (_, value) = self.get(name).await?.ok_or_else(missing)?;
        Ok(value)
    }

    fn has_part(&self, name: &str) -> bool {
        self.parts.borrow().contains_key(name)
    }

    /// Puts a document in force on condition that version `expected` is still in
    /// force.
    ///
    /// Parts that are not known to be stored are written first, under names made
    /// from their content, so that the one conditional write of the head decides
    /// between two operators.
    ///
    /// # Errors
    ///
    /// Where another version is in force, or no answer came.
    pub async fn put_config(
        &self,
        expected: config::Version,
        document: &config::Document,
        operator: &str,
    ) -> Result<config::Version, Error> {
        let parts = parts::split(document);
        for (name, part) in &parts {
            if !self.has_part(name) {
                self.put_part(name, part).await?;
            }
        }
        let names = parts.iter().map(|(name, _)| name.as_str()).collect();
        let (index, names) = parts::named("index", names);
        self.put_part(&index, &names).await?;
        let head = Head { index, operator: operator.to_owned() };
        let head = serde_json::to_value(head).map_err(|e| Error::Malformed(e.to_string()))?;
        self.put_confirmed(HEAD_ROW, expected.0, &head).await.map(config::Version)
    }

    /// Writes a part; an existing row of that name has the same content.
    async fn put_part(&self, name: &str, part: &Value) -> Result<(), Error> {
        match self.put_confirmed(name, 0, part).await {
            Ok(_) | Err(Error::Conflict(_)) => Ok(()),
            Err(e) => Err(e),
        }
    }

    /// Writes a row; where the answer is lost, reads the row to see whether the
    /// write took effect.
    async fn put_confirmed(
        &self,
        row: &str,
        expected: Version,
        value: &Value,
    ) -> Result<Version, Error> {
        match self.put(row, expected, value).await {
            Err(Error::Lost(why)) => match self.get(row).await? {
                Some((version, found)) if found == *value => Ok(version),
                Some((version, _)) if version > expected => Err(Error::Conflict(version)),
                _ => Err(Error::Lost(why)),
            },
            other => other,
        }
    }

    /// Reads the record of a key and the answer that is stored with it.
    pub async fn read_record(&self, key: &Key) -> (Read, Option<Answer>) {
        match self.get(&record_row(key)).await {
            Ok(None) => (Read::Found(None), None),
            Ok(Some((version, value))) => match parse_record(value) {
                Some((record, answer)) => (Read::Found(Some((version, record))), answer),
                None => (Read::Lost, None),
            },
            Err(_) => (Read::Lost, None),
        }
    }

    /// Sets the state of a key whose request was dispatched, and reports whether
    /// there was a record in that state.
    ///
    /// # Errors
    ///
    /// Where the record changed meanwhile, or no answer came.
    pub async fn resolve(&self, key: &Key, state: State) -> Result<bool, Error> {
        let row = record_row(key);
        let Some((version, value)) = self.get(&row).await? else { return Ok(false) };
        let stored: StoredRecord =
            serde_json::from_value(value).map_err(|e| Error::Malformed(e.to_string()))?;
        if stored.state != state_name(State::Dispatched) {
            return Ok(false);
        }
        let resolved = StoredRecord { state: state_name(state).to_owned(), ..stored };
        let value = serde_json::to_value(resolved).map_err(|e| Error::Malformed(e.to_string()))?;
        self.put(&row, version, &value).await?;
        Ok(true)
    }

    /// Writes the record of a key with an answer, which is left out where it is
    /// longer than [`MAX_KEPT_BYTES`].
    pub async fn write_record(
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
        match self.put(&record_row(key), expected, &value).await {
            Ok(version) => Write::Done(version),
            Err(Error::Conflict(_)) => Write::Conflict,
            Err(_) => Write::Lost,
        }
    }
}

/// Returns the name of the row with a key's record.
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

fn no_version(body: &Value) -> Error {
    Error::Malformed(format!("no version in {body}"))
}

fn json_body(answer: &Answer) -> Result<Value, Error> {
    serde_json::from_slice(&answer.body).map_err(|e| Error::Malformed(e.to_string()))
}
