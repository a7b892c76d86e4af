//! The configuration in the platform's table: parts, races and lost answers.

use std::net::SocketAddr;

use rosemarypond::platform::{Client, Error};
use rosemarypond_core::config::{Document, Team, Tier, Version, digest};
use rosemarypond_edge::thread::LocalRuntime;
use rosemarypond_standin::platform::{Faults, Platform};

macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {
        $(#[test] fn $name() { $body })*
    };
}

fn document(teams: usize) -> Document {
    let team = |n: usize| Team {
        id: format!("team-{n:05}").parse().expect("an id"),
        tier: "proof".parse().expect("an id"),
        credential_sha256: digest(format!("credential-{n}")),
    };
    Document {
        tiers: vec![Tier { id: "proof".parse().expect("an id"), deadline_ms: 1_000 }],
        teams: (0..teams).map(team).collect(),
        ..Document::default()
    }
}

fn sorted(mut document: Document) -> Document {
    document.teams.sort_by(|a, b| a.id.cmp(&b.id));
    document
}

/// A client on a thread that waits for its answers.
struct Waiting {
    client: Client,
    thread: LocalRuntime,
}

impl Waiting {
    fn new(platform: SocketAddr) -> Self {
        Self { client: Client::new(platform), thread: LocalRuntime::new().expect("a runtime") }
    }

    fn put_config(
        &self,
        expected: Version,
        document: &Document,
        operator: &str,
    ) -> Result<Version, Error> {
        self.thread.block_on(self.client.put_config(expected, document, operator))
    }

    fn config_newer_than(&self, known: Version) -> Result<Option<(Version, Document)>, Error> {
        self.thread.block_on(self.client.config_newer_than(known))
    }
}

fn start() -> (Platform, Waiting) {
    let platform = Platform::start().expect("a port");
    let client = Waiting::new(platform.address);
    (platform, client)
}

fn read(client: &Waiting) -> (Version, Document) {
    let found = client.config_newer_than(Version::default()).expect("the platform answers");
    let (version, document) = found.expect("there is a configuration");
    (version, sorted(document))
}

fn comes_back_as_it_was() {
    let (platform, client) = start();
    let document = document(1_000);
    assert_eq!(client.put_config(Version(0), &document, "ama"), Ok(Version(1)));
    let other = Waiting::new(platform.address);
    assert_eq!(read(&other), (Version(1), document));
}

/// One team of 5,000 changes: one part, the index and the head are written and
/// read.
fn a_small_change_costs_little() {
    let (platform, client) = start();
    let mut document = document(5_000);
    client.put_config(Version(0), &document, "ama").expect("it is accepted");
    let other = Waiting::new(platform.address);
    read(&client);
    read(&other);
    let (reads, writes) = platform.traffic();
    document.teams[17].credential_sha256 = digest("a new credential");
    client.put_config(Version(1), &document, "ama").expect("it is accepted");
    assert_eq!(platform.traffic().1 - writes, 3);
    assert_eq!(read(&other), (Version(2), document));
    assert_eq!(platform.traffic().0 - reads, 3);
}

fn one_of_two_operators_wins() {
    let (platform, client) = start();
    let other = Waiting::new(platform.address);
    client.put_config(Version(0), &document(1), "ama").expect("it is accepted");
    assert_eq!(client.put_config(Version(1), &document(2), "ama"), Ok(Version(2)));
    let late = other.put_config(Version(1), &document(3), "kofi");
    assert_eq!(late, Err(Error::Conflict(2)));
    assert_eq!(read(&other), (Version(2), document(2)));
}

fn a_lost_answer_is_looked_up() {
    let (platform, client) = start();
    platform.set(Faults { lost_answers: 3, ..Faults::default() });
    assert_eq!(client.put_config(Version(0), &document(1), "ama"), Ok(Version(1)));
    assert_eq!(read(&client), (Version(1), document(1)));
}

fn an_outage_is_told() {
    let (platform, client) = start();
    platform.set(Faults { down: true, ..Faults::default() });
    let refused = client.put_config(Version(0), &document(1), "ama");
    assert!(matches!(refused, Err(Error::Lost(_))), "{refused:?}");
}

cases! {
    round_trip => comes_back_as_it_was();
    small_change => a_small_change_costs_little();
    two_operators => one_of_two_operators_wins();
    lost_answer => a_lost_answer_is_looked_up();
    outage => an_outage_is_told();
}
