//! Cuts a stream of events into whole events with their ids.

use bytes::{Bytes, BytesMut};

/// The longest event, in bytes; a longer one is no event.
pub const MAX_EVENT_BYTES: usize = 256 * 1024;

/// One whole event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// Its bytes, with the empty line that ends it.
    pub bytes: Bytes,
    /// Its id, where it has one.
    pub id: Option<String>,
}

/// Cuts bytes into events.
///
/// ```
/// use rosemarypond_edge::event_stream::Parser;
/// let mut cutter = Parser::default();
/// cutter.push(b"id: 1\ndata: a\n\nid: 2\nda");
/// let event = cutter.next_event().expect("one event is whole");
/// assert_eq!(event.id.as_deref(), Some("1"));
/// assert!(cutter.next_event().is_none());
/// assert!(cutter.has_partial_event());
/// ```
#[derive(Debug, Default)]
pub struct Parser {
    buffer: BytesMut,
    searched: usize,
}

impl Parser {
    /// Adds bytes as they came.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next whole event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.find_end()?;
        let bytes = self.buffer.split_to(end).freeze();
        self.searched = 0;
        let id = id_of(&bytes);
        Some(Event { bytes, id })
    }

    /// Whether part of an event is left over.
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Whether the part of an event is longer than an event may be.
    pub fn is_overlong(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }

    fn find_end(&mut self) -> Option<usize> {
        let from = self.searched.saturating_sub(3);
        let rest = &self.buffer[from..];
        for place in 0..rest.len() {
            for end in [&b"\n\n"[..], b"\r\n\r\n"] {
                if rest[place..].starts_with(end) {
                    return Some(from + place + end.len());
                }
            }
        }
        self.searched = self.buffer.len();
        None
    }
}

fn id_of(event: &[u8]) -> Option<String> {
    let text = std::str::from_utf8(event).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("id:"))?;
    Some(line.trim().to_owned())
}
