//! Decides which request is sent to which upstream and when, and which is
//! refused.

mod attempts;
mod crashes;
mod delegations;
mod event;
mod peers;
mod refusals;
mod resumptions;
mod rollouts;
mod spill;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::admission::Drains;
use super::backlog::{Backlog, Waiting};
use super::baseline::Baselines;
use super::budget::{Allowance, Budget};
use super::call::{Call, Origin, Reason};
use super::ending::Ending;
use super::fleet::{Choice, Fleet};
use super::gossip;
use super::plan::Plan;
use super::quarantine::Quarantine;
use super::quota::{Counting, Quota};
use super::streams::Streams;
use super::upstream::Location;
use super::watermark::{Era, Watermark};
use super::zones::{Population, Zones};
use crate::hash::stable_hash;
use crate::id;

pub use event::{Action, Audience, Event, Spill};
use peers::Peer;
use refusals::retry_after;
use rollouts::Rollouts;

/// The time between two [`Event::Tick`]s.
pub const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// The most waiting requests for which one pass looks for an upstream.
const CANDIDATES_PER_PASS: usize = 64;
/// After so many requests of a service for which those with room are too slow, a pass goes
/// on with other services, whose upstreams may be idle.
const MAX_WAITS_PER_SERVICE: usize = 16;

/// The settings of a scheduler.
#[derive(Clone, Debug)]
pub struct Options {
    /// Where this instance runs.
    pub location: Location,
    /// This instance's incarnation.
    pub incarnation: id::Incarnation,
    /// The limit on retries.
    pub allowance: Allowance,
    /// How quotas are counted.
    pub counting: Counting,
    /// Whether the system was running before this instance started.
    pub is_joining: bool,
}

/// A request that waits or runs.
#[derive(Debug)]
struct Held {
    call: Call,
    /// The upstream of the attempt that runs.
    upstream: Option<id::Upstream>,
    /// The peer that carries out the attempt that runs, if it was delegated.
    delegate: Option<id::Instance>,
    /// Peers that sent it to no upstream.
    declined: Vec<id::Instance>,
    /// Attempts, except those that sent nothing.
    sent: u32,
    /// Attempts that sent nothing.
    unsent: u32,
    /// Upstreams on which an attempt failed.
    excluded: Vec<id::Upstream>,
    /// Whether an attempt may have run.
    may_have_run: bool,
    /// Attempts that may have crashed their upstream.
    lost: u32,
    /// Whether its first event begins a stream.
    begins_stream: bool,
}

/// The scheduler of one instance.
#[derive(Debug)]
pub struct Scheduler {
    options: Options,
    plan: Arc<Plan>,
    fleet: Fleet,
    backlog: Backlog,
    drains: Drains,
    quota: Quota,
    budget: Budget,
    quarantine: Quarantine,
    streams: Streams,
    baselines: Baselines,
    rollouts: Rollouts,
    /// The services of which callers resume streams.
    stream_services: BTreeSet<id::Service>,
    baselines_reviewed: Option<Instant>,
    /// The store's era in which the known streams are recorded.
    streams_era: Option<Era>,
    held: HashMap<id::Request, Held>,
    peers: BTreeMap<id::Instance, Peer>,
    /// The instances of other availability zones, where loads are sent only within
    /// the zone.
    zones: Zones,
    /// All instances as of the last change or tick.
    population: Population,
    /// The peers to which nothing is delegated before this time.
    paused_delegates: BTreeMap<id::Instance, Instant>,
    spill: spill::State,
    watermark: Watermark,
    started: Option<Instant>,
    sequence: u64,
    last_gossip: Option<Instant>,
    last_other_zones_gossip: Option<Instant>,
    last_turns: Option<Instant>,
    /// Whether there is a change that was not sent to peers.
    has_changes: bool,
    /// The end of the instance, if it is stopping.
    ending: Option<Ending>,
    /// Whether nothing may wait any more.
    is_closed: bool,
    actions: Vec<Action>,
}

impl Scheduler {
    /// A scheduler without a plan, upstreams or peers.
    pub fn new(options: Options) -> Self {
        Self {
            fleet: Fleet::new(options.location.clone()),
            budget: Budget::new(options.allowance),
            quota: Quota::new(options.counting),
            quarantine: Quarantine::default(),
            streams: Streams::default(),
            baselines: Baselines::default(),
            rollouts: Rollouts::default(),
            stream_services: BTreeSet::new(),
            baselines_reviewed: None,
            streams_era: None,
            options,
            plan: Arc::default(),
            backlog: Backlog::default(),
            drains: Drains::default(),
            held: HashMap::new(),
            peers: BTreeMap::new(),
            zones: Zones::default(),
            population: Population { instances: 1, silent: 0, age: Duration::ZERO },
            paused_delegates: BTreeMap::new(),
            spill: spill::State::default(),
            watermark: Watermark::default(),
            started: None,
            sequence: 0,
            last_gossip: None,
            last_other_zones_gossip: None,
            last_turns: None,
            has_changes: false,
            ending: None,
            is_closed: false,
            actions: Vec::new(),
        }
    }

