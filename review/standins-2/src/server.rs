//! Stand-ins of the platform's servers: plain ones, and model servers that form groups.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use http::{HeaderMap, Request, Response};
use http_body_util::{BodyExt, Either, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, Semaphore, mpsc};

use crate::record::Record;
use crate::store::Store;

/// Interval at which a server writes its entry.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Time of a member's join if its model was the one of its last group, and if its weights are staged.
const JOIN_TIMES: (Duration, Duration) = (Duration::from_millis(200), Duration::from_millis(1_100));
/// Time from an order to open until a head serves.
const FORM_TIME: Duration = Duration::from_millis(300);
/// Time without a member after which a head is broken.
const STALL: Duration = Duration::from_secs(5);
/// Requests beyond its slots that a server queues.
const QUEUE: u32 = 24;

/// What a server is and how it behaves.
#[derive(Clone)]
pub struct Kind {
    pub service: &'static str,
    pub zone: &'static str,
    pub slots: u32,
    /// Time that a plain request takes, or the first event of a stream.
    pub work: Duration,
    /// Time for which it is cold after its start.
    pub cold: Duration,
    /// Requests within a second that crash it while it is cold.
    pub cold_crash: Option<usize>,
    /// Fabric domain; set for model servers.
    pub fabric: Option<String>,
    /// Model whose weights are staged at the start.
    pub staged: Option<&'static str>,
    /// Events of a stream, and the pause between them.
    pub events: (u64, Duration),
    /// Part of a prompt on which it crashes when it begins to write an answer.
    pub deadly_part: Option<String>,
    /// Path of the requests that crash it when it begins to run them.
    pub deadly_path: Option<&'static str>,
    /// Whether a crash leaves its connections silent. One on which bytes come meanwhile or later is closed
    /// once the server is back, as its machine does not know it any more; new ones are refused until then.
    pub goes_dark: bool,
    /// Time from a crash to the next start; `None` if it does not come back.
    pub restart: Option<Duration>,
}

impl Kind {
    pub fn plain(service: &'static str, zone: &'static str) -> Self {
        Self {
            service,
            zone,
            slots: 6,
            work: Duration::from_millis(60),
            cold: Duration::ZERO,
            cold_crash: None,
            fabric: None,
            staged: None,
            events: (0, Duration::ZERO),
            deadly_part: None,
            deadly_path: None,
            goes_dark: false,
            restart: None,
        }
    }
}

/// A request that reached a server, other than one that was answered 421.
#[derive(Clone)]
pub struct Arrival {
    pub at: Instant,
    pub server: String,
    pub is_cold: bool,
    /// Whether it crashes the server.
    pub is_deadly: bool,
}

/// What all servers saw.
#[derive(Default)]
pub struct Seen {
    pub arrivals: Vec<Arrival>,
    pub crashes: Vec<Instant>,
    /// Most servers that were down at the same time.
    pub most_down: usize,
}

struct State {
    born: u64,
    started: Instant,
    entry_seq: u64,
    order_count: u64,
    highest_epoch: u64,
    staged: Option<String>,
    last_model: Option<String>,
    group: Option<Group>,
    recent: VecDeque<Instant>,
    missing_since: Option<Instant>,
}

#[derive(Clone)]
struct Group {
    name: String,
    epoch: u64,
    rank: usize,
    members: Vec<String>,
    state: &'static str,
}

/// A server, over all its lifetimes.
#[derive(Clone)]
pub struct Server(Arc<Inner>);

struct Inner {
    id: String,
    address: SocketAddr,
    kind: Kind,
    store: Store,
    record: Arc<Record>,
    seen: Arc<Mutex<Seen>>,
    state: Mutex<State>,
    is_down: AtomicBool,
    /// Number of the lifetime; connections of earlier ones get no answers.
    lifetime: AtomicU32,
    crashed: Notify,
    running: AtomicU32,
    waiting: AtomicU32,
    slots: Arc<Semaphore>,
}

type Body = Either<Full<Bytes>, StreamBody<Events>>;

/// The events of a stream.
pub struct Events(mpsc::Receiver<Result<Frame<Bytes>, std::io::Error>>);

impl Events {
    fn poll(
        &mut self,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        self.0.poll_recv(cx)
    }
}

impl futures_core::Stream for Events {
    type Item = Result<Frame<Bytes>, std::io::Error>;

