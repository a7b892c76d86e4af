//! Streams that callers resume at other instances go on only at the software version
//! that began them, and half or more of them go on.

use std::sync::Arc;
use std::time::Duration;

use rosemarypond_core::entry::baseline::{Baseline, Read};
use rosemarypond_core::entry::call::{Call, Origin, Reason, Repeat};
use rosemarypond_core::entry::gossip::Begun;
use rosemarypond_core::entry::scheduler::Event;
use rosemarypond_core::entry::watermark::{Era, Watermark};
use rosemarypond_core::id;

use crate::network::{LARGE, MEDIUM, Network, SMALL, Size, Store, Tally, plan};
use crate::site::{Site, cases, ms, name, refusals, sends};

/// How many streams begin and break off together.
const STREAMS: u64 = 24;
/// How often that happens.
const ROUNDS: u64 = 6;
/// The time from the beginning of the streams to their break.
const BROKEN_AFTER: Duration = Duration::from_millis(450);
/// The time from the break until callers resume them.
const RESUMED_AFTER: Duration = Duration::from_millis(40);

/// The time until the next streams begin.
const ROUND_TIME: Duration = Duration::from_secs(2);

/// What breaks the streams off.
#[derive(Clone, Copy, Debug)]
enum Trouble {
    /// Their engines crash.
    Engines,
    /// The instances that pass them on are killed.
    Instances,
}

/// An instance of the same zone as another, or of the next one.
fn other_instance(size: Size, index: usize, is_own_zone: bool) -> usize {
    let step = if is_own_zone { size.zones } else { 1 };
    (index + step) % size.instances
}

fn begin(network: &mut Network, first: u64) {
    for stream in first..first + STREAMS {
        let index = (stream * 7) as usize % network.size.instances;
        network.begin_stream(index, "fresh", stream);
    }
}

fn break_off(network: &mut Network, first: u64, trouble: Trouble) {
    match trouble {
        Trouble::Engines => {
            for stream in first..first + STREAMS / 4 {
                if let Some(engine) = network.engine_of(stream) {
                    network.crash(engine);
                }
            }
        }
        Trouble::Instances => network.restart(|index| index % 3 == 0),
    }
}

/// Plays rounds of streams that begin, break off and are resumed; returns how many were
/// resumed and went on.
fn resume(network: &mut Network, trouble: Trouble, is_own_zone: bool) -> Tally {
    let size = network.size;
    for round in 0..ROUNDS {
        let first = round * STREAMS;
        begin(network, first);
        network.play(BROKEN_AFTER, |_| {});
        break_off(network, first, trouble);
        network.play(RESUMED_AFTER, |_| {});
        for stream in first..first + STREAMS {
            let index = (stream * 7) as usize % size.instances;
            network.resume_stream(other_instance(size, index, is_own_zone), "resumed", stream);
        }
        network.play(ROUND_TIME, |_| {});
    }
    network.tally("resumed")
}

fn check_releases(network: &Network) {
    let releases = check_same_release(network);
    assert!(releases as u64 >= STREAMS * ROUNDS * 9 / 10);
}

/// No stream is run by engines of two versions; returns how many streams were run.
fn check_same_release(network: &Network) -> usize {
    let mut releases = std::collections::BTreeMap::new();
    for arrival in &network.arrivals {
        let Some(stream) = arrival.stream else { continue };
        let release = Network::release_of(arrival.engine);
        let before = releases.entry(stream).or_insert_with(|| release.clone());
        assert_eq!(*before, release, "{stream}");
    }
    releases.len()
}

fn in_own_zone(size: Size, seeds: u64, trouble: Trouble, loss: f64) {
    for seed in 0..seeds {
        let mut network = Network::new(size, seed);
        network.loss = loss;
        network.play(Duration::from_secs(1), |_| {});
        let tally = resume(&mut network, trouble, true);
        check_releases(&network);
        assert!(tally.begun * 2 >= tally.sent, "seed {seed}: {tally:?}");
    }
}

/// Beyond a full mesh the instances of other zones are not told: what they do not know,
/// they refuse.
fn in_other_zone(_site: Site) {
    let mut network = Network::new(MEDIUM, 0);
    network.play(Duration::from_secs(1), |_| {});
    resume(&mut network, Trouble::Instances, false);
    check_releases(&network);
}

