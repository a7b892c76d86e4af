//! The frames that rosemarypond's entry instances exchange, and their codec.

pub mod codec;
pub mod datagram;

/// Types generated from `proto/peer.proto`; see `examples/regenerate.rs`.
#[allow(missing_docs, clippy::all, clippy::pedantic)]
#[rustfmt::skip]
pub mod peer {
    include!("generated/peer.rs");
}

/// Types generated from `proto/gossip.proto`; see `examples/regenerate.rs`.
#[allow(missing_docs, clippy::all, clippy::pedantic)]
#[rustfmt::skip]
pub mod gossip {
    include!("generated/gossip.rs");
}

pub use gossip::Gossip;
pub use peer::Frame;
