//! Which software version began a stream: recorded when a stream begins, kept at several coordinators, and looked up when a
//! caller continues a stream at another gateway.
//!
//! Records are exchanged only while several versions of a service may have streams. A stream whose version is not known is
//! refused: an endpoint of another version would send events that do not fit those that the caller has.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use errors::Kind;
use origins::{Origin, StreamKey, StreamRecords};
use routing::placement::{incarnation, Placement};
use schema::messages::{
    Decision, DecisionReply, StreamQuery, StreamRecord, StreamReply, StreamReport,
};
use slog::info;
use telemetry::{Counter, Gauge};
use tokio::sync::mpsc::{unbounded_channel, UnboundedSender};
use tokio::time::Instant;
use topology::Distance;

use crate::answer::Refusal;
use crate::decisions::{OTHER_REGION_REPLY_TIMEOUT, REPLY_TIMEOUT};
use crate::job::Job;
use crate::peers::{AccountKeeper, COORDINATORS_PER_HALL};
use crate::state::State;
use crate::traffic::Traffic;

/// Number of further coordinators of the own hall, and of other halls, that keep the record of a stream.
const KEEPERS_IN_OWN_HALL: usize = 1;
const KEEPERS_IN_OTHER_HALLS: usize = 1;
/// Number of coordinators, over all halls of the region, that are asked for a record, besides those of the own hall. It covers the
/// keepers in other halls as every hall ranks them, without its own coordinators.
const ASKED_KEEPERS: usize = COORDINATORS_PER_HALL + KEEPERS_IN_OTHER_HALLS;
/// Number of coordinators that a gateway which does not decide itself uses.
const USED_COORDINATORS: usize = 2;
/// Additional reply timeout of a coordinator that asks others before it replies.
const FORWARDING_TIME: Duration = Duration::from_millis(60);
/// Time after which keepers are asked again, and those of other regions too: records are reported every 100 ms, and a caller may be
/// faster.
const SECOND_LOOKUP_DELAY: Duration = Duration::from_millis(120);
/// Time after which a caller should retry when the version of its stream is not found.
const UNKNOWN_VERSION_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Index of the own region.
const OWN_REGION: usize = 0;
/// Maximum number of lookups at once. Each takes at most some 10 small datagrams for each region.
const MAX_LOOKUPS: usize = 256;
/// Maximum number of records in one message. They take some 40 bytes each, so that it stays one small datagram.
const MAX_RECORDS_PER_MESSAGE: usize = 25;
/// Maximum number of records of a service that wait until several versions serve; the oldest are dropped first.
const MAX_UNREPORTED: usize = 4096;
/// Maximum time for which a reported record is kept.
const MAX_REPORTED_LIFETIME: Duration = Duration::from_secs(600);
/// Maximum length of a reported version, in bytes.
const MAX_VERSION_BYTES: usize = 256;
/// Maximum length of the id of an attempt that a caller names, in bytes.
const MAX_ATTEMPT_ID_BYTES: usize = 256;

// A record that was not reported to the keepers yet.
#[derive(Debug)]
struct Unreported {
    key: StreamKey,
    origin: Origin,
    expires_at: Duration,
}

/// Records of streams, and lookups without a reply yet.
#[derive(Debug, Default)]
pub(crate) struct StreamOrigins {
    records: RefCell<StreamRecords>,
    // By service; those of one service expire in their order.
    unreported: RefCell<BTreeMap<String, VecDeque<Unreported>>>,
    // Whether several versions of a service may have streams, as a coordinator reported.
    several_versions: RefCell<BTreeMap<String, bool>>,
    lookups: RefCell<HashMap<i64, UnboundedSender<StreamReply>>>,
    number: Cell<i64>,
}

impl StreamOrigins {
    /// Delivers a reply to its lookup. A late reply is dropped.
    pub fn deliver(&self, reply: StreamReply) {
        if let Some(lookup) = self.lookups.borrow().get(&reply.number) {
            // The lookup may have ended.
            let _ = lookup.send(reply);
        }
    }

    fn next_number(&self) -> i64 {
        self.number.set(self.number.get() + 1);
        self.number.get()
    }
}

