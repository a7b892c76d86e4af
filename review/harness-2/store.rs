//! A stand-in for the platform's store: tables with versions, conditional writes, a feed
//! of changes, and the return from an older copy.

use std::collections::{BTreeMap, BTreeSet};
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message};
use crate::json::{Json, base64, quote};

/// The time that a call takes.
const CALL_TIME: Duration = Duration::from_millis(4);
/// The time that a transaction takes.
const WRITE_TIME: Duration = Duration::from_millis(8);

type Place = (String, String, String);

#[derive(Clone)]
struct Change {
    version: u64,
    place: Place,
}

/// The content of the store, as it can be copied.
#[derive(Clone, Default)]
pub struct Copy {
    version: u64,
    rows: BTreeMap<Place, (String, u64)>,
    changes: Vec<Change>,
}

struct State {
    content: Copy,
    era: u64,
    is_away: bool,
    started: Instant,
    open: Vec<TcpStream>,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

fn place(table: &str, part: &str, key: &str) -> Place {
    (table.to_owned(), part.to_owned(), key.to_owned())
}

impl Copy {
    fn set(&mut self, place: Place, value: Option<String>) {
        match value {
            Some(value) => drop(self.rows.insert(place.clone(), (value, self.version))),
            None => drop(self.rows.remove(&place)),
        }
        self.changes.push(Change { version: self.version, place });
    }
}

impl Store {
    pub fn start() -> Self {
        let listener = http::listen();
        let address = listener.local_addr().expect("an address");
        let state = State {
            content: Copy::default(),
            era: 0,
            is_away: false,
            started: Instant::now(),
            open: Vec::new(),
        };
        let store = Self { address, shared: Arc::new((Mutex::new(state), Condvar::new())) };
        let serving = store.clone();
        thread::spawn(move || serving.accept(&listener));
        store
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().expect("no thread panics while it holds the lock")
    }

    /// Writes a row as the operator or an engine does; the return is the acknowledgement.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.write(table, key, Some(base64(value.as_bytes())));
    }

    /// Removes a row.
    pub fn delete(&self, table: &str, key: &str) {
        self.write(table, key, None);
    }

    fn write(&self, table: &str, key: &str, value: Option<String>) {
        let mut state = self.lock();
        state.content.version += 1;
        state.content.set(place(table, "", key), value);
        drop(state);
        self.shared.1.notify_all();
    }

    /// A copy of all that the store has now.
    pub fn copy(&self) -> Copy {
        self.lock().content.clone()
    }

    /// Goes away: no call is answered, and connections are closed.
    pub fn leave(&self) {
        let mut state = self.lock();
        state.is_away = true;
        for stream in state.open.drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        drop(state);
        self.shared.1.notify_all();
    }

    /// Comes back, with this copy in a new era, or with all that it had.
    pub fn come_back(&self, copy: Option<Copy>) {
        let mut state = self.lock();
        state.is_away = false;
        if let Some(copy) = copy {
            state.content = copy;
            state.era += 1;
        }
    }

    fn accept(&self, listener: &TcpListener) {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { continue };
            let mut state = self.lock();
            if state.is_away {
                continue;
            }
            if let Ok(other) = stream.try_clone() {
                state.open.push(other);
            }
            drop(state);
            let store = self.clone();
            thread::spawn(move || store.serve(stream));
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(&stream);
        while let Ok(call) = http::read(&mut reader) {
            let (status, body) = self.answer(&call);
            let state = self.lock();
            let (is_away, era) = (state.is_away, state.era);
            drop(state);
            if is_away {
                break;
            }
            let headers =
                [("Content-Type", "application/json".to_owned()), ("Store-Era", era.to_string())];
            if http::respond(&mut &stream, status, &headers, body.as_bytes()).is_err() {
                break;
            }
        }
        let _ = stream.shutdown(std::net::Shutdown::Both);
    }

