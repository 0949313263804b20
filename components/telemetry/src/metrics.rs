//! Counters, gauges and timers of a node, kept in memory; counters and timers are also sent to statsd.

use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use cadence::{Counted, NopMetricSink, QueuingMetricSink, StatsdClient, Timed, UdpMetricSink};

/// Prefix of every metric name.
const PREFIX: &str = "croftpond";

macro_rules! metric_names {
    ($(#[$outer:meta])* $kind:ident { $($(#[$doc:meta])* $variant:ident => $name:literal,)* }) => {
        $(#[$outer])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub enum $kind { $($(#[$doc])* $variant,)* }

        impl $kind {
            /// All variants, in the order of docs/OPERATIONS.md.
            pub const ALL: &'static [$kind] = &[$($kind::$variant,)*];

            /// Metric name without the prefix.
            pub fn name(self) -> &'static str {
                match self { $($kind::$variant => $name,)* }
            }
        }
    };
}

metric_names! {
    /// Counters; docs/OPERATIONS.md lists them.
    Counter {
        /// Requests accepted for processing.
        Accepted => "request.accepted",
        /// Requests answered completely.
        Done => "request.done",
        /// Requests refused and reported as not run.
        Refused => "request.refused",
        /// Requests that may have run and got no complete answer.
        Failed => "request.failed",
        /// Requests whose caller closed the connection.
        Abandoned => "request.abandoned",
        /// Attempts sent to endpoints.
        Attempts => "attempt.sent",
        /// Retries after a failed attempt.
        Retries => "attempt.retry",
        /// Hedged attempts, sent in parallel to a slow one.
        Hedges => "attempt.hedge",
        /// Streams moved away from a leaving endpoint.
        Moves => "attempt.move",
        /// Batch streams preempted for requests of a higher class.
        Preemptions => "attempt.yield",
        /// Retries refused because the retry budget was exhausted.
        RetryBudgetExhausted => "attempt.no_budget",
        /// Streams resumed from a resume token.
        Resumed => "request.resumed",
        /// Tokens sent to callers.
        Tokens => "token.sent",
        /// Prompt and answer tokens recomputed after a move or a resume.
        Recomputed => "token.recomputed",
        /// Claims made for calls with an idempotency key.
        Claims => "claim.made",
        /// Duplicates answered from a stored outcome.
        ClaimStored => "claim.stored",
        /// Calls to the table.
        TableCalls => "platform.table",
        /// Bytes of the configuration read from the store.
        StoreConfigurationBytes => "platform.bytes.configuration",
        /// Bytes of endpoints read from the store.
        StoreEndpointsBytes => "platform.bytes.endpoints",
        /// Bytes of the list of gateways read from the store.
        StoreGatewaysBytes => "platform.bytes.gateways",
        /// Pages requested again because no answer came.
        StoreRetries => "platform.repeats",
        /// Bytes of rows received from gateways of the own region.
        RowsBytesOwnRegion => "rows.bytes.own_region",
        /// Bytes of rows received from gateways of other regions.
        RowsBytesOtherRegion => "rows.bytes.other_region",
        /// Calls to the platform without an answer.
        PlatformUnanswered => "platform.unanswered",
        /// Restores of the store from an older copy that this gateway detected.
        StoreRestored => "platform.restored",
        /// Datagrams sent to other nodes.
        PacketsSent => "peer.sent",
        /// Bytes of those datagrams.
        BytesSent => "peer.bytes_sent",
        /// Datagrams received from other nodes and accepted.
        PacketsReceived => "peer.taken",
        /// Datagrams dropped as malformed, foreign, oversized or replayed.
        PacketsDropped => "peer.dropped",
        /// Configurations put into effect.
        ConfigurationsApplied => "config.applied",
        /// Orders sent to endpoints.
        Orders => "fleet.order",
        /// Requests sent to another region.
        RegionSent => "region.sent",
        /// Bytes of those requests and their answers, as counted against the link between the regions.
        RegionBytes => "region.bytes",
        /// Requests that would have gained in another region, kept because the link between the regions
        /// had no capacity left.
        RegionDeclined => "region.declined",
        /// Scaling plans made while the capacity of an endpoint was unknown.
        PlansUnknownCapacity => "fleet.unknown",
        /// Orders that give endpoints back.
        GivenBack => "fleet.given_back",
        /// Listener restarts after a failed accept.
        ListenerRestarts => "listener.restart",
        /// Unreadable entries of endpoints, skipped.
        EntriesSkipped => "entries.passed_over",
        /// Suspensions of the VM that the gateway detected.
        Suspensions => "vm.suspended",
        /// Jumps of the VM's wall clock.
        WallClockJumps => "clock.day_jumped",
        /// Endpoints that restarted under the same id.
        EndpointRestarts => "endpoint.started_again",
        /// Answers in which an endpoint announced that it leaves.
        LeavingAnnounced => "endpoint.leaving_said",
        /// Answers in which an endpoint requested a pause.
        PauseRequested => "endpoint.pause_asked",
        /// Answers in which an endpoint reported a limit.
        LimitReported => "endpoint.limit_named",
        /// Sends granted to this gateway, at endpoints that report limits.
        SendsGranted => "endpoint.sends_granted",
        /// Sends not granted to this gateway, at endpoints that report limits.
        SendsRefused => "endpoint.sends_refused",
        /// Request contents quarantined because the endpoints that ran them ended.
        Quarantined => "quarantine.held",
        /// Requests refused because their content is quarantined.
        QuarantineRefused => "quarantine.refused",
        /// Requests refused because of the memory budget.
        MemoryRefused => "memory.refused",
        /// Pauses in reading an answer from its endpoint (back-pressure) because of the memory budget.
        MemoryWaits => "memory.wait",
        /// Answers interrupted because their callers read too slowly and others needed the memory.
        MemoryInterruptions => "memory.cut",
        /// Pauses in accepting connections because of the memory budget.
        AcceptPaused => "memory.accept_paused",
        /// Connections closed because a request head took too long.
        SlowHeads => "caller.slow_head",
        /// Connections closed because the caller did not read an answer until long after its time.
        UnreadAnswers => "caller.untaken",
        /// Connections to endpoints that were opened through another gateway.
        RelayedConnections => "endpoint.relayed",
        /// Connections to endpoints that count at another gateway, which has a part of them left.
        BorrowedConnections => "endpoint.borrowed",
        /// Decisions that a coordinator did not make because its endpoint records were too old.
        OutdatedDecisions => "decision.outdated",
        /// Reads of the store through another gateway, because the store did not answer this one.
        RelayedReads => "platform.relayed",
        /// Connections to endpoints that this gateway opened for others.
        TunnelsOpened => "tunnel.opened",
        /// Connections that other gateways asked for and this one did not open.
        TunnelsRefused => "tunnel.refused",
        /// Streams that callers continue and whose software version is known.
        StreamsContinued => "stream.continued",
        /// Streams that callers continue, refused because their software version is not known.
        StreamsOfUnknownVersion => "stream.unknown_version",
    }
}

metric_names! {
    /// Gauges, in bytes unless they say otherwise; docs/OPERATIONS.md lists them.
    Gauge {
        /// Request bodies being read.
        BodiesRead => "memory.bodies_read",
        /// Request bodies kept until they can no longer be sent again.
        BodiesKept => "memory.bodies_kept",
        /// Events buffered for callers that have not read them yet.
        ReadAhead => "memory.read_ahead",
        /// Answers that are buffered completely, or being read for that.
        WholeAnswers => "memory.whole_answers",
        /// Open connections, each at a measured memory cost.
        Connections => "memory.connections",
        /// Peak of the memory held at once.
        HeldPeak => "memory.held_peak",
        /// Maximum memory that may be held; 0 means no limit.
        Budget => "memory.budget",
        /// This gateway's part of the fixed allowance of each retry budget, in thousandths.
        RetryPart => "retry.part_milli",
        /// Other gateways that are alive, a count.
        AlivePeers => "gateway.alive_peers",
        /// 1 while the paths to all endpoints seem to be lost, else 0.
        PathsLost => "endpoint.paths_lost",
        /// Streams whose software version this gateway knows, a count.
        StreamRecords => "stream.records",
        /// Longest time since the start in which the traffic thread read no sockets, in milliseconds.
        LongestTurn => "traffic.longest_turn_ms",
    }
}

metric_names! {
    /// Timers; docs/OPERATIONS.md lists them.
    Timer {
        /// From a request's arrival to its first token or service answer.
        FirstToken => "time.first_token",
        /// From a request's arrival to its end, in total.
        RequestTotal => "time.whole",
        /// One routing decision.
        Decision => "time.decision",
    }
}

/// Inclusive upper bounds of a timer's buckets, in milliseconds; one more bucket counts longer durations.
const BUCKET_BOUNDS_MS: [u64; 12] = [2, 5, 10, 25, 50, 100, 250, 500, 1000, 2500, 5000, 10_000];

/// Number of durations per bucket, and their sum.
#[derive(Debug, Default)]
struct Histogram {
    buckets: [AtomicU64; BUCKET_BOUNDS_MS.len() + 1],
    sum_us: AtomicU64,
}

impl Histogram {
    fn record(&self, duration: Duration) {
        let ms = duration.as_millis() as u64;
        let bucket = BUCKET_BOUNDS_MS.partition_point(|bound| *bound < ms);
        self.buckets[bucket].fetch_add(1, Ordering::Relaxed);
        let micros = duration.as_micros() as u64;
        self.sum_us.fetch_add(micros, Ordering::Relaxed);
    }

    // Prometheus text format, in which the bucket counts are cumulative.
    fn to_text(&self, name: &str) -> String {
        let mut text = String::new();
        let mut count = 0;
        for (i, bucket) in self.buckets.iter().enumerate() {
            count += bucket.load(Ordering::Relaxed);
            let bound = BUCKET_BOUNDS_MS
                .get(i)
                .map_or("+Inf".to_string(), u64::to_string);
            text += &format!("{name}_ms_bucket{{le=\"{bound}\"}} {count}\n");
        }
        let sum_ms = self.sum_us.load(Ordering::Relaxed) / 1000;
        text + &format!("{name}_ms_sum {sum_ms}\n{name}_ms_count {count}\n")
    }
}

/// The counters, gauges and timers of one node.
pub struct Metrics {
    client: StatsdClient,
    counts: BTreeMap<Counter, AtomicU64>,
    timers: BTreeMap<Timer, Histogram>,
    gauges: BTreeMap<Gauge, AtomicU64>,
}

impl std::fmt::Debug for Metrics {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Metrics")
            .field("counts", &self.counts)
            .finish()
    }
}

