//! Serves a request for another box.

use std::time::Duration;

use bytes::Bytes;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::message::{Envelope, FAILURE_HEADER, Failure, Verdict};
use crate::admission::{self, AdmittedRequest};
use crate::attempt::MAX_HEAD_BYTES;
use crate::callers::Hold;
use crate::core::{Core, Shared};
use crate::exchange::{Exchange, RequestOutcome};
use crate::front;
use crate::http::{self, Connection, RequestHead};
use crate::open_request::OpenRequest;
use crate::receive::{self, ReceiveError};
use crate::{peers, pool, ready};

/// Time within which an accepted request must arrive.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Requests of other boxes may use one descriptor in this many: each needs one, and its upstream another.
const DESCRIPTOR_DIVISOR: usize = 8;

/// Replies to the offer of a request, and serves the request if it is accepted.
///
/// # Errors
/// The connection failed before the request was read.
pub async fn serve(core: Shared, mut stream: TcpStream, envelope: Envelope) -> Result<(), http::Error> {
    let received = core.now();
    let verdict = verdict(&core, &envelope.service);
    if !matches!(verdict, Verdict::Accepted | Verdict::AcceptedAsLastResort) {
        core.metrics.requests_declined.inc();
        return peers::reply_to_offer(&mut stream, verdict)
            .await
            .map_err(http::Error::from);
    }
    // Before the reply, so that a box that is stopping doesn't exit in between.
    let _open = core.stop.track_connection();
    let _accepted = Accepted::new(&core);
    peers::reply_to_offer(&mut stream, verdict).await?;
    stream.set_nodelay(true)?;
    let mut client = Connection::new(stream);
    let open = core.open_requests.begin(received, client.write_mark());
    let request = timeout(REQUEST_TIMEOUT, read(&core, &mut client)).await;
    let (head, body) = request.map_err(|_| http::Error::Io(std::io::ErrorKind::TimedOut.into()))??;
    let Some((body, _held)) = body else {
        let id = head.headers.text(core.header_names.request_id);
        fail(&core, &mut client, id.unwrap_or_default(), Failure::NotRun, None).await;
        return Ok(());
    };
    core.metrics.requests_helped.inc();
    let admitted =
        (!front::is_too_late(&core)).then(|| admission::admit_forwarded(&core, &head, &envelope, received));
    let request = admitted.flatten();
    open.note_waiting();
    run(&core, &mut client, &head, &body, request, &open).await;
    Ok(())
}

/// Returns whether this box can serve a request for another one.
fn verdict(core: &Core, service: &str) -> Verdict {
    if !can_reach_upstream(core, service) {
        Verdict::Partitioned
    } else if !ready::can_serve(core) || front::is_too_late(core) {
        Verdict::NotReady
    } else if core.helpers.accepted.get() >= core.settings.capacity.max_descriptors / DESCRIPTOR_DIVISOR {
        Verdict::Busy
    } else if core.stop.is_stopping() {
        Verdict::AcceptedAsLastResort
    } else {
        Verdict::Accepted
    }
}

/// Returns whether this box can send a request to an upstream of a service: on a new connection, or on an idle one while
/// none can be opened.
fn can_reach_upstream(core: &Core, service: &str) -> bool {
    let uplinks = &core.uplinks;
    !uplinks.is_down(service)
        || (uplinks.has_live_connections(service) && pool::has_usable_connection(core, service))
}

/// Counts a request of another box until it is dropped.
struct Accepted<'a>(&'a Core);

impl<'a> Accepted<'a> {
    fn new(core: &'a Core) -> Self {
        core.helpers.accepted.set(core.helpers.accepted.get() + 1);
        Self(core)
    }
}

impl Drop for Accepted<'_> {
    fn drop(&mut self) {
        let accepted = &self.0.helpers.accepted;
        accepted.set(accepted.get() - 1);
    }
}

/// Reads a request; the body is `None` if it can't be taken.
async fn read(
    core: &Core,
    client: &mut Connection,
) -> Result<(RequestHead, Option<(Bytes, Hold)>), http::Error> {
    let head = client.read_request(MAX_HEAD_BYTES).await?;
    let limits = core.configuration().map(|configuration| configuration.limits);
    match receive::read_body(core, client, &head, &limits.unwrap_or_default()).await {
        Ok(body) => Ok((head, Some(body))),
        Err(ReceiveError::Rejected { .. }) => Ok((head, None)),
        Err(ReceiveError::Closed) => Err(http::Error::Truncated),
    }
}

async fn run(
    core: &Shared,
    client: &mut Connection,
    head: &RequestHead,
    body: &Bytes,
    request: Option<AdmittedRequest>,
    open: &OpenRequest<'_>,
) {
    let Some(request) = request else {
        let id = head
            .headers
            .text(core.header_names.request_id)
            .unwrap_or_default();
        return fail(core, client, id, Failure::NotRun, None).await;
    };
    open.set_id(&request.id);
    let mut exchange = Exchange::new(core, head, body, &request, open);
    let outcome = exchange.run(client).await;
    front::report(core, &request, &exchange, outcome);
    let failure = match outcome {
        // Only the missing end of the body shows that the response is incomplete.
        RequestOutcome::Answered(_) | RequestOutcome::CallerGone | RequestOutcome::Broken(_) => return,
        RequestOutcome::NotRun(_) => Failure::NotRun,
        RequestOutcome::Lost(_) => Failure::MayHaveRun,
        RequestOutcome::Late => Failure::Late,
    };
    fail(core, client, &request.id, failure, exchange.retry_after()).await;
}

async fn fail(core: &Core, client: &mut Connection, id: &str, failure: Failure, after: Option<Duration>) {
    let lines = [
        (core.header_names.request_id, id),
        (FAILURE_HEADER, failure.name()),
    ];
    let status = match failure {
        Failure::NotRun => 503,
        Failure::MayHaveRun => 502,
        Failure::Late => 504,
    };
    // If the other box has gone, so has the caller.
    let _ = client
        .send(&front::error_response(status, &lines, after, false))
        .await;
}
