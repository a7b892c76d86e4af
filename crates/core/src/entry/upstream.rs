//! One upstream as an instance knows it: the load that this instance and its
//! peers put on it, its speed and its health.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::call::Call;
use super::gossip;
use super::limit::{Group, Limit};
use super::pace::Pace;
use super::reach::Path;
use super::rejection;
use crate::hash::stable_hash;
use crate::id;
use crate::unit::{RequestRate, Tokens};

/// The longest pause of an upstream that rejects requests.
const MAX_REJECTION_PAUSE: Duration = Duration::from_secs(4);
/// An upstream is silent that has not begun to answer a request for this long ...
const MIN_SILENCE: Duration = Duration::from_millis(600);
/// ... and for this many times the expected time.
const SILENCE_FACTOR: u32 = 4;
/// The first pause of an upstream that rejects one request after the other; it
/// looks idle, and without a pause would attract all waiting requests.
const REJECTION_PAUSE: Duration = Duration::from_millis(150);
/// The pause after a rejection of an upstream that crashes beyond so many per second.
const LIMITED_REJECTION_PAUSE: Duration = Duration::from_secs(1);
/// This many consecutive rejections cause no pause.
const TOLERATED_REJECTIONS: u32 = 1;
/// The weight of a new outcome in the failure rate.
const FAILURE_WEIGHT: f64 = 0.25;
/// The time in which the failure rate halves without new outcomes, so that a
/// failing upstream is used again from time to time.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(4);
/// The cost of an attempt that is certain to fail, as time.
const FAILURE_COST: Duration = Duration::from_millis(2_500);
/// The cost of sending to another availability zone, as time.
const ZONE_COST: Duration = Duration::from_millis(30);
/// The smallest range of the cost that spreads instances over different upstreams.
const MIN_SPREAD_COST: Duration = Duration::from_millis(25);
/// An idle upstream from which nothing came for this long may be tried whatever its
/// estimate says, so that an estimate that is wrong can be corrected.
const TRIAL_INTERVAL: Duration = Duration::from_secs(2);
/// How many requests per slot a plain service is sent: it queues some, and the
/// order among them matters little.
const PLAIN_REQUESTS_PER_SLOT: u32 = 2;
/// The same where the instances of a zone share it without a full mesh.
const SHARED_PLAIN_REQUESTS_PER_SLOT: u32 = 4;

/// Where an instance runs.
#[derive(Clone, Debug)]
pub struct Location {
    /// Its identifier.
    pub instance: id::Instance,
    /// Its availability zone.
    pub zone: id::Zone,
}

/// How much an instance knows of its peers' loads.
#[derive(Clone, Copy, Debug)]
pub struct Visibility {
    /// Whether it receives the loads of peers in other availability zones.
    pub is_full_mesh: bool,
    /// How old received loads may be: instances that act on the same old state
    /// are spread over different upstreams by a cost of this range.
    pub max_age: Duration,
    /// The instances whose loads it knows, including itself.
    pub instances: u32,
}

/// An upstream's entry in the directory.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Registration {
    /// Its identifier.
    pub id: id::Upstream,
    /// Its service.
    pub service: id::Service,
    /// Its address.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: id::Zone,
    /// The most requests that it runs at once.
    pub slots: u32,
    /// The incarnation of the upstream: another value means another process.
    pub incarnation: u64,
    /// The version of its software; none if it is not known.
    pub release: Option<id::Release>,
    /// Whether it takes no new work.
    pub leaving: bool,
}

/// An attempt of this instance that runs on an upstream.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    /// The incarnation of the upstream that it was sent to.
    incarnation: u64,
    started: Instant,
    prompt: Tokens,
    /// Prompt tokens that were to be processed up to and including this request.
    work: Tokens,
    first: Option<Instant>,
}

/// A peer's load on an upstream.
#[derive(Clone, Copy, Debug)]
struct Load {
    running: u32,
    prefill: Tokens,
}

