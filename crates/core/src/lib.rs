//! The scheduling decisions of the rosemarypond request scheduler, without I/O.
//!
//! Nothing here reads a clock, opens a connection or starts a thread: each
//! module takes events with the time at which they happened and returns the
//! actions to perform.

pub mod actor;
pub mod change;
pub mod claim;
pub mod config;
pub mod engine;
pub mod entry;
pub mod event;
pub mod hash;
pub mod id;
pub mod instance;
pub mod invariant;
pub mod language;
pub mod member;
pub mod outcome;
pub mod queue;
pub mod request;
pub mod resume;
pub mod timeline;
pub mod unit;
