//! A fleet of named processes: platform, boxes, engines, plain services.

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

/// Time in which a whole fleet must agree on a revision.
const PATIENCE: Duration = Duration::from_secs(30);
/// Number of the log event that gives a box's addresses.
const BOX_STARTED: u64 = 1001;
/// Secret of the boxes of a fleet.
const PEER_SECRET: &str = "loopback";

/// Addresses of one box.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BoxPorts {
    /// For callers.
    pub callers: SocketAddr,
    /// For other boxes.
    pub peers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
}

/// Parameters of an engine process.
#[derive(Clone, Debug, Default)]
pub struct EngineOptions {
    /// Further arguments of the stand-in.
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

/// A fleet.
pub struct Rig {
    programs: Programs,
    folder: tempfile::TempDir,
    /// Calls to operators' ports and controls.
    pub client: Client,
    processes: BTreeMap<String, Process>,
    boxes: BTreeMap<String, BoxRecord>,
    upstreams: BTreeMap<String, UpstreamRecord>,
    relays: BTreeMap<String, SocketAddr>,
    platform: Option<SocketAddr>,
    collector: Option<SocketAddr>,
    edits: u32,
    pace: &'static str,
}

/// Settings of boxes that are quicker than usual, for short tests.
const QUICK: &str = "probe_ms = 200\nreport_ms = 50\n";

impl Rig {
    /// An empty fleet.
    ///
    /// # Errors
    /// When no folder for its settings can be made.
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
            pace: QUICK,
        })
    }

    /// Has boxes started from now on keep the usual pace of control.
    pub fn keep_usual_pace(&mut self) {
        self.pace = "";
    }

    /// Starts the platform.
    ///
    /// # Errors
    /// When it does not start.
    pub fn start_platform(&mut self) -> miette::Result<()> {
        let address = self.start_fake("platform", &["platform".to_owned()])?;
        self.platform = Some(address);
        Ok(())
    }

    /// Starts a collector of traces; boxes started from now on export to it.
    ///
    /// # Errors
    /// When it does not start.
    pub fn start_collector(&mut self) -> miette::Result<SocketAddr> {
        let address = self.start_fake("collector", &["collector".to_owned()])?;
        self.collector = Some(address);
        Ok(address)
    }

    /// Address of the platform.
    ///
    /// # Errors
    /// When it has not been started.
    pub fn platform(&self) -> miette::Result<SocketAddr> {
        self.platform
            .ok_or_else(|| miette!("the platform has not been started"))
    }

    /// Starts an engine of a service.
    ///
    /// # Errors
    /// When it does not start.
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

    /// Starts a plain service.
    ///
    /// # Errors
    /// When it does not start.
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

    /// Starts a relay to an address; gives the relayed address.
    ///
    /// # Errors
    /// When it does not start.
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

    /// Starts a box in a hall; the boxes started before are its seeds.
    ///
    /// # Errors
    /// When it does not start.
    pub async fn start_box(&mut self, name: &str, hall: &str) -> miette::Result<()> {
        let platform = self.platform()?;
        self.start_box_behind(name, hall, platform, false).await
    }

    /// Starts a box that reaches the platform at `platform`; when `relayed`,
    /// other boxes reach it through a relay named `NAME-link`.
    ///
    /// # Errors
    /// When it does not start.
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
            // The relay needs the port before the box has it, so it is drawn here.
            record.ports.peers = free_port()?;
            record.advertise = Some(self.start_relay(&format!("{name}-link"), record.ports.peers)?);
        }
        record.ports = self.run_box(name, &record)?;
        let peers = record.advertise.unwrap_or(record.ports.peers);
        self.boxes.insert(name.to_owned(), record);
        self.list(name, hall, peers, State::Live).await
    }

    /// Puts a box into the platform's box list.
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

    /// Shows an upstream as leaving in the platform's box list.
    ///
    /// # Errors
    /// When there is no such upstream.
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
        writeln!(text, "peers = {seeds:?}\n{}", self.pace).into_diagnostic()?;
        let path = self.folder.path().join(format!("{name}.toml"));
        std::fs::write(&path, text).into_diagnostic()?;
        Ok(path)
    }

    /// Starts a killed or stopped box or upstream again, at its old addresses.
    ///
    /// # Errors
    /// When it does not start.
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

    /// A process by name.
    ///
    /// # Errors
    /// When there is none.
    pub fn process(&self, name: &str) -> miette::Result<&Process> {
        self.processes
            .get(name)
            .ok_or_else(|| miette!("no process is named `{name}`"))
    }

    /// A process by name.
    ///
    /// # Errors
    /// When there is none.
    pub fn process_mut(&mut self, name: &str) -> miette::Result<&mut Process> {
        self.processes
            .get_mut(name)
            .ok_or_else(|| miette!("no process is named `{name}`"))
    }

    /// Addresses of a box.
    ///
    /// # Errors
    /// When there is none of that name.
    pub fn box_ports(&self, name: &str) -> miette::Result<BoxPorts> {
        let record = self
            .boxes
            .get(name)
            .ok_or_else(|| miette!("no box is named `{name}`"))?;
        Ok(record.ports)
    }

    /// Addresses of all boxes, by their names.
    pub fn boxes(&self) -> impl Iterator<Item = (&str, BoxPorts)> {
        self.boxes
            .iter()
            .map(|(name, record)| (name.as_str(), record.ports))
    }

    /// Address of an upstream.
    ///
    /// # Errors
    /// When there is none of that name.
    pub fn upstream(&self, name: &str) -> miette::Result<SocketAddr> {
        Ok(self.upstream_record(name)?.address)
    }

    /// Names and addresses of a service's upstreams.
    pub fn upstreams_of(&self, service: &str) -> Vec<(String, SocketAddr)> {
        let of = self.upstreams.iter().filter(|(_, u)| u.service == service);
        of.map(|(name, u)| (name.clone(), u.address)).collect()
    }

    /// Control address of a relay.
    ///
    /// # Errors
    /// When there is none of that name.
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

    /// The document `base` with the fleet's upstreams added.
    ///
    /// # Errors
    /// When `base` is no tree.
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

    /// Puts a tree in force at every box.
    ///
    /// # Errors
    /// When it is refused, or some box does not follow.
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

    /// Waits until every box has at least a revision in force.
    ///
    /// # Errors
    /// When some box does not follow.
    pub async fn wait_revision(&self, revision: u64) -> miette::Result<()> {
        for (name, record) in &self.boxes {
            let what = format!("`{name}` has revision {revision} in force");
            wait_until(&what, PATIENCE, || async {
                self.revision(record.ports).await.is_some_and(|r| r >= revision)
            })
            .await?;
        }
        Ok(())
    }

    /// Revision in force at a box, if it answers.
    pub async fn revision(&self, ports: BoxPorts) -> Option<u64> {
        let status: Value = self.client.get(ports.operators, "/admin/status").await.ok()?;
        status["me"]["revision"].as_u64()
    }

    /// Waits until every box sees all others.
    ///
    /// # Errors
    /// When some box does not.
    pub async fn wait_members(&self) -> miette::Result<()> {
        let others = self.boxes.len() - 1;
        for (name, record) in &self.boxes {
            let operators = record.ports.operators;
            wait_until(&format!("`{name}` sees all boxes"), PATIENCE, || async {
                let status: miette::Result<Value> = self.client.get(operators, "/admin/status").await;
                status.is_ok_and(|s| s["boxes"].as_array().map_or(0, Vec::len) >= others)
            })
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
