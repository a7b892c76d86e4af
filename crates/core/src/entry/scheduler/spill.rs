//! Sends requests to upstreams that other availability zones offer, and offers those of
//! this zone; see [`crate::entry::spill`].
//!
//! Load pattern: the upstreams of this zone are full, and what waits would miss its latency
//! target or be refused, while upstreams of other zones are idle.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use super::peers::GOSSIP_DELAY;
use super::refusals::latest_start;
use super::{Action, CANDIDATES_PER_PASS, Scheduler, Spill};
use crate::entry::backlog::Waiting;
use crate::entry::call::Call;
use crate::entry::gossip::{Gossip, Load, Need, Offer};
use crate::entry::rollout::Rollout;
use crate::entry::spill::{Borrower, Engine, LIFETIME, Lender, Relays, Share, reserve};
use crate::entry::upstream::Upstream;
use crate::id;
use crate::unit::Tokens;

/// How often needs, offers and shares are updated.
const REVIEW_INTERVAL: Duration = Duration::from_millis(100);
/// What a silent zone's requests run on is forgotten after this time.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// A slot is requested once a request's expected wait times this factor exceeds the time
/// that it has: an offer takes up to a second to come.
const NEED_FACTOR: f64 = 2.0;
/// After so many rejections in a second, requests go to offered upstreams at once: each
/// rejection takes from the retry budget, and what has none left is refused.
const RISK_REJECTIONS: usize = 2;
/// The most rejections that are counted.
const MAX_REJECTIONS: usize = 1_024;
/// The time to send one token of a prompt to another zone: 4 bytes at 10 Mbit/s, the
/// slowest link of an instance.
const TRANSFER_TIME_PER_TOKEN: Duration = Duration::from_nanos(3_200);
/// The time of a request and the first event of its answer between two zones, each up to
/// 1.4 ms.
const PATH_TIME: Duration = Duration::from_millis(3);

/// What is known of spillover.
#[derive(Debug, Default)]
pub(super) struct State {
    is_disabled: bool,
    relays: Relays,
    lender: Lender,
    borrower: Borrower,
    /// What this instance needs, and since when.
    needs: BTreeMap<id::Service, (Need, Instant)>,
    /// When upstreams of this zone rejected requests of this instance, in the last second.
    rejections: VecDeque<(Instant, id::Service)>,
    shares: Vec<Share>,
    /// Granted slots that are not in use yet, as loads of this instance.
    reserved: Vec<Load>,
    reviewed: Option<Instant>,
    is_lending: bool,
    /// Requests that were sent to offered upstreams.
    sent: u64,
}

/// What the requests of a service that wait can expect in this zone.
#[derive(Clone, Copy, Debug)]
struct Outlook {
    /// Requests per second that its upstreams complete.
    rate: f64,
    /// The time to the first event on one of them.
    first: Duration,
    /// How many requests of the zone wait for each of this instance.
    spread: f64,
}

impl Outlook {
    /// The time until the `position`th of this instance's requests that wait is sent.
    fn wait(&self, position: u32) -> Duration {
        let seconds = f64::from(position) * self.spread / self.rate;
        Duration::from_secs_f64(seconds.clamp(0.0, 3_600.0))
    }
}

/// What waiting in this zone means for a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Prospect {
    InTime,
    Late,
    Refused,
}

fn prospect(waiting: &Waiting, outlook: &Outlook, wait: Duration, now: Instant) -> Prospect {
    if now + wait >= latest_start(waiting) {
        Prospect::Refused
    } else if now + wait + outlook.first > waiting.call.latency_target {
        Prospect::Late
    } else {
        Prospect::InTime
    }
}

impl Scheduler {
    /// The requests that this instance has sent to upstreams that other zones offered.
    pub fn spilled(&self) -> u64 {
        self.spill.sent
    }

    pub(super) fn enable_spill(&mut self, is_enabled: bool) {
        self.spill.is_disabled = !is_enabled;
    }

