//! One send of a request to one upstream, up to the head of its answer.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use jb_policy::Moment;
use jb_policy::poison::Fingerprint;

use crate::admission::AdmittedRequest;
use crate::core::{Core, Shared};
use crate::http::{self, BodyDecoder, Framing, RequestHead, ResponseHead, Step, write_request_head};
use crate::link::{self, Link};
use crate::peers::Permit;
use crate::port::Entry;
use crate::signal::{self, Head};
use crate::upstream::Instance;
use crate::{salt, unknown_signals};

/// Largest response head, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Responses to other requests that are skipped before the own one.
const MAX_FOREIGN: u32 = 4;
/// Largest response to another request that is skipped, in bytes.
const MAX_FOREIGN_BYTES: usize = 256 * 1024;
/// Part of the remaining time that is reserved for the way of the response back.
const RETURN_LATENCY: Duration = Duration::from_millis(5);

/// What a send came to.
pub enum Outcome {
    /// Nothing was sent.
    Unsent(String),
    /// Nothing was sent, as the upstream drains, backs off or is limited by now.
    Withdrawn,
    /// The upstream hasn't run the request.
    NotRun(u16),
    /// The request may have run; nothing of an answer can be used.
    Failed(String),
    /// An answer of the upstream to this request.
    Answered(Box<Reply>),
}

/// An answer with the connection that its body comes on.
pub struct Reply {
    /// Head.
    pub answer: ResponseHead,
    /// Body.
    pub body: BodyDecoder,
    /// Connection.
    pub link: Link,
    /// Whether the connection may be reused afterwards.
    pub clean: bool,
    /// Idle time after which the upstream closes the connection.
    pub closes_after: Option<Duration>,
}

/// A request with its body, ready to be sent as often as it takes.
pub struct Message<'a> {
    /// Head.
    pub query: &'a RequestHead,
    /// Body.
    pub body: &'a Bytes,
    /// Its facts.
    pub request: &'a AdmittedRequest,
    /// Last event that the caller has, where a stream goes on.
    pub last_event: Option<u64>,
    /// Where the engine takes parts of the prompt from that it lacks.
    pub source: Option<SocketAddr>,
    /// Store that the engine sends the prompt's parts to once they are read.
    pub store: Option<SocketAddr>,
}

impl Message<'_> {
    /// What it asks, as other boxes and later tries of its caller name it.
    pub fn content(&self) -> Fingerprint {
        let host = self.query.headers.get("host").unwrap_or_default();
        let caller = self.request.customer.as_deref().unwrap_or_default();
        Fingerprint::new(caller, &[host, &self.query.target], self.body)
    }
}

/// Sends a request and waits for the head of its answer.
pub async fn send(core: &Shared, instance: &Instance, message: &Message<'_>, permit: Permit) -> Outcome {
    let entry = core
        .upstreams
        .borrow()
        .instance(instance)
        .map(|upstream| upstream.entry.clone());
    let Some(entry) = entry else {
        return Outcome::Unsent("the upstream has gone".to_owned());
    };
    let once = !message.request.route.is_retryable();
    let mut link = match link::take(core, instance, once).await {
        Ok(link) => link,
        Err(why) => {
            note_unreached(core, &entry, instance, &why);
            return Outcome::Unsent(why.to_string());
        }
    };
    if !core.takes_requests(instance, permit) {
        link::give(core, link, None);
        return Outcome::Withdrawn;
    }
    let head = head(core, &instance.id, &entry, message);
    let mut clean = true;
    let sent = core.now();
    match exchange(&mut link, &head, message.body, &mut clean).await {
        Ok(()) => {}
        Err(why) => return Outcome::Failed(why.to_string()),
    }
    match own_answer(core, instance, &mut link, message.request, sent, &mut clean).await {
        Ok((answer, head)) => {
            if entry.hall != core.settings.hall {
                core.reach.borrow_mut().note_answer(&entry.hall, core.now());
            }
            judge(core, answer, &head, link, clean).await
        }
        Err(why) => Outcome::Failed(why.to_string()),
    }
}

/// Notes a connection to another data hall that timed out. A refused one shows that the hall is reachable.
fn note_unreached(core: &Core, entry: &Entry, instance: &Instance, why: &link::Error) {
    if entry.hall != core.settings.hall && matches!(why, link::Error::Silent(_)) {
        core.reach
            .borrow_mut()
            .note_timeout(&entry.hall, instance.name_hash(), core.now());
    }
}

