//! One attempt to send a request to an upstream, up to the head of the response.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use jb_policy::Moment;
use jb_policy::poison::Fingerprint;
use jb_protocol::id;
use tokio::io::AsyncReadExt as _;

use crate::admission::AdmittedRequest;
use crate::core::{Core, Shared};
use crate::detour;
use crate::http::{
    self, BodyDecoder, Connection, Framing, RequestHead, ResponseHead, Step, write_request_head,
};
use crate::open_request::OpenRequest;
use crate::peers::Permit;
use crate::pool::{self, PooledConnection};
use crate::port::Entry;
use crate::signal::{self, ParsedHead};
use crate::upstream::Instance;
use crate::{salt, unknown_signals};

/// Upper bound on a response head.
pub const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Responses to earlier requests that are skipped before the one to this request.
const MAX_SKIPPED_RESPONSES: u32 = 4;
/// Upper bound on the body of a skipped response.
const MAX_SKIPPED_BODY_BYTES: usize = 256 * 1024;
/// Part of the remaining time that is reserved for the way of the response back to the caller.
const RETURN_LATENCY: Duration = Duration::from_millis(5);

/// Result of an attempt.
pub enum AttemptOutcome {
    /// Nothing was sent, as there is no connection.
    Unsent(pool::Error),
    /// Nothing was sent, as the upstream has begun to drain, back off or limit its rate since it was selected.
    Withdrawn,
    /// The upstream rejected the request without executing it; the status.
    NotRun(u16),
    /// The request may have been executed, and there is no usable response; the reason.
    Failed(String),
    /// The upstream's response.
    Answered(Box<Reply>),
}

/// A response head with the connection from which the body is read.
pub struct Reply {
    /// Response head.
    pub answer: ResponseHead,
    /// State of the body's decoder.
    pub body: BodyDecoder,
    /// Connection that the body is read from.
    pub connection: Connection,
    /// Pool that the connection returns to after the body; `None` if it must not be used again.
    pub pool: Option<PoolSlot>,
}

impl Reply {
    /// Returns whether its status is one of success.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.answer.status)
    }

    /// Returns whether this is the response of an upstream as it was made: signed, and not encoded on the way.
    pub fn is_genuine(&self, core: &Core) -> bool {
        let headers = &self.answer.headers;
        headers.get(core.header_names.signature).is_some() && headers.get("content-encoding").is_none()
    }
}

/// Place of a connection in the pool of an upstream.
pub struct PoolSlot {
    /// Upstream that the connection leads to.
    pub upstream: Instance,
    /// Idle time after which the upstream closes the connection, if it states one.
    pub keep_alive_timeout: Option<Duration>,
}

/// A request with its body, which can be sent several times.
pub struct Message<'a> {
    /// Request head from the caller.
    pub head: &'a RequestHead,
    /// Whole request body.
    pub body: &'a Bytes,
    /// Properties determined at admission.
    pub request: &'a AdmittedRequest,
    /// The request among those that are open at this box.
    pub open: &'a OpenRequest<'a>,
    /// Last event that the caller has received; set when a stream is resumed.
    pub last_event: Option<u64>,
    /// Software version that began the stream, and has to go on with it; `None` if it has not begun.
    pub software: Option<id::SoftwareVersion>,
    /// Engine or cache store from which the engine loads segments that it hasn't cached.
    pub kv_source: Option<SocketAddr>,
    /// Cache store to which the engine writes the prompt's segments after prefill.
    pub kv_target: Option<SocketAddr>,
}

impl Message<'_> {
    /// Returns the framing of the body on the way to an upstream; `None` for a request without a body.
    pub fn framing(&self) -> Option<Framing> {
        let is_bodiless = self.body.is_empty() && self.head.framing == Framing::Length(0);
        let is_stated = self.head.headers.get("content-length").is_some();
        (!is_bodiless || is_stated).then(|| Framing::Length(self.body.len() as u64))
    }

    /// Returns the hash of the content, which is the same on other boxes and for the caller's retries.
    pub fn fingerprint(&self) -> Fingerprint {
        let host = self.head.headers.get("host").unwrap_or_default();
        let caller = self.request.customer.as_deref().unwrap_or_default();
        Fingerprint::new(caller, &[host, &self.head.target], self.body)
    }
}