    /// Whether requests of a service may be sent to other zones' offers: during a rollout
    /// the shares of its versions hold for the choice among all upstreams only.
    fn may_spill(&self, service: &id::Service) -> bool {
        self.rollout(service).is_none_or(Rollout::is_lifted)
    }

    fn is_spill_active(&self) -> bool {
        !self.spill.is_disabled && !self.is_full_mesh()
    }

    /// Whether this instance is the relay that reports needs and offers of its zone; the
    /// other relays report none, so that nothing adds up.
    fn is_spill_relay(&self) -> bool {
        self.is_spill_active() && self.ending.is_none() && self.preferred_peers() == 0
    }

    /// Takes over what another zone needs, offers and uses.
    pub(super) fn receive_spill(&mut self, now: Instant, gossip: &mut Gossip) {
        let Some(digest) = gossip.digest.as_mut() else { return };
        let (needs, offers) =
            (std::mem::take(&mut digest.needs), std::mem::take(&mut digest.offers));
        if !self.is_spill_active() {
            return;
        }
        let Gossip { from, zone, incarnation, age, .. } = gossip;
        let Some(accepted) = self.spill.relays.accept(zone, from, *incarnation, *age, now) else {
            return;
        };
        if let Some(replaced) = &accepted.replaced {
            self.fleet.remove_peer(replaced);
        }
        let own_zone = &self.options.location.zone;
        let is_own = |load: &Load| {
            let upstream = self.fleet.get(&load.upstream);
            upstream.is_some_and(|upstream| upstream.registration.zone == *own_zone)
        };
        let offers: Vec<_> = offers.into_iter().filter(|o| o.zone == *own_zone).collect();
        let speed = |offer: &Offer| Load {
            upstream: offer.upstream.clone(),
            running: 0,
            prefill: Tokens(0),
            pace: offer.pace,
            rejection_limit: None,
        };
        let mut loads = std::mem::take(&mut gossip.loads);
        loads.retain(is_own);
        loads.extend(offers.iter().map(speed));
        self.fleet.update_peer(from, &loads, now);
        self.spill.lender.receive(zone.clone(), needs, accepted.made);
        self.spill.borrower.receive(zone.clone(), offers, accepted.made);
    }

    /// Reviews needs and offers, and sends requests that would be late in this zone to
    /// other zones.
    pub(super) fn spill(&mut self, now: Instant) {
        if !self.is_spill_active() {
            self.stop_spill();
            return;
        }
        let elapsed = self.spill.reviewed.map(|at| now.saturating_duration_since(at));
        if elapsed.is_none_or(|elapsed| elapsed >= REVIEW_INTERVAL) {
            self.spill.reviewed = Some(now);
            self.review_spill(now);
        }
        if !self.spill.shares.is_empty() && !self.backlog.is_empty() && !self.is_closed {
            self.spill_waiting(now);
        }
    }

    fn stop_spill(&mut self) {
        if self.spill.reviewed.is_none() {
            return;
        }
        for (_, relay) in self.spill.relays.iter() {
            self.fleet.remove_peer(relay);
        }
        self.fleet.remove_peer(&self.options.location.instance);
        let (is_lending, is_borrowing) = (self.spill.is_lending, !self.spill.shares.is_empty());
        self.spill = State {
            is_disabled: self.spill.is_disabled,
            sent: self.spill.sent,
            ..State::default()
        };
        self.report_spill(is_lending, is_borrowing);
    }

    fn review_spill(&mut self, now: Instant) {
        let (was_lending, was_borrowing) = (self.spill.is_lending, !self.spill.shares.is_empty());
        for silent in self.spill.relays.expire(SILENCE_TIMEOUT, now) {
            self.fleet.remove_peer(&silent);
        }
        let has_zones = self.spill.relays.iter().next().is_some();
        self.review_needs(now, has_zones);
        self.review_offers(now, has_zones);
        self.spill.borrower.expire(now);
        self.spill.shares = self.shares(now);
        self.report_spill(was_lending, was_borrowing);
    }

