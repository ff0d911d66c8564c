//! Fleet of named processes: platform, boxes, engines and plain services.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use jb_protocol::platform::{Entry, State};
use jb_tree::{Tree, document};
use miette::{IntoDiagnostic as _, miette};
use serde_json::Value;

use super::build::Programs;
use super::client::{Client, wait_until};
use super::process::Process;
use crate::control::PlatformFault;
use crate::listen::Listening;

/// Timeout for all boxes to apply a revision or to see each other.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(30);
/// Number of the log event with which a box reports its listen addresses.
const BOX_STARTED: u64 = 1001;
/// Shared peer secret of all boxes of a fleet.
const PEER_SECRET: &str = "loopback";

/// Listen addresses of one box.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BoxPorts {
    /// Address that serves callers.
    pub callers: SocketAddr,
    /// Address that serves other boxes.
    pub peers: SocketAddr,
    /// Address that serves operators.
    pub operators: SocketAddr,
}

/// Options of an engine process.
#[derive(Clone, Debug, Default)]
pub struct EngineOptions {
    /// Additional command-line arguments of the stand-in.
    pub arguments: Vec<String>,
}

struct BoxRecord {
    hall: String,
    ports: BoxPorts,
    platform: SocketAddr,
    advertise: Option<SocketAddr>,
}

struct UpstreamRecord {
    service: String,
    hall: String,
    address: SocketAddr,
    arguments: Vec<String>,
}

/// Running fleet; its processes are killed when it is dropped.
pub struct Rig {
    programs: Programs,
    folder: tempfile::TempDir,
    /// HTTP client for operators' ports and control endpoints.
    pub client: Client,
    processes: BTreeMap<String, Process>,
    boxes: BTreeMap<String, BoxRecord>,
    upstreams: BTreeMap<String, UpstreamRecord>,
    relays: BTreeMap<String, SocketAddr>,
    platform: Option<SocketAddr>,
    collector: Option<SocketAddr>,
    edits: u32,
    interval_settings: &'static str,
}

/// Box settings with shorter probe and report intervals than in production, for short tests.
const SHORT_INTERVALS: &str = "probe_ms = 200\nreport_ms = 50\n";

impl Rig {
    /// Creates a fleet without processes.
    ///
    /// # Errors
    /// Returns an error when the temporary directory or the HTTP client cannot be created.
    pub fn new(programs: Programs) -> miette::Result<Self> {
        Ok(Self {
            programs,
            folder: tempfile::tempdir().into_diagnostic()?,
            client: Client::new()?,
            processes: BTreeMap::new(),
            boxes: BTreeMap::new(),
            upstreams: BTreeMap::new(),
            relays: BTreeMap::new(),
            platform: None,
            collector: None,
            edits: 0,
            interval_settings: SHORT_INTERVALS,
        })
    }

    /// Makes boxes started from now on use the production probe and report intervals.
    pub fn keep_usual_pace(&mut self) {
        self.interval_settings = "";
    }

    /// Starts the platform stand-in.
    ///
    /// # Errors
    /// Returns an error when a process does not start.
    pub fn start_platform(&mut self) -> miette::Result<()> {
        let address = self.start_fake("platform", &["platform".to_owned()])?;
        self.platform = Some(address);
        Ok(())
    }

    /// Starts a trace collector; boxes started from now on export to it.
    ///
    /// # Errors
    /// Returns an error when a process does not start.
    pub fn start_collector(&mut self) -> miette::Result<SocketAddr> {
        let address = self.start_fake("collector", &["collector".to_owned()])?;
        self.collector = Some(address);
        Ok(address)
    }

    /// Returns the address of the platform.
    ///
    /// # Errors
    /// Returns an error when the platform has not been started.
    pub fn platform(&self) -> miette::Result<SocketAddr> {
        self.platform
            .ok_or_else(|| miette!("the platform has not been started"))
    }

    /// Starts an engine as an upstream of a service.
    ///
    /// # Errors
    /// Returns an error when a process does not start.
    pub fn start_engine(
        &mut self,
        name: &str,
        service: &str,
        hall: &str,
        options: EngineOptions,
    ) -> miette::Result<()> {
        let mut arguments = vec!["engine".to_owned()];
        arguments.extend(options.arguments);
        self.start_upstream(name, service, hall, arguments)
    }

