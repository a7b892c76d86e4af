//! The settings of one instance: JSON with comments, validated on reading.

use std::fmt;
use std::io::{self, Read};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::str::FromStr;
use std::time::Duration;

use json_comments::StripComments;
use rosemarypond_core::id;
use serde::Deserialize;

/// Why settings are rejected.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file cannot be read.
    #[error("The settings file '{path}' cannot be read: {reason}.")]
    Io {
        /// The file.
        path: PathBuf,
        /// The cause.
        reason: io::Error,
    },
    /// The text or a value is invalid.
    #[error("{path}:{line}: {message}.")]
    Value {
        /// The file.
        path: PathBuf,
        /// The line, from 1.
        line: usize,
        /// What is wrong and what was expected.
        message: String,
    },
}

/// A duration with its unit, such as `500 ms` or `30 s`.
///
/// ```
/// use rosemarypond::settings::Span;
/// let span: Span = "30 s".parse()?;
/// assert_eq!(span.0.as_secs(), 30);
/// assert_eq!(span.to_string(), "30000 ms");
/// assert!("30".parse::<Span>().is_err());
/// # Ok::<(), String>(())
/// ```
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(try_from = "String")]
pub struct Span(pub Duration);

impl FromStr for Span {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let (number, unit) = split_unit(text);
        let number: Option<u64> = number.parse().ok();
        match (number, unit) {
            (Some(n), "ms") => Ok(Self(Duration::from_millis(n))),
            (Some(n), "s") => Ok(Self(Duration::from_secs(n))),
            (Some(n), "min") => Ok(Self(Duration::from_secs(n * 60))),
            _ => Err(format!("'{text}' is not a duration; expected a number with ms, s or min")),
        }
    }
}

impl TryFrom<String> for Span {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        text.parse()
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0.as_millis())
    }
}

/// A size with its unit, such as `64 KiB`.
///
/// ```
/// use rosemarypond::settings::Size;
/// let size: Size = "4 MiB".parse()?;
/// assert_eq!(size.0, 4 * 1024 * 1024);
/// assert_eq!(size.to_string(), "4194304 B");
/// # Ok::<(), String>(())
/// ```
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(try_from = "String")]
pub struct Size(pub u64);

impl FromStr for Size {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let (number, unit) = split_unit(text);
        let factor = match unit {
            "B" => Some(1),
            "KiB" => Some(1 << 10),
            "MiB" => Some(1 << 20),
            _ => None,
        };
        let size = number.parse::<u64>().ok().zip(factor).and_then(|(n, f)| n.checked_mul(f));
        size.map(Self)
            .ok_or_else(|| format!("'{text}' is not a size; expected a number with B, KiB or MiB"))
    }
}

impl TryFrom<String> for Size {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        text.parse()
    }
}

impl fmt::Display for Size {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} B", self.0)
    }
}

fn split_unit(text: &str) -> (&str, &str) {
    let digits = text.chars().take_while(char::is_ascii_digit).count();
    let (number, unit) = text.split_at(digits);
    (number, unit.trim_start())
}

/// The settings of one instance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The instance's identifier.
    pub instance: id::Instance,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Its address for callers and operators.
    pub http: SocketAddr,
    /// Its address for peers.
    pub peer: SocketAddr,
    /// The platform's address.
    pub platform: SocketAddr,
    /// The most requests that it holds at once.
    #[serde(default = "default_max_requests")]
    pub max_requests: u32,
    /// The most open connections of callers.
    #[serde(default = "default_max_connections")]
    pub max_connections: u32,
    /// The memory of the process; without it, only the other limits apply.
    pub memory: Option<Size>,
    /// The longest request body.
    #[serde(default = "default_max_body")]
    pub max_body: Size,
    /// How long a caller's connection may be idle between requests, and how long a
    /// request's head or body may take.
    #[serde(default = "default_idle")]
    pub idle: Span,
    /// How often it polls the platform for a new configuration.
    #[serde(default = "default_poll")]
    pub poll: Span,
}

