//! Configuration changes that operators request.

use serde_json::{Map, Value};

use crate::config::{self, Document};
use crate::language::{Change, Entry};

/// Why a change is rejected.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The entry does not exist.
    #[error("There is no entry '{0}'.")]
    Missing(String),
    /// The text of an entry is not a JSON object.
    #[error("The entry is no JSON object: {0}.")]
    Json(String),
    /// The changed document is invalid.
    #[error(transparent)]
    Config(#[from] config::Error),
}

/// Applies a change to a document and validates the result.
///
/// # Errors
///
/// Where the entry does not exist, the text of a new entry is not a JSON object,
/// or the changed document is invalid.
///
/// ```
/// use rosemarypond_core::change::{Error, apply};
/// use rosemarypond_core::config::Document;
/// use rosemarypond_core::language::{Change, Entry};
/// let change = Change::Remove { entry: Entry::Tier, id: "draft".into() };
/// assert_eq!(apply(&Document::default(), &change), Err(Error::Missing("draft".into())));
/// ```
pub fn apply(document: &Document, change: &Change) -> Result<Document, Error> {
    let mut value = serde_json::to_value(document).expect("a document always serializes");
    match change {
        Change::Set { entry, id, field, value: text } => {
            let object = find_entry(&mut value, *entry, id)?;
            object.insert(field.clone(), parse_value(text));
        }
        Change::Add { entry, json } => {
            let object: Map<String, Value> =
                serde_json::from_str(json).map_err(|e| Error::Json(e.to_string()))?;
            section(&mut value, *entry).push(Value::Object(object));
        }
        Change::Remove { entry, id } => {
            find_entry(&mut value, *entry, id)?;
            let (_, key) = entry.section_and_key();
            section(&mut value, *entry).retain(|e| e[key] != id.as_str());
        }
    }
    Ok(Document::parse(value.to_string())?)
}

/// Parses a word as JSON, such as a number or a boolean, or else as a string.
fn parse_value(text: &str) -> Value {
    serde_json::from_str(text).unwrap_or_else(|_| Value::String(text.to_owned()))
}

fn section(value: &mut Value, entry: Entry) -> &mut Vec<Value> {
    let (name, _) = entry.section_and_key();
    value[name].as_array_mut().expect("a document holds a list of each kind of entry")
}

fn find_entry<'a>(
    value: &'a mut Value,
    entry: Entry,
    id: &str,
) -> Result<&'a mut Map<String, Value>, Error> {
    let (_, key) = entry.section_and_key();
    let found = section(value, entry).iter_mut().find(|e| e[key] == id);
    found.and_then(Value::as_object_mut).ok_or_else(|| Error::Missing(id.to_owned()))
}

/// Lists the tiers, teams, rules and upstreams that differ, one line each.
///
/// Entries of `old` alone come first and begin with `-`, those of `new` alone
/// begin with `+`.
///
/// ```
/// use rosemarypond_core::change::difference;
/// use rosemarypond_core::config::Document;
/// assert!(difference(&Document::default(), &Document::default()).is_empty());
/// ```
pub fn difference(old: &Document, new: &Document) -> Vec<String> {
    let entries = |document| {
        let value = serde_json::to_value(document).expect("a document always serializes");
        let lists = [Entry::Tier, Entry::Team, Entry::Rule, Entry::Upstream].map(|entry| {
            let (name, _) = entry.section_and_key();
            let lines = value[name].as_array().cloned().unwrap_or_default();
            lines.into_iter().map(move |line| format!("{name}: {line}")).collect::<Vec<_>>()
        });
        lists.concat()
    };
    let (old, new): (Vec<_>, Vec<_>) = (entries(old), entries(new));
    let removed = old.iter().filter(|line| !new.contains(line)).map(|line| format!("- {line}"));
    let added = new.iter().filter(|line| !old.contains(line)).map(|line| format!("+ {line}"));
    removed.chain(added).collect()
}
