//! The run of one seed.

use std::cell::RefCell;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::rc::Rc;
use std::time::{Duration, Instant};

use rosemarypond_core::engine::Sharing;
use stakker::Stakker;

use crate::faults::Soak;
use crate::support::world::{self, Occurrence, Policy, World};
use crate::{checks, site};

/// The virtual time of one step.
pub const STEP: Duration = Duration::from_millis(250);
/// How long everything works again before the final checks.
const RECOVERY_TIME: Duration = Duration::from_secs(120);

/// The results of one or more runs.
#[derive(Debug, Default)]
pub struct Outcome {
    pub faults: u64,
    pub requests: u64,
    pub non_idempotent: u64,
    pub violations: Vec<String>,
}

/// Runs one seed. Where `conditional` is false the table accepts every write,
/// which the checks must detect.
pub fn run(seed: u64, steps: u64, conditional: bool) -> Outcome {
    let start = Instant::now();
    let mut runtime = Stakker::new(start);
    let mut world = World::new(start, seed, Policy::Scheduler(Sharing::Lent));
    world.table.conditional = conditional;
    site::build(&mut world);
    let soak = Rc::new(RefCell::new(Soak::new(seed, steps)));
    let hooked = Rc::clone(&soak);
    world.set_hook(move |world, number| hooked.borrow_mut().step(world, number));
    world.after(STEP, Occurrence::Hook(0));
    let shared = Rc::new(RefCell::new(world));
    let end = start + STEP * steps as u32 + RECOVERY_TIME;
    let result = catch_unwind(AssertUnwindSafe(|| world::run(&mut runtime, &shared, end)));
    let mut soak = soak.borrow_mut();
    if result.is_err() {
        soak.violations.push("an invariant of an instance was violated".into());
    } else {
        checks::check_end(&shared.borrow(), &mut soak);
    }
    Outcome {
        faults: soak.faults,
        requests: soak.requests,
        non_idempotent: soak.non_idempotent,
        violations: std::mem::take(&mut soak.violations),
    }
}