    /// Reports what has changed since then.
    fn report_spill(&mut self, was_lending: bool, was_borrowing: bool) {
        let (is_lending, is_borrowing) = (self.spill.is_lending, !self.spill.shares.is_empty());
        if is_lending != was_lending {
            self.actions.push(Action::ReportSpill(Spill::Lending(is_lending)));
        }
        if is_borrowing != was_borrowing {
            self.actions.push(Action::ReportSpill(Spill::Borrowing(is_borrowing)));
        }
    }

    /// What this instance needs of other zones, for peers of this zone.
    pub(super) fn needs(&self) -> Vec<Need> {
        self.spill.needs.values().map(|(need, _)| need.clone()).collect()
    }

    /// The needs of the peers of this zone.
    fn peer_needs(&self) -> impl Iterator<Item = (&id::Instance, &Need)> {
        let zone = &self.options.location.zone;
        let peers = self.peers.iter().filter(move |(_, p)| p.zone == *zone && !p.is_silent);
        peers.flat_map(|(id, peer)| peer.needs.iter().map(move |need| (id, need)))
    }

    fn review_needs(&mut self, now: Instant, has_zones: bool) {
        let is_old = |at: Instant| now.saturating_duration_since(at) >= LIFETIME;
        while self.spill.rejections.front().is_some_and(|(at, _)| is_old(*at)) {
            self.spill.rejections.pop_front();
        }
        let mut needs: BTreeMap<id::Service, Need> = BTreeMap::new();
        if has_zones {
            for (call, prospect) in self.prospects(now, NEED_FACTOR) {
                let service = call.service.clone();
                let need = needs.entry(service.clone());
                let need = need.or_insert(Need { service, waiting: 0, slots: 0 });
                need.waiting += 1;
                need.slots += u32::from(prospect != Prospect::InTime);
            }
            for (_, service) in &self.spill.rejections {
                let need = needs.entry(service.clone());
                let service = service.clone();
                need.or_insert(Need { service, waiting: 0, slots: 0 }).slots += 1;
            }
            for upstream in self.borrowed().filter(|upstream| upstream.own_running() > 0) {
                let service = upstream.registration.service.clone();
                let need = needs.entry(service.clone());
                let need = need.or_insert(Need { service, waiting: 0, slots: 0 });
                need.slots += upstream.own_running();
            }
        }
        let before = std::mem::take(&mut self.spill.needs);
        self.has_changes |= needs.values().ne(before.values().map(|(need, _)| need));
        let since = |service: &id::Service| {
            let known = before.get(service).filter(|(need, _)| need.slots > 0);
            known.map_or(now, |(_, since)| *since)
        };
        self.spill.needs =
            needs.into_iter().map(|(s, need)| (s.clone(), (need, since(&s)))).collect();
    }

    /// Records that an upstream rejected a request: where the upstreams of this zone are
    /// full, requests may use up their attempts before many wait at once.
    pub(super) fn record_spill_rejection(&mut self, now: Instant, upstream: &id::Upstream) {
        let Some(Upstream { registration, .. }) = self.fleet.get(upstream) else { return };
        let is_own_zone = registration.zone == self.options.location.zone;
        if is_own_zone && self.is_spill_active() {
            if self.spill.rejections.len() == MAX_REJECTIONS {
                self.spill.rejections.pop_front();
            }
            self.spill.rejections.push_back((now, registration.service.clone()));
        }
    }

    /// Sends a request that upstreams of this zone rejected, or are likely to reject, to an
    /// offered upstream, if this instance may use one.
    pub(super) fn spill_rejected(&mut self, now: Instant, id: id::Request) {
        if self.spill.shares.is_empty() || !self.is_spill_active() {
            return;
        }
        let Some(waiting) = self.backlog.get(id).filter(|w| w.call.prompt.0 > 0) else { return };
        let service = &waiting.call.service;
        let rejections = self.spill.rejections.iter().filter(|(_, of)| of == service).count();
        if rejections < RISK_REJECTIONS && !self.was_rejected(id) {
            return;
        }
        if let Some((upstream, first)) = self.choose_offered(waiting, Prospect::Late, now) {
            self.spill.sent += 1;
            self.send(now, id, upstream, first);
        }
    }

