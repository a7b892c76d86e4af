//! One instance with a clock that tests set, and readers of its actions.

use std::time::{Duration, Instant};

use rosemarypond_core::entry::budget::Allowance;
use rosemarypond_core::entry::call::{Call, Ended, Origin, Reason, Repeat};
use rosemarypond_core::entry::gossip::Gossip;
use rosemarypond_core::entry::quota::Counting;
use rosemarypond_core::entry::scheduler::{Action, Event, Options, Scheduler};
use rosemarypond_core::entry::upstream::{Location, Registration};
use rosemarypond_core::entry::watermark::Watermark;
use rosemarypond_core::id;
use rosemarypond_core::unit::Tokens;

/// Defines a test for each case and gives it a new site.
macro_rules! cases {
    ($($(#[doc = $doc:literal])* $name:ident => $body:expr;)*) => {
        $(
            $(#[doc = $doc])*
            #[test]
            fn $name() {
                let body: fn($crate::site::Site) = $body;
                body($crate::site::Site::new());
            }
        )*
    };
}

pub(crate) use cases;

/// A complete answer.
pub const WHOLE: Ended = Ended::Whole { tokens: Tokens(100) };

pub const WINDOW: Duration = Duration::from_secs(8);
pub const ALLOWANCE: Allowance =
    Allowance { ratio: 0.2, fixed: 100.0, window: Duration::from_secs(10) };

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("the name is valid")
}

pub fn registration(upstream: &str, slots: u32) -> Registration {
    Registration {
        id: name(upstream),
        service: name("models"),
        address: "127.0.0.1:1".parse().expect("the address is valid"),
        zone: name("z1"),
        slots,
        incarnation: 1,
        release: "v1".parse().ok(),
        leaving: false,
    }
}

/// One instance under test, and its clock.
pub struct Site {
    pub now: Instant,
    pub scheduler: Scheduler,
}

impl Site {
    pub fn new() -> Self {
        Self::named("a1")
    }

    pub fn named(instance: &str) -> Self {
        let options = Options {
            location: Location { instance: name(instance), zone: name("z1") },
            incarnation: id::Incarnation(1),
            allowance: ALLOWANCE,
            counting: Counting { window: WINDOW, tolerance: 0.0, tolerance_ratio: 0.0 },
            is_joining: false,
        };
        Self { now: Instant::now() + Duration::from_secs(100), scheduler: Scheduler::new(options) }
    }

    pub fn register(&mut self, upstream: &str, slots: u32) {
        self.handle(Event::Registered(registration(upstream, slots)));
    }

    pub fn call(&self, id: u64) -> Call {
        Call {
            id: id::Request(id),
            delegation: None,
            team: None,
            service: name("models"),
            route: id::Route(1),
            rank: 0,
            urgency: 0,
            repeat: Repeat::Once,
            max_attempts: 1,
            arrived: self.now,
            latency_target: self.now + ms(800),
            first_byte_deadline: self.now + ms(4_000),
            deadline: self.now + ms(8_000),
            prompt: Tokens(1_000),
            answer: Tokens(100),
            cost: Tokens(1_100),
            stream: None,
            origin: Origin::Fresh,
            fingerprint: id::Fingerprint(id),
            shared_parts: [].into(),
        }
    }

    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        self.scheduler.handle(self.now, event);
        let mut actions = self.scheduler.take_actions();
        actions.retain(|a| !matches!(a, Action::SendGossip { .. } | Action::UpdateWatermark(_)));
        actions
    }

    pub fn arrive(&mut self, call: Call) -> Vec<Action> {
        self.handle(Event::Arrived(call))
    }

    pub fn end(&mut self, id: u64, how: Ended) -> Vec<Action> {
        self.handle(Event::Ended(id::Request(id), how))
    }

    pub fn advance(&mut self, time: Duration) -> Vec<Action> {
        self.now += time;
        self.handle(Event::Tick)
    }

    pub fn gossip(&mut self, from: &str, sequence: u64) -> Gossip {
        Gossip {
            from: name(from),
            incarnation: id::Incarnation(7),
            zone: name("z1"),
            age: Duration::from_secs(60),
            sequence,
            leaving: false,
            loads: vec![],
            admitted: vec![],
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
        }
    }
}

pub fn sends(actions: &[Action]) -> Vec<(u64, String)> {
    let sent = |action: &Action| match action {
        Action::Send { request, upstream, .. } => Some((request.0, upstream.id.to_string())),
        _ => None,
    };
    actions.iter().filter_map(sent).collect()
}

pub fn refusals(actions: &[Action]) -> Vec<(u64, Reason)> {
    let refused = |action: &Action| match action {
        Action::Refuse { request, reason, .. } => Some((request.0, *reason)),
        _ => None,
    };
    actions.iter().filter_map(refused).collect()
}
