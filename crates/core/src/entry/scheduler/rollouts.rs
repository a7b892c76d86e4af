//! Rollouts: has instances agree on the steps, and keeps requests to the versions that
//! may get them.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

use super::{Action, Held, Scheduler};
use crate::entry::call::{Call, Ended, Origin};
use crate::entry::fleet::Choice;
use crate::entry::gossip::{Condemned, Trial};
use crate::entry::rollout::share::{Admitted, Exposure};
use crate::entry::rollout::tally::{Side, Tally};
use crate::entry::rollout::{Engines, Order, Read, Rollout, Step};
use crate::entry::upstream::{Upstream, Visibility};
use crate::hash::stable_hash;
use crate::id;

/// How often rollouts are reviewed.
const REVIEW_INTERVAL: Duration = Duration::from_millis(60);
/// The same beyond a full mesh: a review adds the counts of up to a hundred instances of
/// the zone, on a machine that has an eighth of a core.
const LONG_REVIEW_INTERVAL: Duration = Duration::from_millis(200);
/// The time between two reads of the rows.
const READ_INTERVAL: Duration = Duration::from_millis(600);
/// The same where a peer knows a later step.
const NEWS_READ_INTERVAL: Duration = Duration::from_millis(50);
/// How long a read or a write may take until another one begins.
const STORE_TIMEOUT: Duration = Duration::from_millis(500);
/// How much later each further instance writes what all of them want to write.
const WRITE_DELAY: Duration = Duration::from_millis(200);
/// A response that has not begun after this long counts as one that took as long as that
/// so far: a version that never answers is slow.
const PENDING_TIME: Duration = Duration::from_secs(1);

/// The services whose upstreams of some versions have no room, for plain calls or others.
pub(super) type Full = Vec<(id::Service, bool, Admitted)>;

/// An attempt at a service with a rollout.
#[derive(Clone, Debug)]
struct Attempt {
    service: id::Service,
    route: id::Route,
    side: Side,
    sent: Instant,
    first: Option<Instant>,
    /// Whether its engine is slow, as it has just started.
    is_cold: bool,
}

/// The rollouts that an instance knows.
#[derive(Debug, Default)]
pub(super) struct Rollouts {
    exposure: Option<Exposure>,
    orders: BTreeMap<id::Service, Order>,
    known: BTreeMap<id::Service, Rollout>,
    attempts: HashMap<id::Request, Attempt>,
    cold_until: HashMap<id::Upstream, Instant>,
    reviewed_at: Option<Instant>,
    read_began: Option<Instant>,
    read_ended: Option<Instant>,
    write_began: Option<Instant>,
    wanted: HashMap<id::Service, (Step, Instant)>,
}

impl Rollouts {
    fn is_idle(&self) -> bool {
        self.exposure.is_none() || self.known.is_empty()
    }
}

impl Scheduler {
    /// The rollout of a service, if one is known.
    pub fn rollout(&self, service: &id::Service) -> Option<&Rollout> {
        self.rollouts.known.get(service)
    }

    /// Sets the limits of rollouts; without them orders are only remembered.
    pub(super) fn set_exposure(&mut self, now: Instant, exposure: Option<Exposure>) {
        self.rollouts.exposure = exposure;
        if exposure.is_none() {
            self.rollouts.known.clear();
            return;
        }
        for (service, order) in self.rollouts.orders.clone() {
            self.begin_rollout(now, service, order);
        }
    }

    /// Adds an order, or records that it was removed.
    pub(super) fn ordered(&mut self, now: Instant, service: id::Service, order: Option<Order>) {
        let Some(order) = order else {
            self.rollouts.orders.remove(&service);
            if let Some(rollout) = self.rollouts.known.get_mut(&service) {
                rollout.remove_order();
            }
            return;
        };
        self.rollouts.orders.insert(service.clone(), order.clone());
        if self.rollouts.exposure.is_some() {
            self.begin_rollout(now, service, order);
        }
    }

    fn begin_rollout(&mut self, now: Instant, service: id::Service, order: Order) {
        let known = self.rollouts.known.get_mut(&service);
        if known.is_some_and(|known| known.repeat(&order)) {
            return;
        }
        self.rollouts.attempts.retain(|_, attempt| attempt.service != service);
        self.rollouts.known.insert(service, Rollout::new(order, false, now));
        self.has_changes = true;
        self.review_engines(now);
    }