// Removes a lookup when it ends, also if its caller leaves.
struct LookupGuard<'a> {
    origins: &'a StreamOrigins,
    number: i64,
}

impl Drop for LookupGuard<'_> {
    fn drop(&mut self) {
        self.origins.lookups.borrow_mut().remove(&self.number);
    }
}

// Coordinators that a lookup asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Scope {
    OwnRegion,
    AllRegions,
}

// Result of a lookup.
#[derive(Debug, PartialEq, Eq)]
enum Found {
    // Recorded here.
    Recorded(String),
    // Recorded at another gateway.
    RecordedElsewhere(String),
    // The only version that can have begun a stream of the service.
    Only(String),
    Ambiguous,
    Nothing,
}

impl Found {
    fn version(&self) -> Option<&str> {
        match self {
            Found::Recorded(version) | Found::RecordedElsewhere(version) | Found::Only(version) => {
                Some(version)
            }
            Found::Ambiguous | Found::Nothing => None,
        }
    }

    // Name for the log.
    fn source(&self) -> &'static str {
        match self {
            Found::Recorded(_) => "own record",
            Found::RecordedElsewhere(_) => "record of another gateway",
            Found::Only(_) => "only version",
            Found::Ambiguous => "ambiguous",
            Found::Nothing => "unknown",
        }
    }

    fn into_reply(self, number: i64) -> StreamReply {
        let mut reply = StreamReply::new(number, None, None, None);
        match self {
            Found::Recorded(version) | Found::RecordedElsewhere(version) => {
                reply.recorded = Some(version);
            }
            Found::Only(version) => reply.only_version = Some(version),
            Found::Ambiguous => reply.is_ambiguous = Some(true),
            Found::Nothing => {}
        }
        reply
    }
}

impl State {
    // Coordinators that keep the record of a stream which began at this gateway, a coordinator, except itself.
    fn record_keepers(&self, key: StreamKey) -> Vec<SocketAddr> {
        let own_hall = self.other_keepers().filter(|k| self.is_own_hall(k));
        let others = self.other_keepers().filter(|k| !self.is_own_hall(k));
        let mut keepers = rank_keepers(key, own_hall, KEEPERS_IN_OWN_HALL);
        keepers.extend(rank_keepers(key, others, KEEPERS_IN_OTHER_HALLS));
        keepers
    }

    // Coordinators that are asked for the record of a stream.
    fn asked_keepers(&self, key: StreamKey, scope: Scope) -> Vec<SocketAddr> {
        let own_hall = self.other_keepers().filter(|k| self.is_own_hall(k));
        let ranked = rank_keepers(key, self.other_keepers(), ASKED_KEEPERS);
        let asked = own_hall.map(|k| k.address).chain(ranked);
        let mut asked: BTreeSet<SocketAddr> = asked.collect();
        if scope == Scope::AllRegions {
            let topology = self.balancer.network_costs().topology();
            let mut regions: BTreeMap<usize, Vec<&AccountKeeper>> = BTreeMap::new();
            for keeper in &self.fleet.keepers {
                let region = topology.region_index_of(&keeper.hall);
                regions.entry(region).or_default().push(keeper);
            }
            for (region, keepers) in regions {
                if region != OWN_REGION {
                    asked.extend(rank_keepers(key, keepers.into_iter(), ASKED_KEEPERS));
                }
            }
        }
        asked.into_iter().collect()
    }

    // Coordinators to which a gateway that does not decide itself reports streams, and which it asks for them.
    fn first_coordinators(&self) -> Vec<SocketAddr> {
        let fleet = &self.fleet;
        let deciders = fleet.coordinators.iter().chain(&fleet.fallback_deciders);
        deciders.take(USED_COORDINATORS).copied().collect()
    }

    fn other_keepers(&self) -> impl Iterator<Item = &AccountKeeper> {
        let topology = self.balancer.network_costs().topology();
        self.fleet.keepers.iter().filter(move |keeper| {
            let is_far = topology.distance(&keeper.hall) == Distance::OtherRegion;
            keeper.name != self.settings.name && !is_far
        })
    }

    fn is_own_hall(&self, keeper: &AccountKeeper) -> bool {
        keeper.hall == self.settings.zone
    }
}

