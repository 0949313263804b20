//! A span for each hop of a request, with W3C `traceparent` in and out.

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

/// Makes the spans of one node.
#[derive(Clone, Debug)]
pub struct Traces {
    provider: Option<SdkTracerProvider>,
    tracer: Option<SdkTracer>,
}

impl Traces {
    /// Spans appended to a file as JSON lines; an empty path keeps none.
    pub fn new(path: &str) -> io::Result<Self> {
        if path.is_empty() {
            return Ok(Traces {
                provider: None,
                tracer: None,
            });
        }
        let file = File::options().create(true).append(true).open(path)?;
        let exporter = LineExporter {
            file: Mutex::new(file),
        };
        let processor = BatchSpanProcessor::builder(exporter).build();
        let provider = SdkTracerProvider::builder()
            .with_span_processor(processor)
            .build();
        let tracer = Some(provider.tracer("croftpond"));
        Ok(Traces {
            provider: Some(provider),
            tracer,
        })
    }

    /// The first hop here of a request that came with this `traceparent`.
    pub fn enter(&self, name: &'static str, traceparent: Option<&str>) -> Hop {
        let carrier: HashMap<String, String> = traceparent
            .map(|value| (TRACEPARENT.to_string(), value.to_string()))
            .into_iter()
            .collect();
        let parent = TraceContextPropagator::new().extract_with_context(&Context::new(), &carrier);
        self.start(name, &parent)
    }

    /// Writes out the spans that ended.
    pub fn flush(&self) {
        if let Some(provider) = &self.provider {
            let _ = provider.force_flush();
        }
    }

    fn start(&self, name: &'static str, parent: &Context) -> Hop {
        let context = match &self.tracer {
            Some(tracer) => parent.with_span(tracer.start_with_context(name, parent)),
            None => parent.clone(),
        };
        Hop {
            traces: self.clone(),
            context,
        }
    }
}

/// One hop; it ends when dropped.
#[derive(Debug)]
pub struct Hop {
    traces: Traces,
    context: Context,
}

impl Hop {
    /// A hop inside this one.
    pub fn child(&self, name: &'static str) -> Hop {
        self.traces.start(name, &self.context)
    }

    /// Notes a fact. Never put a secret or a prompt here.
    pub fn set(&self, key: &'static str, value: impl Into<String>) {
        self.context
            .span()
            .set_attribute(KeyValue::new(key, value.into()));
    }

    /// The `traceparent` to send on.
    pub fn traceparent(&self) -> Option<String> {
        let mut carrier = HashMap::new();
        TraceContextPropagator::new().inject_context(&self.context, &mut carrier);
        carrier.remove(TRACEPARENT)
    }
}

impl Drop for Hop {
    fn drop(&mut self) {
        if self.traces.tracer.is_some() {
            self.context.span().end();
        }
    }
}

#[derive(Debug)]
struct LineExporter {
    file: Mutex<File>,
}

impl SpanExporter for LineExporter {
    async fn export(&self, batch: Vec<SpanData>) -> OTelSdkResult {
        let lines: String = batch.iter().map(line_of).collect();
        let mut file = self
            .file
            .lock()
            .map_err(|e| OTelSdkError::InternalFailure(e.to_string()))?;
        file.write_all(lines.as_bytes())
            .map_err(|e| OTelSdkError::InternalFailure(e.to_string()))
    }
}

fn line_of(span: &SpanData) -> String {
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
