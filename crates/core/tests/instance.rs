//! Tests of one instance and its messages with a peer, on stakker's virtual time.

mod support;

use std::time::Duration;

use assert_matches::assert_matches;
use rosemarypond_core::claim::{Ended, Read, Verdict, Write};
use rosemarypond_core::config::Version;
use rosemarypond_core::event::{Action, Event};
use rosemarypond_core::id;
use rosemarypond_core::member::{Body, Heartbeat, LEASE_DURATION, Load};
use rosemarypond_core::outcome::{Outcome, Reason};
use rosemarypond_core::request::Repeat;
use support::{Harness, document, keyed_request, request};

macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {
        $(#[test] fn $name() { $body })*
    };
}

fn is_dispatch(action: &Action) -> bool {
    matches!(action, Action::Dispatch { .. })
}

fn verdict_of(actions: &[Action], wanted: u64) -> Option<Verdict> {
    actions.iter().find_map(|action| match action {
        Action::Answer { request, verdict, .. } if request.0 == wanted => Some(*verdict),
        _ => None,
    })
}

fn refusal(outcome: Outcome, reason: Reason) -> Option<Verdict> {
    Some(Verdict::Refuse(outcome, reason))
}

fn each_slot_runs_one_request() {
    let mut harness = Harness::new(document(2));
    let first = harness.arrive(request(1, 0));
    let second = harness.arrive(request(2, 0));
    let third = harness.arrive(request(3, 0));
    let dispatched = [first, second, third].map(|actions| actions.iter().any(is_dispatch));
    assert_eq!(dispatched, [true, true, false]);
    let after = harness.send(Event::Ended {
        request: id::Request(1),
        how: Ended::Whole,
        tokens: Default::default(),
    });
    assert_matches!(verdict_of(&after, 1), Some(Verdict::Deliver));
    assert_eq!(after.iter().filter(|a| is_dispatch(a)).count(), 1);
}

fn short_prompts_barely_change_the_prefill_rate() {
    let mut harness = Harness::new(document(2));
    let mut long = request(1, 0);
    long.prompt.0 = 16_000;
    let mut short = request(2, 0);
    short.prompt.0 = 64;
    harness.arrive(long);
    harness.arrive(short);
    harness.advance(Duration::from_secs(4));
    harness.send(Event::FirstToken(id::Request(1)));
    harness.send(Event::FirstToken(id::Request(2)));
    let rate = harness.query(|instance| {
        let engine = instance.engines().next().expect("there is an engine");
        engine.estimated_rates().0.0
    });
    assert!(rate > 3_500.0, "the estimated prefill rate is {rate}");
}

fn higher_tier_preempts_lower_tier() {
    let mut harness = Harness::new(document(1));
    harness.arrive(request(1, 2));
    harness.arrive(request(2, 2));
    harness.arrive(request(3, 0));
    // The higher request preempts the lower one after an eighth of its time.
    let actions = harness.advance(Duration::from_secs(3));
    assert_eq!(verdict_of(&actions, 1), refusal(Outcome::Unknown, Reason::Preempted));
    assert!(actions.iter().any(|a| matches!(a, Action::Cancel { request } if request.0 == 1)));
    let after = harness.send(Event::Ended {
        request: id::Request(1),
        how: Ended::Broken,
        tokens: Default::default(),
    });
    assert_matches!(
        after.iter().find(|a| is_dispatch(a)),
        Some(Action::Dispatch { request: id::Request(3), .. })
    );
}

fn non_idempotent_request_is_not_preempted() {
    let mut harness = Harness::new(document(1));
    let mut payment = request(1, 2);
    payment.repeat = Repeat::Once;
    harness.arrive(payment);
    harness.arrive(request(2, 0));
    let actions = harness.advance(Duration::from_secs(19));
    assert_eq!(verdict_of(&actions, 1), None);
    assert!(!actions.iter().any(|a| matches!(a, Action::Cancel { .. })));
}

fn late_request_is_refused_with_deadline() {
    let mut harness = Harness::new(document(1));
    harness.arrive(request(1, 0));
    harness.arrive(request(2, 0));
    let actions = harness.advance(Duration::from_secs(21));
    assert_eq!(verdict_of(&actions, 2), refusal(Outcome::NotRun, Reason::Deadline));
}

fn request_is_dispatched_again_after_a_refused_connection() {
    let mut harness = Harness::new(document(1));
    let first = harness.arrive(request(1, 0));
    assert!(first.iter().any(is_dispatch));
    let how = Ended::NotDispatched;
    let tokens = Default::default();
    harness.send(Event::Ended { request: id::Request(1), how, tokens });
    let again = harness.advance(Duration::from_secs(2));
    assert_eq!(again.iter().filter(|a| is_dispatch(a)).count(), 1);
}

