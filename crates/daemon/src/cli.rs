//! Command-line arguments of the daemon.

use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use crate::log::Format;

/// Why the arguments are not accepted.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The log format is unknown.
    #[error("The log format '{0}' is unknown; expected 'json' or 'terminal'.")]
    LogFormat(String),
}

/// The validated command-line arguments.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Options {
    /// The settings file.
    pub settings: PathBuf,
    /// Whether to check the settings and exit.
    pub check_only: bool,
    /// The format of log lines.
    pub log: Format,
}

/// Returns the definition of the command line.
///
/// ```
/// let matches = rosemarypond::cli::command().get_matches_from(["rosemarypond", "a.json"]);
/// let options = rosemarypond::cli::Options::from_matches(&matches)?;
/// assert!(!options.check_only);
/// # Ok::<(), rosemarypond::cli::Error>(())
/// ```
pub fn command() -> Command {
    Command::new("rosemarypond")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Schedules requests for engines of unequal speed")
        .arg(
            Arg::new("settings")
                .required(true)
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Settings file, in JSON with comments"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Check the settings and exit"),
        )
        .arg(
            Arg::new("log")
                .long("log")
                .value_name("FORMAT")
                .default_value("json")
                .help("Format of log lines: json or terminal"),
        )
}

impl Options {
    /// Validates the arguments.
    ///
    /// # Errors
    ///
    /// Returns [`Error::LogFormat`] where the log format is unknown.
    pub fn from_matches(matches: &ArgMatches) -> Result<Self, Error> {
        let settings: &PathBuf = matches.get_one("settings").expect("the argument is required");
        let log: &String = matches.get_one("log").expect("the argument has a default");
        Ok(Self {
            settings: settings.clone(),
            check_only: matches.get_flag("check"),
            log: log.parse()?,
        })
    }
}
