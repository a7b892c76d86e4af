//! What instances tell each other: state, sent whole, so that a lost message
//! costs nothing but its age.

use std::time::Duration;

use super::pace::Pace;
use super::watermark::Watermark;
use crate::id;
use crate::unit::Tokens;

/// What the sender runs on one upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Load {
    /// The upstream.
    pub upstream: id::Upstream,
    /// Requests that run on it.
    pub running: u32,
    /// Prompt tokens whose first answer token has not come.
    pub prefill: Tokens,
    /// How fast the sender found it.
    pub pace: Pace,
}

/// The state of an instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Gossip {
    /// The sender.
    pub from: id::Instance,
    /// The sender's life.
    pub incarnation: id::Incarnation,
    /// The sender's availability zone.
    pub zone: id::Zone,
    /// The time since the sender's start.
    pub age: Duration,
    /// Rises with each message of an incarnation.
    pub sequence: u64,
    /// Whether the sender is leaving.
    pub leaving: bool,
    /// What it runs.
    pub loads: Vec<Load>,
    /// What it admitted since its start, a team.
    pub admitted: Vec<(id::Team, u64)>,
    /// What it knows of the store that all share.
    pub watermark: Watermark,
}
