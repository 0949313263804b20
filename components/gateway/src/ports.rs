//! What a gateway asks of the world around it. Implementations translate and decide nothing.

use std::collections::BTreeMap;
use std::fmt;
use std::future::Future;
use std::time::Duration;

use directory::{Configuration, Endpoint};
use fleet::ScalingOrder;
use http::{request, HeaderMap, StatusCode};
use limits::SendRate;
use replica::Revision;
use rollout::{Decision, Order};
use routing::placement::{PromptPart, Slowdown};
use usage::Report;

/// The head of a caller's request, as far as it is acted on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallerHead {
    /// Id of the request, unique to each try of the caller.
    pub id: String,
    /// Time the caller waits.
    pub deadline: Option<Duration>,
    /// Key that the caller presents.
    pub key: Option<String>,
    /// Tokens of the prompt and the most of the answer.
    pub tokens: Option<(u32, u32)>,
    /// Tokens of the answer as the caller guesses them.
    pub answer_guess: Option<u32>,
    /// Parts of the prompt in order.
    pub parts: Vec<PromptPart>,
    /// Last event that the caller has of this stream.
    pub last_event: Option<u64>,
}

/// A head that cannot be read; names the field.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeadFault(pub &'static str);

/// What is set anew for each attempt.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AttemptHead {
    /// Id of the endpoint that is meant.
    pub endpoint: String,
    /// Time left.
    pub remaining: Duration,
    /// Tenant whose key the caller presented.
    pub tenant: Option<String>,
    /// Rank, 0 is the most urgent.
    pub priority: u8,
    /// Whether the endpoint is a model engine.
    pub engine: bool,
    /// Last event that the caller has of this stream.
    pub last_event: Option<u64>,
}

/// The head of an endpoint's answer, as far as it is acted on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnswerHead {
    /// Id of the request that it answers.
    pub id: Option<String>,
    /// Whether it carries the endpoint's proof that it made the answer.
    pub signed: bool,
    /// Whether it says that the request was not run.
    pub not_run: bool,
    /// Whether its body is not what the endpoint made.
    pub altered: bool,
    /// Load of the endpoint that is meant.
    pub load: Option<EndpointLoad>,
    /// How long the endpoint keeps the connection when it rests.
    pub keep_alive: Option<Duration>,
    /// Whether the endpoint says that it leaves.
    pub leaving: bool,
    /// Time for which the endpoint, turning a request away, asks this gateway for a pause.
    pub pause: Option<Result<Duration, HeadFault>>,
    /// What it says of the rate at which the endpoint that is meant takes requests.
    pub limit: ReportedLimit,
}

/// What an answer says of the rate at which its endpoint takes requests of all gateways together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum ReportedLimit {
    /// The endpoint names no limit.
    #[default]
    NoLimit,
    /// The endpoint takes no more than this.
    Limit(SendRate),
    /// Another process answered.
    OtherProcess,
    /// What it says cannot be read.
    Fault(HeadFault),
}

/// Load that an endpoint reports.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointLoad {
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub queued: u32,
    /// How long work takes there now, if it says so.
    pub slowdown: Option<Result<Slowdown, HeadFault>>,
}

/// Heads of requests and answers.
pub trait Dialect {
    /// Reads a caller's head.
    fn read_request(&self, head: &request::Parts) -> Result<CallerHead, HeadFault>;

    /// Turns the caller's fields into those of an attempt.
    fn write_attempt(&self, fields: &mut HeaderMap, attempt: &AttemptHead);

    /// Reads an endpoint's head.
    fn read_answer(&self, status: StatusCode, fields: &HeaderMap) -> AnswerHead;
}

/// What the store keeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Topic {
    /// The newest configuration.
    Configuration,
    /// The endpoints.
    Endpoints,
    /// Gateways and their addresses.
    Gateways,
    /// The lease on duties.
    Lease,
    /// What is reported for each usage window.
    Usage,
    /// How far the roll-out of each service is, for whoever holds the lease.
    Rollouts,
    /// The same, for the operator.
    RolloutStatus,
    /// Contents that are held back.
    Quarantine,
}

/// One row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Key within its topic.
    pub key: String,
    /// Value, `None` if the row was dropped.
    pub value: Option<Vec<u8>>,
    /// Revision of the store that wrote it.
    pub revision: Revision,
}

/// Rows of a topic at one moment, or changes up to it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Rows {
    /// The rows.
    pub rows: Vec<Row>,
    /// Newest revision of the store.
    pub revision: Revision,
    /// The store's steady time.
    pub stamp: Duration,
    /// Length of the answers that carried them, in bytes.
    pub bytes: usize,
}

/// Result of reading one key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReadRow {
    /// The row, if there is one.
    pub row: Option<Row>,
    /// Newest revision of the store.
    pub revision: Revision,
}

/// The store's era as reported in its answers. The era increases by one each time the store is restored from an older copy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreEra {
    /// Highest era reported so far, `None` if there is none.
    pub newest: Option<u64>,
    /// Number of answers whose era could not be parsed.
    pub unreadable_answers: u64,
}

