//! News between gateways, and how they find each other.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use schema::messages::{GatewayNews, GatewayRow, TopicHead};
use slog::{info, warn};
use state::LeaseEvent;
use telemetry::Counter;
use tokio::net::UdpSocket;
use usage::Source;

use crate::control::{Known, Shared};
use crate::news;
use crate::peers::{is_recent, Hearing};
use crate::ports::{Orders, Store, Topic};
use crate::tally::Tally;
use crate::traffic::Update;

/// Largest datagram that is read, in bytes.
const MAX_DATAGRAM: usize = 8192;
/// Datagrams a second that this gateway sends at most, when nothing is urgent.
const DATAGRAMS_PER_S: f64 = 100.0;
/// Shortest pause between news.
const SHORTEST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause between news.
const LONGEST_PAUSE: Duration = Duration::from_millis(500);
/// Pause after a failed call of the store.
const FAILED_PAUSE: Duration = Duration::from_millis(300);
/// Addresses passed on in one message.
const MOST_ADDRESSES: usize = 3;
/// Prompts of which so many tokens are to be read are told at once.
const URGENT_TOKENS: u32 = 4000;
/// Newest usage windows that are told.
const TOLD_WINDOWS: i64 = 3;

impl<S: Store + 'static, O: Orders + 'static> Shared<S, O> {
    /// Writes this gateway's row and learns of the others'.
    pub async fn announce(self: Rc<Self>) {
        let settings = self.known.borrow().settings.clone();
        let row = GatewayRow {
            address: self.peer_address.to_string(),
            incarnation: self.source.incarnation,
        };
        let value = schema::encode(&row).unwrap_or_default();
        loop {
            let written = self
                .store
                .write(Topic::Gateways, &settings.name, value.clone(), None)
                .await;
            if written.is_ok() {
                break;
            }
            tokio::time::sleep(FAILED_PAUSE).await;
        }
        let rows = loop {
            match self.store.list(Topic::Gateways).await {
                Ok(rows) => break rows.rows,
                Err(_) => tokio::time::sleep(FAILED_PAUSE).await,
            }
        };
        let now = self.clock.now();
        let addresses = rows.iter().filter_map(|row| {
            let row = schema::decode::<GatewayRow>(row.value.as_deref()?).ok()?;
            row.address.parse().ok()
        });
        self.known.borrow_mut().peers.listed(now, addresses);
    }

    /// Takes tallies of the traffic thread and tells the other gateways.
    pub async fn tell(self: Rc<Self>, socket: Rc<UdpSocket>, tallies: flume::Receiver<Tally>) {
        loop {
            let urgent = tokio::select! {
                tally = tallies.recv_async() => match tally {
                    Ok(tally) => self.take_tally(tally),
                    Err(_) => return,
                },
                () = self.urgent.notified() => true,
            };
            let now = self.clock.now();
            let due = self.known.borrow().told_at + self.pause();
            if !urgent && now < due {
                continue;
            }
            let (bytes, targets) = self.news(now);
            for target in targets {
                self.send(&socket, &bytes, target).await;
            }
        }
    }

