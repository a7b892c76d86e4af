//! Instances, fakes and callers, and the events between them.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rosemarypond_core::claim::{Ended, Read, Verdict, Write};
use rosemarypond_core::config::{self, Document};
use rosemarypond_core::engine::{BLOCK_TOKENS, Sharing};
use rosemarypond_core::event::{Action, Event};
use rosemarypond_core::id;
use rosemarypond_core::instance::{Identity, Instance, Options, TICK_INTERVAL};
use rosemarypond_core::member::{Body, Message};
use rosemarypond_core::outcome::{Outcome, Reason};
use rosemarypond_core::request::{Repeat, Request};
use rosemarypond_core::unit::Tokens;
use stakker::Stakker;

use super::balancer::{Balancer, Choice};
use super::engine::{Engine, Job, Speed, Started};
use super::table::Table;
use super::tally::Tally;

/// How the requests are decided on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    Ours(Sharing),
    Baseline(Choice),
    /// One queue that knows true lengths and loads.
    Oracle,
}

pub enum Decider {
    Ours(Box<Instance>),
    Baseline(Balancer),
}

impl Decider {
    fn handle(&mut self, now: Instant, event: Event) -> Vec<Action> {
        match self {
            Decider::Ours(instance) => {
                instance.handle(now, event);
                instance.take_actions()
            }
            Decider::Baseline(balancer) => balancer.handle(now, event),
        }
    }
}

pub struct Node {
    pub id: id::Instance,
    pub zone: id::Zone,
    pub life: u64,
    pub decider: Option<Decider>,
    pub paused: bool,
    pub draining: bool,
    backlog: Vec<Event>,
}

/// Something that happens at a time.
#[derive(Clone, Debug)]
pub enum What {
    Tick {
        node: usize,
        life: u64,
    },
    Poll {
        node: usize,
        life: u64,
    },
    Deliver {
        node: usize,
        life: u64,
        event: Box<Event>,
    },
    First {
        upstream: id::Upstream,
        job: u64,
    },
    Done {
        upstream: id::Upstream,
        job: u64,
    },
    /// A request reaches its upstream.
    Reach {
        node: usize,
        life: u64,
        request: id::Request,
        upstream: id::Upstream,
    },
    /// An order to stop a request reaches its upstream.
    Stop {
        node: usize,
        life: u64,
        request: id::Request,
    },
    /// A claim's write reaches the table.
    Write {
        node: usize,
        life: u64,
        request: id::Request,
        write: LateWrite,
    },
    CallerTimeout {
        request: id::Request,
    },
    /// The instance gives a call up that has run past its limit.
    CallLimit {
        upstream: id::Upstream,
        job: u64,
    },
    Publish {
        upstream: id::Upstream,
    },
    /// Something of the example's own.
    Own(u64),
}

#[derive(Clone, Debug)]
pub struct LateWrite {
    pub key: rosemarypond_core::request::Key,
    pub expected: u64,
    pub record: rosemarypond_core::claim::Record,
    pub tell: bool,
}

/// How long past its deadline a call may run.
const CALL_GRACE: Duration = Duration::from_secs(5);

pub struct Caller {
    pub request: Request,
    pub node: usize,
    pub life: u64,
    pub tokens: u32,
    pub first: bool,
    pub answered: Option<Verdict>,
    pub upstream: Option<id::Upstream>,
}

/// The faults of the fakes between the parts.
#[derive(Clone, Copy, Debug)]
pub struct Weather {
    /// One-way time between instances and to upstreams.
    pub hop: Duration,
    /// How long the table takes.
    pub table: Duration,
    /// The share of table answers that are lost.
    pub lost_answers: f64,
    /// The share of peers' messages that are lost.
    pub lost_messages: f64,
}

pub type Hook = Rc<dyn Fn(&mut World, u64)>;

pub struct World {
    pub now: Instant,
    pub start: Instant,
    /// Draws what the fakes do.
    pub rng: ChaCha8Rng,
    /// Draws the load, the same whatever the fakes do.
    pub load_rng: ChaCha8Rng,
    pub policy: Policy,
    pub nodes: Vec<Node>,
    pub engines: BTreeMap<id::Upstream, Engine>,
    pub table: Table,
    pub weather: Weather,
    pub cut_zones: BTreeSet<id::Zone>,
    pub callers: HashMap<id::Request, Caller>,
    pub tally: Tally,
    /// How often each key ran.
    pub key_runs: BTreeMap<String, u32>,
    pub run_log: HashMap<id::Request, u32>,
    pub told: Vec<(id::Request, Verdict)>,
    pub started_at: Vec<(Instant, id::Upstream)>,
    outbox: Vec<(Duration, What)>,
    next_job: u64,
    next_request: u64,
    seen_blocks: HashSet<(id::Zone, u64)>,
    oracle: Vec<id::Request>,
    hook: Option<Hook>,
    pub upstream_zone: BTreeMap<id::Upstream, id::Zone>,
}

