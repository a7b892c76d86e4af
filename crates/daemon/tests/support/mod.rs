//! Starts daemons and stand-ins as separate processes.

#![allow(dead_code, reason = "no test file uses all of it")]

use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use rosemarypond_core::config::digest;
use serde_json::{Value, json};

/// How long a test waits for a condition before it fails.
pub const TIMEOUT: Duration = Duration::from_secs(60);

pub const TEAM: &str = "osei-secret";
pub const OTHER_TEAM: &str = "council-secret";
pub const OPERATOR: &str = "operator-secret";

/// A process that is killed when its test ends.
pub struct Process {
    child: Child,
    /// The first line of its standard output, with its addresses.
    pub line: String,
}

impl Process {
    fn start(mut command: Command) -> Self {
        let mut child = command
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("the program starts");
        let mut line = String::new();
        let output = child.stdout.take().expect("the output is piped");
        BufReader::new(output).read_line(&mut line).expect("the program prints its addresses");
        Self { child, line: line.trim().to_owned() }
    }

    pub fn standin(kind: &str) -> Self {
        let daemon = PathBuf::from(env!("CARGO_BIN_EXE_rosemarypond"));
        let folder = daemon.parent().expect("a program lies in a folder");
        let mut command = Command::new(folder.join("examples").join("standin"));
        command.arg(kind);
        Self::start(command)
    }

