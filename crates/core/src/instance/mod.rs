//! An entry instance: a state machine that handles events and returns actions.

mod estimate;
mod keys;
mod peers;
mod room;
mod schedule;
mod view;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::{RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::claim::{Claim, Ended, Verdict};
use crate::config::{Document, Version};
use crate::engine::{Engine, Position, Sharing};
use crate::event::{Action, Event};
use crate::id;
use crate::invariant::Checker;
use crate::member::Members;
use crate::outcome::{Outcome, Reason};
use crate::queue::{Queue, Size};
use crate::request::{Repeat, Request};
use crate::timeline::{self, Clock, Ring, Subject};
use crate::unit::Tokens;

use estimate::Estimates;
pub use view::{Counters, Row, Stage};

/// The interval at which [`Event::Tick`] must be sent.
pub const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// The maximum number of waiting requests of one service on one instance.
pub const MAX_WAITING: usize = 2_000;
/// The number of timeline events that an instance keeps.
pub const RING_CAPACITY: usize = 8_192;
/// The shortest time after which a refused caller may retry.
pub const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// The longest time after which a refused caller may retry.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// The identity of an instance.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Its identifier.
    pub id: id::Instance,
    /// Its incarnation.
    pub incarnation: id::Incarnation,
    /// Its availability zone.
    pub zone: id::Zone,
}

/// The options of an instance.
#[derive(Clone, Debug)]
pub struct Options {
    /// Its identity.
    pub identity: Identity,
    /// The time of the runtime's clock that corresponds to `epoch_micros`.
    pub epoch: Instant,
    /// Microseconds since the Unix epoch at `epoch`.
    pub epoch_micros: u64,
    /// The seed of the claims' nonces.
    pub seed: u64,
    /// How the slots of upstreams are shared.
    pub sharing: Sharing,
}

#[derive(Debug)]
enum Phase {
    /// The record of its key is being read.
    Reading,
    /// It waits in the queue.
    Queued,
    /// It has a slot, and its key is being claimed.
    Claiming(id::Upstream),
    /// It was dispatched to an upstream.
    Running(Run),
    /// It was cancelled; it holds its slot until the call to the upstream ends.
    Cancelled(Run),
    /// It is neither queued nor has a slot; the record of its key is being written.
    Writing,
}

#[derive(Clone, Debug)]
struct Run {
    upstream: id::Upstream,
    dispatched_at: Instant,
    first_token_at: Option<Instant>,
    uncached: Tokens,
}

#[derive(Debug)]
struct Held {
    request: Request,
    claim: Option<Claim>,
    phase: Phase,
}

/// An entry instance.
///
/// ```
/// use std::time::Instant;
/// use rosemarypond_core::engine::Sharing;
/// use rosemarypond_core::event::Event;
/// use rosemarypond_core::id::Incarnation;
/// use rosemarypond_core::instance::{Identity, Instance, Options};
/// let now = Instant::now();
/// let identity = Identity {
///     id: "a1".parse()?,
///     incarnation: Incarnation(1),
///     zone: "accra-a".parse()?,
/// };
/// let options =
///     Options { identity, epoch: now, epoch_micros: 0, seed: 1, sharing: Sharing::Lent };
/// let mut instance = Instance::new(options);
/// instance.handle(now, Event::Tick);
/// assert!(!instance.take_actions().is_empty());
/// # Ok::<(), rosemarypond_core::id::Error>(())
/// ```
#[derive(Debug)]
pub struct Instance {
    options: Options,
    version: Version,
    document: Arc<Document>,
    engines: BTreeMap<id::Upstream, Engine>,
    queues: BTreeMap<id::Service, Queue>,
    held: HashMap<id::Request, Held>,
    estimates: BTreeMap<id::Service, Estimates>,
    members: Members,
    leaving_reports: BTreeSet<id::Upstream>,
    checker: Checker,
    clock: Clock,
    ring: Ring,
    nonces: ChaCha8Rng,
    draining: bool,
    last_heartbeat: Option<Instant>,
    last_other_zones_heartbeat: Option<Instant>,
    counters: Counters,
    actions: Vec<Action>,
}

impl Instance {
    /// Creates an instance without a configuration, which refuses all requests.
    pub fn new(options: Options) -> Self {
        Self {
            nonces: ChaCha8Rng::seed_from_u64(options.seed),
            options,
            version: Version::default(),
            document: Arc::default(),
            engines: BTreeMap::new(),
            queues: BTreeMap::new(),
            held: HashMap::new(),
            estimates: BTreeMap::new(),
            members: Members::default(),
            leaving_reports: BTreeSet::new(),
            checker: Checker::default(),
            clock: Clock::default(),
            ring: Ring::new(RING_CAPACITY),
            draining: false,
            last_heartbeat: None,
            last_other_zones_heartbeat: None,
            counters: Counters::default(),
            actions: Vec::new(),
        }
    }

