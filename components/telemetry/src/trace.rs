//! Trace spans for the steps of a request, with the trace context read from and written to the W3C
//! `traceparent` header.

use std::collections::HashMap;
use std::fs::File;
use std::io::{self, Write};
use std::sync::Mutex;
use std::time::UNIX_EPOCH;

use opentelemetry::propagation::TextMapPropagator;
use opentelemetry::trace::{TraceContextExt, Tracer, TracerProvider as _};
use opentelemetry::{Context, KeyValue};
use opentelemetry_sdk::error::{OTelSdkError, OTelSdkResult};
use opentelemetry_sdk::propagation::TraceContextPropagator;
use opentelemetry_sdk::trace::{
    BatchSpanProcessor, SdkTracer, SdkTracerProvider, SpanData, SpanExporter,
};

const TRACEPARENT: &str = "traceparent";

/// Creates the spans of one node.
#[derive(Clone, Debug)]
pub struct RequestTracer {
    provider: Option<SdkTracerProvider>,
    sdk_tracer: Option<SdkTracer>,
}

impl RequestTracer {
    /// Creates a tracer that appends spans to a file as JSON lines; with an empty path it records none.
    /// Returns an error if the file can't be opened.
    pub fn new(path: &str) -> io::Result<Self> {
        if path.is_empty() {
            return Ok(RequestTracer {
                provider: None,
                sdk_tracer: None,
            });
        }
        let file = File::options().create(true).append(true).open(path)?;
        let exporter = JsonLineExporter {
            file: Mutex::new(file),
        };
        let processor = BatchSpanProcessor::builder(exporter).build();
        let provider = SdkTracerProvider::builder()
            .with_span_processor(processor)
            .build();
        let sdk_tracer = Some(provider.tracer("croftpond"));
        Ok(RequestTracer {
            provider: Some(provider),
            sdk_tracer,
        })
    }

    /// Starts the first span of a request at this node, as a child of the request's `traceparent` if it has
    /// one.
    pub fn start_request(&self, name: &'static str, traceparent: Option<&str>) -> RequestSpan {
        let carrier: HashMap<String, String> = traceparent
            .map(|value| (TRACEPARENT.to_string(), value.to_string()))
            .into_iter()
            .collect();
        let parent = TraceContextPropagator::new().extract_with_context(&Context::new(), &carrier);
        self.start_span(name, &parent)
    }

    /// Exports the ended spans to the file.
    pub fn flush(&self) {
        if let Some(provider) = &self.provider {
            let _ = provider.force_flush();
        }
    }

    fn start_span(&self, name: &'static str, parent: &Context) -> RequestSpan {
        let context = match &self.sdk_tracer {
            Some(tracer) => parent.with_span(tracer.start_with_context(name, parent)),
            None => parent.clone(),
        };
        RequestSpan {
            tracer: self.clone(),
            context,
        }
    }
}

/// Span of one step of a request; it ends when dropped.
#[derive(Debug)]
pub struct RequestSpan {
    tracer: RequestTracer,
    context: Context,
}

impl RequestSpan {
    /// Starts a child span.
    pub fn child(&self, name: &'static str) -> RequestSpan {
        self.tracer.start_span(name, &self.context)
    }

    /// Sets an attribute. Secrets and prompts must not be recorded.
    pub fn set_attribute(&self, key: &'static str, value: impl Into<String>) {
        self.context
            .span()
            .set_attribute(KeyValue::new(key, value.into()));
    }

    /// `traceparent` value to send with outgoing requests.
    pub fn traceparent(&self) -> Option<String> {
        let mut carrier = HashMap::new();
        TraceContextPropagator::new().inject_context(&self.context, &mut carrier);
        carrier.remove(TRACEPARENT)
    }
}

impl Drop for RequestSpan {
    fn drop(&mut self) {
        if self.tracer.sdk_tracer.is_some() {
            self.context.span().end();
        }
    }
}

#[derive(Debug)]
struct JsonLineExporter {
    file: Mutex<File>,
}

impl SpanExporter for JsonLineExporter {
    async fn export(&self, batch: Vec<SpanData>) -> OTelSdkResult {
        let lines: String = batch.iter().map(json_line).collect();
        let mut file = self
            .file
            .lock()
            .map_err(|e| OTelSdkError::InternalFailure(e.to_string()))?;
        file.write_all(lines.as_bytes())
            .map_err(|e| OTelSdkError::InternalFailure(e.to_string()))
    }
}

fn json_line(span: &SpanData) -> String {
    let micros = |at: std::time::SystemTime| {
        at.duration_since(UNIX_EPOCH)
            .map_or(0, |d| d.as_micros() as u64)
    };
    let attributes: HashMap<String, String> = span
        .attributes
        .iter()
        .map(|kv| (kv.key.to_string(), kv.value.to_string()))
        .collect();
    let line = serde_json::json!({
        "trace": span.span_context.trace_id().to_string(),
        "span": span.span_context.span_id().to_string(),
        "parent": span.parent_span_id.to_string(),
        "name": span.name,
        "start_us": micros(span.start_time),
        "end_us": micros(span.end_time),
        "attributes": attributes,
    });
    format!("{line}\n")
}
