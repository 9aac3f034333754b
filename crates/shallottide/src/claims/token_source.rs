//! Tokens and call ids that are unique over all nodes and incarnations.

use sha2::{Digest, Sha256};
use shallottide_types::id::CallId;

use crate::kernel::Context;

/// Generates request tokens and call ids.
///
/// Tokens count up from a hash of this start of the node, so that late answers to requests of an
/// earlier start match no token.
#[derive(Debug, Default)]
pub(super) struct TokenSource {
    /// Hash of this start of the node; set with the first token.
    start: Option<u64>,
    last: u64,
}

impl TokenSource {
    /// Returns the next token.
    pub(super) fn next(&mut self, cx: &Context) -> u64 {
        if self.start.is_none() {
            let start = start_hash(cx);
            self.start = Some(start);
            self.last = start;
        }
        self.last = self.last.wrapping_add(1);
        self.last
    }

    /// Returns a call id for a token, unique over all requests and starts.
    pub(super) fn call_id(&self, token: u64) -> CallId {
        let start = self.start.unwrap_or_default();
        let id = format!("{start:016x}-{token:016x}");
        id.parse().expect("hex digits are a valid id")
    }
}

/// Hashes node, incarnation and time. The time distinguishes several starts with the same
/// incarnation.
fn start_hash(cx: &Context) -> u64 {
    let me = cx.me();
    let mut hasher = Sha256::new();
    hasher.update(me.node.as_str().as_bytes());
    hasher.update(me.incarnation.0.to_be_bytes());
    hasher.update(cx.unix_time().as_nanos().to_be_bytes());
    let hash: [u8; 32] = hasher.finalize().into();
    let (first, _) = hash.split_first_chunk().expect("SHA-256 has 32 bytes");
    u64::from_be_bytes(*first)
}
