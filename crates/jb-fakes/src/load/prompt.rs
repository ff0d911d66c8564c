//! Seeded prompt texts of a given length; the same name gives the same text.

use jb_protocol::token::BYTES_PER_TOKEN;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

const LETTERS: &[u8] = b"abcdefghijklmnopqrstuvwxyz ";

/// Generator of prompt texts from one seed.
#[derive(Clone, Copy, Debug)]
pub struct Library {
    seed: u64,
}

impl Library {
    /// Creates a generator from a seed.
    pub fn new(seed: u64) -> Self {
        Self { seed }
    }

    /// Returns the text for a name, `tokens` tokens long.
    pub fn text(&self, name: &str, tokens: u32) -> String {
        let mut rng = ChaCha8Rng::seed_from_u64(xxh3_64_with_seed(name.as_bytes(), self.seed));
        let bytes = tokens as usize * BYTES_PER_TOKEN;
        (0..bytes)
            .map(|_| char::from(LETTERS[rng.random_range(0..LETTERS.len())]))
            .collect()
    }
}
