//! The requests that wait for an upstream, and the order of their dispatch.
//!
//! Higher tiers go first, and within a tier the more urgent routes, so that a
//! burst of quick questions does not delay long work. Among equals, requests
//! that can still meet their latency target, by the least time that an upstream
//! needs, go before those that will be late, which lose nothing more by waiting.
//! The former are ordered by their latency target, the latter by their deadline.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use super::call::{Call, Origin};
use crate::id;

/// A request that waits.
#[derive(Clone, Debug)]
pub struct Waiting {
    /// The request.
    pub call: Call,
    /// Upstreams on which an attempt failed.
    pub excluded: Vec<id::Upstream>,
    /// The least time that an upstream was expected to need until its first byte or
    /// event when the request began to wait.
    pub least_first: Duration,
}

impl Waiting {
    /// Whether any upstream of its service may take it.
    pub fn is_unrestricted(&self) -> bool {
        self.excluded.is_empty() && self.call.origin == Origin::Fresh
    }

    /// Whether no upstream is expected to begin its answer within its latency target.
    pub fn is_late(&self, now: Instant) -> bool {
        self.call.latency_target <= now + self.least_first
    }

    /// What it is ordered by among equals.
    fn due(&self, now: Instant) -> Instant {
        if self.is_late(now) { self.call.deadline } else { self.call.latency_target }
    }
}

/// The requests that wait.
#[derive(Debug, Default)]
pub struct Backlog {
    waiting: BTreeMap<id::Request, Waiting>,
}

impl Backlog {
    /// Adds a request.
    pub fn push(&mut self, waiting: Waiting) {
        self.waiting.insert(waiting.call.id, waiting);
    }

    /// Removes a request.
    pub fn remove(&mut self, id: id::Request) -> Option<Waiting> {
        self.waiting.remove(&id)
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// How many wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// The requests, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Waiting> {
        self.waiting.values()
    }

    /// The requests in the order in which they are to be dispatched.
    pub fn dispatch_order(&self, now: Instant) -> Vec<id::Request> {
        let key = |w: &Waiting| {
            let Call { rank, urgency, id, .. } = w.call;
            (rank, urgency, w.is_late(now), w.due(now), id)
        };
        let mut ordered: Vec<_> = self.waiting.values().map(key).collect();
        ordered.sort_unstable();
        ordered.into_iter().map(|(.., id)| id).collect()
    }

    /// The services of which requests wait.
    pub fn services(&self) -> BTreeSet<id::Service> {
        self.waiting.values().map(|w| w.call.service.clone()).collect()
    }

    /// A waiting request.
    pub fn get(&self, id: id::Request) -> Option<&Waiting> {
        self.waiting.get(&id)
    }
}
