//! One request from its arrival to its final answer.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{Response, header, http};
use rosemarypond_core::claim::{Ended, Verdict};
use rosemarypond_core::config::{self, Document, Version};
use rosemarypond_core::event::Event;
use rosemarypond_core::id;
use rosemarypond_core::outcome::Reason;
use rosemarypond_core::request::Repeat;
use rosemarypond_core::resume::{self, Grant};
use rosemarypond_core::unit::Tokens;
use rosemarypond_edge::connections::Activity;
use rosemarypond_edge::memory::{Kind, Memory};
use rosemarypond_edge::reply::{self, Caller, Reply, Sender};
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::intake::{self, Intake};
use super::{Gateway, Permit, Problem, Reading, refuse_unread};
use crate::answer::Answer;
use crate::platform::MAX_KEPT_BYTES;
use crate::runtime::Directive;
use crate::upstream::{Call, DONE, Piece, Pieces, Target};

/// Longest gap between two events of a stream before the stream is resumed.
pub const STREAM_IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Resumptions of a stream before its attempt counts as broken.
pub const MAX_RESUMES: u32 = 3;
/// How long a call may send nothing after its caller was answered before its
/// slot counts as free again.
pub const CANCEL_WAIT: Duration = Duration::from_secs(2);

/// The header with the request's id.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
const RESUME: HeaderName = HeaderName::from_static("rosemarypond-resume");

/// Answers a request that is meant for an upstream.
pub async fn serve(
    gateway: Rc<Gateway>,
    parts: http::request::Parts,
    body: Incoming,
    activity: Rc<Activity>,
    permit: Permit,
) -> Response<Reply> {
    let document = match document(&gateway) {
        Ok(document) => document,
        Err(reason) => {
            gateway.discard(body).await;
            return refuse_unread(&parts, reason).into();
        }
    };
    let max_body = usize::try_from(gateway.settings.max_body.0).unwrap_or(usize::MAX);
    let reading = Reading { parts: &parts, activity: &activity };
    let intake = match gateway.read(body, max_body, &reading).await {
        Ok(body) => intake::parse(&parts, body, gateway.next_id(), &document),
        Err(problem) => Err(problem),
    };
    match intake {
        Ok(intake) => start(gateway, intake, &document, activity, permit).await,
        Err(problem) => problem.into(),
    }
}

/// Returns the configuration in force.
///
/// # Errors
///
/// The reason for refusal where there is none yet or the instance has drained.
pub fn document(gateway: &Gateway) -> Result<Arc<Document>, Reason> {
    let config = gateway.handle.ask(|instance, _| {
        let (version, document) = instance.config();
        (version, Arc::clone(document))
    });
    match config {
        Some((version, document)) if version > Version::default() => Ok(document),
        Some(_) => Err(Reason::PlatformDown),
        // The scheduler stops at the end of a drain.
        None => Err(Reason::Draining),
    }
}

async fn start(
    gateway: Rc<Gateway>,
    intake: Intake,
    document: &Document,
    activity: Rc<Activity>,
    permit: Permit,
) -> Response<Reply> {
    let (answer, answered) = oneshot::channel();
    let id = intake.call.id;
    let held = Held {
        team: intake.request.team.clone(),
        call: Rc::new(intake.call),
        secret: document.resume_secret.clone(),
        caller: Some(Caller::Waiting(answer)),
        attempt: None,
        is_answered: false,
        activity,
        gateway,
    };
    let directives = held.gateway.handle.submit(intake.request);
    spawn_local(async move {
        held.drive(directives).await;
        drop(permit);
    });
    // The task answers every request before it ends.
    let lost = || Problem::bad_request(500, "The request was lost.").with_outcome("unknown");
    answered.await.unwrap_or_else(|_| lost().with_request(id).into())
}

/// Returns the response of a streamed answer and the sender of its events.
pub fn stream(id: id::Request, resume: Option<&str>) -> (Sender, Response<Reply>) {
    let (sender, body) = reply::channel();
    let mut response = Response::new(body);
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-store"));
    let mut insert = |name, value: &str| {
        if let Ok(value) = HeaderValue::from_str(value) {
            headers.insert(name, value);
        }
    };
    insert(REQUEST_ID, &id.to_string());
    if let Some(token) = resume {
        insert(RESUME, token);
    }
    (sender, response)
}

/// The dispatch of a request to one upstream.
struct Attempt {
    target: Target,
    pieces: Pieces,
    resumes: u32,
    events: usize,
    /// The events so far, where the answer is stored under a key.
    kept: Vec<u8>,
    /// The whole answer, and its memory until it is passed on.
    whole: Option<(Answer, Rc<Memory>)>,
    has_ended: bool,
}

/// What a held request reacts to.
enum Input {
    Directive(Directive),
    Piece(Piece),
    CallerLeft,
    Timeout,
}

