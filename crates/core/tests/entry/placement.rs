//! Which request goes where and when, by the load pattern that it answers.

use std::time::Duration;

use assert_matches::assert_matches;
use rosemarypond_core::entry::call::{Call, Ended, Reason, Repeat};
use rosemarypond_core::entry::gossip::Load;
use rosemarypond_core::entry::pace::Pace;
use rosemarypond_core::entry::scheduler::{Action, Event};
use rosemarypond_core::entry::upstream::Registration;
use rosemarypond_core::id;
use rosemarypond_core::unit::Tokens;

use crate::site::{Site, WHOLE, cases, listed, ms, name, refusals, sends};

fn once_is_not_repeated(mut site: Site) {
    site.list("e1", 4);
    site.list("e2", 4);
    let call = Call { max_attempts: 3, ..site.call(1) };
    assert_eq!(sends(&site.arrive(call)).len(), 1);
    let actions = site.end(1, Ended::Broken);
    assert_eq!(refusals(&actions), [(1, Reason::NoAttempts)]);
    assert!(sends(&actions).is_empty());
}

fn unsent_goes_elsewhere(mut site: Site) {
    site.list("e1", 4);
    site.list("e2", 4);
    let call = site.call(1);
    let first = sends(&site.arrive(call));
    let second = sends(&site.end(1, Ended::NotSent));
    assert_eq!(second.len(), 1);
    assert_ne!(first[0].1, second[0].1);
}

fn rejected_keeps_to_its_attempts(mut site: Site) {
    site.list("e1", 4);
    site.list("e2", 4);
    site.list("e3", 4);
    let call = Call { max_attempts: 2, ..site.call(1) };
    site.arrive(call);
    let not_run = Ended::NotRun { misdirected: false };
    assert_eq!(sends(&site.end(1, not_run)).len(), 1);
    assert_eq!(refusals(&site.end(1, not_run)), [(1, Reason::NoAttempts)]);
}

fn idempotent_is_repeated(mut site: Site) {
    site.list("e1", 4);
    site.list("e2", 4);
    let call = Call { repeat: Repeat::Idempotent, max_attempts: 2, ..site.call(1) };
    site.arrive(call);
    assert_eq!(sends(&site.end(1, Ended::Broken)).len(), 1);
}

fn misdirected_upstream_gets_nothing(mut site: Site) {
    site.list("e1", 4);
    let call = site.call(1);
    site.arrive(call);
    site.end(1, Ended::NotRun { misdirected: true });
    let call = site.call(2);
    assert!(sends(&site.arrive(call)).is_empty());
}

fn leaving_upstream_gets_nothing(mut site: Site) {
    site.list("e1", 4);
    site.handle(Event::Registered(Registration { leaving: true, ..listed("e1", 4) }));
    let call = site.call(1);
    assert!(sends(&site.arrive(call)).is_empty());
    site.list("e2", 4);
    site.handle(Event::Deregistered(name("e2")));
    let call = site.call(2);
    assert!(sends(&site.arrive(call)).is_empty());
}

