//! The memory that the bodies of requests and responses may take.

use prometheus_client::metrics::gauge::Gauge;

/// The most memory for the bodies of requests, or of responses, at once, in bytes.
const MAX_HELD_BODY_BYTES: i64 = 64 << 20;

/// Memory reserved for a body, until it is dropped.
pub struct Memory {
    /// The bytes that all bodies of this kind hold.
    held: Gauge,
    bytes: usize,
}

/// The memory for bodies is used up.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("The memory for bodies is used up.")]
pub struct Exhausted;

impl Memory {
    /// No memory yet, of what `held` counts.
    pub fn new(held: &Gauge) -> Self {
        Self { held: held.clone(), bytes: 0 }
    }

    /// Reserves more memory.
    ///
    /// # Errors
    ///
    /// Where all bodies together would hold too much.
    pub fn reserve(&mut self, bytes: usize) -> Result<(), Exhausted> {
        let held = self.held.get() + bytes as i64;
        if held > MAX_HELD_BODY_BYTES {
            return Err(Exhausted);
        }
        self.held.set(held);
        self.bytes += bytes;
        Ok(())
    }
}

impl Drop for Memory {
    fn drop(&mut self) {
        self.held.dec_by(self.bytes as i64);
    }
}