pub type Shared = Rc<RefCell<World>>;

impl World {
    pub fn new(start: Instant, seed: u64, policy: Policy) -> Self {
        Self {
            now: start,
            start,
            rng: ChaCha8Rng::seed_from_u64(seed),
            load_rng: ChaCha8Rng::seed_from_u64(!seed),
            policy,
            nodes: Vec::new(),
            engines: BTreeMap::new(),
            table: Table::default(),
            weather: Weather {
                hop: Duration::from_millis(1),
                table: Duration::from_millis(4),
                lost_answers: 0.0,
                lost_messages: 0.0,
            },
            cut_zones: BTreeSet::new(),
            callers: HashMap::new(),
            tally: Tally::default(),
            key_runs: BTreeMap::new(),
            run_log: HashMap::new(),
            told: Vec::new(),
            started_at: Vec::new(),
            outbox: Vec::new(),
            next_job: 0,
            next_request: 1,
            seen_blocks: HashSet::new(),
            oracle: Vec::new(),
            hook: None,
            upstream_zone: BTreeMap::new(),
        }
    }

    pub fn set_hook(&mut self, hook: impl Fn(&mut World, u64) + 'static) {
        self.hook = Some(Rc::new(hook));
    }

    pub fn add_engine(&mut self, entry: &config::Upstream, speed: Speed) {
        self.engines.insert(entry.id.clone(), Engine::new(speed, self.now));
        self.upstream_zone.insert(entry.id.clone(), entry.zone.clone());
    }

    pub fn add_node(&mut self, id: &str, zone: &id::Zone) -> usize {
        let node = Node {
            id: id.parse().expect("a valid id"),
            zone: zone.clone(),
            life: 0,
            decider: None,
            paused: false,
            draining: false,
            backlog: Vec::new(),
        };
        self.nodes.push(node);
        let place = self.nodes.len() - 1;
        self.boot(place);
        place
    }

    /// Starts an instance anew, in a new life.
    pub fn boot(&mut self, place: usize) {
        let policy = self.policy;
        let (epoch, seed) = (self.start, self.rng.random());
        let node = &mut self.nodes[place];
        node.life += 1;
        node.paused = false;
        node.draining = false;
        node.backlog.clear();
        let identity = Identity {
            id: node.id.clone(),
            incarnation: id::Incarnation(node.life),
            zone: node.zone.clone(),
        };
        node.decider = Some(match policy {
            Policy::Ours(sharing) => {
                let options = Options { identity, epoch, epoch_micros: 0, seed, sharing };
                Decider::Ours(Box::new(Instance::new(options)))
            }
            Policy::Baseline(choice) => Decider::Baseline(Balancer::new(choice, node.zone.clone())),
            Policy::Oracle => {
                Decider::Baseline(Balancer::new(Choice::RoundRobin, node.zone.clone()))
            }
        });
        let life = node.life;
        let offset = Duration::from_millis(7 * place as u64);
        self.after(offset, What::Poll { node: place, life });
        self.after(offset, What::Tick { node: place, life });
    }

    /// Ends an instance; its upstreams see its connections break.
    pub fn kill(&mut self, place: usize) {
        let life = self.nodes[place].life;
        self.nodes[place].decider = None;
        let upstreams: Vec<_> = self.engines.keys().cloned().collect();
        for upstream in upstreams {
            let jobs: Vec<_> = self.engines[&upstream]
                .jobs
                .iter()
                .filter(|(_, job)| job.node == place && job.life == life)
                .map(|(number, _)| *number)
                .collect();
            for job in jobs {
                self.end_job(&upstream, job, None);
            }
        }
    }

    /// Whether an instance may be sent requests.
    pub fn is_ready(&self, place: usize) -> bool {
        match &self.nodes[place].decider {
            Some(Decider::Ours(instance)) => instance.is_ready(),
            Some(Decider::Baseline(balancer)) => balancer.is_ready(),
            None => false,
        }
    }

