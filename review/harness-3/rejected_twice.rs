//! An engine repeats a rejection, and the copy breaks off.
//!
//! Engines of a plain service reject requests while they are full. A part of the engines
//! (`GARBLE_SHARE`) writes a second copy of a part of its answers (`GARBLE_PART`) late, at
//! the point where the next answer on the connection is due, and the copy breaks off.

use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Connection;
use crate::platform::{
    BOUNDS, BROKEN, Entry, Folder, HELD, HOST, KEY, NOT_RUN, Options, Process, Random, Record, call,
    unix_ms,
};
use crate::store::Store;

/// `garble` in the pages' site files: share = 0.6, x = 0.03, for_s = 5.0.
const GARBLE_SHARE: f64 = 0.6;
const GARBLE_PART: f64 = 0.03;
const GARBLE_TIME: Duration = Duration::from_secs(5);
/// The time between two of these disruptions.
const GARBLE_PAUSE: Duration = Duration::from_secs(2);
const ENGINES: usize = 5;
const SLOTS: u32 = 6;
/// The requests that an engine queues.
const QUEUE: u32 = 3;
const WORK: Duration = Duration::from_millis(30);
const RUN_TIME: Duration = Duration::from_secs(90);
/// The requests of a burst, one client each.
const CLIENTS: usize = 60;
const BURST_INTERVAL: Duration = Duration::from_millis(100);

#[derive(Default)]
struct Seen {
    /// How often each request ran.
    runs: Mutex<HashMap<String, u32>>,
    rejected: AtomicU64,
    copies: AtomicU64,
    is_garbling: AtomicBool,
    has_ended: AtomicBool,
}

struct Engine {
    id: String,
    busy: Mutex<u32>,
    is_faulty: bool,
    seen: Arc<Seen>,
    record: Arc<Record>,
}

impl Engine {
    /// Takes a place; none where all are taken.
    fn enter(&self) -> bool {
        let mut busy = self.busy.lock().unwrap();
        let has_room = *busy < SLOTS + QUEUE;
        *busy += u32::from(has_room);
        has_room
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        let mut random = Random::new();
        // The copy that comes when the next request is there.
        let mut copy: Option<Vec<u8>> = None;
        while let Ok(Some(request)) = connection.read() {
            let id = request.header("request-id").unwrap_or_default().to_owned();
            if let Some(copy) = copy.take() {
                self.seen.copies.fetch_add(1, Ordering::Relaxed);
                self.record.line(format!(
                    "{} writes {} bytes of an earlier answer once more while {id} waits: {:?}",
                    self.id,
                    copy.len(),
                    String::from_utf8_lossy(&copy)
                ));
                if connection.write(&copy).is_err() {
                    return;
                }
            }
            let expected = request.header("expect-instance");
            let answer = if expected.is_some_and(|expected| expected != self.id) {
                format!("HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n", self.id)
            } else if self.enter() {
                *self.seen.runs.lock().unwrap().entry(id.clone()).or_default() += 1;
                self.record.line(format!("{} runs {id}", self.id));
                thread::sleep(WORK);
                *self.busy.lock().unwrap() -= 1;
                let body = format!("done {id} at {}", self.id);
                format!(
                    "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nRequest-Id: {id}\r\n\
                     Response-Signature: s.{id}\r\nKeep-Alive: timeout=30\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len()
                )
            } else {
                self.seen.rejected.fetch_add(1, Ordering::Relaxed);
                self.record.line(format!("{} rejects {id}", self.id));
                format!(
                    "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Type: text/plain\r\n\
                     Keep-Alive: timeout=30\r\nRequest-Id: {id}\r\nContent-Length: 0\r\n\r\n"
                )
            };
            if connection.write(answer.as_bytes()).is_err() {
                return;
            }
            let is_garbling = self.is_faulty && self.seen.is_garbling.load(Ordering::Relaxed);
            if is_garbling && random.chance(GARBLE_PART) {
                let length = 1 + random.below(answer.len() as u64 - 1) as usize;
                copy = Some(answer.into_bytes()[..length].to_vec());
            }
        }
    }
}

fn config() -> String {
    let route = |name: &str, attempts| {
        format!(
            "{{\"Name\":\"{name}\",\"Host\":\"{HOST}\",\"Prefix\":\"/{name}/\",\"Kind\":\"unsafe\",\
             \"TimeoutMs\":800,\"TargetLatencyMs\":150,\"Priority\":2,\"Service\":\"billing-app\",\
             \"MaxAttempts\":{attempts},\"Public\":false}}"
        )
    };
    format!(
        "{{\"Version\":7,\"Routes\":[{},{}],\
         \"Services\":[{{\"Name\":\"billing-app\",\"HealthPath\":\"/healthz\",\"MaxConnections\":96}}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\
         \"IdleTimeoutMs\":15000}},\
         \"Tenants\":[{{\"Name\":\"team-a\",\"ApiKeys\":[\"{KEY}\"],\"Priority\":1,\
         \"Unit\":\"token_usage\",\"PlainTokens\":200,\"RatePerS\":0,\"Burst\":0}}]}}",
        route("order", 1),
        route("charge", 2)
    )
}

