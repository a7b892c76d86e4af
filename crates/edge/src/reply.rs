//! The body of a response to a caller: complete, or streamed in chunks.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::{Either, Full};
use hyper::Response;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::{mpsc, oneshot};

/// How many chunks are queued for a slow caller.
const MAX_QUEUED_CHUNKS: usize = 16;

/// The source of a streamed body broke off. The body ends with this error, so
/// that the caller does not take it for complete.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("The answer broke off.")]
pub struct Broken;

impl From<Infallible> for Broken {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

/// A body that is streamed in chunks.
#[derive(Debug)]
pub struct Chunks(mpsc::Receiver<Result<Bytes, Broken>>);

impl Body for Chunks {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        self.0.poll_recv(cx).map(|chunk| chunk.map(|c| c.map(Frame::data)))
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::default()
    }
}

/// The body of a response.
pub type Reply = Either<Full<Bytes>, Chunks>;

/// Sends the chunks of a streamed body.
pub type Sender = mpsc::Sender<Result<Bytes, Broken>>;

/// Creates a streamed body and the sender of its chunks.
pub fn channel() -> (Sender, Reply) {
    let (sender, receiver) = mpsc::channel(MAX_QUEUED_CHUNKS);
    (sender, Either::Right(Chunks(receiver)))
}

/// Converts a response with a complete body.
pub fn full(response: Response<Bytes>) -> Response<Reply> {
    response.map(|bytes| Either::Left(Full::new(bytes)))
}

/// A caller that waits for its answer.
#[derive(Debug)]
pub enum Caller {
    /// Nothing of the response has been sent yet.
    Waiting(oneshot::Sender<Response<Reply>>),
    /// The body is being streamed.
    Streaming(Sender),
}

impl Caller {
    /// Completes when the caller has disconnected.
    pub async fn disconnected(&mut self) {
        match self {
            Caller::Waiting(answer) => answer.closed().await,
            Caller::Streaming(chunks) => chunks.closed().await,
        }
    }
}
