//! Which waiting requests can still be served before their callers leave.
//!
//! Load pattern: for seconds, requests of a service come at about twice the rate at which
//! its upstreams answer. What waits until its caller is about to leave is refused then,
//! and its caller has no time left to come back. The rate at which this instance's
//! requests were dispatched lately, and what waits ahead of a request, tell earlier that
//! there is no room for it.
//!
//! The rate is rated high, as a request may be refused only once it cannot be served: by
//! two standard deviations of the count, and over all requests of the service, since a burst
//! of more urgent ones may end at any time. An instance that has dispatched nothing lately
//! knows no rate and refuses nothing.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use crate::id;

/// The time over which dispatches are counted: long enough for several of them where an
/// instance has a sixtieth of the slots, short enough for a burst of some seconds.
const WINDOW: Duration = Duration::from_secs(2);
/// The least time over which a rate is known.
const MIN_WINDOW: Duration = Duration::from_millis(500);

/// What was dispatched of one service while others of its requests waited.
#[derive(Debug, Default)]
struct Drain {
    busy_since: Option<Instant>,
    dispatched: VecDeque<Instant>,
}

/// The rates at which requests of each service are dispatched.
#[derive(Debug, Default)]
pub struct Drains {
    services: HashMap<id::Service, Drain>,
}

/// The rate at which requests of one service were dispatched.
#[derive(Clone, Copy, Debug)]
pub struct Rate {
    /// The time over which it was counted.
    pub period: Duration,
    /// The requests dispatched in this time.
    pub dispatched: usize,
}

impl Drains {
    /// Records that a request was dispatched while others of its service waited.
    pub fn record(&mut self, service: &id::Service, now: Instant) {
        if let Some(drain) = self.services.get_mut(service) {
            drain.dispatched.push_back(now);
        }
    }

    /// Updates whether requests of a service wait; without a wait nothing is known of it.
    pub fn update(&mut self, service: &id::Service, now: Instant) {
        let drain = self.services.entry(service.clone()).or_default();
        drain.busy_since.get_or_insert(now);
        let is_old = |at: &Instant| now.saturating_duration_since(*at) > WINDOW;
        while drain.dispatched.front().is_some_and(is_old) {
            drain.dispatched.pop_front();
        }
    }

    /// Forgets what is known of a service.
    pub fn forget(&mut self, service: &id::Service) {
        self.services.remove(service);
    }

    /// Forgets the services of which no request waits.
    pub fn retain(&mut self, waits: impl Fn(&id::Service) -> bool) {
        self.services.retain(|service, _| waits(service));
    }

    /// The rate of a service; none where too little is known of it.
    pub fn rate(&self, service: &id::Service, now: Instant) -> Option<Rate> {
        let drain = self.services.get(service)?;
        let period = now.saturating_duration_since(drain.busy_since?).min(WINDOW);
        let dispatched = drain.dispatched.len();
        (period >= MIN_WINDOW && dispatched > 0).then_some(Rate { period, dispatched })
    }
}

impl Rate {
    /// The shortest time in which so many requests are likely dispatched.
    ///
    /// ```
    /// use std::time::Duration;
    /// use rosemarypond_core::entry::admission::Rate;
    /// let rate = Rate { period: Duration::from_secs(2), dispatched: 8 };
    /// assert_eq!(rate.least_wait(14), Duration::from_secs(2));
    /// assert_eq!(rate.mean_wait(8), Duration::from_secs(2));
    /// ```
    pub fn least_wait(self, requests: usize) -> Duration {
        let count = self.dispatched as f64;
        let rated_high = count + 2.0 * (count + 1.0).sqrt();
        self.period.mul_f64(requests as f64 / rated_high)
    }

    /// The time in which so many requests are likely dispatched.
    pub fn mean_wait(self, requests: usize) -> Duration {
        self.period.mul_f64(requests as f64 / self.dispatched.max(1) as f64)
    }
}
