//! Many instances and engines on a virtual clock: gossip that is late or lost,
//! engines that answer, crash and start again.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use rosemarypond_core::config::Version;
use rosemarypond_core::entry::baseline::{self, Baseline};
use rosemarypond_core::entry::call::{Call, Delegation, Ended, Origin, Repeat};
use rosemarypond_core::entry::gossip::{Begun, Cause, Gossip};
use rosemarypond_core::entry::plan::{self, Plan};
use rosemarypond_core::entry::quota::Counting;
use rosemarypond_core::entry::rollout::share::Exposure;
use rosemarypond_core::entry::rollout::{self, Order, Step};
use rosemarypond_core::entry::scheduler::{Action, Audience, Event, Options, Scheduler};
use rosemarypond_core::entry::upstream::{Location, Registration};
use rosemarypond_core::entry::watermark::Era;
use rosemarypond_core::id;
use rosemarypond_core::unit::{RequestRate, Tokens};

use crate::site::{ALLOWANCE, Site, WINDOW, ms, name};

/// A step of the virtual clock.
pub const STEP: Duration = Duration::from_millis(10);
/// The time of a message between two machines.
const DELAY: Duration = Duration::from_millis(3);
/// The time from the arrival of a request at an engine to its first token: the
/// least, and what is added at most.
const FIRST_TOKEN_MS: (u64, u64) = (60, 200);
/// The time from the first to the last token.
const ANSWER_TIME: Duration = Duration::from_millis(700);
/// The time from the first token of a deadly prompt to the crash.
const CRASH_DELAY: Duration = Duration::from_millis(50);
/// How long a crashed engine stays in the directory.
const LISTED_TIME: Duration = Duration::from_millis(1_500);
/// How long a crashed engine is down.
const RESTART_TIME: Duration = Duration::from_secs(3);
/// The time of a call to the store.
const STORE_TIME: Duration = Duration::from_millis(20);
/// How long an instance waits for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// How many requests an engine holds at once.
const SLOTS: u32 = 4;

/// How large a network is.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub instances: usize,
    pub zones: usize,
    pub engines: usize,
}

pub const SMALL: Size = Size { instances: 6, zones: 3, engines: 9 };
pub const MEDIUM: Size = Size { instances: 60, zones: 4, engines: 90 };
pub const LARGE: Size = Size { instances: 195, zones: 5, engines: 120 };

/// A request that an engine holds.
#[derive(Debug)]
struct Run {
    instance: usize,
    incarnation: u64,
    request: id::Request,
    is_deadly: bool,
    /// Whether it is answered with a failure.
    fails: bool,
    sent: Instant,
    first_at: Instant,
    has_begun: bool,
}

impl Run {
    /// For how long it has been answered, if it is.
    fn answering(&self, now: Instant) -> Option<Duration> {
        self.has_begun.then(|| now.saturating_duration_since(self.first_at))
    }
}

#[derive(Debug)]
struct Engine {
    registration: Registration,
    runs: Vec<Run>,
    is_up: bool,
}

/// What an engine saw of a request.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub engine: usize,
    pub is_deadly: bool,
    pub stream: Option<id::Stream>,
}

/// How the requests of a kind ended.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Tally {
    pub sent: u32,
    /// Those whose first attempt began to be answered.
    pub begun: u32,
    pub whole: u32,
    /// Those whose first event came by their latency target.
    pub in_time: u32,
}

impl Tally {
    /// What was added since `before`.
    pub fn since(self, before: Tally) -> Tally {
        Tally {
            sent: self.sent - before.sent,
            begun: self.begun - before.begun,
            whole: self.whole - before.whole,
            in_time: self.in_time - before.in_time,
        }
    }
}

struct Waiting {
    kind: &'static str,
    attempts: u32,
    call: Call,
    /// The instance that delegated it, its start, and its number of the request.
    delegated_by: Option<(usize, u64, id::Request)>,
    /// The engine that it was sent to.
    sent_to: Option<usize>,
    ended: Option<Ended>,
}

enum Due {
    Gossip(Box<Gossip>),
    Event(Box<Event>, u64),
    /// A delegated request arrives.
    Delegated(Box<Waiting>),
    /// Every instance removes the engine from its directory.
    Deregister(id::Upstream),
    /// The engine starts again.
    Restart(usize),
}

/// What the shared store has of streams.
#[derive(Debug, Default)]
pub struct Store {
    pub baselines: BTreeMap<id::Service, Baseline>,
    pub records: usize,
    begun: Vec<Begun>,
    version: u64,
    pub rollouts: BTreeMap<id::Service, rollout::Row>,
    /// The steps that were written, with their times.
    pub steps: Vec<(Instant, Step)>,
    pub era: Era,
    /// Whether calls for rollouts are not answered.
    pub is_down: bool,
    /// Whether writes of rollouts are carried out and not answered.
    pub loses_answers: bool,
    opened: Option<Instant>,
}

