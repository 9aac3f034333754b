//! Messages between entry VMs, sent as bincode over h2.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;

use crate::call::CallHead;
use crate::data;
use crate::engine::EngineReport;
use crate::id::{
    CallId, DomainId, FencingToken, GroupId, Incarnation, NodeId, StoreIndex, UpstreamId,
};
use crate::placement::Placement;
use crate::platform::Vm;
use crate::ticket::Ticket;

data! {
    /// A control message from one entry VM to another.
    pub enum PeerMsg {
        /// Sign of life with news about other nodes.
        Heartbeat(Heartbeat),
        /// Records that the receiver may not have.
        Records(Vec<RecordCopy>),
        /// Asks for all records newer than an index.
        RecordsRequest {
            /// Highest store index the asker has applied.
            have: StoreIndex,
        },
        /// The placement of the sender's failure domain.
        Placement(Placement),
        /// Reports of engines that the sender polls.
        Reports(Vec<ReportCopy>),
        /// Asks the writer of a partition to claim a key.
        Claim(ClaimRequest),
        /// Answers a claim.
        Claimed {
            /// Token of the request.
            token: u64,
            /// The answer.
            answer: ClaimAnswer,
        },
        /// Reports the end of a claimed call.
        ClaimEnded(ClaimOutcome),
        /// All records changed after an index, up to another.
        RecordsSince(RecordsSince),
        /// The VMs whose engines the receiver polls; to a controller candidate, all VMs
        /// of the failure domain.
        Vms(Vec<Vm>),
    }

    /// One node's sign of life.
    pub struct Heartbeat {
        /// The sender.
        pub from: NodeInfo,
        /// Counts the sender's heartbeats.
        pub seq: u64,
        /// Highest store index whose records the sender has applied.
        pub config_index: StoreIndex,
        /// Highest placement fence the sender has applied.
        pub placement_token: FencingToken,
        /// What the sender knows about some other nodes.
        pub updates: Vec<NodeUpdate>,
        /// Load of what the sender dispatches to.
        pub loads: Vec<LoadSummary>,
        /// When some other nodes, known to the receiver by their tags, were last alive.
        pub compact_updates: Vec<CompactNodeUpdate>,
    }

    /// When a node was last alive, in few bytes.
    pub struct CompactNodeUpdate {
        /// Short hash of the node and its incarnation.
        pub node: NodeTag,
        /// How long ago the node itself was heard, in tenths of a second, rounded up.
        pub age_ds: u8,
        /// How much lower the node's store index is than that of the heartbeat's sender.
        pub config_lag: u64,
        /// Load of what the node dispatches to, as of then.
        pub loads: Vec<CompactLoadSummary>,
    }

    /// A [`LoadSummary`] in few bytes.
    pub struct CompactLoadSummary {
        /// Short hash of the slot.
        pub slot: SlotTag,
        /// Requests in flight by the dispatcher's own count.
        pub in_flight: u32,
        /// The limit in force then.
        pub limit: u32,
    }

    /// Short hash of a node and its incarnation. Two nodes may share one.
    #[derive(Copy, PartialOrd, Ord)]
    pub struct NodeTag(pub [u8; 3]);

    /// Short hash of a slot. Two slots may share one.
    #[derive(Copy, PartialOrd, Ord)]
    pub struct SlotTag(pub [u8; 3]);

    /// Where a node is.
    pub struct NodeInfo {
        /// The node.
        pub node: NodeId,
        /// Its start number; a higher one replaces a lower one.
        pub incarnation: Incarnation,
        /// Its failure domain.
        pub domain: DomainId,
        /// Address of its peer port.
        pub address: SocketAddr,
        /// Whether it is stopping and takes no new dispatcher roles.
        pub stopping: bool,
    }

    /// Second-hand news about a node.
    pub struct NodeUpdate {
        /// The node.
        pub info: NodeInfo,
        /// How long ago the teller, or whom it has it from, heard the node itself.
        pub age: Duration,
        /// Store index the node had applied by then.
        pub config_index: StoreIndex,
    }

    /// What a dispatcher says of one replica or service upstream.
    pub struct LoadSummary {
        /// What is dispatched to.
        pub slot: Slot,
        /// Requests in flight by the dispatcher's own count.
        pub in_flight: u32,
        /// The limit in force now; 0 while it may not serve.
        pub limit: u32,
    }

    /// Something that has one dispatcher.
    #[derive(PartialOrd, Ord)]
    pub enum Slot {
        /// A group of VMs.
        Group(GroupId),
        /// A plain-service upstream.
        Service(UpstreamId),
    }

    /// A record as stored, for spreading between nodes.
    pub struct RecordCopy {
        /// Full platform key.
        pub key: String,
        /// Index of its last change. A node never applies a lower one for the same key.
        pub index: StoreIndex,
        /// The stored JSON; `None` when the record was deleted.
        pub value: Option<Vec<u8>>,
    }

    /// All records changed after one index, up to another.
    pub struct RecordsSince {
        /// Only records changed after this index are held. 0 means that all records are
        /// held, so that any other record changed up to `to` is deleted.
        pub since: StoreIndex,
        /// Every change up to this index is held.
        pub to: StoreIndex,
        /// The records; some may be newer than `to`.
        pub records: Vec<RecordCopy>,
    }

    /// A claim of an idempotency key, sent to the node that writes claims of its partition.
    pub struct ClaimRequest {
        /// Finds the answer; unique at the sender.
        pub token: u64,
        /// Team and key, hashed.
        pub claim: ClaimId,
        /// Hash of method, path and body; a retry has the same.
        pub digest: u64,
        /// The call that claims.
        pub call: CallId,
        /// The attempt's owner, told to retries while the call runs.
        pub owner: NodeId,
        /// The owner's start; after a later one the call's outcome is lost.
        pub incarnation: Incarnation,
        /// How long the call may run, as of sending.
        pub time_left: Duration,
        /// The ticket used as the key; only its minter may grant it.
        pub ticket: Option<Ticket>,
    }

    /// Says how a claimed call ended, so that retries get its outcome.
    pub struct ClaimOutcome {
        /// Finds the answer, `Claimed` with the recorded end; unique at the sender.
        pub token: u64,
        /// Team and key, hashed.
        pub claim: ClaimId,
        /// The call that holds the claim.
        pub call: CallId,
        /// How it ended.
        pub end: ClaimEnd,
        /// The ticket used as the key; only its minter records the end.
        pub ticket: Option<Ticket>,
    }

    /// How a claimed call ended.
    pub enum ClaimEnd {
        /// It ran; its answer is kept when it is small enough.
        Ran {
            /// HTTP status.
            status: u16,
            /// Content type.
            content_type: CompactString,
            /// The body, when kept.
            body: Option<Bytes>,
        },
        /// It certainly did not run; the key is free again.
        NotRun,
        /// It was sent and its outcome lost.
        Unknown,
    }

    /// The answer to a [`ClaimRequest`].
    pub enum ClaimAnswer {
        /// The claim is written; the caller's call may run.
        Granted,
        /// Another call holds the key and has not ended.
        Running,
        /// Another call with the key ended.
        Ended(ClaimEnd),
        /// The key was used for another body.
        DifferentBody,
        /// The key is older than claims are kept for.
        Expired,
        /// The platform can't be reached, and no claim was or will be written for this call.
        NotClaimed,
        /// The write's answer was lost and it could not be read back.
        Unknown,
        /// No such ticket was minted for the team.
        UnknownTicket,
        /// The ticket's minter gave no answer.
        MinterUnreachable,
    }

    /// Hash of a team and its idempotency key.
    #[derive(Copy, PartialOrd, Ord)]
    pub struct ClaimId(pub u128);

    /// An engine report with its age.
    pub struct ReportCopy {
        /// The report.
        pub report: EngineReport,
        /// Time since it was read from the engine.
        pub age: Duration,
    }

    /// A call handed to the node that dispatches to `slot`.
    pub struct ForwardedCall {
        /// The call; `time_left` counts from sending.
        pub head: CallHead,
        /// Its body.
        pub body: Bytes,
        /// The replica or upstream the sender chose; `None` asks the receiver to choose
        /// one inside its own failure domain.
        pub slot: Option<Slot>,
        /// Server-sent events already delivered, when a cut stream is resumed.
        pub resume_from: u64,
    }
}
