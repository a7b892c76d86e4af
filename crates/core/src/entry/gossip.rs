//! The state that instances send each other. Each message holds the whole state
//! that its receivers get, so that a lost message only delays the next update.

use std::time::Duration;

use super::pace::Pace;
use super::rollout::tally::Tally;
use super::watermark::Watermark;
use crate::id;
use crate::unit::{RequestRate, Tokens};

/// The sender's load on one upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Load {
    /// The upstream.
    pub upstream: id::Upstream,
    /// Requests of the sender that run on it.
    pub running: u32,
    /// Prompt tokens of those whose first answer token has not come.
    pub prefill: Tokens,
    /// The sender's estimate of its speed.
    pub pace: Pace,
    /// The rejections per second beyond which it crashes, if it named them.
    pub rejection_limit: Option<u32>,
}

/// An upstream that said in an answer that it is leaving.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Leaving {
    /// The upstream.
    pub upstream: id::Upstream,
    /// The incarnation of the upstream that is leaving.
    pub incarnation: u64,
}

/// The limit that an upstream named in an answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Limit {
    /// The upstream.
    pub upstream: id::Upstream,
    /// Its incarnation.
    pub incarnation: u64,
    /// The requests per second that it takes from all instances together; none if
    /// it names no limit any more.
    pub rate: Option<RequestRate>,
    /// How long ago it said so.
    pub age: Duration,
    /// The requests that the sender has sent it since the sender's start.
    pub sent: u64,
}

/// What a relay reports of its availability zone to the other zones.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Digest {
    /// The instances of the zone that may be running, including the relay.
    pub instances: u32,
    /// Those of them that the relay does not hear.
    pub silent: u32,
    /// The tokens that the zone has admitted since the relay's start, by team.
    pub admitted: Vec<(id::Team, u64)>,
    /// What the relay knows of rollouts in its zone.
    pub trials: Vec<Trial>,
    /// What the zone needs of other zones.
    pub needs: Vec<Need>,
    /// What the zone offers to others.
    pub offers: Vec<Offer>,
}

/// What an instance, or the instances of a zone, know of a rollout.
#[derive(Clone, Debug, PartialEq)]
pub struct Trial {
    /// The service.
    pub service: id::Service,
    /// The version to which its traffic is moved.
    pub to: id::Release,
    /// The store's version of the order.
    pub order: u64,
    /// The number of the step that is known; in a digest the earliest that an instance of
    /// the zone knows.
    pub step: u32,
    /// Requests that run.
    pub running: u32,
    /// Those of them that run on engines of other versions.
    pub old_running: u32,
    /// What was counted since the order.
    pub tally: Tally,
}

/// A version that was proved to be bad.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Condemned {
    /// The service.
    pub service: id::Service,
    /// The version.
    pub to: id::Release,
    /// The store's version of the order.
    pub order: u64,
}

/// How much of a service is needed in other availability zones.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Need {
    /// The service.
    pub service: id::Service,
    /// The requests that wait.
    pub waiting: u32,
    /// The slots of other zones that are needed, with those in use.
    pub slots: u32,
}

/// Slots of an upstream that another availability zone may use for a second.
#[derive(Clone, Debug, PartialEq)]
pub struct Offer {
    /// The upstream.
    pub upstream: id::Upstream,
    /// The zone that may use them.
    pub zone: id::Zone,
    /// The most requests of the zone that may run on it at once.
    pub slots: u32,
    /// Its estimated speed.
    pub pace: Pace,
}

/// A request whose connection an upstream ended before its answer was complete.
#[derive(Clone, Debug, PartialEq)]
pub struct Lost {
    /// The same for a request that comes again.
    pub fingerprint: id::Fingerprint,
    /// The time from when it was sent to the end of its connection.
    pub ran: Duration,
    /// The shared parts of its prompt.
    pub parts: Vec<id::Part>,
}

