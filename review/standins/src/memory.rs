//! Many clients send long requests at once; the platform kills a process that exceeds its memory.

use std::collections::BTreeSet;
use std::io::BufReader;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{read_message, write_request};
use crate::node::{Node, RESTART_DELAY, Settings, ZONES};
use crate::record::Record;
use crate::server::Server;
use crate::store::Store;
use crate::{Folder, Verdict, has_trouble};

/// `limits.memory_mb` of the settings.
const MEMORY_MB: u64 = 260;
/// Bytes of one request; `max_body_bytes` of the configuration is 4,194,304.
const BODY_BYTES: usize = 4_000_000;
const WORK: Duration = Duration::from_secs(4);
/// Clients of each node at usual times; each waits for its answer before it sends again.
const CLIENTS: usize = 40;
/// Further clients of each node in the burst: 1.7 times the usual ones in all.
const BURST_CLIENTS: usize = 28;
/// Times at which the burst begins and the case ends; the burst sends for 2 s.
const BURST_AT: Duration = Duration::from_secs(12);
const END: Duration = Duration::from_secs(24);

fn config() -> String {
    "{\"version\":1,\"routes\":[{\"name\":\"r-book\",\"hostname\":\"shop.example\",\
     \"prefix\":\"/book/\",\"kind\":\"non_idempotent\",\"timeout_ms\":16000,\
     \"target_latency_ms\":8000,\"priority\":2,\"service\":\"depot\",\"max_attempts\":1,\
     \"public\":true}],\"services\":[{\"name\":\"depot\",\"health_path\":\"/healthz\",\
     \"max_conns\":308,\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\
     \"cold_per_s\":0.0}],\"limits\":{\"max_header_bytes\":16384,\
     \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}"
        .into()
}

struct Clients {
    record: Record,
    is_over: AtomicBool,
    /// Requests that were sent over a kept connection which then ended without an answer.
    lost: Mutex<BTreeSet<String>>,
    answered: AtomicU64,
    refused: AtomicU64,
}

impl Clients {
    /// Sends requests over one connection after another until the case is over.
    fn run(&self, name: &str, front: SocketAddr, requests: usize) {
        let mut number = 0;
        while number < requests && !self.is_over.load(Ordering::SeqCst) {
            let Ok(mut stream) = TcpStream::connect_timeout(&front, Duration::from_secs(1)) else {
                thread::sleep(Duration::from_millis(300));
                continue;
            };
            let _ = stream.set_read_timeout(Some(Duration::from_secs(20)));
            let Ok(reading) = stream.try_clone() else {
                return;
            };
            let mut reader = BufReader::new(reading);
            let mut is_kept = false;
            while number < requests && !self.is_over.load(Ordering::SeqCst) {
                // The first request of a connection is short.
                let size = if is_kept { BODY_BYTES } else { 200 };
                let id = format!("{name}-{number}");
                number += 1;
                self.record.add(format!("client sends {id}, {size} bytes"));
                let status = exchange(&mut stream, &mut reader, &id, size);
                self.record.add(format!("client gets {status} for {id}"));
                match status {
                    200 => self.answered.fetch_add(1, Ordering::SeqCst),
                    0 => {
                        if is_kept {
                            self.lost.lock().expect("no panic").insert(id);
                        }
                        break;
                    }
                    _ => self.refused.fetch_add(1, Ordering::SeqCst),
                };
                if status != 200 {
                    thread::sleep(Duration::from_millis(500));
                }
                is_kept = true;
            }
            thread::sleep(Duration::from_millis(300));
        }
    }
}

/// Returns the status, 0 if the connection ends without an answer.
fn exchange(
    stream: &mut TcpStream,
    reader: &mut BufReader<TcpStream>,
    id: &str,
    size: usize,
) -> u16 {
    let headers = [
        ("Host", "shop.example"),
        ("Request-Id", id),
        ("Deadline-Ms", "16000"),
    ];
    let target = if size < 1_000 {
        "/book/short"
    } else {
        "/book/long"
    };
    let body = vec![b'x'; size];
    if write_request(stream, "POST", target, &headers, &body).is_err() {
        return 0;
    }
    read_message(reader).map_or(0, |answer| answer.status())
}

