//! Runs stand-ins and three instances in two availability zones in this process,
//! which serve a streamed draft, a status request and a keyed payment.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use eyre::{bail, eyre};
use rosemarypond::daemon::Daemon;
use rosemarypond::log;
use rosemarypond::settings::{Settings, Size, Span};
use rosemarypond_core::config::digest;
use rosemarypond_standin::engine::{Behaviour, Engine};
use rosemarypond_standin::plain::Plain;
use rosemarypond_standin::platform::Platform;
use serde_json::{Value, json};

const READY_WITHIN: Duration = Duration::from_secs(20);
const TEAM: &str = "studio-secret";
const OPERATOR: &str = "operator-secret";

type Step = fn(&Site) -> eyre::Result<()>;

struct Site {
    platform: Platform,
    daemons: Vec<Daemon>,
    payments: Vec<Plain>,
}

fn start_site() -> eyre::Result<Site> {
    let platform = Platform::start()?;
    let mut upstreams = Vec::new();
    let mut payments = Vec::new();
    for zone in ["cascadia-a", "cascadia-b"] {
        for (name, token_ms) in [("fast", 3), ("slow", 9)] {
            let engine = Engine::start(Behaviour { token_ms, ..Behaviour::default() })?;
            upstreams.push(upstream(&format!("{zone}-{name}"), zone, engine.address, "engine"));
        }
        let payment = Plain::start()?;
        upstreams.push(upstream(&format!("{zone}-billing"), zone, payment.address, "plain"));
        payments.push(payment);
    }
    let put = |row: &str, value| platform.put(row, 0, value).map_err(|v| eyre!("version {v}"));
    put("config/first", document(&upstreams))?;
    put("config/index", json!(["config/first"]))?;
    put("config/head", json!({ "index": "config/index", "operator": "quickstart" }))?;
    let locations = [("a1", "cascadia-a"), ("a2", "cascadia-a"), ("b1", "cascadia-b")];
    let start = |(instance, zone): (&str, &str)| {
        Daemon::start(settings(instance, zone, platform.address)?, log::silent())
    };
    let daemons = locations.into_iter().map(start).collect::<eyre::Result<_>>()?;
    Ok(Site { platform, daemons, payments })
}

fn upstream(id: &str, zone: &str, address: SocketAddr, kind: &str) -> Value {
    let service = if kind == "engine" { "draft-models" } else { "billing-app" };
    json!({ "id": id, "zone": zone, "address": address, "kind": kind, "service": service, "slots": 8 })
}

fn document(upstreams: &[Value]) -> Value {
    json!({
        "tiers": [
            { "id": "urgent", "deadline_ms": 20_000 },
            { "id": "background", "deadline_ms": 60_000 },
        ],
        "teams": [{ "id": "studio", "tier": "urgent", "credential_sha256": digest(TEAM) }],
        "operators": [{ "id": "ama", "credential_sha256": digest(OPERATOR) }],
        "rules": [
            { "path_prefix": "/v1/chat/completions", "service": "draft-models", "idempotent": true },
            { "path_prefix": "/billing", "service": "billing-app" },
            { "path_prefix": "/billing/status", "service": "billing-app", "tier": "background" },
        ],
        "upstreams": upstreams,
    })
}

fn settings(instance: &str, zone: &str, platform: SocketAddr) -> eyre::Result<Settings> {
    let any: SocketAddr = "127.0.0.1:0".parse()?;
    Ok(Settings {
        instance: instance.parse()?,
        zone: zone.parse()?,
        http: any,
        peer: any,
        platform,
        max_requests: 64,
        max_connections: 16_384,
        memory: None,
        max_body: Size(1 << 20),
        idle: Span(Duration::from_secs(30)),
        poll: Span(Duration::from_millis(200)),
    })
}