fn broken_payment_has_unknown_outcome() {
    let mut harness = Harness::new(document(1));
    let mut payment = request(1, 0);
    payment.repeat = Repeat::Once;
    harness.arrive(payment);
    let tokens = Default::default();
    let ended = Event::Ended { request: id::Request(1), how: Ended::Broken, tokens };
    let actions = harness.send(ended);
    assert_eq!(verdict_of(&actions, 1), refusal(Outcome::Unknown, Reason::UpstreamFailed));
}

fn drain_refuses_new_requests_and_completes_the_rest() {
    let mut harness = Harness::new(document(1));
    harness.arrive(request(1, 0));
    harness.arrive(request(2, 0));
    harness.send(Event::Drain);
    let refused = harness.arrive(request(3, 0));
    assert_eq!(verdict_of(&refused, 3), refusal(Outcome::NotRun, Reason::Draining));
    let keyed = harness.arrive(keyed_request(4, 0));
    assert_eq!(verdict_of(&keyed, 4), refusal(Outcome::Unknown, Reason::Draining));
    for number in [1, 2] {
        let request = id::Request(number);
        let tokens = Default::default();
        let ended = harness.send(Event::Ended { request, how: Ended::Whole, tokens });
        assert_eq!(verdict_of(&ended, number), Some(Verdict::Deliver));
    }
    assert!(harness.query(|instance| instance.is_idle() && !instance.is_ready()));
}

fn key_is_closed_before_the_answer_not_run() {
    let mut harness = Harness::new(document(1));
    harness.arrive(request(1, 0));
    harness.arrive(keyed_request(2, 0));
    harness.send(Event::Read { request: id::Request(2), answer: Read::Found(None) });
    let actions = harness.advance(Duration::from_secs(21));
    assert_eq!(verdict_of(&actions, 2), None);
    assert!(actions.iter().any(|a| matches!(a, Action::Write { expected: 0, .. })));
    let closed = Event::Written { request: id::Request(2), answer: Write::Done(1) };
    let answered = harness.send(closed);
    assert_eq!(verdict_of(&answered, 2), refusal(Outcome::NotRun, Reason::Deadline));
}

fn unread_record_has_unknown_outcome() {
    let mut harness = Harness::new(document(1));
    harness.arrive(keyed_request(1, 0));
    let lost = harness.send(Event::Read { request: id::Request(1), answer: Read::Lost });
    assert_eq!(verdict_of(&lost, 1), refusal(Outcome::Unknown, Reason::PlatformDown));
}

fn older_configuration_is_ignored() {
    let mut harness = Harness::new(document(1));
    harness.configure(3, document(2));
    harness.configure(2, document(1));
    assert_eq!(harness.query(|instance| instance.config().0), Version(3));
}

fn newer_configuration_is_requested_from_a_peer() {
    let mut harness = Harness::new(document(1));
    let heartbeat = Heartbeat { config: Version(7), ..Heartbeat::default() };
    let actions = harness.receive("a2", 1, Body::Heartbeat(heartbeat));
    let requests_config =
        |a: &Action| matches!(a, Action::Send { message, .. } if message.body == Body::WantConfig);
    assert!(actions.iter().any(requests_config));
    let text = serde_json::to_string(&document(2)).expect("a document always serializes");
    harness.receive("a2", 1, Body::Config { version: Version(7), text });
    assert_eq!(harness.query(|instance| instance.config().0), Version(7));
    let bad = Body::Config { version: Version(8), text: "{}".into() };
    harness.receive("a2", 1, bad);
    assert_eq!(harness.query(|instance| instance.config().0), Version(7));
}

fn message_of_a_former_incarnation_is_ignored() {
    let mut harness = Harness::new(document(2));
    harness.receive("a2", 5, Body::Heartbeat(Heartbeat::default()));
    harness.receive("a2", 4, Body::Lend { upstream: "e1".parse().expect("a valid id") });
    let borrowed = harness.query(|i| i.engines().map(|e| e.borrowed).sum::<u32>());
    assert_eq!(borrowed, 0);
}

fn waiting_heartbeat(rank: u8) -> Body {
    let service = "models".parse().expect("a valid id");
    let load = Load { service, rank, waiting: 1, cancellable: 0 };
    Body::Heartbeat(Heartbeat { loads: vec![load], ..Heartbeat::default() })
}

fn lent_slots(harness: &mut Harness) -> u32 {
    harness.query(|i| i.engines().map(|e| e.lent).sum())
}

fn slot_is_lent_and_returned() {
    let mut harness = Harness::new(document(4));
    harness.receive("a2", 1, waiting_heartbeat(0));
    harness.advance(Duration::from_millis(200));
    assert_eq!(lent_slots(&mut harness), 1);
    harness.receive("a2", 1, Body::Return { upstream: "e1".parse().expect("a valid id") });
    assert_eq!(lent_slots(&mut harness), 0);
}

