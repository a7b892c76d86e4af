//! Moves a service's traffic to another software version in steps, each of which is
//! checked, and back if the version proves to be bad.
//!
//! Load pattern: new engines start beside the old ones of a service that dozens or
//! hundreds of instances share, and may be bad at once, later, or under load only. The
//! step is one row of the shared store, written conditionally, so that instances agree on
//! it; what each sends, it decides for itself (see [`share`]). An instance that cannot
//! prove that it knows the row sends nothing new to the new version.

pub mod ledger;
pub mod row;
pub mod share;
pub mod tally;
pub mod verdict;

use std::time::{Duration, Instant};

use super::gossip::Trial;
use crate::id;
use ledger::Ledger;
pub use row::{Change, Order, Read, Row, Step};
use share::{Admitted, Exposure};

/// The oldest knowledge of the row with which new requests are sent to the new version.
const MAX_ROW_AGE: Duration = Duration::from_secs(2);
/// The part of the duration for which the canary lasts at least ...
const CANARY_PART: f64 = 0.34;
/// ... and at most, as the steps after it and the ends of streams take time.
const MAX_CANARY_PART: f64 = 0.45;
/// The part of the duration that each ramp takes at least ...
const RAMP_PART: f64 = 0.05;
/// ... and at most.
const MAX_RAMP_PART: f64 = 0.09;
/// The part of the duration after which the old version gets nothing more, not even the
/// rest of streams that it began.
const CLOSING_PART: f64 = 0.85;
/// The part of the duration, before its end, in which it is rolled back if it has not
/// succeeded.
const MARGIN_PART: f64 = 0.04;
/// The longest such time: a write and its repetition take less.
const MAX_MARGIN: Duration = Duration::from_millis(800);
/// How long an instance that saw a rollout succeed still avoids the engines that the
/// platform stops then; the directory lists them a little longer.
const STOPPING_TIME: Duration = Duration::from_secs(10);
/// How long no engine of a version that was rolled back is registered until the version
/// may be used again; a crashed engine is back earlier.
const GONE_TIME: Duration = Duration::from_secs(30);
/// How long peers are told of a rollout that has ended.
const NEWS_TIME: Duration = Duration::from_secs(3);

/// What an instance sees of a service's engines now.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Engines {
    /// The slots of those of the new version that take work.
    pub new_slots: u32,
    /// Whether any of the new version is registered.
    pub has_new: bool,
    /// Whether any of another version takes work.
    pub has_old: bool,
    /// Requests of this instance that run on those of other versions.
    pub old_running: u32,
    /// Requests of this instance that run.
    pub running: u32,
}

/// A rollout of one service, as one instance knows it.
#[derive(Clone, Debug)]
pub struct Rollout {
    order: Order,
    /// Whether only peers told of it: the order itself was not read.
    is_told: bool,
    is_removed: bool,
    row: Option<Row>,
    /// The version of the row that is to be replaced, whichever rollout it is of; none
    /// before the row was read.
    stored: Option<u64>,
    /// Whether the store lost a step that this instance knows.
    is_lost: bool,
    confirmed_at: Option<Instant>,
    started_at: Instant,
    entered_at: Instant,
    gone_since: Option<Instant>,
    is_condemned: bool,
    /// Whether this instance saw the step before the last one.
    has_witnessed: bool,
    is_lifted: bool,
    engines: Engines,
    pub(super) ledger: Ledger,
}

impl Rollout {
    /// A rollout of which the row was not read yet; `is_told` if only peers told of it.
    pub fn new(order: Order, is_told: bool, now: Instant) -> Self {
        Self {
            order,
            is_told,
            is_removed: false,
            row: None,
            stored: None,
            is_lost: false,
            confirmed_at: None,
            started_at: now,
            entered_at: now,
            gone_since: None,
            is_condemned: false,
            has_witnessed: false,
            is_lifted: false,
            engines: Engines::default(),
            ledger: Ledger::default(),
        }
    }

    /// The version to which traffic is moved.
    pub fn to(&self) -> &id::Release {
        &self.order.to
    }

    /// The store's version of its order.
    pub fn order(&self) -> u64 {
        self.order.version
    }

    /// The step in force, if one is known.
    pub fn step(&self) -> Option<Step> {
        self.row.as_ref().map(|row| row.step)
    }

    /// Whether it has ended.
    pub fn is_final(&self) -> bool {
        self.step().is_some_and(Step::is_final)
    }

    /// Whether the new version is known to be bad.
    pub fn is_condemned(&self) -> bool {
        self.is_condemned
    }

    /// Stops sending to the new version, whatever the row states; returns whether that
    /// changes something.
    pub fn condemn(&mut self) -> bool {
        let is_news = !self.is_condemned && !self.is_final();
        self.is_condemned |= is_news;
        is_news
    }

