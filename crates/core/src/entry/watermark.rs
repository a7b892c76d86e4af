//! The newest versions that are known of the shared store, and the store time
//! up to which they are known to be the newest.
//!
//! Where many instances serve, only a few of each availability zone poll the
//! store; the others receive the watermark from them by gossip, with the
//! store's own time of its response. Content always comes from the store: an
//! instance that receives a newer version reads it there.
//!
//! The store may come back from an older copy, in a new [`Era`]. Its versions
//! then start again from the copy's, and its clock may be another one: times and
//! store versions count only within their era. The version of a plan is the
//! operator's and stays known across eras.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;
use std::time::Duration;

use crate::config::Version;

/// How many instances of an availability zone poll the store; more than one,
/// so that the loss of one delays nothing.
pub const POLLERS_PER_ZONE: usize = 2;

/// How often the store has come back from an older copy.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Era(pub u64);

impl fmt::Display for Era {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Era {
    type Err = ParseIntError;

    /// Parses the decimal number of an era.
    ///
    /// ```
    /// use rosemarypond_core::entry::watermark::Era;
    /// assert_eq!("3".parse(), Ok(Era(3)));
    /// assert!("-1".parse::<Era>().is_err());
    /// ```
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.trim().parse().map(Self)
    }
}

/// The newest known versions, each with the time on the store's clock at which
/// it was the newest.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Watermark {
    /// The store's era, to which the times and the directory's version belong.
    pub era: Era,
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
    /// use rosemarypond_core::entry::watermark::{Era, Watermark};
    /// let at = |s| Duration::from_secs(s);
    /// let mut known = Watermark { plan: Version(2), plan_at: at(5), ..Watermark::default() };
    /// // An older plan is ignored, whatever its time.
    /// let old = Watermark { plan: Version(1), plan_at: at(9), ..Watermark::default() };
    /// assert!(!known.merge(&old));
    /// let new = Watermark { plan: Version(2), plan_at: at(6), ..Watermark::default() };
    /// assert!(known.merge(&new));
    /// assert_eq!(known.plan_at, at(6));
    /// // A new era starts without proofs, but the newest plan stays known.
    /// let copy = Watermark { era: Era(1), plan: Version(1), plan_at: at(1), ..Watermark::default() };
    /// assert!(known.merge(&copy));
    /// assert_eq!((known.plan, known.plan_at), (Version(2), at(0)));
    /// ```
    pub fn merge(&mut self, other: &Watermark) -> bool {
        let before = *self;
        if other.era > self.era {
            *self = Watermark { era: other.era, plan: self.plan, ..Watermark::default() };
        }
        if other.era < self.era {
            // The plan exists, but nothing is known of when it was the newest.
            let plan_at = if other.plan > self.plan { Duration::ZERO } else { self.plan_at };
            (self.plan, self.plan_at) = (self.plan.max(other.plan), plan_at);
            return *self != before;
        }
        (self.plan, self.plan_at) = (self.plan, self.plan_at).max((other.plan, other.plan_at));
        (self.directory, self.directory_at) =
            (self.directory, self.directory_at).max((other.directory, other.directory_at));
        *self != before
    }

    /// Whether an era or a version is newer than in `other`; the times are not
    /// compared.
    pub fn has_changed_since(&self, other: &Watermark) -> bool {
        let has_new_directory = (self.era, self.directory) > (other.era, other.directory);
        self.plan > other.plan || has_new_directory
    }
}
