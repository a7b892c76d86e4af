//! Finds out which upstreams can be reached.

use std::io;
use std::rc::Rc;

use rosemarypond_core::entry::scheduler::Event;
use rosemarypond_core::entry::upstream::Registration;
use tokio::sync::mpsc;
use tokio::task::spawn_local;

use crate::exchange::CONNECT_TIMEOUT;
use crate::gateway::Gateway;
use crate::pool::Connection;

impl Gateway {
    /// Opens a connection to each upstream that the scheduler asks for, and tells it
    /// whether that was possible.
    pub async fn run_probes(self: Rc<Self>, mut probes: mpsc::UnboundedReceiver<Registration>) {
        while let Some(upstream) = probes.recv().await {
            spawn_local(self.clone().probe(upstream));
        }
    }

    async fn probe(self: Rc<Self>, upstream: Registration) {
        let opened = Connection::open(upstream.address, CONNECT_TIMEOUT).await;
        let is_reached = opened.is_ok();
        match opened {
            Ok(connection) => self.pool.keep_new(connection),
            // Open connections do not answer either.
            Err(error) if error.kind() == io::ErrorKind::TimedOut => {
                self.pool.close(upstream.address);
            }
            Err(_) => {}
        }
        self.handle.event(Event::Probed { upstream: upstream.id, is_reached });
    }
}
