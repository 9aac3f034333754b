//! A claims service that writes its claims by itself.

use std::collections::BTreeSet;
use std::time::Duration;

use shallottide::claims::{ClaimOptions, ClaimService};
use shallottide::kernel::{Outbox, Service};
use shallottide::message::{ClaimedCallEnded, Message, PlatformReply, RequestClaim};
use shallottide_types::id::CallId;
use shallottide_types::peer::{ClaimEnd, ClaimId};

use crate::fake_platform::FakePlatform;
use crate::world::{World, WorldSize, id};

/// Time between two rounds of a partition.
const ROUND: Duration = Duration::from_millis(200);

/// Longer than any run, so that no claim expires.
const TIME_LEFT: Duration = Duration::from_hours(10_000);

/// Rounds after which an outcome is written.
const OUTCOME_ROUNDS: u32 = 4;

/// A claims service that writes its claims by itself.
pub(crate) struct ClaimedKeys {
    world: World,
    platform: FakePlatform,
    service: ClaimService,
    waiting: BTreeSet<CallId>,
    last: u64,
    /// Partitions that the keys fall into.
    partitions: u64,
}

impl ClaimedKeys {
    /// Creates a service whose claims all fall into one partition.
    #[must_use]
    pub(crate) fn new() -> Self {
        Self::over(1)
    }

    /// Creates a service whose claims fall into so many partitions in turn.
    #[must_use]
    pub(crate) fn over(partitions: u64) -> Self {
        let world = World::new(WorldSize {
            nodes: 1,
            servers: 0,
            upstreams: 0,
        });
        Self {
            platform: FakePlatform::new(&world.clock),
            world,
            service: ClaimService::new(ClaimOptions::default()),
            waiting: BTreeSet::new(),
            last: 0,
            partitions,
        }
    }

    /// Claims new keys and waits until all are written.
    ///
    /// # Panics
    /// If one isn't granted.
    pub(crate) fn claim(&mut self, count: u32) -> Vec<(CallId, ClaimId)> {
        let claimed: Vec<_> = (0..count).map(|_| self.want()).collect();
        while !self.waiting.is_empty() {
            self.next_round();
        }
        claimed
    }

    /// Claims new keys in one write and frees them by another, so that the size stays.
    pub(crate) fn claim_and_free(&mut self, count: u32) {
        for (call, claim) in self.claim(count) {
            let end = ClaimEnd::NotRun;
            self.handle(ClaimedCallEnded { call, claim, end }.into());
        }
        for _ in 0..OUTCOME_ROUNDS {
            self.next_round();
        }
    }

    fn want(&mut self) -> (CallId, ClaimId) {
        self.last += 1;
        let call: CallId = id(&format!("call-{}", self.last));
        let partition = u128::from(self.last % self.partitions);
        let claim = ClaimId(partition << 64 | u128::from(self.last));
        self.waiting.insert(call.clone());
        let wanted = RequestClaim {
            call: call.clone(),
            claim,
            digest: self.last,
            ticket: None,
            time_left: TIME_LEFT,
        };
        self.handle(wanted.into());
        (call, claim)
    }

    fn next_round(&mut self) {
        self.world.clock.advance(ROUND);
        self.handle(Message::Tick);
    }

    fn handle(&mut self, message: Message) {
        let mut messages = vec![message];
        while let Some(message) = messages.pop() {
            let mut out = Outbox::default();
            self.service.handle(message, &self.world.cx, &mut out);
            for (_, message) in out.take() {
                match message {
                    Message::PlatformRequest(request) => {
                        let token = request.token;
                        let result = self.platform.run(request.op);
                        messages.push(PlatformReply { token, result }.into());
                    }
                    Message::ClaimReply(reply) => {
                        let granted = shallottide_types::peer::ClaimAnswer::Granted;
                        assert_eq!(reply.answer, granted, "a new key is free");
                        self.waiting.remove(&reply.call);
                    }
                    _ => {}
                }
            }
        }
    }
}
