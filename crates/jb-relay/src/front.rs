//! Connections of callers.

use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use jb_policy::Moment;
use jb_protocol::{emit, event};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

use crate::admission::{self, AdmittedRequest, Refusal};
use crate::body_memory::HeldBody;
use crate::configuration::CallerLimits;
use crate::core::{Core, Shared};
use crate::exchange::{Exchange, RequestOutcome};
use crate::http::{BodyDecoder, Connection, Error, Framing, RequestHead, write_response_head};
use crate::open_request::OpenRequest;
use crate::{accept, peers, stop};

/// Time within which the body of a request must be received.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for which input is still read after an error response. Closing with unread input would reset the connection,
/// and the caller could lose the response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(300);
/// The same for the last response on a connection of a box that stops: a few retransmissions.
const STOP_LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// Descriptors reserved for upstreams, the store, health checks and files.
const RESERVED_DESCRIPTORS: usize = 400;
/// `Retry-After` of a box that may be able to serve soon; the caller may also retry at another box.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Time after the box begins to load the store's content in which requests wait for the first verified configuration. In a
/// fleet of 295, a box with an eighth of a core has it after 0.15 to 0.4 s. Without the wait, a restart of all boxes made
/// callers meet two rejections in a row for 600 of 3,400 requests.
const STARTUP_PERIOD: Duration = Duration::from_millis(800);
/// Interval at which the wait for the first configuration checks for it.
const STARTUP_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Idle time after which a connection is closed during a graceful shutdown.
const STOP_IDLE_TIME: Duration = Duration::from_millis(500);

/// Accepts callers' connections until the box has to give its last answers. Later ones are refused, so that no request is left
/// unread when the box is killed.
pub async fn serve(core: Shared, listener: TcpListener) {
    tokio::select! {
        () = accept::serve(Rc::clone(&core), listener, connection) => {}
        () = stop::wait_last_answers(&core) => {}
    }
}

async fn connection(core: Shared, stream: TcpStream) {
    if core.stop.connections() + RESERVED_DESCRIPTORS >= core.settings.capacity.max_descriptors {
        // Closing without reading shows the caller that the request was not processed.
        emit!(core.logger, warn, event::ACCEPT_FAILED, "why" => "file descriptor limit for callers reached");
        return;
    }
    let _open = core.stop.track_connection();
    if let Err(why) = stream.set_nodelay(true) {
        emit!(core.logger, debug, event::ACCEPT_FAILED, "why" => %why);
    }
    let mut client = Connection::new(stream);
    while serve_request(&core, &mut client).await {}
    if core.stop.is_stopping() && !client.keeps_alive() {
        // Bytes that the operating system still holds may be lost when the process exits.
        close_gracefully(&mut client, STOP_LINGER_TIMEOUT).await;
    }
}

/// Serves one request; returns whether the connection stays open.
async fn serve_request(core: &Shared, client: &mut Connection) -> bool {
    let limits = core
        .configuration()
        .map(|configuration| configuration.limits)
        .unwrap_or_default();
    if client.buffer.is_empty() && !wait_for_request(core, client, &limits).await {
        return false;
    }
    let response = client.write_mark();
    let open = core.open_requests.begin(core.now(), response.clone());
    let received = tokio::select! {
        biased;
        received = receive(core, client, &limits, &open) => received,
        () = stop::wait_answer_time(core, &response) => Err(ReceiveError::Rejected {
            status: 503,
            why: stop::REASON,
        }),
    };
    let Received {
        query,
        body,
        held,
        arrived,
    } = match received {
        Ok(received) => received,
        Err(ReceiveError::Rejected { status, why }) => return reject_unread(core, client, status, why).await,
        Err(ReceiveError::Closed) => return false,
    };
    open.note_waiting();
    let goes_on = handle(core, client, &query, &body, arrived, &open).await;
    drop(held);
    goes_on && query.keep_alive && client.keeps_alive()
}

