//! Calls of upstreams: each request is sent once; broken streams are resumed.

use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::sync::mpsc::Sender;
use std::thread;
use std::time::Duration;

use rosemarypond_core::claim::Ended;
use rosemarypond_core::config::Kind;
use rosemarypond_core::id;
use rosemarypond_core::request::Repeat;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::gateway::Note;

/// How long a connection may take to open.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long an order to cancel a stream may take.
pub const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);
/// The stack of a thread that reads an answer, in bytes.
pub const STACK_BYTES: usize = 256 * 1024;
/// The buffers of a connection, in bytes.
const BUFFER_BYTES: usize = 8 * 1024;
/// The longest answer that is not streamed, in bytes.
pub const MAX_ANSWER_BYTES: u64 = 16 * 1024 * 1024;

/// A whole answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Answer {
    /// Its HTTP status.
    pub status: u16,
    /// Its media type.
    pub content_type: String,
    /// Its body.
    pub body: Vec<u8>,
}

/// A request as it is sent to an upstream.
#[derive(Clone, Debug)]
pub struct Call {
    /// The request.
    pub id: id::Request,
    /// Its HTTP method.
    pub method: String,
    /// Its path and query.
    pub path: String,
    /// The media type of its body.
    pub content_type: Option<String>,
    /// Its idempotency key.
    pub key: Option<String>,
    /// Its body.
    pub body: Vec<u8>,
    /// Whether its answer is streamed.
    pub streams: bool,
    /// Whether it may be repeated.
    pub repeat: Repeat,
    /// How long it may take.
    pub limit: Duration,
}

/// Where a call goes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// The upstream.
    pub upstream: id::Upstream,
    /// Its address.
    pub address: SocketAddr,
    /// What kind of server it is.
    pub kind: Kind,
}

/// What reading an answer brings, with the number of the try that it is from.
#[derive(Clone, Debug)]
pub enum Piece {
    /// One event of a stream.
    Event(Vec<u8>),
    /// A whole answer that was not streamed.
    Whole(Answer),
    /// The end.
    End(Ended),
}

/// The agents that upstreams are called with.
#[derive(Clone, Debug)]
pub struct Agents {
    pooled: ureq::Agent,
    fresh: ureq::Agent,
}

impl Default for Agents {
    fn default() -> Self {
        let build = |idle| {
            let config = crate::agent::config()
                .timeout_connect(Some(CONNECT_TIMEOUT))
                .input_buffer_size(BUFFER_BYTES)
                .output_buffer_size(BUFFER_BYTES)
                .max_idle_connections(idle)
                .max_idle_connections_per_host(idle);
            config.build().into()
        };
        Self { pooled: build(16), fresh: build(0) }
    }
}

impl Agents {
    /// Calls an upstream in a thread of its own; pieces go to `notes`.
    ///
    /// A call that may not be repeated gets a fresh connection: a pooled one
    /// may have gone silent.
    pub fn call(&self, call: Call, target: Target, attempt: u32, notes: Sender<Note>) {
        let agent = if call.repeat.may_cancel() && !call.streams {
            self.pooled.clone()
        } else {
            self.fresh.clone()
        };
        spawn(move || {
            let piece = |piece| notes.send(Note::Piece { attempt, piece }).is_ok();
            match send(&agent, &call, &target) {
                Ok(response) => read_answer(&call, &target, response, &piece),
                Err(e) => piece(Piece::End(how_ended(&e))),
            };
        });
    }

    /// Resumes a stream behind the events that were already received.
    pub fn resume(
        &self,
        id: id::Request,
        address: SocketAddr,
        from: usize,
        limit: Duration,
        attempt: u32,
        notes: Sender<Note>,
    ) {
        let agent = self.fresh.clone();
        spawn(move || {
            let piece = |piece| notes.send(Note::Piece { attempt, piece }).is_ok();
            let url = format!("http://{address}/v1/streams/{id}?from={from}");
            let request = agent.get(url).config().timeout_global(Some(limit)).build();
            match request.header("Connection", "close").call() {
                Ok(response) if response.status() == 200 => read_events(id, response, &piece),
                _ => piece(Piece::End(Ended::Broken)),
            };
        });
    }

    /// Tells an engine to stop a stream.
    pub fn cancel(&self, id: id::Request, address: SocketAddr) {
        let url = format!("http://{address}/v1/streams/{id}");
        let request = self.fresh.delete(url).config().timeout_global(Some(CANCEL_TIMEOUT)).build();
        // An engine that does not answer is dealt with by the call's own limit.
        let _ = request.call();
    }
}

