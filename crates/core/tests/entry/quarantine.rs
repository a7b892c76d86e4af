//! Prompts that crash engines are kept from them by all instances together, sound
//! ones with the same team and parts are served, and engines that crash of
//! something else condemn nothing.

use std::ops::Range;
use std::time::{Duration, Instant};

use rosemarypond_core::entry::gossip::Cause;

use crate::network::{LARGE, MEDIUM, Network, SMALL, STEP, Size};
use crate::site::{Site, cases, ms};

/// The time after the fifth crash from which at most [`MAX_LATE`] requests with the
/// part may reach engines.
const CONTACT: Duration = Duration::from_secs(3);
const MAX_LATE: usize = 3;
/// The first part, which the sound requests of a route share with the deadly ones.
const FIRST: u64 = 1;
const DEADLY: u64 = 0xbad;
/// A part of the middle that deadly and some sound requests share.
const MIDDLE: u64 = 2;
/// Parts of the middle are numbered from here.
const SUBJECTS: u64 = 1_000;

/// Requests of each kind per second.
#[derive(Clone, Copy, Debug)]
struct Rates {
    sound: f64,
    deadly: f64,
}

fn rates(size: Size) -> Rates {
    Rates { sound: size.engines as f64 * 2.0, deadly: 2.0 }
}

/// Sends requests at these rates.
struct Traffic {
    rates: Rates,
    due: (f64, f64),
    count: u64,
}

impl Traffic {
    fn new(rates: Rates) -> Self {
        Self { rates, due: (0.0, 0.0), count: 0 }
    }

    fn step(&mut self, network: &mut Network) {
        self.due.0 += self.rates.sound * STEP.as_secs_f64();
        self.due.1 += self.rates.deadly * STEP.as_secs_f64();
        while self.due.0 >= 1.0 {
            self.due.0 -= 1.0;
            self.count += 1;
            let subject = SUBJECTS + self.count % 40;
            let parts = match self.count % 4 {
                0 => vec![FIRST, MIDDLE],
                1 | 2 => vec![FIRST, subject],
                _ => vec![FIRST + 100, subject],
            };
            network.request("sound", &parts);
        }
        while self.due.1 >= 1.0 {
            self.due.1 -= 1.0;
            self.count += 1;
            let parts = if self.count.is_multiple_of(2) {
                vec![FIRST, MIDDLE, DEADLY]
            } else {
                vec![FIRST, DEADLY, SUBJECTS + self.count % 40]
            };
            network.request("deadly", &parts);
        }
    }
}

/// Plays sound traffic, then deadly requests among it until the bound, and returns
/// the network at the bound.
fn until_bound(mut network: Network, traffic: &mut Traffic) -> (Network, Instant) {
    let deadly = std::mem::take(&mut traffic.rates.deadly);
    network.play(Duration::from_secs(4), |n| traffic.step(n));
    network.crashes_engines = true;
    traffic.rates.deadly = deadly;
    let start = network.now;
    while network.crashes.len() < 5 && network.now < start + Duration::from_secs(20) {
        network.play(ms(100), |n| traffic.step(n));
    }
    let last = network.crashes.get(4).or(network.crashes.last()).copied();
    let bound = last.expect("an engine has crashed") + CONTACT;
    network.play(bound.saturating_duration_since(network.now), |n| traffic.step(n));
    (network, bound)
}

/// Checks both sides after the bound: what crashes engines is kept from them, what
/// is sound is served at its first attempt.
fn check_both_sides(mut network: Network, traffic: &mut Traffic, bound: Instant) {
    // Engines that crashed before are back.
    network.play(CONTACT, |n| traffic.step(n));
    let before = network.tally("sound");
    network.play(Duration::from_secs(10), |n| traffic.step(n));
    let late = network.deadly_after(bound);
    assert!(late <= MAX_LATE, "{late} late requests, {} crashes", network.crashes.len());
    let sound = network.tally("sound").since(before);
    assert!(sound.begun * 10 >= sound.sent * 9, "{sound:?}");
}

