//! Refusals, as problem details (RFC 9457).

use std::time::Duration;

use bytes::Bytes;
use hyper::header::HeaderValue;
use hyper::{Response, header};
use rosemarypond_core::id;
use rosemarypond_core::outcome::{Outcome, Reason};
use rosemarypond_edge::reply::{self, Reply};
use serde::Serialize;

use super::held::REQUEST_ID;
use crate::answer::Answer;

/// A refusal as a caller reads it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Problem {
    /// The HTTP status.
    pub status: u16,
    /// What happened, in short.
    pub title: String,
    /// What is known about whether the request ran.
    pub outcome: &'static str,
    /// Why it was refused.
    pub reason: &'static str,
    /// The request.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request: Option<String>,
    /// When the caller may come back, in seconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after: Option<u64>,
}

impl Problem {
    /// A request that is wrong in itself, so that it was not run.
    pub fn bad(status: u16, title: impl Into<String>) -> Self {
        Self {
            status,
            title: title.into(),
            outcome: Outcome::NotRun.as_str(),
            reason: "bad-request",
            request: None,
            retry_after: None,
        }
    }

    /// The same problem with another outcome.
    pub fn with_outcome(self, outcome: &'static str) -> Self {
        Self { outcome, ..self }
    }

    /// A request that was given up on.
    pub fn refused(
        request: Option<id::Request>,
        outcome: Outcome,
        reason: Reason,
        retry_after: Duration,
    ) -> Self {
        let seconds = retry_after.as_millis().div_ceil(1_000).max(1) as u64;
        Self {
            status: status_of(reason),
            title: title_of(reason).to_owned(),
            outcome: outcome.as_str(),
            reason: reason.as_str(),
            request: request.map(|id| id.to_string()),
            retry_after: Some(seconds),
        }
    }

    /// The problem as JSON.
    pub fn json(&self) -> String {
        serde_json::to_string(self).expect("a problem is plain data")
    }

    /// The problem as the last event of a stream.
    pub fn event(&self) -> Bytes {
        format!("event: error\ndata: {}\n\n", self.json()).into()
    }

    /// The same problem with the request that it is of.
    pub fn with_request(self, request: id::Request) -> Self {
        Self { request: Some(request.to_string()), ..self }
    }
}

impl From<Problem> for Response<Reply> {
    fn from(problem: Problem) -> Self {
        let answer = Answer::new(problem.status, "application/problem+json", problem.json());
        let mut response = answer.into_response();
        let mut add = |name, value: &str| {
            if let Ok(value) = HeaderValue::from_str(value) {
                response.headers_mut().insert(name, value);
            }
        };
        if let Some(seconds) = problem.retry_after {
            add(header::RETRY_AFTER, &seconds.to_string());
        }
        if let Some(id) = &problem.request {
            add(REQUEST_ID, id);
        }
        reply::full(response)
    }
}

fn status_of(reason: Reason) -> u16 {
    match reason {
        Reason::KeyInUse | Reason::KeyClosed => 409,
        Reason::KeyReused => 422,
        Reason::UpstreamFailed => 502,
        Reason::Overload
        | Reason::Preempted
        | Reason::Deadline
        | Reason::Draining
        | Reason::NoUpstream
        | Reason::PlatformDown
        | Reason::CallerGone => 503,
    }
}

fn title_of(reason: Reason) -> &'static str {
    match reason {
        Reason::Overload => "There is more work than can be done in time.",
        Reason::Preempted => "Work of a higher tier needed the room.",
        Reason::Deadline => "The answer could not have been ready in time.",
        Reason::Draining => "This instance takes no new requests.",
        Reason::NoUpstream => "No upstream can run the request now.",
        Reason::UpstreamFailed => "The upstream broke off.",
        Reason::KeyInUse => "A request with this key was sent already and has no known end.",
        Reason::KeyClosed => "A request with this key was refused for good; use a new key.",
        Reason::KeyReused => "This key was used for another request.",
        Reason::PlatformDown => "The records of keys cannot be reached.",
        Reason::CallerGone => "The caller left.",
    }
}
