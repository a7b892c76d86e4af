//! Gossip with peers, in UDP datagrams.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use rosemarypond_core::config::Version;
use rosemarypond_core::entry::gossip::{
    Answered, Begun, Cause, Crash, Dangers, Digest, Gossip, Leaving, Limit, Load, Lost, Need,
    Offer, Quarantined, Reach, Suspect,
};
use rosemarypond_core::entry::pace::Pace;
use rosemarypond_core::entry::scheduler::{Audience, Event};
use rosemarypond_core::entry::watermark::{Era, Watermark};
use rosemarypond_core::id;
use rosemarypond_core::unit::{RequestRate, Tokens};
use rosemarypond_wire::datagram::Codec;
use rosemarypond_wire::gossip as wire;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio_util::codec::{Decoder, Encoder};

use crate::runtime::{Broadcast, Handle};
use crate::trial;

/// The longest datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 60_000;

/// The most instances of a zone that a digest can state.
const MAX_ZONE_INSTANCES: u32 = 10_000;

/// The most slots that an offer can state; a receiver computes a hash for each.
const MAX_OFFERED_SLOTS: u32 = 256;

/// The address and zone of a peer.
#[derive(Clone, Debug, Eq, PartialEq)]
struct Peer {
    address: SocketAddr,
    zone: id::Zone,
}

/// The known peers.
#[derive(Clone, Debug, Default)]
pub struct Peers(Rc<RefCell<HashMap<id::Instance, Peer>>>);

impl Peers {
    /// Adds a peer, or updates its zone and address.
    pub fn set(&self, peer: id::Instance, zone: id::Zone, address: SocketAddr) {
        self.0.borrow_mut().insert(peer, Peer { address, zone });
    }

    /// The address of a peer, for datagrams and connections.
    pub fn address(&self, peer: &id::Instance) -> Option<SocketAddr> {
        self.0.borrow().get(peer).map(|peer| peer.address)
    }

    /// The addresses of all peers.
    pub fn all_addresses(&self) -> HashSet<SocketAddr> {
        self.0.borrow().values().map(|peer| peer.address).collect()
    }

    /// Returns the number of known peers.
    pub fn count(&self) -> usize {
        self.0.borrow().len()
    }

    /// Removes a peer.
    pub fn remove(&self, peer: &id::Instance) {
        self.0.borrow_mut().remove(peer);
    }

    fn addresses(&self, audience: Audience, own_zone: &id::Zone) -> Vec<SocketAddr> {
        let peers = self.0.borrow();
        let is_addressed = |peer: &&Peer| match audience {
            Audience::Everyone => true,
            Audience::OwnZone => peer.zone == *own_zone,
            Audience::OtherZones => peer.zone != *own_zone,
        };
        peers.values().filter(is_addressed).map(|peer| peer.address).collect()
    }
}

/// Sends the scheduler's gossip to peers, and passes the peers' gossip to the
/// scheduler.
pub async fn run(
    socket: UdpSocket,
    handle: Handle,
    mut outgoing: mpsc::UnboundedReceiver<Broadcast>,
    peers: Peers,
) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        tokio::select! {
            message = outgoing.recv() => {
                let Some(message) = message else { return };
                send(&socket, &peers, message);
            }
            received = socket.recv_from(&mut buffer) => {
                let Ok((length, from)) = received else { continue };
                let Some(gossip) = decode(&buffer[..length]) else { continue };
                peers.set(gossip.from.clone(), gossip.zone.clone(), from);
                handle.event(Event::Received(Box::new(gossip)));
            }
        }
    }
}

fn send(socket: &UdpSocket, peers: &Peers, message: Broadcast) {
    let Broadcast { audience, gossip } = message;
    let addresses = peers.addresses(audience, &gossip.zone);
    let mut datagram = BytesMut::new();
    if Codec.encode(encode(gossip), &mut datagram).is_err() {
        return;
    }
    for address in addresses {
        // State is sent again soon: a datagram that cannot be sent now is
        // dropped.
        let _ = socket.try_send_to(&datagram, address);
    }
}

