//! Generates traces from seeds, in place of the users' recordings, which have not come yet.

use std::collections::BTreeMap;

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::trace::{EndpointLine, Line, NoticeLine, RequestLine};

/// Whose fleet it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deployment {
    /// Waitematā: 9 workers, 4 instances of the holds application, 4 data halls.
    Waitemata,
    /// Habi Loom: 18 workers, 4 instances of the checkout application, 4 data halls.
    Habi,
}

/// What happens in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Story {
    /// An ordinary hour part.
    Calm,
    /// A rush of interactive requests: the boarding rush, or the payday weekend.
    Rush,
    /// Many long drafts, which move when their VMs go.
    Drafts,
    /// The services stop answering for a while.
    Stalled,
    /// A whole data hall is reclaimed, and a second one after it.
    HallTwice {
        /// Time left at the notice, in milliseconds.
        notice_ms: u64,
    },
}

const HALLS: usize = 4;
const SLOTS: i32 = 16;
const SYSTEM_TOKENS: u32 = 640;
/// Time left at the notice of a story that names none, in milliseconds.
const NOTICE_MS: u64 = 8_000;

struct Shape {
    workers: usize,
    // Mean requests a second, of the model and of the services.
    rate: f64,
    service_rate: f64,
    weight: u32,
    // Shares of the classes in thousandths.
    classes: [u64; 3],
}

fn shape(deployment: Deployment, story: Story) -> Shape {
    let mut shape = match deployment {
        Deployment::Waitemata => Shape {
            workers: 9,
            rate: 15.0,
            service_rate: 6.0,
            weight: 80,
            classes: [550, 350, 100],
        },
        Deployment::Habi => Shape {
            workers: 18,
            rate: 24.0,
            service_rate: 12.0,
            weight: 30,
            classes: [350, 250, 400],
        },
    };
    match story {
        Story::Rush => shape.rate *= 1.6,
        Story::Drafts => shape.classes = [200, 150, 650],
        Story::Calm | Story::Stalled | Story::HallTwice { .. } => {}
    }
    shape
}

/// Generates a trace of so many seconds with its endpoints; whoever records it states outcomes.
pub fn generate(deployment: Deployment, story: Story, secs: u64, seed: u64) -> Vec<Line> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let shape = shape(deployment, story);
    let length_ms = secs * 1000;
    let mut lines = endpoints(&shape, &mut rng);
    let mut timed = requests(&shape, length_ms, &mut rng);
    timed.extend(services(&shape, length_ms, &mut rng));
    timed.extend(faults(story, length_ms));
    timed.sort_by_key(|(at, _)| *at);
    lines.extend(timed.into_iter().map(|(_, line)| line));
    lines
}

fn endpoints(shape: &Shape, rng: &mut impl Rng) -> Vec<Line> {
    let endpoint = |name: String, pool: &str, hall: usize, price_milli: i64, slots| {
        Line::Endpoint(EndpointLine {
            name,
            pool: pool.into(),
            hall: format!("hall-{hall}"),
            on_demand: pool == "service",
            price_milli,
            slots,
        })
    };
    let mut lines = Vec::new();
    for n in 0..shape.workers {
        let price = rng.random_range(900..1600);
        lines.push(endpoint(format!("w{n}"), "chat", n % HALLS, price, SLOTS));
    }
    for n in 0..4 {
        lines.push(endpoint(format!("s{n}"), "service", n % HALLS, 200, 32));
    }
    lines
}

struct Conversation {
    system: u64,
    tokens: u32,
    class: usize,
}

