//! Texts of prompts: seeded, of a given length, and the same for one name.

use jb_protocol::token::BYTES_PER_TOKEN;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

const LETTERS: &[u8] = b"abcdefghijklmnopqrstuvwxyz ";

/// Makes texts from one seed.
#[derive(Clone, Copy, Debug)]
pub struct Library {
    seed: u64,
}

impl Library {
    /// The texts of a seed.
    pub fn new(seed: u64) -> Self {
        Self { seed }
    }

    /// The text of a name, `tokens` tokens long.
    pub fn text(&self, name: &str, tokens: u32) -> String {
        let mut rng = ChaCha8Rng::seed_from_u64(xxh3_64_with_seed(name.as_bytes(), self.seed));
        let bytes = tokens as usize * BYTES_PER_TOKEN;
        (0..bytes)
            .map(|_| char::from(LETTERS[rng.random_range(0..LETTERS.len())]))
            .collect()
    }
}
