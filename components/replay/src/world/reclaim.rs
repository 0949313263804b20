//! Reclaims in a replay: notices, the moves they lead to, and VMs that go and come back.

use std::collections::BTreeMap;
use std::time::Duration;

use fleet::{delay_before_moves, plan_moves, Move, Stream as Moving, Target};
use schema::settings::{PriceClass, Priority};
use session::{Event, Failure};

use super::{ms, rates, Happening, World, NEWS_DELAY, NOTICE_DELAY};
use crate::engine::Engine;
use crate::trace::NoticeLine;

impl World {
    pub(super) fn notice(&mut self, notice: &NoticeLine) {
        let hit = |e: &Engine| {
            let hall = notice.hall.as_ref() == Some(&e.spec.hall);
            let reclaimable = e.spec.price_class == PriceClass::RECLAIMABLE;
            (hall && reclaimable) || notice.endpoint.as_ref() == Some(&e.spec.name)
        };
        let hit: Vec<usize> = (0..self.engines.len())
            .filter(|n| hit(&self.engines[*n]))
            .collect();
        let gone_at = self.now + ms(notice.left_ms);
        for engine in &hit {
            self.engines[*engine].noticed_at.get_or_insert(self.now);
            self.push(gone_at, Happening::Gone(*engine));
        }
        for node in 0..self.nodes.len() {
            let gossip = if node == 0 {
                Duration::ZERO
            } else {
                NEWS_DELAY
            };
            let at = self.now + NOTICE_DELAY + gossip;
            self.push(
                at,
                Happening::Learned {
                    node,
                    endpoints: hit.clone(),
                    gone_at,
                },
            );
        }
    }

    pub(super) fn learn(&mut self, node: usize, endpoints: &[usize], gone_at: Duration) {
        for endpoint in endpoints {
            let name = self.engines[*endpoint].spec.name.clone();
            self.nodes[node].router.leave(&name, gone_at);
        }
        if !self.moves {
            return;
        }
        for endpoint in endpoints {
            let streams = self.moving(node, *endpoint);
            let left = gone_at.saturating_sub(self.now);
            let wait = delay_before_moves(&streams, left, rates());
            let happening = Happening::MoveStreams {
                node,
                endpoint: *endpoint,
                gone_at,
            };
            self.push(self.now + wait, happening);
        }
    }

    pub(super) fn move_streams(&mut self, node: usize, endpoint: usize, gone_at: Duration) {
        let left = gone_at.saturating_sub(self.now);
        let name = self.engines[endpoint].spec.name.clone();
        let pool = self.engines[endpoint].spec.pool.clone();
        let streams = self.moving(node, endpoint);
        let targets = self.targets(node, &pool);
        let left = BTreeMap::from([(name, left)]);
        for (id, planned) in plan_moves(self.now, &streams, &left, &targets, rates()) {
            self.relocate(id as usize, planned);
        }
    }

    pub(super) fn moving(&mut self, node: usize, engine: usize) -> Vec<Moving> {
        let endpoint = self.engines[engine].spec.name.clone();
        let mut moving = Vec::new();
        for id in 0..self.requests.len() {
            let request = &self.requests[id];
            let live = request.live.first().copied();
            let Some((_, stream)) = live.filter(|_| request.node == node && !request.is_service())
            else {
                continue;
            };
            if self.streams[stream].engine != engine {
                continue;
            }
            self.catch_up(id);
            let request = &self.requests[id];
            moving.push(Moving {
                id: id as u64,
                endpoint: endpoint.clone(),
                priority: Priority(request.line.class),
                deadline: request.deadline(),
                context_tokens: u64::from(request.line.prompt_tokens) + request.parts,
                remaining_tokens: u64::from(request.line.tokens) - request.parts,
                repeatable: request.line.repeatable,
            });
        }
        moving
    }

    pub(super) fn targets(&self, node: usize, pool: &str) -> Vec<Target> {
        let states = self.nodes[node].router.states();
        let gone: Vec<&str> = states
            .iter()
            .filter(|s| s.leaving_at.is_some())
            .map(|s| s.spec.hall.as_str())
            .collect();
        let usable = states
            .iter()
            .filter(|s| s.spec.pool == pool && s.is_usable(self.now));
        usable
            .map(|s| Target {
                endpoint: s.spec.name.clone(),
                free_slots: (s.spec.slots as u32).saturating_sub(s.load()),
                same_wave: s.is_reclaimable() && gone.contains(&s.spec.hall.as_str()),
            })
            .collect()
    }

    pub(super) fn relocate(&mut self, id: usize, planned: Move) {
        let Some((attempt, stream)) = self.requests[id].live.first().copied() else {
            return;
        };
        let waits = self.streams[stream].first_at.is_none();
        let context = u64::from(self.requests[id].line.prompt_tokens) + self.requests[id].parts;
        let bytes = context * rates().kv_bytes_per_token;
        let import = ms(bytes * 1000 / rates().link_bytes_per_sec);
        match planned {
            Move::Finish => return,
            // What has not begun has no KV cache.
            Move::Import { target } => {
                let import = (!waits).then_some(import);
                self.planned.insert(id, (target, import));
            }
            Move::Recompute { target } => drop(self.planned.insert(id, (target, None))),
            Move::Requeue => {}
        }
        self.totals.moves += 1;
        self.step(id, Event::Move { attempt });
    }

    pub(super) fn go(&mut self, engine: usize) {
        if self.engines[engine].gone {
            return;
        }
        self.engines[engine].go(self.now);
        let hit = |s: &&usize| !self.streams[**s].over && self.streams[**s].engine == engine;
        let all: Vec<usize> = (0..self.streams.len()).collect();
        let broken: Vec<usize> = all.iter().filter(hit).copied().collect();
        for stream in broken {
            self.deliver(stream);
            if !self.streams[stream].over {
                self.fail(stream, Failure::Unknown);
            }
        }
    }

    pub(super) fn replace(&mut self, engine: usize) {
        self.engines[engine].replace(self.now);
        let name = self.engines[engine].spec.name.clone();
        for node in &mut self.nodes {
            node.router.replaced(&name);
            node.router.answered(&name);
        }
    }
}