    /// Takes the news of the other gateways.
    pub async fn hear(self: Rc<Self>, socket: Rc<UdpSocket>) {
        let mut buffer = vec![0; MAX_DATAGRAM];
        loop {
            let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
                tokio::time::sleep(FAILED_PAUSE).await;
                continue;
            };
            match schema::decode::<GatewayNews>(&buffer[..length]) {
                Ok(news) => self.take_news(&news, from),
                Err(_) => self.metrics.count(Counter::PacketsDropped),
            }
        }
    }

    async fn send(&self, socket: &UdpSocket, bytes: &[u8], target: SocketAddr) {
        if socket.send_to(bytes, target).await.is_ok() {
            self.metrics.count(Counter::PacketsSent);
            self.metrics.add(Counter::BytesSent, bytes.len() as u64);
        }
    }

    // With many gateways the pause grows, so that the datagrams a second do not.
    fn pause(&self) -> Duration {
        let targets = self.known.borrow().peers.targets().len() as f64;
        let pause = Duration::from_secs_f64(targets / DATAGRAMS_PER_S);
        pause.clamp(SHORTEST_PAUSE, LONGEST_PAUSE)
    }

    // Whether something in the tally is to be told at once.
    fn take_tally(&self, tally: Tally) -> bool {
        let mut known = self.known.borrow_mut();
        let urgent = tally.sent.iter().any(|s| s.unread_tokens >= URGENT_TOKENS);
        for (tenant, wall) in tally.begun {
            let window = known.reporter.window_at(wall);
            known.ledger.count(window, &self.source, &tenant);
        }
        for sent in &tally.sent {
            known.demand.add(sent.at, sent.endpoint, sent.unread_tokens);
        }
        known.unsent.extend(tally.sent);
        known.taken = tally.taken;
        known.loads = tally.loads;
        urgent
    }

    fn news(&self, now: Duration) -> (Vec<u8>, Vec<SocketAddr>) {
        let mut known = self.known.borrow_mut();
        known.told_at = now;
        known.sequence += 1;
        let count = known.unsent.len().min(news::MOST_DISPATCHES);
        let dispatches = known.unsent.drain(..count);
        let dispatches = dispatches.map(|s| news::dispatch_of(now, &s)).collect();
        let newest = known.reporter.window_at(self.clock.wall());
        let windows = newest - TOLD_WINDOWS + 1..=newest;
        let usage = windows
            .map(|window| news::usage_of(window, known.ledger.of(window, &self.source)))
            .filter(|told| !told.begun.is_empty())
            .collect();
        let taken = known.taken.iter();
        let taken = taken.map(|(t, n)| (t.clone(), *n as i64)).collect();
        let turn = known.sequence as usize;
        let message = GatewayNews {
            gateway: self.source.gateway.clone(),
            incarnation: self.source.incarnation,
            sequence: known.sequence,
            dispatches,
            usage,
            taken,
            lease_epoch: known.lease.may_order(now).unwrap_or(0),
            peers: known
                .peers
                .addresses(turn, MOST_ADDRESSES)
                .iter()
                .map(SocketAddr::to_string)
                .collect(),
            stopping: self.freshness.is_stopping(),
            heads: Some(heads_of(&known)),
            reaches_store: Some(known.reaches_store()),
            uptime_ms: Some(now.as_millis() as i64),
            lease: known.lease.head().map(|head| news::lease_of(&head)),
            lease_given_up: known.lease.given_up(),
        };
        let targets = known.peers.targets().into_iter().collect();
        (schema::encode(&message).unwrap_or_default(), targets)
    }

    fn take_news(self: &Rc<Self>, news: &GatewayNews, from: SocketAddr) {
        if news.gateway == self.source.gateway {
            return;
        }
        self.metrics.count(Counter::PacketsTaken);
        let now = self.clock.now();
        let mut known = self.known.borrow_mut();
        let was_known = known.peers.knows(&news.gateway);
        let heard = known.peers.hear(now, news::greeting(news, from));
        let source = Source {
            gateway: news.gateway.clone(),
            incarnation: news.incarnation,
        };
        for told in &news.usage {
            known.ledger.merge(told.window, &source, &told.begun);
        }
        if heard == Hearing::Stale {
            return;
        }
        for address in news::heard_addresses(news) {
            known.peers.learn(now, address);
        }
        if news.lease_epoch > 0 {
            known.peers.hear_lease(now, news.lease_epoch);
        }
        let mut actions = Vec::new();
        if let Some(head) = news::heard_lease(news) {
            actions.extend(known.lease.step(now, LeaseEvent::Heard(head)));
        }
        if let Some(epoch) = news.lease_given_up {
            known.peers.hear_given_up(now, epoch);
            actions.extend(known.lease.step(now, LeaseEvent::HeardGivenUp(epoch)));
        }
        if news.stopping {
            known.peers.leave(&news.gateway);
            if was_known {
                info!(self.log, "gateway stops"; "gateway" => &news.gateway);
            }
        }
        let dispatches = news.dispatches.iter();
        let dispatches: Vec<_> = dispatches.map(|d| news::heard_dispatch(now, d)).collect();
        for dispatch in &dispatches {
            let (at, tokens) = (dispatch.sent_at, dispatch.unread_tokens);
            known.demand.add(at, dispatch.endpoint, tokens);
        }
        drop(known);
        self.act(actions);
        for (topic, told) in news::heard_heads(news) {
            self.hear_told(topic, told, from);
        }
        if !dispatches.is_empty() {
            self.update(Update::PeerSent(dispatches));
        }
        self.update(Update::PeerTaken {
            gateway: news.gateway.clone(),
            incarnation: news.incarnation,
            taken: news::heard_totals(news),
            recent: is_recent(now, news::uptime(news)),
        });
    }

    fn update(&self, update: Update) {
        if self.updates.send(update).is_err() {
            warn!(self.log, "the traffic thread is gone");
        }
    }
}

fn heads_of(known: &Known) -> Vec<TopicHead> {
    let followed = known.followed.iter();
    followed
        .filter_map(|(topic, followed)| news::head_of(*topic, followed.told()?))
        .collect()
}
