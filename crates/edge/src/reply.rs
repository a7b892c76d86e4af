//! The body of an answer to a caller: whole, or passed on piece by piece.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::{Either, Full};
use hyper::Response;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::{mpsc, oneshot};

/// How many pieces wait for a slow caller.
const PIECES_AHEAD: usize = 16;

/// The stream that a body came from broke; the caller must not take what it
/// got for the whole.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("The answer broke off.")]
pub struct Broken;

impl From<Infallible> for Broken {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

/// A body that is passed on piece by piece.
#[derive(Debug)]
pub struct Chunks(mpsc::Receiver<Result<Bytes, Broken>>);

impl Body for Chunks {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        self.0.poll_recv(cx).map(|piece| piece.map(|p| p.map(Frame::data)))
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::default()
    }
}

/// The body of an answer.
pub type Reply = Either<Full<Bytes>, Chunks>;

/// The end of a body at which pieces are put in.
pub type Sender = mpsc::Sender<Result<Bytes, Broken>>;

/// A body that is passed on piece by piece, and where to put the pieces.
pub fn channel() -> (Sender, Reply) {
    let (sender, receiver) = mpsc::channel(PIECES_AHEAD);
    (sender, Either::Right(Chunks(receiver)))
}

/// An answer that is there whole.
pub fn full(response: Response<Bytes>) -> Response<Reply> {
    response.map(|bytes| Either::Left(Full::new(bytes)))
}

/// Who waits for an answer.
#[derive(Debug)]
pub enum Caller {
    /// The caller has got nothing yet.
    Waiting(oneshot::Sender<Response<Reply>>),
    /// The caller gets the pieces of a stream.
    Streaming(Sender),
}

impl Caller {
    /// Completes when the caller left.
    pub async fn disconnected(&mut self) {
        match self {
            Caller::Waiting(answer) => answer.closed().await,
            Caller::Streaming(pieces) => pieces.closed().await,
        }
    }
}
