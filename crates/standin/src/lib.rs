//! Small stand-ins for what surrounds the scheduler: engines, plain services
//! and the platform, each with switches for its faults.

pub mod engine;
pub mod http;
pub mod plain;
pub mod platform;
