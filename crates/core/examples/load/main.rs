//! Measures the scheduler under load on virtual time, and compares it with
//! baseline policies.

#[path = "../support/mod.rs"]
mod support;

mod report;
mod scenario;
mod workload;

use clap::{Arg, ArgAction, Command, value_parser};

fn main() {
    let matches = Command::new("load")
        .about("Measures goodput by tier and wasted prefill on virtual time")
        .arg(
            Arg::new("seed")
                .long("seed")
                .default_value("1")
                .value_parser(value_parser!(u64))
                .help("The first seed"),
        )
        .arg(
            Arg::new("seeds")
                .long("seeds")
                .default_value("1")
                .value_parser(value_parser!(u64))
                .help("The number of seeds"),
        )
        .arg(
            Arg::new("scenario")
                .long("scenario")
                .default_value("steady")
                .value_parser(scenario::NAMES.to_vec()),
        )
        .arg(
            Arg::new("load")
                .long("load")
                .default_value("150")
                .value_parser(value_parser!(u32))
                .help("The load, in percent of the capacity"),
        )
        .arg(
            Arg::new("site")
                .long("site")
                .default_value("osei")
                .value_parser(["osei", "shutterledger"]),
        )
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .default_value("120")
                .value_parser(value_parser!(u64)),
        )
        .arg(
            Arg::new("sharing")
                .long("sharing")
                .action(ArgAction::SetTrue)
                .help("Compare the ways of sharing an upstream's slots instead of the baselines"),
        )
        .arg(Arg::new("json").long("json").action(ArgAction::SetTrue))
        .get_matches();
    let seed: u64 = *matches.get_one("seed").expect("the argument has a default");
    let options = scenario::Options {
        name: matches.get_one::<String>("scenario").expect("the argument has a default").clone(),
        site: matches.get_one::<String>("site").expect("the argument has a default").clone(),
        load: f64::from(*matches.get_one::<u32>("load").expect("the argument has a default"))
            / 100.0,
        seconds: *matches.get_one("seconds").expect("the argument has a default"),
    };
    let seeds: u64 = *matches.get_one("seeds").expect("the argument has a default");
    let policies = report::policies(matches.get_flag("sharing"));
    let runs: Vec<_> = (seed..seed + seeds)
        .map(|seed| {
            let run = |(name, policy): &(&'static str, _)| {
                (*name, scenario::run(&options, seed, *policy))
            };
            report::Run { seed, tallies: policies.iter().map(run).collect() }
        })
        .collect();
    if matches.get_flag("json") {
        println!("{}", report::json(&options, &runs));
    } else {
        print!("{}", report::text(&options, &runs));
    }
}
