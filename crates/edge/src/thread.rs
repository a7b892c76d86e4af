//! The one thread that the tasks of an instance share.

use std::future::Future;
use std::io;

use tokio::runtime::{Builder, Runtime};
use tokio::task::LocalSet;

/// A thread's runtime and its tasks.
#[derive(Debug)]
pub struct LocalRuntime {
    runtime: Runtime,
    tasks: LocalSet,
}

impl LocalRuntime {
    /// A runtime for the calling thread.
    ///
    /// # Errors
    ///
    /// Where the system gives no descriptors for it.
    ///
    /// ```
    /// let thread = rosemarypond_edge::thread::LocalRuntime::new()?;
    /// assert_eq!(thread.block_on(async { 1 + 1 }), 2);
    /// # Ok::<(), std::io::Error>(())
    /// ```
    pub fn new() -> io::Result<Self> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        Ok(Self { runtime, tasks: LocalSet::new() })
    }

    /// Runs the tasks until a future is complete.
    pub fn block_on<T>(&self, future: impl Future<Output = T>) -> T {
        self.tasks.block_on(&self.runtime, future)
    }
}
