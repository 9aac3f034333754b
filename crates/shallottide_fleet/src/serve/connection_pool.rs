//! Pool of keep-alive connections to upstreams.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use shallottide_types::id::UpstreamId;

use super::connection::{Connection, HttpError};
use crate::upstream::Upstream;

/// Longest time to establish a connection; shorter than the second after which TCP resends a lost
/// SYN packet.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(450);
/// Idle time of a connection whose upstream does not announce a keep-alive timeout.
const DEFAULT_IDLE_TIME: Duration = Duration::from_millis(700);
/// Longest idle time of a connection, whatever timeout its upstream announces.
const MAX_IDLE_TIME: Duration = Duration::from_hours(1);
/// Time by which an idle connection is closed before the upstream's announced timeout.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

#[derive(Default)]
struct UpstreamConnections {
    idle: Vec<Connection>,
    /// Number of open connections, idle and in use.
    open: Rc<Cell<u32>>,
}

/// Connections by upstream.
#[derive(Default)]
pub(super) struct ConnectionPool {
    upstreams: RefCell<BTreeMap<UpstreamId, UpstreamConnections>>,
    opened_total: Cell<u64>,
}

/// A connection in use; counts as open until it is dropped or released to the pool.
pub(super) struct PooledConnection {
    connection: Option<Connection>,
    open: Rc<Cell<u32>>,
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        self.open.set(self.open.get().saturating_sub(1));
    }
}

impl PooledConnection {
    pub(super) fn connection(&mut self) -> &mut Connection {
        self.connection.as_mut().expect("present until released")
    }

    /// Returns whether an earlier response has arrived over the connection.
    pub(super) fn was_used(&self) -> bool {
        self.connection.as_ref().is_some_and(|c| c.was_used)
    }
}

impl ConnectionPool {
    /// Returns how many connections were opened since the start, failed ones included.
    pub(super) fn opened_total(&self) -> u64 {
        self.opened_total.get()
    }

    /// Returns whether an upstream has an idle connection or fewer than `max_open` open ones.
    pub(super) fn has_room(&self, upstream: &UpstreamId, max_open: u32) -> bool {
        let upstreams = self.upstreams.borrow();
        upstreams.get(upstream).is_none_or(|connections| {
            !connections.idle.is_empty() || connections.open.get() < max_open
        })
    }

    /// Takes an idle connection that is ready, if there is one.
    pub(super) fn take(&self, upstream: &UpstreamId, now: Instant) -> Option<PooledConnection> {
        let mut upstreams = self.upstreams.borrow_mut();
        let connections = upstreams.get_mut(upstream)?;
        let is_usable = |c: &Connection| !c.is_closed() && c.idle_until.is_some_and(|at| now < at);
        let open = connections.open.clone();
        let idle_before = connections.idle.len();
        connections.idle.retain(is_usable);
        let closed = idle_before - connections.idle.len();
        open.set(
            open.get()
                .saturating_sub(u32::try_from(closed).unwrap_or(0)),
        );
        let index = connections.idle.iter().rposition(Connection::is_ready)?;
        let connection = Some(connections.idle.remove(index));
        Some(PooledConnection { connection, open })
    }

    /// Opens a new connection within `timeout`.
    pub(super) async fn open(
        &self,
        upstream: &Upstream,
        timeout: Duration,
    ) -> Result<PooledConnection, HttpError> {
        let open = {
            let mut upstreams = self.upstreams.borrow_mut();
            upstreams
                .entry(upstream.id.clone())
                .or_default()
                .open
                .clone()
        };
        open.set(open.get() + 1);
        let mut pooled = PooledConnection {
            connection: None,
            open,
        };
        self.opened_total.set(self.opened_total.get() + 1);
        let connection = Connection::open(upstream.address, timeout.min(CONNECT_TIMEOUT)).await?;
        pooled.connection = Some(connection);
        Ok(pooled)
    }

    /// Returns a connection to the pool after a complete response.
    pub(super) fn release(
        &self,
        upstream: &UpstreamId,
        mut pooled: PooledConnection,
        keep_alive: Option<Duration>,
        now: Instant,
    ) {
        let Some(mut connection) = pooled.connection.take() else {
            return;
        };
        let idle_time = keep_alive.map_or(DEFAULT_IDLE_TIME, |timeout| {
            timeout.saturating_sub(IDLE_MARGIN).min(MAX_IDLE_TIME)
        });
        if connection.is_closed() || idle_time.is_zero() {
            return;
        }
        connection.was_used = true;
        connection.idle_until = Some(now + idle_time);
        let mut upstreams = self.upstreams.borrow_mut();
        let connections = upstreams.entry(upstream.clone()).or_default();
        connections.idle.push(connection);
        // Counts the idle connection; dropping `pooled` subtracts the one in use.
        connections.open.set(connections.open.get() + 1);
    }

    /// Closes idle connections that have expired or whose upstream was removed.
    pub(super) fn evict_idle(&self, is_known: impl Fn(&UpstreamId) -> bool, now: Instant) {
        let mut upstreams = self.upstreams.borrow_mut();
        for (id, connections) in upstreams.iter_mut() {
            let is_known = is_known(id);
            let idle_before = connections.idle.len();
            connections
                .idle
                .retain(|c| is_known && !c.is_closed() && c.idle_until.is_some_and(|at| now < at));
            let closed = u32::try_from(idle_before - connections.idle.len()).unwrap_or(0);
            connections
                .open
                .set(connections.open.get().saturating_sub(closed));
        }
        upstreams.retain(|id, connections| connections.open.get() > 0 || is_known(id));
    }
}
