//! Settings of one box: what it cannot learn from the tree.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use jb_protocol::id;
use jb_tree::key;
use miette::{Diagnostic, NamedSource, SourceSpan};
use serde::Deserialize;
use thiserror::Error as ThisError;

/// Why the settings of a box were refused.
#[derive(Debug, ThisError, Diagnostic)]
pub enum Error {
    /// The file cannot be read.
    #[error("{path} cannot be read: {message}")]
    #[diagnostic(
        code(settings::file),
        help("give the file with --settings; docs/OPERATORS.md shows one")
    )]
    File {
        /// The file.
        path: String,
        /// Message of the system.
        message: String,
    },
    /// A key is unknown, missing, or has a bad value.
    #[error("the settings cannot be used: {message}")]
    #[diagnostic(
        code(settings::value),
        help("docs/OPERATORS.md lists every key with its type and default")
    )]
    Value {
        /// What is wrong.
        message: String,
        /// The file's text.
        #[source_code]
        text: NamedSource<String>,
        /// Where it is wrong.
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
    /// Data hall in which the box stands.
    pub hall: id::Hall,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for other boxes.
    pub peer_address: SocketAddr,
    /// Address that other boxes connect to, where it differs from `peer_address`.
    pub peer_advertise: Option<SocketAddr>,
    /// Address for operators.
    pub admin_address: SocketAddr,
    /// Address of the platform's service.
    pub platform: SocketAddr,
    /// Peer addresses of boxes to ask first, before the box list is known.
    pub peers: Vec<SocketAddr>,
    /// Address of an OpenTelemetry collector (OTLP over HTTP, JSON).
    pub traces: Option<SocketAddr>,
    /// Secret that boxes show each other.
    pub peer_secret: String,
    /// Hash of the operators' key, `sha256:` and 64 hex digits; none when empty.
    pub admin_key: String,
    /// Seconds that a planned stop waits for open requests.
    pub stop_grace_s: u64,
    /// Milliseconds between two probes of other boxes.
    pub probe_ms: u64,
    /// Milliseconds between two reports, each of another engine.
    pub report_ms: u64,
    /// Messages that one ring holds.
    pub ring: usize,
    /// Threads that serve callers.
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
    /// Time between two probes of other boxes.
    pub fn probe_interval(&self) -> Duration {
        Duration::from_millis(self.probe_ms)
    }

    /// Time between two reports.
    pub fn report_interval(&self) -> Duration {
        Duration::from_millis(self.report_ms)
    }
}

/// Reads and checks a settings file.
///
/// # Errors
/// When it cannot be read, or a key is unknown, missing or bad.
pub fn read(path: &Path) -> Result<Settings, Error> {
    let text = std::fs::read_to_string(path).map_err(|e| Error::File {
        path: path.display().to_string(),
        message: e.to_string(),
    })?;
    parse(&path.display().to_string(), &text)
}

/// Checks the text of a settings file.
///
/// # Errors
/// When a key is unknown, missing or bad; the error points at the place.
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
        return invalid("box", "is missing: give the box a name");
    }
    if settings.hall.is_empty() {
        return invalid("hall", "is missing: name the data hall");
    }
    if settings.platform.port() == 0 {
        return invalid("platform", "is missing: give the address of the platform");
    }
    if settings.peer_secret.is_empty() {
        return invalid("peer_secret", "is missing: give all boxes the same secret");
    }
    if !settings.admin_key.is_empty() && key::Digest::parse(&settings.admin_key).is_none() {
        return invalid("admin_key", "must be `sha256:` and 64 hex digits");
    }
    if settings.probe_ms == 0 || settings.report_ms == 0 {
        return invalid("probe_ms", "and `report_ms` must be above 0");
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
