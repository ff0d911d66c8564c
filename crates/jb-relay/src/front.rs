//! Callers' connections.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use jb_protocol::{emit, event};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

use crate::accept;
use crate::admission::{self, AdmittedRequest, Refusal};
use crate::configuration::CallerLimits;
use crate::core::Shared;
use crate::exchange::{Exchange, RequestOutcome};
use crate::http::{Body, Connection, Error, Framing, Query, write_answer};
use crate::peers;
use crate::stop;

/// Longest time for the body of one request.
const BODY_TIME: Duration = Duration::from_secs(10);
/// Time for which bytes are still read after a refusal, so that it is not lost in a reset.
const LINGER: Duration = Duration::from_millis(300);
/// Descriptors that are reserved for upstreams, the store, checks and files.
const RESERVED: usize = 400;
/// Share of the box's memory that bodies of requests may take.
const BODY_SHARE: usize = 4;
/// When callers are to come back after a refusal of a box that may soon serve, or to another box.
const COME_BACK: Duration = Duration::from_millis(50);
/// Time after the begin of a planned stop in which requests are still begun; later ones could
/// be cut at the end of the grace, and the platform holds the box to them.
const STILL_BEGUN: Duration = Duration::from_millis(2900);
/// Time after a start in which requests wait for the box's first proof of what is in force. A box
/// with an eighth of a core has it after 0.15 to 0.4 s in a fleet of 295; a restart of all had
/// 600 of 3,400 requests refused twice in that time.
const STARTUP_PERIOD: Duration = Duration::from_millis(800);
/// Pause between two looks whether the box has it.
const LOOK_STARTED: Duration = Duration::from_millis(10);
/// Rest of a connection after which it is closed in a planned stop.
const STOP_REST: Duration = Duration::from_millis(500);

/// Accepts callers for ever.
pub async fn serve(core: Shared, listener: TcpListener) {
    accept::serve(core, listener, connection).await;
}

async fn connection(core: Shared, stream: TcpStream) {
    if core.stop.connections() + RESERVED >= core.settings.capacity.max_descriptors {
        // By the close the caller knows that nothing was read.
        emit!(core.logger, warn, event::ACCEPT_FAILED, "why" => "all descriptors for callers are in use");
        return;
    }
    let _open = core.stop.track_connection();
    if let Err(why) = stream.set_nodelay(true) {
        emit!(core.logger, debug, event::ACCEPT_FAILED, "why" => %why);
    }
    let mut client = Connection::new(stream);
    while one_request(&core, &mut client).await {}
}

/// Serves one request; whether the connection goes on.
async fn one_request(core: &Shared, client: &mut Connection) -> bool {
    let limits = core
        .configuration()
        .map(|configuration| configuration.limits)
        .unwrap_or_default();
    if client.buffer.is_empty() && !rested(core, client, &limits).await {
        return false;
    }
    let query = match timeout(limits.head_timeout, client.query(limits.max_head_bytes)).await {
        Ok(Ok(query)) => query,
        Ok(Err(why)) => return refuse_head(core, client, &why).await,
        Err(_) => return refuse(core, client, 408, "slow_head").await,
    };
    let arrived = core.now();
    let body = match body(core, client, &query, &limits).await {
        Ok(body) => body,
        Err(Some(status)) => return refuse(core, client, status, "body").await,
        Err(None) => return false,
    };
    let size = body.len();
    core.held_body_bytes.set(core.held_body_bytes.get() + size);
    let goes_on = answer(core, client, &query, &body, arrived).await;
    core.held_body_bytes.set(core.held_body_bytes.get() - size);
    goes_on && query.keep_alive && !core.stop.is_stopping()
}

/// Waits for the first byte of a request.
async fn rested(core: &Shared, client: &mut Connection, limits: &CallerLimits) -> bool {
    tokio::select! {
        filled = client.fill() => matches!(filled, Ok(read) if read > 0),
        () = sleep(limits.idle_timeout) => false,
        () = stopped(core) => false,
    }
}

