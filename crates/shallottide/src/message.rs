//! Messages between services and adapters.

mod call_messages;
mod engine_messages;
mod operator_messages;
mod peer_messages;
mod platform_messages;
mod ticket_messages;

pub use call_messages::{
    AttemptEvent, AttemptFailure, CallArrived, CancelAttempt, ClaimReply, ClaimedCallEnded,
    Dispatch, Forward, Reply, ReplyTo, RequestClaim, UnauthenticatedCall,
};
pub use engine_messages::{
    EngineOrder, EngineOrderResult, EnginePoll, EnginePollResult, OrderError,
};
pub use operator_messages::{StatusReply, StatusRequest};
pub use peer_messages::{PeerReceived, PeerSend};
pub use platform_messages::{PlatformAnswer, PlatformOp, PlatformReply, PlatformRequest};
pub use ticket_messages::{MintTickets, UnauthenticatedTicketRequest};

use shallottide_types::id::AttemptId;
use shallottide_types::peer::LoadSummary;

/// A message to a service or adapter.
#[derive(Debug, Clone)]
pub enum Message {
    /// Timer tick, sent to every service ten times a second.
    Tick,
    /// The node is stopping: the service takes on no new roles and finishes its work in progress.
    Stop,
    /// A caller's call that is not yet authenticated, from `FRONT` to `AUTH`.
    UnauthenticatedCall(UnauthenticatedCall),
    /// An authenticated call, from `AUTH` or `PEERS` to `CALLS`.
    CallArrived(CallArrived),
    /// The caller or peer that waits for an answer disconnected, from `FRONT` or `PEERS` to
    /// `CALLS`.
    ReceiverDisconnected(ReplyTo),
    /// Part of an answer, from `CALLS` to `FRONT` or `PEERS`.
    Reply(Reply),
    /// Run a call on an upstream, from `CALLS` to `UPSTREAMS`.
    Dispatch(Dispatch),
    /// Hand a call to another node, from `CALLS` to `PEERS`.
    Forward(Forward),
    /// Cancel an attempt, from `CALLS` to `UPSTREAMS` or `PEERS`.
    CancelAttempt(CancelAttempt),
    /// Progress of an attempt, from `UPSTREAMS` or `PEERS` to `CALLS`.
    Attempt(AttemptId, AttemptEvent),
    /// Claim an idempotency key, from `CALLS` to `CLAIMS`.
    RequestClaim(RequestClaim),
    /// Result of a claim, from `CLAIMS` to `CALLS`.
    ClaimReply(ClaimReply),
    /// A claimed call ended, from `CALLS` to `CLAIMS`.
    ClaimedCallEnded(ClaimedCallEnded),
    /// A caller's request for tickets that is not yet authenticated, from `FRONT` to `AUTH`.
    UnauthenticatedTicketRequest(UnauthenticatedTicketRequest),
    /// Mint tickets for an authenticated team, from `AUTH` to `CLAIMS`.
    MintTickets(MintTickets),
    /// Call the platform, from any service to `PLATFORM`.
    PlatformRequest(PlatformRequest),
    /// Result of a platform call, from `PLATFORM` to the service that made it.
    PlatformReply(PlatformReply),
    /// Send a control message to a peer, from any service to `PEERS`.
    PeerSend(PeerSend),
    /// A control message from a peer. `PEERS` sends heartbeats to `MEMBERS`, records to
    /// `CONFIG`, placements, reports and VMs to `GROUPS`, claims to `CLAIMS`.
    PeerReceived(PeerReceived),
    /// Loads of all slots dispatched here, from `CALLS` to `MEMBERS`, about once a second.
    OwnLoads(Vec<LoadSummary>),
    /// Send an order to an engine, from `GROUPS` to `ENGINES`.
    EngineOrder(EngineOrder),
    /// Result of an order, from `ENGINES` to `GROUPS`.
    EngineOrderResult(EngineOrderResult),
    /// Read an engine's report, from `GROUPS` to `ENGINES`.
    EnginePoll(EnginePoll),
    /// Result of a poll, from `ENGINES` to `GROUPS`.
    EnginePollResult(EnginePollResult),
    /// An operator requests the status, from `OPERATORS` to `STATUS`.
    StatusRequest(StatusRequest),
    /// The status, to `OPERATORS`.
    StatusReply(StatusReply),
}

/// Implements `From` for the payload type of each listed variant.
macro_rules! from_messages {
    ($($name:ident),+) => {
        $(
            impl From<$name> for Message {
                fn from(message: $name) -> Self {
                    Self::$name(message)
                }
            }
        )+
    };
}

from_messages!(
    UnauthenticatedCall,
    CallArrived,
    Reply,
    Dispatch,
    Forward,
    CancelAttempt,
    RequestClaim,
    ClaimReply,
    ClaimedCallEnded,
    PlatformRequest,
    PlatformReply,
    PeerSend,
    PeerReceived,
    EngineOrder,
    EngineOrderResult,
    EnginePoll,
    EnginePollResult,
    StatusRequest,
    StatusReply,
    UnauthenticatedTicketRequest,
    MintTickets
);
