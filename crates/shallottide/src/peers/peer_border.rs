//! The border towards other entry VMs.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use shallottide_types::clock::Clock;
use shallottide_types::id::{AttemptId, NodeId};
use tokio::runtime::Handle;
use tokio::task::AbortHandle;

use super::PeerTraffic;
use super::incoming::Incoming;
use super::link_pool::LinkPool;
use super::outgoing::{Outgoing, SharedOutgoing};
use super::proof::Prover;
use crate::connection_gate::ConnectionGate;
use crate::kernel::{KernelHandle, names};
use crate::listener::accept_until_closed;
use crate::message::{Forward, Message, PeerSend, ReplyTo};
use crate::peer_codec::PeerKey;
use crate::replies::ReplyRouter;
use crate::telemetry::Metrics;

/// What the border needs to know of its node.
pub struct PeerOptions {
    /// This node.
    pub node: NodeId,
    /// Its peer address, as other nodes know it.
    pub address: SocketAddr,
    /// The secret that all entry VMs share.
    pub key: PeerKey,
    /// Lets peers in.
    pub gate: ConnectionGate,
    /// Where messages are counted.
    pub metrics: Metrics,
    /// Gives the time of proofs.
    pub clock: Arc<dyn Clock>,
    /// Counts what is exchanged.
    pub traffic: Arc<PeerTraffic>,
}

/// The border towards other entry VMs; a cheap cloneable handle.
#[derive(Clone)]
pub struct PeerBorder {
    kernel: KernelHandle,
    runtime: Handle,
    outgoing: SharedOutgoing,
    incoming: Incoming,
    running: Arc<Mutex<BTreeMap<AttemptId, AbortHandle>>>,
}

impl PeerBorder {
    /// Creates the border; its tasks run on `runtime`.
    #[must_use]
    pub fn new(options: PeerOptions, kernel: KernelHandle, runtime: Handle) -> Self {
        let prover = Prover::new(options.node, options.key, options.clock);
        let incoming = Incoming {
            address: options.address,
            prover: prover.clone(),
            kernel: kernel.clone(),
            desk: ReplyRouter::new(kernel.clone(), ReplyTo::Peer),
            gate: options.gate,
            metrics: options.metrics.clone(),
            traffic: options.traffic.clone(),
        };
        let outgoing = Outgoing {
            links: LinkPool::new(options.traffic.clone()),
            prover,
            metrics: options.metrics,
            traffic: options.traffic,
        };
        Self {
            kernel,
            runtime,
            outgoing: Arc::new(outgoing),
            incoming,
            running: Arc::default(),
        }
    }

    /// Takes a message from the kernel without blocking.
    ///
    /// # Panics
    /// If another thread panicked while holding the border's state.
    pub fn send(&self, message: Message) {
        match message {
            Message::PeerSend(PeerSend { address, msg }) => {
                let outgoing = self.outgoing.clone();
                self.runtime
                    .spawn(async move { outgoing.control(address, &msg).await });
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
                    self.incoming.desk.deliver(number, reply.event);
                }
            }
            _ => {}
        }
    }

    fn forward(&self, forward: Forward) {
        let attempt = forward.attempt;
        let (outgoing, kernel) = (self.outgoing.clone(), self.kernel.clone());
        let running = self.running.clone();
        // Held while spawning, so that the task can't end before it is registered.
        let mut registered = self.running.lock().expect("running lock");
        let task = self.runtime.spawn(async move {
            let report = |event| {
                kernel.send(names::CALLS, Message::Attempt(attempt, event));
            };
            outgoing.call(&forward, report).await;
            running.lock().expect("running lock").remove(&attempt);
        });
        registered.insert(attempt, task.abort_handle());
    }

    /// Accepts peers' connections until the gate closes; open ones then end their streams.
    ///
    /// # Errors
    /// Those of taking over the listener.
    pub async fn serve(self, listener: std::net::TcpListener) -> std::io::Result<()> {
        accept_until_closed(listener, &self.incoming.gate, |stream, pass| {
            let incoming = self.incoming.clone();
            tokio::spawn(async move {
                incoming.serve(stream).await;
                drop(pass);
            });
        })
        .await
    }
}
