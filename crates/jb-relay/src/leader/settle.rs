//! Marks a store era as settled: everything lost in the restore that began it has been written again.

use bytes::Bytes;
use jb_protocol::{emit, event};

use super::term::{Leader, Term};
use crate::port::{StoreError, Write};
use crate::settled;

impl Leader {
    /// Writes the mark once the era has lasted long enough. A platform without eras has nothing to settle.
    pub(super) async fn settle(&self, term: Term) {
        let core = &self.core;
        let era = term.lease.era;
        if era == 0 || core.is_settled(era) || core.recent_restore().is_some() {
            return;
        }
        let write = Write {
            key: settled::key(era),
            value: Bytes::new(),
            expected: None,
            lease: None,
        };
        core.metrics.store_calls.inc();
        match core.store.write(era, &[write]).await {
            Ok(_) => emit!(core.logger, info, event::STORE_SETTLED, "era" => era),
            // Written before, by this box with the response lost or by the previous leader.
            Err(StoreError::Conflict) => {}
            Err(why) => emit!(core.logger, info, event::STORE_UNSETTLED, "era" => era, "why" => %why),
        }
    }
}
