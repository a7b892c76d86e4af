//! The borders of an entry instance, on one thread: callers and upstreams by
//! HTTP, peers by datagrams.
//!
//! The borders decide nothing. What arrives becomes an event of the scheduler
//! in `rosemarypond-core`, and they carry out the actions that it gives back.
//! A [`dialect::Dialect`] says how heads, answers and refusals are worded.

pub mod actor;
pub mod clock;
pub mod dialect;
pub mod event_stream;
pub mod exchange;
pub mod gateway;
pub mod gossip;
pub mod log;
pub mod metrics;
pub mod pool;
pub mod relay;
pub mod reply;
pub mod runtime;
pub mod server;
pub mod socket;
pub mod thread;
