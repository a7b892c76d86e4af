//! Reads the engines' own reports of whether they leave.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use rosemarypond_core::event::Event;
use rosemarypond_core::id;
use serde_json::Value;

use crate::agent::agent;
use crate::runtime::Handle;

/// The pause between two rounds of reading.
pub const INTERVAL: Duration = Duration::from_secs(1);
/// How long a report is waited for.
pub const TIMEOUT: Duration = Duration::from_millis(500);

/// Starts to read the reports of the engines that the instance watches.
///
/// # Errors
///
/// Where the system gives no thread.
pub fn start(handle: Handle) -> std::io::Result<()> {
    let agent = agent(TIMEOUT);
    thread::Builder::new().name("watch".into()).spawn(move || {
        let mut leaving = BTreeSet::new();
        while let Some(watched) = watched(&handle) {
            follow(&agent, &handle, &watched, &mut leaving);
            thread::sleep(INTERVAL);
        }
    })?;
    Ok(())
}

fn watched(handle: &Handle) -> Option<Vec<(id::Upstream, SocketAddr)>> {
    handle.ask(|instance, _| {
        let entries = instance.watched().map(|engine| &engine.entry);
        entries.map(|entry| (entry.id.clone(), entry.address)).collect()
    })
}

/// Tells the instance what changed; an engine that gives no report stays as
/// it was, and one that another instance watches now is let go of.
fn follow(
    agent: &ureq::Agent,
    handle: &Handle,
    watched: &[(id::Upstream, SocketAddr)],
    leaving: &mut BTreeSet<id::Upstream>,
) {
    let is_watched = |id: &id::Upstream| watched.iter().any(|(other, _)| other == id);
    let passed_on: Vec<_> = leaving.iter().filter(|id| !is_watched(id)).cloned().collect();
    let reports = watched.iter().filter_map(|(id, to)| Some((id.clone(), report(agent, *to)?)));
    for (upstream, leaves) in passed_on.into_iter().map(|id| (id, false)).chain(reports) {
        let changed =
            if leaves { leaving.insert(upstream.clone()) } else { leaving.remove(&upstream) };
        if changed {
            handle.event(Event::Leaving { upstream, leaving: leaves });
        }
    }
}

fn report(agent: &ureq::Agent, to: SocketAddr) -> Option<bool> {
    let mut response = agent.get(format!("http://{to}/load")).call().ok()?;
    let text = response.body_mut().read_to_string().ok()?;
    serde_json::from_str::<Value>(&text).ok()?["leaving"].as_bool()
}
