//! Callers that nobody controls: many connections whose requests are large, slow,
//! unfinished or unread.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// The pause between two rounds over all connections.
const ROUND_PAUSE: Duration = Duration::from_millis(2);
/// The pause before a closed connection is opened again.
const REOPEN_PAUSE: Duration = Duration::from_millis(100);
/// The most bytes that one connection sends in one round.
const MAX_ROUND_BYTES: usize = 256 << 10;
/// How long a connection may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// What each connection sends, and how fast it sends and reads.
#[derive(Clone, Debug)]
pub struct Script {
    /// The bytes that are sent first.
    pub head: Vec<u8>,
    /// The bytes that are sent afterwards.
    pub rest: Vec<u8>,
    /// How often the rest is sent; after that the connection stays open.
    pub times: usize,
    /// The most bytes in one write.
    pub piece: usize,
    /// The pause after each write.
    pub pause: Duration,
    /// The most bytes that are read in one round; 0 to read nothing.
    pub read: usize,
}

impl Default for Script {
    fn default() -> Self {
        let (piece, pause) = (MAX_ROUND_BYTES, Duration::ZERO);
        Self { head: vec![], rest: vec![], times: 0, piece, pause, read: 0 }
    }
}

impl Script {
    /// The bytes to send after the first `sent`, which are empty at the end.
    fn next(&self, sent: usize) -> &[u8] {
        let Some(beyond) = sent.checked_sub(self.head.len()) else {
            let end = self.head.len().min(sent + self.piece);
            return &self.head[sent..end];
        };
        let length = self.rest.len();
        if length == 0 || beyond / length >= self.times {
            return &[];
        }
        let start = beyond % length;
        &self.rest[start..length.min(start + self.piece)]
    }
}

/// One connection of the crowd.
struct Member {
    stream: Option<TcpStream>,
    sent: usize,
    due: Instant,
}

impl Member {
    fn open(&mut self, to: SocketAddr) {
        let opened = TcpStream::connect_timeout(&to, CONNECT_TIMEOUT);
        self.stream = opened.ok().filter(|stream| stream.set_nonblocking(true).is_ok());
        self.sent = 0;
    }

    /// Sends and reads what the script allows in one round; closes the connection if
    /// the other end has closed it.
    fn step(&mut self, script: &Script) {
        let Some(stream) = &mut self.stream else { return };
        let mut is_open = read(stream, script.read);
        let mut budget = MAX_ROUND_BYTES;
        while is_open && Instant::now() >= self.due {
            let bytes = script.next(self.sent);
            if bytes.is_empty() || budget < bytes.len() {
                break;
            }
            match stream.write(bytes) {
                Ok(count) => {
                    self.sent += count;
                    budget -= count;
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(_) => is_open = false,
            }
            if !script.pause.is_zero() {
                self.due = Instant::now() + script.pause;
            }
        }
        if !is_open {
            self.stream = None;
            self.due = Instant::now() + REOPEN_PAUSE;
        }
    }
}

/// Reads at most so many bytes; returns whether the connection is still open.
fn read(stream: &mut TcpStream, most: usize) -> bool {
    if most == 0 {
        return true;
    }
    match stream.read(&mut vec![0; most]) {
        Ok(count) => count > 0,
        Err(e) => e.kind() == ErrorKind::WouldBlock,
    }
}

/// Connections that stay open until this is dropped.
pub struct Crowd {
    members: Vec<Member>,
}

impl Crowd {
    /// Drives `count` connections for `time`; one that is closed is opened again.
    pub fn drive(to: SocketAddr, count: usize, script: &Script, time: Duration) -> Self {
        let start = Instant::now();
        let member = || Member { stream: None, sent: 0, due: start };
        let mut members: Vec<_> = (0..count).map(|_| member()).collect();
        while start.elapsed() < time {
            for member in &mut members {
                if member.stream.is_none() && Instant::now() >= member.due {
                    member.open(to);
                }
                member.step(script);
            }
            thread::sleep(ROUND_PAUSE);
        }
        Self { members }
    }

    /// How many connections are open, as far as this end knows.
    pub fn open(&self) -> usize {
        self.members.iter().filter(|member| member.stream.is_some()).count()
    }
}

/// Peak memory and open descriptors of a process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Usage {
    /// The peak of its resident memory, in bytes.
    pub peak_bytes: usize,
    /// Its open file descriptors.
    pub descriptors: usize,
}

