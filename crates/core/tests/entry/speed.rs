//! Replays engines that differ threefold in speed, read prompts in chunks between the
//! others' tokens, and have short slow periods, in front of instances that share what
//! they see of them.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use rosemarypond_core::entry::call::{Call, Ended, Repeat};
use rosemarypond_core::entry::gossip::{Gossip, Load};
use rosemarypond_core::entry::pace::Pace;
use rosemarypond_core::entry::quota::Counting;
use rosemarypond_core::entry::scheduler::{Action, Audience, Event, Options, Scheduler};
use rosemarypond_core::entry::slowdown::Observation;
use rosemarypond_core::entry::upstream::{Location, Registration};
use rosemarypond_core::hash::stable_hash;
use rosemarypond_core::id;
use rosemarypond_core::unit::Tokens;

use crate::site::{ALLOWANCE, Site, WHOLE, WINDOW, cases, ms, name, registration, sends};

/// A step of the virtual clock.
const STEP: Duration = Duration::from_millis(5);
/// The time of a message between two machines.
const DELAY: Duration = Duration::from_millis(2);
const SLOTS: u32 = 4;
/// The prompt tokens that an engine reads in one step.
const CHUNK: f64 = 2_048.0;
/// Prompt tokens that the fastest engine reads in a millisecond.
const PROMPT_TOKENS_PER_MS: f64 = 45.0;
/// The time of a step of the fastest engine, and what each running request adds.
const STEP_MS: (f64, f64) = (5.0, 0.1);
/// The length of a slow period, how slow it is, and the percentage of engines in one.
const SLOW_PERIOD: Duration = Duration::from_millis(600);
const SLOW_FACTOR: f64 = 2.5;
const SLOW_PERCENT: u64 = 15;
/// How slow an engine is in the period in which it stands nearly still, and how many of
/// 1,000 periods are such.
const STALL_FACTOR: f64 = 100.0;
const STALLED_PERMILLE: u64 = 3;
/// The latency targets of the routes, by the number of the request.
const TARGETS_MS: [u64; 3] = [800, 1_200, 1_500];

/// The load of a replay.
#[derive(Clone, Copy, Debug)]
struct Shape {
    instances: usize,
    zones: usize,
    engines: usize,
    per_second: f64,
    seed: u64,
}

struct Run {
    instance: usize,
    request: id::Request,
    prompt_left: f64,
    tokens_left: u32,
}

struct Engine {
    registration: Registration,
    /// How many times slower it is than the fastest.
    lasting: f64,
    runs: Vec<Run>,
    step_ends: Instant,
}

struct Sent {
    at: Instant,
    target: Instant,
    expected: Duration,
    answer: u32,
    prompt: u32,
}

/// What came of the requests.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    arrived: u32,
    in_time: u32,
    late: u32,
    refused: u32,
    rejected: u32,
    /// First tokens that were expected three times as late as they came, or that came
    /// three times as late as expected.
    overestimated: u32,
    underestimated: u32,
    /// The longest time that was expected of a prompt of at most 2,000 tokens.
    longest: Duration,
}

enum Due {
    Event(Box<Event>),
    Arrival(usize, Run),
}

struct Replay {
    now: Instant,
    started: Instant,
    shape: Shape,
    instances: Vec<Scheduler>,
    engines: Vec<Engine>,
    due: BTreeMap<(Instant, u64), (usize, Due)>,
    order: u64,
    sent: HashMap<(usize, id::Request), Sent>,
    calls: HashMap<id::Request, Call>,
    tally: Tally,
    random: ChaCha8Rng,
}

impl Replay {
    fn new(shape: Shape) -> Self {
        let now = Instant::now() + Duration::from_secs(1_000);
        let mut random = ChaCha8Rng::seed_from_u64(shape.seed);
        let zone = |index: usize| -> id::Zone { name(&format!("z{}", index % shape.zones)) };
        let engines: Vec<_> = (0..shape.engines)
            .map(|index| Engine {
                registration: Registration {
                    id: name(&format!("e{index}")),
                    zone: zone(index),
                    ..registration("e", SLOTS)
                },
                lasting: 1.0 + 2.0 * f64::from(random.next_u32()) / f64::from(u32::MAX),
                runs: vec![],
                step_ends: now,
            })
            .collect();
        let location = |index: usize| Location {
            instance: name::<id::Instance>(&format!("i{index}")),
            zone: zone(index),
        };
        let start = |index: usize| {
            let mut scheduler = Scheduler::new(Options {
                location: location(index),
                incarnation: id::Incarnation(1),
                allowance: ALLOWANCE,
                counting: Counting { window: WINDOW, tolerance: 0.0, tolerance_ratio: 0.0 },
                is_joining: false,
            });
            for engine in &engines {
                scheduler.handle(now, Event::Registered(engine.registration.clone()));
            }
            for peer in (0..shape.instances).map(location) {
                scheduler.handle(now, Event::PeerRegistered(peer.instance, peer.zone));
            }
            scheduler
        };
        let instances = (0..shape.instances).map(start).collect();
        Self {
            now,
            started: now,
            shape,
            instances,
            engines,
            due: BTreeMap::new(),
            order: 0,
            sent: HashMap::new(),
            calls: HashMap::new(),
            tally: Tally::default(),
            random,
        }
    }

