//! Retries that this box may spend.

use jb_policy::retry_budget::Config;
use jb_protocol::{emit, event};

use crate::core::Core;

impl Core {
    /// Adds a new request to the retry budget of its service.
    pub fn count_request(&self, service: &str) {
        let now = self.now();
        let config = self.retry_config();
        let boxes = self.directory.borrow().boxes();
        self.fixed_retries.borrow_mut().observe(boxes, now, config.window);
        let mut budgets = self.retry_budgets.borrow_mut();
        let budget = budgets.entry(service.to_owned()).or_default();
        budget.record_request(now, &config);
    }

    /// Takes one retry from a service's budget; returns whether it is granted.
    pub fn take_retry(&self, service: &str) -> bool {
        let now = self.now();
        let config = self.retry_config();
        let part = self.fixed_retries.borrow();
        let fixed = part.retries(self.settings.bounds.retry_burst, now, config.window);
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
                "boxes" => part.boxes(), "up_ms" => now.as_millis());
        }
        false
    }

    fn retry_config(&self) -> Config {
        let bounds = &self.settings.bounds;
        Config {
            ratio: bounds.retry_ratio,
            window: bounds.retry_window,
        }
    }
}
