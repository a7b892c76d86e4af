//! The token quotas of teams, over all instances together.
//!
//! In any window a team may use its rate times the window, and its burst; part
//! of the tolerance is used as well while nothing waits, so that what instances
//! admit before they hear of each other refuses nobody. Load pattern: a team whose requests come
//! in bursts, at many instances at once, mostly within its quota.
//!
//! Each instance counts what it admits itself and what its peers report, and
//! adds what they are likely to have admitted since. A silent peer may be cut
//! off by a partition and still admit requests: its equal share is left to it,
//! so that the sides of a partition together stay within the quota.
//!
//! When all instances die together, the record of past use is lost. How much a
//! team may use in a shorter time than the window is therefore limited as well
//! ([`Counting::most_within`]), and instances that start in a running system
//! assume that each team used just that.

mod history;
mod usage;

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::plan::{Limit, Plan};
use crate::id;
use crate::unit::Tokens;

use usage::Usage;

/// The fraction of the tolerance that a team may use.
const USED_FRACTION: f64 = 0.5;

/// The same while peers are silent: they may have admitted more than their share
/// before they were known to be cut off.
const SILENT_FRACTION: f64 = 0.25;

/// The same for a few instances that have just started together, so that they
/// can admit something at once whatever was used before.
const STARTING_FRACTION: f64 = 0.75;

/// The fraction of the tolerance that is kept for streams that callers resume, in equal
/// parts for all instances: their streams were admitted once, and break off together.
const RESUMED_FRACTION: f64 = 0.3;

/// The same for few instances, which use more of it after they have started together.
const RESUMED_FRACTION_OF_FEW: f64 = 0.15;

/// The fraction of the tolerance that a team may use at once beyond its burst.
const SAVED_FRACTION: f64 = 0.5;

/// Up to this many instances receive each other's admissions almost at once.
const FEW_INSTANCES: usize = 16;

/// How quotas are counted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Counting {
    /// The window in which a team's use is counted.
    pub window: Duration,
    /// How far use in a window may exceed the quota, in tokens.
    pub tolerance: f64,
    /// The same as a fraction of the quota; both add up.
    pub tolerance_ratio: f64,
}

impl Counting {
    /// The tokens of a team's quota in a window.
    ///
    /// ```
    /// use std::time::Duration;
    /// use rosemarypond_core::entry::plan::Limit;
    /// use rosemarypond_core::entry::quota::Counting;
    /// let window = Duration::from_secs(8);
    /// let counting = Counting { window, tolerance: 100.0, tolerance_ratio: 0.1 };
    /// let limit = Limit { rate: 100.0, burst: 200.0 };
    /// assert_eq!(counting.quota(limit), 1_000.0);
    /// assert_eq!(counting.excess(1_000.0), 200.0);
    /// ```
    pub fn quota(&self, limit: Limit) -> f64 {
        limit.rate * self.window.as_secs_f64() + limit.burst
    }

    /// How far use may exceed a quota, in tokens.
    pub fn excess(&self, quota: f64) -> f64 {
        self.tolerance + self.tolerance_ratio * quota
    }

    /// The tokens that a team may use in a window.
    fn usable(&self, quota: f64) -> f64 {
        quota + self.excess(quota) * USED_FRACTION
    }

    /// The most tokens that a team may use at once.
    fn capacity(&self, limit: Limit) -> f64 {
        let saved = limit.rate * self.window.as_secs_f64();
        limit.burst + saved.min(self.excess(self.quota(limit)) * SAVED_FRACTION)
    }

    /// The tokens per second that become available for use at once.
    fn refill_rate(&self, limit: Limit) -> f64 {
        self.usable(self.quota(limit)) / self.window.as_secs_f64()
    }

    /// The most tokens that a team can have used within `time`.
    pub fn most_within(&self, limit: Limit, time: Duration) -> f64 {
        if time.is_zero() {
            return 0.0;
        }
        let refilled = self.refill_rate(limit) * time.as_secs_f64();
        (self.capacity(limit) + refilled).min(self.usable(self.quota(limit)))
    }
}

/// What an instance knows of the other instances.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Knowledge {
    /// The part of each quota that this instance and the peers that it hears
    /// from may use.
    pub share: f64,
    /// How old what it knows of its peers is, on average.
    pub age: Duration,
    /// How many instances may be running.
    pub instances: usize,
    /// Whether requests wait here: what lies within the quotas goes first.
    pub has_backlog: bool,
}

impl Knowledge {
    /// The knowledge of an instance without peers.
    ///
    /// ```
    /// use rosemarypond_core::entry::quota::Knowledge;
    /// assert_eq!(Knowledge::alone().share, 1.0);
    /// ```
    pub fn alone() -> Self {
        Self { share: 1.0, age: Duration::ZERO, instances: 1, has_backlog: false }
    }

    /// Whether each instance is heard from.
    fn is_complete(&self) -> bool {
        self.share >= 1.0
    }
}

/// The use of all teams that have a quota.
#[derive(Clone, Debug)]
pub struct Quota {
    counting: Counting,
    usages: HashMap<id::Team, Usage>,
    admitted: HashMap<id::Team, u64>,
    /// What this instance and its peers of the same availability zone admitted.
    zone_admitted: HashMap<id::Team, u64>,
}

