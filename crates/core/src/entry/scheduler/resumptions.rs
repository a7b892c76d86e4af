//! Streams that callers resume: has them go on only at the software version that
//! began them.

use std::time::{Duration, Instant};

use super::Scheduler;
use crate::entry::call::{Call, Origin, Reason};
use crate::entry::gossip::Begun;
use crate::entry::streams::{ASK_TIME, LIFETIME};
use crate::id;

/// Within this time upstreams of another version may have begun to serve that are not in
/// the directory as it was read last.
const MAX_DIRECTORY_AGE: Duration = Duration::from_secs(2);

impl Scheduler {
    /// Finds the version that began the stream which a request resumes, or has peers
    /// asked.
    pub(super) fn find_origin(&mut self, now: Instant, call: &mut Call) {
        if call.origin != Origin::Unknown {
            return;
        }
        if let Some(release) = self.release_of(now, call) {
            call.origin = Origin::Release(release);
        } else if let Some(stream) = call.stream {
            self.streams.ask(stream, now);
            self.has_changes = true;
        }
    }

    /// Records that an upstream has sent the first event of its answer to a request.
    pub(super) fn record_origin(&mut self, now: Instant, id: id::Request) {
        let upstream = self.held.get(&id).and_then(|held| held.upstream.as_ref());
        let Some(upstream) = upstream.and_then(|upstream| self.fleet.get(upstream)) else { return };
        let release = upstream.registration.release.clone();
        self.record_release(now, id, release);
    }

    /// Records that an upstream of a version answers a request.
    pub(super) fn record_release(
        &mut self,
        now: Instant,
        id: id::Request,
        release: Option<id::Release>,
    ) {
        let Some(held) = self.held.get_mut(&id) else { return };
        let Some(stream) = held.call.stream else { return };
        if held.call.origin == Origin::Fresh {
            held.call.origin = release.map_or(Origin::Unknown, Origin::Release);
        }
        if let Origin::Release(release) = &held.call.origin {
            self.streams.begin(stream, release.clone(), now);
        }
    }

    /// Adds what a peer knows of streams, and has what it asks answered.
    pub(super) fn receive_streams(
        &mut self,
        now: Instant,
        begun: Vec<Begun>,
        asked: &[id::Stream],
    ) {
        let has_begun = !begun.is_empty();
        self.has_changes |= self.streams.receive(begun, asked, now);
        if has_begun {
            self.resolve_origins(now);
        }
    }

    /// Lets waiting requests go on whose streams are known by now, and refuses those
    /// that no peer knows.
    pub(super) fn resolve_origins(&mut self, now: Instant) {
        let is_unresolved = |call: &&Call| call.origin == Origin::Unknown;
        let calls = self.backlog.iter().map(|waiting| &waiting.call);
        let unresolved: Vec<_> = calls.filter(is_unresolved).cloned().collect();
        for call in unresolved {
            if let Some(release) = self.release_of(now, &call) {
                self.resume_at(now, call.id, release);
            } else if !is_asked(now, &call) {
                self.refuse(now, call.id, Reason::UnknownStream);
            }
        }
    }

    fn resume_at(&mut self, now: Instant, id: id::Request, release: id::Release) {
        if let Some(held) = self.held.get_mut(&id) {
            held.call.origin = Origin::Release(release);
        }
        self.backlog.remove(id);
        self.enqueue(now, id);
    }

    /// The version that began the stream which a request resumes, if that is certain.
    fn release_of(&self, now: Instant, call: &Call) -> Option<id::Release> {
        let known = call.stream.and_then(|stream| self.streams.release_of(stream));
        known.or_else(|| self.only_release(now, call))
    }

    /// The version of all upstreams of a service, where it must have begun the stream of
    /// a request: there was no other while the stream can have run. A caller that does
    /// not name its stream has always gone on at any of them.
    fn only_release(&self, now: Instant, call: &Call) -> Option<id::Release> {
        let is_within = |at: Option<Instant>, time| {
            at.is_some_and(|at| now.saturating_duration_since(at) < time)
        };
        let is_certain = !is_asked(now, call)
            && self.started.is_some()
            && !is_within(self.started, LIFETIME)
            && is_within(self.directory_read, MAX_DIRECTORY_AGE);
        let release = self.streams.only_release(&call.service);
        release.filter(|_| call.stream.is_none() || is_certain)
    }
}

/// Whether peers may still tell which version began the stream of a request.
fn is_asked(now: Instant, call: &Call) -> bool {
    call.stream.is_some() && now < call.arrived + ASK_TIME
}