impl Metrics {
    /// Creates metrics that are sent to a statsd address, or only kept if there is none. Returns
    /// an error if the socket can't be opened.
    pub fn new(statsd: Option<SocketAddr>) -> std::io::Result<Self> {
        let client = match statsd {
            None => StatsdClient::from_sink(PREFIX, NopMetricSink),
            Some(address) => StatsdClient::from_sink(PREFIX, udp_sink(address)?),
        };
        let counts = Counter::ALL
            .iter()
            .map(|c| (*c, AtomicU64::new(0)))
            .collect();
        let timers = Timer::ALL
            .iter()
            .map(|timer| (*timer, Histogram::default()))
            .collect();
        let gauges = Gauge::ALL
            .iter()
            .map(|gauge| (*gauge, AtomicU64::new(0)))
            .collect();
        Ok(Metrics {
            client,
            counts,
            timers,
            gauges,
        })
    }

    /// Increments a counter by one.
    pub fn count(&self, counter: Counter) {
        self.add(counter, 1);
    }

    /// Increments a counter by `n`.
    pub fn add(&self, counter: Counter, n: u64) {
        if let Some(count) = self.counts.get(&counter) {
            count.fetch_add(n, Ordering::Relaxed);
        }
        let _ = self.client.count(counter.name(), n as i64);
    }

