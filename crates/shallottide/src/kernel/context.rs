//! The handle through which services see the time and each other's published views.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use shallottide_types::clock::Clock;
use shallottide_types::peer::NodeInfo;

use crate::view::{ConfigView, EngineView, MemberView, PlacementView};

/// A cheap cloneable handle on the clock, this node's identity and the published views.
///
/// Each view is published whole by one service and read by all.
#[derive(Clone)]
pub struct Context {
    inner: Rc<Inner>,
}

struct Inner {
    clock: Arc<dyn Clock>,
    me: RefCell<NodeInfo>,
    config: RefCell<Rc<ConfigView>>,
    members: RefCell<Rc<MemberView>>,
    placement: RefCell<Rc<PlacementView>>,
    engines: RefCell<Rc<EngineView>>,
}

impl Context {
    /// Creates a handle with empty views.
    #[must_use]
    pub fn new(clock: Arc<dyn Clock>, me: NodeInfo) -> Self {
        Self {
            inner: Rc::new(Inner {
                clock,
                me: RefCell::new(me),
                config: RefCell::default(),
                members: RefCell::default(),
                placement: RefCell::default(),
                engines: RefCell::default(),
            }),
        }
    }

    /// Returns the monotonic time.
    #[must_use]
    pub fn now(&self) -> Instant {
        self.inner.clock.now()
    }

    /// Returns the time since 1970, for stamps and logs only.
    #[must_use]
    pub fn unix_time(&self) -> Duration {
        self.inner.clock.unix_time()
    }

    /// Returns this node's identity.
    #[must_use]
    pub fn me(&self) -> NodeInfo {
        self.inner.me.borrow().clone()
    }

    /// Marks this node as stopping.
    pub fn set_stopping(&self) {
        self.inner.me.borrow_mut().stopping = true;
    }

    /// Returns the records in force here.
    #[must_use]
    pub fn config(&self) -> Rc<ConfigView> {
        self.inner.config.borrow().clone()
    }

    /// Publishes the records in force; only the config service does.
    pub fn publish_config(&self, view: ConfigView) {
        *self.inner.config.borrow_mut() = Rc::new(view);
    }

    /// Returns the known entry VMs.
    #[must_use]
    pub fn members(&self) -> Rc<MemberView> {
        self.inner.members.borrow().clone()
    }

    /// Publishes the known entry VMs; only the members service does.
    pub fn publish_members(&self, view: MemberView) {
        *self.inner.members.borrow_mut() = Rc::new(view);
    }

    /// Returns the placements in force.
    #[must_use]
    pub fn placement(&self) -> Rc<PlacementView> {
        self.inner.placement.borrow().clone()
    }

    /// Publishes the placements in force; only the groups service does.
    pub fn publish_placement(&self, view: PlacementView) {
        *self.inner.placement.borrow_mut() = Rc::new(view);
    }

    /// Returns the VMs of this failure domain and their engines' reports.
    #[must_use]
    pub fn engines(&self) -> Rc<EngineView> {
        self.inner.engines.borrow().clone()
    }

    /// Publishes the VMs and reports; only the groups service does.
    pub fn publish_engines(&self, view: EngineView) {
        *self.inner.engines.borrow_mut() = Rc::new(view);
    }
}
