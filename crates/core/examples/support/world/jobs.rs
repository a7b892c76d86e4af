//! Requests on their upstreams, and the answers to their callers.

use std::time::Duration;

use rosemarypond_core::claim::{Ended, Verdict};
use rosemarypond_core::engine::BLOCK_TOKENS;
use rosemarypond_core::event::Event;
use rosemarypond_core::id;
use rosemarypond_core::request::Repeat;
use rosemarypond_core::unit::Tokens;

use super::{CALL_GRACE, FIRST_RETRY, Occurrence, Policy, Retry, World};
use crate::support::engine::{Job, Started};

impl World {
    /// Gives a caller its final answer; only the first one counts.
    pub fn answer(&mut self, request: id::Request, verdict: Verdict, retry_after: Duration) {
        self.answers.push((request, verdict));
        let now = self.now;
        let Some(caller) = self.callers.get_mut(&request) else { return };
        if caller.answered.is_some() {
            return;
        }
        caller.answered = Some(verdict);
        let rank = caller.request.rank;
        match verdict {
            Verdict::Deliver | Verdict::Replay if now <= caller.request.deadline => {
                *self.tally.good.entry(rank).or_default() += 1;
            }
            Verdict::Refuse(outcome, reason) => {
                *self.tally.refused.entry(rank).or_default() += 1;
                *self.tally.reasons.entry((rank, outcome, reason)).or_default() += 1;
            }
            Verdict::Deliver | Verdict::Replay => {}
        }
        if matches!(verdict, Verdict::Refuse(..)) {
            self.schedule_retry(request, retry_after);
        }
    }

    /// Schedules the retry of a refused request, if its caller has retries left.
    fn schedule_retry(&mut self, request: id::Request, retry_after: Duration) {
        let caller = &self.callers[&request];
        let Some(retries_left) = caller.retries_left.checked_sub(1) else { return };
        let (request, tokens) = (caller.request.clone(), caller.tokens);
        self.retries.push(Retry { request, tokens, retries_left });
        let number = FIRST_RETRY + self.retries.len() as u64 - 1;
        self.after(retry_after, Occurrence::Hook(number));
    }

    pub(super) fn dispatch(
        &mut self,
        node: usize,
        incarnation: u64,
        request: id::Request,
        upstream: id::Upstream,
    ) {
        if self.nodes[node].incarnation != incarnation || self.nodes[node].decider.is_none() {
            return;
        }
        let Some(caller) = self.callers.get_mut(&request) else { return };
        let (full_request, tokens) = (caller.request.clone(), caller.tokens);
        caller.upstream = Some(upstream.clone());
        let zone = &self.upstream_zone[&upstream];
        let cut = self.cut_zones.contains(zone) && self.nodes[node].zone != *zone;
        let is_unreachable = cut || !self.engines[&upstream].alive;
        if is_unreachable {
            self.report_ended(node, incarnation, request, Ended::NotDispatched, 0);
            return;
        }
        self.dispatches.push((self.now, upstream.clone()));
        *self.runs_by_request.entry(request).or_default() += 1;
        if let Repeat::Keyed(key) = &full_request.repeat {
            *self.runs_by_key.entry(key.text.clone()).or_default() += 1;
        }
        self.next_job += 1;
        let number = self.next_job;
        let job = Job {
            request: full_request,
            node,
            incarnation,
            tokens,
            uncached: 0,
            has_started: false,
            has_sent_first: false,
        };
        let now = self.now;
        let timeout = job.request.deadline.saturating_duration_since(now) + CALL_GRACE;
        self.after(timeout, Occurrence::CallTimeout { upstream: upstream.clone(), job: number });
        let engine = self.engines.get_mut(&upstream).expect("the upstream is known");
        let started = engine.admit(number, job, now);
        self.job_started(&upstream, started);
    }

