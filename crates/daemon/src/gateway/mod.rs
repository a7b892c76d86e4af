//! The HTTP interface for callers: routes each request and answers it once.

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
use crate::operate::{Api, COMMAND_PATH, MAX_SENTENCE_BYTES, QUERY_PATH};
use crate::runtime::Handle;
use crate::settings::Settings;
use crate::upstream::Upstreams;

pub use problem::Problem;

/// The longest path and query that are accepted, in bytes.
pub const MAX_URL_BYTES: usize = 8 * 1024;

/// How long a caller should wait before it retries a request that was refused
/// before its body was read.
const UNREAD_RETRY_AFTER: Duration = Duration::from_secs(1);
/// How much of a refused request's body is read so that its caller can read the
/// answer, in multiples of the longest accepted body.
const MAX_DISCARDED_BODIES: u64 = 4;

/// Answers callers and operators.
pub struct Gateway {
    /// Access to the scheduler.
    pub handle: Handle,
    /// The client of the upstreams.
    pub upstreams: Upstreams,
    /// The instance's settings.
    pub settings: Settings,
    /// The operators' interface.
    pub operator_api: Api,
    held: Rc<Cell<usize>>,
    next_request: Cell<u64>,
}

/// Counts as one held request until it is dropped.
struct Permit(Rc<Cell<usize>>);

impl Drop for Permit {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Gateway {
    /// Creates a gateway whose request ids count up from a random number.
    pub fn new(handle: Handle, settings: Settings, operator_api: Api) -> Self {
        Self {
            handle,
            upstreams: Upstreams::default(),
            settings,
            operator_api,
            held: Rc::default(),
            next_request: Cell::new(rand::random()),
        }
    }

    /// Answers a request.
    pub async fn serve(self: Rc<Self>, request: Request<Incoming>) -> Response<Reply> {
        let (parts, body) = request.into_parts();
        let Some(permit) = self.acquire_permit() else {
            self.discard(body).await;
            return refuse_unread(&parts, Reason::Overload).into();
        };
        match parts.uri.path() {
            "/healthz" => respond(Answer::new(200, "text/plain", "alive\n")),
            "/readyz" => respond(self.ready()),
            "/metrics" => {
                respond(Answer::new(200, "text/plain; version=0.0.4", self.operator_api.metrics()))
            }
            QUERY_PATH | COMMAND_PATH => match self.read(body, MAX_SENTENCE_BYTES as u64).await {
                Ok(sentence) => {
                    respond(self.operator_api.serve(&parts.uri, &parts.headers, &sentence).await)
                }
                Err(problem) => problem.into(),
            },
            "/v1/resume" => resumed::serve(&self, &parts, permit).await,
            _ => held::serve(self, parts, body, permit).await,
        }
    }

    /// Returns a permit, or `None` if the instance holds `max_requests` already.
    fn acquire_permit(&self) -> Option<Permit> {
        if self.held.get() >= self.settings.max_requests as usize {
            return None;
        }
        self.held.set(self.held.get() + 1);
        Some(Permit(self.held.clone()))
    }

    /// Returns a request id that other instances are unlikely to use.
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

    /// Reads a whole body of at most `max_bytes`.
    async fn read(&self, mut body: Incoming, max_bytes: u64) -> Result<Bytes, Problem> {
        let mut whole = BytesMut::new();
        let read = timeout(self.settings.idle.0, async {
            let mut is_too_long = body.size_hint().lower() > max_bytes;
            while !is_too_long && let Some(frame) = body.frame().await {
                let frame = frame.map_err(|e| incomplete_body(&e))?;
                if let Ok(bytes) = frame.into_data() {
                    is_too_long = (whole.len() + bytes.len()) as u64 > max_bytes;
                    whole.extend_from_slice(&bytes);
                }
            }
            Ok(is_too_long)
        });
        let is_too_long =
            read.await.unwrap_or_else(|_| Err(incomplete_body("it took too long")))?;
        if is_too_long {
            // A caller reads its answer only after it has sent the body.
            self.discard(body).await;
            return Err(Problem::bad_request(
                413,
                format!("The body is longer than {max_bytes} bytes."),
            ));
        }
        Ok(whole.freeze())
    }

    /// Reads and drops the rest of a body, within limits.
    async fn discard(&self, mut body: Incoming) {
        let mut remaining = self.settings.max_body.0.saturating_mul(MAX_DISCARDED_BODIES);
        let read = timeout(self.settings.idle.0, async {
            while let Some(Ok(frame)) = body.frame().await {
                let bytes = frame.data_ref().map_or(0, Bytes::len) as u64;
                if bytes > remaining {
                    return;
                }
                remaining -= bytes;
            }
        });
        // A rest beyond the limits is dropped with the connection.
        let _ = read.await;
    }
}

fn incomplete_body(why: impl std::fmt::Display) -> Problem {
    Problem::bad_request(400, format!("The body broke off: {why}."))
}

fn respond(answer: Answer) -> Response<Reply> {
    reply::full(answer.into_response())
}

/// Refuses a request before its body was read. A request without a key has not
/// run; one with a key may have run in an earlier attempt.
fn refuse_unread(parts: &http::request::Parts, reason: Reason) -> Problem {
    let keyed = head::text(&parts.headers, "Idempotency-Key").is_some();
    let outcome = if keyed { Outcome::Unknown } else { Outcome::NotRun };
    Problem::refused(None, outcome, reason, UNREAD_RETRY_AFTER)
}
