//! Stand-in of a server of a plain service, after PROTOCOL.md.

use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Message, read_message, write_answer};
use crate::record::Record;
use crate::store::Store;

/// A request that ran.
#[derive(Debug, Clone)]
pub struct Run {
    pub at: f64,
    pub server: String,
    pub id: String,
    pub target: String,
}

/// How long a request works, by its target.
pub type Work = Arc<dyn Fn(&Message) -> Duration + Send + Sync>;

/// One start of a server.
#[derive(Debug, Clone, Copy)]
struct Life {
    /// Unix milliseconds of its start, by the clock of its machine.
    born: u128,
    /// Counts the starts.
    number: u32,
    is_up: bool,
    is_leaving: bool,
}

/// A running server.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub service: String,
    zone: String,
    life: Arc<Mutex<Life>>,
    pub address: SocketAddr,
    runs: Arc<Mutex<Vec<Run>>>,
    record: Record,
    work: Work,
    slots: u32,
    /// Requests that run now.
    running: Arc<(Mutex<u32>, Condvar)>,
    cold_until: Option<Instant>,
    /// Arrivals in one second above which the cold server crashes.
    crashes_above: usize,
    arrivals: Arc<Mutex<Vec<Instant>>>,
    has_crashed: Arc<AtomicBool>,
}