fn requests(shape: &Shape, length_ms: u64, rng: &mut impl Rng) -> Vec<(u64, Line)> {
    let mut open: BTreeMap<u64, Conversation> = BTreeMap::new();
    let mut lines = Vec::new();
    let mut at = 0.0;
    let mut next = 0;
    loop {
        at += -rng.random_range(f64::MIN_POSITIVE..1.0).ln() / shape.rate * 1000.0;
        if at >= length_ms as f64 {
            return lines;
        }
        // Two in three requests go on with a conversation.
        let id = match rng.random_ratio(2, 3) && !open.is_empty() {
            true => *open
                .keys()
                .nth(rng.random_range(0..open.len()))
                .unwrap_or(&0),
            false => {
                next += 1;
                let class = pick_class(shape, rng);
                let system = rng.random_range(0..5);
                open.insert(
                    next,
                    Conversation {
                        system,
                        tokens: SYSTEM_TOKENS,
                        class,
                    },
                );
                next
            }
        };
        let Some(conversation) = open.get_mut(&id) else {
            continue;
        };
        let line = turn(at as u64, id, conversation, shape, rng);
        if conversation.tokens > 6000 {
            open.remove(&id);
        }
        lines.push((at as u64, Line::Request(line)));
    }
}

fn pick_class(shape: &Shape, rng: &mut impl Rng) -> usize {
    let draw = rng.random_range(0..1000);
    match draw {
        d if d < shape.classes[0] => 0,
        d if d < shape.classes[0] + shape.classes[1] => 1,
        _ => 2,
    }
}

fn turn(
    at: u64,
    id: u64,
    conversation: &mut Conversation,
    shape: &Shape,
    rng: &mut impl Rng,
) -> RequestLine {
    let class = conversation.class;
    let said: u32 = rng.random_range([30..200, 100..500, 300..1200][class].clone());
    let tokens: u32 = rng.random_range([40..160, 80..260, 200..500][class].clone());
    let earlier = match conversation.tokens {
        SYSTEM_TOKENS => 0,
        tokens => tokens,
    };
    let prompt_tokens = conversation.tokens + said;
    conversation.tokens = prompt_tokens + tokens;
    RequestLine {
        at,
        pool: "chat".into(),
        class: class as i32,
        target_ms: [520, 1200, 8000][class],
        deadline_ms: [30_000, 60_000, 120_000][class],
        weight: shape.weight,
        conversation: id,
        system: conversation.system,
        system_tokens: SYSTEM_TOKENS,
        prompt_tokens,
        earlier_tokens: earlier,
        tokens,
        repeatable: true,
    }
}

fn services(shape: &Shape, length_ms: u64, rng: &mut impl Rng) -> Vec<(u64, Line)> {
    let mut lines = Vec::new();
    let mut at = 0.0;
    let mut id = 1 << 40;
    loop {
        at += -rng.random_range(f64::MIN_POSITIVE..1.0).ln() / shape.service_rate * 1000.0;
        if at >= length_ms as f64 {
            return lines;
        }
        id += 1;
        let line = RequestLine {
            at: at as u64,
            pool: "service".into(),
            class: 0,
            target_ms: 200,
            deadline_ms: 2000,
            weight: 100,
            conversation: id,
            system: 0,
            system_tokens: 0,
            prompt_tokens: 0,
            earlier_tokens: 0,
            tokens: 1,
            repeatable: rng.random_ratio(1, 2),
        };
        lines.push((at as u64, Line::Request(line)));
    }
}

fn faults(story: Story, length_ms: u64) -> Vec<(u64, Line)> {
    let hall = |at: u64, hall: usize, left_ms: u64| {
        let notice = NoticeLine {
            at,
            hall: Some(format!("hall-{hall}")),
            endpoint: None,
            left_ms,
        };
        (at, Line::Notice(notice))
    };
    match story {
        Story::Calm | Story::Rush => Vec::new(),
        Story::Drafts => vec![hall(length_ms / 3, 2, NOTICE_MS)],
        Story::Stalled => {
            let (at, for_ms) = (length_ms * 5 / 12, length_ms / 8);
            vec![(
                at,
                Line::Stall {
                    at,
                    pool: "service".into(),
                    for_ms,
                },
            )]
        }
        Story::HallTwice { notice_ms } => vec![
            hall(length_ms / 4, 0, notice_ms),
            hall(length_ms * 7 / 12, 1, notice_ms),
        ],
    }
}
