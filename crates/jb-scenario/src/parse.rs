//! Parser of the scenario language: one step per line, `#` starts a comment line.

use miette::{Diagnostic, NamedSource, SourceSpan};
use serde_json::Value;
use thiserror::Error as ThisError;
use winnow::ascii::{dec_uint, space0, space1};
use winnow::combinator::{alt, delimited, eof, opt, preceded, terminated};
use winnow::token::{rest, take_while};
use winnow::{ModalResult as PResult, Parser as _};

use crate::step::{Expectation, Line, Sending, Shape, Step};

/// A line that could not be parsed as a step.
#[derive(Debug, ThisError, Diagnostic)]
#[error("line {number} is no step")]
#[diagnostic(code(scenario::step), help("CONTRIBUTING.md lists the valid steps"))]
pub struct Error {
    number: usize,
    #[source_code]
    text: NamedSource<String>,
    #[label("this line")]
    at: SourceSpan,
}

/// Parses a scenario; `name` is the file name shown in errors.
///
/// # Errors
/// Returns the first line that is not a valid step.
pub fn parse(name: &str, text: &str) -> Result<Vec<Line>, Box<Error>> {
    let mut steps = Vec::new();
    let mut offset = 0;
    for (index, raw) in text.split('\n').enumerate() {
        let number = index + 1;
        let line = raw.trim();
        if !line.is_empty() && !line.starts_with('#') {
            let refuse = |_| {
                Box::new(Error {
                    number,
                    text: NamedSource::new(name, text.to_owned()),
                    at: (offset, raw.len()).into(),
                })
            };
            let step = terminated(step, eof).parse(line).map_err(refuse)?;
            steps.push(Line { number, step });
        }
        offset += raw.len() + 1;
    }
    Ok(steps)
}

fn word(input: &mut &str) -> PResult<String> {
    preceded(space0, take_while(1.., |c: char| !c.is_whitespace()))
        .map(str::to_owned)
        .parse_next(input)
}

fn key<'i>(text: &'static str) -> impl FnMut(&mut &'i str) -> PResult<()> {
    move |input: &mut &'i str| {
        delimited(space0, text, alt((space1.void(), eof.void())))
            .void()
            .parse_next(input)
    }
}

fn text(input: &mut &str) -> PResult<String> {
    preceded(space0, rest).map(str::to_owned).parse_next(input)
}

fn json(input: &mut &str) -> PResult<Value> {
    preceded(space0, rest)
        .try_map(|text: &str| serde_json::from_str(text))
        .parse_next(input)
}

fn json_word(input: &mut &str) -> PResult<Value> {
    word.try_map(|text: String| serde_json::from_str(&text))
        .parse_next(input)
}

fn number(input: &mut &str) -> PResult<u64> {
    preceded(space0, dec_uint).parse_next(input)
}

fn step(input: &mut &str) -> PResult<Step> {
    alt((
        alt((
            preceded(key("proves"), word).map(Step::Proves),
            preceded(key("when"), text).map(Step::When),
            preceded(key("start"), start),
            key("tree").value(Step::Tree),
            preceded(key("send"), send).map(Step::Send),
            preceded(key("resend"), resend),
            preceded(key("await"), awaiting),
            preceded(key("fault"), (word, json)).map(|(name, fault)| Step::Fault { name, fault }),
        )),
        alt((
            preceded(key("list-leaving"), word).map(Step::ListLeaving),
            preceded(key("kill"), word).map(Step::Kill),
            preceded(key("stop"), word).map(Step::Stop),
            preceded(key("freeze"), word).map(Step::Freeze),
            preceded(key("thaw"), word).map(Step::Thaw),
            preceded(key("restart"), word).map(Step::Restart),
            preceded(key("cut"), word).map(Step::Cut),
            preceded(key("heal"), word).map(Step::Heal),
        )),
        alt((
            preceded(key("edit"), edit),
            preceded(key("note"), word).map(Step::Note),
            preceded(key("expect"), expectation).map(Step::Expect),
        )),
    ))
    .parse_next(input)
}

