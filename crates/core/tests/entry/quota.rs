//! Quotas over many instances that exchange gossip: teams within their quota are
//! refused nothing, and no team exceeds its quota, whatever happens to the
//! instances.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rosemarypond_core::config::Version;
use rosemarypond_core::entry::call::{Call, Ended, Origin, Reason};
use rosemarypond_core::entry::gossip::Gossip;
use rosemarypond_core::entry::plan::{Limit, Limits, Plan, Team};
use rosemarypond_core::entry::quota::{Counting, Knowledge, Quota};
use rosemarypond_core::entry::scheduler::{Action, Audience, Event, Options, Scheduler};
use rosemarypond_core::entry::upstream::Location;
use rosemarypond_core::id::{Incarnation, Request, Team as TeamId};
use rosemarypond_core::unit::Tokens;

use crate::site::{ALLOWANCE, Site, WHOLE, WINDOW, cases, ms, name, registration};

const STEP: Duration = Duration::from_millis(10);
const ZONES: usize = 5;
const IN_ZONE_DELAY: Duration = Duration::from_millis(10);
const CROSS_ZONE_DELAY: Duration = Duration::from_millis(20);
const LIMIT: Limit = Limit { rate: 400_000.0, burst: 400_000.0 };
const COUNTING: Counting = Counting { window: WINDOW, tolerance: 190_000.0, tolerance_ratio: 0.1 };
const COST: u32 = 4_000;
/// A team's usual demand, as a fraction of its rate.
const USUAL: f64 = 1.0 / 1.8;

/// The most tokens that may be used in a window.
fn allowed(limit: Limit) -> f64 {
    let quota = COUNTING.quota(limit);
    quota + COUNTING.excess(quota)
}

fn plan(version: u64, limit: Limit) -> Arc<Plan> {
    let team = Team { id: name("a"), rank: None, quota: Some(limit), default_cost: 1 };
    let teams = [(team, vec!["key".to_owned()])];
    Arc::new(Plan::new(Version(version), Limits::default(), [], teams, []))
}

/// Instances that receive each other's gossip after a delay.
struct Cluster {
    start: Instant,
    now: Instant,
    plan: Arc<Plan>,
    instances: Vec<Scheduler>,
    in_flight: BTreeMap<(Instant, u64), (usize, Gossip)>,
    sent: u64,
    /// Whether messages between the first half of the instances and the others
    /// are lost.
    is_cut: bool,
    demand: f64,
    requests: u64,
    incarnations: u64,
    /// Whether each request ends as one that did not run.
    is_refunded: bool,
    /// Whether each request resumes a stream.
    are_resumed: bool,
    admitted: VecDeque<(Instant, f64)>,
    refused: u64,
}

fn location(index: usize) -> Location {
    let zone = format!("z{}", index % ZONES);
    Location { instance: name(&format!("i{index}")), zone: name(&zone) }
}

impl Cluster {
    fn new(instances: usize, now: Instant) -> Self {
        let mut cluster = Self {
            start: now,
            now,
            plan: plan(1, LIMIT),
            instances: vec![],
            in_flight: BTreeMap::new(),
            sent: 0,
            is_cut: false,
            demand: 0.0,
            requests: 0,
            incarnations: 0,
            is_refunded: false,
            are_resumed: false,
            admitted: VecDeque::new(),
            refused: 0,
        };
        cluster.restart(instances, false);
        cluster
    }

    /// Replaces all instances by new processes that know nothing.
    fn restart(&mut self, instances: usize, is_joining: bool) {
        self.in_flight.clear();
        self.instances = (0..instances).map(|i| self.start_one(i, instances, is_joining)).collect();
    }

    fn start_one(&mut self, index: usize, instances: usize, is_joining: bool) -> Scheduler {
        self.incarnations += 1;
        let mut scheduler = Scheduler::new(Options {
            location: location(index),
            incarnation: Incarnation(self.incarnations),
            allowance: ALLOWANCE,
            counting: COUNTING,
            is_joining,
        });
        scheduler.handle(self.now, Event::Registered(registration("e1", 1_000_000)));
        scheduler.handle(self.now, Event::Configured(self.plan.clone()));
        for peer in (0..instances).map(location) {
            scheduler.handle(self.now, Event::PeerRegistered(peer.instance, peer.zone));
        }
        scheduler
    }

