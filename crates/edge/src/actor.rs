//! A stakker actor beside the tasks of one thread.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use stakker::{ActorOwn, Cx, Fwd, Stakker, fwd_do};

use crate::clock;

/// How long the runtime is left alone at most.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// An actor with its runtime, and the actions that it gave and nobody took.
pub struct Host<N: 'static, A: 'static> {
    stakker: RefCell<Stakker>,
    node: ActorOwn<N>,
    actions: Rc<RefCell<Vec<A>>>,
}

impl<N, A> Host<N, A> {
    /// Starts the actor that `init` makes, with the sink for its actions.
    pub fn start(init: impl FnOnce(&mut Stakker, Fwd<A>) -> ActorOwn<N>) -> Self {
        let mut stakker = Stakker::new(clock::now());
        let actions = Rc::new(RefCell::new(Vec::new()));
        let taken = actions.clone();
        let sink = fwd_do!(move |action| taken.borrow_mut().push(action));
        let node = init(&mut stakker, sink);
        // From here on the actor can be asked.
        stakker.run(clock::now(), false);
        Self { stakker: RefCell::new(stakker), node, actions }
    }

    /// Lets the actor do something when the runtime runs next.
    pub fn call(&self, act: impl FnOnce(&mut N, &mut Cx<'_, N>) + 'static) {
        let node = self.node.clone();
        self.node.defer(move |stakker| node.apply(stakker, act));
    }

    /// Asks the actor; none after it has stopped.
    pub fn ask<T>(&self, look: impl FnOnce(&mut N) -> T) -> Option<T> {
        let mut stakker = self.stakker.borrow_mut();
        self.node.query(&mut stakker, |node, _| look(node))
    }

    /// Runs what is due, and gives the actions that came of it.
    #[must_use]
    pub fn run(&self) -> Vec<A> {
        self.stakker.borrow_mut().run(clock::now(), false);
        std::mem::take(&mut *self.actions.borrow_mut())
    }

    /// Waits until a timer is due, or for a second.
    pub async fn wait_until_due(&self) {
        let next = self.stakker.borrow_mut().next_expiry();
        let wait = next.map_or(MAX_WAIT, |at| at.saturating_duration_since(clock::now()));
        tokio::time::sleep(wait).await;
    }
}
