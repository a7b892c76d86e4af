//! Log lines for changes of state; everything countable is a metric.

use std::str::FromStr;

use slog::{Drain, Logger, o};

use crate::cli::Error;

/// The form of log lines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Form {
    /// One JSON object a line.
    Json,
    /// For people.
    Terminal,
}

impl FromStr for Form {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        match text {
            "json" => Ok(Form::Json),
            "terminal" => Ok(Form::Terminal),
            _ => Err(Error::Log(text.to_owned())),
        }
    }
}

/// A logger that writes to standard error.
///
/// ```
/// let logger = rosemarypond::log::logger(rosemarypond::log::Form::Json);
/// slog::info!(logger, "ready"; "zone" => "accra-a");
/// ```
pub fn logger(form: Form) -> Logger {
    match form {
        Form::Json => {
            let drain = slog_json::Json::default(std::io::stderr()).fuse();
            Logger::root(slog_async::Async::new(drain).build().fuse(), o!())
        }
        Form::Terminal => {
            let decorator = slog_term::PlainDecorator::new(std::io::stderr());
            let drain = slog_term::FullFormat::new(decorator).build().fuse();
            Logger::root(slog_async::Async::new(drain).build().fuse(), o!())
        }
    }
}

/// A logger that writes nothing.
///
/// ```
/// slog::info!(rosemarypond::log::silent(), "not seen");
/// ```
pub fn silent() -> Logger {
    Logger::root(slog::Discard, o!())
}
