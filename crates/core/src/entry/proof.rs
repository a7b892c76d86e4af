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
/// An answer is made after it was asked for and before it arrives: each answer
/// bounds the difference of the two clocks from both sides.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Offset {
    least: Option<i128>,
    most: Option<i128>,
}

impl Offset {
    /// Takes into account an answer that states `stated`.
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
    /// // Held up on the way for 900 ms.
    /// offset.update(ms(200), up(5_101), up(6_002));
    /// assert_eq!(offset.earliest(ms(200)), Some(up(5_101)));
    /// assert_eq!(offset.latest(ms(200)), Some(up(5_108)));
    /// ```
    pub fn update(&mut self, stated: Duration, asked: Uptime, arrived: Uptime) {
        let stated = stated.as_nanos() as i128;
        let (least, most) =
            (asked.0.as_nanos() as i128 - stated, arrived.0.as_nanos() as i128 - stated);
        self.least = Some(self.least.map_or(least, |known| known.max(least)));
        self.most = Some(self.most.map_or(most, |known| known.min(most)));
    }

    /// The earliest that a time of the other clock can be on this machine's;
    /// none before the first answer.
    pub fn earliest(&self, stated: Duration) -> Option<Uptime> {
        self.least.map(|least| turn(stated, least))
    }

    /// The latest that a time of the other clock can be on this machine's;
    /// none before the first answer.
    pub fn latest(&self, stated: Duration) -> Option<Uptime> {
        self.most.map(|most| turn(stated, most))
    }
}

fn turn(stated: Duration, difference: i128) -> Uptime {
    let nanos = u64::try_from(stated.as_nanos() as i128 + difference).unwrap_or_default();
    Uptime(Duration::from_nanos(nanos))
}
