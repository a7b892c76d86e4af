//! The requests and the random faults of each step.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rosemarypond_core::claim::Verdict;
use rosemarypond_core::config::{Document, KeyPolicy, Version};
use rosemarypond_core::event::Event;
use rosemarypond_core::id;
use rosemarypond_core::outcome::{Outcome, Reason};
use rosemarypond_core::request::{Key, Repeat, Request};
use rosemarypond_core::unit::Tokens;

use crate::run::STEP;
use crate::site::{MODELS, ORDERS};
use crate::support::world::{Occurrence, World};
use crate::{checks, site};

/// The maximum number of requests that a caller sends with one key.
const MAX_REQUESTS_PER_KEY: u32 = 6;

/// The repair of a fault, which follows some time later.
#[derive(Clone, Debug)]
enum Repair {
    Boot(usize),
    Resume(usize),
    Engine(id::Upstream),
    ReconnectZone(id::Zone),
    Table,
    Conditions,
}

/// One order, as its caller sees it: the requests sent with its key.
pub struct Order {
    pub requests: Vec<id::Request>,
    pub reported_not_run: bool,
    key: Key,
    next_request_at: Instant,
    has_result: bool,
}

pub struct Soak {
    pub faults: u64,
    pub requests: u64,
    pub non_idempotent: u64,
    pub violations: Vec<String>,
    pub orders: BTreeMap<String, Order>,
    /// When each upstream that is leaving began to leave.
    pub leaving: BTreeMap<id::Upstream, Instant>,
    /// When a fault last kept instances from exchanging state.
    pub last_disruption: Instant,
    /// How many of the world's answers and dispatches were checked.
    pub checked_answers: usize,
    pub checked_dispatches: usize,
    pub order_of: BTreeMap<id::Request, String>,
    rng: ChaCha8Rng,
    steps_left: u64,
    repairs: Vec<(Instant, Repair)>,
    burst_until: Option<Instant>,
}