/// An upstream.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Its entry in the directory.
    pub registration: Registration,
    /// Its estimated speed.
    pub pace: Pace,
    running: BTreeMap<id::Request, Attempt>,
    peer_loads: HashMap<id::Instance, Load>,
    failures: f64,
    failures_at: Option<Instant>,
    /// Whether this instance can reach it.
    pub(super) path: Path,
    paused_until: Option<Instant>,
    /// Requests that it rejected since it last accepted one.
    rejections: u32,
    limit: Option<Limit>,
    /// The rejections beyond which it crashes.
    pub(super) rejection_limit: rejection::Limit,
    /// Requests that this instance has sent to it.
    sent: u64,
    is_removed: bool,
}

/// The expected times of a request on an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Estimate {
    /// The time to the first token or byte.
    pub first: Duration,
    /// The time to the end of the answer, plus penalties for recent failures and
    /// for another availability zone, and a share that spreads instances.
    pub cost: Duration,
}

impl Upstream {
    /// An upstream of which only its registration is known.
    pub(super) fn new(registration: Registration) -> Self {
        Self {
            registration,
            pace: Pace::default(),
            running: BTreeMap::new(),
            peer_loads: HashMap::new(),
            failures: 0.0,
            failures_at: None,
            path: Path::default(),
            paused_until: None,
            rejections: 0,
            limit: None,
            rejection_limit: rejection::Limit::default(),
            sent: 0,
            is_removed: false,
        }
    }

    /// Whether it may get new requests.
    pub fn is_open(&self, now: Instant) -> bool {
        self.path.is_open() && self.accepts_work(now)
    }

    /// Whether it may get new requests where no other upstream can be reached: it may
    /// be reached again by now.
    pub(super) fn may_be_tried(&self, now: Instant) -> bool {
        self.path.retry_at().is_none_or(|at| now >= at) && self.accepts_work(now)
    }

    /// Whether it takes new work and asked for no pause.
    fn accepts_work(&self, now: Instant) -> bool {
        let paused = self.paused_until.is_some_and(|until| now < until);
        self.takes_work() && !paused
    }

    /// Whether it takes new work, now or after a pause.
    pub(super) fn takes_work(&self) -> bool {
        !self.is_removed && !self.registration.leaving
    }

    /// Requests that run on it, as far as this instance knows.
    pub fn running(&self) -> u32 {
        let of_peers = self.peer_loads.values().map(|load| load.running);
        of_peers.fold(self.own_running(), u32::saturating_add)
    }

    /// Requests that run on it by what this peer reported.
    pub(super) fn peer_running(&self, peer: &id::Instance) -> u32 {
        self.peer_loads.get(peer).map_or(0, |load| load.running)
    }

    /// Requests of this instance that run on it.
    pub fn own_running(&self) -> u32 {
        self.running.len() as u32
    }

    /// Whether it has a free slot, or a short queue, for one more request.
    ///
    /// A plain service answers many requests before the loads of many peers
    /// are received. Outside a full mesh, each instance therefore uses an equal
    /// share of its slots and its queue instead.
    pub(super) fn has_room(&self, call: &Call, visibility: Visibility) -> bool {
        if let Some(share) = self.rejection_limit.share() {
            return self.own_running() < share && self.running() < self.registration.slots;
        }
        if call.prompt.0 > 0 {
            return self.running() < self.registration.slots;
        }
        if visibility.is_full_mesh {
            return self.running()
                < self.registration.slots.saturating_mul(PLAIN_REQUESTS_PER_SLOT);
        }
        let share = self.registration.slots.saturating_mul(SHARED_PLAIN_REQUESTS_PER_SLOT)
            / visibility.instances.max(1);
        self.own_running() < share.max(1)
    }

    /// When the attempt of a request that runs on it was sent.
    pub fn started(&self, request: id::Request) -> Option<Instant> {
        self.running.get(&request).map(|attempt| attempt.started)
    }

    /// The incarnation to which a request that runs on it was sent.
    pub(super) fn incarnation_of(&self, request: id::Request) -> Option<u64> {
        self.running.get(&request).map(|attempt| attempt.incarnation)
    }

