//! Loggers. Changes of state are logged; everything countable is a metric.

use std::str::FromStr;

use slog::{Drain, Logger, o};

use crate::cli::Error;

/// The format of log lines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Format {
    /// One JSON object per line.
    Json,
    /// Plain text for a terminal.
    Terminal,
}

impl FromStr for Format {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        match text {
            "json" => Ok(Format::Json),
            "terminal" => Ok(Format::Terminal),
            _ => Err(Error::LogFormat(text.to_owned())),
        }
    }
}

/// Returns a logger that writes to standard error.
///
/// ```
/// let logger = rosemarypond::log::logger(rosemarypond::log::Format::Json);
/// slog::info!(logger, "ready"; "zone" => "accra-a");
/// ```
pub fn logger(format: Format) -> Logger {
    match format {
        Format::Json => {
            let drain = slog_json::Json::default(std::io::stderr()).fuse();
            Logger::root(slog_async::Async::new(drain).build().fuse(), o!())
        }
        Format::Terminal => {
            let decorator = slog_term::PlainDecorator::new(std::io::stderr());
            let drain = slog_term::FullFormat::new(decorator).build().fuse();
            Logger::root(slog_async::Async::new(drain).build().fuse(), o!())
        }
    }
}

/// Returns a logger that discards everything.
///
/// ```
/// slog::info!(rosemarypond::log::silent(), "not seen");
/// ```
pub fn silent() -> Logger {
    Logger::root(slog::Discard, o!())
}
