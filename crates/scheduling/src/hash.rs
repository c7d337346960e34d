//! Hash functions that give the same results on every machine and in every version. Because their hashes are
//! equal, all schedulers choose the same worker for a key without exchanging messages.

/// Offset basis of the 64-bit FNV-1a hash function.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of the 64-bit FNV-1a hash function.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Mixes the bits of a value as one step of the splitmix64 generator does.
pub(crate) fn mix(x: u64) -> u64 {
    let x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Returns a key's position on the ring: FNV-1a over the key's bytes, passed through [`mix`].
pub(crate) fn hash_key(key: &str) -> u64 {
    let fold_byte = |hash: u64, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    mix(key.bytes().fold(FNV_OFFSET_BASIS, fold_byte))
}

#[cfg(test)]
mod tests;