    fn chance(&mut self) -> f64 {
        f64::from(self.random.next_u32()) / f64::from(u32::MAX)
    }

    fn push(&mut self, at: Instant, to: usize, due: Due) {
        self.order += 1;
        self.due.insert((at, self.order), (to, due));
    }

    fn run(mut self, time: Duration) -> Tally {
        let end = self.now + time;
        let mut steps = 0u32;
        let mut arrivals = 0.0;
        while self.now < end {
            self.now += STEP;
            steps += 1;
            arrivals += self.shape.per_second * STEP.as_secs_f64();
            while arrivals >= 1.0 {
                arrivals -= 1.0;
                self.arrive();
            }
            self.deliver();
            for index in 0..self.engines.len() {
                self.run_engine(index);
            }
            if steps.is_multiple_of(4) {
                for index in 0..self.instances.len() {
                    self.handle(index, Event::Tick);
                }
            }
        }
        self.tally
    }

    fn arrive(&mut self) {
        let index = (self.chance() * self.shape.instances as f64) as usize;
        let index = index.min(self.shape.instances - 1);
        let is_long = self.chance() < 0.1;
        let size = self.chance();
        let prompt = if is_long { 4_000.0 + 8_000.0 * size } else { 100.0 + 1_500.0 * size };
        let answer = 60.0 + 140.0 * self.chance();
        self.order += 1;
        let target = TARGETS_MS[self.order as usize % TARGETS_MS.len()];
        let site = Site { now: self.now, ..Site::new() };
        let call = Call {
            prompt: Tokens(prompt as u32),
            answer: Tokens(answer as u32),
            latency_target: self.now + ms(target),
            first_byte_deadline: self.now + ms(4 * target),
            repeat: Repeat::Resumable,
            max_attempts: 3,
            ..site.call(self.order)
        };
        self.tally.arrived += 1;
        self.calls.insert(call.id, call.clone());
        self.handle(index, Event::Arrived(call));
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.due.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let (to, due) = entry.remove();
            match due {
                Due::Event(event) => self.handle(to, *event),
                Due::Arrival(engine, run) if self.engines[engine].runs.len() >= SLOTS as usize => {
                    self.tally.rejected += 1;
                    let event = Event::Ended(run.request, Ended::NotRun { misdirected: false });
                    self.push(self.now + DELAY, to, Due::Event(Box::new(event)));
                }
                Due::Arrival(engine, run) => self.engines[engine].runs.push(run),
            }
        }
    }

    fn handle(&mut self, index: usize, event: Event) {
        if let Event::FirstByte(request) = &event {
            self.count_first(index, *request);
        }
        self.instances[index].handle(self.now, event);
        for action in self.instances[index].take_actions() {
            match action {
                Action::Send { request, upstream, expected, .. } => {
                    self.send(index, request, &upstream, expected);
                }
                Action::Refuse { .. } => self.tally.refused += 1,
                Action::SendGossip { audience, gossip } => self.spread(index, audience, &gossip),
                _ => {}
            }
        }
    }

    fn send(&mut self, index: usize, id: id::Request, to: &Registration, expected: Duration) {
        let call = &self.calls[&id];
        let sent = Sent {
            at: self.now,
            target: call.latency_target,
            expected,
            answer: call.answer.0,
            prompt: call.prompt.0,
        };
        let run = Run {
            instance: index,
            request: id,
            prompt_left: f64::from(sent.prompt),
            tokens_left: sent.answer,
        };
        if sent.prompt <= 2_000 {
            self.tally.longest = self.tally.longest.max(expected);
        }
        self.sent.insert((index, id), sent);
        let is_target = |e: &Engine| e.registration.id == to.id;
        let engine = self.engines.iter().position(is_target).expect("the engine exists");
        self.push(self.now + DELAY, index, Due::Arrival(engine, run));
    }

    fn count_first(&mut self, index: usize, request: id::Request) {
        let Some(sent) = self.sent.get(&(index, request)) else { return };
        let taken = self.now - sent.at;
        self.tally.in_time += u32::from(self.now <= sent.target);
        self.tally.late += u32::from(self.now > sent.target);
        self.tally.overestimated += u32::from(sent.expected > taken * 3);
        self.tally.underestimated += u32::from(taken > sent.expected * 3);
    }

    fn spread(&mut self, from: usize, audience: Audience, gossip: &Gossip) {
        for to in (0..self.shape.instances).filter(|to| *to != from) {
            let is_own_zone = to % self.shape.zones == from % self.shape.zones;
            let is_meant = match audience {
                Audience::Everyone => true,
                Audience::OwnZone => is_own_zone,
                Audience::OtherZones => !is_own_zone,
            };
            if is_meant {
                let event = Event::Received(Box::new(gossip.clone()));
                self.push(self.now + DELAY, to, Due::Event(Box::new(event)));
            }
        }
    }

    /// How many times slower an engine is now than usual.
    fn slowdown(&self, index: usize) -> f64 {
        let offset = SLOW_PERIOD.mul_f64(index as f64 / self.engines.len() as f64);
        let period = (self.now - self.started + offset).as_millis() / SLOW_PERIOD.as_millis();
        match stable_hash((index as u64, period as u64, self.shape.seed)) % 1_000 {
            hash if hash < STALLED_PERMILLE => STALL_FACTOR,
            hash if hash < SLOW_PERCENT * 10 => SLOW_FACTOR,
            _ => 1.0,
        }
    }

    fn run_engine(&mut self, index: usize) {
        let slowdown = self.slowdown(index);
        let mut events = vec![];
        let engine = &mut self.engines[index];
        if engine.runs.is_empty() {
            engine.step_ends = self.now;
        }
        while engine.step_ends <= self.now && !engine.runs.is_empty() {
            let read = engine.runs.iter_mut().find(|run| run.prompt_left > 0.0);
            let chunk = read.map(|run| {
                let chunk = run.prompt_left.min(CHUNK);
                run.prompt_left -= chunk;
                (chunk, run.request)
            });
            let (base, each) = STEP_MS;
            let tokens = chunk.map_or(0.0, |(chunk, _)| chunk) / PROMPT_TOKENS_PER_MS;
            let taken =
                (base + each * engine.runs.len() as f64 + tokens) * engine.lasting * slowdown;
            engine.step_ends += Duration::from_secs_f64(taken / 1e3);
            for run in engine.runs.iter_mut().filter(|run| run.prompt_left <= 0.0) {
                run.tokens_left -= 1;
                if chunk.is_some_and(|(_, request)| request == run.request) {
                    events.push((engine.step_ends, run.instance, Event::FirstByte(run.request)));
                }
                if run.tokens_left == 0 {
                    let tokens = self.calls[&run.request].answer;
                    let event = Event::Ended(run.request, Ended::Whole { tokens });
                    events.push((engine.step_ends, run.instance, event));
                }
            }
            engine.runs.retain(|run| run.tokens_left > 0);
        }
        for (at, instance, event) in events {
            self.push(at + DELAY, instance, Due::Event(Box::new(event)));
        }
    }
}

