//! The frames that rosemarypond's entry instances exchange, and their codec.

pub mod codec;

/// Types generated from `proto/peer.proto`; see `examples/regenerate.rs`.
#[allow(missing_docs, clippy::all, clippy::pedantic)]
#[rustfmt::skip]
pub mod peer {
    include!("generated/peer.rs");
}

pub use peer::Frame;