    /// The prompt tokens that are to be processed on it.
    pub(super) fn prefill_work(&self) -> Tokens {
        Tokens(self.prefill())
    }

    fn own_prefill(&self) -> u32 {
        let prompts = self.running.values().filter(|r| r.first.is_none()).map(|r| r.prompt.0);
        prompts.fold(0, u32::saturating_add)
    }

    fn prefill(&self) -> u32 {
        let of_peers = self.peer_loads.values().map(|load| load.prefill.0);
        of_peers.fold(self.own_prefill(), u32::saturating_add)
    }

    fn failure_rate(&self, now: Instant) -> f64 {
        let Some(at) = self.failures_at else { return 0.0 };
        let elapsed = now.saturating_duration_since(at).as_secs_f64();
        self.failures * 0.5f64.powf(elapsed / FAILURE_HALF_LIFE.as_secs_f64())
    }

    /// The time to the first token or byte if nothing else ran on it.
    pub fn idle_time_to_first(&self, call: &Call) -> Duration {
        if call.prompt.0 == 0 {
            return self.pace.call_time();
        }
        self.pace.time_to_first_token(call.prompt)
    }

    /// The time to the end of the answer if nothing else ran on it.
    pub(super) fn idle_time_to_end(&self, call: &Call) -> Duration {
        let rest = match call.prompt.0 {
            0 => Duration::ZERO,
            _ => self.pace.answer_time(call.answer, 0),
        };
        self.idle_time_to_first(call) + rest
    }

    /// Whether its estimate is no reason to withhold a request: it runs nothing, and
    /// this instance has seen no outcome from it for [`TRIAL_INTERVAL`].
    pub(super) fn is_trial_due(&self, now: Instant) -> bool {
        let is_seen =
            self.failures_at.is_some_and(|at| now.saturating_duration_since(at) < TRIAL_INTERVAL);
        self.running() == 0 && !is_seen
    }

    /// The time to the first token or byte that no request can expect to undercut.
    pub(super) fn least_time_to_first(&self, call: &Call, now: Instant) -> Duration {
        if self.is_trial_due(now) {
            return Duration::ZERO;
        }
        self.idle_time_to_first(call)
    }

    pub(super) fn estimate(
        &self,
        call: &Call,
        now: Instant,
        location: &Location,
        visibility: Visibility,
    ) -> Estimate {
        let (first, end) = if call.prompt.0 == 0 {
            let first = self.pace.call_time();
            let load = f64::from(self.running()) / f64::from(self.registration.slots.max(1));
            (first, first.mul_f64(1.0 + load))
        } else {
            let first =
                self.pace.time_to_first_token(Tokens(self.prefill().saturating_add(call.prompt.0)));
            (first, first + self.pace.answer_time(call.answer, self.running()))
        };
        let zone = if self.registration.zone == location.zone { Duration::ZERO } else { ZONE_COST };
        let offset =
            stable_hash((location.instance.as_str(), self.registration.id.as_str())) % 1_024;
        let penalty = FAILURE_COST.mul_f64(self.failure_rate(now))
            + zone
            + MIN_SPREAD_COST.max(visibility.max_age).mul_f64(offset as f64 / 1_024.0);
        Estimate { first, cost: end + penalty }
    }

    pub(super) fn record_outcome(&mut self, is_failure: bool, now: Instant) {
        let rate = self.failure_rate(now);
        let outcome = if is_failure { 1.0 } else { 0.0 };
        self.failures = rate + FAILURE_WEIGHT * (outcome - rate);
        self.failures_at = Some(now);
    }

    pub(super) fn record_rejection(&mut self, now: Instant) {
        let beyond = self.rejections.saturating_sub(TOLERATED_REJECTIONS);
        if self.rejection_limit.per_second().is_some() {
            self.pause_until(now + LIMITED_REJECTION_PAUSE);
        }
        if self.rejections >= TOLERATED_REJECTIONS {
            let pause = REJECTION_PAUSE * 2u32.pow(beyond.min(8));
            self.pause_until(now + pause.min(MAX_REJECTION_PAUSE));
        }
        self.rejections += 1;
        self.path.record_answer();
    }

