//! Two zones are cut off from each other, and each still reaches the store.
//!
//! One instance in each of two zones; each sees the other at the address of a link, which
//! drops everything while the zones are cut off. The store, the clients and the engines
//! are reached all the while. One tenant asks for several times its quota.

use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Connection;
use crate::platform::{
    BOUNDS, BROKEN, Entry, Folder, HELD, HOST, KEY, NOT_RUN, Options, Process, Record, call, unix_ms,
};
use crate::store::Store;

const RATE_PER_S: u64 = 47_000;
const BURST: u64 = 65_520;
const WINDOW: Duration = Duration::from_secs(8);
/// What the rule allows in a window, in tokens: `QuotaOver` 0.1, `QuotaSlack` 190,000.
const ALLOWED: u64 = (RATE_PER_S * 8 + BURST) * 11 / 10 + 190_000;
const TOKENS: u64 = 1_460 + 80;
const ENGINES: usize = 12;
const SLOTS: u32 = 4;
const WORK: Duration = Duration::from_millis(40);
/// When the zones are cut off from each other; the second cut begins as the first ends.
const CUT_AT: Duration = Duration::from_secs(12);
/// The longest cut (`node_cut`) of the site file's days.
const CUT_TIME: Duration = Duration::from_secs(12);
const CUTS: u32 = 2;
const RUN_TIME: Duration = Duration::from_secs(50);
const CLIENTS_PER_ZONE: usize = 20;
/// Each client's pause between two requests; 100 requests a second for a zone.
const INTERVAL: Duration = Duration::from_millis(200);

type Runs = Arc<Mutex<HashMap<String, Duration>>>;

fn engine(id: String, listener: TcpListener, started: Instant, runs: Runs, record: Arc<Record>) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (id, runs, record) = (id.clone(), runs.clone(), record.clone());
            thread::spawn(move || serve(&id, stream, started, &runs, &record));
        }
    });
}

fn serve(engine: &str, stream: TcpStream, started: Instant, runs: &Runs, record: &Record) {
    let mut connection = Connection::new(stream);
    while let Ok(Some(request)) = connection.read() {
        let id = request.header("request-id").unwrap_or_default().to_owned();
        let at = started.elapsed();
        runs.lock().unwrap().entry(id.clone()).or_insert(at);
        record.line(format!("{engine} runs {id}"));
        thread::sleep(WORK);
        let body = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n";
        let answer = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s.{id}\r\n\
             Content-Type: text/event-stream\r\nKeep-Alive: timeout=30\r\nTransfer-Encoding: chunked\r\n\r\n\
             {:x}\r\n{body}\r\n0\r\n\r\n",
            body.len()
        );
        if connection.write(answer.as_bytes()).is_err() {
            return;
        }
    }
}

/// A link for datagrams between two instances; returns the address at which `first` sees
/// `second`, and the other way round.
fn link(first: SocketAddr, second: SocketAddr, is_cut: &Arc<AtomicBool>) -> (SocketAddr, SocketAddr) {
    let socket = || Arc::new(UdpSocket::bind("127.0.0.1:0").expect("a port is free"));
    let (at_first, at_second) = (socket(), socket());
    let forward = |from: Arc<UdpSocket>, by: Arc<UdpSocket>, to: SocketAddr| {
        let is_cut = is_cut.clone();
        thread::spawn(move || {
            let mut buffer = vec![0; 64 << 10];
            while let Ok((length, _)) = from.recv_from(&mut buffer) {
                if !is_cut.load(Ordering::Relaxed) {
                    let _ = by.send_to(&buffer[..length], to);
                }
            }
        });
    };
    let addresses = (at_first.local_addr().unwrap(), at_second.local_addr().unwrap());
    forward(at_first.clone(), at_second.clone(), second);
    forward(at_second, at_first, first);
    addresses
}

fn config() -> String {
    format!(
        "{{\"Version\":7,\"Routes\":[{{\"Name\":\"draft\",\"Host\":\"{HOST}\",\"Prefix\":\"/draft/\",\
         \"Kind\":\"streaming\",\"TimeoutMs\":4000,\"TargetLatencyMs\":800,\"Priority\":1,\
         \"Service\":\"draft-models\",\"MaxAttempts\":1,\"Public\":false,\"SessionAffinity\":true,\
         \"Resumable\":false,\"GapAimMs\":500}}],\
         \"Services\":[{{\"Name\":\"draft-models\",\"HealthPath\":\"/healthz\",\"MaxConnections\":360,\
         \"Engine\":{{\"Slots\":{SLOTS},\"KvCapacityTokens\":513783,\"Stride\":6}}}}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\
         \"IdleTimeoutMs\":15000}},\
         \"Tenants\":[{{\"Name\":\"team-a\",\"ApiKeys\":[\"{KEY}\"],\"Priority\":1,\
         \"Unit\":\"token_usage\",\"PlainTokens\":200,\"RatePerS\":{RATE_PER_S},\"Burst\":{BURST}}}]}}"
    )
}

