//! Requests that would be late or refused in a full availability zone are served in
//! another one that has free engines, and the other zone is not overloaded by it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use rosemarypond_core::entry::gossip::{Need, Offer};
use rosemarypond_core::entry::pace::Pace;
use rosemarypond_core::entry::scheduler::Event;
use rosemarypond_core::entry::spill::{Accepted, Borrower, Engine, Lender, Relays};
use rosemarypond_core::id;

use crate::network::{MEDIUM, Network, Size, Tally};
use crate::site::{Site, cases, ms, name};

/// The time from the arrival of a request at an engine to the end of its answer, on
/// average: 160 ms to the first token, and 700 ms.
const HOLD: f64 = 0.86;
/// How many requests an engine of the network holds at once.
const SLOTS: f64 = 4.0;

/// Plays load on each zone, as a part of what the zone's engines can serve.
struct Play {
    network: Network,
    due: Vec<f64>,
}

impl Play {
    fn new(size: Size, seed: u64, has_spillover: bool) -> Self {
        let mut network = Network::new(size, seed);
        network.has_full_engines = true;
        for index in 0..size.instances {
            network.handle(index, Event::SpillEnabled(has_spillover));
        }
        Self { network, due: vec![0.0; size.zones] }
    }

    fn run(&mut self, time: Duration, kind: &'static str, load: impl Fn(usize, f64) -> f64) {
        let Self { network, due } = self;
        let start = network.now;
        network.play(time, |network| {
            let elapsed = network.now.duration_since(start).as_secs_f64();
            for (zone, due) in due.iter_mut().enumerate() {
                let engines = network.size.engines / network.size.zones;
                let rate = engines as f64 * SLOTS / HOLD;
                *due += load(zone, elapsed) * rate * 0.01;
                while *due >= 1.0 {
                    *due -= 1.0;
                    network.request_in_zone(zone, kind);
                }
            }
        });
    }
}

/// Zones 0 and 1 of 4 have a wave each, one after the other.
fn wave(zone: usize, elapsed: f64) -> f64 {
    let is_high = match zone {
        0 => elapsed < 4.0,
        1 => elapsed >= 4.0,
        _ => false,
    };
    if is_high { 1.55 } else { 0.45 }
}

/// Plays the same load with and without spillover.
fn compare(
    size: Size,
    time: Duration,
    slowness: &BTreeMap<usize, u32>,
    load: impl Fn(usize, f64) -> f64,
) -> [(Tally, usize, u64); 2] {
    [false, true].map(|has_spillover| {
        let mut play = Play::new(size, 5, has_spillover);
        play.network.slowness = slowness.clone();
        play.run(ms(2_000), "before", |_, _| 0.4);
        play.run(time, "wave", &load);
        play.run(ms(4_000), "after", |_, _| 0.1);
        let tally = play.network.tally("wave");
        let (rejected, foreign) = (play.network.rejections.len(), play.network.foreign_rejections);
        let spilled = play.network.spilled();
        println!(
            "spillover {has_spillover}: {tally:?}, {rejected} rejected, {foreign} of them by \
             other zones, {spilled} spilled"
        );
        (tally, foreign, spilled)
    })
}

/// A full zone lets requests wait beyond their latency target, or refuses them, while the
/// engines of three other zones are idle.
fn load_wave(_site: Site) {
    let [without, with] = compare(MEDIUM, ms(8_000), &BTreeMap::new(), wave);
    let missed = |tally: Tally| tally.sent - tally.in_time;
    assert!(missed(with.0) * 10 < missed(without.0) * 6, "{with:?}, {without:?}");
    assert!(with.1 * 20 <= with.2 as usize, "engines were sent more than they have room for");
}

/// Engines of the other zones are so slow that a request would be late there as well:
/// sending it there costs money and gains nothing.
fn slow_zones(_site: Site) {
    let slowness = (1..4).map(|zone| (zone, 6)).collect();
    let load = |zone, _| if zone == 0 { 1.5 } else { 0.05 };
    let [without, with] = compare(MEDIUM, ms(6_000), &slowness, load);
    assert!(with.0.in_time + 20 >= without.0.in_time, "{with:?}, {without:?}");
}

