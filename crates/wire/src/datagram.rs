//! Codec for protobuf messages in datagrams.

use bytes::BytesMut;
use prost::Message;
use tokio_util::codec::{Decoder, Encoder};

use crate::Gossip;
use crate::codec::Error;

/// Encodes and decodes [`Gossip`], one message per datagram.
///
/// ```
/// use bytes::BytesMut;
/// use rosemarypond_wire::{Gossip, datagram::Codec};
/// use tokio_util::codec::{Decoder, Encoder};
/// let mut buffer = BytesMut::new();
/// Codec.encode(Gossip { from: "a1".into(), ..Gossip::default() }, &mut buffer)?;
/// assert_eq!(Codec.decode(&mut buffer)?.map(|g| g.from), Some("a1".into()));
/// # Ok::<(), rosemarypond_wire::codec::Error>(())
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Codec;

impl Encoder<Gossip> for Codec {
    type Error = Error;

    fn encode(&mut self, gossip: Gossip, buffer: &mut BytesMut) -> Result<(), Error> {
        buffer.reserve(gossip.encoded_len());
        gossip.encode(buffer).expect("the buffer has room");
        Ok(())
    }
}

impl Decoder for Codec {
    type Item = Gossip;
    type Error = Error;

    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<Gossip>, Error> {
        if buffer.is_empty() {
            return Ok(None);
        }
        let bytes = buffer.split().freeze();
        Ok(Some(Gossip::decode(bytes)?))
    }
}
