//! What the cases share: processes of the deploy file's program, their settings, the
//! configuration, the directory of engines, and the record.

use std::fs::{self, File};
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::http::{Connection, Message};
use crate::store::Store;

pub const KEY: &str = "key-of-team-a";
pub const HOST: &str = "site.example";

/// The exit statuses of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// Writes what was sent, answered and run to `record.txt`.
pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    pub fn new(folder: &Path) -> Self {
        let file = File::create(folder.join("record.txt")).expect("the record can be written");
        Self { file: Mutex::new(file), started: Instant::now() }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:9.3} {}", text.as_ref());
    }

    pub fn note(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}

/// A port of an address that is free for connections and datagrams.
pub fn free_port(ip: Ipv4Addr) -> u16 {
    loop {
        let listener = TcpListener::bind((ip, 0)).expect("a port is free");
        let port = listener.local_addr().expect("it has an address").port();
        if UdpSocket::bind((ip, port)).is_ok() {
            return port;
        }
    }
}

/// A process of the deploy file's program, which is killed when it is dropped.
pub struct Process {
    child: Child,
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub peers: SocketAddr,
    settings: PathBuf,
}

/// The settings of a process that differ between cases.
pub struct Options<'a> {
    pub name: &'a str,
    pub zone: &'a str,
    pub bounds: &'a str,
}

/// The bounds of our pages for shutterledger-pnw.
pub const BOUNDS: &str = "SeedLagS = 3\nReuseAfterS = 2\nContactMs = 3000\nAckMs = 4000\n\
    CatchUpS = 4\nDrainMs = 2000\nGraceS = 8\nLossSlackMs = 200\nConfigMs = 2000\n\
    RollbackSlackMs = 250\nOuterMs = 5000\nStrictRevoke = true\nRevokeMs = 5000\n\
    RetryBudgetRatio = 0.2\nBudgetWindowS = 10\nBudgetSlack = 54\nQuotaWindowS = 8\n\
    QuotaOver = 0.1\nQuotaSlack = 190000\nRecoverS = 12\nPassMs = 120\nAgainS = 10\n";

impl Process {
    /// Starts a process as the deploy file does: its `run` in the root of the repository,
    /// with the settings file's path in `ROSEMARYPOND_CONFIG`.
    pub fn start(folder: &Path, store: SocketAddr, options: &Options<'_>) -> Option<Self> {
        let ip = Ipv4Addr::LOCALHOST;
        let address = || SocketAddr::from((ip, free_port(ip)));
        let (front, ready, peers) = (address(), address(), address());
        let Options { name, zone, bounds } = options;
        let port = peers.port();
        let text = format!(
            "NodeName = \"{name}\"\nRole = \"entry\"\nMachineClass = \"front\"\n\
             Serves = [\"front\"]\nIp = \"{ip}\"\nZone = \"{zone}\"\nRegion = \"cascadia\"\n\
             InternalPorts = [{port},{port}]\nBootstrap = true\nHeartbeatMs = 1200\n\
             [Listen]\nFront = \"{front}\"\nReady = \"{ready}\"\n\
             [Limits]\nCpuShare = 0.25\nCores = 1\nMemoryMb = 260\nMaxFds = 4100\n\
             LinkMbps = 1000.0\nDiskMb = 0\n\
             [FaultTolerance]\nMachines = 1\nZones = 1\nRegions = 0\n\
             [Bounds]\n{bounds}\
             [Provider]\nAddress = \"{store}\"\nform = \"table\"\nWritesPerS = 400\n\
             ReadsPerS = 2000\nTxMs = 8.0\nPartWritesS = 150\nRowBytes = 65536\n\
             Across = false\nHistoryS = 20\n"
        );
        let settings = folder.join(format!("{name}.toml"));
        fs::write(&settings, text).ok()?;
        let log = File::create(folder.join(format!("{name}.log"))).ok()?;
        let child = Command::new("target/release/rosemarypond")
            .env("ROSEMARYPOND_CONFIG", &settings)
            .stdin(Stdio::null())
            .stdout(log)
            .spawn()
            .ok()?;
        Some(Self { child, name: (*name).to_owned(), front, ready, peers, settings })
    }

    /// Waits until the process says that it is ready.
    pub fn wait_until_ready(&self) -> bool {
        let end = Instant::now() + Duration::from_secs(10);
        while Instant::now() < end {
            let request = format!("GET /v1/readyz HTTP/1.1\r\nHost: {}\r\n\r\n", self.ready);
            if call(self.ready, request.as_bytes(), Duration::from_secs(1))
                .is_ok_and(|answer| answer.status() == 200)
            {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings);
    }
}

/// Sends a request on a new connection, and reads the answer.
pub fn call(address: SocketAddr, request: &[u8], timeout: Duration) -> std::io::Result<Message> {
    let mut connection = Connection::open(address, timeout)?;
    connection.write(request)?;
    connection.read()?.ok_or_else(|| std::io::ErrorKind::UnexpectedEof.into())
}

/// A folder for settings and logs, which is removed when it is dropped.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new(case: &str) -> Self {
        let path = std::env::temp_dir().join(format!("review-3-{case}-{}", std::process::id()));
        fs::create_dir_all(&path).expect("a temporary folder can be made");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

/// What an engine writes into the directory.
pub struct Entry<'a> {
    pub id: &'a str,
    pub service: &'a str,
    pub zone: &'a str,
    pub address: SocketAddr,
    pub slots: u32,
    pub born: u64,
    pub state: &'a str,
}

impl Entry<'_> {
    pub fn write(&self, store: &Store, sequence: u64) {
        let Entry { id, service, zone, address, slots, born, state } = self;
        let row = format!(
            "{{\"born\":{born},\"Service\":\"{service}\",\"Address\":\"{address}\",\
             \"Zone\":\"{zone}\",\"Version\":\"v1\",\"Slots\":{slots},\"State\":\"{state}\",\
             \"ColdRemainingMs\":0,\"Sequence\":{sequence}}}"
        );
        store.set("servers", id, Some(&row));
    }
}

/// The Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map(|t| t.as_millis() as u64).unwrap_or_default()
}

/// A random number generator (xorshift).
pub struct Random(u64);

impl Random {
    pub fn new() -> Self {
        Self(unix_ms().wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    pub fn below(&mut self, limit: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % limit
    }

    pub fn chance(&mut self, part: f64) -> bool {
        (self.below(1_000_000) as f64) < part * 1e6
    }
}
