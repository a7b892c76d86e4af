//! Small stand-ins for the servers that the scheduler works with: engines, plain
//! services and the platform. Engines and the platform can inject faults. A crowd of
//! callers that nobody controls loads the scheduler.

pub mod crowd;
pub mod engine;
pub mod http;
pub mod plain;
pub mod platform;
