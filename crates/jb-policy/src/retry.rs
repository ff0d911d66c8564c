//! Retry budget of a service, so that dying engines cause no retry storm.

/// Parts into which one retry is divided; a request earns `percent` of them.
const PARTS_PER_RETRY: u32 = 100;
/// Retries in reserve at the start, and kept at most.
const RESERVE: u32 = 20;

/// Budget of one service at one box.
#[derive(Clone, Debug)]
pub struct Budget {
    parts: u32,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            parts: RESERVE * PARTS_PER_RETRY,
        }
    }
}

impl Budget {
    /// Earns the share of a retry that a new request brings.
    pub fn earn(&mut self, percent: u32) {
        let most = RESERVE * PARTS_PER_RETRY;
        self.parts = self.parts.saturating_add(percent).min(most);
    }

    /// Takes one retry; `false` when the budget is spent.
    pub fn spend(&mut self) -> bool {
        let left = self.parts.checked_sub(PARTS_PER_RETRY);
        if let Some(left) = left {
            self.parts = left;
        }
        left.is_some()
    }
}