impl Tally {
    fn add(&mut self, other: Tally) {
        self.arrived += other.arrived;
        self.in_time += other.in_time;
        self.late += other.late;
        self.refused += other.refused;
        self.rejected += other.rejected;
        self.overestimated += other.overestimated;
        self.underestimated += other.underestimated;
        self.longest = self.longest.max(other.longest);
    }
}

/// Replays three seeds of each load, in requests per second.
fn replay(shape: Shape, loads: [f64; 3]) -> [Tally; 3] {
    loads.map(|per_second| {
        let mut all = Tally::default();
        for seed in 1..=3 {
            all.add(Replay::new(Shape { per_second, seed, ..shape }).run(ms(30_000)));
        }
        println!("{per_second}/s: {all:?}");
        all
    })
}

const FEW: Shape = Shape { instances: 8, zones: 2, engines: 24, per_second: 0.0, seed: 0 };
const MANY: Shape = Shape { instances: 30, zones: 3, engines: 48, per_second: 0.0, seed: 0 };

/// A load that an upstream of the service is reported with, by a build that does not tell
/// when it observed it.
fn report(upstream: &str, prefill_us: f64, observations: u32) -> Load {
    Load {
        upstream: name(upstream),
        running: 0,
        prefill: Tokens(0),
        pace: Pace { prefill_us, observations, ..Pace::default() },
        rejection_limit: None,
        observation: None,
    }
}

fn receive(site: &mut Site, sequence: u64, loads: Vec<Load>) {
    let gossip = Gossip { loads, ..site.gossip("a2", sequence) };
    site.handle(Event::Received(Box::new(gossip)));
}

