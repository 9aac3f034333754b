//! The adapter to other entry VMs.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use shallottide_types::clock::Clock;
use shallottide_types::id::{AttemptId, NodeId};
use tokio::runtime::Handle;
use tokio::task::AbortHandle;

use super::PeerTraffic;
use super::link_pool::LinkPool;
use super::peer_authenticator::PeerAuthenticator;
use super::peer_client::{PeerClient, SharedPeerClient};
use super::peer_server::PeerServer;
use crate::connection_gate::ConnectionGate;
use crate::kernel::{KernelHandle, names};
use crate::listener::accept_until_closed;
use crate::message::{Forward, Message, PeerSend, ReplyTo};
use crate::peer_codec::PeerKey;
use crate::replies::ReplyRouter;
use crate::telemetry::Metrics;

/// Settings of the peer adapter.
pub struct PeerOptions {
    /// This node.
    pub node: NodeId,
    /// This node's peer address, as other nodes know it.
    pub address: SocketAddr,
    /// HMAC key that all entry VMs share.
    pub key: PeerKey,
    /// Limits peers' open connections; closing it stops [`PeerAdapter::serve`].
    pub gate: ConnectionGate,
    /// Counts messages and times calls.
    pub metrics: Metrics,
    /// Clock for send times in signed requests and their check.
    pub clock: Arc<dyn Clock>,
    /// Counts messages, calls and bytes.
    pub traffic: Arc<PeerTraffic>,
}

/// Adapter to other entry VMs. Clones are cheap and share their state.
#[derive(Clone)]
pub struct PeerAdapter {
    kernel: KernelHandle,
    runtime: Handle,
    client: SharedPeerClient,
    server: PeerServer,
    /// Tasks of the calls that were forwarded and have not ended.
    running: Arc<Mutex<BTreeMap<AttemptId, AbortHandle>>>,
}

impl PeerAdapter {
    /// Creates the adapter; its tasks run on `runtime`.
    #[must_use]
    pub fn new(options: PeerOptions, kernel: KernelHandle, runtime: Handle) -> Self {
        let authenticator = PeerAuthenticator::new(options.node, options.key, options.clock);
        let server = PeerServer {
            address: options.address,
            authenticator: authenticator.clone(),
            kernel: kernel.clone(),
            reply_router: ReplyRouter::new(kernel.clone(), ReplyTo::Peer),
            gate: options.gate,
            metrics: options.metrics.clone(),
            traffic: options.traffic.clone(),
        };
        let client = PeerClient {
            links: LinkPool::new(options.traffic.clone()),
            authenticator,
            metrics: options.metrics,
            traffic: options.traffic,
        };
        Self {
            kernel,
            runtime,
            client: Arc::new(client),
            server,
            running: Arc::default(),
        }
    }

    /// Handles a message from the kernel without blocking.
    ///
    /// # Panics
    /// If another thread panicked while holding the adapter's state.
    pub fn send(&self, message: Message) {
        match message {
            Message::PeerSend(PeerSend { address, msg }) => {
                let client = self.client.clone();
                self.runtime
                    .spawn(async move { client.send_control(address, &msg).await });
            }
            Message::Forward(forward) => self.forward(forward),
            Message::CancelAttempt(cancel) => {
                let task = self
                    .running
                    .lock()
                    .expect("running lock")
                    .remove(&cancel.attempt);
                if let Some(task) = task {
                    task.abort();
                }
            }
            Message::Reply(reply) => {
                if let ReplyTo::Peer(number) = reply.reply_to {
                    self.server.reply_router.deliver(number, reply.event);
                }
            }
            _ => {}
        }
    }

    fn forward(&self, forward: Forward) {
        let attempt = forward.attempt;
        let (client, kernel) = (self.client.clone(), self.kernel.clone());
        let running = self.running.clone();
        // Locked while spawning, so that the task can't remove itself before it is registered.
        let mut registered = self.running.lock().expect("running lock");
        let task = self.runtime.spawn(async move {
            let report = |event| {
                kernel.send(names::CALLS, Message::Attempt(attempt, event));
            };
            client.forward_call(&forward, report).await;
            running.lock().expect("running lock").remove(&attempt);
        });
        registered.insert(attempt, task.abort_handle());
    }

    /// Accepts peers' connections until the gate closes. Open connections then finish their
    /// streams.
    ///
    /// # Errors
    /// Fails when the listener can't be registered with the runtime.
    pub async fn serve(self, listener: std::net::TcpListener) -> std::io::Result<()> {
        accept_until_closed(listener, &self.server.gate, |stream, pass| {
            let server = self.server.clone();
            tokio::spawn(async move {
                server.serve(stream).await;
                drop(pass);
            });
        })
        .await
    }
}