/// Sends a request and waits for the head of the response.
pub async fn send(
    core: &Shared,
    instance: &Instance,
    message: &Message<'_>,
    permit: Permit,
) -> AttemptOutcome {
    let entry = core
        .upstreams
        .borrow()
        .instance(instance)
        .map(|upstream| upstream.entry.clone());
    let Some(entry) = entry else {
        return AttemptOutcome::Unsent(pool::Error::Gone);
    };
    let once = !message.request.route.is_retryable();
    let mut pooled = match pool::checkout(core, instance, once).await {
        Ok(pooled) => pooled,
        Err(why) => {
            note_connect_timeout(core, &entry, instance, &why);
            return AttemptOutcome::Unsent(why);
        }
    };
    if !core.accepts_requests(instance, permit) {
        pool::put_back(core, pooled.connection, &pooled.upstream, None);
        return AttemptOutcome::Withdrawn;
    }
    let time_left = message
        .request
        .deadline
        .saturating_sub(core.now() + RETURN_LATENCY);
    let head = head(core, &instance.id, &entry, message, time_left);
    let mut reusable = true;
    let sent = core.now();
    message.open.note_sent(&instance.id, time_left);
    match write_request(&mut pooled, &head, message.body, &mut reusable).await {
        Ok(()) => {}
        Err(why) => return AttemptOutcome::Failed(why.to_string()),
    }
    match read_response(core, instance, &mut pooled, message.request, sent, &mut reusable).await {
        Ok((answer, head)) => {
            if entry.hall != core.settings.hall {
                core.hall_reachability
                    .borrow_mut()
                    .note_answer(&entry.hall, core.now());
            }
            classify(core, answer, &head, pooled, reusable).await
        }
        Err(why) => AttemptOutcome::Failed(why.to_string()),
    }
}

/// Records a timed-out connection to another data hall. A refused connection shows that the hall is reachable.
fn note_connect_timeout(core: &Core, entry: &Entry, instance: &Instance, why: &pool::Error) {
    if entry.hall != core.settings.hall && matches!(why, pool::Error::TimedOut(_)) {
        core.hall_reachability
            .borrow_mut()
            .note_timeout(&entry.hall, instance.name_hash(), core.now());
    }
}

/// Builds the request head for the upstream, which has the time that is left.
fn head(core: &Core, instance: &str, entry: &Entry, message: &Message<'_>, time_left: Duration) -> BytesMut {
    let names = &core.header_names;
    let request = message.request;
    let left = time_left.as_millis().to_string();
    let urgency = request.urgency.to_string();
    let last = message.last_event.map(|last| last.to_string());
    let mut added: Vec<(&[u8], &[u8])> = vec![
        (names.deadline.as_bytes(), left.as_bytes()),
        (names.expected_instance.as_bytes(), instance.as_bytes()),
    ];
    if let Some(customer) = &request.customer {
        added.push((names.customer.as_bytes(), customer.as_bytes()));
    }
    // The engine rejects the request if it has another version of the weights.
    let weights = entry.weights(request.model.as_deref().unwrap_or_default());
    let version = weights.map(|version| version.to_string());
    let salt = salt::encode(&request.cache_salt, weights);
    let source = message.kv_source.map(|source| source.to_string());
    let store = message.kv_target.map(|store| store.to_string());
    if let Some(version) = &version {
        added.push((names.expected_weights.as_bytes(), version.as_bytes()));
        added.push((names.cache_salt.as_bytes(), salt.as_bytes()));
        added.push((names.urgency.as_bytes(), urgency.as_bytes()));
        if let Some(source) = &source {
            added.push((names.kv_source.as_bytes(), source.as_bytes()));
        }
        if let Some(store) = &store {
            added.push((names.kv_target.as_bytes(), store.as_bytes()));
        }
    }
    if let Some(last) = &last {
        added.push((names.last_event.as_bytes(), last.as_bytes()));
    }
    let is_replaced = |name: &[u8]| {
        let reserved = names
            .reserved
            .iter()
            .any(|r| name.eq_ignore_ascii_case(r.as_bytes()));
        reserved
            || name.eq_ignore_ascii_case(names.deadline.as_bytes())
            || name.eq_ignore_ascii_case(detour::SOFTWARE_HEADER.as_bytes())
            || (last.is_some() && name.eq_ignore_ascii_case(names.last_event.as_bytes()))
    };
    let passed = message
        .head
        .headers
        .end_to_end()
        .filter(|h| !is_replaced(&h.name));
    let lines = passed.map(|h| (h.name.as_ref(), h.value.as_ref())).chain(added);
    let mut out = BytesMut::with_capacity(1024);
    write_request_head(
        &mut out,
        &message.head.method,
        &message.head.target,
        lines,
        message.framing(),
    );
    out
}

