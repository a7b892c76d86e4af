//! Sockets that notice when the other end is gone without a word.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::time::timeout;

/// How many connections wait to be accepted.
const ACCEPT_BACKLOG: i32 = 4_096;

/// How many probes go without an answer before a connection is dead.
const PROBES: u32 = 2;

/// After which times a connection counts as dead.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Keepalive {
    /// How long it is silent before it is probed.
    pub probe_after: Duration,
    /// The time between two probes.
    pub probe_interval: Duration,
    /// How long sent bytes go without an acknowledgement.
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
    /// Sets the timeouts on a connection.
    ///
    /// # Errors
    ///
    /// Where the system does not take one of them.
    pub fn apply(&self, stream: &TcpStream) -> io::Result<()> {
        let socket = SockRef::from(stream);
        let keepalive = TcpKeepalive::new()
            .with_time(self.probe_after)
            .with_interval(self.probe_interval)
            .with_retries(PROBES);
        socket.set_tcp_nodelay(true)?;
        socket.set_tcp_keepalive(&keepalive)?;
        socket.set_tcp_user_timeout(Some(self.user_timeout))
    }
}

/// Opens a connection within `patience`.
///
/// # Errors
///
/// Where the other end refuses or gives no answer in time.
pub async fn connect(address: SocketAddr, patience: Duration) -> io::Result<TcpStream> {
    let stream = timeout(patience, TcpStream::connect(address))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    // A connection that cannot be watched still carries requests.
    let _ = Keepalive::default().apply(&stream);
    Ok(stream)
}

/// Listens for connections.
///
/// # Errors
///
/// Where the address is taken or not this machine's.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::from_std(bind(address)?)
}

/// Listens for connections outside of a runtime.
///
/// # Errors
///
/// Where the address is taken or not this machine's.
pub fn bind(address: SocketAddr) -> io::Result<std::net::TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(ACCEPT_BACKLOG)?;
    Ok(socket.into())
}

/// Opens a socket for datagrams.
///
/// # Errors
///
/// Where the address is taken or not this machine's.
pub fn bind_udp(address: SocketAddr) -> io::Result<UdpSocket> {
    let socket = Socket::new(Domain::for_address(address), Type::DGRAM, Some(Protocol::UDP))?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    UdpSocket::from_std(socket.into())
}
