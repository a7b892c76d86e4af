//! The cases, and what they share.

pub mod crowd;
pub mod door;
pub mod revoked_key;
pub mod silent_store;
pub mod slow_readers;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};

use crate::http;

pub const HOST: &str = "shop.example";

pub fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// A temporary folder, deleted with its value.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Self {
        let name = format!("rosemarypond-case-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).expect("a temporary folder");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}

/// A configuration with these tenants, each with its keys, and no quotas.
pub fn configuration(version: u64, tenants: &[(&str, &[&str])]) -> String {
    configuration_with(version, tenants, "")
}

/// The same with more fields of each tenant.
pub fn configuration_with(version: u64, tenants: &[(&str, &[&str])], more: &str) -> String {
    let route = |name: &str, prefix: &str, kind: &str, timeout: u32, service: &str, rest: &str| {
        // The longest objective of the sheets for streams.
        let target = if kind == "streaming" { 1_500 } else { 150 };
        format!(
            "{{\"Name\":\"{name}\",\"Host\":\"{HOST}\",\"Prefix\":\"{prefix}\",\"Kind\":\"{kind}\",\
             \"TimeoutMs\":{timeout},\"TargetLatencyMs\":{target},\"Priority\":2,\
             \"Service\":\"{service}\",\"Public\":false{rest}}}"
        )
    };
    let routes = [
        route("r-order", "/order/", "unsafe", 800, "orders-app", ",\"MaxAttempts\":1"),
        route("r-status", "/status/", "safe", 800, "orders-app", ",\"MaxAttempts\":2"),
        route(
            "r-draft",
            "/draft/",
            "streaming",
            12_000,
            "scribe-llm",
            ",\"MaxAttempts\":1,\"SessionAffinity\":true,\"Resumable\":false,\"GapAimMs\":500",
        ),
    ];
    let tenant = |(name, keys): &(&str, &[&str])| {
        let keys: Vec<_> = keys.iter().map(|key| format!("\"{key}\"")).collect();
        format!(
            "{{\"Name\":\"{name}\",\"ApiKeys\":[{}],\"Priority\":1,\"Unit\":\"token_usage\",\
             \"PlainTokens\":200{more}}}",
            keys.join(",")
        )
    };
    let tenants: Vec<_> = tenants.iter().map(tenant).collect();
    format!(
        "{{\"Version\":{version},\"Routes\":[{}],\"Services\":[\
         {{\"Name\":\"orders-app\",\"HealthPath\":\"/healthz\",\"MaxConnections\":96}},\
         {{\"Name\":\"scribe-llm\",\"HealthPath\":\"/healthz\",\"MaxConnections\":360,\
         \"Engine\":{{\"Slots\":4,\"Stride\":4}}}}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\
         \"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}},\"Tenants\":[{}]}}",
        routes.join(","),
        tenants.join(",")
    )
}

/// What a client got for one attempt.
#[derive(Clone, Debug)]
pub struct Answer {
    pub request: String,
    pub sent: Instant,
    /// The status, or 0 for a connection that closed without a whole answer.
    pub status: u16,
    pub ended: Instant,
}

/// Sends one request on a new connection.
pub fn ask(front: SocketAddr, method: &str, path: &str, request: &str, key: &str) -> Answer {
    let sent = Instant::now();
    let headers = [
        ("Host", HOST.to_owned()),
        ("Request-Id", request.to_owned()),
        ("Deadline-Ms", "1500".to_owned()),
        ("Authorization", format!("Bearer {key}")),
    ];
    let body: &[u8] = if method == "POST" { b"one plaque" } else { b"" };
    let answer = http::call(front, &format!("{method} {path}"), &headers, body, millis(2_500));
    let status = answer.map_or(0, |answer| answer.status());
    Answer { request: request.to_owned(), sent, status, ended: Instant::now() }
}