fn deadly_part(size: Size, seeds: u64) {
    for seed in 0..seeds {
        let mut traffic = Traffic::new(rates(size));
        let (network, bound) = until_bound(Network::new(size, seed), &mut traffic);
        check_both_sides(network, &mut traffic, bound);
    }
}

fn lost_gossip(_site: Site) {
    for seed in 0..4 {
        let mut traffic = Traffic::new(rates(SMALL));
        let mut network = Network::new(SMALL, seed);
        network.loss = 0.4;
        let (network, bound) = until_bound(network, &mut traffic);
        check_both_sides(network, &mut traffic, bound);
    }
}

/// Instances restart one by one after the bound; they learn what is quarantined
/// from their peers.
fn restarts(_site: Site) {
    for seed in 0..4 {
        let mut traffic = Traffic::new(rates(SMALL));
        let (mut network, bound) = until_bound(Network::new(SMALL, seed), &mut traffic);
        for index in 0..SMALL.instances {
            network.restart(|i| i == index);
            network.play(ms(700), |n| traffic.step(n));
        }
        check_both_sides(network, &mut traffic, bound);
    }
}

/// All instances restart at once after the bound, and again 5 s later: what nobody
/// knows any more is learnt again before they have run for the bound.
fn restart_of_all(_site: Site) {
    for seed in 0..4 {
        let mut traffic = Traffic::new(Rates { sound: 20.0, deadly: 1.0 });
        let (mut network, _) = until_bound(Network::new(SMALL, seed), &mut traffic);
        for _ in 0..2 {
            network.restart(|_| true);
            network.play(Duration::from_secs(5), |n| traffic.step(n));
        }
        let bound = network.now + CONTACT - Duration::from_secs(5);
        check_both_sides(network, &mut traffic, bound);
    }
}

/// A quarantine ends at all instances although they tell each other of it.
fn end_of_quarantine(_site: Site) {
    let mut traffic = Traffic::new(Rates { sound: 20.0, deadly: 2.0 });
    let (mut network, _) = until_bound(Network::new(SMALL, 1), &mut traffic);
    assert!(!network.quarantined.is_empty());
    network.play(Duration::from_secs(606), |_| {});
    network.crashes_engines = false;
    let before = network.tally("deadly");
    for index in 0..SMALL.instances {
        network.request_to(index, "deadly", &[FIRST, DEADLY]);
    }
    network.play(Duration::from_secs(2), |_| {});
    assert_eq!(network.tally("deadly").since(before).whole, SMALL.instances as u32);
}

/// Deadly requests are all that come with their middle part and few among many.
fn rare_deadly_part(_site: Site) {
    let mut traffic = Traffic::new(Rates { sound: 25.0, deadly: 0.4 });
    let (network, bound) = until_bound(Network::new(SMALL, 1), &mut traffic);
    check_both_sides(network, &mut traffic, bound);
}

/// A part that was sound begins to crash engines, as after a change of their
/// software.
fn part_that_turns_deadly(_site: Site) {
    let mut network = Network::new(SMALL, 3);
    let mut traffic = Traffic::new(Rates { sound: 20.0, deadly: 2.0 });
    // Without a deadly part, the same requests are answered.
    network.play(Duration::from_secs(5), |n| traffic.step(n));
    assert!(network.tally("deadly").whole >= 6);
    let (network, bound) = until_bound(network, &mut traffic);
    check_both_sides(network, &mut traffic, bound);
}

/// Two parts crash engines at the same time.
fn two_deadly_parts(_site: Site) {
    const OTHER: u64 = 0xbad2;
    let mut network = Network::new(SMALL, 5);
    network.crashes_engines = true;
    let mut traffic = Traffic::new(Rates { sound: 20.0, deadly: 1.5 });
    let mut step = 0;
    network.play(Duration::from_secs(15), |n| {
        traffic.step(n);
        step += 1;
        if step % 70 == 0 {
            n.request("deadly", &[FIRST + 100, OTHER]);
        }
    });
    let (late_from, before) = (network.now, network.tally("sound"));
    network.play(Duration::from_secs(10), |n| {
        traffic.step(n);
        step += 1;
        if step % 70 == 0 {
            n.request("deadly", &[FIRST + 100, OTHER]);
        }
    });
    assert!(network.deadly_after(late_from) == 0, "{}", network.deadly_after(late_from));
    let sound = network.tally("sound").since(before);
    assert!(sound.begun * 10 >= sound.sent * 9, "{sound:?}");
}

