//! Deterministic hashing of names and numbers.

/// Hashes a name to the same value on every instance.
pub(crate) fn hash_bytes(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |h, b| mix_bits(h ^ u64::from(*b)))
}

/// Hashes a number with the finalizer of splitmix64.
pub(crate) const fn mix_bits(number: u64) -> u64 {
    let number = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}