fn wait_until_ready(daemons: &[Daemon]) -> eyre::Result<()> {
    let end = Instant::now() + READY_WITHIN;
    for daemon in daemons {
        while ureq::get(format!("http://{}/readyz", daemon.http)).call().is_err() {
            if Instant::now() > end {
                bail!("The instance at {} is not ready.", daemon.http);
            }
            thread::sleep(Duration::from_millis(20));
        }
    }
    Ok(())
}

fn post(
    to: SocketAddr,
    path: &str,
    credential: &str,
    key: Option<&str>,
    body: &str,
) -> eyre::Result<String> {
    let request = ureq::post(format!("http://{to}{path}"));
    let mut request = request.header("Authorization", format!("Bearer {credential}"));
    if let Some(key) = key {
        request = request.header("Idempotency-Key", format!("\"{key}\""));
    }
    Ok(request.send(body)?.body_mut().read_to_string()?)
}

fn draft(site: &Site) -> eyre::Result<()> {
    let content = "Dear Ama, the balance for the ceremony on Saturday is due on Friday.";
    let body = json!({
        "model": "draft", "stream": true, "max_tokens": 12,
        "messages": [{ "role": "user", "content": content }],
    });
    let to = site.daemons[0].http;
    let answer = post(to, "/v1/chat/completions", TEAM, None, &body.to_string())?;
    let events = answer.matches("data: {").count();
    println!("draft through a1: {events} tokens streamed");
    if events != 12 || !answer.contains("[DONE]") {
        bail!("The draft is not whole: {answer}");
    }
    Ok(())
}

fn status(site: &Site) -> eyre::Result<()> {
    let request = ureq::get(format!("http://{}/billing/status/7", site.daemons[1].http));
    let answer = request.header("Authorization", format!("Bearer {TEAM}")).call()?;
    println!("status question through a2: {}", answer.status());
    Ok(())
}

/// Sends one payment twice, through instances of two zones.
fn payment(site: &Site) -> eyre::Result<()> {
    let pay = |index: usize| {
        let to = site.daemons[index].http;
        post(to, "/billing/pay", TEAM, Some("payment-1"), r#"{"amount":250}"#)
    };
    let first = pay(2)?;
    // The record of the first attempt is written just after its answer is sent, so
    // the second may be refused for a moment.
    let end = Instant::now() + READY_WITHIN;
    let second = loop {
        match pay(0) {
            Ok(answer) => break answer,
            Err(_) if Instant::now() < end => thread::sleep(Duration::from_millis(20)),
            Err(e) => return Err(e),
        }
    };
    let runs: u32 = site.payments.iter().map(|p| p.runs("payment-1")).sum();
    println!("payment through b1 and again through a1: ran {runs} time");
    if first != second || runs != 1 {
        bail!("The payment ran {runs} times: {first} / {second}");
    }
    Ok(())
}

fn operator(site: &Site) -> eyre::Result<()> {
    let sentence = "show tiers order by instance";
    let answer = post(site.daemons[0].http, "/operator/query", OPERATOR, None, sentence)?;
    let answer: Value = serde_json::from_str(&answer)?;
    println!("operator's query '{sentence}':");
    for row in answer["rows"].as_array().into_iter().flatten() {
        println!("  {row}");
    }
    Ok(())
}

fn main() -> eyre::Result<()> {
    let site = start_site()?;
    wait_until_ready(&site.daemons)?;
    let steps: [(&str, Step); 4] =
        [("draft", draft), ("status", status), ("payment", payment), ("operator", operator)];
    let mut served = 0;
    for (name, step) in &steps {
        match step(&site) {
            Ok(()) => served += 1,
            Err(e) => eprintln!("{name}: {e:#}"),
        }
    }
    let (reads, writes) = site.platform.request_counts();
    println!("the platform had {reads} reads and {writes} writes");
    println!("served {served} of {} requests", steps.len());
    if served == steps.len() { Ok(()) } else { Err(eyre!("Not every request was served.")) }
}
