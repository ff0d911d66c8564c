//! Local settings of one box, which cannot come from the configuration tree.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use jb_protocol::id;
use jb_tree::key;
use miette::{Diagnostic, NamedSource, SourceSpan};
use serde::Deserialize;
use thiserror::Error as ThisError;

/// Error in the settings file of a box.
#[derive(Debug, ThisError, Diagnostic)]
pub enum Error {
    /// The file cannot be read.
    #[error("cannot read settings file {path}: {message}")]
    #[diagnostic(
        code(settings::file),
        help("pass the file with --settings; docs/OPERATORS.md has an example")
    )]
    File {
        /// Path of the file.
        path: String,
        /// Error message of the operating system.
        message: String,
    },
    /// A key is unknown or missing, or has an invalid value.
    #[error("invalid settings: {message}")]
    #[diagnostic(
        code(settings::value),
        help("docs/OPERATORS.md lists every key with its type and default")
    )]
    Value {
        /// Description of the problem.
        message: String,
        /// Text of the file.
        #[source_code]
        text: NamedSource<String>,
        /// Location of the problem, if known.
        #[label("here")]
        at: Option<SourceSpan>,
    },
}

/// Settings of one box.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Name of the box, unique among all boxes.
    #[serde(rename = "box")]
    pub id: id::Box,
    /// Data hall of the box.
    pub hall: id::Hall,
    /// Address that callers connect to.
    pub caller_address: SocketAddr,
    /// Address that the box listens on for other boxes.
    pub peer_address: SocketAddr,
    /// Address announced to other boxes, if it differs from `peer_address`.
    pub peer_advertise: Option<SocketAddr>,
    /// Address of the administration API.
    pub admin_address: SocketAddr,
    /// Address of the platform service.
    pub platform: SocketAddr,
    /// Peer addresses of seed boxes, which are probed while no other box is known to be alive.
    pub peers: Vec<SocketAddr>,
    /// Address of an OpenTelemetry collector (OTLP over HTTP, JSON).
    pub traces: Option<SocketAddr>,
    /// Shared secret with which boxes authenticate to each other.
    pub peer_secret: String,
    /// Hash of the operators' key, `sha256:` and 64 hex digits. If empty, no key is required.
    pub admin_key: String,
    /// Time in seconds that a planned stop waits for open requests.
    pub stop_grace_s: u64,
    /// Interval between two rounds of probes of other boxes, in milliseconds.
    pub probe_ms: u64,
    /// Interval between two engine reports, in milliseconds; each polls the next engine.
    pub report_ms: u64,
    /// Capacity of the queue to the decision thread, in messages.
    pub ring: usize,
    /// Number of threads that serve callers.
    pub workers: usize,
}

impl Default for Settings {
    fn default() -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            id: String::new(),
            hall: String::new(),
            caller_address: any,
            peer_address: any,
            peer_advertise: None,
            admin_address: any,
            platform: any,
            peers: Vec::new(),
            traces: None,
            peer_secret: String::new(),
            admin_key: String::new(),
            stop_grace_s: 300,
            probe_ms: 1000,
            report_ms: 1000,
            ring: 8192,
            workers: 2,
        }
    }
}

impl Settings {
    /// Returns the interval between two rounds of probes of other boxes.
    pub fn probe_interval(&self) -> Duration {
        Duration::from_millis(self.probe_ms)
    }

    /// Returns the interval between two engine reports.
    pub fn report_interval(&self) -> Duration {
        Duration::from_millis(self.report_ms)
    }
}

/// Reads and validates a settings file.
///
/// # Errors
/// If the file cannot be read, or a key is unknown, missing or invalid.
pub fn read(path: &Path) -> Result<Settings, Error> {
    let text = std::fs::read_to_string(path).map_err(|e| Error::File {
        path: path.display().to_string(),
        message: e.to_string(),
    })?;
    parse(&path.display().to_string(), &text)
}

/// Parses and validates the text of a settings file; `name` is shown in errors.
///
/// # Errors
/// If a key is unknown, missing or invalid. The error marks its location in the text.
pub fn parse(name: &str, text: &str) -> Result<Settings, Error> {
    let error = |message: String, at: Option<SourceSpan>| Error::Value {
        message,
        text: NamedSource::new(name, text.to_owned()),
        at,
    };
    let settings: Settings =
        toml::from_str(text).map_err(|e| error(e.message().to_owned(), e.span().map(Into::into)))?;
    match validate(&settings) {
        Some(InvalidKey { key, message }) => Err(error(format!("`{key}` {message}"), find(text, key))),
        None => Ok(settings),
    }
}

struct InvalidKey {
    key: &'static str,
    message: &'static str,
}

fn validate(settings: &Settings) -> Option<InvalidKey> {
    let invalid = |key, message| Some(InvalidKey { key, message });
    if settings.id.is_empty() {
        return invalid("box", "is missing: set a name that is unique among all boxes");
    }
    if settings.hall.is_empty() {
        return invalid("hall", "is missing: set the name of the data hall");
    }
    if settings.platform.port() == 0 {
        return invalid("platform", "is missing: set the address of the platform service");
    }
    if settings.peer_secret.is_empty() {
        return invalid("peer_secret", "is missing: set the same secret on all boxes");
    }
    if !settings.admin_key.is_empty() && key::Digest::parse(&settings.admin_key).is_none() {
        return invalid("admin_key", "must be `sha256:` followed by 64 hex digits");
    }
    if settings.probe_ms == 0 || settings.report_ms == 0 {
        return invalid("probe_ms", "and `report_ms` must be greater than 0");
    }
    if settings.ring < 16 {
        return invalid("ring", "must be at least 16");
    }
    if settings.workers == 0 {
        return invalid("workers", "must be at least 1");
    }
    None
}

fn find(text: &str, key: &str) -> Option<SourceSpan> {
    let at = text.find(key)?;
    Some((at, key.len()).into())
}
