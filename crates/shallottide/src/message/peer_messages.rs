//! Control messages to and from other entry VMs.

use std::net::SocketAddr;

use shallottide_types::id::NodeId;
use shallottide_types::peer::PeerMsg;

/// Sends a control message; it may be lost.
#[derive(Debug, Clone)]
pub struct PeerSend {
    /// Address of the peer's port.
    pub address: SocketAddr,
    /// The message.
    pub msg: PeerMsg,
}

/// A control message that arrived from a peer that proved it belongs.
#[derive(Debug, Clone)]
pub struct PeerReceived {
    /// The sender.
    pub from: NodeId,
    /// The message.
    pub msg: PeerMsg,
}
