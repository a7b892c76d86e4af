//! Between the decisions' messages and the generated frames.

use rosemarypond_core::config;
use rosemarypond_core::id;
use rosemarypond_core::member::{Body, Heartbeat, Load, Message};
use rosemarypond_core::timeline::Stamp;
use rosemarypond_wire::peer;
use rosemarypond_wire::peer::frame::Body as FrameBody;

/// The frame that carries a message.
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
/// assert_eq!(message(frame(&sent)), Some(sent));
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
            loads: heartbeat.loads.iter().map(frame_load).collect(),
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

fn frame_load(load: &Load) -> peer::Load {
    peer::Load {
        service: load.service.to_string(),
        rank: u32::from(load.rank),
        waiting: load.waiting,
        cancellable: load.cancellable,
    }
}

/// The message that a frame carries; none where it is not well-formed.
pub fn message(frame: peer::Frame) -> Option<Message> {
    Some(Message {
        from: frame.from.parse().ok()?,
        incarnation: id::Incarnation(frame.incarnation),
        zone: frame.zone.parse().ok()?,
        stamp: Stamp { micros: frame.stamp_micros, count: frame.stamp_count },
        body: message_body(frame.body?)?,
    })
}

fn message_body(body: FrameBody) -> Option<Body> {
    Some(match body {
        FrameBody::Heartbeat(heartbeat) => Body::Heartbeat(Heartbeat {
            config: config::Version(heartbeat.config),
            draining: heartbeat.draining,
            loads: heartbeat.loads.into_iter().map(message_load).collect::<Option<_>>()?,
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

fn message_load(load: peer::Load) -> Option<Load> {
    Some(Load {
        service: load.service.parse().ok()?,
        rank: load.rank.try_into().ok()?,
        waiting: load.waiting,
        cancellable: load.cancellable,
    })
}
