//! One request from its arrival to its final answer.

use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::thread;
use std::time::Duration;

use rosemarypond_core::claim::{Ended, Verdict};
use rosemarypond_core::config::{Document, Kind, Version};
use rosemarypond_core::event::Event;
use rosemarypond_core::id;
use rosemarypond_core::outcome::{Outcome, Reason};
use rosemarypond_core::resume::{self, Grant};
use rosemarypond_core::unit::Tokens;

use super::intake::{self, Intake};
use super::stream::Stream;
use super::{Gateway, Note, Problem, header, refuse_unread, reply};
use crate::upstream::{Answer, Call, Piece, Target};

/// A stream that has begun and is silent for this long is resumed.
pub const STREAM_SILENCE: Duration = Duration::from_secs(3);
/// How often a stream is resumed before it is given up.
pub const MAX_RESUMES: u32 = 3;
/// The pause before a stream is resumed.
pub const RESUME_PAUSE: Duration = Duration::from_millis(100);
/// How long a cut-off call is waited for before its slot is free again.
pub const CANCEL_WAIT: Duration = Duration::from_secs(2);

const DONE: &[u8] = b"data: [DONE]\n\n";

/// Serves a request that a rule covers.
pub fn serve(gateway: &Gateway, mut http: tiny_http::Request) {
    let document = match document(gateway) {
        Ok(document) => document,
        Err(reason) => {
            refuse_unread(http, reason);
            return;
        }
    };
    let id = gateway.next_id();
    match intake::read(&mut http, id, &document, gateway.settings.max_body.0) {
        Ok(intake) => {
            let _served = gateway.served.begin(http.remote_addr().copied());
            run(gateway, http, intake, &document);
        }
        Err(problem) => problem.send(http),
    }
}

/// The configuration in force, or why there is none to go by.
fn document(gateway: &Gateway) -> Result<Arc<Document>, Reason> {
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

fn run(gateway: &Gateway, http: tiny_http::Request, intake: Intake, document: &Document) {
    let (sender, notes) = channel();
    let team = intake.request.team.clone();
    gateway.handle.arrived(intake.request, sender.clone());
    let secret = document.resume_secret.clone();
    let out = Out { http: Some(http), stream: None, gone: false };
    let mut held =
        Held { gateway, call: intake.call, team, secret, out, sender, run: None, answered: false };
    held.follow(&notes);
}

/// The caller's side of a request.
struct Out {
    http: Option<tiny_http::Request>,
    stream: Option<Stream>,
    gone: bool,
}

/// A dispatched request.
struct Run {
    target: Target,
    attempt: u32,
    events: usize,
    kept: Vec<u8>,
    whole: Option<Answer>,
    ended: bool,
}

struct Held<'a> {
    gateway: &'a Gateway,
    call: Call,
    team: id::Team,
    secret: Option<String>,
    out: Out,
    sender: Sender<Note>,
    run: Option<Run>,
    answered: bool,
}

