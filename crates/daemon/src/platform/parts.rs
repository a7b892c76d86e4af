//! A configuration as rows of the table: a change of one team rewrites one
//! small row, and instances read only the rows that they do not know.

use rosemarypond_core::config::{Document, digest};
use rosemarypond_core::queue::spread;
use serde_json::{Map, Value, json};

/// About how many teams share a row.
const TEAMS_PER_PART: usize = 256;

/// The parts of a document, each with a name made from its content.
pub(super) fn split(document: &Document) -> Vec<(String, Value)> {
    let count = document.teams.len() / TEAMS_PER_PART + 1;
    let mut teams = vec![Vec::new(); count.next_power_of_two()];
    for team in &document.teams {
        let place = spread(team.id.as_str()) as usize % teams.len();
        teams[place].push(json!(team));
    }
    let rest = Document { teams: Vec::new(), ..document.clone() };
    let teams = teams.into_iter().map(|teams| json!({ "teams": teams }));
    let parts = std::iter::once(json!(rest)).chain(teams);
    parts.map(|part| (format!("config/part-{}", digest(part.to_string())), part)).collect()
}

/// The document that parts make up.
pub(super) fn join(parts: impl IntoIterator<Item = Value>) -> Value {
    let mut whole = Map::new();
    for part in parts {
        let Value::Object(fields) = part else { continue };
        for (name, value) in fields {
            match (whole.get_mut(&name).and_then(Value::as_array_mut), value) {
                (Some(list), Value::Array(more)) => list.extend(more),
                (_, value) => {
                    whole.insert(name, value);
                }
            }
        }
    }
    Value::Object(whole)
}
