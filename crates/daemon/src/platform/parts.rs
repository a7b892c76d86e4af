//! Splits a configuration into rows of the table, so that a change of one team
//! rewrites one small row and instances read only the rows that have changed.

use rosemarypond_core::config::{Document, digest};
use rosemarypond_core::hash::stable_hash;
use serde_json::{Value, json};

/// The teams per row, on average at most.
const TEAMS_PER_PART: usize = 256;

/// Splits a document into parts, each with a row name made from its content.
pub(super) fn split(document: &Document) -> Vec<(String, Value)> {
    let count = document.teams.len() / TEAMS_PER_PART + 1;
    let mut teams = vec![Vec::new(); count.next_power_of_two()];
    for team in &document.teams {
        let index = stable_hash(team.id.as_str()) as usize % teams.len();
        teams[index].push(json!(team));
    }
    let rest = Document { teams: Vec::new(), ..document.clone() };
    let teams = teams.into_iter().map(|teams| json!({ "teams": teams }));
    let parts = std::iter::once(json!(rest)).chain(teams);
    parts.map(|part| named("part", part)).collect()
}

/// Returns a row name made from the content, and the content.
pub(super) fn named(kind: &str, content: Value) -> (String, Value) {
    (format!("config/{kind}-{}", digest(content.to_string())), content)
}

/// Joins parts into a document.
///
/// # Errors
///
/// Where a part is malformed.
pub(super) fn join<'a>(
    parts: impl IntoIterator<Item = &'a str>,
) -> Result<Document, serde_json::Error> {
    let mut whole = Document::default();
    for part in parts {
        whole.append(serde_json::from_str(part)?);
    }
    Ok(whole)
}
