//! Starts daemons as separate processes and reads their use of resources.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

use eyre::{Context, eyre};
use serde_json::Value;

/// Clock ticks per second in `/proc/*/stat`.
const TICKS_PER_S: f64 = 100.0;

pub struct Daemon {
    child: Child,
    settings: PathBuf,
    pub http: SocketAddr,
}

impl Daemon {
    /// Starts the daemon that was built into the parent of this program's folder.
    pub fn start(settings: &Value) -> eyre::Result<Self> {
        let own = std::env::current_exe()?;
        let folder = own
            .parent()
            .and_then(|p| p.parent())
            .ok_or_else(|| eyre!("This program is in no build folder."))?;
        let name = settings["instance"].as_str().unwrap_or_default();
        let path = std::env::temp_dir()
            .join(format!("rosemarypond-measured-{}-{name}.json", std::process::id()));
        std::fs::write(&path, settings.to_string())?;
        let mut child = Command::new(folder.join("rosemarypond"))
            .arg(&path)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .wrap_err("The daemon cannot be started; run cargo build --release first")?;
        let output =
            child.stdout.take().ok_or_else(|| eyre!("The daemon has no standard output."))?;
        let mut line = String::new();
        BufReader::new(output).read_line(&mut line)?;
        let address = line
            .split(' ')
            .nth(1)
            .ok_or_else(|| eyre!("The daemon printed no address but '{line}'."))?;
        Ok(Self { child, settings: path, http: address.parse()? })
    }

    /// Returns the processor time used so far, in seconds.
    pub fn cpu_seconds(&self) -> f64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id()));
        let stat = stat.unwrap_or_default();
        let fields: Vec<_> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
        let ticks = |index: usize| fields.get(index).and_then(|f| f.parse::<f64>().ok());
        (ticks(11).unwrap_or(0.0) + ticks(12).unwrap_or(0.0)) / TICKS_PER_S
    }

    /// Returns a field of `/proc/*/status`, such as `VmRSS`.
    pub fn status(&self, key: &str) -> String {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with(key));
        line.and_then(|l| l.split(':').nth(1)).unwrap_or("?").trim().to_owned()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}
