//! Refusals as problem details (RFC 9457).

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

/// A refusal in the form that callers receive.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Problem {
    /// The HTTP status.
    pub status: u16,
    /// What happened, in one sentence.
    pub title: String,
    /// Whether the request ran, as far as the instance knows.
    pub outcome: &'static str,
    /// Why it was refused.
    pub reason: &'static str,
    /// The request's id.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request: Option<String>,
    /// How long the caller should wait before it retries, in seconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after: Option<u64>,
}

impl Problem {
    /// A request that is invalid in itself and was not run.
    pub fn bad_request(status: u16, title: impl Into<String>) -> Self {
        Self {
            status,
            title: title.into(),
            outcome: Outcome::NotRun.as_str(),
            reason: "bad-request",
            request: None,
            retry_after: None,
        }
    }

    /// Replaces the outcome.
    pub fn with_outcome(self, outcome: &'static str) -> Self {
        Self { outcome, ..self }
    }

    /// A valid request that the scheduler or its upstream refused.
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

    /// Returns the problem as JSON.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("a problem always serializes")
    }

    /// Returns the problem as the last event of a stream.
    pub fn to_event(&self) -> Bytes {
        format!("event: error\ndata: {}\n\n", self.to_json()).into()
    }

    /// Sets the request's id.
    pub fn with_request(self, request: id::Request) -> Self {
        Self { request: Some(request.to_string()), ..self }
    }
}

impl From<Problem> for Response<Reply> {
    fn from(problem: Problem) -> Self {
        let answer = Answer::new(problem.status, "application/problem+json", problem.to_json());
        let mut response = answer.into_response();
        let mut insert = |name, value: &str| {
            if let Ok(value) = HeaderValue::from_str(value) {
                response.headers_mut().insert(name, value);
            }
        };
        if let Some(seconds) = problem.retry_after {
            insert(header::RETRY_AFTER, &seconds.to_string());
        }
        if let Some(id) = &problem.request {
            insert(REQUEST_ID, id);
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