    /// Starts an upstream of a plain service.
    ///
    /// # Errors
    /// Returns an error when a process does not start.
    pub fn start_plain(&mut self, name: &str, service: &str, hall: &str) -> miette::Result<()> {
        self.start_upstream(name, service, hall, vec!["plain".to_owned()])
    }

    fn start_upstream(
        &mut self,
        name: &str,
        service: &str,
        hall: &str,
        arguments: Vec<String>,
    ) -> miette::Result<()> {
        let address = self.start_fake(name, &arguments)?;
        let record = UpstreamRecord {
            service: service.to_owned(),
            hall: hall.to_owned(),
            address,
            arguments,
        };
        self.upstreams.insert(name.to_owned(), record);
        Ok(())
    }

    /// Starts a TCP relay to an address and returns the address on which the relay listens.
    ///
    /// # Errors
    /// Returns an error when a process does not start.
    pub fn start_relay(&mut self, name: &str, to: SocketAddr) -> miette::Result<SocketAddr> {
        let arguments = ["relay".to_owned(), "--to".to_owned(), to.to_string()];
        let address = self.start_fake(name, &arguments)?;
        let control = self.process(name)?.wait_line(|line| {
            let listening: Listening = serde_json::from_str(line).ok()?;
            (listening.listening != address).then_some(listening.listening)
        })?;
        self.relays.insert(name.to_owned(), control);
        Ok(address)
    }

    fn start_fake(&mut self, name: &str, arguments: &[String]) -> miette::Result<SocketAddr> {
        let process = Process::start(name, &self.programs.fakes, arguments)?;
        let listening: Listening = process.wait_line(|line| serde_json::from_str(line).ok())?;
        self.processes.insert(name.to_owned(), process);
        Ok(listening.listening)
    }

    /// Starts a box in a hall, with the boxes started earlier as its seed peers.
    ///
    /// # Errors
    /// Returns an error when a process does not start.
    pub async fn start_box(&mut self, name: &str, hall: &str) -> miette::Result<()> {
        let platform = self.platform()?;
        self.start_box_behind(name, hall, platform, false).await
    }

    /// Starts a box that reaches the platform at `platform`; when `relayed`,
    /// other boxes reach it through a relay named `NAME-link`.
    ///
    /// # Errors
    /// Returns an error when a process does not start.
    pub async fn start_box_behind(
        &mut self,
        name: &str,
        hall: &str,
        platform: SocketAddr,
        relayed: bool,
    ) -> miette::Result<()> {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut record = BoxRecord {
            hall: hall.to_owned(),
            ports: BoxPorts {
                callers: any,
                peers: any,
                operators: any,
            },
            platform,
            advertise: None,
        };
        if relayed {
            // The relay must know the port before the box binds it, so a free port is chosen here.
            record.ports.peers = free_port()?;
            record.advertise = Some(self.start_relay(&format!("{name}-link"), record.ports.peers)?);
        }
        record.ports = self.run_box(name, &record)?;
        let peers = record.advertise.unwrap_or(record.ports.peers);
        self.boxes.insert(name.to_owned(), record);
        self.list(name, hall, peers, State::Live).await
    }

    /// Adds or updates an entry of the platform's box list.
    async fn list(&self, id: &str, hall: &str, address: SocketAddr, state: State) -> miette::Result<()> {
        let entry = Entry {
            id: id.to_owned(),
            hall: hall.to_owned(),
            address: address.to_string(),
            entry: self.boxes.contains_key(id),
            state,
        };
        let fault = PlatformFault {
            list: vec![entry],
            ..PlatformFault::default()
        };
        self.client.fault(self.platform()?, &fault).await
    }

    /// Marks an upstream as leaving in the platform's box list.
    ///
    /// # Errors
    /// Returns an error when the upstream does not exist or the platform rejects the entry.
    pub async fn list_leaving(&self, name: &str) -> miette::Result<()> {
        let record = self.upstream_record(name)?;
        let id = format!("{}/{name}", record.service);
        self.list(&id, &record.hall, record.address, State::Leaving).await
    }

