//! The platform client, in the form of Consul's key-value API.

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use serde::de::DeserializeOwned;
use serde_json::value::RawValue;
use shallottide_types::duration_text;
use shallottide_types::id::{DomainId, StoreEra, StoreIndex};
use shallottide_types::platform::{
    Entry, Listing, Platform, PlatformError, Precondition, SwapOutcome, Vm,
};

use super::http_call::{self, HttpAnswer, HttpCall};
use super::platform_options::{PlatformOptions, PlatformOptionsError};
use super::wire::{WireEntry, WireSession, WireSessionRequest, escape_key};

/// The platform adds a jitter of up to 1/16 of a watch's wait, so that watches don't all end at
/// once.
const WATCH_JITTER_DIVISOR: u32 = 16;

/// Client of the platform's Consul-like HTTP API.
///
/// A read is retried on the next address when the address is unreachable or its answer was lost.
/// A write is retried on the next address only when no byte of it was sent, so it takes effect at
/// most once.
#[derive(Debug)]
pub struct ConsulPlatform {
    options: PlatformOptions,
    /// Invariant: never empty.
    addresses: Vec<String>,
    agent: ureq::Agent,
    /// Index in `addresses` at which the next call starts.
    current: AtomicUsize,
    /// Latest era that the store has answered in.
    era: AtomicU64,
}

impl ConsulPlatform {
    /// Creates a client. It opens no connection before the first call.
    ///
    /// # Errors
    /// [`PlatformOptionsError`] when there is no address, or one is malformed.
    pub fn new(options: PlatformOptions) -> Result<Self, PlatformOptionsError> {
        Ok(Self {
            addresses: options.validated_addresses()?,
            agent: http_call::agent(&options),
            current: AtomicUsize::new(0),
            era: AtomicU64::new(0),
            options,
        })
    }

    fn send(&self, call: &HttpCall<'_>) -> Result<HttpAnswer, PlatformError> {
        let first = self.current.load(Ordering::Relaxed);
        let mut result = self.send_to(first, call);
        for step in 1..self.addresses.len() {
            match &result {
                Err(PlatformError::Unreachable { .. }) => {}
                Err(PlatformError::AnswerLost(_)) if call.is_read() => {}
                _ => break,
            }
            result = self.send_to(first + step, call);
        }
        result
    }

    fn send_to(&self, index: usize, call: &HttpCall<'_>) -> Result<HttpAnswer, PlatformError> {
        let index = index % self.addresses.len();
        let address = &self.addresses[index];
        let result = http_call::send(&self.agent, &self.options, address, call);
        if let Ok(answer) = &result {
            let known = self.era.fetch_max(answer.era.0, Ordering::Relaxed);
            if known > 0 && answer.era > StoreEra(known) {
                tracing::warn!(era = %answer.era, known, "store was restored from an older copy");
            }
        }
        // A write whose answer was lost isn't repeated, but the next call starts at the next address.
        let next = index + usize::from(matches!(result, Err(PlatformError::AnswerLost(_))));
        self.current
            .store(next % self.addresses.len(), Ordering::Relaxed);
        result
    }

    fn read_entries(
        &self,
        call: &HttpCall<'_>,
    ) -> Result<(Vec<Entry>, Option<StoreIndex>), PlatformError> {
        let answer = self.send(call)?;
        if !answer.found {
            return Ok((Vec::new(), answer.index));
        }
        let wire: Vec<WireEntry> = parse_json(&answer)?;
        let entries = wire
            .into_iter()
            .map(|entry| entry.into_entry(answer.era))
            .collect::<Result<_, _>>();
        Ok((entries.map_err(malformed)?, answer.index))
    }

    /// Returns whether the store has answered in a later era.
    fn has_left(&self, era: StoreEra) -> bool {
        self.era.load(Ordering::Relaxed) > era.0
    }

    /// Sends a write that holds only if a key was last changed at `index`.
    fn send_write_at(
        &self,
        index: StoreIndex,
        call: &HttpCall<'_>,
    ) -> Result<SwapOutcome, PlatformError> {
        if self.has_left(index.era()) {
            return Ok(SwapOutcome::Conflict);
        }
        let written = self.send_conditional_write(call)?;
        // The index may be another write's in a later era.
        if written && self.has_left(index.era()) {
            return Err(PlatformError::AnswerLost(
                "the store was restored from an older copy".into(),
            ));
        }
        Ok(swap_outcome(written))
    }

    /// Sends a conditional write. The platform answers `true` if it took effect, else `false`.
    fn send_conditional_write(&self, call: &HttpCall<'_>) -> Result<bool, PlatformError> {
        let answer = self.send(call)?;
        match (answer.found, answer.body.trim_ascii()) {
            (true, b"true") => Ok(true),
            (true, b"false") => Ok(false),
            // The write may have taken effect, so an unreadable answer counts as lost.
            _ => Err(PlatformError::AnswerLost("expected true or false".into())),
        }
    }
}