/// Parses the arguments of `start platform`, `start engine NAME in HALL unfenced`,
/// `start plain NAME in HALL` and `start box NAME in HALL linked`; `unfenced` and
/// `linked` are optional.
fn start(input: &mut &str) -> PResult<Step> {
    let what = word.parse_next(input)?;
    if what == "platform" {
        return Ok(Step::StartPlatform);
    }
    let (name, hall) = (terminated(word, key("in")), word).parse_next(input)?;
    let linked = opt(key("linked")).parse_next(input)?.is_some();
    let unfenced = opt(key("unfenced")).parse_next(input)?.is_some();
    match what.as_str() {
        "engine" => Ok(Step::StartEngine { name, hall, unfenced }),
        "plain" => Ok(Step::StartPlain { name, hall }),
        "box" => Ok(Step::StartBox { name, hall, linked }),
        _ => winnow::combinator::fail.parse_next(input),
    }
}

/// Parses the arguments of `send GROUP: 5 streamed as CUSTOMER to BOX`.
fn send(input: &mut &str) -> PResult<Sending> {
    let group = word
        .verify_map(|w| w.strip_suffix(':').map(str::to_owned))
        .parse_next(input)?;
    let count = terminated(number, space1).parse_next(input)?;
    let shape = alt((
        key("whole").value(Shape::Whole),
        key("streamed").value(Shape::Streamed),
        key("once").value(Shape::Once),
    ))
    .parse_next(input)?;
    let customer = preceded(key("as"), word).parse_next(input)?;
    let to = preceded((space1, key("to")), word).parse_next(input)?;
    Ok(Sending {
        group,
        count: usize::try_from(count).unwrap_or(0),
        shape,
        customer,
        to,
    })
}

/// Parses the arguments of `resend GROUP as NEW_GROUP to BOX`.
fn resend(input: &mut &str) -> PResult<Step> {
    let of = word.parse_next(input)?;
    let group = preceded((space1, key("as")), word).parse_next(input)?;
    let to = preceded((space1, key("to")), word).parse_next(input)?;
    Ok(Step::Resend { of, group, to })
}

/// Parses the arguments of `await 3 open`, `await 3 streaming` and `await GROUP`.
fn awaiting(input: &mut &str) -> PResult<Step> {
    alt((
        terminated(number, (space1, "streaming")).map(|count| Step::AwaitStreaming { count }),
        terminated(number, (space1, "open")).map(|count| Step::AwaitOpen { count }),
        word.map(Step::AwaitGroup),
    ))
    .parse_next(input)
}

/// Parses the arguments of `edit BOX PATH KEY from JSON to JSON id ID`; the JSON
/// values must not contain spaces.
fn edit(input: &mut &str) -> PResult<Step> {
    let (name, path, setting) = (word, word, word).parse_next(input)?;
    let from = preceded((space1, key("from")), json_word).parse_next(input)?;
    let to = preceded((space1, key("to")), json_word).parse_next(input)?;
    let id = preceded((space1, key("id")), word).parse_next(input)?;
    Ok(Step::Edit {
        name,
        path,
        key: setting,
        from,
        to,
        id,
    })
}

fn expectation(input: &mut &str) -> PResult<Expectation> {
    alt((
        preceded(key("complete"), word).map(Expectation::Complete),
        preceded(key("refused"), (word, word, word)).map(|(group, kind, outcome)| Expectation::Refused {
            group,
            kind,
            outcome,
        }),
        preceded(key("answered"), word).map(Expectation::Answered),
        preceded(key("uncached"), word).map(Expectation::Uncached),
        preceded(key("cached"), word).map(Expectation::Cached),
        preceded(key("truth"), word).map(Expectation::Truth),
        preceded(key("unchanged"), word).map(Expectation::Unchanged),
        preceded(key("revision"), (word, number)).map(|(name, least)| Expectation::Revision { name, least }),
        preceded(key("setting"), (word, word, word, json)).map(|(name, path, key, value)| {
            Expectation::Setting {
                name,
                path,
                key,
                value,
            }
        }),
        preceded(key("log"), (word, word)).map(|(name, event)| Expectation::Log { name, event }),
        preceded(key("ready"), word).map(Expectation::Ready),
        preceded(key("weights"), (word, word)).map(|(name, weights)| Expectation::Weights { name, weights }),
        preceded(key("serving"), (word, word))
            .map(|(name, customer)| Expectation::Serving { name, customer }),
        preceded(key("ended"), word).map(Expectation::Ended),
        preceded(key("edited"), number).map(|status| Expectation::Edited(u16::try_from(status).unwrap_or(0))),
    ))
    .parse_next(input)
}
