//! Digests of bearer keys; the tree stores no keys in plain text.

use sha2::{Digest as _, Sha256};
use subtle::ConstantTimeEq as _;

/// Prefix of a key's digest in the tree.
pub const SCHEME: &str = "sha256:";

/// SHA-256 digest of a bearer key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Digest([u8; 32]);

impl Digest {
    /// Computes the digest of a key as sent by a caller.
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }

    /// Parses the form stored in the tree: `sha256:` followed by 64 hex digits.
    pub fn parse(text: &str) -> Option<Self> {
        let digits = text.strip_prefix(SCHEME)?;
        let bytes = hex::decode(digits).ok()?;
        Some(Self(bytes.try_into().ok()?))
    }

    /// Compares two digests in constant time.
    pub fn matches(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl std::fmt::Display for Digest {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{SCHEME}{}", hex::encode(self.0))
    }
}
