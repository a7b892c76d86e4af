//! Measures a daemon's control traffic, processor time and memory against the
//! number of its peers, and the time until a change of the configuration is in
//! force on all daemons.
//!
//! The daemons run as separate processes: build them first with
//! `cargo build --release`.

mod support;

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use clap::{Arg, value_parser};
use rosemarypond::platform::Client;
use rosemarypond_core::config::{Document, Kind, Team, Tier, Upstream, Version, digest};
use rosemarypond_edge::thread::Runtime;
use rosemarypond_standin::platform::Platform;
use support::Daemon;

/// The pause between the start of the daemons and the measurement.
const SETTLE_TIME: Duration = Duration::from_secs(12);
/// The length of the measurement.
const MEASURE_TIME: Duration = Duration::from_secs(20);
const CHANGES: usize = 3;
const ZONES: usize = 13;
const SERVICES: usize = 3;

fn start(index: usize, zone: &str, platform: SocketAddr) -> eyre::Result<Daemon> {
    Daemon::start(&serde_json::json!({
        "instance": format!("{zone}-{index}"), "zone": zone, "http": "127.0.0.1:0",
        "peer": "127.0.0.1:0", "platform": platform,
    }))
}

fn resident_kib(daemon: &Daemon) -> f64 {
    let field = daemon.status("VmRSS");
    field.split(' ').next().and_then(|f| f.parse().ok()).unwrap_or(0.0)
}

fn metric(daemon: &Daemon, name: &str) -> f64 {
    let call = ureq::get(format!("http://{}/metrics", daemon.http)).call();
    let text = call.ok().and_then(|mut r| r.body_mut().read_to_string().ok());
    let text = text.unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with(&format!("rosemarypond_{name} ")));
    let field = line.and_then(|l| l.split(' ').nth(1));
    field.and_then(|f| f.parse().ok()).unwrap_or(0.0)
}

fn document(teams: usize, upstreams: usize) -> eyre::Result<Document> {
    let team = |n: usize| {
        Ok(Team {
            id: format!("team-{n}").parse()?,
            tier: "tier-0".parse()?,
            credential_sha256: digest(format!("credential-{n}")),
        })
    };
    let upstream = |n: usize| {
        Ok(Upstream {
            id: format!("engine-{n}").parse()?,
            service: format!("model-{}", n % SERVICES).parse()?,
            zone: format!("zone-{}", n / SERVICES % ZONES).parse()?,
            address: "127.0.0.1:1".parse()?,
            kind: Kind::Engine,
            slots: 73,
            leaving: false,
        })
    };
    let tier = |n: usize| Ok(Tier { id: format!("tier-{n}").parse()?, deadline_ms: 20_000 });
    Ok(Document {
        tiers: (0..5).map(tier).collect::<eyre::Result<_>>()?,
        teams: (0..teams).map(team).collect::<eyre::Result<_>>()?,
        upstreams: (0..upstreams).map(upstream).collect::<eyre::Result<_>>()?,
        ..Document::default()
    })
}

/// Waits until all daemons have a version and returns how long that took.
fn wait_for(daemons: &[Daemon], version: Version) -> Duration {
    let begin = Instant::now();
    for daemon in daemons {
        while metric(daemon, "config_version") < version.0 as f64 {
            thread::sleep(Duration::from_millis(20));
        }
    }
    begin.elapsed()
}

fn mean(daemons: &[Daemon], figure: impl Fn(&Daemon) -> f64) -> f64 {
    daemons.iter().map(figure).sum::<f64>() / daemons.len() as f64
}

fn main() -> eyre::Result<()> {
    let number = |name, default| {
        Arg::new(name).long(name).default_value(default).value_parser(value_parser!(usize))
    };
    let matches = clap::Command::new("fleet")
        .about("Measures the control cost of daemons that serve nothing")
        .arg(number("daemons", "8").help("How many daemons in one zone"))
        .arg(number("far", "0").help("How many other zones with one daemon each"))
        .arg(number("teams", "5"))
        .arg(number("upstreams", "12"))
        .get_matches();
    let get = |name: &str| *matches.get_one::<usize>(name).expect("the argument has a default");
    let platform = Platform::start()?;
    let client = Client::new(platform.address);
    let mut document = document(get("teams"), get("upstreams"))?;
    let runtime = Runtime::new()?;
    let mut version = runtime.block_on(client.put_config(Version(0), &document, "fleet"))?;
    let zones = (0..get("daemons")).map(|_| 0).chain(1..=get("far"));
    let daemons: Vec<_> = zones
        .enumerate()
        .map(|(index, zone)| start(index, &format!("zone-{zone}"), platform.address))
        .collect::<eyre::Result<_>>()?;
    wait_for(&daemons, version);
    thread::sleep(SETTLE_TIME);
    let near = &daemons[..get("daemons")];
    let sums = |name: &str| mean(near, |d| metric(d, name));
    let names = ["peer_sent_bytes_total", "peer_received_bytes_total", "peer_sent_frames_total"];
    let (before, cpu) = (names.map(sums), mean(near, Daemon::cpu_seconds));
    let traffic = platform.request_counts();
    thread::sleep(MEASURE_TIME);
    let (after, cpu_after) = (names.map(sums), mean(near, Daemon::cpu_seconds));
    let seconds = MEASURE_TIME.as_secs_f64();
    let rate = |index: usize| (after[index] - before[index]) / seconds;
    let reads = (platform.request_counts().0 - traffic.0) as f64 / seconds;
    println!(
        "daemons {}, far {}, teams {}, upstreams {}: peers {:.1}, sent {:.0} B/s in {:.1} frames/s, \
         received {:.0} B/s, {:.2} % of a core, {:.1} MB resident, platform reads {:.2}/s each",
        get("daemons"),
        get("far"),
        get("teams"),
        get("upstreams"),
        sums("peers"),
        rate(0),
        rate(2),
        rate(1),
        (cpu_after - cpu) / seconds * 100.0,
        mean(near, resident_kib) / 1024.0,
        reads / daemons.len() as f64,
    );
    for change in 0..CHANGES {
        document.teams[change].credential_sha256 = digest(format!("new-{change}"));
        version = runtime.block_on(client.put_config(version, &document, "fleet"))?;
        println!(
            "  version {version} in force on all after {:.2} s",
            wait_for(&daemons, version).as_secs_f64()
        );
    }
    Ok(())
}
