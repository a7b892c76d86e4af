//! Network I/O of an entry instance, on one thread: HTTP with callers and
//! upstreams, UDP datagrams with peers.
//!
//! This crate makes no scheduling decisions. It turns what arrives into events
//! for the scheduler in `rosemarypond-core`, and executes the actions that the
//! scheduler returns. A [`dialect::Dialect`] defines how requests, responses
//! and refusals are written as HTTP.

pub mod actor;
pub mod body;
pub mod clock;
pub mod connections;
pub mod delegation;
pub mod dialect;
pub mod event_stream;
pub mod exchange;
pub mod gateway;
pub mod gossip;
pub mod log;
pub mod memory;
pub mod metrics;
mod notice;
pub mod pool;
mod probe;
mod record;
pub mod relay;
pub mod reply;
mod report;
pub mod runtime;
pub mod server;
pub mod socket;
pub mod target;
pub mod thread;
pub mod trial;