fn rank_keepers<'a>(
    key: StreamKey,
    keepers: impl Iterator<Item = &'a AccountKeeper>,
    count: usize,
) -> Vec<SocketAddr> {
    let by_name: BTreeMap<&str, SocketAddr> = keepers
        .map(|keeper| (keeper.name.as_str(), keeper.address))
        .collect();
    let ranked = routing::rank(key.0, by_name.keys().copied(), count);
    ranked.into_iter().map(|name| by_name[name]).collect()
}

impl<D> Traffic<D> {
    /// Finds the version that began the stream which a request continues; `None` if it begins a stream. The error is the refusal of
    /// a stream whose version is not known.
    pub async fn find_required_version(&self, job: &Job) -> Result<Option<String>, Refusal> {
        let is_continued = job.route.execution.is_stream() && job.head.last_event.is_some();
        if !is_continued {
            return Ok(None);
        }
        let found = self.find_origin(job).await;
        let elapsed = self.clock.now().saturating_sub(job.arrived);
        info!(self.log, "caller continues a stream"; "id" => &job.head.id, "content" => %job.content, "route" => &job.route.name,
            "resumes" => &job.head.resumes, "after" => job.head.last_event, "software" => found.version(), "source" => found.source(),
            "ms" => elapsed.as_millis() as u64);
        if let Some(version) = found.version() {
            self.metrics.count(Counter::StreamsContinued);
            return Ok(Some(version.to_string()));
        }
        self.metrics.count(Counter::StreamsOfUnknownVersion);
        let message = "the software version that began the stream is not known";
        Err(Refusal::not_run(Kind::NoEndpoint, message)
            .with_retry_after(UNKNOWN_VERSION_RETRY_AFTER))
    }

    async fn find_origin(&self, job: &Job) -> Found {
        let service = &job.work.service;
        let resumes = job.head.resumes.as_deref();
        let Some(first) = resumes.filter(|id| id.len() <= MAX_ATTEMPT_ID_BYTES) else {
            return self.find_only_version(service);
        };
        let key = StreamKey::new(job.tenant.as_deref(), first);
        let found = self.look_up(service, key, Scope::OwnRegion).await;
        if found != Found::Nothing {
            return found;
        }
        tokio::time::sleep(SECOND_LOOKUP_DELAY).await;
        self.look_up(service, key, Scope::AllRegions).await
    }

    fn find_only_version(&self, service: &str) -> Found {
        let state = self.state.borrow();
        let only = state.only_version(self.clock.now(), service);
        only.map_or(Found::Nothing, |version| Found::Only(version.to_string()))
    }

    fn find_record(&self, key: StreamKey) -> Found {
        let records = self.stream_origins.records.borrow();
        match records.origin(self.clock.now(), key) {
            Some(Origin::Version(version)) => Found::Recorded(version.clone()),
            Some(Origin::Ambiguous) => Found::Ambiguous,
            None => Found::Nothing,
        }
    }

    // Looks a stream up here, then at other coordinators.
    async fn look_up(&self, service: &str, key: StreamKey, scope: Scope) -> Found {
        let known = self.find_record(key);
        if known != Found::Nothing {
            return known;
        }
        let only = self.find_only_version(service);
        if only != Found::Nothing {
            return only;
        }
        let (asked, passes_on) = {
            let state = self.state.borrow();
            match state.fleet.decides {
                true => (state.asked_keepers(key, scope), false),
                false => (state.first_coordinators(), true),
            }
        };
        let mut query = StreamQuery::new(
            self.stream_origins.next_number(),
            service.to_string(),
            key.0 as i64,
            passes_on,
            None,
        );
        query.all_regions = (scope == Scope::AllRegions).then_some(true);
        self.ask_keepers(query, asked).await
    }

