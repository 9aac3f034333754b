//! The platform over HTTP.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use shallottide_types::duration_text;
use shallottide_types::id::StoreIndex;
use shallottide_types::platform::{Platform, PlatformError, Precondition, SwapOutcome};

use super::memory_platform::MemoryPlatform;
use super::rest::{KvEntry, PlatformControl, SessionName, SessionWanted};
use crate::http::{Exchange, Handler, HttpServer, ListenOptions, Reply, StartError};

const INDEX_HEADER: &str = "X-Consul-Index";

/// Wait of a blocking read that names none.
const DEFAULT_WAIT: Duration = Duration::from_mins(5);

/// Serves a [`MemoryPlatform`] by the HTTP interface of Consul's key-value store.
pub struct PlatformServer {
    http: HttpServer,
    platform: MemoryPlatform,
}

struct PlatformHandler {
    platform: MemoryPlatform,
}

/// What a request asked for can't be read.
struct BadRequest(String);

impl PlatformServer {
    /// Starts to serve.
    ///
    /// # Errors
    /// [`StartError`] when the address can't be listened on.
    pub fn start(listen: &ListenOptions, platform: MemoryPlatform) -> Result<Self, StartError> {
        let handler = PlatformHandler {
            platform: platform.clone(),
        };
        let http = HttpServer::start(listen, Arc::new(handler))?;
        Ok(Self { http, platform })
    }

    /// Returns the address to connect to.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.http.address()
    }

    /// Returns the store behind the server.
    #[must_use]
    pub fn platform(&self) -> &MemoryPlatform {
        &self.platform
    }

    /// Makes all open connections go silent; new ones work.
    pub fn mute_open_connections(&self) {
        self.http.mute_open_connections();
    }
}

impl Handler for PlatformHandler {
    fn handle(&self, exchange: Exchange) {
        let path = exchange.path().to_owned();
        match (exchange.method(), path.as_str()) {
            ("PUT", "/control") => self.control(exchange),
            ("GET", "/control/counts") => {
                exchange.respond(&Reply::json(200, &self.platform.counts()));
            }
            ("PUT", "/v1/session/create") => self.open_session(exchange),
            _ => {
                let result = self.store_call(&exchange, &path);
                finish(exchange, result);
            }
        }
    }
}

type CallResult = Result<Result<Reply, PlatformError>, BadRequest>;

impl PlatformHandler {
    fn control(&self, exchange: Exchange) {
        let Some((control, exchange)) = exchange.json::<PlatformControl>() else {
            return;
        };
        if let Some(faults) = control.faults {
            self.platform.set_faults(faults);
        }
        if let Some(vms) = control.vms {
            self.platform.set_vms(vms);
        }
        exchange.respond(&Reply::json(200, &true));
    }

    fn open_session(&self, exchange: Exchange) {
        let Some((wanted, exchange)) = exchange.json::<SessionWanted>() else {
            return;
        };
        if !wanted.lock_delay.is_zero() || wanted.behavior != "release" {
            let remedy = "only LockDelay \"0s\" and Behavior \"release\" are supported";
            return exchange.respond(&Reply::error(400, remedy));
        }
        let opened = self.platform.open_session(wanted.ttl);
        let reply = opened.map(|id| Reply::json(200, &SessionName { id }));
        finish(exchange, Ok(reply));
    }

    fn store_call(&self, exchange: &Exchange, path: &str) -> CallResult {
        let method = exchange.method();
        if let Some(session) = path.strip_prefix("/v1/session/renew/") {
            return Ok(self.renew(session));
        }
        if path == "/v1/vms" {
            return self.vms(exchange);
        }
        let Some(key) = path.strip_prefix("/v1/kv/") else {
            return Ok(Ok(Reply::error(404, "no such path")));
        };
        match method {
            "GET" if exchange.query("recurse").is_some() => self.list(exchange, key),
            "GET" => Ok(self.get(key)),
            "PUT" => self.put(exchange, key),
            "DELETE" => self.delete(exchange, key),
            _ => Ok(Ok(Reply::error(405, "use GET, PUT or DELETE"))),
        }
    }

