//! Crashes of upstreams: tells the quarantine of them, and refuses what it holds.

use std::time::{Duration, Instant};

use super::{Action, Scheduler};
use crate::entry::backlog::Waiting;
use crate::entry::call::Reason;
use crate::entry::gossip::{Crash, Prompts};
use crate::entry::quarantine;
use crate::entry::upstream::Upstream;
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
        let Some((upstream, parts)) = self.running_on(id) else { return };
        if parts.is_empty() {
            return;
        }
        let registration = &upstream.registration;
        let crash = Crash {
            upstream: registration.id.clone(),
            incarnation: registration.incarnation,
            service: registration.service.clone(),
            age: Duration::ZERO,
            prompts: vec![parts.to_vec()],
            is_refuted: false,
        };
        let has_changed = self.quarantine.record_lost(crash, answering, now);
        if let Some(held) = self.held.get_mut(&id) {
            held.lost += u32::from(quarantine::is_suspicious(answering));
        }
        self.review_later(now, has_changed);
    }

    /// Records that the upstream of an attempt answers it.
    pub(super) fn record_alive(&mut self, now: Instant, id: id::Request) {
        let Some((upstream, _)) = self.running_on(id) else { return };
        let Some(sent) = upstream.started(id) else { return };
        let (id, incarnation) =
            (upstream.registration.id.clone(), upstream.registration.incarnation);
        let has_changed = self.quarantine.record_alive(&id, incarnation, sent, now);
        self.review_later(now, has_changed);
    }

    /// Records that a request was answered completely.
    pub(super) fn record_answer(&mut self, now: Instant, id: id::Request) {
        let Some(held) = self.held.get(&id) else { return };
        if held.call.shared_parts.is_empty() {
            return;
        }
        let (service, parts) = (held.call.service.clone(), held.call.shared_parts.clone());
        let has_changed = self.quarantine.record_answer(&service, &parts, now);
        self.review_later(now, has_changed);
    }

    /// Adds what a peer knows of prompts that crash upstreams.
    pub(super) fn receive_prompts(&mut self, now: Instant, prompts: Prompts) {
        let has_changed = self.quarantine.receive(prompts, now);
        self.review_later(now, has_changed);
    }

    /// The upstream on which a request runs, and the shared parts of its prompt.
    fn running_on(&self, id: id::Request) -> Option<(&Upstream, &[id::Part])> {
        let held = self.held.get(&id)?;
        let upstream = self.fleet.get(held.upstream.as_ref()?)?;
        Some((upstream, &held.call.shared_parts))
    }

    /// Has the evidence reviewed after it has changed.
    fn review_later(&mut self, now: Instant, has_changed: bool) {
        if has_changed {
            self.has_changes = true;
            self.quarantine.schedule_review(now);
        }
    }

    /// Quarantines what the evidence shows as a cause of crashes, and refuses the
    /// requests that wait and are in quarantine.
    pub(super) fn review_quarantine(&mut self, now: Instant) {
        for parts in self.quarantine.review(now) {
            self.has_changes = true;
            self.actions.push(Action::ReportQuarantine(parts));
        }
        let blocked = |w: &Waiting| {
            let until = self.quarantine.blocked_until(&w.call.shared_parts, now)?;
            Some((w.call.id, until))
        };
        let blocked: Vec<_> = self.backlog.iter().filter_map(blocked).collect();
        for (id, until) in blocked {
            self.refuse_until(now, id, until, Reason::Quarantined);
        }
    }
}
