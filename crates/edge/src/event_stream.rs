//! An incremental parser of event streams (`text/event-stream`).

use bytes::{Bytes, BytesMut};

/// The longest accepted event, in bytes.
pub const MAX_EVENT_BYTES: usize = 256 * 1024;

/// One whole event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// Its bytes, including the blank line that ends it.
    pub bytes: Bytes,
    /// Its id, if it has one.
    pub id: Option<String>,
}

impl Event {
    /// Whether it is a comment only, which has no id.
    pub fn is_comment(&self) -> bool {
        let mut lines = self.bytes.split(|byte| *byte == b'\n');
        lines.all(|line| line.trim_ascii().is_empty() || line.starts_with(b":"))
    }
}

/// Splits received bytes into whole events.
///
/// ```
/// use rosemarypond_edge::event_stream::Parser;
/// let mut parser = Parser::default();
/// parser.push(b"id: 1\ndata: a\n\nid: 2\nda");
/// let event = parser.next_event().expect("one event is whole");
/// assert_eq!(event.id.as_deref(), Some("1"));
/// assert!(parser.next_event().is_none());
/// assert!(parser.has_partial_event());
/// ```
#[derive(Debug, Default)]
pub struct Parser {
    buffer: BytesMut,
    /// How many bytes of `buffer` were searched for the end of an event.
    searched: usize,
}

impl Parser {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next event, if it is complete and not longer than
    /// [`MAX_EVENT_BYTES`].
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.find_end().filter(|end| *end <= MAX_EVENT_BYTES)?;
        let bytes = self.buffer.split_to(end).freeze();
        self.searched = 0;
        let id = id_of(&bytes);
        Some(Event { bytes, id })
    }

    /// Whether bytes remain after the last returned event.
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// The memory for the remaining bytes, in bytes.
    pub fn held_bytes(&self) -> usize {
        self.buffer.capacity()
    }

    /// Whether the remaining bytes exceed [`MAX_EVENT_BYTES`].
    pub fn is_overlong(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }

    fn find_end(&mut self) -> Option<usize> {
        let from = self.searched.saturating_sub(3);
        let rest = &self.buffer[from..];
        for index in 0..rest.len() {
            for end in [&b"\n\n"[..], b"\r\n\r\n"] {
                if rest[index..].starts_with(end) {
                    return Some(from + index + end.len());
                }
            }
        }
        self.searched = self.buffer.len();
        None
    }
}

/// The id that an event states; bytes elsewhere in it need not be text.
fn id_of(event: &[u8]) -> Option<String> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let id = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    Some(std::str::from_utf8(id).ok()?.trim().to_owned())
}
