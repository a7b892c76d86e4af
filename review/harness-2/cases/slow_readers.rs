//! Clients pause once while they read a stream; the machine is stopped as planned meanwhile.

use std::io::{BufReader, Read, Write};
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use super::{Folder, HOST, configuration, millis};
use crate::Verdict;
use crate::daemon::Daemon;
use crate::engine::Engine;
use crate::http;
use crate::narrow;
use crate::record::Record;
use crate::store::Store;

const CLIENTS: usize = 8;
const EVENTS: u32 = 300;
/// How long each client pauses once. It would wait for an event for 6 s (four times the
/// route's objective).
const PAUSE: Duration = Duration::from_millis(5_000);
/// What a client reads before it pauses, in bytes.
const BEFORE_PAUSE: usize = 1_000;
/// The receive buffer that a client asks for, in bytes.
const RECEIVE_BUFFER: i32 = 4_096;

struct Stream {
    request: String,
    sent: Instant,
    ended: Instant,
    events: usize,
    is_whole: bool,
}

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let folder = Folder::new();
    let store = Store::start();
    // Events of some 65 bytes.
    let id = format!("i-scribe-{}", "x".repeat(38));
    let engines: Vec<_> = (0..2)
        .map(|n| Engine::start(&format!("{id}-{n}"), "scribe-llm", millis(5), EVENTS))
        .collect();
    let plain = Engine::start("i-orders", "orders-app", millis(5), 0);
    store.put("op", "config", &configuration(7, &[("council", &["key-1"])]));
    for engine in engines.iter().chain([&plain]) {
        store.put("servers", &engine.id, &engine.entry("zone-a", 4, "ready", 1));
    }
    let mut daemon = Daemon::new(&folder.0, "front-1", "zone-a", store.address, 260);
    daemon.start();
    if !daemon.wait_until_ready(Duration::from_secs(10)) {
        return Verdict::NotRun("the daemon is not ready".into());
    }
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let front = daemon.front;
            let pause = if trouble { PAUSE } else { Duration::ZERO };
            thread::spawn(move || read_stream(client, front, pause))
        })
        .collect();
    thread::sleep(millis(700));
    daemon.signal("TERM");
    let stopped = Instant::now();
    record.line("SIGTERM; GraceS is 8");
    let streams: Vec<_> = clients.into_iter().filter_map(|client| client.join().ok()).collect();
    let end = stopped + Duration::from_secs(9);
    while !daemon.has_ended() && Instant::now() < end {
        thread::sleep(millis(10));
    }
    record.line("the daemon has ended");
    judge(record, stopped, &engines, streams)
}

/// Reads a stream on a connection that has served a request before.
fn read_stream(client: usize, front: SocketAddr, pause: Duration) -> Option<Stream> {
    let connection = narrow::open(front, RECEIVE_BUFFER).ok()?;
    connection.set_nodelay(true).ok()?;
    connection.set_read_timeout(Some(Duration::from_secs(15))).ok()?;
    let common = format!("Host: {HOST}\r\nAuthorization: Bearer key-1\r\nDeadline-Ms: 12000\r\n");
    let first = format!("GET /status/1 HTTP/1.1\r\n{common}Request-Id: first-{client}\r\n\r\n");
    (&connection).write_all(first.as_bytes()).ok()?;
    let answer = http::read(&mut BufReader::new(&connection)).ok()?;
    if answer.status() != 200 {
        return None;
    }
    let request = format!("draft-{client}");
    let head = format!(
        "POST /draft/1 HTTP/1.1\r\n{common}Request-Id: {request}\r\nToken-Count: 100,1200\r\n\
         Content-Length: 5\r\n\r\nwords"
    );
    let sent = Instant::now();
    (&connection).write_all(head.as_bytes()).ok()?;
    let (mut bytes, mut buffer, mut has_paused) = (Vec::new(), [0; 512], false);
    loop {
        match (&connection).read(&mut buffer) {
            Ok(0) | Err(_) => break,
            Ok(read) => bytes.extend(&buffer[..read]),
        }
        if bytes.ends_with(b"0\r\n\r\n") {
            break;
        }
        if bytes.len() >= BEFORE_PAUSE && !has_paused {
            has_paused = true;
            thread::sleep(pause);
        }
    }
    let text = String::from_utf8_lossy(&bytes);
    let events = text.matches("id: ").count();
    let is_whole = bytes.ends_with(b"0\r\n\r\n");
    Some(Stream { request, sent, ended: Instant::now(), events, is_whole })
}

fn judge(
    record: &Record,
    stopped: Instant,
    engines: &[Engine],
    streams: Vec<Option<Stream>>,
) -> Verdict {
    let runs: Vec<_> = engines.iter().flat_map(Engine::runs).collect();
    let mut lost = 0;
    let mut passed_on = 0;
    for stream in streams.iter().flatten() {
        let run = runs.iter().find(|run| run.request == stream.request);
        let answered = run.and_then(|run| run.answered);
        passed_on += u32::from(run.is_some());
        let text = format!(
            "{}: sent at {:.3}, {} of {EVENTS} events, whole: {}; its engine had written all at {:.3}",
            stream.request,
            record.seconds(stream.sent),
            stream.events,
            stream.is_whole,
            answered.map_or(0.0, |at| record.seconds(at)),
        );
        record.line_at(stream.ended, &text);
        // The engine has not broken off, and was not at work in the last sixth of GraceS.
        let is_done = answered.is_some_and(|at| at < stopped + Duration::from_millis(6_600));
        lost += u32::from(!stream.is_whole && is_done);
    }
    let text = format!(
        "{passed_on} streams were passed on, {lost} of them ended without a complete answer \
         around a planned stop"
    );
    record.line(&text);
    println!("{text}");
    match lost {
        _ if passed_on < CLIENTS as u32 => Verdict::NotRun("a stream was not passed on".into()),
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}
