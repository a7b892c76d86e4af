//! The handling of one request, from its arrival to its final answer.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response, http};
use rosemarypond_core::config::Version;
use rosemarypond_core::entry::call::{Call, Ended, Reason, Repeat};
use rosemarypond_core::entry::plan::{Route, Team};
use rosemarypond_core::entry::upstream::Registration;
use rosemarypond_core::unit::Tokens;
use tokio::sync::oneshot;
use tokio::time::{sleep_until, timeout};

use crate::body::{self, Shortage};
use crate::clock;
use crate::delegation::{self, Order};
use crate::dialect::{Forward, Head, Meaning, Refusal, Rest};
use crate::gateway::Gateway;
use crate::memory::{Kind, Memory};
use crate::pool::{self, Connection};
use crate::reply::{self, Caller, Reply};
use crate::report::read_report;
use crate::runtime::{Directive, Directives};
use crate::target::Target;

/// How long an upstream may take to accept a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// The longest body of an upstream's response that is not an event stream, in
/// bytes.
const MAX_RESPONSE_BYTES: usize = 4 << 20;
/// How long the body of a response is awaited whose head states that the request did
/// not run; without it, the connection is closed.
const REJECTION_TIMEOUT: Duration = Duration::from_millis(50);
/// An upstream does not begin to answer a request sooner than this.
const MIN_ANSWER_TIME: Duration = Duration::from_millis(10);
/// The fraction of the time left after which an idempotent request without a
/// response may be rerouted.
const REROUTE_FRACTION: f64 = 0.45;
/// How often to check whether a request on a silent upstream can be rerouted.
pub const REROUTE_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// An upstream hangs if it sends nothing for this many times the expected time.
const HANG_FACTOR: u32 = 3;
/// The shortest time after which an upstream that sends nothing hangs.
const MIN_HANG_TIME: Duration = Duration::from_millis(500);
/// The shortest time without an event after which a resumable stream may be
/// rerouted.
const MIN_STALL_TIMEOUT: Duration = Duration::from_millis(1_200);

/// A request and everything needed to handle it.
pub struct Exchange {
    /// The gateway that accepted it.
    pub gateway: Rc<Gateway>,
    /// The head as received.
    pub parts: http::request::Parts,
    /// What was read from the head.
    pub head: Head,
    /// The whole body.
    pub body: Bytes,
    /// The version of the plan by which it was admitted.
    pub plan: Version,
    /// Its route.
    pub route: Arc<Route>,
    /// Its team.
    pub team: Option<Arc<Team>>,
    /// Its description for the scheduler.
    pub call: Call,
    /// How many tokens an event of its service holds.
    pub tokens_per_event: u32,
    /// The memory of its body.
    pub memory: Memory,
    /// The upstream that it was sent to last.
    pub sent_to: RefCell<Option<Registration>>,
}

/// How an attempt ended.
pub enum Outcome {
    /// With a whole answer.
    Whole(Response<Bytes>),
    /// With the head of an event stream.
    Stream(Box<Stream>),
    /// Without a final answer, but possibly with the response for the caller if
    /// no further attempt follows.
    Failed(Ended, Option<Response<Bytes>>),
    /// The caller disconnected.
    CallerLeft,
    /// The deadline passed after the request was sent.
    TimedOut {
        /// Whether the upstream had sent nothing for much longer than expected.
        is_hanging: bool,
    },
}

/// An event stream whose head was received.
pub struct Stream {
    /// The head as received.
    pub parts: http::response::Parts,
    /// The stream itself.
    pub body: Incoming,
    /// The connection that it arrives on.
    pub connection: Connection,
    /// When its head was received.
    pub answered_at: Instant,
    /// The time without an event after which the stream may be rerouted, if ever.
    pub stall_timeout: Option<Duration>,
}

/// A request is refused.
#[derive(Clone, Copy, Debug)]
pub struct Refused {
    /// Why.
    pub reason: Reason,
    /// How long the caller is asked to wait before a retry.
    pub retry_after: Duration,
}

/// An attempt whose request was sent.
struct Attempt<'a> {
    target: &'a Target,
    directives: &'a Directives,
    started: Instant,
    /// See [`Exchange::reroute_at`].
    reroute_at: Option<Instant>,
}