    /// Adds the rows that were read in the shared store.
    pub(super) fn rollouts_read(&mut self, now: Instant, read: &Read) {
        self.rollouts.read_ended = Some(now);
        if self.rollouts.exposure.is_none() {
            return;
        }
        for (service, row) in &read.rows {
            let is_newer = |known: &Rollout| {
                row.era == read.era
                    && row.order.version > known.order()
                    && row.order.to != *known.to()
            };
            let known = self.rollouts.known.get(service);
            if known.map_or(!row.step.is_final(), is_newer) {
                let rollout = Rollout::new(row.order.clone(), true, now);
                self.rollouts.known.insert(service.clone(), rollout);
            }
        }
        for (service, rollout) in &mut self.rollouts.known {
            let row = read.rows.iter().find(|(of, _)| of == service);
            let before = rollout.step();
            rollout.follow(row.map(|(_, row)| row.clone()), read, now);
            if let Some(step) = rollout.step().filter(|step| before != Some(*step)) {
                self.has_changes = true;
                // A write that had no effect is repeated after its timeout only.
                self.rollouts.write_began = None;
                let (service, to) = (service.clone(), rollout.to().clone());
                self.actions.push(Action::ReportRollout { service, to, step, before });
            }
        }
        self.review_engines(now);
        self.dispatch_waiting(now);
    }

    /// Records that an upstream is slow for this long, as it has just started.
    pub(super) fn warming(&mut self, now: Instant, upstream: id::Upstream, time: Duration) {
        self.rollouts.cold_until.retain(|_, until| now < *until);
        self.rollouts.cold_until.insert(upstream, now + time);
    }

    /// Counts a request that arrived.
    pub(super) fn count_request(&mut self, call: &Call) {
        if let Some(rollout) = self.rollouts.known.get_mut(&call.service)
            && !call.is_delegated()
        {
            rollout.ledger.own.requests += 1;
        }
    }

    /// Records that a request was sent to an upstream.
    pub(super) fn count_sent(&mut self, now: Instant, call: &Call, upstream: &id::Upstream) {
        let Some(rollout) = self.rollouts.known.get_mut(&call.service) else { return };
        let Some(known) = self.fleet.get(upstream) else { return };
        let is_new = known.registration.release.as_ref() == Some(rollout.to());
        let side = if is_new { Side::New } else { Side::Old };
        rollout.ledger.own.exposed += u64::from(is_new);
        let is_cold = self.rollouts.cold_until.get(upstream).is_some_and(|until| now < *until);
        let (service, route) = (call.service.clone(), call.route);
        let attempt = Attempt { service, route, side, sent: now, first: None, is_cold };
        self.rollouts.attempts.insert(call.id, attempt);
    }

    /// Counts the time to the first byte or event of an answer.
    pub(super) fn count_first(&mut self, now: Instant, id: id::Request) {
        let Some(attempt) = self.rollouts.attempts.get_mut(&id) else { return };
        if attempt.first.replace(now).is_some() {
            return;
        }
        let time = now.saturating_duration_since(attempt.sent);
        if let Some(rollout) = self.rollouts.known.get_mut(&attempt.service)
            && !attempt.is_cold
        {
            rollout.ledger.own.counts_mut(attempt.route, attempt.side).first.record(time);
        }
    }

    /// Counts how an attempt ended. What was not run, or given up by its caller, is no
    /// answer.
    pub(super) fn count_ended(&mut self, now: Instant, id: id::Request, how: Ended) {
        let Some(attempt) = self.rollouts.attempts.remove(&id) else { return };
        let Some(rollout) = self.rollouts.known.get_mut(&attempt.service) else { return };
        let counts = rollout.ledger.own.counts_mut(attempt.route, attempt.side);
        match how {
            Ended::Whole { tokens } => {
                counts.answers += 1;
                let answering = attempt.first.map(|first| now.saturating_duration_since(first));
                if let Some(time) = answering.filter(|_| tokens.0 > 1 && !attempt.is_cold) {
                    counts.pause.record(time / (tokens.0 - 1));
                }
            }
            Ended::Failed | Ended::Broken | Ended::Cut | Ended::TimedOut => {
                counts.answers += 1;
                counts.failures += 1;
            }
            Ended::Abandoned => {
                let waited = now.saturating_duration_since(attempt.sent);
                if attempt.first.is_none() && waited >= PENDING_TIME && !attempt.is_cold {
                    counts.first.record(waited);
                }
            }
            Ended::NotSent | Ended::NotRun { .. } | Ended::Declined { .. } => {}
        }
    }