/// Four zones are full at once and share what the fifth has free: together they must not
/// send its engines more than these have room for, and its own callers lose nothing.
fn five_zones(_site: Site) {
    let size = Size { instances: 100, zones: 5, engines: 60 };
    let load = |zone, _| if zone == 4 { 0.4 } else { 1.3 };
    let [without, with] = compare(size, ms(6_000), &BTreeMap::new(), load);
    assert!(with.0.in_time > without.0.in_time, "{with:?}, {without:?}");
    assert!(with.1 * 20 <= with.2 as usize, "engines were sent more than they have room for");
}

/// The link between the zones fails in mid-spill: nothing more is sent on offers that have
/// expired.
fn partition(_site: Site) {
    let size = Size { instances: 40, zones: 2, engines: 40 };
    let mut play = Play::new(size, 7, true);
    let load = |zone, _| if zone == 0 { 1.6 } else { 0.3 };
    play.run(ms(5_000), "wave", load);
    let spilled = play.network.spilled();
    assert!(spilled > 20, "{spilled} requests were spilled before the partition");
    play.network.partitioned.insert((0, 1));
    play.run(ms(1_050), "wave", load);
    let expired = play.network.spilled();
    play.run(ms(2_000), "wave", load);
    assert_eq!(play.network.spilled(), expired, "an offer outlived its second");
    play.network.partitioned.clear();
    play.run(ms(4_000), "wave", load);
    assert!(play.network.spilled() > expired, "spillover did not resume");
}

/// Without need nothing is said of spillover in digests, and nothing changes.
fn calm(_site: Site) {
    let mut play = Play::new(MEDIUM, 3, true);
    play.run(ms(4_000), "calm", |_, _| 0.5);
    assert_eq!(play.network.max_spill_entries, 0);
    assert_eq!(play.network.spilled(), 0);
}

/// Up to 16 instances see all loads: nothing is offered or spilled, whatever the load.
fn full_mesh(_site: Site) {
    let size = Size { instances: 12, zones: 3, engines: 12 };
    let mut play = Play::new(size, 3, true);
    play.run(ms(4_000), "wave", |zone, _| if zone == 0 { 2.5 } else { 0.3 });
    assert_eq!((play.network.max_spill_entries, play.network.spilled()), (0, 0));
}

/// A zone's relay under test.
struct Relay {
    lender: Lender,
    now: Instant,
    engines: Vec<Engine>,
}

impl Relay {
    fn new(site: &Site, engines: usize, slots: u32) -> Self {
        let engine = |index| Engine {
            upstream: name(&format!("e{index}")),
            service: name("models"),
            slots,
            own: 0,
            borrowed: vec![],
            pace: Pace::default(),
        };
        let engines = (0..engines).map(engine).collect();
        let mut relay = Self { lender: Lender::default(), now: site.now, engines };
        relay.sample(6, false);
        relay
    }

    fn sample(&mut self, times: u32, is_missed: bool) {
        for _ in 0..times {
            let own = if is_missed { BTreeSet::from([name("models")]) } else { BTreeSet::new() };
            self.lender.sample(&self.engines, &own, self.now);
            self.now += ms(200);
        }
    }

    fn need(&mut self, zone: &str, slots: u32) {
        let needs = vec![Need { service: name("models"), waiting: slots, slots }];
        self.lender.receive(name(zone), needs, self.now);
    }

    fn offer(&mut self) -> Vec<Offer> {
        self.lender.offer(&self.engines, self.now)
    }
}

fn slots_for(offers: &[Offer], zone: &str) -> u32 {
    offers.iter().filter(|o| o.zone.as_str() == zone).map(|o| o.slots).sum()
}

/// Offers in proportion to need, never beyond what is free, also where a zone that lost
/// the newest offer still uses the one before.
fn proportional(site: Site) {
    let mut relay = Relay::new(&site, 10, 4);
    assert_eq!(relay.offer(), vec![], "nobody needs anything");
    relay.need("z2", 60);
    let first = relay.offer();
    assert_eq!(slots_for(&first, "z2"), 36, "all but the reserve of a tenth");
    relay.need("z3", 20);
    let second = relay.offer();
    assert!(slots_for(&second, "z3") <= 4, "{second:?}");
    let mut granted: BTreeMap<id::Upstream, u32> = BTreeMap::new();
    for offer in first.iter().filter(|o| o.zone.as_str() == "z2") {
        *granted.entry(offer.upstream.clone()).or_default() += offer.slots;
    }
    for offer in second.iter().filter(|o| o.zone.as_str() == "z3") {
        *granted.entry(offer.upstream.clone()).or_default() += offer.slots;
    }
    assert!(granted.values().all(|slots| *slots <= 4), "{granted:?}");
    for _ in 0..4 {
        relay.sample(2, false);
        relay.need("z2", 60);
        relay.need("z3", 20);
        relay.offer();
    }
    let last = relay.offer();
    assert_eq!((slots_for(&last, "z2"), slots_for(&last, "z3")), (27, 9));
}

