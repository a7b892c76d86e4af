//! What a caller is told about a request that got no whole answer.

use std::fmt;
use std::time::Duration;

/// What is known about whether a refused request ran.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Outcome {
    /// It did not run, and it never will under this try or key.
    NotRun,
    /// It may or may not have run.
    Unknown,
    /// Part of it ran; the rest was cut off.
    RanInPart,
}

impl Outcome {
    /// The machine-readable word for callers.
    ///
    /// ```
    /// use rosemarypond_core::outcome::Outcome;
    /// assert_eq!(Outcome::NotRun.as_str(), "not-run");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
            Outcome::RanInPart => "ran-in-part",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Reason {
    /// The queue was full and nothing of a lower tier could make room.
    Overload,
    /// It made room for a request of a higher tier.
    Preempted,
    /// It could not finish before its deadline.
    Deadline,
    /// The instance is shutting down.
    Draining,
    /// No upstream is able to run it.
    NoUpstream,
    /// The upstream failed or fell silent while it ran.
    UpstreamFailed,
    /// Another try with the same key runs or was cut off.
    KeyInUse,
    /// The key was closed by an earlier refusal.
    KeyClosed,
    /// The key was used with another body.
    KeyReused,
    /// The platform's table service gave no answer.
    PlatformDown,
    /// The caller left.
    CallerGone,
}

impl Reason {
    /// The machine-readable word for callers and metrics.
    ///
    /// ```
    /// use rosemarypond_core::outcome::Reason;
    /// assert_eq!(Reason::KeyInUse.as_str(), "key-in-use");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            Reason::Overload => "overload",
            Reason::Preempted => "preempted",
            Reason::Deadline => "deadline",
            Reason::Draining => "draining",
            Reason::NoUpstream => "no-upstream",
            Reason::UpstreamFailed => "upstream-failed",
            Reason::KeyInUse => "key-in-use",
            Reason::KeyClosed => "key-closed",
            Reason::KeyReused => "key-reused",
            Reason::PlatformDown => "platform-down",
            Reason::CallerGone => "caller-gone",
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

/// The final answer to a request that was given up on.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Refusal {
    /// What is known about whether it ran.
    pub outcome: Outcome,
    /// Why it was refused.
    pub reason: Reason,
    /// When the caller may come back.
    pub retry_after: Duration,
}
