//! Which upstreams an instance can reach over the network.
//!
//! An instance may lose its paths to some or all upstreams, while callers and peers
//! still reach it. An upstream to which no connection could be opened gets no request
//! until a connection to it was opened again; other instances may still reach it.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::id;

/// The first time until an upstream is probed that could not be reached.
const MIN_BACKOFF: Duration = Duration::from_millis(500);
/// The longest time until it is probed again.
const MAX_BACKOFF: Duration = Duration::from_secs(4);
/// A probe without a result counts as failed after this time.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// A silent upstream is probed no more often than this.
const SILENCE_PROBE_INTERVAL: Duration = Duration::from_secs(2);
/// This many upstreams of a service that could not be reached one after the other,
/// without an answer from any, cast doubt on the paths to all of them.
const MAX_CONSECUTIVE_FAILURES: usize = 2;

/// The network path from this instance to an upstream.
#[derive(Clone, Debug)]
pub struct Path {
    is_open: bool,
    backoff: Duration,
    /// When the upstream may be tried again, while the path is not open.
    retry_at: Option<Instant>,
    probed_at: Option<Instant>,
    is_probed: bool,
}

impl Default for Path {
    fn default() -> Self {
        Self {
            is_open: true,
            backoff: MIN_BACKOFF,
            retry_at: None,
            probed_at: None,
            is_probed: false,
        }
    }
}

impl Path {
    /// Whether the upstream can be reached, as far as known.
    ///
    /// ```
    /// use rosemarypond_core::entry::reach::Path;
    /// let mut path = Path::default();
    /// assert!(path.is_open());
    /// path.record_failure(std::time::Instant::now());
    /// assert!(!path.is_open());
    /// path.record_answer();
    /// assert!(path.is_open());
    /// ```
    pub fn is_open(&self) -> bool {
        self.is_open
    }

    /// When the upstream may be tried again, if it cannot be reached now.
    pub fn retry_at(&self) -> Option<Instant> {
        self.retry_at.filter(|_| !self.is_open)
    }

    /// Records that something came from the upstream, or that a connection to it was
    /// opened.
    pub fn record_answer(&mut self) {
        *self = Self { probed_at: self.probed_at, ..Self::default() };
    }

    /// Records that no connection to the upstream could be opened.
    pub fn record_failure(&mut self, now: Instant) {
        self.is_open = false;
        self.is_probed = false;
        self.retry_at = Some(now + self.backoff);
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }

    /// Has the path probed before the upstream gets another request, if it counts as
    /// open.
    pub fn doubt(&mut self, now: Instant) {
        if self.is_open {
            self.is_open = false;
            self.retry_at = Some(now);
        }
    }

    /// Has a path that is not open probed soon.
    pub fn expedite(&mut self, now: Instant) {
        if !self.is_open {
            self.retry_at = Some(now);
        }
    }

    /// Whether a probe is under way.
    pub fn is_probed(&self, now: Instant) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < PROBE_TIMEOUT;
        self.is_probed && self.probed_at.is_some_and(is_recent)
    }

    /// Whether the path is to be probed, where it is not open.
    pub fn is_due(&self, now: Instant) -> bool {
        !self.is_open && !self.is_probed(now) && self.retry_at.is_none_or(|at| now >= at)
    }

    /// Whether an upstream that is silent may be probed although its path is open.
    pub fn may_probe_silent(&self, now: Instant) -> bool {
        let elapsed = self.probed_at.map(|at| now.saturating_duration_since(at));
        self.is_open && elapsed.is_none_or(|elapsed| elapsed >= SILENCE_PROBE_INTERVAL)
    }

    /// Records that a probe begins.
    pub fn begin_probe(&mut self, now: Instant) {
        self.probed_at = Some(now);
        self.is_probed = true;
    }
}

/// How much of a service an instance can reach.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Reach {
    /// The slots that it can use.
    pub slots: u32,
    /// The slots of all upstreams that take new work.
    pub all_slots: u32,
}

impl Reach {
    /// Adds an upstream, with all of its slots and those that the instance can use.
    pub fn add(&mut self, all_slots: u32, slots: u32) {
        self.all_slots = self.all_slots.saturating_add(all_slots);
        self.slots = self.slots.saturating_add(slots);
    }

    /// Whether so little can be reached that peers have room where this instance has
    /// none.
    ///
    /// ```
    /// use rosemarypond_core::entry::reach::Reach;
    /// assert!(Reach { slots: 4, all_slots: 36 }.is_small());
    /// assert!(!Reach { slots: 32, all_slots: 36 }.is_small());
    /// ```
    pub fn is_small(self) -> bool {
        self.slots <= self.all_slots / 2
    }
}

/// The upstreams of each service that could not be reached one after the other, with
/// no answer from any of the service in between.
#[derive(Debug, Default)]
pub struct Failures(BTreeMap<id::Service, Vec<id::Upstream>>);

impl Failures {
    /// Records an upstream that could not be reached; returns whether that casts doubt
    /// on the paths to all upstreams of its service.
    ///
    /// ```
    /// use rosemarypond_core::entry::reach::Failures;
    /// let mut failures = Failures::default();
    /// let service = "models".parse()?;
    /// assert!(!failures.record(&service, &"e1".parse()?));
    /// assert!(!failures.record(&service, &"e1".parse()?));
    /// assert!(failures.record(&service, &"e2".parse()?));
    /// # Ok::<(), rosemarypond_core::id::Error>(())
    /// ```
    pub fn record(&mut self, service: &id::Service, upstream: &id::Upstream) -> bool {
        let failures = self.0.entry(service.clone()).or_default();
        if !failures.contains(upstream) && failures.len() < MAX_CONSECUTIVE_FAILURES {
            failures.push(upstream.clone());
        }
        failures.len() >= MAX_CONSECUTIVE_FAILURES
    }

    /// Records that an upstream of a service answered.
    pub fn clear(&mut self, service: &id::Service) {
        self.0.remove(service);
    }
}
