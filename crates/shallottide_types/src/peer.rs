//! Messages between entry VMs, sent as bincode over h2.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;

use crate::call::CallHead;
use crate::data;
use crate::engine::EngineReport;
use crate::id::{
    CallDigest, CallId, DomainId, FencingToken, GroupId, Incarnation, NodeId, StoreIndex,
    UpstreamId,
};
use crate::placement::Placement;
use crate::platform::Vm;
use crate::ticket::Ticket;

data! {
    /// A control message from one entry VM to another.
    pub enum PeerMsg {
        /// Heartbeat of the sender, with updates about other nodes.
        Heartbeat(Heartbeat),
        /// Records that the receiver may not have.
        Records(Vec<RecordCopy>),
        /// Requests all records changed after an index.
        RecordsRequest {
            /// Highest store index that the sender has applied.
            have: StoreIndex,
        },
        /// The placement of the sender's failure domain.
        Placement(Placement),
        /// Reports of engines that the sender polled.
        Reports(Vec<ReportCopy>),
        /// Requests a claim of an idempotency key from the node that writes its partition.
        Claim(ClaimRequest),
        /// The answer to `Claim` or `ClaimEnded`.
        Claimed {
            /// Token of the request that this answers.
            token: u64,
            /// The answer.
            answer: ClaimAnswer,
        },
        /// Reports the end of a claimed call.
        ClaimEnded(ClaimOutcome),
        /// All records changed in a range of store indexes.
        RecordsSince(RecordsSince),
        /// The VMs whose engines the receiver must poll; for a controller candidate, all VMs
        /// of the failure domain.
        Vms(Vec<Vm>),
        /// The answer of a call was lost at an upstream.
        CallLost {
            /// The call.
            call: CallDigest,
            /// Where it ran.
            slot: SlotTag,
        },
        /// A call whose answers were lost before was answered.
        CallAnswered(CallDigest),
        /// A call ends the upstreams that run it.
        CallRefused {
            /// The call.
            call: CallDigest,
            /// Time for which nodes must refuse it.
            time: Duration,
        },
    }

    /// Periodic message that shows that a node is alive; carries gossip about other nodes.
    pub struct Heartbeat {
        /// The sender.
        pub from: NodeInfo,
        /// Sequence number of the sender's heartbeats.
        pub seq: u64,
        /// Highest store index up to which the sender has applied records.
        pub config_index: StoreIndex,
        /// Highest fencing token of a placement that the sender has applied.
        pub placement_token: FencingToken,
        /// Full updates about some other nodes.
        pub updates: Vec<NodeUpdate>,
        /// Load of the slots that the sender dispatches to.
        pub loads: Vec<LoadSummary>,
        /// Compact updates about some other nodes; the receiver finds each node by its tag.
        pub compact_updates: Vec<CompactNodeUpdate>,
    }

    /// Compact form of [`NodeUpdate`], with loads, for a node that the receiver already knows.
    pub struct CompactNodeUpdate {
        /// Short hash of the node and its incarnation.
        pub node: NodeTag,
        /// Age of the node's own latest heartbeat, in tenths of a second, rounded up.
        pub age_ds: u8,
        /// How far the node's store index is below that of the heartbeat's sender.
        pub config_lag: u64,
        /// Load of the slots that the node dispatches to, as of `age_ds` ago.
        pub loads: Vec<CompactLoadSummary>,
    }

    /// Compact form of [`LoadSummary`].
    pub struct CompactLoadSummary {
        /// Short hash of the slot.
        pub slot: SlotTag,
        /// Number of requests in flight, as counted by the dispatcher.
        pub in_flight: u32,
        /// Limit of requests in flight that was in force then.
        pub limit: u32,
    }

    /// Short hash of a node and its incarnation. Collisions between nodes are possible.
    #[derive(Copy, PartialOrd, Ord)]
    pub struct NodeTag(pub [u8; 3]);

    /// Short hash of a slot. Collisions between slots are possible.
    #[derive(Copy, PartialOrd, Ord)]
    pub struct SlotTag(pub [u8; 3]);

    /// Identity, location and state of a node, as registered in the store.
    pub struct NodeInfo {
        /// The node.
        pub node: NodeId,
        /// Start number of the node; the info with a higher one replaces that with a lower one.
        pub incarnation: Incarnation,
        /// Its failure domain.
        pub domain: DomainId,
        /// Address of its peer port.
        pub address: SocketAddr,
        /// Whether the node is stopping and must get no new dispatcher roles.
        pub stopping: bool,
    }

    /// What one node passes on to others about a third node (gossip).
    pub struct NodeUpdate {
        /// The node that the update is about.
        pub info: NodeInfo,
        /// Age of the latest heartbeat that came from the node itself, whether the sender received
        /// it or learned of it through other nodes.
        pub age: Duration,
        /// Store index that the node had applied at that time.
        pub config_index: StoreIndex,
    }

    /// Load of one slot, as reported by its dispatcher.
    pub struct LoadSummary {
        /// The group or service upstream.
        pub slot: Slot,
        /// Number of requests in flight, as counted by the dispatcher.
        pub in_flight: u32,
        /// Limit of requests in flight in force now; 0 while the slot may not serve.
        pub limit: u32,
    }

    /// A destination of calls that has exactly one dispatcher at a time.
    #[derive(PartialOrd, Ord)]
    pub enum Slot {
        /// A group of VMs that serves a model.
        Group(GroupId),
        /// A plain-service upstream.
        Service(UpstreamId),
    }

    /// A stored record, as disseminated between nodes.
    pub struct RecordCopy {
        /// Full platform key.
        pub key: String,
        /// Store index of its last change. A node never applies a copy with a lower index than the
        /// one it has for the same key.
        pub index: StoreIndex,
        /// The stored JSON; `None` when the record was deleted.
        pub value: Option<Vec<u8>>,
    }

    /// All records changed after the index `since`, up to the index `to`.
    pub struct RecordsSince {
        /// Only records changed after this index are included. 0 means that all records are
        /// included, so that any record that is missing here was deleted, unless it changed
        /// after `to`.
        pub since: StoreIndex,
        /// All changes up to this index are included.
        pub to: StoreIndex,
        /// The records; some may be newer than `to`.
        pub records: Vec<RecordCopy>,
    }

    /// A claim of an idempotency key, sent to the node that writes claims of its partition.
    pub struct ClaimRequest {
        /// Matches the answer to this request; unique at the sender.
        pub token: u64,
        /// Hash of the team and the idempotency key.
        pub claim: ClaimId,
        /// Hash of method, path and body; a retry of the same call has the same hash.
        pub digest: u64,
        /// The call that requests the claim.
        pub call: CallId,
        /// The node that runs the call; reported to retries while the call runs.
        pub owner: NodeId,
        /// Start number of the owner; once the owner has restarted, the call's outcome is lost.
        pub incarnation: Incarnation,
        /// How long the call may still run, measured when the request was sent.
        pub time_left: Duration,
        /// The ticket that was used as the key, if any; only its minter may grant the claim.
        pub ticket: Option<Ticket>,
    }

    /// Reports how a claimed call ended, so that retries receive its outcome.
    pub struct ClaimOutcome {
        /// Matches the answer ([`PeerMsg::Claimed`] with the recorded end) to this message; unique
        /// at the sender.
        pub token: u64,
        /// Hash of the team and the idempotency key.
        pub claim: ClaimId,
        /// The call that holds the claim.
        pub call: CallId,
        /// How the call ended.
        pub end: ClaimEnd,
        /// The ticket that was used as the key, if any; only its minter records the end.
        pub ticket: Option<Ticket>,
    }

    /// How a claimed call ended.
    pub enum ClaimEnd {
        /// The call ran; its response body is kept when it is small enough.
        Ran {
            /// HTTP status code of the response.
            status: u16,
            /// Content type of the response.
            content_type: CompactString,
            /// The response body; `None` when it was too large to keep.
            body: Option<Bytes>,
        },
        /// The call certainly did not run; the key can be claimed again.
        NotRun,
        /// The call was sent to an upstream and its outcome was lost.
        Unknown,
    }

    /// The answer to a [`ClaimRequest`].
    pub enum ClaimAnswer {
        /// The claim is recorded; the call may run.
        Granted,
        /// Another call with the key holds the claim and has not ended.
        Running,
        /// Another call with the key has ended.
        Ended(ClaimEnd),
        /// The key was used before for a call with a different digest.
        DifferentBody,
        /// The key is older than the retention period of claims.
        Expired,
        /// The platform can't be reached; no claim was or will be written for this call.
        NotClaimed,
        /// The response to the write of the claim was lost, and the value could not be read back.
        Unknown,
        /// No such ticket was minted for the team.
        UnknownTicket,
        /// The node that minted the ticket did not answer.
        MinterUnreachable,
    }

    /// Hash of a team and an idempotency key; identifies a claim.
    #[derive(Copy, PartialOrd, Ord)]
    pub struct ClaimId(pub u128);

    /// An engine report, as disseminated between nodes, with its age.
    pub struct ReportCopy {
        /// The report.
        pub report: EngineReport,
        /// Time since the report was read from the engine.
        pub age: Duration,
    }

    /// A call forwarded to the node that dispatches to `slot`.
    pub struct ForwardedCall {
        /// The call; its `time_left` is measured when the call was forwarded.
        pub head: CallHead,
        /// Request body.
        pub body: Bytes,
        /// The group or service upstream that the sender chose; with `None` the receiver chooses
        /// one in its own failure domain.
        pub slot: Option<Slot>,
        /// Number of server-sent events already delivered to the caller, when an interrupted
        /// stream is resumed; otherwise 0.
        pub resume_from: u64,
    }
}
