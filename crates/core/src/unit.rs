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

/// A rate in requests per second, finite and not negative.
///
/// ```
/// use rosemarypond_core::unit::RequestRate;
/// assert_eq!("1.3".parse::<RequestRate>()?, RequestRate(1.3));
/// assert!("-1".parse::<RequestRate>().is_err());
/// assert!("inf".parse::<RequestRate>().is_err());
/// # Ok::<(), rosemarypond_core::unit::RateError>(())
/// ```
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct RequestRate(pub f64);

/// A text is not a rate in requests per second.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("A rate is a number that is finite and not negative.")]
pub struct RateError;

impl RequestRate {
    /// The higher of two rates.
    pub fn max(self, other: Self) -> Self {
        Self(self.0.max(other.0))
    }

    /// The lower of two rates.
    pub fn min(self, other: Self) -> Self {
        Self(self.0.min(other.0))
    }
}

impl TryFrom<f64> for RequestRate {
    type Error = RateError;

    fn try_from(rate: f64) -> Result<Self, RateError> {
        if rate.is_finite() && rate >= 0.0 { Ok(Self(rate)) } else { Err(RateError) }
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for RequestRate {
    type Err = RateError;

    fn from_str(text: &str) -> Result<Self, RateError> {
        text.parse::<f64>().map_err(|_| RateError)?.try_into()
    }
}
