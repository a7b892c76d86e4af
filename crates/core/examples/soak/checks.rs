//! Invariants over all instances, checked from outside.

use std::time::Duration;

use rosemarypond_core::claim::Verdict;
use rosemarypond_core::config::Version;
use rosemarypond_core::instance::{Instance, Stage};
use rosemarypond_core::outcome::Reason;

use crate::faults::Soak;
use crate::support::world::{Decider, World};

/// The time within which all reachable instances follow an accepted configuration.
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

/// Checks that a drained instance has no request running on any upstream.
pub fn check_drained(world: &World, soak: &mut Soak, node: usize) {
    let incarnation = world.nodes[node].incarnation;
    let running = world.engines.values().flat_map(|e| e.jobs.values());
    let own = running.filter(|job| job.node == node && job.incarnation == incarnation).count();
    if own > 0 {
        soak.violations.push(format!("a drained instance had {own} requests running"));
    }
}

pub fn check_step(world: &World, soak: &mut Soak) {
    for (request, verdict) in &world.answers[soak.checked_answers..] {
        soak.record_answer(*request, *verdict);
        check_shed_order(world, soak, *request, *verdict);
    }
    soak.checked_answers = world.answers.len();
    for (at, upstream) in &world.dispatches[soak.checked_dispatches..] {
        let Some(since) = soak.leaving.get(upstream) else { continue };
        let bound = *since.max(&soak.last_disruption) + IN_FORCE_WITHIN;
        if *at > bound {
            soak.violations.push(format!("{upstream} got a new request while it was leaving"));
        }
    }
    soak.checked_dispatches = world.dispatches.len();
    check_keys(world, soak);
}

fn check_keys(world: &World, soak: &mut Soak) {
    for (key, runs) in &world.runs_by_key {
        if *runs > 1 {
            soak.violations.push(format!("{key} ran {runs} times"));
        }
        if *runs > 0 && soak.orders.get(key).is_some_and(|o| o.reported_not_run) {
            soak.violations.push(format!("{key} ran, but was reported as not run"));
        }
    }
}

/// Checks that where a request was shed, no instance in the zone had held a
/// request of a lower tier that could make room for over 2 s. Applies from 5 s
/// after the last disruption.
fn check_shed_order(
    world: &World,
    soak: &mut Soak,
    request: rosemarypond_core::id::Request,
    verdict: Verdict,
) {
    let Verdict::Refuse(_, Reason::Overload) = verdict else { return };
    let is_settled = world.now.duration_since(soak.last_disruption) > Duration::from_secs(5);
    let Some(caller) = world.callers.get(&request) else { return };
    if !is_settled {
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

/// The final checks, when everything has worked again for a while.
pub fn check_end(world: &World, soak: &mut Soak) {
    check_step(world, soak);
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
        check_slots(world, soak, node);
    }
}

/// Checks that no slot is leaked: nothing runs, so none may be counted as used.
fn check_slots(world: &World, soak: &mut Soak, node: usize) {
    let Some(instance) = instance(world, node) else { return };
    for engine in instance.engines() {
        if engine.running + engine.lent + engine.borrowed > 0 {
            let id = &engine.entry.id;
            let counts = (engine.running, engine.lent, engine.borrowed);
            soak.violations.push(format!("instance {node} still counts {counts:?} on {id}"));
        }
    }
}