impl Exchange {
    /// Runs the request and answers its caller.
    pub async fn run(self, mut directives: Directives, answer: oneshot::Sender<Response<Reply>>) {
        let mut caller = Caller::Waiting(answer);
        let mut fallback = None;
        loop {
            let Some(directive) = next_directive(&mut directives, &mut caller).await else {
                self.record_caller_left();
                return;
            };
            let target = match self.target_of(directive) {
                Ok(target) => target,
                Err(Refused { reason, retry_after }) => {
                    self.refuse(caller, fallback, reason, retry_after);
                    return;
                }
            };
            match self.attempt(&target, None, &directives, &mut caller).await {
                Outcome::Whole(response) => {
                    directives.report_first_byte();
                    let tokens = Tokens(0);
                    directives.report_end(Ended::Whole { tokens });
                    self.answer(caller, response, "answered", delegation::Outcome::Answered);
                    return;
                }
                Outcome::Stream(stream) => {
                    self.relay(*stream, target, directives, caller).await;
                    return;
                }
                Outcome::Failed(how, response) => {
                    self.record_failed_attempt(&target, how);
                    fallback = response.map(|response| (response, how)).or(fallback);
                    directives.report_end(how);
                }
                Outcome::CallerLeft => {
                    self.record_caller_left();
                    return;
                }
                Outcome::TimedOut { is_hanging } => {
                    if is_hanging {
                        self.record_failed_attempt(&target, Ended::TimedOut);
                        directives.report_end(Ended::TimedOut);
                    }
                    let refusal = (self.gateway.dialect.refuse)(&Refusal::TimedOut);
                    self.answer(caller, refusal, "timed-out", delegation::Outcome::TimedOut);
                    return;
                }
            }
        }
    }

    /// Where a directive has the request sent.
    ///
    /// # Errors
    ///
    /// Where the request is refused.
    pub fn target_of(&self, directive: Directive) -> Result<Target, Refused> {
        match directive {
            Directive::Refuse { reason, retry_after } => Err(Refused { reason, retry_after }),
            Directive::Send { upstream, sent_before, expected, running } => {
                self.log_send(&upstream, sent_before, expected, running);
                Ok(Target::Upstream { upstream, expected })
            }
            Directive::Delegate { peer, excluded, origin } => {
                self.record_delegation(&peer);
                Ok(Target::Peer { peer, excluded, origin })
            }
        }
    }

    /// Sends the request to one upstream, or to a peer, and waits for the whole
    /// response, or for the head of an event stream.
    pub async fn attempt(
        &self,
        target: &Target,
        resume_after: Option<&str>,
        directives: &Directives,
        caller: &mut Caller,
    ) -> Outcome {
        let deadline = self.call.deadline;
        let Some(address) = self.gateway.address_of(target) else {
            return Outcome::Failed(target.unsent(), None);
        };
        let mut connection = tokio::select! {
            taken = self.gateway.pool.take(address, CONNECT_TIMEOUT) => match taken {
                Ok(connection) => connection,
                Err(error) => {
                    self.log_unreachable(target, &error);
                    return Outcome::Failed(target.unsent(), None);
                }
            },
            () = caller.disconnected() => return Outcome::CallerLeft,
            () = sleep_until(deadline.into()) => return Outcome::Failed(target.unsent(), None),
        };
        let started = clock::now();
        if started >= deadline {
            return Outcome::Failed(target.unsent(), None);
        }
        self.gateway.metrics.sends.inc();
        *self.sent_to.borrow_mut() = target.upstream().cloned();
        let request = self.request_for(target, resume_after, deadline - started);
        let expected = target.expected();
        let reroute_at = self.reroute_at(started, expected);
        let attempt = Attempt { target, directives, started, reroute_at };
        let may_cancel = self.call.repeat.may_run_again() || self.route.is_stream;
        let head = {
            let mut head = Box::pin(connection.send(request));
            let mut check_at = reroute_at;
            loop {
                tokio::select! {
                    head = head.as_mut() => break head,
                    () = caller.disconnected(), if may_cancel => return Outcome::CallerLeft,
                    () = sleep_until(deadline.into()) => {
                        let hang_time = MIN_HANG_TIME.max(expected * HANG_FACTOR);
                        return Outcome::TimedOut { is_hanging: deadline - started >= hang_time };
                    }
                    () = sleep_until(check_at.unwrap_or(deadline).into()),
                        if check_at.is_some() => {}
                }
                if directives.can_reroute() {
                    return self.broken();
                }
                check_at = Some(clock::now() + REROUTE_CHECK_INTERVAL);
            }
        };
        let response = match head {
            Ok(response) => response,
            Err(pool::Error::NotSent) => {
                *self.sent_to.borrow_mut() = None;
                return Outcome::Failed(target.unsent(), None);
            }
            Err(pool::Error::Invalid) => return self.broken(),
            Err(pool::Error::Lost) => {
                // One that ends at once was closed before, or nothing listens behind it.
                if clock::now() >= started + MIN_ANSWER_TIME {
                    self.record_lost_connection(target, None, directives);
                }
                return self.broken();
            }
        };
        self.read_answer(attempt, response, connection, caller).await
    }

