//! Boxes as processes, ended only by the id that they were started with.

use std::cell::{Cell, RefCell};
use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use jb_site_fakes::document;
use rustix::process::{Pid, Signal, kill_process};

use crate::proxy::{Link, Proxy};

/// One box.
pub struct Box {
    /// Name.
    pub name: String,
    /// Its link to the store.
    pub link: Proxy,
    program: PathBuf,
    folder: PathBuf,
    hall: String,
    child: RefCell<Option<Child>>,
    starts: Cell<u32>,
}

impl Box {
    /// A box that is not started yet; its files go into `folder`.
    pub async fn new(number: usize, program: &Path, folder: &Path, store: SocketAddr) -> Self {
        Self {
            name: format!("box-{number}"),
            link: Proxy::start(store).await,
            program: program.to_owned(),
            folder: folder.to_owned(),
            hall: format!("hall-{}", number % 2),
            child: RefCell::default(),
            starts: Cell::default(),
        }
    }

    /// Starts the process.
    pub fn start(&self) {
        self.starts.set(self.starts.get() + 1);
        let settings = self.folder.join(format!("{}.toml", self.name));
        std::fs::write(
            &settings,
            document::settings(&self.name, &self.hall, self.link.address),
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

    /// How often it was started.
    pub fn starts(&self) -> u32 {
        self.starts.get()
    }

    /// File with the log of the present process.
    pub fn log(&self) -> PathBuf {
        self.folder
            .join(format!("{}-{}.log", self.name, self.starts.get()))
    }

    /// Address for callers, once the process has told it.
    pub fn address(&self) -> Option<SocketAddr> {
        let text = std::fs::read_to_string(self.log()).ok()?;
        let line = text.lines().find(|line| line.contains("\"box_started\""))?;
        let fields: serde_json::Value = serde_json::from_str(line).ok()?;
        fields["callers"].as_str()?.parse().ok()
    }

    /// Sends a signal; nothing when the process has ended.
    pub fn signal(&self, signal: Signal) {
        let child = self.child.borrow();
        let pid = child
            .as_ref()
            .and_then(|child| Pid::from_raw(i32::try_from(child.id()).ok()?));
        if let Some(pid) = pid {
            // It may have ended in this moment.
            let _ = kill_process(pid, signal);
        }
    }

    /// Whether the process still runs.
    pub fn runs(&self) -> bool {
        let mut child = self.child.borrow_mut();
        let ended = child
            .as_mut()
            .is_none_or(|child| matches!(child.try_wait(), Ok(Some(_)) | Err(_)));
        if ended {
            *child = None;
        }
        !ended
    }

    /// Puts its link to the store into a state.
    pub fn link(&self, link: Link) {
        self.link.link.set(link);
    }
}

impl Drop for Box {
    fn drop(&mut self) {
        if let Some(child) = self.child.get_mut() {
            // A stopped process ends by SIGKILL too.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
