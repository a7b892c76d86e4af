//! The version of each service's upstreams that began every stream of which the shared
//! store has no record.
//!
//! Instances keep nothing, and may all be killed at once, while callers resume their
//! streams later. A record of each stream would cost the store a write each. Instead,
//! the store keeps one row for each service, which names one version, the baseline.
//! Streams of other versions are recorded before their first event is passed on, so
//! that a stream without a record is known to be the baseline's. Where there is one
//! version only, nothing is written.
//!
//! Another instance may change the row at any time, so that an instance relies on what
//! it has read for [`TRUST_TIME`] only. A baseline is replaced in two steps: it is
//! closed, which lets every instance that reads it record all streams, and replaced
//! [`CLOSING_TIME`] later, when no instance relies on the open row any more and no
//! stream without a record can be resumed.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::streams::LIFETIME;
use super::watermark::Era;
use crate::id;

/// How long after a read of the store streams of the baseline are not recorded.
pub const TRUST_TIME: Duration = Duration::from_secs(60);
/// How long a baseline stays closed until another one replaces it.
pub const CLOSING_TIME: Duration =
    LIFETIME.saturating_add(TRUST_TIME).saturating_add(MAX_SUSPENSION);
/// The longest time for which a machine is suspended; its clock does not count it.
const MAX_SUSPENSION: Duration = Duration::from_secs(30);
/// The age of a read at which the baselines are read again.
const REFRESH_AGE: Duration = Duration::from_secs(30);
/// The same where the store has no baseline of a service in its era yet.
const MISSING_REFRESH_AGE: Duration = Duration::from_secs(5);
/// How long a read of the store may take until another one begins.
const READ_TIMEOUT: Duration = Duration::from_millis(500);
/// The time between two attempts to change a baseline.
const CHANGE_INTERVAL: Duration = Duration::from_millis(400);

/// A service's baseline as the store has it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Baseline {
    /// The version.
    pub release: id::Release,
    /// Whether its streams are recorded as well, as another version will replace it.
    pub is_closing: bool,
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
    /// Whether its streams are recorded as well.
    pub is_closing: bool,
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
    /// When the read of the baselines began.
    pub baselines_began: Instant,
    /// The store's era.
    pub era: Era,
    /// The baseline of each service.
    pub baselines: Vec<(id::Service, Baseline)>,
}

/// A baseline that was read or written.
#[derive(Clone, Debug)]
struct Known {
    baseline: Baseline,
    /// The store had it at this time or later.
    confirmed_at: Instant,
    /// Since when this instance has known this version of the row.
    since: Instant,
}

impl Known {
    fn is_trusted(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.confirmed_at) < TRUST_TIME
    }
}

/// What an instance has seen of the upstreams of a service.
#[derive(Clone, Copy, Debug)]
pub struct Serving<'a> {
    /// The versions that serve now or did so while a stream can have run.
    pub releases: &'a [id::Release],
    /// Whether this instance has watched them for that long.
    pub is_settled: bool,
}

/// The baselines of all services.
#[derive(Debug, Default)]
pub struct Baselines {
    known: BTreeMap<id::Service, Known>,
    /// The newest baseline of each service that was known in the store's era then.
    newest: BTreeMap<id::Service, Known>,
    era: Era,
    is_read: bool,
    /// When the last complete read of the streams began.
    read_at: Option<Instant>,
    /// When the last complete read of the baselines began.
    baselines_read_at: Option<Instant>,
    reading_since: Option<Instant>,
    changed_at: Option<Instant>,
    /// Since when a row of an older era is known that this instance cannot confirm.
    unconfirmed_since: BTreeMap<id::Service, Instant>,
}

impl Baselines {
    /// Adds what was read until `now`.
    pub fn record(&mut self, read: Read, now: Instant) {
        if read.era < self.era {
            return;
        }
        self.era = read.era;
        self.reading_since = None;
        self.is_read = true;
        self.read_at = self.read_at.max(read.began);
        self.baselines_read_at = self.baselines_read_at.max(Some(read.baselines_began));
        let before = std::mem::take(&mut self.known);
        for (service, baseline) in read.baselines {
            let before = before.get(&service).filter(|known| known.baseline == baseline);
            let since = before.map_or(now, |known| known.since);
            self.learn(service, Known { baseline, confirmed_at: read.baselines_began, since });
        }
    }

    fn learn(&mut self, service: id::Service, known: Known) {
        if known.baseline.era == self.era {
            self.newest.insert(service.clone(), known.clone());
            self.unconfirmed_since.remove(&service);
        }
        self.known.insert(service, known);
    }

    /// Adds the store's era as it is known from elsewhere.
    pub fn record_era(&mut self, era: Era) {
        if era > self.era {
            self.era = era;
            self.is_read = false;
        }
    }

