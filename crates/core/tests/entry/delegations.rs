//! Instances that lose their paths to all engines have peers serve their requests, and
//! condemn no engine, part or request.

use std::time::Duration;

use crate::network::{LARGE, MEDIUM, Network, SMALL, STEP, Size, Tally};
use crate::site::{Site, cases, ms};

/// From this long after the cut its instances have to serve their requests.
const CONTACT: Duration = Duration::from_secs(3);
/// How long requests are counted.
const COUNTED: Duration = Duration::from_secs(6);
/// One in so many requests may fail.
const FAILURE_RATIO: u32 = 50;
/// The most tries of an instance per second to reach engines that it cannot reach: as
/// many as fail with a few connections at once.
const MAX_TRIES_PER_SECOND: usize = 12;
/// From this long after its paths are back an instance knows that.
const RECOVERY: Duration = Duration::from_secs(5);
/// The longest time of a request that is served.
const LONGEST_REQUEST: Duration = Duration::from_millis(1_500);

/// Which instances lose their paths.
type IsCut = fn(Size, usize) -> bool;

fn few(_size: Size, index: usize) -> bool {
    index < 2
}

fn half(_size: Size, index: usize) -> bool {
    index.is_multiple_of(2)
}

/// All instances of a zone.
fn zone(size: Size, index: usize) -> bool {
    index.is_multiple_of(size.zones)
}

/// Traffic to all instances by turns.
struct Traffic {
    is_cut: IsCut,
    count: u64,
}

impl Traffic {
    /// Plays `time`; requests to instances that are cut off count as the first kind,
    /// the others as the second.
    fn play(&mut self, network: &mut Network, time: Duration, kinds: [&'static str; 2]) {
        let size = network.size;
        // An engine serves some four requests a second: half of the slots are busy.
        let per_step = size.engines as f64 * 2.0 * STEP.as_secs_f64();
        network.play(time, |network| {
            let sent = self.count as f64 * per_step;
            for request in sent as u64..(sent + per_step) as u64 {
                let index = request as usize % size.instances;
                let kind = kinds[usize::from(!(self.is_cut)(size, index))];
                network.request_to(index, kind, &[1, 1_000 + request % 40]);
            }
            self.count += 1;
        });
    }

    /// Plays `time`, in which both kinds are served.
    fn play_served(&mut self, network: &mut Network, time: Duration, kinds: [&'static str; 2]) {
        let before = kinds.map(|kind| network.tally(kind));
        self.play(network, time, kinds);
        // Requests that are under way end.
        network.play(LONGEST_REQUEST, |_| {});
        for (kind, before) in kinds.into_iter().zip(before) {
            check_served(network.tally(kind).since(before));
        }
    }
}

fn check_served(tally: Tally) {
    let failed = tally.sent - tally.whole;
    assert!(tally.sent > 0 && failed <= tally.sent / FAILURE_RATIO, "{tally:?}");
}

/// Plays cuts with resets of all connections, with the paths back in between.
fn cut(size: Size, rounds: usize, is_cut: IsCut) {
    let mut network = Network::new(size, 29);
    let mut traffic = Traffic { is_cut, count: 0 };
    traffic.play(&mut network, ms(2_000), ["warm", "warm"]);
    for _ in 0..rounds {
        for index in (0..size.instances).filter(|index| is_cut(size, *index)) {
            network.cut_off(index);
        }
        traffic.play(&mut network, CONTACT, ["warm", "warm"]);
        let tries = network.unreached;
        traffic.play_served(&mut network, COUNTED, ["cut", "other"]);
        let seconds = (COUNTED + LONGEST_REQUEST).as_secs_f64();
        let cut = (0..size.instances).filter(|index| is_cut(size, *index)).count();
        let most = (cut * MAX_TRIES_PER_SECOND) as f64 * seconds;
        assert!(network.unreached - tries <= most as usize, "{}", network.unreached - tries);
        network.cut.clear();
        traffic.play(&mut network, RECOVERY, ["warm", "warm"]);
        let tries = network.unreached;
        traffic.play_served(&mut network, ms(2_000), ["back", "other"]);
        assert_eq!(network.unreached, tries, "all paths are known to be back");
    }
    assert!(network.quarantined.is_empty(), "{:?}", network.quarantined);
    assert!(network.crashes.is_empty());
}

cases! {
    requests_are_delegated_when_few_of_6_instances_are_cut_off => |_: Site| cut(SMALL, 2, few);
    requests_are_delegated_when_half_of_6_instances_are_cut_off => |_: Site| cut(SMALL, 2, half);
    requests_are_delegated_when_a_zone_of_6_instances_is_cut_off => |_: Site| cut(SMALL, 2, zone);
    requests_are_delegated_when_few_of_60_instances_are_cut_off => |_: Site| cut(MEDIUM, 2, few);
    requests_are_delegated_when_a_zone_of_60_instances_is_cut_off => |_: Site| cut(MEDIUM, 2, zone);
    requests_are_delegated_when_a_zone_of_195_instances_is_cut_off => |_: Site| cut(LARGE, 1, zone);
}
