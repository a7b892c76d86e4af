//! Rollouts over many instances: a good version gets all traffic in time, a bad one little
//! of it, whichever machine, link or part of the store fails meanwhile.

use std::time::{Duration, Instant};

use rosemarypond_core::entry::rollout::Step;
use rosemarypond_core::entry::rollout::share::Exposure;

use crate::network::{Network, STEP, Size};
use crate::site::{Site, cases, ms, name};

const FEW: Size = Size { instances: 6, zones: 3, engines: 60 };
const MANY: Size = Size { instances: 59, zones: 4, engines: 94 };
const EXPOSURE: Exposure = Exposure { share: 0.1, slack: 50.0, rollback: ms_const(5_000) };
/// How long a rollout may take.
const DURATION: Duration = Duration::from_secs(12);
/// The requests that arrive in each step of the clock, in tenths.
const TENTHS_PER_STEP: usize = 6;

const fn ms_const(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A network with a rollout, and what its callers sent.
struct Trial {
    network: Network,
    ordered: Instant,
    steps: usize,
    /// Requests since the order.
    requests: usize,
    has_traffic: bool,
}

impl Trial {
    /// Instances that know each other, before the order.
    fn new(size: Size) -> Self {
        let mut network = Network::new(size, 7);
        network.expose(EXPOSURE);
        let ordered = network.now;
        let mut trial = Self { network, ordered, steps: 0, requests: 0, has_traffic: true };
        trial.play(ms(3_000));
        trial
    }

    fn order(&mut self, to: &str, duration: Option<Duration>) {
        self.ordered = self.network.now;
        self.requests = 0;
        self.network.order(to, duration);
    }

    fn play(&mut self, time: Duration) {
        let end = self.network.now + time;
        while self.network.now < end {
            self.steps += 1;
            let due =
                (self.steps * TENTHS_PER_STEP) / 10 - ((self.steps - 1) * TENTHS_PER_STEP) / 10;
            let due = if self.has_traffic { due } else { 0 };
            self.requests += due;
            self.network.play(STEP, |network| {
                (0..due).for_each(|_| network.request("sound", &[]));
            });
        }
    }

    /// Plays until the rollout has ended, for at most `time`.
    fn play_to_end(&mut self, time: Duration) {
        let end = self.network.now + time;
        while self.network.now < end && !self.step().is_some_and(Step::is_final) {
            self.play(STEP);
        }
    }

    fn step(&self) -> Option<Step> {
        self.network.store.rollouts.get(&name("models")).map(|row| row.step)
    }

    fn exposed(&self) -> usize {
        self.network.arrived_at("v2", self.ordered)
    }

    /// The requests that a bad version may get of those that reach the service until the
    /// deadline.
    fn allowed(&self) -> usize {
        let per_second = TENTHS_PER_STEP * 10;
        let all = per_second * DURATION.as_secs() as usize;
        (all as f64 * EXPOSURE.share + EXPOSURE.slack) as usize
    }

    fn elapsed(&self) -> Duration {
        self.network.now - self.ordered
    }

    /// Checks that nothing ran on the old version when it succeeded, in time.
    fn assert_succeeded(&self) {
        assert_eq!(self.step(), Some(Step::Succeeded), "{:?}", self.network.store.steps);
        assert_eq!(self.network.running_on("v1"), 0);
        assert!(self.elapsed() <= DURATION, "{:?}", self.elapsed());
    }

    /// Checks that a bad version was stopped in time and got no more than it may get.
    fn assert_rolled_back(&mut self) {
        assert_eq!(self.step(), Some(Step::RolledBack), "{:?}", self.network.store.steps);
        assert!(self.elapsed() <= DURATION, "{:?}", self.elapsed());
        self.play(ms(1_000));
        let stopped = self.network.now;
        self.play(ms(3_000));
        assert_eq!(self.network.arrived_at("v2", stopped), 0);
        assert!(self.exposed() <= self.allowed(), "{} of {}", self.exposed(), self.allowed());
    }
}

fn good(size: Size) {
    let mut trial = Trial::new(size);
    trial.order("v2", Some(DURATION));
    trial.play_to_end(DURATION + ms(1_000));
    trial.assert_succeeded();
    trial.play(ms(2_000));
    let after = trial.network.now;
    trial.play(ms(1_000));
    assert!(trial.network.arrived_at("v2", after) > 0);
    assert_eq!(trial.network.arrived_at("v1", after), 0);
}

fn bad(size: Size, change: impl Fn(&mut Network)) {
    let mut trial = Trial::new(size);
    change(&mut trial.network);
    trial.order("v2", Some(DURATION));
    trial.play_to_end(DURATION + ms(1_000));
    trial.assert_rolled_back();
}

/// A good version that is as slow as the old one, while engines reject requests.
fn rejections(_site: Site) {
    let mut trial = Trial::new(FEW);
    trial.network.rejected = 0.05;
    trial.order("v2", Some(DURATION));
    trial.play_to_end(DURATION + ms(1_000));
    trial.assert_succeeded();
}

/// Callers send nothing: nothing speaks against the version.
fn no_traffic(_site: Site) {
    let mut trial = Trial::new(FEW);
    trial.has_traffic = false;
    trial.play(ms(3_000));
    trial.order("v2", Some(DURATION));
    trial.play_to_end(DURATION + ms(1_000));
    trial.assert_succeeded();
}

/// No engine has the version: it is rolled back at the deadline, and the others serve.
fn no_engines(_site: Site) {
    let mut trial = Trial::new(FEW);
    trial.order("v9", Some(DURATION));
    trial.play_to_end(DURATION + ms(1_000));
    assert_eq!(trial.step(), Some(Step::RolledBack));
    assert!(trial.elapsed() <= DURATION);
    assert!(trial.network.arrived_at("v2", trial.ordered) > 100);
}

/// An order without a valid duration is answered at once.
fn invalid(_site: Site) {
    let mut trial = Trial::new(FEW);
    trial.order("v2", None);
    trial.play_to_end(ms(2_000));
    assert_eq!(trial.step(), Some(Step::RolledBack));
}

/// The order is removed midway.
fn removed(_site: Site) {
    let mut trial = Trial::new(FEW);
    trial.order("v2", Some(DURATION));
    trial.play(ms(4_000));
    trial.network.remove_order();
    trial.play_to_end(ms(2_000));
    trial.assert_rolled_back();
}

/// The order is given again midway: what was reached stays.
fn repeated(_site: Site) {
    let mut trial = Trial::new(FEW);
    trial.order("v2", Some(DURATION));
    trial.play(ms(6_000));
    let step = trial.step();
    assert!(step > Some(Step::Canary));
    trial.network.order("v2", Some(DURATION));
    trial.play(ms(500));
    assert!(trial.step() >= step);
    trial.play_to_end(DURATION);
    trial.assert_succeeded();
}

/// The order is replaced by one for another version, which no engine has.
fn replaced(_site: Site) {
    let mut trial = Trial::new(FEW);
    trial.order("v2", Some(DURATION));
    trial.play(ms(5_000));
    trial.order("v9", Some(DURATION));
    trial.play(ms(1_000));
    let row = &trial.network.store.rollouts[&name("models")];
    assert_eq!((row.order.name.as_str(), row.step), ("v9", Step::Canary));
    trial.play_to_end(DURATION + ms(1_000));
    assert_eq!(trial.step(), Some(Step::RolledBack));
}

/// The instance that judges is paused midway, and goes on with a stale view.
fn paused_judge(_site: Site) {
    let mut trial = Trial::new(FEW);
    trial.order("v2", Some(DURATION));
    trial.play(ms(2_000));
    let judge = trial.network.store.rollouts[&name("models")].judge.clone();
    let index = judge.as_str()[1..].parse().expect("the name ends with a number");
    trial.network.paused.insert(index);
    trial.play(ms(4_000));
    assert!(trial.step() > Some(Step::Canary), "another instance judges");
    trial.network.paused.remove(&index);
    trial.play_to_end(DURATION);
    trial.assert_succeeded();
}

/// The store is away for a while: nothing new is sent to a version that is not known to
/// have passed all checks, and the rollout goes on afterwards.
fn store_outage(_site: Site) {
    let mut trial = Trial::new(FEW);
    trial.order("v2", Some(DURATION));
    trial.play(ms(1_000));
    trial.network.store.is_down = true;
    trial.play(ms(2_100));
    let stale = trial.network.now;
    trial.play(ms(1_500));
    assert_eq!(trial.network.arrived_at("v2", stale), 0);
    trial.network.store.is_down = false;
    trial.play_to_end(DURATION);
    trial.assert_succeeded();
}

/// Writes are carried out, but their answers are lost.
fn lost_answers(_site: Site) {
    let mut trial = Trial::new(FEW);
    trial.network.store.loses_answers = true;
    trial.order("v2", Some(DURATION));
    trial.play_to_end(DURATION + ms(1_000));
    trial.assert_succeeded();
    let steps: Vec<_> = trial.network.store.steps.iter().map(|(_, step)| *step).collect();
    assert!(steps.is_sorted(), "{steps:?}");
}

/// The store comes back from a copy without the row: the step that was reached stays.
fn restored(_site: Site) {
    let mut trial = Trial::new(FEW);
    trial.order("v2", Some(DURATION));
    trial.play(ms(6_000));
    let step = trial.step();
    assert!(step > Some(Step::Canary));
    trial.network.store.rollouts.clear();
    trial.network.store.era.0 += 1;
    trial.play(ms(1_500));
    assert!(trial.step() >= step, "{:?}", trial.network.store.steps);
    trial.play_to_end(DURATION);
    trial.assert_succeeded();
}

/// Zones do not hear each other to the end: as none knows what runs in the others, the
/// old version is not given up.
fn partition(size: Size) {
    let mut trial = Trial::new(size);
    trial.order("v2", Some(DURATION));
    trial.play(ms(1_000));
    trial.network.is_split = true;
    trial.play_to_end(DURATION + ms(1_000));
    assert_eq!(trial.step(), Some(Step::RolledBack));
    assert!(trial.elapsed() <= DURATION);
}

/// All engines have the version already, and the order is invalid: they go on serving.
fn only_version(_site: Site) {
    let mut trial = Trial::new(Size { engines: 1, ..FEW });
    trial.order("v1", None);
    trial.play_to_end(ms(2_000));
    assert_eq!(trial.step(), Some(Step::RolledBack));
    let after = trial.network.now;
    trial.play(ms(2_000));
    assert!(trial.network.arrived_at("v1", after) > 0);
}

/// The engines of the new version are too few for all requests.
fn too_few(_site: Site) {
    let mut trial = Trial::new(Size { engines: 3, ..FEW });
    trial.order("v2", Some(DURATION));
    trial.play_to_end(DURATION + ms(1_000));
    assert_eq!(trial.step(), Some(Step::RolledBack));
    assert!(trial.elapsed() <= DURATION);
    assert!(!trial.network.store.steps.iter().any(|(_, step)| *step == Step::All));
}

/// Messages are lost now and then.
fn loss(_site: Site) {
    let mut trial = Trial::new(MANY);
    trial.network.loss = 0.2;
    trial.order("v2", Some(DURATION));
    trial.play_to_end(DURATION + ms(1_000));
    trial.assert_succeeded();
}

/// Half of the instances are killed midway; the new ones go on from the row.
fn restarted(_site: Site) {
    let mut trial = Trial::new(FEW);
    trial.order("v2", Some(DURATION));
    trial.play(ms(3_000));
    let ordered = trial.ordered;
    trial.network.restart(|index| index < 3);
    trial.network.expose(EXPOSURE);
    trial.play_to_end(DURATION);
    trial.ordered = ordered;
    trial.assert_succeeded();
}

/// Without the limits of rollouts an order changes nothing.
fn without_limits(_site: Site) {
    let mut network = Network::new(FEW, 7);
    network.order("v9", Some(DURATION));
    let ordered = network.now;
    network.play(ms(5_000), |network| network.request("sound", &[]));
    assert!(network.store.steps.is_empty());
    assert!(network.arrived_at("v2", ordered) > 100 && network.arrived_at("v1", ordered) > 100);
}

cases! {
    /// Guards against a good version that does not get all traffic in time.
    good_version_succeeds_at_few_instances => |_| good(FEW);
    good_version_succeeds_at_many_instances => |_| good(MANY);
    good_version_succeeds_while_engines_reject => rejections;
    good_version_succeeds_without_traffic => no_traffic;
    /// Guards against a bad version that gets more than its share.
    failing_version_is_rolled_back => |_| bad(FEW, |n| n.failing = 0.5);
    failing_version_is_rolled_back_at_many_instances => |_| bad(MANY, |n| n.failing = 0.5);
    rarely_failing_version_is_rolled_back => |_| bad(FEW, |n| n.failing = 0.25);
    slow_version_is_rolled_back => |_| bad(FEW, |n| n.version_slowness = 4.0);
    slow_version_is_rolled_back_at_many_instances => |_| bad(MANY, |n| n.version_slowness = 4.0);
    version_that_fails_under_load_is_rolled_back => |_| bad(FEW, |n| {
        n.failing = 0.8;
        n.failing_from = 1;
    });
    version_that_no_engine_has_is_rolled_back => no_engines;
    order_without_a_valid_duration_is_rolled_back => invalid;
    order_that_is_removed_is_rolled_back => removed;
    order_that_is_repeated_goes_on => repeated;
    order_that_is_replaced_begins_again => replaced;
    another_instance_judges_while_the_judge_is_paused => paused_judge;
    rollout_goes_on_after_an_outage_of_the_store => store_outage;
    rollout_goes_on_where_answers_of_the_store_are_lost => lost_answers;
    step_stays_where_the_store_lost_it => restored;
    rollout_is_rolled_back_where_zones_are_partitioned => |_| partition(FEW);
    rollout_is_rolled_back_where_many_are_partitioned => |_| partition(MANY);
    /// Guards against an outage where the order names the only version.
    only_version_serves_after_an_invalid_order => only_version;
    version_with_too_few_engines_is_rolled_back => too_few;
    good_version_succeeds_while_messages_are_lost => loss;
    good_version_succeeds_where_half_of_the_instances_restart => restarted;
    order_changes_nothing_without_limits => without_limits;
}
