//! Shared read access to the clock, this node's identity and the views that services publish.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use shallottide_types::clock::Clock;
use shallottide_types::peer::NodeInfo;

use crate::view::{ConfigView, EngineView, MemberView, PlacementView};

/// Handle on the clock, this node's identity and the published views; cheap to clone.
///
/// Each view has one publishing service, which always replaces the entire view, and any number of
/// readers.
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
    /// Creates a context in which all views are empty.
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

    /// Returns the current monotonic time.
    #[must_use]
    pub fn now(&self) -> Instant {
        self.inner.clock.now()
    }

    /// Returns the time since the Unix epoch, for timestamps and logs only.
    #[must_use]
    pub fn unix_time(&self) -> Duration {
        self.inner.clock.unix_time()
    }

    /// Returns this node's identity, address and stopping flag.
    #[must_use]
    pub fn me(&self) -> NodeInfo {
        self.inner.me.borrow().clone()
    }

    /// Sets the stopping flag of this node's identity.
    pub fn set_stopping(&self) {
        self.inner.me.borrow_mut().stopping = true;
    }

    /// Returns the configuration records in force on this node.
    #[must_use]
    pub fn config(&self) -> Rc<ConfigView> {
        self.inner.config.borrow().clone()
    }

    /// Replaces the config view; called by the config service only.
    pub fn publish_config(&self, view: ConfigView) {
        *self.inner.config.borrow_mut() = Rc::new(view);
    }

    /// Returns the known entry VMs and their loads.
    #[must_use]
    pub fn members(&self) -> Rc<MemberView> {
        self.inner.members.borrow().clone()
    }

    /// Replaces the member view; called by the members service only.
    pub fn publish_members(&self, view: MemberView) {
        *self.inner.members.borrow_mut() = Rc::new(view);
    }

    /// Returns the latest known placement of each failure domain.
    #[must_use]
    pub fn placement(&self) -> Rc<PlacementView> {
        self.inner.placement.borrow().clone()
    }

    /// Replaces the placement view; called by the groups service only.
    pub fn publish_placement(&self, view: PlacementView) {
        *self.inner.placement.borrow_mut() = Rc::new(view);
    }

    /// Returns the VMs of this failure domain and the latest report of each engine.
    #[must_use]
    pub fn engines(&self) -> Rc<EngineView> {
        self.inner.engines.borrow().clone()
    }

    /// Replaces the engine view; called by the groups service only.
    pub fn publish_engines(&self, view: EngineView) {
        *self.inner.engines.borrow_mut() = Rc::new(view);
    }
}
