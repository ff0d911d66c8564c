//! What the delivery of a response changes beside the caller's connection.

use std::future::Future;

use jb_protocol::{emit, event, id};

use super::attempt::Attempt;
use super::handover::{Handover, Source};
use super::isolation::BeginWatch;
use super::selection::{self, Placement};
use super::version;
use crate::deliver;
use crate::peers;

/// Progress of one upstream's response.
pub(super) struct Progress<'a, 't> {
    attempt: &'t mut Attempt<'a>,
    source: Source<'a, 't>,
    /// Software version that has to go on with the stream.
    software: Option<&'t str>,
    begin: BeginWatch<'a>,
    /// Whether the response may be left for another upstream that has not accepted the request yet.
    pub(super) retry_granted: bool,
    pub(super) handover: Handover<'a>,
}

impl<'a, 't> Progress<'a, 't> {
    pub(super) fn new(
        source: Source<'a, 't>,
        attempt: &'t mut Attempt<'a>,
        software: Option<&'t str>,
    ) -> Self {
        Self {
            attempt,
            begin: BeginWatch {
                core: source.core,
                head: source.head,
                is_over: false,
            },
            source,
            software,
            retry_granted: false,
            handover: Handover::default(),
        }
    }
}

impl deliver::Progress for Progress<'_, '_> {
    fn received(&mut self) {
        let core = self.source.core;
        let service = &self.source.request.service;
        core.uplinks.note_data(service, core.now());
        let Attempt {
            instance, counted, ..
        } = &mut *self.attempt;
        counted.note_first_token(service);
        self.begin.note_data(instance, counted.running_time());
    }

    fn begins(&mut self) -> Option<id::SoftwareVersion> {
        let request = self.source.request;
        let software = self.attempt.software.clone()?;
        if request.route.resumable {
            let name = version::origin_name(request);
            peers::begin_stream(self.source.core, &request.service, &name, &software);
        }
        Some(software)
    }

    fn may_leave(&mut self, software: Option<&str>) -> bool {
        let Source {
            core,
            request,
            body,
            tried,
            runs,
            ..
        } = self.source;
        let placement = Placement {
            request,
            body,
            tried,
            software: software.or(self.software),
        };
        let may_retry = request.route.is_retryable() && runs < request.route.max_attempts;
        self.retry_granted = may_retry && selection::can_retry_elsewhere(core, placement);
        self.retry_granted
    }

    fn reaches_upstreams(&self) -> bool {
        !self.source.core.uplinks.is_down(&self.source.request.service)
    }

    fn seek(&mut self, last_event: Option<u64>, software: Option<&str>) {
        let software = software.or(self.software);
        let Some(mut exchange) = self.handover.take_exchange(&self.source) else {
            return;
        };
        exchange.message.last_event = last_event;
        exchange.message.software = software.map(str::to_owned);
        let Attempt {
            instance, is_blamed, ..
        } = &mut *self.attempt;
        // Before the search, so that engines whose streams have all stalled aren't selected for each other's.
        if !std::mem::replace(is_blamed, true) {
            exchange.record_failure(instance, "waits", deliver::STALLED);
        }
        emit!(self.source.core.logger, info, event::HANDOVER_SOUGHT,
            "request" => &self.source.request.id, "upstream" => %instance, "after" => last_event);
        self.handover.seek(exchange);
    }

    fn is_seeking(&self) -> bool {
        self.handover.is_seeking()
    }

    fn wait_taken_over(&mut self) -> impl Future<Output = bool> {
        self.handover.wait_taken_over()
    }
}
