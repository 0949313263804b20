//! Counters and timers, sent to statsd and kept for `status`.

use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use cadence::{Counted, NopMetricSink, QueuingMetricSink, StatsdClient, Timed, UdpMetricSink};

/// Prefix of every name.
const PREFIX: &str = "croftpond";

macro_rules! named {
    ($(#[$outer:meta])* $kind:ident { $($(#[$doc:meta])* $variant:ident => $name:literal,)* }) => {
        $(#[$outer])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub enum $kind { $($(#[$doc])* $variant,)* }

        impl $kind {
            /// All of them, in the order of the documentation.
            pub const ALL: &'static [$kind] = &[$($kind::$variant,)*];

            /// Name sent to statsd.
            pub fn name(self) -> &'static str {
                match self { $($kind::$variant => $name,)* }
            }
        }
    };
}

named! {
    /// Counters; docs/OPERATIONS.md lists them.
    Counter {
        /// Requests accepted for work.
        Accepted => "request.accepted",
        /// Requests answered whole.
        Done => "request.done",
        /// Requests refused as not run.
        Refused => "request.refused",
        /// Requests that may have run and have no whole answer.
        Failed => "request.failed",
        /// Requests whose caller hung up.
        Abandoned => "request.abandoned",
        /// Attempts sent to endpoints.
        Attempts => "attempt.sent",
        /// Attempts after a failure.
        Retries => "attempt.retry",
        /// Attempts beside a slow one.
        Hedges => "attempt.hedge",
        /// Streams moved off a leaving endpoint.
        Moves => "attempt.move",
        /// Batch streams that made room.
        Yields => "attempt.yield",
        /// Retries refused for lack of budget.
        RetryBudget => "attempt.no_budget",
        /// Streams taken up from a resume token.
        Resumed => "request.resumed",
        /// Tokens given to callers.
        Tokens => "token.sent",
        /// Tokens of prompt and answer computed again after a move or resume.
        Recomputed => "token.recomputed",
        /// Claims made.
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
        /// Pages asked for again since they did not come.
        StoreRepeats => "platform.repeats",
        /// Bytes of rows taken from gateways of the own region.
        RowsBytesOwnRegion => "rows.bytes.own_region",
        /// Bytes of rows taken from gateways of other regions.
        RowsBytesOtherRegion => "rows.bytes.other_region",
        /// Calls to the platform without an answer.
        PlatformUnanswered => "platform.unanswered",
        /// Restores of the store from an older copy that this gateway detected.
        StoreRestored => "platform.restored",
        /// Datagrams sent to other nodes.
        PacketsSent => "peer.sent",
        /// Bytes of those datagrams.
        BytesSent => "peer.bytes_sent",
        /// Datagrams taken from other nodes.
        PacketsTaken => "peer.taken",
        /// Datagrams dropped as malformed, foreign, oversized or replayed.
        PacketsDropped => "peer.dropped",
        /// Configurations put in force.
        Applied => "config.applied",
        /// Orders sent to endpoints.
        Orders => "fleet.order",
        /// Requests sent to another region.
        RegionSent => "region.sent",
        /// Bytes of those requests and their answers, as they are counted on the link.
        RegionBytes => "region.bytes",
        /// Requests that would have gained in another region and were kept, for want of room on the link.
        RegionDeclined => "region.declined",
        /// Plans of endpoints while it is not known what one bears.
        PlansUnknown => "fleet.unknown",
        /// Orders that give endpoints back.
        GivenBack => "fleet.given_back",
        /// Listener restarts after a failed accept.
        ListenerRestarts => "listener.restart",
        /// Entries of endpoints that can't be read.
        EntriesPassedOver => "entries.passed_over",
        /// Suspensions of the VM that the gateway noticed.
        Suspensions => "vm.suspended",
        /// Jumps of the VM's clock of the day.
        DayJumps => "clock.day_jumped",
        /// Endpoints that started again under their id.
        Restarts => "endpoint.started_again",
        /// Answers in which an endpoint said that it leaves.
        LeavingSaid => "endpoint.leaving_said",
        /// Answers in which an endpoint asked for a pause.
        PauseAsked => "endpoint.pause_asked",
        /// Answers in which an endpoint named a limit.
        LimitNamed => "endpoint.limit_named",
        /// Sends to endpoints that name limits that were granted to this gateway.
        SendsGranted => "endpoint.sends_granted",
        /// Sends to endpoints that name limits that were not granted.
        SendsRefused => "endpoint.sends_refused",
        /// Contents held back since the endpoints that ran them ended.
        Quarantined => "quarantine.held",
        /// Requests refused since their content is held back.
        QuarantineRefused => "quarantine.refused",
        /// Requests refused for want of memory.
        MemoryRefused => "memory.refused",
        /// Answers whose endpoint was not read on for a time, for want of memory.
        MemoryWaits => "memory.wait",
        /// Answers cut off since their callers read too slowly and others needed the memory.
        MemoryCut => "memory.cut",
        /// Times that no connections were taken for want of memory.
        AcceptPaused => "memory.accept_paused",
        /// Connections ended since a head took too long.
        SlowHeads => "caller.slow_head",
        /// Connections ended since an answer was not taken long after its time.
        UntakenAnswers => "caller.untaken",
    }
}

named! {
    /// Gauges, in bytes; docs/OPERATIONS.md lists them.
    Gauge {
        /// Callers' bodies that are being read.
        BodiesRead => "memory.bodies_read",
        /// Callers' bodies kept until they need not be sent again.
        BodiesKept => "memory.bodies_kept",
        /// Events that wait for their callers.
        ReadAhead => "memory.read_ahead",
        /// Answers known as a whole, or being read.
        WholeAnswers => "memory.whole_answers",
        /// Open connections, at a measured cost each.
        Connections => "memory.connections",
        /// Most that was held at once.
        HeldPeak => "memory.held_peak",
        /// What may be held; 0 sets no bound.
        Budget => "memory.budget",
    }
}

named! {
    /// Timers; docs/OPERATIONS.md lists them.
    Timer {
        /// From a request's arrival to its first token or service answer.
        FirstToken => "time.first_token",
        /// From a request's arrival to its end.
        Whole => "time.whole",
        /// One routing decision.
        Decision => "time.decision",
    }
}

/// Upper bounds of a timer's buckets, in milliseconds; one more bucket takes what is longer.
const BUCKETS_MS: [u64; 12] = [2, 5, 10, 25, 50, 100, 250, 500, 1000, 2500, 5000, 10_000];

/// How often a timer fell into each bucket.
#[derive(Debug, Default)]
struct Histogram {
    buckets: [AtomicU64; BUCKETS_MS.len() + 1],
    sum_us: AtomicU64,
}

impl Histogram {
    fn note(&self, duration: Duration) {
        let ms = duration.as_millis() as u64;
        let bucket = BUCKETS_MS.partition_point(|bound| *bound < ms);
        self.buckets[bucket].fetch_add(1, Ordering::Relaxed);
        let micros = duration.as_micros() as u64;
        self.sum_us.fetch_add(micros, Ordering::Relaxed);
    }

    // Cumulative counts, as readers of histograms expect them.
    fn text(&self, name: &str) -> String {
        let mut text = String::new();
        let mut count = 0;
        for (i, bucket) in self.buckets.iter().enumerate() {
            count += bucket.load(Ordering::Relaxed);
            let bound = BUCKETS_MS.get(i).map_or("+Inf".to_string(), u64::to_string);
            text += &format!("{name}_ms_bucket{{le=\"{bound}\"}} {count}\n");
        }
        let sum_ms = self.sum_us.load(Ordering::Relaxed) / 1000;
        text + &format!("{name}_ms_sum {sum_ms}\n{name}_ms_count {count}\n")
    }
}

/// The counters and timers of one node.
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
    /// Metrics sent to a statsd address, or only kept when there is none.
    pub fn new(statsd: Option<SocketAddr>) -> std::io::Result<Self> {
        let client = match statsd {
            None => StatsdClient::from_sink(PREFIX, NopMetricSink),
            Some(address) => StatsdClient::from_sink(PREFIX, sink(address)?),
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

    /// Adds one.
    pub fn count(&self, counter: Counter) {
        self.add(counter, 1);
    }

    /// Adds `n`.
    pub fn add(&self, counter: Counter, n: u64) {
        if let Some(count) = self.counts.get(&counter) {
            count.fetch_add(n, Ordering::Relaxed);
        }
        let _ = self.client.count(counter.name(), n as i64);
    }

    /// Notes a duration.
    pub fn time(&self, timer: Timer, duration: Duration) {
        if let Some(histogram) = self.timers.get(&timer) {
            histogram.note(duration);
        }
        let _ = self.client.time(timer.name(), duration);
    }

    /// Sets a gauge.
    pub fn set(&self, gauge: Gauge, value: u64) {
        if let Some(kept) = self.gauges.get(&gauge) {
            kept.store(value, Ordering::Relaxed);
        }
    }

    /// Value of a gauge.
    pub fn gauge(&self, gauge: Gauge) -> u64 {
        let value = self.gauges.get(&gauge);
        value.map_or(0, |value| value.load(Ordering::Relaxed))
    }

    /// What was counted so far.
    pub fn get(&self, counter: Counter) -> u64 {
        self.counts
            .get(&counter)
            .map_or(0, |c| c.load(Ordering::Relaxed))
    }

    /// All counters, gauges and histograms as text, a line each.
    pub fn text(&self) -> String {
        let mut text = String::new();
        for (counter, count) in &self.counts {
            let count = count.load(Ordering::Relaxed);
            text += &format!("{} {count}\n", plain_name(counter.name()));
        }
        for (gauge, value) in &self.gauges {
            let value = value.load(Ordering::Relaxed);
            text += &format!("{} {value}\n", plain_name(gauge.name()));
        }
        for (timer, histogram) in &self.timers {
            text += &histogram.text(&plain_name(timer.name()));
        }
        text
    }

    /// All counters by name.
    pub fn all(&self) -> BTreeMap<&'static str, u64> {
        Counter::ALL
            .iter()
            .map(|c| (c.name(), self.get(*c)))
            .collect()
    }
}

/// Name of a metric where only letters, digits and underscores are allowed.
fn plain_name(name: &str) -> String {
    format!("{PREFIX}_{}", name.replace('.', "_"))
}

// A queue of its own keeps a slow network off the traffic threads.
fn sink(address: SocketAddr) -> std::io::Result<QueuingMetricSink> {
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
