//! Traits that an adapter to a platform implements.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use http::{HeaderMap, Method, StatusCode, request};
use shallottide_types::id::{DomainId, FencingToken, ModelId, NodeId, StoreIndex, UpstreamId};
use shallottide_types::refusal::Refusal;

use crate::groups::Order;
use crate::upstream::Upstream;
use crate::view::Change;

/// A boxed future of a border's call.
pub type Pending<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;

/// Why a call to the platform's store gave nothing.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// No answer came; the call may have been carried out.
    #[error("no answer from the store: {0}")]
    NoAnswer(CompactString),
    /// The store turned the call away and did nothing.
    #[error("the store turned the call away with status {0}")]
    TurnedAway(u16),
    /// The history that was asked for is no longer there: list again.
    #[error("the store has dropped this history")]
    HistoryGone,
    /// The lease has ended.
    #[error("the lease has ended")]
    LeaseEnded,
    /// The answer can't be read.
    #[error("the store's answer can't be read: {0}")]
    Unreadable(CompactString),
}

/// Changes up to a revision.
#[derive(Debug, Clone, Default)]
pub struct Changes {
    /// The revision up to which these are all.
    pub index: StoreIndex,
    /// The changes in order.
    pub changes: Vec<Change>,
}

/// A lease, by the store's own number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lease {
    /// The store's number.
    pub id: u64,
    /// How long it holds from the arrival of a renewal.
    pub ttl: Duration,
}

/// The platform's store, decoded.
pub trait Store {
    /// Lists everything; not older than the call.
    fn list(&self) -> Pending<'_, Result<Changes, StoreError>>;
    /// Waits for changes after a revision, at most `wait`.
    fn changes(
        &self,
        after: StoreIndex,
        wait: Duration,
    ) -> Pending<'_, Result<Changes, StoreError>>;
    /// Takes a lease.
    fn grant(&self, ttl: Duration) -> Pending<'_, Result<Lease, StoreError>>;
    /// Renews a lease.
    fn renew(&self, lease: Lease) -> Pending<'_, Result<Lease, StoreError>>;
    /// Ends a lease, and with it the entries that hang on it.
    fn end(&self, lease: Lease) -> Pending<'_, Result<(), StoreError>>;
    /// Writes this node's entry.
    fn put_node(
        &self,
        lease: Lease,
        node: &NodeId,
        peers: SocketAddr,
    ) -> Pending<'_, Result<(), StoreError>>;
    /// Claims the groups of a domain if nobody holds them, or in place of the claim `replaces`;
    /// `None` if another claim stands.
    fn claim_controller(
        &self,
        lease: Lease,
        domain: &DomainId,
        node: &NodeId,
        replaces: Option<StoreIndex>,
    ) -> Pending<'_, Result<Option<StoreIndex>, StoreError>>;
}

/// What a caller's request says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallHead {
    /// The caller's id of this attempt.
    pub id: CompactString,
    /// The host that was called.
    pub host: CompactString,
    /// The team's key.
    pub key: Option<CompactString>,
    /// How long the caller waits.
    pub time_left: Option<Duration>,
    /// The model, if the request is for an engine.
    pub model: Option<ModelId>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Most tokens of the answer.
    pub output_tokens: u32,
    /// The last event that the caller has, when it resumes a stream.
    pub resume_from: Option<u64>,
}

/// What is sent to one upstream besides the caller's own headers.
#[derive(Debug, Clone)]
pub struct SendHead<'a> {
    /// The only upstream that may run it.
    pub upstream: &'a UpstreamId,
    /// The team, if the caller has one.
    pub team: Option<&'a str>,
    /// What is left of the caller's time.
    pub time_left: Duration,
    /// Rank from 0 (first) to 9.
    pub urgency: u8,
    /// The last event that the caller has.
    pub resume_from: Option<u64>,
}

/// Load as an upstream tells it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
}

/// What an upstream says of a request's run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing: it ran, or may have.
    #[default]
    MayHaveRun,
    /// It did not run and never will.
    NotRun,
    /// It did not run: another upstream has the address now.
    Misdirected,
}

/// What an upstream's answer says of itself.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AnswerHead {
    /// The id of the request that it answers.
    pub id: Option<CompactString>,
    /// What the upstream says of the request's run.
    pub verdict: Verdict,
    /// Load, if told.
    pub load: Option<ReportedLoad>,
    /// The member of a group whose loss the answer blames.
    pub at_fault: Option<UpstreamId>,
    /// How long the upstream keeps the connection when idle.
    pub keep_alive: Option<Duration>,
    /// Whether the answer bears the upstream's signature and a body as upstreams send it.
    pub genuine: bool,
}

/// Names and formats of requests and answers.
pub trait CallFormat {
    /// Reads a caller's request.
    ///
    /// # Errors
    /// A sentence that says what is wrong.
    fn read(&self, head: &request::Parts) -> Result<CallHead, CompactString>;
    /// Writes the headers for an upstream.
    fn upstream_headers(&self, caller: &HeaderMap, send: &SendHead<'_>) -> HeaderMap;
    /// Reads an upstream's answer.
    fn read_answer(&self, status: StatusCode, headers: &HeaderMap) -> AnswerHead;
    /// Writes the headers of an answer for the caller.
    fn caller_headers(&self, upstream: &HeaderMap) -> HeaderMap;
    /// Writes the headers of a refusal.
    fn refusal_headers(&self, refusal: &Refusal, id: &str) -> HeaderMap;
}

/// How an engine took an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// Done, or begun.
    Accepted,
    /// It does not fit the engine's state; nothing was done.
    Refused,
    /// Another upstream has the address; nothing was done.
    Misdirected,
    /// Nothing can be said: it may be carried out later.
    Unknown,
}

/// A call to an engine's own interface.
#[derive(Debug, Clone)]
pub struct EngineCall {
    /// HTTP method.
    pub method: Method,
    /// HTTP path.
    pub path: &'static str,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Names and formats of orders to engines.
pub trait EngineFormat {
    /// Writes an order to one engine; `fence` rises with each steward of a domain.
    fn order(&self, to: &UpstreamId, order: &Order, fence: FencingToken) -> EngineCall;
    /// Reads the answer to an order.
    fn outcome(&self, status: StatusCode) -> OrderOutcome;
    /// Writes a question for an engine's report.
    fn probe(&self, to: &UpstreamId) -> EngineCall;
    /// Reads a report: what of the entry it replaces, if it can be read.
    fn report(&self, known: &Upstream, body: &[u8]) -> Option<Upstream>;
}
