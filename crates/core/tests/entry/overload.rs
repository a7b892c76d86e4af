//! Bursts beyond the capacity of the upstreams, on a virtual clock: callers leave before
//! the first event, come back as told, or come back at once. Guards against work that is
//! sent too late for its caller, and against refusals that come after a long wait.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use rosemarypond_core::entry::call::{Call, Ended, Reason, Repeat};
use rosemarypond_core::entry::gossip::Gossip;
use rosemarypond_core::entry::quota::Counting;
use rosemarypond_core::entry::scheduler::{Action, Audience, Event, Options, Scheduler};
use rosemarypond_core::entry::upstream::{Location, Registration};
use rosemarypond_core::id;
use rosemarypond_core::unit::Tokens;

use crate::site::{ALLOWANCE, Site, WINDOW, cases, ms, name, refusals, registration, sends};

const STEP: Duration = Duration::from_millis(10);
/// The time to the first token of an engine of speed 1 without a prompt.
const BASE: Duration = Duration::from_millis(20);
/// The burst begins at this time ...
const BURST_START: Duration = Duration::from_secs(3);
/// ... and ends at this one.
const BURST_END: Duration = Duration::from_secs(8);
/// No request comes after this time.
const LAST_ARRIVAL: Duration = Duration::from_secs(10);
const END: Duration = Duration::from_secs(14);
/// Slots of an engine and of a plain service.
const SLOTS: u32 = 5;
const PLAIN_SLOTS: u32 = 6;
/// A plain service lets this many requests wait for each slot.
const PLAIN_QUEUE: usize = 3;

/// What callers of a kind want; times in milliseconds.
#[derive(Clone, Copy)]
struct Kind {
    target: u64,
    first_byte: u64,
    timeout: u64,
    urgency: u8,
}

/// A deployment's callers, and what a late answer is worth to them.
struct Deployment {
    streams: [Kind; 3],
    plain: Kind,
    plain_work: Duration,
    late_credit: f64,
}

const fn kind(target: u64, first_byte: u64, timeout: u64, urgency: u8) -> Kind {
    Kind { target, first_byte, timeout, urgency }
}

const FIRST: Deployment = Deployment {
    streams: [
        kind(800, 3_200, 12_000, 0),
        kind(1_200, 4_800, 6_000, 1),
        kind(1_500, 6_000, 15_000, 2),
    ],
    plain: kind(150, 1_000, 1_000, 0),
    plain_work: Duration::from_millis(30),
    late_credit: 0.1,
};
const SECOND: Deployment = Deployment {
    streams: [
        kind(600, 4_000, 8_000, 0),
        kind(800, 4_000, 10_000, 1),
        kind(1_000, 4_000, 12_000, 2),
    ],
    plain: kind(200, 1_200, 1_200, 0),
    plain_work: Duration::from_millis(60),
    late_credit: 0.5,
};

/// A request of a caller, over all its returns.
struct Caller {
    kind: usize,
    sent: Instant,
    returns: u32,
    prompt: u32,
    answer: u32,
    credit: f64,
}

struct Run {
    instance: usize,
    request: id::Request,
    first_at: Instant,
    end_at: Instant,
    has_begun: bool,
    tokens: u32,
}

struct Engine {
    registration: Registration,
    speed: f64,
    /// When each slot of a plain service, or the processing of prompts, is free.
    free: Vec<Instant>,
    runs: Vec<Run>,
}

enum Due {
    Gossip(usize, Box<Gossip>),
    Arrive(usize),
}

/// What was counted of callers.
#[derive(Debug, Default)]
struct Outcome {
    callers: u32,
    /// The credit of streams and of plain calls, per caller.
    streams: f64,
    plain: f64,
    in_time: u32,
    late: u32,
    /// Refusals after more than half of the caller's time for a first byte.
    long_waits: u32,
    refusals: u32,
    /// Callers that left while an engine worked for them.
    wasted: u32,
    rejected: u32,
}