    async fn ask_keepers(&self, query: StreamQuery, asked: Vec<SocketAddr>) -> Found {
        if self.stream_origins.lookups.borrow().len() >= MAX_LOOKUPS {
            return Found::Nothing;
        }
        let timeout = reply_timeout(&query);
        let number = query.number;
        let (sender, mut replies) = unbounded_channel();
        let origins = &self.stream_origins;
        origins.lookups.borrow_mut().insert(number, sender);
        let _guard = LookupGuard { origins, number };
        let message = Decision {
            stream_query: Some(query),
            ..Decision::default()
        };
        let deadline = Instant::now() + timeout;
        for keeper in &asked {
            self.send_decision(&message, *keeper).await;
        }
        let mut found = Found::Nothing;
        for _ in &asked {
            let reply = tokio::time::timeout_at(deadline, replies.recv()).await;
            let Ok(Some(reply)) = reply else {
                break;
            };
            match (reply.recorded, reply.is_ambiguous, reply.only_version) {
                (Some(version), _, _) => {
                    found = Found::RecordedElsewhere(version);
                    break;
                }
                (None, Some(true), _) => {
                    found = Found::Ambiguous;
                    break;
                }
                (None, _, Some(version)) => found = Found::Only(version),
                (None, _, None) => {}
            }
        }
        found
    }

    /// Answers a lookup of another gateway. A gateway that is not a coordinator answers from its own records.
    pub async fn answer_stream_query(self: Rc<Self>, query: StreamQuery, from: SocketAddr) {
        let key = StreamKey(query.stream as u64);
        let decides = self.state.borrow().fleet.decides;
        let found = match query.passes_on && decides {
            true => {
                let scope = match query.all_regions {
                    Some(true) => Scope::AllRegions,
                    _ => Scope::OwnRegion,
                };
                self.look_up(&query.service_name, key, scope).await
            }
            false => match self.find_record(key) {
                Found::Nothing => self.find_only_version(&query.service_name),
                found => found,
            },
        };
        let message = Decision {
            stream_reply: Some(found.into_reply(query.number)),
            ..Decision::default()
        };
        self.send_decision(&message, from).await;
    }

    /// Records that the first event of a stream, or of its continuation, was received.
    pub fn record_origin(&self, job: &Job, version: Option<String>) {
        let (Some(version), true) = (version, job.can_continue()) else {
            return;
        };
        self.record(job, Origin::Version(version));
    }

    /// Whether the version that began a stream is certain although its endpoint restarted before the stream ended. If the versions
    /// differ, the new process may have run it.
    pub fn is_origin_certain(&self, job: &Job, placement: &Placement) -> bool {
        let state = self.state.borrow();
        let known = state.balancer.endpoint(&placement.endpoint);
        let is_other_version = known.is_some_and(|known| {
            let is_other_start = incarnation(&known.id, known.born_ms) != placement.incarnation;
            is_other_start && Some(&known.version) != placement.version.as_ref()
        });
        drop(state);
        if is_other_version && job.can_continue() {
            self.record(job, Origin::Ambiguous);
        }
        !is_other_version
    }

    fn record(&self, job: &Job, origin: Origin) {
        let now = self.clock.now();
        let first = match job.head.last_event {
            Some(_) => job.head.resumes.as_deref(),
            None => Some(job.head.id.as_str()),
        };
        let Some(first) = first else {
            return;
        };
        let key = StreamKey::new(job.tenant.as_deref(), first);
        let service = job.work.service.clone();
        let lifetime = self.state.borrow().stream_lifetime(&service);
        let mut records = self.stream_origins.records.borrow_mut();
        records.record(now, key, origin.clone(), lifetime);
        let mut unreported = self.stream_origins.unreported.borrow_mut();
        let unreported = unreported.entry(service).or_default();
        if unreported.len() >= MAX_UNREPORTED {
            unreported.pop_front();
        }
        unreported.push_back(Unreported {
            key,
            origin,
            expires_at: now + lifetime,
        });
    }

    /// Records whether several versions of a service may have streams, as a coordinator replied.
    pub fn record_several_versions(&self, service: &str, reply: &DecisionReply) {
        let placed = reply.placed.as_ref();
        let Some(has_several) = placed.and_then(|placed| placed.has_several_versions) else {
            return;
        };
        let mut several_versions = self.stream_origins.several_versions.borrow_mut();
        match several_versions.get_mut(service) {
            Some(known) => *known = has_several,
            None => {
                several_versions.insert(service.to_string(), has_several);
            }
        }
    }

