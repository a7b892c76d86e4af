//! The token quotas of teams, over all instances together.
//!
//! In any window a team may use its rate times the window, and its burst. When
//! all instances die together, the record of past use is lost: to keep the
//! excess within the configured tolerance, a team may use no more than its
//! burst and part of that tolerance at once.
//!
//! Each instance counts what it admits itself and what its peers report. A
//! silent peer may be cut off by a partition and still admit requests: its
//! equal share is left to it, so that the sides of a partition together stay
//! within the quota.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use super::plan::{Limit, Plan};
use crate::id;
use crate::unit::Tokens;

/// Admissions within this time are counted as one.
const BUCKET_WIDTH: Duration = Duration::from_millis(100);

/// The fraction of the tolerance that a team may accumulate beyond its burst.
const SAVED_FRACTION: f64 = 0.5;

/// The fraction of the tolerance that a team may use at once where few instances
/// restart together.
const JOINING_FRACTION: f64 = 0.25;

/// Up to this many instances receive each other's admissions almost at once.
const FEW_INSTANCES: usize = 16;

/// What a team used in the last window.
#[derive(Clone, Debug)]
struct Usage {
    limit: Limit,
    buckets: VecDeque<(Instant, f64)>,
    sum: f64,
    /// The tokens that may be used at once.
    level: f64,
    /// The tokens that are added to `level` if few instances turn out to run.
    initial: Option<f64>,
    refilled_at: Instant,
}

impl Usage {
    fn new(limit: Limit, level: f64, now: Instant) -> Self {
        Self { limit, buckets: VecDeque::new(), sum: 0.0, level, initial: None, refilled_at: now }
    }

    fn refill(&mut self, now: Instant, share: f64, capacity: f64) {
        let elapsed = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        let level = self.level + elapsed * self.limit.rate * share;
        self.level = level.min(capacity);
        self.refilled_at = self.refilled_at.max(now);
    }

    fn drop_expired(&mut self, now: Instant, window: Duration) {
        while let Some((at, cost)) = self.buckets.front() {
            if now.saturating_duration_since(*at) < window {
                return;
            }
            self.sum = (self.sum - cost).max(0.0);
            self.buckets.pop_front();
        }
    }

    fn record(&mut self, cost: f64, now: Instant) {
        self.sum += cost;
        self.level -= cost;
        match self.buckets.back_mut() {
            Some((at, bucket)) if now.saturating_duration_since(*at) < BUCKET_WIDTH => {
                *bucket += cost
            }
            _ => self.buckets.push_back((now, cost)),
        }
    }

    fn assume_rate(&mut self, now: Instant, counting: Counting) {
        let cost = self.limit.rate * BUCKET_WIDTH.as_secs_f64();
        self.level = 0.0;
        self.initial = Some((self.limit.burst / 2.0).min(counting.tolerance * JOINING_FRACTION));
        let mut age = counting.window;
        while age >= BUCKET_WIDTH {
            if let Some(at) = now.checked_sub(age) {
                self.buckets.push_back((at, cost));
                self.sum += cost;
            }
            age -= BUCKET_WIDTH;
        }
    }

    /// The time until `excess` tokens have left the window.
    fn time_until_free(&self, excess: f64, now: Instant, window: Duration) -> Duration {
        let mut freed = 0.0;
        for (at, cost) in &self.buckets {
            freed += cost;
            if freed >= excess {
                return (*at + window).saturating_duration_since(now);
            }
        }
        window
    }
}

/// How quotas are counted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Counting {
    /// The window in which a team's use is counted.
    pub window: Duration,
    /// How far use in a window may exceed the quota, in tokens.
    pub tolerance: f64,
}

impl Counting {
    /// The tokens that a team may use in a window.
    fn tokens_per_window(&self, limit: Limit) -> f64 {
        limit.rate * self.window.as_secs_f64() + limit.burst
    }

    /// The most tokens that a team may use at once.
    fn capacity(&self, limit: Limit) -> f64 {
        let saved = limit.rate * self.window.as_secs_f64();
        limit.burst + saved.min(self.tolerance * SAVED_FRACTION)
    }
}

/// The use of all teams that have a quota.
#[derive(Debug)]
pub struct Quota {
    counting: Counting,
    usages: HashMap<id::Team, Usage>,
    admitted: HashMap<id::Team, u64>,
    instances: usize,
}

