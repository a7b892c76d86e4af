//! A stand-in for a model engine with continuous batching.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tiny_http::{Method, Request};

use crate::http::{Chunks, header, query_parameter, read_body, reply, serve};

const MAX_STREAMS: usize = 4_096;
const MAX_CACHED_PROMPTS: usize = 64;

/// The speed, capacity and faults of an engine.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Behaviour {
    /// Prompt tokens that it processes per second.
    pub prefill_per_s: u32,
    /// The time between two tokens, in milliseconds.
    pub token_ms: u64,
    /// How many requests run at once; further ones wait inside the engine.
    pub batch: usize,
    /// The factor by which prefill and tokens are slowed down.
    pub slowdown: u32,
    /// Whether streams stall while their connections stay open.
    pub silent: bool,
    /// How many of the next streams break off after their second token.
    pub breaks: u32,
    /// How many of the next streams end with an event of another request instead of
    /// their third token.
    pub foreign: u32,
    /// The age of the count in its load report, in milliseconds.
    pub report_lag_ms: u64,
    /// Each cache event whose number is a multiple of this is lost; 0 for no loss.
    pub lost_event_every: u64,
    /// Whether it reports that it is leaving.
    pub leaving: bool,
    /// Whether it refuses orders with a lower fencing token than the highest seen.
    pub fenced: bool,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            prefill_per_s: 8_000,
            token_ms: 2,
            batch: 64,
            slowdown: 1,
            silent: false,
            breaks: 0,
            foreign: 0,
            report_lag_ms: 500,
            lost_event_every: 7,
            leaving: false,
            fenced: true,
        }
    }
}

#[derive(Clone, Debug, Default)]
struct Stream {
    words: Vec<String>,
    cancelled: bool,
}

#[derive(Debug, Default)]
struct State {
    behaviour: Behaviour,
    running: usize,
    reports: VecDeque<(Instant, usize)>,
    streams: HashMap<String, Stream>,
    stream_order: VecDeque<String>,
    cached: VecDeque<u64>,
    events: Vec<Value>,
    event_count: u64,
    fence: u64,
}

/// A running engine.
#[derive(Clone, Debug)]
pub struct Engine {
    /// The address that it listens on.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Engine {
    /// Starts an engine on a port picked by the system.
    ///
    /// # Errors
    ///
    /// Where no port can be bound.
    ///
    /// ```
    /// use rosemarypond_standin::engine::{Behaviour, Engine};
    /// let engine = Engine::start(Behaviour::default())?;
    /// assert_eq!(engine.running(), 0);
    /// # Ok::<(), eyre::Report>(())
    /// ```
    pub fn start(behaviour: Behaviour) -> eyre::Result<Self> {
        let state = Arc::new(Mutex::new(State { behaviour, ..State::default() }));
        let shared = Arc::clone(&state);
        let address = serve(move |request| handle(&shared, request))?;
        Ok(Self { address, state })
    }

    /// Replaces its behaviour.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        self.state.lock().expect("the lock is not poisoned").behaviour = behaviour;
    }

    /// Returns how many requests run on it.
    pub fn running(&self) -> usize {
        self.state.lock().expect("the lock is not poisoned").running
    }
}

fn handle(state: &Mutex<State>, request: Request) {
    let path = request.url().split('?').next().unwrap_or_default().to_owned();
    let stream = path.strip_prefix("/v1/streams/").map(str::to_owned);
    match (request.method().clone(), path.as_str(), stream) {
        (Method::Post, "/v1/chat/completions", _) => complete(state, request),
        (Method::Get, _, Some(id)) => resume(state, request, &id),
        (Method::Delete, _, Some(id)) => cancel(state, request, &id),
        (Method::Get, "/load", _) => load(state, request),
        (Method::Get, "/events", _) => events(state, request),
        (Method::Post, "/orders", _) => order(state, request),
        (Method::Post, "/control", _) => control(state, request),
        _ => reply(request, 404, "{}"),
    }
}

fn control(state: &Mutex<State>, mut request: Request) {
    let text = read_body(&mut request);
    match serde_json::from_str(&text) {
        Ok(behaviour) => {
            state.lock().expect("the lock is not poisoned").behaviour = behaviour;
            reply(request, 200, "{}");
        }
        Err(e) => reply(request, 400, json!({ "error": e.to_string() }).to_string()),
    }
}

