//! Sizes and rates with their units.

use std::fmt;
use std::num::ParseFloatError;
use std::num::ParseIntError;
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A number of model tokens.
///
/// ```
/// use rosemarypond_core::unit::Tokens;
/// assert_eq!("12".parse::<Tokens>()?.to_string(), "12");
/// # Ok::<(), std::num::ParseIntError>(())
/// ```
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Tokens(pub u32);

impl fmt::Display for Tokens {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Tokens {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// A rate in tokens per second.
///
/// ```
/// use rosemarypond_core::unit::{Rate, Tokens};
/// let rate: Rate = "100".parse()?;
/// assert_eq!(rate.time_for(Tokens(50)).as_millis(), 500);
/// # Ok::<(), std::num::ParseFloatError>(())
/// ```
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Rate(pub f64);

impl Rate {
    /// The time that `tokens` take at this rate.
    pub fn time_for(self, tokens: Tokens) -> Duration {
        Duration::from_secs_f64(f64::from(tokens.0) / self.0.max(1e-3))
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.1}", self.0)
    }
}

impl FromStr for Rate {
    type Err = ParseFloatError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}