    /// Handles an event that happened at `now`.
    pub fn handle(&mut self, now: Instant, event: Event) {
        match event {
            Event::Arrived(call) => self.arrived(now, call),
            Event::FirstByte(request) => self.first_byte(now, request),
            Event::ConnectionLost(request, answering) => {
                self.connection_lost(now, request, answering);
            }
            Event::DelegatedSend(request, upstream, release) => {
                self.record_delegated_send(now, request, upstream, release);
            }
            Event::Ended(request, how) => self.ended(now, request, how),
            Event::Probed { upstream, is_reached } => self.probed(now, &upstream, is_reached),
            Event::Configured(plan) => self.configured(now, plan),
            Event::Limited(allowance, counting) => {
                self.budget.set_allowance(allowance);
                self.quota.set_counting(counting);
            }
            Event::SpillEnabled(is_enabled) => self.enable_spill(is_enabled),
            Event::Registered(registration) => {
                self.streams.record_release(&registration, now);
                self.fleet.register(registration);
                self.dispatch_waiting(now);
            }
            Event::Deregistered(upstream) => {
                self.fleet.deregister(&upstream);
            }
            Event::Leaving(leaving) => self.upstream_leaving(leaving),
            Event::LimitStated { upstream, incarnation, rate, sent } => {
                let has_changed = self.fleet.state_limit(&upstream, incarnation, rate, sent, now);
                self.has_changes |= has_changed;
            }
            Event::RejectionLimitStated { upstream, incarnation, per_second } => {
                let fleet = &mut self.fleet;
                self.has_changes |=
                    fleet.state_rejection_limit(&upstream, incarnation, per_second, now);
            }
            Event::Paused(upstream, time) => self.fleet.pause_for(&upstream, time, now),
            Event::StreamsRead(read, begun) => self.streams_read(now, read, begun),
            Event::RecordsRead(begun) => self.streams.add_recorded(begun, now),
            Event::BaselineWritten(service, baseline) => {
                self.baselines.record_written(service, baseline, now);
            }
            Event::Exposed(exposure) => self.set_exposure(now, exposure),
            Event::Ordered(service, order) => self.ordered(now, service, order),
            Event::RolloutsRead(read) => self.rollouts_read(now, &read),
            Event::Warming(upstream, time) => self.warming(now, upstream, time),
            Event::PeerRegistered(peer, zone) => self.peer_registered(now, peer, zone),
            Event::StoreRead(watermark) => self.update_watermark(&watermark),
            Event::Received(gossip) => self.received(now, *gossip),
            Event::Stop(at) => self.stop(now, at),
            Event::Close => self.close(now),
            Event::Tick => self.tick(now),
        }
    }

    /// Returns the actions that were decided since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// What is known of the shared store.
    pub fn watermark(&self) -> Watermark {
        self.watermark
    }

    /// The upstreams.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// The number of requests held, and how many of them wait.
    pub fn counts(&self) -> (usize, usize) {
        (self.held.len(), self.backlog.len())
    }

    fn arrived(&mut self, now: Instant, mut call: Call) {
        if let Some(until) = self.quarantine.blocked_until(&call, now) {
            let retry_after = retry_after(call.id, until, now);
            self.push_refusal(call.id, Reason::Quarantined, retry_after);
            return;
        }
        if let Some(team) = call.team.as_ref().filter(|_| !call.is_delegated()) {
            let knowledge = self.knowledge();
            let admitted = if call.origin == Origin::Fresh {
                self.quota.admit(team, call.cost, now, knowledge)
            } else {
                let lot = self.lot(team);
                self.quota.admit_resumed(team, call.cost, now, knowledge, lot)
            };
            if let Err(wait) = admitted {
                let retry_after = self.jittered_retry_after(&call, wait, now);
                self.push_refusal(call.id, Reason::Quota, retry_after);
                return;
            }
        }
        if !call.is_delegated() {
            self.budget.record_request(&call.service, now);
        }
        self.count_request(&call);
        self.find_origin(now, &mut call);
        let id = call.id;
        let excluded = call.delegation.as_ref().map(|d| d.excluded.clone()).unwrap_or_default();
        let begins_stream = call.stream.is_some() && call.origin == Origin::Fresh;
        let held = Held {
            call,
            upstream: None,
            delegate: None,
            declined: vec![],
            sent: 0,
            unsent: 0,
            excluded,
            may_have_run: false,
            lost: 0,
            begins_stream,
        };
        self.held.insert(id, held);
        self.enqueue(now, id);
    }

    /// A fraction of 1 that differs between instances, their starts and teams.
    fn lot(&self, team: &id::Team) -> f64 {
        let Options { location, incarnation, .. } = &self.options;
        let hash = stable_hash((location.instance.as_str(), incarnation.0, team.as_str()));
        (hash % 1_024) as f64 / 1_024.0
    }

