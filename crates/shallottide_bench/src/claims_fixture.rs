//! Claims service that is the only node and writes all partitions itself.

use std::collections::BTreeSet;
use std::time::Duration;

use shallottide::claims::{ClaimOptions, ClaimService};
use shallottide::kernel::{Outbox, Service};
use shallottide::message::{ClaimedCallEnded, Message, PlatformReply, RequestClaim};
use shallottide_types::id::CallId;
use shallottide_types::peer::{ClaimEnd, ClaimId};

use crate::domain_fixture::{DomainFixture, DomainSize, id};
use crate::fake_platform::FakePlatform;

/// Time between two write rounds of a partition.
const ROUND: Duration = Duration::from_millis(200);

/// Time left of each call; longer than any run, so that no claim expires.
const CALL_TIME_LEFT: Duration = Duration::from_hours(10_000);

/// Number of rounds after which an outcome has been written.
const OUTCOME_ROUNDS: u32 = 4;

/// Claims service of a single node, which writes all partitions itself to a platform stand-in.
pub(crate) struct ClaimsFixture {
    fixture: DomainFixture,
    platform: FakePlatform,
    service: ClaimService,
    /// Calls whose claims are not yet granted.
    pending: BTreeSet<CallId>,
    /// Number of the last claimed key.
    last: u64,
    /// Number of partitions that the keys are spread over.
    partitions: u64,
}

impl ClaimsFixture {
    /// Creates a service whose claims all belong to one partition.
    #[must_use]
    pub(crate) fn new() -> Self {
        Self::with_partitions(1)
    }

    /// Creates a service whose claims are spread over `partitions` partitions in turn.
    #[must_use]
    pub(crate) fn with_partitions(partitions: u64) -> Self {
        let fixture = DomainFixture::new(DomainSize {
            nodes: 1,
            servers: 0,
            upstreams: 0,
        });
        Self {
            platform: FakePlatform::new(&fixture.clock),
            fixture,
            service: ClaimService::new(ClaimOptions::default()),
            pending: BTreeSet::new(),
            last: 0,
            partitions,
        }
    }

    /// Claims `count` new keys and runs rounds until all claims are written.
    ///
    /// # Panics
    /// If a claim isn't granted.
    pub(crate) fn claim(&mut self, count: u32) -> Vec<(CallId, ClaimId)> {
        let claimed: Vec<_> = (0..count).map(|_| self.request_claim()).collect();
        while !self.pending.is_empty() {
            self.run_round();
        }
        claimed
    }

    /// Claims `count` new keys in one write and releases them in another, so that the number of claims
    /// stays the same.
    pub(crate) fn claim_and_release(&mut self, count: u32) {
        for (call, claim) in self.claim(count) {
            let end = ClaimEnd::NotRun;
            self.handle(ClaimedCallEnded { call, claim, end }.into());
        }
        for _ in 0..OUTCOME_ROUNDS {
            self.run_round();
        }
    }

    /// Requests a claim of a new key.
    fn request_claim(&mut self) -> (CallId, ClaimId) {
        self.last += 1;
        let call: CallId = id(&format!("call-{}", self.last));
        let partition = u128::from(self.last % self.partitions);
        let claim = ClaimId(partition << 64 | u128::from(self.last));
        self.pending.insert(call.clone());
        let wanted = RequestClaim {
            call: call.clone(),
            claim,
            digest: self.last,
            ticket: None,
            time_left: CALL_TIME_LEFT,
        };
        self.handle(wanted.into());
        (call, claim)
    }

    fn run_round(&mut self) {
        self.fixture.clock.advance(ROUND);
        self.handle(Message::Tick);
    }

    fn handle(&mut self, message: Message) {
        let mut messages = vec![message];
        while let Some(message) = messages.pop() {
            let mut out = Outbox::default();
            self.service.handle(message, &self.fixture.cx, &mut out);
            for (_, message) in out.take() {
                match message {
                    Message::PlatformRequest(request) => {
                        let token = request.token;
                        let result = self.platform.run_op(request.op);
                        messages.push(PlatformReply { token, result }.into());
                    }
                    Message::ClaimReply(reply) => {
                        let granted = shallottide_types::peer::ClaimAnswer::Granted;
                        assert_eq!(reply.answer, granted, "a new key has no other claim");
                        self.pending.remove(&reply.call);
                    }
                    _ => {}
                }
            }
        }
    }
}
