//! Which request is sent to which upstream and when, by load pattern.

use std::time::Duration;

use assert_matches::assert_matches;
use rosemarypond_core::entry::call::{Call, Ended, Reason, Repeat};
use rosemarypond_core::entry::gossip::{Gossip, Leaving, Load};
use rosemarypond_core::entry::pace::Pace;
use rosemarypond_core::entry::scheduler::{Action, Event};
use rosemarypond_core::entry::upstream::Registration;
use rosemarypond_core::id;
use rosemarypond_core::unit::Tokens;

use crate::site::{Site, WHOLE, cases, ms, name, refusals, registration, sends};

fn non_idempotent_is_not_retried(mut site: Site) {
    site.register("e1", 4);
    site.register("e2", 4);
    let call = Call { max_attempts: 3, ..site.call(1) };
    assert_eq!(sends(&site.arrive(call)).len(), 1);
    let actions = site.end(1, Ended::Broken);
    assert_eq!(refusals(&actions), [(1, Reason::NoAttempts)]);
    assert!(sends(&actions).is_empty());
}

fn unsent_goes_to_another(mut site: Site) {
    site.register("e1", 4);
    site.register("e2", 4);
    let call = site.call(1);
    let first = sends(&site.arrive(call));
    let second = sends(&site.end(1, Ended::NotSent));
    assert_eq!(second.len(), 1);
    assert_ne!(first[0].1, second[0].1);
}

fn rejected_stays_within_its_attempts(mut site: Site) {
    site.register("e1", 4);
    site.register("e2", 4);
    site.register("e3", 4);
    let call = Call { max_attempts: 2, ..site.call(1) };
    site.arrive(call);
    let not_run = Ended::NotRun { misdirected: false };
    assert_eq!(sends(&site.end(1, not_run)).len(), 1);
    assert_eq!(refusals(&site.end(1, not_run)), [(1, Reason::NoAttempts)]);
}

fn idempotent_is_retried(mut site: Site) {
    site.register("e1", 4);
    site.register("e2", 4);
    let call = Call { repeat: Repeat::Idempotent, max_attempts: 2, ..site.call(1) };
    site.arrive(call);
    assert_eq!(sends(&site.end(1, Ended::Broken)).len(), 1);
}

fn misdirected_upstream_gets_nothing(mut site: Site) {
    site.register("e1", 4);
    let call = site.call(1);
    site.arrive(call);
    site.end(1, Ended::NotRun { misdirected: true });
    let call = site.call(2);
    assert!(sends(&site.arrive(call)).is_empty());
}

/// An engine restarts at its old address under another id, and the directory lists the old
/// one for seconds. Guards against each instance sending it requests of its own, which all
/// use up an attempt.
fn replaced_upstream_is_told_to_peers(mut site: Site) {
    site.register("e1", 4);
    let call = site.call(1);
    site.arrive(call);
    site.end(1, Ended::NotRun { misdirected: true });
    let known: Vec<_> = site.scheduler.fleet().leaving().cloned().collect();
    assert_eq!(known, [Leaving { upstream: name("e1"), incarnation: 1 }]);
}

/// The answer belongs to a request that was sent to the incarnation before. Guards against
/// taking a restarted upstream out of use.
fn restarted_upstream_is_not_taken_for_replaced(mut site: Site) {
    site.register("e1", 4);
    let call = site.call(1);
    site.arrive(call);
    site.handle(Event::Registered(Registration { incarnation: 2, ..registration("e1", 4) }));
    site.end(1, Ended::NotRun { misdirected: true });
    let call = site.call(2);
    assert_eq!(sends(&site.arrive(call)).len(), 1);
}

fn leaving_upstream_gets_nothing(mut site: Site) {
    site.register("e1", 4);
    site.handle(Event::Registered(Registration { leaving: true, ..registration("e1", 4) }));
    let call = site.call(1);
    assert!(sends(&site.arrive(call)).is_empty());
    site.register("e2", 4);
    site.handle(Event::Deregistered(name("e2")));
    let call = site.call(2);
    assert!(sends(&site.arrive(call)).is_empty());
}

