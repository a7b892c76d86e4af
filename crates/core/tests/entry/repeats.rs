//! Requests that come again and crash engines are kept from them by all instances
//! together; sound ones that come again are served, whatever crashes engines.

use std::time::{Duration, Instant};

use crate::network::{LARGE, MEDIUM, Network, SMALL, STEP, Size, Tally};
use crate::site::{Site, cases, ms};

/// The time after the third crash from which at most [`MAX_LATE`] of the deadly
/// requests may reach engines.
const CONTACT: Duration = Duration::from_secs(3);
const MAX_LATE: usize = 3;
/// The parts that all requests share, and that half of the sound ones share with the
/// deadly ones.
const FIRST: u64 = 1;
const SUBJECT: u64 = 2;
/// Fingerprints of requests that come again; those of others are counted from 1.
const DEADLY: u64 = 1 << 40;
const HOT: u64 = 2 << 40;

/// Sends sound requests, those of them that come again, and deadly ones.
struct Traffic {
    size: Size,
    /// The steps from one deadly request to the next; none where there are none.
    deadly_steps: Option<u64>,
    /// How many different deadly requests there are.
    deadly_kinds: u64,
    step: u64,
    due: f64,
}

impl Traffic {
    fn new(size: Size, deadly_steps: impl Into<Option<u64>>) -> Self {
        Self { size, deadly_steps: deadly_steps.into(), deadly_kinds: 1, step: 0, due: 0.0 }
    }

    fn step(&mut self, network: &mut Network) {
        self.step += 1;
        self.due += self.size.engines as f64 * 2.0 * STEP.as_secs_f64();
        while self.due >= 1.0 {
            self.due -= 1.0;
            let subject = if self.step.is_multiple_of(2) { SUBJECT } else { 100 + self.step % 40 };
            network.request("sound", &[FIRST, subject]);
        }
        if self.step.is_multiple_of(40) {
            network.repeat("hot", &[FIRST, SUBJECT], HOT);
        }
        if self.deadly_steps.is_some_and(|steps| self.step.is_multiple_of(steps)) {
            let kind = self.step / self.deadly_steps.unwrap_or(1) % self.deadly_kinds;
            network.repeat("deadly", &[FIRST, SUBJECT], DEADLY + kind);
        }
    }
}

/// Plays sound traffic, and then deadly requests among it until the bound, which is
/// returned.
fn until_bound(network: &mut Network, traffic: &mut Traffic) -> Instant {
    let deadly_steps = traffic.deadly_steps.take();
    network.play(Duration::from_secs(4), |n| traffic.step(n));
    network.crashes_engines = true;
    traffic.deadly_steps = deadly_steps;
    let start = network.now;
    while network.crashes.len() < 3 && network.now < start + Duration::from_secs(20) {
        network.play(ms(100), |n| traffic.step(n));
    }
    let last = network.crashes.get(2).or(network.crashes.last()).copied();
    let bound = last.expect("an engine has crashed") + CONTACT;
    network.play(bound.saturating_duration_since(network.now), |n| traffic.step(n));
    bound
}

/// Checks both sides after the bound: what crashes engines is kept from them, what
/// is sound is served at its first attempt.
fn check_both_sides(network: &mut Network, traffic: &mut Traffic, bound: Instant) {
    network.play(CONTACT, |n| traffic.step(n));
    let before = ["sound", "hot"].map(|kind| network.tally(kind));
    network.play(Duration::from_secs(20), |n| traffic.step(n));
    let late = network.deadly_after(bound);
    let crashes = network.crashes.len();
    assert!(late <= MAX_LATE * traffic.deadly_kinds as usize, "{late} late, {crashes} crashes");
    for (kind, before) in ["sound", "hot"].into_iter().zip(before) {
        let tally = network.tally(kind).since(before);
        assert!(tally.begun * 10 >= tally.sent * 9, "{kind}: {tally:?}, {crashes} crashes");
    }
}

fn deadly_request(size: Size, deadly_steps: u64, seeds: u64) {
    for seed in 0..seeds {
        let mut network = Network::new(size, seed);
        let mut traffic = Traffic::new(size, deadly_steps);
        let bound = until_bound(&mut network, &mut traffic);
        check_both_sides(&mut network, &mut traffic, bound);
    }
}

fn two_deadly_requests(_site: Site) {
    for seed in 0..4 {
        let mut network = Network::new(SMALL, seed);
        let mut traffic = Traffic { deadly_kinds: 2, ..Traffic::new(SMALL, 20) };
        until_bound(&mut network, &mut traffic);
        // Each of them has its own third crash.
        network.play(Duration::from_secs(8), |n| traffic.step(n));
        let bound = network.now + CONTACT;
        check_both_sides(&mut network, &mut traffic, bound);
    }
}

