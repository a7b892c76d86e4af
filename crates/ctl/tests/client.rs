//! Runs the operators' client against a daemon in the test's process.

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
const TIMEOUT: Duration = Duration::from_secs(60);

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
    let platform = Platform::start().expect("a port is free");
    let any = "127.0.0.1:0".parse().expect("an address");
    let settings = Settings {
        instance: "a1".parse().expect("a valid id"),
        zone: "accra-a".parse().expect("a valid id"),
        http: any,
        peer: any,
        platform: platform.address,
        max_requests: 16,
        max_connections: 16_384,
        memory: None,
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
        let file = self.file.to_str().expect("the path is valid UTF-8");
        run(None, "", &["init", "--platform", &platform, file])
    }

    fn operate(&self, arguments: &[&str]) -> Output {
        run(Some(self.daemon.http), OPERATOR, arguments)
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.file);
    }
}

fn start_configured(name: &str) -> Site {
    let site = start(name);
    assert_eq!(site.init().status.code(), Some(0));
    let deadline = Instant::now() + TIMEOUT;
    while site.operate(&["query", "show config"]).status.code() != Some(0) {
        assert!(Instant::now() < deadline, "timed out waiting until the configuration is in force");
        thread::sleep(Duration::from_millis(20));
    }
    site
}

fn prints_tables_and_json() {
    let site = start_configured("tables");
    let table = text(&site.operate(&["query", "show config"]).stdout);
    assert!(table.starts_with("instance  zone     version  draining\n"), "{table}");
    assert!(table.contains("a1        accra-a  1        false\n1 rows\n"), "{table}");
    let json = text(&site.operate(&["--json", "query", "count config"]).stdout);
    assert!(json.contains(r#""count":1"#), "{json}");
}

fn changes_the_configuration() {
    let site = start_configured("changes");
    let dry_run = site.operate(&["command", "dry run set tier proof deadline_ms 9000"]);
    assert!(text(&dry_run.stdout).contains("+ tiers: "), "{}", text(&dry_run.stdout));
    let changed = site.operate(&["command", "if version 1 set tier proof deadline_ms 9000"]);
    assert!(text(&changed.stdout).contains("version 2"), "{}", text(&changed.stdout));
    let stale = site.operate(&["command", "if version 1 set tier proof deadline_ms 8000"]);
    assert_eq!(stale.status.code(), Some(5));
    assert!(text(&stale.stderr).contains("no longer at version 1"), "{}", text(&stale.stderr));
}

fn exits_with_the_status_of_the_error() {
    let site = start_configured("errors");
    let malformed = site.operate(&["query", "show widows"]);
    assert_eq!(malformed.status.code(), Some(4));
    assert!(text(&malformed.stderr).contains("column 6"), "{}", text(&malformed.stderr));
    let refused = run(Some(site.daemon.http), "guess", &["query", "show config"]);
    assert_eq!(refused.status.code(), Some(5));
    let closed_port = "127.0.0.1:1".parse().expect("an address");
    assert_eq!(run(Some(closed_port), OPERATOR, &["query", "show config"]).status.code(), Some(3));
    assert_eq!(run(None, OPERATOR, &["query", "show config"]).status.code(), Some(2));
    assert_eq!(run(Some(closed_port), "", &["query", "show config"]).status.code(), Some(2));
}

fn keeps_the_first_configuration() {
    let site = start_configured("twice");
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
    answers_print_as_table_and_json => prints_tables_and_json();
    commands_change_the_configuration => changes_the_configuration();
    exit_status_tells_the_kind_of_error => exits_with_the_status_of_the_error();
    second_init_is_refused => keeps_the_first_configuration();
}
