//! Delivery of an upstream's response to the caller.

use std::future::Future;
use std::time::Duration;

use bytes::{BufMut as _, Bytes, BytesMut};
use jb_policy::Moment;
use jb_protocol::id;
use tokio::time::{Instant, sleep_until};

use crate::admission::AdmittedRequest;
use crate::attempt::{Message, Reply};
use crate::callers::{Hold, Use};
use crate::core::Shared;
use crate::events::{Boundary, EventSplitter, MAX_EVENT_BYTES};
use crate::http::{self, Connection, Framing, ResponseHead, write_response_head};
use crate::pool;
use crate::stall::Stall;

/// Largest response body that is buffered as a whole, so that a response that is cut off never reaches the caller.
const MAX_BUFFERED_BYTES: usize = 512 * 1024;
/// Size of a response up to which the memory of its request includes it, in bytes.
const INCLUDED_BYTES: usize = 8 * 1024;
/// Why a stream is left that sends nothing.
pub const STALLED: &str = "stream stalled";
/// End of a chunked body.
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// Result of a delivery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeliveryOutcome {
    /// The whole response was delivered.
    Complete,
    /// The response was cut off before any of it was delivered; the reason.
    Nothing(&'static str),
    /// The response was cut off after part of it was delivered; the reason.
    Partly(&'static str),
    /// Another upstream has accepted to deliver the rest.
    TakenOver,
    /// The deadline passed.
    Late,
    /// The caller closed the connection.
    CallerGone,
}

/// Next part of a response body, or why there is none.
enum Part {
    Data(Bytes),
    End,
    Broken(&'static str),
    Stalled,
    Late,
    CallerGone,
}

/// Waits for the next part of a body, until the caller closes the connection, the stall timeout or the deadline.
async fn next_part(
    reply: &mut Reply,
    client: &mut Connection,
    left: Duration,
    stall_timeout: Option<Duration>,
) -> Part {
    // Bytes that arrive without a pause must prevent neither.
    if left.is_zero() {
        return Part::Late;
    }
    if stall_timeout.is_some_and(|stall_timeout| stall_timeout.is_zero()) {
        return Part::Stalled;
    }
    let wait = stall_timeout.map_or(left, |stall_timeout| stall_timeout.min(left));
    let until = Instant::now() + wait;
    loop {
        tokio::select! {
            biased;
            part = reply.connection.read_data(&mut reply.body) => return match part {
                Ok(Some(data)) => Part::Data(data),
                Ok(None) => Part::End,
                Err(http::Error::Malformed(why)) => Part::Broken(why),
                Err(_) => Part::Broken("connection closed before the end of the response"),
            },
            () = client.wait_closed() => return Part::CallerGone,
            () = sleep_until(until) => {}
        }
        // If the box itself has stood still, the upstream may have sent all the time.
        if !reply.connection.fill_pending().await {
            return if wait == left { Part::Late } else { Part::Stalled };
        }
    }
}

/// Why a response that ends with its connection is broken although its content may be complete.
const ENDED: &str = "upstream ended together with a response without a length";

/// Returns whether the upstream may have ended together with a response that ends with its connection. The close is then no
/// sign of a complete response: the operating system closes the connections of a process in an orderly way.
async fn has_ended(core: &Shared, reply: &Reply) -> bool {
    if !reply.body.ends_by_close() {
        return false;
    }
    let upstream = reply.pool.as_ref().map(|slot| &slot.upstream);
    match reply.connection.peer_address() {
        Ok(address) => !pool::lives_on(core, upstream, address).await,
        Err(_) => true,
    }
}

/// Builds the head of the response to the caller. What it promises of the connection has to be kept, also if the box is
/// told to stop before the response ends.
fn head(core: &Shared, client: &mut Connection, answer: &ResponseHead, framing: Framing) -> BytesMut {
    client.announce_keep_alive(!core.stop.is_stopping());
    let mut out = BytesMut::with_capacity(1024);
    let lines = answer
        .headers
        .end_to_end()
        .map(|h| (h.name.as_ref(), h.value.as_ref()));
    write_response_head(&mut out, answer.status, lines, framing, client.keeps_alive());
    out
}

fn release(core: &Shared, reply: Reply) {
    if let Some(slot) = reply.pool.filter(|_| reply.answer.keep_alive) {
        pool::put_back(core, reply.connection, &slot.upstream, slot.keep_alive_timeout);
    }
}

/// Buffers a response and delivers it as a whole; one that is too large is forwarded as it arrives. While none of it has
/// been delivered, another upstream may take over.
pub async fn deliver_buffered(
    core: &Shared,
    request: &AdmittedRequest,
    mut reply: Reply,
    client: &mut Connection,
    progress: &mut impl Progress,
) -> DeliveryOutcome {
    let mut body = BytesMut::new();
    let mut held = core.callers.memory.account(Use::Response);
    let mut stall = Stall::new(core, request);
    let stall_timeout = request
        .route
        .is_retryable()
        .then(|| request.route.response_stall_timeout());
    loop {
        let now = core.now();
        let left = request.deadline.saturating_sub(now);
        let stall_left = stall_timeout.map(|timeout| {
            let overdue = stall.give_up_at.saturating_sub(now);
            stall.left(timeout, now).min(overdue)
        });
        match next_part(&mut reply, client, left, stall_left).await {
            Part::Stalled if progress.may_leave(None) => return DeliveryOutcome::Nothing("response stalled"),
            Part::Stalled => {
                // Its end may only be late.
                stall.restart(core.now());
                stall.give_up_at = request.deadline;
            }
            Part::Data(data) if !may_buffer(&mut held, body.len() + data.len()) => {
                body.extend_from_slice(&data);
                return deliver_unbuffered(core, request, reply, client, (body, held)).await;
            }
            Part::Data(data) => {
                body.extend_from_slice(&data);
                stall.restart(core.now());
            }
            // As for a stream without an event.
            Part::End if body.is_empty() && reply.body.ends_by_close() && reply.is_success() => {
                return DeliveryOutcome::Nothing("response without a length ended before its body");
            }
            Part::End if has_ended(core, &reply).await => return DeliveryOutcome::Nothing(ENDED),
            Part::End => break,
            Part::Broken(why) => return DeliveryOutcome::Nothing(why),
            Part::Late => return DeliveryOutcome::Nothing("deadline exceeded"),
            Part::CallerGone => return DeliveryOutcome::CallerGone,
        }
    }
    let mut out = head(core, client, &reply.answer, Framing::Length(body.len() as u64));
    out.put_slice(&body);
    release(core, reply);
    match client.send(&out).await {
        Ok(()) => DeliveryOutcome::Complete,
        Err(_) => DeliveryOutcome::CallerGone,
    }
}

/// Returns whether this much of a response is buffered. A small part is included in the memory of its request.
fn may_buffer(held: &mut Hold, bytes: usize) -> bool {
    // The buffer doubles as it grows, and is copied once to be sent with the head.
    bytes <= INCLUDED_BYTES || (bytes <= MAX_BUFFERED_BYTES && held.grow_to(2 * bytes))
}

/// Forwards a response that is too large to be buffered, of which a first part is, with its memory.
async fn deliver_unbuffered(
    core: &Shared,
    request: &AdmittedRequest,
    mut reply: Reply,
    client: &mut Connection,
    (first, held): (BytesMut, Hold),
) -> DeliveryOutcome {
    let framing = match reply.answer.framing {
        Framing::Length(length) => Framing::Length(length),
        Framing::Chunked | Framing::UntilClose => Framing::Chunked,
    };
    let mut out = head(core, client, &reply.answer, framing);
    put_data(&mut out, framing, &first);
    drop(first);
    drop(held);
    loop {
        if client.send(&out).await.is_err() {
            return DeliveryOutcome::CallerGone;
        }
        // Keeps no buffer of the size of the first part.
        out = BytesMut::new();
        let left = request.deadline.saturating_sub(core.now());
        match next_part(&mut reply, client, left, None).await {
            Part::Data(data) => put_data(&mut out, framing, &data),
            Part::End if has_ended(core, &reply).await => return DeliveryOutcome::Partly(ENDED),
            Part::End => break,
            Part::Broken(why) => return DeliveryOutcome::Partly(why),
            Part::Stalled | Part::Late => return DeliveryOutcome::Late,
            Part::CallerGone => return DeliveryOutcome::CallerGone,
        }
    }
    if framing == Framing::Chunked && client.send(LAST_CHUNK).await.is_err() {
        return DeliveryOutcome::CallerGone;
    }
    release(core, reply);
    DeliveryOutcome::Complete
}

fn put_data(out: &mut BytesMut, framing: Framing, data: &[u8]) {
    if framing != Framing::Chunked {
        out.put_slice(data);
        return;
    }
    out.put_slice(format!("{:x}\r\n", data.len()).as_bytes());
    out.put_slice(data);
    out.put_slice(b"\r\n");
}

/// Timing of a stream's events as the caller sees them, and how its last response ended.
#[derive(Clone, Copy, Debug, Default)]
pub struct StreamTiming {
    /// Time from the request to the first event.
    pub first: Option<Duration>,
    /// Longest gap between two events.
    pub pause: Duration,
    /// Whether the bytes received last end between two events.
    pub boundary: Boundary,
    last: Moment,
}

impl StreamTiming {
    fn event(&mut self, core: &Shared, request: &AdmittedRequest) {
        let now = core.now();
        if self.first.is_none() {
            let first = now.saturating_sub(request.arrived_at);
            core.metrics.first_byte.observe(first.as_secs_f64());
            self.first = Some(first);
        } else {
            self.pause = self.pause.max(now.saturating_sub(self.last));
        }
        self.last = now;
    }
}

/// What the delivery of a stream changes beside the caller's connection.
pub trait Progress {
    /// Called for each part of the response that arrives.
    fn received(&mut self) {}

    /// Called before the first event is sent to the caller. Returns the software version that has to go on with the
    /// stream; `None` if it is unknown.
    fn begins(&mut self) -> Option<id::SoftwareVersion> {
        None
    }

    /// Returns whether one that has stalled is left, and another upstream is selected then: it resumes the stream, with the
    /// software version that began it, or runs the request.
    fn may_leave(&mut self, _software: Option<&str>) -> bool {
        false
    }

    /// Returns whether this box reaches upstreams itself.
    fn reaches_upstreams(&self) -> bool {
        true
    }

    /// Begins to search for another upstream that continues after the last event, with the software version that began the
    /// stream, if one may.
    fn seek(&mut self, _last_event: Option<u64>, _software: Option<&str>) {}

    /// Returns whether a search is under way.
    fn is_seeking(&self) -> bool {
        false
    }

    /// Waits until the search has ended, and returns whether another upstream has taken over; for ever without a search.
    fn wait_taken_over(&mut self) -> impl Future<Output = bool> {
        std::future::pending()
    }
}

/// Delivers a stream; a resumable one in whole events only.
pub async fn deliver_stream(
    core: &Shared,
    message: &mut Message<'_>,
    mut reply: Reply,
    client: &mut Connection,
    pace: &mut StreamTiming,
    progress: &mut impl Progress,
) -> DeliveryOutcome {
    let request = message.request;
    let ends_by_close = reply.body.ends_by_close();
    // A response that has reached its stated length is complete, whatever its content.
    let has_length = matches!(reply.answer.framing, Framing::Length(_));
    // A stated length is passed on, as it shows the caller and a box that this one helps where the response ends. A
    // resumable stream may end at another upstream.
    let framing = match reply.answer.framing {
        Framing::Length(length) if !request.route.resumable => Framing::Length(length),
        _ => Framing::Chunked,
    };
    let mut arrival = Arrival::new(request.route.resumable, framing);
    pace.boundary = Boundary::default();
    // The head is sent with the first event; for a resumed stream it has already been sent.
    let mut out = match message.last_event {
        Some(_) => BytesMut::new(),
        None => head(core, client, &reply.answer, framing),
    };
    let mut has_started = message.last_event.is_some();
    let mut stall = Stall::new(core, request);
    loop {
        let now = core.now();
        let left = request.deadline.saturating_sub(now);
        let stall_timeout = match (request.route.resumable, has_started) {
            (true, true) => Some(request.route.stream_stall_timeout()),
            // An engine sends nothing while it prefills.
            (true, false) if arrival.idle_bytes > 0 => Some(request.route.response_stall_timeout()),
            _ => None,
        };
        let stall_left = stall_timeout.map(|timeout| stall.left(timeout, now));
        let part = tokio::select! {
            biased;
            is_taken_over = progress.wait_taken_over() => {
                if is_taken_over {
                    return DeliveryOutcome::TakenOver;
                }
                stall.restart(core.now());
                continue;
            }
            part = next_part(&mut reply, client, left, stall_left) => part,
        };
        match part {
            Part::Data(data) => {
                progress.received();
                pace.boundary.push(&data);
                let is_progress = match arrival.push(&data, message, &mut out) {
                    Ok(is_progress) => is_progress,
                    Err(why) => return cut_off(has_started, why),
                };
                if is_progress {
                    stall.restart(core.now());
                }
                // Without an event nothing is sent, so that another upstream can still begin the stream.
                if out.is_empty() || !(has_started || is_progress) {
                    continue;
                }
                if is_progress {
                    pace.event(core, request);
                }
                if !has_started {
                    message.software = progress.begins().or(message.software.take());
                }
                has_started = true;
                if client.send(&out).await.is_err() {
                    return DeliveryOutcome::CallerGone;
                }
                out.clear();
            }
            Part::End if !arrival.events.is_empty() || (!has_length && pace.boundary.is_within_event()) => {
                return cut_off(has_started, "stream ended within an event");
            }
            // Nothing distinguishes the close of a connection before any event from a crash.
            Part::End if ends_by_close && !arrival.has_event => {
                return cut_off(
                    has_started,
                    "stream without a length ended before its first event",
                );
            }
            Part::End if has_ended(core, &reply).await => return cut_off(has_started, ENDED),
            Part::End => break,
            Part::Broken(why) if !progress.is_seeking() => return cut_off(has_started, why),
            Part::Broken(why) => return wait_taken_over(client, progress, has_started, why).await,
            // Another box has to be asked, which can't be done beside.
            Part::Stalled
                if !progress.reaches_upstreams() && progress.may_leave(message.software.as_deref()) =>
            {
                return cut_off(has_started, STALLED);
            }
            Part::Stalled if !has_started && core.now() >= stall.give_up_at => {
                return DeliveryOutcome::Nothing("no event in the response");
            }
            // A stall alone doesn't end a stream, as its events may only be late.
            Part::Stalled => {
                progress.seek(message.last_event, message.software.as_deref());
                stall.restart(core.now());
            }
            Part::Late if has_started => return DeliveryOutcome::Late,
            Part::Late => return DeliveryOutcome::Nothing("deadline exceeded"),
            Part::CallerGone => return DeliveryOutcome::CallerGone,
        }
    }
    if framing == Framing::Chunked {
        out.put_slice(LAST_CHUNK);
    }
    release(core, reply);
    match client.send(&out).await {
        Ok(()) => DeliveryOutcome::Complete,
        Err(_) => DeliveryOutcome::CallerGone,
    }
}

/// Waits for the search that is under way while its upstream has broken off.
async fn wait_taken_over(
    client: &mut Connection,
    progress: &mut impl Progress,
    has_started: bool,
    why: &'static str,
) -> DeliveryOutcome {
    tokio::select! {
        is_taken_over = progress.wait_taken_over() => if is_taken_over {
            DeliveryOutcome::TakenOver
        } else {
            cut_off(has_started, why)
        },
        () = client.wait_closed() => DeliveryOutcome::CallerGone,
    }
}

fn cut_off(has_started: bool, why: &'static str) -> DeliveryOutcome {
    if has_started {
        DeliveryOutcome::Partly(why)
    } else {
        DeliveryOutcome::Nothing(why)
    }
}

/// What has arrived of a stream's response.
struct Arrival {
    resumable: bool,
    framing: Framing,
    /// Bytes of an incomplete event, if the stream is resumable; others are passed on as they are.
    events: EventSplitter,
    /// Bytes since the last event.
    idle_bytes: usize,
    /// Whether an event has arrived.
    has_event: bool,
}

impl Arrival {
    fn new(resumable: bool, framing: Framing) -> Self {
        Self {
            resumable,
            framing,
            events: EventSplitter::default(),
            idle_bytes: 0,
            has_event: false,
        }
    }

    /// Appends to the output what can be passed on of a part of the body, and returns whether it completes an event.
    fn push(
        &mut self,
        data: &[u8],
        message: &mut Message<'_>,
        out: &mut BytesMut,
    ) -> Result<bool, &'static str> {
        let is_progress = if self.resumable {
            self.events.push(data);
            if self.events.exceeds_limit() {
                return Err("event exceeds the size limit");
            }
            forward_events(&mut self.events, message, out)?
        } else {
            put_data(out, self.framing, data);
            true
        };
        self.has_event |= is_progress;
        self.idle_bytes = if is_progress {
            0
        } else {
            self.idle_bytes + data.len()
        };
        if self.idle_bytes > MAX_EVENT_BYTES {
            return Err("no event within the size limit");
        }
        Ok(is_progress)
    }
}

/// Appends the complete events to the output, each once and in order, and returns whether any has content. After a
/// resume, the new upstream may send events again that the caller already has.
fn forward_events(
    events: &mut EventSplitter,
    message: &mut Message<'_>,
    out: &mut BytesMut,
) -> Result<bool, &'static str> {
    let mut has_content = false;
    while let Some(event) = events.next_event() {
        has_content |= event.has_content;
        if let Some(id) = event.id {
            let expected = message.last_event.map(|last| last + 1);
            if expected.is_some_and(|expected| id < expected) {
                continue;
            }
            if expected.is_some_and(|expected| id > expected) {
                return Err("event missing from the resumed stream");
            }
            message.last_event = Some(id);
        }
        put_data(out, Framing::Chunked, &event.bytes);
    }
    Ok(has_content)
}
