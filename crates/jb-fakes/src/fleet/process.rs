//! One started process and what it prints.

use std::io::BufReader;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Duration;

use miette::{IntoDiagnostic as _, miette};
use rustix::process::{Pid, Signal, kill_process};

/// Time in which an expected line must come.
const PATIENCE: Duration = Duration::from_secs(30);

#[derive(Default)]
struct Output {
    lines: Mutex<Vec<String>>,
    more: Condvar,
}

/// A process; it is killed when dropped.
pub struct Process {
    name: String,
    child: Child,
    output: Arc<Output>,
}

impl Process {
    /// Starts a program.
    ///
    /// # Errors
    /// When it cannot be started.
    pub fn start(name: &str, program: &Path, arguments: &[String]) -> miette::Result<Self> {
        let mut child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .into_diagnostic()?;
        let output: Arc<Output> = Arc::default();
        if let Some(stdout) = child.stdout.take() {
            let output = Arc::clone(&output);
            std::thread::spawn(move || collect(BufReader::new(stdout), &output));
        }
        Ok(Self {
            name: name.to_owned(),
            child,
            output,
        })
    }

    /// Waits for a line that `pick` accepts.
    ///
    /// # Errors
    /// When none comes in time.
    pub fn wait_line<T>(&self, mut pick: impl FnMut(&str) -> Option<T>) -> miette::Result<T> {
        let mut seen = 0;
        let mut lines = self.output.lines.lock().unwrap_or_else(PoisonError::into_inner);
        loop {
            while let Some(line) = lines.get(seen) {
                if let Some(found) = pick(line) {
                    return Ok(found);
                }
                seen += 1;
            }
            let (guard, wait) = self
                .output
                .more
                .wait_timeout(lines, PATIENCE)
                .unwrap_or_else(PoisonError::into_inner);
            lines = guard;
            if wait.timed_out() {
                return Err(miette!("`{}` did not print what was expected", self.name));
            }
        }
    }

    /// Lines printed that hold `text`.
    pub fn lines_with(&self, text: &str) -> Vec<String> {
        let lines = self.output.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.iter().filter(|line| line.contains(text)).cloned().collect()
    }

    /// Kills it at once.
    ///
    /// # Errors
    /// When the system refuses.
    pub fn kill(&mut self) -> miette::Result<()> {
        self.child.kill().into_diagnostic()?;
        self.child.wait().into_diagnostic()?;
        Ok(())
    }

    /// Sends it a signal.
    ///
    /// # Errors
    /// When the system refuses.
    pub fn signal(&self, signal: Signal) -> miette::Result<()> {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        let pid = pid.ok_or_else(|| miette!("`{}` has no process id", self.name))?;
        kill_process(pid, signal).into_diagnostic()
    }

    /// Whether it has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn collect(lines: impl std::io::BufRead, output: &Output) {
    for line in lines.lines().map_while(Result::ok) {
        let mut all = output.lines.lock().unwrap_or_else(PoisonError::into_inner);
        all.push(line);
        output.more.notify_all();
    }
}
