//! Relays an event stream to its caller, in whole events, and resumes it at
//! another upstream where it breaks and may be resumed.

use std::time::{Duration, Instant};

use http_body_util::BodyExt;
use hyper::Response;
use hyper::http::{self, header};
use rosemarypond_core::entry::call::{Ended, Repeat};
use rosemarypond_core::unit::Tokens;
use tokio::time::sleep_until;

use crate::body;
use crate::clock;
use crate::delegation;
use crate::event_stream::{Event, Parser};
use crate::exchange::{Exchange, Outcome, REROUTE_CHECK_INTERVAL, Stream, next_directive};
use crate::memory::Kind;
use crate::reply::{self, Broken, Caller};
use crate::runtime::Directives;
use crate::target::Target;

/// How the part of a stream that one upstream sent ended.
enum End {
    /// The stream is complete.
    Complete,
    /// Its connection ended before it was complete.
    Lost,
    /// It was not valid, or sent nothing for too long.
    Broken,
    /// The caller disconnected.
    CallerLeft,
    /// The deadline passed.
    TimedOut,
}

/// What was relayed so far.
#[derive(Debug, Default)]
struct Progress {
    events: u32,
    /// Events from the current upstream.
    events_of_part: u32,
    /// The id of the last event that had one.
    last_id: Option<String>,
    /// Whether the stream was resumed, so that an upstream may repeat events.
    is_resumed: bool,
    /// Whether the stream may be resumed.
    is_resumable: bool,
}

impl Progress {
    /// Returns whether an event is to be relayed; `false` for a repetition after
    /// a resumption.
    ///
    /// # Errors
    ///
    /// Where the ids show a gap, or a repetition without a resumption; and where an event
    /// of a resumable stream has no id that can be read, as the stream could not go on
    /// after it.
    fn accepts(&self, event: &Event) -> Result<bool, Broken> {
        if self.is_resumable && event.id.is_none() && !event.is_comment() {
            return Err(Broken);
        }
        let number = |id: &Option<String>| id.as_deref().and_then(|id| id.parse::<u64>().ok());
        let (Some(last), Some(next)) = (number(&self.last_id), number(&event.id)) else {
            return Ok(true);
        };
        if next <= last {
            return if self.is_resumed { Ok(false) } else { Err(Broken) };
        }
        if next == last + 1 { Ok(true) } else { Err(Broken) }
    }

    fn record(&mut self, event: &Event) {
        self.events += 1;
        self.events_of_part += 1;
        if event.id.is_some() {
            self.last_id.clone_from(&event.id);
        }
    }
}

impl Exchange {
    /// Sends the head of the response to the caller and relays the events.
    pub async fn relay(
        &self,
        stream: Stream,
        target: Target,
        mut directives: Directives,
        caller: Caller,
    ) {
        let (sender, body) = reply::channel();
        let mut head = (self.gateway.dialect.write_response_head)(&stream.parts);
        self.report(&mut head.headers, delegation::Outcome::Answered);
        let status = head.status;
        if let Caller::Waiting(answer) = caller {
            // A caller that has disconnected is detected when the events are relayed.
            let _ = answer.send(Response::from_parts(head, body));
        }
        let mut caller = Caller::Streaming(sender);
        let mut progress = Progress {
            last_id: self.head.resume_after.clone(),
            is_resumed: self.head.resume_after.is_some(),
            is_resumable: self.call.repeat == Repeat::Resumable,
            ..Progress::default()
        };
        let mut next = Some((stream, target));
        while let Some((stream, target)) = next.take() {
            progress.events_of_part = 0;
            let answered_at = Some(stream.answered_at);
            let part = self.relay_part(stream, &mut directives, &mut caller, &mut progress).await;
            if matches!(part, End::Lost) {
                self.record_lost_connection(&target, answered_at, &directives);
            }
            match part {
                End::Complete => {
                    let tokens = Tokens(progress.events_of_part * self.tokens_per_event);
                    directives.report_end(Ended::Whole { tokens });
                    self.record_answer(status, "streamed");
                    return;
                }
                End::CallerLeft => {
                    self.record_caller_left();
                    return;
                }
                End::TimedOut => break,
                End::Lost | End::Broken if self.call.repeat != Repeat::Resumable => {
                    self.record_failed_attempt(&target, Ended::Cut);
                    directives.report_end(Ended::Cut);
                    break;
                }
                End::Lost | End::Broken => {
                    self.record_failed_attempt(&target, Ended::Broken);
                    directives.report_end(Ended::Broken);
                    next = self.resume(&mut directives, &mut caller, &progress).await;
                    progress.is_resumed = true;
                }
            }
        }
        self.record_answer(status, "cut");
        // The slot at the upstream is free whether or not the caller reads the end.
        drop(directives);
        if let Caller::Streaming(sender) = caller {
            // Ends the body with an error, so that the caller does not take the
            // stream for complete.
            let _ = sender.send(Err(Broken)).await;
        }
    }