/// Waits until an idle connection may be closed in a planned stop.
async fn stopped(core: &Shared) {
    core.stop.wait_begun().await;
    let since = core.stop.since().unwrap_or_default();
    let noticed = (since + stop::UNREADY_NOTICE_TIME).saturating_sub(core.now());
    sleep(noticed.max(STOP_REST)).await;
}

/// Reads the whole body. `Err(None)`: the caller has gone.
async fn body(
    core: &Shared,
    client: &mut Connection,
    query: &Query,
    limits: &CallerLimits,
) -> Result<Bytes, Option<u16>> {
    let room = (core.settings.capacity.memory_bytes / BODY_SHARE).saturating_sub(core.held_body_bytes.get());
    let most = limits.max_body_bytes.min(room);
    if let Framing::Length(length) = query.framing {
        if length > limits.max_body_bytes as u64 {
            return Err(Some(413));
        }
        if length > most as u64 {
            return Err(Some(503));
        }
    }
    if query.headers.has_token("expect", "100-continue") {
        client
            .send(b"HTTP/1.1 100 Continue\r\n\r\n")
            .await
            .map_err(|_| None)?;
    }
    match timeout(BODY_TIME, client.whole(Body::new(query.framing), most)).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(Error::BodyTooLong(_))) if most < limits.max_body_bytes => Err(Some(503)),
        Ok(Err(Error::BodyTooLong(_))) => Err(Some(413)),
        Ok(Err(Error::Malformed(_))) => Err(Some(400)),
        Ok(Err(_)) => Err(None),
        Err(_) => Err(Some(408)),
    }
}

async fn refuse_head(core: &Shared, client: &mut Connection, why: &Error) -> bool {
    match why {
        Error::HeadTooLong(_) => refuse(core, client, 431, "long_head").await,
        Error::Malformed(why) => refuse(core, client, 400, why).await,
        _ => false,
    }
}

/// Refuses a request that was not read whole, and closes.
async fn refuse(core: &Shared, client: &mut Connection, status: u16, why: &str) -> bool {
    core.metrics.count_outcome("bad_input", status);
    emit!(core.logger, info, event::REQUEST_REFUSED, "status" => status, "why" => why);
    if client.send(&own_answer(status, &[], None, false)).await.is_ok() {
        client.finish().await;
        let drained = async {
            while matches!(client.fill().await, Ok(read) if read > 0) {
                client.buffer.clear()
            }
        };
        // A caller that goes on sending is cut off here.
        let _ = timeout(LINGER, drained).await;
    }
    false
}

/// Waits a little while the box has just started and is about to serve: its caller would be back
/// at once, at a box that has just started as well.
async fn started(core: &Shared) {
    while core.now() < STARTUP_PERIOD && core.state_age().is_none() && core.metrics.store_failures.get() == 0
    {
        sleep(LOOK_STARTED).await;
    }
}

/// Whether a request comes too late in a planned stop to be finished.
fn too_late(core: &Shared) -> bool {
    core.stop
        .since()
        .is_some_and(|since| core.now() > since + STILL_BEGUN)
}

