//! The open connections of callers: what each is doing, which make no progress, and
//! which are closed where memory or connections are short.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use slog::{Logger, info, warn};
use tokio::sync::Notify;
use tokio::time::sleep;

use crate::clock;
use crate::memory::{Account, Exhausted, Kind, Memory};

/// The memory of a connection without a request: hyper's read buffer of 8 KiB, and the
/// state of its task.
const CONNECTION_BYTES: usize = 12 << 10;
/// The bytes that count as progress. A byte now and then does not.
const PROGRESS_BYTES: usize = 4 << 10;
/// How long a connection may make no progress while others need its room.
const STALL_TIMEOUT: Duration = Duration::from_millis(500);
/// How many requests of one read may be pipelined by a connection whose room others need.
const MAX_PIPELINED: u32 = 8;
/// The pause between two rounds of closing connections.
const CLOSE_PAUSE: Duration = Duration::from_millis(50);

/// What a connection is doing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// No request is open.
    Idle,
    /// Sends a head or a body.
    Sending,
    /// Waits for the response.
    Waiting,
    /// Does not read its response.
    Reading,
}

/// One connection: what its timeouts are measured by, and what it holds.
#[derive(Debug)]
pub struct Activity {
    account: Account,
    /// Which server accepted it.
    server: usize,
    /// All memory of the connection.
    held: Gauge,
    /// The memory of its buffers and of the head that is read.
    buffers: RefCell<Memory>,
    /// Requests that are being served.
    requests: Cell<u32>,
    /// When the last request ended.
    last_ended: Cell<Instant>,
    /// When the first byte of a head arrived that is still incomplete.
    head_since: Cell<Option<Instant>>,
    is_reading_body: Cell<bool>,
    /// Whether its peer takes no more bytes.
    is_blocked: Cell<bool>,
    progressed_at: Cell<Instant>,
    /// Bytes moved since `progressed_at`.
    moved: Cell<usize>,
    /// Requests that were taken from what one read had delivered.
    pipelined: Cell<u32>,
    /// Notified when the connection is to be closed.
    closing: Notify,
    /// Notified when the connection is to be closed after its current response.
    ending: Notify,
}

impl Activity {
    /// Records bytes that were received.
    ///
    /// # Errors
    ///
    /// Where there is no memory for the head of a request.
    pub fn record_received(&self, bytes: usize) -> Result<(), Exhausted> {
        if bytes == 0 {
            return Ok(());
        }
        self.record_moved(bytes);
        self.pipelined.set(0);
        if self.requests.get() > 0 {
            return Ok(());
        }
        if self.head_since.get().is_none() {
            let now = clock::now();
            self.head_since.set(Some(now));
            self.progressed_at.set(now);
        }
        self.buffers.borrow_mut().reserve(bytes)
    }

    /// Records bytes that were written, or that none could be written.
    pub fn record_written(&self, bytes: Option<usize>) {
        match bytes {
            Some(bytes) => {
                self.is_blocked.set(false);
                self.record_moved(bytes);
            }
            None if !self.is_blocked.replace(true) => self.progressed_at.set(clock::now()),
            None => {}
        }
    }

    fn record_moved(&self, bytes: usize) {
        let moved = self.moved.get() + bytes;
        if moved >= PROGRESS_BYTES {
            self.progressed_at.set(clock::now());
        }
        self.moved.set(moved % PROGRESS_BYTES);
    }

    /// Memory for a body of this connection.
    pub fn memory(&self, kind: Kind) -> Memory {
        self.account.memory(kind, &self.held)
    }

    /// Marks the connection as sending a body until the returned value is dropped.
    pub fn read_body(self: &Rc<Self>) -> Sending {
        self.is_reading_body.set(true);
        self.progressed_at.set(clock::now());
        Sending(self.clone())
    }

    /// Completes when the connection is to be closed.
    pub async fn wait_until_closing(&self) {
        self.closing.notified().await;
    }

    /// Completes when the connection is to be closed after its current response.
    pub async fn wait_until_ending(&self) {
        self.ending.notified().await;
    }

    /// How long the connection has been idle.
    pub fn idle_time(&self) -> Duration {
        if self.requests.get() > 0 {
            return Duration::ZERO;
        }
        clock::now().saturating_duration_since(self.last_ended.get())
    }

    /// How long the current head has been incomplete.
    pub fn head_time(&self) -> Duration {
        let since = self.head_since.get();
        since.map_or(Duration::ZERO, |since| clock::now().saturating_duration_since(since))
    }

    fn phase(&self) -> Phase {
        match (self.requests.get(), self.is_blocked.get()) {
            (_, true) => Phase::Reading,
            (0, false) if self.head_since.get().is_some() => Phase::Sending,
            (0, false) => Phase::Idle,
            _ if self.is_reading_body.get() => Phase::Sending,
            _ => Phase::Waiting,
        }
    }

    /// Whether the connection makes no progress, and only its own client is the cause.
    fn is_stalled(&self, now: Instant) -> bool {
        let is_stalled = now.saturating_duration_since(self.progressed_at.get()) >= STALL_TIMEOUT;
        is_stalled && matches!(self.phase(), Phase::Sending | Phase::Reading)
    }
}

/// Marks a connection as sending a body until it is dropped.
#[derive(Debug)]
pub struct Sending(Rc<Activity>);

impl Drop for Sending {
    fn drop(&mut self) {
        self.0.is_reading_body.set(false);
    }
}

/// Counts a request as being served until it is dropped.
#[derive(Debug)]
pub struct Serving(Rc<Activity>);

