//! Polls engines for whether they are leaving.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use hyper::Method;
use rosemarypond_core::event::Event;
use rosemarypond_core::id;
use serde_json::Value;
use tokio::time::sleep;

use crate::client::{self, Client};
use crate::runtime::Handle;

/// The pause between two rounds of polling.
pub const INTERVAL: Duration = Duration::from_secs(1);
/// How long a report may take.
pub const TIMEOUT: Duration = Duration::from_millis(500);

/// The longest accepted report, in bytes.
const MAX_REPORT_BYTES: usize = 64 * 1024;

/// Polls the engines that the instance watches until the instance has stopped.
pub async fn follow(handle: Handle) {
    let client = Client::new(TIMEOUT, MAX_REPORT_BYTES);
    let mut leaving = BTreeSet::new();
    while let Some(watched) = watched(&handle) {
        poll(&client, &handle, &watched, &mut leaving).await;
        sleep(INTERVAL).await;
    }
}

fn watched(handle: &Handle) -> Option<Vec<(id::Upstream, SocketAddr)>> {
    handle.ask(|instance, _| {
        let entries = instance.watched_engines().map(|engine| &engine.entry);
        entries.map(|entry| (entry.id.clone(), entry.address)).collect()
    })
}

/// Polls each engine once and reports changes to the scheduler. An engine without
/// a report keeps its state; one that another instance watches now counts as not
/// leaving.
async fn poll(
    client: &Client,
    handle: &Handle,
    watched: &[(id::Upstream, SocketAddr)],
    leaving: &mut BTreeSet<id::Upstream>,
) {
    let is_watched = |id: &id::Upstream| watched.iter().any(|(other, _)| other == id);
    let unwatched: Vec<_> = leaving.iter().filter(|id| !is_watched(id)).cloned().collect();
    let mut reports: Vec<_> = unwatched.into_iter().map(|id| (id, false)).collect();
    for (upstream, address) in watched {
        if let Some(is_leaving) = read_report(client, *address).await {
            reports.push((upstream.clone(), is_leaving));
        }
    }
    for (upstream, is_leaving) in reports {
        let changed =
            if is_leaving { leaving.insert(upstream.clone()) } else { leaving.remove(&upstream) };
        if changed {
            handle.event(Event::Leaving { upstream, leaving: is_leaving });
        }
    }
}

/// Reads whether an engine is leaving. Returns `None` without a valid answer.
async fn read_report(client: &Client, to: SocketAddr) -> Option<bool> {
    let request = client::request(Method::GET, to, "/load", "").ok()?;
    let answer = client.call(to, request).await.ok()?;
    serde_json::from_slice::<Value>(&answer.body).ok()?["leaving"].as_bool()
}
