//! The messages that entry instances exchange, and their codecs: [`Frame`]s over
//! streams and [`Gossip`] in datagrams.

pub mod codec;
pub mod datagram;

/// Types generated from `proto/peer.proto`; see `examples/regenerate.rs`.
#[allow(missing_docs, clippy::all, clippy::pedantic)]
#[rustfmt::skip]
pub mod peer {
    include!("generated/peer.rs");
}

/// Types generated from `proto/delegation.proto`; see `examples/regenerate.rs`.
#[allow(missing_docs, clippy::all, clippy::pedantic)]
#[rustfmt::skip]
pub mod delegation {
    include!("generated/delegation.rs");
}

/// Types generated from `proto/gossip.proto`; see `examples/regenerate.rs`.
#[allow(missing_docs, clippy::all, clippy::pedantic)]
#[rustfmt::skip]
pub mod gossip {
    include!("generated/gossip.rs");
}

pub use gossip::Gossip;
pub use peer::Frame;