/// A request whose caller waits for an answer or whose upstream still works.
struct Held {
    gateway: Rc<Gateway>,
    call: Rc<Call>,
    team: id::Team,
    secret: Option<String>,
    /// `None` once the caller has left or has the final answer.
    caller: Option<Caller>,
    attempt: Option<Attempt>,
    is_answered: bool,
    /// The caller's connection.
    activity: Rc<Activity>,
}

impl Held {
    /// Serves the request until its caller has the final answer and its
    /// upstream's work has ended.
    async fn drive(mut self, mut directives: mpsc::UnboundedReceiver<Directive>) {
        while !self.has_ended() {
            match self.next_input(&mut directives).await {
                Input::Directive(directive) => self.handle_directive(directive).await,
                Input::Piece(piece) => self.handle_piece(piece).await,
                Input::CallerLeft => self.drop_caller(),
                Input::Timeout => self.handle_timeout().await,
            }
        }
    }

    fn has_ended(&self) -> bool {
        self.is_answered && self.attempt.as_ref().is_none_or(|attempt| attempt.has_ended)
    }

    async fn next_input(&mut self, directives: &mut mpsc::UnboundedReceiver<Directive>) -> Input {
        let timeout = self.input_timeout();
        let (attempt, caller) = (&mut self.attempt, &mut self.caller);
        tokio::select! {
            biased;
            Some(directive) = directives.recv() => Input::Directive(directive),
            piece = next_piece(attempt) => Input::Piece(piece),
            () = caller_left(caller) => Input::CallerLeft,
            () = sleep(timeout) => Input::Timeout,
        }
    }

    /// How long the next input is waited for.
    fn input_timeout(&self) -> Duration {
        let Some(attempt) = &self.attempt else { return self.call.timeout };
        if self.is_answered {
            return CANCEL_WAIT;
        }
        if attempt.events > 0 { STREAM_IDLE_TIMEOUT } else { self.call.timeout }
    }

    async fn handle_directive(&mut self, directive: Directive) {
        match directive {
            Directive::Dispatch(target) => self.dispatch(target),
            Directive::Cancel => self.cancel(),
            Directive::Verdict { verdict, retry_after, replay } => {
                self.is_answered = true;
                self.apply(verdict, retry_after, replay).await;
            }
        }
    }

    fn dispatch(&mut self, target: Target) {
        let memory = self.activity.memory(Kind::Responses);
        let pieces = self.gateway.upstreams.call(self.call.clone(), target.clone(), memory);
        self.attempt = Some(Attempt {
            target,
            pieces,
            resumes: 0,
            events: 0,
            kept: Vec::new(),
            whole: None,
            has_ended: false,
        });
    }

    async fn handle_piece(&mut self, piece: Piece) {
        let Some(attempt) = &mut self.attempt else { return };
        match piece {
            Piece::Event(event) => self.handle_event(event).await,
            Piece::Whole(answer, memory) => {
                self.gateway.handle.event(Event::FirstToken(self.call.id));
                attempt.whole = Some((answer, memory));
            }
            Piece::End(Ended::Broken) if self.try_resume() => {}
            Piece::End(how) => self.end(how).await,
        }
    }

    async fn handle_event(&mut self, event: Bytes) {
        let Some(attempt) = &mut self.attempt else { return };
        if attempt.events == 0 {
            self.gateway.handle.event(Event::FirstToken(self.call.id));
        }
        attempt.events += 1;
        if self.keeps_answer() {
            let attempt = self.attempt.as_mut().expect("the attempt was checked above");
            // Of an answer that is too long to be stored, no more is kept than shows that.
            if attempt.kept.len() <= MAX_KEPT_BYTES {
                attempt.kept.extend_from_slice(&event);
            }
        }
        if !self.is_answered {
            self.forward(event).await;
        }
    }

    /// Reports whether the answer is stored under an idempotency key.
    fn keeps_answer(&self) -> bool {
        matches!(self.call.repeat, Repeat::Keyed(_))
    }

    async fn forward(&mut self, event: Bytes) {
        if let Some(Caller::Waiting(answer)) =
            self.caller.take_if(|caller| matches!(caller, Caller::Waiting(_)))
        {
            let (sender, response) = stream(self.call.id, self.resume_token().as_deref());
            // If the caller has left, sending the first event fails.
            let _ = answer.send(response);
            self.caller = Some(Caller::Streaming(sender));
        }
        self.send(event).await;
    }

    /// Sends bytes of the stream to the caller, if it is still connected.
    async fn send(&mut self, bytes: impl Into<Bytes>) {
        let Some(Caller::Streaming(sender)) = &self.caller else { return };
        if sender.send(Ok(bytes.into())).await.is_err() {
            self.drop_caller();
        }
    }

    /// Records that the caller has left.
    fn drop_caller(&mut self) {
        self.caller = None;
        if !self.is_answered {
            self.gateway.handle.event(Event::CallerLeft(self.call.id));
        }
    }

    fn resume_token(&self) -> Option<String> {
        let secret = self.secret.as_ref()?;
        let grant = Grant {
            request: self.call.id,
            team: self.team.clone(),
            upstream: self.attempt.as_ref()?.target.upstream.clone(),
        };
        Some(resume::sign(&grant, secret))
    }

