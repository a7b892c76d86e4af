//! Which request runs next, and on which upstream.

use std::time::{Duration, Instant};

use super::{Estimates, Instance, MAX_WAITING, Run, Stage};
use crate::config::Kind;
use crate::engine::{Engine, Position};
use crate::event::Action;
use crate::id;
use crate::outcome::Reason;
use crate::queue::Size;
use crate::request::Request;
use crate::timeline::Subject;
use crate::unit::Tokens;

/// The cost of one answer token, counted in prompt tokens.
const ANSWER_TOKEN_COST: u64 = 8;
/// A request is refused on arrival where its wait is likely to be this many
/// times the time that it has.
const HOPELESS_FACTOR: u32 = 2;
/// A request is fresh until it has waited for this part of the time that is
/// left, as a divisor.
const FRESH_DIVISOR: u32 = 8;
/// The share of an upstream that a foreign zone may use, as a divisor.
const FOREIGN_SHARE: u32 = 8;

impl Instance {
    /// Puts a request into its queue, or refuses it where that is hopeless.
    pub(super) fn enqueue(&mut self, now: Instant, id: id::Request) {
        let Some(held) = self.held.get_mut(&id) else { return };
        held.stage = Stage::Queued;
        let request = held.request.clone();
        let (rank, service) = (request.rank, request.service.clone());
        self.estimates.entry(service.clone()).or_default().waits(rank);
        self.queues.entry(service.clone()).or_default().push(request);
        if self.is_hopeless(now, &service, id) {
            let lower = self.lower_could_make_room(&service, rank);
            self.checker.check_shed(id, rank, lower);
            self.refuse(now, id, Reason::Overload);
            return;
        }
        self.bound_queue(now, &service, rank);
        self.schedule(now, &service);
    }

    /// Whether a request would wait past its deadline with nothing below it
    /// to make room.
    fn is_hopeless(&self, now: Instant, service: &id::Service, id: id::Request) -> bool {
        let request = &self.held[&id].request;
        let size = Size::of(request.prompt);
        let Some(wait) = self.expected_wait(service, request.rank, size) else { return false };
        let slack = request.deadline.saturating_duration_since(now);
        wait > slack * HOPELESS_FACTOR && !self.lower_could_make_room(service, request.rank)
    }

    /// Sheds from the bottom until the queue is within its bound.
    fn bound_queue(&mut self, now: Instant, service: &id::Service, rank: u8) {
        while self.queues[service].len() > MAX_WAITING {
            if let Some(lower) = self.queues[service].shed_candidate_below(rank) {
                let lower = lower.id;
                self.refuse(now, lower, Reason::Preempted);
                continue;
            }
            if self.make_room(now, service, rank) || self.ask_for_room(now, service, rank) {
                return;
            }
            let Some(last) = self.queues[service].shed_candidate() else { return };
            let (last, last_rank) = (last.id, last.rank);
            self.checker.check_shed(last, last_rank, self.local_lower(service, last_rank));
            self.refuse(now, last, Reason::Overload);
        }
    }

    pub(super) fn leave_queue(&mut self, id: id::Request) {
        let Some(held) = self.held.get_mut(&id) else { return };
        if let Some(queue) = self.queues.get_mut(&held.request.service) {
            queue.remove(id);
        }
        if matches!(held.stage, Stage::Queued) {
            held.stage = Stage::Writing;
        }
    }

    pub(super) fn schedule_all(&mut self, now: Instant) {
        let busy = self.queues.iter().filter(|(_, queue)| !queue.is_empty());
        let services: Vec<_> = busy.map(|(service, _)| service.clone()).collect();
        for service in services {
            self.schedule(now, &service);
        }
    }

    /// Lets waiting requests of a service run while there is room.
    pub(super) fn schedule(&mut self, now: Instant, service: &id::Service) {
        while let Some((id, upstream)) = self.next_placement(now, service) {
            let rank = self.held[&id].request.rank;
            if let Some(peer) = self.peer_in_need(service, rank) {
                self.lend(now, &peer, service, rank, &upstream);
            } else {
                self.grant(now, id, upstream);
            }
        }
    }

