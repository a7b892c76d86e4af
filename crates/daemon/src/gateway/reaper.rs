//! Ends callers' connections on which nothing arrives any more.
//!
//! The HTTP library gives each connection a thread and has no limit in time:
//! an idle connection, or one whose body stays half sent, would hold its thread
//! for good. The reaper looks at the process's own sockets from time to time
//! and shuts down those that have been silent for too long while no request of
//! theirs is served.

use std::collections::HashSet;
use std::io;
use std::net::SocketAddr;
use std::os::fd::{AsRawFd, FromRawFd, OwnedFd, RawFd};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use socket2::{SockRef, Socket};

/// How often the sockets are looked at, as a divisor of the allowed silence.
const LOOKS: u32 = 4;

/// The callers whose whole request has arrived and is being served.
#[derive(Clone, Debug, Default)]
pub struct Served(Arc<Mutex<HashSet<SocketAddr>>>);

/// Takes a caller off [`Served`] when its request is over.
#[derive(Debug)]
pub struct Guard {
    served: Served,
    caller: Option<SocketAddr>,
}

impl Served {
    /// Notes that a caller's request is served until the guard is dropped.
    pub fn begin(&self, caller: Option<SocketAddr>) -> Guard {
        if let Some(caller) = caller {
            self.0.lock().expect("no holder panics").insert(caller);
        }
        Guard { served: self.clone(), caller }
    }

    fn has(&self, caller: SocketAddr) -> bool {
        self.0.lock().expect("no holder panics").contains(&caller)
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        if let Some(caller) = self.caller {
            self.served.0.lock().expect("no holder panics").remove(&caller);
        }
    }
}

/// Starts to end connections to `local` that are silent for longer than `most`.
///
/// # Errors
///
/// Where the system gives no thread.
pub fn start(local: SocketAddr, most: Duration, served: Served) -> io::Result<()> {
    thread::Builder::new().name("reaper".into()).spawn(move || {
        loop {
            thread::sleep(most / LOOKS);
            // Without the list of its own sockets there is nothing to be done.
            let _ = end_silent(local, most, &served);
        }
    })?;
    Ok(())
}

fn end_silent(local: SocketAddr, most: Duration, served: &Served) -> io::Result<()> {
    for entry in std::fs::read_dir("/proc/self/fd")? {
        let name = entry?.file_name();
        let Some(number) = name.to_str().and_then(|name| name.parse().ok()) else { continue };
        let Some(socket) = caller_socket(number, local) else { continue };
        let Some(caller) = socket.peer_addr().ok().and_then(|a| a.as_socket()) else { continue };
        if !served.has(caller) && silence(&socket).is_some_and(|silence| silence > most) {
            // The caller may have closed it meanwhile.
            let _ = socket.shutdown(std::net::Shutdown::Both);
        }
    }
    Ok(())
}

/// A second handle of a descriptor, if it is a caller's connection to `local`.
fn caller_socket(number: RawFd, local: SocketAddr) -> Option<Socket> {
    // SAFETY: the call takes any number and fails on one that is not open.
    let copy = unsafe { libc::fcntl(number, libc::F_DUPFD_CLOEXEC, 0) };
    if copy < 0 {
        return None;
    }
    // SAFETY: the descriptor was made above and nobody else owns it.
    let copy = unsafe { OwnedFd::from_raw_fd(copy) };
    let own = SockRef::from(&copy).local_addr().ok()?.as_socket()?;
    (own.port() == local.port()).then(|| Socket::from(copy))
}

/// How long ago the last data came.
fn silence(socket: &Socket) -> Option<Duration> {
    // SAFETY: all zeroes are a valid value of this plain structure.
    let mut info: libc::tcp_info = unsafe { std::mem::zeroed() };
    let mut length = std::mem::size_of::<libc::tcp_info>() as libc::socklen_t;
    // SAFETY: the pointer and the length describe `info`, which outlives the call.
    let result = unsafe {
        libc::getsockopt(
            socket.as_raw_fd(),
            libc::IPPROTO_TCP,
            libc::TCP_INFO,
            (&raw mut info).cast(),
            &mut length,
        )
    };
    (result == 0).then(|| Duration::from_millis(u64::from(info.tcpi_last_data_recv)))
}