    fn enqueue(&mut self, now: Instant, id: id::Request) {
        let Some(held) = self.held.get_mut(&id) else { return };
        held.upstream = None;
        held.delegate = None;
        if let Some(until) = self.quarantine.blocked_until(&held.call, now) {
            self.refuse_until(now, id, until, Reason::Quarantined);
            return;
        }
        let Some(held) = self.held.get(&id) else { return };
        let is_resumed = matches!(held.call.origin, Origin::Release(_));
        let has_allowed = || self.fleet.has_allowed(&held.call) && self.may_resume(now, &held.call);
        if is_resumed && !has_allowed() {
            self.refuse(now, id, Reason::NoUpstream);
            return;
        }
        let (call, excluded) = (held.call.clone(), held.excluded.clone());
        let least_first = self.fleet.least_time_to_first(&call, &excluded, self.visibility(), now);
        let waiting = Waiting { call, excluded, least_first };
        self.backlog.push(waiting);
        self.spill_rejected(now, id);
        self.dispatch_waiting(now);
        if self.is_closed {
            self.refuse_waiting(now);
        }
    }

    fn upstream_leaving(&mut self, leaving: gossip::Leaving) {
        self.has_changes |= self.fleet.record_leaving(leaving);
    }

    fn refund(&mut self, held: &Held) {
        if let Some(team) = held.call.team.as_ref().filter(|_| !held.call.is_delegated()) {
            self.quota.refund(team, held.call.cost);
        }
    }

    fn configured(&mut self, now: Instant, plan: Arc<Plan>) {
        if plan.version > self.plan.version {
            self.quota.configure(&plan, self.options.is_joining, now);
            self.stream_services = plan.resumable_services();
            self.plan = plan;
        }
    }

    /// Sends waiting requests to upstreams that have room.
    ///
    /// This runs with each message of a peer, when hundreds of requests may wait: once no
    /// upstream of a service has room, its other requests are passed over.
    fn dispatch_waiting(&mut self, now: Instant) {
        if self.backlog.is_empty() {
            return;
        }
        self.refuse_unfinishable(now);
        let visibility = self.visibility();
        let reaches = self.fleet.partial_reaches();
        let mut full = vec![];
        let mut late: HashMap<id::Service, usize> = HashMap::new();
        let mut candidates = 0;
        for id in self.backlog.dispatch_order(now) {
            let Some(waiting) = self.backlog.get(id) else { continue };
            let Some(held) = self.held.get(&id) else { continue };
            let own = reaches.get(&held.call.service);
            if own.is_none() && waiting.is_unrestricted() && self.is_known_full(now, held, &full) {
                continue;
            }
            let waits = late.entry(held.call.service.clone()).or_default();
            if *waits >= MAX_WAITS_PER_SERVICE {
                continue;
            }
            candidates += 1;
            if candidates > CANDIDATES_PER_PASS {
                break;
            }
            let choice = self.choose(now, held, &waiting.excluded, visibility, &mut full);
            *waits += usize::from(choice == Choice::Wait);
            if let Some(peer) = self.delegate_for(now, held, &choice, own) {
                self.delegate(now, id, peer);
                continue;
            }
            let choice = match choice {
                Choice::NoUpstream => {
                    self.choose_unreached(now, held, &waiting.excluded, visibility)
                }
                choice => choice,
            };
            if let Choice::Send(upstream, expected) = choice {
                self.send(now, id, upstream, expected);
            }
        }
    }

    fn send(&mut self, now: Instant, id: id::Request, upstream: id::Upstream, expected: Duration) {
        if let Some(waiting) = self.backlog.remove(id) {
            self.drains.record(&waiting.call.service, now);
        }
        let Some(held) = self.held.get_mut(&id) else { return };
        let Some(known) = self.fleet.get(&upstream) else { return };
        let (registration, running) = (known.registration.clone(), known.running());
        let sent_before = held.sent;
        held.sent += 1;
        held.upstream = Some(upstream.clone());
        self.fleet.record_sent(&upstream, &held.call, now);
        let call = held.call.clone();
        self.count_sent(now, &call, &upstream);
        self.has_changes = true;
        let action =
            Action::Send { request: id, upstream: registration, sent_before, expected, running };
        self.actions.push(action);
    }

    fn tick(&mut self, now: Instant) {
        self.expire_peers(now);
        self.quarantine.expire(now);
        self.review_quarantine(now);
        self.streams.expire(self.fleet.iter(), now);
        self.resolve_origins(now);
        self.review_baselines(now);
        self.review_rollouts(now);
        self.update_turns(now);
        self.probe(now);
        self.expire(now);
        self.dispatch_waiting(now);
        self.spill(now);
        self.refuse_hopeless(now);
        self.gossip(now);
    }

    fn stop(&mut self, now: Instant, at: Instant) {
        self.ending = Some(Ending::new(at));
        self.has_changes = true;
        self.last_gossip = None;
        self.last_other_zones_gossip = None;
        self.gossip(now);
    }

    fn close(&mut self, now: Instant) {
        self.is_closed = true;
        self.refuse_waiting(now);
    }
}
