//! Stand-in of the platform's store, after the page on it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::http::{Connection, Head};

const PAGE_ITEMS: usize = 500;

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
    events: Vec<(u64, Value)>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    next_lease: u64,
}

/// A running store; its clones are the same store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    /// Counts the changes.
    changed: watch::Sender<u64>,
}

impl Store {
    pub async fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let store = Self {
            address: listener.local_addr()?,
            state: Arc::default(),
            changed: watch::Sender::new(0),
        };
        store.state().rev = 1;
        let accepting = store.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(accepting.clone().serve(stream));
            }
        });
        tokio::spawn(store.clone().expire_leases());
        Ok(store)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic while locked")
    }

    fn notify(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    /// Writes a key as the operator and the servers do; returns the time of the ack.
    pub fn put(&self, key: &str, value: &Value) -> Instant {
        self.state().put(key, value.to_string().into_bytes(), 0);
        let acknowledged = Instant::now();
        self.notify();
        acknowledged
    }

    /// Removes a key as the operator and the servers do; returns the time of the ack.
    pub fn remove(&self, key: &str) -> Instant {
        self.state().remove(key);
        let acknowledged = Instant::now();
        self.notify();
        acknowledged
    }

    async fn expire_leases(self) {
        loop {
            tokio::time::sleep(Duration::from_millis(20)).await;
            let now = Instant::now();
            let ended: Vec<u64> = {
                let state = self.state();
                let ended = state.leases.iter().filter(|(_, (end, _))| *end <= now);
                ended.map(|(id, _)| *id).collect()
            };
            for id in ended {
                self.state().end_lease(id);
                self.notify();
            }
        }
    }

    async fn serve(self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(Some(head)) = connection.read_head().await {
            let Ok(body) = connection.read_body(&head).await else {
                return;
            };
            let Some((status, answer)) = self.answer(&head, &body).await else {
                return;
            };
            let start = format!("HTTP/1.1 {status} Store");
            let headers = "Content-Type: application/json\r\nStore-Era: 0\r\n";
            let answer = answer.to_string();
            if connection
                .write(&start, headers, answer.as_bytes())
                .await
                .is_err()
            {
                return;
            }
        }
    }

    /// Returns the status and the answer of a call; `None` if it is cut.
    async fn answer(&self, head: &Head, body: &[u8]) -> Option<(u16, Value)> {
        let (path, query) = head.word(1).split_once('?').unwrap_or((head.word(1), ""));
        let query: BTreeMap<_, _> = query.split('&').filter_map(|p| p.split_once('=')).collect();
        let body: Value = serde_json::from_slice(body).unwrap_or_default();
        if path == "/kv-watch" {
            return self.watch(&query).await;
        }
        let answer = self.state().handle(head.word(0), path, &query, &body);
        self.notify();
        Some(answer)
    }

    async fn watch(&self, query: &BTreeMap<&str, &str>) -> Option<(u16, Value)> {
        let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
        let prefix = decode_query(query.get("prefix").copied().unwrap_or_default());
        let after = number("after").unwrap_or(0);
        let wait = Duration::from_millis(number("wait_ms").unwrap_or(0).min(30_000));
        let end = tokio::time::Instant::now() + wait;
        let mut changed = self.changed.subscribe();
        loop {
            changed.borrow_and_update();
            {
                let state = self.state();
                let is_new = |(rev, event): &&(u64, Value)| {
                    let key = event["key"].as_str().unwrap_or_default();
                    *rev > after && key.starts_with(&prefix)
                };
                let events: Vec<_> = state.events.iter().filter(is_new).map(|e| &e.1).collect();
                if !events.is_empty() || tokio::time::Instant::now() >= end {
                    let answer = json!({"events": events, "store_revision": state.rev});
                    return Some((200, answer));
                }
            }
            tokio::select! {
                _ = changed.changed() => {}
                () = tokio::time::sleep_until(end) => {}
            }
        }
    }
}

