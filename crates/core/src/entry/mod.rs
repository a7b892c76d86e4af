//! One entry instance in front of services whose requests are not keyed: it
//! resolves routes, keeps limits, lets requests wait, and places each on an
//! upstream.
//!
//! [`scheduler::Scheduler`] takes events and gives back actions; it knows no
//! sockets. [`node::Node`] is the actor that gives it its time.

pub mod backlog;
pub mod budget;
pub mod call;
pub mod fleet;
pub mod gossip;
pub mod node;
pub mod pace;
pub mod plan;
pub mod proof;
pub mod quota;
pub mod scheduler;
pub mod upstream;
pub mod watermark;
