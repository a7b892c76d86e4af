//! What is known of the store that all instances share, and as of when.
//!
//! Where many instances serve, only a few of each availability zone ask the
//! store whether anything changed; the others hear it from them, with the
//! store's own time of the answer. Content always comes from the store: an
//! instance that hears of something newer reads it there.

use std::time::Duration;

use crate::config::Version;

/// How many instances of an availability zone ask the store, so that the loss
/// of one is not felt.
pub const POLLERS_PER_ZONE: usize = 2;

/// The newest that is known, each with the time on the store's clock at which
/// it was so.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Watermark {
    /// The plan in force.
    pub plan: Version,
    /// When it was the newest.
    pub plan_at: Duration,
    /// The store's version at the last change of the directory of upstreams.
    pub directory: u64,
    /// When that was the last change.
    pub directory_at: Duration,
}

impl Watermark {
    /// Takes over what is newer; gives whether anything is.
    ///
    /// ```
    /// use std::time::Duration;
    /// use rosemarypond_core::config::Version;
    /// use rosemarypond_core::entry::watermark::Watermark;
    /// let at = |s| Duration::from_secs(s);
    /// let mut known = Watermark { plan: Version(2), plan_at: at(5), ..Watermark::default() };
    /// // A later time of an older plan says nothing.
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

    /// Whether something is newer than `other` knows, beside the times.
    pub fn has_changed_since(&self, other: &Watermark) -> bool {
        self.plan > other.plan || self.directory > other.directory
    }
}