    fn poll_next(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Self::Item>> {
        self.poll(cx)
    }
}

impl Server {
    /// Starts a server, which writes its entry at once.
    pub async fn start(
        id: &str,
        kind: Kind,
        store: &Store,
        seen: &Arc<Mutex<Seen>>,
        record: &Arc<Record>,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let server = Self(Arc::new(Inner {
            id: id.into(),
            address: listener.local_addr()?,
            slots: Arc::new(Semaphore::new(kind.slots as usize)),
            state: Mutex::new(State::new(&kind)),
            kind,
            store: store.clone(),
            record: record.clone(),
            seen: seen.clone(),
            is_down: AtomicBool::new(false),
            lifetime: AtomicU32::new(0),
            crashed: Notify::new(),
            running: AtomicU32::new(0),
            waiting: AtomicU32::new(0),
        }));
        record.say(&format!("server {id} of {} starts", server.0.kind.service));
        tokio::spawn(server.clone().accept(listener));
        tokio::spawn(server.clone().send_heartbeats());
        Ok(server)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().expect("no panic while locked")
    }

    fn seen(&self) -> MutexGuard<'_, Seen> {
        self.0.seen.lock().expect("no panic while locked")
    }

    fn cold_left(&self) -> Duration {
        let started = self.state().started;
        self.0.kind.cold.saturating_sub(started.elapsed())
    }

    /// Returns what the server says of itself, in its entry and its report.
    fn describe(&self) -> Value {
        let cold_left = self.cold_left().as_millis();
        let cold_left = u64::try_from(cold_left).unwrap_or(0);
        let state = self.state();
        let kind = &self.0.kind;
        let mut entry = json!({
            "service": kind.service, "address": self.0.address, "zone": kind.zone, "version": "v1",
            "slots": kind.slots, "state": "ready", "cold_left_ms": cold_left, "born": state.born,
        });
        if let Some(fabric) = &kind.fabric {
            let models = state.group.as_ref().and(state.last_model.as_ref());
            let models = models.map(|name| json!({"name": name, "version": 1, "adapters": []}));
            entry["stage"] = json!("both");
            entry["domain"] = json!(fabric);
            entry["staged"] = json!(state.staged.iter().collect::<Vec<_>>());
            entry["models"] = json!(models.iter().collect::<Vec<_>>());
            entry["group"] = state.group.as_ref().map_or(Value::Null, |group| {
                json!({"name": group.name, "epoch": group.epoch, "rank": group.rank, "state": group.state})
            });
        }
        entry
    }

    fn write_entry(&self) {
        if self.0.is_down.load(Ordering::SeqCst) {
            return;
        }
        let mut entry = self.describe();
        let seq = {
            let mut state = self.state();
            state.entry_seq += 1;
            state.entry_seq
        };
        entry["seq"] = json!(seq);
        self.0.store.put(&format!("servers/{}", self.0.id), &entry);
    }

    async fn send_heartbeats(self) {
        loop {
            self.write_entry();
            let end = tokio::time::Instant::now() + HEARTBEAT;
            while tokio::time::Instant::now() < end {
                tokio::time::sleep(Duration::from_millis(50)).await;
                self.check_members();
            }
        }
    }

    /// Breaks a head whose members have been gone for too long; members of one process know each other.
    fn check_members(&self) {
        let group = self.state().group.clone();
        let Some(group) = group.filter(|g| g.rank == 0 && matches!(g.state, "open" | "closing"))
        else {
            self.state().missing_since = None;
            return;
        };
        let all = REGISTRY.lock().expect("no panic while locked").clone();
        let is_present = |id: &String| {
            all.iter().any(|other| {
                other.0.id == *id
                    && !other.0.is_down.load(Ordering::SeqCst)
                    && other
                        .state()
                        .group
                        .as_ref()
                        .is_some_and(|g| (&g.name, g.epoch) == (&group.name, group.epoch))
            })
        };
        let is_complete = group.members.iter().skip(1).all(is_present);
        let mut state = self.state();
        if is_complete {
            state.missing_since = None;
            return;
        }
        let since = *state.missing_since.get_or_insert_with(Instant::now);
        if since.elapsed() >= STALL {
            if let Some(group) = &mut state.group {
                group.state = "broken";
            }
            drop(state);
            self.0
                .record
                .line(&format!("server {} is broken", self.0.id));
            self.write_entry();
        }
    }