struct World {
    start: Instant,
    now: Instant,
    deployment: &'static Deployment,
    instances: Vec<Scheduler>,
    zones: usize,
    engines: Vec<Engine>,
    due: BTreeMap<(Instant, u64), Due>,
    order: u64,
    callers: Vec<Caller>,
    held: HashMap<id::Request, (usize, usize, Call, Option<usize>, bool)>,
    random: ChaCha8Rng,
    outcome: Outcome,
}

impl World {
    fn new(deployment: &'static Deployment, size: (usize, usize, usize, usize), seed: u64) -> Self {
        let (instances, engines, plain, zones) = size;
        let start = Instant::now() + Duration::from_secs(100);
        let zone = |n: usize| name::<id::Zone>(&format!("z{}", n % zones));
        let location = |n| Location { instance: name(&format!("i{n}")), zone: zone(n) };
        let engine = |n: usize| {
            let is_plain = n >= engines;
            let slots = if is_plain { PLAIN_SLOTS } else { SLOTS };
            let registration = registration(&format!("e{n}"), slots);
            let service = name(if is_plain { "plain" } else { "models" });
            Engine {
                registration: Registration { zone: zone(n), service, ..registration },
                speed: if is_plain { 1.0 } else { [1.0, 1.7, 3.0][n / zones % 3] },
                free: vec![start; if is_plain { slots as usize } else { 1 }],
                runs: vec![],
            }
        };
        let engines: Vec<_> = (0..engines + plain).map(engine).collect();
        let new = |n| {
            let mut scheduler = Scheduler::new(Options {
                location: location(n),
                incarnation: id::Incarnation(1),
                allowance: ALLOWANCE,
                counting: Counting { window: WINDOW, tolerance: 0.0, tolerance_ratio: 0.0 },
                is_joining: false,
            });
            for engine in &engines {
                scheduler.handle(start, Event::Registered(engine.registration.clone()));
            }
            for peer in (0..instances).map(location) {
                scheduler.handle(start, Event::PeerRegistered(peer.instance, peer.zone));
            }
            scheduler
        };
        Self {
            start,
            now: start,
            deployment,
            instances: (0..instances).map(new).collect(),
            zones,
            engines,
            due: BTreeMap::new(),
            order: 0,
            callers: vec![],
            held: HashMap::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            outcome: Outcome::default(),
        }
    }

    fn chance(&mut self) -> f64 {
        f64::from(self.random.next_u32()) / f64::from(u32::MAX)
    }

    fn push(&mut self, at: Instant, due: Due) {
        self.order += 1;
        self.due.insert((at, self.order), due);
    }

    fn kind(&self, kind: usize) -> Kind {
        self.deployment.streams.get(kind).copied().unwrap_or(self.deployment.plain)
    }

    /// The streams and the plain calls per second that the engines can answer.
    fn capacity(&self) -> (f64, f64) {
        let of = |engine: &Engine| match engine.registration.slots {
            PLAIN_SLOTS => (0.0, f64::from(PLAIN_SLOTS) / self.deployment.plain_work.as_secs_f64()),
            // The mean request has 2,000 tokens of prompt and 150 of answer.
            slots => (f64::from(slots) / (0.605 * engine.speed), 0.0),
        };
        self.engines.iter().map(of).fold((0.0, 0.0), |sum, of| (sum.0 + of.0, sum.1 + of.1))
    }

