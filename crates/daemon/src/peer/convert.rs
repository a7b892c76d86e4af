//! Conversion between the scheduler's messages and the generated frames.

use std::collections::BTreeMap;

use rosemarypond_core::config;
use rosemarypond_core::id;
use rosemarypond_core::member::{Body, Heartbeat, Load, Message};
use rosemarypond_core::timeline::Stamp;
use rosemarypond_wire::peer;
use rosemarypond_wire::peer::frame::Body as FrameBody;

/// Converts a message to a frame.
///
/// ```
/// use rosemarypond::peer::{frame, message};
/// use rosemarypond_core::id::Incarnation;
/// use rosemarypond_core::member::{Body, Message};
/// let sent = Message {
///     from: "a1".parse()?,
///     incarnation: Incarnation(1),
///     zone: "accra-a".parse()?,
///     stamp: Default::default(),
///     body: Body::WantConfig,
/// };
/// assert_eq!(message(frame(&sent), &sent.zone), Some(sent));
/// # Ok::<(), rosemarypond_core::id::Error>(())
/// ```
pub fn frame(message: &Message) -> peer::Frame {
    peer::Frame {
        from: message.from.to_string(),
        incarnation: message.incarnation.0,
        zone: message.zone.to_string(),
        stamp_micros: message.stamp.micros,
        stamp_count: message.stamp.count,
        body: Some(frame_body(&message.body)),
    }
}

fn frame_body(body: &Body) -> FrameBody {
    match body {
        Body::Heartbeat(heartbeat) => FrameBody::Heartbeat(peer::Heartbeat {
            config: heartbeat.config.0,
            draining: heartbeat.draining,
            loads: frame_loads(&heartbeat.loads),
            leaving: heartbeat.leaving.iter().map(ToString::to_string).collect(),
        }),
        Body::MakeRoom { service, rank } => FrameBody::MakeRoom(peer::MakeRoom {
            service: service.to_string(),
            rank: u32::from(*rank),
        }),
        Body::Lend { upstream } => FrameBody::Lend(peer::Lend { upstream: upstream.to_string() }),
        Body::Return { upstream } => {
            FrameBody::Return(peer::Return { upstream: upstream.to_string() })
        }
        Body::WantConfig => FrameBody::WantConfig(peer::WantConfig {}),
        Body::Config { version, text } => {
            FrameBody::Config(peer::Config { version: version.0, text: text.clone() })
        }
    }
}

/// Returns one load per service, with a count for each rank up to the last with
/// a load.
fn frame_loads(loads: &[Load]) -> Vec<peer::Load> {
    let mut frames: BTreeMap<&id::Service, peer::Load> = BTreeMap::new();
    for load in loads {
        let frame = frames.entry(&load.service).or_insert_with(|| peer::Load {
            service: load.service.to_string(),
            ..peer::Load::default()
        });
        let rank = usize::from(load.rank);
        if frame.waiting.len() <= rank {
            frame.waiting.resize(rank + 1, 0);
            frame.cancellable.resize(rank + 1, 0);
        }
        frame.waiting[rank] = load.waiting;
        frame.cancellable[rank] = load.cancellable;
    }
    frames.into_values().collect()
}

/// Converts a frame to a message. Returns `None` for a malformed frame.
///
/// A frame without a zone comes from the receiver's own zone.
pub fn message(frame: peer::Frame, own_zone: &id::Zone) -> Option<Message> {
    let zone = match frame.zone.as_str() {
        "" => own_zone.clone(),
        zone => zone.parse().ok()?,
    };
    Some(Message {
        from: frame.from.parse().ok()?,
        incarnation: id::Incarnation(frame.incarnation),
        zone,
        stamp: Stamp { micros: frame.stamp_micros, count: frame.stamp_count },
        body: message_body(frame.body?)?,
    })
}

fn message_body(body: FrameBody) -> Option<Body> {
    Some(match body {
        FrameBody::Heartbeat(heartbeat) => Body::Heartbeat(Heartbeat {
            config: config::Version(heartbeat.config),
            draining: heartbeat.draining,
            loads: message_loads(heartbeat.loads)?,
            leaving: parse_all(&heartbeat.leaving)?,
        }),
        FrameBody::MakeRoom(room) => {
            Body::MakeRoom { service: room.service.parse().ok()?, rank: room.rank.try_into().ok()? }
        }
        FrameBody::Lend(lend) => Body::Lend { upstream: lend.upstream.parse().ok()? },
        FrameBody::Return(lend) => Body::Return { upstream: lend.upstream.parse().ok()? },
        FrameBody::WantConfig(_) => Body::WantConfig,
        FrameBody::Config(config) => {
            Body::Config { version: config::Version(config.version), text: config.text }
        }
    })
}

fn parse_all(names: &[String]) -> Option<Vec<id::Upstream>> {
    names.iter().map(|name| name.parse().ok()).collect()
}

fn message_loads(frames: Vec<peer::Load>) -> Option<Vec<Load>> {
    let mut loads = Vec::new();
    for frame in frames {
        let service: id::Service = frame.service.parse().ok()?;
        let counts = frame.waiting.into_iter().zip(frame.cancellable);
        for (rank, (waiting, cancellable)) in counts.enumerate() {
            if waiting + cancellable > 0 {
                let rank = rank.try_into().ok()?;
                loads.push(Load { service: service.clone(), rank, waiting, cancellable });
            }
        }
    }
    Some(loads)
}
