//! Retries that this box may spend.

use jb_policy::Moment;
use jb_policy::retry_budget::{Config, FixedPart};
use jb_protocol::{emit, event};

use crate::core::Core;

impl Core {
    /// Adds a new request to the retry budget of its service.
    pub fn count_request(&self, service: &str) {
        let mut budgets = self.retry_budgets.borrow_mut();
        let budget = budgets.entry(service.to_owned()).or_default();
        budget.record_request(self.now(), &self.retry_config());
    }

    /// Takes one retry from a service's budget; returns whether it is granted.
    pub fn take_retry(&self, service: &str) -> bool {
        let config = self.retry_config();
        let fixed = FixedPart {
            boxes: self.directory.borrow().boxes(),
            restarted_at: self.is_restarted().then_some(Moment::ZERO),
        };
        let now = self.now();
        let mut budgets = self.retry_budgets.borrow_mut();
        let budget = budgets.entry(service.to_owned()).or_default();
        if budget.try_spend(now, &config, fixed) {
            self.metrics.retries.inc();
            return true;
        }
        self.metrics.retries_denied.inc();
        if let Some(balance) = budget.report_denial(now, &config, fixed) {
            emit!(self.logger, info, event::RETRY_BUDGET_EXHAUSTED, "service" => service,
                "earned" => balance.earned, "fixed" => balance.fixed, "spent" => balance.spent,
                "boxes" => fixed.boxes, "restarted" => fixed.restarted_at.is_some(),
                "up_ms" => now.as_millis());
        }
        false
    }

    fn retry_config(&self) -> Config {
        let bounds = &self.settings.bounds;
        Config {
            ratio: bounds.retry_ratio,
            extra: bounds.retry_burst,
            window: bounds.retry_window,
        }
    }
}
