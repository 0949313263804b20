//! Messages between gateways, and how they find each other.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use schema::messages::{GatewayNews, GatewayRow};
use slog::{info, warn};
use state::LeaseEvent;
use telemetry::Counter;
use tokio::net::UdpSocket;
use usage::Source;

use crate::control::messages::Content;
use crate::control::Shared;
use crate::news;
use crate::peers::{is_recent, Hearing};
use crate::ports::{Orders, Store, Topic};
use crate::tally::Tally;
use crate::traffic::LONG_PROMPT_TOKENS;
use crate::update::Update;

/// Largest datagram that is read, in bytes.
const MAX_DATAGRAM: usize = 8192;
/// Pause after a failed call of the store.
const FAILED_PAUSE: Duration = Duration::from_millis(300);

impl<S: Store + 'static, O: Orders + 'static> Shared<S, O> {
    /// Writes this gateway's row and learns of the others'.
    pub async fn announce(self: Rc<Self>) {
        let settings = self.known.borrow().settings.clone();
        let row = GatewayRow {
            address: self.peer_address.to_string(),
            incarnation: self.source.incarnation,
            hall: Some(settings.zone.clone()),
            cores_milli: Some(settings.cores_milli),
            decisions_port: Some(i32::from(self.decisions_port)),
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
        let listed = rows
            .iter()
            .filter_map(|row| news::listed_of(&row.key, row.value.as_deref()?));
        let mut known = self.known.borrow_mut();
        known.peers.listed(now, listed);
        self.check_need(&mut known, now);
    }

    /// Takes tallies of the traffic thread and tells the other gateways.
    pub async fn tell(self: Rc<Self>, socket: Rc<UdpSocket>, tallies: flume::Receiver<Tally>) {
        loop {
            let mut changed = false;
            let mut long_prompt = false;
            tokio::select! {
                tally = tallies.recv_async() => match tally {
                    Ok(tally) => long_prompt = self.take_tally(tally),
                    Err(_) => return,
                },
                () = self.urgent.notified() => changed = true,
            };
            let now = self.clock.now();
            for (content, targets) in self.due(now, changed, long_prompt) {
                let bytes = self.message(now, content);
                for target in targets {
                    self.send(&socket, &bytes, target).await;
                }
            }
            self.forward_usage(&socket, now).await;
            self.send_evidence(&socket, now).await;
        }
    }

    /// Takes the messages of the other gateways.
    pub async fn hear(self: Rc<Self>, socket: Rc<UdpSocket>) {
        let mut buffer = vec![0; MAX_DATAGRAM];
        loop {
            let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
                tokio::time::sleep(FAILED_PAUSE).await;
                continue;
            };
            match schema::decode::<GatewayNews>(&buffer[..length]) {
                Ok(news) => {
                    let now = self.clock.now();
                    let was_heard = self.known.borrow().peers.hears(now, &news.gateway);
                    self.take_news(&news, from);
                    if !was_heard && !news.stopping && news.gateway != self.source.gateway {
                        let answer = self.message(now, Content::Digest);
                        self.send(&socket, &answer, from).await;
                    }
                }
                Err(_) => self.metrics.count(Counter::PacketsDropped),
            }
        }
    }

    /// Sends one datagram; what is lost is made good by the next one.
    pub async fn send(&self, socket: &UdpSocket, bytes: &[u8], target: SocketAddr) {
        match socket.send_to(bytes, target).await {
            Ok(_) => {
                self.metrics.count(Counter::PacketsSent);
                self.metrics.add(Counter::BytesSent, bytes.len() as u64);
            }
            Err(_) => self.metrics.count(Counter::PacketsDropped),
        }
    }

    // Whether something in the tally is to be told at once.
    fn take_tally(&self, tally: Tally) -> bool {
        let mut known = self.known.borrow_mut();
        let urgent = tally
            .sent
            .iter()
            .any(|s| s.unread_tokens >= LONG_PROMPT_TOKENS);
        for (tenant, wall) in tally.begun {
            let window = known.reporter.window_at(wall);
            known.ledger.count(window, &self.source, &tenant);
        }
        for sent in &tally.sent {
            known.demand.add(sent.at, sent.endpoint, sent.unread_tokens);
        }
        for told in &tally.told {
            known.rollouts.note(told);
        }
        known.unsent.extend(tally.sent);
        known.taken = tally.taken;
        known.loads = tally.loads;
        urgent
    }

    fn take_news(self: &Rc<Self>, news: &GatewayNews, from: SocketAddr) {
        if news.gateway == self.source.gateway {
            return;
        }
        self.metrics.count(Counter::PacketsTaken);
        let now = self.clock.now();
        let mut known = self.known.borrow_mut();
        let was_heard = known.peers.hears(now, &news.gateway);
        let heard = known.peers.hear(now, news::greeting(news, from));
        let source = Source {
            gateway: news.gateway.clone(),
            incarnation: news.incarnation,
        };
        for told in &news.usage {
            known.ledger.merge(told.window, &source, &told.begun);
        }
        for (window, source, begun) in news::heard_forwarded(news) {
            known.ledger.merge(window, &source, begun);
        }
        for told in news.evidence.iter().flatten() {
            known.rollouts.hear_evidence(&source, told);
        }
        if heard == Hearing::Stale {
            return;
        }
        for address in news::heard_addresses(news) {
            known.peers.learn(now, address);
        }
        if news.lease_epoch > 0 {
            known.peers.hear_lease(now, news.lease_epoch, from);
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
            if was_heard {
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
        self.hear_rollouts(news);
        for (topic, told) in news::heard_heads(news) {
            self.hear_told(topic, told, from);
        }
        if !dispatches.is_empty() {
            self.update(Update::PeerSent(dispatches));
        }
        if !news.taken.is_empty() {
            self.update(Update::PeerTaken {
                gateway: news.gateway.clone(),
                incarnation: news.incarnation,
                taken: news::heard_totals(news),
                recent: is_recent(now, news::uptime(news)),
            });
        }
    }

    fn update(&self, update: Update) {
        if self.updates.send(update).is_err() {
            warn!(self.log, "the traffic thread is gone");
        }
    }
}
