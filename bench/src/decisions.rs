//! This tree's routing beside random, least load and two choices, on the same seeded traces.

use std::time::{Duration, Instant};

use argh::FromArgs;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use replay::{generate, replay, Deployment, Options, Report, Story};
use routing::{Policy, Prompt, Reading, Router, RoutingRequest};
use schema::settings::{Endpoint, PriceClass, Priority};

const POLICIES: [(&str, Policy); 4] = [
    ("croftpond", Policy::Scored),
    ("random", Policy::Random),
    ("least load", Policy::LeastLoad),
    ("two choices", Policy::TwoChoices),
];
const DEPLOYMENTS: [(&str, Deployment); 2] = [
    ("Waitematā", Deployment::Waitemata),
    ("Habi Loom", Deployment::Habi),
];
/// Two data halls reclaimed one after the other, with three seconds of notice each.
const HALLS_RECLAIMED: Story = Story::HallTwice { notice_ms: 3000 };
const TRACE_SECS: u64 = 120;
const DECISIONS: u32 = 20_000;
const WORKERS: [usize; 3] = [9, 76, 840];

/// compare the routing with its baselines
#[derive(FromArgs)]
#[argh(subcommand, name = "decisions")]
pub struct Decisions {
    /// number of seeds to sum over
    #[argh(option, default = "5")]
    seeds: u64,
}

/// Runs the command.
pub fn run(args: &Decisions) {
    for (name, deployment) in DEPLOYMENTS {
        for (what, story) in [
            ("calm", Story::Calm),
            ("rush", Story::Rush),
            ("two halls reclaimed", HALLS_RECLAIMED),
        ] {
            println!("\n{name}, {what}, {} seeds of 120 s:", args.seeds);
            println!(
                "{:<12} {:>9} {:>8} {:>22} {:>10} {:>10} {:>11} {:>9}",
                "policy",
                "cost/1000",
                "requests",
                "past target i/s/b",
                "refused",
                "recomputed",
                "attempts/k",
                "wrong"
            );
            for (policy_name, policy) in POLICIES {
                println!(
                    "{}",
                    row(policy_name, &sum(deployment, story, policy, args.seeds))
                );
            }
        }
    }
    compare_moves(args.seeds);
    println!("\ntime of one decision:");
    for workers in WORKERS {
        println!("{workers:>5} workers: {:.2} us", decision_us(workers));
    }
}

fn compare_moves(seeds: u64) {
    println!("\nstreams moved at a notice, or broken with their VM and retried:");
    for (name, deployment) in DEPLOYMENTS {
        for (what, moves) in [("moved", true), ("broken", false)] {
            let mut total = Report::default();
            for seed in 1..=seeds {
                let options = Options {
                    seed,
                    moves,
                    ..Options::default()
                };
                let lines = generate(deployment, HALLS_RECLAIMED, TRACE_SECS, seed);
                add(&mut total, &replay(&lines, options));
            }
            println!("{}", row(&format!("{name} {what}"), &total));
        }
    }
}

fn row(name: &str, r: &Report) -> String {
    let past: Vec<String> = r
        .classes
        .iter()
        .map(|c| c.past_target.to_string())
        .collect();
    let refused: u64 = r.classes.iter().map(|c| c.refused).sum();
    let wrong = r.lost + r.wrong_parts + r.run_twice + r.false_not_run + r.late_starts;
    format!(
        "{name:<12} {:>9} {:>8} {:>22} {:>10} {:>10} {:>11} {:>9}",
        r.cost_per_thousand(),
        r.requests(),
        past.join("/"),
        refused,
        r.recomputed,
        r.attempts_milli(),
        wrong
    )
}

fn sum(deployment: Deployment, story: Story, policy: Policy, seeds: u64) -> Report {
    let mut total = Report::default();
    for seed in 1..=seeds {
        let options = Options {
            policy,
            seed,
            ..Options::default()
        };
        add(
            &mut total,
            &replay(&generate(deployment, story, TRACE_SECS, seed), options),
        );
    }
    total
}

fn add(total: &mut Report, one: &Report) {
    for (t, o) in total.classes.iter_mut().zip(&one.classes) {
        t.requests += o.requests;
        t.refused += o.refused;
        t.past_target += o.past_target;
        t.in_target += o.in_target;
    }
    total.lost += one.lost;
    total.unknown += one.unknown;
    total.wrong_parts += one.wrong_parts;
    total.run_twice += one.run_twice;
    total.false_not_run += one.false_not_run;
    total.late_starts += one.late_starts;
    total.attempts += one.attempts;
    total.prefilled += one.prefilled;
    total.recomputed += one.recomputed;
    total.moves += one.moves;
    total.cost_milli += one.cost_milli;
}

fn decision_us(workers: usize) -> f64 {
    let mut router = Router::default();
    let endpoints: Vec<Endpoint> = (0..workers).map(endpoint).collect();
    router.configure(&endpoints);
    for (n, e) in endpoints.iter().enumerate() {
        let running = (n % 16) as u32;
        router.record_reading(
            &e.name,
            Reading {
                running,
                queued: 0,
                at: Duration::ZERO,
            },
        );
    }
    let prompts: Vec<Prompt> = (0..64).map(conversation).collect();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let now = Duration::from_secs(1);
    let started = Instant::now();
    for n in 0..DECISIONS {
        let ask = ask(&prompts[n as usize % prompts.len()]);
        if let Some(decision) = router.choose(now, &ask, &mut rng) {
            router.sent(&decision.chosen.endpoint, &ask);
            router.ended(&decision.chosen.endpoint, Duration::from_secs(3));
        }
    }
    started.elapsed().as_secs_f64() * 1e6 / f64::from(DECISIONS)
}

fn endpoint(n: usize) -> Endpoint {
    Endpoint {
        name: format!("w{n}"),
        pool: "chat".into(),
        address: "127.0.0.1:1".into(),
        hall: format!("hall-{}", n % 11),
        price_class: PriceClass::RECLAIMABLE,
        price_milli: 1000 + (n % 7) as i64 * 50,
        slots: 16,
    }
}

fn conversation(n: usize) -> Prompt {
    let messages = [
        "system ".repeat(400),
        format!("report me of {n} ").repeat(200),
    ];
    Prompt::of_messages(&messages)
}

fn ask(prompt: &Prompt) -> RoutingRequest<'_> {
    RoutingRequest {
        pool: "chat",
        prompt,
        priority: Priority::INTERACTIVE,
        target: Duration::from_millis(520),
        latency_weight: 70,
        exclude: &[],
    }
}