impl Store {
    /// Writes the row of a rollout if it has the version that is to be replaced.
    fn write_rollout(&mut self, change: rollout::Change, now: Instant) {
        let rollout::Change { service, order, step, age, judge, replaces } = change;
        if self.rollouts.get(&service).map_or(0, |row| row.version) != replaces {
            return;
        }
        self.version += 1;
        let started = self.clock(now).saturating_sub(age);
        let (era, version) = (self.era, self.version);
        let row = rollout::Row { order, step, started, era, judge, version };
        self.steps.push((now, step));
        self.rollouts.insert(service, row);
    }

    fn clock(&self, now: Instant) -> Duration {
        self.opened.map_or(Duration::ZERO, |opened| now.saturating_duration_since(opened))
    }

    fn read_rollouts(&self, now: Instant) -> Event {
        let rows = self.rollouts.clone().into_iter().collect();
        let answered_at = Some(self.clock(now));
        Event::RolloutsRead(rollout::Read { began: now, era: self.era, answered_at, rows })
    }

    fn set_baseline(&mut self, change: baseline::Change) {
        let baseline::Change { service, release, is_closing, era, replaces } = change;
        if self.baselines.get(&service).map_or(0, |known| known.row) == replaces {
            self.version += 1;
            let row = self.version;
            self.baselines.insert(service, Baseline { release, is_closing, era, row });
        }
    }

    fn record(&mut self, begun: Vec<Begun>) {
        self.records += begun.len();
        self.begun.extend(begun);
    }

    fn read(&self, now: Instant) -> Event {
        let baselines = self.baselines.clone().into_iter().collect();
        let read = baseline::Read {
            began: Some(now),
            baselines_began: now,
            era: Era::default(),
            baselines,
        };
        Event::StreamsRead(read, self.begun.clone())
    }
}

pub struct Network {
    pub now: Instant,
    pub size: Size,
    /// Whether requests of the kind "deadly" crash engines.
    pub crashes_engines: bool,
    /// The fraction of the gossip that is lost.
    pub loss: f64,
    pub crashes: Vec<Instant>,
    pub arrivals: Vec<Arrival>,
    pub quarantined: Vec<Cause>,
    /// The limit that each engine names, if any.
    pub limits: BTreeMap<usize, RequestRate>,
    /// The fraction of the requests that engines reject as not run.
    pub rejected: f64,
    /// The rejections per second beyond which each engine crashes; engines that name
    /// them let nothing wait.
    pub rejection_limit: Option<u32>,
    /// When each engine rejected requests for want of room.
    pub rejections: Vec<(Instant, usize)>,
    /// Whether engines reject what they have no room for.
    pub has_full_engines: bool,
    /// Between these zones no gossip arrives.
    pub partitioned: BTreeSet<(usize, usize)>,
    /// How many times slower the engines of a zone are.
    pub slowness: BTreeMap<usize, u32>,
    /// The most needs, offers and loads in one digest.
    pub max_spill_entries: usize,
    /// How many requests engines of another zone than the instance's rejected for want of
    /// room.
    pub foreign_rejections: usize,
    /// The instances that have no paths to any engine.
    pub cut: BTreeSet<usize>,
    /// How often an instance tried to reach an engine that it could not reach.
    pub unreached: usize,
    pub store: Store,
    /// The part of the requests that engines of version v2 answer with a failure.
    pub failing: f64,
    /// The same with so many requests on the engine at least.
    pub failing_from: usize,
    /// By how much longer engines of version v2 take.
    pub version_slowness: f64,
    /// The instances that handle nothing.
    pub paused: BTreeSet<usize>,
    /// Whether the messages between zones are lost.
    pub is_split: bool,
    orders: u64,
    instances: Vec<(u64, Scheduler)>,
    engines: Vec<Engine>,
    due: BTreeMap<(Instant, u64), (usize, Due)>,
    order: u64,
    waiting: HashMap<(usize, id::Request), Waiting>,
    tallies: HashMap<&'static str, Tally>,
    random: ChaCha8Rng,
}

