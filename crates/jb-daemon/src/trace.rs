//! Traces: a span for each hop, joined across boxes by the W3C trace context.

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

/// Longest time that an ended span waits to be exported.
const EXPORT_DELAY: Duration = Duration::from_secs(1);
const VERSION: &str = "00";
const SAMPLED: &str = "01";

/// Why spans cannot be exported.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
#[error("traces cannot be exported to {address}: {message}")]
#[diagnostic(
    code(settings::traces),
    help("leave `traces` out, or name the collector's address")
)]
pub struct Error {
    address: SocketAddr,
    message: String,
}

/// Makes spans, or passes trace contexts on where no collector is set.
#[derive(Default)]
pub struct Traces {
    tracer: Option<SdkTracer>,
    // Exports what is waiting when dropped.
    _provider: Option<SdkTracerProvider>,
}

/// One hop of a request; its span ends when this is dropped.
pub struct Hop {
    span: Option<Span>,
    traceparent: Option<String>,
}

impl Traces {
    /// Exports spans to the collector at `address`.
    ///
    /// # Errors
    /// When the exporter cannot be set up.
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

    /// Begins a hop below the hop that `parent` names.
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
    /// Trace context for the next hop.
    pub fn traceparent(&self) -> Option<String> {
        self.traceparent.clone()
    }

    /// Notes a fact about the hop.
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
