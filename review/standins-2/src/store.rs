//! Stand-in of the platform's store, at one address for all nodes.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http::{Method, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::Notify;

use crate::record::Record;

/// Items per page.
const PAGE_SIZE: usize = 500;
/// Time that the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// Interval at which leases are checked.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(10);

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
    /// All changes, by revision.
    events: Vec<(u64, Value)>,
    rev: u64,
    /// End and time to live of each lease.
    leases: BTreeMap<u64, (Instant, Duration)>,
    /// Prefixes of keys whose next write gets no answer and is done so much later.
    lost_writes: Vec<(String, Duration)>,
    writes: u64,
    /// Whether the time to live that applies is that asked for, rounded up to whole seconds.
    rounds_leases: bool,
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    state: Arc<Mutex<State>>,
    changed: Arc<Notify>,
    record: Arc<Record>,
    pub address: SocketAddr,
}

impl Store {
    pub async fn start(record: &Arc<Record>) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let store = Self {
            state: Arc::default(),
            changed: Arc::default(),
            record: record.clone(),
            address: listener.local_addr()?,
        };
        tokio::spawn(store.clone().accept(listener));
        tokio::spawn(store.clone().expire_leases());
        Ok(store)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic while locked")
    }

    /// Writes a key without a lease, as the operator and the servers do.
    pub fn put(&self, key: &str, value: &Value) {
        self.state().put(key, value.to_string().into_bytes(), 0);
        self.changed.notify_waiters();
    }

    /// Leaves the next write of a key with a prefix unanswered and does it after a delay.
    pub fn lose_write(&self, prefix: &str, delay: Duration) {
        self.state().lost_writes.push((prefix.into(), delay));
    }

    /// Lets the time to live of leases be whole seconds, and at least what was asked for.
    pub fn round_leases(&self) {
        self.state().rounds_leases = true;
        self.record
            .say("store: leases run for whole seconds, at least as long as asked for");
    }

    /// Returns the number of calls that write.
    pub fn writes(&self) -> u64 {
        self.state().writes
    }

    /// Returns the keys with a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.state();
        let keys = state.items.keys();
        keys.filter(|key| key.starts_with(prefix))
            .cloned()
            .collect()
    }

    async fn accept(self, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            let store = self.clone();
            let service = service_fn(move |request| {
                let store = store.clone();
                async move { Ok::<_, Infallible>(store.respond(request).await) }
            });
            tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
        }
    }

    async fn expire_leases(self) {
        loop {
            tokio::time::sleep(LEASE_CHECK_INTERVAL).await;
            let now = Instant::now();
            let mut state = self.state();
            let leases = state.leases.iter();
            let ended = leases.filter(|(_, (end, _))| *end <= now);
            let ended: Vec<u64> = ended.map(|(id, _)| *id).collect();
            for lease in &ended {
                for key in state.end_lease(*lease) {
                    self.record
                        .line(&format!("store: lease {lease} has run out, {key} removed"));
                }
            }
            drop(state);
            if !ended.is_empty() {
                self.changed.notify_waiters();
            }
        }
    }

    async fn respond(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let (parts, body) = request.into_parts();
        let path = parts.uri.path().to_string();
        let query = parse_query(parts.uri.query().unwrap_or_default());
        let body = body
            .collect()
            .await
            .map(http_body_util::Collected::to_bytes);
        let body: Value = body
            .ok()
            .and_then(|body| serde_json::from_slice(&body).ok())
            .unwrap_or_default();
        if path == "/kv-watch" {
            return self.watch(&query).await;
        }
        let late = self.take_lost_write(&path, &body);
        if let Some(delay) = late {
            let (store, body) = (self.clone(), body.clone());
            tokio::spawn(async move {
                tokio::time::sleep(delay).await;
                let (status, _) = store.state().txn(&body);
                store.record.say(&format!(
                    "store: unanswered write done {:.1} s late with status {status}: {}",
                    delay.as_secs_f64(),
                    body["puts"][0]["key"]
                ));
                store.changed.notify_waiters();
            });
            std::future::pending::<()>().await;
        }
        let (status, body) = self.state().handle(&parts.method, &path, &query, &body);
        self.changed.notify_waiters();
        tokio::time::sleep(ANSWER_TIME).await;
        answer(status, &body)
    }

    fn take_lost_write(&self, path: &str, body: &Value) -> Option<Duration> {
        if path != "/kv-txn" {
            return None;
        }
        let key = body["puts"][0]["key"].as_str()?;
        let mut state = self.state();
        let lost = state.lost_writes.iter();
        let index = lost
            .enumerate()
            .find_map(|(i, (prefix, _))| key.starts_with(prefix.as_str()).then_some(i))?;
        let (_, delay) = state.lost_writes.remove(index);
        state.writes += 1;
        drop(state);
        self.record
            .say(&format!("store: answer lost: write of {key}"));
        Some(delay)
    }

    async fn watch(&self, query: &BTreeMap<String, String>) -> Response<Full<Bytes>> {
        let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
        let prefix = query.get("prefix").cloned().unwrap_or_default();
        let after = number("after").unwrap_or(0);
        let wait = Duration::from_millis(number("wait_ms").unwrap_or(0));
        let end = tokio::time::Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            {
                let state = self.state();
                let events = state.events.iter().filter(|(rev, event)| {
                    let key = event["key"].as_str().unwrap_or_default();
                    *rev > after && key.starts_with(&prefix)
                });
                let events: Vec<_> = events.map(|(_, event)| event.clone()).collect();
                if !events.is_empty() || tokio::time::Instant::now() >= end {
                    let body = json!({"events": events, "store_revision": state.rev});
                    return answer(200, &body);
                }
            }
            // The loop checks the end of the wait.
            let _ = tokio::time::timeout_at(end, changed).await;
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
        self.events.push((self.rev, item_json(key, &item)));
        self.items.insert(key.into(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.rev += 1;
            let event = json!({"key": key, "rev": self.rev, "deleted": true});
            self.events.push((self.rev, event));
        }
    }

    /// Ends a lease; returns the keys that were removed with it.
    fn end_lease(&mut self, lease: u64) -> Vec<String> {
        self.leases.remove(&lease);
        let items = self.items.iter();
        let attached = items.filter(|(_, item)| item.lease == lease);
        let attached: Vec<String> = attached.map(|(key, _)| key.clone()).collect();
        for key in &attached {
            self.remove(key);
        }
        attached
    }

    fn handle(
        &mut self,
        method: &Method,
        path: &str,
        query: &BTreeMap<String, String>,
        body: &Value,
    ) -> (u16, Value) {
        match path {
            "/kv-range" => return self.range(query),
            "/kv-txn" => {
                self.writes += 1;
                return self.txn(body);
            }
            "/kv-lease" => {
                self.writes += 1;
                let asked = body["ttl_ms"].as_u64().unwrap_or(1000);
                let granted = if self.rounds_leases {
                    asked.div_ceil(1000) * 1000
                } else {
                    asked
                };
                let ttl = Duration::from_millis(granted);
                self.rev += 1;
                let id = self.rev + 77_000;
                self.leases.insert(id, (Instant::now() + ttl, ttl));
                return (200, json!({"lease": id, "ttl_ms": ttl.as_millis() as u64}));
            }
            _ => {}
        }
        let id = path
            .rsplit('/')
            .next()
            .and_then(|id| id.parse::<u64>().ok());
        let Some((id, lease)) = id.and_then(|id| Some((id, self.leases.get_mut(&id)?))) else {
            return (404, json!({}));
        };
        if *method == Method::DELETE {
            self.end_lease(id);
            return (200, json!({}));
        }
        lease.0 = Instant::now() + lease.1;
        (200, json!({"ttl_ms": lease.1.as_millis() as u64}))
    }

    fn range(&self, query: &BTreeMap<String, String>) -> (u16, Value) {
        let prefix = query.get("prefix").cloned().unwrap_or_default();
        let after = query.get("after").cloned().unwrap_or_default();
        let matches = |(key, _): &(&String, &Item)| key.starts_with(&prefix) && **key > after;
        let mut items: Vec<_> = self.items.iter().filter(matches).collect();
        let has_more = items.len() > PAGE_SIZE;
        items.truncate(PAGE_SIZE);
        let items = items.into_iter().map(|(key, item)| item_json(key, item));
        let items: Vec<_> = items.collect();
        let body = json!({"items": items, "has_more": has_more, "store_revision": self.rev});
        (200, body)
    }

    fn txn(&mut self, body: &Value) -> (u16, Value) {
        let rows = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        for row in rows("expected") {
            let key = row["key"].as_str().unwrap_or_default();
            let rev = self.items.get(key).map_or(0, |item| item.rev);
            if row["rev"].as_u64() != Some(rev) {
                return (412, json!({"items": []}));
            }
        }
        let puts = rows("puts");
        let leases = puts.iter().map(|row| row["lease"].as_u64().unwrap_or(0));
        if leases
            .into_iter()
            .any(|id| id != 0 && !self.leases.contains_key(&id))
        {
            return (404, json!({}));
        }
        for row in puts {
            let value = STANDARD.decode(row["value"].as_str().unwrap_or_default());
            self.put(
                row["key"].as_str().unwrap_or_default(),
                value.unwrap_or_default(),
                row["lease"].as_u64().unwrap_or(0),
            );
        }
        for key in rows("remove") {
            self.remove(key.as_str().unwrap_or_default());
        }
        (200, json!({"rev": self.rev}))
    }
}

fn answer(status: u16, body: &Value) -> Response<Full<Bytes>> {
    Response::builder()
        .status(status)
        .header("content-type", "application/json")
        .header("store-era", "1")
        .body(Full::new(body.to_string().into()))
        .expect("a valid response")
}

fn item_json(key: &str, item: &Item) -> Value {
    json!({
        "key": key,
        "value": STANDARD.encode(&item.value),
        "rev": item.rev,
        "create_revision": item.created,
        "lease": item.lease,
    })
}

fn parse_query(text: &str) -> BTreeMap<String, String> {
    let pairs = text.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .map(|(name, value)| (name.into(), value.into()))
        .collect()
}
