//! Stand-in of model servers that form groups, after the pages on engines and groups.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{AbortHandle, JoinSet};

use crate::http::{Connection, Head};
use crate::record::Record;
use crate::store::Store;

pub const SERVICE: &str = "tide-models";
pub const MODEL: &str = "rada7437b5";
pub const GROUP_SIZE: usize = 2;
pub const SLOTS: usize = 17;
const LOAD: Duration = Duration::from_secs(12);
const WARM: Duration = Duration::from_millis(1_100);
/// A join to the model of the last group.
const LOADED: Duration = Duration::from_millis(200);
const FORM: Duration = Duration::from_millis(300);
const STALL: Duration = Duration::from_millis(5_000);
const FIRST_EVENT: Duration = Duration::from_millis(110);
const EVENT_PAUSE: Duration = Duration::from_millis(40);
const EVENTS: usize = 5;
/// Time for which a server that starts during traffic is cold.
const COLD: Duration = Duration::from_secs(3);
/// Time from a crash until the server is back: some seconds.
const DOWN: Duration = Duration::from_secs(3);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Joining,
    Ready,
    Open,
    Closing,
    Broken,
}

impl Stage {
    fn name(self) -> &'static str {
        match self {
            Self::Joining => "joining",
            Self::Ready => "ready",
            Self::Open => "open",
            Self::Closing => "closing",
            Self::Broken => "broken",
        }
    }
}

#[derive(Debug, Clone)]
struct Membership {
    name: String,
    epoch: u64,
    members: Vec<String>,
    rank: usize,
    stage: Stage,
    model: String,
}

struct Engine {
    address: SocketAddr,
    zone: &'static str,
    fabric: String,
    born: u64,
    is_up: bool,
    /// Counts the lives, so that what an earlier one began has no effect.
    life: u64,
    orders: u64,
    checkins: u64,
    highest_epoch: u64,
    group: Option<Membership>,
    /// The model of the last group since the start.
    loaded: Option<String>,
    staged: Vec<String>,
    running: usize,
    cold_until: Option<Instant>,
    task: Option<AbortHandle>,
}

/// A request that reached an engine.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub id: String,
    pub at: Instant,
    pub is_crashing: bool,
}

#[derive(Default)]
struct State {
    engines: BTreeMap<String, Engine>,
    arrivals: Vec<Arrival>,
    begun: Vec<String>,
    crashes: Vec<Instant>,
    has_traffic: bool,
}

/// All engines of an installation; its clones are the same engines.
#[derive(Clone)]
pub struct Fleet {
    state: Arc<Mutex<State>>,
    store: Store,
    record: Record,
    /// The part of a prompt that crashes servers.
    crashing_part: &'static str,
    /// What ends each line of an event.
    line_end: &'static str,
}

fn now_ms() -> u64 {
    let time = SystemTime::now().duration_since(UNIX_EPOCH);
    time.map_or(0, |time| u64::try_from(time.as_millis()).unwrap_or(0))
}

impl Engine {
    /// What it says of itself, wherever it says it.
    fn describe(&self) -> Value {
        let model = self.group.as_ref().map(|group| &group.model);
        let models: Vec<_> = model.or(self.loaded.as_ref()).into_iter().collect();
        let models = models
            .iter()
            .map(|name| json!({"name": name, "version": 1, "adapters": []}));
        let mut value = json!({
            "stage": "both", "models": models.collect::<Vec<_>>(), "born": self.born,
            "domain": self.fabric, "staged": self.staged,
        });
        if let Some(group) = &self.group {
            value["group"] = json!({
                "name": group.name, "epoch": group.epoch, "rank": group.rank,
                "state": group.stage.name(),
            });
        }
        value
    }

    fn entry(&mut self) -> Value {
        self.checkins += 1;
        let mut value = self.describe();
        value["service"] = json!(SERVICE);
        value["address"] = json!(self.address.to_string());
        value["zone"] = json!(self.zone);
        value["version"] = json!("v1");
        value["slots"] = json!(SLOTS);
        value["state"] = json!("ready");
        let now = Instant::now();
        let cold = self
            .cold_until
            .map(|until| until.saturating_duration_since(now));
        value["cold_left_ms"] = json!(cold.unwrap_or_default().as_millis());
        value["seq"] = json!(self.checkins);
        value
    }

    fn is_in(&self, group: &str, epoch: u64) -> bool {
        let own = self.group.as_ref();
        own.is_some_and(|own| own.name == group && own.epoch == epoch)
    }
}

impl Fleet {
    pub fn new(store: &Store, record: &Record, crashing_part: &'static str) -> Self {
        Self {
            state: Arc::default(),
            store: store.clone(),
            record: record.clone(),
            crashing_part,
            line_end: "\n",
        }
    }