    fn new_callers(&mut self, load: f64) {
        let (streams, plain) = self.capacity();
        // Plain calls get a fifth of the load of their service beyond the streams' burst.
        for (rate, is_plain) in [(streams, false), (plain.min(streams * 2.0), true)] {
            let expected = rate * load * STEP.as_secs_f64();
            let count = expected.floor() + f64::from(self.chance() < expected.fract());
            for _ in 0..count as u32 {
                let kind = if is_plain { 3 } else { (self.chance() * 2.99) as usize };
                let size = 0.25 + 1.5 * self.chance();
                let long = if self.chance() < 0.02 { 8.0 } else { 0.86 };
                let prompt = if is_plain { 0 } else { (2_000.0 * size * long) as u32 };
                let answer = (75.0 + 150.0 * self.chance()) as u32;
                let (sent, returns, credit) = (self.now, 0, 0.0);
                self.callers.push(Caller { kind, sent, returns, prompt, answer, credit });
                self.arrive(self.callers.len() - 1);
            }
        }
    }

    fn arrive(&mut self, caller: usize) {
        self.order += 1;
        let index = (self.chance() * self.instances.len() as f64) as usize % self.instances.len();
        let Caller { kind, prompt, answer, .. } = self.callers[caller];
        let is_plain = prompt == 0;
        let kind = self.kind(kind);
        let now = self.now;
        let site = Site { now, ..Site::new() };
        let call = Call {
            service: name(if is_plain { "plain" } else { "models" }),
            urgency: kind.urgency,
            repeat: if is_plain { Repeat::Idempotent } else { Repeat::Resumable },
            max_attempts: 3,
            latency_target: now + ms(kind.target),
            first_byte_deadline: now + ms(kind.first_byte),
            deadline: now + ms(kind.timeout),
            prompt: Tokens(prompt),
            answer: Tokens(if is_plain { 0 } else { answer }),
            ..site.call(self.order)
        };
        self.held.insert(call.id, (caller, index, call.clone(), None, false));
        self.handle(index, Event::Arrived(call));
    }

    fn handle(&mut self, index: usize, event: Event) {
        self.instances[index].handle(self.now, event);
        for action in self.instances[index].take_actions() {
            match action {
                Action::Send { request, upstream, .. } => self.sent(index, request, &upstream),
                Action::Refuse { request, retry_after, .. } => self.refused(request, retry_after),
                Action::SendGossip { audience, gossip } => self.gossip(index, audience, &gossip),
                _ => {}
            }
        }
    }

    fn gossip(&mut self, from: usize, audience: Audience, gossip: &Gossip) {
        for to in (0..self.instances.len()).filter(|to| *to != from) {
            let is_own = to % self.zones == from % self.zones;
            let is_meant = match audience {
                Audience::Everyone => true,
                Audience::OwnZone => is_own,
                Audience::OtherZones => !is_own,
            };
            if is_meant {
                self.push(self.now + ms(3), Due::Gossip(to, Box::new(gossip.clone())));
            }
        }
    }

    fn sent(&mut self, instance: usize, request: id::Request, upstream: &Registration) {
        let Some((_, _, call, sent_to, _)) = self.held.get_mut(&request) else { return };
        let engine = self.engines.iter().position(|e| e.registration.id == upstream.id);
        let index = engine.expect("the engine exists");
        let engine = &mut self.engines[index];
        let is_plain = call.prompt.0 == 0;
        let slots = engine.registration.slots as usize;
        let most = if is_plain { slots * (1 + PLAIN_QUEUE) } else { slots };
        if engine.runs.len() >= most {
            self.outcome.rejected += 1;
            self.handle(instance, Event::Ended(request, Ended::NotRun { misdirected: false }));
            return;
        }
        *sent_to = Some(index);
        let free = engine.free.iter_mut().min().expect("there is a slot");
        let work =
            BASE + Duration::from_micros(u64::from(call.prompt.0) * 30).mul_f64(engine.speed);
        let work = if is_plain { self.deployment.plain_work } else { work };
        *free = (*free).max(self.now) + work;
        let answer = ms(u64::from(call.answer.0) * 7 / 2).mul_f64(engine.speed);
        let (first_at, end_at) = (*free, *free + answer);
        let tokens = call.answer.0;
        engine.runs.push(Run { instance, request, first_at, end_at, has_begun: false, tokens });
    }

