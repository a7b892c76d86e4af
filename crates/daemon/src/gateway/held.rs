//! One request from its arrival to its final answer.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{Response, header, http};
use rosemarypond_core::claim::{Ended, Verdict};
use rosemarypond_core::config::{Document, Kind, Version};
use rosemarypond_core::event::Event;
use rosemarypond_core::id;
use rosemarypond_core::outcome::Reason;
use rosemarypond_core::request::Repeat;
use rosemarypond_core::resume::{self, Grant};
use rosemarypond_core::unit::Tokens;
use rosemarypond_edge::reply::{self, Caller, Reply, Sender};
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::intake::{self, Intake};
use super::{Gateway, Place, Problem, refuse_unread};
use crate::answer::Answer;
use crate::runtime::Note;
use crate::upstream::{Answering, Call, DONE, Piece, Target};

/// A stream that has begun and is silent for this long is resumed.
pub const STREAM_SILENCE: Duration = Duration::from_secs(3);
/// How often a stream is resumed before it is given up.
pub const MAX_RESUMES: u32 = 3;
/// How long a cut-off call is waited for before its slot is free again.
pub const CANCEL_WAIT: Duration = Duration::from_secs(2);

/// The header that names a request.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
const RESUME: HeaderName = HeaderName::from_static("rosemarypond-resume");

/// Serves a request that a rule covers.
pub async fn serve(
    gateway: Rc<Gateway>,
    parts: http::request::Parts,
    body: Incoming,
    place: Place,
) -> Response<Reply> {
    let document = match document(&gateway) {
        Ok(document) => document,
        Err(reason) => {
            gateway.discard(body).await;
            return refuse_unread(&parts, reason).into();
        }
    };
    let max_body = gateway.settings.max_body.0;
    let intake = match gateway.read(body, max_body).await {
        Ok(body) => intake::read(&parts, body, gateway.next_id(), &document),
        Err(problem) => Err(problem),
    };
    match intake {
        Ok(intake) => run(gateway, intake, &document, place).await,
        Err(problem) => problem.into(),
    }
}

/// The configuration in force, or why there is none to go by.
pub fn document(gateway: &Gateway) -> Result<Arc<Document>, Reason> {
    let config = gateway.handle.ask(|instance, _| {
        let (version, document) = instance.config();
        (version, Arc::clone(document))
    });
    match config {
        Some((version, document)) if version > Version::default() => Ok(document),
        Some(_) => Err(Reason::PlatformDown),
        // The decisions end when a drain is over.
        None => Err(Reason::Draining),
    }
}

async fn run(
    gateway: Rc<Gateway>,
    intake: Intake,
    document: &Document,
    place: Place,
) -> Response<Reply> {
    let (answer, answered) = oneshot::channel();
    let id = intake.call.id;
    let held = Held {
        team: intake.request.team.clone(),
        call: Rc::new(intake.call),
        secret: document.resume_secret.clone(),
        caller: Some(Caller::Waiting(answer)),
        run: None,
        is_answered: false,
        gateway,
    };
    let notes = held.gateway.handle.arrived(intake.request);
    spawn_local(async move {
        held.follow(notes).await;
        drop(place);
    });
    // Each request that is followed to its end has an answer.
    let lost = || Problem::bad(500, "The request was lost.").with_outcome("unknown");
    answered.await.unwrap_or_else(|_| lost().with_request(id).into())
}

/// An answer that is streamed, and where its events are put in.
pub fn stream(id: id::Request, resume: Option<&str>) -> (Sender, Response<Reply>) {
    let (sender, body) = reply::channel();
    let mut response = Response::new(body);
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-store"));
    let mut add = |name, value: &str| {
        if let Ok(value) = HeaderValue::from_str(value) {
            headers.insert(name, value);
        }
    };
    add(REQUEST_ID, &id.to_string());
    if let Some(token) = resume {
        add(RESUME, token);
    }
    (sender, response)
}

/// A dispatched request.
struct Run {
    target: Target,
    answering: Answering,
    resumes: u32,
    events: usize,
    kept: Vec<u8>,
    whole: Option<Answer>,
    has_ended: bool,
}