    /// What this instance counted of a service, with answers that are overdue.
    fn own_tally(&self, service: &id::Service, own: &Tally, now: Instant) -> Tally {
        let mut tally = own.clone();
        let is_overdue = |attempt: &&Attempt| {
            let waited = now.saturating_duration_since(attempt.sent);
            attempt.service == *service
                && attempt.first.is_none()
                && !attempt.is_cold
                && waited >= PENDING_TIME
        };
        for attempt in self.rollouts.attempts.values().filter(is_overdue) {
            let waited = now.saturating_duration_since(attempt.sent);
            tally.counts_mut(attempt.route, attempt.side).first.record(waited);
        }
        tally
    }

    /// The versions that may get a request, the preferred ones first.
    fn paths(&self, now: Instant, call: &Call, is_retry: bool) -> Vec<Admitted> {
        let rollout = self.rollouts.known.get(&call.service);
        let (Some(rollout), Some(exposure)) = (rollout, &self.rollouts.exposure) else {
            return vec![Admitted::Any];
        };
        let lot = stable_hash((self.options.location.instance.as_str(), call.id)) % 1_000_000;
        let lot = lot as f64 / 1e6;
        let limits = (exposure, self.instances());
        let paths = rollout.paths(&call.origin, lot, is_retry, limits, now);
        let has_any = |admitted: &Admitted| self.fleet.has_admitted(&call.service, admitted);
        // Where only one version is left, requests are not refused for want of the other.
        // A version that proved to be bad gets none all the same.
        let is_stuck =
            !rollout.is_condemned() && call.origin == Origin::Fresh && !paths.iter().any(has_any);
        if is_stuck { vec![Admitted::Any] } else { paths }
    }

    /// Whether a version that may answer a request that resumes a stream may still get it.
    pub(super) fn may_resume(&self, now: Instant, call: &Call) -> bool {
        let Origin::Release(release) = &call.origin else { return true };
        self.rollouts.is_idle()
            || self.paths(now, call, true).iter().any(|path| path.allows(Some(release)))
    }

    /// Whether all versions that may get a request were found full before in this pass.
    pub(super) fn is_known_full(&self, now: Instant, held: &Held, full: &Full) -> bool {
        if full.is_empty() {
            return false;
        }
        let key = |admitted| (held.call.service.clone(), held.call.prompt.0 == 0, admitted);
        let mut paths = self.paths(now, &held.call, held.sent > 0).into_iter();
        paths.all(|admitted| full.contains(&key(admitted)))
    }

    /// Chooses an upstream of the versions that may get a request; `full` are the ones
    /// that were found full before in this pass.
    pub(super) fn choose(
        &self,
        now: Instant,
        held: &Held,
        excluded: &[id::Upstream],
        visibility: Visibility,
        full: &mut Full,
    ) -> Choice {
        let call = &held.call;
        let is_plain = call.prompt.0 == 0;
        let is_unrestricted = excluded.is_empty() && call.origin == Origin::Fresh;
        let mut choice = Choice::NoUpstream;
        for admitted in self.paths(now, call, held.sent > 0) {
            let is_full = |(service, plain, of): &(id::Service, bool, Admitted)| {
                *service == call.service && *plain == is_plain && *of == admitted
            };
            if is_unrestricted && full.iter().any(is_full) {
                choice = Choice::Full;
                continue;
            }
            let found = self.fleet.choose(call, excluded, &admitted, visibility, now);
            match found {
                Choice::Send(..) => return found,
                Choice::Full if is_unrestricted => {
                    full.push((call.service.clone(), is_plain, admitted));
                    choice = Choice::Full;
                }
                Choice::Wait | Choice::Full => choice = found,
                Choice::NoUpstream => {}
            }
        }
        choice
    }

    /// The same where no upstream can be reached.
    pub(super) fn choose_unreached(
        &self,
        now: Instant,
        held: &Held,
        excluded: &[id::Upstream],
        visibility: Visibility,
    ) -> Choice {
        let paths = self.paths(now, &held.call, held.sent > 0);
        let Some(admitted) = paths.last() else { return Choice::NoUpstream };
        self.fleet.choose_unreached(&held.call, excluded, admitted, visibility, now)
    }

    /// What this instance sees of the engines of a service.
    fn engines_of(&self, service: &id::Service, to: &id::Release) -> Engines {
        let mut engines = Engines::default();
        let of_service = |u: &&Upstream| u.registration.service == *service;
        for upstream in self.fleet.iter().filter(of_service) {
            let is_new = upstream.registration.release.as_ref() == Some(to);
            let running = upstream.own_running();
            engines.running += running;
            if is_new {
                engines.has_new |= upstream.takes_work();
                let slots = if upstream.takes_work() { upstream.registration.slots } else { 0 };
                engines.new_slots = engines.new_slots.saturating_add(slots);
            } else {
                engines.has_old |= upstream.takes_work();
                engines.old_running += running;
            }
        }
        engines
    }

