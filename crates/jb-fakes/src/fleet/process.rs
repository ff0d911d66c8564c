//! Child process with captured standard output.

use std::io::BufReader;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Duration;

use miette::{IntoDiagnostic as _, miette};
use rustix::process::{Pid, Signal, kill_process};

/// Longest wait for further output while looking for an expected line.
const OUTPUT_TIMEOUT: Duration = Duration::from_secs(30);

#[derive(Default)]
struct Output {
    lines: Mutex<Vec<String>>,
    more: Condvar,
}

/// Child process that is killed when dropped.
pub struct Process {
    name: String,
    child: Child,
    output: Arc<Output>,
}

impl Process {
    /// Starts a program and collects its standard output line by line.
    ///
    /// # Errors
    /// Returns an error when the process cannot be spawned.
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

    /// Waits for an output line that `pick` accepts and returns the picked value.
    ///
    /// Lines that were printed before the call are considered too.
    ///
    /// # Errors
    /// Returns an error when the process prints nothing more for the timeout.
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
                .wait_timeout(lines, OUTPUT_TIMEOUT)
                .unwrap_or_else(PoisonError::into_inner);
            lines = guard;
            if wait.timed_out() {
                return Err(miette!(
                    "timed out waiting for an expected output line of `{}`",
                    self.name
                ));
            }
        }
    }

    /// Returns the output lines so far that contain `text`.
    pub fn lines_with(&self, text: &str) -> Vec<String> {
        let lines = self.output.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.iter().filter(|line| line.contains(text)).cloned().collect()
    }

    /// Kills the process with `SIGKILL` and waits for it to exit.
    ///
    /// # Errors
    /// Returns an error when the operating system rejects the call.
    pub fn kill(&mut self) -> miette::Result<()> {
        self.child.kill().into_diagnostic()?;
        self.child.wait().into_diagnostic()?;
        Ok(())
    }

    /// Sends a signal to the process.
    ///
    /// # Errors
    /// Returns an error when the operating system rejects the call.
    pub fn signal(&self, signal: Signal) -> miette::Result<()> {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        let pid = pid.ok_or_else(|| miette!("`{}` has no process id", self.name))?;
        kill_process(pid, signal).into_diagnostic()
    }

    /// Returns whether the process has exited.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Errors are ignored: the process may have exited already.
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