    pub fn pause(&mut self, place: usize) {
        self.nodes[place].paused = true;
    }

    pub fn wake(&mut self, place: usize) {
        self.nodes[place].paused = false;
        let backlog = std::mem::take(&mut self.nodes[place].backlog);
        for event in backlog {
            self.handle(place, event);
        }
    }

    pub fn after(&mut self, delay: Duration, what: What) {
        self.outbox.push((delay, what));
    }

    pub fn next_id(&mut self) -> id::Request {
        self.next_request += 1;
        id::Request(self.next_request)
    }

    /// Hands a request to an instance; its caller waits until the deadline.
    pub fn arrive(&mut self, place: usize, request: Request, tokens: u32) {
        let id = request.id;
        let wait = request.deadline.saturating_duration_since(self.now);
        *self.tally.offered.entry(request.rank).or_default() += 1;
        let caller = Caller {
            request: request.clone(),
            node: place,
            life: self.nodes[place].life,
            tokens,
            first: false,
            answered: None,
            upstream: None,
        };
        self.callers.insert(id, caller);
        self.after(wait, What::CallerTimeout { request: id });
        if self.policy == Policy::Oracle {
            self.oracle.push(id);
            self.pump_oracle();
        } else {
            self.handle(place, Event::Arrived(request));
        }
    }

    /// Gives an event to an instance and does what it asks for.
    pub fn handle(&mut self, place: usize, event: Event) {
        let now = self.now;
        let node = &mut self.nodes[place];
        if node.paused {
            node.backlog.push(event);
            return;
        }
        let Some(decider) = &mut node.decider else { return };
        let life = node.life;
        for action in decider.handle(now, event) {
            self.act(place, life, action);
        }
    }

    fn act(&mut self, node: usize, life: u64, action: Action) {
        let hop = self.weather.hop;
        match action {
            Action::Dispatch { request, upstream } => {
                self.after(hop, What::Reach { node, life, request, upstream });
            }
            Action::Cancel { request } => self.after(hop, What::Stop { node, life, request }),
            Action::Answer { request, verdict, .. } => self.answer(request, verdict),
            Action::Read { request, key } => self.read(node, life, request, &key),
            Action::Write { request, key, expected, record } => {
                let write = LateWrite { key, expected, record, tell: true };
                let delay = self.table_delay(node);
                self.after(delay, What::Write { node, life, request, write });
            }
            Action::Send { to, message } => self.send(node, &to, message),
            Action::Broadcast { own_zone, body } => self.broadcast(node, own_zone, body),
        }
    }

    fn table_delay(&mut self, _node: usize) -> Duration {
        let least = self.weather.table;
        least + least.mul_f64(self.rng.random_range(0.0..1.0))
    }

    fn reaches_platform(&self, node: usize) -> bool {
        !self.cut_zones.contains(&self.nodes[node].zone)
    }

    fn read(
        &mut self,
        node: usize,
        life: u64,
        request: id::Request,
        key: &rosemarypond_core::request::Key,
    ) {
        let lost = self.rng.random_bool(self.weather.lost_answers) || !self.reaches_platform(node);
        let answer = if lost { Read::Lost } else { self.table.read(key) };
        let delay = self.table_delay(node);
        let event = Box::new(Event::Read { request, answer });
        self.after(delay, What::Deliver { node, life, event });
    }

    fn write(&mut self, node: usize, life: u64, request: id::Request, write: LateWrite) {
        if !self.reaches_platform(node) {
            self.tell_written(node, life, request, Write::Lost);
            return;
        }
        // A lost answer leaves open whether the write takes effect, and when.
        if write.tell && self.rng.random_bool(self.weather.lost_answers) {
            self.tell_written(node, life, request, Write::Lost);
            if self.rng.random_bool(0.7) {
                let late = LateWrite { tell: false, ..write };
                let delay = Duration::from_millis(self.rng.random_range(0..3_000));
                self.after(delay, What::Write { node, life, request, write: late });
            }
            return;
        }
        let answer = self.table.write(&write.key, write.expected, write.record);
        if write.tell {
            self.tell_written(node, life, request, answer);
        }
    }

    fn tell_written(&mut self, node: usize, life: u64, request: id::Request, answer: Write) {
        let event = Box::new(Event::Written { request, answer });
        let delay = self.weather.table;
        self.after(delay, What::Deliver { node, life, event });
    }

