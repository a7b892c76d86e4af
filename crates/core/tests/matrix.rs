//! Injects every fault at closely spaced times into a keyed order, a completion
//! and a configuration change, and pairs of faults into an order, on virtual time.

#[path = "../examples/soak/site.rs"]
mod site;
#[path = "../examples/support/mod.rs"]
mod support;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use rosemarypond_core::claim::{Ended, Verdict};
use rosemarypond_core::config::{KeyPolicy, Version};
use rosemarypond_core::engine::Sharing;
use rosemarypond_core::event::Event;
use rosemarypond_core::id;
use rosemarypond_core::outcome::Outcome;
use rosemarypond_core::request::{Key, Repeat, Request};
use rosemarypond_core::unit::Tokens;
use stakker::Stakker;
use support::world::{self, Decider, Occurrence, Policy, World};

/// How long after the start of an order faults are injected. An order takes about
/// 120 ms: a read and a write of its key, the run, and the write of its record.
const FAULT_WINDOW_MS: u64 = 140;
const START_AFTER: Duration = Duration::from_secs(3);
const REPAIR_AFTER: Duration = Duration::from_secs(5);
const RETRIES_MS: [u64; 3] = [1_500, 7_000, 14_000];
const RETRY_NODES: [usize; 3] = [2, 4, 1];
const DURATION: Duration = Duration::from_secs(60);
const UPDATE_WITHIN: Duration = Duration::from_secs(9);

const START: u64 = 0;
const RETRY: u64 = 1;
const FAULT: u64 = 10;
const REPAIR: u64 = 20;
const CHECK: u64 = 30;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    Kill,
    Pause,
    Drain,
    TableDown,
    LostAnswers,
    SlowTable,
    UpstreamDies,
    UpstreamSilent,
    UpstreamSlow,
    ZoneCut,
    LostMessages,
}

const FAULTS: [Fault; 11] = [
    Fault::Kill,
    Fault::Pause,
    Fault::Drain,
    Fault::TableDown,
    Fault::LostAnswers,
    Fault::SlowTable,
    Fault::UpstreamDies,
    Fault::UpstreamSilent,
    Fault::UpstreamSlow,
    Fault::ZoneCut,
    Fault::LostMessages,
];

fn upstreams(world: &World) -> Vec<id::Upstream> {
    let zone = &world.nodes[0].zone;
    let own = world.upstream_zone.iter().filter(|(_, z)| *z == zone);
    own.map(|(id, _)| id.clone()).collect()
}

/// Injects a fault into the first instance, its zone, its upstreams or the table.
fn inject(world: &mut World, fault: Fault) {
    match fault {
        Fault::Kill => world.kill(0),
        Fault::Pause => world.pause(0),
        Fault::Drain => world.handle(0, Event::Drain),
        Fault::TableDown => world.table.down = true,
        Fault::LostAnswers => world.conditions.lost_answers = 1.0,
        Fault::SlowTable => world.conditions.table_delay = Duration::from_millis(700),
        Fault::ZoneCut => {
            let zone = world.nodes[0].zone.clone();
            world.cut_zones.insert(zone);
        }
        Fault::LostMessages => world.conditions.lost_messages = 1.0,
        Fault::UpstreamDies | Fault::UpstreamSilent | Fault::UpstreamSlow => {
            for id in upstreams(world) {
                inject_into_upstream(world, &id, fault);
            }
        }
    }
}

fn inject_into_upstream(world: &mut World, id: &id::Upstream, fault: Fault) {
    let Some(engine) = world.engines.get_mut(id) else { return };
    match fault {
        Fault::UpstreamSilent => engine.silent = true,
        Fault::UpstreamSlow => engine.slowdown = 20.0,
        _ => {
            engine.alive = false;
            let jobs: Vec<_> = engine.jobs.keys().copied().collect();
            for job in jobs {
                world.end_job(id, job, Some(Ended::Broken));
            }
        }
    }
}

