//! Decisions of an entry instance, on a clock that the tests set.

use std::sync::Arc;
use std::time::{Duration, Instant};

use assert_matches::assert_matches;
use proptest::prelude::*;
use rosemarypond_core::config::Version;
use rosemarypond_core::entry::budget::{Allowance, Budget};
use rosemarypond_core::entry::call::{Call, Ended, Reason, Repeat};
use rosemarypond_core::entry::fleet::{Listed, Place};
use rosemarypond_core::entry::gossip::{Gossip, Load};
use rosemarypond_core::entry::pace::Pace;
use rosemarypond_core::entry::plan::{Denial, Limit, Limits, Plan, Route, Target, Team};
use rosemarypond_core::entry::quota::{Counting, Quota};
use rosemarypond_core::entry::scheduler::{Action, Event, Options, Scheduler};
use rosemarypond_core::id;
use rosemarypond_core::unit::Tokens;

/// Names each case and gives it a new site.
macro_rules! cases {
    ($($(#[doc = $doc:literal])* $name:ident => $body:expr;)*) => {
        $(
            $(#[doc = $doc])*
            #[test]
            fn $name() {
                let body: fn(Site) = $body;
                body(Site::new());
            }
        )*
    };
}

const WINDOW: Duration = Duration::from_secs(8);
const ALLOWANCE: Allowance =
    Allowance { ratio: 0.2, fixed: 100.0, window: Duration::from_secs(10) };

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("the name is right")
}

fn listed(upstream: &str, slots: u32) -> Listed {
    Listed {
        id: name(upstream),
        service: name("models"),
        address: "127.0.0.1:1".parse().expect("the address is right"),
        zone: name("z1"),
        slots,
        born: 1,
        leaving: false,
    }
}

/// One instance and its clock.
struct Site {
    now: Instant,
    scheduler: Scheduler,
}

impl Site {
    fn new() -> Self {
        Self::named("a1")
    }

    fn named(instance: &str) -> Self {
        let options = Options {
            place: Place { instance: name(instance), zone: name("z1") },
            incarnation: id::Incarnation(1),
            allowance: ALLOWANCE,
            counting: Counting { window: WINDOW, tolerance: 0.0 },
            joins: false,
        };
        Self { now: Instant::now() + Duration::from_secs(100), scheduler: Scheduler::new(options) }
    }

    fn list(&mut self, upstream: &str, slots: u32) {
        self.handle(Event::Listed(listed(upstream, slots)));
    }

    fn call(&self, id: u64) -> Call {
        Call {
            id: id::Request(id),
            team: None,
            service: name("models"),
            rank: 0,
            urgency: 0,
            repeat: Repeat::Once,
            max_attempts: 1,
            arrived: self.now,
            aim: self.now + ms(800),
            first_due: self.now + ms(4_000),
            deadline: self.now + ms(8_000),
            prompt: Tokens(1_000),
            answer: Tokens(100),
            cost: Tokens(1_100),
        }
    }

    fn handle(&mut self, event: Event) -> Vec<Action> {
        self.scheduler.handle(self.now, event);
        let mut actions = self.scheduler.take_actions();
        actions.retain(|a| !matches!(a, Action::Tell { .. }));
        actions
    }

    fn arrive(&mut self, call: Call) -> Vec<Action> {
        self.handle(Event::Arrived(call))
    }

    fn end(&mut self, id: u64, how: Ended) -> Vec<Action> {
        self.handle(Event::Ended(id::Request(id), how))
    }

    fn pass(&mut self, time: Duration) -> Vec<Action> {
        self.now += time;
        self.handle(Event::Tick)
    }

    fn gossip(&mut self, from: &str, sequence: u64) -> Gossip {
        Gossip {
            from: name(from),
            incarnation: id::Incarnation(7),
            zone: name("z1"),
            sequence,
            leaving: false,
            loads: vec![],
            waiting: vec![],
            admitted: vec![],
        }
    }
}

fn sends(actions: &[Action]) -> Vec<(u64, String)> {
    let sent = |action: &Action| match action {
        Action::Send { request, upstream, .. } => Some((request.0, upstream.id.to_string())),
        _ => None,
    };
    actions.iter().filter_map(sent).collect()
}

fn refusals(actions: &[Action]) -> Vec<(u64, Reason)> {
    let refused = |action: &Action| match action {
        Action::Refuse { request, reason, .. } => Some((request.0, *reason)),
        _ => None,
    };
    actions.iter().filter_map(refused).collect()
}

const WHOLE: Ended = Ended::Whole { tokens: Tokens(100) };

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
    site.handle(Event::Listed(Listed { leaving: true, ..listed("e1", 4) }));
    let call = site.call(1);
    assert!(sends(&site.arrive(call)).is_empty());
    site.list("e2", 4);
    site.handle(Event::Unlisted(name("e2")));
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
        let pace = Pace { prefill_us, token_us: prefill_us * 100.0, seen: 50, ..Pace::default() };
        let load = Load { upstream: name(upstream), running: 0, prefill: Tokens(0), pace };
        let mut gossip = site.gossip(upstream, 1);
        gossip.loads.push(load);
        site.handle(Event::Heard(gossip));
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
    site.handle(Event::Heard(gossip));
    let call = site.call(1);
    assert!(sends(&site.arrive(call)).is_empty());
    // A message that was overtaken changes nothing.
    let old = site.gossip("a2", 1);
    assert!(sends(&site.handle(Event::Heard(old))).is_empty());
    // What a silent peer runs is forgotten.
    assert_eq!(sends(&site.pass(ms(1_600))).len(), 1);
}

fn new_life_of_an_upstream(mut site: Site) {
    site.list("e1", 1);
    let call = site.call(1);
    site.arrive(call);
    assert!(sends(&site.end(1, Ended::NotSent)).is_empty());
    // The new process does not rest for what the old one did.
    let actions = site.handle(Event::Listed(Listed { born: 2, ..listed("e1", 1) }));
    assert_eq!(sends(&actions), [(1, "e1".to_owned())]);
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

fn plan(limit: Option<Limit>) -> Plan {
    let team = Team { id: name("a"), rank: None, quota: limit, plain_cost: 1 };
    Plan::new(Version(1), Limits::default(), [], [(team, vec!["key".to_owned()])], [])
}

const LIMIT: Limit = Limit { rate: 100.0, burst: 200.0 };

fn quota(tolerance: f64, joins: bool, now: Instant) -> Quota {
    let mut quota = Quota::new(Counting { window: WINDOW, tolerance });
    quota.configure(&plan(Some(LIMIT)), joins, now);
    quota
}

/// Asks as fast as it can; gives what was admitted in each tenth of a second.
fn greedy(quota: &mut Quota, start: Instant, tenths: u64, share: f64) -> Vec<u32> {
    let team = name("a");
    let admit = |tenth| {
        let now = start + ms(100) * tenth as u32;
        let admitted = std::iter::from_fn(|| quota.admit(&team, Tokens(10), now, share).ok());
        admitted.count() as u32 * 10
    };
    (0..tenths).map(admit).collect()
}

fn worst_window(admitted: &[u32]) -> u32 {
    admitted.windows(80).map(|w| w.iter().sum()).max().unwrap_or_default()
}

fn quota_holds_in_each_window(site: Site) {
    for tolerance in [0.0, 500.0, 10_000.0] {
        let mut quota = quota(tolerance, false, site.now);
        let worst = worst_window(&greedy(&mut quota, site.now, 400, 1.0));
        assert!(worst <= 1_000, "{worst} with a tolerance of {tolerance}");
    }
}

fn quota_around_a_restart_of_all(site: Site) {
    let tolerance = 400.0;
    let mut admitted = greedy(&mut quota(tolerance, false, site.now), site.now, 40, 1.0);
    let restart = site.now + ms(4_000);
    admitted.extend(greedy(&mut quota(tolerance, true, restart), restart, 80, 1.0));
    let worst = f64::from(worst_window(&admitted));
    assert!(worst <= 1_000.0 + tolerance, "{worst}");
}

fn quota_on_both_sides_of_a_cut(site: Site) {
    let one = greedy(&mut quota(0.0, false, site.now), site.now, 400, 0.5);
    let other = greedy(&mut quota(0.0, false, site.now), site.now, 400, 0.5);
    let both: Vec<_> = one.iter().zip(&other).map(|(a, b)| a + b).collect();
    // Each side may use the burst that it had at the cut.
    assert!(worst_window(&both) <= 1_000 + 200);
}

fn quota_counts_peers(site: Site) {
    let mut quota = quota(0.0, false, site.now);
    quota.admitted_elsewhere(&name("a"), 195, site.now);
    assert!(quota.admit(&name("a"), Tokens(10), site.now, 1.0).is_err());
    let wait = quota.admit(&name("a"), Tokens(105), site.now, 1.0).expect_err("it is used up");
    assert!(wait >= ms(990) && wait <= ms(1_010), "{wait:?}");
}

fn quota_admits_what_exceeds_it_alone(site: Site) {
    let mut quota = quota(0.0, false, site.now);
    assert_eq!(quota.admit(&name("a"), Tokens(5_000), site.now, 1.0), Ok(()));
    assert!(quota.admit(&name("a"), Tokens(1), site.now, 1.0).is_err());
    let later = site.now + Duration::from_secs(60);
    assert_eq!(quota.admit(&name("a"), Tokens(1), later, 1.0), Ok(()));
}

fn quota_of_peers_reaches_the_scheduler(mut site: Site) {
    site.list("e1", 4);
    site.handle(Event::Configured(Arc::new(plan(Some(LIMIT)))));
    let first = site.gossip("a2", 1);
    site.handle(Event::Heard(first));
    let mut second = site.gossip("a2", 2);
    second.admitted.push((name("a"), 200));
    site.handle(Event::Heard(second));
    let call = Call { team: Some(name("a")), cost: Tokens(50), ..site.call(1) };
    assert_eq!(refusals(&site.arrive(call)), [(1, Reason::Quota)]);
}

fn budget_over_instances(site: Site) {
    let service = name("models");
    let mut total = 0;
    for _ in 0..7 {
        let mut budget = Budget::new(ALLOWANCE);
        for request in 0..100 {
            budget.requested(&service, site.now + ms(request * 50));
        }
        total +=
            (0..1_000).filter(|place| budget.take(&service, site.now + ms(place * 5), 7)).count();
    }
    // 700 requests, a fifth of them and 100 more may be repeated.
    assert!(total <= 240, "{total} repeats");
    assert!(total >= 100, "{total} repeats");
}

fn route(prefix: &str, targets: &[(&str, u32)]) -> Route {
    Route {
        name: prefix.to_owned(),
        host: "a.example".to_owned(),
        prefix: prefix.to_owned(),
        repeat: Repeat::Once,
        is_stream: false,
        timeout: ms(1_000),
        aim: ms(100),
        first_patience: ms(1_000),
        rank: 0,
        targets: targets
            .iter()
            .map(|(service, weight)| Target { service: name(service), weight: *weight })
            .collect(),
        max_attempts: 1,
        is_public: prefix == "/public/",
    }
}

fn routes(_site: Site) {
    let routes = [
        route("/a/", &[("one", 1)]),
        route("/a/b/", &[("two", 1)]),
        route("/public/", &[("one", 1)]),
    ];
    let team = Team { id: name("a"), rank: Some(1), quota: None, plain_cost: 1 };
    let teams = [(team, vec!["key".to_owned()])];
    let plan = Plan::new(Version(1), Limits::default(), routes, teams, []);
    let prefix = |path: &str, key| {
        plan.resolve("A.example:80", path, key).map(|found| found.route.prefix.clone())
    };
    assert_eq!(prefix("/a/x", Some("key")), Ok("/a/".to_owned()));
    assert_eq!(prefix("/a/b/x", Some("key")), Ok("/a/b/".to_owned()));
    assert_eq!(prefix("/c/", Some("key")), Err(Denial::NoRoute));
    assert_eq!(prefix("/a", Some("key")), Err(Denial::NoRoute));
    assert_eq!(prefix("/a/x", Some("other")), Err(Denial::NoTeam));
    assert_eq!(prefix("/a/x", None), Err(Denial::NoTeam));
    assert_eq!(prefix("/public/x", None), Ok("/public/".to_owned()));
    assert!(plan.resolve("b.example", "/a/x", Some("key")).is_err());
}

fn weights(_site: Site) {
    let route = route("/a/", &[("one", 90), ("two", 10)]);
    let two = name("two");
    let to_two = (0..2_000).filter(|n| route.service_for(&format!("r{n}")) == Some(&two)).count();
    assert!((140..260).contains(&to_two), "{to_two}");
    assert_eq!(route.service_for("r1"), route.service_for("r1"));
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
    request_whose_caller_left_is_not_sent => left_caller_is_not_sent;
    quota_is_kept_in_each_window => quota_holds_in_each_window;
    quota_stays_within_its_tolerance_around_a_restart => quota_around_a_restart_of_all;
    quota_is_kept_on_both_sides_of_a_cut => quota_on_both_sides_of_a_cut;
    quota_counts_what_peers_admit => quota_counts_peers;
    request_beyond_the_quota_runs_alone => quota_admits_what_exceeds_it_alone;
    quota_of_a_peer_is_heard => quota_of_peers_reaches_the_scheduler;
    repeats_keep_to_the_budget_over_instances => budget_over_instances;
    longest_prefix_and_credentials_decide => routes;
    targets_share_by_weight => weights;
}

/// A step of a random run.
#[derive(Clone, Debug)]
enum Step {
    Arrive { repeat: u8, attempts: u32, urgency: u8 },
    End { place: usize, how: u8 },
    Leave(usize),
    List { upstream: u8, leaving: bool },
    Unlist(u8),
    Pass(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..3u8, 1..4u32, 0..3u8)
            .prop_map(|(repeat, attempts, urgency)| Step::Arrive { repeat, attempts, urgency }),
        6 => (0..40usize, 0..7u8).prop_map(|(place, how)| Step::End { place, how }),
        1 => (0..40usize).prop_map(Step::Leave),
        2 => (0..4u8, any::<bool>())
            .prop_map(|(upstream, leaving)| Step::List { upstream, leaving }),
        1 => (0..4u8).prop_map(Step::Unlist),
        3 => (1..900u64).prop_map(Step::Pass),
    ]
}

/// What is known from outside of one request.
#[derive(Debug)]
struct Seen {
    repeat: Repeat,
    max_attempts: u32,
    sends: u32,
    may_have_run: bool,
    is_running: bool,
    is_over: bool,
}

/// Checks each action against what was seen before.
fn check(actions: &[Action], seen: &mut [Seen], leaving: &[bool; 4]) {
    for action in actions {
        match action {
            Action::Send { request, upstream, .. } => {
                let request = &mut seen[request.0 as usize];
                assert!(!request.is_over && !request.is_running);
                assert!(!request.may_have_run || request.repeat.may_run_again());
                request.sends += 1;
                request.is_running = true;
                assert!(request.sends <= request.max_attempts);
                let place: usize = upstream.id.as_str()[1..].parse().expect("a number");
                assert!(!leaving[place], "sent to {}, which is leaving", upstream.id);
            }
            Action::Refuse { request, .. } => {
                let request = &mut seen[request.0 as usize];
                assert!(!request.is_over && !request.is_running);
                request.is_over = true;
            }
            Action::Tell { .. } => {}
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    /// Whatever happens in whatever order: nothing is sent twice that may have
    /// run once, beyond its attempts, after its end, or to who is leaving.
    #[test]
    fn promises_hold_in_random_runs(steps in prop::collection::vec(step(), 1..200)) {
        let mut site = Site::new();
        let mut seen: Vec<Seen> = Vec::new();
        let mut leaving = [true; 4];
        for step in steps {
            let actions = match step {
                Step::Arrive { repeat, attempts, urgency } => {
                    let repeat = [Repeat::Once, Repeat::Idempotent, Repeat::Resumable]
                        [usize::from(repeat)];
                    let id = seen.len() as u64;
                    seen.push(Seen { repeat, max_attempts: attempts, sends: 0,
                        may_have_run: false, is_running: false, is_over: false });
                    let call = Call { repeat, max_attempts: attempts, urgency, ..site.call(id) };
                    site.arrive(call)
                }
                Step::End { place, how } => {
                    let mut running = seen.iter_mut().enumerate().filter(|(_, s)| s.is_running);
                    let Some((id, request)) = running.nth(place % 4) else { continue };
                    request.is_running = false;
                    let how = match how {
                        0 => WHOLE,
                        1 => { request.sends -= 1; Ended::NotSent }
                        2 => Ended::NotRun { misdirected: false },
                        3 => Ended::NotRun { misdirected: true },
                        4 => Ended::Failed,
                        _ => Ended::Broken,
                    };
                    request.may_have_run |= matches!(how, Ended::Failed | Ended::Broken);
                    request.is_over |= matches!(how, Ended::Whole { .. });
                    site.end(id as u64, how)
                }
                Step::Leave(place) => {
                    let Some(request) = seen.get_mut(place) else { continue };
                    if request.is_over { continue }
                    request.is_over = true;
                    request.is_running = false;
                    site.end(place as u64, Ended::Abandoned)
                }
                Step::List { upstream, leaving: is_leaving } => {
                    leaving[usize::from(upstream)] = is_leaving;
                    let name = format!("e{upstream}");
                    site.handle(Event::Listed(Listed { leaving: is_leaving, ..listed(&name, 2) }))
                }
                Step::Unlist(upstream) => {
                    leaving[usize::from(upstream)] = true;
                    site.handle(Event::Unlisted(name(&format!("e{upstream}"))))
                }
                Step::Pass(time) => site.pass(ms(time)),
            };
            check(&actions, &mut seen, &leaving);
        }
        // Nothing waits for ever.
        for _ in 0..20 {
            let actions = site.pass(ms(500));
            check(&actions, &mut seen, &leaving);
        }
        prop_assert!(seen.iter().all(|s| s.is_over || s.is_running));
    }
}
