//! The outcome and the reason that a caller gets with a refusal.

use std::fmt;
use std::time::Duration;

/// What is known about whether a refused request ran.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Outcome {
    /// It did not run and never will, neither as this request nor under its key.
    NotRun,
    /// It may or may not have run.
    Unknown,
    /// Part of it ran; the rest was cut off.
    RanInPart,
}

impl Outcome {
    /// The machine-readable name that callers get.
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
    /// The instance held too many requests; or the queue was full or the expected
    /// wait too long, and no request of a lower tier could make room.
    Overload,
    /// It made room for a request of a higher tier.
    Preempted,
    /// It could not finish before its deadline.
    Deadline,
    /// The instance is draining and accepts no new requests.
    Draining,
    /// No upstream is able to run it.
    NoUpstream,
    /// The upstream failed or stopped responding while it ran.
    UpstreamFailed,
    /// Another request with the same key is running or was interrupted.
    KeyInUse,
    /// The key was closed by an earlier refusal.
    KeyClosed,
    /// The key was used with another method, path or body.
    KeyReused,
    /// The platform's table service did not respond, or the instance has no
    /// configuration yet.
    PlatformDown,
    /// The caller disconnected.
    CallerGone,
}

impl Reason {
    /// The machine-readable name that callers and metrics get.
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

/// A final answer without a result.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Refusal {
    /// What is known about whether it ran.
    pub outcome: Outcome,
    /// Why it was refused.
    pub reason: Reason,
    /// How long the caller should wait before it retries.
    pub retry_after: Duration,
}
