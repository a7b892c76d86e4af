//! How attempts go on and end, and whether another one follows.

use std::time::Instant;

use super::Scheduler;
use crate::entry::call::{Ended, Reason};
use crate::entry::fleet::Choice;
use crate::entry::gossip::Leaving;
use crate::id;

/// A request is refused after this many attempts that sent nothing.
const MAX_UNSENT_ATTEMPTS: u32 = 4;
/// The same for one that a peer delegated, which can ask another instance.
const MAX_DELEGATED_UNSENT: u32 = 2;
/// A request that may have crashed this many upstreams gets no further attempt.
const MAX_LOST_ATTEMPTS: u32 = 2;

impl Scheduler {
    pub(super) fn first_byte(&mut self, now: Instant, id: id::Request) {
        self.record_alive(now, id);
        self.record_origin(now, id);
        self.count_first(now, id);
        let Some(upstream) = self.held.get(&id).and_then(|h| h.upstream.as_ref()) else { return };
        self.fleet.record_first_byte(upstream, id, now);
        self.fleet.record_outcome(upstream, false, now);
        self.has_changes = true;
    }

    pub(super) fn ended(&mut self, now: Instant, id: id::Request, how: Ended) {
        self.count_ended(now, id, how);
        let Some(held) = self.held.get_mut(&id) else { return };
        self.has_changes = true;
        if let Ended::Declined { is_unreached } = how {
            self.record_declined(now, id, is_unreached);
        } else if held.delegate.take().is_some() {
            // The peer does not tell how the connection to the upstream was lost.
            held.lost += u32::from(how == Ended::Broken);
        }
        let Some(held) = self.held.get_mut(&id) else { return };
        if let Some(upstream) = held.upstream.take() {
            let tokens = match how {
                Ended::Whole { tokens } => Some(tokens),
                _ => None,
            };
            if how == (Ended::NotRun { misdirected: true }) {
                self.record_replaced(id, &upstream);
            }
            self.fleet.record_ended(&upstream, id, tokens, now);
            self.record_upstream_outcome(now, &upstream, how);
            // An upstream that could not be reached is paused, not excluded.
            if let Some(held) = self.held.get_mut(&id).filter(|_| how != Ended::NotSent) {
                held.excluded.push(upstream);
            }
        }
        match how {
            Ended::Whole { .. } => self.record_answer(now, id),
            Ended::Failed => self.record_failure(now, id),
            _ => {}
        }
        match how {
            Ended::Whole { .. } | Ended::Cut | Ended::TimedOut | Ended::Abandoned => {
                self.release(id, how);
            }
            Ended::NotSent
            | Ended::NotRun { .. }
            | Ended::Declined { .. }
            | Ended::Failed
            | Ended::Broken => {
                self.retry_or_refuse(now, id, how);
            }
        }
        self.dispatch_waiting(now);
    }

    /// Updates the upstream's health with how an attempt ended.
    fn record_upstream_outcome(&mut self, now: Instant, upstream: &id::Upstream, how: Ended) {
        match how {
            Ended::Whole { .. } => self.fleet.record_outcome(upstream, false, now),
            Ended::NotSent => self.fleet.record_unreached(upstream, now),
            Ended::NotRun { misdirected: false } => {
                self.fleet.record_outcome(upstream, true, now);
                self.fleet.record_rejection(upstream, now);
                self.record_spill_rejection(now, upstream);
            }
            Ended::Failed | Ended::Broken | Ended::Cut | Ended::TimedOut => {
                self.fleet.record_outcome(upstream, true, now);
            }
            Ended::NotRun { misdirected: true } | Ended::Abandoned | Ended::Declined { .. } => {}
        }
    }

    /// Records that another upstream has the address of the one that a request was sent to,
    /// and tells peers: the directory may list the one that is gone for seconds, and it
    /// looks idle to each of them.
    fn record_replaced(&mut self, id: id::Request, upstream: &id::Upstream) {
        let known = self.fleet.get(upstream).and_then(|u| u.incarnation_of(id));
        if let Some(incarnation) = known {
            self.upstream_leaving(Leaving { upstream: upstream.clone(), incarnation });
        }
    }

    /// Whether a request whose upstream is silent would be sent to another one
    /// at once. Silence alone is no reason to end an attempt.
    pub fn can_reroute(&mut self, now: Instant, id: id::Request) -> bool {
        let instances = self.instances();
        let visibility = self.visibility();
        let Some(held) = self.held.get(&id) else { return false };
        let is_blocked = self.quarantine.blocked_until(&held.call, now).is_some();
        let is_allowed =
            !is_blocked && held.call.repeat.may_run_again() && held.sent < held.call.max_attempts;
        let mut excluded = held.excluded.clone();
        excluded.extend(held.upstream.clone());
        let choice = self.choose(now, held, &excluded, visibility, &mut vec![]);
        let reaches = self.fleet.partial_reaches();
        let own = reaches.get(&held.call.service);
        let has_other = matches!(choice, Choice::Send(..))
            || self.delegate_for(now, held, &choice, own).is_some();
        is_allowed && has_other && self.budget.has_retry(&held.call.service, now, instances)
    }

    /// Queues a request for another attempt if one is allowed, or refuses it.
    fn retry_or_refuse(&mut self, now: Instant, id: id::Request, how: Ended) {
        let instances = self.instances();
        let Some(held) = self.held.get_mut(&id) else { return };
        let is_allowed = match how {
            Ended::NotSent | Ended::Declined { .. } => {
                held.sent -= 1;
                held.unsent += 1;
                let is_delegated = held.call.is_delegated();
                let most = if is_delegated { MAX_DELEGATED_UNSENT } else { MAX_UNSENT_ATTEMPTS };
                held.unsent < most
            }
            Ended::NotRun { .. } => held.sent < held.call.max_attempts,
            _ => {
                held.may_have_run = true;
                held.call.repeat.may_run_again()
                    && held.sent < held.call.max_attempts
                    && held.lost < MAX_LOST_ATTEMPTS
                    && !self.quarantine.is_suspect(&held.call.shared_parts)
            }
        };
        let is_retry = !matches!(how, Ended::NotSent | Ended::Declined { .. });
        let service = held.call.service.clone();
        let is_allowed = is_allowed && (!is_retry || self.budget.take(&service, now, instances));
        if is_allowed {
            self.enqueue(now, id);
        } else {
            self.refuse(now, id, Reason::NoAttempts);
        }
    }

    fn release(&mut self, id: id::Request, how: Ended) {
        self.backlog.remove(id);
        let Some(held) = self.held.remove(&id) else { return };
        if how == Ended::Abandoned && held.sent == 0 {
            self.refund(&held);
        }
    }
}
