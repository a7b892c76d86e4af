//! A request as the scheduler sees it, from its arrival to its answer.

use std::time::{Duration, Instant};

use crate::id;
use crate::unit::Tokens;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Repeat {
    /// It may run any number of times.
    Idempotent,
    /// It is an event stream that goes on behind the last event received.
    Resumable,
    /// It may run once.
    Once,
}

impl Repeat {
    /// Whether a second run may follow one that broke.
    ///
    /// ```
    /// use rosemarypond_core::entry::call::Repeat;
    /// assert!(Repeat::Resumable.may_run_again());
    /// assert!(!Repeat::Once.may_run_again());
    /// ```
    pub fn may_run_again(self) -> bool {
        self != Repeat::Once
    }
}

/// What the scheduler needs to know of a request.
#[derive(Clone, Debug)]
pub struct Call {
    /// Its identifier within this instance.
    pub id: id::Request,
    /// The team that sent it, where it carried a credential.
    pub team: Option<id::Team>,
    /// The service that it asks for.
    pub service: id::Service,
    /// The rank of its tier; 0 is the highest.
    pub rank: u8,
    /// The rank of its route within the tier; 0 is the most urgent.
    pub urgency: u8,
    /// Whether it may run again.
    pub repeat: Repeat,
    /// The most upstreams that it may be sent to.
    pub max_attempts: u32,
    /// When it arrived.
    pub arrived: Instant,
    /// When its first byte or event is due for full worth.
    pub latency_target: Instant,
    /// When its caller leaves if nothing has come by then.
    pub first_byte_deadline: Instant,
    /// When its caller, or the route, gives up.
    pub deadline: Instant,
    /// The length of its prompt.
    pub prompt: Tokens,
    /// The expected length of its answer.
    pub answer: Tokens,
    /// What it counts against its team's quota.
    pub cost: Tokens,
}

impl Call {
    /// The time until its deadline.
    pub fn time_left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }
}

/// How one try at an upstream ended without a whole answer, or with one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ended {
    /// The whole answer came.
    Whole {
        /// The length of the answer.
        tokens: Tokens,
    },
    /// Not a byte of the request left this instance.
    NotSent,
    /// The upstream said that it did not run the request.
    NotRun {
        /// Whether another upstream holds the address now.
        misdirected: bool,
    },
    /// The upstream ran the request and answered with a failure of its own.
    Failed,
    /// The answer broke off or was not one; the request may have run.
    Broken,
    /// The answer broke off after a part of it was passed on that no other
    /// upstream can go on with; the request is over.
    Cut,
    /// The caller left.
    Abandoned,
}

/// Why a request gets no (further) try.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// More work waits than can be served in time.
    Overload,
    /// Its time ran out while it waited.
    Deadline,
    /// No upstream of its service is known or reachable.
    NoUpstream,
    /// Its attempts or the shared budget of repeats are used up.
    NoAttempts,
    /// Its team is beyond its quota.
    Quota,
    /// The configuration is not known to be current.
    Stale,
    /// There is no configuration yet.
    NoPlan,
    /// The instance holds as much as it can.
    Memory,
}

impl Reason {
    /// The machine-readable word for logs and metrics.
    ///
    /// ```
    /// use rosemarypond_core::entry::call::Reason;
    /// assert_eq!(Reason::NoPlan.as_str(), "no-plan");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            Reason::Overload => "overload",
            Reason::Deadline => "deadline",
            Reason::NoUpstream => "no-upstream",
            Reason::NoAttempts => "no-attempts",
            Reason::Quota => "quota",
            Reason::Stale => "stale-plan",
            Reason::NoPlan => "no-plan",
            Reason::Memory => "memory",
        }
    }
}