    fn refused(&mut self, request: id::Request, retry_after: Duration) {
        let Some((index, _, call, ..)) = self.held.remove(&request) else { return };
        self.outcome.refusals += 1;
        let waited = self.now.saturating_duration_since(call.arrived);
        let whole = call.first_byte_deadline.saturating_duration_since(call.arrived);
        self.outcome.long_waits += u32::from(waited > whole / 2);
        let timeout = ms(self.kind(self.callers[index].kind).timeout);
        let caller = &mut self.callers[index];
        caller.returns += 1;
        // Of four callers two come back once as told, and one at once, three times.
        let after = match (index % 4, caller.returns) {
            (0 | 1, 1) => retry_after,
            (2, 1..=3) => ms(20),
            _ => return,
        };
        if self.now + after < caller.sent + timeout {
            self.push(self.now + after, Due::Arrive(index));
        }
    }

    fn leave(&mut self) {
        let now = self.now;
        let left = self.held.iter().filter(|(_, (_, _, call, _, has_begun))| {
            (now >= call.first_byte_deadline && !has_begun) || now >= call.deadline
        });
        let mut left: Vec<_> = left.map(|(id, held)| (*id, held.1, held.3)).collect();
        left.sort();
        for (request, instance, sent_to) in left {
            self.held.remove(&request);
            if let Some(engine) = sent_to {
                self.outcome.wasted += 1;
                self.engines[engine].runs.retain(|run| run.request != request);
            }
            self.handle(instance, Event::Ended(request, Ended::Abandoned));
        }
    }

    fn work(&mut self) {
        let now = self.now;
        for index in 0..self.engines.len() {
            let runs = &mut self.engines[index].runs;
            let mut events = vec![];
            for run in runs.iter_mut() {
                if !run.has_begun && now >= run.first_at {
                    run.has_begun = true;
                    events.push((run.instance, run.request, None));
                }
                if now >= run.end_at {
                    events.push((run.instance, run.request, Some(run.tokens)));
                }
            }
            runs.retain(|run| now < run.end_at);
            for (instance, request, ended) in events {
                match ended {
                    None => {
                        self.begun(request);
                        self.handle(instance, Event::FirstByte(request));
                    }
                    Some(tokens) => {
                        self.held.remove(&request);
                        let whole = Ended::Whole { tokens: Tokens(tokens) };
                        self.handle(instance, Event::Ended(request, whole));
                    }
                }
            }
        }
    }

    /// Credits a caller for the first event of its answer, from when it first asked.
    fn begun(&mut self, request: id::Request) {
        let Some(held) = self.held.get_mut(&request) else { return };
        held.4 = true;
        let index = held.0;
        let target = ms(self.kind(self.callers[index].kind).target);
        let is_in_time = self.now <= self.callers[index].sent + target;
        self.outcome.in_time += u32::from(is_in_time);
        self.outcome.late += u32::from(!is_in_time);
        self.callers[index].credit = if is_in_time { 1.0 } else { self.deployment.late_credit };
    }

    fn run(mut self, burst: f64) -> Outcome {
        while self.now < self.start + END {
            self.now += STEP;
            let time = self.now - self.start;
            let is_burst = (BURST_START..BURST_END).contains(&time);
            if time < LAST_ARRIVAL {
                self.new_callers(if is_burst { burst } else { 0.7 });
            }
            while let Some(entry) = self.due.first_entry().filter(|e| e.key().0 <= self.now) {
                match entry.remove() {
                    Due::Gossip(to, gossip) => self.handle(to, Event::Received(gossip)),
                    Due::Arrive(caller) => self.arrive(caller),
                }
            }
            self.work();
            self.leave();
            if time.as_millis().is_multiple_of(20) {
                for index in 0..self.instances.len() {
                    self.handle(index, Event::Tick);
                }
            }
        }
        let mut outcome = self.outcome;
        outcome.callers = self.callers.len() as u32;
        let mean = |is_plain: bool| {
            let callers = self.callers.iter().filter(|c| (c.prompt == 0) == is_plain);
            let credits: Vec<_> = callers.map(|c| c.credit).collect();
            credits.iter().sum::<f64>() / credits.len().max(1) as f64
        };
        (outcome.streams, outcome.plain) = (mean(false), mean(true));
        outcome
    }
}