/// A plan with a route to the engines, whose streams may be resumed.
pub fn plan() -> Plan {
    let route = plan::Route {
        name: "stream".to_owned(),
        host: "site".to_owned(),
        prefix: "/".to_owned(),
        repeat: Repeat::Resumable,
        is_stream: true,
        timeout: ms(8_000),
        latency_target: ms(800),
        first_byte_timeout: ms(4_000),
        rank: 0,
        targets: vec![plan::Target { service: name("models"), weight: 1 }],
        max_attempts: 3,
        is_public: true,
    };
    Plan::new(Version(1), plan::Limits::default(), [route], [], [])
}

impl Network {
    pub fn new(size: Size, seed: u64) -> Self {
        let mut network = Self {
            now: Instant::now() + Duration::from_secs(1_000),
            size,
            crashes_engines: false,
            loss: 0.0,
            crashes: vec![],
            arrivals: vec![],
            quarantined: vec![],
            limits: BTreeMap::new(),
            rejected: 0.0,
            rejection_limit: None,
            rejections: vec![],
            has_full_engines: false,
            partitioned: BTreeSet::new(),
            slowness: BTreeMap::new(),
            max_spill_entries: 0,
            foreign_rejections: 0,
            cut: BTreeSet::new(),
            unreached: 0,
            store: Store::default(),
            failing: 0.0,
            failing_from: 0,
            version_slowness: 1.0,
            paused: BTreeSet::new(),
            is_split: false,
            orders: 0,
            instances: vec![],
            engines: vec![],
            due: BTreeMap::new(),
            order: 0,
            waiting: HashMap::new(),
            tallies: HashMap::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
        };
        for index in 0..size.engines {
            let registration = network.registration(index, 0);
            network.engines.push(Engine { registration, runs: vec![], is_up: true });
        }
        for index in 0..size.instances {
            let scheduler = network.start(index, 0, false);
            network.instances.push((0, scheduler));
        }
        network
    }

    fn zone(&self, index: usize) -> id::Zone {
        name(&format!("z{}", index % self.size.zones))
    }

    fn registration(&self, index: usize, start: u64) -> Registration {
        Registration {
            id: name(&format!("e{index}-{start}")),
            service: name("models"),
            address: "127.0.0.1:1".parse().expect("the address is valid"),
            zone: self.zone(index),
            slots: SLOTS,
            incarnation: start + 1,
            release: Some(Self::release_of(index)),
            leaving: false,
        }
    }

    fn start(&self, index: usize, incarnation: u64, is_joining: bool) -> Scheduler {
        let location = |index| Location {
            instance: name::<id::Instance>(&format!("i{index}")),
            zone: self.zone(index),
        };
        let mut scheduler = Scheduler::new(Options {
            location: location(index),
            incarnation: id::Incarnation(incarnation + 1),
            allowance: ALLOWANCE,
            counting: Counting { window: WINDOW, tolerance: 0.0, tolerance_ratio: 0.0 },
            is_joining,
        });
        scheduler.handle(self.now, Event::Configured(Arc::new(plan())));
        for engine in self.engines.iter().filter(|e| e.is_up) {
            scheduler.handle(self.now, Event::Registered(engine.registration.clone()));
        }
        for peer in (0..self.size.instances).map(location) {
            scheduler.handle(self.now, Event::PeerRegistered(peer.instance, peer.zone));
        }
        scheduler
    }

    /// Replaces instances by new processes that know nothing; what they held ends.
    pub fn restart(&mut self, which: impl Fn(usize) -> bool) {
        for index in (0..self.size.instances).filter(|index| which(*index)) {
            let incarnation = self.instances[index].0 + 1;
            self.instances[index] = (incarnation, self.start(index, incarnation, true));
            self.waiting.retain(|(instance, _), _| *instance != index);
            for engine in &mut self.engines {
                engine.runs.retain(|run| run.instance != index);
            }
        }
    }

    /// Has all instances keep the limits of rollouts.
    pub fn expose(&mut self, exposure: Exposure) {
        self.store.opened.get_or_insert(self.now);
        for index in 0..self.size.instances {
            self.handle(index, Event::Exposed(Some(exposure)));
        }
    }

    /// Has the instances that poll the store read an order.
    pub fn order(&mut self, to: &str, duration: Option<Duration>) {
        self.orders += 1;
        let order = Order { to: name(to), name: to.to_owned(), duration, version: self.orders };
        self.give_order(Some(order));
    }

    /// Removes the order.
    pub fn remove_order(&mut self) {
        self.give_order(None);
    }

    fn give_order(&mut self, order: Option<Order>) {
        for index in 0..self.size.instances {
            if self.instances[index].1.is_poller() {
                let event = Event::Ordered(name("models"), order.clone());
                let incarnation = self.instances[index].0;
                self.push(STORE_TIME, index, Due::Event(Box::new(event), incarnation));
            }
        }
    }

