//! Plans what happens to each stream on endpoints that are about to be reclaimed. A wave is a set
//! of endpoints that leave together. Goals in order: lose no request, recompute as few tokens as
//! possible, keep latency low.

use std::collections::BTreeMap;
use std::time::Duration;

use routing::weight;
use schema::settings::Priority;

/// Safety margin at the end of the notice period, in which nothing is planned to run.
const NOTICE_END_MARGIN: Duration = Duration::from_millis(500);
/// Time reserved before the end of the notice period for moves, in addition to the time for KV
/// cache exports.
const MOVE_LEAD_TIME: Duration = Duration::from_millis(1500);
/// Weight, in thousandths, of a target that may be reclaimed in the same wave.
const SAME_WAVE_WEIGHT_MILLI: u64 = 50;

/// A stream that runs on a leaving endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stream {
    /// Id of the request on this node.
    pub id: u64,
    /// Name of the endpoint that the stream runs on.
    pub endpoint: String,
    /// Priority class of the request.
    pub priority: Priority,
    /// Time by which the request must be complete.
    pub deadline: Duration,
    /// Tokens in the KV cache: the prompt and the tokens generated so far.
    pub context_tokens: u64,
    /// Upper limit on the tokens still to be generated.
    pub remaining_tokens: u64,
    /// Whether the request may be executed a second time.
    pub repeatable: bool,
}

/// An endpoint that can take over a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Name of the endpoint.
    pub endpoint: String,
    /// Free slots according to the last load report.
    pub free_slots: u32,
    /// Whether this endpoint may be reclaimed in the same wave: it is reclaimable and a leaving
    /// endpoint is in the same data hall.
    pub same_wave: bool,
}

/// Rates that the plan assumes.
#[derive(Clone, Copy, Debug)]
pub struct MoveRates {
    /// Time between two generated tokens.
    pub token_interval: Duration,
    /// Size of the KV cache for one token, in bytes.
    pub kv_bytes_per_token: u64,
    /// KV cache export bandwidth of one endpoint, in bytes per second.
    pub link_bytes_per_sec: u64,
}

impl Default for MoveRates {
    fn default() -> Self {
        MoveRates {
            token_interval: Duration::from_millis(30),
            kv_bytes_per_token: 160_000,
            link_bytes_per_sec: 1_250_000_000,
        }
    }
}

impl MoveRates {
    fn export_time(&self, stream: &Stream) -> Duration {
        let bytes = stream.context_tokens * self.kv_bytes_per_token;
        Duration::from_millis(bytes * 1000 / self.link_bytes_per_sec.max(1))
    }
}

/// What to do with one stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Move {
    /// Leave the stream on its endpoint: it ends before the endpoint does, or it must not run a
    /// second time.
    Finish,
    /// Transfer the KV cache to the target; nothing is recomputed.
    Import {
        /// Endpoint that continues the stream.
        target: String,
    },
    /// Recompute the prompt and the tokens generated so far on the target.
    Recompute {
        /// Endpoint that continues the stream.
        target: String,
    },
    /// No target has a free slot; the router dispatches the stream again when one becomes free.
    Requeue,
}

/// Plan for a wave: stream ids with their moves, in the order in which to carry them out.
pub type MovePlan = Vec<(u64, Move)>;

/// How long to let the streams of one leaving endpoint continue before moving them. They keep
/// generating tokens meanwhile, and those that finish need no move.
pub fn delay_before_moves(streams: &[Stream], time_left: Duration, rates: MoveRates) -> Duration {
    let exports: Duration = streams.iter().map(|s| rates.export_time(s)).sum();
    time_left.saturating_sub(exports + MOVE_LEAD_TIME)
}

/// Plans the moves of a whole wave. `time_left` maps each leaving endpoint to the time until it is
/// gone. Streams are ordered by priority, deadline and id.
pub fn plan_moves(
    now: Duration,
    streams: &[Stream],
    time_left: &BTreeMap<String, Duration>,
    targets: &[Target],
    rates: MoveRates,
) -> MovePlan {
    let mut ordered: Vec<&Stream> = streams.iter().collect();
    ordered.sort_by_key(|s| (s.priority, s.deadline, s.id));
    let mut planner = Planner {
        targets: targets.to_vec(),
        link_busy: BTreeMap::new(),
        rates,
    };
    ordered
        .into_iter()
        .map(|stream| {
            let time_left = time_left.get(&stream.endpoint).copied().unwrap_or_default();
            (stream.id, planner.plan(now, stream, time_left))
        })
        .collect()
}

struct Planner {
    targets: Vec<Target>,
    // Time for which an endpoint's link is occupied by the exports planned so far.
    link_busy: BTreeMap<String, Duration>,
    rates: MoveRates,
}

impl Planner {
    fn plan(&mut self, now: Duration, stream: &Stream, time_left: Duration) -> Move {
        let usable_time = time_left.saturating_sub(NOTICE_END_MARGIN);
        let finish_time =
            self.rates.token_interval * stream.remaining_tokens.min(u64::from(u32::MAX)) as u32;
        if !stream.repeatable || finish_time <= usable_time {
            return Move::Finish;
        }
        let export_time = self.rates.export_time(stream);
        let link_busy_for = self
            .link_busy
            .get(&stream.endpoint)
            .copied()
            .unwrap_or_default();
        let imported_after = link_busy_for + export_time;
        let is_import_in_time =
            imported_after <= usable_time && now + imported_after < stream.deadline;
        let Some(target) = self.reserve_target(stream.id) else {
            return Move::Requeue;
        };
        if !is_import_in_time {
            return Move::Recompute { target };
        }
        self.link_busy
            .insert(stream.endpoint.clone(), imported_after);
        Move::Import { target }
    }

    // Weighted rendezvous hashing: nodes that plan the same wave independently spread streams the
    // same way, and no single target attracts them all.
    fn reserve_target(&mut self, id: u64) -> Option<String> {
        let score = |t: &Target| {
            let wave_weight_milli = if t.same_wave {
                SAME_WAVE_WEIGHT_MILLI
            } else {
                1000
            };
            let uniform = (weight(id, &t.endpoint) >> 11) as f64 / (1u64 << 53) as f64;
            let slot_weight = (u64::from(t.free_slots) * wave_weight_milli) as f64;
            slot_weight / -uniform.max(f64::MIN_POSITIVE).ln()
        };
        let with_free_slots = self.targets.iter_mut().filter(|t| t.free_slots > 0);
        let best = with_free_slots.max_by(|a, b| score(a).total_cmp(&score(b)))?;
        best.free_slots -= 1;
        Some(best.endpoint.clone())
    }
}
