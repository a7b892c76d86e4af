//! The operators' client against a daemon in this process.

use std::net::SocketAddr;
use std::process::{Command, Output};
use std::thread;
use std::time::{Duration, Instant};

use rosemarypond::daemon::Daemon;
use rosemarypond::log;
use rosemarypond::settings::{Settings, Size, Span};
use rosemarypond_core::config::digest;
use rosemarypond_standin::platform::Platform;

const OPERATOR: &str = "operator-secret";
const PATIENCE: Duration = Duration::from_secs(60);

struct Site {
    platform: Platform,
    daemon: Daemon,
    file: std::path::PathBuf,
}

fn run(to: Option<SocketAddr>, credential: &str, arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_rosemarypondctl"));
    command.env("ROSEMARYPOND_CREDENTIAL", credential);
    if let Some(to) = to {
        command.args(["--to", &to.to_string()]);
    }
    command.args(arguments).output().expect("the program runs")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn start(name: &str) -> Site {
    let platform = Platform::start().expect("a port");
    let any = "127.0.0.1:0".parse().expect("an address");
    let settings = Settings {
        instance: "a1".parse().expect("an id"),
        zone: "accra-a".parse().expect("an id"),
        http: any,
        peer: any,
        platform: platform.address,
        max_requests: 16,
        max_body: Size(1 << 20),
        idle: Span(Duration::from_secs(30)),
        poll: Span(Duration::from_millis(50)),
    };
    let daemon = Daemon::start(settings, log::silent()).expect("the daemon starts");
    let document = format!(
        r#"{{ // the first configuration
            "tiers": [{{ "id": "proof", "deadline_ms": 20000 }}],
            "teams": [], "rules": [], "upstreams": [],
            "operators": [{{ "id": "ama", "credential_sha256": "{}" }}] }}"#,
        digest(OPERATOR)
    );
    let file = std::env::temp_dir().join(format!("rosemarypondctl-{}-{name}", std::process::id()));
    std::fs::write(&file, document).expect("the file can be written");
    Site { platform, daemon, file }
}

impl Site {
    fn init(&self) -> Output {
        let platform = self.platform.address.to_string();
        let file = self.file.to_str().expect("a plain path");
        run(None, "", &["init", "--platform", &platform, file])
    }

    fn ask(&self, arguments: &[&str]) -> Output {
        run(Some(self.daemon.http), OPERATOR, arguments)
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.file);
    }
}

fn ready(name: &str) -> Site {
    let site = start(name);
    assert_eq!(site.init().status.code(), Some(0));
    let end = Instant::now() + PATIENCE;
    while site.ask(&["query", "show config"]).status.code() != Some(0) {
        assert!(Instant::now() < end, "the configuration does not arrive");
        thread::sleep(Duration::from_millis(20));
    }
    site
}

fn prints_tables_and_json() {
    let site = ready("tables");
    let table = text(&site.ask(&["query", "show config"]).stdout);
    assert!(table.starts_with("instance  zone     version  draining\n"), "{table}");
    assert!(table.contains("a1        accra-a  1        false\n1 rows\n"), "{table}");
    let json = text(&site.ask(&["--json", "query", "count config"]).stdout);
    assert!(json.contains(r#""count":1"#), "{json}");
}

fn changes_the_configuration() {
    let site = ready("changes");
    let dry = site.ask(&["command", "dry run set tier proof deadline_ms 9000"]);
    assert!(text(&dry.stdout).contains("+ tiers: "), "{}", text(&dry.stdout));
    let done = site.ask(&["command", "if version 1 set tier proof deadline_ms 9000"]);
    assert!(text(&done.stdout).contains("version 2"), "{}", text(&done.stdout));
    let late = site.ask(&["command", "if version 1 set tier proof deadline_ms 8000"]);
    assert_eq!(late.status.code(), Some(5));
    assert!(text(&late.stderr).contains("no longer at version 1"), "{}", text(&late.stderr));
}

fn tells_errors_apart() {
    let site = ready("errors");
    let sentence = site.ask(&["query", "show widows"]);
    assert_eq!(sentence.status.code(), Some(4));
    assert!(text(&sentence.stderr).contains("column 6"), "{}", text(&sentence.stderr));
    let refused = run(Some(site.daemon.http), "guess", &["query", "show config"]);
    assert_eq!(refused.status.code(), Some(5));
    let nowhere = "127.0.0.1:1".parse().expect("an address");
    assert_eq!(run(Some(nowhere), OPERATOR, &["query", "show config"]).status.code(), Some(3));
    assert_eq!(run(None, OPERATOR, &["query", "show config"]).status.code(), Some(2));
    assert_eq!(run(Some(nowhere), "", &["query", "show config"]).status.code(), Some(2));
}

fn keeps_the_first_configuration() {
    let site = ready("twice");
    let again = site.init();
    assert_eq!(again.status.code(), Some(5));
    assert!(text(&again.stderr).contains("in force already"), "{}", text(&again.stderr));
}

macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {
        $(#[test] fn $name() { $body })*
    };
}

cases! {
    output => prints_tables_and_json();
    changes => changes_the_configuration();
    exit_statuses => tells_errors_apart();
    init_twice => keeps_the_first_configuration();
}