/// Instances, engines, plain services and zones.
const FEW: (usize, usize, usize, usize) = (6, 18, 1, 3);
const MANY: (usize, usize, usize, usize) = (31, 48, 3, 3);

/// Plays bursts of several heights; checks the mean goodput of streams and of plain
/// calls, and the share of refusals that came after half of the caller's time.
fn burst(
    deployment: &'static Deployment,
    size: (usize, usize, usize, usize),
    streams: f64,
    plain: f64,
    most_long_waits: f64,
) {
    let mut sums = (0.0, 0.0, 0.0);
    for (seed, height) in [(1, 1.8), (2, 2.1), (3, 2.4)] {
        let outcome = World::new(deployment, size, seed).run(height);
        println!("{height}: {outcome:?}");
        let long = f64::from(outcome.long_waits) / f64::from(outcome.refusals.max(1));
        sums = (sums.0 + outcome.streams, sums.1 + outcome.plain, sums.2 + long);
    }
    let (s, p, l) = (sums.0 / 3.0, sums.1 / 3.0, sums.2 / 3.0);
    println!("streams {s:.4}, plain {p:.4}, long waits {l:.3}");
    assert!(s >= streams && p >= plain && l <= most_long_waits, "{s} {p} {l}");
}

/// So many slow answers prove a lasting speed.
const SLOW_ANSWERS: u64 = 60;

/// Nothing is sent to an engine that is known to be too slow for the caller, while one
/// whose speed was not seen for a while is tried again.
fn no_send_after_the_caller_leaves(mut site: Site) {
    site.register("e1", 2);
    for id in 1..=SLOW_ANSWERS {
        let call = Call { first_byte_deadline: site.now + ms(20_000), ..site.call(id) };
        let call = Call { deadline: site.now + ms(60_000), ..call };
        assert_eq!(sends(&site.arrive(call)).len(), 1);
        site.now += ms(3_000);
        site.handle(Event::FirstByte(id::Request(id)));
        site.end(id, Ended::Whole { tokens: Tokens(100) });
    }
    let short = Call { prompt: Tokens(3_000), ..site.call(SLOW_ANSWERS + 1) };
    let actions = site.arrive(short.clone());
    assert_eq!(sends(&actions), [], "the first event would come after the caller left");
    let actions = site.advance(ms(20));
    assert!(refusals(&actions).iter().all(|(_, reason)| *reason == Reason::Deadline));
    site.now += ms(10_000);
    let call = Call { prompt: Tokens(3_000), ..site.call(SLOW_ANSWERS + 2) };
    assert_eq!(sends(&site.arrive(call)).len(), 1, "a speed that was not seen lately is no proof");
}

cases! {
    nothing_is_sent_that_starts_after_its_caller_leaves => no_send_after_the_caller_leaves;
    burst_at_few_instances_where_late_is_worth_a_tenth =>
        |_: Site| burst(&FIRST, FEW, 0.61, 0.50, 0.6);
    burst_at_few_instances_where_late_is_worth_half =>
        |_: Site| burst(&SECOND, FEW, 0.68, 0.54, 0.5);
    burst_at_many_instances_where_late_is_worth_a_tenth =>
        |_: Site| burst(&FIRST, MANY, 0.57, 0.45, 0.6);
    burst_at_many_instances_where_late_is_worth_half =>
        |_: Site| burst(&SECOND, MANY, 0.64, 0.435, 0.4);
}
