//! Connections of callers.

use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use jb_policy::Moment;
use jb_protocol::{emit, event};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::admission::{self, AdmittedRequest, Refusal};
use crate::callers::{Admitted, CONNECTION_BYTES, Use, Waiting};
use crate::core::{Core, Shared};
use crate::exchange::{Exchange, RequestOutcome};
use crate::http::{Connection, Framing, PENDING_INPUT_TIME, RequestHead, write_response_head};
use crate::open_request::OpenRequest;
use crate::receive::{ReceiveError, Received, receive, wait_for_request};
use crate::{accept, peers, stop};

/// Receive buffer of the operating system for each connection, in bytes: any number of callers may send while the box is busy.
pub const RECEIVE_BUFFER_BYTES: usize = 16 << 10;
/// Time for which input is still read after an error response. Closing with unread input would reset the connection,
/// and the caller could lose the response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(300);
/// The same for the last response on a connection of a box that stops: a few retransmissions.
const STOP_LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// `Retry-After` of a box that may be able to serve soon; the caller may also retry at another box.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Time after the box begins to load the store's content in which requests wait for the first verified configuration. In a
/// fleet of 295, a box with an eighth of a core has it after 0.15 to 0.4 s. Without the wait, a restart of all boxes made
/// callers meet two rejections in a row for 600 of 3,400 requests.
const STARTUP_PERIOD: Duration = Duration::from_millis(800);
/// Interval at which the wait for the first configuration checks for it.
const STARTUP_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Accepts callers' connections until the box has to give its last answers. Later ones are refused, so that no request is left
/// unread when the box is killed.
pub async fn serve(core: Shared, listener: TcpListener) {
    tokio::select! {
        biased;
        () = accept::serve(Rc::clone(&core), &listener, connection) => {}
        () = stop::wait_last_answers(&core) => {}
    }
    // After a standstill of the box, the timer can be noticed before connections that have arrived meanwhile. Their requests are
    // rejected, and not closed unread.
    while let Ok(Ok((stream, _))) = timeout(PENDING_INPUT_TIME, listener.accept()).await {
        spawn_local(connection(Rc::clone(&core), stream));
    }
}

async fn connection(core: Shared, stream: TcpStream) {
    let Some(admitted) = core.callers.connections.admit() else {
        // Closing without reading shows the caller that the request was not processed.
        return;
    };
    let mut held = core.callers.memory.account(Use::Connection);
    if !held.grow_to(CONNECTION_BYTES) {
        core.callers.connections.evict();
        core.callers.connections.note_refused();
        return;
    }
    let _open = core.stop.track_connection();
    if let Err(why) = stream.set_nodelay(true) {
        emit!(core.logger, debug, event::ACCEPT_FAILED, "why" => %why);
    }
    let mut client = Connection::of_caller(stream, held);
    while serve_request(&core, &mut client, &admitted).await {
        admitted.note_served();
    }
    if client.has_discarded() {
        close_gracefully(&mut client, LINGER_TIMEOUT, &admitted.wait()).await;
    } else if core.stop.is_stopping() && !client.keeps_alive() {
        // Bytes that the operating system still holds may be lost when the process exits.
        close_gracefully(&mut client, STOP_LINGER_TIMEOUT, &admitted.wait()).await;
    }
}

/// Serves one request; returns whether the connection stays open.
async fn serve_request(core: &Shared, client: &mut Connection, admitted: &Admitted<'_>) -> bool {
    let limits = core
        .configuration()
        .map(|configuration| configuration.limits)
        .unwrap_or_default();
    let waiting = admitted.wait();
    client.shrink_buffer();
    if client.buffer.is_empty() && !wait_for_request(core, client, &limits, &waiting).await {
        return false;
    }
    let response = client.write_mark();
    let open = core.open_requests.begin(core.now(), response.clone());
    let received = tokio::select! {
        biased;
        received = receive(core, client, &limits, &open, waiting) => received,
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
        Err(ReceiveError::Rejected { status, why }) => {
            return reject_unread(core, client, admitted, status, why).await;
        }
        Err(ReceiveError::Closed) => return false,
    };
    open.note_waiting();
    let goes_on = handle(core, client, &query, &body, arrived, &open).await;
    drop(held);
    goes_on && query.keep_alive && client.keeps_alive() && !client.has_discarded()
}

/// Rejects a request that was not read completely, and closes the connection.
async fn reject_unread(
    core: &Shared,
    client: &mut Connection,
    admitted: &Admitted<'_>,
    status: u16,
    why: &str,
) -> bool {
    core.metrics.count_outcome("bad_input", status);
    emit!(core.logger, info, event::REQUEST_REFUSED, "status" => status, "why" => why);
    if client
        .send(&error_response(status, &[], None, false))
        .await
        .is_ok()
    {
        close_gracefully(client, LINGER_TIMEOUT, &admitted.wait()).await;
    }
    false
}

/// Closes the write side, and reads until the caller has closed its side, which shows that it has the whole response. One
/// that doesn't close it within the timeout is cut off, earlier if there are too many connections.
async fn close_gracefully(client: &mut Connection, limit: Duration, waiting: &Waiting<'_>) {
    client.shutdown_write().await;
    let drained = async {
        while matches!(client.fill().await, Ok(read) if read > 0) {
            client.buffer.clear()
        }
    };
    tokio::select! {
        _ = timeout(limit, drained) => {}
        () = waiting.evicted() => {}
    }
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
