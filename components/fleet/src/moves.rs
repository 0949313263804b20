//! How each stream of a reclaim wave is carried on: no request lost, then fewest tokens
//! recomputed, then least latency.

use std::collections::BTreeMap;
use std::time::Duration;

use routing::weight;
use schema::settings::Priority;

/// Time kept free at the end of a notice.
const NOTICE_END_MARGIN: Duration = Duration::from_millis(500);
/// Time before the end of a notice that moves need beside the export of KV cache.
const MOVE_LEAD_TIME: Duration = Duration::from_millis(1500);
/// Weight of a target in a data hall that is in the same wave, in thousandths.
const SAME_WAVE_WEIGHT_MILLI: u64 = 50;

/// A stream on an endpoint that leaves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stream {
    /// Number of the request at this node.
    pub id: u64,
    /// Endpoint it runs on.
    pub endpoint: String,
    /// Its class.
    pub priority: Priority,
    /// Its deadline.
    pub deadline: Duration,
    /// Tokens of its prompt and of the answer so far.
    pub context_tokens: u64,
    /// Most tokens still to come.
    pub remaining_tokens: u64,
    /// Whether it may run a second time.
    pub repeatable: bool,
}

/// An endpoint that can take a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Name.
    pub endpoint: String,
    /// Slots free by the latest reading.
    pub free_slots: u32,
    /// Whether it may be reclaimed in the same wave: same data hall and price class.
    pub same_wave: bool,
}

/// Speeds that the plan reckons with.
#[derive(Clone, Copy, Debug)]
pub struct MoveRates {
    /// Time between tokens.
    pub token_interval: Duration,
    /// KV cache of one token, in bytes.
    pub kv_bytes_per_token: u64,
    /// What an endpoint can export, in bytes a second.
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

/// What becomes of one stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Move {
    /// It ends in time where it is.
    Finish,
    /// Its KV cache is imported by the target; nothing is computed again.
    Import {
        /// Endpoint that goes on.
        target: String,
    },
    /// The target computes prompt and answer again.
    Recompute {
        /// Endpoint that goes on.
        target: String,
    },
    /// No target is free: routing finds one when it can.
    Requeue,
}

/// The plan for a wave: each stream with its move, in the order to carry them out.
pub type MovePlan = Vec<(u64, Move)>;

/// How long to let the streams of one leaving endpoint run on before they are moved. Until then they
/// give tokens where they are, and those that end need no move at all.
pub fn delay_before_moves(streams: &[Stream], time_left: Duration, rates: MoveRates) -> Duration {
    let exports: Duration = streams.iter().map(|s| rates.export_time(s)).sum();
    time_left.saturating_sub(exports + MOVE_LEAD_TIME)
}

/// Plans a whole wave. `left` gives the time left to each leaving endpoint.
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
    // Time for which an endpoint's link is taken by exports planned before.
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

    // Weighted rendezvous: nodes that plan the same wave without a message spread alike, and no
    // target gets a herd.
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