async fn answer(
    core: &Shared,
    client: &mut Connection,
    query: &Query,
    body: &Bytes,
    arrived: jb_policy::Moment,
) -> bool {
    started(core).await;
    let request = match admission::admit(core, query, arrived) {
        Ok(_) if too_late(core) => return turn_away(core, client, query, Refusal::NotReady).await,
        Ok(request) => request,
        Err(refusal) => return turn_away(core, client, query, refusal).await,
    };
    let charged = match peers::charge(core, &request).await {
        Ok(charged) => charged,
        Err(after) => return limited(core, client, &request, after).await,
    };
    let mut exchange = Exchange::new(core, query, body, &request);
    let ending = exchange.run(client).await;
    if let Some(charged) = charged {
        charged.settle(exchange.possible_runs());
    }
    let begun = exchange.has_begun();
    let after = exchange.retry_after().unwrap_or_default().max(COME_BACK);
    report(core, &request, &exchange, ending);
    match ending {
        RequestOutcome::Answered(_) => true,
        RequestOutcome::CallerGone | RequestOutcome::Broken(_) => false,
        RequestOutcome::NotRun(_) => final_answer(core, client, &request.id, 503, Some(after)).await,
        // The head is out already: only the missing end shows the caller that it is incomplete.
        RequestOutcome::Lost(_) | RequestOutcome::Late if begun => false,
        RequestOutcome::Lost(_) => final_answer(core, client, &request.id, 502, None).await,
        RequestOutcome::Late => final_answer(core, client, &request.id, 504, None).await,
    }
}

/// Refuses a request beyond its customer's limit.
async fn limited(core: &Shared, client: &mut Connection, request: &AdmittedRequest, after: Duration) -> bool {
    const STATUS: u16 = 429;
    core.metrics.count_outcome("limited", STATUS);
    final_answer(core, client, &request.id, STATUS, Some(after)).await
}

async fn turn_away(core: &Shared, client: &mut Connection, query: &Query, refusal: Refusal) -> bool {
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
    let after = (status == 503).then_some(COME_BACK);
    let keep_alive = status != 503;
    let sent = send_own(core, client, id, status, after, keep_alive).await;
    sent && keep_alive
}

async fn final_answer(
    core: &Shared,
    client: &mut Connection,
    id: &str,
    status: u16,
    after: Option<Duration>,
) -> bool {
    send_own(core, client, id, status, after, true).await
}

async fn send_own(
    core: &Shared,
    client: &mut Connection,
    id: &str,
    status: u16,
    after: Option<Duration>,
    keep_alive: bool,
) -> bool {
    let keep_alive = keep_alive && !core.stop.is_stopping();
    let lines = [(core.header_names.request_id, id)];
    let lines = if id.is_empty() { &lines[..0] } else { &lines[..] };
    client
        .send(&own_answer(status, lines, after, keep_alive))
        .await
        .is_ok()
        && keep_alive
}

fn report(core: &Shared, request: &AdmittedRequest, exchange: &Exchange<'_>, ending: RequestOutcome) {
    let (name, status, why) = match ending {
        RequestOutcome::Answered(status) => ("answered", status, ""),
        RequestOutcome::NotRun(why) => ("not_run", 503, why),
        RequestOutcome::Lost(why) => ("may_have_run", 502, why),
        RequestOutcome::Late => ("late", 504, "the time is over"),
        RequestOutcome::Broken(why) => ("broken", 0, why),
        RequestOutcome::CallerGone => ("caller_gone", 0, ""),
    };
    core.metrics.count_outcome(name, status);
    emit!(core.logger, info, event::REQUEST_ENDED, "request" => &request.id, "route" => &request.route.name,
        "service" => &request.service, "ending" => name, "status" => status, "why" => why,
        "ms" => exchange.elapsed().as_millis() as u64, "tried" => tried(exchange),
        "first_ms" => exchange.timing().first.map(|first| first.as_millis() as u64),
        "pause_ms" => exchange.timing().pause.as_millis() as u64, "version" => request.configuration.version);
}

/// Ids of the upstreams that were tried, the first one first.
fn tried(exchange: &Exchange<'_>) -> String {
    let ids: Vec<&str> = exchange
        .tried()
        .iter()
        .map(|instance| instance.id.as_str())
        .collect();
    ids.join(",")
}

/// An answer of the box itself, without a body.
fn own_answer(status: u16, names: &[(&str, &str)], after: Option<Duration>, keep_alive: bool) -> BytesMut {
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
    write_answer(&mut out, status, lines, Framing::Length(0), keep_alive);
    out
}
