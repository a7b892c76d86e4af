//! What one team used in the last window.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::history::History;
use super::{
    Counting, FEW_INSTANCES, Knowledge, RESUMED_FRACTION, RESUMED_FRACTION_OF_FEW, SILENT_FRACTION,
    STARTING_FRACTION,
};
use crate::entry::plan::Limit;

/// Admissions within this time are counted as one.
const BUCKET_WIDTH: Duration = Duration::from_millis(100);
/// The longest time that is stated until a request may be admitted, in seconds.
const MAX_WAIT_S: f64 = 3_600.0;
/// The time over which the rate of peers' admissions is measured.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Tokens by the time at which they were admitted.
#[derive(Clone, Debug, Default)]
struct Buckets {
    buckets: VecDeque<(Instant, f64)>,
    sum: f64,
}

impl Buckets {
    fn record(&mut self, cost: f64, now: Instant) {
        self.sum += cost;
        match self.buckets.back_mut() {
            Some((at, bucket)) if now.saturating_duration_since(*at) < BUCKET_WIDTH => {
                *bucket += cost
            }
            _ => self.buckets.push_back((now, cost)),
        }
    }

    fn refund(&mut self, cost: f64) {
        let mut left = cost;
        for (_, bucket) in self.buckets.iter_mut().rev() {
            let back = left.min(*bucket);
            *bucket -= back;
            self.sum -= back;
            left -= back;
        }
    }

    fn drop_expired(&mut self, now: Instant, window: Duration) {
        while let Some((at, cost)) = self.buckets.front() {
            if now.saturating_duration_since(*at) < window {
                return;
            }
            self.sum = (self.sum - cost).max(0.0);
            self.buckets.pop_front();
        }
        // Rounding errors must not add up.
        self.sum = 0.0;
    }

    /// The tokens per second that were admitted in the last [`RATE_WINDOW`].
    fn rate(&self, now: Instant) -> f64 {
        let newest = self.buckets.iter().rev();
        let recent = newest.take_while(|(at, _)| now.saturating_duration_since(*at) < RATE_WINDOW);
        recent.map(|(_, cost)| cost).sum::<f64>() / RATE_WINDOW.as_secs_f64()
    }

    /// The tokens that were admitted up to `before`.
    fn admitted_before(&self, before: Instant) -> f64 {
        let old = self.buckets.iter().take_while(|(at, _)| *at <= before);
        old.map(|(_, cost)| cost).sum()
    }
}

/// What is assumed of the time before this instance started.
#[derive(Clone, Copy, Debug)]
struct Assumption {
    started: Instant,
    limit: Limit,
    /// The part of the instances that are known to have been running then.
    running: f64,
}

impl Assumption {
    /// The tokens that are assumed to have been used in the part of the window
    /// that lies before the start.
    fn used(&self, counting: &Counting, now: Instant) -> f64 {
        let since = now.saturating_duration_since(self.started);
        let before = counting.window.saturating_sub(since);
        let most = counting.most_within(self.limit, before);
        let even = self.limit.rate * before.as_secs_f64();
        most + self.running * (even - most).min(0.0)
    }
}

/// What a team used.
#[derive(Clone, Debug)]
pub(super) struct Usage {
    limits: History,
    own: Buckets,
    peers: Buckets,
    assumption: Option<Assumption>,
    /// What was used of the tokens that are kept for streams that are resumed.
    resumed: Buckets,
    /// The tokens that may be used at once.
    level: f64,
    refilled_at: Instant,
}

impl Usage {
    pub(super) fn new(limit: Limit, counting: &Counting, is_joining: bool, now: Instant) -> Self {
        let assumption = Assumption { started: now, limit, running: 0.0 };
        Self {
            limits: History::new(limit, now),
            own: Buckets::default(),
            peers: Buckets::default(),
            assumption: is_joining.then_some(assumption),
            resumed: Buckets::default(),
            level: counting.capacity(limit),
            refilled_at: now,
        }
    }

    pub(super) fn set_limit(&mut self, limit: Limit, counting: &Counting, now: Instant) {
        self.refill(counting, now, 1.0);
        self.limits.push(limit, now);
    }

    /// Makes more tokens available for use at once; returns the mean limit of the
    /// window.
    fn refill(&mut self, counting: &Counting, now: Instant, share: f64) -> Limit {
        let limit = self.limits.mean(now, counting.window);
        let elapsed = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        // No more than a window's use can be owed, whatever a peer reported.
        let lowest = -counting.usable(counting.quota(limit));
        let level = self.level.max(lowest) + elapsed * counting.refill_rate(limit) * share;
        self.level = level.min(counting.capacity(limit));
        self.refilled_at = self.refilled_at.max(now);
        limit
    }