fn load(state: &Mutex<State>, request: Request) {
    let mut state = state.lock().expect("the lock is not poisoned");
    let now = Instant::now();
    let running = state.running;
    state.reports.push_back((now, running));
    let lag = Duration::from_millis(state.behaviour.report_lag_ms);
    while state.reports.len() > 1 && now - state.reports[1].0 >= lag {
        state.reports.pop_front();
    }
    let report = json!({ "running": state.reports[0].1, "leaving": state.behaviour.leaving });
    drop(state);
    reply(request, 200, report.to_string());
}

fn events(state: &Mutex<State>, request: Request) {
    let from: usize =
        query_parameter(request.url(), "from").and_then(|f| f.parse().ok()).unwrap_or(0);
    let state = state.lock().expect("the lock is not poisoned");
    let list = json!(state.events.get(from..).unwrap_or_default());
    drop(state);
    reply(request, 200, list.to_string());
}

fn order(state: &Mutex<State>, mut request: Request) {
    let order: Value = serde_json::from_str(&read_body(&mut request)).unwrap_or(Value::Null);
    let fence = order["fence"].as_u64().unwrap_or(0);
    let mut state = state.lock().expect("the lock is not poisoned");
    let refused = state.behaviour.fenced && fence < state.fence;
    state.fence = state.fence.max(fence);
    let latest = state.fence;
    drop(state);
    let status = if refused { 409 } else { 200 };
    reply(request, status, json!({ "fence": latest }).to_string());
}

fn cancel(state: &Mutex<State>, request: Request, id: &str) {
    if let Some(stream) = state.lock().expect("the lock is not poisoned").streams.get_mut(id) {
        stream.cancelled = true;
    }
    reply(request, 200, "{}");
}

fn resume(state: &Mutex<State>, request: Request, id: &str) {
    let from: usize =
        query_parameter(request.url(), "from").and_then(|f| f.parse().ok()).unwrap_or(0);
    if !state.lock().expect("the lock is not poisoned").streams.contains_key(id) {
        reply(request, 404, "{}");
        return;
    }
    send_stream(state, request, id, from);
}

struct Prompt {
    id: String,
    words: Vec<String>,
    tokens: u32,
    prefix_hash: u64,
    is_streamed: bool,
}

fn read_prompt(request: &mut Request) -> Prompt {
    use std::hash::{DefaultHasher, Hash, Hasher};
    let text = read_body(request);
    let value: Value = serde_json::from_str(&text).unwrap_or(Value::Null);
    let count = value["max_tokens"].as_u64().unwrap_or(16);
    let last = value["messages"].as_array().and_then(|m| m.last());
    let content = last.and_then(|m| m["content"].as_str()).unwrap_or("").to_owned();
    let mut hasher = DefaultHasher::new();
    content.chars().take(256).collect::<String>().hash(&mut hasher);
    let words = content.split_whitespace().cycle().take(count as usize).map(str::to_owned);
    Prompt {
        id: header(request, "X-Request-Id").unwrap_or_default(),
        words: words.collect(),
        tokens: (text.len() / 4) as u32,
        prefix_hash: hasher.finish(),
        is_streamed: value["stream"].as_bool().unwrap_or(false),
    }
}

fn complete(state: &Mutex<State>, mut request: Request) {
    let prompt = read_prompt(&mut request);
    admit(state, &prompt);
    prefill(state, &prompt);
    if prompt.is_streamed {
        send_stream(state, request, &prompt.id, 0);
    } else {
        send_unstreamed(state, request, &prompt);
    }
    state.lock().expect("the lock is not poisoned").running -= 1;
}

fn admit(state: &Mutex<State>, prompt: &Prompt) {
    let mut locked = state.lock().expect("the lock is not poisoned");
    let stream = Stream { words: prompt.words.clone(), cancelled: false };
    locked.streams.insert(prompt.id.clone(), stream);
    locked.stream_order.push_back(prompt.id.clone());
    if locked.stream_order.len() > MAX_STREAMS
        && let Some(oldest) = locked.stream_order.pop_front()
    {
        locked.streams.remove(&oldest);
    }
    while locked.running >= locked.behaviour.batch {
        drop(locked);
        thread::sleep(Duration::from_millis(1));
        locked = state.lock().expect("the lock is not poisoned");
    }
    locked.running += 1;
}

