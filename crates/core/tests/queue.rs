//! The queue against a plain model, on random sequences.

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
    RemoveLowest,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let push = (0..5u8, 0..4u8, 1..20_000u32).prop_map(|(rank, team, prompt)| Step::Push {
        rank,
        team,
        prompt,
    });
    let step = prop_oneof![3 => push, 1 => Just(Step::TakeFirst), 1 => Just(Step::RemoveLowest)];
    prop::collection::vec(step, 1..200)
}

fn made(number: u64, rank: u8, team: u8, prompt: u32) -> Request {
    let team = parse(&format!("team-{team}"));
    Request { team, prompt: Tokens(prompt), ..request(number, rank) }
}

fn check(queue: &Queue, model: &[Request]) {
    assert_eq!(queue.len(), model.len());
    let ranks = || model.iter().map(|r| r.rank);
    assert_eq!(queue.first().map(|r| r.rank), ranks().min());
    assert_eq!(queue.shed_candidate().map(|r| r.rank), ranks().max());
    for rank in 0..5 {
        assert_eq!(queue.count(rank), ranks().filter(|r| *r == rank).count());
    }
    let urgent = queue.earliest_deadlines().map(|r| r.deadline).min();
    assert_eq!(urgent, model.iter().map(|r| r.deadline).min());
}

fn run(steps: Vec<Step>) {
    let (mut queue, mut model) = (Queue::default(), Vec::<Request>::new());
    for (number, step) in steps.into_iter().enumerate() {
        match step {
            Step::Push { rank, team, prompt } => {
                let request = made(number as u64, rank, team, prompt);
                model.push(request.clone());
                queue.push(request);
            }
            Step::TakeFirst => {
                let Some(first) = queue.first().map(|r| r.id) else { continue };
                assert_eq!(queue.take(first, 100).map(|r| r.id), Some(first));
                model.retain(|r| r.id != first);
            }
            Step::RemoveLowest => {
                let Some(lowest) = queue.shed_candidate().map(|r| r.id) else { continue };
                assert_eq!(queue.remove(lowest).map(|r| r.id), Some(lowest));
                model.retain(|r| r.id != lowest);
            }
        }
        check(&queue, &model);
    }
}

/// Takes everything out and gives the order by team.
fn drained(queue: &mut Queue) -> Vec<String> {
    let mut teams = Vec::new();
    while let Some(first) = queue.first().map(|r| r.id) {
        let request = queue.take(first, 1_000).expect("it was there");
        teams.push(request.team.to_string());
    }
    teams
}

macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {
        $(#[test] fn $name() { $body })*
    };
}

fn large_team_does_not_crowd_out_a_small_one() {
    let mut queue = Queue::default();
    for number in 0..100 {
        queue.push(made(number, 0, 0, 100));
    }
    queue.push(made(100, 0, 1, 100));
    let place = drained(&mut queue).iter().position(|team| team == "team-1");
    assert!(place.is_some_and(|place| place <= 1), "{place:?}");
}

fn long_requests_are_not_starved() {
    let mut queue = Queue::default();
    queue.push(made(0, 0, 0, 15_000));
    for number in 1..200 {
        queue.push(made(number, 0, 1, 50));
    }
    let place = drained(&mut queue).iter().position(|team| team == "team-0");
    assert!(place.is_some_and(|place| place < 20), "{place:?}");
}

fn idle_teams_cost_no_memory() {
    let mut queue = Queue::default();
    for number in 0..18_000u64 {
        queue.push(Request { team: parse(&format!("team-{number}")), ..request(number, 0) });
        let first = queue.first().expect("one waits").id;
        queue.take(first, 10);
    }
    assert!(queue.flow_count() < 100, "{}", queue.flow_count());
}

cases! {
    fair_to_small_teams => large_team_does_not_crowd_out_a_small_one();
    fair_to_long_requests => long_requests_are_not_starved();
    idle_teams => idle_teams_cost_no_memory();
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn agrees_with_a_plain_list(steps in steps()) {
        run(steps);
    }
}