fn repair(world: &mut World) {
    if world.nodes[0].decider.is_none() {
        world.boot(0);
    } else if world.nodes[0].paused {
        world.resume(0);
    }
    world.handle(0, Event::Undrain);
    world.table.down = false;
    world.conditions.lost_answers = 0.0;
    world.conditions.lost_messages = 0.0;
    world.conditions.table_delay = Duration::from_millis(4);
    world.cut_zones.clear();
    for engine in world.engines.values_mut() {
        (engine.alive, engine.silent, engine.slowdown) = (true, false, 1.0);
    }
}

fn request(world: &mut World, service: &str, repeat: Repeat) -> Request {
    Request {
        id: world.next_id(),
        team: "osei".parse().expect("a valid id"),
        rank: 0,
        service: service.parse().expect("a valid id"),
        repeat,
        key_policy: KeyPolicy::CloseKey,
        prompt: Tokens(if service == site::MODELS { 200 } else { 0 }),
        prefix: Vec::new(),
        max_answer: None,
        arrived: world.now,
        deadline: world.now + Duration::from_secs(20),
    }
}

fn order(world: &mut World, node: usize) {
    if world.nodes[node].decider.is_none() {
        return;
    }
    let key =
        Key { team: "osei".parse().expect("a valid id"), text: "order".into(), fingerprint: 1 };
    let request = request(world, site::ORDERS, Repeat::Keyed(key));
    world.submit(node, request, 20);
}

/// Runs a scenario with faults at the given times after its start, in milliseconds.
fn run_scenario(start_scenario: fn(&mut World), retries: bool, faults: &[(Fault, u64)]) -> World {
    run_scenario_with(start_scenario, retries, faults, true)
}

fn run_scenario_with(
    start_scenario: fn(&mut World),
    retries: bool,
    faults: &[(Fault, u64)],
    conditional: bool,
) -> World {
    let start = Instant::now();
    let mut runtime = Stakker::new(start);
    let mut world = World::new(start, 1, Policy::Scheduler(Sharing::Lent));
    site::build(&mut world);
    world.table.conditional = conditional;
    let injected: Vec<_> = faults.iter().map(|(fault, _)| *fault).collect();
    world.set_hook(move |world, number| match number {
        START => start_scenario(world),
        CHECK => check_versions(world),
        REPAIR => repair(world),
        number if number >= FAULT => inject(world, injected[(number - FAULT) as usize]),
        number => order(world, RETRY_NODES[(number - RETRY) as usize]),
    });
    world.after(START_AFTER, Occurrence::Hook(START));
    for (number, (_, at_ms)) in (FAULT..).zip(faults) {
        let at = START_AFTER + Duration::from_millis(*at_ms);
        world.after(at, Occurrence::Hook(number));
        world.after(at + REPAIR_AFTER, Occurrence::Hook(REPAIR));
        world.after(at + REPAIR_AFTER + UPDATE_WITHIN, Occurrence::Hook(CHECK));
    }
    if retries {
        for (number, at_ms) in (RETRY..).zip(RETRIES_MS) {
            world.after(START_AFTER + Duration::from_millis(at_ms), Occurrence::Hook(number));
        }
    }
    let shared = Rc::new(RefCell::new(world));
    world::run(&mut runtime, &shared, start + DURATION);
    drop(runtime);
    Rc::into_inner(shared).expect("nothing else holds the world").into_inner()
}

/// Checks that every instance has the newest configuration after the faults ended.
fn check_versions(world: &mut World) {
    let newest = world.table.config.as_ref().map(|(v, _)| *v).unwrap_or_default();
    for node in &world.nodes {
        let version = match &node.decider {
            Some(Decider::Instance(instance)) => instance.config().0,
            _ => Version::default(),
        };
        assert_eq!(version, newest, "{} does not have the newest configuration", node.id);
    }
}