    async fn read_answer(
        &self,
        attempt: Attempt<'_>,
        response: Response<Incoming>,
        connection: Connection,
        caller: &mut Caller,
    ) -> Outcome {
        let Attempt { target, directives, started, reroute_at } = attempt;
        let answered_at = clock::now();
        let (mut parts, body) = response.into_parts();
        if target.peer().is_some()
            && let Err(unanswered) = read_report(&mut parts, directives)
        {
            return self.end_unanswered(unanswered, connection, &parts, body).await;
        }
        let meaning = (self.gateway.dialect.classify)(&parts, &self.head.request);
        if meaning != (Meaning::NotRun { misdirected: true })
            && let Some(upstream) = target.upstream()
        {
            self.heed_notice(upstream, &parts, started);
        }
        if meaning == Meaning::Invalid {
            return self.broken();
        }
        if meaning == Meaning::Success && is_event_stream(&parts) {
            let stall_timeout = reroute_at.map(|at| at - started);
            let stream = Stream { parts, body, connection, answered_at, stall_timeout };
            return Outcome::Stream(Box::new(stream));
        }
        if let Meaning::NotRun { misdirected } = meaning {
            self.keep_after(connection, &parts, body).await;
            return Outcome::Failed(Ended::NotRun { misdirected }, None);
        }
        let may_cancel = self.call.repeat.may_run_again() || self.route.is_stream;
        let mut memory = self.memory.sibling(Kind::Responses);
        let whole = tokio::select! {
            whole = body::read(body, MAX_RESPONSE_BYTES, &mut memory, Shortage::Wait) => whole,
            () = caller.disconnected(), if may_cancel => return Outcome::CallerLeft,
            () = sleep_until(self.call.deadline.into()) => {
                return Outcome::TimedOut { is_hanging: false };
            }
        };
        let bytes = match whole {
            Ok(bytes) => bytes,
            Err(body::Error::TooLong | body::Error::Exhausted(_)) => return self.broken(),
            Err(body::Error::Broken) => {
                self.record_lost_connection(target, Some(answered_at), directives);
                return self.broken();
            }
        };
        self.keep(connection, &parts);
        self.outcome_of(meaning, parts, memory.hold(bytes))
    }

    /// Keeps a connection if the rest of a response that is not needed comes soon.
    async fn keep_after(
        &self,
        connection: Connection,
        parts: &http::response::Parts,
        body: Incoming,
    ) {
        if self.skip_body(body).await {
            self.keep(connection, parts);
        }
    }

    /// Reads the rest of a response that is not needed; returns whether it came soon.
    pub async fn skip_body(&self, body: Incoming) -> bool {
        let mut memory = self.memory.sibling(Kind::Responses);
        let rest = body::read(body, MAX_RESPONSE_BYTES, &mut memory, Shortage::Fail);
        let rest = timeout(REJECTION_TIMEOUT, rest);
        matches!(rest.await, Ok(Ok(_)))
    }

    /// Keeps a connection whose response was read to its end, unless the upstream is
    /// leaving, has answered before the request was written, or may repeat the response
    /// as if it were the next one.
    pub fn keep(&self, connection: Connection, parts: &http::response::Parts) {
        if connection.is_writing() {
            self.record_early_answer();
            return;
        }
        let dialect = &self.gateway.dialect;
        let is_named = (dialect.names_request)(parts, &self.head.request);
        if is_named && !(dialect.read_notice)(parts).is_leaving {
            self.gateway.pool.keep(connection, parts);
        } else {
            connection.mark_idle();
        }
    }

