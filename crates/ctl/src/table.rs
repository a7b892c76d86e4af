//! Formats answers as tables for people, or as JSON for programs.

use serde_json::Value;

/// Formats an answer as JSON or, without `json`, as a table or lines of text.
pub fn render(answer: &Value, json: bool) -> String {
    if json {
        return format!("{answer}\n");
    }
    let Some(columns) = answer["columns"].as_array() else { return format_fields(answer) };
    let columns: Vec<_> = columns.iter().filter_map(Value::as_str).collect();
    let rows: Vec<Vec<String>> = answer["rows"]
        .as_array()
        .into_iter()
        .flatten()
        .map(|row| columns.iter().map(|column| cell(&row[*column])).collect())
        .collect();
    let mut text = if rows.is_empty() { String::new() } else { format_rows(&columns, &rows) };
    text.push_str(&format!("{} rows\n", answer["count"]));
    for instance in answer["silent"].as_array().into_iter().flatten() {
        text.push_str(&format!("no answer from {}\n", cell(instance)));
    }
    text
}

fn format_rows(columns: &[&str], rows: &[Vec<String>]) -> String {
    let width = |index: usize| {
        let cells = rows.iter().map(|row| row[index].chars().count());
        cells.max().unwrap_or(0).max(columns[index].len())
    };
    let widths: Vec<_> = (0..columns.len()).map(width).collect();
    let line = |cells: &mut dyn Iterator<Item = &str>| {
        let padded = cells.zip(&widths).map(|(cell, width)| format!("{cell:width$}"));
        padded.collect::<Vec<_>>().join("  ").trim_end().to_owned() + "\n"
    };
    let mut text = line(&mut columns.iter().copied());
    for row in rows {
        text.push_str(&line(&mut row.iter().map(String::as_str)));
    }
    text
}

/// Formats an answer without rows: each key with its value, and the lines of lists.
fn format_fields(answer: &Value) -> String {
    let mut text = String::new();
    for (key, value) in answer.as_object().into_iter().flatten() {
        match value.as_array() {
            Some(list) => {
                for line in list {
                    text.push_str(&format!("{}\n", cell(line)));
                }
            }
            None => text.push_str(&format!("{key} {}\n", cell(value))),
        }
    }
    text
}

fn cell(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".to_owned(),
        other => other.to_string(),
    }
}