    fn configure(&mut self, plan: Arc<Plan>) {
        self.plan = plan;
        for scheduler in &mut self.instances {
            scheduler.handle(self.now, Event::Configured(self.plan.clone()));
        }
    }

    /// Plays `time` in which the team requests `demand` times its rate.
    fn play(&mut self, time: Duration, demand: f64) {
        let end = self.now + time;
        while self.now < end {
            self.deliver();
            self.demand += demand * LIMIT.rate * STEP.as_secs_f64();
            while self.demand >= f64::from(COST) {
                self.demand -= f64::from(COST);
                self.request();
            }
            for index in 0..self.instances.len() {
                self.instances[index].handle(self.now, Event::Tick);
                self.send_gossip(index);
            }
            self.now += STEP;
        }
    }

    fn request(&mut self) {
        self.requests += 1;
        // Connections are spread unevenly.
        let spread = (self.requests * 7_919 % 1_000) as f64 / 1_000.0;
        let index = (spread * spread * self.instances.len() as f64) as usize;
        let site = Site { now: self.now, ..Site::new() };
        let id = self.requests;
        let origin = if self.are_resumed { Origin::Release(name("v1")) } else { Origin::Fresh };
        let call = Call { team: Some(name("a")), cost: Tokens(COST), origin, ..site.call(id) };
        let scheduler = &mut self.instances[index];
        scheduler.handle(self.now, Event::Arrived(call));
        let is_quota = |a: &Action| matches!(a, Action::Refuse { reason: Reason::Quota, .. });
        let actions = scheduler.take_actions();
        if actions.iter().any(is_quota) {
            self.refused += 1;
            return;
        }
        let how = if self.is_refunded { Ended::NotRun { misdirected: false } } else { WHOLE };
        scheduler.handle(self.now, Event::Ended(Request(id), how));
        if !self.is_refunded {
            self.admitted.push_back((self.now, f64::from(COST)));
        }
    }