    fn run_box(&mut self, name: &str, record: &BoxRecord) -> miette::Result<BoxPorts> {
        let path = self.write_settings(name, record)?;
        let arguments = ["--settings".to_owned(), path.display().to_string()];
        let process = Process::start(name, &self.programs.daemon, &arguments)?;
        let ports = process.wait_line(box_ports)?;
        self.processes.insert(name.to_owned(), process);
        Ok(ports)
    }

    fn write_settings(&self, name: &str, record: &BoxRecord) -> miette::Result<PathBuf> {
        let seeds: Vec<String> = self.boxes.values().map(|b| b.ports.peers.to_string()).collect();
        let mut text = String::new();
        let lines = [
            ("box", name.to_owned()),
            ("hall", record.hall.clone()),
            ("caller_address", record.ports.callers.to_string()),
            ("peer_address", record.ports.peers.to_string()),
            ("admin_address", record.ports.operators.to_string()),
            ("platform", record.platform.to_string()),
            ("peer_secret", PEER_SECRET.to_owned()),
        ];
        for (key, value) in lines {
            writeln!(text, "{key} = \"{value}\"").into_diagnostic()?;
        }
        if let Some(advertise) = record.advertise {
            writeln!(text, "peer_advertise = \"{advertise}\"").into_diagnostic()?;
        }
        if let Some(collector) = self.collector {
            writeln!(text, "traces = \"{collector}\"").into_diagnostic()?;
        }
        writeln!(text, "peers = {seeds:?}\n{}", self.interval_settings).into_diagnostic()?;
        let path = self.folder.path().join(format!("{name}.toml"));
        std::fs::write(&path, text).into_diagnostic()?;
        Ok(path)
    }

    /// Restarts a box or upstream at its previous addresses.
    ///
    /// # Errors
    /// Returns an error when a process does not start.
    pub fn restart(&mut self, name: &str) -> miette::Result<()> {
        self.processes.remove(name);
        if let Some(record) = self.boxes.remove(name) {
            let result = self.run_box(name, &record);
            self.boxes.insert(name.to_owned(), record);
            return result.map(|_| ());
        }
        let record = self.upstream_record(name)?;
        let mut arguments = vec!["--listen".to_owned(), record.address.to_string()];
        arguments.extend(record.arguments.clone());
        self.start_fake(name, &arguments).map(|_| ())
    }

    /// Returns a process by name.
    ///
    /// # Errors
    /// Returns an error when the name is unknown.
    pub fn process(&self, name: &str) -> miette::Result<&Process> {
        self.processes
            .get(name)
            .ok_or_else(|| miette!("no process is named `{name}`"))
    }

    /// Returns a process by name.
    ///
    /// # Errors
    /// Returns an error when the name is unknown.
    pub fn process_mut(&mut self, name: &str) -> miette::Result<&mut Process> {
        self.processes
            .get_mut(name)
            .ok_or_else(|| miette!("no process is named `{name}`"))
    }

    /// Returns the listen addresses of a box.
    ///
    /// # Errors
    /// Returns an error when the name is unknown.
    pub fn box_ports(&self, name: &str) -> miette::Result<BoxPorts> {
        let record = self
            .boxes
            .get(name)
            .ok_or_else(|| miette!("no box is named `{name}`"))?;
        Ok(record.ports)
    }

    /// Returns the names and listen addresses of all boxes, in order of name.
    pub fn boxes(&self) -> impl Iterator<Item = (&str, BoxPorts)> {
        self.boxes
            .iter()
            .map(|(name, record)| (name.as_str(), record.ports))
    }

    /// Returns the address of an upstream.
    ///
    /// # Errors
    /// Returns an error when the name is unknown.
    pub fn upstream(&self, name: &str) -> miette::Result<SocketAddr> {
        Ok(self.upstream_record(name)?.address)
    }

