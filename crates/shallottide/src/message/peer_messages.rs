//! Control messages to and from other entry VMs.

use std::net::SocketAddr;

use shallottide_types::id::NodeId;
use shallottide_types::peer::PeerMsg;

/// Sends a control message to a peer, without a guarantee of delivery.
#[derive(Debug, Clone)]
pub struct PeerSend {
    /// Address on which the peer accepts peers' connections.
    pub address: SocketAddr,
    /// The message.
    pub msg: PeerMsg,
}

/// A control message from an authenticated peer.
#[derive(Debug, Clone)]
pub struct PeerReceived {
    /// Node that sent the message.
    pub from: NodeId,
    /// The message.
    pub msg: PeerMsg,
}