    /// The upstreams of other zones, where requests were sent to them.
    fn borrowed(&self) -> impl Iterator<Item = &Upstream> {
        let zone = &self.options.location.zone;
        let is_used = self.spill.sent > 0;
        self.fleet.iter().filter(move |u| is_used && u.registration.zone != *zone)
    }

    /// What waiting in this zone means for the requests that wait, in the order of their
    /// dispatch; waits are multiplied by `factor`. Requests without a prompt are left out:
    /// plain services queue them, and their free slots are not known.
    fn prospects(&self, now: Instant, factor: f64) -> Vec<(&Call, Prospect)> {
        let mut outlooks: BTreeMap<&id::Service, (Option<Outlook>, u32)> = BTreeMap::new();
        let mut prospects = vec![];
        for id in self.backlog.dispatch_order(now) {
            let Some(waiting) = self.backlog.get(id) else { continue };
            let call = &waiting.call;
            if call.prompt.0 == 0 || !self.may_spill(&call.service) {
                continue;
            }
            let outlook = outlooks.entry(&call.service);
            let (outlook, position) = outlook.or_insert_with(|| (self.outlook(call, now), 0));
            if let Some(outlook) = outlook {
                *position += 1;
                let wait = outlook.wait(*position).mul_f64(factor);
                let prospect = match prospect(waiting, outlook, wait, now) {
                    Prospect::InTime if self.was_rejected(id) => Prospect::Late,
                    prospect => prospect,
                };
                prospects.push((call, prospect));
            }
        }
        prospects
    }

    /// Whether an attempt of a request that waits was rejected. While the zone is full the
    /// next one is likely to be rejected as well, until its attempts or the retry budget
    /// are used up, and the request is refused.
    fn was_rejected(&self, id: id::Request) -> bool {
        self.held.get(&id).is_some_and(|held| held.sent > 0 && !held.may_have_run)
    }

    /// What requests like this one can expect in this zone; none where it has no open
    /// upstream: any other may be used then.
    fn outlook(&self, like: &Call, now: Instant) -> Option<Outlook> {
        let zone = &self.options.location.zone;
        let is_usable = |u: &&Upstream| {
            let registration = &u.registration;
            registration.service == like.service && registration.zone == *zone && u.is_open(now)
        };
        let (mut rate, mut first, mut upstreams) = (0.0, Duration::ZERO, 0);
        for upstream in self.fleet.iter().filter(is_usable) {
            let slots = upstream.registration.slots;
            let to_first = upstream.idle_time_to_first(like);
            let hold = to_first + upstream.pace.answer_time(like.answer, slots);
            rate += f64::from(slots) / hold.as_secs_f64().max(0.001);
            first += to_first;
            upstreams += 1;
        }
        let own = self.backlog.iter().filter(|w| w.call.service == like.service).count();
        let peers = self.peer_needs().filter(|(_, need)| need.service == like.service);
        let peers: u32 = peers.map(|(_, need)| need.waiting).fold(0, u32::saturating_add);
        let spread = 1.0 + f64::from(peers) / own.max(1) as f64;
        (rate > 0.0).then(|| Outlook { rate, first: first / upstreams, spread })
    }

    /// Samples the load of this zone, and reserves the slots that were offered.
    fn review_offers(&mut self, now: Instant, has_zones: bool) {
        if has_zones && self.is_spill_relay() {
            if self.spill.lender.is_due(now) {
                let engines = self.engines(now);
                let missed = self.missed(&engines);
                self.spill.lender.sample(&engines, &missed, now);
            }
        } else {
            self.spill.lender.retire(now);
        }
        self.reserve(now);
    }

