//! Measures the latency that a daemon adds to a stream, compared with the same
//! stream directly from the stand-in engine, and the daemon's processor time and
//! memory under load and when idle.
//!
//! The daemon runs as a separate process: build it first with
//! `cargo build --release`.

mod support;

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use eyre::eyre;
use hdrhistogram::Histogram;
use rosemarypond_core::config::digest;
use rosemarypond_standin::engine::{Behaviour, Engine};
use rosemarypond_standin::platform::Platform;
use serde_json::json;
use support::Daemon;

const TEAM: &str = "studio-secret";
const TOKENS: u64 = 50;
const TOKEN_MS: u64 = 20;
const ENGINES: usize = 4;
const STREAMS: [usize; 4] = [1, 16, 128, 700];
const ROUNDS: usize = 3;
const IDLE: Duration = Duration::from_secs(10);

/// The latencies of a run, in microseconds.
struct Times {
    first_us: Histogram<u64>,
    gap_us: Histogram<u64>,
    broken: usize,
}

impl Times {
    fn new() -> Self {
        let histogram =
            || Histogram::new_with_bounds(1, 60_000_000, 3).expect("the bounds are in order");
        Self { first_us: histogram(), gap_us: histogram(), broken: 0 }
    }

    fn line(&self) -> String {
        let of = |h: &Histogram<u64>| {
            let at = |q| h.value_at_quantile(q) as f64 / 1e3;
            format!("{:8.2} {:8.2} {:8.2}", at(0.5), at(0.95), at(0.99))
        };
        format!("{} | {} | broken {}", of(&self.first_us), of(&self.gap_us), self.broken)
    }
}

fn stream(to: SocketAddr, times: &Mutex<Times>) -> eyre::Result<()> {
    let body = json!({
        "stream": true, "max_tokens": TOKENS,
        "messages": [{ "role": "user", "content": format!("{:?} a short note", Instant::now()) }],
    });
    let begin = Instant::now();
    let request = ureq::post(format!("http://{to}/v1/chat/completions"));
    let request = request.header("Authorization", format!("Bearer {TEAM}"));
    let id = format!("{:016x}", rand::random::<u64>());
    let request = request.header("X-Request-Id", id).header("Connection", "close");
    let response = request.send(body.to_string())?;
    let (mut last, mut events) = (begin, 0);
    for line in BufReader::new(response.into_body().into_reader()).lines() {
        if !line?.starts_with("data: {") {
            continue;
        }
        let now = Instant::now();
        let elapsed = now.duration_since(last).as_micros() as u64;
        let mut times = times.lock().map_err(|_| eyre!("A stream's thread panicked."))?;
        let histogram = if events == 0 { &mut times.first_us } else { &mut times.gap_us };
        histogram.saturating_record(elapsed);
        (last, events) = (now, events + 1);
    }
    if events == TOKENS { Ok(()) } else { Err(eyre!("A stream had {events} tokens.")) }
}

/// Runs streams concurrently, `ROUNDS` times each, and returns their latencies and
/// the tokens per second.
fn run(to: &[SocketAddr], streams: usize) -> (Times, f64) {
    let times = Arc::new(Mutex::new(Times::new()));
    let begin = Instant::now();
    let threads: Vec<_> = (0..streams)
        .map(|index| {
            let (to, times) = (to[index % to.len()], Arc::clone(&times));
            thread::spawn(move || {
                for _ in 0..ROUNDS {
                    if stream(to, &times).is_err() {
                        times.lock().expect("the lock is not poisoned").broken += 1;
                    }
                }
            })
        })
        .collect();
    for thread in threads {
        thread.join().expect("no stream panics");
    }
    let seconds = begin.elapsed().as_secs_f64();
    let times = Arc::into_inner(times).expect("the threads ended");
    let times = times.into_inner().expect("the lock is not poisoned");
    let tokens = (times.first_us.len() + times.gap_us.len()) as f64;
    (times, tokens / seconds)
}

fn document(engines: &[SocketAddr]) -> serde_json::Value {
    let upstream = |(index, address): (usize, &SocketAddr)| {
        json!({ "id": format!("e{index}"), "service": "draft-models", "zone": "cascadia-a",
                "address": address, "kind": "engine", "slots": 512 })
    };
    json!({
        "tiers": [{ "id": "urgent", "deadline_ms": 60_000 }],
        "teams": [{ "id": "studio", "tier": "urgent", "credential_sha256": digest(TEAM) }],
        "operators": [],
        "rules": [{ "path_prefix": "/v1", "service": "draft-models", "idempotent": true }],
        "upstreams": engines.iter().enumerate().map(upstream).collect::<Vec<_>>(),
    })
}

fn main() -> eyre::Result<()> {
    let platform = Platform::start()?;
    let behaviour = Behaviour { token_ms: TOKEN_MS, batch: 1_024, ..Behaviour::default() };
    let engines: Vec<_> =
        (0..ENGINES).map(|_| Ok(Engine::start(behaviour)?.address)).collect::<eyre::Result<_>>()?;
    let put = |row, value| platform.put(row, 0, value).map_err(|v| eyre!("version {v}"));
    put("config/part", document(&engines))?;
    put("config/index", json!(["config/part"]))?;
    put("config/head", json!({ "index": "config/index", "operator": "overhead" }))?;
    let daemon = Daemon::start(&json!({
        "instance": "a1", "zone": "cascadia-a", "http": "127.0.0.1:0",
        "peer": "127.0.0.1:0", "platform": platform.address, "max_requests": 4_096,
    }))?;
    while ureq::get(format!("http://{}/readyz", daemon.http)).call().is_err() {
        thread::sleep(Duration::from_millis(50));
    }
    println!("tokens {TOKENS} of {TOKEN_MS} ms each, {ROUNDS} rounds; ms at 50, 95 and 99 %");
    println!("                     first token                | between tokens");
    for streams in STREAMS {
        let (direct, direct_rate) = run(&engines, streams);
        println!("{streams:4} straight {} | {direct_rate:8.0} tokens/s", direct.line());
        let before = daemon.cpu_seconds();
        let (proxied, rate) = run(&[daemon.http], streams);
        let cpu = daemon.cpu_seconds() - before;
        let tokens = (streams * ROUNDS) as f64 * TOKENS as f64;
        println!("{streams:4} through  {} | {rate:8.0} tokens/s", proxied.line());
        println!(
            "{streams:4} daemon   {:.1} us of processor time a token, {} resident, {} threads",
            cpu * 1e6 / tokens,
            daemon.status("VmRSS"),
            daemon.status("Threads"),
        );
    }
    thread::sleep(Duration::from_secs(8));
    let before = daemon.cpu_seconds();
    thread::sleep(IDLE);
    let cpu_share = (daemon.cpu_seconds() - before) / IDLE.as_secs_f64();
    println!(
        "idle: {:.2} % of a core, {} resident (most {}), {} threads",
        cpu_share * 100.0,
        daemon.status("VmRSS"),
        daemon.status("VmHWM"),
        daemon.status("Threads"),
    );
    Ok(())
}
