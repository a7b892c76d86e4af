//! The decisions of one and two instances on stakker's virtual time.

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
use support::{Bench, document, key, request};

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

fn counts_a_slot_once() {
    let mut bench = Bench::new(document(2));
    let first = bench.arrive(request(1, 0));
    let second = bench.arrive(request(2, 0));
    let third = bench.arrive(request(3, 0));
    let dispatched = [first, second, third].map(|actions| actions.iter().any(is_dispatch));
    assert_eq!(dispatched, [true, true, false]);
    let after = bench.send(Event::Ended {
        request: id::Request(1),
        how: Ended::Whole,
        tokens: Default::default(),
    });
    assert_matches!(verdict_of(&after, 1), Some(Verdict::Deliver));
    assert_eq!(after.iter().filter(|a| is_dispatch(a)).count(), 1);
}

fn learns_little_from_short_prompts() {
    let mut bench = Bench::new(document(2));
    let mut long = request(1, 0);
    long.prompt.0 = 16_000;
    let mut short = request(2, 0);
    short.prompt.0 = 64;
    bench.arrive(long);
    bench.arrive(short);
    bench.advance(Duration::from_secs(4));
    bench.send(Event::FirstToken(id::Request(1)));
    bench.send(Event::FirstToken(id::Request(2)));
    let rate = bench.ask(|instance| {
        let engine = instance.engines().next().expect("there is an engine");
        engine.estimated_rates().0.0
    });
    assert!(rate > 3_500.0, "the rate that was learnt is {rate}");
}

fn higher_tier_goes_first_and_lower_makes_room() {
    let mut bench = Bench::new(document(1));
    bench.arrive(request(1, 2));
    bench.arrive(request(2, 2));
    bench.arrive(request(3, 0));
    // After an eighth of its time the higher request has the lower cut off.
    let actions = bench.advance(Duration::from_secs(3));
    assert_eq!(verdict_of(&actions, 1), refusal(Outcome::Unknown, Reason::Preempted));
    assert!(actions.iter().any(|a| matches!(a, Action::Cancel { request } if request.0 == 1)));
    let after = bench.send(Event::Ended {
        request: id::Request(1),
        how: Ended::Broken,
        tokens: Default::default(),
    });
    assert_matches!(
        after.iter().find(|a| is_dispatch(a)),
        Some(Action::Dispatch { request: id::Request(3), .. })
    );
}

fn never_cuts_off_what_must_run_once() {
    let mut bench = Bench::new(document(1));
    let mut payment = request(1, 2);
    payment.repeat = Repeat::Once;
    bench.arrive(payment);
    bench.arrive(request(2, 0));
    let actions = bench.advance(Duration::from_secs(19));
    assert_eq!(verdict_of(&actions, 1), None);
    assert!(!actions.iter().any(|a| matches!(a, Action::Cancel { .. })));
}

fn refuses_at_once_what_is_late() {
    let mut bench = Bench::new(document(1));
    bench.arrive(request(1, 0));
    bench.arrive(request(2, 0));
    let actions = bench.advance(Duration::from_secs(21));
    assert_eq!(verdict_of(&actions, 2), refusal(Outcome::NotRun, Reason::Deadline));
}

fn moves_on_where_the_connection_is_refused() {
    let mut bench = Bench::new(document(1));
    let first = bench.arrive(request(1, 0));
    assert!(first.iter().any(is_dispatch));
    let how = Ended::NotDispatched;
    let tokens = Default::default();
    bench.send(Event::Ended { request: id::Request(1), how, tokens });
    let again = bench.advance(Duration::from_secs(2));
    assert_eq!(again.iter().filter(|a| is_dispatch(a)).count(), 1);
}

fn says_unknown_where_a_payment_broke_off() {
    let mut bench = Bench::new(document(1));
    let mut payment = request(1, 0);
    payment.repeat = Repeat::Once;
    bench.arrive(payment);
    let tokens = Default::default();
    let ended = Event::Ended { request: id::Request(1), how: Ended::Broken, tokens };
    let actions = bench.send(ended);
    assert_eq!(verdict_of(&actions, 1), refusal(Outcome::Unknown, Reason::UpstreamFailed));
}

