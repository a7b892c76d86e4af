//! The cases of `review/11` to `review/13` that are scripts: `harness CASE FOLDER` runs one
//! and writes `record.txt` into its folder. `TROUBLE=0` leaves the disruption out.

#![allow(dead_code)]

mod http;
mod json;
mod platform;
mod rejected_twice;
mod refunds;
mod store;
mod switching;
mod zones_apart;

use std::path::Path;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: harness CASE FOLDER");
        std::process::exit(platform::NOT_RUN);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let folder = Path::new(folder);
    let status = match case.as_str() {
        "rejected-twice" => rejected_twice::run(folder, has_trouble),
        "zones-apart" => zones_apart::run(folder, has_trouble),
        "refunds" => refunds::run(folder, has_trouble),
        "switching" => switching::run(folder, has_trouble),
        _ => platform::NOT_RUN,
    };
    std::process::exit(status);
}