    fn next_placement(
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

    /// The upstream with room that is likely to finish a request first, in time.
    ///
    /// A request that no upstream is likely to finish in time is let run while
    /// it has not waited for long: the estimate may be wrong.
    fn best_upstream(&self, now: Instant, request: &Request) -> Option<id::Upstream> {
        let answer = self.expected_answer(request);
        let position = self.position();
        let timed = |e: &Engine| (e.completion_time(request, answer, now), e.entry.id.clone());
        let with_room = self.open_engines(now, request).filter(|e| self.room_on(e, position) > 0);
        let (time, upstream) = with_room.map(timed).min()?;
        let slack = request.deadline.saturating_duration_since(now);
        let fits =
            time <= slack || self.is_fresh(now, request) && self.best_time(now, request)? > slack;
        fits.then_some(upstream)
    }

    /// Whether a request has most of its time left.
    fn is_fresh(&self, now: Instant, request: &Request) -> bool {
        let slack = request.deadline.saturating_duration_since(now);
        now.saturating_duration_since(request.arrived) < slack / FRESH_DIVISOR
    }

    /// The shortest time in which any open upstream is likely to run a request.
    pub(super) fn best_time(&self, now: Instant, request: &Request) -> Option<Duration> {
        let answer = self.expected_answer(request);
        let times =
            self.open_engines(now, request).map(|e| e.completion_time(request, answer, now));
        times.min()
    }

    /// An answer length that most answers stay below.
    fn expected_answer(&self, request: &Request) -> Tokens {
        let size = Size::of(request.prompt);
        let learnt = self.with_estimates(request, |estimates| estimates.long_answer(size));
        request.max_answer.map_or(learnt, |most| most.min(learnt))
    }

    /// Asks what was learnt about a request's service, if only the defaults.
    fn with_estimates<T>(&self, request: &Request, look: impl FnOnce(&Estimates) -> T) -> T {
        match self.estimates.get(&request.service) {
            Some(estimates) => look(estimates),
            None => look(&Estimates::default()),
        }
    }

    /// The open upstreams of the own zone, or of others where it has none.
    fn open_engines<'a>(
        &'a self,
        now: Instant,
        request: &'a Request,
    ) -> impl Iterator<Item = &'a Engine> {
        let zone = &self.options.identity.zone;
        let open = move |e: &&Engine| e.entry.service == request.service && e.is_open(now);
        let has_own = self.engines.values().filter(open).any(|e| e.entry.zone == *zone);
        let in_reach = move |e: &&Engine| !has_own || e.entry.zone == *zone;
        self.engines.values().filter(open).filter(in_reach)
    }

    fn room_on(&self, engine: &Engine, position: Position) -> u32 {
        if engine.entry.zone == self.options.identity.zone {
            return engine.free_slots(self.options.sharing, position);
        }
        let most = (engine.limit() / FOREIGN_SHARE).max(1);
        most.saturating_sub(engine.running)
    }

    fn grant(&mut self, now: Instant, id: id::Request, upstream: id::Upstream) {
        let request = &self.held[&id].request;
        let answer =
            self.with_estimates(request, |estimates| estimates.answer(Size::of(request.prompt)));
        let cost = u64::from(request.prompt.0) + ANSWER_TOKEN_COST * u64::from(answer.0);
        let (service, rank) = (request.service.clone(), request.rank);
        self.estimates.entry(service.clone()).or_default().started(rank);
        if let Some(queue) = self.queues.get_mut(&service) {
            queue.take(id, cost);
        }
        let Some(held) = self.held.get_mut(&id) else { return };
        if let Some(engine) = self.engines.get_mut(&upstream) {
            engine.running += 1;
        }
        held.stage = Stage::Claiming(upstream.clone());
        match &mut held.claim {
            Some(claim) if !claim.is_acquired() => {
                let step = claim.granted();
                self.take_step(now, id, step);
            }
            _ => self.dispatch(now, id, upstream),
        }
    }

    /// Sends a request that holds a slot to its upstream.
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
        held.stage =
            Stage::Running(Run { upstream: upstream.clone(), since: now, first: None, uncached });
        self.counters.prefilled(uncached);
        self.note(now, Subject::Request(id), format!("dispatched to {upstream}"));
        self.actions.push(Action::Dispatch { request: id, upstream });
    }

    /// Frees the slot of a request.
    pub(super) fn release(&mut self, now: Instant, id: id::Request, upstream: &id::Upstream) {
        let Some(engine) = self.engines.get_mut(upstream) else { return };
        engine.release(id);
        let is_gone =
            engine.running == 0 && self.document.upstreams.iter().all(|u| u.id != *upstream);
        if is_gone {
            self.engines.remove(upstream);
            return;
        }
        self.return_slot(now, upstream);
    }

    /// Refuses waiting requests that can no longer finish in time.
    pub(super) fn expire_waiting(&mut self, now: Instant) {
        let services: Vec<_> = self.queues.keys().cloned().collect();
        for service in services {
            while let Some(late) = self.late(now, &service) {
                self.refuse(now, late, Reason::Deadline);
            }
        }
    }

    /// A waiting request that even a free upstream would not finish in time.
    fn late(&self, now: Instant, service: &id::Service) -> Option<id::Request> {
        let is_late = |request: &&Request| {
            let slack = request.deadline.saturating_duration_since(now);
            let best = self.best_time(now, request);
            let hopeless = best.is_some_and(|best| best > slack) && !self.is_fresh(now, request);
            hopeless || slack.is_zero()
        };
        self.queues[service].earliest_deadlines().find(is_late).map(|request| request.id)
    }
}