    /// Whether `cost` more tokens may be used now.
    ///
    /// # Errors
    ///
    /// The time until enough is available.
    pub(super) fn check(
        &mut self,
        cost: f64,
        counting: &Counting,
        knowledge: Knowledge,
        now: Instant,
    ) -> Result<(), Duration> {
        self.own.drop_expired(now, counting.window);
        self.peers.drop_expired(now, counting.window);
        let limit = self.refill(counting, now, knowledge.share);
        let unseen = self.peers.rate(now) * knowledge.age.as_secs_f64();
        let usable = self.usable(counting.quota(limit), counting, knowledge);
        let used = self.used(counting, now) + unseen;
        let refill_rate = (counting.refill_rate(limit) * knowledge.share).max(1.0);
        let needed = cost.min(counting.capacity(limit));
        let missing = (needed + unseen - self.level).max(0.0);
        let refilled_in = Duration::from_secs_f64((missing / refill_rate).min(MAX_WAIT_S));
        let excess = used + cost.min(usable) - usable;
        let wait = refilled_in.max(self.time_until_free(excess, counting, now));
        if wait.is_zero() { Ok(()) } else { Err(wait) }
    }

    /// Takes tokens that are kept for streams that are resumed; returns whether this
    /// instance's part of them sufficed.
    pub(super) fn take_kept(
        &mut self,
        cost: f64,
        counting: &Counting,
        knowledge: Knowledge,
        lot: f64,
        now: Instant,
    ) -> bool {
        self.resumed.drop_expired(now, counting.window);
        let limit = self.limits.mean(now, counting.window);
        let is_few = knowledge.instances <= FEW_INSTANCES;
        let fraction = if is_few { RESUMED_FRACTION_OF_FEW } else { RESUMED_FRACTION };
        let kept = counting.excess(counting.quota(limit)) * fraction;
        let part = kept / knowledge.instances.max(1) as f64;
        let is_drawn = part < cost && self.resumed.sum == 0.0 && lot * cost < part;
        let is_kept = self.resumed.sum + cost <= part || is_drawn;
        if is_kept {
            self.resumed.record(cost, now);
        }
        is_kept
    }

    /// The tokens that may be used in a window with this quota.
    fn usable(&self, quota: f64, counting: &Counting, knowledge: Knowledge) -> f64 {
        if knowledge.has_backlog {
            return quota * knowledge.share;
        }
        if !knowledge.is_complete() {
            return (quota + counting.excess(quota) * SILENT_FRACTION) * knowledge.share;
        }
        if self.assumption.is_some() && knowledge.instances <= FEW_INSTANCES {
            return quota + counting.excess(quota) * STARTING_FRACTION;
        }
        counting.usable(quota)
    }

    fn used(&mut self, counting: &Counting, now: Instant) -> f64 {
        let assumed = self.assumption.map_or(0.0, |assumption| assumption.used(counting, now));
        if assumed <= 0.0 {
            self.assumption = None;
        }
        self.own.sum + self.peers.sum + assumed
    }

    /// The time until `excess` tokens have left the window.
    fn time_until_free(&self, excess: f64, counting: &Counting, now: Instant) -> Duration {
        if excess <= 0.0 {
            return Duration::ZERO;
        }
        let freed_after = |later: Duration| {
            let Some(start) = (now + later).checked_sub(counting.window) else { return 0.0 };
            let expired = self.own.admitted_before(start) + self.peers.admitted_before(start);
            let assumed = |at| self.assumption.map_or(0.0, |a| a.used(counting, at));
            expired + assumed(now) - assumed(now + later)
        };
        let mut later = BUCKET_WIDTH;
        while later < counting.window && freed_after(later) < excess {
            later += BUCKET_WIDTH;
        }
        later
    }

    pub(super) fn record_own(&mut self, cost: f64, now: Instant) {
        self.level -= cost;
        self.own.record(cost, now);
    }

    pub(super) fn record_peer(&mut self, cost: f64, now: Instant) {
        self.level -= cost;
        self.peers.record(cost, now);
    }

    pub(super) fn refund_own(&mut self, cost: f64) {
        self.level += cost;
        self.own.refund(cost);
    }

    pub(super) fn refund_peer(&mut self, cost: f64) {
        self.level += cost;
        self.peers.refund(cost);
    }

    pub(super) fn record_running_peers(&mut self, part: f64) {
        if let Some(assumption) = &mut self.assumption {
            assumption.running = (assumption.running + part).min(1.0);
        }
    }
}
