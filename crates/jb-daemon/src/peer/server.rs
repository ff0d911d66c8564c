//! gRPC server for other boxes.

use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use async_stream::stream;
use bytes::Bytes;
use futures_util::Stream;
use jb_policy::call::Call;
use jb_protocol::error::Kind;
use jb_protocol::event;
use jb_protocol::priority::Priority;
use jb_tree::key::Digest;
use jb_wire::peer::peer_server::{Peer, PeerServer};
use jb_wire::peer::relay_frame::Frame;
use jb_wire::peer::{
    self, FetchTreeReply, FetchTreeRequest, Part, ProbeReply, ProbeRequest, RelayFrame, RelayRequest,
};
use opentelemetry::trace::SpanKind;
use prost::Message as _;
use tokio::net::TcpListener;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::{Request, Response, Status};

use super::dial::{MAX_MESSAGE_BYTES, SECRET_HEADER};
use crate::context::Context;
use crate::emit;
use crate::members::{loads, to_wire};
use crate::quarantine;
use crate::run::{Delivery, Ending, Reach, Request as RunRequest, Session, resolve};
use crate::serve::{body, refusal};

struct Server {
    context: Arc<Context>,
    secret: Digest,
}

/// Serves requests of other boxes on a listener.
///
/// # Errors
/// If the listener fails.
pub async fn serve(context: Arc<Context>, listener: TcpListener) -> Result<(), tonic::transport::Error> {
    let server = Server {
        secret: Digest::of(&context.settings.peer_secret),
        context,
    };
    let service = PeerServer::new(server)
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES);
    tonic::transport::Server::builder()
        .tcp_nodelay(true)
        .add_service(service)
        .serve_with_incoming(TcpListenerStream::new(listener))
        .await
}

impl Server {
    /// Refuses senders that lack the shared secret or have a different protocol version.
    fn check<T>(&self, request: &Request<T>, version: u32) -> Result<(), Status> {
        let presented = request
            .metadata()
            .get(SECRET_HEADER)
            .and_then(|v| v.to_str().ok());
        if !presented.is_some_and(|presented| Digest::of(presented).matches(&self.secret)) {
            emit!(self.context.logger, warn, event::PEER_REFUSED, "why" => "unknown sender");
            return Err(Status::unauthenticated("unknown sender"));
        }
        if version != jb_wire::VERSION {
            emit!(self.context.logger, warn, event::PEER_REFUSED,
                "why" => "protocol version mismatch", "version" => version);
            return Err(Status::failed_precondition(Kind::PeerVersion.answer().title));
        }
        Ok(())
    }
}

type Frames = Pin<Box<dyn Stream<Item = Result<RelayFrame, Status>> + Send>>;

#[tonic::async_trait]
impl Peer for Server {
    async fn probe(&self, request: Request<ProbeRequest>) -> Result<Response<ProbeReply>, Status> {
        self.check(&request, request.get_ref().version)?;
        let probe = request.into_inner();
        let received = probe.encoded_len();
        let directory = &self.context.directory;
        directory.merge(&self.context, probe.sender, probe.peers_seen, probe.loads);
        quarantine::receive(&self.context, &probe.suspects);
        let summaries = self.context.ring.summarize().await.unwrap_or_default();
        let local = directory.local();
        let reply = ProbeReply {
            loads: loads(&summaries, local.heartbeat),
            receiver: Some(to_wire(local)),
            peers_seen: directory.next_updates(),
            suspects: self.context.quarantine.most_dangerous(self.context.clock.now()),
        };
        let bytes = (received + reply.encoded_len()) as u64;
        self.context.metrics.control_bytes.inc_by(bytes);
        Ok(Response::new(reply))
    }

