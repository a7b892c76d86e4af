//! The entry daemon of the rosemarypond request scheduler.

use std::process::ExitCode;

use rosemarypond::{cli, daemon, log, settings};

/// The exit status for invalid settings or arguments.
const EXIT_USAGE: u8 = 2;

fn run() -> eyre::Result<()> {
    if let Some(path) = rosemarypond_platform::settings::path() {
        return rosemarypond_platform::run::run(path);
    }
    let options = cli::Options::from_matches(&cli::command().get_matches())?;
    let settings = settings::Settings::load(&options.settings)?;
    if options.check_only {
        println!("{} is valid.", options.settings.display());
        return Ok(());
    }
    let logger = log::logger(options.log);
    daemon::run(settings, logger)
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("Error: {e:#}");
            let is_usage = e.is::<settings::Error>() || e.is::<cli::Error>();
            ExitCode::from(if is_usage { EXIT_USAGE } else { 1 })
        }
    }
}