impl Platform for ConsulPlatform {
    fn get(&self, key: &str) -> Result<Option<Entry>, PlatformError> {
        let (mut entries, _) = self.read_entries(&HttpCall::read(key_path(key)))?;
        Ok(entries.pop())
    }

    fn list(
        &self,
        prefix: &str,
        after: Option<StoreIndex>,
        wait: Duration,
    ) -> Result<Listing, PlatformError> {
        let mut path = format!("{}?recurse=true", key_path(prefix));
        let mut hold_time = Duration::ZERO;
        // A store in a later era has changed since.
        let after = after.filter(|index| !wait.is_zero() && !self.has_left(index.era()));
        if let Some(index) = after {
            let wait_text = duration_text::format(wait);
            path = format!("{path}&index={}&wait={wait_text}", index.revision());
            hold_time = wait + wait / WATCH_JITTER_DIVISOR;
        }
        let (entries, index) = self.read_entries(&HttpCall::read(path).hold_for(hold_time))?;
        let index = index.ok_or_else(|| malformed("answer has no X-Consul-Index header"))?;
        Ok(Listing { index, entries })
    }

    fn swap(
        &self,
        key: &str,
        value: &[u8],
        expect: Precondition,
    ) -> Result<SwapOutcome, PlatformError> {
        match expect {
            Precondition::Absent => {
                let path = format!("{}?cas=0", key_path(key));
                self.send_conditional_write(&HttpCall::write(path, value))
                    .map(swap_outcome)
            }
            Precondition::Index(index) => {
                let path = format!("{}?cas={}", key_path(key), index.revision());
                self.send_write_at(index, &HttpCall::write(path, value))
            }
        }
    }

    fn remove(&self, key: &str, expect: StoreIndex) -> Result<SwapOutcome, PlatformError> {
        let path = format!("{}?cas={}", key_path(key), expect.revision());
        self.send_write_at(expect, &HttpCall::delete(path))
    }

    fn open_session(&self, ttl: Duration) -> Result<String, PlatformError> {
        let request = WireSessionRequest {
            ttl: duration_text::format(ttl),
            lock_delay: "0s",
            behavior: "release",
        };
        let body = serde_json::to_vec(&request).map_err(malformed)?;
        let answer = self.send(&HttpCall::write("/v1/session/create".into(), &body))?;
        parse_json::<WireSession>(&answer).map(|session| session.id)
    }

    fn renew_session(&self, session: &str) -> Result<bool, PlatformError> {
        let path = format!("/v1/session/renew/{}", escape_key(session));
        self.send(&HttpCall::write(path, &[]))
            .map(|answer| answer.found)
    }

    fn acquire(&self, key: &str, value: &[u8], session: &str) -> Result<bool, PlatformError> {
        let path = format!("{}?acquire={}", key_path(key), escape_key(session));
        self.send_conditional_write(&HttpCall::write(path, value))
    }

    fn release(&self, key: &str, session: &str) -> Result<bool, PlatformError> {
        let path = format!("{}?release={}", key_path(key), escape_key(session));
        self.send_conditional_write(&HttpCall::write(path, &[]))
    }

    fn vms(&self, domain: &DomainId) -> Result<Vec<Vm>, PlatformError> {
        let answer = self.send(&HttpCall::read(format!("/v1/vms?domain={domain}")))?;
        let entries: Vec<&RawValue> = serde_json::from_slice(&answer.body).map_err(malformed)?;
        Ok(entries.into_iter().filter_map(parse_vm).collect())
    }
}

fn key_path(key: &str) -> String {
    format!("/v1/kv/{}", escape_key(key))
}

fn swap_outcome(written: bool) -> SwapOutcome {
    if written {
        SwapOutcome::Written
    } else {
        SwapOutcome::Conflict
    }
}

fn parse_json<T: DeserializeOwned>(answer: &HttpAnswer) -> Result<T, PlatformError> {
    serde_json::from_slice(&answer.body).map_err(malformed)
}

/// Parses one entry of the VM list; the other VMs stay usable if it is malformed.
fn parse_vm(entry: &RawValue) -> Option<Vm> {
    let vm = serde_json::from_str(entry.get());
    vm.inspect_err(
        |error| tracing::warn!(%error, "could not read an entry of the VM list: skipped"),
    )
    .ok()
}

fn malformed(reason: impl std::fmt::Display) -> PlatformError {
    PlatformError::Malformed(format!("{reason}"))
}
