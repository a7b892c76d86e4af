//! Client of the upstreams: sends each request once and resumes broken streams.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, header, http};
use rosemarypond_core::claim::Ended;
use rosemarypond_core::config::Kind;
use rosemarypond_core::id;
use rosemarypond_core::request::Repeat;
use rosemarypond_edge::body::{self, Shortage, reserve_part};
use rosemarypond_edge::event_stream::Parser;
use rosemarypond_edge::memory::Memory;
use rosemarypond_edge::pool::{self, Connection, Pool};
use serde_json::Value;
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{sleep, timeout};

use crate::answer::Answer;
use crate::client;

/// How long a connection may take to open.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a request to cancel a stream may take.
pub const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);
/// The pause before a stream is resumed.
pub const RESUME_PAUSE: Duration = Duration::from_millis(100);
/// The longest accepted answer that is not streamed, in bytes.
pub const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;
/// The event that ends a stream.
pub const DONE: &[u8] = b"data: [DONE]\n\n";

/// The most pieces that are read ahead for a slow caller.
const PIECES_AHEAD: usize = 16;

/// A request as it is sent to an upstream.
#[derive(Clone, Debug)]
pub struct Call {
    /// The request's id.
    pub id: id::Request,
    /// Its HTTP method.
    pub method: Method,
    /// Its path and query.
    pub path: String,
    /// The media type of its body.
    pub content_type: Option<String>,
    /// Its idempotency key.
    pub key: Option<String>,
    /// Its body.
    pub body: Bytes,
    /// Whether its answer is streamed.
    pub is_streamed: bool,
    /// Whether and how it may be repeated.
    pub repeat: Repeat,
    /// How long it may take.
    pub timeout: Duration,
}

/// The destination of a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// The upstream.
    pub upstream: id::Upstream,
    /// Its address.
    pub address: SocketAddr,
    /// The kind of server.
    pub kind: Kind,
}

/// A part of an answer.
#[derive(Clone, Debug)]
pub enum Piece {
    /// One event of a stream.
    Event(Bytes),
    /// A whole answer that was not streamed, with the memory that is reserved for it.
    Whole(Answer, Rc<Memory>),
    /// The end of the answer.
    End(Ended),
}

/// The pieces of an answer that is being read; dropping them closes the connection.
#[derive(Debug)]
pub struct Pieces {
    receiver: mpsc::Receiver<Piece>,
    task: AbortHandle,
}

impl Pieces {
    /// Waits for the next piece.
    pub async fn next(&mut self) -> Piece {
        self.receiver.recv().await.unwrap_or(Piece::End(Ended::Broken))
    }
}

impl Drop for Pieces {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Passes on the pieces of an answer.
struct Sink(mpsc::Sender<Piece>);

impl Sink {
    /// Reports whether the piece is still wanted.
    async fn send(&self, piece: Piece) -> bool {
        self.0.send(piece).await.is_ok()
    }
}

/// Calls upstreams over pooled connections.
#[derive(Clone, Debug, Default)]
pub struct Upstreams {
    pool: Rc<Pool>,
}

impl Upstreams {
    /// Sends a request to an upstream; what is held of its answer is reserved in `memory`.
    ///
    /// A call that must not be repeated gets a new connection, because a pooled
    /// one may have died unnoticed.
    pub fn call(&self, call: Rc<Call>, target: Target, memory: Memory) -> Pieces {
        let pool = self.pool.clone();
        spawn_reader(async move |sink| {
            let call_timeout = call.timeout;
            let exchange = exchange(&pool, &call, &target, memory, &sink);
            let how = timeout(call_timeout, exchange).await.unwrap_or(Ended::Broken);
            sink.send(Piece::End(how)).await;
        })
    }

    /// Resumes a stream after its first `from` events, following a short pause.
    pub fn resume(
        &self,
        id: id::Request,
        address: SocketAddr,
        from: usize,
        call_timeout: Duration,
        memory: Memory,
    ) -> Pieces {
        spawn_reader(async move |sink| {
            sleep(RESUME_PAUSE).await;
            let how = timeout(call_timeout, resume(id, address, from, memory, &sink)).await;
            sink.send(Piece::End(how.unwrap_or(Ended::Broken))).await;
        })
    }

    /// Asks an engine in the background to stop a stream.
    pub fn cancel(&self, id: id::Request, address: SocketAddr) {
        spawn_local(async move {
            let client = client::Client::new(CANCEL_TIMEOUT, MAX_ANSWER_BYTES);
            let path = format!("/v1/streams/{id}");
            if let Ok(request) = client::request(Method::DELETE, address, path, "") {
                // Where the engine does not answer, the call's own timeout ends it.
                let _ = client.call(address, request).await;
            }
        });
    }

