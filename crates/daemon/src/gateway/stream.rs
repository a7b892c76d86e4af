//! Answers that are sent piece by piece.

use std::io::{self, Write};

use rosemarypond_core::id;
use tiny_http::Request;

/// A streamed answer.
///
/// It writes its own chunks: a response of unknown length would be held back
/// by the HTTP library until its end.
pub struct Stream(Box<dyn Write + Send>);

impl Stream {
    /// Sends the head.
    ///
    /// # Errors
    ///
    /// Where the caller left.
    pub fn begin(request: Request, id: id::Request, resume: Option<&str>) -> io::Result<Self> {
        let mut writer = request.into_writer();
        let mut head = String::from("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n");
        head.push_str("Cache-Control: no-store\r\nTransfer-Encoding: chunked\r\n");
        head.push_str(&format!("X-Request-Id: {id}\r\n"));
        if let Some(token) = resume {
            head.push_str(&format!("Rosemarypond-Resume: {token}\r\n"));
        }
        head.push_str("\r\n");
        writer.write_all(head.as_bytes())?;
        writer.flush()?;
        Ok(Self(writer))
    }

    /// Sends one event at once.
    ///
    /// # Errors
    ///
    /// Where the caller left.
    pub fn send(&mut self, event: &[u8]) -> io::Result<()> {
        let mut chunk = format!("{:x}\r\n", event.len()).into_bytes();
        chunk.extend_from_slice(event);
        chunk.extend_from_slice(b"\r\n");
        self.0.write_all(&chunk)?;
        self.0.flush()
    }

    /// Sends the end.
    ///
    /// # Errors
    ///
    /// Where the caller left.
    pub fn end(&mut self, last: &[u8]) -> io::Result<()> {
        self.send(last)?;
        self.0.write_all(b"0\r\n\r\n")?;
        self.0.flush()
    }
}
