//! Plays the cases of the second review: `case NAME`, with `TROUBLE=0` for the same without
//! the disruption. Exits with 1 where the rule was broken, 0 where it held, and 2 where the
//! case could not run.

mod cases;
mod daemon;
mod engine;
mod http;
mod json;
mod link;
mod narrow;
mod record;
mod store;

use std::process::exit;

/// What a case found.
pub enum Verdict {
    Held,
    Broken,
    NotRun(String),
}

fn main() {
    let name = std::env::args().nth(1).unwrap_or_default();
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = record::Record::new();
    record.line(&format!("case {name}, trouble {trouble}"));
    // No case takes as long; whatever hangs, no process stays behind.
    std::thread::spawn(|| {
        std::thread::sleep(std::time::Duration::from_secs(90));
        daemon::kill_all();
        exit(2);
    });
    let verdict = match name.as_str() {
        "slow-readers" => cases::slow_readers::run(&record, trouble),
        "silent-store" => cases::silent_store::run(&record, trouble),
        "crowd" => cases::crowd::run(&record, trouble),
        "door" => cases::door::run(&record, trouble),
        "revoked-key" => cases::revoked_key::run(&record, trouble),
        _ => Verdict::NotRun(format!("no case '{name}'")),
    };
    let (code, text) = match verdict {
        Verdict::Held => (0, "the rule held".to_owned()),
        Verdict::Broken => (1, "the rule was broken".to_owned()),
        Verdict::NotRun(why) => (2, format!("the case could not run: {why}")),
    };
    record.line(&text);
    println!("{text}");
    exit(code);
}
