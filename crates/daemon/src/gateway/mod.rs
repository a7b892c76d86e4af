//! The HTTP interface for callers: routes each request and answers it once.

mod held;
mod intake;
mod problem;
mod resumed;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Request, Response, http};
use rosemarypond_core::id;
use rosemarypond_core::outcome::{Outcome, Reason};
use rosemarypond_edge::body::{self, Shortage};
use rosemarypond_edge::connections::Activity;
use rosemarypond_edge::memory::Kind;
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

/// A request whose body is read, and its connection.
struct Reading<'a> {
    parts: &'a http::request::Parts,
    activity: &'a Rc<Activity>,
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
    pub async fn serve(
        self: Rc<Self>,
        request: Request<Incoming>,
        activity: Rc<Activity>,
    ) -> Response<Reply> {
        let (parts, body) = request.into_parts();
        let reading = Reading { parts: &parts, activity: &activity };
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
            QUERY_PATH | COMMAND_PATH => {
                match self.read(body, MAX_SENTENCE_BYTES, &reading).await {
                    Ok(sentence) => respond(
                        self.operator_api.serve(&parts.uri, &parts.headers, &sentence).await,
                    ),
                    Err(problem) => problem.into(),
                }
            }
            "/v1/resume" => resumed::serve(&self, &parts, &activity, permit).await,
            _ => held::serve(self, parts, body, activity, permit).await,
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
    async fn read(
        &self,
        mut body: Incoming,
        max_bytes: usize,
        reading: &Reading<'_>,
    ) -> Result<Bytes, Problem> {
        let _sending = reading.activity.read_body();
        let mut memory = reading.activity.memory(Kind::Requests);
        let read = body::read(&mut body, max_bytes, &mut memory, Shortage::Fail);
        let read = timeout(self.settings.idle.0, read).await;
        let problem = match read {
            Ok(Ok(whole)) => return Ok(memory.hold(whole)),
            Ok(Err(body::Error::Broken)) => return Err(incomplete_body("its end is missing")),
            Err(_) => return Err(incomplete_body("it took too long")),
            Ok(Err(body::Error::TooLong)) => {
                Problem::bad_request(413, format!("The body is longer than {max_bytes} bytes."))
            }
            Ok(Err(body::Error::Exhausted(_))) => refuse_unread(reading.parts, Reason::Overload),
        };
        drop(memory);
        // A caller reads its answer only after it has sent the body.
        self.discard(body).await;
        Err(problem)
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
