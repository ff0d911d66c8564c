//! Tracing: one span per hop, linked across boxes by the W3C trace context.

use std::net::SocketAddr;
use std::time::Duration;

use opentelemetry::trace::{
    Span as _, SpanContext, SpanId, SpanKind, TraceContextExt as _, TraceFlags, TraceId, TraceState,
    Tracer as _, TracerProvider as _,
};
use opentelemetry::{Context, KeyValue};
use opentelemetry_otlp::{Protocol, SpanExporter, WithExportConfig as _};
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::trace::{BatchConfigBuilder, BatchSpanProcessor, SdkTracer, SdkTracerProvider, Span};

/// Maximum time that a finished span waits for its export.
const EXPORT_DELAY: Duration = Duration::from_secs(1);
/// Version field of the `traceparent` header.
const VERSION: &str = "00";
/// Flags field of the `traceparent` header of a sampled trace.
const SAMPLED: &str = "01";

/// Error in setting up the export of spans.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
#[error("cannot export traces to {address}: {message}")]
#[diagnostic(
    code(settings::traces),
    help("set `traces` to the address of the collector, or remove it")
)]
pub struct Error {
    address: SocketAddr,
    message: String,
}

/// Creates spans; without a collector, only propagates trace contexts.
#[derive(Default)]
pub struct Traces {
    tracer: Option<SdkTracer>,
    // Held because dropping it exports the remaining spans.
    _provider: Option<SdkTracerProvider>,
}

/// One hop of a request. Its span ends when the hop is dropped.
pub struct Hop {
    span: Option<Span>,
    traceparent: Option<String>,
}

impl Traces {
    /// Creates spans and exports them to the collector at `address`.
    ///
    /// # Errors
    /// If the exporter cannot be set up.
    pub fn export_to(address: SocketAddr, id: &str, hall: &str) -> Result<Self, Error> {
        let exporter = SpanExporter::builder()
            .with_http()
            .with_protocol(Protocol::HttpJson)
            .with_endpoint(format!("http://{address}/v1/traces"))
            .build()
            .map_err(|e| Error {
                address,
                message: e.to_string(),
            })?;
        let config = BatchConfigBuilder::default()
            .with_scheduled_delay(EXPORT_DELAY)
            .build();
        let processor = BatchSpanProcessor::builder(exporter)
            .with_batch_config(config)
            .build();
        let resource = Resource::builder()
            .with_service_name("junctionbendd")
            .with_attribute(KeyValue::new("box", id.to_owned()))
            .with_attribute(KeyValue::new("hall", hall.to_owned()))
            .build();
        let provider = SdkTracerProvider::builder()
            .with_span_processor(processor)
            .with_resource(resource)
            .build();
        Ok(Self {
            tracer: Some(provider.tracer("junctionbend")),
            _provider: Some(provider),
        })
    }

    /// Begins a hop as a child of the one in the `traceparent` header value `parent`, if any.
    pub fn begin(&self, name: &'static str, kind: SpanKind, parent: Option<&str>) -> Hop {
        let Some(tracer) = &self.tracer else {
            return Hop {
                span: None,
                traceparent: parent.map(str::to_owned),
            };
        };
        let context = parent.and_then(parse).map_or_else(Context::new, |remote| {
            Context::new().with_remote_span_context(remote)
        });
        let span = tracer
            .span_builder(name)
            .with_kind(kind)
            .start_with_context(tracer, &context);
        let traceparent = Some(format(span.span_context()));
        Hop {
            span: Some(span),
            traceparent,
        }
    }
}

impl Hop {
    /// Returns the `traceparent` header value for the next hop.
    pub fn traceparent(&self) -> Option<String> {
        self.traceparent.clone()
    }

    /// Sets an attribute of the span.
    pub fn set_attribute(&mut self, key: &'static str, value: &str) {
        if let Some(span) = &mut self.span {
            span.set_attribute(KeyValue::new(key, value.to_owned()));
        }
    }
}

fn parse(traceparent: &str) -> Option<SpanContext> {
    let mut fields = traceparent.split('-').skip(1);
    let (trace, span) = (fields.next()?, fields.next()?);
    let context = SpanContext::new(
        TraceId::from_hex(trace).ok()?,
        SpanId::from_hex(span).ok()?,
        TraceFlags::SAMPLED,
        true,
        TraceState::default(),
    );
    context.is_valid().then_some(context)
}

fn format(context: &SpanContext) -> String {
    format!("{VERSION}-{}-{}-{SAMPLED}", context.trace_id(), context.span_id())
}
