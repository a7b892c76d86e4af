//! The retry budget: how many retries all instances together may send to a
//! service.
//!
//! Each instance uses an equal part of the fixed allowance, and the ratio of
//! its own requests, so that instances need not exchange their counts.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use crate::id;

/// The fraction of the allowance that is used; the rest covers requests that
/// cross a boundary of the window.
const USED_FRACTION: f64 = 0.7;

/// The limit on the retries to a service, over all instances.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Retries per request.
    pub ratio: f64,
    /// Retries beyond the ratio, over all instances.
    pub fixed: f64,
    /// The window in which retries and requests are counted.
    pub window: Duration,
}

#[derive(Debug, Default)]
struct Counts {
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

/// The retries of one instance, by service.
#[derive(Debug)]
pub struct Budget {
    allowance: Allowance,
    services: HashMap<id::Service, Counts>,
}

fn drop_expired(times: &mut VecDeque<Instant>, now: Instant, window: Duration) {
    while times.front().is_some_and(|at| now.saturating_duration_since(*at) > window) {
        times.pop_front();
    }
}

impl Budget {
    /// An unused budget.
    pub fn new(allowance: Allowance) -> Self {
        Self { allowance, services: HashMap::new() }
    }

    /// Replaces the limit; past retries still count.
    pub fn set_allowance(&mut self, allowance: Allowance) {
        self.allowance = allowance;
    }

    /// Records a request of a caller.
    pub fn record_request(&mut self, service: &id::Service, now: Instant) {
        let counts = self.services.entry(service.clone()).or_default();
        counts.requests.push_back(now);
        drop_expired(&mut counts.requests, now, self.allowance.window);
    }

    /// Takes one retry from the budget; returns whether there was one.
    pub fn take(&mut self, service: &id::Service, now: Instant, instances: usize) -> bool {
        let is_available = self.has_retry(service, now, instances);
        if is_available {
            self.services.entry(service.clone()).or_default().retries.push_back(now);
        }
        is_available
    }

    /// Whether a retry is left in the budget of one of `instances`.
    pub fn has_retry(&mut self, service: &id::Service, now: Instant, instances: usize) -> bool {
        let counts = self.services.entry(service.clone()).or_default();
        drop_expired(&mut counts.requests, now, self.allowance.window);
        drop_expired(&mut counts.retries, now, self.allowance.window);
        let fixed = self.allowance.fixed / instances.max(1) as f64;
        let most = (self.allowance.ratio * counts.requests.len() as f64 + fixed) * USED_FRACTION;
        ((counts.retries.len() + 1) as f64) <= most
    }
}
