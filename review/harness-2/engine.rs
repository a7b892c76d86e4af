//! A stand-in for an engine or a plain service: runs each request for a while, and signs
//! its answer.

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message};

/// A request that an engine began to work on.
#[derive(Clone, Debug)]
pub struct Run {
    pub request: String,
    pub at: Instant,
    /// When the whole answer was written.
    pub answered: Option<Instant>,
}

#[derive(Clone)]
pub struct Engine {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub born: u64,
    work: Duration,
    /// The events of a stream; an answer without events is plain.
    events: u32,
    pub runs: Arc<Mutex<Vec<Run>>>,
    open: Arc<Mutex<Vec<TcpStream>>>,
    has_ended: Arc<AtomicBool>,
}

impl Engine {
    /// Starts an engine whose answers take `work`, or `work` for each event of a stream.
    pub fn start(id: &str, service: &str, work: Duration, events: u32) -> Self {
        let listener = http::listen();
        let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let engine = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr().expect("an address"),
            born: since_epoch.expect("a date").as_millis() as u64,
            work,
            events,
            runs: Arc::default(),
            open: Arc::default(),
            has_ended: Arc::default(),
        };
        let serving = engine.clone();
        thread::spawn(move || serving.accept(listener));
        engine
    }

    /// Its entry in the directory.
    pub fn entry(&self, zone: &str, slots: u32, state: &str, sequence: u64) -> String {
        format!(
            "{{\"Service\":\"{}\",\"Address\":\"{}\",\"Zone\":\"{zone}\",\"Version\":\"v1\",\
             \"Slots\":{slots},\"State\":\"{state}\",\"ColdRemainingMs\":0,\"Sequence\":{sequence},\
             \"born\":{}}}",
            self.service, self.address, self.born
        )
    }

    /// Ends the process: it accepts nothing more, and all connections close.
    pub fn end(&self) {
        self.has_ended.store(true, Ordering::SeqCst);
        for stream in self.open.lock().expect("no thread panics").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().expect("no thread panics").clone()
    }

    fn accept(&self, listener: TcpListener) {
        listener.set_nonblocking(true).expect("a listener that does not block");
        while !self.has_ended.load(Ordering::SeqCst) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            if let Ok(other) = stream.try_clone() {
                self.open.lock().expect("no thread panics").push(other);
            }
            let engine = self.clone();
            thread::spawn(move || engine.serve(&stream));
        }
    }

    fn serve(&self, stream: &TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Ok(request) = http::read(&mut reader) {
            if self.has_ended.load(Ordering::SeqCst) || self.answer(stream, &request).is_err() {
                break;
            }
        }
        let _ = stream.shutdown(Shutdown::Both);
    }

    fn answer(&self, mut stream: &TcpStream, request: &Message) -> std::io::Result<()> {
        if request.target() == "/healthz" {
            let headers = [("Instance-Id", self.id.clone())];
            return http::respond(&mut stream, "200 OK", &headers, b"ok");
        }
        if request.header("expect-instance").is_some_and(|expected| expected != self.id) {
            let headers = [("Instance-Id", self.id.clone())];
            return http::respond(&mut stream, "421 Misdirected Request", &headers, b"");
        }
        let id = request.header("request-id").unwrap_or("").to_owned();
        let run = Run {
            request: id.clone(),
            at: Instant::now(),
            answered: None,
        };
        let index = {
            let mut runs = self.runs.lock().expect("no thread panics");
            runs.push(run);
            runs.len() - 1
        };
        let headers =
            [("Request-Id", id.clone()), ("Response-Signature", format!("{}.{id}", self.id))];
        if self.events == 0 {
            thread::sleep(self.work);
            let body = format!("done by {} for {id}", self.id);
            if self.has_ended.load(Ordering::SeqCst) {
                return Err(std::io::ErrorKind::ConnectionReset.into());
            }
            http::respond(&mut stream, "200 OK", &headers, body.as_bytes())?;
        } else {
            let mut head = String::from(
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n",
            );
            for (name, value) in headers {
                head.push_str(&format!("{name}: {value}\r\n"));
            }
            stream.write_all((head + "\r\n").as_bytes())?;
            for number in 1..=self.events {
                thread::sleep(self.work);
                let event = format!("id: {number}\ndata: {}\n\n", self.id);
                stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            }
            stream.write_all(b"0\r\n\r\n")?;
        }
        self.runs.lock().expect("no thread panics")[index].answered = Some(Instant::now());
        Ok(())
    }
}