fn urgent_work_goes_first(mut site: Site) {
    site.list("e1", 1);
    let call = site.call(1);
    site.arrive(call);
    // A burst of quick questions of the same tier comes before long work.
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

fn late_work_waits(mut site: Site) {
    site.list("e1", 1);
    let call = site.call(1);
    site.arrive(call);
    let call = site.call(2);
    site.arrive(call);
    site.pass(ms(1_000));
    let call = site.call(3);
    site.arrive(call);
    // The second is late by now and loses nothing more by waiting.
    assert_eq!(sends(&site.end(1, WHOLE))[0].0, 3);
    assert_eq!(sends(&site.end(3, WHOLE))[0].0, 2);
}

fn refused_before_the_caller_leaves(mut site: Site) {
    site.list("e1", 1);
    let call = site.call(1);
    site.arrive(call);
    let call = site.call(2);
    site.arrive(call);
    assert!(refusals(&site.pass(ms(3_000))).is_empty());
    let actions = site.pass(ms(900));
    assert_eq!(refusals(&actions), [(2, Reason::Deadline)]);
    assert_matches!(&actions[..], [Action::Refuse { retry_after, .. }]
        if *retry_after >= ms(100) && *retry_after <= ms(2_800));
}

fn slow_upstream_is_left_for_a_fast_one(mut site: Site) {
    site.list("fast", 1);
    site.list("slow", 1);
    let teach = |site: &mut Site, upstream: &str, prefill_us| {
        let pace =
            Pace { prefill_us, token_us: prefill_us * 100.0, observations: 50, ..Pace::default() };
        let load = Load { upstream: name(upstream), running: 0, prefill: Tokens(0), pace };
        let mut gossip = site.gossip(upstream, 1);
        gossip.loads.push(load);
        site.handle(Event::Received(gossip));
    };
    teach(&mut site, "fast", 20.0);
    teach(&mut site, "slow", 100.0);
    let call = Call { prompt: Tokens(20_000), ..site.call(1) };
    assert_eq!(sends(&site.arrive(call)), [(1, "fast".to_owned())]);
    // 2 s on the slow one, 0.4 s on the fast one once it is free.
    let call = Call { prompt: Tokens(20_000), ..site.call(2) };
    assert!(sends(&site.arrive(call)).is_empty());
    assert_eq!(sends(&site.end(1, WHOLE)), [(2, "fast".to_owned())]);
    // A short prompt is in time on the slow one.
    let call = Call { prompt: Tokens(1_000), ..site.call(3) };
    assert_eq!(sends(&site.arrive(call)), [(3, "slow".to_owned())]);
}

fn sick_upstream_is_eased_out(mut site: Site) {
    site.list("sick", 4);
    site.list("well", 4);
    let mut to_sick = 0;
    for id in 0..60 {
        let call = site.call(id);
        let sent = sends(&site.arrive(call));
        let is_sick = sent[0].1 == "sick";
        to_sick += u32::from(is_sick);
        site.pass(ms(20));
        site.end(id, if is_sick { Ended::Broken } else { WHOLE });
    }
    assert!(to_sick <= 8, "{to_sick} of 60 requests to the sick one");
    // It is tried again after a while.
    site.pass(Duration::from_secs(60));
    let mut to_sick = 0;
    for id in 100..108 {
        let call = site.call(id);
        to_sick += u32::from(sends(&site.arrive(call))[0].1 == "sick");
    }
    assert!(to_sick > 0);
}

fn all_sick_are_all_used(mut site: Site) {
    site.list("e1", 4);
    site.list("e2", 4);
    for id in 0..30 {
        let call = site.call(id);
        assert_eq!(sends(&site.arrive(call)).len(), 1);
        site.end(id, Ended::Failed);
    }
}

fn unreachable_upstream_rests(mut site: Site) {
    site.list("e1", 4);
    let call = site.call(1);
    site.arrive(call);
    site.end(1, Ended::NotSent);
    let call = site.call(2);
    assert!(sends(&site.arrive(call)).is_empty());
    assert_eq!(sends(&site.pass(ms(600))).len(), 2);
}

fn rejecting_upstream_rests(mut site: Site) {
    site.list("full", 4);
    let not_run = Ended::NotRun { misdirected: false };
    let mut sent = 0;
    for id in 0..50 {
        let call = site.call(id);
        let taken = sends(&site.arrive(call)).len();
        sent += taken;
        if taken > 0 {
            site.end(id, not_run);
        }
        site.pass(ms(20));
    }
    // It looks empty all the while, and still does not draw all that comes.
    assert!(sent <= 6, "{sent} of 50 requests sent");
}

fn peers_fill_slots(mut site: Site) {
    site.list("e1", 4);
    let mut gossip = site.gossip("a2", 1);
    let load = Load { upstream: name("e1"), running: 4, prefill: Tokens(0), pace: Pace::default() };
    gossip.loads.push(load);
    site.handle(Event::Received(gossip));
    let call = site.call(1);
    assert!(sends(&site.arrive(call)).is_empty());
    // A message that was overtaken changes nothing.
    let old = site.gossip("a2", 1);
    assert!(sends(&site.handle(Event::Received(old))).is_empty());
    // What a silent peer runs is forgotten.
    assert_eq!(sends(&site.pass(ms(1_600))).len(), 1);
}

fn new_life_of_an_upstream(mut site: Site) {
    site.list("e1", 1);
    let call = site.call(1);
    site.arrive(call);
    assert!(sends(&site.end(1, Ended::NotSent)).is_empty());
    // The new process does not rest for what the old one did.
    let actions = site.handle(Event::Registered(Registration { born: 2, ..listed("e1", 1) }));
    assert_eq!(sends(&actions), [(1, "e1".to_owned())]);
}

fn silent_request_moves_only_to_room(mut site: Site) {
    site.list("e1", 4);
    let call = Call { repeat: Repeat::Resumable, max_attempts: 2, ..site.call(1) };
    site.arrive(call);
    assert!(!site.scheduler.can_reroute(site.now, id::Request(1)), "nobody else is there");
    site.list("e2", 4);
    assert!(site.scheduler.can_reroute(site.now, id::Request(1)));
    assert_eq!(sends(&site.end(1, Ended::Broken)).len(), 1);
    assert!(!site.scheduler.can_reroute(site.now, id::Request(1)), "its attempts are used up");
    let call = site.call(2);
    site.arrive(call);
    assert!(!site.scheduler.can_reroute(site.now, id::Request(2)), "it may run once");
}

fn left_caller_is_not_sent(mut site: Site) {
    site.list("e1", 1);
    let call = site.call(1);
    site.arrive(call);
    let call = site.call(2);
    site.arrive(call);
    site.end(2, Ended::Abandoned);
    assert!(sends(&site.end(1, WHOLE)).is_empty());
}

cases! {
    non_idempotent_request_is_sent_once => once_is_not_repeated;
    request_that_did_not_leave_goes_elsewhere => unsent_goes_elsewhere;
    rejected_request_keeps_to_its_attempts => rejected_keeps_to_its_attempts;
    idempotent_request_is_repeated => idempotent_is_repeated;
    misdirected_upstream_gets_no_more => misdirected_upstream_gets_nothing;
    leaving_and_gone_upstreams_get_no_more => leaving_upstream_gets_nothing;
    quick_questions_do_not_hold_up_long_work => urgent_work_goes_first;
    late_work_waits_for_work_in_time => late_work_waits;
    waiting_request_is_refused_before_its_caller_leaves => refused_before_the_caller_leaves;
    long_prompt_waits_for_a_fast_upstream => slow_upstream_is_left_for_a_fast_one;
    sick_upstream_is_eased_out_and_tried_again => sick_upstream_is_eased_out;
    upstreams_that_are_all_sick_are_all_used => all_sick_are_all_used;
    upstream_that_cannot_be_reached_rests => unreachable_upstream_rests;
    upstream_that_rejects_one_after_the_other_rests => rejecting_upstream_rests;
    slots_that_peers_use_are_taken => peers_fill_slots;
    upstream_with_a_new_life_is_another => new_life_of_an_upstream;
    silent_request_moves_only_where_it_would_be_taken => silent_request_moves_only_to_room;
    request_whose_caller_left_is_not_sent => left_caller_is_not_sent;
}
