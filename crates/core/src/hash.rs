//! A hash function whose values are the same on every instance and in every
//! release.

use std::hash::{Hash, Hasher};

use siphasher::sip::SipHasher13;

/// Hashes a value with SipHash-1-3 and a fixed key.
///
/// ```
/// use rosemarypond_core::hash::stable_hash;
/// assert_eq!(stable_hash("e1"), stable_hash("e1"));
/// ```
pub fn stable_hash(value: impl Hash) -> u64 {
    let mut hasher = SipHasher13::new();
    value.hash(&mut hasher);
    hasher.finish()
}
