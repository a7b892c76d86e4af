//! The cost of an entry instance's decisions by the number of upstreams, peers and
//! waiting requests.

use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use rosemarypond_core::config::Version;
use rosemarypond_core::entry::budget::Allowance;
use rosemarypond_core::entry::call::{Call, Ended, Origin, Repeat};
use rosemarypond_core::entry::gossip::{Gossip, Load};
use rosemarypond_core::entry::pace::Pace;
use rosemarypond_core::entry::plan::{Limit, Limits, Plan, Team};
use rosemarypond_core::entry::quota::Counting;
use rosemarypond_core::entry::scheduler::{Event, Options, Scheduler};
use rosemarypond_core::entry::upstream::{Location, Registration};
use rosemarypond_core::entry::watermark::Watermark;
use rosemarypond_core::id;
use rosemarypond_core::unit::Tokens;

const SLOTS: u32 = 4;
const TEAMS: usize = 19;
/// How many upstreams a peer uses at once.
const LOADS_PER_PEER: usize = 3;
const STEP: Duration = Duration::from_millis(1);

fn name<T: std::str::FromStr>(text: String) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("the name is valid")
}

/// One instance, its clock, and how many upstreams and peers it has.
struct Site {
    scheduler: Scheduler,
    now: Instant,
    upstreams: usize,
    peers: usize,
    messages: u64,
    requests: u64,
}

impl Site {
    fn new(upstreams: usize, peers: usize) -> Self {
        let scheduler = Scheduler::new(Options {
            location: Location { instance: name("own".into()), zone: name("z1".into()) },
            incarnation: id::Incarnation(1),
            allowance: Allowance { ratio: 0.2, fixed: 400.0, window: Duration::from_secs(10) },
            counting: Counting {
                window: Duration::from_secs(8),
                tolerance: 190_000.0,
                tolerance_ratio: 0.1,
            },
            is_joining: false,
        });
        let now = Instant::now() + Duration::from_secs(100);
        let mut site = Self { scheduler, now, upstreams, peers, messages: 0, requests: 0 };
        site.handle(Event::Configured(Arc::new(plan())));
        for index in 0..upstreams {
            site.handle(Event::Registered(registration(index)));
        }
        for peer in 0..peers {
            site.receive(peer);
        }
        site
    }

    fn handle(&mut self, event: Event) {
        self.scheduler.handle(self.now, event);
        black_box(self.scheduler.take_actions());
    }

    fn receive(&mut self, peer: usize) {
        self.messages += 1;
        let load = |index: usize| Load {
            upstream: name(format!("e{}", (peer * 7 + index) % self.upstreams)),
            running: 1,
            prefill: Tokens(1_000),
            pace: Pace::default(),
            rejection_limit: None,
        };
        let gossip = Gossip {
            from: name(format!("i{peer}")),
            incarnation: id::Incarnation(7),
            zone: name("z1".into()),
            age: Duration::from_secs(60),
            sequence: self.messages,
            leaving: false,
            loads: (0..LOADS_PER_PEER).map(load).collect(),
            admitted: (0..TEAMS).map(|team| (name(format!("t{team}")), self.messages)).collect(),
            digest: None,
            leaving_upstreams: vec![],
            limits: vec![],
            dangers: Box::default(),
            begun: vec![],
            asked: vec![],
            reaches: vec![],
            trials: vec![],
            condemned: vec![],
            needs: vec![],
            watermark: Watermark::default(),
        };
        self.handle(Event::Received(Box::new(gossip)));
    }

    fn call(&mut self) -> Call {
        self.requests += 1;
        Call {
            id: id::Request(self.requests),
            delegation: None,
            team: Some(name(format!("t{}", self.requests as usize % TEAMS))),
            service: name("models".into()),
            route: id::Route(1),
            rank: 0,
            urgency: 0,
            repeat: Repeat::Once,
            max_attempts: 1,
            arrived: self.now,
            latency_target: self.now + Duration::from_secs(3_600),
            first_byte_deadline: self.now + Duration::from_secs(7_200),
            deadline: self.now + Duration::from_secs(7_200),
            prompt: Tokens(1_000),
            answer: Tokens(100),
            cost: Tokens(1_100),
            stream: None,
            origin: Origin::Fresh,
            fingerprint: id::Fingerprint(self.requests),
            shared_parts: [].into(),
        }
    }

    fn arrive(&mut self) {
        let call = self.call();
        self.handle(Event::Arrived(call));
    }

    /// Fills all slots, and lets further requests wait.
    fn fill(&mut self, waiting: usize) {
        for _ in 0..self.upstreams * SLOTS as usize + waiting {
            self.arrive();
        }
    }
}

fn plan() -> Plan {
    let team = |index: usize| Team {
        id: name(format!("t{index}")),
        rank: None,
        quota: Some(Limit { rate: 1e12, burst: 1e12 }),
        default_cost: 1,
    };
    let teams = (0..TEAMS).map(|index| (team(index), vec![format!("key{index}")]));
    Plan::new(Version(1), Limits::default(), [], teams, [])
}

fn registration(index: usize) -> Registration {
    Registration {
        id: name(format!("e{index}")),
        service: name("models".into()),
        address: "127.0.0.1:1".parse().expect("the address is valid"),
        zone: name("z1".into()),
        slots: SLOTS,
        incarnation: 1,
        release: "v1".parse().ok(),
        leaving: false,
    }
}

/// Upstreams and peers.
const SIZES: [(usize, usize); 3] = [(122, 40), (122, 195), (1_600, 195)];

fn decisions(criterion: &mut Criterion) {
    for (upstreams, peers) in SIZES {
        let size = format!("{upstreams} upstreams, {peers} peers");
        let mut site = Site::new(upstreams, peers);
        let mut peer = 0;
        criterion.bench_with_input(
            BenchmarkId::new("receive gossip", &size),
            &(),
            |bencher, ()| {
                bencher.iter(|| {
                    peer = (peer + 1) % site.peers;
                    site.now += STEP;
                    site.receive(peer);
                });
            },
        );
        let mut site = Site::new(upstreams, peers);
        criterion.bench_with_input(BenchmarkId::new("tick idle", &size), &(), |bencher, ()| {
            bencher.iter(|| {
                site.now += STEP / 1_000;
                site.handle(Event::Tick);
            });
        });
        let mut site = Site::new(upstreams, peers);
        criterion.bench_with_input(BenchmarkId::new("serve request", &size), &(), |bencher, ()| {
            bencher.iter(|| {
                site.arrive();
                let how = Ended::Whole { tokens: Tokens(100) };
                site.handle(Event::Ended(id::Request(site.requests), how));
            });
        });
        let mut site = Site::new(upstreams, 0);
        site.fill(300);
        criterion.bench_with_input(
            BenchmarkId::new("tick with 300 waiting", &size),
            &(),
            |bencher, ()| {
                bencher.iter(|| {
                    site.now += STEP / 1_000;
                    site.handle(Event::Tick);
                });
            },
        );
    }
}

criterion_group!(benches, decisions);
criterion_main!(benches);
