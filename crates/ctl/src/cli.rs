//! Command-line arguments of the operators' client.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use crate::client::Error;

/// The environment variable that holds the operator's credential.
pub const CREDENTIAL_VARIABLE: &str = "ROSEMARYPOND_CREDENTIAL";

/// The action of a subcommand.
pub enum Action {
    /// Sends a query or command to an instance.
    Send {
        /// The HTTP path that serves it.
        path: &'static str,
        /// The query or command, in the operators' language.
        sentence: String,
    },
    /// Stores the first configuration in the platform's table.
    Init {
        /// The platform's address.
        platform: SocketAddr,
        /// The path of the configuration, in JSON with comments.
        file: PathBuf,
    },
}

/// The validated command-line arguments.
pub struct Options {
    /// The HTTP address of the instance; empty for [`Action::Init`] without `--to`.
    pub to: String,
    /// The operator's credential; empty where the variable is not set.
    pub credential: String,
    /// Whether the answer is printed as JSON.
    pub json: bool,
    /// The action.
    pub action: Action,
}

/// Returns the definition of the command line.
pub fn command() -> Command {
    let sentence = || Arg::new("sentence").required(true).value_name("SENTENCE");
    let address = || value_parser!(SocketAddr);
    Command::new("rosemarypondctl")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Queries and controls rosemarypond's entry instances")
        .after_help(format!("The operator's credential is taken from {CREDENTIAL_VARIABLE}."))
        .subcommand_required(true)
        .arg(
            Arg::new("to")
                .long("to")
                .value_name("ADDRESS")
                .value_parser(address())
                .help("The HTTP address of an instance"),
        )
        .arg(
            Arg::new("json").long("json").action(ArgAction::SetTrue).help("Print JSON for programs"),
        )
        .subcommand(
            Command::new("query")
                .about("Run a query: show|count TABLE [where F = V [and …]] [order by F [desc]] [limit N] [over instance|zone|all]")
                .arg(sentence()),
        )
        .subcommand(
            Command::new("command")
                .about("Run a command: drain|undrain instance|upstream ID; [dry run] [if version N] set|add|remove tier|team|rule|upstream …")
                .arg(sentence()),
        )
        .subcommand(
            Command::new("init")
                .about("Store the first configuration in the platform's table")
                .arg(Arg::new("platform").long("platform").required(true).value_parser(address()))
                .arg(Arg::new("file").required(true).value_parser(value_parser!(PathBuf))),
        )
}

impl Options {
    /// Validates the arguments.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Usage`] where an argument or the credential is missing.
    pub fn from_matches(matches: &ArgMatches) -> Result<Self, Error> {
        let action = match matches.subcommand() {
            Some(("init", sub)) => Action::Init {
                platform: *sub.get_one("platform").expect("the argument is required"),
                file: sub.get_one::<PathBuf>("file").expect("the argument is required").clone(),
            },
            Some((name, sub)) => Action::Send {
                path: if name == "query" { "/operator/query" } else { "/operator/command" },
                sentence: sub
                    .get_one::<String>("sentence")
                    .expect("the argument is required")
                    .clone(),
            },
            None => return Err(Error::Usage("A subcommand is needed.".into())),
        };
        let to = matches.get_one::<SocketAddr>("to").map(SocketAddr::to_string);
        let credential = std::env::var(CREDENTIAL_VARIABLE).unwrap_or_default();
        if matches!(action, Action::Send { .. }) {
            if to.is_none() {
                return Err(Error::Usage("The argument '--to ADDRESS' is needed.".into()));
            }
            if credential.is_empty() {
                let message = format!("The variable {CREDENTIAL_VARIABLE} is not set.");
                return Err(Error::Usage(message));
            }
        }
        let json = matches.get_flag("json");
        Ok(Self { to: to.unwrap_or_default(), credential, json, action })
    }
}