    /// Records that its order was removed: it is rolled back unless it has ended.
    pub fn remove_order(&mut self) {
        self.is_removed = true;
    }

    /// Takes over an order for the same version that was given again; returns false where
    /// the order begins another rollout.
    pub fn repeat(&mut self, order: &Order) -> bool {
        let is_same = order.version == self.order.version && !self.is_told;
        let is_repeated = order.to == self.order.to
            && order.duration.is_some()
            && !self.is_final()
            && !self.is_removed
            && !self.is_condemned;
        if is_repeated {
            let duration = if self.is_told { order.duration } else { self.order.duration };
            self.order = Order { duration, ..order.clone() };
            self.is_told = false;
        }
        is_same || is_repeated
    }

    /// Whether an order of which a peer tells only repeats this one.
    pub fn repeat_told(&self, order: &Order) -> bool {
        order.to == self.order.to && !self.is_final()
    }

    /// Follows the row that was read, which is none where the store has none.
    pub fn follow(&mut self, found: Option<Row>, read: &Read, now: Instant) {
        self.stored = Some(found.as_ref().map_or(0, |row| row.version));
        let found = found.filter(|row| self.is_of_order(row, read));
        self.is_lost = self.row.as_ref().is_some_and(|known| {
            let is_behind = found.as_ref().is_none_or(|row| row.step < known.step);
            is_behind && read.era > known.era
        });
        // The store is read again, so that the known step can be written there.
        self.confirmed_at = self.confirmed_at.max(Some(read.began));
        if self.is_lost {
            return;
        }
        let Some(row) = found else { return };
        let before = self.step();
        if before.is_none() && row.era == read.era && read.answered_at.is_some() {
            let age = read.answered_at.unwrap_or_default().saturating_sub(row.started);
            self.started_at = now.checked_sub(age).unwrap_or(now);
        }
        if self.is_told {
            self.order = row.order.clone();
            self.is_told = false;
        }
        if before != Some(row.step) {
            self.has_witnessed |= before.is_some();
            self.entered_at = now;
            self.ledger.mark();
        }
        self.row = Some(row);
    }

    /// Whether a row is of this rollout's order. One that is carried out for the same
    /// version is: the order was repeated. After a restore an order that this instance has
    /// carried out may have another version.
    fn is_of_order(&self, row: &Row, read: &Read) -> bool {
        let is_restored = row.era != read.era && self.row.is_some();
        let is_same = row.order.version == self.order.version;
        row.order.to == self.order.to && (is_same || is_restored || !row.step.is_final())
    }

    /// Updates what the instance sees of the engines.
    pub fn update_engines(&mut self, engines: Engines, now: Instant) {
        self.engines = engines;
        let gone_since = self.gone_since.unwrap_or(now);
        self.gone_since = (!engines.has_new).then_some(gone_since);
        self.is_lifted |= self.is_over(now);
        let is_judged = self.step().is_some_and(|step| !step.is_final());
        if is_judged && !self.is_condemned && self.ledger.is_bad() {
            self.condemn();
        }
    }

    /// Whether the versions may be used as without an order again.
    fn is_over(&self, now: Instant) -> bool {
        let elapsed = |since: Instant| now.saturating_duration_since(since);
        match self.step() {
            Some(Step::Succeeded) => {
                !self.has_witnessed || elapsed(self.entered_at) >= STOPPING_TIME
            }
            Some(Step::RolledBack) => {
                self.gone_since.is_some_and(|since| elapsed(since) >= GONE_TIME)
            }
            _ => false,
        }
    }

    /// Whether the row is known to be at most as old as new requests for the new version
    /// need it.
    pub fn is_current(&self, now: Instant) -> bool {
        let age = |at| now.saturating_duration_since(at);
        self.confirmed_at.is_some_and(|at| age(at) <= MAX_ROW_AGE)
    }

    /// The versions that may get a request, the preferred ones first; `lot` is its random
    /// number below 1, and `is_retry` whether it was sent before.
    pub fn paths(
        &self,
        origin: &super::call::Origin,
        lot: f64,
        is_retry: bool,
        limits: (&Exposure, usize),
        now: Instant,
    ) -> Vec<Admitted> {
        let to = &self.order.to;
        let (only_new, only_old) = (Admitted::Only(to.clone()), Admitted::Except(to.clone()));
        if self.is_lifted {
            return vec![Admitted::Any];
        }
        let step = self.step().unwrap_or(Step::Canary);
        if self.is_condemned || step == Step::RolledBack {
            return vec![only_old];
        }
        if matches!(step, Step::Closing | Step::Succeeded) && self.engines.has_new {
            return vec![only_new];
        }
        if *origin != super::call::Origin::Fresh {
            return vec![Admitted::Any];
        }
        if step >= Step::All && self.engines.has_new {
            return vec![only_new];
        }
        let (exposure, instances) = limits;
        let Ledger { own, .. } = &self.ledger;
        let is_eligible = self.row.is_some()
            && !self.is_lost
            && self.is_current(now)
            && !is_retry
            && lot < share::of_step(step, exposure)
            && share::has_room(exposure, instances, own.requests, own.exposed);
        if is_eligible { vec![only_new, only_old] } else { vec![only_old] }
    }