fn encode(gossip: Gossip) -> wire::Gossip {
    let load = |load: Load| wire::Load {
        upstream: load.upstream.into(),
        running: load.running,
        prefill: load.prefill.0,
        prefill_us: load.pace.prefill_us as f32,
        token_us: load.pace.token_us as f32,
        call_ms: load.pace.call_ms as f32,
        seen: load.pace.observations,
        rejection_limit: load.rejection_limit,
    };
    let digest = |digest: Digest| wire::Digest {
        instances: digest.instances,
        silent: digest.silent,
        admitted: encode_admitted(digest.admitted),
        trials: digest.trials.into_iter().map(trial::encode).collect(),
        needs: digest.needs.into_iter().map(encode_need).collect(),
        offers: digest.offers.into_iter().map(encode_offer).collect(),
    };
    let dangers = *gossip.dangers;
    let answers =
        |(service, total): (id::Service, u64)| wire::Answers { service: service.into(), total };
    wire::Gossip {
        from: gossip.from.into(),
        incarnation: gossip.incarnation.0,
        zone: gossip.zone.into(),
        sequence: gossip.sequence,
        age_ms: gossip.age.as_millis() as u64,
        leaving: gossip.leaving,
        loads: gossip.loads.into_iter().map(load).collect(),
        admitted: encode_admitted(gossip.admitted),
        digest: gossip.digest.map(digest),
        plan: gossip.watermark.plan.0,
        plan_at_ms: gossip.watermark.plan_at.as_millis() as u64,
        directory: gossip.watermark.directory,
        directory_at_ms: gossip.watermark.directory_at.as_millis() as u64,
        era: gossip.watermark.era.0,
        leaving_upstreams: gossip
            .leaving_upstreams
            .into_iter()
            .map(|l| wire::Leaving { upstream: l.upstream.into(), incarnation: l.incarnation })
            .collect(),
        limits: gossip.limits.into_iter().map(encode_limit).collect(),
        crashes: dangers.crashes.into_iter().map(encode_crash).collect(),
        answered: dangers.answered.into_iter().map(encode_answered).collect(),
        quarantined: dangers.quarantined.into_iter().map(encode_quarantined).collect(),
        answers: dangers.answers.into_iter().map(answers).collect(),
        begun: gossip.begun.into_iter().map(encode_begun).collect(),
        asked: encode_streams(gossip.asked),
        reaches: gossip.reaches.into_iter().map(encode_reach).collect(),
        trials: gossip.trials.into_iter().map(trial::encode).collect(),
        condemned: gossip.condemned.into_iter().map(trial::encode_condemned).collect(),
        needs: gossip.needs.into_iter().map(encode_need).collect(),
    }
}

fn encode_admitted(admitted: Vec<(id::Team, u64)>) -> Vec<wire::Admitted> {
    let encode = |(team, total): (id::Team, u64)| wire::Admitted { team: team.into(), total };
    admitted.into_iter().map(encode).collect()
}

fn decode_admitted(admitted: Vec<wire::Admitted>) -> Vec<(id::Team, u64)> {
    let decode = |a: wire::Admitted| Some((a.team.parse().ok()?, a.total));
    admitted.into_iter().filter_map(decode).collect()
}

fn millis(age: Duration) -> u64 {
    age.as_millis() as u64
}

fn encode_limit(limit: Limit) -> wire::Limit {
    wire::Limit {
        upstream: limit.upstream.into(),
        incarnation: limit.incarnation,
        rate: limit.rate.map(|rate| rate.0),
        age_ms: millis(limit.age),
        sent: limit.sent,
    }
}

/// Decodes a limit; returns `None` where it is not valid.
fn decode_limit(limit: wire::Limit) -> Option<Limit> {
    Some(Limit {
        upstream: limit.upstream.parse().ok()?,
        incarnation: limit.incarnation,
        rate: limit.rate.map(RequestRate::try_from).transpose().ok()?,
        age: Duration::from_millis(limit.age_ms),
        sent: limit.sent,
    })
}

fn encode_streams(streams: Vec<id::Stream>) -> Vec<u64> {
    streams.into_iter().map(|stream| stream.0).collect()
}

fn encode_begun(begun: Begun) -> wire::Begun {
    wire::Begun { release: begun.release.into(), streams: encode_streams(begun.streams) }
}

fn encode_reach(reach: Reach) -> wire::Reach {
    wire::Reach { service: reach.service.into(), slots: reach.slots }
}

