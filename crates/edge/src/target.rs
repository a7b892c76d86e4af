//! Where an attempt is sent: to an upstream, or to a peer that is to send it to one.

use std::time::Duration;

use rosemarypond_core::entry::call::{Ended, Origin};
use rosemarypond_core::entry::upstream::Registration;
use rosemarypond_core::id;

/// Where an attempt is sent.
#[derive(Clone, Debug)]
pub enum Target {
    /// To an upstream.
    Upstream {
        /// The upstream.
        upstream: Registration,
        /// The expected time to the first token or byte.
        expected: Duration,
    },
    /// To a peer.
    Peer {
        /// The peer.
        peer: id::Instance,
        /// Upstreams on which an attempt failed.
        excluded: Vec<id::Upstream>,
        /// Which upstreams may answer it.
        origin: Origin,
    },
}

impl Target {
    /// The upstream, if it is sent to one.
    pub fn upstream(&self) -> Option<&Registration> {
        match self {
            Target::Upstream { upstream, .. } => Some(upstream),
            Target::Peer { .. } => None,
        }
    }

    /// The peer, if it is sent to one.
    pub fn peer(&self) -> Option<&id::Instance> {
        match self {
            Target::Upstream { .. } => None,
            Target::Peer { peer, .. } => Some(peer),
        }
    }

    /// The name of the upstream or peer.
    pub fn name(&self) -> &str {
        match self {
            Target::Upstream { upstream, .. } => upstream.id.as_str(),
            Target::Peer { peer, .. } => peer.as_str(),
        }
    }

    /// The expected time to the first token or byte; none where the peer decides that.
    pub fn expected(&self) -> Duration {
        match self {
            Target::Upstream { expected, .. } => *expected,
            Target::Peer { .. } => Duration::ZERO,
        }
    }

    /// How an attempt ended of which nothing was sent.
    pub fn unsent(&self) -> Ended {
        match self {
            Target::Upstream { .. } => Ended::NotSent,
            Target::Peer { .. } => Ended::Declined { is_unreached: true },
        }
    }
}
