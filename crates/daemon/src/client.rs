//! An HTTP client with a timeout that returns whole answers. It follows no
//! redirects, and it does not resend a request of which a byte was written.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Request, header, http};
use rosemarypond_edge::pool::{self, Connection, Pool};
use tokio::time::timeout;

use crate::answer::Answer;

/// Why there is no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// No byte of the request was written.
    #[error("there is no connection")]
    NotSent,
    /// The connection broke, or the answer is too long.
    #[error("the answer broke off")]
    Broken,
    /// The timeout expired.
    #[error("no answer came in time")]
    TimedOut,
}

/// An HTTP client with pooled connections.
#[derive(Debug)]
pub struct Client {
    pool: Pool,
    call_timeout: Duration,
    max_answer_bytes: usize,
}

impl Client {
    /// Creates a client whose calls take at most `call_timeout` each.
    pub fn new(call_timeout: Duration, max_answer_bytes: usize) -> Self {
        Self { pool: Pool::default(), call_timeout, max_answer_bytes }
    }

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    ///
    /// Where no whole answer came in time.
    pub async fn call(&self, to: SocketAddr, request: Request<Bytes>) -> Result<Answer, Error> {
        timeout(self.call_timeout, self.exchange(to, request)).await.unwrap_or(Err(Error::TimedOut))
    }

    async fn exchange(&self, to: SocketAddr, request: Request<Bytes>) -> Result<Answer, Error> {
        let mut connection =
            self.pool.take(to, self.call_timeout).await.map_err(|_| Error::NotSent)?;
        let response = match connection.send(request.clone().map(Full::new)).await {
            // The server may have closed the pooled connection meanwhile.
            Err(pool::Error::NotSent) => {
                connection =
                    Connection::open(to, self.call_timeout).await.map_err(|_| Error::NotSent)?;
                connection.send(request.map(Full::new)).await
            }
            other => other,
        };
        let response = response.map_err(|failed| match failed {
            pool::Error::NotSent => Error::NotSent,
            pool::Error::Lost | pool::Error::Invalid => Error::Broken,
        })?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, self.max_answer_bytes).collect().await;
        let body = body.map_err(|_| Error::Broken)?.to_bytes();
        self.pool.keep(connection, &head);
        Ok(Answer::from_response(&head, body))
    }
}

/// Builds a request whose only header is the host.
///
/// # Errors
///
/// Where the path is invalid.
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
