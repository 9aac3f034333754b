//! Stand-ins of model servers, after PROTOCOL.md: reports, orders and groups. They run no requests.

use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Message, read_message, write_answer};
use crate::json::Json;
use crate::record::Record;
use crate::store::Store;

pub const SERVICE: &str = "pool";
pub const MODEL: &str = "daka510000";
const CHECK_IN: Duration = Duration::from_millis(1_200);
/// `warm_s`, and the time of a join whose model was that of the last group.
const WARM: Duration = Duration::from_millis(1_100);
const SAME_MODEL: Duration = Duration::from_millis(200);
/// `form_ms` and `stall_ms`.
const FORM: Duration = Duration::from_millis(300);
const STALL: Duration = Duration::from_secs(5);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    Joining,
    Ready,
    Open,
    Broken,
}

#[derive(Debug, Clone)]
pub struct Group {
    pub name: String,
    pub epoch: u64,
    members: Vec<String>,
    pub state: State,
    /// When it is ready, or opens.
    next_at: Option<Instant>,
    stalled_since: Option<Instant>,
}

#[derive(Debug, Clone)]
struct Engine {
    id: String,
    address: SocketAddr,
    group: Option<Group>,
    last_model: bool,
    highest_epoch: u64,
    orders: u64,
    check_ins: u64,
    written: Option<String>,
    written_at: Option<Instant>,
}

/// An order as it arrived.
#[derive(Debug, Clone)]
pub struct Order {
    pub to: String,
    pub op: String,
    pub group: String,
    pub epoch: u64,
    pub members: Vec<String>,
}

/// What a stand-in does with an order: answer it at once, or leave it unanswered (and carry it out by
/// [`Engines::carry_out`] 2 to 12 s later).
pub type Handling = Box<dyn FnMut(&Order) -> bool + Send>;

/// All model servers.
#[derive(Clone)]
pub struct Engines {
    all: Arc<Mutex<Vec<Engine>>>,
    born: u128,
    record: Record,
    is_answered: Arc<Mutex<Handling>>,
    /// Orders by which the rule TWO was broken.
    broken: Arc<Mutex<Vec<String>>>,
    received: Arc<AtomicUsize>,
}

