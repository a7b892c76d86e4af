//! Scheduling: which waiting request runs next, and on which upstream.

use std::time::{Duration, Instant};

use super::{Estimates, Instance, MAX_WAITING, Phase, Run};
use crate::config::Kind;
use crate::engine::{Engine, Position};
use crate::event::Action;
use crate::id;
use crate::outcome::Reason;
use crate::queue::Size;
use crate::request::Request;
use crate::timeline::Subject;
use crate::unit::Tokens;

/// The cost of one answer token, in prompt tokens.
const ANSWER_TOKEN_COST: u64 = 8;
/// A request is refused on arrival if its expected wait is longer than this
/// many times the time to its deadline.
const MAX_WAIT_FACTOR: u32 = 2;
/// A request is fresh until it has waited for the time left to its deadline
/// divided by this.
const FRESH_DIVISOR: u32 = 8;
/// An instance of another zone may use an upstream's limit divided by this, but
/// at least one slot.
const OTHER_ZONE_DIVISOR: u32 = 8;

impl Instance {
    /// Queues a request, or refuses it if it would wait too long.
    pub(super) fn enqueue(&mut self, now: Instant, id: id::Request) {
        let Some(held) = self.held.get_mut(&id) else { return };
        held.phase = Phase::Queued;
        let request = held.request.clone();
        let (rank, service) = (request.rank, request.service.clone());
        self.estimates.entry(service.clone()).or_default().add_tier(rank);
        self.queues.entry(service.clone()).or_default().push(request);
        if self.would_wait_too_long(now, &service, id) {
            let lower = self.lower_tier_could_make_room(&service, rank);
            self.checker.check_shed(id, rank, lower);
            self.refuse(now, id, Reason::Overload);
            return;
        }
        self.enforce_queue_limit(now, &service, rank);
        self.schedule(now, &service);
    }

    /// Whether a request would wait far past its deadline and no lower tier
    /// could make room for it.
    fn would_wait_too_long(&self, now: Instant, service: &id::Service, id: id::Request) -> bool {
        let request = &self.held[&id].request;
        let size = Size::of(request.prompt);
        let Some(wait) = self.expected_wait(service, request.rank, size) else { return false };
        let slack = request.deadline.saturating_duration_since(now);
        wait > slack * MAX_WAIT_FACTOR && !self.lower_tier_could_make_room(service, request.rank)
    }

    /// Sheds waiting requests, lowest tier first, until the queue is within its limit.
    fn enforce_queue_limit(&mut self, now: Instant, service: &id::Service, rank: u8) {
        while self.queues[service].len() > MAX_WAITING {
            if let Some(lower) = self.queues[service].shed_candidate_below(rank) {
                let lower = lower.id;
                self.refuse(now, lower, Reason::Preempted);
                continue;
            }
            if self.make_room(now, service, rank) || self.request_room(now, service, rank) {
                return;
            }
            let Some(last) = self.queues[service].shed_candidate() else { return };
            let (last, last_rank) = (last.id, last.rank);
            self.checker.check_shed(last, last_rank, self.has_local_lower_tier(service, last_rank));
            self.refuse(now, last, Reason::Overload);
        }
    }

    pub(super) fn remove_from_queue(&mut self, id: id::Request) {
        let Some(held) = self.held.get_mut(&id) else { return };
        if let Some(queue) = self.queues.get_mut(&held.request.service) {
            queue.remove(id);
        }
        if matches!(held.phase, Phase::Queued) {
            held.phase = Phase::Writing;
        }
    }

    pub(super) fn schedule_all(&mut self, now: Instant) {
        let non_empty = self.queues.iter().filter(|(_, queue)| !queue.is_empty());
        let services: Vec<_> = non_empty.map(|(service, _)| service.clone()).collect();
        for service in services {
            self.schedule(now, &service);
        }
    }

    /// Starts waiting requests of a service while there are free slots.
    pub(super) fn schedule(&mut self, now: Instant, service: &id::Service) {
        while let Some((id, upstream)) = self.next_assignment(now, service) {
            let rank = self.held[&id].request.rank;
            if let Some(peer) = self.peer_with_higher_waiting(service, rank) {
                self.lend_slot(now, &peer, service, rank, &upstream);
            } else {
                self.assign_slot(now, id, upstream);
            }
        }
    }

    fn next_assignment(
        &self,
        now: Instant,
        service: &id::Service,
    ) -> Option<(id::Request, id::Upstream)> {
        let queue = self.queues.get(service)?;
        let find_slot = |request: &Request| {
            let upstream = self.best_upstream(now, request)?;
            Some((request.id, upstream))
        };
        queue.candidates().find_map(find_slot)
    }

    /// The upstream with a free slot that is expected to complete a request
    /// first, if before the deadline.
    ///
    /// A fresh request that no upstream is expected to complete in time may run
    /// nevertheless: the estimate may be wrong.
    fn best_upstream(&self, now: Instant, request: &Request) -> Option<id::Upstream> {
        let answer = self.expected_answer(request);
        let position = self.position();
        let with_time = |e: &Engine| (e.completion_time(request, answer, now), e.entry.id.clone());
        let with_free_slots =
            self.open_engines(now, request).filter(|e| self.free_slots_on(e, position) > 0);
        let (time, upstream) = with_free_slots.map(with_time).min()?;
        let slack = request.deadline.saturating_duration_since(now);
        let may_run =
            time <= slack || self.is_fresh(now, request) && self.best_time(now, request)? > slack;
        may_run.then_some(upstream)
    }

