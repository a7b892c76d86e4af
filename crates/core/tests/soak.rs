//! Short soak runs, and a check that a soak run finds violations.

#[path = "../examples/soak/checks.rs"]
mod checks;
#[path = "../examples/soak/faults.rs"]
mod faults;
#[path = "../examples/soak/run.rs"]
mod run;
#[path = "../examples/soak/site.rs"]
mod site;
#[path = "../examples/support/mod.rs"]
mod support;

macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {
        $(#[test] fn $name() { $body })*
    };
}

fn runs_without_violations(seed: u64) {
    let outcome = run::run(seed, 120, true);
    assert!(
        outcome.faults > 0
            && outcome.non_idempotent > 0
            && outcome.requests > outcome.non_idempotent
    );
    assert_eq!(outcome.violations, Vec::<String>::new());
}

fn runs_are_equal(seed: u64) {
    let [first, second] = [(); 2].map(|()| run::run(seed, 60, true));
    assert_eq!(format!("{first:?}"), format!("{second:?}"));
}

fn finds_unconditional_writes() {
    let violations = (1..=4).flat_map(|seed| run::run(seed, 120, false).violations);
    assert!({ violations }.any(|violation| violation.contains("ran 2 times")));
}

cases! {
    seed_1 => runs_without_violations(1);
    seed_2 => runs_without_violations(2);
    // A running payment without a key was counted as lower-tier work that could make room.
    seed_414 => runs_without_violations(414);
    same_seed_same_run => runs_are_equal(3);
    unconditional_writes_are_found => finds_unconditional_writes();
}