    /// Handles an event that happened at `now`.
    pub fn handle(&mut self, now: Instant, event: Event) {
        match event {
            Event::Arrived(request) => self.arrived(now, request),
            Event::CallerLeft(request) => self.caller_left(now, request),
            Event::FirstToken(request) => self.first_token(now, request),
            Event::Ended { request, how, tokens } => self.ended(now, request, how, tokens),
            Event::Read { request, answer } => self.key_read(now, request, answer),
            Event::Written { request, answer } => self.key_written(now, request, answer),
            Event::Received(message) => self.receive(now, message),
            Event::Configured { version, document } => self.apply_config(now, version, document),
            Event::Leaving { upstream, leaving } => self.set_leaving(now, upstream, leaving),
            Event::Cache { upstream, stored, evicted } => {
                self.update_cache(now, upstream, &stored, &evicted);
            }
            Event::Drain => self.set_draining(now, true),
            Event::Undrain => self.set_draining(now, false),
            Event::Tick => self.tick(now),
        }
    }

    /// Returns the actions since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    fn arrived(&mut self, now: Instant, request: Request) {
        let id = request.id;
        self.record_event(now, Subject::Request(id), format!("arrived for {}", request.service));
        self.counters.record_arrival(request.rank);
        let (claim, first_step) = match &request.repeat {
            Repeat::Keyed(key) => {
                let (claim, step) = Claim::start(self.nonces.next_u64(), key.fingerprint);
                (Some(claim), Some(step))
            }
            Repeat::Idempotent | Repeat::Once => (None, None),
        };
        self.held.insert(id, Held { request, claim, phase: Phase::Reading });
        if let Some(reason) = self.arrival_refusal(id) {
            self.refuse(now, id, reason);
        } else if let Some(step) = first_step {
            self.perform_step(now, id, step);
        } else {
            self.enqueue(now, id);
        }
    }

    /// The reason to refuse a request on arrival, if any.
    fn arrival_refusal(&self, id: id::Request) -> Option<Reason> {
        let service = &self.held.get(&id)?.request.service;
        if self.draining {
            return Some(Reason::Draining);
        }
        let is_served = self.engines.values().any(|e| e.entry.service == *service);
        (!is_served).then_some(Reason::NoUpstream)
    }

    fn caller_left(&mut self, now: Instant, id: id::Request) {
        let Some(held) = self.held.get(&id) else { return };
        match &held.phase {
            Phase::Queued | Phase::Reading => self.refuse_and_keep_key(now, id, Reason::CallerGone),
            Phase::Running(_) if held.request.repeat.may_cancel() => {
                self.cancel(now, id, Reason::CallerGone);
            }
            _ => {}
        }
    }

    fn first_token(&mut self, now: Instant, id: id::Request) {
        let Some(held) = self.held.get_mut(&id) else { return };
        let Phase::Running(run) = &mut held.phase else { return };
        if run.first_token_at.is_some() {
            return;
        }
        run.first_token_at = Some(now);
        if let Some(engine) = self.engines.get_mut(&run.upstream) {
            engine.record_first_token(id, now);
        }
        self.record_event(now, Subject::Request(id), "first token".into());
    }

    fn ended(&mut self, now: Instant, id: id::Request, how: Ended, tokens: Tokens) {
        let Some(held) = self.held.get_mut(&id) else { return };
        let phase = std::mem::replace(&mut held.phase, Phase::Writing);
        match phase {
            Phase::Running(run) => {
                self.record_event(
                    now,
                    Subject::Request(id),
                    format!("ended {how:?} on {}", run.upstream),
                );
                self.release(now, id, &run.upstream);
                self.complete_run(now, id, &run, how, tokens);
                self.schedule_all(now);
            }
            Phase::Cancelled(run) => {
                self.release(now, id, &run.upstream);
                self.held.remove(&id);
                self.schedule_all(now);
            }
            other => held.phase = other,
        }
    }

    fn complete_run(
        &mut self,
        now: Instant,
        id: id::Request,
        run: &Run,
        how: Ended,
        tokens: Tokens,
    ) {
        match how {
            Ended::Whole => self.record_completion(now, id, run, tokens),
            Ended::NotDispatched => {
                self.fail_engine(now, &run.upstream);
                self.checker.record_connection_refused(id);
                self.enqueue(now, id);
                return;
            }
            Ended::Broken => {
                self.fail_engine(now, &run.upstream);
                self.counters.record_wasted_prefill(run.uncached);
            }
        }
        if self.held[&id].claim.is_some() {
            self.claim_ended(now, id, how);
            return;
        }
        let outcome = match run.first_token_at {
            Some(_) if self.held[&id].request.repeat.may_cancel() => Outcome::RanInPart,
            _ => Outcome::Unknown,
        };
        let verdict = match how {
            Ended::Whole => Verdict::Deliver,
            _ => Verdict::Refuse(outcome, Reason::UpstreamFailed),
        };
        self.answer(now, id, verdict);
        self.held.remove(&id);
    }

    fn record_completion(&mut self, now: Instant, id: id::Request, run: &Run, tokens: Tokens) {
        let held = &self.held[&id];
        let (rank, service) = (held.request.rank, held.request.service.clone());
        let size = Size::of(held.request.prompt);
        let in_time = now <= held.request.deadline;
        self.counters.record_answer(rank, in_time);
        let first = run.first_token_at.unwrap_or(run.dispatched_at);
        if let Some(engine) = self.engines.get_mut(&run.upstream) {
            engine.record_completion(tokens, now.duration_since(first));
        }
        self.estimates.entry(service).or_default().record_answer(size, tokens);
    }

    fn fail_engine(&mut self, now: Instant, upstream: &id::Upstream) {
        if let Some(engine) = self.engines.get_mut(upstream) {
            engine.record_failure(now);
        }
        self.record_event(now, Subject::Member(upstream.to_string()), "failed; paused".into());
    }

    /// Refuses a request that holds no slot.
    fn refuse(&mut self, now: Instant, id: id::Request, reason: Reason) {
        let Some(held) = self.held.get(&id) else { return };
        if held.claim.is_some() {
            self.refuse_keyed(now, id, reason);
            return;
        }
        self.remove_from_queue(id);
        self.answer(now, id, Verdict::Refuse(Outcome::NotRun, reason));
        self.held.remove(&id);
    }

    /// Cancels a running idempotent request and answers its caller at once.
    fn cancel(&mut self, now: Instant, id: id::Request, reason: Reason) {
        let Some(held) = self.held.get_mut(&id) else { return };
        let Phase::Running(run) = &held.phase else { return };
        let run = run.clone();
        let has_started = run.first_token_at.is_some();
        self.counters.record_wasted_prefill(run.uncached);
        held.phase = Phase::Cancelled(run);
        let outcome = if has_started { Outcome::RanInPart } else { Outcome::Unknown };
        self.answer(now, id, Verdict::Refuse(outcome, reason));
        self.actions.push(Action::Cancel { request: id });
    }

    fn answer(&mut self, now: Instant, id: id::Request, verdict: Verdict) {
        let held = &self.held[&id];
        let rank = held.request.rank;
        let retry_after = self.retry_after(&held.request);
        self.checker.check_answer(id, verdict);
        if let Verdict::Refuse(outcome, reason) = verdict {
            self.counters.record_refusal(rank, outcome, reason);
        }
        self.record_event(now, Subject::Request(id), format!("answered {verdict:?}"));
        self.actions.push(Action::Answer { request: id, verdict, retry_after });
    }

    /// The time after which a caller may retry: the expected wait, plus up to
    /// half as much to spread the retries.
    fn retry_after(&self, request: &Request) -> Duration {
        let size = Size::of(request.prompt);
        let wait = self.expected_wait(&request.service, request.rank, size).unwrap_or_default();
        let jitter = (crate::hash::stable_hash(request.id) % 512) as f64 / 1_024.0;
        let after = wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER).mul_f64(1.0 + jitter);
        after.min(MAX_RETRY_AFTER)
    }

    /// The expected wait of a request that arrives now, behind those of its
    /// tier that are not longer.
    fn expected_wait(&self, service: &id::Service, rank: u8, size: Size) -> Option<Duration> {
        let count = self.queues.get(service)?.count_up_to(rank, size);
        self.estimates.get(service)?.expected_wait(rank, count, self.own_slots(service))
    }

    /// This instance's share of the slots of a service in its zone.
    fn own_slots(&self, service: &id::Service) -> u32 {
        let (position, zone) = (self.position(), &self.options.identity.zone);
        let own = self.engines.values();
        let own = own.filter(|e| e.entry.service == *service && e.entry.zone == *zone);
        own.map(|e| e.share(self.options.sharing, position)).sum()
    }

    fn set_draining(&mut self, now: Instant, draining: bool) {
        if self.draining != draining {
            self.draining = draining;
            let description = if draining { "draining" } else { "taking requests" };
            self.record_event(
                now,
                Subject::Member(self.options.identity.id.to_string()),
                description.into(),
            );
            self.send_heartbeat(now);
        }
    }

    fn tick(&mut self, now: Instant) {
        self.expire_peers(now);
        self.expire_leases(now);
        self.send_due_heartbeats(now);
        for (service, estimates) in &mut self.estimates {
            let queue = self.queues.get(service);
            estimates.tick(TICK_INTERVAL, |rank| queue.map_or(0, |q| q.count(rank)));
        }
        self.expire_waiting(now);
        self.schedule_all(now);
        self.preempt(now);
        self.release_unused_slots(now);
    }

    fn position(&self) -> Position {
        let identity = &self.options.identity;
        self.members.position(&identity.id, &identity.zone)
    }

    fn record_event(&mut self, now: Instant, subject: Subject, description: String) {
        let elapsed = now.saturating_duration_since(self.options.epoch).as_micros() as u64;
        let stamp = self.clock.tick(self.options.epoch_micros + elapsed);
        self.ring.push(timeline::Event { stamp, subject, description });
    }
}
