//! Signed tokens with which a caller resumes an interrupted stream at any
//! instance.

use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

use crate::id;

/// The length of a signature, in bytes.
const SIGNATURE_BYTES: usize = 32;

/// The content of a token: a team may resume the stream of a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Grant {
    /// The request whose stream it is.
    pub request: id::Request,
    /// The team that may resume it.
    pub team: id::Team,
    /// The upstream that holds the stream.
    pub upstream: id::Upstream,
}

/// Why a token is rejected.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// It is not a token.
    #[error("The resume token is malformed.")]
    Malformed,
    /// Its signature is wrong.
    #[error("The resume token was not issued here.")]
    Signature,
    /// It belongs to another team.
    #[error("The resume token belongs to another team.")]
    Team,
}

fn signer(secret: impl AsRef<[u8]>) -> Hmac<Sha256> {
    Hmac::new_from_slice(secret.as_ref()).expect("HMAC takes keys of any length")
}

/// Encodes a grant as a signed token, in URL-safe base64.
///
/// ```
/// use rosemarypond_core::resume::{Error, Grant, sign, verify};
/// let grant = Grant {
///     request: rosemarypond_core::id::Request(1),
///     team: "osei".parse()?,
///     upstream: "e1".parse()?,
/// };
/// let token = sign(&grant, "secret");
/// assert_eq!(verify(&token, "secret", &grant.team), Ok(grant.clone()));
/// assert_eq!(verify(&token, "other", &grant.team), Err(Error::Signature));
/// # Ok::<(), rosemarypond_core::id::Error>(())
/// ```
pub fn sign(grant: &Grant, secret: impl AsRef<[u8]>) -> String {
    let mut bytes = serde_json::to_vec(grant).expect("a grant always serializes");
    let mut signer = signer(secret);
    signer.update(&bytes);
    bytes.extend_from_slice(&signer.finalize().into_bytes());
    URL_SAFE_NO_PAD.encode(bytes)
}

/// Verifies a token that `team` presents and returns its grant.
///
/// # Errors
///
/// Where the token is malformed, was not signed with `secret`, or belongs to
/// another team.
pub fn verify(
    token: impl AsRef<[u8]>,
    secret: impl AsRef<[u8]>,
    team: &id::Team,
) -> Result<Grant, Error> {
    let bytes = URL_SAFE_NO_PAD.decode(token).map_err(|_| Error::Malformed)?;
    let split = bytes.len().checked_sub(SIGNATURE_BYTES).ok_or(Error::Malformed)?;
    let (grant, signature) = bytes.split_at(split);
    let mut signer = signer(secret);
    signer.update(grant);
    signer.verify_slice(signature).map_err(|_| Error::Signature)?;
    let grant: Grant = serde_json::from_slice(grant).map_err(|_| Error::Malformed)?;
    if grant.team == *team { Ok(grant) } else { Err(Error::Team) }
}
