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
const CACHED_PROMPTS: usize = 64;

/// How an engine behaves.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Behaviour {
    /// Prompt tokens that it processes in a second.
    pub prefill_per_s: u32,
    /// The time between two tokens, in milliseconds.
    pub token_ms: u64,
    /// How many requests it batches; more wait inside it.
    pub batch: usize,
    /// Slows everything down by this factor.
    pub slowdown: u32,
    /// Whether streams stop moving while their connections stay open.
    pub silent: bool,
    /// How many of the next streams break off after their second token.
    pub breaks: u32,
    /// How many of the next third tokens carry the id of another request.
    pub foreign: u32,
    /// How old its load report is, in milliseconds.
    pub report_lag_ms: u64,
    /// Every so many cache events one is lost; 0 for none.
    pub lost_event_every: u64,
    /// Whether it says that it leaves.
    pub leaving: bool,
    /// Whether it refuses orders that carry an old fencing number.
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
    order: VecDeque<String>,
    cached: VecDeque<u64>,
    events: Vec<Value>,
    event_count: u64,
    fence: u64,
}

/// A running engine.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Where it listens.
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

    /// Changes how it behaves.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        self.state.lock().expect("no holder panics").behaviour = behaviour;
    }

    /// How many requests run on it.
    pub fn running(&self) -> usize {
        self.state.lock().expect("no holder panics").running
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
            state.lock().expect("no holder panics").behaviour = behaviour;
            reply(request, 200, "{}");
        }
        Err(e) => reply(request, 400, json!({ "error": e.to_string() }).to_string()),
    }
}

fn load(state: &Mutex<State>, request: Request) {
    let mut state = state.lock().expect("no holder panics");
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
    let state = state.lock().expect("no holder panics");
    let list = json!(state.events.get(from..).unwrap_or_default());
    drop(state);
    reply(request, 200, list.to_string());
}

fn order(state: &Mutex<State>, mut request: Request) {
    let order: Value = serde_json::from_str(&read_body(&mut request)).unwrap_or(Value::Null);
    let fence = order["fence"].as_u64().unwrap_or(0);
    let mut state = state.lock().expect("no holder panics");
    let refused = state.behaviour.fenced && fence < state.fence;
    state.fence = state.fence.max(fence);
    let latest = state.fence;
    drop(state);
    let status = if refused { 409 } else { 200 };
    reply(request, status, json!({ "fence": latest }).to_string());
}

fn cancel(state: &Mutex<State>, request: Request, id: &str) {
    if let Some(stream) = state.lock().expect("no holder panics").streams.get_mut(id) {
        stream.cancelled = true;
    }
    reply(request, 200, "{}");
}

fn resume(state: &Mutex<State>, request: Request, id: &str) {
    let from: usize =
        query_parameter(request.url(), "from").and_then(|f| f.parse().ok()).unwrap_or(0);
    if !state.lock().expect("no holder panics").streams.contains_key(id) {
        reply(request, 404, "{}");
        return;
    }
    send_stream(state, request, id, from);
}

struct Prompt {
    id: String,
    words: Vec<String>,
    tokens: u32,
    digest: u64,
    streams: bool,
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
        digest: hasher.finish(),
        streams: value["stream"].as_bool().unwrap_or(false),
    }
}

fn complete(state: &Mutex<State>, mut request: Request) {
    let prompt = read_prompt(&mut request);
    admit(state, &prompt);
    prefill(state, &prompt);
    if prompt.streams {
        send_stream(state, request, &prompt.id, 0);
    } else {
        send_whole(state, request, &prompt);
    }
    state.lock().expect("no holder panics").running -= 1;
}

fn admit(state: &Mutex<State>, prompt: &Prompt) {
    let mut locked = state.lock().expect("no holder panics");
    let stream = Stream { words: prompt.words.clone(), cancelled: false };
    locked.streams.insert(prompt.id.clone(), stream);
    locked.order.push_back(prompt.id.clone());
    if locked.order.len() > MAX_STREAMS
        && let Some(oldest) = locked.order.pop_front()
    {
        locked.streams.remove(&oldest);
    }
    while locked.running >= locked.behaviour.batch {
        drop(locked);
        thread::sleep(Duration::from_millis(1));
        locked = state.lock().expect("no holder panics");
    }
    locked.running += 1;
}

fn prefill(state: &Mutex<State>, prompt: &Prompt) {
    let (work, slowdown) = {
        let mut locked = state.lock().expect("no holder panics");
        let hit = locked.cached.contains(&prompt.digest);
        if !hit {
            locked.store(prompt.digest);
        }
        let tokens = if hit { 1 } else { prompt.tokens };
        let rate = f64::from(locked.behaviour.prefill_per_s.max(1));
        (f64::from(tokens) / rate, locked.behaviour.slowdown)
    };
    thread::sleep(Duration::from_secs_f64(work * f64::from(slowdown)));
}

impl State {
    fn store(&mut self, digest: u64) {
        self.cached.push_back(digest);
        self.publish(json!({ "stored": digest }));
        if self.cached.len() > CACHED_PROMPTS
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

fn send_whole(state: &Mutex<State>, request: Request, prompt: &Prompt) {
    let behaviour = state.lock().expect("no holder panics").behaviour;
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
    let words = state.lock().expect("no holder panics").streams.get(id).map(|s| s.words.clone());
    let Ok(mut chunks) = Chunks::begin(request) else { return };
    for (place, word) in words.unwrap_or_default().iter().enumerate().skip(from) {
        if !waits_for_token(state, id, place) {
            return;
        }
        if place == 2 && takes_foreign(state) {
            let piece = json!({ "id": "0", "choices": [{ "delta": { "content": "foreign" } }] });
            let _ = chunks.send(format!("data: {piece}\n\n"));
            return;
        }
        let piece = json!({ "id": id, "choices": [{ "index": 0, "delta": { "content": word } }] });
        if chunks.send(format!("data: {piece}\n\n")).is_err() {
            return;
        }
    }
    let _ = chunks.send("data: [DONE]\n\n").and_then(|()| chunks.end());
}

fn takes_foreign(state: &Mutex<State>) -> bool {
    let mut locked = state.lock().expect("no holder panics");
    let takes = locked.behaviour.foreign > 0;
    locked.behaviour.foreign = locked.behaviour.foreign.saturating_sub(1);
    takes
}

/// Waits for the next token; says no where the stream breaks off.
fn waits_for_token(state: &Mutex<State>, id: &str, place: usize) -> bool {
    loop {
        let mut locked = state.lock().expect("no holder panics");
        if locked.streams.get(id).is_none_or(|s| s.cancelled) {
            return false;
        }
        if place == 2 && locked.behaviour.breaks > 0 {
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