/// A zone that needs its engines itself offers none, and only what was free for some time.
fn own_callers_first(site: Site) {
    let mut relay = Relay::new(&site, 5, 4);
    relay.engines[0].own = 4;
    relay.sample(1, false);
    relay.engines[0].own = 0;
    relay.need("z2", 60);
    let offers = relay.offer();
    assert!(offers.iter().all(|o| o.upstream.as_str() != "e0"), "{offers:?}");
    assert_eq!(slots_for(&offers, "z2"), 14);
    relay.sample(1, true);
    relay.need("z2", 60);
    assert_eq!(relay.offer(), vec![]);
}

/// Needs that were not repeated for a second are not served.
fn stale_need(site: Site) {
    let mut relay = Relay::new(&site, 5, 4);
    relay.need("z2", 10);
    assert_eq!(slots_for(&relay.offer(), "z2"), 10);
    relay.sample(7, false);
    assert_eq!(relay.offer(), vec![]);
}

/// All instances of a zone act on one offer: each slot belongs to exactly one of them.
fn one_owner(site: Site) {
    let users: Vec<id::Instance> = (0..12).map(|index| name(&format!("i{index}"))).collect();
    let users: BTreeSet<_> = users.iter().collect();
    let offer = |index| Offer {
        upstream: name(&format!("e{index}")),
        zone: name("z1"),
        slots: 5,
        pace: Pace::default(),
    };
    let mut borrower = Borrower::default();
    for _ in 0..2 {
        borrower.receive(name("z2"), (0..8).map(offer).collect(), site.now);
    }
    let mut owned: BTreeMap<id::Upstream, u32> = BTreeMap::new();
    for share in users.iter().flat_map(|user| borrower.shares(user, &users)) {
        *owned.entry(share.upstream).or_default() += share.own;
    }
    assert_eq!(owned.len(), 8);
    assert!(owned.values().all(|slots| *slots == 5), "{owned:?}");
    borrower.expire(site.now + ms(1_000));
    assert!(borrower.is_empty(), "an offer is valid for a second");
}

/// Of two relays one counts; a digest that was held up, for instance in the socket of a
/// process that was paused, counts as old.
fn held_up(site: Site) {
    let mut relays = Relays::default();
    let zone = name("z2");
    let mut accept = |relay: &str, age, at| {
        relays.accept(&zone, &name(relay), id::Incarnation(1), ms(age), site.now + ms(at))
    };
    let at = |made| Some(Accepted { made: site.now + ms(made), replaced: None });
    assert_eq!(accept("r1", 60_000, 0), at(0));
    assert_eq!(accept("r1", 60_400, 400), at(400));
    let late = accept("r1", 60_800, 1_400).expect("it is younger than a second");
    let delay = (site.now + ms(1_400)).duration_since(late.made);
    assert!(ms(598) < delay && delay <= ms(600), "{delay:?}");
    assert_eq!(accept("r1", 61_200, 2_900), None);
    let has_first = accept("r1", 62_900, 2_900).is_some();
    let other = accept("r2", 60_000, 2_901).is_some();
    let again = accept("r1", 62_902, 2_902).is_some();
    assert!(has_first && other != again, "exactly one of the relays counts");
    let [silent, other] = if other { ["r1", "r2"] } else { ["r2", "r1"] };
    assert!(accept(silent, 63_950, 3_950).is_some(), "{other} has been silent for a second");
}

cases! {
    load_wave_spills_to_idle_zones => load_wave;
    slow_zones_get_nothing_that_would_be_late => slow_zones;
    five_zones_share_without_overload => five_zones;
    partition_ends_spillover_within_a_second => partition;
    digests_of_calm_zones_do_not_grow => calm;
    full_mesh_does_not_spill => full_mesh;
    offers_are_in_proportion_and_within_room => proportional;
    own_callers_go_first => own_callers_first;
    stale_need_is_not_served => stale_need;
    each_offered_slot_has_one_owner => one_owner;
    held_up_digest_counts_as_old => held_up;
}
