//! One request at the upstreams, from its arrival to its final answer.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::{Request, Response, http};
use rosemarypond_core::entry::call::{Call, Ended, Reason, Repeat};
use rosemarypond_core::entry::plan::{Route, Team};
use rosemarypond_core::entry::upstream::Registration;
use rosemarypond_core::unit::Tokens;
use slog::info;
use tokio::sync::oneshot;
use tokio::time::sleep_until;

use crate::clock;
use crate::dialect::{Forward, Head, Meaning, Refusal};
use crate::gateway::Gateway;
use crate::pool::{Connection, SendError};
use crate::reply::{self, Caller, Reply};
use crate::runtime::{Directive, Directives};

/// How long an upstream has to accept a connection.
const CONNECT_PATIENCE: Duration = Duration::from_millis(350);
/// The longest answer that is passed on whole, in bytes.
const MAX_WHOLE_BYTES: usize = 4 << 20;
/// The part of the time left after which an idempotent request that has no
/// answer is sent elsewhere.
const HEDGE_PART: f64 = 0.45;
/// How often it is looked whether a silent upstream's request may move.
const SILENCE_CHECK: Duration = Duration::from_millis(250);
/// The shortest time without an event after which a resumable stream goes on
/// elsewhere.
const MIN_STALL: Duration = Duration::from_millis(1_200);

/// A request with all that is known of it.
pub struct Exchange {
    /// The borders.
    pub gateway: Rc<Gateway>,
    /// The head as it came.
    pub parts: http::request::Parts,
    /// What the head says.
    pub head: Head,
    /// The whole body.
    pub body: Bytes,
    /// Its route.
    pub route: Arc<Route>,
    /// Its team.
    pub team: Option<Arc<Team>>,
    /// What the scheduler knows of it.
    pub call: Call,
    /// How many tokens an event of its service holds.
    pub tokens_per_event: u32,
}

/// How a try ended.
pub enum Tried {
    /// With a whole answer.
    Whole(Response<Bytes>),
    /// With the head of an event stream.
    Stream(Box<Opened>),
    /// Without an answer that counts; the answer to give if no other follows.
    Again(Ended, Option<Response<Bytes>>),
    /// The caller left.
    Left,
    /// The time ran out after the request was sent.
    TimedOut,
}

/// An event stream whose head came.
pub struct Opened {
    /// The head as it came.
    pub parts: http::response::Parts,
    /// The pieces.
    pub body: Incoming,
    /// The connection that they come on.
    pub connection: Connection,
    /// The time without an event after which the stream is given up.
    pub stall: Option<Duration>,
}

impl Exchange {
    /// Runs the request and answers its caller.
    pub async fn run(self, mut directives: Directives, answer: oneshot::Sender<Response<Reply>>) {
        let mut caller = Caller::Waiting(answer);
        let mut fallback = None;
        loop {
            let Some(directive) = next_directive(&mut directives, &mut caller).await else {
                self.note_left();
                return;
            };
            let (upstream, expected) = match directive {
                Directive::Refuse { reason, retry_after } => {
                    self.give_up(caller, fallback, reason, retry_after);
                    return;
                }
                Directive::Send { upstream, sent_before, expected, running } => {
                    self.note_send(&upstream, sent_before, expected, running);
                    (upstream, expected)
                }
            };
            let tried = self.try_upstream(&upstream, expected, None, &directives, &mut caller);
            match tried.await {
                Tried::Whole(response) => {
                    directives.first();
                    let tokens = Tokens(0);
                    directives.ended(Ended::Whole { tokens });
                    self.answer(caller, response, "answered");
                    return;
                }
                Tried::Stream(opened) => {
                    self.relay(*opened, &upstream, directives, caller).await;
                    return;
                }
                Tried::Again(how, other) => {
                    self.note_failed(&upstream, how);
                    fallback = other.or(fallback);
                    directives.ended(how);
                }
                Tried::Left => {
                    self.note_left();
                    return;
                }
                Tried::TimedOut => {
                    let refusal = (self.gateway.dialect.refuse)(&Refusal::TimedOut);
                    self.answer(caller, refusal, "timed-out");
                    return;
                }
            }
        }
    }