impl Engines {
    pub fn start(count: usize, store: &Store, record: &Record, is_answered: Handling) -> Self {
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let engines = Self {
            all: Arc::default(),
            born: born.map_or(0, |born| born.as_millis()),
            record: record.clone(),
            is_answered: Arc::new(Mutex::new(is_answered)),
            broken: Arc::default(),
            received: Arc::default(),
        };
        for number in 1..=count {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
            let id = format!("i-{number}");
            engines.lock().push(Engine {
                id: id.clone(),
                address: listener.local_addr().expect("an address"),
                group: None,
                last_model: false,
                highest_epoch: 0,
                orders: 0,
                check_ins: 0,
                written: None,
                written_at: None,
            });
            let engines = engines.clone();
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let (engines, id) = (engines.clone(), id.clone());
                    thread::spawn(move || engines.serve(&id, stream));
                }
            });
        }
        let (writing, store) = (engines.clone(), store.clone());
        thread::spawn(move || {
            loop {
                writing.write_entries(&store);
                thread::sleep(Duration::from_millis(20));
            }
        });
        engines
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Engine>> {
        self.all.lock().expect("no panic while locked")
    }

    pub fn broken(&self) -> Vec<String> {
        self.broken.lock().expect("no panic while locked").clone()
    }

    /// Returns how many orders have arrived.
    pub fn received(&self) -> usize {
        self.received.load(Ordering::SeqCst)
    }

    /// Returns how many heads are open.
    pub fn open_heads(&self) -> usize {
        let mut all = self.lock();
        advance(&mut all);
        let is_open = |engine: &&Engine| {
            engine
                .group
                .as_ref()
                .is_some_and(|g| g.state == State::Open)
        };
        all.iter().filter(is_open).count()
    }

    fn serve(&self, id: &str, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader) {
            let answer = match (request.method(), request.second_word()) {
                ("GET", "/report") => Some((200, self.report(id))),
                ("POST", "/order") => {
                    let order = read_order(id, &request);
                    self.received.fetch_add(1, Ordering::SeqCst);
                    let handling = &mut *self.is_answered.lock().expect("no panic while locked");
                    if handling(&order) {
                        Some((self.carry_out(&order, "at once"), "{}".into()))
                    } else {
                        self.record
                            .add(format!("{id} leaves unanswered: {}", describe(&order)));
                        None
                    }
                }
                _ => Some((404, "{}".into())),
            };
            let Some((status, body)) = answer else {
                // The caller gives up; nothing comes back on this connection.
                thread::sleep(Duration::from_secs(13));
                return;
            };
            let headers = [
                ("Content-Type", "application/json"),
                ("Keep-Alive", "timeout=5"),
            ];
            if write_answer(&mut writer, status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Carries out an order; returns the status of its answer.
    pub fn carry_out(&self, order: &Order, when: &str) -> u16 {
        let mut all = self.lock();
        advance(&mut all);
        let status = self.apply(&mut all, order);
        self.record
            .add(format!("{} carried out {when}: {status}", describe(order)));
        status
    }

    fn apply(&self, all: &mut [Engine], order: &Order) -> u16 {
        let now = Instant::now();
        let index = all.iter().position(|engine| engine.id == order.to);
        let index = index.expect("a known server");
        let is_in = |group: &Group| group.name == order.group && group.epoch == order.epoch;
        let current = all[index].group.clone();
        let own = current.clone().filter(|group| is_in(group));
        if order.op == "join" {
            if order.epoch < all[index].highest_epoch {
                return 412;
            }
            if let Some(own) = own {
                return if own.members == order.members {
                    200
                } else {
                    412
                };
            }
            if let Some(current) = &current {
                self.check_two(all, order, current);
            }
            let engine = &mut all[index];
            let time = if engine.last_model { SAME_MODEL } else { WARM };
            engine.highest_epoch = order.epoch;
            engine.last_model = true;
            engine.orders += 1;
            engine.group = Some(Group {
                name: order.group.clone(),
                epoch: order.epoch,
                members: order.members.clone(),
                state: State::Joining,
                next_at: Some(now + time),
                stalled_since: None,
            });
            return 202;
        }
        let is_head = order.members_head(current.as_ref());
        let Some(mut group) = own else {
            return 409;
        };
        let status = match (order.op.as_str(), group.state) {
            ("open", State::Ready) if is_head => {
                group.next_at = Some(now + FORM);
                202
            }
            ("open", State::Open) => 200,
            ("close", State::Open) => {
                group.state = State::Ready;
                202
            }
            ("close", State::Ready) => 200,
            ("leave", _) => {
                all[index].group = None;
                all[index].orders += 1;
                return 200;
            }
            _ => return 409,
        };
        all[index].orders += u64::from(status == 202);
        all[index].group = Some(group);
        status
    }

    /// Records if the head of the server's present group is open. (It runs no requests, so it never is
    /// closing.)
    fn check_two(&self, all: &[Engine], order: &Order, current: &Group) {
        let head = all
            .iter()
            .find(|engine| Some(&engine.id) == current.members.first());
        let state = head.and_then(|head| head.group.as_ref());
        let state = state.filter(|g| g.name == current.name && g.epoch == current.epoch);
        if let Some(group) = state
            && group.state == State::Open
        {
            let line = format!(
                "TWO: {} while its head {} is {:?} in {}",
                describe(order),
                current.members[0],
                group.state,
                current.name
            );
            self.record.add(&line);
            self.broken
                .lock()
                .expect("no panic while locked")
                .push(line);
        }
    }

    fn report(&self, id: &str) -> String {
        let mut all = self.lock();
        advance(&mut all);
        let engine = all.iter().find(|engine| engine.id == id);
        let engine = engine.expect("a known server");
        format!(
            "{{\"stage\":\"both\",\"busy\":false,\"seq\":{},\"waiting\":0,\"running\":0,\"kv_used\":0,\
             \"kv_total\":1860000,\"handles\":0,\"pace\":1.0,{}}}",
            engine.orders,
            self.common(engine)
        )
    }

    /// Fields that entries and reports have in common.
    fn common(&self, engine: &Engine) -> String {
        let models = if engine.last_model {
            format!("{{\"name\":\"{MODEL}\",\"version\":1,\"adapters\":[]}}")
        } else {
            String::new()
        };
        let group = engine.group.as_ref().map_or(String::new(), |group| {
            let rank = group.members.iter().position(|member| *member == engine.id);
            let state = format!("{:?}", group.state).to_lowercase();
            format!(
                ",\"group\":{{\"name\":\"{}\",\"epoch\":{},\"rank\":{},\"state\":\"{state}\"}}",
                group.name,
                group.epoch,
                rank.unwrap_or(0)
            )
        });
        format!(
            "\"born\":{},\"models\":[{models}],\"domain\":\"d1\",\"staged\":[\"{MODEL}\"]{group}",
            self.born
        )
    }

    fn write_entries(&self, store: &Store) {
        let mut all = self.lock();
        advance(&mut all);
        let now = Instant::now();
        let common: Vec<String> = all.iter().map(|engine| self.common(engine)).collect();
        for (engine, common) in all.iter_mut().zip(common) {
            let is_due = engine
                .written_at
                .is_none_or(|at| now.saturating_duration_since(at) >= CHECK_IN);
            if !is_due && engine.written.as_ref() == Some(&common) {
                continue;
            }
            engine.check_ins += 1;
            let entry = format!(
                "{{\"service\":\"{SERVICE}\",\"address\":\"{}\",\"zone\":\"a\",\"version\":\"v1\",\
                 \"slots\":17,\"state\":\"ready\",\"cold_left_ms\":0,\"stage\":\"both\",\"seq\":{},{common}}}",
                engine.address, engine.check_ins
            );
            store.put(&format!("servers/{}", engine.id), &entry);
            engine.written = Some(common);
            engine.written_at = Some(now);
        }
    }
}

impl Order {
    /// Returns whether the recipient is the head of a group.
    fn members_head(&self, group: Option<&Group>) -> bool {
        group.is_some_and(|group| group.members.first() == Some(&self.to))
    }
}

/// Lets joins, openings and stalls that are due take effect.
fn advance(all: &mut [Engine]) {
    let now = Instant::now();
    let groups: Vec<(String, Option<(String, u64)>)> = all
        .iter()
        .map(|engine| {
            let group = engine.group.as_ref();
            let group = group.filter(|group| group.state != State::Joining);
            (engine.id.clone(), group.map(|g| (g.name.clone(), g.epoch)))
        })
        .collect();
    for engine in all {
        let Some(group) = &mut engine.group else {
            continue;
        };
        if group.next_at.is_some_and(|at| at <= now) {
            group.next_at = None;
            group.state = match group.state {
                State::Joining => State::Ready,
                State::Ready => State::Open,
                other => other,
            };
        }
        let own = Some((group.name.clone(), group.epoch));
        let is_whole = group
            .members
            .iter()
            .all(|member| groups.iter().any(|(id, at)| id == member && *at == own));
        if group.state != State::Open || is_whole {
            group.stalled_since = None;
        } else if now.saturating_duration_since(*group.stalled_since.get_or_insert(now)) >= STALL {
            group.state = State::Broken;
        }
    }
}

fn read_order(to: &str, request: &Message) -> Order {
    let body = Json::parse(&request.body_text()).unwrap_or(Json::Null);
    let members = body.get("members").list().iter();
    Order {
        to: to.into(),
        op: body.get("op").text().into(),
        group: body.get("group").text().into(),
        epoch: body.get("epoch").number(),
        members: members.map(|member| member.text().to_string()).collect(),
    }
}

pub fn describe(order: &Order) -> String {
    let members = if order.members.is_empty() {
        String::new()
    } else {
        format!(" with {}", order.members.join(","))
    };
    format!("{} {} {}{members}", order.to, order.op, order.group)
}
