//! Sends a request through another box.

use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use jb_policy::signal;
use jb_protocol::id;
use tokio::time::timeout;

use super::message::{Envelope, FAILURE_HEADER, Failure, SOFTWARE_HEADER, Verdict};
use crate::attempt::{MAX_HEAD_BYTES, Message};
use crate::core::{Core, Shared};
use crate::http::{self, Connection, ResponseHead, write_request_head};
use crate::peers;

/// Time within which a helper has to accept a connection and the request.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(200);
/// Boxes that are asked for one request.
const MAX_ASKED: usize = 4;
/// Header that only the box that admits a request needs.
const CREDENTIALS: &[u8] = b"authorization";

/// A box that has accepted a request of this one.
pub struct Helper {
    /// Its id.
    pub id: id::Box,
    /// Connection for the request.
    pub connection: Connection,
    /// Counts the request as open at the helper.
    pub open: OpenRequest,
}

/// Counts a request as open at a helper until it is dropped.
pub struct OpenRequest {
    core: Shared,
    helper: id::Box,
}

impl OpenRequest {
    fn new(core: &Shared, helper: &str) -> Self {
        core.helpers.begin(helper);
        Self {
            core: Rc::clone(core),
            helper: helper.to_owned(),
        }
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.core.helpers.end(&self.helper);
    }
}

/// Finds a box that accepts a request, one that is stopping only if no other does; `None` if there is none.
pub async fn connect(core: &Shared, envelope: &Envelope) -> Option<Helper> {
    let service = &envelope.service;
    if !core.helpers.claim_search(service, core.now()) {
        return None;
    }
    let mut asked = Vec::new();
    let mut last_resort = None;
    while asked.len() < MAX_ASKED {
        let Some((id, address)) = core.helpers.choose(core, service, &asked) else {
            break;
        };
        // Counted from now on, so that requests that arrive together are spread.
        let open = OpenRequest::new(core, &id);
        let reply = timeout(ACCEPT_TIMEOUT, peers::offer_request(address, envelope)).await;
        match reply {
            Ok(Ok((stream, verdict @ (Verdict::Accepted | Verdict::AcceptedAsLastResort)))) => {
                let helper = Helper {
                    id: id.clone(),
                    connection: Connection::new(stream),
                    open,
                };
                if verdict == Verdict::Accepted {
                    core.helpers.note_result(service, true, core.now());
                    return Some(helper);
                }
                core.helpers.note_verdict(service, &id, verdict, core.now());
                last_resort.get_or_insert(helper);
            }
            Ok(Ok((_, verdict))) => core.helpers.note_verdict(service, &id, verdict, core.now()),
            Ok(Err(_)) => core.helpers.note_refused(service, &id, core.now()),
            Err(_) => core.helpers.note_silent(service, &id, core.now()),
        }
        asked.push(id);
    }
    core.helpers
        .note_result(service, last_resort.is_some(), core.now());
    last_resort
}

/// Sends a request to a helper that has accepted it, and waits for the head of the response.
///
/// # Errors
/// The connection failed, or the response belongs to another request; the request may have been executed.
pub async fn send(
    core: &Shared,
    connection: &mut Connection,
    message: &Message<'_>,
) -> Result<ResponseHead, http::Error> {
    core.metrics.requests_forwarded.inc();
    connection
        .send_message(&head(core, message), message.body)
        .await?;
    let answer = connection.read_response(MAX_HEAD_BYTES).await?;
    if answer.headers.text(core.header_names.request_id) != Some(message.request.id.as_str()) {
        return Err(http::Error::Malformed("response to another request"));
    }
    Ok(answer)
}

/// Builds the request head for the helper: that of the caller, with the last event and the software version if a stream
/// is resumed.
fn head(core: &Core, message: &Message<'_>) -> BytesMut {
    let last_event = message.last_event.map(|last| last.to_string());
    let resumed = last_event
        .as_deref()
        .map(|last| (core.header_names.last_event.as_bytes(), last.as_bytes()));
    let software = message
        .software
        .as_deref()
        .map(|software| (SOFTWARE_HEADER.as_bytes(), software.as_bytes()));
    let is_replaced = |name: &[u8]| {
        let is_last_event = name.eq_ignore_ascii_case(core.header_names.last_event.as_bytes());
        name.eq_ignore_ascii_case(CREDENTIALS)
            || name.eq_ignore_ascii_case(SOFTWARE_HEADER.as_bytes())
            || (resumed.is_some() && is_last_event)
    };
    let passed = message.head.headers.end_to_end();
    let lines = passed
        .filter(|header| !is_replaced(&header.name))
        .map(|header| (header.name.as_ref(), header.value.as_ref()))
        .chain(resumed)
        .chain(software);
    let mut out = BytesMut::with_capacity(1024);
    let (method, target) = (&message.head.method, &message.head.target);
    write_request_head(&mut out, method, target, lines, message.framing());
    out
}

/// Returns why a helper delivers no upstream's response, and when the caller may retry; `None` if it delivers one.
pub fn failure(answer: &ResponseHead) -> Option<(Failure, Option<Duration>)> {
    let failure = Failure::parse(answer.headers.text(FAILURE_HEADER)?);
    let retry_after = signal::retry_after(answer.status, answer.headers.all("retry-after"));
    Some((failure, retry_after))
}
