//! Wrong settings are named with file, line and what was expected.

use std::path::PathBuf;
use std::process::Command;

use rosemarypond::settings::Settings;

const RIGHT: &str = r#"{
  // an instance of Osei
  "instance": "a1",
  "zone": "accra-a",
  "http": "127.0.0.1:8080",
  "peer": "127.0.0.1:8081",
  "platform": "127.0.0.1:9000", /* the stand-in */
  "max_body": "64 KiB",
  "poll": "2 s"
}"#;

fn wrong(from: &str, to: &str, line: usize, expected: &str) {
    let text = RIGHT.replacen(from, to, 1);
    assert_ne!(text, RIGHT, "the case changes nothing");
    let error = Settings::parse("a1.json", text).expect_err("wrong settings").to_string();
    assert!(error.starts_with(&format!("a1.json:{line}: ")), "{error}");
    assert!(error.contains(expected), "{error}");
}

/// Runs the program with `--check`; gives its exit status and errors.
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
    assert_eq!(check("right.json", RIGHT).0, Some(0));
    let (status, errors) = check("wrong.json", &RIGHT.replace("2 s", "2"));
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
    right => assert!(Settings::parse("a1.json", RIGHT).is_ok());
    unknown_key => wrong("\"zone\"", "\"zones\"", 4, "unknown field `zones`, expected one of");
    missing_unit => wrong("2 s", "2", 9, "expected a number with ms, s or min");
    wrong_unit => wrong("64 KiB", "64 s", 8, "expected a number with B, KiB or MiB");
    huge_size => wrong("64 KiB", "99999999999999999999 KiB", 8, "is not a size");
    no_address => wrong("127.0.0.1:8080", "localhost", 5, "invalid socket address");
    empty_id => wrong("\"a1\"", "\"\"", 3, "must not be empty");
    key_twice => wrong("\"poll\": \"2 s\"", "\"poll\": \"2 s\", \"poll\": \"3 s\"", 9, "duplicate field `poll`");
    addresses_clash => wrong("127.0.0.1:8081", "127.0.0.1:8080", 6, "expected different ones");
    zero_poll => wrong("2 s", "0 s", 9, "expected 1 ms or more");
    broken_json => wrong("\"accra-a\",", "\"accra-a\"", 5, "expected `,` or `}`");
    missing_file => names_a_missing_file();
    command_line => checks_from_the_command_line();
}

/// The cause of an unreadable file is told once.
#[test]
fn unreadable_file_is_explained_once() {
    let error = Settings::load("no/such/file.json").expect_err("there is no such file");
    let told = format!("{:#}", eyre::Report::new(error));
    assert_eq!(told.matches("No such file").count(), 1, "{told}");
}
