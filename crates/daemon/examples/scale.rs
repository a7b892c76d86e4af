//! Measures the time of one scheduling decision against queue length, teams,
//! upstreams and peers, and the size of heartbeats and the configuration.

use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use rosemarypond_core::claim::{Ended, Verdict};
use rosemarypond_core::config::{Document, KeyPolicy, Kind, Team, Tier, Upstream, Version, digest};
use rosemarypond_core::engine::Sharing;
use rosemarypond_core::event::{Action, Event};
use rosemarypond_core::id;
use rosemarypond_core::instance::{Identity, Instance, Options};
use rosemarypond_core::invariant::Checker;
use rosemarypond_core::member::{Body, Heartbeat, Load, Message};
use rosemarypond_core::queue::Queue;
use rosemarypond_core::request::{Repeat, Request};
use rosemarypond_core::unit::Tokens;
use rosemarypond_wire::codec::Codec;
use tokio_util::codec::Encoder;

/// The repetitions of each measured operation.
const DECISIONS: u32 = 2_000;
const SERVICES: usize = 3;
const TIERS: usize = 5;
const ZONES: usize = 13;

fn parse<T: std::str::FromStr<Err = id::Error>>(text: impl AsRef<str>) -> T {
    text.as_ref().parse().expect("a valid id")
}

fn document(teams: usize, upstreams: usize, slots: u32) -> Document {
    let tier = |n: usize| Tier { id: parse(format!("tier-{n}")), deadline_ms: 3_600_000 };
    let team = |n: usize| Team {
        id: parse(format!("team-{n}")),
        tier: parse("tier-0"),
        credential_sha256: digest(format!("credential-{n}")),
    };
    let upstream = |n: usize| Upstream {
        id: parse(format!("engine-{n}")),
        service: parse(format!("model-{}", n % SERVICES)),
        // Of 1,600 engines each of 13 zones has 123.
        zone: parse(format!("zone-{}", n / SERVICES % ZONES)),
        address: "127.0.0.1:1".parse().expect("an address"),
        kind: Kind::Engine,
        slots,
        leaving: false,
    };
    Document {
        tiers: (0..TIERS).map(tier).collect(),
        teams: (0..teams).map(team).collect(),
        upstreams: (0..upstreams).map(upstream).collect(),
        ..Document::default()
    }
}

fn instance(document: Document, now: Instant) -> Instance {
    let identity =
        Identity { id: parse("a0"), incarnation: id::Incarnation(1), zone: parse("zone-0") };
    let options =
        Options { identity, epoch: now, epoch_micros: 0, seed: 1, sharing: Sharing::Lent };
    let mut instance = Instance::new(options);
    let document = Arc::new(document);
    instance.handle(now, Event::Configured { version: Version(1), document });
    instance.take_actions();
    instance
}

fn request(number: u64, teams: usize, now: Instant) -> Request {
    Request {
        id: id::Request(number),
        team: parse(format!("team-{}", number as usize % teams)),
        rank: (number % TIERS as u64) as u8,
        service: parse(format!("model-{}", number % SERVICES as u64)),
        repeat: Repeat::Idempotent,
        key_policy: KeyPolicy::CloseKey,
        prompt: Tokens(100 + (number * 37 % 3_000) as u32),
        prefix: (0..8).map(|block| number / 4 * 8 + block).collect(),
        max_answer: None,
        arrived: now,
        deadline: now + Duration::from_secs(3_600),
    }
}

/// Sends an instance a heartbeat from each of its peers.
fn add_peers(instance: &mut Instance, now: Instant, peers: usize) {
    for peer in 0..peers {
        let message = Message {
            from: parse(format!("b{peer}")),
            incarnation: id::Incarnation(1),
            zone: parse("zone-0"),
            stamp: Default::default(),
            body: Body::Heartbeat(Heartbeat::default()),
        };
        instance.handle(now, Event::Received(message));
    }
    instance.take_actions();
}

/// Returns the time of one arrival and the end of an earlier request, in
/// microseconds.
fn decision_us(waiting: usize, teams: usize, upstreams: usize, peers: usize) -> f64 {
    let now = Instant::now();
    let mut instance = instance(document(teams, upstreams, 64), now);
    add_peers(&mut instance, now, peers);
    let mut number = 0;
    let mut running = Vec::new();
    let mut arrive = |instance: &mut Instance, running: &mut Vec<id::Request>| {
        number += 1;
        instance.handle(now, Event::Arrived(request(number, teams, now)));
        let dispatched = instance.take_actions().into_iter().filter_map(|action| match action {
            Action::Dispatch { request, .. } => Some(request),
            _ => None,
        });
        running.extend(dispatched);
    };
    // Requests wait only once the upstreams are full.
    while instance.waiting_count() < waiting && running.len() < 200_000 {
        arrive(&mut instance, &mut running);
    }
    let begin = Instant::now();
    let mut decisions = 0;
    for index in 0..DECISIONS as usize {
        arrive(&mut instance, &mut running);
        let Some(request) = running.get(index).copied() else { break };
        decisions += 1;
        instance.handle(now, Event::FirstToken(request));
        let (how, tokens) = (Ended::Whole, Tokens(100));
        instance.handle(now, Event::Ended { request, how, tokens });
        for action in instance.take_actions() {
            if let Action::Dispatch { request, .. } = action {
                running.push(request);
            }
        }
    }
    begin.elapsed().as_secs_f64() * 1e6 / f64::from(decisions.max(1))
}