impl Quota {
    /// Quotas of which nothing is used.
    pub fn new(counting: Counting) -> Self {
        Self {
            counting,
            usages: HashMap::new(),
            admitted: HashMap::new(),
            zone_admitted: HashMap::new(),
        }
    }

    /// Replaces how quotas are counted; past use still counts.
    pub fn set_counting(&mut self, counting: Counting) {
        self.counting = counting;
    }

    /// Applies the limits of a plan. Past use still counts, against the limits
    /// that were in force at the time.
    ///
    /// An instance that joins a running system knows nothing of the last
    /// window: it assumes that each team used as much as it could.
    pub fn configure(&mut self, plan: &Plan, is_joining: bool, now: Instant) {
        let limits: HashMap<_, _> =
            plan.teams().filter_map(|t| Some((t.id.clone(), t.quota?))).collect();
        self.usages.retain(|team, _| limits.contains_key(team));
        let counting = self.counting;
        for (team, limit) in limits {
            match self.usages.get_mut(&team) {
                Some(usage) => usage.set_limit(limit, &counting, now),
                None => {
                    let usage = Usage::new(limit, &counting, is_joining, now);
                    self.usages.insert(team, usage);
                }
            }
        }
    }

    /// Admits a request of `cost`.
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
        knowledge: Knowledge,
    ) -> Result<(), Duration> {
        let Some(usage) = self.usages.get_mut(team) else { return Ok(()) };
        usage.check(f64::from(cost.0), &self.counting, knowledge, now)?;
        self.record(team, cost, now);
        Ok(())
    }

    /// Admits a request that resumes a stream: beyond the quota, out of what is kept for
    /// these. Where an instance's part of that is less than one request, those whose
    /// `lot`, a fraction of 1, is low enough may admit one.
    ///
    /// # Errors
    ///
    /// The time until enough of the quota is available.
    pub fn admit_resumed(
        &mut self,
        team: &id::Team,
        cost: Tokens,
        now: Instant,
        knowledge: Knowledge,
        lot: f64,
    ) -> Result<(), Duration> {
        let Some(usage) = self.usages.get_mut(team) else { return Ok(()) };
        let within = usage.check(f64::from(cost.0), &self.counting, knowledge, now);
        if let Err(wait) = within
            && !usage.take_kept(f64::from(cost.0), &self.counting, knowledge, lot, now)
        {
            return Err(wait);
        }
        self.record(team, cost, now);
        Ok(())
    }

    fn record(&mut self, team: &id::Team, cost: Tokens, now: Instant) {
        let Some(usage) = self.usages.get_mut(team) else { return };
        usage.record_own(f64::from(cost.0), now);
        for admitted in [&mut self.admitted, &mut self.zone_admitted] {
            *admitted.entry(team.clone()).or_default() += u64::from(cost.0);
        }
    }

    /// Refunds the cost of a request that did not run.
    pub fn refund(&mut self, team: &id::Team, cost: Tokens) {
        if let Some(usage) = self.usages.get_mut(team) {
            usage.refund_own(f64::from(cost.0));
        }
        for admitted in [&mut self.admitted, &mut self.zone_admitted] {
            if let Some(admitted) = admitted.get_mut(team) {
                *admitted = admitted.saturating_sub(u64::from(cost.0));
            }
        }
    }

    /// Counts what peers admitted since their last message; the change is negative
    /// where they refunded more than they admitted.
    pub fn record_peers_admitted(&mut self, team: &id::Team, change: i64, now: Instant) {
        let Some(usage) = self.usages.get_mut(team) else { return };
        if change >= 0 {
            usage.record_peer(change as f64, now);
        } else {
            usage.refund_peer((change as f64).abs());
        }
    }

    /// The same for a peer of the same availability zone, for which the zone's
    /// relays report it to the other zones.
    pub fn record_zone_admitted(&mut self, team: &id::Team, change: i64, now: Instant) {
        self.record_peers_admitted(team, change, now);
        let admitted = self.zone_admitted.entry(team.clone()).or_default();
        *admitted = admitted.saturating_add_signed(change);
    }

    /// Records `peers` of `instances` that have been running for longer than a
    /// window: not all of them started together, so less is assumed of the time
    /// before this instance started.
    pub fn record_running_peers(&mut self, peers: usize, instances: usize) {
        let part = peers as f64 / instances.max(1) as f64;
        for usage in self.usages.values_mut() {
            usage.record_running_peers(part);
        }
    }

    /// The window in which use is counted.
    pub fn window(&self) -> Duration {
        self.counting.window
    }

    /// The same for this instance and its peers of the same availability zone.
    pub fn zone_admitted(&self) -> impl Iterator<Item = (&id::Team, u64)> {
        self.zone_admitted.iter().map(|(team, cost)| (team, *cost))
    }

    /// The tokens that this instance has admitted since its start, by team,
    /// without those that it refunded.
    pub fn admitted(&self) -> impl Iterator<Item = (&id::Team, u64)> {
        self.admitted.iter().map(|(team, cost)| (team, *cost))
    }
}