/// All instances restart while streams run, twice, and then callers resume them.
fn restart_of_all(size: Size, seed: u64, is_kept: bool) {
    let mut network = Network::new(size, seed);
    network.play(Duration::from_secs(1), |_| {});
    begin(&mut network, 0);
    network.play(BROKEN_AFTER, |_| {});
    network.restart(|_| true);
    network.play(ms(100), |_| {});
    network.restart(|_| true);
    if !is_kept {
        network.store = Store::default();
    }
    network.play(ms(200), |_| {});
    for stream in 0..STREAMS {
        let index = (stream * 5) as usize % size.instances;
        network.resume_stream(index, "resumed", stream);
    }
    network.play(Duration::from_secs(3), |_| {});
    check_same_release(&network);
    let resumed = network.tally("resumed");
    assert_eq!(resumed.sent, STREAMS as u32);
    assert_eq!(resumed.begun, if is_kept { resumed.sent } else { 0 }, "{resumed:?}");
}

/// The store has more recorded streams than an instance remembers: one that it does not
/// know may be among those, and is not the baseline's for sure.
fn more_than_remembered(mut site: Site) {
    site.register("e1", 4);
    site.advance(ms(20));
    let streams = (0..70_000).map(id::Stream).collect();
    let begun = vec![Begun { release: name("v2"), streams }];
    let baseline = Baseline { release: name("v1"), is_closing: false, era: Era::default(), row: 1 };
    site.now += ms(20);
    let call = Call { stream: Some(id::Stream(80_000)), origin: Origin::Unknown, ..site.call(1) };
    site.arrive(call);
    let baselines = vec![(name("models"), baseline)];
    let began = site.now;
    let read = Read { began: Some(began), baselines_began: began, era: Era::default(), baselines };
    assert!(sends(&site.handle(Event::StreamsRead(read, begun))).is_empty());
    let refused: Vec<_> = (0..60).flat_map(|_| refusals(&site.advance(ms(20)))).collect();
    assert_eq!(refused, [(1, Reason::UnknownStream)]);
}

/// An instance that hears neither the store nor its peers' answers has seen one version
/// for a minute. Others have begun streams at one that has just joined.
fn out_of_step(mut site: Site) {
    site.handle(Event::Configured(Arc::new(plan())));
    site.register("e1", 4);
    for second in 0..70 {
        let directory_at = Duration::from_secs(second);
        site.handle(Event::StoreRead(Watermark { directory_at, ..Watermark::default() }));
        (0..50).for_each(|_| drop(site.advance(ms(20))));
    }
    let resumed = |id, call| Call {
        stream: Some(id::Stream(id)),
        origin: Origin::Unknown,
        repeat: Repeat::Resumable,
        ..call
    };
    let call = resumed(1, site.call(1));
    let mut actions = site.arrive(call);
    (0..100).for_each(|_| actions.extend(site.advance(ms(20))));
    assert_eq!(sends(&actions), []);
    assert_eq!(refusals(&actions), [(1, Reason::UnknownStream)]);
}

/// Nothing is recorded of streams of the only version.
fn only_version(_site: Site) {
    let mut network = Network::new(Size { engines: 1, ..SMALL }, 0);
    network.play(Duration::from_secs(1), |_| {});
    begin(&mut network, 0);
    network.play(Duration::from_secs(8), |_| {});
    assert_eq!((network.store.records, network.store.baselines.len()), (0, 1));
    network.restart(|_| true);
    network.play(ms(200), |_| {});
    (0..4).for_each(|stream| network.resume_stream(0, "resumed", stream));
    network.play(Duration::from_secs(3), |_| {});
    assert_eq!(network.tally("resumed").begun, 4);
}

cases! {
    streams_are_resumed_by_6_instances_when_engines_crash =>
        |_| in_own_zone(SMALL, 3, Trouble::Engines, 0.0);
    streams_are_resumed_by_6_instances_when_instances_are_killed =>
        |_| in_own_zone(SMALL, 3, Trouble::Instances, 0.0);
    streams_are_resumed_by_60_instances_when_instances_are_killed =>
        |_| in_own_zone(MEDIUM, 1, Trouble::Instances, 0.0);
    streams_are_resumed_by_195_instances_when_instances_are_killed =>
        |_| in_own_zone(LARGE, 1, Trouble::Instances, 0.0);
    streams_are_resumed_where_gossip_is_lost =>
        |_| in_own_zone(SMALL, 3, Trouble::Instances, 0.3);
    /// Guards against streams that go on at the only version that an instance knows.
    stream_is_not_resumed_at_an_instance_that_is_out_of_step => out_of_step;
    streams_of_another_zone_are_resumed_at_no_other_version => in_other_zone;
    streams_that_nobody_knows_are_not_resumed => |_| restart_of_all(SMALL, 0, false);
    streams_are_resumed_after_6_instances_restarted => |_| restart_of_all(SMALL, 1, true);
    streams_are_resumed_after_60_instances_restarted => |_| restart_of_all(MEDIUM, 2, true);
    streams_of_the_only_version_are_resumed_without_records => only_version;
    stream_is_not_resumed_where_too_many_are_recorded => more_than_remembered;
}
