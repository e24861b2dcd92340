//! Rendezvous hashing: all instances agree on an order without talking.

/// Returns a well-mixed hash of two texts.
pub fn weight(a: &[u8], b: &[u8]) -> u64 {
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    for byte in a.iter().chain(&[0xff]).chain(b) {
        hash = (hash ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3);
    }
    // The finalizer of SplitMix64; FNV alone leaves the high bits alike for similar names.
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}

/// Returns the place of `me` among `all` for a key, 0 for the first.
pub fn rank(key: &str, me: &str, all: &[&str]) -> usize {
    let own = weight(key.as_bytes(), me.as_bytes());
    let before = |other: &&&str| {
        let theirs = weight(key.as_bytes(), other.as_bytes());
        theirs > own || (theirs == own && **other < me)
    };
    all.iter().filter(before).count()
}
