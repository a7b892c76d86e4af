//! Runs one stand-in as a separate process: `standin engine|plain|platform`.
//!
//! It prints its address and serves until its standard input is closed.

use std::io::Read;

use eyre::eyre;
use rosemarypond_standin::{engine, plain, platform};

fn main() -> eyre::Result<()> {
    let kind = std::env::args().nth(1).unwrap_or_default();
    let address = match kind.as_str() {
        "engine" => engine::Engine::start(engine::Behaviour::default())?.address,
        "plain" => plain::Plain::start()?.address,
        "platform" => platform::Platform::start()?.address,
        _ => return Err(eyre!("Expected engine, plain or platform.")),
    };
    println!("{address}");
    std::io::stdin().read_to_end(&mut Vec::new())?;
    Ok(())
}
