//! Kept connections to upstreams, each for one request at a time.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response, http};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::{AbortHandle, spawn_local};

use crate::{clock, socket};

/// How long a connection is kept where its upstream states no timeout.
const DEFAULT_IDLE: Duration = Duration::from_secs(3);
/// A kept connection is given up this long before its upstream would.
const IDLE_MARGIN: Duration = Duration::from_millis(400);
/// The most kept connections to one upstream.
const MAX_IDLE: usize = 8;

/// Counts what was written, to tell whether a request left at all.
#[derive(Debug)]
struct Counted {
    stream: TcpStream,
    written: Rc<Cell<u64>>,
    is_settled: Rc<Cell<bool>>,
}

impl Drop for Counted {
    /// Resets a connection that ends with a request on it: bytes that are held
    /// up on the way must not reach the upstream after the request was given
    /// up on.
    fn drop(&mut self) {
        if !self.is_settled.get() {
            // Where that fails the connection is closed in order.
            let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
        }
    }
}

impl Counted {
    fn count(&self, written: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(n)) = written {
            self.written.set(self.written.get() + *n as u64);
        }
    }
}

impl AsyncRead for Counted {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl AsyncWrite for Counted {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.count(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, slices);
        self.count(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// Closes the connection when it is dropped.
#[derive(Debug)]
struct Driver(AbortHandle);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A connection to an upstream; dropping it closes it at once.
#[derive(Debug)]
pub struct Connection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    written: Rc<Cell<u64>>,
    /// Whether no request is on it.
    is_settled: Rc<Cell<bool>>,
    _driver: Driver,
}

/// How sending a request failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendError {
    /// Not a byte of it left.
    NotSent,
    /// Some of it left; the upstream may have run it.
    Broken,
}

impl Connection {
    /// Opens a connection within `patience`.
    ///
    /// # Errors
    ///
    /// Where the other end refuses or gives no answer in time.
    pub async fn open(address: SocketAddr, patience: Duration) -> io::Result<Self> {
        let stream = socket::connect(address, patience).await?;
        let written = Rc::new(Cell::new(0));
        let is_settled = Rc::new(Cell::new(true));
        let counted = Counted { stream, written: written.clone(), is_settled: is_settled.clone() };
        let (sender, connection) =
            http1::handshake(TokioIo::new(counted)).await.map_err(io::Error::other)?;
        let driver = spawn_local(async move {
            // An error shows at the request that it concerns.
            let _ = connection.await;
        });
        Ok(Self { address, sender, written, is_settled, _driver: Driver(driver.abort_handle()) })
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// Says whether the request may have reached the upstream.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        let before = self.written.get();
        self.is_settled.set(false);
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            Err(error) if error.message().is_some() => Err(SendError::NotSent),
            Err(_) if self.written.get() == before => Err(SendError::NotSent),
            Err(_) => Err(SendError::Broken),
        }
    }

    /// Notes that the answer was read to its end.
    pub fn mark_idle(&self) {
        self.is_settled.set(true);
    }

    /// Whether the other end has not closed it.
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: Instant,
}

/// The kept connections.
#[derive(Debug, Default)]
pub struct Pool {
    idle: RefCell<HashMap<SocketAddr, Vec<Idle>>>,
}

impl Pool {
    /// Takes a kept connection, or opens one within `patience`.
    ///
    /// # Errors
    ///
    /// Where none is kept and the upstream cannot be reached.
    pub async fn take(&self, address: SocketAddr, patience: Duration) -> io::Result<Connection> {
        while let Some(mut connection) = self.take_idle(address) {
            if connection.sender.ready().await.is_ok() {
                return Ok(connection);
            }
        }
        Connection::open(address, patience).await
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let now = clock::now();
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(&address)?;
        kept.retain(|i| now < i.until && !i.connection.sender.is_closed());
        kept.pop().map(|i| i.connection)
    }

    /// Keeps a connection whose answer was read to its end, as far as the head
    /// of the answer lets it.
    pub fn keep(&self, connection: Connection, answer: &http::response::Parts) {
        connection.mark_idle();
        let header = |name| answer.headers.get(name).and_then(|v| v.to_str().ok());
        let closes = |value: &str| value.eq_ignore_ascii_case("close");
        if connection.sender.is_closed() || header(http::header::CONNECTION).is_some_and(closes) {
            return;
        }
        let keep_alive = header(http::HeaderName::from_static("keep-alive"));
        let idle_timeout = keep_alive.and_then(idle_timeout);
        let keep = idle_timeout.unwrap_or(DEFAULT_IDLE).saturating_sub(IDLE_MARGIN);
        let until = clock::now() + keep;
        let mut idle = self.idle.borrow_mut();
        let kept = idle.entry(connection.address).or_default();
        if kept.len() < MAX_IDLE {
            kept.push(Idle { connection, until });
        }
    }

    /// Closes the connections that were kept for too long, and those to
    /// upstreams that are gone.
    pub fn sweep(&self, is_known: impl Fn(&SocketAddr) -> bool) {
        let now = clock::now();
        self.idle.borrow_mut().retain(|address, kept| {
            kept.retain(|i| now < i.until && !i.connection.sender.is_closed());
            !kept.is_empty() && is_known(address)
        });
    }
}

/// The time that a header such as `timeout=5, max=100` states.
fn idle_timeout(header: &str) -> Option<Duration> {
    let timeout = header.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    timeout.trim().parse().ok().map(Duration::from_secs)
}
