//! A stand-in for a plain service, which counts its runs by idempotency key.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use serde_json::json;

use crate::http::{header, read_body, reply, serve};

#[derive(Debug, Default)]
struct State {
    runs: BTreeMap<String, u32>,
    delay: Duration,
}

/// A running plain service.
#[derive(Clone, Debug)]
pub struct Plain {
    /// The address that it listens on.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Plain {
    /// Starts a service on a port picked by the system.
    ///
    /// # Errors
    ///
    /// Where no port can be bound.
    ///
    /// ```
    /// let service = rosemarypond_standin::plain::Plain::start()?;
    /// assert_eq!(service.runs("order-1"), 0);
    /// # Ok::<(), eyre::Report>(())
    /// ```
    pub fn start() -> eyre::Result<Self> {
        let state: Arc<Mutex<State>> = Arc::default();
        let shared = Arc::clone(&state);
        let address = serve(move |request| handle(&shared, request))?;
        Ok(Self { address, state })
    }

    /// Returns how often a request with this idempotency key ran.
    pub fn runs(&self, key: impl AsRef<str>) -> u32 {
        let state = self.state.lock().expect("the lock is not poisoned");
        state.runs.get(key.as_ref()).copied().unwrap_or(0)
    }

    /// Returns how many requests ran, over all keys.
    pub fn total_runs(&self) -> u32 {
        self.state.lock().expect("the lock is not poisoned").runs.values().sum()
    }

    /// Sets how long each request takes.
    pub fn set_delay(&self, delay: Duration) {
        self.state.lock().expect("the lock is not poisoned").delay = delay;
    }
}

fn handle(state: &Mutex<State>, mut request: tiny_http::Request) {
    if request.url() == "/runs" {
        let runs = state.lock().expect("the lock is not poisoned").runs.clone();
        reply(request, 200, json!(runs).to_string());
        return;
    }
    if let Some(delay) = request.url().strip_prefix("/delay/").and_then(|ms| ms.parse().ok()) {
        state.lock().expect("the lock is not poisoned").delay = Duration::from_millis(delay);
        reply(request, 200, "{}");
        return;
    }
    if let Some((_, bytes)) = request.url().rsplit_once("/large/") {
        let body = "x".repeat(bytes.parse().unwrap_or_default());
        reply(request, 200, body);
        return;
    }
    let text = read_body(&mut request);
    let key = header(&request, "Idempotency-Key").unwrap_or_else(|| "-".to_owned());
    let key = key.trim_matches('"').to_owned();
    let delay = {
        let mut state = state.lock().expect("the lock is not poisoned");
        *state.runs.entry(key.clone()).or_default() += 1;
        state.delay
    };
    thread::sleep(delay);
    let id = header(&request, "X-Request-Id");
    reply(request, 200, json!({ "id": id, "key": key, "bytes": text.len() }).to_string());
}
