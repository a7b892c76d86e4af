//! The command line of the daemon.

use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use crate::log::Form;

/// Why the arguments are not accepted.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The form of log lines is not known.
    #[error("The log form '{0}' is not known; expected 'json' or 'terminal'.")]
    Log(String),
}

/// What the command line asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Options {
    /// The settings file.
    pub settings: PathBuf,
    /// Whether the settings are only checked.
    pub only_check: bool,
    /// The form of log lines.
    pub log: Form,
}

/// The arguments that are understood.
///
/// ```
/// let matches = rosemarypond::cli::command().get_matches_from(["rosemarypond", "a.json"]);
/// let options = rosemarypond::cli::Options::from_matches(&matches)?;
/// assert!(!options.only_check);
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
                .help("The settings, in JSON with comments"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Check the settings and start nothing"),
        )
        .arg(
            Arg::new("log")
                .long("log")
                .value_name("FORM")
                .default_value("json")
                .help("The form of log lines: json or terminal"),
        )
}

impl Options {
    /// Validates what was given.
    ///
    /// # Errors
    ///
    /// Where the log form is not known.
    pub fn from_matches(matches: &ArgMatches) -> Result<Self, Error> {
        let settings: &PathBuf = matches.get_one("settings").expect("the argument is required");
        let log: &String = matches.get_one("log").expect("the argument has a default");
        Ok(Self {
            settings: settings.clone(),
            only_check: matches.get_flag("check"),
            log: log.parse()?,
        })
    }
}
