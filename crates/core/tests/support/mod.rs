//! A test harness: an instance on a stakker runtime with virtual time.

#![allow(dead_code, reason = "each test file uses only a part of the harness")]

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rosemarypond_core::actor::Node;
use rosemarypond_core::config::{Document, KeyPolicy, Kind, Tier, Upstream, Version};
use rosemarypond_core::engine::Sharing;
use rosemarypond_core::event::{Action, Event};
use rosemarypond_core::id;
use rosemarypond_core::instance::{Identity, Instance, Options};
use rosemarypond_core::member::{Body, Message};
use rosemarypond_core::request::{Key, Repeat, Request};
use rosemarypond_core::unit::Tokens;
use stakker::{ActorOwn, Stakker, actor, call, fwd_do, ret_nop};

pub fn parse<T: std::str::FromStr<Err = id::Error>>(text: &str) -> T {
    text.parse().expect("a valid id")
}

/// A configuration with three tiers of 20 s and one engine.
pub fn document(slots: u32) -> Document {
    let tier = |id: &str| Tier { id: parse(id), deadline_ms: 20_000 };
    let engine = Upstream {
        id: parse("e1"),
        service: parse("models"),
        zone: parse("accra-a"),
        address: "127.0.0.1:1".parse().expect("an address"),
        kind: Kind::Engine,
        slots,
        leaving: false,
    };
    Document {
        tiers: ["proof", "draft", "status"].map(tier).to_vec(),
        upstreams: vec![engine],
        ..Document::default()
    }
}

/// An idempotent request; [`Harness::arrive`] sets its times.
pub fn request(number: u64, rank: u8) -> Request {
    let now = Instant::now();
    Request {
        id: id::Request(number),
        team: parse("osei"),
        rank,
        service: parse("models"),
        repeat: Repeat::Idempotent,
        key_policy: KeyPolicy::CloseKey,
        prompt: Tokens(100),
        prefix: Vec::new(),
        max_answer: None,
        arrived: now,
        deadline: now,
    }
}

/// A request with an idempotency key.
pub fn keyed_request(number: u64, rank: u8) -> Request {
    let key = Key { team: parse("osei"), text: format!("key-{number}"), fingerprint: 1 };
    Request { repeat: Repeat::Keyed(key), ..request(number, rank) }
}

pub struct Harness {
    runtime: Stakker,
    node: ActorOwn<Node>,
    actions: Rc<RefCell<Vec<Action>>>,
    now: Instant,
}

impl Harness {
    /// Creates an instance of zone accra-a with the configuration `document`.
    pub fn new(document: Document) -> Self {
        let now = Instant::now();
        let mut runtime = Stakker::new(now);
        let actions = Rc::new(RefCell::new(Vec::new()));
        let collected = Rc::clone(&actions);
        let sink = fwd_do!(move |action| collected.borrow_mut().push(action));
        let identity =
            Identity { id: parse("a1"), incarnation: id::Incarnation(1), zone: parse("accra-a") };
        let sharing = Sharing::Lent;
        let options = Options { identity, epoch: now, epoch_micros: 0, seed: 1, sharing };
        let node = actor!(runtime, Node::init(options, sink), ret_nop!());
        let mut harness = Self { runtime, node, actions, now };
        harness.configure(1, document);
        harness
    }

    pub fn configure(&mut self, version: u64, document: Document) {
        let document = Arc::new(document);
        self.send(Event::Configured { version: Version(version), document });
    }

    /// Sends an event to the instance and returns its actions.
    pub fn send(&mut self, event: Event) -> Vec<Action> {
        call!([self.node], event(event));
        self.runtime.run(self.now, false);
        self.actions.take()
    }

    pub fn arrive(&mut self, request: Request) -> Vec<Action> {
        let deadline = self.now + Duration::from_secs(20);
        self.send(Event::Arrived(Request { arrived: self.now, deadline, ..request }))
    }

    pub fn receive(&mut self, from: &str, incarnation: u64, body: Body) -> Vec<Action> {
        self.send(Event::Received(Message {
            from: parse(from),
            incarnation: id::Incarnation(incarnation),
            zone: parse("accra-a"),
            stamp: Default::default(),
            body,
        }))
    }

    /// Advances the virtual time and returns the instance's actions.
    pub fn advance(&mut self, by: Duration) -> Vec<Action> {
        let end = self.now + by;
        while let Some(next) = self.runtime.next_expiry().filter(|next| *next <= end) {
            self.now = self.now.max(next);
            self.runtime.run(self.now, false);
        }
        self.now = end;
        self.runtime.run(end, false);
        self.actions.take()
    }

    pub fn query<T>(&mut self, read: impl FnOnce(&Instance) -> T) -> T {
        let result = self.node.query(&mut self.runtime, |node, _| read(node.instance()));
        result.expect("the actor is running")
    }
}
