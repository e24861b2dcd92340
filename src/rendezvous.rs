//! Rendezvous hashing: all instances compute the same order without exchanging messages.

/// Returns a well-mixed hash of two byte strings.
pub fn weight(a: &[u8], b: &[u8]) -> u64 {
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    for byte in a.iter().chain(&[0xff]).chain(b) {
        hash = (hash ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3);
    }
    // The finalizer of SplitMix64; with FNV-1a alone, similar names share their high bits.
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}

/// Returns the rank of `own_id` among `all` for a key; 0 is the first.
pub fn rank(key: &str, own_id: &str, all: &[&str]) -> usize {
    let own_weight = weight(key.as_bytes(), own_id.as_bytes());
    let ranks_before = |other: &&&str| {
        let other_weight = weight(key.as_bytes(), other.as_bytes());
        other_weight > own_weight || (other_weight == own_weight && **other < own_id)
    };
    all.iter().filter(ranks_before).count()
}