    /// Sends the request to one upstream and waits for its answer, or for the
    /// head of a stream.
    pub async fn try_upstream(
        &self,
        upstream: &Registration,
        expected: Duration,
        resume_after: Option<&str>,
        directives: &Directives,
        caller: &mut Caller,
    ) -> Tried {
        let deadline = self.call.deadline;
        let mut connection = tokio::select! {
            taken = self.gateway.pool.take(upstream.address, CONNECT_PATIENCE) => match taken {
                Ok(connection) => connection,
                Err(_) => return Tried::Again(Ended::NotSent, None),
            },
            () = caller.disconnected() => return Tried::Left,
        };
        let started = clock::now();
        if started >= deadline {
            return Tried::Again(Ended::NotSent, None);
        }
        self.gateway.metrics.sends.inc();
        let request = self.request_for(upstream, resume_after, deadline - started);
        let patience = self.patience(started, expected);
        let may_cancel = self.call.repeat.may_run_again() || self.route.is_stream;
        let head = {
            let mut head = Box::pin(connection.send(request));
            let mut silent_at = patience;
            loop {
                tokio::select! {
                    head = head.as_mut() => break head,
                    () = caller.disconnected(), if may_cancel => return Tried::Left,
                    () = sleep_until(deadline.into()) => return Tried::TimedOut,
                    () = sleep_until(silent_at.unwrap_or(deadline).into()),
                        if silent_at.is_some() => {}
                }
                if directives.may_move() {
                    return self.broken();
                }
                silent_at = Some(clock::now() + SILENCE_CHECK);
            }
        };
        let response = match head {
            Ok(response) => response,
            Err(SendError::NotSent) => return Tried::Again(Ended::NotSent, None),
            Err(SendError::Broken) => return self.broken(),
        };
        self.read_answer(response, connection, patience, started, caller).await
    }

    async fn read_answer(
        &self,
        response: Response<Incoming>,
        connection: Connection,
        patience: Option<Instant>,
        started: Instant,
        caller: &mut Caller,
    ) -> Tried {
        let (parts, body) = response.into_parts();
        let meaning = (self.gateway.dialect.classify)(&parts, &self.head.request);
        if meaning == Meaning::Invalid {
            return self.broken();
        }
        if meaning == Meaning::Success && is_event_stream(&parts) {
            let stall = patience.map(|at| at - started);
            let opened = Opened { parts, body, connection, stall };
            return Tried::Stream(Box::new(opened));
        }
        let may_cancel = self.call.repeat.may_run_again() || self.route.is_stream;
        let whole = tokio::select! {
            whole = Limited::new(body, MAX_WHOLE_BYTES).collect() => whole,
            () = caller.disconnected(), if may_cancel => return Tried::Left,
            () = sleep_until(self.call.deadline.into()) => return Tried::TimedOut,
        };
        let bytes = match whole {
            Ok(whole) => whole.to_bytes(),
            Err(_) if matches!(meaning, Meaning::NotRun { .. }) => Bytes::new(),
            Err(_) => return self.broken(),
        };
        self.gateway.pool.keep(connection, &parts);
        self.weigh(meaning, parts, bytes)
    }

    /// What a whole answer comes to.
    fn weigh(&self, meaning: Meaning, parts: http::response::Parts, bytes: Bytes) -> Tried {
        let passed = || {
            Response::from_parts((self.gateway.dialect.write_response_head)(&parts), bytes.clone())
        };
        match meaning {
            Meaning::Success => Tried::Whole(passed()),
            Meaning::Failure => Tried::Again(Ended::Failed, Some(passed())),
            Meaning::NotRun { misdirected } => Tried::Again(Ended::NotRun { misdirected }, None),
            Meaning::Invalid => self.broken(),
        }
    }

    fn broken(&self) -> Tried {
        let lost = (self.gateway.dialect.refuse)(&Refusal::Lost);
        Tried::Again(Ended::Broken, Some(lost))
    }

