//! What teams may use, over all instances together.
//!
//! A team may use its rate times the window in which it is counted, and its
//! burst, in any such window. When all instances die together, what was used
//! is forgotten: so that the excess stays within what the users tolerate, a
//! team may use no more than its burst and part of that tolerance at once.
//! Each instance counts what it admits itself and
//! what its peers say that they admitted. A peer that is silent may be cut off
//! and go on admitting: its equal share is left to it, so that the sides of a
//! partition together stay within the quota.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use super::plan::{Limit, Plan};
use crate::id;
use crate::unit::Tokens;

/// What is admitted within such a time is counted as admitted at once.
const STEP: Duration = Duration::from_millis(100);

/// The part of the tolerance that a team may save up beside its burst.
const SAVED_PART: f64 = 0.5;

/// The part of the tolerance that a team has saved where few instances start
/// anew.
const JOINING_PART: f64 = 0.25;

/// So many instances see each other's admissions almost at once.
const FEW_INSTANCES: usize = 16;

/// What was admitted in the last window.
#[derive(Clone, Debug)]
struct Usage {
    limit: Limit,
    steps: VecDeque<(Instant, f64)>,
    sum: f64,
    /// What may be used at once.
    level: f64,
    /// What is saved if few instances turn out to be at work.
    saved: Option<f64>,
    filled: Instant,
}

impl Usage {
    fn new(limit: Limit, level: f64, now: Instant) -> Self {
        Self { limit, steps: VecDeque::new(), sum: 0.0, level, saved: None, filled: now }
    }

    fn fill(&mut self, now: Instant, share: f64, capacity: f64) {
        let elapsed = now.saturating_duration_since(self.filled).as_secs_f64();
        let level = self.level + elapsed * self.limit.rate * share;
        self.level = level.min(capacity);
        self.filled = self.filled.max(now);
    }

    fn forget(&mut self, now: Instant, window: Duration) {
        while let Some((at, cost)) = self.steps.front() {
            if now.saturating_duration_since(*at) < window {
                return;
            }
            self.sum = (self.sum - cost).max(0.0);
            self.steps.pop_front();
        }
    }

    fn add(&mut self, cost: f64, now: Instant) {
        self.sum += cost;
        self.level -= cost;
        match self.steps.back_mut() {
            Some((at, step)) if now.saturating_duration_since(*at) < STEP => *step += cost,
            _ => self.steps.push_back((now, cost)),
        }
    }

    fn assume_rate(&mut self, now: Instant, counting: Counting) {
        let cost = self.limit.rate * STEP.as_secs_f64();
        self.level = 0.0;
        self.saved = Some((self.limit.burst / 2.0).min(counting.tolerance * JOINING_PART));
        let mut age = counting.window;
        while age >= STEP {
            if let Some(at) = now.checked_sub(age) {
                self.steps.push_back((at, cost));
                self.sum += cost;
            }
            age -= STEP;
        }
    }

    /// When so much will have left the window.
    fn time_until_free(&self, excess: f64, now: Instant, window: Duration) -> Duration {
        let mut freed = 0.0;
        for (at, cost) in &self.steps {
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
    /// The excess in a window that is tolerated, in tokens.
    pub tolerance: f64,
}

impl Counting {
    /// What a team may use in a window.
    fn allowance(&self, limit: Limit) -> f64 {
        limit.rate * self.window.as_secs_f64() + limit.burst
    }

    /// What a team may use at once.
    fn capacity(&self, limit: Limit) -> f64 {
        let saved = limit.rate * self.window.as_secs_f64();
        limit.burst + saved.min(self.tolerance * SAVED_PART)
    }
}

/// What all teams that have a quota use.
#[derive(Debug)]
pub struct Quota {
    counting: Counting,
    usages: HashMap<id::Team, Usage>,
    admitted: HashMap<id::Team, u64>,
    instances: usize,
}

impl Quota {
    /// Quotas of which nothing is used yet.
    pub fn new(counting: Counting) -> Self {
        Self { counting, usages: HashMap::new(), admitted: HashMap::new(), instances: 1 }
    }

    /// Takes over the limits of a plan; what was used stays used.
    ///
    /// An instance that joins a system at work knows nothing of the last
    /// window: it takes it that each team used its whole rate, and has little
    /// saved, or nothing where many instances serve: what each of them granted
    /// before it hears the others would add up. See [`Quota::vouched`].
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

    /// Admits a request of `cost`, or says when it would be.
    ///
    /// A request that costs more than may be used at once is admitted where
    /// all of that is there, so that it can run at all.
    ///
    /// # Errors
    ///
    /// The time until enough is free.
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
        usage.forget(now, window);
        if let Some(saved) = usage.saved.take_if(|_| self.instances <= FEW_INSTANCES) {
            usage.level += saved;
        }
        usage.fill(now, share, capacity);
        let needed = f64::from(cost.0).min(capacity);
        if usage.level < needed {
            let rate = (usage.limit.rate * share).max(1.0);
            return Err(Duration::from_secs_f64((needed - usage.level) / rate));
        }
        let most = self.counting.allowance(usage.limit) * share;
        let cost_now = f64::from(cost.0);
        let excess = usage.sum + cost_now.min(most) - most;
        if excess > 0.0 {
            return Err(usage.time_until_free(excess, now, window));
        }
        usage.add(cost_now, now);
        *self.admitted.entry(team.clone()).or_default() += u64::from(cost.0);
        Ok(())
    }

    /// Gives back the cost of a request that did not run.
    pub fn refund(&mut self, team: &id::Team, cost: Tokens) {
        let Some(usage) = self.usages.get_mut(team) else { return };
        let mut left = f64::from(cost.0);
        usage.level += left;
        for (_, step) in usage.steps.iter_mut().rev() {
            let back = left.min(*step);
            *step -= back;
            usage.sum -= back;
            left -= back;
        }
    }

    /// Counts what a peer admitted.
    pub fn admitted_elsewhere(&mut self, team: &id::Team, cost: u64, now: Instant) {
        if let Some(usage) = self.usages.get_mut(team).filter(|_| cost > 0) {
            usage.forget(now, self.counting.window);
            usage.add(cost as f64, now);
        }
    }

    /// Notes how many instances may be at work.
    pub fn set_instances(&mut self, instances: usize) {
        self.instances = instances;
    }

    /// Takes into account a peer that has been at work for longer than a
    /// window: not all instances start anew, and an equal part of what teams
    /// may have saved is there.
    pub fn vouched(&mut self, now: Instant) {
        let (counting, all) = (self.counting, self.instances.max(1) as f64);
        for usage in self.usages.values_mut() {
            let capacity = counting.capacity(usage.limit);
            usage.fill(now, 0.0, capacity);
            usage.level = (usage.level + capacity / all).min(capacity);
        }
    }

    /// The window in which use is counted.
    pub fn window(&self) -> Duration {
        self.counting.window
    }

    /// What this instance has admitted since its start, a team.
    pub fn admitted(&self) -> impl Iterator<Item = (&id::Team, u64)> {
        self.admitted.iter().map(|(team, cost)| (team, *cost))
    }
}