    fn review_engines(&mut self, now: Instant) {
        let services: Vec<_> = self.rollouts.known.keys().cloned().collect();
        for service in services {
            let Some(rollout) = self.rollouts.known.get(&service) else { continue };
            let engines = self.engines_of(&service, rollout.to());
            let own = self.own_tally(&service, &rollout.ledger.own, now);
            let Some(rollout) = self.rollouts.known.get_mut(&service) else { continue };
            let was_condemned = rollout.is_condemned();
            rollout.ledger.expire(now);
            // Overdue answers count in the verdict, and are counted again once they end.
            let counted = std::mem::replace(&mut rollout.ledger.own, own);
            rollout.update_engines(engines, now);
            rollout.ledger.own = counted;
            if rollout.is_condemned() && !was_condemned {
                self.has_changes = true;
                let to = rollout.to().clone();
                self.actions.push(Action::ReportCondemned { service, to });
            }
        }
    }

    /// Reviews the rollouts: reads the rows where they may have changed, and writes the
    /// next step where it is this instance's turn.
    pub(super) fn review_rollouts(&mut self, now: Instant) {
        if self.rollouts.is_idle() {
            return;
        }
        let since =
            |at: Option<Instant>| at.map_or(Duration::MAX, |at| now.saturating_duration_since(at));
        let interval = if self.is_full_mesh() { REVIEW_INTERVAL } else { LONG_REVIEW_INTERVAL };
        if since(self.rollouts.reviewed_at) < interval {
            return;
        }
        self.rollouts.reviewed_at = Some(now);
        self.review_engines(now);
        self.read_rollouts(now);
        if self.is_poller() && since(self.rollouts.write_began) >= STORE_TIMEOUT {
            self.write_rollout(now);
        }
    }

    fn read_rollouts(&mut self, now: Instant) {
        let rollouts = &mut self.rollouts;
        let elapsed = rollouts.read_began.map(|at| now.saturating_duration_since(at));
        let is_reading = rollouts.read_began > rollouts.read_ended;
        let is_behind = rollouts.known.values().any(Rollout::is_behind);
        let interval = match (is_reading, is_behind) {
            (true, _) => STORE_TIMEOUT,
            (false, true) => NEWS_READ_INTERVAL,
            (false, false) => READ_INTERVAL,
        };
        let is_due = elapsed.is_none_or(|elapsed| elapsed >= interval);
        if is_due && rollouts.known.values().any(Rollout::wants_read) {
            rollouts.read_began = Some(now);
            self.actions.push(Action::ReadRollouts);
        }
    }

    fn write_rollout(&mut self, now: Instant) {
        let judge = &self.options.location.instance;
        let delay = WRITE_DELAY * self.write_rank();
        let mut wanted = HashMap::new();
        let mut due = None;
        for (service, rollout) in &self.rollouts.known {
            let is_idle = self.is_old_idle(service, now);
            let Some(change) = rollout.change(service, judge, is_idle, now) else { continue };
            let before = self.rollouts.wanted.get(service);
            let same = before.filter(|(step, _)| *step == change.step);
            let since = same.map_or(now, |(_, since)| *since);
            wanted.insert(service.clone(), (change.step, since));
            if now.saturating_duration_since(since) >= delay && rollout.is_current(now) {
                due = Some(change);
            }
        }
        self.rollouts.wanted = wanted;
        if let Some(change) = due {
            self.rollouts.write_began = Some(now);
            self.actions.push(Action::WriteRollout(change));
        }
    }

    /// How many instances write before this one: those of its zone that poll the store
    /// and come before it, by a hash.
    fn write_rank(&self) -> u32 {
        let own = stable_hash(self.options.location.instance.as_str());
        let zone = &self.options.location.zone;
        let is_full_mesh = self.is_full_mesh();
        let is_before = |(id, peer): &(&id::Instance, &super::Peer)| {
            let is_heard = !peer.is_silent && !peer.leaving;
            is_heard && (is_full_mesh || peer.zone == *zone) && stable_hash(id.as_str()) < own
        };
        self.peers.iter().filter(is_before).count() as u32
    }

