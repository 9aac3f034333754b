//! Stand-in of the platform's store, after PROTOCOL.md.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Message, read_message, write_answer};
use crate::json::{Json, decode_base64, encode_base64};

/// Items of one page.
const PAGE: usize = 500;

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    rev: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    events: Vec<(u64, String, String)>,
    rev: u64,
    leases: BTreeMap<u64, (Instant, Duration)>,
    next_lease: u64,
    /// Whether all calls get 503; leases run out meanwhile.
    is_down: bool,
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let mut state = State::default();
        state.rev = 400;
        state.next_lease = 77_000;
        let store = Self {
            shared: Arc::new((Mutex::new(state), Condvar::new())),
            address: listener.local_addr().expect("an address"),
        };
        let accepting = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = accepting.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                expiring.expire_leases();
            }
        });
        store
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().expect("no panic while locked")
    }

    /// Writes a key as the operator or a server does.
    pub fn put(&self, key: &str, value: &str) {
        self.state().put(key, value.as_bytes().to_vec(), 0);
        self.shared.1.notify_all();
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        self.state().remove(key);
        self.shared.1.notify_all();
    }

    /// Answers all calls with 503, or serves them again.
    pub fn set_down(&self, is_down: bool) {
        self.state().is_down = is_down;
        self.shared.1.notify_all();
    }

    /// Returns the value of a key as text.
    pub fn get(&self, key: &str) -> Option<String> {
        let state = self.state();
        let item = state.items.get(key)?;
        Some(String::from_utf8_lossy(&item.value).into_owned())
    }

    pub fn is_down(&self) -> bool {
        self.state().is_down
    }

    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.state();
        let keys = state.items.keys().filter(|key| key.starts_with(prefix));
        keys.cloned().collect()
    }

    fn expire_leases(&self) {
        let now = Instant::now();
        let mut state = self.state();
        let expired: Vec<u64> = state
            .leases
            .iter()
            .filter(|(_, (end, _))| *end <= now)
            .map(|(id, _)| *id)
            .collect();
        for lease in &expired {
            state.end_lease(*lease);
        }
        drop(state);
        if !expired.is_empty() {
            self.shared.1.notify_all();
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Some(call) = read_message(&mut reader) {
            let (status, body) = self.answer(&call);
            let headers = [("Content-Type", "application/json"), ("Store-Era", "0")];
            if write_answer(&mut writer, status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, call: &Message) -> (u16, String) {
        let target = call.second_word().to_string();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let query: BTreeMap<&str, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name, decode_percent(value)))
            .collect();
        if self.state().is_down {
            return (503, "{}".into());
        }
        if path == "/kv-watch" {
            return self.watch(&query);
        }
        let body = Json::parse(&call.body_text()).unwrap_or(Json::Null);
        let answer = self.state().call(call.method(), path, &query, &body);
        self.shared.1.notify_all();
        answer
    }

    fn watch(&self, query: &BTreeMap<&str, String>) -> (u16, String) {
        let prefix = query.get("prefix").cloned().unwrap_or_default();
        let number = |name: &str| query.get(name).and_then(|text| text.parse().ok());
        let after: u64 = number("after").unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
        let mut state = self.state();
        loop {
            if state.is_down {
                return (503, "{}".into());
            }
            let events: Vec<&str> = state
                .events
                .iter()
                .filter(|(rev, key, _)| *rev > after && key.starts_with(&prefix))
                .map(|(_, _, event)| event.as_str())
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let events = events.join(",");
                let rev = state.rev;
                return (
                    200,
                    format!("{{\"events\":[{events}],\"store_revision\":{rev}}}"),
                );
            }
            let waited = self.shared.1.wait_timeout(state, left);
            state = waited.expect("no panic while locked").0;
        }
    }
}

impl State {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        self.rev += 1;
        let created = self.items.get(key).map_or(self.rev, |item| item.created);
        let item = Item {
            value,
            rev: self.rev,
            created,
            lease,
        };
        self.events
            .push((self.rev, key.into(), item_text(key, &item)));
        self.items.insert(key.into(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.rev += 1;
            let event = format!(
                "{{\"key\":\"{key}\",\"rev\":{},\"deleted\":true}}",
                self.rev
            );
            self.events.push((self.rev, key.into(), event));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let attached: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        for key in attached {
            self.remove(&key);
        }
    }

    fn call(
        &mut self,
        method: &str,
        path: &str,
        query: &BTreeMap<&str, String>,
        body: &Json,
    ) -> (u16, String) {
        match path {
            "/kv-range" => return self.range(query),
            "/kv-key" => {
                let key = query.get("key").cloned().unwrap_or_default();
                return match self.items.get(&key) {
                    Some(item) => (200, item_text(&key, item)),
                    None => (404, "{}".into()),
                };
            }
            "/kv-txn" => return self.transact(body),
            "/kv-lease" => {
                let ttl = Duration::from_millis(body.get("ttl_ms").number());
                self.next_lease += 1;
                let id = self.next_lease;
                self.leases.insert(id, (Instant::now() + ttl, ttl));
                return (
                    200,
                    format!("{{\"lease\":{id},\"ttl_ms\":{}}}", ttl.as_millis()),
                );
            }
            _ => {}
        }
        let id = path.rsplit('/').next().and_then(|id| id.parse().ok());
        let Some(lease) = id.and_then(|id: u64| self.leases.get_mut(&id)) else {
            return (404, "{}".into());
        };
        if method == "DELETE" {
            self.end_lease(id.unwrap_or(0));
            return (200, "{}".into());
        }
        lease.0 = Instant::now() + lease.1;
        (200, format!("{{\"ttl_ms\":{}}}", lease.1.as_millis()))
    }

    fn range(&self, query: &BTreeMap<&str, String>) -> (u16, String) {
        let prefix = query.get("prefix").cloned().unwrap_or_default();
        let after = query.get("after").cloned().unwrap_or_default();
        let matching: Vec<String> = self
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
            .map(|(key, item)| item_text(key, item))
            .collect();
        let has_more = matching.len() > PAGE;
        let items = matching[..matching.len().min(PAGE)].join(",");
        let rev = self.rev;
        let body =
            format!("{{\"items\":[{items}],\"has_more\":{has_more},\"store_revision\":{rev}}}");
        (200, body)
    }

    fn transact(&mut self, body: &Json) -> (u16, String) {
        for row in body.get("expected").list() {
            let item = self.items.get(row.get("key").text());
            if item.map_or(0, |item| item.rev) != row.get("rev").number() {
                return (412, "{\"items\":[]}".into());
            }
        }
        let puts = body.get("puts").list();
        let is_leased = |put: &Json| {
            let lease = put.get("lease").number();
            lease == 0 || self.leases.contains_key(&lease)
        };
        if !puts.iter().all(is_leased) {
            return (404, "{}".into());
        }
        for put in puts {
            let value = decode_base64(put.get("value").text());
            self.put(put.get("key").text(), value, put.get("lease").number());
        }
        for key in body.get("remove").list() {
            self.remove(key.text());
        }
        (200, format!("{{\"rev\":{}}}", self.rev))
    }
}

fn item_text(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"rev\":{},\"create_revision\":{},\"lease\":{}}}",
        encode_base64(&item.value),
        item.rev,
        item.created,
        item.lease
    )
}

fn decode_percent(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        if byte == b'%' {
            let digits: Vec<u8> = rest.by_ref().take(2).collect();
            let digits = String::from_utf8(digits).unwrap_or_default();
            bytes.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
        } else {
            bytes.push(byte);
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
