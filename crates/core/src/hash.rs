//! A hash that is the same on every instance and in every release.

use std::hash::{Hash, Hasher};

use siphasher::sip::SipHasher13;

/// Spreads values evenly over the numbers.
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