fn decode_reach(reach: wire::Reach) -> Option<Reach> {
    Some(Reach { service: reach.service.parse().ok()?, slots: reach.slots })
}

fn encode_need(need: Need) -> wire::Need {
    wire::Need { service: need.service.into(), waiting: need.waiting, slots: need.slots }
}

fn decode_need(need: wire::Need) -> Option<Need> {
    let service = need.service.parse().ok()?;
    Some(Need { service, waiting: need.waiting, slots: need.slots })
}

fn encode_offer(offer: Offer) -> wire::Offer {
    wire::Offer {
        upstream: offer.upstream.into(),
        zone: offer.zone.into(),
        slots: offer.slots,
        prefill_us: offer.pace.prefill_us as f32,
        token_us: offer.pace.token_us as f32,
        seen: offer.pace.observations,
    }
}

/// Decodes an offer; returns `None` where it is not valid.
fn decode_offer(offer: wire::Offer) -> Option<Offer> {
    let is_finite = offer.prefill_us.is_finite() && offer.token_us.is_finite();
    let pace = Pace {
        prefill_us: f64::from(offer.prefill_us).max(0.0),
        token_us: f64::from(offer.token_us).max(0.0),
        observations: offer.seen,
        ..Pace::default()
    };
    let upstream = offer.upstream.parse().ok().filter(|_| is_finite)?;
    let slots = offer.slots.min(MAX_OFFERED_SLOTS);
    Some(Offer { upstream, zone: offer.zone.parse().ok()?, slots, pace })
}

fn decode_streams(streams: Vec<u64>) -> Vec<id::Stream> {
    streams.into_iter().map(id::Stream).collect()
}

fn decode_begun(begun: wire::Begun) -> Option<Begun> {
    Some(Begun { release: begun.release.parse().ok()?, streams: decode_streams(begun.streams) })
}

fn encode_parts(parts: Vec<id::Part>) -> Vec<u64> {
    parts.into_iter().map(|part| part.0).collect()
}

fn encode_crash(crash: Crash) -> wire::Crash {
    let lost = |lost: Lost| wire::Lost {
        parts: encode_parts(lost.parts),
        fingerprint: lost.fingerprint.0,
        ran_ms: millis(lost.ran),
    };
    wire::Crash {
        upstream: crash.upstream.into(),
        incarnation: crash.incarnation,
        service: crash.service.into(),
        age_ms: millis(crash.age),
        requests: crash.requests.into_iter().map(lost).collect(),
        refuted: crash.is_refuted,
    }
}

fn encode_answered(answered: Answered) -> wire::Answered {
    let suspect = match answered.suspect {
        Suspect::Part(part) => wire::answered::Suspect::Part(part.0),
        Suspect::Request(request) => wire::answered::Suspect::Fingerprint(request.0),
    };
    wire::Answered { suspect: Some(suspect), age_ms: millis(answered.age) }
}

fn encode_quarantined(quarantined: Quarantined) -> wire::Quarantined {
    let (parts, fingerprint) = match quarantined.cause {
        Cause::Parts(parts) => (encode_parts(parts), None),
        Cause::Request(request) => (vec![], Some(request.0)),
    };
    wire::Quarantined {
        parts,
        fingerprint,
        age_ms: millis(quarantined.age),
        lifted_age_ms: quarantined.lifted_age.map(millis),
    }
}

fn decode_parts(parts: Vec<u64>) -> Vec<id::Part> {
    parts.into_iter().map(id::Part).collect()
}

fn decode_crash(crash: wire::Crash) -> Option<Crash> {
    let lost = |lost: wire::Lost| Lost {
        fingerprint: id::Fingerprint(lost.fingerprint),
        ran: Duration::from_millis(lost.ran_ms),
        parts: decode_parts(lost.parts),
    };
    Some(Crash {
        upstream: crash.upstream.parse().ok()?,
        incarnation: crash.incarnation,
        service: crash.service.parse().ok()?,
        age: Duration::from_millis(crash.age_ms),
        requests: crash.requests.into_iter().map(lost).collect(),
        is_refuted: crash.refuted,
    })
}

fn decode_answered(answered: wire::Answered) -> Option<Answered> {
    let suspect = match answered.suspect? {
        wire::answered::Suspect::Part(part) => Suspect::Part(id::Part(part)),
        wire::answered::Suspect::Fingerprint(request) => Suspect::Request(id::Fingerprint(request)),
    };
    Some(Answered { suspect, age: Duration::from_millis(answered.age_ms) })
}

