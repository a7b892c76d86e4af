//! How one interface words requests, answers and refusals.

use std::time::Duration;

use bytes::Bytes;
use hyper::{Response, http};
use rosemarypond_core::entry::call::Reason;
use rosemarypond_core::entry::upstream::Registration;
use rosemarypond_core::unit::Tokens;

/// What the head of a request says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Head {
    /// The caller's identifier of the request.
    pub request: String,
    /// The host that it is for.
    pub host: String,
    /// The credential that it carries.
    pub credential: Option<String>,
    /// How long its caller waits.
    pub caller_timeout: Option<Duration>,
    /// The length of its prompt.
    pub prompt: Tokens,
    /// The expected length of its answer.
    pub answer: Tokens,
    /// What it counts against a quota, where it says so.
    pub cost: Option<Tokens>,
    /// The event behind which a resumed stream goes on.
    pub resume_after: Option<String>,
}

/// What a request to an upstream is made of, beside the caller's own head.
#[derive(Clone, Copy, Debug)]
pub struct Forward<'a> {
    /// The upstream.
    pub upstream: &'a Registration,
    /// The team, where the request carried a credential of one.
    pub team: Option<&'a str>,
    /// The time that is left for the answer.
    pub time_left: Duration,
    /// The event behind which a stream goes on, where this is not the first try.
    pub resume_after: Option<&'a str>,
    /// The length of the body, in bytes; none without a body.
    pub body_bytes: Option<usize>,
}

/// What the head of an upstream's answer means.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Meaning {
    /// A success, if the whole body follows.
    Success,
    /// A failure of the upstream's own, after it ran the request.
    Failure,
    /// The upstream did not run the request.
    NotRun {
        /// Whether another upstream holds the address now.
        misdirected: bool,
    },
    /// No answer to this request.
    Invalid,
}

/// Why a request is turned down by the instance itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Refusal {
    /// It did not run and never will; the caller may come back.
    NotRun {
        /// Why.
        reason: Reason,
        /// When the caller may come back.
        retry_after: Duration,
    },
    /// It may have run, and its answer was lost.
    Lost,
    /// Its time ran out at the upstream.
    TimedOut,
    /// No route covers it.
    NoRoute,
    /// It carries no valid credential.
    NoTeam,
    /// Its head makes no sense.
    Malformed,
    /// Its body is too long.
    BodyTooLong,
    /// Its body took too long to come; it did not run.
    BodyTimeout,
}

/// One interface's wording.
#[derive(Clone, Debug)]
pub struct Dialect {
    /// Reads the head of a request.
    pub read_head: fn(&http::request::Parts) -> Result<Head, Refusal>,
    /// Writes the head of a request to an upstream.
    pub write_request_head: fn(&http::request::Parts, &Forward<'_>) -> http::request::Parts,
    /// Says what the head of an answer to the request means.
    pub classify: fn(&http::response::Parts, request: &str) -> Meaning,
    /// Writes the head of an answer that is passed on.
    pub write_response_head: fn(&http::response::Parts) -> http::response::Parts,
    /// Words a refusal.
    pub refuse: fn(&Refusal) -> Response<Bytes>,
}
