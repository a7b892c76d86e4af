//! The version of each service's upstreams that began every stream of which the shared
//! store has no record.
//!
//! Instances keep nothing, and may all be killed at once, while callers resume their
//! streams later. A record of each stream would cost the store a write each. Instead,
//! the store keeps one row for each service, which names one version, the baseline.
//! Streams of other versions are recorded before their first event is passed on, so
//! that a stream without a record is known to be the baseline's. Where there is one
//! version only, nothing is written.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::watermark::Era;
use crate::id;

/// How long a read of the store may take until another one begins.
const READ_TIMEOUT: Duration = Duration::from_millis(500);
/// The time between two attempts to change a baseline.
const CHANGE_INTERVAL: Duration = Duration::from_millis(400);

/// A service's baseline as the store has it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Baseline {
    /// The version.
    pub release: id::Release,
    /// The store's era when it was written; what the store has of an older era may
    /// have been changed since.
    pub era: Era,
    /// The store's version of the row.
    pub row: u64,
}

/// What is to be written of a service's baseline.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// The service.
    pub service: id::Service,
    /// The version.
    pub release: id::Release,
    /// The store's era.
    pub era: Era,
    /// The store's version of the row that is replaced; 0 if there is none.
    pub replaces: u64,
}

/// What was read in the store.
#[derive(Clone, Debug)]
pub struct Read {
    /// When the read of the recorded streams began that came first; none if only the
    /// baselines were read.
    pub began: Option<Instant>,
    /// The store's era.
    pub era: Era,
    /// The baseline of each service.
    pub baselines: Vec<(id::Service, Baseline)>,
}

/// The baselines of all services.
#[derive(Debug, Default)]
pub struct Baselines {
    known: BTreeMap<id::Service, Baseline>,
    /// The newest version that each service's baseline was known to be.
    trusted: BTreeMap<id::Service, id::Release>,
    era: Era,
    is_read: bool,
    read_at: Option<Instant>,
    reading_since: Option<Instant>,
    changed_at: Option<Instant>,
    /// Since when a row of an older era is known that this instance cannot confirm.
    unconfirmed_since: BTreeMap<id::Service, Instant>,
}

impl Baselines {
    /// Adds what was read.
    pub fn record(&mut self, read: Read) {
        if read.era < self.era {
            return;
        }
        self.era = read.era;
        self.reading_since = None;
        self.is_read = true;
        self.read_at = self.read_at.max(read.began);
        self.known = read.baselines.into_iter().collect();
        for (service, baseline) in &self.known {
            if baseline.era == self.era {
                self.trusted.insert(service.clone(), baseline.release.clone());
                self.unconfirmed_since.remove(service);
            }
        }
    }

    /// Adds the store's era as it is known from elsewhere.
    pub fn record_era(&mut self, era: Era) {
        if era > self.era {
            self.era = era;
            self.is_read = false;
        }
    }

    /// Adds a baseline that this instance has written.
    pub fn record_written(&mut self, service: id::Service, baseline: Baseline) {
        if baseline.era == self.era {
            self.trusted.insert(service.clone(), baseline.release.clone());
            self.known.insert(service, baseline);
        }
    }

    /// Whether the baselines were read in the store's era.
    pub fn is_read(&self) -> bool {
        self.is_read
    }

    /// Whether the recorded streams and the baselines were read since `at`.
    pub fn is_read_since(&self, at: Instant) -> bool {
        self.read_at.is_some_and(|read_at| read_at >= at)
    }

    /// Whether a read of the streams is to begin now, as one is needed that began at
    /// `at` or later; it counts as begun.
    pub fn begin_read(&mut self, at: Instant, now: Instant) -> bool {
        !self.is_read_since(at) && self.begin(now)
    }

    /// The same for a read of the baselines alone.
    pub fn begin_first_read(&mut self, now: Instant) -> bool {
        !self.is_read && self.begin(now)
    }

    fn begin(&mut self, now: Instant) -> bool {
        let is_reading = |since: Instant| now.saturating_duration_since(since) < READ_TIMEOUT;
        let begins = !self.reading_since.is_some_and(is_reading);
        if begins {
            self.reading_since = Some(now);
        }
        begins
    }

    /// A service's baseline, if what the store has of it holds in its era.
    pub fn of(&self, service: &id::Service) -> Option<&id::Release> {
        let known = self.known.get(service).filter(|baseline| baseline.era == self.era);
        known.map(|baseline| &baseline.release)
    }

    /// What is to be written of a service's baseline; `serving` are the versions that
    /// serve now or did so while a stream can have run, and `is_settled` tells whether
    /// this instance has watched them for that long.
    pub fn change(
        &mut self,
        service: &id::Service,
        serving: &[id::Release],
        is_settled: bool,
        lifetime: Duration,
        now: Instant,
    ) -> Option<Change> {
        let elapsed = self.changed_at.map(|at| now.saturating_duration_since(at));
        if !self.is_read() || elapsed.is_some_and(|elapsed| elapsed < CHANGE_INTERVAL) {
            return None;
        }
        let release = self.next(service, serving, is_settled, lifetime, now)?;
        self.changed_at = Some(now);
        let replaces = self.known.get(service).map_or(0, |baseline| baseline.row);
        Some(Change { service: service.clone(), release, era: self.era, replaces })
    }

    /// The version that is to be a service's baseline, where it is to change.
    fn next(
        &mut self,
        service: &id::Service,
        serving: &[id::Release],
        is_settled: bool,
        lifetime: Duration,
        now: Instant,
    ) -> Option<id::Release> {
        let first = serving.first()?;
        match self.known.get(service) {
            // What began before is the only version's, or was recorded.
            None => (serving.len() == 1 || is_settled).then(|| first.clone()),
            Some(known) if known.era == self.era => {
                (is_settled && !serving.contains(&known.release)).then(|| first.clone())
            }
            // The store came back from an older copy.
            Some(known) => {
                if let Some(trusted) = self.trusted.get(service) {
                    return Some(trusted.clone());
                }
                let since = *self.unconfirmed_since.entry(service.clone()).or_insert(now);
                let is_over = now.saturating_duration_since(since) >= lifetime;
                let is_serving = serving.contains(&known.release);
                let release = if is_serving { &known.release } else { first };
                is_over.then(|| release.clone())
            }
        }
    }
}