fn prefill(state: &Mutex<State>, prompt: &Prompt) {
    let (seconds, slowdown) = {
        let mut locked = state.lock().expect("the lock is not poisoned");
        let is_cached = locked.cached.contains(&prompt.prefix_hash);
        if !is_cached {
            locked.cache_prompt(prompt.prefix_hash);
        }
        let tokens = if is_cached { 1 } else { prompt.tokens };
        let rate = f64::from(locked.behaviour.prefill_per_s.max(1));
        (f64::from(tokens) / rate, locked.behaviour.slowdown)
    };
    thread::sleep(Duration::from_secs_f64(seconds * f64::from(slowdown)));
}

impl State {
    fn cache_prompt(&mut self, prefix_hash: u64) {
        self.cached.push_back(prefix_hash);
        self.publish(json!({ "stored": prefix_hash }));
        if self.cached.len() > MAX_CACHED_PROMPTS
            && let Some(evicted) = self.cached.pop_front()
        {
            self.publish(json!({ "evicted": evicted }));
        }
    }

    fn publish(&mut self, event: Value) {
        self.event_count += 1;
        let every = self.behaviour.lost_event_every;
        if every == 0 || !self.event_count.is_multiple_of(every) {
            self.events.push(event);
        }
    }
}

fn send_unstreamed(state: &Mutex<State>, request: Request, prompt: &Prompt) {
    let behaviour = state.lock().expect("the lock is not poisoned").behaviour;
    let gap = behaviour.token_ms * u64::from(behaviour.slowdown);
    thread::sleep(Duration::from_millis(gap * prompt.words.len() as u64));
    let answer = json!({
        "id": prompt.id,
        "choices": [{ "message": { "role": "assistant", "content": prompt.words.join(" ") } }],
        "usage": { "completion_tokens": prompt.words.len() },
    });
    reply(request, 200, answer.to_string());
}

fn send_stream(state: &Mutex<State>, request: Request, id: &str, from: usize) {
    let words =
        state.lock().expect("the lock is not poisoned").streams.get(id).map(|s| s.words.clone());
    let Ok(mut chunks) = Chunks::begin(request) else { return };
    for (index, word) in words.unwrap_or_default().iter().enumerate().skip(from) {
        if !wait_for_token(state, id, index) {
            return;
        }
        if index == 2 && consume_foreign_fault(state) {
            let event = json!({ "id": "0", "choices": [{ "delta": { "content": "foreign" } }] });
            let _ = chunks.send(format!("data: {event}\n\n"));
            return;
        }
        let event = json!({ "id": id, "choices": [{ "index": 0, "delta": { "content": word } }] });
        if chunks.send(format!("data: {event}\n\n")).is_err() {
            return;
        }
    }
    let _ = chunks.send("data: [DONE]\n\n").and_then(|()| chunks.end());
}

fn consume_foreign_fault(state: &Mutex<State>) -> bool {
    let mut locked = state.lock().expect("the lock is not poisoned");
    let is_foreign = locked.behaviour.foreign > 0;
    locked.behaviour.foreign = locked.behaviour.foreign.saturating_sub(1);
    is_foreign
}

/// Waits for the next token; returns `false` where the stream breaks off before it.
fn wait_for_token(state: &Mutex<State>, id: &str, index: usize) -> bool {
    loop {
        let mut locked = state.lock().expect("the lock is not poisoned");
        if locked.streams.get(id).is_none_or(|s| s.cancelled) {
            return false;
        }
        if index == 2 && locked.behaviour.breaks > 0 {
            locked.behaviour.breaks -= 1;
            return false;
        }
        let behaviour = locked.behaviour;
        drop(locked);
        let gap = behaviour.token_ms * u64::from(behaviour.slowdown);
        thread::sleep(Duration::from_millis(gap));
        if !behaviour.silent {
            return true;
        }
    }
}
