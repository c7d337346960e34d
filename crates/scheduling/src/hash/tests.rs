use super::*;

/// Schedulers of different versions may run in one tier and must choose the same worker for a key, so the
/// hash values must never change.
#[test]
fn hashes_have_the_published_values() {
    assert_eq!(mix(0), 0xe220_a839_7b1d_cdaf, "the first output of splitmix64 with seed 0");
    assert_eq!(hash_key(""), mix(FNV_OFFSET_BASIS));
    assert_eq!(hash_key("a"), mix(0xaf63_dc4c_8601_ec8c), "FNV-1a of \"a\"");
    assert_eq!(hash_key("foobar"), mix(0x8594_4171_f739_67e8), "FNV-1a of \"foobar\"");
}
