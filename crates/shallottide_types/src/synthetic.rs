//! Deterministic responses that a client can verify without running the model.
//!
//! Stand-in engines produce them; the load tool and the tests verify them.

use compact_str::{CompactString, format_compact};

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Returns the token at position `i` of the response to a prompt.
///
/// Each token begins with a space, so that concatenated tokens are separate words.
#[must_use]
pub fn expected_token(prompt: &str, i: u64) -> CompactString {
    let bytes = prompt.bytes().chain(i.to_le_bytes());
    let hash = bytes.fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    });
    format_compact!(" {:08x}", (hash >> 16) & 0xffff_ffff)
}

/// Returns the complete response of `tokens` tokens to a prompt.
#[must_use]
pub fn expected_text(prompt: &str, tokens: u64) -> String {
    (0..tokens).map(|i| expected_token(prompt, i)).collect()
}
