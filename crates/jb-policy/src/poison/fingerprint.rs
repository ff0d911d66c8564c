//! Fingerprints by which the features of requests are recognised.

use sha2::{Digest as _, Sha256};

/// Maximum number of shared segments of a prompt that are looked at: a conversation of as many turns. The evidence of each
/// crash is kept and sent for all of them.
pub const MAX_SHARED_SEGMENTS: usize = 128;
/// Length of the truncated hash in bytes, enough to avoid collisions.
const FINGERPRINT_BYTES: usize = 16;
/// Bit that tells fingerprints of segments from those of requests.
const SEGMENT_BIT: u128 = 1 << 127;
/// Bit of a segment whose id is no number of 64 bits, so that its fingerprint is a hash.
const HASHED_BIT: u128 = 1 << 126;

/// Hash of a feature of requests: of the caller, path and body of one request, or of a segment that prompts share. It
/// is independent of request ids and of the boxes that forward a request.
///
/// It holds no body. That of a request includes the caller, so that no caller can make another
/// one's requests suspect. That of a segment doesn't: if one caller's requests with it crash engines, others' would, too.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(pub u128);

impl Fingerprint {
    /// Computes the fingerprint of a request; `path` consists of parts, such as host and target.
    pub fn new(caller: &str, path: &[&[u8]], body: &[u8]) -> Self {
        let parts = [caller.as_bytes()].into_iter().chain(path.iter().copied());
        Self(hash(parts.chain([body])) & !SEGMENT_BIT)
    }

    /// Computes the fingerprint of a segment of prompts from its id, a hexadecimal number.
    pub fn of_segment(id: &str) -> Self {
        let hashed = || hash([id.as_bytes()]) | HASHED_BIT;
        let number = u64::from_str_radix(id, 16).map_or_else(|_| hashed(), u128::from);
        Self(number | SEGMENT_BIT)
    }

    /// Returns whether it is that of a segment.
    pub fn is_segment(self) -> bool {
        self.0 & SEGMENT_BIT != 0
    }
}

fn hash<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> u128 {
    let mut hash = Sha256::new();
    for part in parts {
        // The length prefix keeps other splits of the same bytes distinct.
        hash.update(part.len().to_le_bytes());
        hash.update(part);
    }
    let mut truncated = [0; FINGERPRINT_BYTES];
    truncated.copy_from_slice(&hash.finalize()[..FINGERPRINT_BYTES]);
    u128::from_le_bytes(truncated)
}

impl std::fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        if self.is_segment() {
            write!(f, "segment:{:x}", self.0 & !SEGMENT_BIT)
        } else {
            write!(f, "{:032x}", self.0)
        }
    }
}