    pub(super) fn job_started(&mut self, upstream: &id::Upstream, started: Option<Started>) {
        let Some(started) = started else { return };
        let engine = &self.engines[upstream];
        let job = &engine.jobs[&started.job];
        let cached = job.request.prompt.0 - job.uncached;
        let zone = self.upstream_zone[upstream].clone();
        let first_block = (cached / BLOCK_TOKENS) as usize;
        let blocks = job.request.prefix[first_block.min(job.request.prefix.len())..].to_vec();
        self.tally.prefill += u64::from(job.uncached);
        for block in blocks {
            if !self.seen_blocks.insert((zone.clone(), block)) {
                self.tally.repeated_prefill += u64::from(BLOCK_TOKENS);
            }
        }
        let job = started.job;
        self.after(
            started.first_token_in,
            Occurrence::FirstToken { upstream: upstream.clone(), job },
        );
        self.after(
            started.completed_in,
            Occurrence::Completion { upstream: upstream.clone(), job },
        );
        self.after(
            Duration::from_millis(1_500),
            Occurrence::Publish { upstream: upstream.clone() },
        );
    }

    pub(super) fn first_token(&mut self, upstream: &id::Upstream, number: u64) {
        let Some(engine) = self.engines.get_mut(upstream) else { return };
        if engine.silent {
            return;
        }
        let gap = engine.token_gap();
        let Some(job) = engine.jobs.get_mut(&number) else { return };
        job.has_sent_first = true;
        let (node, incarnation, id) = (job.node, job.incarnation, job.request.id);
        let taken = self.now.saturating_duration_since(job.request.arrived);
        let tokens = job.tokens;
        self.tally.record_first_token(taken);
        self.tally.record_gaps(gap, tokens);
        let event = Box::new(Event::FirstToken(id));
        let delay = self.conditions.one_way_delay;
        self.after(delay, Occurrence::Deliver { node, incarnation, event });
    }

    pub(super) fn completed(&mut self, upstream: &id::Upstream, number: u64) {
        if self.engines.get(upstream).is_none_or(|e| e.silent) {
            return;
        }
        self.end_job(upstream, number, Some(Ended::Whole));
    }

    /// Ends a job and starts the next one. Reports `how` it ended to the instance, if
    /// given.
    pub fn end_job(&mut self, upstream: &id::Upstream, number: u64, how: Option<Ended>) {
        let now = self.now;
        let Some(engine) = self.engines.get_mut(upstream) else { return };
        let Some(job) = engine.remove(number) else { return };
        let next = engine.start_next(now);
        self.job_started(upstream, next);
        let was_delivered = how == Some(Ended::Whole)
            && self.callers.get(&job.request.id).is_some_and(|c| c.answered.is_none());
        if job.has_started && !was_delivered {
            self.tally.cut_prefill += u64::from(job.uncached);
        }
        if let Some(how) = how {
            self.report_ended(job.node, job.incarnation, job.request.id, how, job.tokens);
        }
        if self.policy == Policy::Oracle {
            self.run_oracle();
        }
    }

    pub(super) fn report_ended(
        &mut self,
        node: usize,
        incarnation: u64,
        request: id::Request,
        how: Ended,
        tokens: u32,
    ) {
        if self.policy == Policy::Oracle {
            if how == Ended::Whole {
                self.answer(request, Verdict::Deliver, Duration::ZERO);
            }
            return;
        }
        let event = Box::new(Event::Ended { request, how, tokens: Tokens(tokens) });
        let delay = self.conditions.one_way_delay;
        self.after(delay, Occurrence::Deliver { node, incarnation, event });
    }

    pub(super) fn cancel(&mut self, node: usize, incarnation: u64, request: id::Request) {
        let Some(upstream) = self.callers.get(&request).and_then(|c| c.upstream.clone()) else {
            return;
        };
        if let Some(number) = self.engines[&upstream].find_job(node, incarnation, request) {
            self.end_job(&upstream, number, Some(Ended::Broken));
        }
    }

    pub(super) fn caller_timeout(&mut self, request: id::Request) {
        let Some(caller) = self.callers.get(&request) else { return };
        if caller.answered.is_some() {
            return;
        }
        let node = caller.node;
        if self.policy == Policy::Oracle {
            self.oracle.retain(|r| *r != request);
        }
        self.handle(node, Event::CallerLeft(request));
    }
}
