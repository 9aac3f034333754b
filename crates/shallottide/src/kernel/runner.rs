//! Runs the services as actors on one thread and delivers messages between them.

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
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Longest sleep of the kernel thread while there is no message or timer.
const MAX_SLEEP: Duration = Duration::from_mins(1);

type Registry = Rc<RefCell<BTreeMap<Name, Fwd<Message>>>>;

/// Sends messages into the kernel; cheap to clone and usable from any thread.
#[derive(Clone)]
pub struct KernelHandle {
    channel: Arc<Channel<(Name, Message)>>,
}

impl KernelHandle {
    /// Queues a message; returns `false` if the kernel has ended.
    pub fn send(&self, to: Name, message: impl Into<Message>) -> bool {
        self.channel.send((to, message.into()))
    }
}

/// Adapts a [`Service`] to a stakker actor.
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
        tracing::debug!(%to, "message dropped: recipient is not registered");
    }
}

/// Kernel of one node: its services, their registry and the event loop that runs them.
pub struct Kernel {
    stakker: Stakker,
    registry: Registry,
    context: Context,
    actors: Vec<ActorOwn<ServiceActor>>,
    handle: KernelHandle,
    wakeup: Arc<Wakeup>,
    _channel_guard: ChannelGuard,
}

/// Wakes the kernel thread when another thread sends a message.
#[derive(Default)]
struct Wakeup {
    notified: Mutex<bool>,
    condvar: Condvar,
}

impl Wakeup {
    fn notify(&self) {
        *self.notified.lock().expect("wakeup lock") = true;
        self.condvar.notify_one();
    }

    /// Waits up to `timeout` and returns whether a notification arrived, which it clears.
    fn wait(&self, timeout: Duration) -> bool {
        let notified = self.notified.lock().expect("wakeup lock");
        let (mut notified, _) = self
            .condvar
            .wait_timeout_while(notified, timeout, |notified| !*notified)
            .expect("wakeup lock");
        std::mem::take(&mut *notified)
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
        let channel_registry = registry.clone();
        let fwd = fwd_do!(move |(to, message)| deliver(&channel_registry, to, message));
        let (channel, channel_guard) = Channel::new(&mut stakker, fwd);
        Self {
            stakker,
            registry,
            context,
            actors: Vec::new(),
            handle: KernelHandle {
                channel: Arc::new(channel),
            },
            wakeup,
            _channel_guard: channel_guard,
        }
    }

    /// Returns a handle with which adapter threads send messages to services.
    #[must_use]
    pub fn handle(&self) -> KernelHandle {
        self.handle.clone()
    }

    /// Starts a service and registers it under [`Service::name`].
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

    /// Registers an adapter; `send` must pass the message to the adapter's thread without blocking.
    pub fn add_adapter(&mut self, name: Name, send: impl Fn(Message) + 'static) {
        self.registry.borrow_mut().insert(name, fwd_do!(send));
    }

    /// Runs the event loop until `done` returns true; it is called before each batch of messages.
    pub fn run(mut self, mut done: impl FnMut(&Context) -> bool) {
        let mut next_tick = Instant::now();
        while !done(&self.context) {
            let now = Instant::now();
            if now >= next_tick {
                next_tick = now + TICK_INTERVAL;
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
