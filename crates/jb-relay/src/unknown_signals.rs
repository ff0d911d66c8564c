//! Signals of upstreams that this version doesn't support.
//!
//! Such a header is forwarded to the caller like any other. It is logged once, so that operators notice that
//! upstreams send a signal without effect.

use std::cell::RefCell;
use std::collections::BTreeSet;

use jb_protocol::{emit, event};

use crate::core::Core;
use crate::http::Headers;
use crate::upstream::Instance;

/// Upper bound on the names that are remembered; further ones aren't logged.
const MAX_NAMES: usize = 32;

/// Names of the unsupported signals that were logged, in lower case.
#[derive(Debug, Default)]
pub struct UnknownSignals {
    names: RefCell<BTreeSet<String>>,
}

impl UnknownSignals {
    /// Remembers a name; returns whether it is new and there was room for it.
    fn insert(&self, name: String) -> bool {
        let mut names = self.names.borrow_mut();
        names.len() < MAX_NAMES && names.insert(name)
    }

    /// Returns the names that were logged, in lower case.
    pub fn names(&self) -> Vec<String> {
        self.names.borrow().iter().cloned().collect()
    }
}

/// Logs the signals in a response head that this version doesn't support.
pub fn note(core: &Core, instance: &Instance, headers: &Headers) {
    for header in &headers.0 {
        let Some(name) = unknown(core, &header.name) else {
            continue;
        };
        if core.unknown_signals.insert(name.clone()) {
            let value = String::from_utf8_lossy(&header.value);
            emit!(core.logger, warn, event::SIGNAL_UNKNOWN, "upstream" => %instance,
                "header" => &name, "value" => %value);
        }
    }
}

/// Returns the name of a header in lower case if it is a signal that this version doesn't support.
fn unknown(core: &Core, name: &[u8]) -> Option<String> {
    let prefix = core.header_names.signal_prefix;
    let is_signal = name
        .get(..prefix.len())
        .is_some_and(|start| start.eq_ignore_ascii_case(prefix.as_bytes()));
    let names = &core.header_names;
    let known = [names.draining, names.rate_limit, names.brittle];
    let is_known = known
        .iter()
        .any(|known| name.eq_ignore_ascii_case(known.as_bytes()));
    (is_signal && !is_known).then(|| String::from_utf8_lossy(name).to_ascii_lowercase())
}
