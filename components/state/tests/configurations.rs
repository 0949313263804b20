//! Concurrent edits, lost answers, and configuration versions that only increase.

use std::time::Duration;

use fakes::{check, FakeTable, CALM, ROUGH};
use rand::RngExt;
use schema::messages::HeadRow;
use state::{
    head_key, history_key, ConfigAction, ConfigEvent, ConfigFollower, Publish, PublishAction,
    PublishEvent, PublishOutcome, PublishRequest, Reply, Version,
};

const STEP: Duration = Duration::from_millis(10);

struct Edit {
    publish: Publish,
    put: String,
    wake: Option<Duration>,
    answer: Option<PublishOutcome>,
}

struct Simulation {
    table: FakeTable,
    edits: Vec<Edit>,
}

impl Simulation {
    fn add(&mut self, now: Duration, based_on: i64) {
        let put = format!("p{}", self.edits.len());
        let request = PublishRequest {
            based_on,
            hash: format!("h-{put}"),
            put_id: put.clone(),
            author: format!("author-{put}"),
            note: "raise rates".into(),
            deadline: now + Duration::from_secs(5),
        };
        let (publish, actions) = Publish::start(request);
        self.edits.push(Edit {
            publish,
            put,
            wake: None,
            answer: None,
        });
        self.act(now, self.edits.len() - 1, actions);
    }

    fn act(&mut self, now: Duration, n: usize, actions: Vec<PublishAction>) {
        for action in actions {
            match action {
                PublishAction::Call(table) => self.table.call(now, n, 0, table),
                PublishAction::WakeAt(at) => self.edits[n].wake = Some(at),
                PublishAction::Answer(answer) => self.edits[n].answer = Some(answer),
            }
        }
    }

    fn step(&mut self, now: Duration) {
        for (n, _, reply) in self.table.advance(now) {
            let actions = self.edits[n]
                .publish
                .step(now, PublishEvent::Replied(reply));
            self.act(now, n, actions);
        }
        for n in 0..self.edits.len() {
            if self.edits[n].wake.is_some_and(|at| now >= at) {
                self.edits[n].wake = None;
                let actions = self.edits[n].publish.step(now, PublishEvent::Tick);
                self.act(now, n, actions);
            }
        }
    }

    fn row(&self, key: &str) -> Option<HeadRow> {
        self.table
            .rows
            .get(key)
            .and_then(|r| schema::decode(&r.value).ok())
    }

    fn newest(&self) -> i64 {
        self.row(&head_key()).map_or(0, |h| h.version)
    }
}

fn run_concurrent_edits(seed: u64) -> Simulation {
    let mut simulation = Simulation {
        table: FakeTable::new(seed, ROUGH),
        edits: Vec::new(),
    };
    for step in 0..2000 {
        if simulation.edits.len() < 8 && simulation.table.rng.random_ratio(1, 50) {
            let based_on = simulation.newest();
            simulation.add(STEP * step, based_on);
        }
        simulation.step(STEP * step);
    }
    simulation
}

#[test]
fn an_accepted_edit_stays_in_the_history_under_its_version() {
    check(400, |seed: u64| {
        let simulation = run_concurrent_edits(seed);
        simulation.edits.iter().all(|e| match e.answer {
            Some(PublishOutcome::Accepted(version)) => simulation
                .row(&history_key(version))
                .is_some_and(|r| r.put == e.put),
            _ => true,
        })
    });
}

#[test]
fn an_edit_answered_with_a_conflict_is_not_in_the_history() {
    check(400, |seed: u64| {
        let simulation = run_concurrent_edits(seed);
        let is_in_history = |put: &str| {
            (1..=simulation.newest()).any(|v| {
                simulation
                    .row(&history_key(v))
                    .is_some_and(|r| r.put == put)
            })
        };
        let reported = |e: &&Edit| matches!(e.answer, Some(PublishOutcome::Conflict { .. }));
        simulation
            .edits
            .iter()
            .filter(reported)
            .all(|e| !is_in_history(&e.put))
    });
}

#[test]
fn a_conflict_names_the_edit_that_came_first() {
    let mut simulation = Simulation {
        table: FakeTable::new(1, CALM),
        edits: Vec::new(),
    };
    simulation.add(Duration::ZERO, 0);
    (0..100).for_each(|s| simulation.step(STEP * s));
    simulation.add(STEP * 100, 0);
    (100..200).for_each(|s| simulation.step(STEP * s));
    let expected = PublishOutcome::Conflict {
        version: 1,
        author: "author-p0".into(),
        note: "raise rates".into(),
    };
    assert_eq!(simulation.edits[1].answer, Some(expected));
}

#[test]
fn edits_are_accepted_despite_lost_answers() {
    let accepted = |e: &&Edit| matches!(e.answer, Some(PublishOutcome::Accepted(_)));
    let count: usize = (0..20)
        .map(|seed| {
            run_concurrent_edits(seed)
                .edits
                .iter()
                .filter(accepted)
                .count()
        })
        .sum();
    assert!(count > 60, "{count} of 160");
}

