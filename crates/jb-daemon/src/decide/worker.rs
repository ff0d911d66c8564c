//! The decision thread, the only owner of the placement and limit state.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::thread;

use jb_clock::Clock;
use jb_policy::customer_limit::{Exceeded, Limits};
use jb_policy::hall::Summary;
use jb_policy::health::Change;
use jb_policy::rendezvous;
use jb_policy::route::{Choice, Permit, Pool, Rejection};
use jb_policy::signal::Signals;
use jb_protocol::error::Kind;
use jb_protocol::{event, id};
use jb_tree::view::View;
use slog::Logger;
use tokio::sync::mpsc;

use super::message::{Admission, Ending, Explanation, Message, Outcome, Selection, ServiceSummary, Started};
use super::ring::Ring;
use crate::emit;

struct Worker {
    hall: id::Hall,
    clock: Clock,
    logger: Logger,
    view: Arc<View>,
    pools: BTreeMap<id::Service, Pool>,
    limits: Limits,
    boxes: u32,
    /// Phase of this box's token buckets, from 0 to 1.
    phase: f64,
    draining: Vec<id::Upstream>,
}

/// Starts the decision thread of box `id` and returns the queue in front of it.
///
/// # Errors
/// When the thread cannot be spawned.
pub fn start(id: &str, hall: &str, capacity: usize, clock: Clock, logger: Logger) -> std::io::Result<Ring> {
    let (sender, receiver) = mpsc::channel(capacity);
    let worker = Worker {
        hall: hall.to_owned(),
        clock,
        logger,
        view: Arc::default(),
        pools: BTreeMap::new(),
        limits: Limits::default(),
        boxes: 1,
        phase: rendezvous::fraction(rendezvous::name_hash(id)),
        draining: Vec::new(),
    };
    thread::Builder::new()
        .name("decide".to_owned())
        .spawn(move || worker.run(receiver))?;
    Ok(Ring::new(sender))
}

impl Worker {
    fn run(mut self, mut receiver: mpsc::Receiver<Message>) {
        while let Some(message) = receiver.blocking_recv() {
            self.handle(message);
        }
    }

    // A failed reply means that the requester has gone away, so it is ignored.
    fn handle(&mut self, message: Message) {
        match message {
            Message::Admit(admission) => self.admit(admission),
            Message::Choose(selection) => self.choose(selection),
            Message::Explain(explanation) => self.explain(explanation),
            Message::Started(started) => self.started(&started),
            Message::Ended(ending) => self.ended(&ending),
            Message::Configure(view) => self.configure(view),
            Message::Report {
                service,
                upstream,
                report,
            } => self.reported(&service, &upstream, &report),
            Message::Signals {
                service,
                upstream,
                signals,
                permit,
            } => self.apply_signals(&service, &upstream, signals, permit),
            Message::Draining(upstreams) => self.set_draining(upstreams),
            Message::Boxes(boxes) => self.set_boxes(boxes),
            Message::Summarize(reply) => {
                let _ = reply.send(self.summarize());
            }
        }
    }

    fn admit(&mut self, admission: Admission) {
        let now = self.clock.now();
        let result = match self.view.customers.get(&admission.customer) {
            Some(customer) => self.limits.admit(customer, self.boxes, admission.tokens, now),
            None => Err(Exceeded {
                kind: Kind::Unauthenticated,
                retry_after: std::time::Duration::ZERO,
            }),
        };
        let admitted = result.is_ok();
        if admission.reply.send(result).is_err() && admitted {
            self.limits.refund(&admission.customer, admission.tokens);
            self.limits.release(&admission.customer);
        }
    }

    fn choose(&mut self, selection: Selection) {
        let now = self.clock.now();
        let result = match self.pools.get_mut(&selection.service) {
            Some(pool) => choose_from(pool, &selection, now),
            None => Err(Rejection {
                kind: Kind::NoUpstream,
                retry_after: std::time::Duration::from_secs(2),
            }),
        };
        if let Err(Ok(choice)) = selection.reply.send(result)
            && let Some(pool) = self.pools.get_mut(&selection.service)
        {
            pool.record_abandonment(&choice.upstream);
        }
    }

    fn explain(&mut self, explanation: Explanation) {
        let pool = self.pools.get(&explanation.service);
        let weighing = pool.map(|p| p.explain(&explanation.query, self.clock.now()));
        let _ = explanation.reply.send(weighing.unwrap_or_default());
    }

    fn started(&mut self, started: &Started) {
        let now = self.clock.now();
        let Some(pool) = self.pools.get_mut(&started.service) else {
            return;
        };
        if pool.record_start(&started.upstream, &started.query.chain, &started.start, now) {
            self.log_incarnation(&started.upstream);
        }
    }

    fn ended(&mut self, ending: &Ending) {
        match ending {
            Ending::Request { customer, refund } => {
                self.limits.refund(customer, *refund);
                self.limits.release(customer);
            }
            Ending::Attempt {
                service,
                upstream,
                outcome,
            } => self.attempt_ended(service, upstream, *outcome),
        }
    }

