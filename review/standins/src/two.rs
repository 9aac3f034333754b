//! Orders are left unanswered and carried out late while the process that gave them is killed.

use std::sync::mpsc::{Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

use crate::engines::{Engines, MODEL, Order, SERVICE, describe};
use crate::node::{Node, RESTART_DELAY, Settings};
use crate::record::Record;
use crate::store::Store;
use crate::{Folder, Verdict, has_trouble};

const CLAIM: &str = "shallottide/stewards/a";
/// Times after which an order without an answer is carried out.
const EARLIEST: Duration = Duration::from_secs(2);
const LATEST: Duration = Duration::from_secs(12);

fn config() -> String {
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"r-ask\",\"hostname\":\"shop.example\",\
         \"prefix\":\"/ask/\",\"kind\":\"streaming\",\"timeout_ms\":8000,\"target_latency_ms\":400,\
         \"priority\":1,\"service\":\"{SERVICE}\",\"max_attempts\":2,\"public\":true,\
         \"sticky\":true,\"resumable\":true,\"gap_aim_ms\":300}}],\"services\":[{{\
         \"name\":\"{SERVICE}\",\"health_path\":\"/healthz\",\"max_conns\":348,\"protocol\":\"h1\",\
         \"tls\":false,\"cold_start_s\":3.0,\"cold_per_s\":36.0,\"engine\":{{\"slots\":17,\
         \"kv_tokens\":1860000,\"stride\":5,\"models\":[{{\"name\":\"{MODEL}\",\"size\":2,\
         \"share\":1.0,\"pace\":1.0,\"load_s\":12.0,\"warm_s\":1.1}}],\"step_ms\":7.8,\
         \"per_seq_ms\":0.0947,\"context_per_k\":0.0096,\"read_per_s\":45900.0,\"chunk\":2048,\
         \"report_lag_ms\":200.0,\"loads_per_s\":5.0,\"loads_at_once\":7,\"keeps\":1,\"far_x\":3.0,\
         \"form_ms\":300.0}}}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}

/// What happens at the one server whose orders come late.
enum Event {
    /// An order that was left unanswered.
    Late(Order),
}

/// Chooses the orders that are left unanswered: at the head of the first group, the first join, the
/// first open, and the first join of a later group. All others are answered at once.
fn choose_late(tx: Sender<Event>) -> impl FnMut(&Order) -> bool + Send {
    let mut head: Option<String> = None;
    let mut first: Option<u64> = None;
    let (mut has_open, mut has_second) = (false, false);
    move |order| {
        if head.is_none() && order.op == "join" {
            head = order.members.first().cloned();
        }
        if head.as_ref() != Some(&order.to) {
            return true;
        }
        let is_late = match order.op.as_str() {
            "join" if first.is_none() => {
                first = Some(order.epoch);
                true
            }
            "join" if first.is_some_and(|first| order.epoch > first) => {
                !std::mem::replace(&mut has_second, true)
            }
            "open" => !std::mem::replace(&mut has_open, true),
            _ => false,
        };
        if is_late {
            let _ = tx.send(Event::Late(order.clone()));
        }
        !is_late
    }
}

pub fn play(record: &Record) -> Verdict {
    let folder = Folder::new();
    let store = Store::start();
    let (tx, rx) = channel();
    let trouble = has_trouble();
    let handling: Box<dyn FnMut(&Order) -> bool + Send> = if trouble {
        Box::new(choose_late(tx))
    } else {
        Box::new(|_: &Order| true)
    };
    store.put("op/config", &config());
    let engines = Engines::start(4, &store, record, handling);
    let start = |name: &str| {
        Node::start(&Settings {
            name,
            zone: "a",
            store: store.address,
            folder: &folder.0,
            zones: "zones.a=south\n",
            further: "",
        })
    };
    let mut nodes = vec![start("front-a-1"), start("front-a-2"), start("front-a-3")];
    let end = Instant::now() + Duration::from_secs(25);
    // Orders that are due late, with their arrival.
    let mut late: Vec<(Instant, Order)> = Vec::new();
    let mut second_at: Option<Instant> = None;
    let mut joined_at: Option<Instant> = None;
    let mut killed: Option<(Instant, String)> = None;
    let mut late_times: Vec<f64> = Vec::new();
    while Instant::now() < end {
        for Event::Late(order) in rx.try_iter() {
            let now = Instant::now();
            if order.op == "open" {
                let holder = store.get(CLAIM).unwrap_or_default();
                record.add(format!("{holder}, which gives the orders, is killed"));
                for node in nodes.iter_mut().filter(|node| node.name == holder) {
                    node.kill();
                }
                killed = Some((now, holder));
            }
            if order.op == "join" && !late.is_empty() {
                second_at = Some(now);
            }
            late_times.push(record.now());
            late.push((now, order));
        }
        let now = Instant::now();
        if let Some((_, name)) = killed.take_if(|(at, _)| now >= *at + RESTART_DELAY) {
            record.add(format!("{name} is started again"));
            for node in nodes.iter_mut().filter(|node| node.name == name) {
                node.restart();
            }
        }
        // The order in which the late ones are carried out, each 2 to 12 s after its arrival.
        let due = late.iter().position(|(at, order)| {
            let age = now.saturating_duration_since(*at);
            let since = |at: Option<Instant>| at.map(|at| now.saturating_duration_since(at));
            let is_next = match order.op.as_str() {
                "open" => since(joined_at) >= Some(Duration::from_millis(350)),
                _ if second_at == Some(*at) => age >= Duration::from_secs(8),
                _ => since(second_at) >= Some(Duration::from_millis(150)),
            };
            age >= EARLIEST && (is_next || age + Duration::from_millis(200) >= LATEST)
        });
        if let Some(due) = due {
            let (at, order) = late.remove(due);
            let age = now.saturating_duration_since(at).as_secs_f64();
            engines.carry_out(&order, &format!("late, after {age:.1} s"));
            if order.op == "join" && joined_at.is_none() {
                joined_at = Some(now);
            }
        }
        thread::sleep(Duration::from_millis(10));
    }
    for (_, order) in &late {
        record.add(format!("not carried out: {}", describe(order)));
    }
    let span =
        late_times.last().copied().unwrap_or(0.0) - late_times.first().copied().unwrap_or(0.0);
    record.add(format!(
        "{} of {} orders were left unanswered, within {span:.1} s",
        late_times.len(),
        engines.received()
    ));
    let broken = engines.broken();
    let open = engines.open_heads();
    record.add(format!(
        "{} joins of another group while the head was open; {open} heads are open at the end",
        broken.len()
    ));
    if !trouble && open == 0 {
        return Verdict::NotRun("no group was formed".into());
    }
    if broken.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}