impl Soak {
    pub fn new(seed: u64, steps: u64) -> Self {
        Self {
            faults: 0,
            requests: 0,
            non_idempotent: 0,
            violations: Vec::new(),
            orders: BTreeMap::new(),
            leaving: BTreeMap::new(),
            last_disruption: Instant::now(),
            checked_answers: 0,
            checked_dispatches: 0,
            order_of: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed ^ 0x50a6),
            steps_left: steps,
            repairs: Vec::new(),
            burst_until: None,
        }
    }

    pub fn step(&mut self, world: &mut World, _number: u64) {
        self.steps_left = self.steps_left.saturating_sub(1);
        if self.steps_left == 0 {
            self.repair_all(world);
        } else {
            self.run_due_repairs(world);
            self.maybe_inject_fault(world);
            self.submit_requests(world);
        }
        self.send_orders(world);
        self.finish_drains(world);
        self.record_disruption(world);
        checks::check_step(world, self);
        world.after(STEP, Occurrence::Hook(0));
    }

    fn schedule_repair(&mut self, world: &World, max_delay_ms: u64, repair: Repair) {
        let delay = Duration::from_millis(self.rng.random_range(200..max_delay_ms));
        self.repairs.push((world.now + delay, repair));
        self.faults += 1;
    }

    fn run_due_repairs(&mut self, world: &mut World) {
        let (due, left) = self.repairs.drain(..).partition(|(at, _)| *at <= world.now);
        self.repairs = left;
        let due: Vec<(Instant, Repair)> = due;
        for (_, repair) in due {
            apply_repair(world, repair);
        }
    }

    fn repair_all(&mut self, world: &mut World) {
        for (_, repair) in std::mem::take(&mut self.repairs) {
            apply_repair(world, repair);
        }
        for node in 0..world.nodes.len() {
            if world.nodes[node].draining && world.nodes[node].decider.is_some() {
                world.nodes[node].draining = false;
                world.handle(node, Event::Undrain);
            }
        }
    }

    fn pick(&mut self, count: usize) -> usize {
        self.rng.random_range(0..count)
    }

    fn maybe_inject_fault(&mut self, world: &mut World) {
        if !self.rng.random_bool(0.15) {
            return;
        }
        match self.pick(12) {
            0 => self.kill(world),
            1 => self.pause(world),
            2 => self.slow_engine(world),
            3 => self.stop_engine(world),
            4 => self.silence_engine(world),
            5 => self.cut_zone(world),
            6 => self.table_outage(world),
            7 => self.worsen_conditions(world),
            8 => self.change_config_twice(world),
            9 => self.drain(world),
            10 => self.burst_until = Some(world.now + Duration::from_secs(5)),
            _ => {
                self.kill(world);
                self.table_outage(world);
            }
        }
    }

    fn kill(&mut self, world: &mut World) {
        let node = self.pick(world.nodes.len());
        if world.nodes[node].decider.is_some() {
            world.kill(node);
            self.schedule_repair(world, 8_000, Repair::Boot(node));
        }
    }

    fn pause(&mut self, world: &mut World) {
        let node = self.pick(world.nodes.len());
        if world.nodes[node].decider.is_some() && !world.nodes[node].paused {
            world.pause(node);
            self.schedule_repair(world, 8_000, Repair::Resume(node));
        }
    }

    fn upstream(&mut self, world: &World) -> id::Upstream {
        let index = self.pick(world.engines.len());
        world.engines.keys().nth(index).expect("the index is in range").clone()
    }

    fn slow_engine(&mut self, world: &mut World) {
        let id = self.upstream(world);
        let slowdown = self.rng.random_range(2.0..12.0);
        if let Some(engine) = world.engines.get_mut(&id) {
            engine.slowdown = slowdown;
        }
        self.schedule_repair(world, 20_000, Repair::Engine(id));
    }

    fn stop_engine(&mut self, world: &mut World) {
        let id = self.upstream(world);
        let engine = world.engines.get_mut(&id).expect("the upstream is known");
        engine.alive = false;
        let jobs: Vec<_> = engine.jobs.keys().copied().collect();
        for job in jobs {
            world.end_job(&id, job, Some(rosemarypond_core::claim::Ended::Broken));
        }
        self.schedule_repair(world, 10_000, Repair::Engine(id));
    }

    fn silence_engine(&mut self, world: &mut World) {
        let id = self.upstream(world);
        if let Some(engine) = world.engines.get_mut(&id) {
            engine.silent = true;
        }
        self.schedule_repair(world, 10_000, Repair::Engine(id));
    }

    fn cut_zone(&mut self, world: &mut World) {
        let zone = world.nodes[self.pick(world.nodes.len())].zone.clone();
        world.cut_zones.insert(zone.clone());
        self.schedule_repair(world, 15_000, Repair::ReconnectZone(zone));
    }

    fn table_outage(&mut self, world: &mut World) {
        world.table.down = true;
        self.schedule_repair(world, 15_000, Repair::Table);
    }

    fn worsen_conditions(&mut self, world: &mut World) {
        world.conditions.lost_answers = self.rng.random_range(0.0..0.4);
        world.conditions.lost_messages = self.rng.random_range(0.0..0.4);
        world.conditions.table_delay = Duration::from_millis(self.rng.random_range(2..800));
        self.schedule_repair(world, 20_000, Repair::Conditions);
    }

    /// Two operators change the same version; only the first may succeed.
    fn change_config_twice(&mut self, world: &mut World) {
        self.faults += 1;
        let (seen, document) = match &world.table.config {
            Some((version, document)) => (*version, Document::clone(document)),
            None => (Version::default(), site::document()),
        };
        let first = self.toggle_leaving(&document);
        let second = self.toggle_leaving(&document);
        let down = world.table.down;
        let first_accepted = world.table.configure(seen, first.clone());
        let second_accepted = world.table.configure(seen, second);
        if first_accepted == down || second_accepted {
            self.violations
                .push("the table accepted the wrong number of two concurrent changes".into());
        }
        if first_accepted {
            self.record_leaving(world.now, &first);
        }
    }

    fn toggle_leaving(&mut self, document: &Document) -> Document {
        let mut document = document.clone();
        let index = self.pick(document.upstreams.len());
        let upstream = &mut document.upstreams[index];
        upstream.leaving = !upstream.leaving;
        document
    }

    fn record_leaving(&mut self, now: Instant, document: &Document) {
        for upstream in &document.upstreams {
            if upstream.leaving {
                self.leaving.entry(upstream.id.clone()).or_insert(now);
            } else {
                self.leaving.remove(&upstream.id);
            }
        }
    }

    fn drain(&mut self, world: &mut World) {
        let node = self.pick(world.nodes.len());
        if world.nodes[node].decider.is_some() && !world.nodes[node].paused {
            self.faults += 1;
            world.nodes[node].draining = true;
            world.handle(node, Event::Drain);
        }
    }

    /// Stops drained instances and starts them again.
    fn finish_drains(&mut self, world: &mut World) {
        for node in 0..world.nodes.len() {
            if world.nodes[node].draining && checks::is_idle(world, node) {
                checks::check_drained(world, self, node);
                world.kill(node);
                world.boot(node);
            }
        }
    }

    fn record_disruption(&mut self, world: &World) {
        let is_undisturbed = world.cut_zones.is_empty()
            && !world.table.down
            && world.conditions.lost_messages == 0.0
            && world.nodes.iter().all(|n| n.decider.is_some() && !n.paused);
        if !is_undisturbed {
            self.last_disruption = world.now;
        }
    }

    fn submit_requests(&mut self, world: &mut World) {
        let is_burst = self.burst_until.is_some_and(|until| world.now < until);
        let most = if is_burst { 30 } else { 5 };
        for _ in 0..self.rng.random_range(0..most) {
            match self.pick(4) {
                0 => self.add_order(world),
                1 => self.submit_unkeyed(world),
                _ => self.submit_completion(world),
            }
        }
    }

    fn pick_running_node(&mut self, world: &World) -> Option<usize> {
        let running: Vec<_> =
            (0..world.nodes.len()).filter(|n| world.nodes[*n].decider.is_some()).collect();
        (!running.is_empty()).then(|| running[self.rng.random_range(0..running.len())])
    }

    fn request(&mut self, world: &mut World, service: &str, repeat: Repeat) -> Request {
        let prompt = if service == MODELS { self.rng.random_range(20..6_000) } else { 0 };
        let rank = self.rng.random_range(0..3);
        let deadline = site::document().tiers[usize::from(rank)].deadline();
        Request {
            id: world.next_id(),
            team: "osei".parse().expect("a valid id"),
            rank,
            service: service.parse().expect("a valid id"),
            repeat,
            key_policy: if self.rng.random_bool(0.5) {
                KeyPolicy::CloseKey
            } else {
                KeyPolicy::KeepKey
            },
            prompt: Tokens(prompt),
            prefix: (0..u64::from(prompt / 64).min(8)).collect(),
            max_answer: None,
            arrived: world.now,
            deadline: world.now + deadline,
        }
    }

    fn submit_completion(&mut self, world: &mut World) {
        let Some(node) = self.pick_running_node(world) else { return };
        let request = self.request(world, MODELS, Repeat::Idempotent);
        self.requests += 1;
        let tokens = self.rng.random_range(5..400);
        world.submit(node, request, tokens);
    }

    fn submit_unkeyed(&mut self, world: &mut World) {
        let Some(node) = self.pick_running_node(world) else { return };
        let request = self.request(world, ORDERS, Repeat::Once);
        self.requests += 1;
        self.non_idempotent += 1;
        world.submit(node, request, 20);
    }

    fn add_order(&mut self, world: &mut World) {
        self.non_idempotent += 1;
        let text = format!("order-{}", self.non_idempotent);
        let key =
            Key { team: "osei".parse().expect("a valid id"), text: text.clone(), fingerprint: 1 };
        let order = Order {
            requests: Vec::new(),
            reported_not_run: false,
            key,
            next_request_at: world.now,
            has_result: false,
        };
        self.orders.insert(text, order);
    }

    /// Sends the orders that are due, each time to a random running instance.
    fn send_orders(&mut self, world: &mut World) {
        let now = world.now;
        let due: Vec<_> = self
            .orders
            .iter()
            .filter(|(_, o)| {
                !o.has_result
                    && o.next_request_at <= now
                    && o.requests.len() < MAX_REQUESTS_PER_KEY as usize
            })
            .map(|(text, o)| (text.clone(), o.key.clone()))
            .collect();
        for (text, key) in due {
            let Some(node) = self.pick_running_node(world) else { return };
            let request = self.request(world, ORDERS, Repeat::Keyed(key));
            self.requests += 1;
            let wait = Duration::from_millis(self.rng.random_range(100..9_000));
            self.order_of.insert(request.id, text.clone());
            if let Some(order) = self.orders.get_mut(&text) {
                order.requests.push(request.id);
                order.next_request_at = now + wait;
            }
            world.submit(node, request, 20);
        }
    }

    /// Records the final answer that a caller got.
    pub fn record_answer(&mut self, request: id::Request, verdict: Verdict) {
        let Some(text) = self.order_of.get(&request) else { return };
        let Some(order) = self.orders.get_mut(text) else { return };
        match verdict {
            Verdict::Deliver | Verdict::Replay => order.has_result = true,
            Verdict::Refuse(Outcome::NotRun, _) => order.reported_not_run = true,
            Verdict::Refuse(_, Reason::KeyReused) => {
                self.violations.push(format!("{text} was refused as a reused key"));
            }
            Verdict::Refuse(..) => {}
        }
    }
}

fn apply_repair(world: &mut World, repair: Repair) {
    match repair {
        Repair::Boot(node) => {
            if world.nodes[node].decider.is_none() {
                world.boot(node);
            }
        }
        Repair::Resume(node) => world.resume(node),
        Repair::Engine(id) => {
            if let Some(engine) = world.engines.get_mut(&id) {
                engine.slowdown = 1.0;
                engine.alive = true;
                engine.silent = false;
            }
        }
        Repair::ReconnectZone(zone) => {
            world.cut_zones.remove(&zone);
        }
        Repair::Table => world.table.down = false,
        Repair::Conditions => {
            world.conditions.lost_answers = 0.0;
            world.conditions.lost_messages = 0.0;
            world.conditions.table_delay = Duration::from_millis(4);
        }
    }
}