    /// Adds a baseline that this instance has written; the write ended at `now`.
    pub fn record_written(&mut self, service: id::Service, baseline: Baseline, now: Instant) {
        if baseline.era == self.era {
            // Another instance may have changed it since the write began.
            let confirmed_at = self.changed_at.unwrap_or(now);
            self.learn(service, Known { baseline, confirmed_at, since: now });
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

    /// The same for a read of the baselines alone; `services` are those of which
    /// callers resume streams, with the time at which upstreams of the baseline
    /// appeared.
    pub fn begin_refresh(
        &mut self,
        services: impl IntoIterator<Item = id::Service>,
        appeared: impl Fn(&id::Service, &id::Release) -> Option<Instant>,
        now: Instant,
    ) -> bool {
        let mut services = services.into_iter();
        let is_due = !self.is_read || services.any(|s| self.is_refresh_due(&s, &appeared, now));
        is_due && self.begin(now)
    }

    fn is_refresh_due(
        &self,
        service: &id::Service,
        appeared: impl Fn(&id::Service, &id::Release) -> Option<Instant>,
        now: Instant,
    ) -> bool {
        let is_older = |at: Instant, age| now.saturating_duration_since(at) >= age;
        match self.in_force(service) {
            Some(Known { baseline, confirmed_at, .. }) => {
                let appeared = appeared(service, &baseline.release);
                appeared > Some(*confirmed_at) || is_older(*confirmed_at, REFRESH_AGE)
            }
            None => self.baselines_read_at.is_none_or(|at| is_older(at, MISSING_REFRESH_AGE)),
        }
    }

    fn begin(&mut self, now: Instant) -> bool {
        let is_reading = |since: Instant| now.saturating_duration_since(since) < READ_TIMEOUT;
        let begins = !self.reading_since.is_some_and(is_reading);
        if begins {
            self.reading_since = Some(now);
        }
        begins
    }

    fn in_force(&self, service: &id::Service) -> Option<&Known> {
        self.known.get(service).filter(|known| known.baseline.era == self.era)
    }

    /// A service's baseline, if what the store has of it holds in its era.
    pub fn of(&self, service: &id::Service) -> Option<&id::Release> {
        self.in_force(service).map(|known| &known.baseline.release)
    }

    /// Whether streams of a version need no record: it is the baseline, and no other
    /// instance can have replaced it. Upstreams of that version appeared at `appeared`;
    /// while there were none, another version may have been made the baseline.
    pub fn covers(
        &self,
        service: &id::Service,
        release: &id::Release,
        appeared: Option<Instant>,
        now: Instant,
    ) -> bool {
        // That holds in a new era of the store as well: see `confirm`.
        self.newest.get(service).is_some_and(|known| {
            let Baseline { release: baseline, is_closing, .. } = &known.baseline;
            let is_read_since = appeared.is_some_and(|at| known.confirmed_at >= at);
            baseline == release && !is_closing && is_read_since && known.is_trusted(now)
        })
    }

    /// What is to be written of a service's baseline.
    pub fn change(
        &mut self,
        service: &id::Service,
        serving: Serving<'_>,
        now: Instant,
    ) -> Option<Change> {
        let elapsed = self.changed_at.map(|at| now.saturating_duration_since(at));
        if !self.is_read() || elapsed.is_some_and(|elapsed| elapsed < CHANGE_INTERVAL) {
            return None;
        }
        let (release, is_closing) = self.next(service, serving, now)?;
        self.changed_at = Some(now);
        let replaces = self.known.get(service).map_or(0, |known| known.baseline.row);
        Some(Change { service: service.clone(), release, is_closing, era: self.era, replaces })
    }

    /// The version that is to be a service's baseline, and whether it is closing, where
    /// that is to change.
    fn next(
        &mut self,
        service: &id::Service,
        serving: Serving<'_>,
        now: Instant,
    ) -> Option<(id::Release, bool)> {
        let Serving { releases, is_settled } = serving;
        let first = releases.first()?;
        let Some(known) = self.in_force(service) else {
            return self.confirm(service, serving, now);
        };
        let Baseline { release, is_closing, .. } = &known.baseline;
        let is_serving = releases.contains(release);
        if !is_closing {
            return (is_settled && !is_serving).then(|| (release.clone(), true));
        }
        if is_serving {
            return Some((release.clone(), false));
        }
        let is_over = now.saturating_duration_since(known.since) >= CLOSING_TIME;
        is_over.then(|| (first.clone(), false))
    }

    /// The same where the store has none in its era: it is the first one, or the store
    /// came back from an older copy. What an instance still trusts is still the newest.
    fn confirm(
        &mut self,
        service: &id::Service,
        serving: Serving<'_>,
        now: Instant,
    ) -> Option<(id::Release, bool)> {
        let Serving { releases, is_settled } = serving;
        if let Some(newest) = self.newest.get(service).filter(|newest| newest.is_trusted(now)) {
            return Some((newest.baseline.release.clone(), newest.baseline.is_closing));
        }
        let first = releases.first()?;
        let Some(known) = self.known.get(service) else {
            // Whatever began before was recorded.
            return (releases.len() == 1 || is_settled).then(|| (first.clone(), false));
        };
        let since = *self.unconfirmed_since.entry(service.clone()).or_insert(now);
        let known = &known.baseline.release;
        let release = if releases.contains(known) { known } else { first };
        let is_over = now.saturating_duration_since(since) >= CLOSING_TIME;
        is_over.then(|| (release.clone(), false))
    }
}
