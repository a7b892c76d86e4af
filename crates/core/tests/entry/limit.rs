//! The limit that an engine names holds over all instances, also where messages are
//! lost, instances restart and requests are sent again; what it allows is used.

use std::time::{Duration, Instant};

use rosemarypond_core::unit::RequestRate;

use crate::network::{LARGE, MEDIUM, Network, SMALL, STEP, Size};
use crate::site::{Site, cases, ms};

/// The time from the first answer with a limit from which it holds.
const CONTACT: Duration = Duration::from_secs(3);
/// The time over which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// The most requests that may reach an engine in [`WINDOW`].
fn allowed(rate: f64) -> usize {
    (1.5 * rate * WINDOW.as_secs_f64() + 5.0) as usize
}

/// The most that reached an engine in [`WINDOW`], later than `from`.
fn most_in_window(network: &Network, engine: usize, from: Instant) -> usize {
    let arrivals = network.arrivals.iter().filter(|a| a.engine == engine && a.at > from);
    let times: Vec<_> = arrivals.map(|a| a.at).collect();
    let mut first = 0;
    let mut most = 0;
    for (last, at) in times.iter().enumerate() {
        while at.saturating_duration_since(times[first]) >= WINDOW {
            first += 1;
        }
        most = most.max(last + 1 - first);
    }
    most
}

/// How many reached an engine between two times.
fn arrivals_between(network: &Network, engine: usize, from: Instant, to: Instant) -> usize {
    let is_counted = |a: &&crate::network::Arrival| a.engine == engine && a.at > from && a.at <= to;
    network.arrivals.iter().filter(is_counted).count()
}

/// Sends `rate` requests per second.
fn traffic(rate: f64) -> impl FnMut(&mut Network) {
    let mut due = 0.0;
    move |network| {
        due += rate * STEP.as_secs_f64();
        while due >= 1.0 {
            due -= 1.0;
            network.request("sound", &[1, 2]);
        }
    }
}

/// Every third engine names a limit; requests press on all of them.
fn with_limits(network: &mut Network, rate: f64) -> Vec<usize> {
    let limited: Vec<_> = (0..network.size.engines).step_by(3).collect();
    network.limits = limited.iter().map(|engine| (*engine, RequestRate(rate))).collect();
    limited
}

fn demand(size: Size) -> f64 {
    size.engines as f64 * 6.0
}

fn check(network: &Network, limited: &[usize], rate: f64, from: Instant) {
    for engine in limited {
        let most = most_in_window(network, *engine, from);
        assert!(most <= allowed(rate), "engine {engine} got {most}, limit {rate}");
    }
}

/// Checks that limited engines get more than half of what they take.
fn check_use(network: &Network, limited: &[usize], rate: f64, from: Instant) {
    let seconds = network.now.duration_since(from).as_secs_f64();
    let got: usize = limited.iter().map(|e| arrivals_between(network, *e, from, network.now)).sum();
    let taken = rate * seconds * limited.len() as f64;
    assert!(got as f64 > taken * 0.5, "{got} of {taken}, limit {rate}");
}

fn limit(size: Size, rates: &[f64]) {
    for (seed, rate) in rates.iter().enumerate() {
        let mut network = Network::new(size, seed as u64);
        let mut traffic = traffic(demand(size));
        network.play(Duration::from_secs(2), &mut traffic);
        let limited = with_limits(&mut network, *rate);
        let from = network.now + CONTACT;
        network.play(Duration::from_secs(18), &mut traffic);
        check(&network, &limited, *rate, from);
        check_use(&network, &limited, *rate, from);
    }
}

/// All engines are limited, and callers want more than they take.
fn all_limited(_site: Site) {
    let mut network = Network::new(SMALL, 1);
    let mut traffic = traffic(40.0);
    network.limits = (0..SMALL.engines).map(|engine| (engine, RequestRate(1.0))).collect();
    let from = network.now + CONTACT;
    network.play(Duration::from_secs(30), &mut traffic);
    let limited: Vec<_> = (0..SMALL.engines).collect();
    check(&network, &limited, 1.0, from);
    check_use(&network, &limited, 1.0, from);
}

fn lost_gossip(_site: Site) {
    for seed in 0..4 {
        for rate in [1.0, 3.0] {
            let mut network = Network::new(SMALL, seed);
            network.loss = 0.4;
            let limited = with_limits(&mut network, rate);
            let from = network.now + CONTACT;
            network.play(Duration::from_secs(20), traffic(60.0));
            check(&network, &limited, rate, from);
        }
    }
}

