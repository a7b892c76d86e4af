//! Commands: drains, resolved keys and changes of the configuration.

use rosemarypond_core::change;
use rosemarypond_core::claim::State;
use rosemarypond_core::config::{Document, Version};
use rosemarypond_core::event::Event;
use rosemarypond_core::language::{Change, Command, Entry, Target};
use rosemarypond_core::request::Key;
use serde_json::json;

use super::{Api, COMMAND_PATH, Operator, Response};
use crate::platform;

impl Api {
    pub(super) async fn execute(
        &self,
        operator: &Operator,
        sentence: &str,
        command: Command,
    ) -> Response {
        match command {
            Command::Drain { target: Target::Instance, id, out } => {
                self.drain_instance(operator, sentence, &id, out).await
            }
            Command::Drain { target: Target::Upstream, id, out } => {
                let (field, value) = ("leaving".to_owned(), out.to_string());
                let change = Change::Set { entry: Entry::Upstream, id, field, value };
                self.change(operator, &change, false, None).await
            }
            Command::Resolve { team, key, ran } => self.resolve(&team, key, ran).await,
            Command::Change { change, dry_run, version } => {
                self.change(operator, &change, dry_run, version.map(Version)).await
            }
        }
    }

    async fn drain_instance(
        &self,
        operator: &Operator,
        sentence: &str,
        id: &str,
        out: bool,
    ) -> Response {
        if id == self.own.instance.as_str() {
            self.handle.event(if out { Event::Drain } else { Event::Undrain });
            return Response::ok(json!({ "instance": id, "draining": out }));
        }
        let Some(to) = self.others().into_iter().find(|l| l.instance.as_str() == id) else {
            return Response::error(404, format!("The platform lists no instance '{id}'."));
        };
        let response = self.forward(operator, &to, COMMAND_PATH, sentence).await;
        let silent = || Response::error(504, format!("The instance '{id}' gave no answer."));
        response.unwrap_or_else(silent)
    }

    /// Records whether the request of a key ran, which an operator has checked at
    /// the upstream.
    async fn resolve(&self, team: &str, key: String, ran: bool) -> Response {
        let Ok(team) = team.parse() else {
            return Response::error(400, format!("'{team}' is no team."));
        };
        let state = if ran { State::Done } else { State::Closed };
        let key = Key { team, text: key, fingerprint: 0 };
        match self.platform.resolve(&key, state).await {
            Ok(true) => Response::ok(json!({ "key": key.text, "ran": ran })),
            Ok(false) => Response::error(409, "The key has no request without a known end."),
            Err(e) => Response::error(503, e),
        }
    }

    async fn change(
        &self,
        operator: &Operator,
        change: &Change,
        dry_run: bool,
        expected: Option<Version>,
    ) -> Response {
        let (version, old) = match self.platform.config_newer_than(Version::default()).await {
            Ok(Some(found)) => found,
            Ok(None) => return Response::error(409, "There is no configuration yet."),
            Err(e) => return Response::error(503, e),
        };
        if let Some(expected) = expected.filter(|expected| *expected != version) {
            return self.conflict(expected, None).await;
        }
        let new = match change::apply(&old, change) {
            Ok(new) => new,
            Err(e) => return Response::error(400, e),
        };
        let difference = change::difference(&old, &new);
        if dry_run {
            return Response::ok(
                json!({ "version": version, "dry_run": true, "difference": difference }),
            );
        }
        let name = operator.id.to_string();
        match self.platform.put_config(version, &new, &name).await {
            Ok(version) => Response::ok(json!({ "version": version, "difference": difference })),
            Err(platform::Error::Conflict(_)) => self.conflict(version, Some(&old)).await,
            Err(e) => {
                let warning = "The change may or may not be in force; look at the version";
                Response::error(503, format!("{warning}. {e}"))
            }
        }
    }

    /// Reports that another operator's change came first, and what it changed.
    async fn conflict(&self, expected: Version, old: Option<&Document>) -> Response {
        let current = self.platform.config_newer_than(Version::default()).await.ok().flatten();
        let version = current.as_ref().map(|(version, _)| *version);
        let changed = match (old, &current) {
            (Some(old), Some((_, new))) => change::difference(old, new),
            _ => Vec::new(),
        };
        let message = format!("The configuration is no longer at version {expected}.");
        let body = json!({ "error": message, "version": version, "changed": changed });
        Response { status: 409, body }
    }
}
