//! Preemption of lower tiers, on this instance and on peers, and lending of slots.

use std::time::{Duration, Instant};

use super::{Instance, Phase};
use crate::engine::{Engine, Sharing};
use crate::event::Action;
use crate::id;
use crate::member::{Body, LEASE_DURATION, Load};
use crate::outcome::Reason;
use crate::timeline::Subject;

/// Lower tiers are preempted for a request that has waited for longer than the
/// time between its arrival and its deadline divided by this.
const PREEMPT_DIVISOR: u32 = 8;
/// The most requests of one service that are being cancelled at once.
const MAX_PREEMPTED: usize = 8;

impl Instance {
    /// Whether this instance or a peer of its zone has a waiting or cancellable
    /// request of a tier lower than `rank`.
    pub(super) fn lower_tier_could_make_room(&self, service: &id::Service, rank: u8) -> bool {
        self.has_local_lower_tier(service, rank)
            || self.peer_with_lower_tier(service, rank).is_some()
    }

    /// Whether this instance has a waiting or cancellable request of a tier lower
    /// than `rank`.
    pub(super) fn has_local_lower_tier(&self, service: &id::Service, rank: u8) -> bool {
        let has_waiting =
            self.queues.get(service).is_some_and(|q| q.shed_candidate_below(rank).is_some());
        has_waiting || self.victim(service, rank).is_some()
    }

    /// The peer that holds requests of the lowest tier, if lower than `rank`.
    fn peer_with_lower_tier(&self, service: &id::Service, rank: u8) -> Option<id::Instance> {
        if self.options.sharing != Sharing::Lent {
            return None;
        }
        let zone = &self.options.identity.zone;
        let is_lower = |load: &&Load| {
            load.service == *service && load.rank > rank && load.waiting + load.cancellable > 0
        };
        let lowest = |(id, peer): (&id::Instance, &crate::member::Peer)| {
            let rank = peer.heartbeat.loads.iter().filter(is_lower).map(|l| l.rank).max()?;
            Some((rank, id.clone()))
        };
        let (_, id) = self.members.in_zone(zone).filter_map(lowest).max()?;
        Some(id)
    }

    /// Asks the peer with the lowest tier's requests to make room; returns
    /// whether there is one.
    pub(super) fn request_room(&mut self, now: Instant, service: &id::Service, rank: u8) -> bool {
        let Some(peer) = self.peer_with_lower_tier(service, rank) else { return false };
        let body = Body::MakeRoom { service: service.clone(), rank };
        self.send(now, peer, body);
        true
    }

    /// Cancels a running request of a tier lower than `rank`; returns whether
    /// there was one.
    pub(super) fn make_room(&mut self, now: Instant, service: &id::Service, rank: u8) -> bool {
        let Some(victim) = self.victim(service, rank) else { return false };
        self.cancel(now, victim, Reason::Preempted);
        true
    }

    /// The running request that is cancelled first: of the lowest tier, the one
    /// that was dispatched last, since it loses the least work.
    fn victim(&self, service: &id::Service, rank: u8) -> Option<id::Request> {
        let key = |(id, held): (&id::Request, &super::Held)| {
            let Phase::Running(run) = &held.phase else { return None };
            let request = &held.request;
            let is_lower = request.rank > rank && request.service == *service;
            (is_lower && request.repeat.may_cancel()).then_some((
                request.rank,
                run.dispatched_at,
                *id,
            ))
        };
        self.held.iter().filter_map(key).max().map(|(_, _, id)| id)
    }

    /// Preempts lower tiers for requests that have waited too long.
    pub(super) fn preempt(&mut self, now: Instant) {
        let services: Vec<_> = self.queues.keys().cloned().collect();
        for service in services {
            self.preempt_in(now, &service);
        }
    }

    fn preempt_in(&mut self, now: Instant, service: &id::Service) {
        let Some((rank, wanted)) = self.preemption_demand(now, service) else { return };
        let cancelled = self.cancelled_count(service);
        for _ in cancelled..wanted.min(MAX_PREEMPTED) {
            if !self.make_room(now, service, rank) {
                self.request_room(now, service, rank);
                return;
            }
        }
    }

    /// The rank of the next request and the number of waiting requests of that
    /// rank, if the next request has waited too long.
    fn preemption_demand(&self, now: Instant, service: &id::Service) -> Option<(u8, usize)> {
        let queue = self.queues.get(service)?;
        let first = queue.first()?;
        let allowed: Duration = first.deadline.saturating_duration_since(first.arrived);
        let waited = now.saturating_duration_since(first.arrived);
        (waited > allowed / PREEMPT_DIVISOR).then(|| (first.rank, queue.count(first.rank)))
    }

    fn cancelled_count(&self, service: &id::Service) -> usize {
        let is_cancelled = |h: &&super::Held| {
            matches!(h.phase, Phase::Cancelled(_)) && h.request.service == *service
        };
        self.held.values().filter(is_cancelled).count()
    }

