//! How one HTTP interface reads and writes requests, responses and refusals.

use std::time::Duration;

use bytes::Bytes;
use hyper::{Response, http};
use rosemarypond_core::entry::call::Reason;
use rosemarypond_core::entry::upstream::Registration;
use rosemarypond_core::id;
use rosemarypond_core::unit::{RequestRate, Tokens};

/// What is read from the head of a caller's request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Head {
    /// The caller's identifier of the request.
    pub request: String,
    /// The host that it addresses.
    pub host: String,
    /// The credential that it carries.
    pub credential: Option<String>,
    /// How long its caller waits for the answer.
    pub caller_timeout: Option<Duration>,
    /// The length of its prompt.
    pub prompt: Tokens,
    /// The expected length of its answer.
    pub answer: Tokens,
    /// What it counts against its team's quota, where its head states that.
    pub cost: Option<Tokens>,
    /// The parts of its prompt that other requests may share.
    pub shared_parts: Vec<id::Part>,
    /// The id of the event after which a resumed stream continues.
    pub resume_after: Option<String>,
    /// The identifier of the request that began the stream that is resumed.
    pub resumes: Option<String>,
}

/// What the head of a request to an upstream is built from, besides the caller's
/// own head.
#[derive(Clone, Copy, Debug)]
pub struct Forward<'a> {
    /// The upstream.
    pub upstream: &'a Registration,
    /// The team, where the request carried a credential of one.
    pub team: Option<&'a str>,
    /// The time left until the deadline of the request.
    pub time_left: Duration,
    /// The id of the event after which the stream continues; `None` on the first
    /// attempt.
    pub resume_after: Option<&'a str>,
    /// The length of the body, in bytes; `None` without a body.
    pub body_bytes: Option<usize>,
}

/// What the head of a request to another instance states otherwise than the caller's
/// own head.
#[derive(Clone, Copy, Debug)]
pub struct Rest<'a> {
    /// The time left until the deadline of the request.
    pub time_left: Duration,
    /// The id of the event after which the stream continues; as the caller stated it
    /// where this is `None`.
    pub resume_after: Option<&'a str>,
    /// The length of the body, in bytes; `None` without a body.
    pub body_bytes: Option<usize>,
}

/// What the head of an upstream's response means.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Meaning {
    /// The request succeeded, provided that the whole body follows.
    Success,
    /// The upstream ran the request and failed.
    Failure,
    /// The upstream did not run the request.
    NotRun {
        /// Whether the address belongs to another upstream now.
        misdirected: bool,
    },
    /// Not a valid response to this request, which may have run.
    Invalid,
}

/// What an upstream's response says about the upstream itself.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Notice {
    /// Whether it is leaving and takes no new work.
    pub is_leaving: bool,
    /// How long it wants no further request.
    pub pause: Option<Pause>,
    /// The limit that it names.
    pub limit: Option<Limit>,
    /// The rejections per second beyond which it crashes.
    pub rejection_limit: Option<RejectionLimit>,
}

/// The rejections per second beyond which an upstream crashes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RejectionLimit {
    /// So many.
    PerSecond(u32),
    /// The response states a number that is not valid.
    Invalid,
}

/// The requests per second that an upstream takes from all instances together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Limit {
    /// At this rate.
    PerSecond(RequestRate),
    /// The response states a rate that is not valid.
    Invalid,
}

/// How long an upstream wants no further request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Pause {
    /// For this time.
    For(Duration),
    /// The response states a time that is not valid.
    Invalid,
}

/// Why the instance itself refuses a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Refusal {
    /// It did not run and will not; the caller may retry it.
    NotRun {
        /// Why.
        reason: Reason,
        /// How long the caller is asked to wait before the retry.
        retry_after: Duration,
    },
    /// It may have run, but its answer was lost.
    Lost,
    /// Its deadline passed after it was sent to an upstream; it may have run.
    TimedOut,
    /// No route matches it.
    NoRoute,
    /// It carries no valid credential.
    NoTeam,
    /// Its head is malformed.
    Malformed,
    /// Its body exceeds the limit.
    BodyTooLong,
    /// Its body did not arrive in time; it did not run.
    BodyTimeout,
}

impl Refusal {
    /// The machine-readable word for logs and metrics.
    ///
    /// ```
    /// use rosemarypond_edge::dialect::Refusal;
    /// assert_eq!(Refusal::BodyTooLong.as_str(), "body-too-long");
    /// ```
    pub fn as_str(&self) -> &'static str {
        match self {
            Refusal::NotRun { reason, .. } => reason.as_str(),
            Refusal::Lost => "lost",
            Refusal::TimedOut => "timed-out",
            Refusal::NoRoute => "no-route",
            Refusal::NoTeam => "no-team",
            Refusal::Malformed => "malformed",
            Refusal::BodyTooLong => "body-too-long",
            Refusal::BodyTimeout => "body-timeout",
        }
    }
}

/// The functions that define one HTTP interface.
#[derive(Clone, Debug)]
pub struct Dialect {
    /// Reads the head of a caller's request.
    pub read_head: fn(&http::request::Parts) -> Result<Head, Refusal>,
    /// Writes the head of a request to an upstream.
    pub write_request_head: fn(&http::request::Parts, &Forward<'_>) -> http::request::Parts,
    /// Writes the head of a request to another instance, which is to read it like that
    /// of a caller.
    pub write_peer_head: fn(&http::request::Parts, &Rest<'_>) -> http::request::Parts,
    /// Classifies the head of an upstream's response to the caller's `request`.
    pub classify: fn(&http::response::Parts, request: &str) -> Meaning,
    /// Whether the head of an upstream's response names the caller's `request`. A copy of
    /// one that names none cannot be told from the next response on its connection.
    pub names_request: fn(&http::response::Parts, request: &str) -> bool,
    /// Reads what the head of an upstream's response says about the upstream.
    pub read_notice: fn(&http::response::Parts) -> Notice,
    /// Writes the head of the response to the caller from that of an upstream's
    /// response.
    pub write_response_head: fn(&http::response::Parts) -> http::response::Parts,
    /// Writes the response for a refusal.
    pub refuse: fn(&Refusal) -> Response<Bytes>,
}