impl Quota {
    /// Quotas of which nothing is used.
    pub fn new(counting: Counting) -> Self {
        Self { counting, usages: HashMap::new(), admitted: HashMap::new(), instances: 1 }
    }

    /// Applies the limits of a plan; past use still counts.
    ///
    /// An instance that joins a running system knows nothing of the last
    /// window: it assumes that each team used its whole rate and may use little
    /// at once. Where many instances serve, a team may use nothing at once at
    /// first, because what each instance grants before it receives the others'
    /// state would add up. See [`Quota::record_running_peer`].
    pub fn configure(&mut self, plan: &Plan, is_joining: bool, now: Instant) {
        let limits: HashMap<_, _> =
            plan.teams().filter_map(|t| Some((t.id.clone(), t.quota?))).collect();
        self.usages.retain(|team, _| limits.contains_key(team));
        let counting = self.counting;
        for (team, limit) in limits {
            let usage = self.usages.entry(team).or_insert_with(|| {
                let mut usage = Usage::new(limit, counting.capacity(limit), now);
                if is_joining {
                    usage.assume_rate(now, counting);
                }
                usage
            });
            usage.limit = limit;
        }
    }

    /// Admits a request of `cost` against `share`, the part of the quota that
    /// this instance and the peers it receives from may use.
    ///
    /// A request that costs more than may ever be used at once is admitted when
    /// all of that is available, so that it can run at all.
    ///
    /// # Errors
    ///
    /// The time until enough is available.
    pub fn admit(
        &mut self,
        team: &id::Team,
        cost: Tokens,
        now: Instant,
        share: f64,
    ) -> Result<(), Duration> {
        let Some(usage) = self.usages.get_mut(team) else { return Ok(()) };
        let Counting { window, .. } = self.counting;
        let capacity = self.counting.capacity(usage.limit);
        usage.drop_expired(now, window);
        if let Some(initial) = usage.initial.take_if(|_| self.instances <= FEW_INSTANCES) {
            usage.level += initial;
        }
        usage.refill(now, share, capacity);
        let needed = f64::from(cost.0).min(capacity);
        if usage.level < needed {
            let rate = (usage.limit.rate * share).max(1.0);
            return Err(Duration::from_secs_f64((needed - usage.level) / rate));
        }
        let limit = self.counting.tokens_per_window(usage.limit) * share;
        let charged = f64::from(cost.0);
        let excess = usage.sum + charged.min(limit) - limit;
        if excess > 0.0 {
            return Err(usage.time_until_free(excess, now, window));
        }
        usage.record(charged, now);
        *self.admitted.entry(team.clone()).or_default() += u64::from(cost.0);
        Ok(())
    }

    /// Refunds the cost of a request that did not run.
    pub fn refund(&mut self, team: &id::Team, cost: Tokens) {
        let Some(usage) = self.usages.get_mut(team) else { return };
        let mut left = f64::from(cost.0);
        usage.level += left;
        for (_, bucket) in usage.buckets.iter_mut().rev() {
            let back = left.min(*bucket);
            *bucket -= back;
            usage.sum -= back;
            left -= back;
        }
    }

    /// Counts what a peer admitted.
    pub fn record_peer_admitted(&mut self, team: &id::Team, cost: u64, now: Instant) {
        if let Some(usage) = self.usages.get_mut(team).filter(|_| cost > 0) {
            usage.drop_expired(now, self.counting.window);
            usage.record(cost as f64, now);
        }
    }

    /// Sets how many instances may be running.
    pub fn set_instances(&mut self, instances: usize) {
        self.instances = instances;
    }

    /// Records a peer that has been running for longer than a window: not all
    /// instances restarted together, so an equal part of what teams may use at
    /// once becomes available.
    pub fn record_running_peer(&mut self, now: Instant) {
        let (counting, instances) = (self.counting, self.instances.max(1) as f64);
        for usage in self.usages.values_mut() {
            let capacity = counting.capacity(usage.limit);
            usage.refill(now, 0.0, capacity);
            usage.level = (usage.level + capacity / instances).min(capacity);
        }
    }

    /// The window in which use is counted.
    pub fn window(&self) -> Duration {
        self.counting.window
    }

    /// The tokens that this instance has admitted since its start, by team.
    pub fn admitted(&self) -> impl Iterator<Item = (&id::Team, u64)> {
        self.admitted.iter().map(|(team, cost)| (team, *cost))
    }
}
