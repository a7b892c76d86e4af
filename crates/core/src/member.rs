//! The messages between instances, and one instance's view of its peers.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use crate::config;
use crate::engine::Position;
use crate::hash::stable_hash;
use crate::id;
use crate::timeline::Stamp;

/// The interval of heartbeats to the own zone while requests wait.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// The interval of heartbeats to the own zone while none waits, and to other
/// zones always.
pub const IDLE_INTERVAL: Duration = Duration::from_secs(1);
/// How long after its last message a peer is considered gone.
pub const PEER_TIMEOUT: Duration = Duration::from_secs(3);
/// How long a lent slot may be used before it returns to the lender.
pub const LEASE_DURATION: Duration = Duration::from_secs(30);

/// The requests of one service and tier that an instance holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Load {
    /// The service.
    pub service: id::Service,
    /// The rank of the tier.
    pub rank: u8,
    /// The number of waiting requests.
    pub waiting: u32,
    /// The number of running requests that may be cancelled to make room.
    pub cancellable: u32,
}

/// The state of an instance.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Heartbeat {
    /// The version of its configuration.
    pub config: config::Version,
    /// Whether it refuses new requests.
    pub draining: bool,
    /// The requests that it holds.
    pub loads: Vec<Load>,
    /// Upstreams that reported to it that they are leaving.
    pub leaving: Vec<id::Upstream>,
}

/// The content of a message between instances.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Body {
    /// The state of the sender.
    Heartbeat(Heartbeat),
    /// The sender has a waiting request and no free slot for it.
    MakeRoom {
        /// The service that it asks for.
        service: id::Service,
        /// Its rank; only requests of a lower tier make room.
        rank: u8,
    },
    /// The receiver may use one slot of the sender's share.
    Lend {
        /// The upstream.
        upstream: id::Upstream,
    },
    /// The sender returns a slot that the receiver lent.
    Return {
        /// The upstream.
        upstream: id::Upstream,
    },
    /// The sender asks for the receiver's configuration.
    WantConfig,
    /// The sender's configuration.
    Config {
        /// Its version.
        version: config::Version,
        /// The document as JSON.
        text: String,
    },
}

/// A message with its sender and the time at which it was sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Message {
    /// The sender.
    pub from: id::Instance,
    /// The sender's incarnation, which rises with each restart.
    pub incarnation: id::Incarnation,
    /// The sender's availability zone.
    pub zone: id::Zone,
    /// When it was sent, by the sender's hybrid logical clock.
    pub stamp: Stamp,
    /// Its content.
    pub body: Body,
}

/// The last known state of a peer.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Its incarnation.
    pub incarnation: id::Incarnation,
    /// Its availability zone.
    pub zone: id::Zone,
    /// When its last message was received.
    pub last_received: Instant,
    /// Its last heartbeat.
    pub heartbeat: Heartbeat,
    /// Slots that were lent to it.
    pub lent: Leases,
    /// Slots that it lent to this instance.
    pub borrowed: Leases,
}

/// Leased slots by upstream, each with the time at which its lease ends.
///
/// A lease expires, so that a lost message costs a slot only for that time.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Leases(BTreeMap<id::Upstream, VecDeque<Instant>>);

impl Leases {
    /// Adds a lease that ends at `end`.
    pub fn add(&mut self, upstream: id::Upstream, end: Instant) {
        self.0.entry(upstream).or_default().push_back(end);
    }

    /// Ends the oldest lease of an upstream's slot; returns whether there was one.
    pub fn end(&mut self, upstream: &id::Upstream) -> bool {
        let ended = self.0.get_mut(upstream).and_then(VecDeque::pop_front);
        self.0.retain(|_, ends| !ends.is_empty());
        ended.is_some()
    }

    /// Whether a slot of an upstream is leased.
    pub fn has(&self, upstream: &id::Upstream) -> bool {
        self.0.contains_key(upstream)
    }

    /// Ends the expired leases and returns the upstream of each.
    pub fn expire(&mut self, now: Instant) -> Vec<id::Upstream> {
        let mut expired = Vec::new();
        for (upstream, ends) in &mut self.0 {
            let before = ends.len();
            ends.retain(|end| *end > now);
            expired.extend(std::iter::repeat_n(upstream.clone(), before - ends.len()));
        }
        self.0.retain(|_, ends| !ends.is_empty());
        expired
    }