impl Server {
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        (runs, record): (&Arc<Mutex<Vec<Run>>>, &Record),
        work: Work,
    ) -> Self {
        Self::start_with(id, service, zone, 6, (runs, record), work)
    }

    /// Starts a server that runs `slots` requests at a time; others wait.
    pub fn start_with(
        id: &str,
        service: &str,
        zone: &str,
        slots: u32,
        (runs, record): (&Arc<Mutex<Vec<Run>>>, &Record),
        work: Work,
    ) -> Self {
        Self::start_cold(id, service, zone, slots, (runs, record), work, None)
    }

    /// Starts a server that is cold for a time, and crashes above a number of arrivals in one second.
    pub fn start_cold(
        id: &str,
        service: &str,
        zone: &str,
        slots: u32,
        (runs, record): (&Arc<Mutex<Vec<Run>>>, &Record),
        work: Work,
        cold: Option<(Duration, usize)>,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let server = Self {
            id: id.into(),
            service: service.into(),
            zone: zone.into(),
            life: Arc::new(Mutex::new(Life {
                born: born.map_or(0, |born| born.as_millis()),
                number: 1,
                is_up: true,
                is_leaving: false,
            })),
            address: listener.local_addr().expect("an address"),
            runs: runs.clone(),
            record: record.clone(),
            work,
            slots,
            running: Arc::default(),
            cold_until: cold.map(|(time, _)| Instant::now() + time),
            crashes_above: cold.map_or(usize::MAX, |(_, above)| above),
            arrivals: Arc::default(),
            has_crashed: Arc::default(),
        };
        let accepting = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = accepting.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        server
    }

    /// Records an arrival; returns whether the server, which is cold, has crashed.
    fn crashes(&self) -> bool {
        let now = Instant::now();
        if self.cold_until.is_none_or(|until| until < now) {
            return false;
        }
        let mut arrivals = self.arrivals.lock().expect("no panic while locked");
        arrivals.retain(|at| now.saturating_duration_since(*at) < Duration::from_secs(1));
        arrivals.push(now);
        if arrivals.len() > self.crashes_above && !self.has_crashed.swap(true, Ordering::SeqCst) {
            let count = arrivals.len();
            self.record.add(format!(
                "server {} crashes: it is cold and got {count} requests in one second",
                self.id
            ));
        }
        self.has_crashed.load(Ordering::SeqCst)
    }

    /// Writes the server's entry into the store, and again at each check-in; tries again soon while the
    /// store has not taken the first entry.
    pub fn register(&self, store: &Store) {
        let (server, store) = (self.clone(), store.clone());
        let (mut seq, mut number) = (0_u64, 0);
        let mut check_in = move || {
            let life = server.life();
            if store.is_down() || server.has_crashed.load(Ordering::SeqCst) || !life.is_up {
                return seq > 0 && life.number == number;
            }
            if life.number != number {
                (seq, number) = (0, life.number);
            }
            seq += 1;
            store.put(&format!("servers/{}", server.id), &server.entry(seq));
            true
        };
        let mut is_listed = check_in();
        thread::spawn(move || {
            loop {
                let pause = if is_listed { 1_200 } else { 50 };
                thread::sleep(Duration::from_millis(pause));
                is_listed = check_in();
            }
        });
    }

    fn life(&self) -> Life {
        *self.life.lock().expect("no panic while locked")
    }

    /// Ends the server: its connections close without answers. Its entry is left.
    pub fn crash(&self) {
        self.life.lock().expect("no panic while locked").is_up = false;
    }

    /// Starts it again under its id and address; its clock is off by `clock_ms`.
    pub fn restart(&self, clock_ms: i64) {
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let now = i64::try_from(now.map_or(0, |now| now.as_millis())).unwrap_or(0);
        let mut life = self.life.lock().expect("no panic while locked");
        life.born = u128::try_from(now + clock_ms).unwrap_or(0);
        life.number += 1;
        life.is_up = true;
    }

    /// Reports that it leaves, with the next check-ins and in all answers.
    pub fn leave(&self, store: &Store) {
        self.life.lock().expect("no panic while locked").is_leaving = true;
        // Later than any check-in of this life.
        store.put(&format!("servers/{}", self.id), &self.entry(1_000));
    }

    fn entry(&self, seq: u64) -> String {
        let Life {
            born, is_leaving, ..
        } = self.life();
        let seq = if is_leaving {
            seq.max(1_000) + seq
        } else {
            seq
        };
        let state = if is_leaving { "draining" } else { "ready" };
        let Self {
            service,
            address,
            zone,
            slots,
            cold_until,
            ..
        } = self;
        let cold_left = cold_until.map_or(Duration::ZERO, |until| {
            until.saturating_duration_since(Instant::now())
        });
        let cold_left = cold_left.as_millis();
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
             \"version\":\"v1\",\"slots\":{slots},\"state\":\"{state}\",\"cold_left_ms\":{cold_left},\
             \"born\":{born},\"seq\":{seq}}}"
        )
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        let life = self.life();
        let is_over = || {
            let now = self.life();
            !now.is_up || now.number != life.number
        };
        if is_over() {
            return;
        }
        while let Some(request) = read_message(&mut reader) {
            if is_over() || self.crashes() || self.answer(&request, &mut writer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message, writer: &mut TcpStream) -> std::io::Result<()> {
        let id = request.header("request-id").unwrap_or_default().to_string();
        if request.second_word() == "/healthz" {
            let headers = [("Instance-Id", self.id.as_str()), ("Server-Load", "0,0,6")];
            return write_answer(writer, 200, &headers, b"");
        }
        let is_other = request
            .header("expect-instance")
            .is_some_and(|expected| expected != self.id);
        if is_other {
            let headers = [("Request-Id", id.as_str()), ("Instance-Id", &self.id)];
            return write_answer(writer, 421, &headers, b"");
        }
        if id.is_empty() {
            return write_answer(writer, 400, &[("Not-Run", "1")], b"");
        }
        let (running, freed) = &*self.running;
        let mut count = running.lock().expect("no panic while locked");
        while *count >= self.slots {
            count = freed.wait(count).expect("no panic while locked");
        }
        *count += 1;
        drop(count);
        let team = request.header("tenant").map(String::from);
        let target = request.second_word().to_string();
        let at = self.record.add(format!(
            "server {} runs request {id} {target} tenant={}",
            self.id,
            team.as_deref().unwrap_or("-")
        ));
        let run = Run {
            at,
            server: self.id.clone(),
            id: id.clone(),
            target,
        };
        self.runs.lock().expect("no panic while locked").push(run);
        thread::sleep((self.work)(request));
        *running.lock().expect("no panic while locked") -= 1;
        freed.notify_one();
        if !self.life().is_up {
            return Err(std::io::ErrorKind::ConnectionAborted.into());
        }
        if self.has_crashed.load(Ordering::SeqCst) {
            return Err(std::io::ErrorKind::ConnectionAborted.into());
        }
        let stamp = format!("stamp.{}.{id}", self.id);
        let headers = [
            ("Request-Id", id.as_str()),
            ("Server-Stamp", &stamp),
            ("Server-Load", "1,0,6"),
            ("Keep-Alive", "timeout=5"),
        ];
        let mut headers = headers.to_vec();
        if self.life().is_leaving {
            headers.push(("Server-Leaving", "1"));
        }
        write_answer(writer, 200, &headers, b"done")
    }
}
