//! Crashes of upstreams: tells the quarantine of them, and refuses what it holds.

use std::time::{Duration, Instant};

use super::{Action, Scheduler};
use crate::entry::backlog::Waiting;
use crate::entry::call::Reason;
use crate::entry::gossip::{Cause, Crash, Dangers, Lost};
use crate::entry::quarantine;
use crate::id;

impl Scheduler {
    /// Records that the connection of a running attempt ended before its answer
    /// was complete.
    pub(super) fn connection_lost(
        &mut self,
        now: Instant,
        id: id::Request,
        answering: Option<Duration>,
    ) {
        let Some(held) = self.held.get_mut(&id) else { return };
        let Some(upstream) = held.upstream.as_ref().and_then(|id| self.fleet.get(id)) else {
            return;
        };
        held.lost += u32::from(quarantine::is_suspicious(answering));
        let sent = upstream.started(id).unwrap_or(now);
        let lost = Lost {
            fingerprint: held.call.fingerprint,
            ran: now.saturating_duration_since(sent),
            parts: held.call.shared_parts.to_vec(),
        };
        let registration = &upstream.registration;
        let crash = Crash {
            upstream: registration.id.clone(),
            incarnation: registration.incarnation,
            service: registration.service.clone(),
            age: Duration::ZERO,
            requests: vec![lost],
            is_refuted: false,
        };
        let has_changed = self.quarantine.record_lost(crash, answering, now);
        self.review_later(now, has_changed);
    }

    /// Records that the upstream of an attempt answers it.
    pub(super) fn record_alive(&mut self, now: Instant, id: id::Request) {
        let upstream = self.held.get(&id).and_then(|held| held.upstream.as_ref());
        let Some(upstream) = upstream.and_then(|id| self.fleet.get(id)) else { return };
        let Some(sent) = upstream.started(id) else { return };
        let (id, incarnation) =
            (upstream.registration.id.clone(), upstream.registration.incarnation);
        let has_changed = self.quarantine.record_alive(&id, incarnation, sent, now);
        self.review_later(now, has_changed);
    }

    /// Records that a request was answered completely.
    pub(super) fn record_answer(&mut self, now: Instant, id: id::Request) {
        let Some(held) = self.held.get(&id) else { return };
        let has_changed = self.quarantine.record_answer(&held.call, now);
        self.review_later(now, has_changed);
    }

    /// Records that an upstream ran a request and answered with an error.
    pub(super) fn record_failure(&mut self, now: Instant, id: id::Request) {
        let Some(held) = self.held.get(&id) else { return };
        let has_changed = self.quarantine.record_answered(held.call.fingerprint, &[], now);
        self.review_later(now, has_changed);
    }

    /// Adds what a peer knows of requests that crash upstreams.
    pub(super) fn receive_dangers(&mut self, now: Instant, dangers: Dangers) {
        let has_changed = self.quarantine.receive(dangers, now);
        self.review_later(now, has_changed);
    }

    /// Reviews the evidence after it has changed: on requests that come again now, on
    /// parts of prompts once all instances have reported.
    fn review_later(&mut self, now: Instant, has_changed: bool) {
        if has_changed {
            self.has_changes = true;
            self.quarantine.schedule_review(now);
            let found = self.quarantine.review_repeats(now);
            self.report_quarantined(found);
        }
    }

    fn report_quarantined(&mut self, found: Vec<Cause>) {
        for cause in found {
            self.has_changes = true;
            self.actions.push(Action::ReportQuarantine(cause));
        }
    }

    /// Quarantines what the evidence shows as a cause of crashes, and refuses the
    /// requests that wait and are in quarantine.
    pub(super) fn review_quarantine(&mut self, now: Instant) {
        let found = self.quarantine.review_parts(now);
        self.report_quarantined(found);
        let blocked = |w: &Waiting| {
            let until = self.quarantine.blocked_until(&w.call, now)?;
            Some((w.call.id, until))
        };
        let blocked: Vec<_> = self.backlog.iter().filter_map(blocked).collect();
        for (id, until) in blocked {
            self.refuse_until(now, id, until, Reason::Quarantined);
        }
    }
}
