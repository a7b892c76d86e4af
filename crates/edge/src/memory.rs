//! The memory that callers make an instance use: one account for connections, the
//! bodies of requests, and responses that wait for their readers.

use std::sync::Arc;

use bytes::Bytes;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use tokio::sync::Notify;

/// The limit for bodies, and for responses, where the memory of the process is not
/// limited by its settings, in bytes.
const DEFAULT_LIMIT_BYTES: i64 = 64 << 20;
/// What a process needs beside its callers' memory. An idle process takes 9 MiB.
const BASE_BYTES: i64 = 16 << 20;
/// The part of the remaining memory that the account may give out. The other part is for
/// buffers of the system, copies while a buffer grows, and memory that the allocator
/// keeps: peaks were up to 1.9 times what was reserved.
const USABLE_FRACTION: i64 = 2;
/// Bodies up to this length may use all of the account, where it is limited as a whole,
/// and longer ones three quarters, so that ordinary requests are served beside a few long
/// ones.
const SHORT_BODY_BYTES: usize = 64 << 10;

/// What memory is used for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// Connections, with their buffers and the heads of requests.
    Connections,
    /// Parts of frames that peers send.
    Frames,
    /// Bodies of requests.
    Requests,
    /// Bodies of responses, until they are written to their callers.
    Responses,
}

/// The limits of an account, in bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Limits {
    /// Of all kinds together; none where only bodies and responses are limited.
    total: Option<i64>,
    long_bodies: i64,
    long_responses: i64,
    frames: i64,
}

/// The memory of all callers of a process.
#[derive(Clone, Debug)]
pub struct Account {
    limits: Limits,
    connections: Gauge,
    frames: Gauge,
    requests: Gauge,
    responses: Gauge,
    /// Notified when memory is short.
    shortage: Arc<Notify>,
}

/// The memory is used up.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("The memory for callers is used up.")]
pub struct Exhausted;

impl Account {
    /// Creates an account for a process that may use so many bytes in all; without them,
    /// only bodies and responses are limited.
    ///
    /// ```
    /// use rosemarypond_edge::memory::{Account, Kind};
    /// let account = Account::new(Some(48 << 20));
    /// let mut memory = account.memory(Kind::Requests, &Default::default());
    /// assert!(memory.reserve(4 << 20).is_ok());
    /// assert!(memory.reserve(48 << 20).is_err());
    /// ```
    pub fn new(process_bytes: Option<u64>) -> Self {
        let usable = process_bytes.map(|bytes| {
            let bytes = i64::try_from(bytes).unwrap_or(i64::MAX);
            ((bytes - BASE_BYTES) / USABLE_FRACTION).max(bytes / 8)
        });
        let part = |of: i64| usable.map_or(DEFAULT_LIMIT_BYTES, |total| total / 4 * of);
        Self {
            limits: Limits {
                total: usable,
                long_bodies: part(3),
                long_responses: part(3),
                frames: part(2),
            },
            connections: Gauge::default(),
            frames: Gauge::default(),
            requests: Gauge::default(),
            responses: Gauge::default(),
            shortage: Arc::default(),
        }
    }

    /// Registers the metrics of the account.
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "held_connection_bytes",
            "Memory for connections and the heads of requests",
            self.connections.clone(),
        );
        registry.register(
            "held_frame_bytes",
            "Memory for parts of frames of peers",
            self.frames.clone(),
        );
        registry.register(
            "held_body_bytes",
            "Memory for the bodies of requests that are held",
            self.requests.clone(),
        );
        registry.register(
            "held_response_bytes",
            "Memory for the bodies of responses until they are written",
            self.responses.clone(),
        );
    }

    /// No memory yet; `holder` counts what its connection holds.
    pub fn memory(&self, kind: Kind, holder: &Gauge) -> Memory {
        Memory { account: self.clone(), kind, holder: holder.clone(), bytes: 0 }
    }

    /// The memory in use of all kinds, in bytes.
    pub fn held(&self) -> i64 {
        self.connections.get() + self.frames.get() + self.requests.get() + self.responses.get()
    }

    /// How much has to be released until the memory is not short any more; none while it
    /// is not. It is short when more than three quarters of it are in use.
    pub fn shortage(&self) -> Option<i64> {
        let over = |held: i64, limit: i64| (held > limit / 4 * 3).then_some(held - limit / 2);
        match self.limits.total {
            Some(total) => over(self.held(), total),
            None => over(self.requests.get(), self.limits.long_bodies)
                .or_else(|| over(self.responses.get(), self.limits.long_responses)),
        }
    }

    /// Completes when memory was reserved while it is short.
    pub async fn wait_for_shortage(&self) {
        self.shortage.notified().await;
    }

    fn gauge(&self, kind: Kind) -> &Gauge {
        match kind {
            Kind::Connections => &self.connections,
            Kind::Frames => &self.frames,
            Kind::Requests => &self.requests,
            Kind::Responses => &self.responses,
        }
    }

    /// Whether so many bytes more fit; `whole` bytes are reserved for one body then.
    fn fits(&self, kind: Kind, more: i64, whole: usize) -> bool {
        let fits_total = self.limits.total.is_none_or(|total| self.held() + more <= total);
        let fits_kind = match kind {
            Kind::Connections => true,
            Kind::Frames => self.frames.get() + more <= self.limits.frames,
            _ if self.limits.total.is_some() && whole <= SHORT_BODY_BYTES => true,
            Kind::Requests => self.requests.get() + more <= self.limits.long_bodies,
            Kind::Responses => self.responses.get() + more <= self.limits.long_responses,
        };
        fits_total && fits_kind
    }
}

/// Memory reserved for one use, until it is dropped.
#[derive(Debug)]
pub struct Memory {
    account: Account,
    kind: Kind,
    holder: Gauge,
    bytes: usize,
}

impl Memory {
    /// Reserves more memory.
    ///
    /// # Errors
    ///
    /// Where all together would hold too much.
    pub fn reserve(&mut self, bytes: usize) -> Result<(), Exhausted> {
        let more = bytes as i64;
        if !self.account.fits(self.kind, more, self.bytes + bytes) {
            self.account.shortage.notify_one();
            return Err(Exhausted);
        }
        self.add(bytes);
        Ok(())
    }

    /// Reserves memory that is in use already, whether there is room or not.
    pub fn add(&mut self, bytes: usize) {
        let more = bytes as i64;
        self.account.gauge(self.kind).inc_by(more);
        self.holder.inc_by(more);
        self.bytes += bytes;
        if self.account.shortage().is_some() {
            self.account.shortage.notify_one();
        }
    }

    /// Releases what is beyond `bytes`.
    pub fn shrink(&mut self, bytes: usize) {
        let less = self.bytes.saturating_sub(bytes) as i64;
        self.account.gauge(self.kind).dec_by(less);
        self.holder.dec_by(less);
        self.bytes -= less as usize;
    }

    /// The bytes that are reserved.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// No memory yet of another kind, for the same holder.
    pub fn sibling(&self, kind: Kind) -> Self {
        self.account.memory(kind, &self.holder)
    }

    /// Ties the memory to its bytes: it is released with the last part of them.
    pub fn hold(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(Held { bytes, _memory: self })
    }
}

impl Drop for Memory {
    fn drop(&mut self) {
        self.shrink(0);
    }
}

/// Bytes with their memory.
struct Held {
    bytes: Bytes,
    _memory: Memory,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