impl Usage {
    /// Returns the usage of a process; `None` where it has ended.
    ///
    /// ```
    /// let usage = rosemarypond_standin::crowd::Usage::of(std::process::id());
    /// assert!(usage.is_some_and(|usage| usage.peak_bytes > 0 && usage.descriptors > 0));
    /// ```
    pub fn of(process: u32) -> Option<Self> {
        let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
        let kib: usize = line.trim().strip_suffix(" kB")?.parse().ok()?;
        let descriptors = std::fs::read_dir(format!("/proc/{process}/fd")).ok()?.count();
        Some(Self { peak_bytes: kib << 10, descriptors })
    }
}

/// The kinds of callers, each with its script for a request line and headers. `start`
/// holds the request line and all headers but those of the body, each with its line end.
pub mod kind {
    use std::time::Duration;

    use super::Script;

    /// Bytes of a body that are sent at once.
    const BLOCK_BYTES: usize = 4 << 10;
    /// The pause between two bytes of a slow sender.
    const SLOW_PAUSE: Duration = Duration::from_millis(50);

    fn with_length(start: &str, length: usize) -> Vec<u8> {
        format!("{start}Content-Length: {length}\r\n\r\n").into()
    }

    fn chunk(bytes: usize) -> Vec<u8> {
        format!("{bytes:x}\r\n{}\r\n", "x".repeat(bytes)).into()
    }

    /// A body of `length` bytes that lacks its last block, sent as fast as possible.
    pub fn unfinished_body(start: &str, length: usize) -> Script {
        let (head, rest) = (with_length(start, length), vec![b'x'; BLOCK_BYTES]);
        Script { head, rest, times: length / BLOCK_BYTES - 1, ..Script::default() }
    }

    /// The same in pieces of 1,000 bytes.
    pub fn unfinished_body_in_pieces(start: &str, length: usize) -> Script {
        Script { piece: 1_000, ..unfinished_body(start, length) }
    }

    /// A body of almost `length` bytes in small chunks, without its last chunk.
    pub fn unfinished_chunks(start: &str, length: usize) -> Script {
        let head = format!("{start}Transfer-Encoding: chunked\r\n\r\n").into();
        let rest = chunk(BLOCK_BYTES / 4);
        Script { head, rest, times: 4 * (length / BLOCK_BYTES - 1), ..Script::default() }
    }

    /// A body that is announced with a length far over any limit.
    pub fn overlong_body(start: &str) -> Script {
        let (head, rest) = (with_length(start, 1 << 40), vec![b'x'; BLOCK_BYTES]);
        Script { head, rest, times: usize::MAX, read: 4_096, ..Script::default() }
    }

    /// Chunks without end.
    pub fn endless_chunks(start: &str) -> Script {
        let head = format!("{start}Transfer-Encoding: chunked\r\n\r\n").into();
        Script { head, rest: chunk(BLOCK_BYTES), times: usize::MAX, ..Script::default() }
    }

    /// A head of `bytes` bytes whose fields are as short as possible, without its end.
    pub fn many_fields(start: &str, bytes: usize) -> Script {
        let times = bytes.saturating_sub(start.len()) / 5;
        Script { head: start.into(), rest: b"a:b\r\n".to_vec(), times, ..Script::default() }
    }

    /// Requests without end on one connection, whose responses are not read.
    pub fn unread_pipeline(start: &str) -> Script {
        let rest = with_length(start, 0);
        Script { rest, times: usize::MAX, ..Script::default() }
    }

    /// A request with a body of `length` bytes that is sent byte by byte.
    pub fn slow_sender(start: &str, length: usize) -> Script {
        let (head, rest) = (with_length(start, length), b"x".to_vec());
        Script { head, rest, times: length, piece: 1, pause: SLOW_PAUSE, ..Script::default() }
    }

    /// A request that stops in the middle of its head.
    pub fn half_head(start: &str) -> Script {
        Script { head: start.into(), ..Script::default() }
    }

    /// A whole request, whose response is read byte by byte.
    pub fn slow_reader(start: &str, body: &[u8]) -> Script {
        let mut head = with_length(start, body.len());
        head.extend_from_slice(body);
        Script { head, read: 1, ..Script::default() }
    }
}
