//! The single-threaded runtime that runs the tasks of an instance.

use std::future::Future;
use std::io;

use tokio::runtime::Builder;
use tokio::task::LocalSet;

/// A runtime for one thread, whose tasks need not be `Send`.
#[derive(Debug)]
pub struct Runtime {
    runtime: tokio::runtime::Runtime,
    tasks: LocalSet,
}

impl Runtime {
    /// Creates a runtime for the calling thread.
    ///
    /// # Errors
    ///
    /// Where the system has no file descriptors left for it.
    ///
    /// ```
    /// let thread = rosemarypond_edge::thread::Runtime::new()?;
    /// assert_eq!(thread.block_on(async { 1 + 1 }), 2);
    /// # Ok::<(), std::io::Error>(())
    /// ```
    pub fn new() -> io::Result<Self> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        Ok(Self { runtime, tasks: LocalSet::new() })
    }

    /// Runs the spawned tasks until `future` completes, and returns its output.
    pub fn block_on<T>(&self, future: impl Future<Output = T>) -> T {
        self.tasks.block_on(&self.runtime, future)
    }
}
