//! Sentences of the operators' language, right and wrong.

use assert_matches::assert_matches;
use rosemarypond_core::language::{
    Change, Command, Comparison, Entry, Error, Query, Scope, Table, Target,
};

macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {
        $(#[test] fn $name() { $body })*
    };
}

fn query(sentence: &str) -> Query {
    sentence.parse().expect("a right sentence")
}

fn wrong<T: std::str::FromStr<Err = Error> + std::fmt::Debug>(sentence: &str) -> Error {
    sentence.parse::<T>().expect_err("a wrong sentence")
}

fn reads_a_whole_query() {
    let query = query(
        "show waiting where team = osei and age_ms > 500 order by age_ms desc limit 5 over zone",
    );
    assert_eq!((query.table, query.scope, query.limit), (Table::Waiting, Scope::Zone, Some(5)));
    let comparisons: Vec<_> = query.filters.iter().map(|f| f.comparison).collect();
    assert_eq!(comparisons, [Comparison::Is, Comparison::Above]);
    assert!(query.order.is_some_and(|order| order.descending));
}

fn points_at(sentence: &str, column: usize, expected: &str) {
    let error = wrong::<Query>(sentence);
    assert_eq!(error.column, column, "{error}");
    assert!(error.expected.contains(expected), "{error}");
}

fn reads_commands() {
    let drain = "drain instance a1".parse();
    assert_eq!(drain, Ok(Command::Drain { target: Target::Instance, id: "a1".into(), out: true }));
    let set = "dry run if version 3 set team osei tier proof".parse();
    assert_matches!(
        set,
        Ok(Command::Change {
            change: Change::Set { entry: Entry::Team, .. },
            dry_run: true,
            version: Some(3),
        })
    );
    let add = r#"add tier {"id":"x","deadline_ms":5}"#.parse();
    assert_matches!(add, Ok(Command::Change { change: Change::Add { .. }, .. }));
    let rule = "set rule /orders refused keep-key".parse::<Command>();
    assert_matches!(rule, Ok(Command::Change { .. }));
}

cases! {
    whole_query => reads_a_whole_query();
    unknown_verb => points_at("tell waiting", 1, "show or count");
    unknown_table => points_at("show widows", 6, "requests, waiting");
    half_a_filter => points_at("show waiting where team", 24, "=, !=, > or <");
    limit_without_number => points_at("show waiting limit many", 20, "whole number");
    unknown_scope => points_at("show config over moon", 18, "instance, zone or all");
    something_behind => points_at("show config please", 13, "nothing more");
    commands => reads_commands();
    query_is_no_command => assert_eq!(wrong::<Command>("show config").column, 1);
    command_is_no_query => assert_eq!(wrong::<Query>("drain instance a1").column, 1);
}
