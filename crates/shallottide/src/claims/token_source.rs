//! Numbers that no other start of any node hands out.

use sha2::{Digest, Sha256};
use shallottide_types::id::CallId;

use crate::kernel::Context;

/// Hands out tokens and ids of calls.
///
/// They begin at a hash of this start, so that late answers to an earlier one fit nothing.
#[derive(Debug, Default)]
pub(super) struct TokenSource {
    /// Hash of this start; set with the first token.
    start: Option<u64>,
    last: u64,
}

impl TokenSource {
    /// Returns the next token.
    pub(super) fn next(&mut self, cx: &Context) -> u64 {
        if self.start.is_none() {
            let start = start_number(cx);
            self.start = Some(start);
            self.last = start;
        }
        self.last = self.last.wrapping_add(1);
        self.last
    }

    /// Returns an id that no other request of any start has.
    pub(super) fn call_id(&self, token: u64) -> CallId {
        let start = self.start.unwrap_or_default();
        let id = format!("{start:016x}-{token:016x}");
        id.parse().expect("hex digits are a valid id")
    }
}

/// Hashes what no other start of any node shares. The time tells apart starts of one incarnation.
fn start_number(cx: &Context) -> u64 {
    let me = cx.me();
    let mut hasher = Sha256::new();
    hasher.update(me.node.as_str().as_bytes());
    hasher.update(me.incarnation.0.to_be_bytes());
    hasher.update(cx.unix_time().as_nanos().to_be_bytes());
    let hash: [u8; 32] = hasher.finalize().into();
    let (first, _) = hash.split_first_chunk().expect("SHA-256 has 32 bytes");
    u64::from_be_bytes(*first)
}
