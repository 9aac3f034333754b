//! Runs the services as actors on one thread and carries messages between them.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use stakker::sync::{Channel, ChannelGuard};
use stakker::{ActorOwn, CX, Fwd, Stakker, actor, call, fwd_do, fwd_to, ret_nop};

use super::{Context, Name, Outbox, Service};
use crate::message::Message;

/// Time between two [`Message::Tick`]s.
const TICK: Duration = Duration::from_millis(100);

/// Longest sleep without a message or timer.
const MAX_SLEEP: Duration = Duration::from_mins(1);

type Registry = Rc<RefCell<BTreeMap<Name, Fwd<Message>>>>;

/// Sends messages into the kernel from any thread.
#[derive(Clone)]
pub struct KernelHandle {
    channel: Arc<Channel<(Name, Message)>>,
}

impl KernelHandle {
    /// Sends a message; `false` when the kernel has ended.
    pub fn send(&self, to: Name, message: impl Into<Message>) -> bool {
        self.channel.send((to, message.into()))
    }
}

/// One service as an actor.
struct ServiceActor {
    service: Box<dyn Service>,
    context: Context,
    registry: Registry,
}

impl ServiceActor {
    #[expect(clippy::unnecessary_wraps, reason = "stakker's actor! takes an Option")]
    fn init(
        _: CX![],
        service: Box<dyn Service>,
        context: Context,
        registry: Registry,
    ) -> Option<Self> {
        Some(Self {
            service,
            context,
            registry,
        })
    }

    fn handle(&mut self, _: CX![], message: Message) {
        let mut out = Outbox::default();
        self.service.handle(message, &self.context, &mut out);
        for (to, message) in out.take() {
            deliver(&self.registry, to, message);
        }
    }
}

fn deliver(registry: &Registry, to: Name, message: Message) {
    if let Some(fwd) = registry.borrow().get(&to) {
        fwd.fwd(message);
    } else {
        tracing::debug!(%to, "message for a name that is not registered");
    }
}

/// The kernel of one node: its services, their registry and the loop that runs them.
pub struct Kernel {
    stakker: Stakker,
    registry: Registry,
    context: Context,
    actors: Vec<ActorOwn<ServiceActor>>,
    handle: KernelHandle,
    wakeup: Arc<Wakeup>,
    _guard: ChannelGuard,
}

/// Wakes the kernel's thread when a message arrives from another.
#[derive(Default)]
struct Wakeup {
    due: Mutex<bool>,
    condvar: Condvar,
}

impl Wakeup {
    fn notify(&self) {
        *self.due.lock().expect("wakeup lock") = true;
        self.condvar.notify_one();
    }

    /// Waits up to `timeout`; tells whether it was notified.
    fn wait(&self, timeout: Duration) -> bool {
        let due = self.due.lock().expect("wakeup lock");
        let (mut due, _) = self
            .condvar
            .wait_timeout_while(due, timeout, |due| !*due)
            .expect("wakeup lock");
        std::mem::take(&mut *due)
    }
}

impl Kernel {
    /// Creates a kernel without services.
    #[must_use]
    pub fn new(context: Context) -> Self {
        let mut stakker = Stakker::new(Instant::now());
        let wakeup = Arc::new(Wakeup::default());
        let waker = wakeup.clone();
        stakker.set_poll_waker(move || waker.notify());
        let registry = Registry::default();
        let to_names = registry.clone();
        let fwd = fwd_do!(move |(to, message)| deliver(&to_names, to, message));
        let (channel, guard) = Channel::new(&mut stakker, fwd);
        Self {
            stakker,
            registry,
            context,
            actors: Vec::new(),
            handle: KernelHandle {
                channel: Arc::new(channel),
            },
            wakeup,
            _guard: guard,
        }
    }

    /// Returns a handle for border threads.
    #[must_use]
    pub fn handle(&self) -> KernelHandle {
        self.handle.clone()
    }

    /// Registers a service under its own name.
    pub fn add_service(&mut self, service: Box<dyn Service>) {
        let name = service.name();
        let actor = actor!(
            self.stakker,
            ServiceActor::init(service, self.context.clone(), self.registry.clone()),
            ret_nop!()
        );
        let fwd = fwd_to!([actor], handle() as (Message));
        self.registry.borrow_mut().insert(name, fwd);
        self.actors.push(actor);
    }

    /// Registers a border: a function that hands messages to its thread without blocking.
    pub fn add_border(&mut self, name: Name, send: impl Fn(Message) + 'static) {
        self.registry.borrow_mut().insert(name, fwd_do!(send));
    }

    /// Runs until `done` says so; it is asked after every batch of messages.
    pub fn run(mut self, mut done: impl FnMut(&Context) -> bool) {
        let mut next_tick = Instant::now();
        while !done(&self.context) {
            let now = Instant::now();
            if now >= next_tick {
                next_tick = now + TICK;
                self.tick();
            }
            self.stakker.run(now, false);
            let sleep = self.stakker.next_wait_max(now, MAX_SLEEP, false);
            let sleep = sleep.min(next_tick.saturating_duration_since(Instant::now()));
            if self.wakeup.wait(sleep) {
                self.stakker.poll_wake();
            }
        }
    }

    fn tick(&mut self) {
        for actor in &self.actors {
            call!([actor], handle(Message::Tick));
        }
    }
}