    fn reset_backoff(&mut self) {
        self.path.record_answer();
        self.rejections = 0;
    }

    /// Pauses it until then, or longer where a longer pause is in force.
    pub(super) fn pause_until(&mut self, until: Instant) {
        self.paused_until = self.paused_until.max(Some(until));
    }

    /// When its pause ends or it may be reached again, unless it takes no new work
    /// then either.
    pub(super) fn opens_at(&self) -> Option<Instant> {
        self.paused_until.max(self.path.retry_at()).filter(|_| self.takes_work())
    }

    /// Whether it has not begun to answer a request for much longer than expected.
    pub(super) fn is_silent(&self, now: Instant) -> bool {
        let is_late = |attempt: &Attempt| {
            let expected = self.pace.time_to_first_token(attempt.work).max(self.pace.call_time());
            let silence = MIN_SILENCE.max(expected * SILENCE_FACTOR);
            attempt.first.is_none() && now.saturating_duration_since(attempt.started) >= silence
        };
        self.running.values().any(is_late)
    }

    /// Updates its registration; returns whether it is another process, takes new
    /// work or none from now on, or was not registered before.
    pub(super) fn update_registration(&mut self, registration: Registration) -> bool {
        if self.registration.incarnation != registration.incarnation {
            // Another process: only the attempts that run are carried over.
            let running = std::mem::take(&mut self.running);
            let rejection_limit = std::mem::take(&mut self.rejection_limit);
            *self = Self { running, rejection_limit, ..Self::new(registration) };
            return true;
        }
        let has_changed = self.registration.leaving != registration.leaving || self.is_removed;
        self.is_removed = false;
        self.registration = registration;
        has_changed
    }

    /// Records that it is no longer registered.
    pub(super) fn deregister(&mut self) {
        self.is_removed = true;
    }

    /// Whether it is no longer registered and nothing of this instance runs on it.
    pub(super) fn is_unused(&self) -> bool {
        self.is_removed && self.running.is_empty()
    }

    /// Records that a request was sent.
    pub(super) fn record_sent(&mut self, call: &Call, now: Instant) {
        let work = Tokens(self.prefill().saturating_add(call.prompt.0));
        let incarnation = self.registration.incarnation;
        let attempt = Attempt { incarnation, started: now, prompt: call.prompt, work, first: None };
        self.running.insert(call.id, attempt);
        self.sent += 1;
        if let Some(limit) = &mut self.limit {
            limit.record_sent(now);
        }
    }

    /// The limit that it named.
    pub fn limit(&self) -> Option<RequestRate> {
        self.limit.as_ref().and_then(Limit::rate)
    }

    /// Whether it names a limit, or did so before.
    pub fn was_limited(&self) -> bool {
        self.limit.is_some()
    }

    /// Whether its limit allows this instance one more request now.
    pub(super) fn is_within_limit(&self, now: Instant) -> bool {
        self.limit.as_ref().is_none_or(|limit| limit.has_room(now))
    }

    /// Records the limit that it named, or that it named none, in an answer to a
    /// request that was sent at `sent`; returns whether that changes its limit.
    pub(super) fn state_limit(
        &mut self,
        rate: Option<RequestRate>,
        sent: Instant,
        now: Instant,
    ) -> bool {
        match (&mut self.limit, rate) {
            (Some(limit), rate) => limit.state(rate, sent, now),
            (None, None) => false,
            (None, Some(rate)) => {
                self.limit = Some(Limit::new(rate, now, now));
                true
            }
        }
    }

    /// Adds what a peer knows of its limit; returns whether that changes it.
    pub(super) fn receive_limit(&mut self, limit: &gossip::Limit, now: Instant) -> bool {
        match (&mut self.limit, limit.rate) {
            (Some(known), _) => known.receive(limit, now),
            (None, None) => false,
            (None, Some(rate)) => {
                let stated_at = now.checked_sub(limit.age).unwrap_or(now);
                self.limit = Some(Limit::new(rate, stated_at, now));
                true
            }
        }
    }

