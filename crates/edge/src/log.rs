//! Logging of JSON lines to standard output, rate-limited and without blocking.

use std::cell::Cell;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use slog::{Drain, Logger, OwnedKVList, Record, o};

/// The most lines per second; further ones are dropped and counted.
const MAX_LINES_PER_SECOND: u32 = 400;
/// How many lines are queued for a slow reader before further ones are dropped.
const MAX_QUEUED_LINES: usize = 512;

/// What was logged in the current second.
#[derive(Clone, Copy, Debug)]
struct Window {
    since: Instant,
    lines: u32,
    dropped: u64,
}

/// Passes on [`MAX_LINES_PER_SECOND`] at most, and counts the lines that it
/// drops.
struct Limiter<D> {
    inner: D,
    window: Mutex<Cell<Window>>,
}

impl<D> Limiter<D> {
    /// Returns whether a line is passed on, and how many were dropped in the
    /// window that ends with this call, if it ends one.
    fn admit(&self) -> (bool, u64) {
        let Ok(cell) = self.window.lock() else { return (true, 0) };
        let mut window = cell.get();
        let mut dropped = 0;
        let now = Instant::now();
        if now.saturating_duration_since(window.since) >= Duration::from_secs(1) {
            dropped = window.dropped;
            window = Window { since: now, lines: 0, dropped: 0 };
        }
        let is_admitted = window.lines < MAX_LINES_PER_SECOND;
        window.lines += u32::from(is_admitted);
        window.dropped += u64::from(!is_admitted);
        cell.set(window);
        (is_admitted, dropped)
    }
}

impl<D: Drain<Ok = (), Err = slog::Never>> Drain for Limiter<D> {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), slog::Never> {
        let (is_admitted, dropped) = self.admit();
        if dropped > 0 {
            let location = record.location();
            let rs = slog::RecordStatic {
                location: &slog::RecordLocation { ..*location },
                tag: "",
                level: slog::Level::Warning,
            };
            let kv = slog::b!("dropped" => dropped);
            self.inner.log(&Record::new(&rs, &format_args!("log lines dropped"), kv), values)?;
        }
        if is_admitted { self.inner.log(record, values) } else { Ok(()) }
    }
}

/// Returns a logger of JSON lines, each with the instance and its zone.
pub fn logger(instance: &str, zone: &str) -> Logger {
    let json = slog_json::Json::default(std::io::stdout()).fuse();
    let lines = slog_async::Async::new(json)
        .chan_size(MAX_QUEUED_LINES)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build()
        .fuse();
    let window = Window { since: Instant::now(), lines: 0, dropped: 0 };
    let limiter = Limiter { inner: lines, window: Mutex::new(Cell::new(window)) };
    Logger::root(limiter, o!("instance" => instance.to_owned(), "zone" => zone.to_owned()))
}

/// Returns a logger that discards everything.
pub fn silent() -> Logger {
    Logger::root(slog::Discard, o!())
}
