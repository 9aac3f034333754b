//! Rendezvous hashing: all nodes that know the same candidates compute the same order for a key.

/// Multiplier of the FNV-1a hash.
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;
/// Offset basis of the FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;

/// Hashes text; the result is the same on every node.
#[must_use]
pub fn hash(text: &str) -> u64 {
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    mix(text.bytes().fold(FNV_OFFSET, step))
}

/// Returns the weight of a candidate for a key.
#[must_use]
pub fn weight(key: u64, candidate: &str) -> u64 {
    mix(key ^ hash(candidate))
}

/// Sorts candidates by descending weight for a key.
pub fn sort<T>(key: u64, candidates: &mut [T], name: impl Fn(&T) -> &str) {
    candidates.sort_by_key(|candidate| std::cmp::Reverse(weight(key, name(candidate))));
}

/// Mixes the bits of a number with the finalizer of the `SplitMix64` generator.
fn mix(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}