/// Instances restart one after the other, again and again, and all at once.
fn restarts(_site: Site) {
    for seed in 0..4 {
        let mut network = Network::new(SMALL, seed);
        let limited = with_limits(&mut network, 1.0);
        let mut traffic = traffic(60.0);
        let from = network.now + CONTACT;
        network.play(Duration::from_secs(4), &mut traffic);
        for round in 0..12 {
            network.restart(|index| index == round % SMALL.instances);
            network.play(ms(900), &mut traffic);
        }
        check(&network, &limited, 1.0, from);
        network.restart(|_| true);
        // What restarted instances send at first is excused.
        let from = network.now + CONTACT;
        network.play(Duration::from_secs(12), &mut traffic);
        check(&network, &limited, 1.0, from);
    }
}

/// Engines reject half of the requests, which are sent again.
fn rejections(_site: Site) {
    for rate in [0.5, 1.0, 4.0] {
        let mut network = Network::new(SMALL, 2);
        network.rejected = 0.5;
        let limited = with_limits(&mut network, rate);
        let from = network.now + CONTACT;
        network.play(Duration::from_secs(20), traffic(60.0));
        check(&network, &limited, rate, from);
    }
}

/// Nothing is sent for a while, and then all instances want to send at once.
fn burst_after_calm(size: Size, seeds: u64) {
    for seed in 0..seeds {
        let mut network = Network::new(size, seed);
        let limited = with_limits(&mut network, 1.0);
        let from = network.now + CONTACT;
        network.play(Duration::from_secs(6), traffic(demand(size)));
        for _ in 0..3 {
            network.play(Duration::from_secs(9), |_| {});
            for index in 0..size.instances * 4 {
                network.request_to(index % size.instances, "sound", &[1, 2]);
            }
            network.play(Duration::from_secs(5), traffic(demand(size)));
        }
        check(&network, &limited, 1.0, from);
    }
}

/// An engine that names no limit any more is used as before, and limited again when
/// it names one again.
fn lifted(size: Size) {
    let mut network = Network::new(size, 1);
    let limited = with_limits(&mut network, 1.0);
    let mut traffic = traffic(demand(size));
    network.play(Duration::from_secs(8), &mut traffic);
    network.limits.clear();
    network.play(Duration::from_secs(3), &mut traffic);
    let from = network.now;
    network.play(Duration::from_secs(6), &mut traffic);
    for engine in limited {
        let got = arrivals_between(&network, engine, from, network.now);
        assert!(got > 12, "engine {engine} got {got} in 6 s");
    }
    let limited = with_limits(&mut network, 1.0);
    let from = network.now + CONTACT;
    network.play(Duration::from_secs(12), &mut traffic);
    check(&network, &limited, 1.0, from);
    check_use(&network, &limited, 1.0, from);
}

/// A lower limit holds once the engine names it.
fn lowered(_site: Site) {
    let mut network = Network::new(SMALL, 1);
    let mut traffic = traffic(60.0);
    with_limits(&mut network, 4.0);
    network.play(Duration::from_secs(8), &mut traffic);
    let limited = with_limits(&mut network, 1.0);
    network.play(CONTACT, &mut traffic);
    let from = network.now + WINDOW;
    network.play(Duration::from_secs(16), &mut traffic);
    check(&network, &limited, 1.0, from);
}

cases! {
    limit_holds_over_6_instances => |_| limit(SMALL, &[0.0, 0.3, 1.0, 1.3, 2.5, 8.0]);
    limit_holds_over_60_instances => |_| limit(MEDIUM, &[1.0, 3.0]);
    limit_holds_over_195_instances => |_| limit(LARGE, &[1.0]);
    limit_holds_where_all_engines_are_limited => all_limited;
    limit_holds_where_gossip_is_lost => lost_gossip;
    limit_holds_when_instances_restart => restarts;
    limit_holds_for_requests_that_are_sent_again => rejections;
    limit_holds_when_all_instances_send_after_a_calm => |_| burst_after_calm(SMALL, 4);
    limit_holds_when_60_instances_send_after_a_calm => |_| burst_after_calm(MEDIUM, 1);
    engine_without_a_limit_any_more_is_used_as_before => |_| lifted(SMALL);
    engine_without_a_limit_any_more_is_used_by_60_instances => |_| lifted(MEDIUM);
    lower_limit_holds_once_it_is_named => lowered;
}
