//! Requests with an idempotency key: their claims and records.

use std::time::Instant;

use super::{Instance, Stage};
use crate::claim::{Ended, Read, Step, Verdict, Write};
use crate::config::KeyPolicy;
use crate::event::Action;
use crate::id;
use crate::outcome::Reason;
use crate::request::{Key, Repeat};

impl Instance {
    pub(super) fn key_read(&mut self, now: Instant, id: id::Request, answer: Read) {
        let Some(claim) = self.claim_of(id) else { return };
        let step = claim.read(answer);
        self.take_step(now, id, step);
    }

    pub(super) fn key_written(&mut self, now: Instant, id: id::Request, answer: Write) {
        let Some(claim) = self.claim_of(id) else { return };
        let step = claim.written(answer);
        self.take_step(now, id, step);
    }

    pub(super) fn claim_ended(&mut self, now: Instant, id: id::Request, how: Ended) {
        let Some(claim) = self.claim_of(id) else { return };
        let step = claim.ended(how);
        self.take_step(now, id, step);
        let Some(claim) = self.claim_of(id) else { return };
        let step = claim.record();
        self.take_step(now, id, step);
    }

    /// Refuses a keyed request in the way that its rule asks for.
    pub(super) fn refuse_key(&mut self, now: Instant, id: id::Request, reason: Reason) {
        let key_policy = self.held.get(&id).map(|held| held.request.key_policy);
        if key_policy == Some(KeyPolicy::KeepKey) {
            self.refuse_and_keep_key(now, id, reason);
            return;
        }
        self.leave_queue(id);
        let Some(claim) = self.claim_of(id) else { return };
        let step = if claim.is_acquired() {
            claim.ended(Ended::NotDispatched)
        } else {
            claim.refuse_and_close_key(reason)
        };
        self.take_step(now, id, step);
    }

    /// Gives up on a request whose key stays as it is.
    pub(super) fn refuse_and_keep_key(&mut self, now: Instant, id: id::Request, reason: Reason) {
        let Some(claim) = self.claim_of(id) else {
            self.refuse(now, id, reason);
            return;
        };
        // A claim that this try holds would block every retry for good.
        let step = if claim.is_acquired() {
            claim.ended(Ended::NotDispatched)
        } else {
            claim.refuse_and_keep_key(reason)
        };
        self.leave_queue(id);
        self.take_step(now, id, step);
    }

    /// Does what the claim protocol asks for.
    pub(super) fn take_step(&mut self, now: Instant, id: id::Request, step: Step) {
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
            Step::Answer(verdict) => self.answer_key(now, id, verdict),
            Step::Nothing => {}
        }
        self.forget_ended(id);
    }

    fn answer_key(&mut self, now: Instant, id: id::Request, verdict: Verdict) {
        if let Some(Stage::Claiming(upstream)) = self.held.get(&id).map(|h| &h.stage) {
            let upstream = upstream.clone();
            self.release(now, id, &upstream);
            self.schedule_all(now);
        }
        self.answer(now, id, verdict);
    }

    /// Sends a claimed request to the upstream whose slot it holds, or queues
    /// it again where the upstream closed meanwhile.
    fn dispatch_claimed(&mut self, now: Instant, id: id::Request) {
        let Some(held) = self.held.get(&id) else { return };
        let Stage::Claiming(upstream) = &held.stage else { return };
        let upstream = upstream.clone();
        let is_open = self.engines.get(&upstream).is_some_and(|e| e.is_open(now));
        if is_open && now < held.request.deadline {
            self.dispatch(now, id, upstream);
        } else {
            self.release(now, id, &upstream);
            self.enqueue(now, id);
        }
    }

    fn forget_ended(&mut self, id: id::Request) {
        let Some(held) = self.held.get(&id) else { return };
        let holds_slot = matches!(held.stage, Stage::Running(_) | Stage::Cancelled(_));
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
