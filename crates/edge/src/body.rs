//! Reads whole bodies, with memory of the account for what they take.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;

use crate::memory::{Exhausted, Memory};

/// The smallest buffer for a body whose length is not known, in bytes.
const MIN_BUFFER_BYTES: usize = 4 << 10;
/// The length up to which the part of a message counts as short, in bytes.
const SHORT_PART_BYTES: usize = 16 << 10;
/// The pause before memory is asked for again.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Why a body was not read.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// It is longer than allowed.
    #[error("The body is too long.")]
    TooLong,
    /// There is no memory for it.
    #[error(transparent)]
    Exhausted(#[from] Exhausted),
    /// The connection ended, or is not valid, before it was complete.
    #[error("The body broke off.")]
    Broken,
}

/// What is done while there is no memory.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Shortage {
    /// Reading fails.
    Fail,
    /// A body of known length is not read until there is memory for all of it. Parts of
    /// several bodies that wait for each other's memory would never complete, so that
    /// reading one of unknown length fails.
    Wait,
}

/// Reads a body of at most `limit` bytes into one buffer, whose whole size is reserved.
///
/// # Errors
///
/// Where the body is too long or breaks off, or memory is short and `shortage` says so.
pub async fn read(
    mut body: impl Body<Data = Bytes> + Unpin,
    limit: usize,
    memory: &mut Memory,
    shortage: Shortage,
) -> Result<Bytes, Error> {
    let length = body.size_hint().exact();
    if body.size_hint().lower() > limit as u64 {
        return Err(Error::TooLong);
    }
    let mut whole = Vec::new();
    if let Some(length) = length
        && shortage == Shortage::Wait
    {
        reserve(memory, length as usize).await;
        whole.reserve_exact(length as usize);
    }
    let most = length.map_or(limit, |length| length as usize);
    while let Some(frame) = body.frame().await {
        let Ok(bytes) = frame.map_err(|_| Error::Broken)?.into_data() else { continue };
        let needed = whole.len() + bytes.len();
        if needed > limit {
            return Err(Error::TooLong);
        }
        if needed > whole.capacity() {
            let doubled = whole.capacity().max(MIN_BUFFER_BYTES / 2) * 2;
            let capacity = doubled.min(most).max(needed);
            memory.reserve(capacity - whole.capacity())?;
            whole.reserve_exact(capacity - whole.len());
        }
        whole.extend_from_slice(&bytes);
    }
    Ok(whole.into())
}

/// Waits until so much memory more is reserved.
pub async fn reserve(memory: &mut Memory, bytes: usize) {
    while memory.reserve(bytes).is_err() {
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

/// Reserves the memory of a part of a message that is not complete yet, in place of what was
/// reserved for it before. A short part is kept even where memory is short, so that sound
/// messages go on.
///
/// # Errors
///
/// Where there is no memory for a long part.
pub fn reserve_part(memory: &mut Memory, bytes: usize) -> Result<(), Exhausted> {
    memory.shrink(bytes);
    let more = bytes - memory.bytes();
    if bytes > SHORT_PART_BYTES {
        return memory.reserve(more);
    }
    memory.add(more);
    Ok(())
}
