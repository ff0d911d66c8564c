//! Boxes as child processes, which are signalled only by their process id.

use std::cell::{Cell, RefCell};
use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use jb_site_fakes::document::{self, Bounds};
use rustix::process::{Pid, Signal, kill_process};
use tokio::time::sleep;

use jb_site_fakes::proxy::{Link, Proxy};

/// Longest wait for a process to be ready.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval at which the log of a starting process is read.
const START_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A box under test.
pub struct Box {
    /// Name in the settings of the box.
    pub name: String,
    /// Its link to the store.
    pub link: Proxy,
    program: PathBuf,
    folder: PathBuf,
    /// Data hall in the settings of the box.
    pub hall: String,
    bounds: Bounds,
    child: RefCell<Option<Child>>,
    starts: Cell<u32>,
    /// Whether the process stands still, and gets no share of a core either.
    stands_still: Cell<bool>,
}

impl Box {
    /// Creates a box that is not started yet; its files go into `folder`.
    pub async fn new(
        number: usize,
        program: &Path,
        folder: &Path,
        hall: usize,
        store: SocketAddr,
        bounds: Bounds,
    ) -> Self {
        Self {
            name: format!("box-{number}"),
            link: Proxy::start(store).await,
            program: program.to_owned(),
            folder: folder.to_owned(),
            hall: format!("hall-{hall}"),
            bounds,
            child: RefCell::default(),
            starts: Cell::default(),
            stands_still: Cell::default(),
        }
    }

    /// Starts the process.
    pub fn start(&self) {
        self.starts.set(self.starts.get() + 1);
        let settings = self.folder.join(format!("{}.toml", self.name));
        std::fs::write(
            &settings,
            document::settings(&self.name, &self.hall, self.link.address, self.bounds),
        )
        .expect("settings");
        let log = File::create(self.log()).expect("a log");
        let child = Command::new(&self.program)
            .env(document::SETTINGS, &settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("a log"))
            .stdout(log)
            .spawn();
        *self.child.borrow_mut() = Some(child.expect("a process"));
    }

    /// Returns the number of process starts.
    pub fn starts(&self) -> u32 {
        self.starts.get()
    }

    /// Returns the path of the current process's log.
    pub fn log(&self) -> PathBuf {
        self.folder
            .join(format!("{}-{}.log", self.name, self.starts.get()))
    }

    /// Returns the address for callers, once the process has logged it.
    pub fn address(&self) -> Option<SocketAddr> {
        let text = std::fs::read_to_string(self.log()).ok()?;
        let line = text.lines().find(|line| line.contains("\"box_started\""))?;
        let fields: serde_json::Value = serde_json::from_str(line).ok()?;
        fields["callers"].as_str()?.parse().ok()
    }

    /// Returns the address for callers, once the process has a configuration, before which it reports that it isn't ready.
    pub fn ready_address(&self) -> Option<SocketAddr> {
        let text = std::fs::read_to_string(self.log()).ok()?;
        let is_ready = text.lines().any(|line| line.contains("\"rules_in_force\""));
        is_ready.then(|| self.address()).flatten()
    }

    /// Starts the process and returns its address for callers once it is ready.
    pub async fn start_ready(&self) -> SocketAddr {
        self.start();
        let until = Instant::now() + START_TIMEOUT;
        loop {
            if let Some(address) = self.ready_address() {
                return address;
            }
            assert!(Instant::now() < until, "{} does not start", self.name);
            sleep(START_POLL_INTERVAL).await;
        }
    }

    /// Returns the id of the process; `None` before its first start.
    pub fn pid(&self) -> Option<Pid> {
        let child = self.child.borrow();
        child
            .as_ref()
            .and_then(|child| Pid::from_raw(i32::try_from(child.id()).ok()?))
    }

    /// Sends a signal to the process; does nothing if it has exited.
    pub fn signal(&self, signal: Signal) {
        if let Some(pid) = self.pid() {
            // The process may have exited in the meantime.
            let _ = kill_process(pid, signal);
        }
    }

    /// Makes the process stand still.
    pub fn stand_still(&self) {
        self.stands_still.set(true);
        self.signal(Signal::STOP);
    }

    /// Lets the process go on.
    pub fn go_on(&self) {
        self.stands_still.set(false);
        self.signal(Signal::CONT);
    }

    /// Gives the process a core for this time, unless it stands still.
    pub async fn run_for(&self, time: Duration) {
        if !self.stands_still.get() {
            self.signal(Signal::CONT);
        }
        sleep(time).await;
        self.signal(Signal::STOP);
    }

    /// Returns whether the process is running.
    pub fn is_running(&self) -> bool {
        let mut child = self.child.borrow_mut();
        let ended = child
            .as_mut()
            .is_none_or(|child| matches!(child.try_wait(), Ok(Some(_)) | Err(_)));
        if ended {
            *child = None;
        }
        !ended
    }

    /// Sets the state of the link to the store.
    pub fn link(&self, link: Link) {
        self.link.link.set(link);
    }
}

impl Drop for Box {
    fn drop(&mut self) {
        if let Some(child) = self.child.get_mut() {
            // SIGKILL also ends a process that is stopped by SIGSTOP.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
