//! All messages between services and borders.

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

/// A message to a service or border.
#[derive(Debug, Clone)]
pub enum Message {
    /// Time has passed; sent to every service ten times a second.
    Tick,
    /// The node is stopping: take no new roles, end what runs.
    Stop,
    /// A caller's call, from `FRONT` to `AUTH`.
    UnauthenticatedCall(UnauthenticatedCall),
    /// A call whose team is known, from `AUTH` or `PEERS` to `CALLS`.
    CallArrived(CallArrived),
    /// The receiver of an answer went away, to `CALLS`.
    ReceiverDisconnected(ReplyTo),
    /// Part of an answer, from `CALLS` to `FRONT` or `PEERS`.
    Reply(Reply),
    /// Run a call on an upstream, from `CALLS` to `UPSTREAMS`.
    Dispatch(Dispatch),
    /// Hand a call to another node, from `CALLS` to `PEERS`.
    Forward(Forward),
    /// Drop an attempt, from `CALLS` to `UPSTREAMS` or `PEERS`.
    CancelAttempt(CancelAttempt),
    /// Progress of an attempt, from `UPSTREAMS` or `PEERS` to `CALLS`.
    Attempt(AttemptId, AttemptEvent),
    /// Claim a key, from `CALLS` to `CLAIMS`.
    RequestClaim(RequestClaim),
    /// Answer to a claim, from `CLAIMS` to `CALLS`.
    ClaimReply(ClaimReply),
    /// A claimed call ended, from `CALLS` to `CLAIMS`.
    ClaimedCallEnded(ClaimedCallEnded),
    /// A caller wants tickets, from `FRONT` to `AUTH`.
    UnauthenticatedTicketRequest(UnauthenticatedTicketRequest),
    /// A known team wants tickets, from `AUTH` to `CLAIMS`.
    MintTickets(MintTickets),
    /// A platform call, to `PLATFORM`.
    PlatformRequest(PlatformRequest),
    /// Its result, to the service that asked.
    PlatformReply(PlatformReply),
    /// A control message for a peer, to `PEERS`.
    PeerSend(PeerSend),
    /// A control message from a peer. `PEERS` sends heartbeats to `MEMBERS`, records to
    /// `CONFIG`, placements, reports and VMs to `GROUPS`, claims to `CLAIMS`.
    PeerReceived(PeerReceived),
    /// Loads of all slots dispatched here, from `CALLS` to `MEMBERS`, about once a second.
    OwnLoads(Vec<LoadSummary>),
    /// Send an order, from `GROUPS` to `ENGINES`.
    EngineOrder(EngineOrder),
    /// Its result, to `GROUPS`.
    EngineOrderResult(EngineOrderResult),
    /// Read an engine's report, from `GROUPS` to `ENGINES`.
    EnginePoll(EnginePoll),
    /// The report, to `GROUPS`.
    EnginePollResult(EnginePollResult),
    /// An operator asks for the status, to `STATUS`.
    StatusRequest(StatusRequest),
    /// The status, to `OPERATORS`.
    StatusReply(StatusReply),
}

/// Lets a message's own type be sent without naming the variant.
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