pub fn run(folder: &Path, has_trouble: bool) -> i32 {
    let record = Arc::new(Record::new(folder));
    let files = Folder::new("zones-apart");
    let store = Store::new();
    store.set("op", "config", Some(&config()));
    let (started, born) = (Instant::now(), unix_ms());
    let runs: Runs = Arc::default();
    let mut entries = Vec::new();
    for index in 0..ENGINES {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let id = format!("i-{index}");
        entries.push((id.clone(), listener.local_addr().expect("it has an address"), index));
        engine(id, listener, started, runs.clone(), record.clone());
    }
    let beats = store.clone();
    thread::spawn(move || {
        for sequence in 1.. {
            for (id, address, index) in &entries {
                let zone = if index % 2 == 0 { "cascadia-a" } else { "cascadia-b" };
                let entry = Entry {
                    id, service: "draft-models", zone, address: *address, slots: SLOTS, born, state: "ready",
                };
                entry.write(&beats, sequence);
            }
            thread::sleep(Duration::from_millis(1_200));
        }
    });
    let mut processes = Vec::new();
    for (name, zone) in [("front-cascadia-a-1", "cascadia-a"), ("front-cascadia-b-1", "cascadia-b")] {
        let options = Options { name, zone, bounds: BOUNDS };
        let Some(process) = Process::start(&files.0, store.listen(name), &options) else { return NOT_RUN };
        if let Some(first) = processes.first() {
            let first: &Process = first;
            let is_cut = Arc::new(AtomicBool::new(false));
            let (at_first, at_second) = link(first.peers, process.peers, &is_cut);
            store.link(&first.name, &process.name, at_first);
            store.link(&process.name, &first.name, at_second);
            schedule_cut(is_cut, started, has_trouble, record.clone());
        }
        processes.push(process);
    }
    if !processes.iter().all(Process::wait_until_ready) {
        record.note("a process did not become ready");
        return NOT_RUN;
    }
    thread::sleep(Duration::from_secs(3));
    let sent = send(&processes, started, &record);
    let runs = runs.lock().unwrap();
    let mut ran: Vec<(Duration, Duration)> =
        sent.iter().filter_map(|(id, at)| Some((*at, *runs.get(id)?))).collect();
    ran.sort_unstable();
    record.note(format!("{} requests sent, {} run", sent.len(), ran.len()));
    let in_window = |from: Duration| {
        let until = from + WINDOW;
        let is_in = |at: Duration| at >= from && at < until;
        ran.iter().filter(|(sent, ran)| is_in(*sent) && is_in(*ran)).count() as u64 * TOKENS
    };
    let (most, from) = ran.iter().map(|(sent, _)| (in_window(*sent), *sent)).max().unwrap_or_default();
    record.note(format!(
        "QUOTA: most tokens in 8 s: {most}, from {:.1} s; allowed {ALLOWED}", from.as_secs_f64()
    ));
    if !processes.iter_mut().all(Process::is_running) {
        record.note("a process ended");
        return BROKEN;
    }
    if ran.len() < 500 {
        record.note("too few requests ran for a result");
        return NOT_RUN;
    }
    if most > ALLOWED { BROKEN } else { HELD }
}

fn schedule_cut(is_cut: Arc<AtomicBool>, started: Instant, has_trouble: bool, record: Arc<Record>) {
    thread::spawn(move || {
        thread::sleep(CUT_AT.saturating_sub(started.elapsed()));
        is_cut.store(has_trouble, Ordering::Relaxed);
        record.line(if has_trouble { "the zones are cut off from each other" } else { "no cut" });
        thread::sleep(CUT_TIME * CUTS);
        is_cut.store(false, Ordering::Relaxed);
        record.line("the zones reach each other");
    });
}

/// Sends the tenant's requests in both zones; returns when each was sent.
fn send(processes: &[Process], started: Instant, record: &Arc<Record>) -> HashMap<String, Duration> {
    let sent: Arc<Mutex<HashMap<String, Duration>>> = Arc::default();
    let mut clients = Vec::new();
    for client in 0..2 * CLIENTS_PER_ZONE {
        let (sent, record) = (sent.clone(), record.clone());
        let front = processes[client % 2].front;
        clients.push(thread::spawn(move || {
            let mut number = 0;
            while started.elapsed() < RUN_TIME {
                number += 1;
                let id = format!("c{client:02}n{number:04}");
                let request = format!(
                    "POST /draft/2f HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nModel: m\r\n\
                     Token-Count: 1460,80\r\nPrefix-Hash: 5c1e07a2:800,{client:x}{number:x}:660\r\n\
                     Deadline-Ms: 4000\r\nAuthorization: Bearer {KEY}\r\nContent-Length: 4\r\n\
                     Connection: close\r\n\r\nbody"
                );
                let began = Instant::now();
                sent.lock().unwrap().insert(id.clone(), started.elapsed());
                let status = call(front, request.as_bytes(), Duration::from_secs(6)).map_or(0, |a| a.status());
                record.line(format!("{id} is answered with {status}"));
                thread::sleep(INTERVAL.saturating_sub(began.elapsed()));
            }
        }));
    }
    for client in clients {
        let _ = client.join();
    }
    let sent = sent.lock().unwrap();
    sent.clone()
}
