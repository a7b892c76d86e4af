//! What instances tell each other, in HTTP headers, of a request that one of them
//! carries out for another.

use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use prost::Message;
use rosemarypond_core::config::Version;
use rosemarypond_core::entry::call::{Call, Delegation, Origin};
use rosemarypond_core::entry::upstream::Registration;
use rosemarypond_core::id;
use rosemarypond_wire::delegation as wire;

use crate::dialect::Refusal;

const ORDER: HeaderName = HeaderName::from_static("rosemarypond-order");
const REPORT: HeaderName = HeaderName::from_static("rosemarypond-report");

/// What goes with a delegated request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// The time since the request arrived.
    pub age: Duration,
    /// Which upstreams may answer it.
    pub origin: Origin,
    /// The stream that it begins or resumes.
    pub stream: Option<id::Stream>,
    /// Upstreams on which an attempt failed.
    pub excluded: Vec<id::Upstream>,
    /// The version of the plan by which the sender admitted it; who has an older one must
    /// not carry it out.
    pub plan: Version,
}

/// How a delegated request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The answer is the upstream's.
    Answered,
    /// The request did not run.
    NotRun,
    /// The request was sent, and its answer was lost.
    Lost,
    /// The request was sent, and no answer came in time.
    TimedOut,
}

/// What goes with the answer to a delegated request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Report {
    /// How the request ended.
    pub outcome: Outcome,
    /// The upstream that it was sent to, if it was sent, and the upstream's version.
    pub upstream: Option<(id::Upstream, Option<id::Release>)>,
}

impl Order {
    /// The order for a request of this instance.
    pub fn new(
        call: &Call,
        plan: Version,
        origin: Origin,
        excluded: Vec<id::Upstream>,
        age: Duration,
    ) -> Self {
        Self { age, origin, stream: call.stream, excluded, plan }
    }

    /// Adds the order to the headers of a request.
    pub fn write(&self, headers: &mut HeaderMap) {
        let release = match &self.origin {
            Origin::Release(release) => Some(release.to_string()),
            // Without a known version no request is delegated.
            Origin::Fresh | Origin::Unknown => None,
        };
        let order = wire::Order {
            age_us: self.age.as_micros() as u64,
            release,
            stream: self.stream.map(|stream| stream.0),
            excluded: self.excluded.iter().map(|upstream| upstream.to_string()).collect(),
            plan: self.plan.0,
        };
        headers.insert(ORDER, encode(&order));
    }

    /// Takes the order out of the headers of a request; returns `None` where it has
    /// none that is valid.
    pub fn take(headers: &mut HeaderMap) -> Option<Self> {
        let order: wire::Order = decode(&headers.remove(ORDER)?)?;
        let release = order.release.map(|release| release.parse()).transpose().ok()?;
        let excluded: Result<_, _> = order.excluded.iter().map(|id| id.parse()).collect();
        Some(Self {
            age: Duration::from_micros(order.age_us),
            origin: release.map_or(Origin::Fresh, Origin::Release),
            stream: order.stream.map(id::Stream),
            excluded: excluded.ok()?,
            plan: Version(order.plan),
        })
    }

    /// Changes the description of a request to that of one that a peer delegated.
    pub fn apply(&self, call: &mut Call, first_byte_timeout: Duration) {
        call.delegation = Some(Delegation { excluded: self.excluded.clone() });
        call.max_attempts = 1;
        call.stream = self.stream;
        call.origin = self.origin.clone();
        let earlier = |at: std::time::Instant| at.checked_sub(self.age).unwrap_or(at);
        call.first_byte_deadline = call.deadline.min(earlier(call.arrived + first_byte_timeout));
        call.latency_target = earlier(call.latency_target);
        call.arrived = earlier(call.arrived);
    }
}

impl Report {
    /// The report of a request that was sent to an upstream, or to none.
    pub fn new(outcome: Outcome, upstream: Option<&Registration>) -> Self {
        let upstream = upstream.map(|u| (u.id.clone(), u.release.clone()));
        Self { outcome, upstream }
    }

    /// Adds the report to the headers of an answer.
    pub fn write(&self, headers: &mut HeaderMap) {
        let outcome = match self.outcome {
            Outcome::Answered => wire::report::Outcome::Answered,
            Outcome::NotRun => wire::report::Outcome::NotRun,
            Outcome::Lost => wire::report::Outcome::Lost,
            Outcome::TimedOut => wire::report::Outcome::TimedOut,
        };
        let (upstream, release) = self.upstream.clone().unzip();
        let report = wire::Report {
            outcome: outcome.into(),
            upstream: upstream.map(Into::into),
            release: release.flatten().map(Into::into),
        };
        headers.insert(REPORT, encode(&report));
    }

    /// Takes the report out of the headers of an answer; returns `None` where it has
    /// none that is valid.
    pub fn take(headers: &mut HeaderMap) -> Option<Self> {
        let report: wire::Report = decode(&headers.remove(REPORT)?)?;
        let outcome = match wire::report::Outcome::try_from(report.outcome).ok()? {
            wire::report::Outcome::Answered => Outcome::Answered,
            wire::report::Outcome::NotRun => Outcome::NotRun,
            wire::report::Outcome::Lost => Outcome::Lost,
            wire::report::Outcome::TimedOut => Outcome::TimedOut,
        };
        let release = report.release.map(|release| release.parse()).transpose().ok()?;
        let upstream = report.upstream.map(|upstream| upstream.parse()).transpose().ok()?;
        Some(Self { outcome, upstream: upstream.map(|upstream| (upstream, release)) })
    }
}

impl From<&Refusal> for Outcome {
    fn from(refusal: &Refusal) -> Self {
        match refusal {
            Refusal::Lost => Outcome::Lost,
            Refusal::TimedOut => Outcome::TimedOut,
            _ => Outcome::NotRun,
        }
    }
}

fn encode(message: &impl Message) -> HeaderValue {
    let text = STANDARD_NO_PAD.encode(message.encode_to_vec());
    HeaderValue::from_str(&text).expect("base64 is valid in a header")
}

fn decode<M: Default + Message>(value: &HeaderValue) -> Option<M> {
    let bytes = STANDARD_NO_PAD.decode(value.as_bytes()).ok()?;
    M::decode(bytes.as_slice()).ok()
}
