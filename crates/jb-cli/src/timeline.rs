//! Timeline of one request, reconstructed from the logs of several boxes.

use std::fmt;

use jb_protocol::event::{self, Event};
use serde::Serialize;
use serde_json::Value;

/// Events of a box or an upstream that can affect the requests it is handling.
const CONTEXT_EVENTS: &[Event] = &[
    event::PLATFORM_LOST,
    event::PLATFORM_FOUND,
    event::HISTORY_GONE,
    event::UPSTREAM_EJECTED,
    event::UPSTREAM_DRAINING,
    event::UPSTREAM_GONE,
    event::BOX_STOPPING,
    event::RULES_IN_FORCE,
];
/// Keys that every log line has. They are left out of [`Line::fields`].
const COMMON_KEYS: &[&str] = &["msg", "level", "ts", "box", "hall", "event", "request"];

/// One log line of the timeline.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Line {
    /// Time according to the clock of the box.
    pub at: String,
    /// Id of the box.
    pub from: String,
    /// Name of the event.
    pub event: String,
    /// Remaining fields.
    pub fields: Vec<(String, Value)>,
    /// Whether the line belongs to the request itself; otherwise it reports an event of a box or upstream that handled
    /// the request.
    pub own: bool,
}

/// Timeline of a request.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Timeline {
    /// Id of the request.
    pub request: String,
    /// Log lines in order of time.
    pub lines: Vec<Line>,
    /// Sentence on the cause of the outcome.
    pub cause: String,
    /// Number of input lines that are not log records.
    pub unreadable: usize,
}

/// Reconstructs the timeline of a request from the contents of log files. Returns `None` if no line belongs to the
/// request.
pub fn trace(request: &str, logs: &[String]) -> Option<Timeline> {
    let mut unreadable = 0;
    let mut all = Vec::new();
    for text in logs
        .iter()
        .flat_map(|log| log.lines())
        .filter(|text| !text.trim().is_empty())
    {
        match parse_line(text, request) {
            Some(line) => all.push(line),
            None => unreadable += 1,
        }
    }
    all.sort_by(|a, b| a.at.cmp(&b.at));
    let own: Vec<&Line> = all.iter().filter(|line| line.own).collect();
    let (first, last) = (own.first()?.at.clone(), own.last()?.at.clone());
    let visited = visited(&own);
    let is_relevant = |line: &Line| {
        let is_upstream_visited = line
            .text("upstream")
            .is_none_or(|upstream| visited.contains(&upstream.to_owned()));
        let is_box_visited = visited.contains(&line.from);
        line.own || (line.is_context() && line.at <= last && is_box_visited && is_upstream_visited)
    };
    let mut lines: Vec<Line> = all.iter().filter(|line| is_relevant(line)).cloned().collect();
    // Before the request, only the most recent context lines describe the state in which it arrived.
    let before = lines.iter().filter(|line| line.at < first).count();
    lines.drain(..before.saturating_sub(MAX_CONTEXT_LINES_BEFORE));
    let cause = cause(&own, &lines);
    Some(Timeline {
        request: request.to_owned(),
        lines,
        cause,
        unreadable,
    })
}

/// Maximum number of context lines shown from before the request.
const MAX_CONTEXT_LINES_BEFORE: usize = 3;

/// Parses one log line; `None` if it is not a log record.
fn parse_line(text: &str, request: &str) -> Option<Line> {
    // Log collectors may prefix the line with a time or a name.
    let object: Value = serde_json::from_str(&text[text.find('{')?..]).ok()?;
    let fields = object.as_object()?;
    let get = |key: &str| fields.get(key).and_then(Value::as_str).map(str::to_owned);
    let other = fields
        .iter()
        .filter(|(key, value)| !COMMON_KEYS.contains(&key.as_str()) && !value.is_null());
    Some(Line {
        at: get("ts")?,
        from: get("box")?,
        event: get("msg")?,
        own: get("request").as_deref() == Some(request),
        fields: other.map(|(key, value)| (key.clone(), value.clone())).collect(),
    })
}

/// Returns the boxes and upstreams that handled the request.
fn visited(own: &[&Line]) -> Vec<String> {
    let boxes = own.iter().map(|line| line.from.clone());
    let upstreams = own
        .iter()
        .filter_map(|line| line.text("upstream").map(str::to_owned));
    boxes.chain(upstreams).collect()
}