fn decode_query(text: &str) -> String {
    text.replace("%2F", "/").replace("%2f", "/")
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
        self.events.push((self.rev, to_json(key, &item)));
        self.items.insert(key.into(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.rev += 1;
            let event = json!({"key": key, "rev": self.rev, "deleted": true});
            self.events.push((self.rev, event));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let attached = self.items.iter().filter(|(_, item)| item.lease == lease);
        let attached: Vec<String> = attached.map(|(key, _)| key.clone()).collect();
        for key in attached {
            self.remove(&key);
        }
    }

    fn handle(
        &mut self,
        method: &str,
        path: &str,
        query: &BTreeMap<&str, &str>,
        body: &Value,
    ) -> (u16, Value) {
        match path {
            "/kv-key" => {
                let key = decode_query(query.get("key").copied().unwrap_or_default());
                let Some(item) = self.items.get(&key) else {
                    return (404, json!({"store_revision": self.rev}));
                };
                let mut answer = to_json(&key, item);
                answer["store_revision"] = json!(self.rev);
                (200, answer)
            }
            "/kv-range" => self.range(query),
            "/kv-txn" => self.txn(body),
            "/kv-lease" => {
                let ttl = Duration::from_millis(body["ttl_ms"].as_u64().unwrap_or(1_000));
                let ttl = ttl.clamp(Duration::from_secs(1), Duration::from_secs(600));
                self.next_lease += 1;
                let id = 70_000 + self.next_lease;
                self.leases.insert(id, (Instant::now() + ttl, ttl));
                (200, json!({"lease": id, "ttl_ms": ttl.as_millis()}))
            }
            _ => {
                let id = path.rsplit('/').next().and_then(|id| id.parse().ok());
                let Some(id) = id.filter(|id| self.leases.contains_key(id)) else {
                    return (404, json!({"error": "no such lease"}));
                };
                if method == "DELETE" {
                    self.end_lease(id);
                    return (200, json!({}));
                }
                let ttl = self.leases[&id].1;
                self.leases.insert(id, (Instant::now() + ttl, ttl));
                (200, json!({"ttl_ms": ttl.as_millis()}))
            }
        }
    }

    fn range(&self, query: &BTreeMap<&str, &str>) -> (u16, Value) {
        let prefix = decode_query(query.get("prefix").copied().unwrap_or_default());
        let after = decode_query(query.get("after").copied().unwrap_or_default());
        let found = self.items.iter();
        let found = found.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
        let mut found: Vec<_> = found.collect();
        let has_more = found.len() > PAGE_ITEMS;
        found.truncate(PAGE_ITEMS);
        let items = found.into_iter().map(|(key, item)| to_json(key, item));
        let items: Vec<_> = items.collect();
        let answer = json!({"items": items, "has_more": has_more, "store_revision": self.rev});
        (200, answer)
    }

    fn txn(&mut self, body: &Value) -> (u16, Value) {
        let rows = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        for row in rows("expected") {
            let key = row["key"].as_str().unwrap_or_default();
            let rev = self.items.get(key).map_or(0, |item| item.rev);
            if row["rev"].as_u64() != Some(rev) {
                let items = self.items.get(key).map(|item| to_json(key, item));
                return (412, json!({"items": items.into_iter().collect::<Vec<_>>()}));
            }
        }
        for row in rows("puts") {
            let lease = row["lease"].as_u64().unwrap_or(0);
            if lease != 0 && !self.leases.contains_key(&lease) {
                return (404, json!({"error": "no such lease"}));
            }
        }
        for row in rows("puts") {
            let value = STANDARD.decode(row["value"].as_str().unwrap_or_default());
            let lease = row["lease"].as_u64().unwrap_or(0);
            let key = row["key"].as_str().unwrap_or_default();
            self.put(key, value.unwrap_or_default(), lease);
        }
        for key in rows("remove") {
            self.remove(key.as_str().unwrap_or_default());
        }
        (200, json!({"rev": self.rev}))
    }
}

fn to_json(key: &str, item: &Item) -> Value {
    json!({
        "key": key,
        "value": STANDARD.encode(&item.value),
        "rev": item.rev,
        "create_revision": item.created,
        "lease": item.lease,
    })
}
