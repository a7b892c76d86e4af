//! Long randomised runs of several instances and zones on virtual time, with
//! every fault drawn at random and the promises checked all along.

#[path = "../support/mod.rs"]
mod support;

mod checks;
mod faults;
mod site;

use std::cell::RefCell;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, Instant};

use clap::{Arg, Command, value_parser};
use rosemarypond_core::engine::Sharing;
use stakker::Stakker;

use faults::Soak;
use support::world::{self, Policy, What, World};

/// The virtual time of one step.
pub const STEP: Duration = Duration::from_millis(250);
/// How long everything works again before the last checks.
const QUIET: Duration = Duration::from_secs(120);

struct Outcome {
    faults: u64,
    requests: u64,
    keyed: u64,
    violations: Vec<String>,
}

fn run(seed: u64, steps: u64) -> Outcome {
    let start = Instant::now();
    let mut runtime = Stakker::new(start);
    let mut world = World::new(start, seed, Policy::Ours(Sharing::Lent));
    site::build(&mut world);
    let soak = Rc::new(RefCell::new(Soak::new(seed, steps)));
    let stepping = Rc::clone(&soak);
    world.set_hook(move |world, number| stepping.borrow_mut().step(world, number));
    world.after(STEP, What::Own(0));
    let shared = Rc::new(RefCell::new(world));
    let end = start + STEP * steps as u32 + QUIET;
    let ran = catch_unwind(AssertUnwindSafe(|| world::run(&mut runtime, &shared, end)));
    let mut soak = soak.borrow_mut();
    if ran.is_err() {
        soak.violations.push("an invariant inside the program was broken".into());
    } else {
        checks::last(&shared.borrow(), &mut soak);
    }
    Outcome {
        faults: soak.faults,
        requests: soak.requests,
        keyed: soak.keyed,
        violations: std::mem::take(&mut soak.violations),
    }
}

fn main() -> ExitCode {
    let number = |name, default| {
        Arg::new(name).long(name).default_value(default).value_parser(value_parser!(u64))
    };
    let matches = Command::new("soak")
        .about("Runs the decision code under random faults on virtual time")
        .arg(number("seed", "1").help("The first seed"))
        .arg(number("seeds", "1").help("How many seeds"))
        .arg(number("steps", "400").help("Steps of 250 ms each"))
        .get_matches();
    let get = |name| *matches.get_one::<u64>(name).expect("it has a default");
    let mut total = Outcome { faults: 0, requests: 0, keyed: 0, violations: Vec::new() };
    for seed in get("seed")..get("seed") + get("seeds") {
        let outcome = run(seed, get("steps"));
        total.faults += outcome.faults;
        total.requests += outcome.requests;
        total.keyed += outcome.keyed;
        for violation in outcome.violations {
            println!("seed {seed}: {violation}");
            total.violations.push(violation);
        }
    }
    println!(
        "faults {}, requests {}, non-idempotent {}, violations {}",
        total.faults,
        total.requests,
        total.keyed,
        total.violations.len()
    );
    if total.violations.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
