//! A burst of urgent requests fills the engines while one tenant is hot.
//!
//! The requests of the hot tenant wait during the burst and are refused as not run, and what
//! they cost is given back. After the burst the tenant's requests run.

use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Connection;
use crate::platform::{
    BOUNDS, BROKEN, Entry, Folder, HELD, HOST, NOT_RUN, Options, Process, Record, call, unix_ms,
};
use crate::store::Store;

const RATE_PER_S: u64 = 47_000;
const BURST: u64 = 65_520;
const WINDOW: Duration = Duration::from_secs(8);
/// What the rule allows in a window, in tokens: `QuotaOver` 0.1, `QuotaSlack` 190,000.
const ALLOWED: u64 = (RATE_PER_S * 8 + BURST) * 11 / 10 + 190_000;
const TOKENS: u64 = 2_890 + 110;
const ENGINES: usize = 6;
const SLOTS: u32 = 4;
const WORK: Duration = Duration::from_millis(150);
/// The usual requests per second of the urgent tenants and of the one that becomes hot.
const URGENT_PER_S: f64 = 95.0;
const USUAL_PER_S: f64 = 12.0;
/// `burst` in the site file: x = 1.7 for 5 s; `hot_tenant`: x = 6.0 for 11 s.
const BURST_FACTOR: f64 = 1.7;
const BURST_TIME: Duration = Duration::from_secs(5);
const HOT_FACTOR: f64 = 6.0;
const HOT_TIME: Duration = Duration::from_secs(11);
/// When the tenant becomes hot, and the burst begins, after the first request; repeated.
const TROUBLE_AT: [Duration; 2] = [Duration::from_secs(6), Duration::from_secs(30)];
const RUN_TIME: Duration = Duration::from_secs(50);
const HOT_KEY: &str = "key-of-hot";
const URGENT_KEY: &str = "key-of-urgent";

type Runs = Arc<Mutex<HashMap<String, Duration>>>;

