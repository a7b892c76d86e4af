//! Calls of upstreams: each request is sent once; broken streams are resumed.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, header, http};
use rosemarypond_core::claim::Ended;
use rosemarypond_core::config::Kind;
use rosemarypond_core::id;
use rosemarypond_core::request::Repeat;
use rosemarypond_edge::event_stream::Parser;
use rosemarypond_edge::pool::{Connection, Pool, SendError};
use serde_json::Value;
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{sleep, timeout};

use crate::answer::Answer;
use crate::client;

/// How long a connection may take to open.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long an order to cancel a stream may take.
pub const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);
/// The pause before a stream is resumed.
pub const RESUME_PAUSE: Duration = Duration::from_millis(100);
/// The longest answer that is not streamed, in bytes.
pub const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;
/// The event that ends a stream.
pub const DONE: &[u8] = b"data: [DONE]\n\n";

/// How many pieces wait for a slow caller.
const PIECES_AHEAD: usize = 16;

/// A request as it is sent to an upstream.
#[derive(Clone, Debug)]
pub struct Call {
    /// The request.
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

/// What reading an answer brings.
#[derive(Clone, Debug)]
pub enum Piece {
    /// One event of a stream.
    Event(Bytes),
    /// A whole answer that was not streamed.
    Whole(Answer),
    /// The end.
    End(Ended),
}

/// An answer that is being read; dropping it ends the connection.
#[derive(Debug)]
pub struct Answering {
    pieces: mpsc::Receiver<Piece>,
    task: AbortHandle,
}

impl Answering {
    /// Waits for the next piece.
    pub async fn next(&mut self) -> Piece {
        self.pieces.recv().await.unwrap_or(Piece::End(Ended::Broken))
    }
}

impl Drop for Answering {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Where the pieces of an answer go; gives whether they are still wanted.
struct Reader(mpsc::Sender<Piece>);

impl Reader {
    async fn piece(&self, piece: Piece) -> bool {
        self.0.send(piece).await.is_ok()
    }
}

/// Calls upstreams.
#[derive(Clone, Debug, Default)]
pub struct Upstreams {
    pool: Rc<Pool>,
}

impl Upstreams {
    /// Sends a request to an upstream.
    ///
    /// A call that may not be repeated gets a fresh connection: a kept one may
    /// have gone silent.
    pub fn call(&self, call: Rc<Call>, target: Target) -> Answering {
        let pool = self.pool.clone();
        read(async move |reader| {
            let limit = call.limit;
            let exchange = exchange(&pool, &call, &target, &reader);
            let how = timeout(limit, exchange).await.unwrap_or(Ended::Broken);
            reader.piece(Piece::End(how)).await;
        })
    }

    /// Resumes a stream behind the events that were already received, after a
    /// pause.
    pub fn resume(
        &self,
        id: id::Request,
        address: SocketAddr,
        from: usize,
        limit: Duration,
    ) -> Answering {
        read(async move |reader| {
            sleep(RESUME_PAUSE).await;
            let how = timeout(limit, resume(id, address, from, &reader)).await;
            reader.piece(Piece::End(how.unwrap_or(Ended::Broken))).await;
        })
    }

    /// Tells an engine to stop a stream.
    pub fn cancel(&self, id: id::Request, address: SocketAddr) {
        spawn_local(async move {
            let client = client::Client::new(CANCEL_TIMEOUT, MAX_ANSWER_BYTES);
            let path = format!("/v1/streams/{id}");
            if let Ok(request) = client::request(Method::DELETE, address, path, "") {
                // An engine that does not answer is dealt with by the call's
                // own limit.
                let _ = client.call(address, request).await;
            }
        });
    }

    /// Closes the connections that were kept for too long.
    pub fn sweep(&self) {
        self.pool.sweep(|_| true);
    }
}

fn read(work: impl AsyncFnOnce(Reader) + 'static) -> Answering {
    let (sender, pieces) = mpsc::channel(PIECES_AHEAD);
    let task = spawn_local(work(Reader(sender))).abort_handle();
    Answering { pieces, task }
}

async fn exchange(pool: &Pool, call: &Call, target: &Target, reader: &Reader) -> Ended {
    let may_keep = call.repeat.may_cancel() && !call.streams;
    let opened = if may_keep {
        pool.take(target.address, CONNECT_TIMEOUT).await
    } else {
        Connection::open(target.address, CONNECT_TIMEOUT).await
    };
    let Ok(mut connection) = opened else { return Ended::NotDispatched };
    let Ok(request) = request_of(call, target) else { return Ended::NotDispatched };
    let response = match connection.send(request).await {
        Ok(response) => response,
        // From the first byte that was written on, it counts as dispatched.
        Err(SendError::NotSent) => return Ended::NotDispatched,
        Err(SendError::Broken) => return Ended::Broken,
    };
    if call.streams && response.status() == 200 {
        return pass_events(call.id, response, connection, reader).await;
    }
    let (head, body) = response.into_parts();
    let whole = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
    let Ok(whole) = whole else { return Ended::Broken };
    let answer = Answer::read(&head, whole.to_bytes());
    if may_keep {
        pool.keep(connection, &head);
    } else {
        connection.mark_idle();
    }
    if !is_own(call, target, &answer) {
        return Ended::Broken;
    }
    reader.piece(Piece::Whole(answer)).await;
    Ended::Whole
}

async fn resume(id: id::Request, address: SocketAddr, from: usize, reader: &Reader) -> Ended {
    let path = format!("/v1/streams/{id}?from={from}");
    let Ok(request) = client::request(Method::GET, address, path, "") else { return Ended::Broken };
    let Ok(mut connection) = Connection::open(address, CONNECT_TIMEOUT).await else {
        return Ended::Broken;
    };
    match connection.send(request.map(Full::new)).await {
        Ok(response) if response.status() == 200 => {
            pass_events(id, response, connection, reader).await
        }
        _ => Ended::Broken,
    }
}

fn request_of(call: &Call, target: &Target) -> Result<Request<Full<Bytes>>, http::Error> {
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

/// Whether an answer of an engine carries the id of its request.
fn is_own(call: &Call, target: &Target, answer: &Answer) -> bool {
    if target.kind == Kind::Plain || answer.status != 200 {
        return true;
    }
    let body: Value = serde_json::from_slice(&answer.body).unwrap_or(Value::Null);
    body["id"].as_str() == Some(call.id.to_string().as_str())
}

/// Reads events up to the closing one.
async fn pass_events(
    id: id::Request,
    response: Response<Incoming>,
    connection: Connection,
    reader: &Reader,
) -> Ended {
    let mut body = response.into_body();
    let mut cutter = Parser::default();
    loop {
        while let Some(event) = cutter.next_event() {
            if event.bytes == DONE {
                connection.mark_idle();
                return Ended::Whole;
            }
            if !carries_id(&event.bytes, id) || !reader.piece(Piece::Event(event.bytes)).await {
                return Ended::Broken;
            }
        }
        if cutter.is_overlong() {
            return Ended::Broken;
        }
        match body.frame().await.map(|frame| frame.map(hyper::body::Frame::into_data)) {
            Some(Ok(Ok(bytes))) => cutter.push(&bytes),
            Some(Ok(Err(_))) => {}
            Some(Err(_)) | None => return Ended::Broken,
        }
    }
}

fn carries_id(event: &[u8], id: id::Request) -> bool {
    let Some(data) = event.strip_prefix(b"data: ") else { return false };
    let data: Value = serde_json::from_slice(data).unwrap_or(Value::Null);
    data["id"].as_str() == Some(id.to_string().as_str())
}