    /// Counts what a peer has sent to it.
    pub(super) fn record_peer_sent(
        &mut self,
        peer: &id::Instance,
        incarnation: id::Incarnation,
        sent: u64,
        now: Instant,
    ) {
        if let Some(limit) = &mut self.limit {
            limit.record_peer(peer, incarnation, sent, now);
        }
    }

    /// Updates this instance's turn at its limit, and its part of the slots.
    pub(super) fn update_turn(&mut self, group: Option<&Group>, now: Instant) {
        if let Some(limit) = &mut self.limit {
            let rate = limit.rate();
            let turn = group.zip(rate).and_then(|(g, rate)| g.turn(&self.registration.id, rate));
            limit.set_turn(turn, now);
        }
        if self.rejection_limit.per_second().is_some() {
            let Registration { id, slots, .. } = &self.registration;
            self.rejection_limit.update_share(group, id, *slots, now);
        }
    }

    /// The slots that this instance can use.
    pub(super) fn reachable_slots(&self) -> u32 {
        let slots = if self.path.is_open() { self.registration.slots } else { 0 };
        self.rejection_limit.share().map_or(slots, |share| slots.min(share))
    }

    /// What peers have to know of its limit, and whether that is news.
    pub(super) fn limit_message(&self, now: Instant) -> Option<(bool, gossip::Limit)> {
        let Registration { id, incarnation, .. } = &self.registration;
        let limit = self.limit.as_ref()?;
        Some((limit.is_news(now), limit.message(id, *incarnation, self.sent, now)))
    }

    /// Records the first byte or event of an answer.
    pub(super) fn record_first_byte(&mut self, request: id::Request, now: Instant) {
        self.reset_backoff();
        let Some(attempt) = self.running.get_mut(&request) else { return };
        if attempt.first.is_some() || attempt.prompt.0 == 0 {
            return;
        }
        attempt.first = Some(now);
        let (work, taken) = (attempt.work, now.saturating_duration_since(attempt.started));
        self.pace.observe_first_token(work, taken);
    }

    /// Records that an attempt ended; `tokens` are given for a complete answer.
    pub(super) fn record_ended(
        &mut self,
        request: id::Request,
        tokens: Option<Tokens>,
        now: Instant,
    ) {
        let Some(attempt) = self.running.remove(&request) else { return };
        let Some(tokens) = tokens else { return };
        self.reset_backoff();
        match attempt.first {
            Some(first) => {
                self.pace.observe_answer(tokens, now.saturating_duration_since(first));
            }
            None if attempt.prompt.0 == 0 => {
                self.pace.observe_call(now.saturating_duration_since(attempt.started));
            }
            None => {}
        }
    }

    /// Whether its slots are all that limits it.
    pub(super) fn is_limited_by_slots(&self) -> bool {
        self.limit().is_none() && self.rejection_limit.per_second().is_none()
    }

    /// Updates the load of a peer.
    pub(super) fn update_peer(&mut self, from: &id::Instance, load: &gossip::Load, now: Instant) {
        self.pace.merge(&load.pace);
        self.rejection_limit.receive(load.rejection_limit, now);
        if load.running > 0 {
            let peer_load = Load { running: load.running, prefill: load.prefill };
            self.peer_loads.insert(from.clone(), peer_load);
        }
    }

    /// Removes the load of a peer.
    pub(super) fn remove_peer(&mut self, peer: &id::Instance) {
        self.peer_loads.remove(peer);
    }

    /// This instance's load on it, for peers.
    pub(super) fn load(&self) -> gossip::Load {
        gossip::Load {
            upstream: self.registration.id.clone(),
            running: self.own_running(),
            prefill: Tokens(self.own_prefill()),
            pace: self.pace,
            rejection_limit: self.rejection_limit.per_second(),
        }
    }
}
