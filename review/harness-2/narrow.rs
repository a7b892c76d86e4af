//! Connections with a small receive buffer, as a client on a small machine has.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::os::fd::{FromRawFd, OwnedFd};

const AF_INET: i32 = 2;
const SOCK_STREAM: i32 = 1;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;

#[repr(C)]
struct Address {
    family: u16,
    port: [u8; 2],
    ip: [u8; 4],
    zero: [u8; 8],
}

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(socket: i32, address: *const Address, length: u32) -> i32;
}

/// Opens a connection whose receive buffer is set to `bytes` before it is opened: its window
/// cannot be made smaller afterwards.
pub fn open(address: SocketAddr, bytes: i32) -> io::Result<TcpStream> {
    let SocketAddr::V4(v4) = address else {
        return Err(io::ErrorKind::Unsupported.into());
    };
    let target = Address {
        family: AF_INET as u16,
        port: v4.port().to_be_bytes(),
        ip: v4.ip().octets(),
        zero: [0; 8],
    };
    // SAFETY: the descriptor is new and owned by nobody else; the pointers are to values that
    // live during the calls, with their lengths.
    unsafe {
        let descriptor = socket(AF_INET, SOCK_STREAM, 0);
        if descriptor < 0 {
            return Err(io::Error::last_os_error());
        }
        let owned = OwnedFd::from_raw_fd(descriptor);
        if setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &bytes, 4) != 0
            || connect(descriptor, &target, 16) != 0
        {
            return Err(io::Error::last_os_error());
        }
        Ok(TcpStream::from(owned))
    }
}