/// A request that has been received.
struct Received<'a> {
    query: RequestHead,
    body: Bytes,
    /// Memory of the body.
    held: HeldBody<'a>,
    /// When its head had been received.
    arrived: Moment,
}

/// Why a request was not received.
pub enum ReceiveError {
    /// It is rejected with this status.
    Rejected {
        /// The status.
        status: u16,
        /// The reason.
        why: &'static str,
    },
    /// The caller has closed the connection.
    Closed,
}

impl ReceiveError {
    fn of_body(status: u16) -> Self {
        Self::Rejected { status, why: "body" }
    }

    /// Returns the error as one of the body, whatever is wrong with it.
    fn within_body(self) -> Self {
        match self {
            Self::Rejected { status, .. } => Self::of_body(status),
            Self::Closed => Self::Closed,
        }
    }
}

impl From<Error> for ReceiveError {
    fn from(why: Error) -> Self {
        match why {
            Error::HeadTooLong(_) => Self::Rejected {
                status: 431,
                why: "long_head",
            },
            Error::Malformed(why) => Self::Rejected { status: 400, why },
            _ => Self::Closed,
        }
    }
}

/// Receives the head and the body of a request.
async fn receive<'a>(
    core: &'a Shared,
    client: &mut Connection,
    limits: &CallerLimits,
    open: &OpenRequest<'_>,
) -> Result<Received<'a>, ReceiveError> {
    let head = timeout(limits.head_timeout, client.read_request(limits.max_head_bytes)).await;
    let query = head.map_err(|_| ReceiveError::Rejected {
        status: 408,
        why: "slow_head",
    })??;
    let arrived = core.now();
    open.set_id(
        query
            .headers
            .text(core.header_names.request_id)
            .unwrap_or_default(),
    );
    let (body, held) = read_body(core, client, &query, limits).await?;
    Ok(Received {
        query,
        body,
        held,
        arrived,
    })
}

/// Waits for the first byte of a request; returns false if the connection is closed or should be.
async fn wait_for_request(core: &Shared, client: &mut Connection, limits: &CallerLimits) -> bool {
    tokio::select! {
        // A request that has arrived goes before a close.
        biased;
        filled = client.fill() => return matches!(filled, Ok(read) if read > 0),
        () = sleep(limits.idle_timeout) => {}
        () = wait_idle_stop(core) => {}
    }
    client.fill_pending().await
}

/// Waits until an idle connection may be closed during a graceful shutdown.
async fn wait_idle_stop(core: &Shared) {
    let schedule = core.stop.wait_begun().await;
    let noticed = (schedule.signalled_at() + stop::UNREADY_NOTICE_TIME).saturating_sub(core.now());
    sleep(noticed.max(STOP_IDLE_TIME)).await;
}

/// Reads the whole body. Memory for it is held before it arrives, so that bodies which are being received count.
///
/// # Errors
/// The body is rejected, or the caller has closed the connection.
pub async fn read_body<'a>(
    core: &'a Core,
    client: &mut Connection,
    query: &RequestHead,
    limits: &CallerLimits,
) -> Result<(Bytes, HeldBody<'a>), ReceiveError> {
    let stated = match query.framing {
        Framing::Length(length) => usize::try_from(length).unwrap_or(usize::MAX),
        Framing::Chunked | Framing::UntilClose => 0,
    };
    if stated > limits.max_body_bytes {
        return Err(ReceiveError::of_body(413));
    }
    let mut held = core.body_memory.hold(stated).ok_or(ReceiveError::of_body(503))?;
    if query.headers.has_token("expect", "100-continue") {
        client
            .send(b"HTTP/1.1 100 Continue\r\n\r\n")
            .await
            .map_err(|_| ReceiveError::Closed)?;
        // The response has not begun.
        client.write_mark().clear();
    }
    let check = |bytes| {
        if bytes > limits.max_body_bytes {
            Err(ReceiveError::of_body(413))
        } else if held.grow_to(bytes) {
            Ok(())
        } else {
            Err(ReceiveError::of_body(503))
        }
    };
    let received = client.read_checked_body(BodyDecoder::new(query.framing), stated, check);
    let received = timeout(BODY_TIMEOUT, received)
        .await
        .map_err(|_| ReceiveError::of_body(408))?;
    Ok((received.map_err(ReceiveError::within_body)?, held))
}

