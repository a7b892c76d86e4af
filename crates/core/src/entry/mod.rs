//! An entry instance in front of services whose requests carry no idempotency
//! key: it resolves routes, enforces limits, queues requests and assigns each
//! to an upstream.
//!
//! [`scheduler::Scheduler`] turns events into actions and does no I/O.
//! [`node::Node`] is the actor that passes it events and runs its timer.

pub mod admission;
pub mod backlog;
pub mod baseline;
pub mod budget;
pub mod call;
pub mod ending;
pub mod fleet;
pub mod gossip;
pub mod limit;
pub mod node;
pub mod pace;
pub mod plan;
pub mod proof;
pub mod quarantine;
pub mod quota;
pub mod reach;
pub mod rejection;
pub mod rollout;
pub mod scheduler;
pub mod spill;
pub mod streams;
pub mod upstream;
pub mod watermark;
pub mod zones;
