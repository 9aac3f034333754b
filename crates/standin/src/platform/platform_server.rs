//! Serves the platform over HTTP.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use shallottide_types::duration_text;
use shallottide_types::id::StoreIndex;
use shallottide_types::platform::{Platform, PlatformError, Precondition, SwapOutcome};

use super::memory_platform::MemoryPlatform;
use super::rest::{KvEntry, PlatformControl, SessionReply, SessionRequest};
use crate::http::{Exchange, Handler, HttpServer, ListenOptions, Reply, StartError};

const INDEX_HEADER: &str = "X-Consul-Index";
/// Header with the store's era, in the answers of reads and writes of keys.
const ERA_HEADER: &str = "Store-Era";

/// Longest wait of a blocking read without a `wait` parameter.
const DEFAULT_WAIT: Duration = Duration::from_mins(5);

/// Serves a [`MemoryPlatform`] over the HTTP interface of Consul's key-value store.
pub struct PlatformServer {
    http: HttpServer,
    platform: MemoryPlatform,
}

struct PlatformHandler {
    platform: MemoryPlatform,
}

/// A request parameter that is missing or invalid, with a message for the caller.
struct BadRequest(String);

impl PlatformServer {
    /// Binds the address and starts serving.
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

    /// Returns the bound address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.http.address()
    }

    /// Returns the store behind the server.
    #[must_use]
    pub fn platform(&self) -> &MemoryPlatform {
        &self.platform
    }

    /// Silences all open connections without closing them; new connections work.
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
                send_result(exchange, result);
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
        let Some((request, exchange)) = exchange.json::<SessionRequest>() else {
            return;
        };
        if !request.lock_delay.is_zero() || request.behavior != "release" {
            let message = "only LockDelay \"0s\" and Behavior \"release\" are supported";
            return exchange.respond(&Reply::error(400, message));
        }
        let opened = self.platform.open_session(request.ttl);
        let reply = opened.map(|id| Reply::json(200, &SessionReply { id }));
        send_result(exchange, Ok(reply));
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
            return Ok(Reply::error(404, "session has expired"));
        }
        let id = session.into();
        Ok(Reply::json(200, &[SessionReply { id }]))
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
        let after = query_number(exchange, "index")?;
        let after = after.map(|index| StoreIndex::new(self.platform.era(), index));
        let wait = exchange
            .query("wait")
            .map(|text| duration_text::parse(&text));
        let wait = wait.unwrap_or(Ok(DEFAULT_WAIT)).map_err(BadRequest)?;
        let listing = self.platform.read_prefix(prefix, after, wait, |store| {
            let entries = store.iter_prefix(prefix);
            let entries = entries.map(|(key, stored)| KvEntry::new(key, stored));
            let index = store.position(store.index());
            (index, entries.collect::<Vec<_>>())
        });
        Ok(listing.map(|(index, entries)| entries_reply(index, &entries)))
    }

    fn put(&self, exchange: &Exchange, key: &str) -> CallResult {
        let value = exchange.body();
        let written = if let Some(session) = exchange.query("acquire") {
            self.platform.acquire(key, value, &session)
        } else if let Some(session) = exchange.query("release") {
            self.platform.release_with(key, value, &session)
        } else {
            let expect = match required_cas(exchange)? {
                0 => Precondition::Absent,
                index => Precondition::Index(StoreIndex::new(self.platform.era(), index)),
            };
            into_written(self.platform.swap(key, value, expect))
        };
        Ok(written.map(|written| self.written_reply(written)))
    }

    /// Responds with whether a write took effect.
    fn written_reply(&self, written: bool) -> Reply {
        Reply::json(200, &written).header(ERA_HEADER, self.platform.era().to_string())
    }

    fn delete(&self, exchange: &Exchange, key: &str) -> CallResult {
        let index = StoreIndex::new(self.platform.era(), required_cas(exchange)?);
        let written = into_written(self.platform.remove(key, index));
        Ok(written.map(|written| self.written_reply(written)))
    }
}

fn into_written(swap: Result<SwapOutcome, PlatformError>) -> Result<bool, PlatformError> {
    swap.map(|swap| swap == SwapOutcome::Written)
}

fn query_number(exchange: &Exchange, name: &str) -> Result<Option<u64>, BadRequest> {
    let text = exchange.query(name);
    let parsed = text.map(|text| text.parse()).transpose();
    parsed.map_err(|_| BadRequest(format!("parameter {name} needs a whole number")))
}

fn required_cas(exchange: &Exchange) -> Result<u64, BadRequest> {
    let missing = || BadRequest("only writes with cas=N are supported: add the parameter".into());
    query_number(exchange, "cas")?.ok_or_else(missing)
}

/// Responds with the entries, or with 404 when there are none; either way the store's index is in a
/// header.
fn entries_reply(index: StoreIndex, entries: &[impl Serialize]) -> Reply {
    let status = if entries.is_empty() { 404 } else { 200 };
    Reply::json(status, &entries)
        .header(INDEX_HEADER, index.revision().to_string())
        .header(ERA_HEADER, index.era().to_string())
}

fn send_result(exchange: Exchange, result: CallResult) {
    match result {
        Ok(Ok(reply)) => exchange.respond(&reply),
        Ok(Err(PlatformError::RateLimited)) => exchange.respond(&Reply::error(429, "retry later")),
        Ok(Err(_)) => exchange.close(),
        Err(BadRequest(message)) => exchange.respond(&Reply::error(400, message)),
    }
}