    /// The peer of this zone where a request of the highest tier waits for
    /// this service, if higher than `rank`.
    pub(super) fn peer_with_higher_waiting(
        &self,
        service: &id::Service,
        rank: u8,
    ) -> Option<id::Instance> {
        if self.options.sharing != Sharing::Lent {
            return None;
        }
        let zone = &self.options.identity.zone;
        let is_higher =
            |load: &&Load| load.service == *service && load.rank < rank && load.waiting > 0;
        let highest = |(id, peer): (&id::Instance, &crate::member::Peer)| {
            let rank = peer.heartbeat.loads.iter().filter(is_higher).map(|l| l.rank).min()?;
            Some((rank, id.clone()))
        };
        let (_, id) = self.members.in_zone(zone).filter_map(highest).min()?;
        Some(id)
    }

    /// Lends a slot to a peer where a request of a tier higher than `rank` waits.
    pub(super) fn lend_slot(
        &mut self,
        now: Instant,
        to: &id::Instance,
        service: &id::Service,
        rank: u8,
        upstream: &id::Upstream,
    ) {
        let Some(peer) = self.members.get_mut(to) else { return };
        peer.lent.add(upstream.clone(), now + LEASE_DURATION);
        let loads = peer.heartbeat.loads.iter_mut();
        let is_higher = |l: &&mut Load| l.service == *service && l.rank < rank && l.waiting > 0;
        if let Some(load) = loads.filter(is_higher).min_by_key(|l| l.rank) {
            load.waiting -= 1;
        }
        if let Some(engine) = self.engines.get_mut(upstream) {
            engine.lent += 1;
        }
        self.record_event(now, Subject::Member(upstream.to_string()), format!("slot lent to {to}"));
        self.send(now, to.clone(), Body::Lend { upstream: upstream.clone() });
    }

    /// Adds a slot that a peer lent.
    pub(super) fn borrow_slot(
        &mut self,
        now: Instant,
        from: &id::Instance,
        upstream: id::Upstream,
    ) {
        let Some(peer) = self.members.get_mut(from) else { return };
        let Some(engine) = self.engines.get_mut(&upstream) else { return };
        engine.borrowed += 1;
        peer.borrowed.add(upstream, now + LEASE_DURATION);
        self.schedule_all(now);
    }

    /// Ends the lease of a slot that a peer returned.
    pub(super) fn reclaim_slot(
        &mut self,
        now: Instant,
        from: &id::Instance,
        upstream: &id::Upstream,
    ) {
        let Some(peer) = self.members.get_mut(from) else { return };
        if !peer.lent.end(upstream) {
            return;
        }
        if let Some(engine) = self.engines.get_mut(upstream) {
            engine.lent = engine.lent.saturating_sub(1);
        }
        self.schedule_all(now);
    }

    /// Returns one borrowed slot of an upstream, if there is one.
    pub(super) fn return_slot(&mut self, now: Instant, upstream: &id::Upstream) {
        let lender = self.members.iter().find(|(_, p)| p.borrowed.has(upstream));
        let Some(lender) = lender.map(|(id, _)| id.clone()) else { return };
        let Some(peer) = self.members.get_mut(&lender) else { return };
        peer.borrowed.end(upstream);
        if let Some(engine) = self.engines.get_mut(upstream) {
            engine.borrowed = engine.borrowed.saturating_sub(1);
        }
        self.send(now, lender, Body::Return { upstream: upstream.clone() });
    }

    /// Ends the expired leases.
    pub(super) fn expire_leases(&mut self, now: Instant) {
        let (lent, borrowed) = self.members.expire_leases(now);
        for upstream in lent {
            if let Some(engine) = self.engines.get_mut(&upstream) {
                engine.lent = engine.lent.saturating_sub(1);
            }
        }
        for upstream in borrowed {
            if let Some(engine) = self.engines.get_mut(&upstream) {
                engine.borrowed = engine.borrowed.saturating_sub(1);
            }
        }
    }

    /// Returns unused borrowed slots, and lends free slots that no request here
    /// waits for.
    pub(super) fn release_unused_slots(&mut self, now: Instant) {
        if self.options.sharing != Sharing::Lent {
            return;
        }
        let position = self.position();
        let unused = |e: &&Engine| {
            e.free_slots(Sharing::Lent, position) > 0 && !self.has_waiting_request(now, e)
        };
        let unused: Vec<_> =
            self.engines.values().filter(unused).map(|e| e.entry.clone()).collect();
        for entry in unused {
            if self.engines[&entry.id].borrowed > 0 {
                self.return_slot(now, &entry.id);
            } else if self.engines[&entry.id].is_open(now)
                && entry.zone == self.options.identity.zone
                && let Some(peer) = self.peer_with_higher_waiting(&entry.service, u8::MAX)
            {
                self.lend_slot(now, &peer, &entry.service, u8::MAX, &entry.id);
            }
        }
    }

    /// Whether the upstream is open and a request waits for its service.
    fn has_waiting_request(&self, now: Instant, engine: &Engine) -> bool {
        let queue = self.queues.get(&engine.entry.service);
        engine.is_open(now) && queue.is_some_and(|queue| !queue.is_empty())
    }

    pub(super) fn send(&mut self, now: Instant, to: id::Instance, body: Body) {
        let message = self.message(now, body);
        self.actions.push(Action::Send { to, message });
    }
}
