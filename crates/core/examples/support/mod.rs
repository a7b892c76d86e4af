//! A simulation of what surrounds an instance, on the virtual time of a stakker
//! runtime: engines, the platform's table, messages between peers, and callers.

#![allow(dead_code, reason = "each example uses a part of it")]

pub mod balancer;
pub mod engine;
pub mod table;
pub mod tally;
pub mod world;