fn check(world: &World, what: &[(Fault, u64)]) {
    for (request, runs) in &world.runs_by_request {
        assert!(*runs <= 1, "{what:?}: request {request} was dispatched {runs} times");
    }
    let runs = world.runs_by_key.get("order").copied().unwrap_or(0);
    assert!(runs <= 1, "{what:?}: the order ran {runs} times");
    let keyed = |id: &id::Request| {
        let caller = &world.callers[id];
        matches!(caller.request.repeat, Repeat::Keyed(_))
    };
    for (request, verdict) in world.answers.iter().filter(|(id, _)| keyed(id)) {
        let not_run = matches!(verdict, Verdict::Refuse(Outcome::NotRun, _));
        assert!(!(not_run && runs > 0), "{what:?}: {request} was answered not run, but ran");
        let ran = matches!(verdict, Verdict::Deliver | Verdict::Replay);
        assert!(!(ran && runs == 0), "{what:?}: {request} was answered as run, but did not run");
    }
    for (request, caller) in &world.callers {
        let is_same_incarnation = world.nodes[caller.node].incarnation == caller.incarnation;
        assert!(
            caller.answered.is_some() || !is_same_incarnation,
            "{what:?}: {request} got no answer"
        );
    }
}

fn order_with_fault(fault: Fault) {
    for at_ms in 0..FAULT_WINDOW_MS {
        let faults = [(fault, at_ms)];
        check(&run_scenario(|world| order(world, 0), true, &faults), &faults);
    }
}

/// Injects two faults, the second one 7 ms after the first.
fn order_with_two_faults(first: Fault) {
    for second in FAULTS.into_iter().filter(|second| *second != first) {
        for at_ms in (0..FAULT_WINDOW_MS).step_by(13) {
            let faults = [(first, at_ms), (second, at_ms + 7)];
            check(&run_scenario(|world| order(world, 0), true, &faults), &faults);
        }
    }
}

fn completion(world: &mut World) {
    let request = request(world, site::MODELS, Repeat::Idempotent);
    world.submit(0, request, 4);
}

fn completion_with_fault(fault: Fault) {
    for at_ms in (0..FAULT_WINDOW_MS).step_by(3) {
        let faults = [(fault, at_ms)];
        check(&run_scenario(completion, false, &faults), &faults);
    }
}

/// Two operators change the same version concurrently, of whom at most one succeeds.
fn change_configuration(world: &mut World) {
    let (seen, document) = world.table.config.clone().expect("there is a configuration");
    let mut changed = (*document).clone();
    changed.upstreams[0].leaving = true;
    let is_applied = world.table.configure(seen, changed.clone());
    assert!(!world.table.configure(seen, changed), "both changes were applied");
    assert!(is_applied || world.table.down);
}

fn configuration_with_fault(fault: Fault) {
    for at_ms in (0..4_000).step_by(211) {
        run_scenario(change_configuration, false, &[(fault, at_ms)]);
    }
}

/// Checks that the matrix finds a fault: a table that ignores the expected version.
#[test]
#[should_panic(expected = "the order ran 2 times")]
fn finds_unconditional_writes() {
    let faults = [(Fault::Pause, 0)];
    check(&run_scenario_with(|world| order(world, 0), true, &faults, false), &faults);
}

macro_rules! cases {
    ($($name:ident: $fault:expr;)*) => {
        $(mod $name {
            use super::*;
            #[test] fn order() { order_with_fault($fault) }
            #[test] fn order_with_a_second_fault() { order_with_two_faults($fault) }
            #[test] fn completion() { completion_with_fault($fault) }
            #[test] fn configuration() { configuration_with_fault($fault) }
        })*
    };
}

cases! {
    kill: Fault::Kill;
    pause: Fault::Pause;
    drain: Fault::Drain;
    table_down: Fault::TableDown;
    lost_answers: Fault::LostAnswers;
    slow_table: Fault::SlowTable;
    upstream_dies: Fault::UpstreamDies;
    upstream_silent: Fault::UpstreamSilent;
    upstream_slow: Fault::UpstreamSlow;
    zone_cut: Fault::ZoneCut;
    lost_messages: Fault::LostMessages;
}