    /// The number of requests that run on engines of a version.
    pub fn running_on(&self, release: &str) -> usize {
        let is_of = |e: &&Engine| e.registration.release == Some(name(release));
        self.engines.iter().filter(is_of).map(|engine| engine.runs.len()).sum()
    }

    /// The requests that reached engines of a version since a time.
    pub fn arrived_at(&self, release: &str, since: Instant) -> usize {
        let is_of = |a: &&Arrival| Self::release_of(a.engine) == name(release) && a.at >= since;
        self.arrivals.iter().filter(is_of).count()
    }

    fn chance(&mut self) -> f64 {
        f64::from(self.random.next_u32()) / f64::from(u32::MAX)
    }

    fn push(&mut self, after: Duration, to: usize, due: Due) {
        self.order += 1;
        self.due.insert((self.now + after, self.order), (to, due));
    }

    /// An instance; connections are spread unevenly.
    fn any_instance(&mut self) -> usize {
        let spread = self.chance();
        let index = (spread * spread * self.size.instances as f64) as usize;
        index.min(self.size.instances - 1)
    }

    /// Sends a request that comes once to an instance.
    pub fn request(&mut self, kind: &'static str, parts: &[u64]) {
        let index = self.any_instance();
        self.request_to(index, kind, parts);
    }

    /// Sends a request that comes again to an instance.
    pub fn repeat(&mut self, kind: &'static str, parts: &[u64], fingerprint: u64) {
        let index = self.any_instance();
        self.order += 1;
        let call = self.call(parts);
        self.arrive(index, kind, Call { fingerprint: id::Fingerprint(fingerprint), ..call });
    }

    /// Sends a request to this instance that begins a stream, at one engine only.
    pub fn begin_stream(&mut self, index: usize, kind: &'static str, stream: u64) {
        self.order += 1;
        let call = self.call(&[]);
        let stream = Some(id::Stream(stream));
        self.arrive(index, kind, Call { stream, max_attempts: 1, ..call });
    }

    /// Sends a request to this instance that comes again, at one engine only, as a
    /// stream of its own.
    pub fn begin_repeat(
        &mut self,
        index: usize,
        kind: &'static str,
        fingerprint: u64,
        stream: u64,
    ) {
        self.order += 1;
        let fingerprint = id::Fingerprint(fingerprint);
        let stream = Some(id::Stream(stream));
        let call = Call { fingerprint, stream, max_attempts: 1, ..self.call(&[]) };
        self.arrive(index, kind, call);
    }

    /// Sends a request to this instance that resumes a stream.
    pub fn resume_stream(&mut self, index: usize, kind: &'static str, stream: u64) {
        self.order += 1;
        let call = self.call(&[]);
        let stream = Some(id::Stream(stream));
        self.arrive(index, kind, Call { stream, origin: Origin::Unknown, ..call });
    }

    /// The engine at which a stream runs that an instance began.
    pub fn engine_of(&self, stream: u64) -> Option<usize> {
        let is_of_stream = |a: &&Arrival| a.stream == Some(id::Stream(stream));
        self.arrivals.iter().rev().find(is_of_stream).map(|a| a.engine)
    }

    /// The version of an engine's software: that of every other one.
    pub fn release_of(engine: usize) -> id::Release {
        name(if engine.is_multiple_of(2) { "v1" } else { "v2" })
    }

    /// Requests that instances have sent to engines that other zones offered.
    pub fn spilled(&self) -> u64 {
        self.instances.iter().map(|(_, scheduler)| scheduler.spilled()).sum()
    }

    /// Sends a request to an instance of a zone.
    pub fn request_in_zone(&mut self, zone: usize, kind: &'static str) {
        let instances = (self.size.instances - zone).div_ceil(self.size.zones);
        let index = (self.chance() * instances as f64) as usize;
        let index = index.min(instances - 1) * self.size.zones + zone;
        self.request_to(index, kind, &[]);
    }

    /// Sends a request to this instance.
    pub fn request_to(&mut self, index: usize, kind: &'static str, parts: &[u64]) {
        self.order += 1;
        let call = self.call(parts);
        self.arrive(index, kind, call);
    }

    fn call(&self, parts: &[u64]) -> Call {
        let site = Site { now: self.now, ..Site::new() };
        Call {
            repeat: Repeat::Resumable,
            max_attempts: 3,
            shared_parts: parts.iter().map(|part| id::Part(*part)).collect(),
            ..site.call(self.order)
        }
    }

    fn arrive(&mut self, index: usize, kind: &'static str, call: Call) {
        self.tallies.entry(kind).or_default().sent += 1;
        self.accept(index, kind, call, None);
    }