fn drain_refuses_the_new_and_finishes_the_rest() {
    let mut bench = Bench::new(document(1));
    bench.arrive(request(1, 0));
    bench.arrive(request(2, 0));
    bench.send(Event::Drain);
    let refused = bench.arrive(request(3, 0));
    assert_eq!(verdict_of(&refused, 3), refusal(Outcome::NotRun, Reason::Draining));
    let keyed = bench.arrive(key(4, 0));
    assert_eq!(verdict_of(&keyed, 4), refusal(Outcome::Unknown, Reason::Draining));
    for place in [1, 2] {
        let request = id::Request(place);
        let tokens = Default::default();
        let ended = bench.send(Event::Ended { request, how: Ended::Whole, tokens });
        assert_eq!(verdict_of(&ended, place), Some(Verdict::Deliver));
    }
    assert!(bench.ask(|instance| instance.is_idle() && !instance.is_ready()));
}

fn closes_the_key_before_it_says_not_run() {
    let mut bench = Bench::new(document(1));
    bench.arrive(request(1, 0));
    bench.arrive(key(2, 0));
    bench.send(Event::Read { request: id::Request(2), answer: Read::Found(None) });
    let actions = bench.advance(Duration::from_secs(21));
    assert_eq!(verdict_of(&actions, 2), None);
    assert!(actions.iter().any(|a| matches!(a, Action::Write { expected: 0, .. })));
    let closed = Event::Written { request: id::Request(2), answer: Write::Done(1) };
    let told = bench.send(closed);
    assert_eq!(verdict_of(&told, 2), refusal(Outcome::NotRun, Reason::Deadline));
}

fn says_unknown_where_the_record_was_not_read() {
    let mut bench = Bench::new(document(1));
    bench.arrive(key(1, 0));
    let lost = bench.send(Event::Read { request: id::Request(1), answer: Read::Lost });
    assert_eq!(verdict_of(&lost, 1), refusal(Outcome::Unknown, Reason::PlatformDown));
}

fn configuration_never_reverts() {
    let mut bench = Bench::new(document(1));
    bench.configure(3, document(2));
    bench.configure(2, document(1));
    assert_eq!(bench.ask(|instance| instance.config().0), Version(3));
}

fn follows_a_peer_with_a_higher_version() {
    let mut bench = Bench::new(document(1));
    let heartbeat = Heartbeat { config: Version(7), ..Heartbeat::default() };
    let asked = bench.hear("a2", 1, Body::Heartbeat(heartbeat));
    let wants =
        |a: &Action| matches!(a, Action::Send { message, .. } if message.body == Body::WantConfig);
    assert!(asked.iter().any(wants));
    let text = serde_json::to_string(&document(2)).expect("a document is plain data");
    bench.hear("a2", 1, Body::Config { version: Version(7), text });
    assert_eq!(bench.ask(|instance| instance.config().0), Version(7));
    let bad = Body::Config { version: Version(8), text: "{}".into() };
    bench.hear("a2", 1, bad);
    assert_eq!(bench.ask(|instance| instance.config().0), Version(7));
}

fn ignores_a_former_life() {
    let mut bench = Bench::new(document(2));
    bench.hear("a2", 5, Body::Heartbeat(Heartbeat::default()));
    bench.hear("a2", 4, Body::Lend { upstream: "e1".parse().expect("a valid id") });
    let borrowed = bench.ask(|i| i.engines().map(|e| e.borrowed).sum::<u32>());
    assert_eq!(borrowed, 0);
}

fn in_need(rank: u8) -> Body {
    let service = "models".parse().expect("a valid id");
    let load = Load { service, rank, waiting: 1, cancellable: 0 };
    Body::Heartbeat(Heartbeat { loads: vec![load], ..Heartbeat::default() })
}

fn lent(bench: &mut Bench) -> u32 {
    bench.ask(|i| i.engines().map(|e| e.lent).sum())
}

fn lends_to_a_peer_in_need_and_takes_back() {
    let mut bench = Bench::new(document(4));
    bench.hear("a2", 1, in_need(0));
    bench.advance(Duration::from_millis(200));
    assert_eq!(lent(&mut bench), 1);
    bench.hear("a2", 1, Body::Return { upstream: "e1".parse().expect("a valid id") });
    assert_eq!(lent(&mut bench), 0);
}

