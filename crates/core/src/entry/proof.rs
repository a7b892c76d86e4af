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