/// Returns the time to queue one request and remove another, in microseconds.
fn queue_us(waiting: usize, teams: usize) -> f64 {
    let now = Instant::now();
    let mut queue = Queue::default();
    for number in 0..waiting as u64 {
        queue.push(request(number, teams, now));
    }
    let begin = Instant::now();
    for number in 0..u64::from(DECISIONS) {
        queue.push(request(waiting as u64 + number, teams, now));
        let first = queue.first().expect("a request is queued").id;
        black_box(queue.take(first, 100));
    }
    begin.elapsed().as_secs_f64() * 1e6 / f64::from(DECISIONS)
}

/// Returns the time of one tick, in microseconds.
fn tick_us(held: usize, upstreams: usize, peers: usize) -> f64 {
    let now = Instant::now();
    let mut instance = instance(document(5, upstreams, 64), now);
    add_peers(&mut instance, now, peers);
    for number in 0..held as u64 {
        instance.handle(now, Event::Arrived(request(number, 5, now)));
    }
    instance.take_actions();
    let begin = Instant::now();
    for offset in 0..DECISIONS {
        instance.handle(now + Duration::from_micros(u64::from(offset)), Event::Tick);
        black_box(instance.take_actions());
    }
    begin.elapsed().as_secs_f64() * 1e6 / f64::from(DECISIONS)
}

/// Returns the time that checking the invariants adds to a request, in
/// microseconds.
fn invariants_us() -> f64 {
    let mut checker = Checker::default();
    let begin = Instant::now();
    for number in 0..u64::from(DECISIONS) {
        checker.check_dispatch(id::Request(number), true);
        checker.check_answer(id::Request(number), Verdict::Deliver);
    }
    begin.elapsed().as_secs_f64() * 1e6 / f64::from(DECISIONS)
}

fn heartbeat_bytes(loads: usize) -> usize {
    let load = |n: usize| Load {
        service: parse(format!("model-{}", n % SERVICES)),
        rank: (n / SERVICES) as u8,
        waiting: 1_000,
        cancellable: 100,
    };
    let heartbeat = Heartbeat { loads: (0..loads).map(load).collect(), ..Heartbeat::default() };
    let message = Message {
        from: parse("region-1-zone-a-17"),
        incarnation: id::Incarnation(1_764_806_400_000_000),
        zone: parse("region-1-zone-a"),
        stamp: rosemarypond_core::timeline::Stamp { micros: 1_764_806_400_000_000, count: 3 },
        body: Body::Heartbeat(heartbeat),
    };
    let mut buffer = BytesMut::new();
    // Frames within a zone omit the zone.
    let frame =
        rosemarypond_wire::Frame { zone: String::new(), ..rosemarypond::peer::frame(&message) };
    let encoded = Codec::default().encode(frame, &mut buffer);
    encoded.expect("a heartbeat is a short frame");
    buffer.len()
}

/// Returns the result of `work` and its time in milliseconds.
fn timed<T>(work: impl FnOnce() -> T) -> (T, f64) {
    let begin = Instant::now();
    let result = work();
    (result, begin.elapsed().as_secs_f64() * 1e3)
}

fn print_configuration(teams: usize) {
    let text =
        serde_json::to_string(&document(teams, 1_600, 64)).expect("a document always serializes");
    let (parsed, parse_ms) = timed(|| Document::parse(&text).expect("the document is valid"));
    let (_, found_ms) = timed(|| {
        for n in 0..1_000 {
            black_box(parsed.team(format!("credential-{}", n * 17 % teams)));
        }
    });
    println!(
        "teams {teams:6}: document {:8} bytes, read and checked in {parse_ms:7.2} ms, a team found in {found_ms:8.2} us",
        text.len()
    );
}

fn main() {
    println!("one arrival, first token and end (us), against waiting requests:");
    for waiting in [1, 10, 100, 1_000, 5_000] {
        println!("  waiting {waiting:6}: {:8.2}", decision_us(waiting, 5, 12, 6));
    }
    println!("the queue alone, one in and one out (us):");
    for (waiting, teams) in [(1, 5), (100, 5), (10_000, 5), (100_000, 5), (100_000, 18_000)] {
        println!("  waiting {waiting:6}, teams {teams:5}: {:8.2}", queue_us(waiting, teams));
    }
    println!("against teams:");
    for teams in [5, 50, 500, 5_000, 18_000] {
        println!("  teams {teams:6}: {:8.2}", decision_us(1_000, teams, 12, 6));
    }
    println!("against upstreams (of them in the zone):");
    for upstreams in [39, 160, 400, 800, 1_600] {
        println!("  upstreams {upstreams:6}: {:8.2}", decision_us(100, 5, upstreams, 6));
    }
    println!("against peers in the zone:");
    for peers in [2, 6, 31, 100, 200] {
        println!("  peers {peers:6}: {:8.2}", decision_us(100, 5, 160, peers));
    }
    println!("one tick (us):");
    for (held, upstreams, peers) in
        [(10, 12, 6), (300, 12, 6), (300, 1_600, 6), (300, 1_600, 31), (2_000, 1_600, 31)]
    {
        let time = tick_us(held, upstreams, peers);
        println!("  held {held:5}, upstreams {upstreams:5}, peers {peers:3}: {time:8.2}");
    }
    println!("checking the invariants of one request (us): {:.3}", invariants_us());
    println!("a heartbeat's frame (bytes):");
    for loads in [0, 5, SERVICES * TIERS] {
        println!("  loads {loads:3}: {}", heartbeat_bytes(loads));
    }
    println!("the configuration:");
    for teams in [5, 500, 5_000, 18_000] {
        print_configuration(teams);
    }
}
