//! Sockets that notice when the other end is gone without a word.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::time::timeout;

/// How long a connection is silent before it is probed.
const PROBE_AFTER: Duration = Duration::from_secs(1);
/// The time between two probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// How many probes go without an answer before a connection is dead.
const PROBES: u32 = 2;
/// How long sent bytes go without an acknowledgement before it is dead.
const UNACKNOWLEDGED: Duration = Duration::from_secs(3);
/// How many connections wait to be accepted.
const ACCEPT_BACKLOG: i32 = 1_024;

/// Sets the timeouts that find a dead connection.
pub fn watch(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(PROBE_AFTER)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBES);
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED))
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
    let _ = watch(&stream);
    Ok(stream)
}

/// Listens for connections.
///
/// # Errors
///
/// Where the address is taken or not this machine's.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(ACCEPT_BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Opens a socket for datagrams.
///
/// # Errors
///
/// Where the address is taken or not this machine's.
pub fn datagrams(address: SocketAddr) -> io::Result<UdpSocket> {
    let socket = Socket::new(Domain::for_address(address), Type::DGRAM, Some(Protocol::UDP))?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    UdpSocket::from_std(socket.into())
}
