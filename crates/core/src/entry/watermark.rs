//! The newest versions that are known of the shared store, and the store time
//! up to which they are known to be the newest.
//!
//! Where many instances serve, only a few of each availability zone poll the
//! store; the others receive the watermark from them by gossip, with the
//! store's own time of its response. Content always comes from the store: an
//! instance that receives a newer version reads it there.

use std::time::Duration;

use crate::config::Version;

/// How many instances of an availability zone poll the store; more than one,
/// so that the loss of one delays nothing.
pub const POLLERS_PER_ZONE: usize = 2;

/// The newest known versions, each with the time on the store's clock at which
/// it was the newest.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Watermark {
    /// The version of the plan.
    pub plan: Version,
    /// When that was the newest version.
    pub plan_at: Duration,
    /// The store's version at the last change of the directory of upstreams.
    pub directory: u64,
    /// When that was the last change.
    pub directory_at: Duration,
}

impl Watermark {
    /// Merges what is newer in `other`; returns whether anything changed.
    ///
    /// ```
    /// use std::time::Duration;
    /// use rosemarypond_core::config::Version;
    /// use rosemarypond_core::entry::watermark::Watermark;
    /// let at = |s| Duration::from_secs(s);
    /// let mut known = Watermark { plan: Version(2), plan_at: at(5), ..Watermark::default() };
    /// // An older plan is ignored, whatever its time.
    /// let old = Watermark { plan: Version(1), plan_at: at(9), ..Watermark::default() };
    /// assert!(!known.merge(&old));
    /// let new = Watermark { plan: Version(2), plan_at: at(6), ..Watermark::default() };
    /// assert!(known.merge(&new));
    /// assert_eq!(known.plan_at, at(6));
    /// ```
    pub fn merge(&mut self, other: &Watermark) -> bool {
        let before = *self;
        (self.plan, self.plan_at) = (self.plan, self.plan_at).max((other.plan, other.plan_at));
        (self.directory, self.directory_at) =
            (self.directory, self.directory_at).max((other.directory, other.directory_at));
        *self != before
    }

    /// Whether a version is newer than in `other`; the times are not compared.
    pub fn has_changed_since(&self, other: &Watermark) -> bool {
        self.plan > other.plan || self.directory > other.directory
    }
}