    /// Whether all instances know that the old version gets nothing more, and nothing of
    /// theirs runs there.
    fn is_old_idle(&self, service: &id::Service, now: Instant) -> bool {
        let Some(rollout) = self.rollouts.known.get(service) else { return false };
        let is_ended = |trial: &Trial| trial.step >= Step::Closing.rank() && trial.old_running == 0;
        let is_full_mesh = self.is_full_mesh();
        let zone = &self.options.location.zone;
        let mut peers = self.peers.iter().filter(|(_, p)| is_full_mesh || p.zone == *zone);
        let has_reported = |(id, peer): (&id::Instance, &super::Peer)| {
            let report = rollout.ledger.of_peer(&(id.clone(), peer.incarnation()), now);
            !peer.is_silent && report.is_some_and(is_ended)
        };
        let has_silent = self.zones.populations(now).any(|(_, zone)| zone.silent > 0);
        let zones: BTreeSet<_> = self.zones.populations(now).map(|(zone, _)| zone).collect();
        peers.all(has_reported)
            && !has_silent
            && zones.into_iter().all(|zone| rollout.ledger.has_zone(zone))
            && rollout.ledger.all_zones(now, is_ended)
    }

    /// What peers have to know of rollouts.
    pub(super) fn trials(&self, now: Instant) -> Vec<Trial> {
        let message = |(service, rollout): (&id::Service, &Rollout)| {
            let own = self.own_tally(service, &rollout.ledger.own, now);
            rollout.message(service, own, now)
        };
        self.rollouts.known.iter().filter_map(message).collect()
    }

    /// What a relay reports of its zone.
    pub(super) fn zone_trials(&self, now: Instant) -> Vec<Trial> {
        let zone = &self.options.location.zone;
        let mut trials = self.trials(now);
        for trial in &mut trials {
            let Some(rollout) = self.rollouts.known.get(&trial.service) else { continue };
            trial.tally = rollout.ledger.heard();
            for (id, peer) in self.peers.iter().filter(|(_, peer)| peer.zone == *zone) {
                let report = rollout.ledger.of_peer(&(id.clone(), peer.incarnation()), now);
                trial.step = trial.step.min(report.map_or(0, |report| report.step));
                trial.running += report.map_or(0, |report| report.running);
                trial.old_running += report.map_or(0, |report| report.old_running);
            }
        }
        trials
    }

    /// The versions that this instance knows to be bad.
    pub(super) fn condemned(&self) -> Vec<Condemned> {
        let is_told = |(_, rollout): &(&id::Service, &Rollout)| rollout.is_condemned();
        let condemned = self.rollouts.known.iter().filter(is_told);
        let message = |(service, rollout): (&id::Service, &Rollout)| Condemned {
            service: service.clone(),
            to: rollout.to().clone(),
            order: rollout.order(),
        };
        condemned.map(message).collect()
    }

    /// Adds what a peer knows of rollouts; `zone` is that of a relay's digest.
    pub(super) fn receive_trials(
        &mut self,
        now: Instant,
        from: &(id::Instance, id::Incarnation),
        zone: Option<&id::Zone>,
        trials: Vec<Trial>,
    ) {
        if self.rollouts.exposure.is_none() {
            return;
        }
        for trial in trials {
            let known = self.rollouts.known.get(&trial.service);
            let is_final = Step::from_rank(trial.step).is_some_and(Step::is_final);
            let is_news = known.map_or(!is_final, |known| trial.order > known.order());
            if is_news {
                let order = Order {
                    to: trial.to.clone(),
                    name: trial.to.to_string(),
                    duration: None,
                    version: trial.order,
                };
                let is_same = known.is_some_and(|known| known.repeat_told(&order));
                if !is_same {
                    let rollout = Rollout::new(order, true, now);
                    self.rollouts.known.insert(trial.service.clone(), rollout);
                    self.has_changes = true;
                }
            }
            let Some(rollout) = self.rollouts.known.get_mut(&trial.service) else { continue };
            if *rollout.to() != trial.to {
                continue;
            }
            match zone {
                Some(zone) => rollout.ledger.receive_zone(zone.clone(), trial, now),
                None => rollout.ledger.receive(from.clone(), trial, now),
            }
        }
    }

    /// Stops sending to versions that a peer knows to be bad.
    pub(super) fn receive_condemned(&mut self, condemned: &[Condemned]) {
        for Condemned { service, to, order } in condemned {
            let known = self.rollouts.known.get_mut(service);
            let known = known.filter(|known| known.to() == to && known.order() == *order);
            if known.is_some_and(Rollout::condemn) {
                self.has_changes = true;
                let (service, to) = (service.clone(), to.clone());
                self.actions.push(Action::ReportCondemned { service, to });
            }
        }
    }
}
