//! Runs the steps of a scenario against real processes.

use std::collections::BTreeMap;
use std::time::Duration;

use jb_fakes::control::{EngineCounts, RelayFault};
use jb_fakes::fleet::layout::{self, ENGINES, Layout, PLAIN, TreeOptions};
use jb_fakes::fleet::{EngineOptions, Programs, Rig, wait_until};
use jb_tree::edit::{Change, Edit};
use miette::{IntoDiagnostic as _, WrapErr as _, miette};
use rustix::process::Signal;
use serde_json::Value;

use crate::send::{Group, requests};
use crate::step::{Line, Step};

/// Longest wait for a condition of an `await` or `expect` step.
pub const CONDITION_TIMEOUT: Duration = Duration::from_secs(30);
/// Metric that counts the first tokens received at an entry box.
const FIRST_TOKENS: &str = "junctionbend_first_token_seconds_count";
/// Customers in the default tree.
const CUSTOMERS: [&str; 2] = ["ann", "bob"];

/// State of a running scenario.
pub struct Run {
    /// The processes under test.
    pub rig: Rig,
    /// Groups of requests by name.
    pub groups: BTreeMap<String, Group>,
    /// Calls that each engine had received at its last `note` step.
    pub notes: BTreeMap<String, u64>,
    /// HTTP status of the last edit; 0 before the first.
    pub edited: u16,
    /// HTTP client of the callers.
    pub http: reqwest::Client,
    /// First tokens that the boxes had received before the latest run of
    /// consecutive `send` and `resend` steps.
    first_tokens_before_send: u64,
    /// Whether the previous step was `send` or `resend`.
    last_step_sent: bool,
}

/// Runs all steps of a scenario.
///
/// # Errors
/// Returns the error of the first step that fails, with its line number.
pub fn run(programs: &Programs, steps: &[Line]) -> miette::Result<()> {
    let runtime = tokio::runtime::Runtime::new().into_diagnostic()?;
    runtime.block_on(async {
        let mut run = Run {
            rig: Rig::new(programs.clone())?,
            groups: BTreeMap::new(),
            notes: BTreeMap::new(),
            edited: 0,
            first_tokens_before_send: 0,
            last_step_sent: false,
            http: reqwest::Client::builder().no_proxy().build().into_diagnostic()?,
        };
        for line in steps {
            let result = run.execute(&line.step).await;
            result
                .wrap_err_with(|| format!("step at line {} failed: {:?}", line.number, line.step))
                .inspect_err(|_| run.print_logs())?;
        }
        Ok(())
    })
}

impl Run {
    /// Prints the lines that the boxes logged at level `WARN`, for a failed scenario.
    fn print_logs(&self) {
        for (name, _) in self.rig.boxes() {
            let lines = self.rig.process(name).map(|p| p.lines_with("\"level\":\"WARN\""));
            for line in lines.unwrap_or_default() {
                eprintln!("{line}");
            }
        }
    }

    async fn execute(&mut self, step: &Step) -> miette::Result<()> {
        let sends = matches!(step, Step::Send(_) | Step::Resend { .. });
        if sends && !self.last_step_sent {
            self.first_tokens_before_send = self.first_tokens().await;
        }
        self.last_step_sent = sends;
        match step {
            Step::Proves(_) | Step::When(_) => Ok(()),
            Step::StartPlatform => self.rig.start_platform(),
            Step::StartEngine { name, hall, unfenced } => {
                let arguments = unfenced.then(|| "--unfenced".to_owned());
                let options = EngineOptions {
                    arguments: arguments.into_iter().collect(),
                };
                self.rig.start_engine(name, ENGINES, hall, options)
            }
            Step::StartPlain { name, hall } => self.rig.start_plain(name, PLAIN, hall),
            Step::StartBox { name, hall, linked } => self.start_box(name, hall, *linked).await,
            Step::Tree => self.put_tree().await,
            Step::Send(sending) => self.send(&sending.group, &sending.to, requests(sending)),
            Step::Resend { of, group, to } => {
                let requests = self.group(of)?.requests.clone();
                self.send(group, to, requests)
            }
            Step::AwaitOpen { count } => self.await_calls(*count, "open", |c| c.open).await,
            Step::AwaitStreaming { count } => self.await_streaming(*count).await,
            Step::AwaitGroup(group) => {
                self.group(group)?.finish().await;
                Ok(())
            }
            Step::Fault { name, fault } => self.fault(name, fault).await,
            Step::ListLeaving(name) => self.rig.list_leaving(name).await,
            Step::Kill(name) => self.rig.process_mut(name)?.kill(),
            Step::Stop(name) => self.rig.process(name)?.signal(Signal::TERM),
            Step::Freeze(name) => self.rig.process(name)?.signal(Signal::STOP),
            Step::Thaw(name) => self.rig.process(name)?.signal(Signal::CONT),
            Step::Restart(name) => self.rig.restart(name),
            Step::Cut(name) => self.cut(name, true).await,
            Step::Heal(name) => self.cut(name, false).await,
            Step::Edit { .. } => self.edit(step).await,
            Step::Note(name) => {
                let calls = self.calls(name).await?;
                self.notes.insert(name.clone(), calls);
                Ok(())
            }
            Step::Expect(expectation) => self.expect(expectation).await,
        }
    }