fn prefill_us(site: &Site, upstream: &str) -> f64 {
    site.scheduler.fleet().get(&name(upstream)).expect("it is registered").pace.prefill_us
}

/// One first token that came after 3 s is no engine's lasting speed, and the engine is
/// used again once its slow period has passed.
fn late_token(mut site: Site) {
    site.register("e1", 4);
    site.register("e2", 4);
    receive(&mut site, 1, vec![report("e1", 25.0, 50), report("e2", 25.0, 50)]);
    let call = site.call(1);
    let first = sends(&site.arrive(call))[0].1.clone();
    let before = prefill_us(&site, &first);
    site.now += ms(3_000);
    site.handle(Event::FirstByte(id::Request(1)));
    site.end(1, WHOLE);
    let after = prefill_us(&site, &first);
    assert!(after < before * 1.1, "{before} to {after}");
    let call = site.call(2);
    assert_ne!(sends(&site.arrive(call))[0].1, first, "it is slow at the moment");
    site.end(2, Ended::Abandoned);
    site.advance(ms(4_000));
    let call = site.call(3);
    assert_eq!(sends(&site.arrive(call))[0].1, first);
}

/// What a peer took for an engine's lasting speed after one late token is not adopted,
/// however often it is said.
fn peer_misjudges(mut site: Site) {
    site.register("e1", 4);
    receive(&mut site, 1, vec![report("e1", 25.0, 50)]);
    let before = prefill_us(&site, "e1");
    for sequence in 2..50 {
        receive(&mut site, sequence, vec![report("e1", 7_000.0, 60)]);
    }
    let after = prefill_us(&site, "e1");
    assert!(after < before * 1.3, "{before} to {after}");
}

/// An engine that was misjudged, and gets no requests for that, is taken for a usual one
/// after some time.
fn drifts(mut site: Site) {
    for upstream in ["e1", "e2", "e3", "e4"] {
        site.register(upstream, 4);
        let prefill = if upstream == "e4" { 120.0 } else { 25.0 };
        receive(
            &mut site,
            2 + u64::from(upstream.as_bytes()[1]),
            vec![report(upstream, prefill, 9)],
        );
    }
    let before = prefill_us(&site, "e4");
    assert!(before > 80.0, "{before}");
    for _ in 0..120 {
        site.advance(ms(500));
    }
    let after = prefill_us(&site, "e4");
    assert!(after < 50.0, "{before} to {after}");
}

/// A request does not go to an engine at which a peer's first token is overdue.
fn overdue_at_a_peer(mut site: Site) {
    site.register("e1", 4);
    site.register("e2", 4);
    let call = site.call(1);
    let first = sends(&site.arrive(call))[0].1.clone();
    site.end(1, Ended::Abandoned);
    let observation = Observation { factor: 2.5, age: ms(0) };
    let overdue = Load { observation: Some(observation), ..report(&first, 30.0, 0) };
    receive(&mut site, 1, vec![overdue]);
    let call = site.call(2);
    assert_ne!(sends(&site.arrive(call))[0].1, first);
}

cases! {
    one_late_token_does_not_condemn_an_engine => late_token;
    misjudgement_of_a_peer_is_not_adopted => peer_misjudges;
    engine_that_is_not_observed_becomes_a_usual_one => drifts;
    engine_that_a_peer_sees_slow_is_avoided => overdue_at_a_peer;
    /// Bounds between the figures before and after: 9,148 and 9,225 in time, 41 and 11
    /// overestimated, 274 and 40 rejected at the middle load.
    engines_of_unlike_speed_are_used_well_by_few_instances => |_| {
        let tallies = replay(FEW, [60.0, 40.0, 8.0]);
        let sum = |part: fn(&Tally) -> u32| tallies.iter().map(part).sum::<u32>();
        assert!(sum(|t| t.in_time) >= 9_180, "{tallies:?}");
        assert!(sum(|t| t.overestimated) <= 25, "{tallies:?}");
        assert!(tallies[1].rejected <= 120, "{tallies:?}");
    };
    /// The same: 17,952 and 18,053 in time, 177 and 32 overestimated, 584 and 257 rejected.
    engines_of_unlike_speed_are_used_well_by_many_instances => |_| {
        let tallies = replay(MANY, [120.0, 80.0, 16.0]);
        let sum = |part: fn(&Tally) -> u32| tallies.iter().map(part).sum::<u32>();
        assert!(sum(|t| t.in_time) >= 17_990, "{tallies:?}");
        assert!(sum(|t| t.overestimated) <= 90, "{tallies:?}");
        assert!(tallies[1].rejected <= 400, "{tallies:?}");
    };
}
