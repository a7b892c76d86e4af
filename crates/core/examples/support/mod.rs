//! Small fakes at the interfaces of an instance, on a stakker runtime's
//! virtual time: engines, the platform's table, peers' messages and callers.

#![allow(dead_code, reason = "each example uses a part of it")]

pub mod balancer;
pub mod engine;
pub mod table;
pub mod tally;
pub mod world;
