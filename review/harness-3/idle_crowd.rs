//! A crowd of clients that the users don't control leaves its connections open.
//!
//! Each client of the crowd sends one small request to a path without a route, reads the
//! answer and stays on its connection without sending anything more. Ordinary clients open
//! new connections meanwhile.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Connection;
use crate::platform::{
    BOUNDS, BROKEN, Entry, Folder, HELD, HOST, KEY, NOT_RUN, Options, Process, Record, call, unix_ms,
};
use crate::store::Store;

/// More than a process with 4,100 descriptors accepts.
const CROWD: usize = 3_600;
/// With fewer than this the case has not run.
const LEAST_CROWD: usize = 3_000;
const CROWD_THREADS: usize = 12;
/// `ContactMs`.
const CONTACT: Duration = Duration::from_secs(3);
/// How many clients the rule asks for.
const CLIENTS: usize = 10;
const LEAST_CLIENTS: usize = 7;
const INTERVAL: Duration = Duration::from_millis(300);
/// How long ordinary clients try, which is shorter than `IdleTimeoutMs`.
const TRY_TIME: Duration = Duration::from_secs(9);

fn engine(id: &'static str, listener: TcpListener, record: Arc<Record>) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let record = record.clone();
            thread::spawn(move || {
                let mut connection = Connection::new(stream);
                while let Ok(Some(request)) = connection.read() {
                    let request_id = request.header("request-id").unwrap_or_default();
                    record.line(format!("{id} runs {request_id}"));
                    thread::sleep(Duration::from_millis(30));
                    let answer = format!(
                        "HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nResponse-Signature: s\r\n\
                         Content-Length: 4\r\n\r\ndone"
                    );
                    if connection.write(answer.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
}

fn config() -> String {
    format!(
        "{{\"Version\":7,\"Routes\":[{{\"Name\":\"lookup\",\"Host\":\"{HOST}\",\"Prefix\":\"/lookup/\",\
         \"Kind\":\"safe\",\"TimeoutMs\":800,\"TargetLatencyMs\":300,\"Priority\":2,\
         \"Service\":\"billing-app\",\"MaxAttempts\":2,\"Public\":false}}],\
         \"Services\":[{{\"Name\":\"billing-app\",\"HealthPath\":\"/healthz\",\"MaxConnections\":100}}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\
         \"IdleTimeoutMs\":15000}},\
         \"Tenants\":[{{\"Name\":\"team-a\",\"ApiKeys\":[\"{KEY}\"],\"Priority\":1,\
         \"Unit\":\"token_usage\",\"PlainTokens\":200,\"RatePerS\":0,\"Burst\":0}}]}}"
    )
}

/// Opens the crowd's connections; each reads the answer to one request and stays open.
fn open_crowd(front: SocketAddr) -> Vec<TcpStream> {
    let threads: Vec<_> = (0..CROWD_THREADS)
        .map(|thread| {
            thread::spawn(move || {
                let mut open = Vec::new();
                for number in 0..CROWD / CROWD_THREADS {
                    let Ok(mut connection) = Connection::open(front, Duration::from_secs(2)) else { continue };
                    let request = format!(
                        "GET /nothing-here/ HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: x{thread}n{number}\r\n\
                         Deadline-Ms: 1500\r\n\r\n"
                    );
                    let _ = connection.write(request.as_bytes());
                    if matches!(connection.read(), Ok(Some(_))) {
                        open.push(connection.stream);
                    }
                }
                open
            })
        })
        .collect();
    threads.into_iter().filter_map(|thread| thread.join().ok()).flatten().collect()
}

pub fn run(folder: &Path, has_trouble: bool) -> i32 {
    let record = Arc::new(Record::new(folder));
    let files = Folder::new("idle-crowd");
    let store = Store::new();
    store.set("op", "config", Some(&config()));
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("it has an address");
    engine("i-0", listener, record.clone());
    let (beats, born) = (store.clone(), unix_ms());
    thread::spawn(move || {
        for sequence in 1.. {
            let entry = Entry {
                id: "i-0", service: "billing-app", zone: "cascadia-a", address, slots: 6, born, state: "ready",
            };
            entry.write(&beats, sequence);
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
    thread::sleep(Duration::from_secs(4));
    let crowd = if has_trouble { open_crowd(process.front) } else { Vec::new() };
    record.note(format!("{} clients of the crowd were answered and stay", crowd.len()));
    if has_trouble && crowd.len() < LEAST_CROWD {
        record.note("the crowd could not be opened; are enough descriptors allowed?");
        return NOT_RUN;
    }
    let tries = try_ordinary(&process, &record);
    let is_running = process.is_running();
    drop(crowd);
    let answered = tries.iter().filter(|t| t.status != 0).count();
    record.note(format!("{} ordinary requests on new connections, {answered} answered", tries.len()));
    if !is_running {
        record.note("the process ended");
        return BROKEN;
    }
    let longest = longest_silence(&tries);
    record.note(format!(
        "RECOVER: {} clients took part; the longest time in which the machine said that it was ready and \
         answered nobody on a new connection is {:.1} s, allowed {:.1} s",
        CLIENTS, longest.as_secs_f64(), CONTACT.as_secs_f64()
    ));
    if longest > CONTACT { BROKEN } else { HELD }
}

/// One try of an ordinary client on a new connection.
struct Try {
    client: usize,
    at: Duration,
    status: u16,
    /// Whether the machine said then that it was ready.
    is_ready: bool,
}

fn try_ordinary(process: &Process, record: &Arc<Record>) -> Vec<Try> {
    let started = Instant::now();
    let tries: Arc<Mutex<Vec<Try>>> = Arc::default();
    let (front, ready) = (process.front, process.ready);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (tries, record) = (tries.clone(), record.clone());
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(30 * client as u64));
                for number in 0.. {
                    let at = started.elapsed();
                    if at >= TRY_TIME {
                        return;
                    }
                    let id = format!("c{client}n{number}");
                    let request = format!(
                        "GET /lookup/2f HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: 1500\r\n\
                         Authorization: Bearer {KEY}\r\nConnection: close\r\n\r\n"
                    );
                    let status = call(front, request.as_bytes(), Duration::from_secs(2)).map_or(0, |a| a.status());
                    let probe = format!("GET /v1/readyz HTTP/1.1\r\nHost: {ready}\r\nConnection: close\r\n\r\n");
                    let is_ready = call(ready, probe.as_bytes(), Duration::from_secs(1))
                        .is_ok_and(|answer| answer.status() == 200);
                    record.line(format!("{id} is answered with {status}; ready: {is_ready}"));
                    tries.lock().unwrap().push(Try { client, at, status, is_ready });
                    thread::sleep(INTERVAL);
                }
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    let mut tries = std::mem::take(&mut *tries.lock().unwrap());
    tries.sort_by_key(|t| t.at);
    tries
}

/// The longest time without an answer or a probe that failed, in which enough clients tried.
fn longest_silence(tries: &[Try]) -> Duration {
    let mut longest = Duration::ZERO;
    let mut start = 0;
    for (index, one) in tries.iter().enumerate() {
        if one.status != 0 || !one.is_ready {
            start = index + 1;
            continue;
        }
        let span = &tries[start..=index];
        let mut clients: Vec<_> = span.iter().map(|t| t.client).collect();
        clients.sort_unstable();
        clients.dedup();
        if clients.len() >= LEAST_CLIENTS {
            longest = longest.max(one.at - span[0].at);
        }
    }
    longest
}