/// Writes the request; stops early if the upstream answers before it has read all of it.
async fn write_request(
    pooled: &mut PooledConnection,
    head: &[u8],
    body: &[u8],
    reusable: &mut bool,
) -> Result<(), http::Error> {
    let (mut read, mut write, buffer) = pooled.connection.split();
    let mut early = [0_u8; 1024];
    tokio::select! {
        biased;
        written = http::write_message(&mut write, head, body) => {
            // The upstream may have answered and closed the connection before it read the whole request.
            *reusable &= written.is_ok();
        }
        got = read.read(&mut early) => {
            *reusable = false;
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
async fn read_response(
    core: &Core,
    instance: &Instance,
    pooled: &mut PooledConnection,
    request: &AdmittedRequest,
    sent: Moment,
    reusable: &mut bool,
) -> Result<(ResponseHead, ParsedHead), http::Error> {
    for _ in 0..MAX_SKIPPED_RESPONSES {
        let answer = pooled.connection.read_response(MAX_HEAD_BYTES).await?;
        core.uplinks.note_data(&request.service, core.now());
        if answer.status < 200 {
            continue;
        }
        let head = signal::parse(&core.header_names, &answer);
        if answer.headers.text(core.header_names.request_id) == Some(request.id.as_str()) {
            unknown_signals::note(core, instance, &answer.headers);
            signal::apply(core, instance, request.model.as_deref(), &head, sent);
            return Ok((answer, head));
        }
        // A late response to an earlier request on this connection.
        signal::apply_late(core, instance, &head);
        *reusable = false;
        if answer.framing == Framing::UntilClose {
            return Err(http::Error::Malformed(
                "response to another request without a length",
            ));
        }
        pooled
            .connection
            .read_body(BodyDecoder::new(answer.framing), MAX_SKIPPED_BODY_BYTES)
            .await?;
    }
    Err(http::Error::Malformed("too many responses to other requests"))
}

async fn classify(
    core: &Shared,
    answer: ResponseHead,
    head: &ParsedHead,
    mut pooled: PooledConnection,
    reusable: bool,
) -> AttemptOutcome {
    let mut body = BodyDecoder::new(answer.framing);
    if !head.not_executed {
        let pool = reusable.then_some(PoolSlot {
            upstream: pooled.upstream,
            keep_alive_timeout: head.keep_alive_timeout,
        });
        return AttemptOutcome::Answered(Box::new(Reply {
            answer,
            body,
            connection: pooled.connection,
            pool,
        }));
    }
    let complete = matches!(body.decode(&mut pooled.connection.buffer), Ok(Step::End))
        || pooled
            .connection
            .read_body(body, MAX_SKIPPED_BODY_BYTES)
            .await
            .is_ok();
    if reusable && complete && answer.keep_alive {
        pool::put_back(core, pooled.connection, &pooled.upstream, head.keep_alive_timeout);
    }
    AttemptOutcome::NotRun(answer.status)
}