    fn answer(&self, call: &Message) -> (&'static str, String) {
        thread::sleep(CALL_TIME);
        let path = call.target().split('?').next().unwrap_or("");
        match (call.method(), path) {
            ("GET", "/v1/rows-get") => self.rows(call),
            ("GET", "/v1/rows-parts") => self.parts(call),
            ("GET", "/v1/rows-feed") => self.feed(call),
            ("POST", "/v1/rows-tx") => self.transact(call),
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn stamp(state: &State) -> String {
        let now = state.started.elapsed().as_millis() + 50_000;
        format!("\"Ver\":{},\"NowMs\":{now}", state.content.version)
    }

    fn rows(&self, call: &Message) -> (&'static str, String) {
        let state = self.lock();
        let (table, part, from) = (call.query("Table"), call.query("part"), call.query("From"));
        let is_meant = |(p, _): &(&Place, &(String, u64))| {
            p.0 == table && p.1 == part && p.2.as_bytes() >= from.as_bytes()
        };
        let rows: Vec<_> = state.content.rows.iter().filter(is_meant).collect();
        let page: Vec<_> = rows.iter().take(500).map(|(p, row)| text(p, Some(row), 0)).collect();
        let has_more = rows.len() > 500;
        let stamp = Self::stamp(&state);
        ("200 OK", format!("{{\"Rows\":[{}],\"HasMore\":{has_more},{stamp}}}", page.join(",")))
    }

    fn parts(&self, call: &Message) -> (&'static str, String) {
        let state = self.lock();
        let (table, after) = (call.query("Table"), call.query("After"));
        let parts: BTreeSet<_> = state.content.rows.keys().filter(|p| p.0 == table).collect();
        let parts: BTreeSet<_> = parts.iter().filter(|p| p.1 > after).map(|p| quote(&p.1)).collect();
        let parts: Vec<_> = parts.into_iter().collect();
        ("200 OK", format!("{{\"parts\":[{}],\"HasMore\":false}}", parts.join(",")))
    }

    fn feed(&self, call: &Message) -> (&'static str, String) {
        let table = call.query("Table");
        let after: u64 = call.query("After").parse().unwrap_or(0);
        let wait: u64 = call.query("WaitMs").parse().unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut state = self.lock();
        loop {
            if state.is_away {
                return ("503 Service Unavailable", String::new());
            }
            if after > state.content.version {
                return ("410 Gone", "{}".to_owned());
            }
            let newer = state.content.changes.iter();
            let newer = newer.filter(|c| c.version > after && c.place.0 == table);
            let last: BTreeMap<&Place, u64> = newer.map(|c| (&c.place, c.version)).collect();
            let mut last: Vec<_> = last.into_iter().collect();
            last.sort_by_key(|(_, version)| *version);
            let left = end.saturating_duration_since(Instant::now());
            if !last.is_empty() || left.is_zero() {
                let rows = &state.content.rows;
                let rows: Vec<_> = last.iter().map(|(p, v)| text(p, rows.get(*p), *v)).collect();
                let stamp = Self::stamp(&state);
                return ("200 OK", format!("{{\"Rows\":[{}],{stamp}}}", rows.join(",")));
            }
            state = self.shared.1.wait_timeout(state, left).expect("no thread panics").0;
        }
    }

    fn transact(&self, call: &Message) -> (&'static str, String) {
        thread::sleep(WRITE_TIME);
        let body = String::from_utf8_lossy(&call.body);
        let Some(body) = Json::parse(&body) else { return ("400 Bad Request", "{}".to_owned()) };
        let of = |j: &Json| place(j.get("Table").text(), j.get("part").text(), j.get("Key").text());
        let writes = || body.get("SetKeys").list().iter().chain(body.get("Delete").list());
        if writes().any(|w| ["op", "servers"].contains(&w.get("Table").text())) {
            return ("403 Forbidden", "{}".to_owned());
        }
        let mut state = self.lock();
        for condition in body.get("Precondition").list() {
            let version = state.content.rows.get(&of(condition)).map_or(0, |(_, version)| *version);
            if version != condition.get("Ver").number() as u64 {
                let row = state.content.rows.get(&of(condition));
                let rows = row.map_or(String::new(), |row| text(&of(condition), Some(row), 0));
                let stamp = Self::stamp(&state);
                return ("412 Precondition Failed", format!("{{\"Rows\":[{rows}],{stamp}}}"));
            }
        }
        state.content.version += 1;
        for write in body.get("SetKeys").list() {
            let value = write.get("Value").text().to_owned();
            state.content.set(of(write), Some(value));
        }
        for delete in body.get("Delete").list() {
            state.content.set(of(delete), None);
        }
        let stamp = Self::stamp(&state);
        drop(state);
        self.shared.1.notify_all();
        ("200 OK", format!("{{{stamp}}}"))
    }
}

/// A row as the store sends it; one that is gone is marked so.
fn text(place: &Place, row: Option<&(String, u64)>, dropped_at: u64) -> String {
    let (table, part, key) = (quote(&place.0), quote(&place.1), quote(&place.2));
    let rest = match row {
        Some((value, version)) => format!("\"Value\":\"{value}\",\"Ver\":{version}"),
        None => format!("\"Deleted\":true,\"Ver\":{dropped_at}"),
    };
    format!("{{\"Table\":{table},\"part\":{part},\"Key\":{key},{rest}}}")
}
