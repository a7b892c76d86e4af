//! Requests that are given up: when, why, and when their callers may come back.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use super::{Action, Scheduler};
use crate::entry::admission::Rate;
use crate::entry::backlog::Waiting;
use crate::entry::call::{Call, Reason};
use crate::hash::stable_hash;
use crate::id;

/// The time before the first-byte deadline that is reserved for the upstream's
/// answer; a request that still waits then is refused.
const ANSWER_MARGIN: Duration = Duration::from_millis(150);
/// The fraction of its caller's first-byte timeout that a request waits at most.
const MAX_WAIT_FRACTION: f64 = 0.85;
/// The shortest time after which a refused caller is asked to retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// The same where upstreams are full.
const BUSY_RETRY_AFTER: Duration = Duration::from_millis(250);
/// The longest time after which a refused caller is asked to retry, before the
/// jitter.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(3);

impl Scheduler {
    /// Gives a request up.
    pub(super) fn refuse(&mut self, now: Instant, id: id::Request, reason: Reason) {
        self.backlog.remove(id);
        let Some(held) = self.held.remove(&id) else { return };
        if !held.may_have_run {
            self.refund(&held);
        }
        let least = self.drain_time(&held.call.service, now).max(BUSY_RETRY_AFTER);
        let retry_after = self.jittered_retry_after(&held.call, least, now);
        self.push_refusal(id, reason, retry_after);
    }

    /// The time in which what waits for a service is likely dispatched; zero if unknown.
    fn drain_time(&self, service: &id::Service, now: Instant) -> Duration {
        let Some(rate) = self.drains.rate(service, now) else { return Duration::ZERO };
        let waiting = self.backlog.iter().filter(|w| w.call.service == *service).count();
        rate.mean_wait(waiting)
    }

    /// Refuses waiting requests that are not likely to be sent before their callers leave.
    ///
    /// Of each service only the least urgent that wait are refused, so that none is refused
    /// while less urgent ones are kept.
    pub(super) fn refuse_hopeless(&mut self, now: Instant) {
        let services = self.backlog.services();
        self.drains.retain(|service| services.contains(service));
        let order = self.backlog.dispatch_order(now);
        for service in services {
            if !self.fleet.has_open(&service, now) {
                // What is dispatched after a pause tells nothing of the time before it.
                self.drains.forget(&service);
                continue;
            }
            self.drains.update(&service, now);
            let Some(rate) = self.drains.rate(&service, now) else { continue };
            let waiting = order.iter().filter_map(|id| self.backlog.get(*id));
            let waiting: Vec<_> = waiting.filter(|w| w.call.service == service).collect();
            for id in hopeless(&waiting, rate, now) {
                self.refuse(now, id, Reason::Deadline);
            }
        }
    }

    /// Refuses a request that cannot be sent before `opens_at`.
    pub(super) fn refuse_until(
        &mut self,
        now: Instant,
        id: id::Request,
        opens_at: Instant,
        reason: Reason,
    ) {
        self.backlog.remove(id);
        let Some(held) = self.held.remove(&id) else { return };
        if !held.may_have_run {
            self.refund(&held);
        }
        self.push_refusal(id, reason, retry_after(id, opens_at, now));
    }

    pub(super) fn push_refusal(
        &mut self,
        request: id::Request,
        reason: Reason,
        retry_after: Duration,
    ) {
        self.actions.push(Action::Refuse { request, reason, retry_after });
    }

    /// The time after which a caller may retry: `least`, with jitter of up to as
    /// much again, and at most a third of the time left to the request's deadline.
    pub(super) fn jittered_retry_after(
        &self,
        call: &Call,
        least: Duration,
        now: Instant,
    ) -> Duration {
        let least = least.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        least.mul_f64(1.0 + jitter(call.id)).min(call.time_left(now) / 3).max(MIN_RETRY_AFTER)
    }

