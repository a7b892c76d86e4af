//! A stream without a record is the baseline's, whatever instances have missed.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use rosemarypond_core::entry::baseline::{Baseline, CLOSING_TIME, Change, Read, TRUST_TIME};
use rosemarypond_core::entry::call::{Call, Repeat};
use rosemarypond_core::entry::scheduler::{Action, Event};
use rosemarypond_core::entry::streams::LIFETIME;
use rosemarypond_core::entry::upstream::Registration;
use rosemarypond_core::entry::watermark::Era;
use rosemarypond_core::id;

use crate::network::plan;
use crate::site::{Site, WHOLE, cases, ms, name, registration, sends};

const TICK: Duration = Duration::from_millis(200);
const DIRECTORY_INTERVAL: Duration = Duration::from_secs(1);
const SLOTS: u32 = 100;
const RANDOM_SEEDS: u64 = 12;
const RANDOM_TIME: Duration = Duration::from_secs(2_000);

/// An instance and what it has of the store.
struct Member {
    site: Site,
    upstreams: BTreeSet<String>,
    reaches_store: bool,
}

/// Instances that share a store; each version has one upstream of its name.
struct World {
    now: Instant,
    members: Vec<Member>,
    directory: BTreeSet<String>,
    directory_read: Instant,
    row: Option<Baseline>,
    /// How often another version became the baseline.
    replacements: usize,
    store_version: u64,
    /// The streams that began without a record.
    unrecorded: Vec<(String, Instant)>,
    records: usize,
    last_call: u64,
}

impl Member {
    fn new(now: Instant, index: usize) -> Self {
        let mut site = Site::named(&format!("a{index}"));
        site.now = now;
        site.handle(Event::Configured(Arc::new(plan())));
        Self { site, upstreams: BTreeSet::new(), reaches_store: true }
    }

    fn follow(&mut self, directory: &BTreeSet<String>) {
        for release in directory.difference(&self.upstreams) {
            let registration =
                Registration { release: release.parse().ok(), ..registration(release, SLOTS) };
            self.site.handle(Event::Registered(registration));
        }
        for release in self.upstreams.difference(directory) {
            self.site.handle(Event::Deregistered(name(release)));
        }
        self.upstreams.clone_from(directory);
    }
}

impl World {
    fn new(members: usize, releases: &[&str]) -> Self {
        let now = Site::new().now;
        let mut world = Self {
            now,
            members: (0..members).map(|index| Member::new(now, index)).collect(),
            directory: releases.iter().map(|release| release.to_string()).collect(),
            directory_read: now,
            row: None,
            replacements: 0,
            store_version: 0,
            unrecorded: vec![],
            records: 0,
            last_call: 0,
        };
        world.play(ms(2_000));
        world
    }

    fn restart(&mut self, index: usize) {
        self.members[index] = Member::new(self.now, index);
    }

    fn play(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
            let is_read = self.now - self.directory_read >= DIRECTORY_INTERVAL;
            if is_read {
                self.directory_read = self.now;
            }
            for index in 0..self.members.len() {
                let member = &mut self.members[index];
                if is_read && member.reaches_store {
                    member.follow(&self.directory);
                }
                let actions = member.site.advance(TICK);
                self.carry_out(index, actions);
            }
        }
    }

    /// Carries out what an instance has decided, as far as it reaches the store.
    fn carry_out(&mut self, index: usize, actions: Vec<Action>) {
        for action in actions {
            let reaches_store = self.members[index].reaches_store;
            match action {
                Action::ReadBaselines if reaches_store => self.read(index),
                Action::SetBaseline(change) if reaches_store => self.set(index, change),
                _ => {}
            }
        }
    }

    fn read(&mut self, index: usize) {
        let baselines = self.row.iter().map(|row| (name("models"), row.clone())).collect();
        let read = Read { began: None, baselines_began: self.now, era: Era::default(), baselines };
        let actions = self.members[index].site.handle(Event::StreamsRead(read, vec![]));
        self.carry_out(index, actions);
    }

    fn set(&mut self, index: usize, change: Change) {
        let Change { service, release, is_closing, era, replaces } = change;
        if self.row.as_ref().map_or(0, |row| row.row) != replaces {
            return self.read(index);
        }
        self.store_version += 1;
        let row = Baseline { release, is_closing, era, row: self.store_version };
        self.replacements +=
            usize::from(self.row.as_ref().is_some_and(|before| before.release != row.release));
        self.row = Some(row.clone());
        let actions = self.members[index].site.handle(Event::BaselineWritten(service, row));
        self.carry_out(index, actions);
    }

    /// Begins a stream at an instance; returns its version.
    fn begin(&mut self, index: usize) -> Option<String> {
        self.last_call += 1;
        let id = self.last_call;
        let site = &mut self.members[index].site;
        let call =
            Call { stream: Some(id::Stream(id)), repeat: Repeat::Resumable, ..site.call(id) };
        let sent = sends(&site.arrive(call));
        let (_, release) = sent.into_iter().next()?;
        site.handle(Event::FirstByte(id::Request(id)));
        if site.scheduler.unrecorded(site.now, id::Request(id)).is_some() {
            self.records += 1;
        } else {
            self.unrecorded.push((release.clone(), self.now));
        }
        site.end(id, WHOLE);
        Some(release)
    }

    /// What callers can resume without a record is the baseline's.
    fn check(&self) {
        let Some(row) = &self.row else { return };
        for (release, at) in &self.unrecorded {
            let age = self.now - *at;
            assert!(
                age >= LIFETIME || row.release.as_str() == release,
                "a stream of {release} began {age:?} ago without a record; baseline: {row:?}"
            );
        }
    }

    fn baseline(&self) -> (&str, bool) {
        let row = self.row.as_ref().expect("there is a baseline");
        (row.release.as_str(), row.is_closing)
    }
}

