//! A request as the scheduler sees it, from its arrival to its final answer.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::id;
use crate::unit::Tokens;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Repeat {
    /// It may run any number of times.
    Idempotent,
    /// It is an event stream that can be resumed after the last event received.
    Resumable,
    /// It may run at most once.
    Once,
}

impl Repeat {
    /// Whether the request may run again after an attempt that broke off.
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

/// Which upstreams may answer a request, by what its caller has already received.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Origin {
    /// Any: the caller has received nothing.
    Fresh,
    /// Those of the software version that began the stream.
    Release(id::Release),
    /// None: it is not known which version began the stream.
    Unknown,
}

impl Origin {
    /// Whether an upstream of a version may answer the request.
    ///
    /// ```
    /// use rosemarypond_core::entry::call::Origin;
    /// let v1: rosemarypond_core::id::Release = "v1".parse()?;
    /// assert!(Origin::Fresh.allows(None));
    /// assert!(Origin::Release(v1.clone()).allows(Some(&v1)));
    /// assert!(!Origin::Release(v1.clone()).allows(None));
    /// assert!(!Origin::Unknown.allows(Some(&v1)));
    /// # Ok::<(), rosemarypond_core::id::Error>(())
    /// ```
    pub fn allows(&self, release: Option<&id::Release>) -> bool {
        match self {
            Origin::Fresh => true,
            Origin::Release(origin) => release == Some(origin),
            Origin::Unknown => false,
        }
    }
}

/// A peer that cannot reach a request's upstreams delegated the request: the peer counts
/// it against quotas and retries, and this instance makes one attempt.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Delegation {
    /// Upstreams on which an attempt failed.
    pub excluded: Vec<id::Upstream>,
}

/// What the scheduler needs to know about a request.
#[derive(Clone, Debug)]
pub struct Call {
    /// Its identifier within this instance.
    pub id: id::Request,
    /// How a peer delegated it, if one did.
    pub delegation: Option<Delegation>,
    /// The team that sent it, where it carried a credential.
    pub team: Option<id::Team>,
    /// The service that it asks for.
    pub service: id::Service,
    /// The route by which it came.
    pub route: id::Route,
    /// The rank of its tier; 0 is the highest.
    pub rank: u8,
    /// The rank of its route within the tier; 0 is the most urgent.
    pub urgency: u8,
    /// Whether it may run again.
    pub repeat: Repeat,
    /// The most attempts; those that sent nothing do not count.
    pub max_attempts: u32,
    /// When it arrived.
    pub arrived: Instant,
    /// The time by which its first byte or event earns full credit.
    pub latency_target: Instant,
    /// When its caller leaves if no byte or event has come by then.
    pub first_byte_deadline: Instant,
    /// When the timeout of its caller or its route ends.
    pub deadline: Instant,
    /// The length of its prompt.
    pub prompt: Tokens,
    /// The expected length of its answer.
    pub answer: Tokens,
    /// The tokens that it counts against its team's quota.
    pub cost: Tokens,
    /// The stream that it begins or resumes, if that can be resumed.
    pub stream: Option<id::Stream>,
    /// Which upstreams may answer it.
    pub origin: Origin,
    /// The same for a request that comes again.
    pub fingerprint: id::Fingerprint,
    /// The parts of its prompt that other requests may share.
    pub shared_parts: Arc<[id::Part]>,
}

impl Call {
    /// Whether a peer delegated it.
    pub fn is_delegated(&self) -> bool {
        self.delegation.is_some()
    }

    /// The time left until its deadline.
    pub fn time_left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ended {
    /// The complete answer came.
    Whole {
        /// The length of the answer.
        tokens: Tokens,
    },
    /// No byte of the request was sent.
    NotSent,
    /// The upstream answered that it did not run the request.
    NotRun {
        /// Whether the address belongs to another upstream by now.
        misdirected: bool,
    },
    /// The peer to which the request was delegated sent it to no upstream.
    Declined {
        /// Whether the peer could not be reached.
        is_unreached: bool,
    },
    /// The upstream ran the request and answered with an error.
    Failed,
    /// The answer broke off or was not valid; the request may have run.
    Broken,
    /// The answer broke off after part of it was passed on, and no other
    /// upstream can continue it; the request has ended.
    Cut,
    /// The deadline passed although the upstream had more time than it should have
    /// needed; the request has ended.
    TimedOut,
    /// The caller left or the deadline passed; the request has ended.
    Abandoned,
}

/// Why a request gets no attempt, or no further one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// Its time ran out while it waited.
    Deadline,
    /// No upstream of its service is known or reachable.
    NoUpstream,
    /// Its attempts or the shared retry budget are used up.
    NoAttempts,
    /// Its team has used up its quota.
    Quota,
    /// The configuration is not known to be current.
    Stale,
    /// There is no configuration yet.
    NoPlan,
    /// The instance's memory for requests is used up.
    Memory,
    /// It, or a part of its prompt, crashes upstreams.
    Quarantined,
    /// Its instance is about to end.
    Stopping,
    /// It resumes a stream, and nobody knows which software version began it.
    UnknownStream,
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
            Reason::Deadline => "deadline",
            Reason::NoUpstream => "no-upstream",
            Reason::NoAttempts => "no-attempts",
            Reason::Quota => "quota",
            Reason::Stale => "stale-plan",
            Reason::NoPlan => "no-plan",
            Reason::Memory => "memory",
            Reason::Quarantined => "quarantined",
            Reason::Stopping => "stopping",
            Reason::UnknownStream => "unknown-stream",
        }
    }
}
