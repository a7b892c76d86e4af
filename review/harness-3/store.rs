//! A stand-in for the platform's store: rows, transactions and the feed of changes.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Message};
use crate::json::{self, Value};

#[derive(Clone, Debug)]
struct Content {
    version: u64,
    value: Option<Vec<u8>>,
}

type Place = (String, String, String);

#[derive(Clone, Default)]
struct Rows {
    version: u64,
    rows: BTreeMap<Place, Content>,
}

struct State {
    rows: Rows,
    era: u64,
    is_down: bool,
    /// What a reader gets for the address of an instance, in place of what is written.
    addresses: BTreeMap<(String, String), SocketAddr>,
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    started: Instant,
}

impl Store {
    pub fn new() -> Self {
        let state = State {
            rows: Rows::default(),
            era: 1,
            is_down: false,
            addresses: BTreeMap::new(),
        };
        Self { state: Arc::new((Mutex::new(state), Condvar::new())), started: Instant::now() }
    }

    /// Listens for one reader; `who` names it.
    pub fn listen(&self, who: &str) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("it has an address");
        let (store, who) = (self.clone(), who.to_owned());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, who) = (store.clone(), who.clone());
                thread::spawn(move || store.serve(stream, &who));
            }
        });
        address
    }

    /// Writes a row, or deletes it.
    pub fn set(&self, table: &str, key: &str, value: Option<&str>) {
        let mut state = self.state.0.lock().unwrap();
        put(&mut state.rows, (table.into(), String::new(), key.into()), value.map(|v| v.as_bytes().to_vec()));
        self.state.1.notify_all();
    }

    /// The value of a row.
    pub fn get(&self, table: &str, key: &str) -> Option<Vec<u8>> {
        let state = self.state.0.lock().unwrap();
        state.rows.rows.get(&(table.into(), String::new(), key.into()))?.value.clone()
    }

    /// The keys of a table.
    pub fn keys(&self, table: &str) -> Vec<String> {
        let state = self.state.0.lock().unwrap();
        let present = state.rows.rows.iter().filter(|((t, ..), c)| t == table && c.value.is_some());
        present.map(|((.., key), _)| key.clone()).collect()
    }

    /// Answers every call with 503 from now on, or as usual.
    pub fn set_down(&self, is_down: bool) {
        self.state.0.lock().unwrap().is_down = is_down;
        self.state.1.notify_all();
    }

    /// Lets a reader see another address of an instance: that of a link between the two.
    pub fn link(&self, reader: &str, instance: &str, address: SocketAddr) {
        let key = (reader.to_owned(), instance.to_owned());
        self.state.0.lock().unwrap().addresses.insert(key, address);
    }

    fn serve(&self, stream: TcpStream, who: &str) {
        let mut connection = Connection::new(stream);
        while let Ok(Some(request)) = connection.read() {
            let (status, body) = self.answer(&request, who);
            let era = self.state.0.lock().unwrap().era;
            let answer = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nStore-Era: {era}\r\n\
                 Content-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if connection.write(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message, who: &str) -> (&'static str, String) {
        let (path, query) = request.path().split_once('?').unwrap_or((request.path(), ""));
        let argument = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(n, _)| *n == name).map(|(_, v)| v.to_owned()).unwrap_or_default()
        };
        let table = argument("Table");
        if self.state.0.lock().unwrap().is_down {
            return ("503 Service Unavailable", "{}".into());
        }
        match path {
            "/v1/rows-get" => {
                let part = argument("part");
                let state = self.state.0.lock().unwrap();
                let is_wanted = |place: &Place, content: &Content| {
                    place.0 == table && place.1 == part && content.value.is_some()
                };
                ("200 OK", self.rows(&state, who, is_wanted))
            }
            "/v1/rows-parts" => ("200 OK", "{\"parts\":[],\"HasMore\":false}".into()),
            "/v1/rows-feed" => {
                let after: u64 = argument("After").parse().unwrap_or(0);
                let wait: u64 = argument("WaitMs").parse().unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait);
                let mut state = self.state.0.lock().unwrap();
                loop {
                    if state.is_down {
                        return ("503 Service Unavailable", "{}".into());
                    }
                    if after > state.rows.version {
                        return ("410 Gone", "{}".into());
                    }
                    let is_wanted = |place: &Place, content: &Content| {
                        place.0 == table && content.version > after
                    };
                    let is_changed = state.rows.rows.iter().any(|(p, c)| is_wanted(p, c));
                    let now = Instant::now();
                    if is_changed || now >= until {
                        return ("200 OK", self.rows(&state, who, is_wanted));
                    }
                    state = self.state.1.wait_timeout(state, until - now).unwrap().0;
                }
            }
            "/v1/rows-tx" => {
                let text = String::from_utf8_lossy(&request.body).into_owned();
                let Some(body) = json::parse(&text) else { return ("400 Bad Request", "{}".into()) };
                let mut state = self.state.0.lock().unwrap();
                let version_of = |state: &State, place: &Place| {
                    let content = state.rows.rows.get(place).filter(|c| c.value.is_some());
                    content.map_or(0, |c| c.version)
                };
                for condition in body.get("Precondition").list() {
                    if version_of(&state, &place(condition)) != condition.get("Ver").number() {
                        return ("412 Precondition Failed", "{\"Rows\":[]}".into());
                    }
                }
                for row in body.get("SetKeys").list() {
                    let value = json::decode_base64(&row.get("Value").text());
                    put(&mut state.rows, place(row), Some(value));
                }
                for row in body.get("Delete").list() {
                    put(&mut state.rows, place(row), None);
                }
                self.state.1.notify_all();
                let version = state.rows.version;
                ("200 OK", format!("{{\"Ver\":{version},\"NowMs\":{}}}", self.now_ms()))
            }
            _ => ("404 Not Found", "{}".into()),
        }
    }

    fn now_ms(&self) -> u128 {
        self.started.elapsed().as_millis()
    }

    fn rows(&self, state: &State, who: &str, is_wanted: impl Fn(&Place, &Content) -> bool) -> String {
        let mut rows: Vec<_> = state.rows.rows.iter().filter(|(p, c)| is_wanted(p, c)).collect();
        rows.sort_by_key(|(_, content)| content.version);
        let row = |(place, content): (&Place, &Content)| {
            let (table, part, key) = place;
            let value = content.value.clone().unwrap_or_default();
            let link = state.addresses.get(&(who.to_owned(), key.clone()));
            let value = match link.filter(|_| table == "instances" && content.value.is_some()) {
                Some(link) => with_address(&value, *link),
                None => value,
            };
            format!(
                "{{\"Table\":\"{table}\",\"part\":\"{part}\",\"Key\":\"{key}\",\"Value\":\"{}\",\
                 \"Ver\":{},\"Deleted\":{}}}",
                json::encode_base64(&value),
                content.version,
                content.value.is_none()
            )
        };
        let rows: Vec<_> = rows.into_iter().map(row).collect();
        format!(
            "{{\"Rows\":[{}],\"HasMore\":false,\"Ver\":{},\"NowMs\":{}}}",
            rows.join(","),
            state.rows.version,
            self.now_ms()
        )
    }
}

/// The row of an instance with the address of a link.
fn with_address(value: &[u8], link: SocketAddr) -> Vec<u8> {
    let text = String::from_utf8_lossy(value).into_owned();
    let Some((before, rest)) = text.split_once("\"address\":\"") else { return value.to_vec() };
    let Some((_, after)) = rest.split_once('"') else { return value.to_vec() };
    format!("{before}\"address\":\"{link}\"{after}").into_bytes()
}

fn place(row: &Value) -> Place {
    (row.get("Table").text(), row.get("part").text(), row.get("Key").text())
}

fn put(rows: &mut Rows, place: Place, value: Option<Vec<u8>>) {
    rows.version += 1;
    let version = rows.version;
    rows.rows.insert(place, Content { version, value });
}