    /// The services of which this zone needs more than the slots that it reserves.
    fn missed(&self, engines: &[Engine]) -> BTreeSet<id::Service> {
        let own = self.needs();
        let mut needs: BTreeMap<&id::Service, u32> = BTreeMap::new();
        for need in own.iter().chain(self.peer_needs().map(|(_, need)| need)) {
            let sum = needs.entry(&need.service).or_default();
            *sum = sum.saturating_add(need.slots);
        }
        let reserved = |service: &id::Service| {
            let slots = engines.iter().filter(|e| e.service == *service).map(|e| e.slots);
            reserve(slots.sum())
        };
        let is_missed = |(service, slots): &(&id::Service, u32)| *slots > reserved(service);
        needs.into_iter().filter(is_missed).map(|(service, _)| service.clone()).collect()
    }

    /// Counts offered slots that are not in use as taken, here and, by gossip, in the zone.
    fn reserve(&mut self, now: Instant) {
        let granted = self.spill.lender.granted(now);
        let reserve = |(id, granted): (&id::Upstream, u32)| {
            let upstream = self.fleet.get(id)?;
            let running = granted.saturating_sub(self.lent_running(upstream));
            (running > 0).then(|| Load { running, prefill: Tokens(0), ..upstream.load() })
        };
        let is_lending = granted.values().any(|slots| *slots > 0);
        let reserved: Vec<_> = granted.into_iter().filter_map(reserve).collect();
        self.spill.is_lending = is_lending;
        if !reserved.is_empty() || !self.spill.reserved.is_empty() {
            self.has_changes = true;
            self.fleet.update_peer(&self.options.location.instance, &reserved, now);
            self.spill.reserved = reserved;
        }
    }

    /// Requests of other zones that run on an upstream.
    fn lent_running(&self, upstream: &Upstream) -> u32 {
        let running = self.spill.relays.iter().map(|(_, relay)| upstream.peer_running(relay));
        running.fold(0, u32::saturating_add)
    }

    /// The upstreams of this zone that may be lent.
    fn engines(&self, now: Instant) -> Vec<Engine> {
        let Self { options, spill, .. } = self;
        let is_lendable = |u: &&Upstream| {
            u.registration.zone == options.location.zone
                && u.is_open(now)
                && u.is_limited_by_slots()
        };
        let engine = |u: &Upstream| {
            let reserved = u.peer_running(&options.location.instance);
            let of_zone = |(zone, relay): (&id::Zone, &id::Instance)| {
                Some((zone.clone(), u.peer_running(relay))).filter(|(_, running)| *running > 0)
            };
            Engine {
                upstream: u.registration.id.clone(),
                service: u.registration.service.clone(),
                slots: u.registration.slots,
                own: u.running().saturating_sub(reserved.saturating_add(self.lent_running(u))),
                borrowed: spill.relays.iter().filter_map(of_zone).collect(),
                pace: u.pace,
            }
        };
        self.fleet.iter().filter(is_lendable).map(engine).collect()
    }

    /// The needs and offers in a digest of this zone.
    pub(super) fn spill_digest(&mut self, now: Instant) -> (Vec<Need>, Vec<Offer>) {
        if !self.is_spill_relay() {
            return (vec![], vec![]);
        }
        let mut needs: BTreeMap<id::Service, Need> = BTreeMap::new();
        let own = self.needs();
        for need in own.iter().chain(self.peer_needs().map(|(_, need)| need)) {
            let sum = needs.entry(need.service.clone());
            let sum = sum.or_insert(Need { waiting: 0, slots: 0, ..need.clone() });
            sum.waiting = sum.waiting.saturating_add(need.waiting);
            sum.slots = sum.slots.saturating_add(need.slots);
        }
        let engines = self.engines(now);
        // A zone helps itself as long as its reserve is enough.
        let missed = self.missed(&engines);
        let offers = self.spill.lender.offer(&engines, now);
        self.reserve(now);
        (needs.into_values().filter(|need| missed.contains(&need.service)).collect(), offers)
    }

    /// This instance's loads and the slots that it reserves, for peers of this zone.
    pub(super) fn zone_loads(&self) -> Vec<Load> {
        let mut loads = self.fleet.loads();
        for reserved in &self.spill.reserved {
            match loads.iter_mut().find(|load| load.upstream == reserved.upstream) {
                Some(load) => load.running = load.running.saturating_add(reserved.running),
                None => loads.push(reserved.clone()),
            }
        }
        loads
    }

