//! The HTTP server of the stand-ins, which runs a closure for each request.

use std::io::{self, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;

use eyre::eyre;
use tiny_http::{Header, Request, Response, Server};

/// Serves on a port picked by the system and returns the address.
///
/// # Errors
///
/// Where no port can be bound.
///
/// ```
/// let address = rosemarypond_standin::http::serve(|request| {
///     rosemarypond_standin::http::reply(request, 200, "{}");
/// })?;
/// assert_ne!(address.port(), 0);
/// # Ok::<(), eyre::Report>(())
/// ```
pub fn serve(handle: impl Fn(Request) + Send + Sync + 'static) -> eyre::Result<SocketAddr> {
    let server =
        Server::http("127.0.0.1:0").map_err(|e| eyre!("The port cannot be bound: {e}."))?;
    let address = server.server_addr().to_ip().ok_or_else(|| eyre!("No IP address was bound."))?;
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for request in server.incoming_requests() {
            let handle = Arc::clone(&handle);
            thread::spawn(move || handle(request));
        }
    });
    Ok(address)
}

/// Sends a JSON response.
pub fn reply(request: Request, status: u16, body: impl Into<String>) {
    let json = Header::from_bytes("Content-Type", "application/json").expect("a valid header");
    let response = Response::from_string(body).with_status_code(status).with_header(json);
    // The caller may have closed its connection.
    let _ = request.respond(response);
}

/// Reads the whole body of a request; returns what was read before an error.
pub fn read_body(request: &mut Request) -> String {
    let mut text = String::new();
    let _ = request.as_reader().read_to_string(&mut text);
    text
}

/// Returns the value of a header.
pub fn header(request: &Request, name: &'static str) -> Option<String> {
    let found = request.headers().iter().find(|h| h.field.equiv(name))?;
    Some(found.value.as_str().to_owned())
}

/// Returns the value of a parameter in the query of a URL, not decoded.
pub fn query_parameter<'a>(url: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = url.split_once('?')?;
    query.split('&').find_map(|pair| pair.split_once('=').filter(|(n, _)| *n == name)).map(|p| p.1)
}

/// A chunked response body; each chunk is flushed at once.
pub struct Chunks(Box<dyn Write + Send>);

impl Chunks {
    /// Sends the head of a streamed response.
    ///
    /// # Errors
    ///
    /// Where the connection is closed.
    pub fn begin(request: Request) -> io::Result<Self> {
        let mut writer = request.into_writer();
        writer.write_all(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
        )?;
        writer.flush()?;
        Ok(Self(writer))
    }

    /// Sends one chunk.
    ///
    /// # Errors
    ///
    /// Where the connection is closed.
    pub fn send(&mut self, text: impl AsRef<str>) -> io::Result<()> {
        let text = text.as_ref();
        write!(self.0, "{:x}\r\n{text}\r\n", text.len())?;
        self.0.flush()
    }

    /// Sends the chunk that ends the body.
    ///
    /// # Errors
    ///
    /// Where the connection is closed.
    pub fn end(mut self) -> io::Result<()> {
        self.0.write_all(b"0\r\n\r\n")?;
        self.0.flush()
    }
}