pub fn play(record: &Record) -> Verdict {
    let folder = Folder::new();
    let store = Store::start();
    let runs = Arc::new(Mutex::new(Vec::new()));
    for number in 0..6 {
        let zone = ["a", "b", "c"][number % 3];
        let work = Arc::new(|request: &crate::http::Message| {
            if request.second_word() == "/book/long" {
                WORK
            } else {
                Duration::from_millis(20)
            }
        });
        let id = format!("i-{number}");
        Server::start_with(&id, "depot", zone, 17, (&runs, record), work).register(&store);
    }
    store.put("op/config", &config());
    let start = |name: &str, zone: &str| {
        Node::start(&Settings {
            name,
            zone,
            store: store.address,
            folder: &folder.0,
            zones: ZONES,
            further: "",
        })
    };
    let mut nodes = [start("front-a-1", "a"), start("front-b-1", "b")];
    if !nodes.iter().all(Node::wait_until_ready) {
        return Verdict::NotRun("a node is not ready".into());
    }
    let clients = Arc::new(Clients {
        record: record.clone(),
        is_over: AtomicBool::new(false),
        lost: Mutex::default(),
        answered: AtomicU64::new(0),
        refused: AtomicU64::new(0),
    });
    let fronts = nodes.each_ref().map(|node| (node.name.clone(), node.front));
    let begin = |kind: &str, count: usize, requests: usize, spread: Duration| {
        for (name, front) in &fronts {
            for number in 0..count {
                let (clients, front) = (clients.clone(), *front);
                let name = format!("{name}-{kind}-{number}");
                let pause =
                    spread * u32::try_from(number).unwrap_or(0) / u32::try_from(count).unwrap_or(1);
                thread::spawn(move || {
                    thread::sleep(pause);
                    clients.run(&name, front, requests);
                });
            }
        }
    };
    let started = record.now();
    begin("usual", CLIENTS, usize::MAX, WORK);
    let (mut peak, mut kills) = ([0, 0], 0);
    let mut has_burst = false;
    let mut ended: [Option<Instant>; 2] = [None; 2];
    while record.now() - started < END.as_secs_f64() {
        if !has_burst && has_trouble() && record.now() - started >= BURST_AT.as_secs_f64() {
            has_burst = true;
            record.add("burst: 1.7 times the usual clients");
            begin("burst", BURST_CLIENTS, 2, Duration::from_secs(2));
        }
        for ((node, peak), ended) in nodes.iter_mut().zip(&mut peak).zip(&mut ended) {
            if ended.take_if(|at| at.elapsed() >= RESTART_DELAY).is_some() {
                record.add(format!("{} is started again", node.name));
                node.restart();
            }
            let resident = node.resident_mb();
            *peak = resident.max(*peak);
            if resident > MEMORY_MB && node.is_running() {
                kills += 1;
                record.add(format!(
                    "the platform kills {}, which holds {resident} MB of {MEMORY_MB}",
                    node.name
                ));
                node.kill();
                *ended = Some(Instant::now());
            }
        }
        thread::sleep(Duration::from_millis(20));
    }
    clients.is_over.store(true, Ordering::SeqCst);
    let ran: BTreeSet<String> = {
        let runs = runs.lock().expect("no panic while locked");
        runs.iter().map(|run| run.id.clone()).collect()
    };
    let lost = clients.lost.lock().expect("no panic while locked").clone();
    let lost_running = lost.intersection(&ran).count();
    let answered = clients.answered.load(Ordering::SeqCst);
    record.add(format!(
        "{answered} answered, {} refused; {} lost, {lost_running} of them were running; peak memory {peak:?} MB; \
         {kills} processes killed for their memory",
        clients.refused.load(Ordering::SeqCst),
        lost.len()
    ));
    if answered < 50 {
        return Verdict::NotRun("too few requests were answered".into());
    }
    if lost_running > 3 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
