//! One request's story, put together from the logs of several boxes.

use std::fmt;

use jb_protocol::event::{self, Event};
use serde::Serialize;
use serde_json::Value;

/// Events about a box or an upstream that matter to a request under way there.
const AROUND: &[Event] = &[
    event::PLATFORM_LOST,
    event::PLATFORM_FOUND,
    event::HISTORY_GONE,
    event::UPSTREAM_EJECTED,
    event::UPSTREAM_DRAINING,
    event::UPSTREAM_GONE,
    event::BOX_STOPPING,
    event::RULES_IN_FORCE,
];
/// Keys that every line has and that the story shows in its own way.
const COMMON: &[&str] = &["msg", "level", "ts", "box", "hall", "event", "request"];

/// One line of the story.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Line {
    /// Time by the box's clock.
    pub at: String,
    /// Box.
    pub from: String,
    /// Name of the event.
    pub event: String,
    /// Its other fields.
    pub fields: Vec<(String, Value)>,
    /// Whether it is about the request itself, not about what stood around it.
    pub own: bool,
}

/// A request's story.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Story {
    /// Id of the request.
    pub request: String,
    /// Lines in order.
    pub lines: Vec<Line>,
    /// Why it ended as it did.
    pub cause: String,
    /// Lines of the input that are no log lines.
    pub unreadable: usize,
}

/// Puts the story of a request together; `None` when no line names it.
pub fn trace(request: &str, logs: &[String]) -> Option<Story> {
    let mut unreadable = 0;
    let mut all = Vec::new();
    for text in logs
        .iter()
        .flat_map(|log| log.lines())
        .filter(|text| !text.trim().is_empty())
    {
        match read(text, request) {
            Some(line) => all.push(line),
            None => unreadable += 1,
        }
    }
    all.sort_by(|a, b| a.at.cmp(&b.at));
    let own: Vec<&Line> = all.iter().filter(|line| line.own).collect();
    let (first, last) = (own.first()?.at.clone(), own.last()?.at.clone());
    let places = places(&own);
    let matters = |line: &Line| {
        let about = line
            .text("upstream")
            .is_none_or(|upstream| places.contains(&upstream.to_owned()));
        let here = places.contains(&line.from);
        line.own || (line.is_around() && line.at <= last && here && about)
    };
    let mut lines: Vec<Line> = all.iter().filter(|line| matters(line)).cloned().collect();
    // Of what came before the request only the latest state matters.
    let before = lines.iter().filter(|line| line.at < first).count();
    lines.drain(..before.saturating_sub(LINES_BEFORE));
    let cause = cause(&own, &lines);
    Some(Story {
        request: request.to_owned(),
        lines,
        cause,
        unreadable,
    })
}

/// Lines about the surroundings that are shown from before the request.
const LINES_BEFORE: usize = 3;

fn read(text: &str, request: &str) -> Option<Line> {
    // Collectors put a time or a name before the line.
    let object: Value = serde_json::from_str(&text[text.find('{')?..]).ok()?;
    let fields = object.as_object()?;
    let get = |key: &str| fields.get(key).and_then(Value::as_str).map(str::to_owned);
    let other = fields
        .iter()
        .filter(|(key, value)| !COMMON.contains(&key.as_str()) && !value.is_null());
    Some(Line {
        at: get("ts")?,
        from: get("box")?,
        event: get("msg")?,
        own: get("request").as_deref() == Some(request),
        fields: other.map(|(key, value)| (key.clone(), value.clone())).collect(),
    })
}

/// Boxes and upstreams that the request went through.
fn places(own: &[&Line]) -> Vec<String> {
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

    fn is_around(&self) -> bool {
        AROUND.iter().any(|event| event.name == self.event)
    }

    fn is(&self, event: Event) -> bool {
        self.event == event.name
    }
}

/// One sentence on why the request ended as it did.
fn cause(own: &[&Line], lines: &[Line]) -> String {
    let Some(last) = own
        .iter()
        .rev()
        .find(|l| l.is(event::REQUEST_ENDED) || l.is(event::REQUEST_REFUSED))
    else {
        return "the logs end before the request does".to_owned();
    };
    let failed = own.iter().rev().find(|line| line.is(event::ATTEMPT_FAILED));
    let failed = failed.map(|line| {
        let why = line.text("why").unwrap_or("it refused or failed by itself");
        format!(
            "; the last failed attempt was at {}: {why}",
            line.text("upstream").unwrap_or("an upstream")
        )
    });
    let failed = failed.unwrap_or_default();
    if last.is(event::REQUEST_REFUSED) {
        return refusal(last, lines);
    }
    let why = last.text("why").unwrap_or_default();
    match last.text("ending").unwrap_or_default() {
        "answered" => format!(
            "answered with {} after {} ms{failed}",
            show(last, "status"),
            show(last, "ms")
        ),
        "not_run" => format!("refused, and nothing has run: {why}{failed}"),
        "may_have_run" => format!("no answer can be given, and the request may have run: {why}{failed}"),
        "late" => format!("its time was over after {} ms{failed}", show(last, "ms")),
        "broken" => format!("the stream broke off on its way to the caller: {why}{failed}"),
        "caller_gone" => format!("the caller left after {} ms{failed}", show(last, "ms")),
        other => format!("ended as `{other}`: {why}{failed}"),
    }
}

fn refusal(last: &Line, lines: &[Line]) -> String {
    let why = last.text("why").unwrap_or_default();
    let age = last.number("age_ms");
    let lost = lines.iter().rev().find(|line| line.is(event::PLATFORM_LOST));
    match (why, lost) {
        ("stale", Some(lost)) => format!(
            "refused, and nothing has run: the box could not prove its configuration, which was {} ms old; \
             it lost the store at {} ({})",
            age.unwrap_or_default(),
            lost.at,
            lost.text("why").unwrap_or_default()
        ),
        ("stale", None) => format!(
            "refused, and nothing has run: the box could not prove its configuration, which was {} ms old",
            age.unwrap_or_default()
        ),
        ("no_key", _) => format!(
            "refused: no customer holds the key in version {}",
            show(last, "version")
        ),
        ("no_route", _) => format!("refused: version {} has no such route", show(last, "version")),
        (why, _) => format!("refused with {}: {why}", show(last, "status")),
    }
}

fn show(line: &Line, key: &str) -> String {
    let found = line.fields.iter().find(|(name, _)| name == key);
    found.map_or_else(|| "?".to_owned(), |(_, value)| value.to_string())
}

impl fmt::Display for Story {
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
            writeln!(f, "{} lines of the input are no log lines", self.unreadable)?;
        }
        write!(f, "cause: {}", self.cause)
    }
}