    /// Ends the lifetime: closes the listener, and all connections unless it goes dark.
    fn crash(&self, why: &str) {
        if self.0.is_down.swap(true, Ordering::SeqCst) {
            return;
        }
        self.0
            .record
            .say(&format!("server {} crashes: {why}", self.0.id));
        let all = REGISTRY.lock().expect("no panic while locked").clone();
        let is_down = |server: &&Server| server.0.is_down.load(Ordering::SeqCst);
        let down = all.iter().filter(is_down).count();
        {
            let mut seen = self.seen();
            seen.crashes.push(Instant::now());
            seen.most_down = seen.most_down.max(down);
        }
        self.0.crashed.notify_waiters();
    }

    /// Begins the next lifetime some time after a crash.
    async fn start_again(&self) {
        let Some(pause) = self.0.kind.restart else {
            return;
        };
        tokio::time::sleep(pause).await;
        let staged = self.state().staged.take();
        *self.state() = State {
            staged,
            ..State::new(&self.0.kind)
        };
        self.0.lifetime.fetch_add(1, Ordering::SeqCst);
        self.0.is_down.store(false, Ordering::SeqCst);
        self.0
            .record
            .line(&format!("server {} starts again", self.0.id));
        self.write_entry();
    }

    async fn accept(self, mut listener: TcpListener) {
        REGISTRY
            .lock()
            .expect("no panic while locked")
            .push(self.clone());
        loop {
            let stream = tokio::select! {
                accepted = listener.accept() => accepted,
                () = self.0.crashed.notified() => {
                    drop(listener);
                    self.start_again().await;
                    let Ok(again) = TcpListener::bind(self.0.address).await else {
                        self.0.record.say(&format!("server {} cannot start again", self.0.id));
                        return;
                    };
                    listener = again;
                    continue;
                }
            };
            if let Ok((stream, _)) = stream {
                tokio::spawn(self.clone().serve(stream));
            }
        }
    }

    async fn serve(self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let lifetime = self.0.lifetime.load(Ordering::SeqCst);
        let service_server = self.clone();
        let unknown = Arc::new(Notify::new());
        let is_unknown = unknown.clone();
        let service = service_fn(move |request| {
            let server = service_server.clone();
            let unknown = unknown.clone();
            async move {
                if server.is_dark(lifetime) {
                    server.wait_until_back(lifetime).await;
                    unknown.notify_one();
                    std::future::pending::<()>().await;
                }
                let response = server.respond(request).await;
                server.wait_if_dark(lifetime).await;
                Ok::<_, Infallible>(response)
            }
        });
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        tokio::select! {
            // The peer may close or reset it at any time.
            _ = connection => {}
            () = self.0.crashed.notified(), if !self.0.kind.goes_dark => {}
            () = is_unknown.notified() => {}
        }
    }

    /// Returns whether a lifetime has ended.
    fn is_dark(&self, lifetime: u32) -> bool {
        let is_over = self.0.lifetime.load(Ordering::SeqCst) != lifetime;
        is_over || self.0.is_down.load(Ordering::SeqCst)
    }

