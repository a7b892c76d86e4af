//! How old the newest proof is that the configuration in force is current.
//!
//! A credential may have been revoked since. An instance that cannot prove
//! that it knows of all revocations up to shortly before now refuses requests
//! with credentials rather than run a revoked one.

use std::time::Duration;

/// The time since the machine started, with the time for which it was
/// suspended; unlike the runtime's clock it does not stand still then.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Uptime(pub Duration);

/// The newest proof that the configuration is current.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Proof {
    newest: Option<Uptime>,
}

impl Proof {
    /// Notes that the configuration in force was the newest at `at`.
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

/// Turns the times of another steady clock into this machine's.
///
/// An answer comes after it was made: the least difference ever seen between
/// the time of its arrival and the time that it states is the closest to that
/// of the clocks, and a time that is turned with it is never much too late.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Offset {
    least: Option<i128>,
}

impl Offset {
    /// Takes an answer that states `stated` and came at `arrived`; gives the
    /// time on this machine's clock at which it was made at the earliest.
    ///
    /// ```
    /// use std::time::Duration;
    /// use rosemarypond_core::entry::proof::{Offset, Uptime};
    /// let ms = |ms| Duration::from_millis(ms);
    /// let mut offset = Offset::default();
    /// assert_eq!(offset.made_at(ms(100), Uptime(ms(5_002))), Uptime(ms(5_002)));
    /// // Held up on the way for 900 ms.
    /// assert_eq!(offset.made_at(ms(200), Uptime(ms(6_002))), Uptime(ms(5_102)));
    /// ```
    pub fn made_at(&mut self, stated: Duration, arrived: Uptime) -> Uptime {
        let stated = stated.as_nanos() as i128;
        let difference = arrived.0.as_nanos() as i128 - stated;
        let least = self.least.map_or(difference, |least| least.min(difference));
        self.least = Some(least);
        let nanos = u64::try_from(stated + least).unwrap_or_default();
        Uptime(Duration::from_nanos(nanos))
    }
}
