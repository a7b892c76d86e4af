//! A stand-in for the platform: table, object store and list of instances.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tiny_http::{Method, Request};

use crate::http::{query_parameter, read_body, reply, serve};

/// The switches for the platform's faults.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Whether every request is left without an answer.
    pub down: bool,
    /// How long every answer is held back, in milliseconds.
    pub slow_ms: u64,
    /// How many of the next writes take effect while their answer is lost.
    pub lost_answers: u32,
    /// How long a change takes to appear in the list, in milliseconds.
    pub list_lag_ms: u64,
}

#[derive(Clone, Debug)]
struct Row {
    version: u64,
    value: Value,
}

#[derive(Debug, Default)]
struct State {
    faults: Faults,
    rows: BTreeMap<String, Row>,
    listed: BTreeMap<String, (Instant, Value)>,
    reads: u64,
    writes: u64,
}

/// A running platform.
#[derive(Clone, Debug)]
pub struct Platform {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Platform {
    /// Starts a platform on a port picked by the system.
    ///
    /// # Errors
    ///
    /// Where no port can be bound.
    ///
    /// ```
    /// let platform = rosemarypond_standin::platform::Platform::start()?;
    /// assert_eq!(platform.put("config", 0, serde_json::json!({})), Ok(1));
    /// # Ok::<(), eyre::Report>(())
    /// ```
    pub fn start() -> eyre::Result<Self> {
        let state = Arc::new(Mutex::new(State::default()));
        let shared = Arc::clone(&state);
        let address = serve(move |request| handle(&shared, request))?;
        Ok(Self { address, state })
    }

    /// Sets the switches.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// Writes a row where `expected` stands; gives the version that now stands.
    ///
    /// # Errors
    ///
    /// Gives the version that stands where it is another one.
    pub fn put(&self, key: impl Into<String>, expected: u64, value: Value) -> Result<u64, u64> {
        self.lock().put(key.into(), expected, value)
    }

    /// The value of a row.
    pub fn get(&self, key: impl AsRef<str>) -> Option<Value> {
        self.lock().rows.get(key.as_ref()).map(|row| row.value.clone())
    }

    /// How many reads and writes came so far.
    pub fn request_counts(&self) -> (u64, u64) {
        let state = self.lock();
        (state.reads, state.writes)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }
}

impl State {
    fn put(&mut self, key: String, expected: u64, value: Value) -> Result<u64, u64> {
        let stands = self.rows.get(&key).map_or(0, |row| row.version);
        if stands != expected {
            return Err(stands);
        }
        self.rows.insert(key, Row { version: stands + 1, value });
        Ok(stands + 1)
    }

    fn list(&self) -> Vec<Value> {
        let lag = Duration::from_millis(self.faults.list_lag_ms);
        let old = |(at, _): &&(Instant, Value)| at.elapsed() >= lag;
        self.listed.values().filter(old).map(|(_, value)| value.clone()).collect()
    }
}

fn handle(state: &Mutex<State>, mut request: Request) {
    let url = request.url().to_owned();
    let path = url.split('?').next().unwrap_or_default().to_owned();
    let text = read_body(&mut request);
    if path == "/control" {
        control(state, request, &text);
        return;
    }
    let faults = state.lock().expect("no holder panics").faults;
    if faults.down {
        // Dropping the request would answer it; an outage gives no answer.
        thread::sleep(Duration::from_secs(3));
        reply(request, 503, "{}");
        return;
    }
    thread::sleep(Duration::from_millis(faults.slow_ms));
    let value = serde_json::from_str(&text).unwrap_or(Value::Null);
    let is_write = *request.method() == Method::Put;
    let (status, answer) = answer(state, is_write, &path, &url, value);
    if is_write && status == 200 && loses_answer(state) {
        drop(request.into_writer());
        return;
    }
    reply(request, status, answer.to_string());
}

fn loses_answer(state: &Mutex<State>) -> bool {
    let mut state = state.lock().expect("no holder panics");
    let loses = state.faults.lost_answers > 0;
    state.faults.lost_answers = state.faults.lost_answers.saturating_sub(1);
    loses
}

fn control(state: &Mutex<State>, request: Request, text: &str) {
    match serde_json::from_str(text) {
        Ok(faults) => {
            state.lock().expect("no holder panics").faults = faults;
            reply(request, 200, "{}");
        }
        Err(e) => reply(request, 400, json!({ "error": e.to_string() }).to_string()),
    }
}

fn answer(
    state: &Mutex<State>,
    is_write: bool,
    path: &str,
    url: &str,
    value: Value,
) -> (u16, Value) {
    let mut state = state.lock().expect("no holder panics");
    if is_write {
        state.writes += 1;
    } else {
        state.reads += 1;
    }
    if path == "/instances" {
        return (200, Value::Array(state.list()));
    }
    if let Some(id) = path.strip_prefix("/instances/") {
        state.listed.insert(id.to_owned(), (Instant::now(), value));
        return (200, json!({}));
    }
    let Some(key) = path.strip_prefix("/table/").or(path.strip_prefix("/object/")) else {
        return (404, json!({ "error": "There is no such path." }));
    };
    if !is_write {
        return match state.rows.get(key) {
            Some(row) => (200, json!({ "version": row.version, "value": row.value })),
            None => (404, json!({})),
        };
    }
    let Some(expected) = query_parameter(url, "expect").and_then(|e| e.parse().ok()) else {
        return (400, json!({ "error": "A write needs '?expect=VERSION'." }));
    };
    match state.put(key.to_owned(), expected, value) {
        Ok(version) => (200, json!({ "version": version })),
        Err(version) => (409, json!({ "version": version })),
    }
}
