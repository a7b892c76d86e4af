//! How many repeats all instances together may send to a service.
//!
//! Each instance keeps to an equal part of the fixed allowance and to the
//! ratio of its own requests, so that no exchange is needed.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use crate::id;

/// The part of the allowance that is used; the rest covers requests that
/// cross the edges of the window.
const USED_PART: f64 = 0.7;

/// The users' bound on repeats.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats beyond the ratio, over all instances.
    pub fixed: f64,
    /// The window in which repeats and requests are counted.
    pub window: Duration,
}

#[derive(Debug, Default)]
struct Counts {
    requests: VecDeque<Instant>,
    repeats: VecDeque<Instant>,
}

/// The repeats of one instance.
#[derive(Debug)]
pub struct Budget {
    allowance: Allowance,
    services: HashMap<id::Service, Counts>,
}

fn forget(times: &mut VecDeque<Instant>, now: Instant, window: Duration) {
    while times.front().is_some_and(|at| now.saturating_duration_since(*at) > window) {
        times.pop_front();
    }
}

impl Budget {
    /// A budget in which nothing was used yet.
    pub fn new(allowance: Allowance) -> Self {
        Self { allowance, services: HashMap::new() }
    }

    /// Notes a request of a caller.
    pub fn requested(&mut self, service: &id::Service, now: Instant) {
        let counts = self.services.entry(service.clone()).or_default();
        counts.requests.push_back(now);
        forget(&mut counts.requests, now, self.allowance.window);
    }

    /// Takes one repeat from the budget, if it has one.
    pub fn take(&mut self, service: &id::Service, now: Instant, instances: usize) -> bool {
        let is_free = self.has(service, now, instances);
        if is_free {
            self.services.entry(service.clone()).or_default().repeats.push_back(now);
        }
        is_free
    }

    /// Whether the budget has a repeat.
    pub fn has(&mut self, service: &id::Service, now: Instant, instances: usize) -> bool {
        let counts = self.services.entry(service.clone()).or_default();
        forget(&mut counts.requests, now, self.allowance.window);
        forget(&mut counts.repeats, now, self.allowance.window);
        let fixed = self.allowance.fixed / instances.max(1) as f64;
        let most = (self.allowance.ratio * counts.requests.len() as f64 + fixed) * USED_PART;
        ((counts.repeats.len() + 1) as f64) <= most
    }
}
