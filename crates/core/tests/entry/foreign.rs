//! Messages and requests with any numbers in them: whatever a peer, a caller or an
//! upstream states, the scheduler goes on.

use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;
use rosemarypond_core::config::Version;
use rosemarypond_core::entry::call::{Call, Ended};
use rosemarypond_core::entry::gossip::{
    self, Answered, Cause, Crash, Dangers, Digest, Gossip, Leaving, Load, Lost, Quarantined, Reach,
    Suspect,
};
use rosemarypond_core::entry::pace::Pace;
use rosemarypond_core::entry::plan::{Limit, Limits, Plan, Team};
use rosemarypond_core::entry::scheduler::Event;
use rosemarypond_core::entry::watermark::{Era, Watermark};
use rosemarypond_core::id;
use rosemarypond_core::unit::{RequestRate, Tokens};

use crate::site::{Site, WINDOW, ms, name, refusals, sends};

fn plan() -> Arc<Plan> {
    let quota = Some(Limit { rate: 100.0, burst: 200.0 });
    let team = Team { id: name("a"), rank: None, quota, default_cost: 1 };
    let teams = [(team, vec!["key".to_owned()])];
    Arc::new(Plan::new(Version(1), Limits::default(), [], teams, []))
}

/// Numbers of any size, the extremes among them.
fn number() -> impl Strategy<Value = u64> {
    prop_oneof![Just(0), Just(1), Just(u64::MAX), Just(u64::from(u32::MAX)), any::<u64>()]
}

fn small() -> impl Strategy<Value = u32> {
    prop_oneof![Just(0), Just(1), Just(u32::MAX), any::<u32>()]
}

/// Estimates that the border lets through: finite and not negative.
fn estimate() -> impl Strategy<Value = f64> {
    prop_oneof![Just(0.0), Just(f64::from(f32::MAX)), Just(f64::from(f32::MIN_POSITIVE)), 0.0..1e6]
}

fn pace() -> impl Strategy<Value = Pace> {
    (estimate(), estimate(), estimate(), small()).prop_map(
        |(prefill, token, call, observations)| Pace {
            prefill_us: prefill,
            token_us: token,
            call_ms: call,
            observations,
        },
    )
}

fn load() -> impl Strategy<Value = Load> {
    (0..3u32, small(), small(), pace()).prop_map(|(upstream, running, prefill, pace)| Load {
        upstream: name(&format!("e{upstream}")),
        running,
        prefill: Tokens(prefill),
        pace,
        rejection_limit: running.is_multiple_of(2).then_some(prefill),
    })
}

fn digest() -> impl Strategy<Value = Option<Digest>> {
    let digest = (0..10_001u32, 0..10_001u32, number()).prop_map(|(instances, silent, total)| {
        Digest { instances, silent, admitted: vec![(name("a"), total)], ..Digest::default() }
    });
    proptest::option::of(digest)
}

fn watermark() -> impl Strategy<Value = Watermark> {
    (number(), number(), number(), number(), number()).prop_map(
        |(era, plan, at, directory, d_at)| Watermark {
            era: Era(era),
            plan: Version(plan),
            plan_at: Duration::from_millis(at),
            directory,
            directory_at: Duration::from_millis(d_at),
        },
    )
}

fn parts() -> impl Strategy<Value = Vec<id::Part>> {
    prop::collection::vec((0..4u64).prop_map(id::Part), 0..3)
}

fn age() -> impl Strategy<Value = Duration> {
    number().prop_map(Duration::from_millis)
}

fn dangers() -> impl Strategy<Value = Dangers> {
    let lost = (0..4u64, age(), parts()).prop_map(|(request, ran, parts)| Lost {
        fingerprint: id::Fingerprint(request),
        ran,
        parts,
    });
    let crash = (0..3u32, number(), age(), prop::collection::vec(lost, 0..3), any::<bool>());
    let crash = crash.prop_map(|(upstream, incarnation, age, requests, is_refuted)| Crash {
        upstream: name(&format!("e{upstream}")),
        incarnation,
        service: name("models"),
        age,
        requests,
        is_refuted,
    });
    let suspect = prop_oneof![
        (0..4u64).prop_map(|part| Suspect::Part(id::Part(part))),
        (0..4u64).prop_map(|request| Suspect::Request(id::Fingerprint(request))),
    ];
    let answered = (suspect, age()).prop_map(|(suspect, age)| Answered { suspect, age });
    let cause = prop_oneof![
        parts().prop_map(Cause::Parts),
        (0..4u64).prop_map(|request| Cause::Request(id::Fingerprint(request))),
    ];
    let quarantined = (cause, age(), proptest::option::of(age()))
        .prop_map(|(cause, age, lifted_age)| Quarantined { cause, age, lifted_age });
    let crashes = prop::collection::vec(crash, 0..4);
    let answered = prop::collection::vec(answered, 0..4);
    (crashes, answered, prop::collection::vec(quarantined, 0..3), number()).prop_map(
        |(crashes, answered, quarantined, total)| Dangers {
            crashes,
            answered,
            quarantined,
            answers: vec![(name("models"), total)],
        },
    )
}

