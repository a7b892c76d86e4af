//! Streams that callers resume: has them go on only at the software version that
//! began them.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::{Action, Scheduler};
use crate::entry::baseline::{self, Serving};
use crate::entry::call::{Call, Origin, Reason};
use crate::entry::gossip::Begun;
use crate::entry::streams::{ASK_TIME, LIFETIME};
use crate::id;

/// How long a request that resumes a stream waits for the shared store.
const READ_TIME: Duration = Duration::from_millis(1_000);
/// How often the baselines are reviewed.
const REVIEW_INTERVAL: Duration = Duration::from_millis(200);

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
            self.read_streams(now, now);
        }
    }

    /// Has what the shared store has of streams read, unless that was begun at `at` or
    /// later.
    fn read_streams(&mut self, at: Instant, now: Instant) {
        if self.baselines.begin_read(at, now) {
            self.actions.push(Action::ReadStreams);
        }
    }

    /// Adds what was read in the shared store.
    pub(super) fn streams_read(&mut self, now: Instant, read: baseline::Read, begun: Vec<Begun>) {
        let era = read.era;
        self.baselines.record(read, now);
        self.streams.add_recorded(begun, now);
        if self.streams_era.is_some_and(|before| era > before) {
            self.record_again();
        }
        self.streams_era = self.streams_era.max(Some(era));
        self.resolve_origins(now);
    }

    /// Records the known streams again, as the store may have lost their records.
    fn record_again(&mut self) {
        let mut by_release: BTreeMap<id::Release, Vec<id::Stream>> = BTreeMap::new();
        for (stream, release) in self.streams.known() {
            by_release.entry(release.clone()).or_default().push(stream);
        }
        let begun = |(release, streams)| Begun { release, streams };
        let begun: Vec<_> = by_release.into_iter().map(begun).collect();
        if !begun.is_empty() && self.is_poller() {
            self.actions.push(Action::RecordStreams(begun));
        }
    }

    /// The stream that the first event of a request begins, if it has to be recorded in
    /// the shared store before that event is passed on.
    pub fn unrecorded(&self, now: Instant, id: id::Request) -> Option<(id::Stream, id::Release)> {
        let held = self.held.get(&id)?;
        let Origin::Release(release) = &held.call.origin else { return None };
        // The peer that carries it out has recorded it.
        if !held.begins_stream || held.delegate.is_some() {
            return None;
        }
        let service = &held.call.service;
        let appeared = self.streams.appeared(service, release);
        let is_covered = self.baselines.covers(service, release, appeared, now);
        (!is_covered).then_some((held.call.stream?, release.clone()))
    }

    /// Keeps the baselines of the services of which callers resume streams.
    pub(super) fn review_baselines(&mut self, now: Instant) {
        let elapsed = self.baselines_reviewed.map(|at| now.saturating_duration_since(at));
        if elapsed.is_some_and(|elapsed| elapsed < REVIEW_INTERVAL) {
            return;
        }
        self.baselines_reviewed = Some(now);
        self.baselines.record_era(self.watermark.era);
        if self.stream_services.is_empty() {
            return;
        }
        let services = self.stream_services.iter().cloned();
        let appeared = |service: &_, release: &_| self.streams.appeared(service, release);
        if self.baselines.begin_refresh(services, appeared, now) {
            self.actions.push(Action::ReadBaselines);
        }
        if !self.is_poller() {
            return;
        }
        let is_settled =
            self.started.is_some_and(|started| now.saturating_duration_since(started) >= LIFETIME);
        for service in self.stream_services.clone() {
            let releases = self.streams.releases(&service);
            let serving = Serving { releases: &releases, is_settled };
            let change = self.baselines.change(&service, serving, now);
            self.actions.extend(change.map(Action::SetBaseline));
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
        if let Some(latest) = unresolved.iter().filter_map(|c| c.stream.map(|_| c.arrived)).max() {
            self.read_streams(latest, now);
        }
        for call in unresolved {
            if let Some(release) = self.release_of(now, &call) {
                self.resume_at(now, call.id, release);
            } else if !is_asked(now, &call) && !self.is_being_read(now, &call) {
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
        let baseline = || self.recorded_release(now, call);
        known.or_else(baseline).or_else(|| self.only_release(call))
    }

    /// The baseline of its service, for a stream of which the shared store had no record
    /// when its caller resumed it.
    fn recorded_release(&self, now: Instant, call: &Call) -> Option<id::Release> {
        let is_read = call.stream.is_some()
            && self.baselines.is_read_since(call.arrived)
            && self.streams.is_complete(now);
        self.baselines.of(&call.service).filter(|_| is_read).cloned()
    }

    /// Whether the shared store may still tell which version began the stream of a
    /// request.
    fn is_being_read(&self, now: Instant, call: &Call) -> bool {
        call.stream.is_some()
            && !self.baselines.is_read_since(call.arrived)
            && now < call.arrived + READ_TIME
    }

    /// The version of all upstreams of a service, for a caller that does not name its
    /// stream: it goes on at any of them.
    ///
    /// It proves nothing of a stream that is named: upstreams of another version may have
    /// begun it that this instance has not heard of.
    fn only_release(&self, call: &Call) -> Option<id::Release> {
        let release = self.streams.only_release(&call.service);
        release.filter(|_| call.stream.is_none())
    }
}

/// Whether peers may still tell which version began the stream of a request.
fn is_asked(now: Instant, call: &Call) -> bool {
    call.stream.is_some() && now < call.arrived + ASK_TIME
}
