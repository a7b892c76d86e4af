//! Passes an event stream on, whole events only, and goes on at another
//! upstream where the stream breaks and may be resumed.

use std::time::{Duration, Instant};

use http_body_util::BodyExt;
use hyper::Response;
use rosemarypond_core::entry::call::{Ended, Repeat};
use rosemarypond_core::entry::upstream::Registration;
use rosemarypond_core::unit::Tokens;
use tokio::time::sleep_until;

use crate::clock;
use crate::event_stream::{Event, Parser};
use crate::exchange::{Exchange, Opened, Tried, next_directive};
use crate::reply::{self, Broken, Caller};
use crate::runtime::{Directive, Directives};

/// How one upstream's part of a stream ended.
enum Part {
    /// The stream is complete.
    Complete,
    /// It broke, or gave nothing for too long.
    Broken,
    /// The caller left.
    Left,
    /// The route's time is up.
    TimedOut,
}

/// What was passed on.
#[derive(Debug, Default)]
struct Progress {
    events: u32,
    /// Events that this upstream made.
    events_of_part: u32,
    last: Option<String>,
    is_resumed: bool,
}

impl Progress {
    /// Whether an event is to be passed on, or the stream has a gap before it.
    fn admits(&self, event: &Event) -> Result<bool, Broken> {
        let number = |id: &Option<String>| id.as_deref().and_then(|id| id.parse::<u64>().ok());
        let (Some(last), Some(next)) = (number(&self.last), number(&event.id)) else {
            return Ok(true);
        };
        if next <= last {
            return if self.is_resumed { Ok(false) } else { Err(Broken) };
        }
        if next == last + 1 { Ok(true) } else { Err(Broken) }
    }

    fn passed(&mut self, event: &Event) {
        self.events += 1;
        self.events_of_part += 1;
        if event.id.is_some() {
            self.last.clone_from(&event.id);
        }
    }
}

impl Exchange {
    /// Answers the caller with the head and passes the events on.
    pub async fn relay(
        &self,
        opened: Opened,
        upstream: &Registration,
        mut directives: Directives,
        caller: Caller,
    ) {
        let (sender, body) = reply::channel();
        let head = (self.gateway.dialect.write_response_head)(&opened.parts);
        let status = head.status;
        if let Caller::Waiting(answer) = caller {
            // Where the caller has left, the pieces find their receiver gone.
            let _ = answer.send(Response::from_parts(head, body));
        }
        let mut caller = Caller::Streaming(sender);
        let mut progress = Progress {
            last: self.head.resume_after.clone(),
            is_resumed: self.head.resume_after.is_some(),
            ..Progress::default()
        };
        let mut next = Some((opened, upstream.clone()));
        while let Some((opened, upstream)) = next.take() {
            progress.events_of_part = 0;
            let part = self.pass_part(opened, &mut directives, &mut caller, &mut progress).await;
            match part {
                Part::Complete => {
                    let tokens = Tokens(progress.events_of_part * self.tokens_per_event);
                    directives.ended(Ended::Whole { tokens });
                    self.note_answer(status, "streamed");
                    return;
                }
                Part::Left => {
                    self.note_left();
                    return;
                }
                Part::TimedOut => break,
                Part::Broken if self.call.repeat != Repeat::Resumable => {
                    self.note_failed(&upstream, Ended::Cut);
                    directives.ended(Ended::Cut);
                    break;
                }
                Part::Broken => {
                    self.note_failed(&upstream, Ended::Broken);
                    directives.ended(Ended::Broken);
                    next = self.resume(&mut directives, &mut caller, &progress).await;
                    progress.is_resumed = true;
                }
            }
        }
        self.note_answer(status, "cut");
        if let Caller::Streaming(sender) = caller {
            // The caller must not take the stream for complete.
            let _ = sender.send(Err(Broken)).await;
        }
    }

    async fn pass_part(
        &self,
        opened: Opened,
        directives: &mut Directives,
        caller: &mut Caller,
        progress: &mut Progress,
    ) -> Part {
        let Opened { parts, mut body, connection, stall } = opened;
        let Caller::Streaming(sender) = caller else { return Part::Left };
        let mut cutter = Parser::default();
        loop {
            let give_up = self.give_up_at(stall);
            let frame = tokio::select! {
                frame = body.frame() => frame,
                () = sender.closed() => return Part::Left,
                () = sleep_until(give_up.into()) => {
                    if clock::now() >= self.call.deadline {
                        return Part::TimedOut;
                    }
                    if directives.may_move() {
                        return Part::Broken;
                    }
                    continue;
                }
            };
            match frame {
                None if cutter.has_partial_event() => return Part::Broken,
                None => {
                    self.gateway.pool.keep(connection, &parts);
                    return Part::Complete;
                }
                Some(Err(_)) => return Part::Broken,
                Some(Ok(frame)) => {
                    let Ok(bytes) = frame.into_data() else { continue };
                    cutter.push(&bytes);
                }
            }
            while let Some(event) = cutter.next_event() {
                match progress.admits(&event) {
                    Err(Broken) => return Part::Broken,
                    Ok(false) => continue,
                    Ok(true) => {}
                }
                if progress.events_of_part == 0 {
                    directives.first();
                    self.gateway.metrics.first_seconds.observe(self.elapsed_ms() as f64 / 1e3);
                }
                progress.passed(&event);
                tokio::select! {
                    sent = sender.send(Ok(event.bytes)) => if sent.is_err() { return Part::Left },
                    () = sleep_until(self.call.deadline.into()) => return Part::TimedOut,
                }
            }
            if cutter.is_overlong() {
                return Part::Broken;
            }
        }
    }

    fn give_up_at(&self, stall: Option<Duration>) -> Instant {
        let stalled = stall.map(|stall| clock::now() + stall);
        stalled.map_or(self.call.deadline, |at| at.min(self.call.deadline))
    }

    /// Opens the rest of the stream at another upstream, where that is allowed.
    async fn resume(
        &self,
        directives: &mut Directives,
        caller: &mut Caller,
        progress: &Progress,
    ) -> Option<(Opened, Registration)> {
        loop {
            let directive = next_directive(directives, caller).await?;
            let Directive::Send { upstream, expected, .. } = directive else { return None };
            let last = progress.last.as_deref();
            match self.try_upstream(&upstream, expected, last, directives, caller).await {
                Tried::Stream(opened) => return Some((*opened, upstream)),
                Tried::Again(how, _) => {
                    self.note_failed(&upstream, how);
                    directives.ended(how);
                }
                Tried::Whole(_) => directives.ended(Ended::Broken),
                Tried::Left | Tried::TimedOut => return None,
            }
        }
    }
}
