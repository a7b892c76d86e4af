//! Starts the project's daemon with the command of the deploy file, and stops it.

use std::fs::{self, File};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use crate::http;

/// The processes that were started and not yet killed.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills the processes that were started.
pub fn kill_all() {
    for pid in STARTED.lock().expect("no thread panics").drain(..) {
        let _ = Command::new("kill").args(["-s", "KILL", &pid.to_string()]).status();
    }
}

pub struct Daemon {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    folder: PathBuf,
    starts: u32,
    child: Option<Child>,
}

impl Daemon {
    /// Writes the settings of a daemon that uses this store.
    pub fn new(folder: &Path, name: &str, zone: &str, store: SocketAddr, memory_mb: u32) -> Self {
        let (front, ready, peer) =
            (http::free_address(), http::free_address(), http::free_address());
        let settings = folder.join(format!("{name}.toml"));
        let text = format!(
            r#"NodeName = "{name}"
Role = "entry"
MachineClass = "front"
Serves = ["front"]
Ip = "127.0.0.1"
Zone = "{zone}"
Region = "region"
InternalPorts = [{peer_port}, {peer_port}]
Seeds = []
Bootstrap = true
Discovery = "platform"
Entry = "vip"
HeartbeatMs = 1200
Contracts = ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "quota", "platform"]
[Zones]
zone-a = "region"
zone-b = "region"
zone-c = "region"
[Listen]
Front = "{front}"
Ready = "{ready}"
[Limits]
CpuShare = 0.25
Cores = 1
MemoryMb = {memory_mb}
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 0
[FaultTolerance]
Machines = 1
Zones = 1
Regions = 0
[Bounds]
SeedLagS = 3
ReuseAfterS = 2
ContactMs = 3000
AckMs = 4000
CatchUpS = 4
DrainMs = 2000
GraceS = 8
LossSlackMs = 200
ConfigMs = 2000
RollbackSlackMs = 250
OuterMs = 5000
StrictRevoke = true
RevokeMs = 5000
RetryBudgetRatio = 0.2
BudgetWindowS = 10
BudgetSlack = 52
QuotaWindowS = 8
QuotaOver = 0.1
QuotaSlack = 190000
RecoverS = 12
PassMs = 120
AgainS = 10
[Provider]
Address = "{store}"
form = "table"
WritesPerS = 400
ReadsPerS = 2000
TxMs = 8.0
PartWritesS = 150
RowBytes = 65536
Across = false
HistoryS = 20
"#,
            peer_port = peer.port()
        );
        fs::write(&settings, text).expect("a settings file");
        let (name, folder) = (name.to_owned(), folder.to_owned());
        Self { name, front, ready, settings, folder, starts: 0, child: None }
    }

    pub fn start(&mut self) {
        self.starts += 1;
        if self.starts == 2 {
            let text = fs::read_to_string(&self.settings).expect("a settings file");
            let text = text.replace("Bootstrap = true", "Bootstrap = false");
            fs::write(&self.settings, text).expect("a settings file");
        }
        let log = self.folder.join(format!("{}-{}.log", self.name, self.starts));
        let log = File::create(log).expect("a log file");
        let mut command = Command::new("target/release/rosemarypond");
        command.env_clear().env("ROSEMARYPOND_CONFIG", &self.settings);
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        let log_of_errors = log.try_clone().expect("a log file");
        let command = command.stdin(Stdio::null()).stdout(log).stderr(log_of_errors);
        let child = command.spawn().expect("the daemon, built as the deploy file says");
        STARTED.lock().expect("no thread panics").push(child.id());
        self.child = Some(child);
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Waits until the daemon says that it is ready.
    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }

    pub fn is_ready(&self) -> bool {
        let host = [("Host", "ready".to_owned())];
        let timeout = Duration::from_millis(500);
        let answer = http::call(self.ready, "GET /v1/readyz", &host, b"", timeout);
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        let Some(child) = self.child.as_mut() else { return true };
        let has_ended = matches!(child.try_wait(), Ok(Some(_)));
        if has_ended {
            STARTED.lock().expect("no thread panics").retain(|pid| *pid != child.id());
        }
        has_ended
    }

    pub fn signal(&self, name: &str) {
        let pid = self.pid().to_string();
        let _ = Command::new("kill").args(["-s", name, &pid]).status();
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            STARTED.lock().expect("no thread panics").retain(|pid| *pid != child.id());
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}