pub fn run(folder: &Path, has_trouble: bool) -> i32 {
    let record = Arc::new(Record::new(folder));
    let files = Folder::new("rejected-twice");
    let store = Store::new();
    store.set("op", "config", Some(&config()));
    let seen = Arc::new(Seen::default());
    let faulty = (ENGINES as f64 * GARBLE_SHARE) as usize;
    let born = unix_ms();
    let mut entries = Vec::new();
    for index in 0..ENGINES {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("it has an address");
        let engine = Arc::new(Engine {
            id: format!("i-{index}"),
            busy: Mutex::new(0),
            is_faulty: has_trouble && index < faulty,
            seen: seen.clone(),
            record: record.clone(),
        });
        entries.push((engine.id.clone(), address));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let engine = engine.clone();
                thread::spawn(move || engine.serve(stream));
            }
        });
    }
    let beats = store.clone();
    thread::spawn(move || {
        for sequence in 1.. {
            for (id, address) in &entries {
                let entry = Entry {
                    id, service: "billing-app", zone: "cascadia-a", address: *address, slots: SLOTS, born, state: "ready",
                };
                entry.write(&beats, sequence);
            }
            thread::sleep(Duration::from_millis(1_200));
        }
    });
    let mut processes = Vec::new();
    for name in ["front-cascadia-a-1", "front-cascadia-a-2"] {
        let options = Options { name, zone: "cascadia-a", bounds: BOUNDS };
        let Some(process) = Process::start(&files.0, store.listen(name), &options) else { return NOT_RUN };
        processes.push(process);
    }
    if !processes.iter().all(Process::wait_until_ready) {
        record.note("a process did not become ready");
        return NOT_RUN;
    }
    thread::sleep(Duration::from_secs(2));
    let answers = send_bursts(&processes, &seen, &record);
    let runs = seen.runs.lock().unwrap().clone();
    let twice: Vec<_> = runs.iter().filter(|(_, runs)| **runs > 1).map(|(id, _)| id.clone()).collect();
    let refused: Vec<_> = answers
        .iter()
        .filter(|(id, status)| [429, 503, 408, 421].contains(*status) && runs.contains_key(*id))
        .map(|(id, status)| format!("{id} ({status})"))
        .collect();
    let count = |status: u16| answers.values().filter(|s| **s == status).count();
    record.note(format!(
        "{} requests: {} with 200, {} with 502, {} with 503, {} with 504, {} without an answer",
        answers.len(), count(200), count(502), count(503), count(504), count(0)
    ));
    record.note(format!(
        "engines ran {} requests and rejected {}; they wrote {} broken copies",
        runs.len(), seen.rejected.load(Ordering::Relaxed), seen.copies.load(Ordering::Relaxed)
    ));
    record.note(format!("TWICE: {} requests of an unsafe route ran more than once: {}", twice.len(), twice.join(" ")));
    record.note(format!("REFUSED: {} were told that they did not run, and ran: {}", refused.len(), refused.join(" ")));
    if !processes.iter_mut().all(Process::is_running) {
        record.note("a process ended");
        return BROKEN;
    }
    if count(200) < answers.len() / 2 {
        record.note("too few requests were served for a result");
        return NOT_RUN;
    }
    if twice.is_empty() && refused.is_empty() { HELD } else { BROKEN }
}

/// Sends bursts of requests; returns the status of each answer, 0 where there was none.
fn send_bursts(processes: &[Process], seen: &Arc<Seen>, record: &Arc<Record>) -> HashMap<String, u16> {
    let answers: Arc<Mutex<HashMap<String, u16>>> = Arc::default();
    let started = Instant::now();
    let fronts: Vec<SocketAddr> = processes.iter().map(|process| process.front).collect();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (answers, seen, record) = (answers.clone(), seen.clone(), record.clone());
            let front = fronts[client % fronts.len()];
            thread::spawn(move || {
                for number in 0u32.. {
                    let at = started + BURST_INTERVAL * number;
                    thread::sleep(at.saturating_duration_since(Instant::now()));
                    if seen.has_ended.load(Ordering::Relaxed) {
                        return;
                    }
                    let id = format!("r{client:02}n{number:05}");
                    let route = if client % 4 < 2 { "order" } else { "charge" };
                    let request = format!(
                        "POST /{route}/2f HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: 1500\r\n\
                         Authorization: Bearer {KEY}\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbody"
                    );
                    let answer = call(front, request.as_bytes(), Duration::from_secs(3));
                    let status = answer.map_or(0, |answer| answer.status());
                    record.line(format!("{id} ({route}) is answered with {status}"));
                    answers.lock().unwrap().insert(id, status);
                }
            })
        })
        .collect();
    while started.elapsed() < RUN_TIME {
        seen.is_garbling.store(true, Ordering::Relaxed);
        thread::sleep(GARBLE_TIME);
        seen.is_garbling.store(false, Ordering::Relaxed);
        thread::sleep(GARBLE_PAUSE);
    }
    seen.has_ended.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(Duration::from_secs(1));
    let answers = answers.lock().unwrap();
    answers.clone()
}