/// What a held request hears.
enum Heard {
    Note(Note),
    Piece(Piece),
    Left,
    Silence,
}

struct Held {
    gateway: Rc<Gateway>,
    call: Rc<Call>,
    team: id::Team,
    secret: Option<String>,
    /// Gone as soon as nothing more can be told.
    caller: Option<Caller>,
    run: Option<Run>,
    is_answered: bool,
}

impl Held {
    /// Lives through a request until its caller has the final answer and its
    /// upstream's work has ended.
    async fn follow(mut self, mut notes: mpsc::UnboundedReceiver<Note>) {
        while !self.is_over() {
            match self.hear(&mut notes).await {
                Heard::Note(note) => self.take(note).await,
                Heard::Piece(piece) => self.piece(piece).await,
                Heard::Left => self.left(),
                Heard::Silence => self.silent().await,
            }
        }
    }

    fn is_over(&self) -> bool {
        self.is_answered && self.run.as_ref().is_none_or(|run| run.has_ended)
    }

    async fn hear(&mut self, notes: &mut mpsc::UnboundedReceiver<Note>) -> Heard {
        let patience = self.patience();
        let (run, caller) = (&mut self.run, &mut self.caller);
        tokio::select! {
            biased;
            Some(note) = notes.recv() => Heard::Note(note),
            piece = next_piece(run) => Heard::Piece(piece),
            () = left(caller) => Heard::Left,
            () = sleep(patience) => Heard::Silence,
        }
    }

    /// How long nothing may be heard.
    fn patience(&self) -> Duration {
        let Some(run) = &self.run else { return self.call.limit };
        if self.is_answered {
            return CANCEL_WAIT;
        }
        if run.events > 0 { STREAM_SILENCE } else { self.call.limit }
    }

    async fn take(&mut self, note: Note) {
        match note {
            Note::Dispatch(target) => self.dispatch(target),
            Note::Cancel => self.cancel(),
            Note::Verdict { verdict, retry_after, replay } => {
                self.is_answered = true;
                self.verdict(verdict, retry_after, replay).await;
            }
        }
    }

    fn dispatch(&mut self, target: Target) {
        let answering = self.gateway.upstreams.call(self.call.clone(), target.clone());
        self.run = Some(Run {
            target,
            answering,
            resumes: 0,
            events: 0,
            kept: Vec::new(),
            whole: None,
            has_ended: false,
        });
    }

    async fn piece(&mut self, piece: Piece) {
        let Some(run) = &mut self.run else { return };
        match piece {
            Piece::Event(event) => self.event(event).await,
            Piece::Whole(answer) => {
                self.gateway.handle.event(Event::FirstToken(self.call.id));
                run.whole = Some(answer);
            }
            Piece::End(Ended::Broken) if self.resumes() => {}
            Piece::End(how) => self.end(how).await,
        }
    }

    async fn event(&mut self, event: Bytes) {
        let Some(run) = &mut self.run else { return };
        if run.events == 0 {
            self.gateway.handle.event(Event::FirstToken(self.call.id));
        }
        run.events += 1;
        if self.keeps() {
            let run = self.run.as_mut().expect("it runs");
            run.kept.extend_from_slice(&event);
        }
        if !self.is_answered {
            self.forward(event).await;
        }
    }

    /// Whether the answer is kept under a key.
    fn keeps(&self) -> bool {
        matches!(self.call.repeat, Repeat::Keyed(_))
    }

    async fn forward(&mut self, event: Bytes) {
        if let Some(Caller::Waiting(answer)) =
            self.caller.take_if(|caller| matches!(caller, Caller::Waiting(_)))
        {
            let (sender, response) = stream(self.call.id, self.token().as_deref());
            // A caller who has left is noticed at the pieces.
            let _ = answer.send(response);
            self.caller = Some(Caller::Streaming(sender));
        }
        self.send(event).await;
    }

    /// Sends bytes of the stream, where the caller still takes them.
    async fn send(&mut self, bytes: impl Into<Bytes>) {
        let Some(Caller::Streaming(sender)) = &self.caller else { return };
        if sender.send(Ok(bytes.into())).await.is_err() {
            self.left();
        }
    }

