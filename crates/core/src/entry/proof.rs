//! The age of the newest proof that the configuration in force is current.
//!
//! A credential may have been revoked since. An instance that cannot prove
//! that it knows all revocations up to shortly before now refuses requests
//! with credentials rather than run one whose credential is revoked.

use std::time::Duration;

use super::watermark::Era;
use crate::config::Version;

/// How long after the store came back from an older copy its answers prove
/// nothing: a newer configuration may not have been written again yet.
pub const REWRITE_TIME: Duration = Duration::from_secs(2);

/// The time since the machine started, including the time for which it was
/// suspended; the runtime's clock stops during a suspension.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Uptime(pub Duration);

/// The newest proof that the configuration is current.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Proof {
    newest: Option<Uptime>,
}

impl Proof {
    /// Records that the configuration in force was the newest at `at`.
    pub fn renew(&mut self, at: Uptime) {
        self.newest = self.newest.max(Some(at));
    }

    /// Whether the configuration was the newest at most `limit` ago.
    ///
    /// ```
    /// use std::time::Duration;
    /// use rosemarypond_core::entry::proof::{Proof, Uptime};
    /// let mut proof = Proof::default();
    /// let limit = Duration::from_secs(3);
    /// assert!(!proof.is_fresh(Uptime(Duration::from_secs(10)), limit));
    /// proof.renew(Uptime(Duration::from_secs(10)));
    /// assert!(proof.is_fresh(Uptime(Duration::from_secs(12)), limit));
    /// assert!(!proof.is_fresh(Uptime(Duration::from_secs(14)), limit));
    /// ```
    pub fn is_fresh(&self, now: Uptime, limit: Duration) -> bool {
        self.age(now).is_some_and(|age| age <= limit)
    }

    /// The age of the newest proof, if there is one.
    pub fn age(&self, now: Uptime) -> Option<Duration> {
        self.newest.map(|at| now.0.saturating_sub(at.0))
    }
}

/// What the store's answers say about the configuration that it holds.
///
/// The store may come back from an older copy, which lacks what was written last; it is
/// written again within [`REWRITE_TIME`]. An era is settled once that time has passed
/// since an answer showed the instance that it has begun. An instance that has just
/// started cannot tell a new era from one that has lasted for hours, so that it waits
/// for as long, unless a record in the store shows that another instance has waited
/// before: the copy cannot hold a record of the era that began with it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Stored {
    /// Whether the store cannot have come back before this instance's first answer.
    is_first_start: bool,
    era: Option<Era>,
    /// The version of the valid configuration that the store holds in this era.
    version: Option<Version>,
    /// When the answers of this era begin to prove something.
    settled_at: Uptime,
    /// The era that a record in the store shows to be settled.
    recorded: Option<Era>,
    /// The era in which an answer has proved something.
    proved: Option<Era>,
}

impl Stored {
    /// Returns the state before the first answer; `is_first_start` where the whole system
    /// starts for the first time, so that no configuration can have been lost.
    pub fn new(is_first_start: bool) -> Self {
        Self { is_first_start, ..Self::default() }
    }

    /// Records the era of an answer that was received at `now`; in a new era the
    /// store's configuration is not known until it is read again.
    pub fn record_era(&mut self, era: Era, now: Uptime) {
        if self.era == Some(era) {
            return;
        }
        let is_first_era = self.era.is_none() && self.is_first_start;
        self.settled_at = if is_first_era { now } else { Uptime(now.0 + REWRITE_TIME) };
        self.era = Some(era);
        self.version = None;
    }

    /// Records that the store holds the record that an era is settled, in an answer of
    /// that era.
    pub fn record_settled(&mut self, era: Era) {
        self.recorded = Some(era);
    }

    /// Records the version of the store's configuration; none if it is not valid.
    pub fn record_version(&mut self, version: Option<Version>) {
        self.version = version;
    }

    /// How long after `now` the answers of the era begin to prove something; zero where
    /// they do already, or where no answer was received.
    pub fn time_to_settle(&self, now: Uptime) -> Duration {
        if self.recorded == self.era {
            return Duration::ZERO;
        }
        self.settled_at.0.saturating_sub(now.0)
    }