    /// Records a duration.
    pub fn record_duration(&self, timer: Timer, duration: Duration) {
        if let Some(histogram) = self.timers.get(&timer) {
            histogram.record(duration);
        }
        let _ = self.client.time(timer.name(), duration);
    }

    /// Sets a gauge.
    pub fn set(&self, gauge: Gauge, value: u64) {
        if let Some(current) = self.gauges.get(&gauge) {
            current.store(value, Ordering::Relaxed);
        }
    }

    /// Value of a gauge.
    pub fn gauge(&self, gauge: Gauge) -> u64 {
        let value = self.gauges.get(&gauge);
        value.map_or(0, |value| value.load(Ordering::Relaxed))
    }

    /// Value of a counter.
    pub fn get(&self, counter: Counter) -> u64 {
        self.counts
            .get(&counter)
            .map_or(0, |c| c.load(Ordering::Relaxed))
    }

    /// All counters, gauges and histograms in the Prometheus text format.
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        for (counter, count) in &self.counts {
            let count = count.load(Ordering::Relaxed);
            text += &format!("{} {count}\n", text_format_name(counter.name()));
        }
        for (gauge, value) in &self.gauges {
            let value = value.load(Ordering::Relaxed);
            text += &format!("{} {value}\n", text_format_name(gauge.name()));
        }
        for (timer, histogram) in &self.timers {
            text += &histogram.to_text(&text_format_name(timer.name()));
        }
        text
    }

    /// Values of all counters by metric name.
    pub fn counters_by_name(&self) -> BTreeMap<&'static str, u64> {
        Counter::ALL
            .iter()
            .map(|c| (c.name(), self.get(*c)))
            .collect()
    }
}

/// Metric name for the text format, which allows only letters, digits and underscores.
fn text_format_name(name: &str) -> String {
    format!("{PREFIX}_{}", name.replace('.', "_"))
}

// The sink queues metrics for a thread of its own, so that a slow network does not block traffic threads.
fn udp_sink(address: SocketAddr) -> std::io::Result<QueuingMetricSink> {
    let socket = UdpSocket::bind("0.0.0.0:0")?;
    let udp = UdpMetricSink::from(address, socket).map_err(std::io::Error::other)?;
    Ok(QueuingMetricSink::from(udp))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn can_send_a_counter_under_its_documented_name() {
        let server = UdpSocket::bind("127.0.0.1:0").unwrap();
        server
            .set_read_timeout(Some(Duration::from_secs(10)))
            .unwrap();
        let metrics = Metrics::new(server.local_addr().ok()).unwrap();
        metrics.add(Counter::Tokens, 3);
        let mut buffer = [0; 256];
        let length = server.recv(&mut buffer).unwrap();
        assert_eq!(&buffer[..length], b"croftpond.token.sent:3|c");
        assert_eq!(metrics.get(Counter::Tokens), 3);
    }
}