    /// The outcome of a response that was received whole.
    fn outcome_of(&self, meaning: Meaning, parts: http::response::Parts, bytes: Bytes) -> Outcome {
        let response = || {
            Response::from_parts((self.gateway.dialect.write_response_head)(&parts), bytes.clone())
        };
        match meaning {
            Meaning::Success => Outcome::Whole(response()),
            Meaning::Failure => Outcome::Failed(Ended::Failed, Some(response())),
            Meaning::NotRun { .. } | Meaning::Invalid => self.broken(),
        }
    }

    /// The outcome of an attempt whose request may have run without an answer.
    pub fn broken(&self) -> Outcome {
        let lost = (self.gateway.dialect.refuse)(&Refusal::Lost);
        Outcome::Failed(Ended::Broken, Some(lost))
    }

    /// When the request may be rerouted if no response has come by then; `None`
    /// where it must not be.
    fn reroute_at(&self, now: Instant, expected: Duration) -> Option<Instant> {
        if self.call.max_attempts < 2 {
            return None;
        }
        let left = self.call.deadline.saturating_duration_since(now);
        match self.call.repeat {
            Repeat::Once => None,
            Repeat::Idempotent => Some(now + left.mul_f64(REROUTE_FRACTION)),
            Repeat::Resumable => Some(now + MIN_STALL_TIMEOUT.max(expected * 4)),
        }
    }

    fn request_for(
        &self,
        target: &Target,
        resume_after: Option<&str>,
        time_left: Duration,
    ) -> Request<Full<Bytes>> {
        let body_bytes = (!self.body.is_empty()).then_some(self.body.len());
        let team = self.team.as_ref().map(|t| t.id.as_str());
        let dialect = &self.gateway.dialect;
        let parts = match target {
            Target::Upstream { upstream, .. } => {
                let forward = Forward { upstream, team, time_left, resume_after, body_bytes };
                (dialect.write_request_head)(&self.parts, &forward)
            }
            Target::Peer { excluded, origin, .. } => {
                let rest = Rest { time_left, resume_after, body_bytes };
                let mut parts = (dialect.write_peer_head)(&self.parts, &rest);
                let age = clock::now().saturating_duration_since(self.call.arrived);
                let (origin, excluded) = (origin.clone(), excluded.clone());
                let order = Order::new(&self.call, self.plan, origin, excluded, age);
                order.write(&mut parts.headers);
                parts
            }
        };
        Request::from_parts(parts, Full::new(self.body.clone()))
    }

    fn refuse(
        &self,
        caller: Caller,
        fallback: Option<(Response<Bytes>, Ended)>,
        reason: Reason,
        retry_after: Duration,
    ) {
        let (response, how, outcome) = match fallback {
            Some((response, Ended::Failed)) => (response, "failed", delegation::Outcome::Answered),
            Some((response, _)) => (response, "failed", delegation::Outcome::Lost),
            None => {
                let refusal = Refusal::NotRun { reason, retry_after };
                let response = (self.gateway.dialect.refuse)(&refusal);
                (response, reason.as_str(), delegation::Outcome::NotRun)
            }
        };
        self.answer(caller, response, how, outcome);
    }

    fn answer(
        &self,
        caller: Caller,
        mut response: Response<Bytes>,
        how: &'static str,
        outcome: delegation::Outcome,
    ) {
        self.record_answer(response.status(), how);
        self.report(response.headers_mut(), outcome);
        if let Caller::Waiting(answer) = caller {
            // The caller may have disconnected meanwhile.
            let _ = answer.send(reply::full(response));
        }
    }
}

/// Waits for the next directive; returns `None` if the caller disconnects first.
pub async fn next_directive(directives: &mut Directives, caller: &mut Caller) -> Option<Directive> {
    tokio::select! {
        biased;
        directive = directives.next() => Some(directive),
        () = caller.disconnected() => None,
    }
}

fn is_event_stream(parts: &http::response::Parts) -> bool {
    let kind = parts.headers.get(http::header::CONTENT_TYPE);
    kind.and_then(|k| k.to_str().ok()).is_some_and(|k| k.starts_with("text/event-stream"))
}