    /// Waits until the server runs in a later lifetime.
    async fn wait_until_back(&self, lifetime: u32) {
        while self.0.lifetime.load(Ordering::SeqCst) == lifetime {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Never returns on a connection of a lifetime that has ended.
    async fn wait_if_dark(&self, lifetime: u32) {
        if self.is_dark(lifetime) {
            std::future::pending::<()>().await;
        }
    }

    async fn respond(&self, request: Request<Incoming>) -> Response<Body> {
        let (parts, body) = request.into_parts();
        let body = body
            .collect()
            .await
            .map(http_body_util::Collected::to_bytes);
        let body = body.unwrap_or_default();
        let headers = &parts.headers;
        let id = header(headers, "request-id").to_string();
        let expected = header(headers, "expect-instance");
        if !expected.is_empty() && expected != self.0.id {
            return full(421, &[("instance-id", &self.0.id), ("request-id", &id)], "");
        }
        match parts.uri.path() {
            "/report" => {
                let mut report = self.describe();
                report["seq"] = json!(self.state().order_count);
                report["busy"] = json!(false);
                report["running"] = json!(self.0.running.load(Ordering::SeqCst));
                report["waiting"] = json!(self.0.waiting.load(Ordering::SeqCst));
                report["pace"] = json!(1.0);
                return full(
                    200,
                    &[("content-type", "application/json")],
                    &report.to_string(),
                );
            }
            "/order" => {
                let order = serde_json::from_slice(&body).unwrap_or_default();
                let status = self.apply_order(&order);
                self.0
                    .record
                    .line(&format!("order to {}: {order} -> {status}", self.0.id));
                return full(status, &[], "");
            }
            "/healthz" => return full(200, &[("instance-id", &self.0.id)], ""),
            _ => {}
        }
        self.run(&id, headers, parts.uri.path()).await
    }

    async fn run(&self, id: &str, headers: &HeaderMap, path: &str) -> Response<Body> {
        let parts = header(headers, "prefix-hash");
        let deadly = self.0.kind.deadly_part.as_deref();
        let is_deadly = deadly.is_some_and(|deadly| {
            let mut ids = parts
                .split(',')
                .map(|part| part.split(':').next().unwrap_or(part));
            ids.any(|part| part == deadly)
        });
        let is_deadly = is_deadly || self.0.kind.deadly_path == Some(path);
        let is_cold = !self.cold_left().is_zero();
        let now = Instant::now();
        self.seen().arrivals.push(Arrival {
            at: now,
            server: self.0.id.clone(),
            is_cold,
            is_deadly,
        });
        self.0.record.line(&format!(
            "request {id} reaches {}{}{}",
            self.0.id,
            if is_cold { ", cold" } else { "" },
            if is_deadly {
                ", with the deadly part"
            } else {
                ""
            },
        ));
        if let Some(most) = self.0.kind.cold_crash.filter(|_| is_cold) {
            let count = {
                let mut state = self.state();
                state
                    .recent
                    .retain(|at| now.duration_since(*at) < Duration::from_secs(1));
                state.recent.push_back(now);
                state.recent.len()
            };
            if count > most {
                self.crash(&format!(
                    "{count} requests within a second while it is cold"
                ));
                std::future::pending::<()>().await;
            }
        }
        let load = self.load();
        let mut answer = vec![
            ("request-id", id.to_string()),
            ("server-load", load),
            ("keep-alive", "timeout=5".to_string()),
        ];
        let is_head = {
            let state = self.state();
            let group = state.group.as_ref();
            self.0.kind.fabric.is_none() || group.is_some_and(|g| g.rank == 0 && g.state == "open")
        };
        if !is_head || self.0.waiting.load(Ordering::SeqCst) >= QUEUE {
            answer.push(("not-run", "1".to_string()));
            return full(if is_head { 503 } else { 421 }, &as_refs(&answer), "");
        }
        let guard = Waiting::begin(&self.0.waiting);
        let Ok(permit) = self.0.slots.clone().acquire_owned().await else {
            return full(503, &as_refs(&answer), "");
        };
        drop(guard);
        let running = Waiting::begin(&self.0.running);
        answer.push(("server-stamp", format!("stamp-{}-{id}", self.0.id)));
        tokio::time::sleep(self.0.kind.work).await;
        if self.0.is_down.load(Ordering::SeqCst) {
            std::future::pending::<()>().await;
        }
        if is_deadly {
            self.crash(&format!("request {id} is deadly"));
            std::future::pending::<()>().await;
        }
        self.0
            .record
            .line(&format!("request {id} runs on {}", self.0.id));
        let (count, pause) = self.0.kind.events;
        if self.0.kind.fabric.is_none() {
            drop((permit, running));
            return full(200, &as_refs(&answer), &format!("answer to {id}"));
        }
        let (tx, rx) = mpsc::channel(1);
        let resume_from: u64 = header(headers, "last-event-id").parse().unwrap_or(0);
        let text = id.to_string();
        let server = self.clone();
        tokio::spawn(async move {
            let _held = (permit, running_of(&server));
            let lifetime = server.0.lifetime.load(Ordering::SeqCst);
            for number in resume_from + 1..=count {
                server.wait_if_dark(lifetime).await;
                let event = format!("id: {number}\ndata: {text} piece {number}\n\n");
                if tx.send(Ok(Frame::data(event.into()))).await.is_err() {
                    return;
                }
                tokio::time::sleep(pause).await;
            }
        });
        drop(running);
        let mut response = Response::new(Either::Right(StreamBody::new(Events(rx))));
        for (name, value) in answer {
            if let Ok(value) = value.parse() {
                response.headers_mut().insert(name, value);
            }
        }
        let kind = http::HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert("content-type", kind);
        response
    }

    fn load(&self) -> String {
        let running = self.0.running.load(Ordering::SeqCst);
        let waiting = self.0.waiting.load(Ordering::SeqCst);
        format!("{running},{waiting},{}", self.0.kind.slots)
    }

    /// Applies an order; returns the status.
    fn apply_order(&self, order: &Value) -> u16 {
        let text = |name: &str| order[name].as_str().unwrap_or_default().to_string();
        let epoch = order["epoch"].as_u64().unwrap_or(0);
        let mut state = self.state();
        if order["expected"]
            .as_u64()
            .is_some_and(|n| n != state.order_count)
        {
            return 409;
        }
        let is_current = state
            .group
            .as_ref()
            .is_some_and(|g| g.name == text("group") && g.epoch == epoch);
        let status = match order["op"].as_str() {
            Some("join") if epoch < state.highest_epoch => 412,
            Some("join") if is_current => 200,
            Some("join") => {
                let members = order["members"].as_array().cloned().unwrap_or_default();
                let members: Vec<_> = members
                    .iter()
                    .filter_map(|id| id.as_str().map(str::to_string))
                    .collect();
                let Some(rank) = members.iter().position(|id| *id == self.0.id) else {
                    return 409;
                };
                let model = text("model");
                let is_same = state.last_model.as_deref() == Some(model.as_str());
                state.highest_epoch = epoch;
                state.last_model = Some(model.clone());
                state.staged = Some(model);
                state.group = Some(Group {
                    name: text("group"),
                    epoch,
                    rank,
                    members,
                    state: "joining",
                });
                let time = if is_same { JOIN_TIMES.0 } else { JOIN_TIMES.1 };
                self.change_later(time, epoch, ("joining", "ready"));
                202
            }
            Some("open") if is_current => match state.group.as_ref().map(|g| g.state) {
                Some("ready") => {
                    self.change_later(FORM_TIME, epoch, ("ready", "open"));
                    202
                }
                Some("open") => 200,
                _ => 409,
            },
            Some("close") if is_current => {
                if let Some(group) = &mut state.group {
                    group.state = "ready";
                }
                202
            }
            Some("leave") if is_current => {
                state.group = None;
                200
            }
            Some("stage") => {
                state.staged = Some(text("model"));
                202
            }
            Some("open" | "close" | "leave") => 409,
            _ => 400,
        };
        state.order_count += u64::from(status == 202);
        drop(state);
        let server = self.clone();
        tokio::spawn(async move { server.write_entry() });
        status
    }

    /// Moves the group of an epoch from one state to another after a time.
    fn change_later(&self, time: Duration, epoch: u64, (from, to): (&'static str, &'static str)) {
        let server = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(time).await;
            {
                let mut state = server.state();
                match &mut state.group {
                    Some(group) if group.epoch == epoch && group.state == from => group.state = to,
                    _ => return,
                }
            }
            server.write_entry();
        });
    }
}