    /// The number of leased slots of each upstream.
    pub fn counts(&self) -> impl Iterator<Item = (&id::Upstream, u32)> {
        self.0.iter().map(|(upstream, ends)| (upstream, ends.len() as u32))
    }
}

/// The effect of a message on the list of peers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// The sender was known with this incarnation.
    Known,
    /// The sender is new or was restarted; these are the slots of its former incarnation.
    Joined(Slots),
    /// The message is from a former incarnation and must be ignored.
    Stale,
}

/// The slots that were lent to and borrowed from a peer that is gone.
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
    incarnations: BTreeMap<id::Instance, id::Incarnation>,
}

impl Members {
    /// Records a message from a peer.
    pub fn receive(&mut self, message: &Message, now: Instant) -> Change {
        let newest = self.incarnations.get(&message.from).copied().unwrap_or_default();
        if message.incarnation < newest {
            return Change::Stale;
        }
        self.incarnations.insert(message.from.clone(), message.incarnation);
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

    /// Removes the peers that timed out and returns them with their slots.
    pub fn expire(&mut self, now: Instant) -> Vec<(id::Instance, Slots)> {
        let has_timed_out =
            |p: &Peer| now.saturating_duration_since(p.last_received) > PEER_TIMEOUT;
        let expired: Vec<_> =
            self.peers.iter().filter(|(_, p)| has_timed_out(p)).map(|(id, _)| id.clone()).collect();
        let remove = |id: id::Instance| {
            let peer = self.peers.remove(&id)?;
            Some((id, Slots { lent: peer.lent, borrowed: peer.borrowed }))
        };
        expired.into_iter().filter_map(remove).collect()
    }

    /// The current peers.
    pub fn iter(&self) -> impl Iterator<Item = (&id::Instance, &Peer)> {
        self.peers.iter()
    }

    /// The current peers of a zone.
    pub fn in_zone<'a>(
        &'a self,
        zone: &'a id::Zone,
    ) -> impl Iterator<Item = (&'a id::Instance, &'a Peer)> {
        self.peers.iter().filter(move |(_, p)| p.zone == *zone)
    }

    /// Ends the expired leases; returns the upstream of each lent and of each
    /// borrowed slot.
    pub fn expire_leases(&mut self, now: Instant) -> (Vec<id::Upstream>, Vec<id::Upstream>) {
        let peers = self.peers.values_mut();
        let ended = peers.map(|p| (p.lent.expire(now), p.borrowed.expire(now)));
        let (lent, borrowed): (Vec<_>, Vec<_>) = ended.unzip();
        (lent.concat(), borrowed.concat())
    }

    /// A current peer.
    pub fn get_mut(&mut self, id: &id::Instance) -> Option<&mut Peer> {
        self.peers.get_mut(id)
    }

    /// The position of an instance among those of its zone that share upstreams.
    pub fn position(&self, own: &id::Instance, zone: &id::Zone) -> Position {
        let sharing = self.in_zone(zone).filter(|(_, p)| !p.heartbeat.draining);
        let (before, after): (Vec<_>, Vec<_>) = sharing.partition(|(id, _)| *id < own);
        Position { index: before.len(), members: before.len() + after.len() + 1 }
    }
}

/// How many instances of each other zone an instance connects to.
pub const PEERS_PER_OTHER_ZONE: usize = 1;

/// Selects the instances that one connects to: all of its own zone, and a few
/// of each other zone, which differ between instances.
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
    let (mut peers, in_other_zones): (Vec<_>, Vec<_>) =
        others.partition(|entry| key(entry).1 == zone);
    let mut zones: BTreeMap<id::Zone, Vec<&T>> = BTreeMap::new();
    for entry in in_other_zones {
        zones.entry(key(entry).1.clone()).or_default().push(entry);
    }
    for mut instances in zones.into_values() {
        instances.sort_by_cached_key(|entry| stable_hash((own, key(entry).0)));
        peers.extend(instances.into_iter().take(PEERS_PER_OTHER_ZONE));
    }
    peers
}
