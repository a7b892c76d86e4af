//! HTTP/1.1 messages over blocking sockets.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// The head of a message, and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    /// A parameter of the query, decoded.
    pub fn query(&self, name: &str) -> String {
        let query = self.target().split_once('?').map_or("", |(_, query)| query);
        let found = query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
        decode(found.unwrap_or(""))
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut decoded, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let hex = bytes.get(at + 1..at + 3).and_then(|h| std::str::from_utf8(h).ok());
        match (bytes[at], hex.and_then(|h| u8::from_str_radix(h, 16).ok())) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                at += 3;
            }
            (byte, _) => {
                decoded.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut text = String::new();
    if reader.read_line(&mut text)? == 0 || !text.ends_with('\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(text.trim_end_matches(['\r', '\n']).to_owned())
}

/// Reads a message whose body has a length or comes in chunks; without either, it has no
/// body.
pub fn read(reader: &mut impl BufRead) -> io::Result<Message> {
    let mut message = Message { first: line(reader)?, ..Message::default() };
    loop {
        let text = line(reader)?;
        if text.is_empty() {
            break;
        }
        if let Some((name, value)) = text.split_once(':') {
            message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
    if message.header("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked")) {
        loop {
            let size = line(reader)?;
            let size = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16);
            let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let mut chunk = vec![0; size];
            reader.read_exact(&mut chunk)?;
            message.body.extend(chunk);
            line(reader)?;
            if size == 0 {
                return Ok(message);
            }
        }
    }
    let length = message.header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body)?;
    Ok(message)
}

/// Writes a response with a whole body.
pub fn respond(
    stream: &mut impl Write,
    status: &str,
    headers: &[(&str, String)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend(body);
    stream.write_all(&bytes)
}

/// Sends a request on a new connection and reads the answer.
pub fn call(
    address: SocketAddr,
    first: &str,
    headers: &[(&str, String)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Message> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_nodelay(true)?;
    let mut head = format!("{first} HTTP/1.1\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() || first.starts_with("POST") {
        head.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend(body);
    (&stream).write_all(&bytes)?;
    read(&mut BufReader::new(&stream))
}

/// A listener on a free loopback port.
pub fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a free loopback port")
}

/// A loopback address whose port is free now.
pub fn free_address() -> SocketAddr {
    listen().local_addr().expect("an address")
}
