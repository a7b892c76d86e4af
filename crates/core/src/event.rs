//! What happens to an instance, and what it does about it.

use std::sync::Arc;
use std::time::Duration;

use crate::claim::{Ended, Read, Record, Verdict, Version, Write};
use crate::config;
use crate::id;
use crate::member::{Body, Message};
use crate::request::{Key, Request};
use crate::unit::Tokens;

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request arrived.
    Arrived(Request),
    /// A caller left.
    CallerLeft(id::Request),
    /// The first token or byte of an answer came.
    FirstToken(id::Request),
    /// A dispatched request ended.
    Ended {
        /// The request.
        request: id::Request,
        /// How it ended.
        how: Ended,
        /// The tokens that came.
        tokens: Tokens,
    },
    /// The table answered a read.
    Read {
        /// The request whose key was read.
        request: id::Request,
        /// The answer.
        answer: Read,
    },
    /// The table answered a write.
    Written {
        /// The request whose key was written.
        request: id::Request,
        /// The answer.
        answer: Write,
    },
    /// A peer sent a message.
    Received(Message),
    /// A version of the configuration was read from the platform.
    Configured {
        /// Its version.
        version: config::Version,
        /// Its checked content.
        document: Arc<config::Document>,
    },
    /// An upstream said, or the platform's list said, whether it leaves.
    Leaving {
        /// The upstream.
        upstream: id::Upstream,
        /// Whether it leaves.
        leaving: bool,
    },
    /// An upstream published that prompt prefixes came to or left its cache.
    Cache {
        /// The upstream.
        upstream: id::Upstream,
        /// Digests that are cached now.
        stored: Vec<u64>,
        /// Digests that are no longer cached.
        evicted: Vec<u64>,
    },
    /// The instance shall take no new requests and finish what runs.
    Drain,
    /// The instance shall take requests again.
    Undrain,
    /// Some time went by.
    Tick,
}

/// Something to be done.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send the request to the upstream, once.
    Dispatch {
        /// The request.
        request: id::Request,
        /// The upstream.
        upstream: id::Upstream,
    },
    /// Cut a running request off.
    Cancel {
        /// The request.
        request: id::Request,
    },
    /// Give the caller its final answer.
    Answer {
        /// The request.
        request: id::Request,
        /// The answer.
        verdict: Verdict,
        /// When the caller may come back.
        retry_after: Duration,
    },
    /// Read the record of a key.
    Read {
        /// The request.
        request: id::Request,
        /// Its key.
        key: Key,
    },
    /// Write the record of a key where the expected version stands.
    Write {
        /// The request.
        request: id::Request,
        /// Its key.
        key: Key,
        /// The version that must stand.
        expected: Version,
        /// The record.
        record: Record,
    },
    /// Send a message to a peer.
    Send {
        /// The peer.
        to: id::Instance,
        /// The message.
        message: Message,
    },
    /// Send a message to the peers of the own zone, or of the others.
    Broadcast {
        /// Whether it is for the own zone.
        own_zone: bool,
        /// What it says.
        body: Body,
    },
}