    /// Whether a request has waited for only a small part of its time.
    fn is_fresh(&self, now: Instant, request: &Request) -> bool {
        let slack = request.deadline.saturating_duration_since(now);
        now.saturating_duration_since(request.arrived) < slack / FRESH_DIVISOR
    }

    /// The shortest time in which any open upstream is expected to complete a
    /// request.
    pub(super) fn best_time(&self, now: Instant, request: &Request) -> Option<Duration> {
        let answer = self.expected_answer(request);
        let times =
            self.open_engines(now, request).map(|e| e.completion_time(request, answer, now));
        times.min()
    }

    /// An upper estimate of the answer length.
    fn expected_answer(&self, request: &Request) -> Tokens {
        let size = Size::of(request.prompt);
        let estimate = self.with_estimates(request, |estimates| estimates.long_answer(size));
        request.max_answer.map_or(estimate, |max| max.min(estimate))
    }

    /// Passes the estimates for a request's service, or the defaults, to `read`.
    fn with_estimates<T>(&self, request: &Request, read: impl FnOnce(&Estimates) -> T) -> T {
        match self.estimates.get(&request.service) {
            Some(estimates) => read(estimates),
            None => read(&Estimates::default()),
        }
    }

    /// The open upstreams of the own zone, or of other zones if it has none.
    fn open_engines<'a>(
        &'a self,
        now: Instant,
        request: &'a Request,
    ) -> impl Iterator<Item = &'a Engine> {
        let zone = &self.options.identity.zone;
        let is_open = move |e: &&Engine| e.entry.service == request.service && e.is_open(now);
        let has_own = self.engines.values().filter(is_open).any(|e| e.entry.zone == *zone);
        let is_usable = move |e: &&Engine| !has_own || e.entry.zone == *zone;
        self.engines.values().filter(is_open).filter(is_usable)
    }

    fn free_slots_on(&self, engine: &Engine, position: Position) -> u32 {
        if engine.entry.zone == self.options.identity.zone {
            return engine.free_slots(self.options.sharing, position);
        }
        let max = (engine.limit() / OTHER_ZONE_DIVISOR).max(1);
        max.saturating_sub(engine.running)
    }

    fn assign_slot(&mut self, now: Instant, id: id::Request, upstream: id::Upstream) {
        let request = &self.held[&id].request;
        let answer = self
            .with_estimates(request, |estimates| estimates.mean_answer(Size::of(request.prompt)));
        let cost = u64::from(request.prompt.0) + ANSWER_TOKEN_COST * u64::from(answer.0);
        let (service, rank) = (request.service.clone(), request.rank);
        self.estimates.entry(service.clone()).or_default().record_start(rank);
        if let Some(queue) = self.queues.get_mut(&service) {
            queue.take(id, cost);
        }
        let Some(held) = self.held.get_mut(&id) else { return };
        if let Some(engine) = self.engines.get_mut(&upstream) {
            engine.running += 1;
        }
        held.phase = Phase::Claiming(upstream.clone());
        match &mut held.claim {
            Some(claim) if !claim.is_acquired() => {
                let step = claim.handle_assignment();
                self.perform_step(now, id, step);
            }
            _ => self.dispatch(now, id, upstream),
        }
    }

    /// Dispatches a request to the upstream on which it holds a slot.
    pub(super) fn dispatch(&mut self, now: Instant, id: id::Request, upstream: id::Upstream) {
        let Some(held) = self.held.get_mut(&id) else { return };
        let Some(engine) = self.engines.get_mut(&upstream) else { return };
        self.checker.check_dispatch(id, engine.is_open(now));
        let cached = engine.cached_tokens(&held.request, now);
        let uncached = match engine.entry.kind {
            Kind::Engine => Tokens(held.request.prompt.0 - cached.0),
            Kind::Plain => Tokens(0),
        };
        engine.record_dispatch(&held.request, now);
        held.phase = Phase::Running(Run {
            upstream: upstream.clone(),
            dispatched_at: now,
            first_token_at: None,
            uncached,
        });
        self.counters.record_prefill(uncached);
        self.record_event(now, Subject::Request(id), format!("dispatched to {upstream}"));
        self.actions.push(Action::Dispatch { request: id, upstream });
    }

    /// Releases the slot of a request.
    pub(super) fn release(&mut self, now: Instant, id: id::Request, upstream: &id::Upstream) {
        let Some(engine) = self.engines.get_mut(upstream) else { return };
        engine.release(id);
        let is_removed =
            engine.running == 0 && self.document.upstreams.iter().all(|u| u.id != *upstream);
        if is_removed {
            self.engines.remove(upstream);
            return;
        }
        self.return_slot(now, upstream);
    }

    /// Refuses waiting requests that can no longer complete in time.
    pub(super) fn expire_waiting(&mut self, now: Instant) {
        let services: Vec<_> = self.queues.keys().cloned().collect();
        for service in services {
            while let Some(expired) = self.next_expired(now, &service) {
                self.refuse(now, expired, Reason::Deadline);
            }
        }
    }

    /// A waiting request that no upstream would complete in time even if it
    /// started now.
    fn next_expired(&self, now: Instant, service: &id::Service) -> Option<id::Request> {
        let is_expired = |request: &&Request| {
            let slack = request.deadline.saturating_duration_since(now);
            let best = self.best_time(now, request);
            let is_late = best.is_some_and(|best| best > slack) && !self.is_fresh(now, request);
            is_late || slack.is_zero()
        };
        self.queues[service].earliest_deadlines().find(is_expired).map(|request| request.id)
    }
}