    fn accept(
        &mut self,
        index: usize,
        kind: &'static str,
        call: Call,
        delegated_by: Option<(usize, u64, id::Request)>,
    ) {
        let held = call.clone();
        let waiting =
            Waiting { kind, attempts: 0, call: held, delegated_by, sent_to: None, ended: None };
        self.waiting.insert((index, call.id), waiting);
        self.handle(index, Event::Arrived(call));
    }

    /// Has a peer make an attempt for a request.
    fn delegate(&mut self, from: usize, request: id::Request, peer: &id::Instance, call: Call) {
        let to = peer.as_str()[1..].parse().expect("the name ends with a number");
        let incarnation = self.instances[from].0;
        let Some(kind) = self.waiting.get(&(from, request)).map(|waiting| waiting.kind) else {
            return;
        };
        self.order += 1;
        // Requests of callers have lower numbers.
        let call = Call { id: id::Request(self.order | 1 << 40), max_attempts: 1, ..call };
        let delegated_by = Some((from, incarnation, request));
        let waiting = Waiting { kind, attempts: 0, call, delegated_by, sent_to: None, ended: None };
        self.push(DELAY, to, Due::Delegated(Box::new(waiting)));
    }

    /// Tells the instance that delegated a request how it goes on.
    fn report(&mut self, at: usize, request: id::Request, event: Event) {
        let Some(waiting) = self.waiting.get(&(at, request)) else { return };
        let Some((to, incarnation, id)) = waiting.delegated_by else { return };
        if let Some(engine) = waiting.sent_to {
            let upstream = self.engines[engine].registration.id.clone();
            let release = Some(Self::release_of(engine));
            let sent = Event::DelegatedSend(id, upstream, release);
            self.push(DELAY, to, Due::Event(Box::new(sent), incarnation));
        }
        let event = match event {
            Event::FirstByte(_) => Event::FirstByte(id),
            Event::Ended(_, how) => Event::Ended(id, how),
            other => other,
        };
        self.push(DELAY, to, Due::Event(Box::new(event), incarnation));
    }

    /// Tells the instance that delegated a request that its peer has given it up.
    fn report_refusal(&mut self, at: usize, request: id::Request) {
        let Some(waiting) = self.waiting.get(&(at, request)) else { return };
        let how = match waiting.ended {
            Some(how @ (Ended::Broken | Ended::NotRun { .. })) => how,
            _ => Ended::Declined { is_unreached: false },
        };
        self.report(at, request, Event::Ended(request, how));
        self.waiting.remove(&(at, request));
    }

    pub fn tally(&self, kind: &str) -> Tally {
        self.tallies.get(kind).copied().unwrap_or_default()
    }

    /// The deadly requests that reached engines later than this.
    pub fn deadly_after(&self, at: Instant) -> usize {
        self.arrivals.iter().filter(|a| a.is_deadly && a.at > at).count()
    }

