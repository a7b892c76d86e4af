//! HTTP/1.1 messages over blocking sockets.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// A connection with what was read ahead.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

fn broken() -> io::Error {
    io::ErrorKind::UnexpectedEof.into()
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    pub fn open(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(timeout))?;
        Ok(Self::new(stream))
    }

    fn fill(&mut self) -> io::Result<bool> {
        let mut bytes = [0; 16 << 10];
        let read = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..read]);
        Ok(read > 0)
    }

    /// Reads the head of a message; none at the end of the connection.
    pub fn read_head(&mut self) -> io::Result<Option<Message>> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                let mut lines = head.split("\r\n");
                let start = lines.next().unwrap_or_default().to_owned();
                let header = |line: &str| {
                    line.split_once(':').map(|(n, v)| (n.to_owned(), v.trim().to_owned()))
                };
                return Ok(Some(Message {
                    start,
                    headers: lines.filter_map(header).collect(),
                    body: Vec::new(),
                }));
            }
            if !self.fill()? {
                return if self.buffer.is_empty() { Ok(None) } else { Err(broken()) };
            }
        }
    }

    fn read_exact(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            if !self.fill()? {
                return Err(broken());
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if !self.fill()? {
                return Err(broken());
            }
        }
    }

    /// Reads one chunk of a chunked body; none after the last.
    pub fn read_chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let line = self.read_line()?;
        let size = line.split(';').next().unwrap_or_default().trim().to_owned();
        let size = usize::from_str_radix(&size, 16).map_err(|_| broken())?;
        if size == 0 {
            self.read_line()?;
            return Ok(None);
        }
        let chunk = self.read_exact(size)?;
        self.read_line()?;
        Ok(Some(chunk))
    }

    /// Reads the body of a message whose head was read.
    pub fn read_body(&mut self, message: &mut Message) -> io::Result<()> {
        if let Some(length) = message.header("content-length") {
            let length = length.parse().map_err(|_| broken())?;
            message.body = self.read_exact(length)?;
        } else if message.header("transfer-encoding").is_some() {
            while let Some(chunk) = self.read_chunk()? {
                message.body.extend_from_slice(&chunk);
            }
        }
        Ok(())
    }

    /// Reads a whole message; none at the end of the connection.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.read_head()? else { return Ok(None) };
        self.read_body(&mut message)?;
        Ok(Some(message))
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes.windows(wanted.len()).position(|window| window == wanted)
}
