//! Rendezvous hashing: every box computes the same order of members without coordination or state.

use xxhash_rust::xxh3::xxh3_64;

/// Returns the hash of a name, computed once per member.
pub fn name_hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// Returns the lower half of a name's hash, which names the member in messages between boxes.
pub fn short_hash(hash: u64) -> u32 {
    hash as u32
}

/// Returns the weight of a member for a key. The member of the greatest weight owns the key.
///
/// The mixing steps are the finalizer of MurmurHash3 (Appleby, 2008).
pub fn weight(key: u64, member: u64) -> u64 {
    let mut x = key ^ member.rotate_left(32);
    x ^= x >> 33;
    x = x.wrapping_mul(0xff51_afd7_ed55_8ccd);
    x ^= x >> 33;
    x = x.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    x ^ (x >> 33)
}

/// Returns the indexes of the `count` members of the greatest weight, in descending order of weight.
pub fn top(key: u64, members: impl Iterator<Item = (usize, u64)>, count: usize) -> Vec<usize> {
    let mut best: Vec<(u64, usize)> = Vec::with_capacity(count + 1);
    for (index, member) in members {
        let weight = weight(key, member);
        if best.len() == count && best.last().is_some_and(|(least, _)| weight <= *least) {
            continue;
        }
        let at = best.partition_point(|(other, _)| *other > weight);
        best.insert(at, (weight, index));
        best.truncate(count);
    }
    best.into_iter().map(|(_, index)| index).collect()
}

/// Maps a hash linearly to 0 to 1.
pub fn fraction(hash: u64) -> f64 {
    hash as f64 / u64::MAX as f64
}
