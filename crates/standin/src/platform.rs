//! A stand-in for the platform: its table, object store and list of instances.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tiny_http::{Method, Request};

use crate::http::{query_parameter, read_body, reply, serve};

/// The faults that the platform injects.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Whether requests get no answer within the daemon's timeout.
    pub down: bool,
    /// The delay of every answer, in milliseconds.
    pub slow_ms: u64,
    /// How many of the next writes take effect without an answer.
    pub lost_answers: u32,
    /// The delay until a change appears in the list of instances, in milliseconds.
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
    instances: BTreeMap<String, (Instant, Value)>,
    reads: u64,
    writes: u64,
}

/// A running platform.
#[derive(Clone, Debug)]
pub struct Platform {
    /// The address that it listens on.
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

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// Writes a row whose version is `expected`, 0 for a new row; returns its new
    /// version.
    ///
    /// # Errors
    ///
    /// Returns the row's version where it is not `expected`.
    pub fn put(&self, key: impl Into<String>, expected: u64, value: Value) -> Result<u64, u64> {
        self.lock().put(key.into(), expected, value)
    }

    /// Returns the value of a row.
    pub fn get(&self, key: impl AsRef<str>) -> Option<Value> {
        self.lock().rows.get(key.as_ref()).map(|row| row.value.clone())
    }

    /// Returns the numbers of reads and of writes received so far.
    pub fn request_counts(&self) -> (u64, u64) {
        let state = self.lock();
        (state.reads, state.writes)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("the lock is not poisoned")
    }
}

impl State {
    fn put(&mut self, key: String, expected: u64, value: Value) -> Result<u64, u64> {
        let current = self.rows.get(&key).map_or(0, |row| row.version);
        if current != expected {
            return Err(current);
        }
        self.rows.insert(key, Row { version: current + 1, value });
        Ok(current + 1)
    }

    fn listed_instances(&self) -> Vec<Value> {
        let lag = Duration::from_millis(self.faults.list_lag_ms);
        let is_visible = |(at, _): &&(Instant, Value)| at.elapsed() >= lag;
        self.instances.values().filter(is_visible).map(|(_, value)| value.clone()).collect()
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
    let faults = state.lock().expect("the lock is not poisoned").faults;
    if faults.down {
        // tiny_http answers a request that is dropped. This one is held until the
        // daemon's timeout of 1 s for the platform is over.
        thread::sleep(Duration::from_secs(3));
        reply(request, 503, "{}");
        return;
    }
    thread::sleep(Duration::from_millis(faults.slow_ms));
    let value = serde_json::from_str(&text).unwrap_or(Value::Null);
    let is_write = *request.method() == Method::Put;
    let (status, answer) = answer(state, is_write, &path, &url, value);
    if is_write && status == 200 && consume_lost_answer(state) {
        drop(request.into_writer());
        return;
    }
    reply(request, status, answer.to_string());
}

fn consume_lost_answer(state: &Mutex<State>) -> bool {
    let mut state = state.lock().expect("the lock is not poisoned");
    let is_lost = state.faults.lost_answers > 0;
    state.faults.lost_answers = state.faults.lost_answers.saturating_sub(1);
    is_lost
}

fn control(state: &Mutex<State>, request: Request, text: &str) {
    match serde_json::from_str(text) {
        Ok(faults) => {
            state.lock().expect("the lock is not poisoned").faults = faults;
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
    let mut state = state.lock().expect("the lock is not poisoned");
    if is_write {
        state.writes += 1;
    } else {
        state.reads += 1;
    }
    if path == "/instances" {
        return (200, Value::Array(state.listed_instances()));
    }
    if let Some(id) = path.strip_prefix("/instances/") {
        state.instances.insert(id.to_owned(), (Instant::now(), value));
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
