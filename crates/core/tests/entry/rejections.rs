//! Engines that crash when they have to reject too many requests for want of room: all
//! instances together send them no more than they have room for.

use std::time::Duration;

use crate::network::{MEDIUM, Network, SMALL, STEP, Size};
use crate::site::{Site, cases, ms};

/// From this long after engines began to say so they crash.
const CONTACT: Duration = Duration::from_secs(3);
/// How long they say so.
const TIME: Duration = Duration::from_secs(15);
/// Requests per second for each engine, which serves some four.
const OVERLOAD: f64 = 6.0;
const HALF_LOAD: f64 = 2.0;

fn play(network: &mut Network, time: Duration, count: &mut f64, rate: f64) {
    let per_step = network.size.engines as f64 * rate * STEP.as_secs_f64();
    network.play(time, |network| {
        for _ in *count as u64..(*count + per_step) as u64 {
            network.request("any", &[1]);
        }
        *count += per_step;
    });
}

/// Engines fall over no more often than two and a tenth of their number, and are used.
fn rejections(size: Size, per_second: u32, rate: f64) {
    let mut network = Network::new(size, 30);
    let mut count = 0.0;
    play(&mut network, ms(2_000), &mut count, rate);
    // Engines that have said so for a while crash.
    network.rejection_limit = Some(u32::MAX);
    play(&mut network, CONTACT, &mut count, rate);
    network.rejection_limit = Some(per_second);
    let before = network.tally("any");
    play(&mut network, TIME, &mut count, rate);
    let crashes = network.crashes.len();
    assert!(crashes <= 2 + size.engines / 10, "{crashes} crashes");
    let served = network.tally("any").since(before);
    // Half of what the engines can serve.
    let least = 0.5 * 4.0_f64.min(rate) * size.engines as f64 * TIME.as_secs_f64();
    assert!(f64::from(served.whole) >= least, "{served:?}, at least {least}");
    // It is over: all of the engines' room is used again.
    network.rejection_limit = None;
    play(&mut network, ms(12_000), &mut count, HALF_LOAD);
    let before = network.tally("any");
    play(&mut network, ms(6_000), &mut count, HALF_LOAD);
    let after = network.tally("any").since(before);
    assert!(after.whole * 10 >= after.sent * 9, "{after:?}");
}

cases! {
    overloaded_engines_that_reject_few_do_not_crash => |_: Site| rejections(SMALL, 3, OVERLOAD);
    overloaded_engines_that_reject_some_do_not_crash => |_: Site| rejections(SMALL, 8, OVERLOAD);
    engines_at_half_load_that_reject_few_do_not_crash => |_: Site| rejections(SMALL, 2, HALF_LOAD);
    overloaded_engines_of_60_instances_do_not_crash => |_: Site| rejections(MEDIUM, 4, OVERLOAD);
    engines_of_60_instances_at_half_load_do_not_crash => |_: Site| rejections(MEDIUM, 4, HALF_LOAD);
}