fn default_max_requests() -> u32 {
    1_024
}

fn default_max_connections() -> u32 {
    16_384
}

fn default_max_body() -> Size {
    Size(4 << 20)
}

fn default_idle() -> Span {
    Span(Duration::from_secs(30))
}

fn default_poll() -> Span {
    Span(Duration::from_secs(2))
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Names the file, the line and what was expected.
    pub fn load(path: impl AsRef<Path>) -> Result<Self, Error> {
        let path = path.as_ref();
        let text = std::fs::read_to_string(path)
            .map_err(|reason| Error::Io { path: path.to_owned(), reason })?;
        Self::parse(path, &text)
    }

    /// Parses and checks the text of a settings file.
    ///
    /// # Errors
    ///
    /// Names the file, the line and what was expected.
    ///
    /// ```
    /// use rosemarypond::settings::Settings;
    /// let text = r#"{
    ///     "instance": "a1", "zone": "accra-a", // one of two
    ///     "http": "127.0.0.1:8080", "peer": "127.0.0.1:8081",
    ///     "platform": "127.0.0.1:9000"
    /// }"#;
    /// assert_eq!(Settings::parse("a1.json", text)?.max_requests, 1024);
    /// # Ok::<(), rosemarypond::settings::Error>(())
    /// ```
    pub fn parse(path: impl AsRef<Path>, text: impl AsRef<str>) -> Result<Self, Error> {
        let (path, text) = (path.as_ref(), text.as_ref());
        let invalid = |line, message| Error::Value { path: path.to_owned(), line, message };
        let mut plain = String::new();
        StripComments::new(text.as_bytes())
            .read_to_string(&mut plain)
            .map_err(|e| invalid(text.lines().count(), format!("a comment is not closed ({e})")))?;
        let mut json = serde_json::Deserializer::from_str(&plain);
        let settings: Self = serde_path_to_error::deserialize(&mut json)
            .map_err(|e| invalid(error_line(&plain, &e), message_of(e.inner())))?;
        json.end().map_err(|e| invalid(e.line(), message_of(&e)))?;
        settings.check().map_err(|(key, message)| invalid(line_of(&plain, key), message))?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), (&'static str, String)> {
        let addresses = [("http", self.http), ("peer", self.peer), ("platform", self.platform)];
        for (index, (key, address)) in addresses.iter().enumerate() {
            let same = |(_, other): &&(&str, SocketAddr)| other == address && other.port() != 0;
            if let Some((other, _)) = addresses[..index].iter().find(same) {
                let message = format!("{key} and {other} have the same address, {address}");
                return Err((key, format!("{message}; expected different ones")));
            }
        }
        if self.max_requests == 0 {
            return Err(("max_requests", "max_requests is 0; expected 1 or more".into()));
        }
        for (key, span) in [("poll", self.poll), ("idle", self.idle)] {
            if span.0.is_zero() {
                return Err((key, format!("{key} is 0 ms; expected 1 ms or more")));
            }
        }
        Ok(())
    }
}

/// Returns the line of the key whose value is invalid; the parser's own position
/// may be after it.
fn error_line(text: &str, error: &serde_path_to_error::Error<serde_json::Error>) -> usize {
    let key = error.path().to_string();
    let quoted = format!("\"{key}\"");
    if error.inner().is_data() && text.contains(&quoted) {
        return line_of(text, &key);
    }
    error.inner().line()
}

fn message_of(error: &serde_json::Error) -> String {
    let text = error.to_string();
    text.split(" at line ").next().unwrap_or(&text).to_owned()
}

fn line_of(text: &str, key: &str) -> usize {
    let quoted = format!("\"{key}\"");
    text.lines().position(|line| line.contains(&quoted)).map_or(1, |index| index + 1)
}
