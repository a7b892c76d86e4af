//! The other entry instances, as one instance knows them.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use crate::config;
use crate::engine::Position;
use crate::hash::stable_hash;
use crate::id;
use crate::timeline::Stamp;

/// How often an instance tells its zone how it is while requests wait.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// How often it tells its zone while none waits, and other zones at all times.
pub const IDLE_INTERVAL: Duration = Duration::from_secs(1);
/// A peer that was not heard for this long is taken to be gone.
pub const PEER_TIMEOUT: Duration = Duration::from_secs(3);
/// How long a lent slot may be used before it is the lender's again.
pub const LEASE_DURATION: Duration = Duration::from_secs(30);

/// How much of one service and tier an instance holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Load {
    /// The service.
    pub service: id::Service,
    /// The rank of the tier.
    pub rank: u8,
    /// Requests that wait.
    pub waiting: u32,
    /// Running requests that may be cancelled to make room.
    pub cancellable: u32,
}

/// How an instance is.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Heartbeat {
    /// The version of the configuration that it follows.
    pub config: config::Version,
    /// Whether it takes no new requests.
    pub draining: bool,
    /// What it holds.
    pub loads: Vec<Load>,
    /// Upstreams that told it that they are leaving.
    pub leaving: Vec<id::Upstream>,
}

/// What instances tell each other.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Body {
    /// How the sender is.
    Heartbeat(Heartbeat),
    /// The sender has a request that finds no room.
    MakeRoom {
        /// The service that it asks for.
        service: id::Service,
        /// Its rank; only work below it makes room.
        rank: u8,
    },
    /// The receiver may use one slot of the sender's share.
    Lend {
        /// The upstream.
        upstream: id::Upstream,
    },
    /// The receiver gets a lent slot back.
    Return {
        /// The upstream.
        upstream: id::Upstream,
    },
    /// The sender wants the configuration that the receiver follows.
    WantConfig,
    /// The configuration that the sender follows.
    Config {
        /// Its version.
        version: config::Version,
        /// Its text.
        text: String,
    },
}

/// A message with where and when it was sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Message {
    /// The sender.
    pub from: id::Instance,
    /// The sender's life.
    pub incarnation: id::Incarnation,
    /// The sender's availability zone.
    pub zone: id::Zone,
    /// When it was sent, by the sender's hybrid clock.
    pub stamp: Stamp,
    /// What it says.
    pub body: Body,
}

/// A peer as it was last heard.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Its life.
    pub incarnation: id::Incarnation,
    /// Its availability zone.
    pub zone: id::Zone,
    /// When it was last heard.
    pub last_received: Instant,
    /// What it said of itself.
    pub heartbeat: Heartbeat,
    /// Slots that were lent to it.
    pub lent: Leases,
    /// Slots that it lent to this instance.
    pub borrowed: Leases,
}

/// Slots by upstream, each with the time at which its lease ends.
///
/// A lease ends by itself, so that a lost message costs a slot for a while
/// only.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Leases(BTreeMap<id::Upstream, VecDeque<Instant>>);

impl Leases {
    /// Adds a slot until `end`.
    pub fn add(&mut self, upstream: id::Upstream, end: Instant) {
        self.0.entry(upstream).or_default().push_back(end);
    }

    /// Ends the oldest lease of an upstream's slot; says whether there was one.
    pub fn end(&mut self, upstream: &id::Upstream) -> bool {
        let ended = self.0.get_mut(upstream).and_then(VecDeque::pop_front);
        self.0.retain(|_, ends| !ends.is_empty());
        ended.is_some()
    }

    /// Whether a slot of an upstream is leased.
    pub fn has(&self, upstream: &id::Upstream) -> bool {
        self.0.contains_key(upstream)
    }

    /// Ends the leases that are over and gives a name for each.
    pub fn expire(&mut self, now: Instant) -> Vec<id::Upstream> {
        let mut over = Vec::new();
        for (upstream, ends) in &mut self.0 {
            let before = ends.len();
            ends.retain(|end| *end > now);
            over.extend(std::iter::repeat_n(upstream.clone(), before - ends.len()));
        }
        self.0.retain(|_, ends| !ends.is_empty());
        over
    }

    /// The upstreams with how many slots are leased.
    pub fn counts(&self) -> impl Iterator<Item = (&id::Upstream, u32)> {
        self.0.iter().map(|(upstream, ends)| (upstream, ends.len() as u32))
    }
}

/// What hearing a message changed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// The sender was known in this life.
    Known,
    /// The sender is new or was restarted; slots of its former life are listed.
    Joined(Slots),
    /// The message is from a former life and is not to be acted on.
    Stale,
}

/// Slots that were lent to and borrowed from a peer that is gone.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Slots {
    /// Slots that were lent to it.
    pub lent: Leases,
    /// Slots that it had lent.
    pub borrowed: Leases,
}

/// The peers of an instance.
#[derive(Debug, Default)]
pub struct Members {
    peers: BTreeMap<id::Instance, Peer>,
    former: BTreeMap<id::Instance, id::Incarnation>,
}