fn urgent_work_goes_first(mut site: Site) {
    site.register("e1", 1);
    let call = site.call(1);
    site.arrive(call);
    // A burst of quick questions of the same tier arrives before long work.
    for id in 2..20 {
        let call = Call { urgency: 2, prompt: Tokens(100), ..site.call(id) };
        assert!(sends(&site.arrive(call)).is_empty());
    }
    let call = Call { urgency: 0, ..site.call(20) };
    site.arrive(call);
    let call = Call { rank: 1, urgency: 0, ..site.call(21) };
    site.arrive(call);
    assert_eq!(sends(&site.end(1, WHOLE))[0].0, 20);
    // The higher tier goes before the lower one, whatever the route.
    assert!((2..20).contains(&sends(&site.end(20, WHOLE))[0].0));
}

fn late_request_waits(mut site: Site) {
    site.register("e1", 1);
    let call = site.call(1);
    site.arrive(call);
    let call = site.call(2);
    site.arrive(call);
    site.advance(ms(1_000));
    let call = site.call(3);
    site.arrive(call);
    // The second request is late by now and loses nothing more by waiting.
    assert_eq!(sends(&site.end(1, WHOLE))[0].0, 3);
    assert_eq!(sends(&site.end(3, WHOLE))[0].0, 2);
}

fn refused_before_the_caller_leaves(mut site: Site) {
    site.register("e1", 1);
    let call = site.call(1);
    site.arrive(call);
    let call = site.call(2);
    site.arrive(call);
    assert!(refusals(&site.advance(ms(3_000))).is_empty());
    let actions = site.advance(ms(900));
    assert_eq!(refusals(&actions), [(2, Reason::Deadline)]);
    assert_matches!(&actions[..], [Action::Refuse { retry_after, .. }]
        if *retry_after >= ms(100) && *retry_after <= ms(2_800));
}

fn slow_upstream_is_left_for_a_fast_one(mut site: Site) {
    site.register("fast", 1);
    site.register("slow", 1);
    let report = |site: &mut Site, upstream: &str, prefill_us| {
        let pace =
            Pace { prefill_us, token_us: prefill_us * 100.0, observations: 50, ..Pace::default() };
        let load = Load {
            upstream: name(upstream),
            running: 0,
            prefill: Tokens(0),
            pace,
            rejection_limit: None,
        };
        let mut gossip = site.gossip(upstream, 1);
        gossip.loads.push(load);
        site.handle(Event::Received(Box::new(gossip)));
    };
    report(&mut site, "fast", 20.0);
    report(&mut site, "slow", 100.0);
    let call = Call { prompt: Tokens(20_000), ..site.call(1) };
    assert_eq!(sends(&site.arrive(call)), [(1, "fast".to_owned())]);
    // The first token takes 2 s on the slow upstream, and 0.4 s on the fast one once it is free.
    let call = Call { prompt: Tokens(20_000), ..site.call(2) };
    assert!(sends(&site.arrive(call)).is_empty());
    assert_eq!(sends(&site.end(1, WHOLE)), [(2, "fast".to_owned())]);
    // A short prompt meets its latency target on the slow one.
    let call = Call { prompt: Tokens(1_000), ..site.call(3) };
    assert_eq!(sends(&site.arrive(call)), [(3, "slow".to_owned())]);
}

fn failing_upstream_gets_few_requests(mut site: Site) {
    site.register("sick", 4);
    site.register("well", 4);
    let mut to_failing = 0;
    for id in 0..60 {
        let call = site.call(id);
        let sent = sends(&site.arrive(call));
        let is_failing = sent[0].1 == "sick";
        to_failing += u32::from(is_failing);
        site.advance(ms(20));
        site.end(id, if is_failing { Ended::Broken } else { WHOLE });
    }
    assert!(to_failing <= 8, "{to_failing} of 60 requests to the failing upstream");
    // It is used again after a while.
    site.advance(Duration::from_secs(60));
    let mut to_failing = 0;
    for id in 100..108 {
        let call = site.call(id);
        to_failing += u32::from(sends(&site.arrive(call))[0].1 == "sick");
    }
    assert!(to_failing > 0);
}

fn all_failing_are_still_used(mut site: Site) {
    site.register("e1", 4);
    site.register("e2", 4);
    for id in 0..30 {
        let call = site.call(id);
        assert_eq!(sends(&site.arrive(call)).len(), 1);
        site.end(id, Ended::Failed);
    }
}

fn unreachable_upstream_is_paused(mut site: Site) {
    site.register("e1", 4);
    let call = site.call(1);
    site.arrive(call);
    site.end(1, Ended::NotSent);
    let call = site.call(2);
    assert!(sends(&site.arrive(call)).is_empty());
    assert_eq!(sends(&site.advance(ms(600))).len(), 2);
}

