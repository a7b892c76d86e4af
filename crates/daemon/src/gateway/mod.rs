//! The callers' interface: HTTP in, one answer out.

mod held;
mod intake;
mod problem;
mod resumed;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use hyper::{Request, Response, http};
use rosemarypond_core::id;
use rosemarypond_core::outcome::{Outcome, Reason};
use rosemarypond_edge::reply::{self, Reply};
use tokio::time::timeout;

use crate::answer::Answer;
use crate::head;
use crate::operate::{COMMAND_PATH, MAX_SENTENCE_BYTES, Operate, QUERY_PATH};
use crate::runtime::Handle;
use crate::settings::Settings;
use crate::upstream::Upstreams;

pub use problem::Problem;

/// The longest path and query that are accepted, in bytes.
pub const MAX_URL_BYTES: usize = 8 * 1024;

/// When a caller may come back whose request was not read.
const UNREAD_RETRY_AFTER: Duration = Duration::from_secs(1);
/// How much of a body that nobody wants is read for its caller's sake, in
/// multiples of the longest body that is accepted.
const UNWANTED_BODIES: u64 = 4;

/// Answers callers and operators.
pub struct Gateway {
    /// Talks to the decisions.
    pub handle: Handle,
    /// Calls upstreams.
    pub upstreams: Upstreams,
    /// The settings.
    pub settings: Settings,
    /// Answers operators.
    pub operate: Operate,
    held: Rc<Cell<usize>>,
    next_request: Cell<u64>,
}

/// A place among the requests that are held at once.
struct Place(Rc<Cell<usize>>);

impl Drop for Place {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Gateway {
    /// A gateway whose requests are numbered from a random beginning.
    pub fn new(handle: Handle, settings: Settings, operate: Operate) -> Self {
        Self {
            handle,
            upstreams: Upstreams::default(),
            settings,
            operate,
            held: Rc::default(),
            next_request: Cell::new(rand::random()),
        }
    }

    /// Answers a request.
    pub async fn serve(self: Rc<Self>, request: Request<Incoming>) -> Response<Reply> {
        let (parts, body) = request.into_parts();
        let Some(place) = self.place() else {
            self.discard(body).await;
            return refuse_unread(&parts, Reason::Overload).into();
        };
        match parts.uri.path() {
            "/healthz" => whole(Answer::new(200, "text/plain", "alive\n")),
            "/readyz" => whole(self.ready()),
            "/metrics" => {
                whole(Answer::new(200, "text/plain; version=0.0.4", self.operate.metrics()))
            }
            QUERY_PATH | COMMAND_PATH => match self.read(body, MAX_SENTENCE_BYTES as u64).await {
                Ok(sentence) => {
                    whole(self.operate.serve(&parts.uri, &parts.headers, &sentence).await)
                }
                Err(problem) => problem.into(),
            },
            "/v1/resume" => resumed::serve(&self, &parts, place).await,
            _ => held::serve(self, parts, body, place).await,
        }
    }

    fn place(&self) -> Option<Place> {
        if self.held.get() >= self.settings.max_requests as usize {
            return None;
        }
        self.held.set(self.held.get() + 1);
        Some(Place(self.held.clone()))
    }

    /// A request id that no other instance is likely to give.
    fn next_id(&self) -> id::Request {
        let id = self.next_request.get();
        self.next_request.set(id.wrapping_add(1));
        id::Request(id)
    }

    fn ready(&self) -> Answer {
        if self.handle.ask(|instance, _| instance.is_ready()).unwrap_or(false) {
            Answer::new(200, "text/plain", "ready\n")
        } else {
            Answer::new(503, "text/plain", "not ready\n")
        }
    }

    /// Reads a whole body of `max_bytes` at most.
    async fn read(&self, mut body: Incoming, max_bytes: u64) -> Result<Bytes, Problem> {
        let mut whole = BytesMut::new();
        let read = timeout(self.settings.idle.0, async {
            let mut is_long = body.size_hint().lower() > max_bytes;
            while !is_long && let Some(frame) = body.frame().await {
                let frame = frame.map_err(|e| broken_off(&e))?;
                if let Ok(bytes) = frame.into_data() {
                    is_long = (whole.len() + bytes.len()) as u64 > max_bytes;
                    whole.extend_from_slice(&bytes);
                }
            }
            Ok(is_long)
        });
        let is_long = read.await.unwrap_or_else(|_| Err(broken_off("it took too long")))?;
        if is_long {
            // A caller that still sends would not read its answer.
            self.discard(body).await;
            return Err(Problem::bad(413, format!("The body is longer than {max_bytes} bytes.")));
        }
        Ok(whole.freeze())
    }

    async fn discard(&self, mut body: Incoming) {
        let mut left = self.settings.max_body.0.saturating_mul(UNWANTED_BODIES);
        let read = timeout(self.settings.idle.0, async {
            while let Some(Ok(frame)) = body.frame().await {
                let bytes = frame.data_ref().map_or(0, Bytes::len) as u64;
                if bytes > left {
                    return;
                }
                left -= bytes;
            }
        });
        // What is left of it ends with the connection.
        let _ = read.await;
    }
}

fn broken_off(why: impl std::fmt::Display) -> Problem {
    Problem::bad(400, format!("The body broke off: {why}."))
}

fn whole(answer: Answer) -> Response<Reply> {
    reply::full(answer.into_response())
}

/// Refuses a request that was not looked at. Without a key this one try is all
/// there is, so it did not run; with one, another try may have.
fn refuse_unread(parts: &http::request::Parts, reason: Reason) -> Problem {
    let keyed = head::text(&parts.headers, "Idempotency-Key").is_some();
    let outcome = if keyed { Outcome::Unknown } else { Outcome::NotRun };
    Problem::refused(None, outcome, reason, UNREAD_RETRY_AFTER)
}
