//! A request as the scheduler sees it.

use std::time::Instant;

use crate::config::KeyPolicy;
use crate::id;
use crate::unit::Tokens;

/// Whether a request may be cancelled and asked for again.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Repeat {
    /// It may be cancelled and asked for again.
    Idempotent,
    /// It must not run twice; the HTTP request itself is the unit.
    Once,
    /// It must not run twice over all tries that carry the same key.
    Keyed(Key),
}

impl Repeat {
    /// Whether running work may be cut off to make room.
    ///
    /// ```
    /// use rosemarypond_core::request::Repeat;
    /// assert!(Repeat::Idempotent.may_cancel());
    /// assert!(!Repeat::Once.may_cancel());
    /// ```
    pub fn may_cancel(&self) -> bool {
        *self == Repeat::Idempotent
    }
}

/// An idempotency key with what its tries must have in common.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Key {
    /// The team that the key belongs to.
    pub team: id::Team,
    /// The key that the caller chose.
    pub text: String,
    /// A digest of method, path and body.
    pub fingerprint: u64,
}

/// What the scheduler needs to know of a request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its identifier.
    pub id: id::Request,
    /// The team that sent it.
    pub team: id::Team,
    /// The rank of its tier; 0 is the highest.
    pub rank: u8,
    /// The service that it asks for.
    pub service: id::Service,
    /// Whether it may be repeated.
    pub repeat: Repeat,
    /// What happens to its key where it is refused.
    pub key_policy: KeyPolicy,
    /// The estimated length of its prompt.
    pub prompt: Tokens,
    /// Digests of the prompt's leading blocks, shortest prefix first.
    pub prefix: Vec<u64>,
    /// The most tokens that its answer may have, where the caller said so.
    pub max_answer: Option<Tokens>,
    /// When it arrived.
    pub arrived: Instant,
    /// When its answer has to be whole.
    pub deadline: Instant,
}
