//! A simulation of the platform's table, with outages.

use std::collections::BTreeMap;
use std::sync::Arc;

use rosemarypond_core::claim::{Read, Record, Version, Write};
use rosemarypond_core::config::{self, Document};
use rosemarypond_core::request::Key;

#[derive(Debug)]
pub struct Table {
    /// Whether a write takes effect only on the expected version.
    pub conditional: bool,
    pub down: bool,
    pub rows: BTreeMap<(String, String), (Version, Record)>,
    pub config: Option<(config::Version, Arc<Document>)>,
    pub reads: u64,
    pub writes: u64,
}

impl Default for Table {
    fn default() -> Self {
        Self {
            conditional: true,
            down: false,
            rows: BTreeMap::new(),
            config: None,
            reads: 0,
            writes: 0,
        }
    }
}

fn row(key: &Key) -> (String, String) {
    (key.team.to_string(), key.text.clone())
}

impl Table {
    pub fn read(&mut self, key: &Key) -> Read {
        self.reads += 1;
        if self.down {
            return Read::Lost;
        }
        Read::Found(self.rows.get(&row(key)).copied())
    }

    pub fn write(&mut self, key: &Key, expected: Version, record: Record) -> Write {
        self.writes += 1;
        if self.down {
            return Write::Lost;
        }
        let row = row(key);
        let current = self.rows.get(&row).map_or(0, |(version, _)| *version);
        if current != expected && self.conditional {
            return Write::Conflict;
        }
        self.rows.insert(row, (current + 1, record));
        Write::Done(current + 1)
    }

    /// Stores a configuration if the current version is `expected`, and returns
    /// whether it did.
    pub fn configure(&mut self, expected: config::Version, document: Document) -> bool {
        let current = self.config.as_ref().map(|(v, _)| *v).unwrap_or_default();
        if self.down || current != expected {
            return false;
        }
        self.config = Some((config::Version(current.0 + 1), Arc::new(document)));
        true
    }
}
