//! Checks of the `expect` steps.

use std::collections::BTreeMap;

use jb_fakes::control::PlainCounts;
use jb_fakes::fleet::layout::PLAIN;
use jb_fakes::fleet::wait_until;
use jb_fakes::load::{self, Seen};
use jb_protocol::engine::{PATH_REPORT, Report};
use jb_protocol::error::Outcome;
use miette::{ensure, miette};
use serde_json::Value;

use crate::run::{CONDITION_TIMEOUT, Run};
use crate::send::requests;
use crate::step::{Expectation, Sending, Shape};

impl Run {
    /// Checks an expectation; conditions that take time are polled until the
    /// timeout.
    pub(crate) async fn expect(&mut self, expectation: &Expectation) -> miette::Result<()> {
        match expectation {
            Expectation::Complete(group) => {
                self.check_each(group, "a complete answer", |s| matches!(s, Seen::Complete { .. }))
                    .await
            }
            Expectation::Refused { group, kind, outcome } => self.expect_refused(group, kind, outcome).await,
            Expectation::Answered(group) => {
                self.check_each(group, "a complete answer or a refusal", |s| {
                    !matches!(s, Seen::Lost(_))
                })
                .await
            }
            Expectation::Uncached(group) => {
                let cached = self.cached_tokens(group).await?;
                ensure!(
                    cached == 0,
                    "engines found {cached} prompt tokens cached, expected none"
                );
                Ok(())
            }
            Expectation::Cached(group) => {
                let cached = self.cached_tokens(group).await?;
                ensure!(
                    cached > 0,
                    "engines found no prompt token cached, expected at least one"
                );
                Ok(())
            }
            Expectation::Truth(group) => self.expect_truth(group).await,
            Expectation::Unchanged(name) => {
                let (now, before) = (self.calls(name).await?, self.notes.get(name).copied());
                ensure!(
                    Some(now) == before,
                    "engine `{name}` has received {now} calls, expected the noted {before:?}"
                );
                Ok(())
            }
            Expectation::Revision { name, least } => self.expect_revision(name, *least).await,
            Expectation::Setting {
                name,
                path,
                key,
                value,
            } => self.expect_setting(name, path, key, value).await,
            Expectation::Log { name, event } => self.expect_log(name, event).await,
            Expectation::Weights { name, weights } => self.expect_weights(name, weights).await,
            Expectation::Serving { name, customer } => self.expect_serving(name, customer).await,
            Expectation::Ready(name) => self.expect_ready(name).await,
            Expectation::Ended(name) => self.expect_ended(name).await,
            Expectation::Edited(status) => {
                ensure!(
                    self.edited == *status,
                    "the last edit was answered with status {}, expected {status}",
                    self.edited
                );
                Ok(())
            }
        }
    }

    async fn check_each(
        &mut self,
        group: &str,
        what: &str,
        holds: impl Fn(&Seen) -> bool,
    ) -> miette::Result<()> {
        for (n, seen) in self.group(group)?.finish().await.iter().enumerate() {
            ensure!(holds(seen), "request {n} got {seen:?}, expected {what}");
        }
        Ok(())
    }

    async fn expect_refused(&mut self, group: &str, kind: &str, outcome: &str) -> miette::Result<()> {
        let what = format!("a refusal `{kind}` that says `{outcome}`");
        let name = |outcome: Outcome| match outcome {
            Outcome::NotRun => "not_run",
            Outcome::MayHaveRun => "may_have_run",
            Outcome::RanPartly => "ran_partly",
        };
        let is = |seen: &Seen| match seen {
            Seen::Refused {
                kind: got,
                outcome: ran,
            } => got.code() == kind && name(*ran) == outcome,
            _ => false,
        };
        self.check_each(group, &what, is).await
    }

    async fn cached_tokens(&mut self, group: &str) -> miette::Result<u64> {
        let mut sum = 0;
        for (n, seen) in self.group(group)?.finish().await.iter().enumerate() {
            let Seen::Complete { cached_tokens, .. } = seen else {
                return Err(miette!(
                    "request {n} got {seen:?}, which doesn't show what was cached"
                ));
            };
            sum += cached_tokens;
        }
        Ok(sum)
    }