fn rejecting_upstream_is_paused(mut site: Site) {
    site.register("full", 4);
    let not_run = Ended::NotRun { misdirected: false };
    let mut sent = 0;
    for id in 0..50 {
        let call = site.call(id);
        let taken = sends(&site.arrive(call)).len();
        sent += taken;
        if taken > 0 {
            site.end(id, not_run);
        }
        site.advance(ms(20));
    }
    // It looks idle all the time, and must not attract every request for that.
    assert!(sent <= 6, "{sent} of 50 requests sent");
}

fn peers_fill_slots(mut site: Site) {
    site.register("e1", 4);
    let mut gossip = site.gossip("a2", 1);
    let load = Load {
        upstream: name("e1"),
        running: 4,
        prefill: Tokens(0),
        pace: Pace::default(),
        rejection_limit: None,
    };
    gossip.loads.push(load);
    site.handle(Event::Received(Box::new(gossip)));
    let call = site.call(1);
    assert!(sends(&site.arrive(call)).is_empty());
    // A message that was received out of order changes nothing.
    let old = site.gossip("a2", 1);
    assert!(sends(&site.handle(Event::Received(Box::new(old)))).is_empty());
    // The load of a silent peer is dropped.
    assert_eq!(sends(&site.advance(ms(1_600))).len(), 1);
}

fn restart_of_an_upstream(mut site: Site) {
    site.register("e1", 1);
    let call = site.call(1);
    site.arrive(call);
    assert!(sends(&site.end(1, Ended::NotSent)).is_empty());
    // The pause of the old process does not apply to the new one.
    let actions =
        site.handle(Event::Registered(Registration { incarnation: 2, ..registration("e1", 1) }));
    assert_eq!(sends(&actions), [(1, "e1".to_owned())]);
}

fn silent_request_needs_room(mut site: Site) {
    site.register("e1", 4);
    let call = Call { repeat: Repeat::Resumable, max_attempts: 2, ..site.call(1) };
    site.arrive(call);
    assert!(!site.scheduler.can_reroute(site.now, id::Request(1)), "there is no other upstream");
    site.register("e2", 4);
    assert!(site.scheduler.can_reroute(site.now, id::Request(1)));
    assert_eq!(sends(&site.end(1, Ended::Broken)).len(), 1);
    assert!(!site.scheduler.can_reroute(site.now, id::Request(1)), "its attempts are used up");
    let call = site.call(2);
    site.arrive(call);
    assert!(!site.scheduler.can_reroute(site.now, id::Request(2)), "it may run once");
}

fn left_caller_is_not_sent(mut site: Site) {
    site.register("e1", 1);
    let call = site.call(1);
    site.arrive(call);
    let call = site.call(2);
    site.arrive(call);
    site.end(2, Ended::Abandoned);
    assert!(sends(&site.end(1, WHOLE)).is_empty());
}

fn leaving(upstream: &str, incarnation: u64) -> Leaving {
    Leaving { upstream: name(upstream), incarnation }
}

/// An upstream that says that it is leaving gets nothing from then on, though its
/// registration changes, or is removed and comes back; peers receive that.
fn leaving_by_its_answer(mut site: Site) {
    site.register("e1", 4);
    site.handle(Event::Leaving(leaving("e1", 1)));
    let call = site.call(1);
    assert!(sends(&site.arrive(call)).is_empty());
    site.register("e1", 5);
    site.handle(Event::Deregistered(name("e1")));
    site.register("e1", 4);
    assert!(sends(&site.advance(ms(20))).is_empty());
    site.now += ms(500);
    site.scheduler.handle(site.now, Event::Tick);
    let is_told = |action: &Action| {
        matches!(action, Action::SendGossip { gossip, .. }
            if gossip.leaving_upstreams == [leaving("e1", 1)])
    };
    assert!(site.scheduler.take_actions().iter().any(is_told));
    let actions =
        site.handle(Event::Registered(Registration { incarnation: 2, ..registration("e1", 1) }));
    assert_eq!(sends(&actions), [(1, "e1".to_owned())]);
}

