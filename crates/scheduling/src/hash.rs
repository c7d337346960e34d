//! The hashes by which all schedulers agree without a word: the same on every machine and in every port.

/// Stable 64-bit finaliser (splitmix64).
pub(crate) fn mix(x: u64) -> u64 {
    let x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Place of a key on the ring: FNV-1a over its bytes, then mixed.
pub(crate) fn hash_key(key: &str) -> u64 {
    mix(key.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3)))
}
