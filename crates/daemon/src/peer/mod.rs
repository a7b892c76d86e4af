//! Connections to the other instances of the scheduler.

mod convert;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use prometheus_client::metrics::gauge::Gauge;
use rosemarypond_core::id;
use rosemarypond_core::member::{Message, PEER_TIMEOUT};
use rosemarypond_edge::connections::Connections;
use rosemarypond_edge::memory::{Kind, Memory};
use rosemarypond_edge::socket;
use rosemarypond_wire::Frame;
use rosemarypond_wire::codec::{Codec, MAX_FRAME_BYTES};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::timeout;
use tokio_util::codec::{Decoder, Encoder};

use crate::platform::Listed;

pub use convert::{frame, message};

/// How long a connection to a peer may take to open.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a frame may take to be written before the connection is closed.
pub const WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// The most frames that wait for one peer; more are dropped.
pub const MAX_QUEUED: usize = 256;

/// The most connections from peers.
const MAX_CONNECTIONS: usize = 1_024;
/// The buffer space reserved for one read, in bytes.
const READ_BYTES: usize = 4 * 1024;
/// The pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Counts of the traffic with all peers.
#[derive(Debug, Default)]
pub struct Traffic {
    /// Frames sent.
    pub sent_frames: Cell<u64>,
    /// Bytes sent.
    pub sent_bytes: Cell<u64>,
    /// Frames received.
    pub received_frames: Cell<u64>,
    /// Bytes received.
    pub received_bytes: Cell<u64>,
    /// Frames dropped because the queue was full or the connection failed.
    pub dropped_frames: Cell<u64>,
}

fn add(count: &Cell<u64>, more: usize) {
    count.set(count.get() + more as u64);
}

/// The outgoing queue of one peer.
struct Link {
    address: SocketAddr,
    is_own_zone: bool,
    frames: mpsc::Sender<Frame>,
}

/// The links of one instance to its peers.
#[derive(Clone)]
pub struct Links {
    links: Rc<RefCell<HashMap<id::Instance, Link>>>,
    traffic: Rc<Traffic>,
}

impl Links {
    /// Creates an empty set of links that counts in `traffic`.
    pub fn new(traffic: Rc<Traffic>) -> Self {
        Self { links: Rc::default(), traffic }
    }

    /// Opens and closes links so that exactly `peers` have one. `own_zone` is the
    /// zone of this instance.
    pub fn set_peers<'a>(&self, own_zone: &id::Zone, peers: impl IntoIterator<Item = &'a Listed>) {
        let peers: HashMap<_, _> =
            peers.into_iter().map(|peer| (peer.instance.clone(), peer)).collect();
        let mut links = self.links.borrow_mut();
        links.retain(|id, link| peers.get(id).is_some_and(|peer| peer.peer == link.address));
        for (id, peer) in peers {
            links.entry(id).or_insert_with(|| self.open(peer.peer, peer.zone == *own_zone));
        }
    }

    fn open(&self, address: SocketAddr, is_own_zone: bool) -> Link {
        let (frames, queue) = mpsc::channel(MAX_QUEUED);
        spawn_local(write_frames(address, queue, self.traffic.clone()));
        Link { address, is_own_zone, frames }
    }

    /// Queues a message for one peer.
    pub fn send(&self, to: &id::Instance, message: &Message) {
        let links = self.links.borrow();
        if let Some(link) = links.get(to) {
            self.enqueue(link, frame(message));
        }
    }

    /// Queues a message for all peers in the own zone, or for all in other zones.
    pub fn broadcast(&self, to_own_zone: bool, message: &Message) {
        let links = self.links.borrow();
        for link in links.values().filter(|link| link.is_own_zone == to_own_zone) {
            self.enqueue(link, frame(message));
        }
    }

    fn enqueue(&self, link: &Link, mut frame: Frame) {
        if link.is_own_zone {
            frame.zone.clear();
        }
        if link.frames.try_send(frame).is_err() {
            add(&self.traffic.dropped_frames, 1);
        }
    }
}

/// Writes the frames of a link until the link is closed, reconnecting as needed.
async fn write_frames(address: SocketAddr, mut queue: mpsc::Receiver<Frame>, traffic: Rc<Traffic>) {
    let mut stream = None;
    while let Some(frame) = queue.recv().await {
        let mut buffer = BytesMut::new();
        if Codec::default().encode(frame, &mut buffer).is_err() {
            continue;
        }
        if stream.is_none() {
            stream = socket::connect(address, CONNECT_TIMEOUT).await.ok();
        }
        if write(stream.as_mut(), &buffer).await {
            add(&traffic.sent_frames, 1);
            add(&traffic.sent_bytes, buffer.len());
        } else {
            stream = None;
            add(&traffic.dropped_frames, 1);
        }
    }
}

/// Writes to a peer and reports whether that succeeded in time.
async fn write(stream: Option<&mut TcpStream>, bytes: &[u8]) -> bool {
    let Some(stream) = stream else { return false };
    matches!(timeout(WRITE_TIMEOUT, stream.write_all(bytes)).await, Ok(Ok(())))
}

/// Accepts connections of peers and passes on their messages.
pub async fn listen(
    listener: TcpListener,
    own_zone: id::Zone,
    traffic: Rc<Traffic>,
    connections: Connections,
    deliver: impl Fn(Message) + Clone + 'static,
) {
    let open = Rc::new(());
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        if Rc::strong_count(&open) > MAX_CONNECTIONS {
            connections.count_closed("not-accepted");
            continue;
        }
        let (traffic, deliver, open) = (traffic.clone(), deliver.clone(), open.clone());
        let memory = connections.account().memory(Kind::Frames, &Gauge::default());
        let read = read_frames(stream, own_zone.clone(), traffic, memory, deliver);
        spawn_local(async move {
            read.await;
            drop(open);
        });
    }
}

/// Whether a frame is complete, or too long to be read. The codec reserves the announced
/// length of a partial frame at once, so that it gets only whole ones.
fn has_whole_frame(buffer: &[u8]) -> bool {
    let Some((length, rest)) = buffer.split_first_chunk() else { return false };
    let length = u32::from_be_bytes(*length) as usize;
    rest.len() >= length || length > MAX_FRAME_BYTES
}

/// Reads until the peer closes the connection, violates the protocol or sends
/// nothing for too long, or there is no memory for the rest of a frame.
async fn read_frames(
    mut stream: TcpStream,
    own_zone: id::Zone,
    traffic: Rc<Traffic>,
    mut memory: Memory,
    deliver: impl Fn(Message),
) {
    let (mut codec, mut buffer) = (Codec::default(), BytesMut::new());
    loop {
        buffer.reserve(READ_BYTES);
        let read = timeout(PEER_TIMEOUT * 2, stream.read_buf(&mut buffer)).await;
        let Ok(Ok(count @ 1..)) = read else { return };
        if memory.reserve(count).is_err() {
            return;
        }
        add(&traffic.received_bytes, count);
        while has_whole_frame(&buffer) {
            match codec.decode(&mut buffer) {
                Ok(Some(frame)) => {
                    add(&traffic.received_frames, 1);
                    let Some(message) = message(frame, &own_zone) else { return };
                    deliver(message);
                }
                Ok(None) => break,
                Err(_) => return,
            }
        }
        memory.shrink(buffer.len());
    }
}