/// An instance that was restarted misses that another one replaces the baseline, as it
/// does not take part; then the first version comes back.
fn version_taken_back(_site: Site) {
    let mut world = World::new(2, &["v1"]);
    world.directory.insert("v2".into());
    world.play(ms(3_000));
    world.directory.remove("v1");
    world.play(Duration::from_secs(15));
    world.restart(1);
    world.play(Duration::from_secs(49));
    world.directory.insert("v1".into());
    world.play(ms(2_000));
    for _ in 0..20 {
        world.begin(1).expect("the stream begins");
    }
    world.check();
    // Nothing is recorded once the first version is known to be the baseline again.
    assert_eq!(world.baseline(), ("v1", false));
}

/// An instance does not reach the store while the baseline is replaced.
fn store_unreachable(_site: Site) {
    let mut world = World::new(2, &["v1"]);
    world.play(LIFETIME);
    world.members[1].reaches_store = false;
    world.directory = BTreeSet::from(["v2".into()]);
    for _ in 0..30 {
        world.play(Duration::from_secs(10));
        assert_eq!(world.begin(1).as_deref(), Some("v1"));
        world.check();
    }
    assert_eq!(world.baseline(), ("v2", false));
}

/// A version that has replaced another is the baseline in the end, and nothing is
/// recorded any more.
fn replaced(_site: Site) {
    let mut world = World::new(2, &["v1"]);
    world.directory = BTreeSet::from(["v2".into()]);
    world.play(LIFETIME + Duration::from_secs(5));
    assert_eq!(world.baseline(), ("v1", true));
    assert_eq!(world.begin(0).as_deref(), Some("v2"));
    assert_eq!(world.records, 1);
    world.play(CLOSING_TIME + TRUST_TIME);
    assert_eq!(world.baseline(), ("v2", false));
    world.begin(0);
    world.begin(1);
    assert_eq!(world.records, 1);
}

/// Versions come and go, instances restart and lose the store.
fn random(_site: Site) {
    let mut replacements = 0;
    for seed in 0..RANDOM_SEEDS {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut below = |limit: u32| (random.next_u32() % limit) as usize;
        let mut world = World::new(3, &["v1"]);
        let end = world.now + RANDOM_TIME;
        while world.now < end {
            let release = format!("v{}", 1 + below(3));
            let index = below(3);
            match below(60) {
                0 => world.directory = BTreeSet::from([release]),
                1 => drop(world.directory.insert(release)),
                2 if world.directory.len() > 1 => drop(world.directory.remove(&release)),
                3..=4 => world.restart(index),
                5..=8 => world.members[index].reaches_store = false,
                9..=18 => world.members[index].reaches_store = true,
                _ => {}
            }
            world.play(ms(200 * below(60) as u64));
            for index in 0..3 {
                world.begin(index);
            }
            world.check();
        }
        assert!(world.unrecorded.len() > 20, "seed {seed}: {}", world.unrecorded.len());
        replacements += world.replacements;
    }
    assert!(replacements as u64 >= RANDOM_SEEDS, "{replacements}");
}

cases! {
    /// Guards against streams of two versions in one, after a version is taken back.
    baseline_that_an_instance_has_missed_is_not_relied_on => version_taken_back;
    baseline_that_was_read_long_ago_is_not_relied_on => store_unreachable;
    baseline_is_replaced_after_its_version_has_gone => replaced;
    streams_without_a_record_are_the_baselines_in_random_runs => random;
}
