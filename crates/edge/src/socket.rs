//! TCP and UDP sockets; a connection detects that its other end has gone without
//! closing it.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::time::timeout;

/// How many connections may wait to be accepted.
const ACCEPT_BACKLOG: i32 = 4_096;

/// How many unanswered probes end a connection.
const MAX_UNANSWERED_PROBES: u32 = 2;

/// How unresponsive connections are detected and ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Keepalive {
    /// How long a connection is idle before it is probed.
    pub probe_after: Duration,
    /// The time between two probes.
    pub probe_interval: Duration,
    /// How long sent bytes may stay unacknowledged before the connection ends.
    pub user_timeout: Duration,
}

impl Default for Keepalive {
    fn default() -> Self {
        Self {
            probe_after: Duration::from_secs(1),
            probe_interval: Duration::from_secs(1),
            user_timeout: Duration::from_secs(3),
        }
    }
}

impl Keepalive {
    /// Sets these timeouts on a connection, and disables Nagle's algorithm.
    ///
    /// # Errors
    ///
    /// Where the system rejects one of the options.
    pub fn apply(&self, stream: &TcpStream) -> io::Result<()> {
        let socket = SockRef::from(stream);
        let keepalive = TcpKeepalive::new()
            .with_time(self.probe_after)
            .with_interval(self.probe_interval)
            .with_retries(MAX_UNANSWERED_PROBES);
        socket.set_tcp_nodelay(true)?;
        socket.set_tcp_keepalive(&keepalive)?;
        socket.set_tcp_user_timeout(Some(self.user_timeout))
    }
}

/// Opens a connection within `connect_timeout`.
///
/// # Errors
///
/// Where the other end refuses the connection or does not accept it in time.
pub async fn connect(address: SocketAddr, connect_timeout: Duration) -> io::Result<TcpStream> {
    let stream = timeout(connect_timeout, TcpStream::connect(address))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    // Without keepalive the connection still carries requests.
    let _ = Keepalive::default().apply(&stream);
    Ok(stream)
}

/// Listens for connections.
///
/// # Errors
///
/// Where the address is in use or not one of this machine's.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::from_std(bind(address)?)
}

/// Listens for connections, with a listener that needs no runtime yet.
///
/// # Errors
///
/// Where the address is in use or not one of this machine's.
pub fn bind(address: SocketAddr) -> io::Result<std::net::TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(ACCEPT_BACKLOG)?;
    Ok(socket.into())
}

/// Opens a UDP socket.
///
/// # Errors
///
/// Where the address is in use or not one of this machine's.
pub fn bind_udp(address: SocketAddr) -> io::Result<UdpSocket> {
    let socket = Socket::new(Domain::for_address(address), Type::DGRAM, Some(Protocol::UDP))?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    UdpSocket::from_std(socket.into())
}