    /// Resumes a broken stream on its engine and reports whether that was
    /// possible.
    fn try_resume(&mut self) -> bool {
        let Some(attempt) = &mut self.attempt else { return false };
        let is_resumable =
            attempt.target.kind == config::Kind::Engine && attempt.events > 0 && !self.is_answered;
        if !is_resumable || attempt.resumes >= MAX_RESUMES {
            return false;
        }
        attempt.resumes += 1;
        let (id, timeout) = (self.call.id, self.call.timeout);
        let address = attempt.target.address;
        let memory = self.activity.memory(Kind::Responses);
        let events = attempt.events;
        attempt.pieces = self.gateway.upstreams.resume(id, address, events, timeout, memory);
        true
    }

    async fn handle_timeout(&mut self) {
        if self.is_answered {
            self.report_end(Ended::Broken);
        } else if self.attempt.is_some() && !self.try_resume() {
            self.end(Ended::Broken).await;
        }
    }

    async fn end(&mut self, how: Ended) {
        self.report_end(how);
        if how == Ended::Whole && !self.is_answered {
            self.send(Bytes::from_static(DONE)).await;
        }
    }

    /// Reports once to the scheduler that the upstream's work has ended.
    fn report_end(&mut self, how: Ended) {
        let keeps = self.keeps_answer();
        let Some(attempt) = &mut self.attempt else { return };
        if attempt.has_ended {
            return;
        }
        attempt.has_ended = true;
        let kept = match (how, &attempt.whole) {
            (Ended::Whole, Some((whole, _))) if keeps => Some(whole.clone()),
            (Ended::Whole, None) if keeps => Some(kept_stream(std::mem::take(&mut attempt.kept))),
            _ => None,
        };
        let tokens = Tokens(attempt.events as u32);
        self.gateway.handle.report_end(self.call.id, how, tokens, kept);
    }

    fn cancel(&self) {
        let Some(attempt) = &self.attempt else { return };
        if attempt.target.kind == config::Kind::Engine && !attempt.has_ended {
            self.gateway.upstreams.cancel(self.call.id, attempt.target.address);
        }
    }

    async fn apply(&mut self, verdict: Verdict, retry_after: Duration, replay: Option<Answer>) {
        match verdict {
            Verdict::Deliver => self.deliver(),
            Verdict::Replay => self.replay(replay),
            Verdict::Refuse(outcome, reason) => {
                let id = Some(self.call.id);
                self.refuse(Problem::refused(id, outcome, reason, retry_after)).await;
            }
        }
        // Dropping the sender ends a streamed answer.
        self.caller = None;
    }

    fn deliver(&mut self) {
        let whole = self.attempt.as_mut().and_then(|attempt| attempt.whole.take());
        // A stream that ended without tokens is delivered as an empty one.
        let answer = whole.map_or_else(|| kept_stream(Vec::new()), |(answer, _)| answer);
        self.answer(self.whole(answer));
    }

    /// A whole answer, whose memory is counted until its caller has read it.
    fn whole(&self, answer: Answer) -> Response<Reply> {
        let mut memory = self.activity.memory(Kind::Responses);
        memory.add(answer.body.len());
        reply::full(answer.into_response().map(|body| memory.hold(body)))
    }

    fn replay(&mut self, replay: Option<Answer>) {
        let too_long = || {
            Problem::bad_request(409, "The request ran, but its answer was too long to keep.")
                .with_outcome("ran")
        };
        let response = replay.map(|answer| self.whole(answer));
        self.answer(response.unwrap_or_else(|| too_long().into()));
    }

    async fn refuse(&mut self, problem: Problem) {
        if matches!(self.caller, Some(Caller::Streaming(_))) {
            self.send(problem.to_event()).await;
        } else {
            self.answer(problem.into());
        }
    }

    /// Answers a caller who has received nothing yet.
    fn answer(&mut self, mut response: Response<Reply>) {
        if let Some(Caller::Waiting(answer)) =
            self.caller.take_if(|caller| matches!(caller, Caller::Waiting(_)))
        {
            if let Ok(id) = HeaderValue::from_str(&self.call.id.to_string()) {
                response.headers_mut().entry(REQUEST_ID).or_insert(id);
            }
            // The caller may have left.
            let _ = answer.send(response);
        }
    }
}

/// Waits for the next piece of an answer; never completes where no attempt runs.
async fn next_piece(attempt: &mut Option<Attempt>) -> Piece {
    match attempt {
        Some(attempt) if !attempt.has_ended => attempt.pieces.next().await,
        _ => std::future::pending().await,
    }
}

/// Completes when the caller disconnects; never where there is none any more.
async fn caller_left(caller: &mut Option<Caller>) {
    match caller {
        Some(caller) => caller.disconnected().await,
        None => std::future::pending().await,
    }
}

/// Returns a finished stream as a whole answer.
fn kept_stream(mut body: Vec<u8>) -> Answer {
    body.extend_from_slice(DONE);
    Answer::new(200, "text/event-stream", body)
}