/// All servers of this process.
static REGISTRY: Mutex<Vec<Server>> = Mutex::new(Vec::new());

impl State {
    fn new(kind: &Kind) -> Self {
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            born: born.map_or(0, |time| u64::try_from(time.as_millis()).unwrap_or(0)),
            started: Instant::now(),
            entry_seq: 0,
            order_count: 0,
            highest_epoch: 0,
            staged: kind.staged.map(str::to_string),
            last_model: None,
            group: None,
            recent: VecDeque::new(),
            missing_since: None,
        }
    }
}

/// Counts one request until dropped.
struct Waiting<'a>(&'a AtomicU32);

impl<'a> Waiting<'a> {
    fn begin(count: &'a AtomicU32) -> Self {
        count.fetch_add(1, Ordering::SeqCst);
        Self(count)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

fn running_of(server: &Server) -> Waiting<'_> {
    Waiting::begin(&server.0.running)
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default()
}

fn as_refs<'a>(headers: &'a [(&'a str, String)]) -> Vec<(&'a str, &'a str)> {
    headers
        .iter()
        .map(|(name, value)| (*name, value.as_str()))
        .collect()
}

fn full(status: u16, headers: &[(&str, &str)], body: &str) -> Response<Body> {
    let mut builder = Response::builder().status(status);
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    let body = Full::new(Bytes::copy_from_slice(body.as_bytes()));
    builder.body(Either::Left(body)).expect("a valid response")
}
