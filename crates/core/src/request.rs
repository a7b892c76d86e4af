//! A request as the scheduler sees it.

use std::time::Instant;

use crate::config::KeyPolicy;
use crate::id;
use crate::unit::Tokens;

/// Whether a request may be cancelled and sent again.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Repeat {
    /// It may be cancelled and sent again.
    Idempotent,
    /// It has no key; one HTTP request must not run twice.
    Once,
    /// It must not run twice over all requests with the same key.
    Keyed(Key),
}

impl Repeat {
    /// Whether a running request may be cancelled to make room.
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

/// An idempotency key, with a digest of what all its requests must have in
/// common.
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
    /// What happens to its key if it is refused.
    pub key_policy: KeyPolicy,
    /// The estimated length of its prompt.
    pub prompt: Tokens,
    /// Digests of the prompt's leading blocks, shortest prefix first.
    pub prefix: Vec<u64>,
    /// The caller's limit on the length of the answer, if it set one.
    pub max_answer: Option<Tokens>,
    /// When it arrived.
    pub arrived: Instant,
    /// When its answer has to be complete.
    pub deadline: Instant,
}