/// An upstream that ended the connections on which it had begun to answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Crash {
    /// The upstream.
    pub upstream: id::Upstream,
    /// Its incarnation.
    pub incarnation: u64,
    /// Its service.
    pub service: id::Service,
    /// How long ago.
    pub age: Duration,
    /// The requests that it was answering.
    pub requests: Vec<Lost>,
    /// Whether it was seen alive afterwards.
    pub is_refuted: bool,
}

/// What a crash may speak against.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Suspect {
    /// A part of prompts.
    Part(id::Part),
    /// A request that comes again.
    Request(id::Fingerprint),
}

/// What was answered without a crash.
#[derive(Clone, Debug, PartialEq)]
pub struct Answered {
    /// What it is.
    pub suspect: Suspect,
    /// How long ago.
    pub age: Duration,
}

/// What crashes upstreams.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Cause {
    /// Prompts that have all of these parts.
    Parts(Vec<id::Part>),
    /// A request that comes again.
    Request(id::Fingerprint),
}

/// What is kept from upstreams.
#[derive(Clone, Debug, PartialEq)]
pub struct Quarantined {
    /// What it is.
    pub cause: Cause,
    /// For how long.
    pub age: Duration,
    /// The time since such a request was answered completely, if it was.
    pub lifted_age: Option<Duration>,
}

/// Streams that upstreams of one software version began.
#[derive(Clone, Debug, PartialEq)]
pub struct Begun {
    /// The version.
    pub release: id::Release,
    /// The streams.
    pub streams: Vec<id::Stream>,
}

/// What the sender knows of requests that crash upstreams.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Dangers {
    /// The latest crashes.
    pub crashes: Vec<Crash>,
    /// What crashes speak against, and answers since then for.
    pub answered: Vec<Answered>,
    /// What is in quarantine.
    pub quarantined: Vec<Quarantined>,
    /// The complete answers that the sender has passed on since its start, by service;
    /// empty without a crash in the last minutes.
    pub answers: Vec<(id::Service, u64)>,
}

/// How much of a service the sender can reach over the network.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Reach {
    /// The service.
    pub service: id::Service,
    /// The slots of the upstreams that it can reach.
    pub slots: u32,
}

/// The state of an instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Gossip {
    /// The sender.
    pub from: id::Instance,
    /// The sender's incarnation; each start of the process has its own.
    pub incarnation: id::Incarnation,
    /// The sender's availability zone.
    pub zone: id::Zone,
    /// The time since the sender's start.
    pub age: Duration,
    /// Increases with each message of an incarnation.
    pub sequence: u64,
    /// Whether the sender is leaving.
    pub leaving: bool,
    /// The sender's load on each upstream that it uses; empty where the message is
    /// only for other availability zones: those are told the loads of the sender's zone on
    /// their upstreams.
    pub loads: Vec<Load>,
    /// The tokens that it has admitted since its start, by team.
    pub admitted: Vec<(id::Team, u64)>,
    /// What the sender reports of its zone; none where the message is not for
    /// other availability zones.
    pub digest: Option<Digest>,
    /// The upstreams that are known to be leaving by what they answered.
    pub leaving_upstreams: Vec<Leaving>,
    /// The limits of upstreams.
    pub limits: Vec<Limit>,
    /// What it knows of requests that crash upstreams.
    pub dangers: Box<Dangers>,
    /// The streams that have begun lately, and those that were asked about.
    pub begun: Vec<Begun>,
    /// The streams that the sender asks about.
    pub asked: Vec<id::Stream>,
    /// The services of which the sender cannot reach all upstreams.
    pub reaches: Vec<Reach>,
    /// What it knows of rollouts; empty where the message is only for other zones.
    pub trials: Vec<Trial>,
    /// The versions that it knows to be bad.
    pub condemned: Vec<Condemned>,
    /// What the sender needs of other availability zones.
    pub needs: Vec<Need>,
    /// What it knows of the shared store.
    pub watermark: Watermark,
}
