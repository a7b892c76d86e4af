//! What teams may use, over all instances together.
//!
//! Each instance keeps a token bucket a team for the whole system, from which
//! it takes what it admits itself and what its peers say that they admitted.
//! A peer that is silent may be cut off and go on admitting: its equal share
//! of the rate is left to it, so that the sides of a partition together stay
//! within the quota.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::plan::{Limit, Plan};
use crate::id;
use crate::unit::Tokens;

#[derive(Clone, Copy, Debug)]
struct Bucket {
    limit: Limit,
    level: f64,
    filled: Instant,
}

impl Bucket {
    fn fill(&mut self, now: Instant, share: f64) {
        let elapsed = now.saturating_duration_since(self.filled).as_secs_f64();
        self.level = (self.level + elapsed * self.limit.rate * share).min(self.limit.burst);
        self.filled = self.filled.max(now);
    }
}

/// The buckets of all teams that have a quota.
#[derive(Debug, Default)]
pub struct Quota {
    buckets: HashMap<id::Team, Bucket>,
    admitted: HashMap<id::Team, u64>,
}

impl Quota {
    /// Takes over the limits of a plan; what was used stays used.
    pub fn configure(&mut self, plan: &Plan, now: Instant) {
        let limits: HashMap<_, _> =
            plan.teams().filter_map(|t| Some((t.id.clone(), t.quota?))).collect();
        self.buckets.retain(|team, _| limits.contains_key(team));
        for (team, limit) in limits {
            let bucket = self.buckets.entry(team).or_insert(Bucket {
                limit,
                level: limit.burst,
                filled: now,
            });
            // A raised burst can be used at once, a lowered one binds at once.
            bucket.level += (limit.burst - bucket.limit.burst).max(0.0);
            bucket.level = bucket.level.min(limit.burst);
            bucket.limit = limit;
        }
    }

    /// Admits a request of `cost`, or says when it would be.
    ///
    /// A request that costs more than the burst is admitted from a full bucket,
    /// and the rest is owed, so that it can run at all.
    ///
    /// # Errors
    ///
    /// The time until the bucket holds enough.
    pub fn admit(
        &mut self,
        team: &id::Team,
        cost: Tokens,
        now: Instant,
        share: f64,
    ) -> Result<(), Duration> {
        let Some(bucket) = self.buckets.get_mut(team) else { return Ok(()) };
        bucket.fill(now, share);
        let needed = f64::from(cost.0).min(bucket.limit.burst);
        if bucket.level < needed {
            let rate = (bucket.limit.rate * share).max(1.0);
            return Err(Duration::from_secs_f64((needed - bucket.level) / rate));
        }
        bucket.level -= f64::from(cost.0);
        *self.admitted.entry(team.clone()).or_default() += u64::from(cost.0);
        Ok(())
    }

    /// Gives back the cost of a request that did not run.
    pub fn refund(&mut self, team: &id::Team, cost: Tokens) {
        if let Some(bucket) = self.buckets.get_mut(team) {
            bucket.level = (bucket.level + f64::from(cost.0)).min(bucket.limit.burst);
        }
    }

    /// Takes off what a peer admitted.
    pub fn admitted_elsewhere(&mut self, team: &id::Team, cost: u64, now: Instant, share: f64) {
        if let Some(bucket) = self.buckets.get_mut(team) {
            bucket.fill(now, share);
            bucket.level -= cost as f64;
        }
    }

    /// What this instance has admitted since its start, a team.
    pub fn admitted(&self) -> impl Iterator<Item = (&id::Team, u64)> {
        self.admitted.iter().map(|(team, cost)| (team, *cost))
    }
}