impl Members {
    /// Takes note of a message.
    pub fn receive(&mut self, message: &Message, now: Instant) -> Change {
        let newest = self.former.get(&message.from).copied().unwrap_or_default();
        if message.incarnation < newest {
            return Change::Stale;
        }
        self.former.insert(message.from.clone(), message.incarnation);
        if let Some(peer) = self.peers.get_mut(&message.from)
            && peer.incarnation == message.incarnation
        {
            peer.last_received = now;
            if let Body::Heartbeat(heartbeat) = &message.body {
                peer.heartbeat = heartbeat.clone();
            }
            return Change::Known;
        }
        Change::Joined(self.join(message, now))
    }

    fn join(&mut self, message: &Message, now: Instant) -> Slots {
        let heartbeat = match &message.body {
            Body::Heartbeat(heartbeat) => heartbeat.clone(),
            _ => Heartbeat::default(),
        };
        let peer = Peer {
            incarnation: message.incarnation,
            zone: message.zone.clone(),
            last_received: now,
            heartbeat,
            lent: Leases::default(),
            borrowed: Leases::default(),
        };
        let former = self.peers.insert(message.from.clone(), peer);
        former.map_or_else(Slots::default, |p| Slots { lent: p.lent, borrowed: p.borrowed })
    }

    /// Forgets the peers that fell silent and gives their slots back.
    pub fn expire(&mut self, now: Instant) -> Vec<(id::Instance, Slots)> {
        let silent = |p: &Peer| now.saturating_duration_since(p.last_received) > PEER_TIMEOUT;
        let gone: Vec<_> =
            self.peers.iter().filter(|(_, p)| silent(p)).map(|(id, _)| id.clone()).collect();
        let forget = |id: id::Instance| {
            let peer = self.peers.remove(&id)?;
            Some((id, Slots { lent: peer.lent, borrowed: peer.borrowed }))
        };
        gone.into_iter().filter_map(forget).collect()
    }

    /// The peers that are heard.
    pub fn iter(&self) -> impl Iterator<Item = (&id::Instance, &Peer)> {
        self.peers.iter()
    }

    /// The peers of a zone that are heard.
    pub fn in_zone<'a>(
        &'a self,
        zone: &'a id::Zone,
    ) -> impl Iterator<Item = (&'a id::Instance, &'a Peer)> {
        self.peers.iter().filter(move |(_, p)| p.zone == *zone)
    }

    /// Ends the leases that are over.
    pub fn expire_leases(&mut self, now: Instant) -> (Vec<id::Upstream>, Vec<id::Upstream>) {
        let peers = self.peers.values_mut();
        let ended = peers.map(|p| (p.lent.expire(now), p.borrowed.expire(now)));
        let (lent, borrowed): (Vec<_>, Vec<_>) = ended.unzip();
        (lent.concat(), borrowed.concat())
    }

    /// A peer that is heard.
    pub fn get_mut(&mut self, id: &id::Instance) -> Option<&mut Peer> {
        self.peers.get_mut(id)
    }

    /// The place of an instance among those of its zone that share upstreams.
    pub fn position(&self, own: &id::Instance, zone: &id::Zone) -> Position {
        let sharing = self.in_zone(zone).filter(|(_, p)| !p.heartbeat.draining);
        let (before, after): (Vec<_>, Vec<_>) = sharing.partition(|(id, _)| *id < own);
        Position { index: before.len(), members: before.len() + after.len() + 1 }
    }
}

/// How many instances of each other zone an instance talks to.
pub const FOREIGN_PEERS: usize = 1;

/// The instances that one talks to: all of its own zone, and a few of each
/// other zone, which differ from instance to instance.
///
/// ```
/// use rosemarypond_core::member::select_peers;
/// let (a1, b1) = (("a1".parse()?, "a".parse()?), ("b1".parse()?, "b".parse()?));
/// let list = [a1.clone(), b1.clone()];
/// let peers = select_peers(&a1.0, &a1.1, &list, |l| (&l.0, &l.1));
/// assert_eq!(peers, [&b1]);
/// # Ok::<(), rosemarypond_core::id::Error>(())
/// ```
pub fn select_peers<'a, T>(
    own: &id::Instance,
    zone: &id::Zone,
    list: &'a [T],
    key: impl Fn(&T) -> (&id::Instance, &id::Zone),
) -> Vec<&'a T> {
    let others = list.iter().filter(|entry| key(entry).0 != own);
    let (mut peers, foreign): (Vec<_>, Vec<_>) = others.partition(|entry| key(entry).1 == zone);
    let mut zones: BTreeMap<id::Zone, Vec<&T>> = BTreeMap::new();
    for entry in foreign {
        zones.entry(key(entry).1.clone()).or_default().push(entry);
    }
    for mut foreign in zones.into_values() {
        foreign.sort_by_cached_key(|entry| stable_hash((own, key(entry).0)));
        peers.extend(foreign.into_iter().take(FOREIGN_PEERS));
    }
    peers
}
