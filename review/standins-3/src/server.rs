//! Stand-in of a server of a plain service.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, Semaphore};
use tokio::task::{JoinHandle, JoinSet};

use crate::http::{Connection, Head};
use crate::record::Record;
use crate::store::Store;

/// Requests beyond the slots that wait; the next one is shed.
const QUEUE: usize = 24;

/// What a server is.
#[derive(Debug, Clone)]
pub struct ServerSheet {
    pub id: String,
    pub service: &'static str,
    pub zone: &'static str,
    pub slots: usize,
    pub work: Duration,
}

/// A running server; ends when it is told to.
pub struct Server {
    pub sheet: ServerSheet,
    pub address: SocketAddr,
    task: JoinHandle<()>,
    is_silent: Arc<AtomicBool>,
    darkness: Arc<Notify>,
    spoiled_every: Arc<AtomicUsize>,
    born: u128,
}

struct Shared {
    is_silent: Arc<AtomicBool>,
    darkness: Arc<Notify>,
    spoiled_every: Arc<AtomicUsize>,
    answers: AtomicUsize,
    sheet: ServerSheet,
    places: Semaphore,
    queue: Semaphore,
    record: Record,
}

impl Server {
    pub async fn start(sheet: ServerSheet, record: &Record) -> std::io::Result<Self> {
        Self::start_at("127.0.0.1:0", sheet, record).await
    }

    /// Starts a server at an address.
    pub async fn start_at(
        address: &str,
        sheet: ServerSheet,
        record: &Record,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let is_silent: Arc<AtomicBool> = Arc::default();
        let darkness: Arc<Notify> = Arc::default();
        let spoiled_every: Arc<AtomicUsize> = Arc::default();
        let shared = Arc::new(Shared {
            is_silent: is_silent.clone(),
            darkness: darkness.clone(),
            spoiled_every: spoiled_every.clone(),
            answers: AtomicUsize::new(0),
            places: Semaphore::new(sheet.slots),
            queue: Semaphore::new(sheet.slots + QUEUE),
            sheet: sheet.clone(),
            record: record.clone(),
        });
        let task = tokio::spawn(async move {
            // Dropped with the task: all connections close when the server ends.
            let mut connections = JoinSet::new();
            loop {
                let accepted = tokio::select! {
                    accepted = listener.accept() => accepted,
                    () = shared.darkness.notified() => break,
                };
                let Ok((stream, _)) = accepted else { continue };
                let shared = shared.clone();
                connections.spawn(async move { serve(&shared, stream).await });
            }
            drop(listener);
            // Its connections stay open without a byte.
            std::future::pending().await
        });
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        Ok(Self {
            sheet,
            address,
            task,
            is_silent,
            darkness,
            spoiled_every,
            born: born.map_or(0, |time| time.as_millis()),
        })
    }

    /// Returns the key of its entry in the store.
    pub fn key(&self) -> String {
        format!("servers/{}", self.sheet.id)
    }

    /// Returns its entry. Check-ins change only `seq`, so the entry stays as it is.
    pub fn entry(&self) -> Value {
        json!({
            "service": self.sheet.service, "address": self.address.to_string(),
            "zone": self.sheet.zone, "version": "v1", "slots": self.sheet.slots, "state": "ready",
            "cold_left_ms": 0, "seq": 1, "born": u64::try_from(self.born).unwrap_or(0),
        })
    }

    pub fn register(&self, store: &Store) -> Instant {
        store.put(&self.key(), &self.entry())
    }

    /// Makes it dark: until it ends, its connections stay open without a byte. New ones are refused, where
    /// those to a machine without power would hang.
    pub fn go_dark(&self) {
        self.is_silent.store(true, Ordering::SeqCst);
        self.darkness.notify_one();
    }

    /// Makes it send bytes that are no answer in place of every so many answers.
    pub fn spoil_answers(&self, every: usize) {
        self.spoiled_every.store(every, Ordering::SeqCst);
    }

    /// Ends it: it closes its listener and all connections.
    pub fn end(&self) {
        self.task.abort();
    }
}

async fn serve(shared: &Shared, stream: TcpStream) {
    let mut connection = Connection::new(stream);
    while let Ok(Some(head)) = connection.read_head().await {
        if connection.read_body(&head).await.is_err() {
            return;
        }
        let (status, headers, body) = respond(shared, &head).await;
        let every = shared.spoiled_every.load(Ordering::SeqCst);
        let is_spoiled = every > 0 && status == 200 && {
            shared.answers.fetch_add(1, Ordering::SeqCst) % every == every - 1
        };
        if is_spoiled {
            let id = head.header("request-id").unwrap_or_default();
            let server = &shared.sheet.id;
            let text = format!("server {server} has run {id} and sends 101 in place of its answer");
            shared.record.line(&text);
            let bytes = format!("HTTP/1.1 101 Switching Protocols\r\nRequest-Id: {id}\r\n\r\n");
            if connection.stream.write_all(bytes.as_bytes()).await.is_err() {
                return;
            }
            continue;
        }
        if shared.is_silent.load(Ordering::SeqCst) {
            std::future::pending::<()>().await;
        }
        let id = head.header("request-id").unwrap_or_default();
        let is_full = status == 503;
        let headers = format!(
            "Request-Id: {id}\r\nInstance-Id: {}\r\nServer-Load: {},{},{}\r\nKeep-Alive: timeout=5\r\n{headers}",
            shared.sheet.id,
            shared.sheet.slots - shared.places.available_permits(),
            usize::from(is_full),
            shared.sheet.slots,
        );
        let start = format!("HTTP/1.1 {status} Server");
        if connection
            .write(&start, &headers, body.as_bytes())
            .await
            .is_err()
        {
            return;
        }
    }
}

async fn respond(shared: &Shared, head: &Head) -> (u16, String, String) {
    let expected = head.header("expect-instance");
    if expected.is_some_and(|expected| expected != shared.sheet.id) {
        return (421, String::new(), String::new());
    }
    if head.word(1).starts_with("/healthz") {
        return (200, String::new(), String::new());
    }
    let Some(id) = head.header("request-id").map(String::from) else {
        return (400, "Not-Run: 1\r\n".into(), String::new());
    };
    let Ok(_waiting) = shared.queue.try_acquire() else {
        return (503, "Not-Run: 1\r\n".into(), String::new());
    };
    let at = Instant::now();
    let server = &shared.sheet.id;
    shared
        .record
        .line_at(at, &format!("server {server} got {id}"));
    let _place = shared.places.acquire().await.expect("never closed");
    shared.record.line(&format!("server {server} runs {id}"));
    tokio::time::sleep(shared.sheet.work).await;
    (
        200,
        format!("Server-Stamp: {server}.{id}\r\n"),
        format!("ran {id} at {server}\n"),
    )
}
