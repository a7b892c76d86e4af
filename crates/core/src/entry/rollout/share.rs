//! Which of a service's requests may go to the new version.
//!
//! Load pattern: instances get unequal parts of the traffic, and cannot ask each other
//! before each request. Each applies the limit to its own requests: what all send to the
//! new version then stays below the same share of all requests.

use super::Step;
use crate::id;

/// The part of the limit that the canary uses.
const CANARY_PART: f64 = 0.6;
/// The part of the slack that instances use; the rest is for what is sent by instances that
/// do not know the order yet.
const SLACK_PART: f64 = 0.5;

/// The limits that a rollout has to keep.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Exposure {
    /// The part of a service's requests that a bad version may get.
    pub share: f64,
    /// The requests that it may get besides, over all instances.
    pub slack: f64,
    /// The time after which a bad version gets nothing more; proof stops it at once.
    pub rollback: std::time::Duration,
}

/// The versions that may get a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Admitted {
    /// All.
    Any,
    /// One.
    Only(id::Release),
    /// All but one.
    Except(id::Release),
}

impl Admitted {
    /// Whether an upstream of a version may get the request.
    ///
    /// ```
    /// use rosemarypond_core::entry::rollout::share::Admitted;
    /// let v2: rosemarypond_core::id::Release = "v2".parse()?;
    /// assert!(Admitted::Only(v2.clone()).allows(Some(&v2)));
    /// assert!(!Admitted::Except(v2.clone()).allows(Some(&v2)));
    /// assert!(Admitted::Except(v2).allows(None));
    /// # Ok::<(), rosemarypond_core::id::Error>(())
    /// ```
    pub fn allows(&self, release: Option<&id::Release>) -> bool {
        match self {
            Admitted::Any => true,
            Admitted::Only(only) => release == Some(only),
            Admitted::Except(except) => release != Some(except),
        }
    }
}

/// The share of the requests that a step lets go to the new version.
pub fn of_step(step: Step, exposure: &Exposure) -> f64 {
    let canary = exposure.share * CANARY_PART;
    match step {
        Step::Canary => canary,
        Step::Quarter => canary.max(0.25),
        Step::Half => canary.max(0.5),
        Step::All | Step::Closing | Step::Succeeded => 1.0,
        Step::RolledBack => 0.0,
    }
}

/// Whether an instance that has sent `exposed` of its `requests` to the new version may
/// send one more, before the version has passed all checks.
///
/// ```
/// use std::time::Duration;
/// use rosemarypond_core::entry::rollout::share::{Exposure, has_room};
/// let rollback = Duration::from_secs(5);
/// let exposure = Exposure { share: 0.1, slack: 50.0, rollback };
/// assert!(has_room(&exposure, 5, 0, 4));
/// assert!(!has_room(&exposure, 5, 0, 5));
/// assert!(!has_room(&exposure, 100, 9, 0));
/// assert!(has_room(&exposure, 100, 10, 0));
/// ```
pub fn has_room(exposure: &Exposure, instances: usize, requests: u64, exposed: u64) -> bool {
    let slack = (exposure.slack * SLACK_PART / instances.max(1) as f64).floor();
    (exposed + 1) as f64 <= exposure.share * requests as f64 + slack
}
