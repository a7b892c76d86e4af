//! Identifiers, each a type of its own so that they cannot be mixed up.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The maximum length of an identifier, in bytes.
pub const MAX_LENGTH_BYTES: usize = 64;

/// Why a text is not a valid identifier.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The text was empty.
    #[error("An identifier must not be empty.")]
    Empty,
    /// The text was longer than [`MAX_LENGTH_BYTES`].
    #[error("The identifier '{0}' is longer than {MAX_LENGTH_BYTES} bytes.")]
    TooLong(String),
    /// The text contained a character that is not allowed.
    #[error(
        "The identifier '{0}' may only hold ASCII letters, digits, '-', '_', '.', ':' and '/'."
    )]
    Character(String),
}

fn check(text: &str) -> Result<(), Error> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.:/".contains(c);
    if text.is_empty() {
        return Err(Error::Empty);
    }
    if text.len() > MAX_LENGTH_BYTES {
        return Err(Error::TooLong(text.to_owned()));
    }
    if !text.chars().all(allowed) {
        return Err(Error::Character(text.to_owned()));
    }
    Ok(())
}

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        ///
        /// ```
        #[doc = concat!("use rosemarypond_core::id::", stringify!($name), ";")]
        #[doc = concat!("let id: ", stringify!($name), " = \"accra-a\".parse()?;")]
        /// assert_eq!(id.to_string(), "accra-a");
        /// # Ok::<(), rosemarypond_core::id::Error>(())
        /// ```
        #[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// The identifier as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self, Error> {
                check(text)?;
                Ok(Self(text.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = Error;

            fn try_from(text: String) -> Result<Self, Error> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> Self {
                id.0.as_ref().to_owned()
            }
        }
    };
}

text_id!(
    /// An entry instance of the scheduler.
    Instance
);
text_id!(
    /// An availability zone.
    Zone
);
text_id!(
    /// A team of callers.
    Team
);
text_id!(
    /// An engine or plain service that requests are sent to.
    Upstream
);
text_id!(
    /// A version of the software of upstreams.
    Release
);
text_id!(
    /// A group of upstreams that can run the same requests.
    Service
);
text_id!(
    /// A priority tier of requests.
    Tier
);
text_id!(
    /// An operator.
    Operator
);

macro_rules! number_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        ///
        /// ```
        #[doc = concat!("use rosemarypond_core::id::", stringify!($name), ";")]
        #[doc = concat!("let id = ", stringify!($name), "(255);")]
        #[doc = concat!("assert_eq!(id.to_string().parse::<", stringify!($name), ">()?, id);")]
        /// # Ok::<(), std::num::ParseIntError>(())
        /// ```
        #[derive(
            Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:016x}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = std::num::ParseIntError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                u64::from_str_radix(text, 16).map(Self)
            }
        }
    };
}

number_id!(
    /// One HTTP request, unique over all instances.
    Request
);
number_id!(
    /// One run of an instance; after a restart it has a higher number.
    Incarnation
);
number_id!(
    /// What a request asks for and who sends it: the same for a request that comes
    /// again, and different for others.
    Fingerprint
);
number_id!(
    /// An event stream, over all requests of its caller that resume it.
    Stream
);
number_id!(
    /// A route, by the hash of its name.
    Route
);
number_id!(
    /// A part of a prompt, which requests may share.
    Part
);