    /// Relays the events of one upstream.
    async fn relay_part(
        &self,
        stream: Stream,
        directives: &mut Directives,
        caller: &mut Caller,
        progress: &mut Progress,
    ) -> End {
        let Stream { parts, mut body, connection, stall_timeout, .. } = stream;
        let Caller::Streaming(sender) = caller else { return End::CallerLeft };
        let mut parser = Parser::default();
        let mut partial = self.memory.sibling(Kind::Responses);
        let mut check_at = self.stall_deadline(stall_timeout);
        loop {
            let frame = tokio::select! {
                frame = body.frame() => frame,
                () = sender.closed() => return End::CallerLeft,
                () = sleep_until(check_at.into()) => {
                    if clock::now() >= self.call.deadline {
                        return End::TimedOut;
                    }
                    if directives.can_reroute() {
                        return End::Broken;
                    }
                    let next_check = clock::now() + REROUTE_CHECK_INTERVAL;
                    check_at = next_check.min(self.call.deadline);
                    continue;
                }
            };
            match frame {
                None if parser.has_partial_event() => return End::Lost,
                None if ends_with_connection(&parts) && progress.events_of_part == 0 => {
                    return End::Lost;
                }
                None => {
                    self.keep(connection, &parts);
                    return End::Complete;
                }
                Some(Err(_)) => return End::Lost,
                Some(Ok(frame)) => {
                    let Ok(bytes) = frame.into_data() else { continue };
                    parser.push(&bytes);
                }
            }
            if body::reserve_part(&mut partial, parser.held_bytes()).is_err() {
                return End::Broken;
            }
            while let Some(event) = parser.next_event() {
                partial.shrink(parser.held_bytes());
                match progress.accepts(&event) {
                    Err(Broken) => return End::Broken,
                    Ok(false) => continue,
                    Ok(true) => {}
                }
                if progress.events_of_part == 0 {
                    directives.report_first_byte();
                    if progress.events == 0 && !directives.record_stream().await {
                        self.record_unrecorded();
                        return End::Broken;
                    }
                    self.gateway.metrics.first_seconds.observe(self.elapsed_ms() as f64 / 1e3);
                }
                progress.record(&event);
                // Bytes that complete no event are no progress.
                check_at = self.stall_deadline(stall_timeout);
                let mut memory = self.memory.sibling(Kind::Responses);
                let send = async {
                    body::reserve(&mut memory, event.bytes.len()).await;
                    sender.send(Ok(memory.hold(event.bytes))).await
                };
                tokio::select! {
                    sent = send => if sent.is_err() {
                        return End::CallerLeft
                    },
                    () = sender.closed() => return End::CallerLeft,
                    () = sleep_until(self.call.deadline.into()) => return End::TimedOut,
                }
            }
            if parser.is_overlong() {
                return End::Broken;
            }
        }
    }

    /// When the wait for the next event ends: at the stall timeout or the deadline.
    fn stall_deadline(&self, stall_timeout: Option<Duration>) -> Instant {
        let stalled = stall_timeout.map(|timeout| clock::now() + timeout);
        stalled.map_or(self.call.deadline, |at| at.min(self.call.deadline))
    }

    /// Opens the rest of the stream at another upstream; returns `None` where
    /// that is not possible.
    async fn resume(
        &self,
        directives: &mut Directives,
        caller: &mut Caller,
        progress: &Progress,
    ) -> Option<(Stream, Target)> {
        loop {
            let directive = next_directive(directives, caller).await?;
            let target = self.target_of(directive).ok()?;
            let last = progress.last_id.as_deref();
            match self.attempt(&target, last, directives, caller).await {
                Outcome::Stream(stream) => return Some((*stream, target)),
                Outcome::Failed(how, _) => {
                    self.record_failed_attempt(&target, how);
                    directives.report_end(how);
                }
                Outcome::Whole(_) => directives.report_end(Ended::Broken),
                Outcome::CallerLeft | Outcome::TimedOut { .. } => return None,
            }
        }
    }
}

/// Whether the end of a response is told by the end of its connection only.
fn ends_with_connection(parts: &http::response::Parts) -> bool {
    let headers = &parts.headers;
    !headers.contains_key(header::CONTENT_LENGTH)
        && !headers.contains_key(header::TRANSFER_ENCODING)
}
