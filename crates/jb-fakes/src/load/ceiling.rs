//! Upper bound of the hit rate for a trace: a single cache with the combined
//! capacity of all engines that processes the requests in the order of sending.

use jb_protocol::token;

use super::trace::{Shot, What, prompt_text};
use crate::engine::{Cache, hashes};

/// Returns the hit rate of a single cache with a capacity of `tokens` tokens.
pub fn hit_rate(shots: &[&Shot], tokens: u32) -> f64 {
    let mut cache = Cache::new(tokens);
    let mut prompt_tokens = 0_u64;
    let mut cached_tokens = 0_u64;
    for shot in shots {
        let What::Chat { levels, .. } = &shot.what else {
            continue;
        };
        let prompt = prompt_text(levels);
        let hashes = hashes(&shot.customer.to_string(), &prompt);
        prompt_tokens += u64::from(token::count(prompt.len()));
        cached_tokens += u64::from(cache.find(&hashes, 0).tokens);
        cache.put(&hashes, 0);
    }
    ratio(cached_tokens, prompt_tokens)
}

/// Returns `part / whole`, or 0 when `whole` is 0.
pub fn ratio(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        0.0
    } else {
        part as f64 / whole as f64
    }
}
