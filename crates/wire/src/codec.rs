//! Codec for length-delimited protobuf frames on a stream.

use std::io;

use bytes::{Bytes, BytesMut};
use prost::Message;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::Frame;

/// The longest frame, in bytes; a configuration of 18,000 teams fits.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

/// An error after which the stream of frames cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The stream failed, or a frame is longer than [`MAX_FRAME_BYTES`].
    #[error("The stream of frames failed: {0}.")]
    Io(#[from] io::Error),
    /// The bytes are not a valid frame.
    #[error("A frame cannot be decoded: {0}.")]
    Decode(#[from] prost::DecodeError),
}

/// Encodes and decodes [`Frame`]s.
///
/// ```
/// use bytes::BytesMut;
/// use rosemarypond_wire::{Frame, codec::Codec};
/// use tokio_util::codec::{Decoder, Encoder};
/// let mut codec = Codec::default();
/// let mut buffer = BytesMut::new();
/// codec.encode(Frame { from: "a1".into(), ..Frame::default() }, &mut buffer)?;
/// assert_eq!(codec.decode(&mut buffer)?.map(|f| f.from), Some("a1".into()));
/// # Ok::<(), rosemarypond_wire::codec::Error>(())
/// ```
#[derive(Debug)]
pub struct Codec {
    lengths: LengthDelimitedCodec,
}

impl Default for Codec {
    fn default() -> Self {
        let lengths = LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec();
        Self { lengths }
    }
}

impl Encoder<Frame> for Codec {
    type Error = Error;

    fn encode(&mut self, frame: Frame, buffer: &mut BytesMut) -> Result<(), Error> {
        let bytes = Bytes::from(frame.encode_to_vec());
        self.lengths.encode(bytes, buffer)?;
        Ok(())
    }
}

impl Decoder for Codec {
    type Item = Frame;
    type Error = Error;

    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<Frame>, Error> {
        let Some(bytes) = self.lengths.decode(buffer)? else { return Ok(None) };
        Ok(Some(Frame::decode(bytes)?))
    }
}