/// Rejects a request that was not read completely, and closes the connection.
async fn reject_unread(core: &Shared, client: &mut Connection, status: u16, why: &str) -> bool {
    core.metrics.count_outcome("bad_input", status);
    emit!(core.logger, info, event::REQUEST_REFUSED, "status" => status, "why" => why);
    if client
        .send(&error_response(status, &[], None, false))
        .await
        .is_ok()
    {
        close_gracefully(client, LINGER_TIMEOUT).await;
    }
    false
}

/// Closes the write side, and reads until the caller has closed its side, which shows that it has the whole response. One
/// that doesn't close it within the timeout is cut off.
async fn close_gracefully(client: &mut Connection, limit: Duration) {
    client.shutdown_write().await;
    let drained = async {
        while matches!(client.fill().await, Ok(read) if read > 0) {
            client.buffer.clear()
        }
    };
    let _ = timeout(limit, drained).await;
}

/// Waits for the first verified configuration if the box has just started. A rejected caller would retry at once,
/// probably at another box that has just started too.
async fn wait_for_startup(core: &Shared) {
    let is_loading = || core.now() < core.load_starts_at.get() + STARTUP_PERIOD;
    while is_loading() && core.state_age().is_none() && core.metrics.store_failures.get() == 0 {
        sleep(STARTUP_POLL_INTERVAL).await;
    }
}

/// Returns whether a request arrives too late in a graceful shutdown to be finished.
pub fn is_too_late(core: &Core) -> bool {
    let schedule = core.stop.schedule();
    schedule.is_some_and(|schedule| !schedule.admits(core.now()))
}

async fn handle(
    core: &Shared,
    client: &mut Connection,
    query: &RequestHead,
    body: &Bytes,
    arrived: Moment,
    open: &OpenRequest<'_>,
) -> bool {
    wait_for_startup(core).await;
    let request = match admission::admit(core, query, arrived) {
        Ok(_) if is_too_late(core) => return reject(core, client, query, Refusal::NotReady).await,
        Ok(request) => request,
        Err(refusal) => return reject(core, client, query, refusal).await,
    };
    let charged = match peers::charge(core, &request).await {
        Ok(charged) => charged,
        Err(after) => return reject_over_quota(core, client, &request, after).await,
    };
    let mut exchange = Exchange::new(core, query, body, &request, open);
    let ending = exchange.run(client).await;
    if let Some(charged) = charged {
        charged.settle(exchange.possible_runs());
    }
    let after = exchange.retry_after().unwrap_or_default().max(MIN_RETRY_AFTER);
    report(core, &request, &exchange, ending);
    match ending {
        RequestOutcome::Answered(_) => true,
        // The head has already been sent, so only a missing end of the body shows that the response is incomplete.
        RequestOutcome::CallerGone | RequestOutcome::Broken(_) => false,
        RequestOutcome::NotRun(_) => final_answer(core, client, &request.id, 503, Some(after)).await,
        RequestOutcome::Lost(_) => final_answer(core, client, &request.id, 502, None).await,
        RequestOutcome::Late => final_answer(core, client, &request.id, 504, None).await,
    }
}

/// Rejects a request that exceeds its customer's quota.
async fn reject_over_quota(
    core: &Shared,
    client: &mut Connection,
    request: &AdmittedRequest,
    after: Duration,
) -> bool {
    const STATUS: u16 = 429;
    core.metrics.count_outcome("limited", STATUS);
    final_answer(core, client, &request.id, STATUS, Some(after)).await
}

