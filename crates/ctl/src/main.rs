//! The operators' client of the rosemarypond request scheduler.

mod cli;
mod client;
mod init;
mod table;

use std::process::ExitCode;

use client::Error;

fn run() -> Result<(), Error> {
    let options = cli::Options::from_matches(&cli::command().get_matches())?;
    match options.action {
        cli::Action::Send { path, sentence } => {
            let answer = client::send(&options.to, path, &options.credential, &sentence)?;
            print!("{}", table::render(&answer, options.json));
        }
        cli::Action::Init { platform, file } => {
            let version = init::init(platform, &file)?;
            println!("version {version} is in force");
        }
    }
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("Error: {e}");
            ExitCode::from(e.exit_status())
        }
    }
}
