//! HTTP calls with a whole answer, within a time. Nothing happens behind our
//! backs: no redirects, and a request of which a byte left is not sent again.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Request, header, http};
use rosemarypond_edge::pool::{Connection, Pool, SendError};
use tokio::time::timeout;

use crate::answer::Answer;

/// Why there is no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// Not a byte of the request left.
    #[error("there is no connection")]
    NotSent,
    /// The connection broke, or the answer is too long.
    #[error("the answer broke off")]
    Broken,
    /// The time ran out.
    #[error("no answer came in time")]
    TimedOut,
}

/// Calls servers over kept connections.
#[derive(Debug)]
pub struct Client {
    pool: Pool,
    limit: Duration,
    max_answer_bytes: usize,
}

impl Client {
    /// A client whose calls take `limit` at most.
    pub fn new(limit: Duration, max_answer_bytes: usize) -> Self {
        Self { pool: Pool::default(), limit, max_answer_bytes }
    }

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    ///
    /// Where none came in time or whole.
    pub async fn call(&self, to: SocketAddr, request: Request<Bytes>) -> Result<Answer, Error> {
        timeout(self.limit, self.exchange(to, request)).await.unwrap_or(Err(Error::TimedOut))
    }

    async fn exchange(&self, to: SocketAddr, request: Request<Bytes>) -> Result<Answer, Error> {
        let mut connection = self.pool.take(to, self.limit).await.map_err(|_| Error::NotSent)?;
        let response = match connection.send(request.clone().map(Full::new)).await {
            // A kept connection may have been closed meanwhile.
            Err(SendError::NotSent) => {
                connection = Connection::open(to, self.limit).await.map_err(|_| Error::NotSent)?;
                connection.send(request.map(Full::new)).await
            }
            other => other,
        };
        let response = response.map_err(|failed| match failed {
            SendError::NotSent => Error::NotSent,
            SendError::Broken => Error::Broken,
        })?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, self.max_answer_bytes).collect().await;
        let body = body.map_err(|_| Error::Broken)?.to_bytes();
        self.pool.keep(connection, &head);
        Ok(Answer::read(&head, body))
    }
}

/// A request without headers but its host.
///
/// # Errors
///
/// Where the path is none.
pub fn request(
    method: Method,
    to: SocketAddr,
    path: impl AsRef<str>,
    body: impl Into<Bytes>,
) -> Result<Request<Bytes>, http::Error> {
    Request::builder()
        .method(method)
        .uri(path.as_ref())
        .header(header::HOST, to.to_string())
        .body(body.into())
}