async fn reject(core: &Shared, client: &mut Connection, query: &RequestHead, refusal: Refusal) -> bool {
    let id = query
        .headers
        .text(core.header_names.request_id)
        .unwrap_or_default();
    let status = refusal.status();
    core.metrics.count_outcome(refusal.name(), status);
    emit!(core.logger, info, event::REQUEST_REFUSED, "request" => id, "status" => status,
        "why" => refusal.name(), "version" => core.configuration().map(|configuration| configuration.version),
        "age_ms" => core.state_age().map(|age| age.as_millis() as u64),
        "key_age_ms" => core.key_age().map(|age| age.as_millis() as u64));
    let after = (status == 503).then_some(MIN_RETRY_AFTER);
    let keep_alive = status != 503;
    let sent = send_error(core, client, id, status, after, keep_alive).await;
    sent && keep_alive
}

async fn final_answer(
    core: &Shared,
    client: &mut Connection,
    id: &str,
    status: u16,
    after: Option<Duration>,
) -> bool {
    send_error(core, client, id, status, after, true).await
}

async fn send_error(
    core: &Shared,
    client: &mut Connection,
    id: &str,
    status: u16,
    after: Option<Duration>,
    keep_alive: bool,
) -> bool {
    let keep_alive = keep_alive && !core.stop.is_stopping();
    client.announce_keep_alive(keep_alive);
    let lines = [(core.header_names.request_id, id)];
    let lines = if id.is_empty() { &lines[..0] } else { &lines[..] };
    client
        .send(&error_response(status, lines, after, keep_alive))
        .await
        .is_ok()
        && keep_alive
}

/// Logs and counts how a request ended.
pub fn report(core: &Shared, request: &AdmittedRequest, exchange: &Exchange<'_>, ending: RequestOutcome) {
    let (name, status, why) = match ending {
        RequestOutcome::Answered(status) => ("answered", status, ""),
        RequestOutcome::NotRun(why) => ("not_run", 503, why),
        RequestOutcome::Lost(why) => ("may_have_run", 502, why),
        RequestOutcome::Late => ("late", 504, "deadline exceeded"),
        RequestOutcome::Broken(why) => ("broken", exchange.response().map_or(0, |(status, _)| status), why),
        RequestOutcome::CallerGone => ("caller_gone", 0, ""),
    };
    core.metrics.count_outcome(name, status);
    emit!(core.logger, info, event::REQUEST_ENDED, "request" => &request.id, "route" => &request.route.name,
        "service" => &request.service, "ending" => name, "status" => status, "why" => why,
        "ms" => exchange.elapsed().as_millis() as u64, "tried" => tried(exchange),
        "helper" => exchange.helper(), "is_forwarded" => request.is_forwarded,
        "first_ms" => exchange.timing().first.map(|first| first.as_millis() as u64),
        "pause_ms" => exchange.timing().pause.as_millis() as u64,
        "resumes" => &request.resumes, "framing" => exchange.response().map(|(_, framing)| framing.name()),
        "last_event" => exchange.last_event(), "handed_ms" => exchange.handed().as_millis() as u64,
        "stopping_ms" => core.stopping_for().map(|time| time.as_millis() as u64),
        "within_event" => exchange.timing().boundary.is_within_event(), "version" => request.configuration.version);
}

/// Returns the ids of the upstreams that the request was sent to, in order.
fn tried(exchange: &Exchange<'_>) -> String {
    let ids: Vec<&str> = exchange
        .tried()
        .iter()
        .map(|instance| instance.id.as_str())
        .collect();
    ids.join(",")
}

/// Builds a response of the box itself, without a body.
pub fn error_response(
    status: u16,
    names: &[(&str, &str)],
    after: Option<Duration>,
    keep_alive: bool,
) -> BytesMut {
    let mut out = BytesMut::with_capacity(256);
    let after = after.map(|after| format!("{:.3}", after.as_secs_f64()));
    let lines = names
        .iter()
        .map(|(name, value)| (name.as_bytes(), value.as_bytes()));
    let lines = lines.chain(
        after
            .as_deref()
            .map(|after| (b"Retry-After".as_slice(), after.as_bytes())),
    );
    write_response_head(&mut out, status, lines, Framing::Length(0), keep_alive);
    out
}
