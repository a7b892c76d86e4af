//! Reads the engines' own reports of whether they leave.

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

/// The pause between two rounds of reading.
pub const INTERVAL: Duration = Duration::from_secs(1);
/// How long a report is waited for.
pub const TIMEOUT: Duration = Duration::from_millis(500);

/// The longest report, in bytes.
const MAX_REPORT_BYTES: usize = 64 * 1024;

/// Reads the reports of the engines that the instance watches, until the
/// instance has stopped.
pub async fn follow(handle: Handle) {
    let client = Client::new(TIMEOUT, MAX_REPORT_BYTES);
    let mut leaving = BTreeSet::new();
    while let Some(watched) = watched(&handle) {
        look(&client, &handle, &watched, &mut leaving).await;
        sleep(INTERVAL).await;
    }
}

fn watched(handle: &Handle) -> Option<Vec<(id::Upstream, SocketAddr)>> {
    handle.ask(|instance, _| {
        let entries = instance.watched_engines().map(|engine| &engine.entry);
        entries.map(|entry| (entry.id.clone(), entry.address)).collect()
    })
}

/// Tells the instance what changed; an engine that gives no report stays as
/// it was, and one that another instance watches now is let go of.
async fn look(
    client: &Client,
    handle: &Handle,
    watched: &[(id::Upstream, SocketAddr)],
    leaving: &mut BTreeSet<id::Upstream>,
) {
    let is_watched = |id: &id::Upstream| watched.iter().any(|(other, _)| other == id);
    let passed_on: Vec<_> = leaving.iter().filter(|id| !is_watched(id)).cloned().collect();
    let mut told: Vec<_> = passed_on.into_iter().map(|id| (id, false)).collect();
    for (upstream, address) in watched {
        if let Some(leaves) = report(client, *address).await {
            told.push((upstream.clone(), leaves));
        }
    }
    for (upstream, leaves) in told {
        let changed =
            if leaves { leaving.insert(upstream.clone()) } else { leaving.remove(&upstream) };
        if changed {
            handle.event(Event::Leaving { upstream, leaving: leaves });
        }
    }
}

async fn report(client: &Client, to: SocketAddr) -> Option<bool> {
    let request = client::request(Method::GET, to, "/load", "").ok()?;
    let answer = client.call(to, request).await.ok()?;
    serde_json::from_slice::<Value>(&answer.body).ok()?["leaving"].as_bool()
}