    /// The row to be written now, if any; `all` is what all instances see.
    pub fn change(
        &self,
        service: &id::Service,
        judge: &id::Instance,
        is_idle: bool,
        now: Instant,
    ) -> Option<Change> {
        let replaces = self.stored?;
        let step = self.next_step(is_idle, now)?;
        let order = self.order.clone();
        let age = now.saturating_duration_since(self.started_at);
        let (service, judge) = (service.clone(), judge.clone());
        Some(Change { service, order, step, age, judge, replaces })
    }

    fn next_step(&self, is_idle: bool, now: Instant) -> Option<Step> {
        if self.is_lost {
            let known = self.step();
            return if self.is_condemned { Some(Step::RolledBack) } else { known };
        }
        if self.is_told || self.is_final() || self.row.is_none() && self.is_removed {
            return None;
        }
        let Some(duration) = self.order.duration.filter(|_| !self.is_condemned && !self.is_removed)
        else {
            return Some(Step::RolledBack);
        };
        let Some(step) = self.step() else { return Some(Step::Canary) };
        let elapsed = now.saturating_duration_since(self.started_at);
        let margin = duration.mul_f64(MARGIN_PART).min(MAX_MARGIN);
        let is_last = elapsed + margin >= duration;
        let next = self.advance(step, duration, elapsed, is_idle, now);
        next.or(is_last.then_some(Step::RolledBack))
    }

    /// The step after `step`, if its checks are passed.
    fn advance(
        &self,
        step: Step,
        duration: Duration,
        elapsed: Duration,
        is_idle: bool,
        now: Instant,
    ) -> Option<Step> {
        let part = |fraction| duration.mul_f64(fraction);
        let in_step = now.saturating_duration_since(self.entered_at);
        let is_checked = |least: f64, most: f64, time: Duration| {
            let is_enough = self.ledger.is_enough();
            time >= part(least) && is_enough || time >= part(most)
        };
        let running = self.ledger.running() + self.engines.running;
        let has_capacity = self.engines.has_new && self.engines.new_slots >= running;
        match step {
            Step::Canary => (is_checked(CANARY_PART, MAX_CANARY_PART, elapsed)
                && self.engines.new_slots > 0)
                .then_some(Step::Quarter),
            Step::Quarter => is_checked(RAMP_PART, MAX_RAMP_PART, in_step).then_some(Step::Half),
            Step::Half => {
                (is_checked(RAMP_PART, MAX_RAMP_PART, in_step) && has_capacity).then_some(Step::All)
            }
            Step::All => {
                let has_ended = self.ledger.old_running() + self.engines.old_running == 0;
                let is_due = has_ended && in_step >= part(MAX_RAMP_PART);
                (is_due || elapsed >= part(CLOSING_PART)).then_some(Step::Closing)
            }
            Step::Closing => (is_idle && has_capacity && self.engines.old_running == 0)
                .then_some(Step::Succeeded),
            Step::Succeeded | Step::RolledBack => None,
        }
    }

    /// Whether it ended long enough ago that versions are no longer kept apart.
    pub fn is_lifted(&self) -> bool {
        self.is_lifted
    }

    /// Whether the row is to be read again: it may change, or a peer knows a newer one.
    pub fn wants_read(&self) -> bool {
        !self.is_final() || self.is_lost
    }

    /// Whether a peer knows a later step.
    pub fn is_behind(&self) -> bool {
        self.ledger.latest_step() > self.step().map_or(0, Step::rank)
    }

    /// What peers have to know; none where it has ended for long.
    pub fn message(
        &self,
        service: &id::Service,
        tally: tally::Tally,
        now: Instant,
    ) -> Option<Trial> {
        let is_old = now.saturating_duration_since(self.entered_at) >= NEWS_TIME;
        if self.is_final() && (is_old || !self.has_witnessed) {
            return None;
        }
        Some(Trial {
            service: service.clone(),
            to: self.order.to.clone(),
            order: self.order.version,
            step: self.step().map_or(0, Step::rank),
            running: self.engines.running,
            old_running: self.engines.old_running,
            tally,
        })
    }
}