    /// Starts a box. A linked box reaches the platform through the relay
    /// `NAME-platform`, and other boxes reach it through `NAME-link`.
    async fn start_box(&mut self, name: &str, hall: &str, linked: bool) -> miette::Result<()> {
        if !linked {
            return self.rig.start_box(name, hall).await;
        }
        let platform = self.rig.platform()?;
        let relayed = self.rig.start_relay(&format!("{name}-platform"), platform)?;
        self.rig.start_box_behind(name, hall, relayed, true).await
    }

    async fn put_tree(&mut self) -> miette::Result<()> {
        let options = TreeOptions::with_customers(&CUSTOMERS);
        let base = layout::tree(&Layout::default(), &options)?;
        self.rig.put_tree(&base).await?;
        self.rig.wait_members().await
    }

    fn send(&mut self, group: &str, to: &str, requests: Vec<jb_fakes::load::Request>) -> miette::Result<()> {
        let at = self.rig.box_ports(to)?.callers;
        let sent = Group::send(&self.http, at, requests);
        self.groups.insert(group.to_owned(), sent);
        Ok(())
    }

    /// Returns the group with this name, or an error if no step has sent one.
    pub fn group(&mut self, name: &str) -> miette::Result<&mut Group> {
        self.groups
            .get_mut(name)
            .ok_or_else(|| miette!("no earlier step sent a group named `{name}`"))
    }

    /// Returns the number of calls that an engine has received.
    pub async fn calls(&self, name: &str) -> miette::Result<u64> {
        let counts: EngineCounts = self.rig.client.counts(self.rig.upstream(name)?).await?;
        Ok(counts.calls)
    }

    /// Returns the number of first tokens received at all boxes; a box that does
    /// not answer counts as 0.
    async fn first_tokens(&self) -> u64 {
        let mut sum = 0;
        for (_, ports) in self.rig.boxes() {
            let text = self
                .rig
                .client
                .text(ports.callers, "/metrics")
                .await
                .unwrap_or_default();
            let line = text.lines().find_map(|l| l.strip_prefix(FIRST_TOKENS));
            sum += line
                .and_then(|count| count.trim().parse::<u64>().ok())
                .unwrap_or(0);
        }
        sum
    }

    /// Waits until the entry boxes have received the first token of at least this
    /// many of the requests sent last.
    async fn await_streaming(&self, least: u64) -> miette::Result<()> {
        wait_until(
            &format!("{least} calls are streaming"),
            CONDITION_TIMEOUT,
            || async { self.first_tokens().await >= self.first_tokens_before_send + least },
        )
        .await
    }

    async fn await_calls(
        &self,
        least: u64,
        what: &str,
        of: impl Fn(&EngineCounts) -> u64,
    ) -> miette::Result<()> {
        let engines = self.rig.upstreams_of(ENGINES);
        wait_until(
            &format!("{least} calls are {what}"),
            CONDITION_TIMEOUT,
            || async {
                let mut sum = 0;
                for (_, at) in &engines {
                    let counts: miette::Result<EngineCounts> = self.rig.client.counts(*at).await;
                    sum += counts.as_ref().map_or(0, &of);
                }
                sum >= least
            },
        )
        .await
    }

    async fn fault(&self, name: &str, fault: &Value) -> miette::Result<()> {
        let at = if name == "platform" {
            self.rig.platform()?
        } else {
            self.rig.upstream(name)?
        };
        self.rig.client.fault(at, fault).await
    }

    async fn cut(&self, name: &str, cut: bool) -> miette::Result<()> {
        let control = self.rig.relay_control(name)?;
        self.rig.client.fault(control, &RelayFault { cut }).await
    }

    async fn edit(&mut self, step: &Step) -> miette::Result<()> {
        let Step::Edit {
            name,
            path,
            key,
            from,
            to,
            id,
        } = step
        else {
            return Ok(());
        };
        let value = |value: &Value| (!value.is_null()).then(|| value.clone());
        let edit = Edit {
            id: id.clone(),
            author: "scenario".to_owned(),
            changes: vec![Change {
                path: path.parse()?,
                key: key.clone(),
                from: value(from),
                to: value(to),
            }],
        };
        let operators = self.rig.box_ports(name)?.operators;
        self.edited = self
            .rig
            .client
            .post(operators, "/admin/edit", &edit)
            .await?
            .status;
        Ok(())
    }
}