    async fn fetch_tree(
        &self,
        request: Request<FetchTreeRequest>,
    ) -> Result<Response<FetchTreeReply>, Status> {
        self.check(&request, request.get_ref().version)?;
        let held = request.into_inner().held;
        let active = self.context.store.current();
        if active.head.revision == 0 {
            return Ok(Response::new(FetchTreeReply::default()));
        }
        let head = serde_json::to_vec(&active.head).map_err(|e| Status::internal(e.to_string()))?;
        let wanted = active.parts.values().filter(|part| !held.contains(&part.digest));
        let parts = wanted.map(|part| Part {
            digest: part.digest.clone(),
            body: part.body.clone(),
        });
        Ok(Response::new(FetchTreeReply {
            head,
            parts: parts.collect(),
        }))
    }

    type RelayStream = Frames;

    async fn relay(&self, request: Request<RelayRequest>) -> Result<Response<Frames>, Status> {
        self.check(&request, request.get_ref().version)?;
        let relayed = request.into_inner();
        let context = Arc::clone(&self.context);
        let Some(guard) = context.stop.begin_request() else {
            return Ok(Response::new(refuse(
                &relayed,
                Kind::Stopping,
                "the box is stopping",
            )));
        };
        let parent = Some(relayed.traceparent.as_str());
        let hop = context.traces.begin("relay", SpanKind::Server, parent);
        let Some(mut request) = parse_relayed(&context, &relayed) else {
            return Ok(Response::new(refuse(
                &relayed,
                Kind::UnknownModel,
                "the route is not known here",
            )));
        };
        request.traceparent = hop.traceparent();
        let frames = stream! {
            let _held = (guard, hop);
            let mut session = Session::new(context, request);
            loop {
                let result = session.next().await;
                let last = !matches!(result, Ok(Delivery::Token { .. }));
                yield Ok(frame(result, &session));
                if last {
                    return;
                }
            }
        };
        Ok(Response::new(Box::pin(frames)))
    }
}

fn parse_relayed(context: &Context, relayed: &RelayRequest) -> Option<RunRequest> {
    let parsed = body::parse(&relayed.endpoint, &relayed.body).ok()?;
    let view = context.store.view();
    let resolved = resolve(&view, &relayed.customer, &parsed)?;
    Some(RunRequest {
        id: relayed.request_id.clone(),
        customer: relayed.customer.clone(),
        route: resolved.route,
        service: resolved.service,
        parsed,
        chain: resolved.chain,
        salt: resolved.salt,
        class: Priority::from_index(relayed.priority as usize),
        deadline: Duration::from_millis(relayed.deadline_ms.into()),
        once: relayed.once,
        traceparent: Some(relayed.traceparent.clone()).filter(|t| !t.is_empty()),
        resume_at: relayed.resume_at,
        reach: Reach::Own,
        body: Bytes::copy_from_slice(&relayed.body),
        endpoint: relayed.endpoint.clone(),
    })
}

fn frame(result: Result<Delivery, jb_policy::call::Refusal>, session: &Session) -> RelayFrame {
    let frame = match result {
        Ok(Delivery::Token { index, text }) => Frame::Token(peer::Token { index, text }),
        Ok(Delivery::Ended(ending)) => Frame::Ending(to_wire_ending(ending)),
        Err(refused) => Frame::Refusal(refusal::body(&refused, &session.request().id)),
    };
    RelayFrame { frame: Some(frame) }
}

fn to_wire_ending(ending: Ending) -> peer::Ending {
    peer::Ending {
        prompt_tokens: ending.prompt_tokens,
        cached_tokens: ending.cached_tokens,
        completion_tokens: ending.completion_tokens,
        engine: ending.engine,
        finish_reason: ending.finish_reason,
    }
}

fn refuse(relayed: &RelayRequest, kind: Kind, detail: &str) -> Frames {
    let call = Call::new(relayed.request_id.clone(), relayed.once);
    let body = refusal::body(&call.refuse(kind, detail), &relayed.request_id);
    let frame = RelayFrame {
        frame: Some(Frame::Refusal(body)),
    };
    Box::pin(tokio_stream::once(Ok(frame)))
}
