//! What a request asks, by which its tries are known as the same request.

use sha2::{Digest as _, Sha256};

/// Bytes of the hash, enough to avoid collisions.
const CONTENT_BYTES: usize = 16;

/// What a request asks, whoever passes it on and under whatever id: its caller, its path and its body.
///
/// It is a hash, so that no body is stored. The caller is a part of it, so that nobody can bring
/// another caller's requests into suspicion.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(pub u128);

impl Fingerprint {
    /// The content of a request; `path` in pieces, such as host and target.
    pub fn new(caller: &str, path: &[&[u8]], body: &[u8]) -> Self {
        let mut hash = Sha256::new();
        for part in [caller.as_bytes()].iter().chain(path).chain(&[body]) {
            // With its length, so that no piece can pass for a part of the next one.
            hash.update(part.len().to_le_bytes());
            hash.update(part);
        }
        let mut truncated = [0; CONTENT_BYTES];
        truncated.copy_from_slice(&hash.finalize()[..CONTENT_BYTES]);
        Self(u128::from_le_bytes(truncated))
    }
}

impl std::fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}