/// Engines crash of something else, one by one, many at once or again and again,
/// while a few subjects get most of the traffic: nothing is quarantined.
fn other_crashes(size: Size, seeds: Range<u64>) {
    for seed in seeds {
        let mut network = Network::new(size, seed);
        let mut traffic = Traffic::new(Rates { sound: size.engines as f64 * 2.5, deadly: 0.0 });
        let mut step = 0;
        network.play(Duration::from_secs(40), |n| {
            traffic.step(n);
            step += 1;
            // A subject that is new, and asked for by every third request.
            if step % 10 == 0 {
                n.request("hot", &[FIRST, SUBJECTS + 500 + step / 300]);
            }
            let engines = n.size.engines;
            match step {
                300 | 900 | 1_500 => (0..engines / 2).for_each(|engine| n.crash(engine)),
                2_100 => (0..engines).for_each(|engine| n.crash(engine)),
                _ if (2_500..3_500).contains(&step) && step % 60 == 0 => {
                    n.crash(step as usize / 60 % engines);
                }
                _ => {}
            }
        });
        assert!(network.crashes.len() > size.engines * 2);
        assert_eq!(network.quarantined, Vec::<Cause>::new(), "seed {seed}");
    }
}

/// Something befalls one engine after the other, every few steps, while sound
/// requests are sent: nothing is quarantined.
fn troubles(steps: u64, trouble: fn(&mut Network, usize)) {
    for seed in 0..4 {
        let mut network = Network::new(SMALL, seed);
        let mut traffic = Traffic::new(Rates { sound: 20.0, deadly: 0.0 });
        let mut step = 0;
        network.play(Duration::from_secs(30), |n| {
            traffic.step(n);
            step += 1;
            if step % steps == 0 {
                let engine = (step / steps) as usize % n.size.engines;
                trouble(n, engine);
            }
        });
        assert_eq!(network.quarantined, Vec::<Cause>::new(), "seed {seed}");
    }
}

cases! {
    prompt_part_that_crashes_engines_is_kept_from_them_by_6_instances => |_| deadly_part(SMALL, 6);
    prompt_part_that_crashes_engines_is_kept_from_them_by_60_instances => |_| deadly_part(MEDIUM, 2);
    prompt_part_that_crashes_engines_is_kept_from_them_by_195_instances => |_| deadly_part(LARGE, 1);
    quarantine_is_known_where_gossip_is_lost => lost_gossip;
    quarantine_is_known_to_restarted_instances => restarts;
    quarantine_is_learnt_again_when_all_instances_restart => restart_of_all;
    quarantine_ends_at_all_instances => end_of_quarantine;
    rare_prompt_part_that_crashes_engines_is_kept_from_them => rare_deadly_part;
    prompt_part_that_begins_to_crash_engines_is_kept_from_them => part_that_turns_deadly;
    two_prompt_parts_that_crash_engines_are_kept_from_them => two_deadly_parts;
    crashes_of_something_else_condemn_nothing => |_| other_crashes(SMALL, 0..6);
    crashes_of_something_else_condemn_nothing_among_60_instances => |_| other_crashes(MEDIUM, 0..2);
    crashes_of_something_else_condemn_no_sound_part_with_seed_157 =>
        |_| other_crashes(SMALL, 157..158);
    crashes_of_something_else_condemn_no_sound_part_with_seed_1437 =>
        |_| other_crashes(SMALL, 1_437..1_438);
    engines_that_crash_all_the_time_condemn_nothing => |_| troubles(40, Network::crash);
    engines_that_cut_connections_condemn_nothing => |_| troubles(15, Network::cut_one);
}
