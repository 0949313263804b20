//! Messages between gateways, and how they find each other.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use schema::messages::{GatewayRow, Gossip};
use slog::{info, warn};
use state::LeaseEvent;
use telemetry::Counter;
use tokio::net::UdpSocket;
use usage::Source;

use crate::control::messages::Content;
use crate::control::{round_trip, Known, Shared};
use crate::gossip;
use crate::peers::{is_recent, Receipt};
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
            .filter_map(|row| gossip::listed_of(&row.key, row.value.as_deref()?));
        let mut known = self.known.borrow_mut();
        known.peers.listed(now, listed);
        self.check_need(&mut known, now);
    }

    /// Takes tallies of the traffic thread and reports to the other gateways.
    pub async fn report(self: Rc<Self>, socket: Rc<UdpSocket>, tallies: flume::Receiver<Tally>) {
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
    pub async fn receive(self: Rc<Self>, socket: Rc<UdpSocket>) {
        let mut buffer = vec![0; MAX_DATAGRAM];
        loop {
            let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
                tokio::time::sleep(FAILED_PAUSE).await;
                continue;
            };
            match schema::decode::<Gossip>(&buffer[..length]) {
                Ok(gossip) => {
                    let now = self.clock.now();
                    let was_alive = self.known.borrow().peers.is_alive(now, &gossip.gateway);
                    self.receive_gossip(&gossip, from);
                    if !was_alive && !gossip.stopping && gossip.gateway != self.source.gateway {
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

    // Whether something in the tally is to be reported at once.
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
        for reported in &tally.reported {
            known.rollouts.note(reported);
        }
        known.unsent.extend(tally.sent);
        known.taken = tally.taken;
        known.loads = tally.loads;
        urgent
    }

    fn receive_gossip(self: &Rc<Self>, gossip: &Gossip, from: SocketAddr) {
        if gossip.gateway == self.source.gateway {
            return;
        }
        self.metrics.count(Counter::PacketsTaken);
        let now = self.clock.now();
        let mut known = self.known.borrow_mut();
        let was_alive = known.peers.is_alive(now, &gossip.gateway);
        let heard = known.peers.receive(now, gossip::greeting(gossip, from));
        let source = Source {
            gateway: gossip.gateway.clone(),
            incarnation: gossip.incarnation,
        };
        for reported in &gossip.usage {
            known
                .ledger
                .merge(reported.window, &source, &reported.begun);
        }
        for (window, source, begun) in gossip::received_forwarded(gossip) {
            known.ledger.merge(window, &source, begun);
        }
        for reported in gossip.evidence.iter().flatten() {
            known.rollouts.receive_evidence(&source, reported);
        }
        if heard == Receipt::Stale {
            return;
        }
        known.engines.receive(now, gossip);
        for address in gossip::received_addresses(gossip) {
            known.peers.learn(now, address);
        }
        if gossip.lease_epoch > 0 {
            known.peers.receive_lease(now, gossip.lease_epoch, from);
        }
        let mut actions = Vec::new();
        if let Some(head) = gossip::received_lease(gossip) {
            actions.extend(known.lease.step(now, LeaseEvent::Heard(head)));
        }
        if let Some(epoch) = gossip.lease_given_up {
            known.peers.receive_given_up(now, epoch);
            actions.extend(known.lease.step(now, LeaseEvent::GivenUp(epoch)));
        }
        if gossip.stopping {
            known.peers.leave(&gossip.gateway);
            if was_alive {
                info!(self.log, "gateway stops"; "gateway" => &gossip.gateway);
            }
        }
        let measured = known.way_shown(now, &self.source.gateway, gossip);
        let dispatches = gossip.dispatches.iter();
        let dispatches: Vec<_> = dispatches
            .map(|d| gossip::received_dispatch(now, d))
            .collect();
        for dispatch in &dispatches {
            let (at, tokens) = (dispatch.sent_at, dispatch.unread_tokens);
            known.demand.add(at, dispatch.endpoint, tokens);
        }
        drop(known);
        if let Some((hall, round_trip)) = measured {
            self.update(Update::WayMeasured { hall, round_trip });
        }
        self.act(actions);
        self.receive_rollouts(gossip);
        for (topic, reported) in gossip::received_heads(gossip) {
            self.receive_digest(topic, reported, from);
        }
        if !dispatches.is_empty() {
            self.update(Update::PeerSent(dispatches));
        }
        if !gossip.taken.is_empty() {
            self.update(Update::PeerTaken {
                gateway: gossip.gateway.clone(),
                incarnation: gossip.incarnation,
                taken: gossip::received_totals(gossip),
                recent: is_recent(now, gossip::uptime(gossip)),
            });
        }
    }

    fn update(&self, update: Update) {
        if self.updates.send(update).is_err() {
            warn!(self.log, "the traffic thread is gone");
        }
    }
}

impl Known {
    // The sender's hall and the time to it and back, if its message echoes one of this gateway.
    fn way_shown(
        &mut self,
        now: Duration,
        own: &str,
        gossip: &Gossip,
    ) -> Option<(String, Duration)> {
        let kept = self.echoes.as_mut()?;
        if gossip.coordinates == Some(true) {
            kept.heard(now, &gossip.gateway, gossip.uptime_ms?);
        }
        let took = round_trip(now, own, gossip.echo.as_ref()?)?;
        Some((gossip.hall.clone()?, took))
    }
}
