//! A small JSON reader, and base64, for the store stand-in.

use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Value>),
    Object(BTreeMap<String, Value>),
}

impl Value {
    pub fn get(&self, name: &str) -> &Value {
        const NULL: Value = Value::Null;
        match self {
            Value::Object(fields) => fields.get(name).unwrap_or(&NULL),
            _ => &NULL,
        }
    }

    pub fn list(&self) -> &[Value] {
        match self {
            Value::List(items) => items,
            _ => &[],
        }
    }

    pub fn text(&self) -> String {
        match self {
            Value::Text(text) => text.clone(),
            _ => String::new(),
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Value::Number(number) => *number as u64,
            _ => 0,
        }
    }
}

pub fn parse(text: &str) -> Option<Value> {
    let mut reader = Reader { bytes: text.as_bytes(), at: 0 };
    reader.value()
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn skip(&mut self) {
        while self.at < self.bytes.len() && self.bytes[self.at].is_ascii_whitespace() {
            self.at += 1;
        }
    }

    fn take(&mut self, byte: u8) -> bool {
        self.skip();
        let found = self.bytes.get(self.at) == Some(&byte);
        self.at += usize::from(found);
        found
    }

    fn word(&mut self, word: &str) -> bool {
        let found = self.bytes[self.at..].starts_with(word.as_bytes());
        self.at += if found { word.len() } else { 0 };
        found
    }

    fn value(&mut self) -> Option<Value> {
        self.skip();
        match *self.bytes.get(self.at)? {
            b'{' => self.object(),
            b'[' => self.list(),
            b'"' => self.string().map(Value::Text),
            b't' => self.word("true").then_some(Value::Bool(true)),
            b'f' => self.word("false").then_some(Value::Bool(false)),
            b'n' => self.word("null").then_some(Value::Null),
            _ => {
                let start = self.at;
                while self.at < self.bytes.len() && b"+-.0123456789eE".contains(&self.bytes[self.at]) {
                    self.at += 1;
                }
                std::str::from_utf8(&self.bytes[start..self.at]).ok()?.parse().ok().map(Value::Number)
            }
        }
    }

    fn object(&mut self) -> Option<Value> {
        self.at += 1;
        let mut fields = BTreeMap::new();
        if self.take(b'}') {
            return Some(Value::Object(fields));
        }
        loop {
            self.skip();
            let name = self.string()?;
            if !self.take(b':') {
                return None;
            }
            fields.insert(name, self.value()?);
            if self.take(b'}') {
                return Some(Value::Object(fields));
            }
            if !self.take(b',') {
                return None;
            }
        }
    }

    fn list(&mut self) -> Option<Value> {
        self.at += 1;
        let mut items = Vec::new();
        if self.take(b']') {
            return Some(Value::List(items));
        }
        loop {
            items.push(self.value()?);
            if self.take(b']') {
                return Some(Value::List(items));
            }
            if !self.take(b',') {
                return None;
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        if !self.take(b'"') {
            return None;
        }
        let mut text = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(text).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => text.push(b'\n'),
                        b't' => text.push(b'\t'),
                        b'r' => text.push(b'\r'),
                        b'u' => {
                            let digits = std::str::from_utf8(self.bytes.get(self.at..self.at + 4)?).ok()?;
                            let code = u32::from_str_radix(digits, 16).ok()?;
                            self.at += 4;
                            let mut buffer = [0; 4];
                            let c = char::from_u32(code).unwrap_or('?');
                            text.extend_from_slice(c.encode_utf8(&mut buffer).as_bytes());
                        }
                        other => text.push(other),
                    }
                }
                other => text.push(other),
            }
        }
    }
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn encode_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = (u32::from(chunk[0]) << 16)
            | (u32::from(*chunk.get(1).unwrap_or(&0)) << 8)
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for index in 0..4 {
            if index <= chunk.len() {
                text.push(char::from(ALPHABET[(word >> (18 - 6 * index)) as usize & 63]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

pub fn decode_base64(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let mut word = 0u32;
    let mut bits = 0;
    for byte in text.bytes().filter(|byte| *byte != b'=') {
        let Some(value) = ALPHABET.iter().position(|b| *b == byte) else { continue };
        word = (word << 6) | value as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((word >> bits) as u8);
        }
    }
    bytes
}
