//! The platform client.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use serde::de::DeserializeOwned;
use shallottide_types::duration_text;
use shallottide_types::id::{DomainId, StoreIndex};
use shallottide_types::platform::{
    Entry, Listing, Platform, PlatformError, Precondition, SwapOutcome, Vm,
};

use super::http_call::{self, HttpAnswer, HttpCall};
use super::platform_options::{PlatformOptions, PlatformOptionsError};
use super::wire::{WireEntry, WireSession, WireSessionWanted, escaped};

/// The platform adds up to this part of a watch's wait, so that watches don't end all at once.
const WATCH_JITTER_DIVISOR: u32 = 16;

/// The platform over HTTP, in the form of Consul's key-value interface.
///
/// A read goes to the next address after any failure. A write goes to the next address only
/// when no byte of it was sent, so it takes effect at most once.
#[derive(Debug)]
pub struct ConsulPlatform {
    options: PlatformOptions,
    /// Invariant: never empty.
    addresses: Vec<String>,
    agent: ureq::Agent,
    /// Position of the address that answered last.
    current: AtomicUsize,
}

impl ConsulPlatform {
    /// Creates a client; nothing is sent before the first call.
    ///
    /// # Errors
    /// [`PlatformOptionsError`] when an address is missing or malformed.
    pub fn new(options: PlatformOptions) -> Result<Self, PlatformOptionsError> {
        Ok(Self {
            addresses: options.checked_addresses()?,
            agent: http_call::agent(&options),
            current: AtomicUsize::new(0),
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

    fn send_to(&self, position: usize, call: &HttpCall<'_>) -> Result<HttpAnswer, PlatformError> {
        let position = position % self.addresses.len();
        let address = &self.addresses[position];
        let result = http_call::send(&self.agent, &self.options, address, call);
        // A write whose answer was lost isn't sent again, but the next call goes elsewhere.
        let next = position + usize::from(matches!(result, Err(PlatformError::AnswerLost(_))));
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
        let wire: Vec<WireEntry> = parsed(&answer)?;
        let entries = wire
            .into_iter()
            .map(Entry::try_from)
            .collect::<Result<_, _>>();
        Ok((entries.map_err(malformed)?, answer.index))
    }

    /// Sends a write that answers `true` or `false`.
    fn decide(&self, call: &HttpCall<'_>) -> Result<bool, PlatformError> {
        let answer = self.send(call)?;
        match (answer.found, answer.body.trim_ascii()) {
            (true, b"true") => Ok(true),
            (true, b"false") => Ok(false),
            // The write may have taken effect, so an unreadable answer is a lost one.
            _ => Err(PlatformError::AnswerLost("neither true nor false".into())),
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
        let mut call_wait = Duration::ZERO;
        if let Some(index) = after.filter(|_| !wait.is_zero()) {
            let wait_text = duration_text::format(wait);
            path = format!("{path}&index={index}&wait={wait_text}");
            call_wait = wait + wait / WATCH_JITTER_DIVISOR;
        }
        let (entries, index) = self.read_entries(&HttpCall::read(path).wait(call_wait))?;
        let index = index.ok_or_else(|| malformed("no index header"))?;
        Ok(Listing { index, entries })
    }

    fn swap(
        &self,
        key: &str,
        value: &[u8],
        expect: Precondition,
    ) -> Result<SwapOutcome, PlatformError> {
        let index = match expect {
            Precondition::Absent => StoreIndex(0),
            Precondition::Index(index) => index,
        };
        let path = format!("{}?cas={index}", key_path(key));
        self.decide(&HttpCall::write(path, value)).map(swapped)
    }

    fn remove(&self, key: &str, expect: StoreIndex) -> Result<SwapOutcome, PlatformError> {
        let path = format!("{}?cas={expect}", key_path(key));
        self.decide(&HttpCall::delete(path)).map(swapped)
    }

    fn open_session(&self, ttl: Duration) -> Result<String, PlatformError> {
        let wanted = WireSessionWanted {
            ttl: duration_text::format(ttl),
            lock_delay: "0s",
            behavior: "release",
        };
        let body = serde_json::to_vec(&wanted).map_err(malformed)?;
        let answer = self.send(&HttpCall::write("/v1/session/create".into(), &body))?;
        parsed::<WireSession>(&answer).map(|session| session.id)
    }

    fn renew_session(&self, session: &str) -> Result<bool, PlatformError> {
        let path = format!("/v1/session/renew/{}", escaped(session));
        self.send(&HttpCall::write(path, &[]))
            .map(|answer| answer.found)
    }

    fn acquire(&self, key: &str, value: &[u8], session: &str) -> Result<bool, PlatformError> {
        let path = format!("{}?acquire={}", key_path(key), escaped(session));
        self.decide(&HttpCall::write(path, value))
    }

    fn release(&self, key: &str, session: &str) -> Result<bool, PlatformError> {
        let path = format!("{}?release={}", key_path(key), escaped(session));
        self.decide(&HttpCall::write(path, &[]))
    }

    fn vms(&self, domain: &DomainId) -> Result<Vec<Vm>, PlatformError> {
        let answer = self.send(&HttpCall::read(format!("/v1/vms?domain={domain}")))?;
        parsed(&answer)
    }
}

fn key_path(key: &str) -> String {
    format!("/v1/kv/{}", escaped(key))
}

fn swapped(written: bool) -> SwapOutcome {
    if written {
        SwapOutcome::Written
    } else {
        SwapOutcome::Conflict
    }
}

fn parsed<T: DeserializeOwned>(answer: &HttpAnswer) -> Result<T, PlatformError> {
    serde_json::from_slice(&answer.body).map_err(malformed)
}

fn malformed(reason: impl std::fmt::Display) -> PlatformError {
    PlatformError::Malformed(format!("{reason}"))
}
