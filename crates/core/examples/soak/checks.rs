//! The promises, checked from outside over all instances.

use std::time::Duration;

use rosemarypond_core::claim::Verdict;
use rosemarypond_core::config::Version;
use rosemarypond_core::instance::{Instance, RowStage as Stage};
use rosemarypond_core::outcome::Reason;

use crate::faults::Soak;
use crate::support::world::{Decider, World};

/// An accepted configuration is in force everywhere in reach within this time.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(9);

fn instance(world: &World, node: usize) -> Option<&Instance> {
    match &world.nodes[node].decider {
        Some(Decider::Instance(instance)) => Some(instance),
        _ => None,
    }
}

pub fn is_idle(world: &World, node: usize) -> bool {
    instance(world, node).is_some_and(|i| i.is_draining() && i.is_idle())
}

/// A drained instance has nothing running anywhere.
pub fn drained(world: &World, soak: &mut Soak, node: usize) {
    let incarnation = world.nodes[node].incarnation;
    let running = world.engines.values().flat_map(|e| e.jobs.values());
    let own = running.filter(|job| job.node == node && job.incarnation == incarnation).count();
    if own > 0 {
        soak.violations.push(format!("a drained instance had {own} requests running"));
    }
}

pub fn every_step(world: &World, soak: &mut Soak) {
    for (request, verdict) in &world.answers[soak.seen_told..] {
        soak.told(*request, *verdict);
        shed_order(world, soak, *request, *verdict);
    }
    soak.seen_told = world.answers.len();
    for (at, upstream) in &world.dispatches[soak.seen_started..] {
        let Some(since) = soak.leaving.get(upstream) else { continue };
        let bound = *since.max(&soak.last_trouble) + IN_FORCE_WITHIN;
        if *at > bound {
            soak.violations.push(format!("{upstream} got new work after it had left"));
        }
    }
    soak.seen_started = world.dispatches.len();
    keys(world, soak);
}

fn keys(world: &World, soak: &mut Soak) {
    for (key, runs) in &world.runs_by_key {
        if *runs > 1 {
            soak.violations.push(format!("{key} ran {runs} times"));
        }
        if *runs > 0 && soak.orders.get(key).is_some_and(|o| o.told_not_run) {
            soak.violations.push(format!("{key} ran, but was called not run"));
        }
    }
}

/// Nothing of a lower tier that could make room has stood for long anywhere
/// in the zone while all its instances hear each other.
fn shed_order(
    world: &World,
    soak: &mut Soak,
    request: rosemarypond_core::id::Request,
    verdict: Verdict,
) {
    let Verdict::Refuse(_, Reason::Overload) = verdict else { return };
    let calm = world.now.duration_since(soak.last_trouble) > Duration::from_secs(5);
    let Some(caller) = world.callers.get(&request) else { return };
    if !calm {
        return;
    }
    let zone = &world.nodes[caller.node].zone;
    let peers = (0..world.nodes.len()).filter(|n| world.nodes[*n].zone == *zone);
    let rows = peers.filter_map(|n| instance(world, n)).flat_map(|i| i.rows(world.now));
    let lower = rows.filter(|row| {
        let could_make_room = match row.stage {
            Stage::Waiting => true,
            Stage::Running => row.may_cancel,
            Stage::Ending => false,
        };
        could_make_room
            && row.rank > caller.request.rank
            && row.service == caller.request.service
            && row.age > Duration::from_secs(2)
    });
    if lower.count() > 0 {
        soak.violations.push(format!("request {request} was shed before a lower tier"));
    }
}

/// What has to hold when everything has worked again for a while.
pub fn last(world: &World, soak: &mut Soak) {
    every_step(world, soak);
    let newest = world.table.config.as_ref().map(|(v, _)| *v).unwrap_or_default();
    for node in 0..world.nodes.len() {
        let version = instance(world, node).map_or(Version::default(), |i| i.config().0);
        if version != newest {
            soak.violations.push(format!("instance {node} follows {version}, not {newest}"));
        }
    }
    for (request, runs) in &world.runs_by_request {
        if *runs > 1 {
            soak.violations.push(format!("request {request} was dispatched {runs} times"));
        }
    }
    let unanswered = world.callers.iter().filter(|(_, caller)| {
        caller.answered.is_none() && world.nodes[caller.node].incarnation == caller.incarnation
    });
    let mut unanswered: Vec<_> = unanswered.map(|(id, _)| *id).collect();
    unanswered.sort();
    for request in unanswered {
        soak.violations.push(format!("request {request} got no final answer"));
    }
    for node in 0..world.nodes.len() {
        let held = instance(world, node).map_or(0, Instance::held_count);
        if held > 0 {
            soak.violations.push(format!("instance {node} still holds {held} requests"));
        }
        slots(world, soak, node);
    }
}

/// No slot is lost: nothing runs, so nothing may be counted.
fn slots(world: &World, soak: &mut Soak, node: usize) {
    let Some(instance) = instance(world, node) else { return };
    for engine in instance.engines() {
        if engine.running + engine.lent + engine.borrowed > 0 {
            let id = &engine.entry.id;
            let counts = (engine.running, engine.lent, engine.borrowed);
            soak.violations.push(format!("instance {node} still counts {counts:?} on {id}"));
        }
    }
}
