//! Runs a stakker actor next to the tokio tasks of one thread.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use stakker::{ActorOwn, Cx, Fwd, Stakker, fwd_do};

use crate::clock;

/// The longest time between two runs of the stakker runtime.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// An actor with its stakker runtime, and the actions that it has emitted since
/// the last run.
pub struct Host<N: 'static, A: 'static> {
    stakker: RefCell<Stakker>,
    node: ActorOwn<N>,
    actions: Rc<RefCell<Vec<A>>>,
}

impl<N, A> Host<N, A> {
    /// Starts the actor that `init` creates from the runtime and the sink for
    /// the actor's actions.
    pub fn start(init: impl FnOnce(&mut Stakker, Fwd<A>) -> ActorOwn<N>) -> Self {
        let mut stakker = Stakker::new(clock::now());
        let actions = Rc::new(RefCell::new(Vec::new()));
        let emitted = actions.clone();
        let sink = fwd_do!(move |action| emitted.borrow_mut().push(action));
        let node = init(&mut stakker, sink);
        // Initializes the actor, so that `ask` can query it from here on.
        stakker.run(clock::now(), false);
        Self { stakker: RefCell::new(stakker), node, actions }
    }

    /// Queues a call of the actor for the next [`run`](Self::run).
    pub fn call(&self, act: impl FnOnce(&mut N, &mut Cx<'_, N>) + 'static) {
        let node = self.node.clone();
        self.node.defer(move |stakker| node.apply(stakker, act));
    }

    /// Queries the actor; returns `None` after it has stopped.
    pub fn ask<T>(&self, query: impl FnOnce(&mut N) -> T) -> Option<T> {
        let mut stakker = self.stakker.borrow_mut();
        self.node.query(&mut stakker, |node, _| query(node))
    }

    /// Runs the queued calls and the timers that are due, and returns the actions
    /// that the actor emitted.
    #[must_use]
    pub fn run(&self) -> Vec<A> {
        self.stakker.borrow_mut().run(clock::now(), false);
        std::mem::take(&mut *self.actions.borrow_mut())
    }

    /// Waits until the next timer is due, for one second at most.
    pub async fn wait_until_due(&self) {
        let next = self.stakker.borrow_mut().next_expiry();
        let wait = next.map_or(MAX_WAIT, |at| at.saturating_duration_since(clock::now()));
        tokio::time::sleep(wait).await;
    }
}