/// What a peer says of an upstream concerns one incarnation only, also where the
/// message comes first.
fn leaving_by_a_peer(mut site: Site) {
    let gossip = Gossip {
        leaving_upstreams: vec![leaving("e1", 1), leaving("e2", 7)],
        ..site.gossip("a2", 1)
    };
    site.handle(Event::Received(Box::new(gossip)));
    site.register("e1", 4);
    let call = site.call(1);
    assert!(sends(&site.arrive(call)).is_empty());
    let actions = site.handle(Event::Registered(registration("e2", 4)));
    assert_eq!(sends(&actions), [(1, "e2".to_owned())]);
}

/// An upstream that asked for a pause gets nothing until it has passed, and a
/// shorter pause does not end it; requests for which that is too long are refused
/// at once with the time that is left.
fn requested_pause(mut site: Site) {
    site.register("e1", 4);
    site.handle(Event::Paused(name("e1"), ms(2_000)));
    site.handle(Event::Paused(name("e1"), ms(100)));
    let patient = site.call(1);
    assert!(sends(&site.arrive(patient)).is_empty());
    let hasty = Call { first_byte_deadline: site.now + ms(1_500), ..site.call(2) };
    site.arrive(hasty);
    let actions = site.advance(ms(20));
    let stated = actions.iter().find_map(|action| match action {
        Action::Refuse { request, reason: Reason::NoUpstream, retry_after } => {
            Some((request.0, *retry_after))
        }
        _ => None,
    });
    let (request, retry_after) = stated.expect("the hasty request is refused");
    assert_eq!(request, 2);
    assert!(retry_after >= ms(1_980) && retry_after <= ms(2_080), "{retry_after:?}");
    assert!(sends(&site.advance(ms(1_960))).is_empty());
    assert_eq!(sends(&site.advance(ms(40))), [(1, "e1".to_owned())]);
}

/// An upstream that hangs until the deadline counts as failing, as one that
/// answers with errors does.
fn hanging_upstream_is_avoided(mut site: Site) {
    site.register("e1", 4);
    site.register("e2", 4);
    let mut to_hanging = 0;
    let mut hanging = None;
    for id in 1..=20 {
        let call = site.call(id);
        let sent = sends(&site.arrive(call));
        let is_hanging = *hanging.get_or_insert(sent[0].1.clone()) == sent[0].1;
        to_hanging += u32::from(is_hanging);
        site.now += ms(100);
        site.end(id, if is_hanging { Ended::TimedOut } else { WHOLE });
    }
    assert!((1..=4).contains(&to_hanging), "{to_hanging} of 20");
}

cases! {
    hanging_upstream_gets_few_requests => hanging_upstream_is_avoided;
    upstream_that_leaves_by_its_answer_gets_nothing => leaving_by_its_answer;
    upstream_that_leaves_by_what_a_peer_says_gets_nothing => leaving_by_a_peer;
    requested_pause_is_kept => requested_pause;
    non_idempotent_request_is_sent_once => non_idempotent_is_not_retried;
    unsent_request_goes_to_another_upstream => unsent_goes_to_another;
    rejected_request_stays_within_its_attempts => rejected_stays_within_its_attempts;
    idempotent_request_is_retried => idempotent_is_retried;
    misdirected_upstream_gets_no_requests => misdirected_upstream_gets_nothing;
    replaced_upstream_is_reported_to_peers => replaced_upstream_is_told_to_peers;
    restarted_upstream_stays_in_use => restarted_upstream_is_not_taken_for_replaced;
    leaving_and_deregistered_upstreams_get_no_requests => leaving_upstream_gets_nothing;
    burst_of_quick_questions_does_not_delay_long_work => urgent_work_goes_first;
    late_request_waits_for_one_still_in_time => late_request_waits;
    waiting_request_is_refused_before_its_caller_leaves => refused_before_the_caller_leaves;
    long_prompt_waits_for_a_fast_upstream => slow_upstream_is_left_for_a_fast_one;
    failing_upstream_gets_few_requests_and_is_used_again => failing_upstream_gets_few_requests;
    upstreams_that_all_fail_are_still_used => all_failing_are_still_used;
    unreachable_upstream_is_paused_and_used_again => unreachable_upstream_is_paused;
    repeatedly_rejecting_upstream_is_paused => rejecting_upstream_is_paused;
    slots_used_by_peers_are_not_free => peers_fill_slots;
    restarted_upstream_is_used_at_once => restart_of_an_upstream;
    silent_request_is_rerouted_only_to_an_upstream_with_room => silent_request_needs_room;
    request_whose_caller_left_is_not_sent => left_caller_is_not_sent;
}