    /// Closes pooled connections that have been idle for too long.
    pub fn sweep(&self) {
        self.pool.sweep(|_| true);
    }
}

/// Reads an answer in a task of its own.
fn spawn_reader(work: impl AsyncFnOnce(Sink) + 'static) -> Pieces {
    let (sender, receiver) = mpsc::channel(PIECES_AHEAD);
    let task = spawn_local(work(Sink(sender))).abort_handle();
    Pieces { receiver, task }
}

async fn exchange(
    pool: &Pool,
    call: &Call,
    target: &Target,
    mut memory: Memory,
    sink: &Sink,
) -> Ended {
    let may_keep = call.repeat.may_cancel() && !call.is_streamed;
    let opened = if may_keep {
        pool.take(target.address, CONNECT_TIMEOUT).await
    } else {
        Connection::open(target.address, CONNECT_TIMEOUT).await
    };
    let Ok(mut connection) = opened else { return Ended::NotDispatched };
    let Ok(request) = build_request(call, target) else { return Ended::NotDispatched };
    let response = match connection.send(request).await {
        Ok(response) => response,
        // Once a byte was written, the request counts as dispatched.
        Err(pool::Error::NotSent) => return Ended::NotDispatched,
        Err(pool::Error::Lost | pool::Error::Invalid) => return Ended::Broken,
    };
    if call.is_streamed && response.status() == 200 {
        return forward_events(call.id, response, connection, memory, sink).await;
    }
    let (head, body) = response.into_parts();
    let whole = body::read(body, MAX_ANSWER_BYTES, &mut memory, Shortage::Wait).await;
    let Ok(whole) = whole else { return Ended::Broken };
    let answer = Answer::from_response(&head, whole);
    if may_keep {
        pool.keep(connection, &head);
    } else {
        connection.mark_idle();
    }
    if !has_request_id(call, target, &answer) {
        return Ended::Broken;
    }
    sink.send(Piece::Whole(answer, Rc::new(memory))).await;
    Ended::Whole
}

async fn resume(
    id: id::Request,
    address: SocketAddr,
    from: usize,
    memory: Memory,
    sink: &Sink,
) -> Ended {
    let path = format!("/v1/streams/{id}?from={from}");
    let Ok(request) = client::request(Method::GET, address, path, "") else { return Ended::Broken };
    let Ok(mut connection) = Connection::open(address, CONNECT_TIMEOUT).await else {
        return Ended::Broken;
    };
    match connection.send(request.map(Full::new)).await {
        Ok(response) if response.status() == 200 => {
            forward_events(id, response, connection, memory, sink).await
        }
        _ => Ended::Broken,
    }
}

fn build_request(call: &Call, target: &Target) -> Result<Request<Full<Bytes>>, http::Error> {
    let mut request = Request::builder()
        .method(call.method.clone())
        .uri(&call.path)
        .header(header::HOST, target.address.to_string())
        .header("X-Request-Id", call.id.to_string());
    if let Some(kind) = &call.content_type {
        request = request.header(header::CONTENT_TYPE, kind);
    }
    if let Some(key) = &call.key {
        request = request.header("Idempotency-Key", key);
    }
    request.body(Full::new(call.body.clone()))
}

/// Reports whether an engine's answer carries the id of its request.
fn has_request_id(call: &Call, target: &Target, answer: &Answer) -> bool {
    if target.kind == Kind::Plain || answer.status != 200 {
        return true;
    }
    let body: Value = serde_json::from_slice(&answer.body).unwrap_or(Value::Null);
    body["id"].as_str() == Some(call.id.to_string().as_str())
}

/// Passes on the events of a stream up to the closing one.
async fn forward_events(
    id: id::Request,
    response: Response<Incoming>,
    connection: Connection,
    mut memory: Memory,
    sink: &Sink,
) -> Ended {
    let mut body = response.into_body();
    let mut parser = Parser::default();
    loop {
        while let Some(event) = parser.next_event() {
            if event.bytes == DONE {
                connection.mark_idle();
                return Ended::Whole;
            }
            if !event_has_request_id(&event.bytes, id)
                || !sink.send(Piece::Event(event.bytes)).await
            {
                return Ended::Broken;
            }
        }
        let reserved = reserve_part(&mut memory, parser.held_bytes());
        if parser.is_overlong() || reserved.is_err() {
            return Ended::Broken;
        }
        match body.frame().await.map(|frame| frame.map(hyper::body::Frame::into_data)) {
            Some(Ok(Ok(bytes))) => parser.push(&bytes),
            Some(Ok(Err(_))) => {}
            Some(Err(_)) | None => return Ended::Broken,
        }
    }
}

fn event_has_request_id(event: &[u8], id: id::Request) -> bool {
    let Some(data) = event.strip_prefix(b"data: ") else { return false };
    let data: Value = serde_json::from_slice(data).unwrap_or(Value::Null);
    data["id"].as_str() == Some(id.to_string().as_str())
}
