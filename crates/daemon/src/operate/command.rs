//! Commands: drains, and changes of the configuration.

use rosemarypond_core::change;
use rosemarypond_core::claim::State;
use rosemarypond_core::config::{Document, Version};
use rosemarypond_core::event::Event;
use rosemarypond_core::language::{Change, Command, Entry, Target};
use rosemarypond_core::request::Key;
use serde_json::json;

use super::{COMMAND_PATH, Operate, Operator, Outcome};
use crate::platform;

impl Operate {
    pub(super) async fn execute(
        &self,
        operator: &Operator,
        sentence: &str,
        command: Command,
    ) -> Outcome {
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
    ) -> Outcome {
        if id == self.own.instance.as_str() {
            self.handle.event(if out { Event::Drain } else { Event::Undrain });
            return Outcome::ok(json!({ "instance": id, "draining": out }));
        }
        let Some(to) = self.others().into_iter().find(|l| l.instance.as_str() == id) else {
            return Outcome::error(404, format!("The platform lists no instance '{id}'."));
        };
        let outcome = self.forward(operator, &to, COMMAND_PATH, sentence).await;
        let silent = || Outcome::error(504, format!("The instance '{id}' gave no answer."));
        outcome.unwrap_or_else(silent)
    }

    /// Settles a key that an operator has looked into at the upstream.
    async fn resolve(&self, team: &str, key: String, ran: bool) -> Outcome {
        let Ok(team) = team.parse() else {
            return Outcome::error(400, format!("'{team}' is no team."));
        };
        let state = if ran { State::Done } else { State::Closed };
        let key = Key { team, text: key, fingerprint: 0 };
        match self.platform.resolve(&key, state).await {
            Ok(true) => Outcome::ok(json!({ "key": key.text, "ran": ran })),
            Ok(false) => Outcome::error(409, "The key has no request without a known end."),
            Err(e) => Outcome::error(503, e),
        }
    }

    async fn change(
        &self,
        operator: &Operator,
        change: &Change,
        dry_run: bool,
        seen: Option<Version>,
    ) -> Outcome {
        let (version, old) = match self.platform.config_above(Version::default()).await {
            Ok(Some(found)) => found,
            Ok(None) => return Outcome::error(409, "There is no configuration yet."),
            Err(e) => return Outcome::error(503, e),
        };
        if let Some(seen) = seen.filter(|seen| *seen != version) {
            return self.conflict(seen, None).await;
        }
        let new = match change::apply(&old, change) {
            Ok(new) => new,
            Err(e) => return Outcome::error(400, e),
        };
        let difference = change::difference(&old, &new);
        if dry_run {
            return Outcome::ok(
                json!({ "version": version, "dry_run": true, "difference": difference }),
            );
        }
        let name = operator.id.to_string();
        match self.platform.put_config(version, &new, &name).await {
            Ok(version) => Outcome::ok(json!({ "version": version, "difference": difference })),
            Err(platform::Error::Conflict(_)) => self.conflict(version, Some(&old)).await,
            Err(e) => {
                let unsure = "The change may or may not be in force; look at the version";
                Outcome::error(503, format!("{unsure}. {e}"))
            }
        }
    }

    /// Tells an operator that another one was faster, and what changed.
    async fn conflict(&self, seen: Version, old: Option<&Document>) -> Outcome {
        let current = self.platform.config_above(Version::default()).await.ok().flatten();
        let version = current.as_ref().map(|(version, _)| *version);
        let changed = match (old, &current) {
            (Some(old), Some((_, new))) => change::difference(old, new),
            _ => Vec::new(),
        };
        let message = format!("The configuration is no longer at version {seen}.");
        let body = json!({ "error": message, "version": version, "changed": changed });
        Outcome { status: 409, body }
    }
}
