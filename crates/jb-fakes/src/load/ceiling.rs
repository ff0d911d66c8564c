//! The best hit rate that a trace allows: one cache with the capacity of all
//! engines together, and every request in the order in which it is sent.

use jb_protocol::token;

use super::trace::{Shot, What, prompt_text};
use crate::engine::{Cache, hashes};

/// Hit rate of one cache of `tokens` tokens.
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

/// A ratio that is 0 where nothing was counted.
pub fn ratio(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        0.0
    } else {
        part as f64 / whole as f64
    }
}
