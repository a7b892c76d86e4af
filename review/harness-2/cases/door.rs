//! A crowd of clients keeps its connections open between requests, as the pages allow, and
//! takes all connections of a daemon.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::{Answer, Folder, HOST, ask, configuration, millis};
use crate::Verdict;
use crate::daemon::Daemon;
use crate::engine::Engine;
use crate::record::Record;
use crate::store::Store;

const CONTACT: Duration = Duration::from_millis(3_000);
/// The crowd's clients.
const CROWD: usize = 3_600;
const CROWD_THREADS: usize = 4;
/// The time between two requests of a client of the crowd: less than four fifths of
/// `IdleTimeoutMs`, which is 15,000.
const CROWD_PAUSE: Duration = Duration::from_millis(11_000);
/// The time after which a client of the crowd that was turned away connects again.
const CROWD_RETRY: Duration = Duration::from_millis(500);
/// Ordinary clients, which open a connection for each order.
const ORDINARY: usize = 10;
const ORDINARY_PAUSE: Duration = Duration::from_millis(150);
/// How many clients have to try for the rule.
const TRYING: usize = 7;

struct Member {
    stream: Option<TcpStream>,
    next: Instant,
}

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let folder = Folder::new();
    let store = Store::start();
    let engines = [
        Engine::start("i-orders-1", "orders-app", millis(5), 0),
        Engine::start("i-orders-2", "orders-app", millis(5), 0),
    ];
    store.put("op", "config", &configuration(7, &[("council", &["key-1"]), ("town", &["key-2"])]));
    for engine in &engines {
        store.put("servers", &engine.id, &engine.entry("zone-a", 6, "ready", 1));
    }
    let mut daemon = Daemon::new(&folder.0, "front-1", "zone-a", store.address, 260);
    daemon.start();
    if !daemon.wait_until_ready(Duration::from_secs(10)) {
        return Verdict::NotRun("the daemon is not ready".into());
    }
    record.line("the daemon is ready; ordinary clients start");
    let is_over = Arc::new(AtomicBool::new(false));
    let answers: Arc<Mutex<Vec<(usize, Answer)>>> = Arc::default();
    let clients: Vec<_> = (0..ORDINARY)
        .map(|client| {
            let (is_over, answers, front) = (is_over.clone(), answers.clone(), daemon.front);
            thread::spawn(move || {
                let mut number = 0;
                while !is_over.load(Ordering::SeqCst) {
                    number += 1;
                    let id = format!("order-{client}-{number}");
                    let answer = ask(front, "POST", "/order/new", &id, "key-1");
                    answers.lock().expect("no thread panics").push((client, answer));
                    thread::sleep(ORDINARY_PAUSE);
                }
            })
        })
        .collect();
    thread::sleep(millis(3_000));
    let crowd_answers = Arc::new(Mutex::new(0u64));
    if trouble {
        record.line(&format!("{CROWD} clients of the crowd start"));
        for thread in 0..CROWD_THREADS {
            let (is_over, front, count) = (is_over.clone(), daemon.front, crowd_answers.clone());
            thread::spawn(move || crowd(thread, front, &is_over, &count));
        }
    }
    let mut ready = vec![];
    let end = Instant::now() + Duration::from_secs(20);
    while Instant::now() < end {
        ready.push((Instant::now(), daemon.is_ready()));
        thread::sleep(millis(500));
    }
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let count = *crowd_answers.lock().expect("no thread panics");
    record.line(&format!("the crowd got {count} answers"));
    let answers = answers.lock().expect("no thread panics").clone();
    judge(record, &answers, &ready)
}

/// A share of the crowd's clients.
fn crowd(thread: usize, front: SocketAddr, is_over: &AtomicBool, answered: &Mutex<u64>) {
    let now = Instant::now();
    let mut members: Vec<_> =
        (0..CROWD / CROWD_THREADS).map(|_| Member { stream: None, next: now }).collect();
    let mut number = 0;
    let mut buffer = [0; 4 << 10];
    while !is_over.load(Ordering::SeqCst) {
        for member in &mut members {
            let now = Instant::now();
            if let Some(stream) = &mut member.stream {
                match stream.read(&mut buffer) {
                    Ok(read) if read > 0 => *answered.lock().expect("no thread panics") += 1,
                    Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                    _ => {
                        member.stream = None;
                        member.next = now + CROWD_RETRY;
                        continue;
                    }
                }
            }
            if now < member.next {
                continue;
            }
            if member.stream.is_none() {
                member.stream = TcpStream::connect_timeout(&front, millis(300)).ok();
            }
            member.next = now + CROWD_RETRY;
            number += 1;
            let request = format!(
                "GET /status/one HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: crowd-{thread}-{number}\r\n\
                 Deadline-Ms: 1500\r\nAuthorization: Bearer key-2\r\n\r\n"
            );
            if let Some(stream) = &mut member.stream {
                let is_sent = stream.write_all(request.as_bytes()).is_ok();
                if is_sent && stream.set_nonblocking(true).is_ok() {
                    member.next = now + CROWD_PAUSE;
                } else {
                    member.stream = None;
                }
            }
        }
        thread::sleep(millis(2));
    }
}

fn judge(record: &Record, answers: &[(usize, Answer)], ready: &[(Instant, bool)]) -> Verdict {
    let mut by_time: Vec<_> = answers.iter().collect();
    by_time.sort_by_key(|(_, answer)| answer.ended);
    let served = by_time.iter().filter(|(_, answer)| answer.status == 200).count();
    for (client, answer) in &by_time {
        let text = format!("{} of client {client}: {}", answer.request, answer.status);
        record.line_at(answer.ended, &text);
    }
    // The longest time in which no ordinary client's new connection was taken.
    let mut longest = (Duration::ZERO, 0, record.started);
    let mut last_taken = by_time.first().map_or(record.started, |(_, answer)| answer.ended);
    let last = by_time.last().map_or(record.started, |(_, answer)| answer.ended);
    let taken = by_time.iter().filter(|(_, answer)| answer.status != 0);
    for at in taken.map(|(_, answer)| answer.ended).chain([last]) {
        let span = at.saturating_duration_since(last_taken);
        let tried = |(_, answer): &&&(usize, Answer)| answer.sent > last_taken && answer.ended < at;
        let clients: std::collections::BTreeSet<_> =
            by_time.iter().filter(tried).map(|(client, _)| client).collect();
        if span > longest.0 {
            longest = (span, clients.len(), last_taken);
        }
        last_taken = at;
    }
    let (span, clients, from) = longest;
    let within = ready.iter().filter(|(at, _)| *at > from && *at < from + span);
    let unready = within.clone().filter(|(_, is_ready)| !is_ready).count();
    let text = format!(
        "{} orders, {served} got 200; the longest time in which no new connection of ordinary \
         clients was taken is {:.3} s, from {:.3} s on: {clients} clients tried; the daemon was \
         asked {} times whether it is ready, {unready} times it was not",
        by_time.len(),
        span.as_secs_f64(),
        record.seconds(from),
        within.count()
    );
    record.line(&text);
    println!("{text}");
    match span {
        _ if served == 0 => Verdict::NotRun("no order was served".into()),
        _ if span < CONTACT || clients < TRYING || unready > 0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}