    /// Returns how often the plain services ran each request body. The counts of a
    /// killed service are lost and are left out.
    async fn runs(&mut self) -> miette::Result<BTreeMap<String, u32>> {
        let mut all = BTreeMap::new();
        for (name, at) in self.rig.upstreams_of(PLAIN) {
            if self.rig.process_mut(&name)?.has_ended() {
                continue;
            }
            let counts: PlainCounts = self.rig.client.counts(at).await?;
            for (body, runs) in counts.runs {
                *all.entry(body).or_insert(0) += runs;
            }
        }
        Ok(all)
    }

    async fn expect_truth(&mut self, group: &str) -> miette::Result<()> {
        self.group(group)?.finish().await;
        let runs = self.runs().await?;
        let group = self.group(group)?;
        for (request, seen) in group.requests.iter().zip(&group.seen) {
            let ran = runs.get(&request.body).copied().unwrap_or(0);
            ensure!(ran <= 1, "`{}` ran {ran} times", request.body);
            let told = match seen {
                Seen::Complete { .. } => ran == 1,
                Seen::Refused {
                    outcome: Outcome::NotRun,
                    ..
                } => ran == 0,
                Seen::Refused { .. } => true,
                Seen::Lost(_) => false,
            };
            ensure!(
                told,
                "`{}` ran {ran} times, but its caller got {seen:?}",
                request.body
            );
        }
        Ok(())
    }

    async fn expect_revision(&self, name: &str, least: u64) -> miette::Result<()> {
        let ports = self.rig.box_ports(name)?;
        wait_until(
            &format!("`{name}` has revision {least}"),
            CONDITION_TIMEOUT,
            || async { self.rig.revision(ports).await.is_some_and(|r| r >= least) },
        )
        .await
    }

    async fn expect_setting(&self, name: &str, path: &str, key: &str, value: &Value) -> miette::Result<()> {
        let operators = self.rig.box_ports(name)?.operators;
        wait_until(
            &format!("`{key}` at `{path}` is {value} at `{name}`"),
            CONDITION_TIMEOUT,
            || async {
                let shown: miette::Result<Value> = self.rig.client.get(operators, "/admin/tree").await;
                shown.is_ok_and(|shown| shown["tree"][path][key] == *value)
            },
        )
        .await
    }

    async fn expect_log(&self, name: &str, event: &str) -> miette::Result<()> {
        let process = self.rig.process(name)?;
        let quoted = format!("\"{event}\"");
        wait_until(&format!("`{name}` logs `{event}`"), CONDITION_TIMEOUT, || async {
            !process.lines_with(&quoted).is_empty()
        })
        .await
    }

    async fn expect_weights(&self, name: &str, weights: &str) -> miette::Result<()> {
        let at = self.rig.upstream(name)?;
        wait_until(
            &format!("`{name}` reports the weights {weights}"),
            CONDITION_TIMEOUT,
            || async {
                let report: miette::Result<Report> = self.rig.client.get(at, PATH_REPORT).await;
                report.is_ok_and(|report| report.weights == weights)
            },
        )
        .await
    }

    async fn expect_serving(&self, name: &str, customer: &str) -> miette::Result<()> {
        let at = self.rig.box_ports(name)?.callers;
        let sending = Sending {
            group: "probe".to_owned(),
            count: 1,
            shape: Shape::Whole,
            customer: customer.to_owned(),
            to: name.to_owned(),
        };
        let requests = requests(&sending);
        wait_until(
            &format!("`{name}` serves `{customer}`"),
            CONDITION_TIMEOUT,
            || async {
                matches!(
                    load::send(&self.http, at, &requests[0]).await,
                    Seen::Complete { .. }
                )
            },
        )
        .await
    }

    async fn expect_ready(&self, name: &str) -> miette::Result<()> {
        let callers = self.rig.box_ports(name)?.callers;
        wait_until(&format!("`{name}` is ready"), CONDITION_TIMEOUT, || async {
            let text = self.rig.client.text(callers, "/readyz").await;
            text.is_ok_and(|text| text == "ready\n")
        })
        .await
    }

    async fn expect_ended(&mut self, name: &str) -> miette::Result<()> {
        let until = std::time::Instant::now() + CONDITION_TIMEOUT;
        while !self.rig.process_mut(name)?.has_ended() {
            if std::time::Instant::now() > until {
                return Err(miette!("process `{name}` still runs after {CONDITION_TIMEOUT:?}"));
            }
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        }
        Ok(())
    }
}
