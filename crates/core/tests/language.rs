//! Valid and invalid sentences of the operators' language.

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
    sentence.parse().expect("the sentence is valid")
}

fn parse_error<T: std::str::FromStr<Err = Error> + std::fmt::Debug>(sentence: &str) -> Error {
    sentence.parse::<T>().expect_err("the sentence is not valid")
}

fn parses_all_clauses() {
    let query = query(
        "show waiting where team = osei and age_ms > 500 order by age_ms desc limit 5 over zone",
    );
    assert_eq!((query.table, query.scope, query.limit), (Table::Waiting, Scope::Zone, Some(5)));
    let comparisons: Vec<_> = query.filters.iter().map(|f| f.comparison).collect();
    assert_eq!(comparisons, [Comparison::Is, Comparison::Above]);
    assert!(query.order.is_some_and(|order| order.descending));
}

fn error_is_at(sentence: &str, column: usize, expected: &str) {
    let error = parse_error::<Query>(sentence);
    assert_eq!(error.column, column, "{error}");
    assert!(error.expected.contains(expected), "{error}");
}

fn parses_commands() {
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
    query_with_all_clauses => parses_all_clauses();
    unknown_verb => error_is_at("tell waiting", 1, "show or count");
    unknown_table => error_is_at("show widows", 6, "requests, waiting");
    incomplete_filter => error_is_at("show waiting where team", 24, "=, !=, > or <");
    limit_without_number => error_is_at("show waiting limit many", 20, "whole number");
    unknown_scope => error_is_at("show config over moon", 18, "instance, zone or all");
    text_after_the_query => error_is_at("show config please", 13, "nothing more");
    commands => parses_commands();
    query_is_not_a_command => assert_eq!(parse_error::<Command>("show config").column, 1);
    command_is_not_a_query => assert_eq!(parse_error::<Query>("drain instance a1").column, 1);
}