/// The head as the upstream gets it.
fn head(core: &Core, instance: &str, entry: &Entry, message: &Message<'_>) -> BytesMut {
    let names = &core.names;
    let request = message.request;
    let left = request
        .until
        .saturating_sub(core.now() + RETURN_LATENCY)
        .as_millis()
        .to_string();
    let urgency = request.urgency.to_string();
    let last = message.last_event.map(|last| last.to_string());
    let mut own: Vec<(&[u8], &[u8])> = vec![
        (names.deadline.as_bytes(), left.as_bytes()),
        (names.incarnation.as_bytes(), instance.as_bytes()),
    ];
    if let Some(customer) = &request.customer {
        own.push((names.customer.as_bytes(), customer.as_bytes()));
    }
    // The engine confirms the version.
    let weights = entry.weights(request.model.as_deref().unwrap_or_default());
    let version = weights.map(|version| version.to_string());
    let salt = salt::encode(&request.salt, weights);
    let source = message.source.map(|source| source.to_string());
    let store = message.store.map(|store| store.to_string());
    if let Some(version) = &version {
        own.push((names.weights.as_bytes(), version.as_bytes()));
        own.push((names.salt.as_bytes(), salt.as_bytes()));
        own.push((names.urgency.as_bytes(), urgency.as_bytes()));
        if let Some(source) = &source {
            own.push((names.import.as_bytes(), source.as_bytes()));
        }
        if let Some(store) = &store {
            own.push((names.export.as_bytes(), store.as_bytes()));
        }
    }
    if let Some(last) = &last {
        own.push((names.last_event.as_bytes(), last.as_bytes()));
    }
    let replaced = |name: &[u8]| {
        let reserved = names
            .reserved
            .iter()
            .any(|r| name.eq_ignore_ascii_case(r.as_bytes()));
        reserved
            || name.eq_ignore_ascii_case(names.deadline.as_bytes())
            || (last.is_some() && name.eq_ignore_ascii_case(names.last_event.as_bytes()))
    };
    let passed = message.query.headers.end_to_end().filter(|h| !replaced(&h.name));
    let lines = passed.map(|h| (h.name.as_ref(), h.value.as_ref())).chain(own);
    let bodiless = message.body.is_empty() && message.query.framing == Framing::Length(0);
    let stated = message.query.headers.get("content-length").is_some();
    let framing = (!bodiless || stated).then(|| Framing::Length(message.body.len() as u64));
    let mut out = BytesMut::with_capacity(1024);
    write_request_head(
        &mut out,
        &message.query.method,
        &message.query.target,
        lines,
        framing,
    );
    out
}

/// Writes the request; stops early when the upstream answers before it has read all.
async fn exchange(link: &mut Link, head: &[u8], body: &[u8], clean: &mut bool) -> Result<(), http::Error> {
    use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
    let (mut read, mut write, buffer) = link.connection.split();
    let whole = [head, body].concat();
    let mut early = [0_u8; 1024];
    tokio::select! {
        biased;
        written = write.write_all(&whole) => {
            // An upstream may have answered and closed before it read all.
            *clean &= written.is_ok();
        }
        got = read.read(&mut early) => {
            *clean = false;
            let got = got?;
            if got == 0 {
                return Err(http::Error::Truncated);
            }
            buffer.extend_from_slice(&early[..got]);
        }
    }
    Ok(())
}

/// Reads responses until the one to this request arrives, and applies the head of each.
async fn own_answer(
    core: &Core,
    instance: &Instance,
    link: &mut Link,
    request: &AdmittedRequest,
    sent: Moment,
    clean: &mut bool,
) -> Result<(ResponseHead, Head), http::Error> {
    for _ in 0..MAX_FOREIGN {
        let answer = link.connection.read_response(MAX_HEAD_BYTES).await?;
        if answer.status < 200 {
            continue;
        }
        let head = signal::read(&core.names, &answer);
        if answer.headers.text(core.names.request) == Some(request.id.as_str()) {
            unknown_signals::note(core, instance, &answer.headers);
            signal::apply(core, instance, request.model.as_deref(), &head, sent);
            return Ok((answer, head));
        }
        // An extra answer to an earlier request on this connection.
        signal::apply_late(core, instance, &head);
        *clean = false;
        if answer.framing == Framing::UntilClose {
            return Err(http::Error::Malformed("an answer to another request"));
        }
        link.connection
            .read_body(BodyDecoder::new(answer.framing), MAX_FOREIGN_BYTES)
            .await?;
    }
    Err(http::Error::Malformed("too many answers to other requests"))
}

async fn judge(core: &Shared, answer: ResponseHead, head: &Head, mut link: Link, clean: bool) -> Outcome {
    let mut body = BodyDecoder::new(answer.framing);
    if !head.not_run {
        return Outcome::Answered(Box::new(Reply {
            answer,
            body,
            link,
            clean,
            closes_after: head.closes_after,
        }));
    }
    let complete = matches!(body.decode(&mut link.connection.buffer), Ok(Step::End))
        || link.connection.read_body(body, MAX_FOREIGN_BYTES).await.is_ok();
    if clean && complete && answer.keep_alive {
        link::give(core, link, head.closes_after);
    }
    Outcome::NotRun(answer.status)
}