    fn renew(&self, session: &str) -> Result<Reply, PlatformError> {
        let renewed = self.platform.renew_session(session)?;
        if !renewed {
            return Ok(Reply::error(404, "session has lapsed"));
        }
        let id = session.into();
        Ok(Reply::json(200, &[SessionName { id }]))
    }

    fn vms(&self, exchange: &Exchange) -> CallResult {
        let domain = exchange.query("domain").unwrap_or_default().parse();
        let domain = domain.map_err(|error| BadRequest(format!("parameter domain: {error}")))?;
        Ok(self.platform.vms(&domain).map(|vms| Reply::json(200, &vms)))
    }

    fn get(&self, key: &str) -> Result<Reply, PlatformError> {
        let (index, stored) = self.platform.read(key)?;
        let entries = stored.map(|stored| KvEntry::new(key, &stored));
        Ok(entries_reply(index, entries.as_slice()))
    }

    fn list(&self, exchange: &Exchange, prefix: &str) -> CallResult {
        let after = number(exchange, "index")?.map(StoreIndex);
        let wait = exchange
            .query("wait")
            .map(|text| duration_text::parse(&text));
        let wait = wait.unwrap_or(Ok(DEFAULT_WAIT)).map_err(BadRequest)?;
        let listing = self.platform.read_prefix(prefix, after, wait, |store| {
            let entries = store.under(prefix);
            let entries = entries.map(|(key, stored)| KvEntry::new(key, stored));
            (store.index(), entries.collect::<Vec<_>>())
        });
        Ok(listing.map(|(index, entries)| entries_reply(index, &entries)))
    }

    fn put(&self, exchange: &Exchange, key: &str) -> CallResult {
        let value = exchange.body();
        let done = if let Some(session) = exchange.query("acquire") {
            self.platform.acquire(key, value, &session)
        } else if let Some(session) = exchange.query("release") {
            self.platform.release_with(key, value, &session)
        } else {
            let expect = match needed_cas(exchange)? {
                0 => Precondition::Absent,
                index => Precondition::Index(StoreIndex(index)),
            };
            is_written(self.platform.swap(key, value, expect))
        };
        Ok(done.map(|done| Reply::json(200, &done)))
    }

    fn delete(&self, exchange: &Exchange, key: &str) -> CallResult {
        let index = StoreIndex(needed_cas(exchange)?);
        let done = is_written(self.platform.remove(key, index));
        Ok(done.map(|done| Reply::json(200, &done)))
    }
}

fn is_written(swap: Result<SwapOutcome, PlatformError>) -> Result<bool, PlatformError> {
    swap.map(|swap| swap == SwapOutcome::Written)
}

fn number(exchange: &Exchange, name: &str) -> Result<Option<u64>, BadRequest> {
    let text = exchange.query(name);
    let number = text.map(|text| text.parse()).transpose();
    number.map_err(|_| BadRequest(format!("parameter {name} needs a whole number")))
}

fn needed_cas(exchange: &Exchange) -> Result<u64, BadRequest> {
    let missing = || BadRequest("only writes with cas=N are supported: add the parameter".into());
    number(exchange, "cas")?.ok_or_else(missing)
}

/// Answers with entries, or with 404 when there are none; both name the store's index.
fn entries_reply(index: u64, entries: &[impl Serialize]) -> Reply {
    let status = if entries.is_empty() { 404 } else { 200 };
    Reply::json(status, &entries).header(INDEX_HEADER, index.to_string())
}

fn finish(exchange: Exchange, result: CallResult) {
    match result {
        Ok(Ok(reply)) => exchange.respond(&reply),
        Ok(Err(PlatformError::RateLimited)) => exchange.respond(&Reply::error(429, "retry later")),
        Ok(Err(_)) => exchange.close(),
        Err(BadRequest(remedy)) => exchange.respond(&Reply::error(400, remedy)),
    }
}
