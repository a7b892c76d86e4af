//! Links to the other entry instances.

mod convert;

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use bytes::BytesMut;
use rosemarypond_core::id;
use rosemarypond_core::member::{Message, SILENCE};
use rosemarypond_wire::Frame;
use rosemarypond_wire::codec::Codec;
use tokio_util::codec::{Decoder, Encoder};

use crate::platform::Listed;

pub use convert::{frame, message};

/// How long a connection to a peer may take to open.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a frame may take to be written; a peer that takes longer is silent.
pub const WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// How many frames wait for a peer before more are dropped.
pub const MAX_QUEUED: usize = 256;

const STACK_BYTES: usize = 128 * 1024;
const READ_BYTES: usize = 16 * 1024;

/// What went over the links so far.
#[derive(Debug, Default)]
pub struct Traffic {
    /// Frames that were sent.
    pub sent_frames: AtomicU64,
    /// Bytes that were sent.
    pub sent_bytes: AtomicU64,
    /// Frames that were received.
    pub received_frames: AtomicU64,
    /// Bytes that were received.
    pub received_bytes: AtomicU64,
    /// Frames that were dropped because a peer did not take them.
    pub dropped_frames: AtomicU64,
}

struct Link {
    address: SocketAddr,
    own_zone: bool,
    frames: SyncSender<Frame>,
}

/// The links of one instance.
#[derive(Clone)]
pub struct Links {
    links: Arc<Mutex<HashMap<id::Instance, Link>>>,
    traffic: Arc<Traffic>,
}

impl Links {
    /// No links yet; traffic is counted in `traffic`.
    pub fn new(traffic: Arc<Traffic>) -> Self {
        Self { links: Arc::default(), traffic }
    }

    /// Links an instance of `zone` to exactly the peers that are given.
    pub fn set_peers<'a>(&self, zone: &id::Zone, peers: impl IntoIterator<Item = &'a Listed>) {
        let wanted: HashMap<_, _> =
            peers.into_iter().map(|peer| (peer.instance.clone(), peer)).collect();
        let mut links = self.links.lock().expect("no holder panics");
        links.retain(|id, link| wanted.get(id).is_some_and(|peer| peer.peer == link.address));
        for (id, peer) in wanted {
            links.entry(id).or_insert_with(|| self.open(peer.peer, peer.zone == *zone));
        }
    }

    fn open(&self, address: SocketAddr, own_zone: bool) -> Link {
        let (frames, queue) = sync_channel(MAX_QUEUED);
        let traffic = Arc::clone(&self.traffic);
        spawn(move || write_frames(address, &queue, &traffic));
        Link { address, own_zone, frames }
    }

    /// Sends a message to one peer.
    pub fn send(&self, to: &id::Instance, message: &Message) {
        let links = self.links.lock().expect("no holder panics");
        if let Some(link) = links.get(to) {
            self.push(link, frame(message));
        }
    }

    /// Sends a message to the peers of the own zone, or of the others.
    pub fn broadcast(&self, own_zone: bool, message: &Message) {
        let links = self.links.lock().expect("no holder panics");
        for link in links.values().filter(|link| link.own_zone == own_zone) {
            self.push(link, frame(message));
        }
    }

    fn push(&self, link: &Link, mut frame: Frame) {
        if link.own_zone {
            frame.zone.clear();
        }
        if let Err(TrySendError::Full(_)) = link.frames.try_send(frame) {
            self.traffic.dropped_frames.fetch_add(1, Ordering::Relaxed);
        }
    }
}

fn spawn(work: impl FnOnce() + Send + 'static) {
    // A link without a thread drops its queue; the peer then counts as silent.
    drop(thread::Builder::new().stack_size(STACK_BYTES).spawn(work));
}

fn write_frames(address: SocketAddr, queue: &Receiver<Frame>, traffic: &Traffic) {
    let mut stream = None;
    for frame in queue {
        let mut buffer = BytesMut::new();
        if Codec::default().encode(frame, &mut buffer).is_err() {
            continue;
        }
        if stream.is_none() {
            stream = connect(address);
        }
        let written = stream.as_mut().is_some_and(|s: &mut TcpStream| s.write_all(&buffer).is_ok());
        if written {
            traffic.sent_frames.fetch_add(1, Ordering::Relaxed);
            traffic.sent_bytes.fetch_add(buffer.len() as u64, Ordering::Relaxed);
        } else {
            stream = None;
            traffic.dropped_frames.fetch_add(1, Ordering::Relaxed);
        }
    }
}

fn connect(address: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok()?;
    stream.set_write_timeout(Some(WRITE_TIMEOUT)).ok()?;
    stream.set_nodelay(true).ok()?;
    Some(stream)
}

/// Takes connections of peers and hands over their messages.
pub fn listen(
    listener: TcpListener,
    own_zone: id::Zone,
    traffic: Arc<Traffic>,
    hand_over: impl Fn(Message) + Clone + Send + 'static,
) {
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let (traffic, hand_over) = (Arc::clone(&traffic), hand_over.clone());
            let own_zone = own_zone.clone();
            spawn(move || read_frames(stream, &own_zone, &traffic, &hand_over));
        }
    });
}

/// Reads until the peer closes, breaks the protocol or falls silent.
fn read_frames(
    mut stream: TcpStream,
    own_zone: &id::Zone,
    traffic: &Traffic,
    hand_over: &impl Fn(Message),
) {
    if stream.set_read_timeout(Some(SILENCE * 2)).is_err() {
        return;
    }
    let (mut codec, mut buffer) = (Codec::default(), BytesMut::new());
    let mut bytes = [0; READ_BYTES];
    loop {
        let Ok(count) = stream.read(&mut bytes) else { return };
        if count == 0 {
            return;
        }
        traffic.received_bytes.fetch_add(count as u64, Ordering::Relaxed);
        buffer.extend_from_slice(&bytes[..count]);
        loop {
            match codec.decode(&mut buffer) {
                Ok(Some(frame)) => {
                    traffic.received_frames.fetch_add(1, Ordering::Relaxed);
                    let Some(message) = message(frame, own_zone) else { return };
                    hand_over(message);
                }
                Ok(None) => break,
                Err(_) => return,
            }
        }
    }
}