    fn are_linked(&self, a: usize, b: usize) -> bool {
        let (a, b) = (&self.nodes[a].zone, &self.nodes[b].zone);
        a == b || !(self.cut_zones.contains(a) || self.cut_zones.contains(b))
    }

    fn send(&mut self, from: usize, to: &id::Instance, message: Message) {
        let Some(to) = self.nodes.iter().position(|n| n.id == *to) else { return };
        if !self.are_linked(from, to) || self.rng.random_bool(self.weather.lost_messages) {
            return;
        }
        let life = self.nodes[to].life;
        let delay = self.weather.hop.mul_f64(self.rng.random_range(0.5..2.0));
        let event = Box::new(Event::Heard(message));
        self.after(delay, What::Deliver { node: to, life, event });
    }

    fn broadcast(&mut self, from: usize, own_zone: bool, body: Body) {
        let now = self.now;
        let Some(Decider::Ours(instance)) = &mut self.nodes[from].decider else { return };
        let message = instance.message(now, body);
        let is_meant =
            |n: &usize| *n != from && (self.nodes[*n].zone == self.nodes[from].zone) == own_zone;
        let others: Vec<_> =
            (0..self.nodes.len()).filter(is_meant).map(|n| self.nodes[n].id.clone()).collect();
        for to in others {
            self.send(from, &to, message.clone());
        }
    }

    /// The final answer of a request.
    pub fn answer(&mut self, request: id::Request, verdict: Verdict) {
        self.told.push((request, verdict));
        let now = self.now;
        let Some(caller) = self.callers.get_mut(&request) else { return };
        if caller.answered.is_some() {
            return;
        }
        caller.answered = Some(verdict);
        let rank = caller.request.rank;
        match verdict {
            Verdict::Deliver | Verdict::Replay if now <= caller.request.deadline => {
                *self.tally.good.entry(rank).or_default() += 1;
            }
            Verdict::Refuse(outcome, reason) => {
                *self.tally.refused.entry(rank).or_default() += 1;
                *self.tally.reasons.entry((rank, outcome, reason)).or_default() += 1;
            }
            Verdict::Deliver | Verdict::Replay => {}
        }
    }

    fn reach(&mut self, node: usize, life: u64, request: id::Request, upstream: id::Upstream) {
        if self.nodes[node].life != life || self.nodes[node].decider.is_none() {
            return;
        }
        let Some(caller) = self.callers.get_mut(&request) else { return };
        let (wanted, tokens) = (caller.request.clone(), caller.tokens);
        caller.upstream = Some(upstream.clone());
        let zone = &self.upstream_zone[&upstream];
        let cut = self.cut_zones.contains(zone) && self.nodes[node].zone != *zone;
        let refused = cut || !self.engines[&upstream].alive;
        if refused {
            self.ended(node, life, request, Ended::NotDispatched, 0);
            return;
        }
        self.started_at.push((self.now, upstream.clone()));
        *self.run_log.entry(request).or_default() += 1;
        if let Repeat::Keyed(key) = &wanted.repeat {
            *self.key_runs.entry(key.text.clone()).or_default() += 1;
        }
        self.next_job += 1;
        let number = self.next_job;
        let job = Job {
            request: wanted,
            node,
            life,
            tokens,
            uncached: 0,
            began: false,
            first_sent: false,
        };
        let now = self.now;
        let limit = job.request.deadline.saturating_duration_since(now) + CALL_GRACE;
        self.after(limit, What::CallLimit { upstream: upstream.clone(), job: number });
        let engine = self.engines.get_mut(&upstream).expect("the upstream is known");
        let started = engine.admit(number, job, now);
        self.started(&upstream, started);
    }

    fn started(&mut self, upstream: &id::Upstream, started: Option<Started>) {
        let Some(started) = started else { return };
        let engine = &self.engines[upstream];
        let job = &engine.jobs[&started.job];
        let cached = job.request.prompt.0 - job.uncached;
        let zone = self.upstream_zone[upstream].clone();
        let first_block = (cached / BLOCK_TOKENS) as usize;
        let blocks = job.request.prefix[first_block.min(job.request.prefix.len())..].to_vec();
        self.tally.prefill += u64::from(job.uncached);
        for block in blocks {
            if !self.seen_blocks.insert((zone.clone(), block)) {
                self.tally.repeated_prefill += u64::from(BLOCK_TOKENS);
            }
        }
        let job = started.job;
        self.after(started.first_in, What::First { upstream: upstream.clone(), job });
        self.after(started.done_in, What::Done { upstream: upstream.clone(), job });
        self.after(Duration::from_millis(1_500), What::Publish { upstream: upstream.clone() });
    }