    /// Whether this era is the last one known here, and is settled at `now`.
    pub fn is_settled(&self, era: Era, now: Uptime) -> bool {
        self.era == Some(era) && self.time_to_settle(now).is_zero()
    }

    /// Whether an answer that is received at `now` proves that the version in
    /// force is the newest, while version `known` is known to exist.
    ///
    /// ```
    /// use std::time::Duration;
    /// use rosemarypond_core::config::Version;
    /// use rosemarypond_core::entry::proof::{Stored, Uptime};
    /// use rosemarypond_core::entry::watermark::Era;
    /// let at = |s| Uptime(Duration::from_secs(s));
    /// let mut stored = Stored::new(true);
    /// stored.record_era(Era(1), at(0));
    /// stored.record_version(Some(Version(7)));
    /// assert!(stored.proves(Some(Version(7)), Version(7), at(0)));
    /// // The store comes back from an older copy.
    /// stored.record_era(Era(2), at(10));
    /// stored.record_version(Some(Version(5)));
    /// assert!(!stored.proves(Some(Version(7)), Version(7), at(13)));
    /// stored.record_version(Some(Version(7)));
    /// assert!(!stored.proves(Some(Version(7)), Version(7), at(11)));
    /// assert!(stored.proves(Some(Version(7)), Version(7), at(13)));
    /// ```
    pub fn proves(&self, in_force: Option<Version>, known: Version, now: Uptime) -> bool {
        let is_newest = in_force.is_some_and(|version| version >= known);
        is_newest && self.version == in_force && self.time_to_settle(now).is_zero()
    }

    /// Records that an answer of this era has proved something; returns whether it is the
    /// first one.
    pub fn record_proof(&mut self) -> bool {
        std::mem::replace(&mut self.proved, self.era) != self.era
    }

    /// Whether an era is known to be settled, so that a record in the store may say so.
    pub fn is_known_settled(&self, era: Era) -> bool {
        self.proved == Some(era) || self.recorded == Some(era)
    }
}

/// Converts the times of another monotonic clock to this machine's.
///
/// A response is made after its request was sent and before it is received, so
/// each response bounds the difference of the two clocks from both sides.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Offset {
    lower: Option<i128>,
    upper: Option<i128>,
}

impl Offset {
    /// Narrows the bounds with a response that states the other clock's time.
    ///
    /// ```
    /// use std::time::Duration;
    /// use rosemarypond_core::entry::proof::{Offset, Uptime};
    /// let ms = |ms| Duration::from_millis(ms);
    /// let up = |of| Uptime(ms(of));
    /// let mut offset = Offset::default();
    /// assert_eq!(offset.latest(ms(100)), None);
    /// offset.update(ms(100), up(5_000), up(5_008));
    /// assert_eq!(offset.earliest(ms(100)), Some(up(5_000)));
    /// assert_eq!(offset.latest(ms(100)), Some(up(5_008)));
    /// // A response that was delayed by 900 ms on its way.
    /// offset.update(ms(200), up(5_101), up(6_002));
    /// assert_eq!(offset.earliest(ms(200)), Some(up(5_101)));
    /// assert_eq!(offset.latest(ms(200)), Some(up(5_108)));
    /// ```
    pub fn update(&mut self, stated: Duration, requested: Uptime, received: Uptime) {
        let stated = stated.as_nanos() as i128;
        let (lower, upper) =
            (requested.0.as_nanos() as i128 - stated, received.0.as_nanos() as i128 - stated);
        self.lower = Some(self.lower.map_or(lower, |known| known.max(lower)));
        self.upper = Some(self.upper.map_or(upper, |known| known.min(upper)));
    }

    /// The earliest that a time of the other clock can be on this machine's;
    /// none before the first response.
    pub fn earliest(&self, stated: Duration) -> Option<Uptime> {
        self.lower.map(|lower| convert(stated, lower))
    }

    /// The latest that a time of the other clock can be on this machine's;
    /// none before the first response.
    pub fn latest(&self, stated: Duration) -> Option<Uptime> {
        self.upper.map(|upper| convert(stated, upper))
    }
}

fn convert(stated: Duration, difference: i128) -> Uptime {
    let nanos = u64::try_from(stated.as_nanos() as i128 + difference).unwrap_or_default();
    Uptime(Duration::from_nanos(nanos))
}