    /// Reports streams of services with several versions to the coordinators that keep their records.
    pub async fn report_streams(&self) {
        let now = self.clock.now();
        let due = self.take_due_records(now);
        let records = self.stream_origins.records.borrow().len();
        self.metrics.set(Gauge::StreamRecords, records as u64);
        if due.is_empty() {
            return;
        }
        let coordinators = {
            let state = self.state.borrow();
            match state.fleet.decides {
                true => None,
                false => Some(state.first_coordinators()),
            }
        };
        let Some(coordinators) = coordinators else {
            return self.send_to_keepers(&due).await;
        };
        for (position, coordinator) in coordinators.into_iter().enumerate() {
            // One of them passes the records on.
            self.send_records(coordinator, &due, position == 0).await;
        }
    }

    // Sends each record to the coordinators that keep it.
    async fn send_to_keepers(&self, records: &[StreamRecord]) {
        let mut by_keeper: BTreeMap<SocketAddr, Vec<StreamRecord>> = BTreeMap::new();
        for record in records {
            let key = StreamKey(record.stream as u64);
            let keepers = self.state.borrow().record_keepers(key);
            for keeper in keepers {
                by_keeper.entry(keeper).or_default().push(record.clone());
            }
        }
        for (keeper, records) in by_keeper {
            self.send_records(keeper, &records, false).await;
        }
    }

    // Takes the records that keepers have to know: those of services with several versions.
    fn take_due_records(&self, now: Duration) -> Vec<StreamRecord> {
        let state = self.state.borrow();
        let several_versions = self.stream_origins.several_versions.borrow();
        let has_several = |service: &str| match state.fleet.decides {
            true => state.only_version(now, service).is_none(),
            false => several_versions.get(service).copied().unwrap_or_default(),
        };
        let mut due = Vec::new();
        for (service, waiting) in self.stream_origins.unreported.borrow_mut().iter_mut() {
            while waiting.front().is_some_and(|first| first.expires_at <= now) {
                waiting.pop_front();
            }
            if !waiting.is_empty() && has_several(service) {
                due.extend(waiting.drain(..).map(|record| report_of(now, &record)));
            }
        }
        due
    }

    async fn send_records(&self, keeper: SocketAddr, records: &[StreamRecord], passes_on: bool) {
        for records in records.chunks(MAX_RECORDS_PER_MESSAGE) {
            let message = Decision {
                stream_report: Some(StreamReport::new(records.to_vec(), passes_on)),
                ..Decision::default()
            };
            self.send_decision(&message, keeper).await;
        }
    }

    /// Keeps the records that another gateway reported, and passes them on if it asks for that.
    pub async fn receive_stream_report(&self, report: &StreamReport, from: SocketAddr) {
        let is_known = {
            let state = self.state.borrow();
            state.fleet.known.contains(&from.ip())
        };
        if !is_known {
            self.metrics.count(Counter::PacketsDropped);
            return;
        }
        let now = self.clock.now();
        for record in &report.records {
            self.keep_reported(now, record);
        }
        if report.passes_on {
            self.send_to_keepers(&report.records).await;
        }
    }

    fn keep_reported(&self, now: Duration, record: &StreamRecord) {
        let origin = match &record.software_version {
            Some(version) if version.len() <= MAX_VERSION_BYTES => Origin::Version(version.clone()),
            _ => Origin::Ambiguous,
        };
        let left = Duration::from_millis(record.left_ms.max(0) as u64);
        let key = StreamKey(record.stream as u64);
        let mut records = self.stream_origins.records.borrow_mut();
        records.record(now, key, origin, left.min(MAX_REPORTED_LIFETIME));
    }
}

fn reply_timeout(query: &StreamQuery) -> Duration {
    let timeout = match query.all_regions {
        Some(true) => OTHER_REGION_REPLY_TIMEOUT,
        _ => REPLY_TIMEOUT,
    };
    match query.passes_on {
        true => timeout + FORWARDING_TIME,
        false => timeout,
    }
}

fn report_of(now: Duration, record: &Unreported) -> StreamRecord {
    let left_ms = record.expires_at.saturating_sub(now).as_millis();
    let version = match &record.origin {
        Origin::Version(version) => Some(version.clone()),
        Origin::Ambiguous => None,
    };
    StreamRecord::new(
        record.key.0 as i64,
        version,
        left_ms.min(i32::MAX as u128) as i32,
    )
}
