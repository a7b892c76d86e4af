//! A pool of idle connections to upstreams, each for one request at a time.

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

/// How long an idle connection is kept where its upstream states no timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// No idle connection is kept for longer, whatever its upstream states.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(3_600);
/// An idle connection is closed this long before its upstream would close it.
const IDLE_MARGIN: Duration = Duration::from_millis(400);
/// The most idle connections to one upstream.
const MAX_IDLE: usize = 8;

/// A TCP stream that counts the bytes written, which shows whether any part of a
/// request was sent.
#[derive(Debug)]
struct Stream {
    stream: TcpStream,
    written: Rc<Cell<u64>>,
    is_idle: Rc<Cell<bool>>,
    awaited: Rc<Cell<Awaited>>,
}

/// What is received while the head of a response is awaited.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Awaited {
    /// No head is awaited.
    #[default]
    Nothing,
    /// So many bytes were received, and no head.
    Head(usize),
    /// More than [`MAX_BYTES_BEFORE_HEAD`] were received, and no head.
    Flood,
}

impl Awaited {
    /// Records that so many bytes were received.
    fn after(self, bytes: usize) -> Self {
        match self {
            Self::Head(before) if before + bytes <= MAX_BYTES_BEFORE_HEAD => {
                Self::Head(before + bytes)
            }
            Self::Head(_) => Self::Flood,
            other => other,
        }
    }
}

impl Drop for Stream {
    /// Resets a connection that is dropped with a request in flight: bytes that
    /// are delayed on the way must not reach the upstream after the attempt was
    /// abandoned.
    fn drop(&mut self) {
        if !self.is_idle.get() {
            // Where this fails, the connection is closed without a reset.
            let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
        }
    }
}

impl Stream {
    fn count(&self, written: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(n)) = written {
            self.written.set(self.written.get() + *n as u64);
        }
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buffer);
        let awaited = self.awaited.get().after(buffer.filled().len() - before);
        self.awaited.set(awaited);
        if awaited == Awaited::Flood {
            return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
        }
        read
    }
}

impl AsyncWrite for Stream {
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

/// The most that is read ahead on a connection, in bytes; no head of a response may be
/// longer. No account counts these buffers.
const MAX_BUFFER_BYTES: usize = 16 << 10;

/// The most bytes that may come before the head of a response is complete, informational
/// heads included: hyper would read these without an end, and without a pause.
const MAX_BYTES_BEFORE_HEAD: usize = 64 << 10;

/// The task that drives a connection; dropping it closes the connection.
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
    /// Whether no request is in flight.
    is_idle: Rc<Cell<bool>>,
    awaited: Rc<Cell<Awaited>>,
    _driver: Driver,
}

/// How sending a request failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Error {
    /// No byte of it was sent.
    NotSent,
    /// Part of it was sent, and the connection ended; the upstream may have run it.
    Lost,
    /// It was sent, and the response is not valid HTTP; the upstream may have run it.
    Invalid,
}

impl Connection {
    /// Opens a connection within `connect_timeout`.
    ///
    /// # Errors
    ///
    /// Where the upstream refuses the connection or does not accept it in time.
    pub async fn open(address: SocketAddr, connect_timeout: Duration) -> io::Result<Self> {
        let stream = socket::connect(address, connect_timeout).await?;
        let written = Rc::new(Cell::new(0));
        let is_idle = Rc::new(Cell::new(true));
        let awaited = Rc::new(Cell::new(Awaited::Nothing));
        let stream = Stream {
            stream,
            written: written.clone(),
            is_idle: is_idle.clone(),
            awaited: awaited.clone(),
        };
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        let driver = spawn_local(async move {
            // `send` returns the errors of the request in flight.
            let _ = connection.await;
        });
        let _driver = Driver(driver.abort_handle());
        Ok(Self { address, sender, written, is_idle, awaited, _driver })
    }