impl Line {
    fn text(&self, key: &str) -> Option<&str> {
        self.fields
            .iter()
            .find(|(name, _)| name == key)
            .and_then(|(_, value)| value.as_str())
    }

    fn number(&self, key: &str) -> Option<u64> {
        self.fields
            .iter()
            .find(|(name, _)| name == key)
            .and_then(|(_, value)| value.as_u64())
    }

    fn is_context(&self) -> bool {
        CONTEXT_EVENTS.iter().any(|event| event.name == self.event)
    }

    fn is(&self, event: Event) -> bool {
        self.event == event.name
    }
}

/// Returns a sentence on the cause of the outcome of the request.
fn cause(own: &[&Line], lines: &[Line]) -> String {
    let Some(last) = own
        .iter()
        .rev()
        .find(|l| l.is(event::REQUEST_ENDED) || l.is(event::REQUEST_REFUSED))
    else {
        return "the logs contain no end of the request".to_owned();
    };
    let failed = own.iter().rev().find(|line| line.is(event::ATTEMPT_FAILED));
    let failed = failed.map(|line| {
        let why = line
            .text("why")
            .unwrap_or("the upstream refused or failed the request");
        format!(
            "; the last failed attempt was at {}: {why}",
            line.text("upstream").unwrap_or("an upstream")
        )
    });
    let failed = failed.unwrap_or_default();
    if last.is(event::REQUEST_REFUSED) {
        return refusal_cause(last, lines);
    }
    let why = last.text("why").unwrap_or_default();
    match last.text("ending").unwrap_or_default() {
        "answered" => format!(
            "answered with {} after {} ms{failed}",
            field_text(last, "status"),
            field_text(last, "ms")
        ),
        "not_run" => format!("refused; nothing has run: {why}{failed}"),
        "may_have_run" => format!("no response available; the request may have run: {why}{failed}"),
        "late" => format!("deadline exceeded after {} ms{failed}", field_text(last, "ms")),
        "broken" => format!("the response stream to the caller broke off: {why}{failed}"),
        "caller_gone" => format!(
            "the caller disconnected after {} ms{failed}",
            field_text(last, "ms")
        ),
        other => format!("ended with outcome `{other}`: {why}{failed}"),
    }
}

/// Returns a sentence on why the box refused the request without an attempt.
fn refusal_cause(last: &Line, lines: &[Line]) -> String {
    let why = last.text("why").unwrap_or_default();
    let age = last.number("age_ms");
    let lost = lines.iter().rev().find(|line| line.is(event::PLATFORM_LOST));
    match (why, lost) {
        ("stale", Some(lost)) => format!(
            "refused; nothing has run: the box could not confirm its configuration, which was {} ms old; \
             it lost the store at {} ({})",
            age.unwrap_or_default(),
            lost.at,
            lost.text("why").unwrap_or_default()
        ),
        ("stale", None) => format!(
            "refused; nothing has run: the box could not confirm its configuration, which was {} ms old",
            age.unwrap_or_default()
        ),
        ("no_key", _) => format!(
            "refused: no customer has this key in configuration version {}",
            field_text(last, "version")
        ),
        ("no_route", _) => format!(
            "refused: configuration version {} has no such route",
            field_text(last, "version")
        ),
        (why, _) => format!("refused with {}: {why}", field_text(last, "status")),
    }
}

/// Returns a field as JSON text, or `?` if the line does not have it.
fn field_text(line: &Line, key: &str) -> String {
    let found = line.fields.iter().find(|(name, _)| name == key);
    found.map_or_else(|| "?".to_owned(), |(_, value)| value.to_string())
}

impl fmt::Display for Timeline {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "request {}", self.request)?;
        for line in &self.lines {
            let mark = if line.own { ' ' } else { '·' };
            write!(f, "{mark} {} {} {}", line.at, line.from, line.event)?;
            for (key, value) in &line.fields {
                write!(f, " {key}={value}")?;
            }
            writeln!(f)?;
        }
        if self.unreadable > 0 {
            writeln!(f, "{} lines of the input are not log records", self.unreadable)?;
        }
        write!(f, "cause: {}", self.cause)
    }
}