    fn attempt_ended(&mut self, service: &str, upstream: &str, outcome: Outcome) {
        let now = self.clock.now();
        let Some(pool) = self.pools.get_mut(service) else {
            return;
        };
        let change = match outcome {
            Outcome::Succeeded => pool.record_success(upstream),
            Outcome::Failed => pool.record_failure(upstream, now),
            Outcome::Abandoned => {
                pool.record_abandonment(upstream);
                Change::None
            }
            Outcome::Denied => {
                pool.record_denial(upstream, now);
                Change::None
            }
        };
        match change {
            Change::Ejected => emit!(self.logger, warn, event::UPSTREAM_EJECTED, "upstream" => upstream),
            Change::Returned => emit!(self.logger, info, event::UPSTREAM_RETURNED, "upstream" => upstream),
            Change::None => {}
        }
    }

    fn configure(&mut self, view: Arc<View>) {
        self.pools.retain(|name, _| view.services.contains_key(name));
        for (name, service) in &view.services {
            self.pools
                .entry(name.clone())
                .and_modify(|pool| pool.configure(service, &self.hall))
                .or_insert_with(|| Pool::new(service, &self.hall));
        }
        self.view = view;
        self.set_boxes(self.boxes);
        let draining = std::mem::take(&mut self.draining);
        self.set_draining(draining);
    }

    fn reported(&mut self, service: &str, upstream: &str, report: &jb_protocol::engine::Report) {
        let now = self.clock.now();
        let Some(pool) = self.pools.get_mut(service) else {
            return;
        };
        let was_draining = pool.upstream_mut(upstream).is_some_and(|u| u.drain.by_report);
        let new = pool.record_report(upstream, report, now);
        if report.leaving && !was_draining {
            emit!(self.logger, info, event::UPSTREAM_DRAINING, "upstream" => upstream, "by" => "itself");
        }
        if new {
            self.log_incarnation(upstream);
        }
    }

    fn apply_signals(&mut self, service: &str, upstream: &str, signals: Signals, permit: Permit) {
        let now = self.clock.now();
        let pool = self.pools.get_mut(service);
        let Some(applied) =
            pool.and_then(|pool| pool.apply_signals(upstream, signals, permit.issued_at, now))
        else {
            return;
        };
        if applied.started_draining {
            emit!(self.logger, info, event::UPSTREAM_DRAINING, "upstream" => upstream, "by" => "answer");
        }
        if let Some(until) = applied.backoff_until {
            emit!(self.logger, info, event::UPSTREAM_BACKOFF, "upstream" => upstream,
                "ms" => until.saturating_sub(now).as_millis() as u64);
        }
        if let Some(rate) = applied.limit {
            emit!(self.logger, info, event::UPSTREAM_LIMITED, "upstream" => upstream,
                "source" => "response", "per_second" => rate);
        }
    }

    fn set_boxes(&mut self, boxes: u32) {
        self.boxes = boxes;
        self.pools
            .values_mut()
            .for_each(|pool| pool.set_boxes(boxes, self.phase));
    }

    fn log_incarnation(&self, upstream: &str) {
        emit!(self.logger, info, event::UPSTREAM_INCARNATION, "upstream" => upstream);
    }

    fn set_draining(&mut self, draining: Vec<id::Upstream>) {
        for upstream in &draining {
            if !self.draining.contains(upstream) {
                emit!(self.logger, info, event::UPSTREAM_DRAINING,
                    "upstream" => upstream, "by" => "box list");
            }
        }
        for pool in self.pools.values_mut() {
            let ids: Vec<id::Upstream> = pool.upstreams().iter().map(|u| u.id.clone()).collect();
            for id in ids {
                if let Some(upstream) = pool.upstream_mut(&id) {
                    upstream.drain.by_list = draining.contains(&id);
                }
            }
        }
        self.draining = draining;
    }

    fn summarize(&self) -> Vec<ServiceSummary> {
        let now = self.clock.now();
        let summary = |(service, pool): (&id::Service, &Pool)| {
            let usable = pool.upstreams().iter().filter(|u| u.is_available(now)).count();
            let draining = pool.upstreams().iter().filter(|u| u.drain.is_draining());
            ServiceSummary {
                service: service.clone(),
                summary: Summary {
                    hall: self.hall.clone(),
                    // The local hall counts as usable even when all its upstreams are ejected for failures.
                    usable: pool.upstreams().iter().any(|u| u.accepts_requests(now)),
                    wait_ms: u32::try_from(pool.min_wait(now).as_millis()).unwrap_or(u32::MAX),
                },
                usable: u32::try_from(usable).unwrap_or(u32::MAX),
                draining: draining.map(|u| u.id.clone()).collect(),
            }
        };
        self.pools.iter().map(summary).collect()
    }
}

fn choose_from(pool: &mut Pool, selection: &Selection, now: jb_policy::Moment) -> Result<Choice, Rejection> {
    if selection.retry && !pool.try_spend_retry(now) {
        return Err(Rejection {
            kind: Kind::UpstreamRefused,
            retry_after: std::time::Duration::from_secs(1),
        });
    }
    if !selection.retry {
        pool.record_request(now);
    }
    pool.choose(&selection.query, now)
}