impl Held<'_> {
    /// Lives through a request until its caller has the final answer and its
    /// upstream's work has ended.
    fn follow(&mut self, notes: &Receiver<Note>) {
        while !self.is_over() {
            match notes.recv_timeout(self.patience()) {
                Ok(note) => self.take(note),
                Err(RecvTimeoutError::Timeout) => self.silent(),
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    fn is_over(&self) -> bool {
        self.answered && self.run.as_ref().is_none_or(|run| run.ended)
    }

    /// How long nothing may be heard.
    fn patience(&self) -> Duration {
        let Some(run) = &self.run else { return self.call.limit };
        if self.answered {
            return CANCEL_WAIT;
        }
        if run.events > 0 { STREAM_SILENCE } else { self.call.limit }
    }

    fn take(&mut self, note: Note) {
        match note {
            Note::Dispatch(target) => self.dispatch(target),
            Note::Piece { attempt, piece } => self.piece(attempt, piece),
            Note::Cancel => self.cancel(),
            Note::Verdict { verdict, retry_after, replay } => {
                self.verdict(verdict, retry_after, replay);
            }
        }
    }

    fn dispatch(&mut self, target: Target) {
        let attempt = self.run.as_ref().map_or(0, |run| run.attempt + 1);
        self.gateway.agents.call(self.call.clone(), target.clone(), attempt, self.sender.clone());
        self.run =
            Some(Run { target, attempt, events: 0, kept: Vec::new(), whole: None, ended: false });
    }

    fn piece(&mut self, attempt: u32, piece: Piece) {
        let Some(run) = &mut self.run else { return };
        // Pieces of a connection that was given up are never used.
        if attempt != run.attempt || run.ended {
            return;
        }
        match piece {
            Piece::Event(event) => self.event(&event),
            Piece::Whole(answer) => {
                self.gateway.handle.event(Event::FirstToken(self.call.id));
                run.whole = Some(answer);
            }
            Piece::End(Ended::Broken) if self.resumes() => {}
            Piece::End(how) => self.end(how),
        }
    }

    fn event(&mut self, event: &[u8]) {
        let Some(run) = &mut self.run else { return };
        if run.events == 0 {
            self.gateway.handle.event(Event::FirstToken(self.call.id));
        }
        run.events += 1;
        if !self.call.repeat.may_cancel() {
            run.kept.extend_from_slice(event);
        }
        if !self.answered {
            self.forward(event);
        }
    }

    fn forward(&mut self, event: &[u8]) {
        if self.out.stream.is_none()
            && let Some(http) = self.out.http.take()
        {
            let token = self.token();
            self.out.stream = Stream::begin(http, self.call.id, token.as_deref()).ok();
        }
        let sent = self.out.stream.as_mut().is_some_and(|stream| stream.send(event).is_ok());
        if !sent && !self.out.gone {
            self.out.gone = true;
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
        let can = run.target.kind == Kind::Engine && run.events > 0 && !self.answered;
        if !can || run.attempt >= MAX_RESUMES {
            return false;
        }
        run.attempt += 1;
        let (address, from, attempt) = (run.target.address, run.events, run.attempt);
        thread::sleep(RESUME_PAUSE);
        let (id, limit) = (self.call.id, self.call.limit);
        self.gateway.agents.resume(id, address, from, limit, attempt, self.sender.clone());
        true
    }

    fn silent(&mut self) {
        if self.answered {
            self.finish(Ended::Broken);
        } else if self.run.is_some() && !self.resumes() {
            self.end(Ended::Broken);
        }
    }

    fn end(&mut self, how: Ended) {
        self.finish(how);
        if how == Ended::NotDispatched {
            // The scheduler may send it elsewhere.
            return;
        }
        if self.answered {
            return;
        }
        if let (Ended::Whole, Some(stream)) = (how, &mut self.out.stream) {
            // The caller may have left.
            let _ = stream.end(DONE);
        }
    }

    /// Tells the scheduler that the upstream's work has ended.
    fn finish(&mut self, how: Ended) {
        let Some(run) = &mut self.run else { return };
        if run.ended {
            return;
        }
        run.ended = true;
        let kept = match (how, &run.whole, self.call.repeat.may_cancel()) {
            (Ended::Whole, Some(whole), false) => Some(whole.clone()),
            (Ended::Whole, None, false) => Some(kept_stream(std::mem::take(&mut run.kept))),
            _ => None,
        };
        let tokens = Tokens(run.events as u32);
        self.gateway.handle.ended(self.call.id, how, tokens, kept);
    }

    fn cancel(&mut self) {
        let Some(run) = &self.run else { return };
        if run.target.kind == Kind::Engine && !run.ended {
            self.gateway.agents.cancel(self.call.id, run.target.address);
        }
    }

    fn verdict(&mut self, verdict: Verdict, retry_after: Duration, replay: Option<Answer>) {
        self.answered = true;
        match verdict {
            Verdict::Deliver => self.deliver(),
            Verdict::Replay => self.replay(replay),
            Verdict::Refuse(outcome, reason) => {
                let id = Some(self.call.id);
                self.refuse(&Problem::refused(id, outcome, reason, retry_after));
            }
        }
    }

    fn deliver(&mut self) {
        let whole = self.run.as_mut().and_then(|run| run.whole.take());
        if let (Some(http), Some(answer)) = (self.out.http.take(), whole) {
            reply(http, answer.status, &answer.content_type, answer.body);
        } else if let Some(http) = self.out.http.take()
            && let Ok(mut stream) = Stream::begin(http, self.call.id, None)
        {
            // A stream without a single token is whole all the same.
            let _ = stream.end(DONE);
        }
    }

    fn replay(&mut self, replay: Option<Answer>) {
        let Some(http) = self.out.http.take() else { return };
        match replay {
            Some(answer) => reply(http, answer.status, &answer.content_type, answer.body),
            None => Problem::bad(409, "The request ran, but its answer was too long to keep.")
                .with_outcome("ran")
                .send(http),
        }
    }

    fn refuse(&mut self, problem: &Problem) {
        if let Some(http) = self.out.http.take() {
            problem.send(http);
        } else if let Some(stream) = &mut self.out.stream {
            let event = format!("event: error\ndata: {}\n\n", problem.json());
            // The caller may have left.
            let _ = stream.end(event.as_bytes());
        }
    }
}

fn kept_stream(mut body: Vec<u8>) -> Answer {
    body.extend_from_slice(DONE);
    Answer { status: 200, content_type: "text/event-stream".into(), body }
}

/// Gives a caller the rest of a stream that another instance began.
pub fn resume(gateway: &Gateway, http: tiny_http::Request) {
    let document = match document(gateway) {
        Ok(document) => document,
        Err(reason) => {
            refuse_unread(http, reason);
            return;
        }
    };
    let (grant, from, address) = match granted(&http, &document) {
        Ok(granted) => granted,
        Err(problem) => {
            problem.send(http);
            return;
        }
    };
    let _served = gateway.served.begin(http.remote_addr().copied());
    let (sender, notes) = channel();
    let limit = document.tiers.iter().map(|t| t.deadline()).max().unwrap_or_default();
    gateway.agents.resume(grant.request, address, from, limit, 0, sender);
    pass_on(http, grant.request, &notes);
}

fn granted(
    http: &tiny_http::Request,
    document: &Document,
) -> Result<(Grant, usize, std::net::SocketAddr), Problem> {
    let team = intake::team_of(http, document)?;
    let token = header(http, "Rosemarypond-Resume");
    let token =
        token.ok_or_else(|| Problem::bad(400, "The header Rosemarypond-Resume is missing."))?;
    let secret = document.resume_secret.as_deref();
    let secret = secret.ok_or_else(|| Problem::bad(404, "Streams cannot be resumed here."))?;
    let grant = resume::open(token, secret, &team.id);
    let grant = grant.map_err(|e| Problem::bad(403, e.to_string()))?;
    let from = http.url().split_once("from=").map_or(Ok(0), |(_, from)| from.parse());
    let from = from.map_err(|_| Problem::bad(400, "'from' needs a number of events."))?;
    let upstream = document.upstreams.iter().find(|u| u.id == grant.upstream);
    let gone = || {
        Problem::bad(410, "The engine that held the stream is gone.").with_outcome("ran-in-part")
    };
    let address = upstream.ok_or_else(gone)?.address;
    Ok((grant, from, address))
}

fn pass_on(http: tiny_http::Request, id: id::Request, notes: &Receiver<Note>) {
    let mut http = Some(http);
    let mut stream: Option<Stream> = None;
    while let Ok(Note::Piece { piece, .. }) = notes.recv_timeout(STREAM_SILENCE) {
        match piece {
            Piece::Event(event) => {
                if let Some(http) = http.take() {
                    stream = Stream::begin(http, id, None).ok();
                }
                if stream.as_mut().is_none_or(|s| s.send(&event).is_err()) {
                    return;
                }
            }
            Piece::End(Ended::Whole) => {
                if let Some(http) = http.take() {
                    stream = Stream::begin(http, id, None).ok();
                }
                let _ = stream.map(|mut s| s.end(DONE));
                return;
            }
            Piece::End(_) | Piece::Whole(_) => break,
        }
    }
    let after = Duration::from_secs(1);
    let problem = Problem::refused(Some(id), Outcome::RanInPart, Reason::UpstreamFailed, after);
    match (http, stream) {
        (Some(http), _) => problem.send(http),
        (None, Some(mut stream)) => {
            let event = format!("event: error\ndata: {}\n\n", problem.json());
            let _ = stream.end(event.as_bytes());
        }
        (None, None) => {}
    }
}