fn lost_gossip(_site: Site) {
    for seed in 0..4 {
        let mut network = Network::new(SMALL, seed);
        network.loss = 0.3;
        let mut traffic = Traffic::new(SMALL, 30);
        let bound = until_bound(&mut network, &mut traffic);
        check_both_sides(&mut network, &mut traffic, bound);
    }
}

/// Instances restart one after the other while the deadly request comes again.
fn restarts(_site: Site) {
    for seed in 0..4 {
        let mut network = Network::new(SMALL, seed);
        let mut traffic = Traffic::new(SMALL, 30);
        let bound = until_bound(&mut network, &mut traffic);
        for index in 0..SMALL.instances {
            network.restart(|i| i == index);
            network.play(ms(700), |n| traffic.step(n));
        }
        check_both_sides(&mut network, &mut traffic, bound);
    }
}

/// What was quarantined is served again once it no longer crashes engines.
fn end_of_quarantine(_site: Site) {
    let mut network = Network::new(SMALL, 1);
    let mut traffic = Traffic::new(SMALL, 30);
    until_bound(&mut network, &mut traffic);
    network.play(Duration::from_secs(10), |n| traffic.step(n));
    assert!(!network.quarantined.is_empty());
    network.play(Duration::from_secs(606), |_| {});
    network.crashes_engines = false;
    let before = network.tally("deadly");
    network.repeat("deadly", &[FIRST, SUBJECT], DEADLY);
    network.play(Duration::from_secs(2), |_| {});
    assert_eq!(network.tally("deadly").since(before).whole, 1);
}

/// Engines crash of something else, one by one or many at once, while a sound request
/// comes again and again: it is served.
fn other_crashes(size: Size, seeds: u64) {
    for seed in 0..seeds {
        let mut network = Network::new(size, seed);
        let mut traffic = Traffic::new(size, None);
        let mut step = 0;
        network.play(Duration::from_secs(40), |n| {
            traffic.step(n);
            step += 1;
            let engines = n.size.engines;
            match step {
                300 | 900 | 1_500 => (0..engines / 2).for_each(|engine| n.crash(engine)),
                _ if (2_000..3_500).contains(&step) && step % 60 == 0 => {
                    n.crash(step as usize / 60 % engines);
                }
                _ => {}
            }
        });
        assert!(network.crashes.len() > size.engines);
        assert_eq!(network.quarantined, vec![], "seed {seed}");
        let (hot, sound) = (network.tally("hot"), network.tally("sound"));
        let share = |tally: Tally| f64::from(tally.begun) / f64::from(tally.sent);
        assert!(share(hot) >= 0.9 * share(sound), "seed {seed}: {hot:?}, {sound:?}");
    }
}

/// A sound request is lost with its engine again and again, and answered between, each
/// time at another instance: it is never held back, though no instance sees all of it.
fn answered_between_crashes(_site: Site) {
    let mut network = Network::new(SMALL, 1);
    network.play(Duration::from_secs(1), |_| {});
    for round in 0..6 {
        let stream = 100 + round;
        network.begin_repeat(round as usize % 6, "lost", HOT, stream);
        network.play(ms(150), |_| {});
        let engine = network.engine_of(stream).expect("it was sent");
        network.crash(engine);
        network.play(Duration::from_secs(20), |_| {});
        network.begin_repeat((round as usize + 1) % 6, "answered", HOT, stream + 100);
        network.play(Duration::from_secs(5), |_| {});
    }
    assert_eq!(network.quarantined, vec![]);
    let Tally { sent, whole, .. } = network.tally("answered");
    assert_eq!((sent, whole), (6, 6));
    assert_eq!(network.arrivals.len(), 12);
}

cases! {
    request_that_crashes_engines_is_kept_from_them_by_6_instances =>
        |_| deadly_request(SMALL, 30, 6);
    request_that_crashes_engines_and_comes_seldom_is_kept_from_them =>
        |_| deadly_request(SMALL, 300, 4);
    request_that_crashes_engines_and_comes_often_is_kept_from_them =>
        |_| deadly_request(SMALL, 3, 4);
    request_that_crashes_engines_is_kept_from_them_by_60_instances =>
        |_| deadly_request(MEDIUM, 30, 2);
    request_that_crashes_engines_is_kept_from_them_by_195_instances =>
        |_| deadly_request(LARGE, 30, 1);
    two_requests_that_crash_engines_are_kept_from_them => two_deadly_requests;
    quarantined_request_is_known_where_gossip_is_lost => lost_gossip;
    quarantined_request_is_known_to_restarted_instances => restarts;
    quarantine_of_a_request_ends_at_all_instances => end_of_quarantine;
    request_that_is_answered_between_crashes_is_not_held_back => answered_between_crashes;
    crashes_of_something_else_condemn_no_sound_request => |_| other_crashes(SMALL, 6);
    crashes_of_something_else_condemn_no_sound_request_among_60_instances =>
        |_| other_crashes(MEDIUM, 2);
}
