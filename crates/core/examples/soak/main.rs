//! Long runs of several instances and zones on virtual time, under random faults,
//! with invariants checked at every step.

#[path = "../support/mod.rs"]
mod support;

mod checks;
mod faults;
mod run;
mod site;

use std::process::ExitCode;

use clap::{Arg, Command, value_parser};
use run::Outcome;

fn main() -> ExitCode {
    let number = |name, default| {
        Arg::new(name).long(name).default_value(default).value_parser(value_parser!(u64))
    };
    let matches = Command::new("soak")
        .about("Runs the scheduler under random faults on virtual time")
        .arg(number("seed", "1").help("The first seed"))
        .arg(number("seeds", "1").help("The number of seeds"))
        .arg(number("steps", "400").help("Steps of 250 ms each"))
        .get_matches();
    let get = |name| *matches.get_one::<u64>(name).expect("the argument has a default");
    let mut total = Outcome::default();
    for seed in get("seed")..get("seed") + get("seeds") {
        let outcome = run::run(seed, get("steps"), true);
        total.faults += outcome.faults;
        total.requests += outcome.requests;
        total.non_idempotent += outcome.non_idempotent;
        for violation in outcome.violations {
            println!("seed {seed}: {violation}");
            total.violations.push(violation);
        }
    }
    println!(
        "faults {}, requests {}, non-idempotent {}, violations {}",
        total.faults,
        total.requests,
        total.non_idempotent,
        total.violations.len()
    );
    if total.violations.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