    /// Sends a request and waits for the head of its response.
    ///
    /// # Errors
    ///
    /// Where no response came; the error states whether the request may have
    /// reached the upstream.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Error> {
        let before = self.written.get();
        self.is_idle.set(false);
        self.awaited.set(Awaited::Head(0));
        let answer = self.sender.try_send_request(request).await;
        match answer {
            Ok(response) => {
                self.awaited.set(Awaited::Nothing);
                Ok(response)
            }
            Err(_) if self.awaited.get() == Awaited::Flood => Err(Error::Invalid),
            Err(error) if error.message().is_some() => Err(Error::NotSent),
            Err(_) if self.written.get() == before => Err(Error::NotSent),
            Err(error) if error.error().is_parse() => Err(Error::Invalid),
            Err(_) => Err(Error::Lost),
        }
    }

    /// Records that the response was read to its end.
    pub fn mark_idle(&self) {
        self.is_idle.set(true);
    }

    /// Whether another request can be sent at once.
    pub fn is_ready(&self) -> bool {
        !self.sender.is_closed() && self.sender.is_ready()
    }

    /// Whether the last request is still being written, although it may be answered:
    /// an upstream may answer early and read on later.
    pub fn is_writing(&self) -> bool {
        !self.sender.is_closed() && !self.sender.is_ready()
    }
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    expires_at: Instant,
}

/// The idle connections, by address.
#[derive(Debug, Default)]
pub struct Pool {
    idle: RefCell<HashMap<SocketAddr, Vec<Idle>>>,
}

impl Pool {
    /// Takes an idle connection, or opens one within `connect_timeout`.
    ///
    /// # Errors
    ///
    /// Where none is idle and the upstream cannot be reached.
    pub async fn take(
        &self,
        address: SocketAddr,
        connect_timeout: Duration,
    ) -> io::Result<Connection> {
        match self.take_idle(address) {
            Some(connection) => Ok(connection),
            None => Connection::open(address, connect_timeout).await,
        }
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let now = clock::now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        connections.retain(|entry| now < entry.expires_at && entry.connection.is_ready());
        connections.pop().map(|entry| entry.connection)
    }

    /// Keeps a connection that was opened and not used.
    pub fn keep_new(&self, connection: Connection) {
        self.put(connection, DEFAULT_IDLE_TIMEOUT);
    }

    /// Keeps a connection whose response was read to its end for reuse, as far as it is
    /// ready and the head of the response allows it.
    pub fn keep(&self, connection: Connection, response: &http::response::Parts) {
        connection.mark_idle();
        let header = |name| response.headers.get(name).and_then(|v| v.to_str().ok());
        let closes = |value: &str| value.eq_ignore_ascii_case("close");
        if !connection.is_ready() || header(http::header::CONNECTION).is_some_and(closes) {
            return;
        }
        let keep_alive = header(http::HeaderName::from_static("keep-alive"));
        let idle_timeout = keep_alive.and_then(idle_timeout);
        self.put(connection, idle_timeout.unwrap_or(DEFAULT_IDLE_TIMEOUT));
    }

    fn put(&self, connection: Connection, idle_timeout: Duration) {
        let idle_timeout = idle_timeout.min(MAX_IDLE_TIMEOUT);
        let expires_at = clock::now() + idle_timeout.saturating_sub(IDLE_MARGIN);
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(connection.address).or_default();
        if connections.len() < MAX_IDLE {
            connections.push(Idle { connection, expires_at });
        }
    }

    /// Closes the idle connections to an address.
    pub fn close(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Closes the connections that have been idle for too long, and those to
    /// addresses that are no longer known.
    pub fn sweep(&self, is_known: impl Fn(&SocketAddr) -> bool) {
        let now = clock::now();
        self.idle.borrow_mut().retain(|address, connections| {
            connections.retain(|entry| now < entry.expires_at && entry.connection.is_ready());
            !connections.is_empty() && is_known(address)
        });
    }
}

/// Reads the timeout of a `Keep-Alive` header such as `timeout=5, max=100`.
fn idle_timeout(header: &str) -> Option<Duration> {
    let timeout = header.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    timeout.trim().parse().ok().map(Duration::from_secs)
}