    fn left(&mut self) {
        self.caller = None;
        if !self.is_answered {
            self.gateway.handle.event(Event::CallerLeft(self.call.id));
        }
    }

    fn token(&self) -> Option<String> {
        let secret = self.secret.as_ref()?;
        let grant = Grant {
            request: self.call.id,
            team: self.team.clone(),
            upstream: self.run.as_ref()?.target.upstream.clone(),
        };
        Some(resume::sign(&grant, secret))
    }

    /// Resumes a broken stream on its engine, where that is possible.
    fn resumes(&mut self) -> bool {
        let Some(run) = &mut self.run else { return false };
        let can = run.target.kind == Kind::Engine && run.events > 0 && !self.is_answered;
        if !can || run.resumes >= MAX_RESUMES {
            return false;
        }
        run.resumes += 1;
        let (id, limit) = (self.call.id, self.call.limit);
        let address = run.target.address;
        run.answering = self.gateway.upstreams.resume(id, address, run.events, limit);
        true
    }

    async fn silent(&mut self) {
        if self.is_answered {
            self.finish(Ended::Broken);
        } else if self.run.is_some() && !self.resumes() {
            self.end(Ended::Broken).await;
        }
    }

    async fn end(&mut self, how: Ended) {
        self.finish(how);
        if how == Ended::Whole && !self.is_answered {
            self.send(Bytes::from_static(DONE)).await;
        }
    }

    /// Tells the scheduler that the upstream's work has ended.
    fn finish(&mut self, how: Ended) {
        let keeps = self.keeps();
        let Some(run) = &mut self.run else { return };
        if run.has_ended {
            return;
        }
        run.has_ended = true;
        let kept = match (how, &run.whole) {
            (Ended::Whole, Some(whole)) if keeps => Some(whole.clone()),
            (Ended::Whole, None) if keeps => Some(kept_stream(std::mem::take(&mut run.kept))),
            _ => None,
        };
        let tokens = Tokens(run.events as u32);
        self.gateway.handle.ended(self.call.id, how, tokens, kept);
    }

    fn cancel(&self) {
        let Some(run) = &self.run else { return };
        if run.target.kind == Kind::Engine && !run.has_ended {
            self.gateway.upstreams.cancel(self.call.id, run.target.address);
        }
    }

    async fn verdict(&mut self, verdict: Verdict, retry_after: Duration, replay: Option<Answer>) {
        match verdict {
            Verdict::Deliver => self.deliver(),
            Verdict::Replay => self.replay(replay),
            Verdict::Refuse(outcome, reason) => {
                let id = Some(self.call.id);
                self.refuse(Problem::refused(id, outcome, reason, retry_after)).await;
            }
        }
        // What was sent ends here.
        self.caller = None;
    }

    fn deliver(&mut self) {
        let whole = self.run.as_mut().and_then(|run| run.whole.take());
        // A stream without a single token is whole all the same.
        let answer = whole.unwrap_or_else(|| kept_stream(Vec::new()));
        self.answer(reply::full(answer.into_response()));
    }

    fn replay(&mut self, replay: Option<Answer>) {
        let too_long = || {
            Problem::bad(409, "The request ran, but its answer was too long to keep.")
                .with_outcome("ran")
        };
        let response = replay.map(|answer| reply::full(answer.into_response()));
        self.answer(response.unwrap_or_else(|| too_long().into()));
    }

    async fn refuse(&mut self, problem: Problem) {
        if matches!(self.caller, Some(Caller::Streaming(_))) {
            self.send(problem.event()).await;
        } else {
            self.answer(problem.into());
        }
    }

    /// Answers a caller who has got nothing yet.
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

/// The next piece of an answer that has not ended.
async fn next_piece(run: &mut Option<Run>) -> Piece {
    match run {
        Some(run) if !run.has_ended => run.answering.next().await,
        _ => std::future::pending().await,
    }
}

/// Completes when a caller who is still there leaves.
async fn left(caller: &mut Option<Caller>) {
    match caller {
        Some(caller) => caller.disconnected().await,
        None => std::future::pending().await,
    }
}

fn kept_stream(mut body: Vec<u8>) -> Answer {
    body.extend_from_slice(DONE);
    Answer::new(200, "text/event-stream", body)
}