fn head(version: i64) -> Reply {
    let row = HeadRow {
        version,
        hash: format!("h{version}"),
        put: "p".into(),
        author: "a".into(),
        note: "n".into(),
    };
    Reply::Row(Some(state::Row {
        version: version as u64,
        value: schema::encode(&row).unwrap(),
    }))
}

fn version(number: i64) -> Version {
    Version {
        number,
        hash: format!("h{number}"),
    }
}

#[test]
fn applied_versions_only_increase_with_any_reports() {
    check(1000, |seed: u64| {
        let mut rng = FakeTable::new(seed, CALM).rng;
        let mut follower = ConfigFollower::default();
        let mut applied = Vec::new();
        let mut wanted: Vec<String> = Vec::new();
        for step in 0..300 {
            let event = match rng.random_range(0..4) {
                0 => ConfigEvent::PeerReported {
                    peer: format!("n{}", rng.random_range(0..3)),
                    version: version(rng.random_range(0..20)),
                },
                1 => ConfigEvent::Replied(head(rng.random_range(1..20))),
                2 if !wanted.is_empty() => {
                    let hash = wanted[rng.random_range(0..wanted.len())].clone();
                    let body = rng.random_bool(0.7).then(|| format!("body of {hash}"));
                    ConfigEvent::Fetched { hash, body }
                }
                _ => ConfigEvent::Tick {
                    is_poller: rng.random_bool(0.5),
                },
            };
            for action in follower.step(STEP * step, event) {
                match action {
                    ConfigAction::FetchFromPeer { hash, .. }
                    | ConfigAction::FetchFromStore { hash } => wanted.push(hash),
                    ConfigAction::Apply { version, body } => {
                        if body != format!("body of h{}", version.number) {
                            return false;
                        }
                        applied.push(version.number);
                    }
                    ConfigAction::Call(_) => {}
                }
            }
        }
        applied.windows(2).all(|w| w[0] < w[1])
    });
}

#[test]
fn the_newest_reported_version_is_applied() {
    check(500, |seed: u64| {
        let mut rng = FakeTable::new(seed, CALM).rng;
        let mut follower = ConfigFollower::default();
        let mut newest = 0;
        let mut asked = None;
        for step in 0..400 {
            // Peers report during the first half only. Fetches take several steps throughout.
            let event = if step < 200 && rng.random_bool(0.5) {
                let number = rng.random_range(0..50);
                newest = newest.max(number);
                let peer = format!("n{}", rng.random_range(0..3));
                ConfigEvent::PeerReported {
                    peer,
                    version: version(number),
                }
            } else if asked.is_some() && rng.random_bool(0.3) {
                let hash = asked.take().unwrap_or_default();
                ConfigEvent::Fetched {
                    hash,
                    body: Some("body".into()),
                }
            } else {
                ConfigEvent::Tick { is_poller: false }
            };
            for action in follower.step(STEP * step * 10, event) {
                if let ConfigAction::FetchFromPeer { hash, .. }
                | ConfigAction::FetchFromStore { hash } = action
                {
                    asked = Some(hash);
                }
            }
        }
        follower.applied().map(|(v, _)| v.number) == Some(newest)
    });
}

#[test]
fn a_starting_node_is_not_current_before_it_applied_the_newest_version() {
    let mut follower = ConfigFollower::default();
    follower.bootstrap(Duration::ZERO, "file".into());
    assert!(!follower.is_current());
    follower.step(STEP, ConfigEvent::Replied(head(7)));
    assert!(!follower.is_current());
    let body = Some("body".to_string());
    follower.step(
        STEP * 2,
        ConfigEvent::Fetched {
            hash: "h7".into(),
            body,
        },
    );
    assert!(follower.is_current());
}

#[test]
fn a_body_is_fetched_from_peers_and_the_store_until_one_has_it() {
    let mut follower = ConfigFollower::default();
    let reported = ConfigEvent::PeerReported {
        peer: "n1".into(),
        version: version(3),
    };
    let mut actions = follower.step(Duration::ZERO, reported);
    let mut sources = Vec::new();
    for step in 1..200 {
        for action in actions.drain(..) {
            match action {
                ConfigAction::FetchFromPeer { .. } => sources.push("peer"),
                ConfigAction::FetchFromStore { .. } => sources.push("store"),
                _ => {}
            }
        }
        let failed = ConfigEvent::Fetched {
            hash: "h3".into(),
            body: None,
        };
        actions = follower.step(STEP * step * 10, failed);
        actions.extend(follower.step(STEP * step * 10, ConfigEvent::Tick { is_poller: false }));
    }
    assert!(
        sources.contains(&"peer") && sources.contains(&"store"),
        "{sources:?}"
    );
}
