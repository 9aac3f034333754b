//! Kept connections to upstreams.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use shallottide_types::id::UpstreamId;

use super::connection::{Connection, HttpError};
use crate::upstream::Upstream;

/// Longest time for a connection to be made; a lost opening packet is sent again after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(450);
/// Time for which a connection is kept when the upstream does not say for how long it does.
const IDLE_UNTOLD: Duration = Duration::from_millis(700);
/// Time by which a connection is given up before the upstream does.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

#[derive(Default)]
struct Kept {
    idle: Vec<Connection>,
    /// Open connections, busy ones too.
    open: Rc<Cell<u32>>,
}

/// Connections by upstream.
#[derive(Default)]
pub(super) struct Pool {
    kept: RefCell<BTreeMap<UpstreamId, Kept>>,
    opened: Cell<u64>,
}

/// A connection taken from the pool; counted until dropped or given back.
pub(super) struct Lent {
    connection: Option<Connection>,
    open: Rc<Cell<u32>>,
}

impl Drop for Lent {
    fn drop(&mut self) {
        self.open.set(self.open.get().saturating_sub(1));
    }
}

impl Lent {
    pub(super) fn connection(&mut self) -> &mut Connection {
        self.connection.as_mut().expect("present until given back")
    }
}

impl Pool {
    /// Returns how many connections were opened.
    pub(super) fn opened(&self) -> u64 {
        self.opened.get()
    }

    /// Tells whether a connection can be had without exceeding `most` open ones.
    pub(super) fn has_room(&self, upstream: &UpstreamId, most: u32) -> bool {
        let kept = self.kept.borrow();
        kept.get(upstream)
            .is_none_or(|kept| !kept.idle.is_empty() || kept.open.get() < most)
    }

    /// Takes a kept connection, if one is ready.
    pub(super) fn take(&self, upstream: &UpstreamId, now: Instant) -> Option<Lent> {
        let mut kept = self.kept.borrow_mut();
        let kept = kept.get_mut(upstream)?;
        let is_usable = |c: &Connection| !c.is_closed() && c.idle_until.is_some_and(|at| now < at);
        let open = kept.open.clone();
        let before = kept.idle.len();
        kept.idle.retain(is_usable);
        let dropped = before - kept.idle.len();
        open.set(
            open.get()
                .saturating_sub(u32::try_from(dropped).unwrap_or(0)),
        );
        let at = kept.idle.iter().rposition(Connection::is_ready)?;
        let connection = Some(kept.idle.remove(at));
        Some(Lent { connection, open })
    }

    /// Opens a new connection.
    pub(super) async fn open(
        &self,
        upstream: &Upstream,
        time: Duration,
    ) -> Result<Lent, HttpError> {
        let open = {
            let mut kept = self.kept.borrow_mut();
            kept.entry(upstream.id.clone()).or_default().open.clone()
        };
        open.set(open.get() + 1);
        let mut lent = Lent {
            connection: None,
            open,
        };
        self.opened.set(self.opened.get() + 1);
        let connection = Connection::open(upstream.address, time.min(CONNECT_TIMEOUT)).await?;
        lent.connection = Some(connection);
        Ok(lent)
    }

    /// Keeps a connection whose answer was whole.
    pub(super) fn give_back(
        &self,
        upstream: &UpstreamId,
        mut lent: Lent,
        keep_alive: Option<Duration>,
        now: Instant,
    ) {
        let Some(mut connection) = lent.connection.take() else {
            return;
        };
        let idle = keep_alive.map_or(IDLE_UNTOLD, |time| time.saturating_sub(IDLE_MARGIN));
        if connection.is_closed() || idle.is_zero() {
            return;
        }
        connection.was_used = true;
        connection.idle_until = Some(now + idle);
        let mut kept = self.kept.borrow_mut();
        let kept = kept.entry(upstream.clone()).or_default();
        kept.idle.push(connection);
        // The count goes on for the kept connection; `lent` takes its own off.
        kept.open.set(kept.open.get() + 1);
    }

    /// Closes idle connections that are too old or whose upstream is gone.
    pub(super) fn tidy(&self, is_known: impl Fn(&UpstreamId) -> bool, now: Instant) {
        let mut all = self.kept.borrow_mut();
        for (id, kept) in all.iter_mut() {
            let known = is_known(id);
            let before = kept.idle.len();
            kept.idle
                .retain(|c| known && !c.is_closed() && c.idle_until.is_some_and(|at| now < at));
            let dropped = u32::try_from(before - kept.idle.len()).unwrap_or(0);
            kept.open.set(kept.open.get().saturating_sub(dropped));
        }
        all.retain(|id, kept| kept.open.get() > 0 || is_known(id));
    }
}
