//! Compares the queue with a list on random operations, and checks its fairness.

mod support;

use proptest::prelude::*;
use rosemarypond_core::queue::Queue;
use rosemarypond_core::request::Request;
use rosemarypond_core::unit::Tokens;
use support::{parse, request};

#[derive(Clone, Debug)]
enum Step {
    Push { rank: u8, team: u8, prompt: u32 },
    TakeFirst,
    RemoveShedCandidate,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let push = (0..5u8, 0..4u8, 1..20_000u32).prop_map(|(rank, team, prompt)| Step::Push {
        rank,
        team,
        prompt,
    });
    let step =
        prop_oneof![3 => push, 1 => Just(Step::TakeFirst), 1 => Just(Step::RemoveShedCandidate)];
    prop::collection::vec(step, 1..200)
}

fn team_request(number: u64, rank: u8, team: u8, prompt: u32) -> Request {
    let team = parse(&format!("team-{team}"));
    Request { team, prompt: Tokens(prompt), ..request(number, rank) }
}

fn check(queue: &Queue, list: &[Request]) {
    assert_eq!(queue.len(), list.len());
    let ranks = || list.iter().map(|r| r.rank);
    assert_eq!(queue.first().map(|r| r.rank), ranks().min());
    assert_eq!(queue.shed_candidate().map(|r| r.rank), ranks().max());
    for rank in 0..5 {
        assert_eq!(queue.count(rank), ranks().filter(|r| *r == rank).count());
    }
    let earliest = queue.earliest_deadlines().map(|r| r.deadline).min();
    assert_eq!(earliest, list.iter().map(|r| r.deadline).min());
}

fn compare_with_list(steps: Vec<Step>) {
    let (mut queue, mut list) = (Queue::default(), Vec::<Request>::new());
    for (number, step) in steps.into_iter().enumerate() {
        match step {
            Step::Push { rank, team, prompt } => {
                let request = team_request(number as u64, rank, team, prompt);
                list.push(request.clone());
                queue.push(request);
            }
            Step::TakeFirst => {
                let Some(first) = queue.first().map(|r| r.id) else { continue };
                assert_eq!(queue.take(first, 100).map(|r| r.id), Some(first));
                list.retain(|r| r.id != first);
            }
            Step::RemoveShedCandidate => {
                let Some(candidate) = queue.shed_candidate().map(|r| r.id) else { continue };
                assert_eq!(queue.remove(candidate).map(|r| r.id), Some(candidate));
                list.retain(|r| r.id != candidate);
            }
        }
        check(&queue, &list);
    }
}

/// Empties the queue and returns the teams in the order of their requests.
fn drain_order(queue: &mut Queue) -> Vec<String> {
    let mut teams = Vec::new();
    while let Some(first) = queue.first().map(|r| r.id) {
        let request = queue.take(first, 1_000).expect("the first request is queued");
        teams.push(request.team.to_string());
    }
    teams
}

macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {
        $(#[test] fn $name() { $body })*
    };
}

fn small_team_is_served_soon_beside_a_large_one() {
    let mut queue = Queue::default();
    for number in 0..100 {
        queue.push(team_request(number, 0, 0, 100));
    }
    queue.push(team_request(100, 0, 1, 100));
    let position = drain_order(&mut queue).iter().position(|team| team == "team-1");
    assert!(position.is_some_and(|position| position <= 1), "{position:?}");
}

fn long_request_is_served_among_short_ones() {
    let mut queue = Queue::default();
    queue.push(team_request(0, 0, 0, 15_000));
    for number in 1..200 {
        queue.push(team_request(number, 0, 1, 50));
    }
    let position = drain_order(&mut queue).iter().position(|team| team == "team-0");
    assert!(position.is_some_and(|position| position < 20), "{position:?}");
}

fn idle_flows_are_removed() {
    let mut queue = Queue::default();
    for number in 0..18_000u64 {
        queue.push(Request { team: parse(&format!("team-{number}")), ..request(number, 0) });
        let first = queue.first().expect("a request is queued").id;
        queue.take(first, 10);
    }
    assert!(queue.flow_count() < 100, "{}", queue.flow_count());
}

cases! {
    fair_to_small_teams => small_team_is_served_soon_beside_a_large_one();
    fair_to_long_requests => long_request_is_served_among_short_ones();
    memory_of_idle_teams => idle_flows_are_removed();
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn agrees_with_a_list(steps in steps()) {
        compare_with_list(steps);
    }
}