    pub fn address(&self) -> SocketAddr {
        self.line.parse().expect("a stand-in prints its address")
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn thread_count(&self) -> usize {
        let tasks = format!("/proc/{}/task", self.child.id());
        std::fs::read_dir(tasks).expect("the process runs").count()
    }

    pub fn signal(&self, name: &str) {
        let status =
            Command::new("kill").args([&format!("-{name}"), &self.child.id().to_string()]).status();
        assert!(status.expect("kill runs").success());
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().expect("the status of the process can be read").is_some()
    }

    pub fn wait(&mut self) -> i32 {
        let end = Instant::now() + TIMEOUT;
        loop {
            if let Some(status) =
                self.child.try_wait().expect("the status of the process can be read")
            {
                return status.code().unwrap_or(-1);
            }
            assert!(Instant::now() < end, "the process did not end within the timeout");
            thread::sleep(Duration::from_millis(10));
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub struct Daemon {
    pub process: Process,
    pub http: SocketAddr,
    pub peer: SocketAddr,
}

impl Daemon {
    pub fn start(instance: &str, zone: &str, platform: SocketAddr) -> Self {
        Self::start_with(instance, zone, platform, "")
    }

    /// Starts a daemon with more settings, each as `, "key": value`.
    pub fn start_with(instance: &str, zone: &str, platform: SocketAddr, more: &str) -> Self {
        let path = std::env::temp_dir().join(format!(
            "rosemarypond-{}-{}-{instance}.json",
            std::process::id(),
            platform.port()
        ));
        let text = format!(
            r#"{{ "instance": "{instance}", "zone": "{zone}", "http": "127.0.0.1:0",
                  "peer": "127.0.0.1:0", "platform": "{platform}", "poll": "100 ms"{more} }}"#
        );
        let mut file = std::fs::File::create(&path).expect("the settings can be written");
        file.write_all(text.as_bytes()).expect("the settings can be written");
        let mut command = Command::new(env!("CARGO_BIN_EXE_rosemarypond"));
        command.arg(&path);
        let process = Process::start(command);
        let words: Vec<_> = process.line.split(' ').map(str::to_owned).collect();
        let address = |index: usize| words[index].parse().expect("a daemon prints its addresses");
        Self { http: address(1), peer: address(3), process }
    }

    pub fn is_ready(&self) -> bool {
        get(self.http, "/readyz", None).is_some_and(|answer| answer.status == 200)
    }
}

/// The platform's stand-in, the upstreams' stand-ins and the daemons of a test.
pub struct Site {
    pub platform: Process,
    pub engines: Vec<Process>,
    pub plains: Vec<Process>,
    pub daemons: Vec<Daemon>,
    pub document: Value,
}

/// Two zones, each with an engine and a plain service.
pub const ZONES: [&str; 2] = ["accra-a", "accra-b"];

impl Site {
    /// Starts the stand-ins and one instance per entry of `zones`, and waits until
    /// all are ready.
    pub fn start(zones: &[&str]) -> Self {
        let platform = Process::standin("platform");
        let engines: Vec<_> = ZONES.iter().map(|_| Process::standin("engine")).collect();
        let plains: Vec<_> = ZONES.iter().map(|_| Process::standin("plain")).collect();
        let mut upstreams = Vec::new();
        for (index, zone) in ZONES.iter().enumerate() {
            let engine = engines[index].address();
            let plain = plains[index].address();
            upstreams.push(upstream(&format!("engine-{index}"), zone, engine, "engine"));
            upstreams.push(upstream(&format!("orders-{index}"), zone, plain, "plain"));
        }
        let document = document(&upstreams);
        let mut site = Self { platform, engines, plains, daemons: Vec::new(), document };
        site.put_config(0);
        for (index, zone) in zones.iter().enumerate() {
            site.add(&format!("i{index}"), zone);
        }
        site.wait_until("all instances are ready", |site| {
            site.daemons.iter().all(Daemon::is_ready)
        });
        site
    }

    pub fn add(&mut self, instance: &str, zone: &str) {
        let daemon = Daemon::start(instance, zone, self.platform.address());
        self.daemons.push(daemon);
    }

    /// Starts an instance with more settings, waits until it is ready and returns
    /// its index.
    pub fn add_with(&mut self, instance: &str, zone: &str, more: &str) -> usize {
        let platform = self.platform.address();
        self.daemons.push(Daemon::start_with(instance, zone, platform, more));
        let index = self.daemons.len() - 1;
        self.wait_until("the instance is ready", |site| site.daemons[index].is_ready());
        index
    }

    /// Puts `document` in force where the configuration has the version `expected`.
    pub fn put_config(&self, expected: u64) {
        self.put_config_at(self.platform.address(), expected);
    }

    pub fn put_config_at(&self, platform: SocketAddr, expected: u64) {
        let row = format!("config/test-{expected}");
        let put = |row: &str, expected, value: &Value| {
            let path = format!("/table/{row}?expect={expected}");
            let answer = send("PUT", platform, &path, &[], &value.to_string());
            assert_eq!(answer.expect("the platform answers").status, 200);
        };
        put(&row, 0, &self.document);
        let index = format!("config/index-{expected}");
        put(&index, 0, &json!([row]));
        put("config/head", expected, &json!({ "index": index, "operator": "test" }));
    }

    /// Adds an instance to a platform's list of instances.
    pub fn list_at(&self, platform: SocketAddr, index: usize, instance: &str) {
        let daemon = &self.daemons[index];
        let entry = json!({
            "instance": instance,
            "zone": ZONES[index],
            "http": daemon.http,
            "peer": daemon.peer,
        });
        let path = format!("/instances/{instance}");
        let answer = send("PUT", platform, &path, &[], &entry.to_string());
        assert_eq!(answer.expect("the platform answers").status, 200);
    }

    pub fn platform_faults(&self, faults: &Value) {
        let answer = send("POST", self.platform.address(), "/control", &[], &faults.to_string());
        assert_eq!(answer.expect("the platform answers").status, 200);
    }

    pub fn engine_behaviour(&self, index: usize, behaviour: &Value) {
        let to = self.engines[index].address();
        let answer = send("POST", to, "/control", &[], &behaviour.to_string());
        assert_eq!(answer.expect("the engine answers").status, 200);
    }

    pub fn set_delay(&self, delay_ms: u64) {
        for plain in &self.plains {
            let _ = send("POST", plain.address(), &format!("/delay/{delay_ms}"), &[], "");
        }
    }

    /// Returns how often a key's request ran, summed over all plain services.
    pub fn runs(&self, key: &str) -> u64 {
        let count = |plain: &Process| {
            let answer = get(plain.address(), "/runs", None).expect("the service answers");
            answer.json()[key].as_u64().unwrap_or(0)
        };
        self.plains.iter().map(count).sum()
    }

    pub fn wait_until(&self, what: &str, check: impl Fn(&Self) -> bool) {
        let end = Instant::now() + TIMEOUT;
        while !check(self) {
            assert!(Instant::now() < end, "timed out waiting until {what}");
            thread::sleep(Duration::from_millis(20));
        }
    }

    pub fn order(&self, index: usize, key: &str) -> Option<Answer> {
        order_at(self.daemons[index].http, key)
    }

    pub fn operate(&self, index: usize, path: &str, sentence: &str) -> Answer {
        let bearer = format!("Bearer {OPERATOR}");
        let headers = [("Authorization", bearer.as_str())];
        send("POST", self.daemons[index].http, path, &headers, sentence).expect("an answer")
    }
}

pub fn order_at(to: SocketAddr, key: &str) -> Option<Answer> {
    let bearer = format!("Bearer {TEAM}");
    let headers = [("Authorization", bearer.as_str()), ("Idempotency-Key", key)];
    send("POST", to, "/orders/new", &headers, r#"{"plaque":"Efua"}"#)
}

fn upstream(id: &str, zone: &str, address: SocketAddr, kind: &str) -> Value {
    let service = if kind == "engine" { "scribe-llm" } else { "orders-app" };
    json!({ "id": id, "zone": zone, "address": address, "kind": kind, "service": service, "slots": 4 })
}

fn document(upstreams: &[Value]) -> Value {
    json!({
        "tiers": [
            { "id": "proof", "deadline_ms": 20_000 },
            { "id": "status", "deadline_ms": 20_000 },
        ],
        "teams": [
            { "id": "osei", "tier": "proof", "credential_sha256": digest(TEAM) },
            { "id": "council", "tier": "status", "credential_sha256": digest(OTHER_TEAM) },
        ],
        "operators": [{ "id": "ama", "credential_sha256": digest(OPERATOR) }],
        "rules": [
            { "path_prefix": "/v1/chat/completions", "service": "scribe-llm", "idempotent": true },
            { "path_prefix": "/orders", "service": "orders-app" },
        ],
        "upstreams": upstreams,
        "resume_secret": "a secret of the test",
    })
}

pub struct Answer {
    pub status: u16,
    pub headers: ureq::http::HeaderMap,
    pub body: String,
}

impl Answer {
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or(Value::Null)
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    pub fn outcome(&self) -> String {
        self.json()["outcome"].as_str().unwrap_or_default().to_owned()
    }
}

pub fn get(to: SocketAddr, path: &str, credential: Option<&str>) -> Option<Answer> {
    let bearer = credential.map(|c| format!("Bearer {c}"));
    let headers: Vec<_> = bearer.iter().map(|b| ("Authorization", b.as_str())).collect();
    send("GET", to, path, &headers, "")
}

/// Sends a request over a new connection. Returns `None` without a whole answer.
pub fn send(
    method: &str,
    to: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Option<Answer> {
    let config = ureq::Agent::config_builder()
        .timeout_global(Some(TIMEOUT))
        .http_status_as_error(false)
        .max_idle_connections(0)
        .proxy(None);
    let agent: ureq::Agent = config.build().into();
    let mut request =
        ureq::http::Request::builder().method(method).uri(format!("http://{to}{path}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(body.to_owned()).expect("a valid request");
    let mut response = agent.run(request).ok()?;
    let (status, headers) = (response.status().as_u16(), response.headers().clone());
    let body = response.body_mut().read_to_string().ok()?;
    Some(Answer { status, headers, body })
}

pub fn prompt(content: &str, tokens: u32, streams: bool) -> String {
    json!({
        "stream": streams,
        "max_tokens": tokens,
        "messages": [{ "role": "user", "content": content }],
    })
    .to_string()
}

pub fn complete(to: SocketAddr, credential: &str, body: &str) -> Option<Answer> {
    let bearer = format!("Bearer {credential}");
    send("POST", to, "/v1/chat/completions", &[("Authorization", bearer.as_str())], body)
}

/// Reads a stream up to a number of events, disconnects and returns the text that
/// was read.
pub fn read_some(to: SocketAddr, body: &str, events: usize) -> String {
    use std::io::Read;
    let mut caller = std::net::TcpStream::connect(to).expect("a connection");
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {TEAM}\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    caller.write_all(head.as_bytes()).expect("the request is sent");
    caller.set_read_timeout(Some(TIMEOUT)).expect("a timeout");
    let mut text = String::new();
    while text.matches("\n\n").count() < events {
        let mut bytes = [0; 4_096];
        let count = caller.read(&mut bytes).expect("the stream continues");
        text.push_str(&String::from_utf8_lossy(&bytes[..count]));
    }
    text
}