    /// Makes the lines of events end otherwise.
    pub fn with_line_end(self, line_end: &'static str) -> Self {
        Self { line_end, ..self }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic while locked")
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.state().arrivals.clone()
    }

    /// Returns the ids of the requests whose answers have begun.
    pub fn begun(&self) -> Vec<String> {
        self.state().begun.clone()
    }

    pub fn crashes(&self) -> Vec<Instant> {
        self.state().crashes.clone()
    }

    pub fn open_groups(&self) -> usize {
        let state = self.state();
        let groups = state.engines.values().filter(|engine| engine.is_up);
        let groups = groups.filter_map(|engine| engine.group.as_ref());
        groups.filter(|group| group.stage == Stage::Open).count()
    }

    pub fn note_traffic(&self) {
        self.state().has_traffic = true;
    }

    /// Adds an engine that has no model, and starts it.
    pub async fn add(&self, id: &str, zone: &'static str, fabric: &str) -> std::io::Result<()> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let engine = Engine {
            address: listener.local_addr()?,
            zone,
            fabric: fabric.into(),
            born: 0,
            is_up: false,
            life: 0,
            orders: 0,
            checkins: 0,
            highest_epoch: 0,
            group: None,
            loaded: None,
            staged: Vec::new(),
            running: 0,
            cold_until: None,
            task: None,
        };
        self.state().engines.insert(id.into(), engine);
        self.start(id, listener);
        Ok(())
    }

    fn start(&self, id: &str, listener: TcpListener) {
        let (fleet, own) = (self.clone(), id.to_string());
        let task = tokio::spawn(async move {
            let mut connections = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                let (fleet, own) = (fleet.clone(), own.clone());
                connections.spawn(async move { fleet.serve(&own, stream).await });
            }
        });
        {
            let mut state = self.state();
            let has_traffic = state.has_traffic;
            let Some(engine) = state.engines.get_mut(id) else {
                return;
            };
            engine.cold_until = has_traffic.then(|| Instant::now() + COLD);
            engine.born = now_ms();
            engine.is_up = true;
            engine.life += 1;
            engine.orders = 0;
            engine.checkins = 0;
            engine.highest_epoch = 0;
            engine.group = None;
            engine.loaded = None;
            engine.running = 0;
            engine.task = Some(task.abort_handle());
        }
        self.publish(id);
        self.later(id, COLD, |_| {});
    }

    /// Writes an engine's entry, as it does after each change.
    fn publish(&self, id: &str) {
        let entry = {
            let mut state = self.state();
            let engine = state.engines.get_mut(id).filter(|engine| engine.is_up);
            engine.map(Engine::entry)
        };
        if let Some(entry) = entry {
            self.store.put(&format!("servers/{id}"), &entry);
        }
    }

    /// Ends an engine at once; it is back after some seconds.
    fn crash(&self, id: &str) {
        let (address, task) = {
            let mut state = self.state();
            let Some(engine) = state.engines.get_mut(id).filter(|engine| engine.is_up) else {
                return;
            };
            engine.is_up = false;
            let ended = (engine.address, engine.task.take());
            state.crashes.push(Instant::now());
            ended
        };
        self.record.line(&format!("engine {id} crashes"));
        let (fleet, id) = (self.clone(), id.to_string());
        tokio::spawn(async move {
            if let Some(task) = task {
                task.abort();
            }
            tokio::time::sleep(DOWN).await;
            while let Err(error) = TcpListener::bind(address).await.map(|listener| {
                fleet.record.line(&format!("engine {id} is back"));
                fleet.start(&id, listener);
            }) {
                fleet
                    .record
                    .line(&format!("engine {id} can't start: {error}"));
                tokio::time::sleep(Duration::from_millis(200)).await;
            }
        });
    }

    /// Changes an engine after a time, unless it has ended since.
    fn later(&self, id: &str, after: Duration, change: impl FnOnce(&mut Engine) + Send + 'static) {
        let (fleet, id) = (self.clone(), id.to_string());
        let life = self.state().engines.get(&id).map(|engine| engine.life);
        tokio::spawn(async move {
            tokio::time::sleep(after).await;
            {
                let mut state = fleet.state();
                let engine = state.engines.get_mut(&id);
                let engine = engine.filter(|e| e.is_up && Some(e.life) == life);
                let Some(engine) = engine else { return };
                change(engine);
            }
            fleet.publish(&id);
        });
    }

    async fn serve(&self, id: &str, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(Some(head)) = connection.read_head().await {
            let Ok(body) = connection.read_body(&head).await else {
                return;
            };
            let expected = head.header("expect-instance");
            let is_other = expected.is_some_and(|expected| expected != id);
            let path = head.word(1).to_string();
            let written = if is_other {
                self.write(&mut connection, &head, 421, "", &json!({}))
                    .await
            } else if path == "/report" {
                let report = self.report(id);
                self.write(&mut connection, &head, 200, "", &report).await
            } else if path == "/order" {
                let status = self.order(id, &serde_json::from_slice(&body).unwrap_or_default());
                self.publish(id);
                self.write(&mut connection, &head, status, "", &json!({}))
                    .await
            } else if path.starts_with("/healthz") {
                self.write(&mut connection, &head, 200, "", &json!({}))
                    .await
            } else {
                self.run(id, &mut connection, &head).await
            };
            if written.is_err() {
                return;
            }
        }
    }

    async fn write(
        &self,
        connection: &mut Connection,
        head: &Head,
        status: u16,
        headers: &str,
        body: &Value,
    ) -> std::io::Result<()> {
        let id = head.header("request-id");
        let id = id.map_or_else(String::new, |id| format!("Request-Id: {id}\r\n"));
        let start = format!("HTTP/1.1 {status} Engine");
        let headers =
            format!("{id}Content-Type: application/json\r\nKeep-Alive: timeout=5\r\n{headers}");
        let body = body.to_string();
        connection.write(&start, &headers, body.as_bytes()).await
    }

    fn report(&self, id: &str) -> Value {
        let state = self.state();
        let Some(engine) = state.engines.get(id) else {
            return json!({});
        };
        let mut report = engine.describe();
        report["busy"] = json!(false);
        report["seq"] = json!(engine.orders);
        report["waiting"] = json!(0);
        report["running"] = json!(engine.running);
        report["kv_used"] = json!(0);
        report["kv_total"] = json!(1_860_000);
        report["handles"] = json!(0);
        report["pace"] = json!(1.0);
        report
    }

    fn order(&self, id: &str, order: &Value) -> u16 {
        let text = |name: &str| order[name].as_str().unwrap_or_default().to_string();
        let (op, group, epoch) = (text("op"), text("group"), order["epoch"].as_u64());
        let epoch = epoch.unwrap_or(0);
        let mut state = self.state();
        let has_traffic = state.has_traffic;
        let Some(engine) = state.engines.get_mut(id) else {
            return 409;
        };
        let expected = order["expected"].as_u64();
        if expected.is_some_and(|expected| expected != engine.orders) {
            return 409;
        }
        let load = if has_traffic { LOAD } else { LOAD / 10 };
        match op.as_str() {
            "join" => {
                let members = order["members"].as_array().cloned().unwrap_or_default();
                let members = members
                    .iter()
                    .filter_map(|id| id.as_str().map(String::from));
                let members: Vec<_> = members.collect();
                let Some(rank) = members.iter().position(|member| member == id) else {
                    return 409;
                };
                if epoch < engine.highest_epoch {
                    return 412;
                }
                if engine.is_in(&group, epoch) {
                    let own = engine.group.as_ref();
                    let is_same = own.is_some_and(|own| own.members == members);
                    return if is_same { 200 } else { 412 };
                }
                let model = text("model");
                let time = if engine.loaded.as_ref() == Some(&model) {
                    LOADED
                } else if engine.staged.contains(&model) {
                    WARM
                } else {
                    load
                };
                engine.highest_epoch = epoch;
                engine.orders += 1;
                engine.loaded = Some(model.clone());
                engine.group = Some(Membership {
                    name: group.clone(),
                    epoch,
                    members,
                    rank,
                    stage: Stage::Joining,
                    model: model.clone(),
                });
                drop(state);
                self.later(id, time, move |engine| {
                    engine.staged = vec![model];
                    if engine.is_in(&group, epoch)
                        && let Some(own) = engine.group.as_mut()
                    {
                        own.stage = Stage::Ready;
                    }
                });
                202
            }
            "open" => {
                if !engine.is_in(&group, epoch) {
                    return 409;
                }
                let Some(own) = engine.group.as_ref() else {
                    return 409;
                };
                match own.stage {
                    Stage::Open => 200,
                    Stage::Ready if own.rank == 0 => {
                        engine.orders += 1;
                        drop(state);
                        self.later(id, FORM, move |engine| {
                            if engine.is_in(&group, epoch)
                                && let Some(own) = engine.group.as_mut()
                                && own.stage == Stage::Ready
                            {
                                own.stage = Stage::Open;
                            }
                        });
                        202
                    }
                    _ => 409,
                }
            }
            "close" => {
                if !engine.is_in(&group, epoch) {
                    return 409;
                }
                let Some(own) = engine.group.as_mut() else {
                    return 409;
                };
                if own.stage != Stage::Open {
                    return 200;
                }
                own.stage = Stage::Closing;
                engine.orders += 1;
                drop(state);
                // Its requests end within a second.
                self.later(id, Duration::from_millis(700), move |engine| {
                    if engine.is_in(&group, epoch)
                        && let Some(own) = engine.group.as_mut()
                        && own.stage == Stage::Closing
                    {
                        own.stage = Stage::Ready;
                    }
                });
                202
            }
            "leave" => {
                if !engine.is_in(&group, epoch) {
                    return 200;
                }
                engine.orders += 1;
                engine.group = None;
                202
            }
            "stage" => {
                let model = text("model");
                if engine.staged.contains(&model) {
                    return 200;
                }
                engine.orders += 1;
                drop(state);
                self.later(id, load, move |engine| engine.staged = vec![model]);
                202
            }
            _ => 400,
        }
    }

    /// Returns the first member of a head's group that is dead or has left it.
    fn missing_member(&self, id: &str) -> Option<String> {
        let state = self.state();
        let own = state.engines.get(id)?.group.as_ref()?;
        let is_there = |member: &&String| {
            let engine = state.engines.get(*member);
            engine.is_some_and(|engine| engine.is_up && engine.is_in(&own.name, own.epoch))
        };
        own.members.iter().find(|member| !is_there(member)).cloned()
    }

    fn break_group(&self, id: &str) {
        {
            let mut state = self.state();
            let own = state.engines.get_mut(id).and_then(|e| e.group.as_mut());
            let Some(own) = own else { return };
            own.stage = Stage::Broken;
        }
        self.publish(id);
    }

    async fn run(&self, id: &str, connection: &mut Connection, head: &Head) -> std::io::Result<()> {
        let request = head.header("request-id").unwrap_or_default().to_string();
        let stage = {
            let state = self.state();
            let engine = state.engines.get(id);
            let own = engine.and_then(|engine| engine.group.as_ref());
            own.filter(|own| own.rank == 0).map(|own| own.stage)
        };
        match stage {
            Some(Stage::Open) => {}
            Some(Stage::Broken) => {
                let at = self.missing_member(id).unwrap_or_default();
                let headers = format!("Not-Run: 1\r\nAt-Server: {at}\r\n");
                return self
                    .write(connection, head, 503, &headers, &json!({}))
                    .await;
            }
            Some(Stage::Closing) => {
                let headers = "Not-Run: 1\r\n";
                return self.write(connection, head, 503, headers, &json!({})).await;
            }
            _ => return self.write(connection, head, 421, "", &json!({})).await,
        }
        let parts = head.header("prefix-hash").unwrap_or_default();
        let is_crashing = parts.contains(self.crashing_part);
        let load = {
            let mut state = self.state();
            state.arrivals.push(Arrival {
                id: request.clone(),
                at: Instant::now(),
                is_crashing,
            });
            let engine = state.engines.get_mut(id);
            engine.map_or(0, |engine| {
                engine.running += 1;
                engine.running
            })
        };
        self.record.line(&format!(
            "engine {id} got {request}{}",
            if is_crashing {
                ", which crashes it"
            } else {
                ""
            }
        ));
        let result = self
            .answer(id, connection, &request, (is_crashing, load))
            .await;
        let mut state = self.state();
        if let Some(engine) = state.engines.get_mut(id) {
            engine.running = engine.running.saturating_sub(1);
        }
        result
    }

    async fn answer(
        &self,
        id: &str,
        connection: &mut Connection,
        request: &str,
        (is_crashing, load): (bool, usize),
    ) -> std::io::Result<()> {
        tokio::time::sleep(FIRST_EVENT).await;
        self.wait_for_members(id).await?;
        if is_crashing {
            self.crash(id);
            // The task ends with the engine.
            return std::future::pending().await;
        }
        self.state().begun.push(request.to_string());
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\nServer-Stamp: {id}.{request}\r\n\
             Content-Type: text/event-stream\r\nServer-Load: {load},0,{SLOTS}\r\n\
             Weight-Versions: 1\r\nKeep-Alive: timeout=5\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        connection.stream.write_all(head.as_bytes()).await?;
        for number in 1..=EVENTS {
            self.wait_for_members(id).await?;
            let end = self.line_end;
            let event = format!("id: {number}{end}data: {request} piece {number}{end}{end}");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            connection.stream.write_all(chunk.as_bytes()).await?;
            tokio::time::sleep(EVENT_PAUSE).await;
        }
        connection.stream.write_all(b"0\r\n\r\n").await
    }

    /// Stalls while a member is missing; breaks the group, and the answer, when that lasts.
    async fn wait_for_members(&self, id: &str) -> std::io::Result<()> {
        let began = Instant::now();
        while self.missing_member(id).is_some() {
            if began.elapsed() >= STALL {
                self.break_group(id);
                return Err(std::io::ErrorKind::BrokenPipe.into());
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        Ok(())
    }
}