    fn send_gossip(&mut self, from: usize) {
        for action in self.instances[from].take_actions() {
            let Action::SendGossip { audience, gossip } = action else { continue };
            for to in 0..self.instances.len() {
                self.send(from, to, audience, &gossip);
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, audience: Audience, gossip: &Gossip) {
        let is_own_zone = from % ZONES == to % ZONES;
        let is_addressed = match audience {
            Audience::Everyone => true,
            Audience::OwnZone => is_own_zone,
            Audience::OtherZones => !is_own_zone,
        };
        let half = self.instances.len() / 2;
        let is_lost = self.is_cut && (from < half) != (to < half);
        if from != to && is_addressed && !is_lost {
            let delay = if is_own_zone { IN_ZONE_DELAY } else { CROSS_ZONE_DELAY };
            self.sent += 1;
            self.in_flight.insert((self.now + delay, self.sent), (to, gossip.clone()));
        }
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.in_flight.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let (to, gossip) = entry.remove();
            self.instances[to].handle(self.now, Event::Received(Box::new(gossip)));
        }
    }

    /// The most tokens that were admitted in a window that ends `after` the start
    /// or later.
    fn worst_window(&self, after: Duration) -> f64 {
        let mut sum = 0.0;
        let mut worst: f64 = 0.0;
        let mut first = 0;
        for (at, cost) in &self.admitted {
            sum += cost;
            while self.admitted[first].0 + WINDOW <= *at {
                sum -= self.admitted[first].1;
                first += 1;
            }
            if *at >= self.start + after {
                worst = worst.max(sum);
            }
        }
        worst
    }

    fn assert_within_quota(&self) {
        let (worst, most) = (self.worst_window(Duration::ZERO), allowed(LIMIT));
        assert!(worst <= most, "{worst} of {most}");
    }
}

/// Gossip is exchanged before the first request.
fn running(instances: usize, site: &Site) -> Cluster {
    let mut cluster = Cluster::new(instances, site.now);
    cluster.play(ms(1_000), 0.0);
    cluster
}

/// A team with its usual demand and two bursts, all within its quota.
fn no_refusal_within_the_quota(instances: usize, site: &Site) {
    let mut cluster = running(instances, site);
    cluster.play(ms(2_000), USUAL);
    cluster.play(ms(3_000), USUAL * 1.5);
    cluster.play(ms(1_000), USUAL);
    cluster.play(ms(2_000), USUAL * 2.1);
    cluster.play(ms(1_000), USUAL);
    assert_eq!(cluster.refused, 0);
    cluster.assert_within_quota();
}

/// A team that requests six times its usual demand.
fn quota_holds_under_excess_demand(instances: usize, site: &Site) {
    let mut cluster = running(instances, site);
    cluster.play(ms(1_000), USUAL);
    cluster.play(ms(11_000), USUAL * 6.0);
    cluster.assert_within_quota();
    let used = cluster.worst_window(Duration::ZERO);
    assert!(used >= COUNTING.quota(LIMIT) * 0.9, "only {used} was admitted");
}

/// Halves of the instances that are cut off from each other while a team requests
/// too much.
fn quota_holds_in_a_partition(instances: usize, demand: f64, site: &Site) {
    let mut cluster = running(instances, site);
    cluster.play(ms(5_000), demand);
    cluster.is_cut = true;
    cluster.play(ms(8_000), demand);
    cluster.is_cut = false;
    cluster.play(ms(4_000), demand);
    cluster.assert_within_quota();
}

/// All instances restart together while a team requests too much, twice.
fn quota_holds_around_restarts(instances: usize, site: &Site) {
    let mut cluster = running(instances, site);
    cluster.play(ms(6_000), USUAL * 3.0);
    for _ in 0..2 {
        cluster.now += ms(700);
        cluster.restart(instances, true);
        cluster.play(ms(5_000), USUAL * 3.0);
    }
    cluster.assert_within_quota();
    let first_restart = cluster.start + ms(7_700);
    let later = cluster.admitted.iter().filter(|(at, _)| *at >= first_restart);
    let served: f64 = later.map(|(_, cost)| cost).sum();
    assert!(served >= LIMIT.rate * 5.0, "only {served} in 10 s after the restarts");
}

/// The same where all requests resume streams.
fn quota_holds_for_resumed_streams(instances: usize, site: &Site) {
    let mut cluster = running(instances, site);
    cluster.are_resumed = true;
    cluster.play(ms(10_000), USUAL * 6.0);
    for _ in 0..2 {
        cluster.now += ms(700);
        cluster.restart(instances, true);
        cluster.play(ms(5_000), USUAL * 6.0);
    }
    cluster.assert_within_quota();
}

/// All instances restart while a team requests too much; the streams that broke off
/// are resumed all the same.
fn resumed_after_restart(site: Site) {
    let mut cluster = running(6, &site);
    cluster.play(ms(8_000), USUAL * 3.0);
    cluster.now += ms(700);
    cluster.restart(6, true);
    cluster.play(ms(500), USUAL * 3.0);
    cluster.are_resumed = true;
    let (refused, requests) = (cluster.refused, cluster.requests);
    // Few streams, beside what is refused of the rest.
    cluster.play(ms(100), USUAL * 3.0);
    let (refused, requests) = (cluster.refused - refused, cluster.requests - requests);
    assert!(requests >= 10 && refused * 2 <= requests, "{refused} of {requests} refused");
    cluster.are_resumed = false;
    cluster.play(ms(5_000), USUAL * 3.0);
    cluster.assert_within_quota();
}

/// The limit is lowered: it binds a window later, and until then nothing that
/// was used under the higher limit is held against the team.
fn lower_limit(instances: usize, site: &Site) {
    let lower = Limit { rate: LIMIT.rate * 0.3, ..LIMIT };
    let mut cluster = running(instances, site);
    cluster.play(ms(8_000), USUAL * 1.5);
    assert_eq!(cluster.refused, 0);
    cluster.configure(plan(2, lower));
    cluster.play(ms(1_000), lower.rate / LIMIT.rate);
    assert_eq!(cluster.refused, 0, "use under the higher limit counts against the lower one");
    cluster.play(ms(13_000), USUAL * 1.5);
    let (worst, most) = (cluster.worst_window(ms(9_000 + 8_100)), allowed(lower));
    assert!(worst <= most, "{worst} of {most}");
}

/// Requests that did not run leave nothing behind at the peers.
fn refunds_reach_peers(site: Site) {
    let mut cluster = running(6, &site);
    cluster.is_refunded = true;
    // No attempt is left after one that did not run, so that each is refused.
    cluster.play(ms(4_000), 3.0);
    cluster.is_refunded = false;
    cluster.play(ms(1_000), 1.0);
    assert_eq!(cluster.refused, 0);
}

/// The time that a refusal states is the time after which the request is
/// admitted.
fn stated_time(site: Site) {
    let mut quota = Quota::new(Counting { tolerance: 0.0, tolerance_ratio: 0.0, ..COUNTING });
    quota.configure(&plan(1, Limit { rate: 1_000.0, burst: 2_000.0 }), false, site.now);
    let team: TeamId = name("a");
    let mut now = site.now;
    for _ in 0..40 {
        let Err(wait) = quota.admit(&team, Tokens(900), now, Knowledge::alone()) else {
            continue;
        };
        let early = now + wait.saturating_sub(ms(200));
        let mut earlier = quota.clone();
        if wait > ms(200) {
            assert!(earlier.admit(&team, Tokens(900), early, Knowledge::alone()).is_err());
        }
        now += wait;
        assert_eq!(quota.admit(&team, Tokens(900), now, Knowledge::alone()), Ok(()));
    }
}

/// While requests wait, a team gets its quota and nothing of the tolerance.
fn no_tolerance_while_others_wait(site: Site) {
    let used = |has_backlog| {
        let mut quota = Quota::new(COUNTING);
        quota.configure(&plan(1, LIMIT), false, site.now);
        let knowledge = Knowledge { has_backlog, ..Knowledge::alone() };
        let admit = |step: u32| {
            let now = site.now + STEP * step;
            let admit = || quota.admit(&name("a"), Tokens(COST), now, knowledge).ok();
            std::iter::from_fn(admit).count() as f64 * f64::from(COST)
        };
        (0..790).map(admit).sum::<f64>()
    };
    let quota = COUNTING.quota(LIMIT);
    assert!(used(true) <= quota, "{} of {quota}", used(true));
    assert!(used(false) > quota + COUNTING.excess(quota) * 0.4, "{}", used(false));
}

cases! {
    tolerance_is_not_used_while_requests_wait => no_tolerance_while_others_wait;
    team_within_its_quota_is_not_refused_by_6_instances => |s| no_refusal_within_the_quota(6, &s);
    team_within_its_quota_is_not_refused_by_90_instances => |s| no_refusal_within_the_quota(90, &s);
    team_within_its_quota_is_not_refused_by_195_instances =>
        |s| no_refusal_within_the_quota(195, &s);
    excess_demand_is_held_to_the_quota_by_6_instances =>
        |s| quota_holds_under_excess_demand(6, &s);
    excess_demand_is_held_to_the_quota_by_90_instances =>
        |s| quota_holds_under_excess_demand(90, &s);
    excess_demand_is_held_to_the_quota_by_195_instances =>
        |s| quota_holds_under_excess_demand(195, &s);
    quota_holds_while_6_instances_are_cut_off_from_each_other =>
        |s| quota_holds_in_a_partition(6, USUAL * 6.0, &s);
    quota_holds_while_90_instances_are_cut_off_from_each_other =>
        |s| quota_holds_in_a_partition(90, USUAL * 6.0, &s);
    quota_holds_while_6_instances_restart_together => |s| quota_holds_around_restarts(6, &s);
    quota_holds_while_90_instances_restart_together => |s| quota_holds_around_restarts(90, &s);
    lower_limit_binds_a_window_later_with_6_instances => |s| lower_limit(6, &s);
    lower_limit_binds_a_window_later_with_90_instances => |s| lower_limit(90, &s);
    request_that_did_not_run_counts_at_no_peer => refunds_reach_peers;
    quota_holds_for_streams_resumed_at_6_instances => |s| quota_holds_for_resumed_streams(6, &s);
    quota_holds_for_streams_resumed_at_90_instances =>
        |s| quota_holds_for_resumed_streams(90, &s);
    streams_are_resumed_beyond_the_quota_after_a_restart => resumed_after_restart;
    refused_request_is_admitted_after_the_stated_time => stated_time;
}