    /// What this zone runs on upstreams of others, for these.
    pub(super) fn borrowed_loads(&self) -> Vec<Load> {
        if !self.is_spill_relay() {
            return vec![];
        }
        let zone = &self.options.location.zone;
        let used = self.fleet.iter().filter(|u| u.registration.zone != *zone && u.running() > 0);
        let load = |upstream: &Upstream| Load {
            running: upstream.running(),
            prefill: upstream.prefill_work(),
            ..upstream.load()
        };
        used.map(load).collect()
    }

    /// The offered slots that this instance may use: none until its peers know that it
    /// needs some, and leave it its share.
    fn shares(&self, now: Instant) -> Vec<Share> {
        if self.spill.borrower.is_empty() {
            return vec![];
        }
        let delay = REVIEW_INTERVAL + self.gossip_interval() + GOSSIP_DELAY;
        let is_known = |since: Instant| now.saturating_duration_since(since) >= delay;
        let instance = &self.options.location.instance;
        let mut shares = vec![];
        for (service, (need, since)) in &self.spill.needs {
            if need.slots == 0 || !is_known(*since) {
                continue;
            }
            let peers = self.peer_needs().filter(|(_, n)| n.service == *service && n.slots > 0);
            let mut users: BTreeSet<_> = peers.map(|(peer, _)| peer).collect();
            users.insert(instance);
            let is_of_service = |share: &Share| {
                let upstream = self.fleet.get(&share.upstream);
                upstream.is_some_and(|upstream| upstream.registration.service == *service)
            };
            let of_all = self.spill.borrower.shares(instance, &users);
            shares.extend(of_all.into_iter().filter(is_of_service));
        }
        shares
    }

    /// Sends requests that would be late or refused in this zone to offered upstreams.
    fn spill_waiting(&mut self, now: Instant) {
        let late: Vec<_> = self
            .prospects(now, 1.0)
            .into_iter()
            .filter(|(_, prospect)| *prospect != Prospect::InTime)
            .map(|(call, prospect)| (call.id, prospect))
            .take(CANDIDATES_PER_PASS)
            .collect();
        for (id, prospect) in late {
            let Some(waiting) = self.backlog.get(id) else { continue };
            if let Some((upstream, first)) = self.choose_offered(waiting, prospect, now) {
                self.spill.sent += 1;
                self.send(now, id, upstream, first);
            }
        }
    }

    /// The offered upstream on which a request is expected to end first, if that is in time
    /// or saves it from being refused.
    fn choose_offered(
        &self,
        waiting: &Waiting,
        prospect: Prospect,
        now: Instant,
    ) -> Option<(id::Upstream, Duration)> {
        let Waiting { call, excluded, .. } = waiting;
        if !self.may_spill(&call.service) {
            return None;
        }
        let visibility = self.visibility();
        let path = PATH_TIME + TRANSFER_TIME_PER_TOKEN * call.prompt.0;
        let estimate = |share: &Share| {
            let upstream = self.fleet.get(&share.upstream)?;
            let registration = &upstream.registration;
            let is_usable = now < share.until
                && registration.service == call.service
                && upstream.is_open(now)
                && upstream.is_limited_by_slots()
                && !excluded.contains(&registration.id)
                && call.origin.allows(registration.release.as_ref())
                && upstream.own_running() < share.own
                && upstream.running() < share.zone.min(registration.slots);
            let estimate = upstream.estimate(call, now, &self.options.location, visibility);
            let first = estimate.first + path;
            let latest = match prospect {
                Prospect::Refused => call.first_byte_deadline,
                _ => call.latency_target,
            };
            let is_better = is_usable && now + first < latest;
            is_better.then(|| (estimate.cost, registration.id.clone(), first))
        };
        let best = self.spill.shares.iter().filter_map(estimate).min()?;
        Some((best.1, best.2))
    }
}
