//! Delivery of an upstream's answer to the caller.

use std::time::Duration;

use bytes::{BufMut as _, Bytes, BytesMut};
use jb_policy::Moment;
use tokio::time::sleep;

use crate::admission::AdmittedRequest;
use crate::attempt::{Message, Reply};
use crate::core::Shared;
use crate::events::EventSplitter;
use crate::http::{self, Answer, Connection, Framing, write_answer};
use crate::pool;

/// Longest answer that is held whole, so that one that breaks off never reaches the caller.
const LONGEST_WHOLE: usize = 512 * 1024;
/// The last chunk of a chunked body.
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// How a delivery ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeliveryOutcome {
    /// The caller has all of it.
    Complete,
    /// The answer broke off before a byte of it was passed on.
    Nothing(&'static str),
    /// The answer broke off after a part of it was passed on.
    Partly(&'static str),
    /// The time was over.
    Late,
    /// The caller has gone.
    CallerGone,
}

/// What an upstream gave next.
enum Part {
    Data(Bytes),
    End,
    Broken(&'static str),
    Silent,
    Late,
    CallerGone,
}

/// Waits for the next part of a body, for the caller's close, and for the time.
async fn next(reply: &mut Reply, client: &mut Connection, left: Duration, silence: Option<Duration>) -> Part {
    let wait = silence.map_or(left, |silence| silence.min(left));
    tokio::select! {
        part = reply.pooled.connection.part(&mut reply.body) => match part {
            Ok(Some(data)) => Part::Data(data),
            Ok(None) => Part::End,
            Err(http::Error::Malformed(why)) => Part::Broken(why),
            Err(_) => Part::Broken("the connection ended within the answer"),
        },
        () = client.closed() => Part::CallerGone,
        () = sleep(wait) => if wait == left { Part::Late } else { Part::Silent },
    }
}

fn head(core: &Shared, answer: &Answer, framing: Framing) -> BytesMut {
    let mut out = BytesMut::with_capacity(1024);
    let lines = answer
        .headers
        .end_to_end()
        .map(|h| (h.name.as_ref(), h.value.as_ref()));
    write_answer(&mut out, answer.status, lines, framing, !core.stop.is_stopping());
    out
}

fn release(core: &Shared, reply: Reply) {
    if reply.reusable && reply.answer.keep_alive {
        pool::put_back(core, reply.pooled, reply.keep_alive_timeout);
    }
}

/// Delivers an answer that fits into memory in one piece.
pub async fn whole(
    core: &Shared,
    request: &AdmittedRequest,
    mut reply: Reply,
    client: &mut Connection,
) -> DeliveryOutcome {
    let mut body = BytesMut::new();
    loop {
        let left = request.deadline.saturating_sub(core.now());
        match next(&mut reply, client, left, None).await {
            Part::Data(data) if body.len() + data.len() > LONGEST_WHOLE => {
                body.extend_from_slice(&data);
                return long(core, request, reply, client, body).await;
            }
            Part::Data(data) => body.extend_from_slice(&data),
            Part::End => break,
            Part::Broken(why) => return DeliveryOutcome::Nothing(why),
            Part::Silent | Part::Late => return DeliveryOutcome::Nothing("the time is over"),
            Part::CallerGone => return DeliveryOutcome::CallerGone,
        }
    }
    let mut out = head(core, &reply.answer, Framing::Length(body.len() as u64));
    out.put_slice(&body);
    release(core, reply);
    match client.send(&out).await {
        Ok(()) => DeliveryOutcome::Complete,
        Err(_) => DeliveryOutcome::CallerGone,
    }
}

/// Passes on an answer that is too long to be held.
async fn long(
    core: &Shared,
    request: &AdmittedRequest,
    mut reply: Reply,
    client: &mut Connection,
    first: BytesMut,
) -> DeliveryOutcome {
    let framing = match reply.answer.framing {
        Framing::Length(length) => Framing::Length(length),
        Framing::Chunked | Framing::UntilClose => Framing::Chunked,
    };
    let mut out = head(core, &reply.answer, framing);
    put(&mut out, framing, &first);
    loop {
        if client.send(&out).await.is_err() {
            return DeliveryOutcome::CallerGone;
        }
        out.clear();
        let left = request.deadline.saturating_sub(core.now());
        match next(&mut reply, client, left, None).await {
            Part::Data(data) => put(&mut out, framing, &data),
            Part::End => break,
            Part::Broken(why) => return DeliveryOutcome::Partly(why),
            Part::Silent | Part::Late => return DeliveryOutcome::Late,
            Part::CallerGone => return DeliveryOutcome::CallerGone,
        }
    }
    if framing == Framing::Chunked && client.send(LAST_CHUNK).await.is_err() {
        return DeliveryOutcome::CallerGone;
    }
    release(core, reply);
    DeliveryOutcome::Complete
}

fn put(out: &mut BytesMut, framing: Framing, data: &[u8]) {
    if framing != Framing::Chunked {
        out.put_slice(data);
        return;
    }
    out.put_slice(format!("{:x}\r\n", data.len()).as_bytes());
    out.put_slice(data);
    out.put_slice(b"\r\n");
}

/// Pace of a stream as the caller sees it.
#[derive(Clone, Copy, Debug, Default)]
pub struct StreamTiming {
    /// Time to the first event.
    pub first: Option<Duration>,
    /// Longest pause between two events.
    pub pause: Duration,
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

/// Delivers a stream, event by event where it may go on elsewhere.
///
/// `started` is called when a part has come; `elsewhere` returns whether another upstream can
/// go on with a stream that is silent.
pub async fn stream(
    core: &Shared,
    message: &mut Message<'_>,
    mut reply: Reply,
    client: &mut Connection,
    pace: &mut StreamTiming,
    mut started: impl FnMut(),
    mut elsewhere: impl FnMut() -> bool,
) -> DeliveryOutcome {
    let request = message.request;
    let mut events = EventSplitter::default();
    // The head goes out with the first event; a stream that goes on has one already.
    let mut out = match message.last_event {
        Some(_) => BytesMut::new(),
        None => head(core, &reply.answer, Framing::Chunked),
    };
    let mut begun = message.last_event.is_some();
    let silence = request
        .route
        .resumable
        .then(|| request.route.stream_stall_timeout());
    loop {
        let left = request.deadline.saturating_sub(core.now());
        let patience = if begun { silence } else { None };
        match next(&mut reply, client, left, patience).await {
            Part::Data(data) => {
                started();
                let before = out.len();
                if request.route.resumable {
                    events.push(&data);
                    if events.is_overfull() {
                        return broken(begun, "an event without an end");
                    }
                    if let Err(why) = take_events(&mut events, message, &mut out) {
                        return broken(begun, why);
                    }
                } else {
                    put(&mut out, Framing::Chunked, &data);
                }
                if out.len() == before {
                    continue;
                }
                pace.event(core, request);
                begun = true;
                if client.send(&out).await.is_err() {
                    return DeliveryOutcome::CallerGone;
                }
                out.clear();
            }
            Part::End if !events.is_empty() => return broken(begun, "the stream ended within an event"),
            Part::End => break,
            Part::Broken(why) => return broken(begun, why),
            Part::Silent if elsewhere() => return broken(begun, "silent within the stream"),
            // Silence alone is no reason to end a stream.
            Part::Silent => {}
            Part::Late if begun => return DeliveryOutcome::Late,
            Part::Late => return DeliveryOutcome::Nothing("the time is over"),
            Part::CallerGone => return DeliveryOutcome::CallerGone,
        }
    }
    out.put_slice(LAST_CHUNK);
    release(core, reply);
    match client.send(&out).await {
        Ok(()) => DeliveryOutcome::Complete,
        Err(_) => DeliveryOutcome::CallerGone,
    }
}

fn broken(begun: bool, why: &'static str) -> DeliveryOutcome {
    if begun {
        DeliveryOutcome::Partly(why)
    } else {
        DeliveryOutcome::Nothing(why)
    }
}

/// Passes on the whole events at hand, each once and in order.
fn take_events(
    events: &mut EventSplitter,
    message: &mut Message<'_>,
    out: &mut BytesMut,
) -> Result<(), &'static str> {
    while let Some(event) = events.next_event() {
        if let Some(id) = event.id {
            let expected = message.last_event.map(|last| last + 1);
            if expected.is_some_and(|expected| id < expected) {
                continue;
            }
            if expected.is_some_and(|expected| id > expected) {
                return Err("an event is missing");
            }
            message.last_event = Some(id);
        }
        put(out, Framing::Chunked, &event.bytes);
    }
    Ok(())
}