fn decode_quarantined(quarantined: wire::Quarantined) -> Quarantined {
    let parts = Cause::Parts(decode_parts(quarantined.parts));
    let request = quarantined.fingerprint.map(|request| Cause::Request(id::Fingerprint(request)));
    Quarantined {
        cause: request.unwrap_or(parts),
        age: Duration::from_millis(quarantined.age_ms),
        lifted_age: quarantined.lifted_age_ms.map(Duration::from_millis),
    }
}

fn decode_dangers(message: &mut wire::Gossip) -> Dangers {
    let answers = |answers: wire::Answers| Some((answers.service.parse().ok()?, answers.total));
    let (crashes, answered) =
        (std::mem::take(&mut message.crashes), std::mem::take(&mut message.answered));
    let (quarantined, answers_by_service) =
        (std::mem::take(&mut message.quarantined), std::mem::take(&mut message.answers));
    Dangers {
        crashes: crashes.into_iter().filter_map(decode_crash).collect(),
        answered: answered.into_iter().filter_map(decode_answered).collect(),
        quarantined: quarantined.into_iter().map(decode_quarantined).collect(),
        answers: answers_by_service.into_iter().filter_map(answers).collect(),
    }
}

/// Decodes a datagram; returns `None` where it is not valid gossip.
fn decode(bytes: &[u8]) -> Option<Gossip> {
    let mut message = Codec.decode(&mut BytesMut::from(bytes)).ok()??;
    let load = |load: wire::Load| {
        let is_finite = load.prefill_us.is_finite() && load.token_us.is_finite();
        let pace = Pace {
            prefill_us: f64::from(load.prefill_us).max(0.0),
            token_us: f64::from(load.token_us).max(0.0),
            call_ms: f64::from(load.call_ms).max(0.0),
            observations: load.seen,
        };
        let upstream =
            load.upstream.parse().ok().filter(|_| is_finite && load.call_ms.is_finite())?;
        let rejection_limit = load.rejection_limit;
        let prefill = Tokens(load.prefill);
        Some(Load { upstream, running: load.running, prefill, pace, rejection_limit })
    };
    let leaving = |leaving: wire::Leaving| {
        let upstream = leaving.upstream.parse().ok()?;
        Some(Leaving { upstream, incarnation: leaving.incarnation })
    };
    let digest = |digest: wire::Digest| Digest {
        instances: digest.instances.min(MAX_ZONE_INSTANCES),
        silent: digest.silent.min(digest.instances),
        admitted: decode_admitted(digest.admitted),
        trials: digest.trials.into_iter().filter_map(trial::decode).collect(),
        needs: digest.needs.into_iter().filter_map(decode_need).collect(),
        offers: digest.offers.into_iter().filter_map(decode_offer).collect(),
    };
    let dangers = Box::new(decode_dangers(&mut message));
    Some(Gossip {
        from: message.from.parse().ok()?,
        incarnation: id::Incarnation(message.incarnation),
        zone: message.zone.parse().ok()?,
        age: Duration::from_millis(message.age_ms),
        sequence: message.sequence,
        leaving: message.leaving,
        loads: message.loads.into_iter().filter_map(load).collect(),
        admitted: decode_admitted(message.admitted),
        digest: message.digest.map(digest),
        leaving_upstreams: message.leaving_upstreams.into_iter().filter_map(leaving).collect(),
        limits: message.limits.into_iter().filter_map(decode_limit).collect(),
        dangers,
        begun: message.begun.into_iter().filter_map(decode_begun).collect(),
        asked: decode_streams(message.asked),
        reaches: message.reaches.into_iter().filter_map(decode_reach).collect(),
        trials: message.trials.into_iter().filter_map(trial::decode).collect(),
        condemned: message.condemned.into_iter().filter_map(trial::decode_condemned).collect(),
        needs: message.needs.into_iter().filter_map(decode_need).collect(),
        watermark: Watermark {
            era: Era(message.era),
            plan: Version(message.plan),
            plan_at: Duration::from_millis(message.plan_at_ms),
            directory: message.directory,
            directory_at: Duration::from_millis(message.directory_at_ms),
        },
    })
}