    fn first(&mut self, upstream: &id::Upstream, number: u64) {
        let Some(engine) = self.engines.get_mut(upstream) else { return };
        if engine.silent {
            return;
        }
        let gap = engine.token_gap();
        let Some(job) = engine.jobs.get_mut(&number) else { return };
        job.first_sent = true;
        let (node, life, id) = (job.node, job.life, job.request.id);
        let taken = self.now.saturating_duration_since(job.request.arrived);
        let tokens = job.tokens;
        self.tally.first_token(taken);
        self.tally.gaps(gap, tokens);
        let event = Box::new(Event::FirstToken(id));
        let hop = self.weather.hop;
        self.after(hop, What::Deliver { node, life, event });
    }

    fn done(&mut self, upstream: &id::Upstream, number: u64) {
        if self.engines.get(upstream).is_none_or(|e| e.silent) {
            return;
        }
        self.end_job(upstream, number, Some(Ended::Whole));
    }

    /// Ends a job and starts the next; the instance is told where it lives.
    pub fn end_job(&mut self, upstream: &id::Upstream, number: u64, how: Option<Ended>) {
        let now = self.now;
        let Some(engine) = self.engines.get_mut(upstream) else { return };
        let Some(job) = engine.remove(number) else { return };
        let next = engine.start_next(now);
        self.started(upstream, next);
        let reached = how == Some(Ended::Whole)
            && self.callers.get(&job.request.id).is_some_and(|c| c.answered.is_none());
        if job.began && !reached {
            self.tally.cut_prefill += u64::from(job.uncached);
        }
        if let Some(how) = how {
            self.ended(job.node, job.life, job.request.id, how, job.tokens);
        }
        if self.policy == Policy::Oracle {
            self.pump_oracle();
        }
    }

    fn ended(&mut self, node: usize, life: u64, request: id::Request, how: Ended, tokens: u32) {
        if self.policy == Policy::Oracle {
            if how == Ended::Whole {
                self.answer(request, Verdict::Deliver);
            }
            return;
        }
        let event = Box::new(Event::Ended { request, how, tokens: Tokens(tokens) });
        let hop = self.weather.hop;
        self.after(hop, What::Deliver { node, life, event });
    }

    fn stop(&mut self, node: usize, life: u64, request: id::Request) {
        let Some(upstream) = self.callers.get(&request).and_then(|c| c.upstream.clone()) else {
            return;
        };
        if let Some(number) = self.engines[&upstream].find(node, life, request) {
            self.end_job(&upstream, number, Some(Ended::Broken));
        }
    }

    fn caller_timeout(&mut self, request: id::Request) {
        let Some(caller) = self.callers.get(&request) else { return };
        if caller.answered.is_some() {
            return;
        }
        let node = caller.node;
        if self.policy == Policy::Oracle {
            self.oracle.retain(|r| *r != request);
        }
        self.handle(node, Event::CallerLeft(request));
    }

    fn poll(&mut self, node: usize, life: u64) {
        let alive = self.nodes[node].life == life && self.nodes[node].decider.is_some();
        if !alive {
            return;
        }
        if self.reaches_platform(node)
            && !self.table.down
            && let Some((version, document)) = self.table.config.clone()
        {
            self.table.reads += 1;
            let event = Box::new(Event::Configured { version, document });
            let delay = self.weather.table;
            self.after(delay, What::Deliver { node, life, event });
        }
        let wait = Duration::from_millis(self.rng.random_range(1_500..2_500));
        self.after(wait, What::Poll { node, life });
    }

    fn publish(&mut self, upstream: &id::Upstream) {
        let Some(engine) = self.engines.get_mut(upstream) else { return };
        let events = std::mem::take(&mut engine.published);
        if events.is_empty() {
            return;
        }
        let kept: Vec<_> = events.into_iter().filter(|_| self.rng.random_bool(0.85)).collect();
        let pick = |stored| kept.iter().filter(|e| e.0 == stored).map(|e| e.1).collect::<Vec<_>>();
        let (stored, evicted) = (pick(true), pick(false));
        let zone = self.upstream_zone[upstream].clone();
        for node in 0..self.nodes.len() {
            if self.nodes[node].zone == zone {
                let (upstream, stored, evicted) =
                    (upstream.clone(), stored.clone(), evicted.clone());
                self.handle(node, Event::Cache { upstream, stored, evicted });
            }
        }
    }

