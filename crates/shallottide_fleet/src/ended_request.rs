//! Requests whose answers have ended, complete or not.

use std::time::{Duration, Instant};

use compact_str::CompactString;
use shallottide_types::id::{ServiceId, UpstreamId};
use shallottide_types::rendezvous::hash;

use crate::crash_evidence::Lifetime;
use crate::crash_trigger::CrashTrigger;
use crate::prompt_part::PromptPart;
use crate::request_digest::RequestDigest;

/// Position of the request itself behind all parts of its prompt.
const REQUEST_DEPTH: u8 = u8::MAX;

/// A request whose answer has ended, at one upstream.
#[derive(Debug, Clone, Copy)]
pub struct EndedRequest<'a> {
    /// The request's id.
    pub id: &'a str,
    /// Its digest, which stays the same when it comes again.
    pub digest: RequestDigest,
    /// The parts of its prompt that other requests may share.
    pub parts: &'a [PromptPart],
    /// The service.
    pub service: &'a ServiceId,
    /// The upstream's lifetime.
    pub lifetime: Lifetime,
}

impl EndedRequest<'_> {
    /// Returns what may be at fault for an end, with its position in the prompt.
    pub(crate) fn triggers(&self) -> impl Iterator<Item = (CrashTrigger, u8)> {
        let parts = self.parts.iter().copied().map(CrashTrigger::Part);
        let request = (CrashTrigger::Request(self.digest), REQUEST_DEPTH);
        parts.zip(0..).chain([request])
    }

    /// Returns a hash of the request's id.
    pub(crate) fn hash(&self) -> u16 {
        let [a, b, ..] = hash(self.id).to_be_bytes();
        u16::from_be_bytes([a, b])
    }
}

/// A request that was interrupted before its answer was complete.
#[derive(Debug, Clone, Copy)]
pub struct InterruptedRequest<'a> {
    /// The request, with the lifetime that its node knew of the upstream when it was sent.
    pub request: EndedRequest<'a>,
    /// The upstream.
    pub upstream: &'a UpstreamId,
    /// When it was sent.
    pub sent_at: Instant,
    /// Time for which the upstream had written the answer.
    pub written: Duration,
}

/// An [`EndedRequest`] that is kept until it is known how it ended.
#[derive(Debug, Clone)]
pub(crate) struct KeptRequest {
    id: CompactString,
    digest: RequestDigest,
    parts: Vec<PromptPart>,
    service: ServiceId,
    lifetime: Lifetime,
}

impl KeptRequest {
    /// Returns the request.
    pub(crate) fn ended(&self) -> EndedRequest<'_> {
        EndedRequest {
            id: &self.id,
            digest: self.digest,
            parts: &self.parts,
            service: &self.service,
            lifetime: self.lifetime,
        }
    }

    /// Returns the lifetime of its upstream.
    pub(crate) fn lifetime(&self) -> Lifetime {
        self.lifetime
    }

    /// Replaces the lifetime of its upstream.
    pub(crate) fn set_lifetime(&mut self, lifetime: Lifetime) {
        self.lifetime = lifetime;
    }

    /// Returns whether it holds a trigger at a service.
    pub(crate) fn has(&self, service: &ServiceId, trigger: CrashTrigger) -> bool {
        self.service == *service && self.ended().triggers().any(|(own, _)| own == trigger)
    }
}

impl From<EndedRequest<'_>> for KeptRequest {
    fn from(request: EndedRequest<'_>) -> Self {
        Self {
            id: request.id.into(),
            digest: request.digest,
            parts: request.parts.to_vec(),
            service: request.service.clone(),
            lifetime: request.lifetime,
        }
    }
}
