//! Errors in settings name the file, the line and what was expected.

use std::path::PathBuf;
use std::process::Command;

use rosemarypond::settings::Settings;

const VALID: &str = r#"{
  // an instance of Osei
  "instance": "a1",
  "zone": "accra-a",
  "http": "127.0.0.1:8080",
  "peer": "127.0.0.1:8081",
  "platform": "127.0.0.1:9000", /* the stand-in */
  "max_body": "64 KiB",
  "poll": "2 s"
}"#;

fn assert_rejected(from: &str, to: &str, line: usize, expected: &str) {
    let text = VALID.replacen(from, to, 1);
    assert_ne!(text, VALID, "the replacement must change the settings");
    let error = Settings::parse("a1.json", text).expect_err("the settings are invalid").to_string();
    assert!(error.starts_with(&format!("a1.json:{line}: ")), "{error}");
    assert!(error.contains(expected), "{error}");
}

/// Runs the program with `--check` and returns its exit status and errors.
fn check(name: &str, text: &str) -> (Option<i32>, String) {
    let path: PathBuf =
        std::env::temp_dir().join(format!("rosemarypond-check-{}-{name}", std::process::id()));
    std::fs::write(&path, text).expect("the file can be written");
    let mut command = Command::new(env!("CARGO_BIN_EXE_rosemarypond"));
    let output = command.arg("--check").arg(&path).output().expect("the program runs");
    let _ = std::fs::remove_file(&path);
    (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
}

fn checks_from_the_command_line() {
    assert_eq!(check("right.json", VALID).0, Some(0));
    let (status, errors) = check("wrong.json", &VALID.replace("2 s", "2"));
    assert_eq!(status, Some(2), "{errors}");
    assert!(errors.contains("wrong.json:9: "), "{errors}");
}

fn names_a_missing_file() {
    let error = Settings::load("nowhere.json").expect_err("there is no file").to_string();
    assert!(error.contains("'nowhere.json' cannot be read"), "{error}");
}

macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {
        $(#[test] fn $name() { $body })*
    };
}

cases! {
    valid_settings => assert!(Settings::parse("a1.json", VALID).is_ok());
    unknown_key => assert_rejected("\"zone\"", "\"zones\"", 4, "unknown field `zones`, expected one of");
    missing_unit => assert_rejected("2 s", "2", 9, "expected a number with ms, s or min");
    wrong_unit => assert_rejected("64 KiB", "64 s", 8, "expected a number with B, KiB or MiB");
    size_overflow => assert_rejected("64 KiB", "99999999999999999999 KiB", 8, "is not a size");
    invalid_address => assert_rejected("127.0.0.1:8080", "localhost", 5, "invalid socket address");
    empty_id => assert_rejected("\"a1\"", "\"\"", 3, "must not be empty");
    duplicate_key => assert_rejected("\"poll\": \"2 s\"", "\"poll\": \"2 s\", \"poll\": \"3 s\"", 9, "duplicate field `poll`");
    duplicate_address => assert_rejected("127.0.0.1:8081", "127.0.0.1:8080", 6, "expected different ones");
    zero_poll => assert_rejected("2 s", "0 s", 9, "expected 1 ms or more");
    invalid_json => assert_rejected("\"accra-a\",", "\"accra-a\"", 5, "expected `,` or `}`");
    missing_file => names_a_missing_file();
    check_flag => checks_from_the_command_line();
}

/// The message for an unreadable file names the cause exactly once.
#[test]
fn unreadable_file_error_names_its_cause_once() {
    let error = Settings::load("no/such/file.json").expect_err("there is no such file");
    let message = format!("{:#}", eyre::Report::new(error));
    assert_eq!(message.matches("No such file").count(), 1, "{message}");
}