    /// Refuses waiting requests that can no longer be answered in time.
    pub(super) fn expire(&mut self, now: Instant) {
        self.refuse_paused(now);
        let is_expired = |w: &&Waiting| now >= latest_start(w);
        let expired = self.backlog.iter().filter(is_expired);
        let expired: Vec<_> =
            expired.map(|w| (w.call.id, self.fleet.has_open(&w.call.service, now))).collect();
        for (id, is_any_open) in expired {
            let reason = if is_any_open { Reason::Deadline } else { Reason::NoUpstream };
            self.refuse(now, id, reason);
        }
    }

    /// Refuses all waiting requests, as the instance is about to end.
    pub(super) fn refuse_waiting(&mut self, now: Instant) {
        let waiting: Vec<_> = self.backlog.iter().map(|waiting| waiting.call.id).collect();
        for id in waiting {
            self.refuse(now, id, Reason::Stopping);
        }
    }

    /// Refuses waiting requests that are not likely to be answered before the instance ends.
    pub(super) fn refuse_unfinishable(&mut self, now: Instant) {
        let Some(ending) = self.ending else { return };
        let has_time = |w: &&Waiting| {
            ending.has_time_for(self.fleet.least_time_to_end(&w.call, &w.excluded), now)
        };
        let late = self.backlog.iter().filter(|w| !has_time(w));
        let late: Vec<_> = late.map(|w| w.call.id).collect();
        for id in late {
            self.refuse(now, id, Reason::Stopping);
        }
    }

    /// Refuses waiting requests whose upstreams all asked for a pause that ends
    /// too late for them.
    fn refuse_paused(&mut self, now: Instant) {
        let services: BTreeSet<_> = self.backlog.iter().map(|w| w.call.service.clone()).collect();
        for service in services {
            let Some(opens_at) = self.fleet.opens_at(&service, now) else { continue };
            let is_late = |w: &&Waiting| w.call.service == service && opens_at >= latest_start(w);
            let late = self.backlog.iter().filter(is_late);
            let late: Vec<_> = late.map(|w| w.call.id).collect();
            for id in late {
                self.refuse_until(now, id, opens_at, Reason::NoUpstream);
            }
        }
    }
}

/// Of a service's requests in the order of their dispatch, those that are not likely to be
/// sent before their callers leave; none that is more urgent than one that is not among
/// them.
fn hopeless(waiting: &[&Waiting], rate: Rate, now: Instant) -> Vec<id::Request> {
    let urgency = |w: &Waiting| (w.call.rank, w.call.urgency);
    let least_urgent = waiting.last().map(|w| urgency(w));
    let mut hopeless = vec![];
    let mut kept = 0;
    for waiting in waiting {
        let starts = now + rate.least_wait(kept + 1);
        // The first one loses nothing by waiting.
        let is_hopeless = kept > 0 && starts > latest_start(waiting);
        if Some(urgency(waiting)) == least_urgent && is_hopeless {
            hopeless.push(waiting.call.id);
        } else {
            kept += 1;
        }
    }
    hopeless
}

/// The latest time at which a request can be sent, so that its caller has an
/// answer in time.
pub(super) fn latest_start(waiting: &Waiting) -> Instant {
    let Waiting { call, least_first, .. } = waiting;
    let timeout = call.first_byte_deadline.saturating_duration_since(call.arrived);
    let by_wait = call.arrived + timeout.mul_f64(MAX_WAIT_FRACTION);
    let margin = ANSWER_MARGIN.max(*least_first);
    let by_margin = call.first_byte_deadline.checked_sub(margin);
    by_margin.map_or(by_wait, |at| at.min(by_wait))
}

/// The time after which a caller may retry a request that is not sent before
/// `opens_at`, with jitter.
pub(super) fn retry_after(request: id::Request, opens_at: Instant, now: Instant) -> Duration {
    opens_at.saturating_duration_since(now) + MIN_RETRY_AFTER.mul_f64(jitter(request))
}

/// A fraction of 1 that differs from request to request.
fn jitter(request: id::Request) -> f64 {
    (stable_hash(request) % 1_024) as f64 / 1_024.0
}