    /// The all-knowing queue: highest tier first, then the shortest true time
    /// on the upstream that finishes it first, if that is in time.
    fn pump_oracle(&mut self) {
        loop {
            let mut best: Option<(u8, Duration, id::Request, id::Upstream)> = None;
            for id in &self.oracle {
                let caller = &self.callers[id];
                if best.as_ref().is_some_and(|b| b.0 < caller.request.rank) {
                    continue;
                }
                let zone = &self.nodes[caller.node].zone;
                let free = self.engines.iter().filter(|(u, e)| {
                    e.alive && e.running() < e.speed.slots && self.upstream_zone[*u] == *zone
                });
                let timed = free.map(|(u, e)| {
                    (e.true_time(&caller.request, caller.tokens, self.now), u.clone())
                });
                let Some((time, upstream)) = timed.min() else { continue };
                if self.now + time > caller.request.deadline {
                    continue;
                }
                let candidate = (caller.request.rank, time, *id, upstream);
                if best.as_ref().is_none_or(|b| candidate < *b) {
                    best = Some(candidate);
                }
            }
            let Some((_, _, id, upstream)) = best else { return };
            self.oracle.retain(|r| *r != id);
            let node = self.callers[&id].node;
            let life = self.nodes[node].life;
            self.reach(node, life, id, upstream);
        }
    }

    pub fn fire(&mut self, now: Instant, what: What) {
        self.now = self.now.max(now);
        match what {
            What::Tick { node, life } => {
                if self.nodes[node].life == life && self.nodes[node].decider.is_some() {
                    if !self.nodes[node].paused {
                        self.handle(node, Event::Tick);
                    }
                    self.after(TICK_INTERVAL, What::Tick { node, life });
                }
            }
            What::Poll { node, life } => self.poll(node, life),
            What::Deliver { node, life, event } => {
                if self.nodes[node].life == life {
                    self.handle(node, *event);
                }
            }
            What::First { upstream, job } => self.first(&upstream, job),
            What::Done { upstream, job } => self.done(&upstream, job),
            What::Reach { node, life, request, upstream } => {
                self.reach(node, life, request, upstream);
            }
            What::Stop { node, life, request } => self.stop(node, life, request),
            What::Write { node, life, request, write } => self.write(node, life, request, write),
            What::CallerTimeout { request } => self.caller_timeout(request),
            What::CallLimit { upstream, job } => {
                self.end_job(&upstream, job, Some(Ended::Broken));
            }
            What::Publish { upstream } => self.publish(&upstream),
            What::Own(number) => {
                if let Some(hook) = self.hook.clone() {
                    hook(self, number);
                }
            }
        }
    }

    /// Whether a refusal says that the request did not run.
    pub fn is_not_run(verdict: Verdict) -> bool {
        matches!(verdict, Verdict::Refuse(Outcome::NotRun, _))
    }

    pub fn is_reason(verdict: Verdict, wanted: Reason) -> bool {
        matches!(verdict, Verdict::Refuse(_, reason) if reason == wanted)
    }

    pub fn put_config(&mut self, document: Document) {
        let version = self.table.config.as_ref().map(|(v, _)| *v).unwrap_or_default();
        let version = config::Version(version.0 + 1);
        self.table.config = Some((version, Arc::new(document)));
    }
}

/// Puts what a world asked for on the runtime's timers.
fn flush(runtime: &mut Stakker, world: &Shared) {
    let due = std::mem::take(&mut world.borrow_mut().outbox);
    for (delay, what) in due {
        let shared = Rc::clone(world);
        runtime.after(delay, move |runtime| {
            let now = runtime.now();
            shared.borrow_mut().fire(now, what);
            flush(runtime, &shared);
        });
    }
}

/// Runs a world on virtual time until `end`.
pub fn run(runtime: &mut Stakker, world: &Shared, end: Instant) {
    flush(runtime, world);
    loop {
        let Some(next) = runtime.next_expiry() else { return };
        if next > end {
            runtime.run(end, false);
            return;
        }
        runtime.run(next, false);
    }
}
