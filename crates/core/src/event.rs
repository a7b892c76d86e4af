//! The events that an instance handles and the actions that it requests.

use std::sync::Arc;
use std::time::Duration;

use crate::claim::{Ended, Read, Record, Verdict, Version, Write};
use crate::config;
use crate::id;
use crate::member::{Body, Message};
use crate::request::{Key, Request};
use crate::unit::Tokens;

/// An event that an instance handles.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request arrived.
    Arrived(Request),
    /// A caller disconnected.
    CallerLeft(id::Request),
    /// The first token or byte of an answer was received.
    FirstToken(id::Request),
    /// A dispatched request ended.
    Ended {
        /// The request.
        request: id::Request,
        /// How it ended.
        how: Ended,
        /// The number of answer tokens received.
        tokens: Tokens,
    },
    /// The platform's table answered a read, or its answer was lost.
    Read {
        /// The request whose key was read.
        request: id::Request,
        /// The answer.
        answer: Read,
    },
    /// The platform's table answered a write, or its answer was lost.
    Written {
        /// The request whose key was written.
        request: id::Request,
        /// The answer.
        answer: Write,
    },
    /// A message from a peer was received.
    Received(Message),
    /// A version of the configuration was read from the platform.
    Configured {
        /// Its version.
        version: config::Version,
        /// Its validated content.
        document: Arc<config::Document>,
    },
    /// An upstream reported whether it is leaving.
    Leaving {
        /// The upstream.
        upstream: id::Upstream,
        /// Whether it is leaving.
        leaving: bool,
    },
    /// An upstream reported changes to its cache of prompt prefixes.
    Cache {
        /// The upstream.
        upstream: id::Upstream,
        /// Digests of prefixes that were added.
        stored: Vec<u64>,
        /// Digests of prefixes that were evicted.
        evicted: Vec<u64>,
    },
    /// The instance must accept no new requests and finish those it holds.
    Drain,
    /// The instance must accept requests again.
    Undrain,
    /// Another [`TICK_INTERVAL`](crate::instance::TICK_INTERVAL) has passed.
    Tick,
}

/// An action that an instance requests.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send the request to the upstream, once.
    Dispatch {
        /// The request.
        request: id::Request,
        /// The upstream.
        upstream: id::Upstream,
    },
    /// Cancel a running request.
    Cancel {
        /// The request.
        request: id::Request,
    },
    /// Send the caller its final answer.
    Answer {
        /// The request.
        request: id::Request,
        /// The answer.
        verdict: Verdict,
        /// How long a refused caller should wait before it retries.
        retry_after: Duration,
    },
    /// Read the record of a key.
    Read {
        /// The request.
        request: id::Request,
        /// Its key.
        key: Key,
    },
    /// Write the record of a key if it still has the expected version.
    Write {
        /// The request.
        request: id::Request,
        /// Its key.
        key: Key,
        /// The version that the record must have.
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
    /// Send a message to all peers in the instance's own zone, or to all peers in
    /// other zones.
    Broadcast {
        /// Whether it goes to the peers in the own zone.
        to_own_zone: bool,
        /// The content of the message.
        body: Body,
    },
}