/// Asks for one page of a topic's rows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PageQuery<'a> {
    /// The topic.
    pub topic: Topic,
    /// Data hall whose part of the topic is meant; `None` for a topic that is kept in one part.
    pub hall: Option<&'a str>,
    /// Key of the last row that came; the page goes on after it.
    pub after: Option<&'a str>,
    /// Rows at most.
    pub limit: usize,
    /// Longest time without anything of the answer.
    pub response_timeout: Duration,
}

/// One page of a topic's rows, by rising key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// The rows.
    pub rows: Rows,
    /// Whether others follow.
    pub more: bool,
}

/// Why a call of the store has no result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// It refused the call and did nothing.
    Refused,
    /// No answer came: a write may have been done, or may yet be.
    Unanswered,
    /// Others reported what was asked for before an answer came.
    Overtaken,
    /// Changes since the given revision are not known any more.
    HistoryGone,
    /// A row had another revision than expected; the row as it is.
    Conflict(Option<Row>),
    /// The answer could not be read.
    Malformed(&'static str),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreError::Refused => write!(f, "refused"),
            StoreError::Unanswered => write!(f, "unanswered"),
            StoreError::Overtaken => write!(f, "overtaken"),
            StoreError::HistoryGone => write!(f, "history gone"),
            StoreError::Conflict(_) => write!(f, "conflict"),
            StoreError::Malformed(what) => write!(f, "malformed {what}"),
        }
    }
}

/// A row that cannot be read; names the field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowFault(pub String);

/// The store in which everything lasting lies.
pub trait Store {
    /// One page of a topic's rows.
    fn page(&self, query: PageQuery<'_>) -> impl Future<Output = Result<Page, StoreError>>;

    /// One row.
    fn read(&self, topic: Topic, key: &str) -> impl Future<Output = Result<ReadRow, StoreError>>;

    /// Changes of a topic after a revision; the call is held for `wait` if there are none. Past that, `response_timeout` is
    /// the longest time without anything of the answer.
    fn changes(
        &self,
        topic: Topic,
        after: Revision,
        wait: Duration,
        response_timeout: Duration,
    ) -> impl Future<Output = Result<Rows, StoreError>>;

    /// Writes a row, if it has the expected revision ([`Revision::ABSENT`]: there is none), and returns the new one. The
    /// store compares numbers only: callers have to read a row again before they expect a revision of an earlier era.
    fn write(
        &self,
        topic: Topic,
        key: &str,
        value: Vec<u8>,
        expected: Option<Revision>,
    ) -> impl Future<Output = Result<Revision, StoreError>>;

    /// Writes the row of a gateway into the part of its data hall, or into the topic's only part.
    fn announce(
        &self,
        hall: Option<&str>,
        gateway: &str,
        value: Vec<u8>,
    ) -> impl Future<Output = Result<Revision, StoreError>>;

    /// The era reported in answers so far, including error answers.
    fn era(&self) -> StoreEra;

    /// Reads a row of [`Topic::Configuration`].
    fn configuration(&self, value: &[u8]) -> Result<Configuration, RowFault>;

    /// Reads a row of [`Topic::Endpoints`].
    fn endpoint(&self, key: &str, value: &[u8]) -> Result<Endpoint, RowFault>;

    /// Key of the configuration's row.
    fn configuration_key(&self) -> &'static str;

    /// Service whose roll-out a row of [`Topic::Configuration`] with this key orders, if it does.
    fn rollout_service(&self, key: &str) -> Option<String>;

    /// Reads such a row.
    fn rollout_order(&self, value: &[u8], revision: u64) -> Result<Order, RowFault>;

    /// The row of [`Topic::RolloutStatus`] that reports to the operator how far an order is.
    fn rollout_status(&self, order: &Order, decision: Option<Decision>) -> StatusRow;
}

/// A row for the operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatusRow {
    /// Its key.
    pub key: String,
    /// Its value.
    pub value: Vec<u8>,
}

/// Who gives an order, and under which fence.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DutyHolder {
    /// Name of the gateway.
    pub gateway: String,
    /// Epoch of its lease.
    pub fence: i64,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderReply {
    /// Accepted.
    Done,
    /// Not to be had now.
    Unavailable,
    /// Refused without effect; come back later.
    Busy,
    /// No answer came.
    Unanswered,
    /// Refused for good.
    Rejected(u16),
}

/// The service that takes orders of whoever holds the lease.
pub trait Orders {
    /// Reports the usage of a window.
    fn report(&self, holder: &DutyHolder, report: &Report) -> impl Future<Output = OrderReply>;

    /// Orders endpoints.
    fn scale(
        &self,
        holder: &DutyHolder,
        service: &str,
        order: &ScalingOrder,
    ) -> impl Future<Output = OrderReply>;
}

/// Counts by name.
pub type Counts = BTreeMap<String, i64>;
