//! A timeline of events, ordered so that causes precede effects across all
//! processes.

use std::collections::VecDeque;
use std::fmt;
use std::str::FromStr;

use crate::id;

/// A hybrid logical timestamp: microseconds since the Unix epoch, then a counter.
///
/// ```
/// use rosemarypond_core::timeline::Stamp;
/// let stamp: Stamp = "12.3".parse()?;
/// assert!(stamp > Stamp { micros: 12, count: 2 });
/// # Ok::<(), rosemarypond_core::timeline::Error>(())
/// ```
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Stamp {
    /// Microseconds since the Unix epoch.
    pub micros: u64,
    /// Orders events of the same microsecond.
    pub count: u32,
}

/// The text of a timestamp is malformed.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("The time '{0}' is not of the form 'MICROSECONDS.COUNT'.")]
pub struct Error(String);

impl fmt::Display for Stamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.micros, self.count)
    }
}

impl FromStr for Stamp {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let invalid = || Error(text.to_owned());
        let (micros, count) = text.split_once('.').ok_or_else(invalid)?;
        let micros = micros.parse().map_err(|_| invalid())?;
        let count = count.parse().map_err(|_| invalid())?;
        Ok(Self { micros, count })
    }
}

/// A hybrid logical clock.
#[derive(Clone, Debug, Default)]
pub struct Clock {
    last: Stamp,
}

impl Clock {
    /// Returns the timestamp of an event of this process, later than all before.
    pub fn tick(&mut self, micros: u64) -> Stamp {
        self.last = if micros > self.last.micros {
            Stamp { micros, count: 0 }
        } else {
            Stamp { count: self.last.count + 1, ..self.last }
        };
        self.last
    }

    /// Advances the clock to the timestamp of a received message.
    pub fn observe(&mut self, other: Stamp) {
        self.last = self.last.max(other);
    }
}

/// What an event is about.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Subject {
    /// A request.
    Request(id::Request),
    /// A version of the configuration.
    Config(crate::config::Version),
    /// An instance or upstream, by name.
    Member(String),
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Subject::Request(id) => write!(f, "request {id}"),
            Subject::Config(version) => write!(f, "config {version}"),
            Subject::Member(name) => write!(f, "member {name}"),
        }
    }
}

/// An event on the timeline.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// When it happened.
    pub stamp: Stamp,
    /// What it is about.
    pub subject: Subject,
    /// What happened.
    pub description: String,
}

/// A ring buffer of the latest events of one process.
#[derive(Clone, Debug)]
pub struct Ring {
    events: VecDeque<Event>,
    capacity: usize,
    dropped: u64,
}

impl Ring {
    /// Creates an empty buffer for `capacity` events.
    pub fn new(capacity: usize) -> Self {
        Self { events: VecDeque::with_capacity(capacity), capacity, dropped: 0 }
    }

    /// Adds an event and drops the oldest one where the buffer is full.
    pub fn push(&mut self, event: Event) {
        if self.events.len() == self.capacity {
            self.events.pop_front();
            self.dropped += 1;
        }
        self.events.push_back(event);
    }

    /// The number of events that were dropped: those before the first one kept.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// The events that are kept, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &Event> {
        self.events.iter()
    }
}