fn limit() -> impl Strategy<Value = gossip::Limit> {
    let rate = proptest::option::of(prop_oneof![Just(0.0), Just(f64::MAX), 0.0..1e6]);
    (0..3u32, rate, age(), number()).prop_map(|(upstream, rate, age, sent)| gossip::Limit {
        upstream: name(&format!("e{upstream}")),
        incarnation: 1,
        rate: rate.map(RequestRate),
        age,
        sent,
    })
}

fn gossip() -> impl Strategy<Value = Gossip> {
    let who = (0..3u32, 0..3u32, number(), number(), number(), any::<bool>());
    let what =
        (prop::collection::vec(load(), 0..4), number(), digest(), watermark(), dangers(), limit());
    (who, what).prop_map(|((from, zone, incarnation, age, sequence, leaving), what)| {
        let (loads, total, digest, watermark, dangers, limit) = what;
        Gossip {
            from: name(&format!("b{from}")),
            incarnation: id::Incarnation(incarnation),
            zone: name(&format!("z{zone}")),
            age: Duration::from_millis(age),
            sequence,
            leaving,
            loads,
            admitted: vec![(name("a"), total)],
            digest,
            leaving_upstreams: vec![Leaving { upstream: name("e9"), incarnation }],
            limits: vec![limit],
            dangers: Box::new(dangers),
            begun: vec![],
            asked: vec![],
            reaches: vec![Reach { service: name("models"), slots: sequence as u32 }],
            trials: vec![],
            condemned: vec![],
            needs: vec![],
            watermark,
        }
    })
}

fn call() -> impl Strategy<Value = Call> {
    (small(), small(), small(), 0..5_000u64).prop_map(|(prompt, answer, cost, timeout)| {
        let call = Site::new().call(0);
        Call {
            team: Some(name("a")),
            prompt: Tokens(prompt),
            answer: Tokens(answer),
            cost: Tokens(cost),
            first_byte_deadline: call.arrived + ms(timeout),
            deadline: call.arrived + ms(timeout),
            ..call
        }
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, ..ProptestConfig::default() })]

    #[test]
    fn scheduler_goes_on_whatever_is_stated(
        messages in prop::collection::vec(gossip(), 1..12),
        calls in prop::collection::vec(call(), 1..12),
        pause in number(),
    ) {
        let mut site = Site::new();
        site.handle(Event::Configured(plan()));
        for index in 0..3 {
            site.register(&format!("e{index}"), 2);
        }
        site.handle(Event::Paused(name("e1"), Duration::from_secs(pause)));
        let mut messages = messages.into_iter();
        for (index, call) in calls.into_iter().enumerate() {
            site.now += ms(50);
            if let Some(message) = messages.next() {
                site.handle(Event::Received(Box::new(message)));
            }
            let id = index as u64 + 1;
            let shifted = site.now.saturating_duration_since(call.arrived);
            let call = Call {
                id: id::Request(id),
                arrived: site.now,
                latency_target: call.latency_target + shifted,
                first_byte_deadline: call.first_byte_deadline + shifted,
                deadline: call.deadline + shifted,
                ..call
            };
            if !sends(&site.arrive(call)).is_empty() && index % 2 == 0 {
                site.handle(Event::FirstByte(id::Request(id)));
                site.end(id, Ended::Whole { tokens: Tokens(u32::MAX) });
            }
            site.advance(ms(20));
        }
        // Once the window of the quotas has passed, the team is served again.
        site.advance(WINDOW);
        // Peers that are silent for longer than that no longer have a share.
        site.advance(WINDOW * 3);
        site.register("good", 1_000_000);
        let call = Call { team: Some(name("a")), cost: Tokens(10), ..site.call(1_000) };
        prop_assert_eq!(refusals(&site.arrive(call)), []);
    }
}