fn serve(engine: &str, stream: TcpStream, started: Instant, runs: &Runs, record: &Record) {
    let mut connection = Connection::new(stream);
    while let Ok(Some(request)) = connection.read() {
        let id = request.header("request-id").unwrap_or_default().to_owned();
        runs.lock().unwrap().entry(id.clone()).or_insert(started.elapsed());
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

fn config() -> String {
    let tenant = |name: &str, key: &str, priority: u8, rate: u64, burst: u64| {
        format!(
            "{{\"Name\":\"{name}\",\"ApiKeys\":[\"{key}\"],\"Priority\":{priority},\"Unit\":\"token_usage\",\
             \"PlainTokens\":200,\"RatePerS\":{rate},\"Burst\":{burst}}}"
        )
    };
    format!(
        "{{\"Version\":7,\"Routes\":[{{\"Name\":\"draft\",\"Host\":\"{HOST}\",\"Prefix\":\"/draft/\",\
         \"Kind\":\"streaming\",\"TimeoutMs\":4000,\"TargetLatencyMs\":800,\"Priority\":1,\
         \"Service\":\"draft-models\",\"MaxAttempts\":1,\"Public\":false,\"SessionAffinity\":true,\
         \"Resumable\":false,\"GapAimMs\":500}}],\
         \"Services\":[{{\"Name\":\"draft-models\",\"HealthPath\":\"/healthz\",\"MaxConnections\":360,\
         \"Engine\":{{\"Slots\":{SLOTS},\"KvCapacityTokens\":513783,\"Stride\":6}}}}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\
         \"IdleTimeoutMs\":15000}},\"Tenants\":[{},{}]}}",
        tenant("urgent", URGENT_KEY, 0, 0, 0),
        tenant("hot", HOT_KEY, 2, RATE_PER_S, BURST)
    )
}

pub fn run(folder: &Path, has_trouble: bool) -> i32 {
    let record = Arc::new(Record::new(folder));
    let files = Folder::new("refunds");
    let store = Store::new();
    store.set("op", "config", Some(&config()));
    let (started, born) = (Instant::now(), unix_ms());
    let runs: Runs = Arc::default();
    let mut entries = Vec::new();
    for index in 0..ENGINES {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let id = format!("i-{index}");
        entries.push((id.clone(), listener.local_addr().expect("it has an address")));
        let (runs, record) = (runs.clone(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (id, runs, record) = (id.clone(), runs.clone(), record.clone());
                thread::spawn(move || serve(&id, stream, started, &runs, &record));
            }
        });
    }
    let beats = store.clone();
    thread::spawn(move || {
        for sequence in 1.. {
            for (id, address) in &entries {
                let entry = Entry {
                    id, service: "draft-models", zone: "cascadia-a", address: *address, slots: SLOTS, born, state: "ready",
                };
                entry.write(&beats, sequence);
            }
            thread::sleep(Duration::from_millis(1_200));
        }
    });
    let name = "front-cascadia-a-1";
    let options = Options { name, zone: "cascadia-a", bounds: BOUNDS };
    let Some(mut process) = Process::start(&files.0, store.listen(name), &options) else { return NOT_RUN };
    if !process.wait_until_ready() {
        record.note("the process did not become ready");
        return NOT_RUN;
    }
    thread::sleep(Duration::from_secs(3));
    let first = Instant::now();
    let factor_at = move |at: Duration, factor: f64, time: Duration| {
        let is_on = TROUBLE_AT.iter().any(|from| at >= *from && at < *from + time);
        if has_trouble && is_on { factor } else { 1.0 }
    };
    let urgent = send(process.front, URGENT_KEY, "u", started, &record, move || {
        URGENT_PER_S * factor_at(first.elapsed(), BURST_FACTOR, BURST_TIME)
    });
    // The tenant is hot with and without the burst.
    let hot = send(process.front, HOT_KEY, "h", started, &record, move || {
        let is_on = TROUBLE_AT.iter().any(|from| {
            let at = first.elapsed();
            at >= *from && at < *from + HOT_TIME
        });
        USUAL_PER_S * if is_on { HOT_FACTOR } else { 1.0 }
    });
    thread::sleep(RUN_TIME);
    let (sent, others) = (hot.lock().unwrap().clone(), urgent.lock().unwrap().len());
    thread::sleep(Duration::from_secs(5));
    let runs = runs.lock().unwrap();
    let mut ran: Vec<(Duration, Duration)> =
        sent.iter().filter_map(|(id, at)| Some((*at, *runs.get(id)?))).collect();
    ran.sort_unstable();
    record.note(format!("{others} urgent requests; {} of the hot tenant, of which {} ran", sent.len(), ran.len()));
    let in_window = |from: Duration| {
        let until = from + WINDOW;
        let is_in = |at: Duration| at >= from && at < until;
        ran.iter().filter(|(sent, ran)| is_in(*sent) && is_in(*ran)).count() as u64 * TOKENS
    };
    let (most, from) = ran.iter().map(|(sent, _)| (in_window(*sent), *sent)).max().unwrap_or_default();
    record.note(format!(
        "QUOTA: most tokens in 8 s: {most}, from {:.1} s; allowed {ALLOWED}", from.as_secs_f64()
    ));
    if !process.is_running() {
        record.note("the process ended");
        return BROKEN;
    }
    if ran.len() < 200 {
        record.note("too few requests ran for a result");
        return NOT_RUN;
    }
    if most > ALLOWED { BROKEN } else { HELD }
}

/// Sends requests at a rate that changes, each from a client of its own; returns when each
/// was sent.
fn send(
    front: SocketAddr,
    key: &'static str,
    prefix: &'static str,
    started: Instant,
    record: &Arc<Record>,
    rate: impl Fn() -> f64 + Send + 'static,
) -> Arc<Mutex<HashMap<String, Duration>>> {
    let sent: Arc<Mutex<HashMap<String, Duration>>> = Arc::default();
    let (shared, record) = (sent.clone(), record.clone());
    thread::spawn(move || {
        let begun = Instant::now();
        let mut next = Instant::now();
        for number in 0u32.. {
            if begun.elapsed() >= RUN_TIME {
                return;
            }
            next += Duration::from_secs_f64(1.0 / rate());
            thread::sleep(next.saturating_duration_since(Instant::now()));
            let (sent, record) = (shared.clone(), record.clone());
            thread::spawn(move || {
                let id = format!("{prefix}{number:05}");
                let request = format!(
                    "POST /draft/2f HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nModel: m\r\n\
                     Token-Count: 2890,110\r\nPrefix-Hash: 5c1e07a2:60,{number:x}:2830\r\n\
                     Deadline-Ms: 4000\r\nAuthorization: Bearer {key}\r\nContent-Length: 4\r\n\
                     Connection: close\r\n\r\nbody"
                );
                sent.lock().unwrap().insert(id.clone(), started.elapsed());
                let status = call(front, request.as_bytes(), Duration::from_secs(6)).map_or(0, |a| a.status());
                record.line(format!("{id} is answered with {status}"));
            });
        }
    });
    sent
}
