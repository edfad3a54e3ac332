//! Stand-in for the platform's store. Keeps what it has acknowledged.

use std::{
    collections::{BTreeMap, HashMap},
    io,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Message},
    json::{Json, quote},
};

/// Items in one page.
const PAGE: usize = 500;
const LEASE_CHECK: Duration = Duration::from_millis(5);
/// Time of an answer, as the sheets give it.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    rev: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    rev: u64,
    items: BTreeMap<String, Item>,
    /// Changes in order: revision, key, and the item if it was not removed.
    history: Vec<(u64, String, Option<Item>)>,
    leases: HashMap<u64, (Duration, Instant)>,
    last_lease: u64,
}

impl State {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        self.rev += 1;
        let created = self.items.get(key).map_or(self.rev, |item| item.created);
        let rev = self.rev;
        let item = Item {
            value,
            rev,
            created,
            lease,
        };
        self.history.push((rev, key.to_owned(), Some(item.clone())));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.rev += 1;
            self.history.push((self.rev, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let bound = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<_> = bound.map(|(key, _)| key.clone()).collect();
        keys.iter().for_each(|key| self.remove(key));
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended = self.leases.iter().filter(|(_, (_, end))| *end <= now);
        let ended: Vec<_> = ended.map(|(lease, _)| *lease).collect();
        ended.into_iter().for_each(|lease| self.end_lease(lease));
    }
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    pub addr: SocketAddr,
}

impl Store {
    pub fn start(listener: TcpListener) -> Self {
        let addr = listener.local_addr().expect("the listener has an address");
        let store = Self {
            shared: Arc::default(),
            addr,
        };
        let served = store.clone();
        http::serve(listener, move |req, io| served.answer(req, io));
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(LEASE_CHECK);
                expiring.change(State::expire);
            }
        });
        store
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared
            .0
            .lock()
            .expect("no thread panics with the lock")
    }

    fn change<R>(&self, f: impl FnOnce(&mut State) -> R) -> R {
        let mut state = self.lock();
        let before = state.rev;
        let result = f(&mut state);
        if state.rev != before {
            self.shared.1.notify_all();
        }
        result
    }

    /// Writes a key as the operator and the servers do.
    pub fn put(&self, key: &str, value: &str) {
        self.change(|state| state.put(key, value.as_bytes().to_vec(), 0));
    }

    /// The value of a key.
    pub fn get(&self, key: &str) -> Option<String> {
        let state = self.lock();
        let item = state.items.get(key)?;
        Some(String::from_utf8_lossy(&item.value).into_owned())
    }

    fn answer(&self, req: &Message, io: &mut TcpStream) -> io::Result<bool> {
        let path = req.path().to_owned();
        let path = path.strip_prefix("/-/").unwrap_or("");
        let (call, id) = path.split_once('/').unwrap_or((path, ""));
        let id: u64 = id.parse().unwrap_or(0);
        let body = String::from_utf8_lossy(&req.body).into_owned();
        let (status, text) = match (req.method(), call) {
            ("GET", "kv-key") => self.read_key(req),
            ("GET", "kv-range") => self.read_range(req),
            ("GET", "kv-watch") => self.watch(req),
            ("POST", "kv-txn") => self.commit(&body),
            ("POST", "kv-lease") => {
                let ttl = Json::parse(&body).and_then(|b| b.get("ttl_ms")?.number());
                let ttl = ttl.unwrap_or(1_000).max(1_000);
                let lease = self.change(|state| {
                    state.last_lease += 1;
                    let time = Duration::from_millis(ttl);
                    let lease = state.last_lease;
                    state.leases.insert(lease, (time, Instant::now() + time));
                    lease
                });
                ("200 OK", format!("{{\"lease\":{lease},\"ttl_ms\":{ttl}}}"))
            }
            ("POST", "kv-keep") => self.change(|state| match state.leases.get_mut(&id) {
                Some((ttl, end)) => {
                    *end = Instant::now() + *ttl;
                    ("200 OK", format!("{{\"ttl_ms\":{}}}", ttl.as_millis()))
                }
                None => ("404 Not Found", "{}".to_owned()),
            }),
            ("DELETE", "kv-lease-end") => {
                self.change(|state| state.end_lease(id));
                ("200 OK", "{}".to_owned())
            }
            _ => ("400 Bad Request", "{}".to_owned()),
        };
        thread::sleep(ANSWER_TIME);
        let headers = [("Content-Type", "application/json"), ("Store-Era", "1")];
        http::answer(io, status, &headers, text.as_bytes())
    }

    fn read_key(&self, req: &Message) -> (&'static str, String) {
        let key = req.query("key").unwrap_or_default();
        let state = self.lock();
        match state.items.get(&key) {
            Some(item) => {
                let at_rev = format!(",\"at_rev\":{}}}", state.rev);
                let text = item_text(&key, item);
                ("200 OK", text[..text.len() - 1].to_owned() + &at_rev)
            }
            None => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn read_range(&self, req: &Message) -> (&'static str, String) {
        let prefix = req.query("prefix").unwrap_or_default();
        let after = req.query("after").unwrap_or_default();
        let state = self.lock();
        let found = state.items.iter();
        let mut found = found.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
        let page = found.by_ref().take(PAGE);
        let items: Vec<_> = page.map(|(key, item)| item_text(key, item)).collect();
        let has_more = found.next().is_some();
        let text = format!(
            "{{\"items\":[{}],\"has_more\":{has_more},\"at_rev\":{}}}",
            items.join(","),
            state.rev
        );
        ("200 OK", text)
    }

    fn watch(&self, req: &Message) -> (&'static str, String) {
        let prefix = req.query("prefix").unwrap_or_default();
        let number = |name: &str| req.query(name).and_then(|v| v.parse::<u64>().ok());
        let after = number("after").unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
        let mut state = self.lock();
        loop {
            let begin = state.history.partition_point(|(rev, ..)| *rev <= after);
            let changes = state.history[begin..].iter();
            let changes = changes.filter(|(_, key, _)| key.starts_with(&prefix));
            let events: Vec<_> = changes
                .map(|(rev, key, item)| match item {
                    Some(item) => item_text(key, item),
                    None => format!("{{\"key\":{},\"rev\":{rev},\"removed\":true}}", quote(key)),
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let events = events.join(",");
                let text = format!("{{\"events\":[{events}],\"at_rev\":{}}}", state.rev);
                return ("200 OK", text);
            }
            let waited = self.shared.1.wait_timeout(state, left);
            state = waited.expect("no thread panics with the lock").0;
        }
    }

    fn commit(&self, body: &str) -> (&'static str, String) {
        let Some(tx) = Json::parse(body) else {
            return ("400 Bad Request", "{}".to_owned());
        };
        let list = |name: &str| tx.get(name).map(Json::list).unwrap_or_default().to_vec();
        let text = |json: &Json, name: &str| {
            let text = json.get(name).and_then(Json::text);
            text.unwrap_or_default().to_owned()
        };
        let number = |json: &Json, name: &str| json.get(name).and_then(Json::number).unwrap_or(0);
        self.change(|state| {
            let rev_of = |state: &State, key: &str| state.items.get(key).map_or(0, |i| i.rev);
            let expected = list("expected");
            let holds = |row: &Json| rev_of(state, &text(row, "key")) == number(row, "rev");
            if !expected.iter().all(holds) {
                let items = expected.iter().filter_map(|row| {
                    let key = text(row, "key");
                    Some(item_text(&key, state.items.get(&key)?))
                });
                let items: Vec<_> = items.collect();
                let text = format!("{{\"items\":[{}]}}", items.join(","));
                return ("412 Precondition Failed", text);
            }
            let puts = list("puts");
            let has_ended = |put: &Json| {
                let lease = number(put, "lease");
                lease != 0 && !state.leases.contains_key(&lease)
            };
            if puts.iter().any(has_ended) {
                return ("404 Not Found", "{}".to_owned());
            }
            for put in &puts {
                let value = base64_decode(&text(put, "value"));
                state.put(&text(put, "key"), value, number(put, "lease"));
            }
            for key in list("remove") {
                state.remove(key.text().unwrap_or_default());
            }
            ("200 OK", format!("{{\"rev\":{}}}", state.rev))
        })
    }
}

fn item_text(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":\"{}\",\"rev\":{},\"created\":{},\"lease\":{}}}",
        quote(key),
        base64_encode(&item.value),
        item.rev,
        item.created,
        item.lease
    )
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn base64_encode(bytes: &[u8]) -> String {
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let byte = |i: usize| u32::from(part.get(i).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for i in 0..4 {
            if i <= part.len() {
                let digit = bits >> (18 - 6 * i) & 63;
                text.push(ALPHABET[digit as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

fn base64_decode(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let (mut bits, mut count) = (0u32, 0);
    for c in text.bytes() {
        let Some(digit) = ALPHABET.iter().position(|a| *a == c) else {
            break;
        };
        bits = bits << 6 | digit as u32;
        count += 6;
        if count >= 8 {
            count -= 8;
            bytes.push((bits >> count) as u8);
            bits &= (1 << count) - 1;
        }
    }
    bytes
}
