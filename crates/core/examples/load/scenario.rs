//! Scenarios: the load, and the faults that occur while it runs.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use rand::Rng;
use stakker::Stakker;

use crate::support::tally::Tally;
use crate::support::world::{self, FIRST_RETRY, Occurrence, Policy, World};
use crate::workload::{Mix, Site};

pub const NAMES: [&str; 8] = [
    "steady",
    "burst",
    "slow-engine",
    "instance-death",
    "zone-cut",
    "long-and-short",
    "prefix-heavy",
    "retries",
];

/// The parameters of a run.
pub struct Options {
    pub name: String,
    pub site: String,
    /// The offered load as a share of the capacity.
    pub load: f64,
    pub seconds: u64,
}

const ARRIVAL: u64 = 0;
const FAULT: u64 = 1;
const REPAIR: u64 = 2;

/// The load in a burst as a multiple of the normal load; a burst lasts a sixth of
/// the run.
const BURST_FACTOR: f64 = 3.0;
const SLOWDOWN_FACTOR: f64 = 6.0;
/// How often a caller retries a refused request, each time after the refusal's
/// `retry_after`.
const MAX_RETRIES: u8 = 3;

impl Options {
    pub fn mix(&self) -> Mix {
        match self.name.as_str() {
            "long-and-short" => Mix { long_share: 0.15, shared_prefix: 0.2 },
            "prefix-heavy" => Mix { long_share: 0.05, shared_prefix: 0.8 },
            _ => Mix { long_share: 0.05, shared_prefix: 0.2 },
        }
    }

    pub fn capacity(&self) -> f64 {
        Site::named(&self.site).capacity(self.mix())
    }
}

/// Runs one scenario with one seed and policy.
pub fn run(options: &Options, seed: u64, policy: Policy) -> Tally {
    let start = Instant::now();
    let site = Site::named(&options.site);
    let mut runtime = Stakker::new(start);
    let mut world = World::new(start, seed, policy);
    for (entry, speed) in site.engines() {
        world.add_engine(&entry, speed);
    }
    world.put_config(site.document());
    for zone in &site.zones {
        for index in 0..site.instances_per_zone {
            world.add_node(&format!("{zone}-{index}"), zone);
        }
    }
    if options.name == "retries" {
        world.max_retries = MAX_RETRIES;
    }
    let length = Duration::from_secs(options.seconds);
    let rate = options.capacity() * options.load;
    let (name, mix, service) = (options.name.clone(), options.mix(), site.service.clone());
    world.set_hook(move |world, number| match number {
        ARRIVAL => {
            let elapsed = world.now.duration_since(world.start);
            if elapsed >= length {
                return;
            }
            submit(world, mix, &service);
            let rate = if in_burst(&name, elapsed, length) { rate * BURST_FACTOR } else { rate };
            let wait = -(1.0 - world.load_rng.random_range(0.0..1.0f64)).ln() / rate;
            world.after(Duration::from_secs_f64(wait), Occurrence::Hook(ARRIVAL));
        }
        FAULT => inject_fault(world, &name),
        number if number >= FIRST_RETRY => {
            let node = pick_ready_node(world);
            world.retry(node, number);
        }
        _ => repair(world, &name),
    });
    world.after(Duration::from_secs(1), Occurrence::Hook(ARRIVAL));
    world.after(length / 3, Occurrence::Hook(FAULT));
    world.after(length * 2 / 3, Occurrence::Hook(REPAIR));
    let shared = Rc::new(RefCell::new(world));
    world::run(&mut runtime, &shared, start + length + Duration::from_secs(70));
    let mut world = shared.borrow_mut();
    std::mem::take(&mut world.tally)
}

fn in_burst(name: &str, elapsed: Duration, length: Duration) -> bool {
    name == "burst" && elapsed > length / 3 && elapsed < length / 2
}

fn submit(world: &mut World, mix: Mix, service: &rosemarypond_core::id::Service) {
    let id = world.next_id();
    let now = world.now;
    let (request, tokens) = mix.draw(&mut world.load_rng, id, service, now);
    let node = pick_ready_node(world);
    world.submit(node, request, tokens);
}

/// Picks a random instance; the load balancer sends requests only to ready ones.
fn pick_ready_node(world: &mut World) -> usize {
    let ready: Vec<_> = (0..world.nodes.len()).filter(|n| world.is_ready(*n)).collect();
    ready[world.load_rng.random_range(0..ready.len())]
}

fn inject_fault(world: &mut World, name: &str) {
    let first = world.engines.keys().next().cloned();
    match (name, first) {
        ("slow-engine", Some(id)) => {
            if let Some(engine) = world.engines.get_mut(&id) {
                engine.slowdown = SLOWDOWN_FACTOR;
            }
        }
        ("instance-death", _) => world.kill(0),
        ("zone-cut", _) => {
            let zone = world.nodes[0].zone.clone();
            world.cut_zones.insert(zone);
        }
        _ => {}
    }
}

fn repair(world: &mut World, name: &str) {
    match name {
        "slow-engine" => world.engines.values_mut().for_each(|e| e.slowdown = 1.0),
        "instance-death" => world.boot(0),
        "zone-cut" => world.cut_zones.clear(),
        _ => {}
    }
}
