//! Storing the configuration in the platform's table: parts, concurrent writes
//! and lost answers.

use std::net::SocketAddr;

use rosemarypond::platform::{Client, Error};
use rosemarypond_core::config::{Document, Team, Tier, Version, digest};
use rosemarypond_edge::thread::Runtime;
use rosemarypond_standin::platform::{Faults, Platform};

macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {
        $(#[test] fn $name() { $body })*
    };
}

fn document(teams: usize) -> Document {
    let team = |n: usize| Team {
        id: format!("team-{n:05}").parse().expect("a valid id"),
        tier: "proof".parse().expect("a valid id"),
        credential_sha256: digest(format!("credential-{n}")),
    };
    Document {
        tiers: vec![Tier { id: "proof".parse().expect("a valid id"), deadline_ms: 1_000 }],
        teams: (0..teams).map(team).collect(),
        ..Document::default()
    }
}

fn sorted(mut document: Document) -> Document {
    document.teams.sort_by(|a, b| a.id.cmp(&b.id));
    document
}

/// A client whose calls block until the answer is there.
struct Blocking {
    client: Client,
    runtime: Runtime,
}

impl Blocking {
    fn new(platform: SocketAddr) -> Self {
        Self { client: Client::new(platform), runtime: Runtime::new().expect("a runtime starts") }
    }

    fn put_config(
        &self,
        expected: Version,
        document: &Document,
        operator: &str,
    ) -> Result<Version, Error> {
        self.runtime.block_on(self.client.put_config(expected, document, operator))
    }

    fn config_newer_than(&self, known: Version) -> Result<Option<(Version, Document)>, Error> {
        self.runtime.block_on(self.client.config_newer_than(known))
    }
}

fn start() -> (Platform, Blocking) {
    let platform = Platform::start().expect("a port is free");
    let client = Blocking::new(platform.address);
    (platform, client)
}

fn read(client: &Blocking) -> (Version, Document) {
    let found = client.config_newer_than(Version::default()).expect("the platform answers");
    let (version, document) = found.expect("there is a configuration");
    (version, sorted(document))
}

fn reads_back_what_was_written() {
    let (platform, client) = start();
    let document = document(1_000);
    assert_eq!(client.put_config(Version(0), &document, "ama"), Ok(Version(1)));
    let other = Blocking::new(platform.address);
    assert_eq!(read(&other), (Version(1), document));
}

/// A change of one team of 5,000 writes and reads only one part, the index and the
/// head.
fn rewrites_only_changed_rows() {
    let (platform, client) = start();
    let mut document = document(5_000);
    client.put_config(Version(0), &document, "ama").expect("it is accepted");
    let other = Blocking::new(platform.address);
    read(&client);
    read(&other);
    let (reads, writes) = platform.request_counts();
    document.teams[17].credential_sha256 = digest("a new credential");
    client.put_config(Version(1), &document, "ama").expect("it is accepted");
    assert_eq!(platform.request_counts().1 - writes, 3);
    assert_eq!(read(&other), (Version(2), document));
    assert_eq!(platform.request_counts().0 - reads, 3);
}

fn reports_a_conflict_to_the_later_operator() {
    let (platform, client) = start();
    let other = Blocking::new(platform.address);
    client.put_config(Version(0), &document(1), "ama").expect("it is accepted");
    assert_eq!(client.put_config(Version(1), &document(2), "ama"), Ok(Version(2)));
    let late = other.put_config(Version(1), &document(3), "kofi");
    assert_eq!(late, Err(Error::Conflict(2)));
    assert_eq!(read(&other), (Version(2), document(2)));
}

fn checks_a_write_whose_answer_was_lost() {
    let (platform, client) = start();
    platform.set_faults(Faults { lost_answers: 3, ..Faults::default() });
    assert_eq!(client.put_config(Version(0), &document(1), "ama"), Ok(Version(1)));
    assert_eq!(read(&client), (Version(1), document(1)));
}

fn reports_an_outage() {
    let (platform, client) = start();
    platform.set_faults(Faults { down: true, ..Faults::default() });
    let refused = client.put_config(Version(0), &document(1), "ama");
    assert!(matches!(refused, Err(Error::Lost(_))), "{refused:?}");
}

cases! {
    written_configuration_is_read_back => reads_back_what_was_written();
    small_change_rewrites_three_rows => rewrites_only_changed_rows();
    later_of_two_operators_gets_a_conflict => reports_a_conflict_to_the_later_operator();
    lost_answer_of_a_write_is_checked => checks_a_write_whose_answer_was_lost();
    outage_is_reported => reports_an_outage();
}