fn spawn(work: impl FnOnce() + Send + 'static) {
    let built = thread::Builder::new().stack_size(STACK_BYTES).spawn(work);
    // Without the thread the sender of notes is dropped, which ends the call.
    drop(built);
}

type Response = ureq::http::Response<ureq::Body>;

fn send(agent: &ureq::Agent, call: &Call, target: &Target) -> Result<Response, ureq::Error> {
    let url = format!("http://{}{}", target.address, call.path);
    let mut request = ureq::http::Request::builder()
        .method(call.method.as_str())
        .uri(url)
        .header("X-Request-Id", call.id.to_string());
    if call.streams {
        request = request.header("Connection", "close");
    }
    if let Some(kind) = &call.content_type {
        request = request.header("Content-Type", kind);
    }
    if let Some(key) = &call.key {
        request = request.header("Idempotency-Key", key);
    }
    let body_less = call.body.is_empty() && matches!(call.method.as_str(), "GET" | "HEAD");
    if body_less {
        let request = agent.configure_request(request.body(())?);
        return agent.run(request.timeout_global(Some(call.limit)).build());
    }
    let request = agent.configure_request(request.body(call.body.clone())?);
    agent.run(request.timeout_global(Some(call.limit)).build())
}

/// From the first byte that was written on, a request counts as dispatched.
fn how_ended(error: &ureq::Error) -> Ended {
    let not_sent = match error {
        ureq::Error::Io(e) => e.kind() == std::io::ErrorKind::ConnectionRefused,
        ureq::Error::Timeout(ureq::Timeout::Connect) => true,
        ureq::Error::ConnectionFailed | ureq::Error::HostNotFound => true,
        _ => false,
    };
    if not_sent { Ended::NotDispatched } else { Ended::Broken }
}

fn read_answer(
    call: &Call,
    target: &Target,
    response: Response,
    piece: &impl Fn(Piece) -> bool,
) -> bool {
    if call.streams && response.status() == 200 {
        return read_events(call.id, response, piece);
    }
    match read_whole(response) {
        Some(answer) if is_own(call, target, &answer) => {
            piece(Piece::Whole(answer)) && piece(Piece::End(Ended::Whole))
        }
        _ => piece(Piece::End(Ended::Broken)),
    }
}

/// Whether an answer of an engine carries the id of its request.
fn is_own(call: &Call, target: &Target, answer: &Answer) -> bool {
    if target.kind == Kind::Plain || answer.status != 200 {
        return true;
    }
    let body: Value = serde_json::from_slice(&answer.body).unwrap_or(Value::Null);
    body["id"].as_str() == Some(call.id.to_string().as_str())
}

fn read_whole(response: Response) -> Option<Answer> {
    let status = response.status().as_u16();
    let content_type = response.headers().get("Content-Type").and_then(|v| v.to_str().ok());
    let content_type = content_type.unwrap_or("application/octet-stream").to_owned();
    let mut body = Vec::new();
    let mut reader = response.into_body().into_reader().take(MAX_ANSWER_BYTES + 1);
    reader.read_to_end(&mut body).ok()?;
    let fits = body.len() as u64 <= MAX_ANSWER_BYTES;
    fits.then_some(Answer { status, content_type, body })
}

/// Reads server-sent events up to the closing one.
fn read_events(id: id::Request, response: Response, piece: &impl Fn(Piece) -> bool) -> bool {
    let mut reader = BufReader::new(response.into_body().into_reader());
    let mut event = Vec::new();
    loop {
        match reader.read_until(b'\n', &mut event) {
            Ok(0) | Err(_) => return piece(Piece::End(Ended::Broken)),
            Ok(_) if !event.ends_with(b"\n\n") => continue,
            Ok(_) => {}
        }
        if event == b"data: [DONE]\n\n" {
            return piece(Piece::End(Ended::Whole));
        }
        if !carries_id(&event, id) {
            return piece(Piece::End(Ended::Broken));
        }
        if !piece(Piece::Event(std::mem::take(&mut event))) {
            return false;
        }
    }
}

fn carries_id(event: &[u8], id: id::Request) -> bool {
    let Some(data) = event.strip_prefix(b"data: ") else { return false };
    let data: Value = serde_json::from_slice(data).unwrap_or(Value::Null);
    data["id"].as_str() == Some(id.to_string().as_str())
}
