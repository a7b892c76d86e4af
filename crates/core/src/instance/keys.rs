//! Requests with an idempotency key: runs the claim protocol for them.

use std::time::Instant;

use super::{Instance, Phase};
use crate::claim::{Ended, Read, Step, Verdict, Write};
use crate::config::KeyPolicy;
use crate::event::Action;
use crate::id;
use crate::outcome::Reason;
use crate::request::{Key, Repeat};

impl Instance {
    pub(super) fn key_read(&mut self, now: Instant, id: id::Request, result: Read) {
        let Some(claim) = self.claim_of(id) else { return };
        let step = claim.handle_read(result);
        self.perform_step(now, id, step);
    }

    pub(super) fn key_written(&mut self, now: Instant, id: id::Request, result: Write) {
        let Some(claim) = self.claim_of(id) else { return };
        let step = claim.handle_write(result);
        self.perform_step(now, id, step);
    }

    pub(super) fn claim_ended(&mut self, now: Instant, id: id::Request, how: Ended) {
        let Some(claim) = self.claim_of(id) else { return };
        let step = claim.handle_end(how);
        self.perform_step(now, id, step);
        let Some(claim) = self.claim_of(id) else { return };
        let step = claim.write_done();
        self.perform_step(now, id, step);
    }

    /// Refuses a keyed request; its rule decides whether the key is closed.
    pub(super) fn refuse_keyed(&mut self, now: Instant, id: id::Request, reason: Reason) {
        let key_policy = self.held.get(&id).map(|held| held.request.key_policy);
        if key_policy == Some(KeyPolicy::KeepKey) {
            self.refuse_and_keep_key(now, id, reason);
            return;
        }
        self.remove_from_queue(id);
        let Some(claim) = self.claim_of(id) else { return };
        let step = if claim.is_acquired() {
            claim.handle_end(Ended::NotDispatched)
        } else {
            claim.refuse_and_close_key(reason)
        };
        self.perform_step(now, id, step);
    }

    /// Refuses a request without closing its key.
    pub(super) fn refuse_and_keep_key(&mut self, now: Instant, id: id::Request, reason: Reason) {
        let Some(claim) = self.claim_of(id) else {
            self.refuse(now, id, reason);
            return;
        };
        // A key that this request has claimed must be closed: otherwise the
        // claim would block every retry forever.
        let step = if claim.is_acquired() {
            claim.handle_end(Ended::NotDispatched)
        } else {
            claim.refuse_and_keep_key(reason)
        };
        self.remove_from_queue(id);
        self.perform_step(now, id, step);
    }

    /// Carries out a step of the claim protocol.
    pub(super) fn perform_step(&mut self, now: Instant, id: id::Request, step: Step) {
        match step {
            Step::Read => self.push_key_action(id, |request, key| Action::Read { request, key }),
            Step::Write { expected, record } => {
                self.push_key_action(id, |request, key| Action::Write {
                    request,
                    key,
                    expected,
                    record,
                });
            }
            Step::Queue => self.enqueue(now, id),
            Step::Dispatch => self.dispatch_claimed(now, id),
            Step::Answer(verdict) => self.answer_keyed(now, id, verdict),
            Step::Nothing => {}
        }
        self.remove_ended(id);
    }

    fn answer_keyed(&mut self, now: Instant, id: id::Request, verdict: Verdict) {
        if let Some(Phase::Claiming(upstream)) = self.held.get(&id).map(|h| &h.phase) {
            let upstream = upstream.clone();
            self.release(now, id, &upstream);
            self.schedule_all(now);
        }
        self.answer(now, id, verdict);
    }

    /// Dispatches a claimed request to the upstream whose slot it holds, or
    /// queues it again if the upstream closed or the deadline passed meanwhile.
    fn dispatch_claimed(&mut self, now: Instant, id: id::Request) {
        let Some(held) = self.held.get(&id) else { return };
        let Phase::Claiming(upstream) = &held.phase else { return };
        let upstream = upstream.clone();
        let is_open = self.engines.get(&upstream).is_some_and(|e| e.is_open(now));
        if is_open && now < held.request.deadline {
            self.dispatch(now, id, upstream);
        } else {
            self.release(now, id, &upstream);
            self.enqueue(now, id);
        }
    }

    fn remove_ended(&mut self, id: id::Request) {
        let Some(held) = self.held.get(&id) else { return };
        let holds_slot = matches!(held.phase, Phase::Running(_) | Phase::Cancelled(_));
        if held.claim.is_some_and(|claim| claim.has_ended()) && !holds_slot {
            self.held.remove(&id);
        }
    }

    fn push_key_action(
        &mut self,
        id: id::Request,
        action: impl FnOnce(id::Request, Key) -> Action,
    ) {
        let Some(held) = self.held.get(&id) else { return };
        if let Repeat::Keyed(key) = &held.request.repeat {
            self.actions.push(action(id, key.clone()));
        }
    }

    fn claim_of(&mut self, id: id::Request) -> Option<&mut crate::claim::Claim> {
        self.held.get_mut(&id)?.claim.as_mut()
    }
}
