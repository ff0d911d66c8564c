//! Fingerprint by which repeated attempts are recognised as the same request.

use sha2::{Digest as _, Sha256};

/// Length of the truncated hash in bytes, enough to avoid collisions.
const FINGERPRINT_BYTES: usize = 16;

/// Hash of a request's caller, path and body, which is independent of its id and of the boxes that forward
/// it.
///
/// It is a hash, so that no body is stored. It includes the caller, so that no caller can make another one's
/// requests suspect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(pub u128);

impl Fingerprint {
    /// Computes the fingerprint of a request; `path` consists of parts, such as host and target.
    pub fn new(caller: &str, path: &[&[u8]], body: &[u8]) -> Self {
        let mut hash = Sha256::new();
        for part in [caller.as_bytes()].iter().chain(path).chain(&[body]) {
            // The length prefix keeps other splits of the same bytes distinct.
            hash.update(part.len().to_le_bytes());
            hash.update(part);
        }
        let mut truncated = [0; FINGERPRINT_BYTES];
        truncated.copy_from_slice(&hash.finalize()[..FINGERPRINT_BYTES]);
        Self(u128::from_le_bytes(truncated))
    }
}

impl std::fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}