    /// Returns the names and addresses of a service's upstreams.
    pub fn upstreams_of(&self, service: &str) -> Vec<(String, SocketAddr)> {
        let of = self.upstreams.iter().filter(|(_, u)| u.service == service);
        of.map(|(name, u)| (name.clone(), u.address)).collect()
    }

    /// Returns the control address of a relay.
    ///
    /// # Errors
    /// Returns an error when the name is unknown.
    pub fn relay_control(&self, name: &str) -> miette::Result<SocketAddr> {
        self.relays
            .get(name)
            .copied()
            .ok_or_else(|| miette!("no relay is named `{name}`"))
    }

    fn upstream_record(&self, name: &str) -> miette::Result<&UpstreamRecord> {
        self.upstreams
            .get(name)
            .ok_or_else(|| miette!("no upstream is named `{name}`"))
    }

    /// Parses the tree document `base` with the fleet's upstreams added.
    ///
    /// # Errors
    /// Returns an error when the document is not a valid settings tree.
    pub fn tree(&self, base: &str) -> miette::Result<Tree> {
        let mut text = base.to_owned();
        for (name, upstream) in &self.upstreams {
            let UpstreamRecord {
                service,
                hall,
                address,
                ..
            } = upstream;
            write!(
                text,
                "\n[\"/services/{service}/{name}\"]\naddress = \"{address}\"\nhall = \"{hall}\"\n"
            )
            .into_diagnostic()?;
        }
        Ok(document::read("tree", &text)?)
    }

    /// Applies a settings tree, waits until every box uses it, and returns its revision.
    ///
    /// # Errors
    /// Returns an error when the edit is rejected or a box does not apply the revision in time.
    pub async fn put_tree(&mut self, base: &str) -> miette::Result<u64> {
        let tree = self.tree(base)?;
        self.edits += 1;
        let id = format!("rig-{}", self.edits);
        let first = self
            .boxes
            .values()
            .next()
            .ok_or_else(|| miette!("no box has been started"))?;
        let revision = self.client.put_tree(first.ports.operators, &id, &tree).await?;
        self.wait_revision(revision).await?;
        Ok(revision)
    }

    /// Waits until every box has applied `revision` or a later one.
    ///
    /// # Errors
    /// Returns an error when a box does not apply it in time.
    pub async fn wait_revision(&self, revision: u64) -> miette::Result<()> {
        for (name, record) in &self.boxes {
            let what = format!("`{name}` applies revision {revision}");
            wait_until(&what, CONVERGENCE_TIMEOUT, || async {
                self.revision(record.ports).await.is_some_and(|r| r >= revision)
            })
            .await?;
        }
        Ok(())
    }

    /// Returns the revision that a box has applied; `None` when the box does not answer.
    pub async fn revision(&self, ports: BoxPorts) -> Option<u64> {
        let status: Value = self.client.get(ports.operators, "/admin/status").await.ok()?;
        status["me"]["revision"].as_u64()
    }

    /// Waits until every box sees all other boxes.
    ///
    /// # Errors
    /// Returns an error when a box does not see all others in time.
    pub async fn wait_members(&self) -> miette::Result<()> {
        let others = self.boxes.len() - 1;
        for (name, record) in &self.boxes {
            let operators = record.ports.operators;
            wait_until(
                &format!("`{name}` sees all boxes"),
                CONVERGENCE_TIMEOUT,
                || async {
                    let status: miette::Result<Value> = self.client.get(operators, "/admin/status").await;
                    status.is_ok_and(|s| s["boxes"].as_array().map_or(0, Vec::len) >= others)
                },
            )
            .await?;
        }
        Ok(())
    }
}

fn box_ports(line: &str) -> Option<BoxPorts> {
    let event: Value = serde_json::from_str(line).ok()?;
    if event["event"].as_u64() != Some(BOX_STARTED) {
        return None;
    }
    let port = |key: &str| event[key].as_str()?.parse().ok();
    Some(BoxPorts {
        callers: port("callers")?,
        peers: port("peers")?,
        operators: port("operators")?,
    })
}

fn free_port() -> miette::Result<SocketAddr> {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").into_diagnostic()?;
    listener.local_addr().into_diagnostic()
}
