//! Upstreams whose answers have no end must not exhaust the memory of a daemon.

mod support;

use std::cell::Cell;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use rosemarypond_standin::crowd::Usage;
use serde_json::json;
use support::{Site, TEAM, ZONES, order_at, send};

/// The daemon's setting `memory`, in MiB; its process must stay within it.
const MEMORY_MIB: usize = 48;
/// How many requests meet the faulty upstream at the same time.
const CALLERS: usize = 40;
/// The longest that a call to the faulty upstream may take.
const CALL_TIME: Duration = Duration::from_secs(25);

/// One daemon at a time, so that each has the machine to itself.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// Starts an upstream that reads a request, and writes a start and then a rest without end;
/// `ID` stands for the request's id.
fn endless_upstream(start: &'static str, rest: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("it has an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || write_without_end(stream, start, rest));
        }
    });
    address
}

fn write_without_end(mut stream: TcpStream, start: &str, rest: &str) {
    let mut head = vec![0; 4_096];
    let length = stream.read(&mut head).unwrap_or_default();
    let head = String::from_utf8_lossy(&head[..length]).to_ascii_lowercase();
    let id = head.lines().find_map(|line| line.strip_prefix("x-request-id: ")).unwrap_or_default();
    let block = rest.replace("ID", id).repeat(8_192 / rest.len() + 1);
    // Fails once the daemon has closed the connection.
    let _ = stream.write_all(start.as_bytes());
    while stream.write_all(block.as_bytes()).is_ok() {}
}

/// Many requests meet an upstream without an end; the daemon lives, within its memory, and
/// an ordinary request is answered at another one.
fn check(service: &str, path: &str, body: &str, start: &'static str, rest: &'static str) {
    let _alone = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let mut site = Site::start(&[]);
    let faulty = endless_upstream(start, rest);
    let kind = if service == "scribe-llm" { "engine" } else { "plain" };
    let sound = site.document["upstreams"].clone();
    let ordinary = if kind == "engine" { "plain" } else { "engine" };
    let mut upstreams: Vec<_> = sound.as_array().expect("it is a list").clone();
    upstreams.retain(|upstream| upstream["kind"] == ordinary);
    upstreams.push(json!({"id": "faulty", "zone": ZONES[0], "address": faulty, "kind": kind,
        "service": service, "slots": CALLERS}));
    site.document["upstreams"] = upstreams.into();
    // So that the stream of a request with a key is kept for its retries.
    site.document["rules"][0]["idempotent"] = false.into();
    site.document["tiers"][0]["deadline_ms"] = 5_000.into();
    site.put_config(1);
    site.add_with("i0", ZONES[0], &format!(r#", "memory": "{MEMORY_MIB} MiB""#));
    let http = site.daemons[0].http;
    let callers: Vec<_> = (0..CALLERS)
        .map(|index| {
            let (path, body) = (path.to_owned(), body.to_owned());
            thread::spawn(move || {
                let (bearer, key) = (format!("Bearer {TEAM}"), format!("key-{index}"));
                let headers =
                    [("Authorization", bearer.as_str()), ("Idempotency-Key", key.as_str())];
                send("POST", http, &path, &headers, &body).map(|answer| answer.status)
            })
        })
        .collect();
    let end = std::time::Instant::now() + CALL_TIME;
    while !callers.iter().all(thread::JoinHandle::is_finished) && std::time::Instant::now() < end {
        assert!(!site.daemons[0].process.has_ended(), "the process ended");
        thread::sleep(Duration::from_millis(50));
    }
    let usage = Usage::of(site.daemons[0].process.id()).expect("the process is alive");
    println!("peak {} KiB", usage.peak_bytes >> 10);
    assert!(usage.peak_bytes <= MEMORY_MIB << 20, "the peak is {} KiB", usage.peak_bytes >> 10);
    site.document["upstreams"] = sound;
    site.put_config(2);
    // Each with a key of its own: the first may still meet the faulty upstream, and what
    // became of a request with its key is unknown then.
    let tries = Cell::new(0);
    site.wait_until("an ordinary request is answered", |site| {
        tries.set(tries.get() + 1);
        let key = format!("ordinary-{}", tries.get());
        order_at(site.daemons[0].http, &key).is_some_and(|answer| answer.status == 200)
    });
}

/// Defines a test for each case.
macro_rules! cases {
    ($($(#[doc = $doc:literal])* $name:ident => $service:expr, $path:expr, $body:expr, $start:expr, $rest:expr;)*) => {
        $(
            $(#[doc = $doc])*
            #[test]
            fn $name() {
                check($service, $path, $body, $start, $rest);
            }
        )*
    };
}

const CHAT: &str = r#"{"model":"m","messages":[{"role":"user","content":"x"}],"stream":true}"#;
const STREAM: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";

cases! {
    /// Guards against memory that runs out.
    endless_body => "orders-app", "/orders/new", "{}", "HTTP/1.1 200 OK\r\n\r\n", "y";
    endless_fields => "orders-app", "/orders/new", "{}", "HTTP/1.1 200 OK\r\n", "X: y\r\n";
    endless_text_in_a_stream =>
        "scribe-llm", "/v1/chat/completions", CHAT, STREAM, "no event ";
    endless_events_of_a_stream_that_is_kept =>
        "scribe-llm", "/v1/chat/completions", CHAT, STREAM,
        "data: {\"id\":\"ID\",\"choices\":[{\"delta\":{\"content\":\"y\"}}]}\n\n";
}
