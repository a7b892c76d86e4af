//! The scheduler's daemon: input and output around the decisions of
//! `rosemarypond-core`.

pub mod answer;
pub mod cli;
pub mod client;
pub mod daemon;
pub mod follow;
pub mod gateway;
pub mod head;
pub mod log;
pub mod metrics;
pub mod operate;
pub mod peer;
pub mod platform;
pub mod runtime;
pub mod settings;
pub mod upstream;
pub mod watch;