    /// Plays `time`; `traffic` is called at each step.
    pub fn play(&mut self, time: Duration, mut traffic: impl FnMut(&mut Self)) {
        let end = self.now + time;
        while self.now < end {
            self.deliver();
            traffic(self);
            self.run_engines();
            for index in 0..self.size.instances {
                if !self.paused.contains(&index) {
                    self.handle(index, Event::Tick);
                }
            }
            self.now += STEP;
        }
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.due.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let (to, due) = entry.remove();
            if self.paused.contains(&to) {
                self.push(STEP, to, due);
                continue;
            }
            match due {
                Due::Gossip(gossip) => self.handle(to, Event::Received(gossip)),
                Due::Delegated(waiting) => {
                    let Waiting { kind, call, delegated_by, .. } = *waiting;
                    self.accept(to, kind, call, delegated_by);
                }
                Due::Event(event, incarnation) => {
                    if self.instances[to].0 == incarnation {
                        self.observe(to, &event);
                        let begun = match *event {
                            Event::FirstByte(request) => Some(request),
                            _ => None,
                        };
                        self.handle(to, *event);
                        if let Some(request) = begun {
                            self.record_stream(to, request);
                        }
                    }
                }
                Due::Deregister(upstream) => {
                    for index in 0..self.size.instances {
                        self.handle(index, Event::Deregistered(upstream.clone()));
                    }
                }
                Due::Restart(engine) => self.restart_engine(engine),
            }
        }
    }

    fn restart_engine(&mut self, index: usize) {
        let start = self.engines[index].registration.incarnation;
        let registration = self.registration(index, start);
        self.engines[index] =
            Engine { registration: registration.clone(), runs: vec![], is_up: true };
        for instance in 0..self.size.instances {
            self.handle(instance, Event::Registered(registration.clone()));
        }
    }

    fn observe(&mut self, instance: usize, event: &Event) {
        if let Event::FirstByte(request) | Event::Ended(request, _) = event
            && let Some(waiting) = self.waiting.get_mut(&(instance, *request))
            && waiting.delegated_by.is_some()
        {
            match event {
                Event::Ended(_, how) if !matches!(how, Ended::Whole { .. }) => {
                    waiting.ended = Some(*how);
                }
                _ => self.report(instance, *request, event.clone()),
            }
            return;
        }
        match event {
            Event::FirstByte(request) => {
                let Some(waiting) = self.waiting.get(&(instance, *request)) else { return };
                let tally = self.tallies.entry(waiting.kind).or_default();
                tally.begun += u32::from(waiting.attempts == 1);
                tally.in_time += u32::from(self.now <= waiting.call.latency_target);
            }
            Event::Ended(request, Ended::Whole { .. }) => {
                let Some(waiting) = self.waiting.remove(&(instance, *request)) else { return };
                self.tallies.entry(waiting.kind).or_default().whole += 1;
            }
            _ => {}
        }
    }

    pub fn handle(&mut self, index: usize, event: Event) {
        let now = self.now;
        self.instances[index].1.handle(now, event);
        for action in self.instances[index].1.take_actions() {
            match action {
                Action::Send { request, upstream, .. } => self.send(index, request, &upstream),
                Action::SendGossip { audience, gossip } => self.gossip(index, audience, &gossip),
                Action::ReportQuarantine(cause) => self.quarantined.push(cause),
                Action::Delegate { request, peer, excluded, origin } => {
                    if let Some(waiting) = self.waiting.get_mut(&(index, request)) {
                        waiting.attempts += 1;
                        let delegation = Some(Delegation { excluded });
                        let call = Call { delegation, origin, ..waiting.call.clone() };
                        self.delegate(index, request, &peer, call);
                    }
                }
                Action::Probe(upstream) => self.probe(index, upstream.id),
                Action::Refuse { request, .. } => self.report_refusal(index, request),
                Action::ReadBaselines | Action::ReadStreams => self.read_store(index),
                Action::SetBaseline(change) => {
                    self.store.set_baseline(change);
                    self.read_store(index);
                }
                Action::RecordStreams(begun) => self.store.record(begun),
                Action::ReadRollouts => self.read_rollouts(index),
                Action::WriteRollout(change) => {
                    if !self.store.is_down {
                        self.store.write_rollout(change, self.now);
                    }
                    if !self.store.loses_answers {
                        self.read_rollouts(index);
                    }
                }
                Action::UpdateWatermark(_)
                | Action::ReportSpill(_)
                | Action::ReportRollout { .. }
                | Action::ReportCondemned { .. } => {}
            }
        }
    }

    fn gossip(&mut self, from: usize, audience: Audience, gossip: &Gossip) {
        if let Some(digest) = &gossip.digest {
            let entries = digest.needs.len() + digest.offers.len() + gossip.loads.len();
            self.max_spill_entries = self.max_spill_entries.max(entries);
        }
        let zones = self.size.zones;
        for to in (0..self.size.instances).filter(|to| *to != from) {
            let link = ((from % zones).min(to % zones), (from % zones).max(to % zones));
            if self.partitioned.contains(&link) {
                continue;
            }
            let is_own_zone = self.zone(from) == self.zone(to);
            let is_addressed = match audience {
                Audience::Everyone => true,
                Audience::OwnZone => is_own_zone,
                Audience::OtherZones => !is_own_zone,
            };
            let is_passed = is_own_zone || !self.is_split;
            if is_addressed && is_passed && (self.loss == 0.0 || self.chance() >= self.loss) {
                self.push(DELAY, to, Due::Gossip(Box::new(gossip.clone())));
            }
        }
    }

    /// Lets an instance read what the store has of streams.
    fn read_store(&mut self, instance: usize) {
        let incarnation = self.instances[instance].0;
        let event = self.store.read(self.now);
        self.push(STORE_TIME, instance, Due::Event(Box::new(event), incarnation));
    }

    /// Lets an instance read the rows of rollouts.
    fn read_rollouts(&mut self, instance: usize) {
        if !self.store.is_down {
            let incarnation = self.instances[instance].0;
            let event = self.store.read_rollouts(self.now);
            self.push(STORE_TIME, instance, Due::Event(Box::new(event), incarnation));
        }
    }

    /// Records the stream that a first event begins before it is passed on.
    fn record_stream(&mut self, instance: usize, request: id::Request) {
        if let Some((stream, release)) = self.instances[instance].1.unrecorded(self.now, request) {
            self.store.record(vec![Begun { release, streams: vec![stream] }]);
        }
    }

    /// Opens a connection from an instance to an engine.
    fn probe(&mut self, instance: usize, upstream: id::Upstream) {
        let incarnation = self.instances[instance].0;
        let is_up = |e: &Engine| e.registration.id == upstream && e.is_up;
        let is_reached = !self.cut.contains(&instance) && self.engines.iter().any(is_up);
        let delay = if is_reached { DELAY } else { CONNECT_TIMEOUT };
        self.unreached += usize::from(!is_reached);
        let event = Event::Probed { upstream, is_reached };
        self.push(delay, instance, Due::Event(Box::new(event), incarnation));
    }

    /// Ends all connections of an instance to engines.
    pub fn cut_off(&mut self, instance: usize) {
        self.cut.insert(instance);
        let mut lost = vec![];
        for engine in &mut self.engines {
            let (cut, left) =
                std::mem::take(&mut engine.runs).into_iter().partition(|r| r.instance == instance);
            engine.runs = left;
            lost.extend::<Vec<Run>>(cut);
        }
        for run in lost {
            let answering = run.answering(self.now);
            let event = Event::ConnectionLost(run.request, answering);
            self.push(DELAY, run.instance, Due::Event(Box::new(event), run.incarnation));
            let ended = Event::Ended(run.request, Ended::Broken);
            self.push(DELAY, run.instance, Due::Event(Box::new(ended), run.incarnation));
        }
    }

    fn send(&mut self, instance: usize, request: id::Request, upstream: &Registration) {
        if let Some(waiting) = self.waiting.get_mut(&(instance, request)) {
            waiting.attempts += 1;
        }
        if self.cut.contains(&instance) {
            self.unreached += 1;
            let event = Event::Ended(request, Ended::NotSent);
            let incarnation = self.instances[instance].0;
            return self.push(CONNECT_TIMEOUT, instance, Due::Event(Box::new(event), incarnation));
        }
        let is_deadly = self.is_deadly(instance, request);
        let incarnation = self.instances[instance].0;
        let is_target = |e: &Engine| e.registration.id == upstream.id && e.is_up;
        let Some(engine) = self.engines.iter().position(is_target) else {
            let event = Event::Ended(request, Ended::NotSent);
            return self.push(DELAY, instance, Due::Event(Box::new(event), incarnation));
        };
        let waiting = self.waiting.get_mut(&(instance, request));
        let stream = waiting.and_then(|waiting| {
            waiting.sent_to = Some(engine);
            waiting.call.stream
        });
        self.arrivals.push(Arrival { at: self.now, engine, is_deadly, stream });
        if self.rejected > 0.0 && self.chance() < self.rejected {
            let notice = self.notice(engine, self.now);
            self.push(DELAY, instance, Due::Event(Box::new(notice), incarnation));
            let event = Event::Ended(request, Ended::NotRun { misdirected: false });
            return self.push(DELAY, instance, Due::Event(Box::new(event), incarnation));
        }
        let is_full = self.engines[engine].runs.len() >= SLOTS as usize;
        if (self.has_full_engines || self.rejection_limit.is_some()) && is_full {
            return self.reject_for_room(instance, request, engine);
        }
        let (least, more) = FIRST_TOKEN_MS;
        let is_new = Self::release_of(engine) == name("v2");
        let slowness = if is_new { self.version_slowness } else { 1.0 };
        let zone_slowness = self.slowness.get(&(engine % self.size.zones)).copied().unwrap_or(1);
        let to_first = (ms(least) + ms(more).mul_f64(self.chance())) * zone_slowness;
        let first_at = self.now + to_first.mul_f64(slowness);
        let is_loaded = self.engines[engine].runs.len() >= self.failing_from;
        let fails = is_new && is_loaded && self.failing > 0.0 && self.chance() < self.failing;
        let (sent, has_begun) = (self.now, false);
        let run =
            Run { instance, incarnation, request, is_deadly, fails, sent, first_at, has_begun };
        self.engines[engine].runs.push(run);
    }

    /// Rejects a request for want of room; the engine crashes if it has to do that too
    /// often.
    fn reject_for_room(&mut self, instance: usize, request: id::Request, engine: usize) {
        let incarnation = self.instances[instance].0;
        let notice = self.rejection_notice(engine);
        self.push(DELAY, instance, Due::Event(Box::new(notice), incarnation));
        let event = Event::Ended(request, Ended::NotRun { misdirected: false });
        self.push(DELAY, instance, Due::Event(Box::new(event), incarnation));
        self.rejections.push((self.now, engine));
        let is_foreign = instance % self.size.zones != engine % self.size.zones;
        self.foreign_rejections += usize::from(is_foreign);
        let is_recent = |(at, of): &&(Instant, usize)| {
            *of == engine && self.now.saturating_duration_since(*at) < ms(1_000)
        };
        let recent = self.rejections.iter().rev().take(1_000).filter(is_recent).count();
        if self.rejection_limit.is_some_and(|limit| recent > limit as usize) {
            self.crash(engine);
        }
    }

    /// What an answer of an engine says of the rejections beyond which it crashes.
    fn rejection_notice(&self, engine: usize) -> Event {
        let Registration { id, incarnation, .. } = &self.engines[engine].registration;
        Event::RejectionLimitStated {
            upstream: id.clone(),
            incarnation: *incarnation,
            per_second: self.rejection_limit,
        }
    }

    fn is_deadly(&self, instance: usize, request: id::Request) -> bool {
        let waiting = self.waiting.get(&(instance, request));
        self.crashes_engines && waiting.is_some_and(|w| w.kind == "deadly")
    }

    /// What an answer of an engine says of its limit.
    fn notice(&self, engine: usize, sent: Instant) -> Event {
        let Registration { id, incarnation, .. } = &self.engines[engine].registration;
        Event::LimitStated {
            upstream: id.clone(),
            incarnation: *incarnation,
            rate: self.limits.get(&engine).copied(),
            sent,
        }
    }

    /// Ends an engine; it is back after a while under another id.
    pub fn crash(&mut self, index: usize) {
        let engine = &mut self.engines[index];
        if !engine.is_up {
            return;
        }
        engine.is_up = false;
        let (runs, upstream) = (std::mem::take(&mut engine.runs), engine.registration.id.clone());
        self.crashes.push(self.now);
        for run in runs {
            let lost = Event::ConnectionLost(run.request, run.answering(self.now));
            self.push(DELAY, run.instance, Due::Event(Box::new(lost), run.incarnation));
            let ended = Event::Ended(run.request, Ended::Broken);
            self.push(DELAY, run.instance, Due::Event(Box::new(ended), run.incarnation));
        }
        self.push(LISTED_TIME, 0, Due::Deregister(upstream));
        self.push(RESTART_TIME, 0, Due::Restart(index));
    }

    /// Ends the connection of one request on an engine, which lives on.
    pub fn cut_one(&mut self, index: usize) {
        let engine = &mut self.engines[index];
        if engine.runs.is_empty() {
            return;
        }
        let run = engine.runs.remove(0);
        let lost = Event::ConnectionLost(run.request, run.answering(self.now));
        self.push(DELAY, run.instance, Due::Event(Box::new(lost), run.incarnation));
        let ended = Event::Ended(run.request, Ended::Broken);
        self.push(DELAY, run.instance, Due::Event(Box::new(ended), run.incarnation));
    }

    fn run_engines(&mut self) {
        for index in 0..self.engines.len() {
            let now = self.now;
            let is_fatal = |run: &Run| run.is_deadly && now >= run.first_at + CRASH_DELAY;
            if self.engines[index].runs.iter().any(is_fatal) {
                self.crash(index);
                continue;
            }
            let mut events = vec![];
            let Registration { id, incarnation, .. } = self.engines[index].registration.clone();
            let rate = self.limits.get(&index).copied();
            let rejections = self.rejection_notice(index);
            let slowness = self.slowness.get(&(index % self.size.zones)).copied().unwrap_or(1);
            let notice =
                |sent| Event::LimitStated { upstream: id.clone(), incarnation, rate, sent };
            self.engines[index].runs.retain_mut(|run| {
                if run.fails && now >= run.first_at {
                    let event = Event::Ended(run.request, Ended::Failed);
                    events.push((run.instance, run.incarnation, event));
                    return false;
                }
                if !run.has_begun && now >= run.first_at {
                    run.has_begun = true;
                    let stated = notice(run.sent);
                    events.push((run.instance, run.incarnation, stated));
                    events.push((run.instance, run.incarnation, rejections.clone()));
                    events.push((run.instance, run.incarnation, Event::FirstByte(run.request)));
                }
                let has_ended = now >= run.first_at + ANSWER_TIME * slowness;
                if has_ended {
                    let whole = Ended::Whole { tokens: Tokens(100) };
                    let event = Event::Ended(run.request, whole);
                    events.push((run.instance, run.incarnation, event));
                }
                !has_ended
            });
            for (instance, incarnation, event) in events {
                self.push(DELAY, instance, Due::Event(Box::new(event), incarnation));
            }
        }
    }
}