fn takes_a_slot_back_from_a_dead_borrower() {
    let mut bench = Bench::new(document(4));
    bench.hear("a2", 1, in_need(0));
    bench.advance(Duration::from_millis(200));
    assert_eq!(lent(&mut bench), 1);
    bench.advance(Duration::from_secs(4));
    assert_eq!(lent(&mut bench), 0);
}

fn lease_ends_where_the_return_is_lost() {
    let mut bench = Bench::new(document(4));
    bench.hear("a2", 1, in_need(0));
    bench.advance(Duration::from_millis(200));
    let end = LEASE_DURATION.as_secs() + 1;
    for _ in 0..end {
        bench.hear("a2", 1, Body::Heartbeat(Heartbeat::default()));
        bench.advance(Duration::from_secs(1));
    }
    assert_eq!(lent(&mut bench), 0);
}

fn keeps_a_higher_request_where_a_peer_holds_lower_work() {
    let mut bench = Bench::new(document(1));
    let service = "models".parse().expect("a valid id");
    let load = Load { service, rank: 2, waiting: 0, cancellable: 1 };
    let heartbeat = Heartbeat { loads: vec![load], ..Heartbeat::default() };
    bench.hear("a2", 1, Body::Heartbeat(heartbeat));
    bench.arrive(request(1, 0));
    bench.arrive(request(2, 0));
    let actions = bench.advance(Duration::from_millis(2_900));
    let asks = |a: &Action| {
        matches!(a, Action::Send { message, .. }
            if matches!(message.body, Body::MakeRoom { rank: 0, .. }))
    };
    assert!(actions.iter().any(asks), "{actions:?}");
}

fn makes_room_for_a_peer() {
    let mut bench = Bench::new(document(4));
    bench.arrive(request(1, 2));
    let service = "models".parse().expect("a valid id");
    let actions = bench.hear("a2", 1, Body::MakeRoom { service, rank: 0 });
    assert_eq!(verdict_of(&actions, 1), refusal(Outcome::Unknown, Reason::Preempted));
}

fn leaves_a_leaving_upstream_alone() {
    let mut bench = Bench::new(document(2));
    let upstream = "e1".parse().expect("a valid id");
    bench.send(Event::Leaving { upstream, leaving: true });
    let actions = bench.arrive(request(1, 0));
    assert!(!actions.iter().any(is_dispatch));
}

fn eases_out_a_failing_upstream() {
    let mut bench = Bench::new(document(4));
    bench.arrive(request(1, 0));
    let tokens = Default::default();
    bench.send(Event::Ended { request: id::Request(1), how: Ended::Broken, tokens });
    assert!(!bench.arrive(request(2, 0)).iter().any(is_dispatch));
    let later = bench.advance(Duration::from_millis(1_200));
    assert_eq!(later.iter().filter(|a| is_dispatch(a)).count(), 1);
    // Until it has answered it gets one request at a time.
    assert!(!bench.arrive(request(3, 0)).iter().any(is_dispatch));
    bench.send(Event::FirstToken(id::Request(2)));
    assert!(bench.arrive(request(4, 0)).iter().any(is_dispatch));
}

cases! {
    slot_is_counted_once => counts_a_slot_once();
    prefill_rate_after_short_prompts => learns_little_from_short_prompts();
    preemption => higher_tier_goes_first_and_lower_makes_room();
    payment_is_not_preempted => never_cuts_off_what_must_run_once();
    late_request => refuses_at_once_what_is_late();
    refused_connection => moves_on_where_the_connection_is_refused();
    broken_payment => says_unknown_where_a_payment_broke_off();
    drain => drain_refuses_the_new_and_finishes_the_rest();
    refused_key => closes_the_key_before_it_says_not_run();
    unread_key => says_unknown_where_the_record_was_not_read();
    older_configuration => configuration_never_reverts();
    configuration_of_a_peer => follows_a_peer_with_a_higher_version();
    former_life => ignores_a_former_life();
    lending => lends_to_a_peer_in_need_and_takes_back();
    borrower_dies => takes_a_slot_back_from_a_dead_borrower();
    return_is_lost => lease_ends_where_the_return_is_lost();
    lower_work_at_a_peer => keeps_a_higher_request_where_a_peer_holds_lower_work();
    room_for_a_peer => makes_room_for_a_peer();
    leaving => leaves_a_leaving_upstream_alone();
    failing_upstream => eases_out_a_failing_upstream();
}