    /// When to send the request elsewhere if no answer came, where it may.
    fn patience(&self, now: Instant, expected: Duration) -> Option<Instant> {
        if self.call.max_attempts < 2 {
            return None;
        }
        let left = self.call.deadline.saturating_duration_since(now);
        match self.call.repeat {
            Repeat::Once => None,
            Repeat::Idempotent => Some(now + left.mul_f64(HEDGE_PART)),
            Repeat::Resumable => Some(now + MIN_STALL.max(expected * 4)),
        }
    }

    fn request_for(
        &self,
        upstream: &Registration,
        resume_after: Option<&str>,
        time_left: Duration,
    ) -> Request<Full<Bytes>> {
        let forward = Forward {
            upstream,
            team: self.team.as_ref().map(|t| t.id.as_str()),
            time_left,
            resume_after,
            body_bytes: (!self.body.is_empty()).then_some(self.body.len()),
        };
        let parts = (self.gateway.dialect.write_request_head)(&self.parts, &forward);
        Request::from_parts(parts, Full::new(self.body.clone()))
    }

    fn give_up(
        &self,
        caller: Caller,
        fallback: Option<Response<Bytes>>,
        reason: Reason,
        retry_after: Duration,
    ) {
        let (response, how) = match fallback {
            Some(response) => (response, "failed"),
            None => {
                let refusal = Refusal::NotRun { reason, retry_after };
                ((self.gateway.dialect.refuse)(&refusal), reason.as_str())
            }
        };
        self.answer(caller, response, how);
    }

    fn answer(&self, caller: Caller, response: Response<Bytes>, how: &'static str) {
        self.note_answer(response.status(), how);
        if let Caller::Waiting(answer) = caller {
            // The caller may have left meanwhile.
            let _ = answer.send(reply::full(response));
        }
    }

    /// Logs and counts the final answer.
    pub fn note_answer(&self, status: http::StatusCode, how: &'static str) {
        self.gateway.metrics.answered(how);
        info!(self.gateway.log, "answered"; "request" => &self.head.request, "how" => how,
            "status" => status.as_u16(), "ms" => self.elapsed_ms(), "route" => &self.route.name);
    }

    fn note_send(
        &self,
        upstream: &Registration,
        sent_before: u32,
        expected: Duration,
        running: u32,
    ) {
        info!(self.gateway.log, "sent"; "request" => &self.head.request,
            "upstream" => upstream.id.as_str(), "sent_before" => sent_before,
            "expected_ms" => expected.as_millis() as u64, "running" => running,
            "rank" => self.call.rank, "waited_ms" => self.elapsed_ms());
    }

    /// Logs and counts a try that failed.
    pub fn note_failed(&self, upstream: &Registration, how: Ended) {
        self.gateway.metrics.failed_attempt(ended_name(how));
        info!(self.gateway.log, "try failed"; "request" => &self.head.request,
            "upstream" => upstream.id.as_str(), "how" => ended_name(how),
            "ms" => self.elapsed_ms());
    }

    /// Logs and counts a caller that left.
    pub fn note_left(&self) {
        self.gateway.metrics.answered("caller-left");
        info!(self.gateway.log, "caller left"; "request" => &self.head.request,
            "ms" => self.elapsed_ms());
    }

    /// Milliseconds since the request arrived.
    pub fn elapsed_ms(&self) -> u64 {
        clock::now().saturating_duration_since(self.call.arrived).as_millis() as u64
    }
}

/// The next directive; none if the caller left first.
pub async fn next_directive(directives: &mut Directives, caller: &mut Caller) -> Option<Directive> {
    tokio::select! {
        biased;
        directive = directives.next() => Some(directive),
        () = caller.disconnected() => None,
    }
}

fn ended_name(how: Ended) -> &'static str {
    match how {
        Ended::Whole { .. } => "whole",
        Ended::NotSent => "not-sent",
        Ended::NotRun { misdirected: true } => "misdirected",
        Ended::NotRun { misdirected: false } => "not-run",
        Ended::Failed => "failed",
        Ended::Broken => "broken",
        Ended::Cut => "cut",
        Ended::Abandoned => "abandoned",
    }
}

fn is_event_stream(parts: &http::response::Parts) -> bool {
    let kind = parts.headers.get(http::header::CONTENT_TYPE);
    kind.and_then(|k| k.to_str().ok()).is_some_and(|k| k.starts_with("text/event-stream"))
}