impl Serving {
    /// Counts a request of this connection, whose head is complete.
    pub fn new(activity: Rc<Activity>) -> Self {
        activity.requests.set(activity.requests.get() + 1);
        activity.head_since.set(None);
        activity.pipelined.set(activity.pipelined.get() + 1);
        Self(activity)
    }
}

impl Drop for Serving {
    fn drop(&mut self) {
        self.0.requests.set(self.0.requests.get() - 1);
        self.0.last_ended.set(clock::now());
        self.0.buffers.borrow_mut().shrink(CONNECTION_BYTES);
    }
}

/// All open connections that use one account.
#[derive(Clone, Debug)]
pub struct Connections {
    account: Account,
    open: Rc<RefCell<BTreeMap<u64, Rc<Activity>>>>,
    last_id: Rc<Cell<u64>>,
    last_server: Rc<Cell<usize>>,
    /// Connections that were closed or not accepted, by reason.
    closed: Family<[(&'static str, &'static str); 1], Counter>,
}

/// An open connection, until it is dropped.
#[derive(Debug)]
pub struct Open {
    /// What the connection does.
    pub activity: Rc<Activity>,
    id: u64,
    connections: Connections,
}

impl Drop for Open {
    fn drop(&mut self) {
        self.connections.open.borrow_mut().remove(&self.id);
    }
}

impl Connections {
    /// No connections yet.
    pub fn new(account: Account) -> Self {
        let (open, last_id, last_server) = <_>::default();
        Self { account, open, last_id, last_server, closed: Family::default() }
    }

    /// The account of their memory.
    pub fn account(&self) -> &Account {
        &self.account
    }

    /// Registers the metrics of the connections.
    pub fn register(&self, registry: &mut Registry) {
        self.account.register(registry);
        let help = "Connections of callers that were closed or not accepted";
        registry.register("closed_connections", help, self.closed.clone());
    }

    /// Identifies another server among those that use the account.
    pub fn add_server(&self) -> usize {
        self.last_server.set(self.last_server.get() + 1);
        self.last_server.get()
    }

    /// Adds a connection that a server accepted.
    ///
    /// # Errors
    ///
    /// Where there is no memory for it.
    pub fn open(&self, server: usize) -> Result<Open, Exhausted> {
        let held = Gauge::default();
        let mut buffers = self.account.memory(Kind::Connections, &held);
        buffers.reserve(CONNECTION_BYTES).inspect_err(|_| self.count_closed("no-memory"))?;
        let now = clock::now();
        let activity = Rc::new(Activity {
            account: self.account.clone(),
            server,
            held,
            buffers: RefCell::new(buffers),
            requests: Cell::new(0),
            last_ended: Cell::new(now),
            head_since: Cell::new(None),
            is_reading_body: Cell::new(false),
            is_blocked: Cell::new(false),
            progressed_at: Cell::new(now),
            moved: Cell::new(0),
            pipelined: Cell::new(0),
            closing: Notify::new(),
            ending: Notify::new(),
        });
        self.last_id.set(self.last_id.get() + 1);
        let id = self.last_id.get();
        self.open.borrow_mut().insert(id, activity.clone());
        Ok(Open { activity, id, connections: self.clone() })
    }

    /// Counts a connection that is closed or not accepted.
    pub fn count_closed(&self, reason: &'static str) {
        self.closed.get_or_create(&[("reason", reason)]).inc();
    }

    /// Makes room for another connection of a server: closes the one that has made no
    /// progress for the longest time, if one has for [`STALL_TIMEOUT`], or else ends the
    /// one with most pipelined requests.
    pub fn make_room(&self, server: usize) {
        let now = clock::now();
        let open = self.open.borrow();
        let own = || open.values().filter(|activity| activity.server == server);
        let stalled = own().filter(|activity| activity.is_stalled(now));
        if let Some(oldest) = stalled.min_by_key(|activity| activity.progressed_at.get()) {
            oldest.closing.notify_one();
            self.count_closed("stalled-while-full");
            return;
        }
        let pipelining = own().filter(|activity| activity.pipelined.get() > MAX_PIPELINED);
        if let Some(deepest) = pipelining.max_by_key(|activity| activity.pipelined.get()) {
            deepest.ending.notify_one();
            self.count_closed("pipelining-while-full");
        }
    }

    /// Closes connections that make no progress, those that hold most first, until
    /// enough memory is released; returns how many.
    fn relieve(&self) -> usize {
        let Some(mut needed) = self.account.shortage() else { return 0 };
        let now = clock::now();
        let open = self.open.borrow();
        let mut stalled: Vec<_> = open.values().filter(|a| a.is_stalled(now)).collect();
        stalled.sort_by_key(|activity| -activity.held.get());
        let mut closed = 0;
        for activity in stalled {
            if needed <= 0 {
                break;
            }
            needed -= activity.held.get();
            activity.closing.notify_one();
            self.count_closed("stalled");
            closed += 1;
        }
        closed
    }

    /// Closes connections that make no progress whenever memory is short.
    pub async fn watch_memory(self, log: Logger) {
        loop {
            self.account.wait_for_shortage().await;
            if self.account.shortage().is_none() {
                continue;
            }
            warn!(log, "memory for callers is short"; "held_bytes" => self.account.held());
            let mut closed = 0;
            while self.account.shortage().is_some() {
                closed += self.relieve();
                sleep(CLOSE_PAUSE).await;
            }
            info!(log, "memory for callers is no longer short";
                "held_bytes" => self.account.held(), "closed_connections" => closed);
        }
    }
}