fn slot_is_reclaimed_from_a_dead_borrower() {
    let mut harness = Harness::new(document(4));
    harness.receive("a2", 1, waiting_heartbeat(0));
    harness.advance(Duration::from_millis(200));
    assert_eq!(lent_slots(&mut harness), 1);
    harness.advance(Duration::from_secs(4));
    assert_eq!(lent_slots(&mut harness), 0);
}

fn lease_expires_if_the_return_is_lost() {
    let mut harness = Harness::new(document(4));
    harness.receive("a2", 1, waiting_heartbeat(0));
    harness.advance(Duration::from_millis(200));
    let end = LEASE_DURATION.as_secs() + 1;
    for _ in 0..end {
        harness.receive("a2", 1, Body::Heartbeat(Heartbeat::default()));
        harness.advance(Duration::from_secs(1));
    }
    assert_eq!(lent_slots(&mut harness), 0);
}

fn peer_with_a_lower_tier_is_asked_to_make_room() {
    let mut harness = Harness::new(document(1));
    let service = "models".parse().expect("a valid id");
    let load = Load { service, rank: 2, waiting: 0, cancellable: 1 };
    let heartbeat = Heartbeat { loads: vec![load], ..Heartbeat::default() };
    harness.receive("a2", 1, Body::Heartbeat(heartbeat));
    harness.arrive(request(1, 0));
    harness.arrive(request(2, 0));
    let actions = harness.advance(Duration::from_millis(2_900));
    let requests_room = |a: &Action| {
        matches!(a, Action::Send { message, .. }
            if matches!(message.body, Body::MakeRoom { rank: 0, .. }))
    };
    assert!(actions.iter().any(requests_room), "{actions:?}");
}

fn lower_tier_is_preempted_for_a_peer() {
    let mut harness = Harness::new(document(4));
    harness.arrive(request(1, 2));
    let service = "models".parse().expect("a valid id");
    let actions = harness.receive("a2", 1, Body::MakeRoom { service, rank: 0 });
    assert_eq!(verdict_of(&actions, 1), refusal(Outcome::Unknown, Reason::Preempted));
}

fn leaving_upstream_gets_no_requests() {
    let mut harness = Harness::new(document(2));
    let upstream = "e1".parse().expect("a valid id");
    harness.send(Event::Leaving { upstream, leaving: true });
    let actions = harness.arrive(request(1, 0));
    assert!(!actions.iter().any(is_dispatch));
}

fn failing_upstream_is_paused_and_probed() {
    let mut harness = Harness::new(document(4));
    harness.arrive(request(1, 0));
    let tokens = Default::default();
    harness.send(Event::Ended { request: id::Request(1), how: Ended::Broken, tokens });
    assert!(!harness.arrive(request(2, 0)).iter().any(is_dispatch));
    let later = harness.advance(Duration::from_millis(1_200));
    assert_eq!(later.iter().filter(|a| is_dispatch(a)).count(), 1);
    // It gets one request at a time until the first answer.
    assert!(!harness.arrive(request(3, 0)).iter().any(is_dispatch));
    harness.send(Event::FirstToken(id::Request(2)));
    assert!(harness.arrive(request(4, 0)).iter().any(is_dispatch));
}

cases! {
    slot_is_counted_once => each_slot_runs_one_request();
    prefill_rate_after_short_prompts => short_prompts_barely_change_the_prefill_rate();
    preemption => higher_tier_preempts_lower_tier();
    payment_is_not_preempted => non_idempotent_request_is_not_preempted();
    late_request => late_request_is_refused_with_deadline();
    refused_connection => request_is_dispatched_again_after_a_refused_connection();
    broken_payment => broken_payment_has_unknown_outcome();
    drain => drain_refuses_new_requests_and_completes_the_rest();
    refused_key => key_is_closed_before_the_answer_not_run();
    unread_key => unread_record_has_unknown_outcome();
    older_configuration => older_configuration_is_ignored();
    configuration_of_a_peer => newer_configuration_is_requested_from_a_peer();
    former_incarnation => message_of_a_former_incarnation_is_ignored();
    lending => slot_is_lent_and_returned();
    borrower_dies => slot_is_reclaimed_from_a_dead_borrower();
    return_is_lost => lease_expires_if_the_return_is_lost();
    lower_tier_at_a_peer => peer_with_a_lower_tier_is_asked_to_make_room();
    room_for_a_peer => lower_tier_is_preempted_for_a_peer();
    leaving => leaving_upstream_gets_no_requests();
    failing_upstream => failing_upstream_is_paused_and_probed();
}
