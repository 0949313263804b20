//! Gossip with the other gateways, and the discovery of their addresses.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use schema::messages::{GatewayRow, Gossip};
use slog::{info, warn};
use state::LeaseEvent;
use telemetry::Counter;
use tokio::net::UdpSocket;
use topology::Distance;
use usage::Source;

use crate::control::messages::Content;
use crate::control::{round_trip, ControlState, Shared};
use crate::gossip;
use crate::limit_reports::received_limits;
use crate::listing::read_all;
use crate::peers::{has_started_recently, Receipt};
use crate::ports::{Orders, Store, StoreError, Topic};
use crate::sights::received_sight;
use crate::tally::Tally;
use crate::traffic::LONG_PROMPT_TOKENS;
use crate::update::Update;

/// Size limit of a received datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 8192;
/// Pause after a failed store call; it doubles up to twice.
const FAILED_PAUSE: Duration = Duration::from_millis(300);
/// Rate at which all gateways together rewrite their rows after a restore: half of the store's write capacity.
const ROW_REWRITES_PER_S: f64 = 200.0;
/// Pause between checks of whether further parts of the list are needed.
const LIST_CHECK_PAUSE: Duration = Duration::from_millis(100);

impl<S: Store + 'static, O: Orders + 'static> Shared<S, O> {
    /// Writes this gateway's row and reads the list of the others.
    pub async fn announce(self: Rc<Self>) {
        self.write_own_row().await;
        let by_halls = self.state.borrow().topology.has_several_halls();
        match by_halls {
            true => self.list_halls().await,
            false => self.list_gateways(None).await,
        }
    }

    /// Rewrites this gateway's row, which a restored store may lack: gateways that start later would not find
    /// this one. The rewrites of all gateways are spread over a period proportional to their number.
    pub async fn rewrite_own_row(self: Rc<Self>) {
        let gateways = self.state.borrow().fleet.gateways;
        let period = Duration::from_secs_f64(gateways as f64 / ROW_REWRITES_PER_S);
        let era = self.state.borrow().newest_era;
        tokio::time::sleep(period.mul_f64(self.jitter)).await;
        if self.state.borrow().newest_era != era {
            // The rewrite for the later era replaces this one.
            return;
        }
        self.write_own_row().await;
        info!(self.log, "gateway row rewritten"; "gateways" => gateways);
    }

    async fn write_own_row(&self) {
        let settings = self.state.borrow().settings.clone();
        let row = GatewayRow {
            address: self.peer_address.to_string(),
            incarnation: self.source.incarnation,
            hall: Some(settings.zone.clone()),
            cores_milli: Some(settings.cores_milli),
            decisions_port: Some(i32::from(self.decisions_port)),
        };
        let value = schema::encode(&row).unwrap_or_default();
        let by_halls = self.state.borrow().topology.has_several_halls();
        let hall = by_halls.then_some(settings.zone.as_str());
        let mut failures = 0;
        while let Err(error) = self
            .store
            .announce(hall, &settings.name, value.clone())
            .await
        {
            self.record_list_failure(&error);
            tokio::time::sleep(self.backoff_after(failures)).await;
            failures += 1;
        }
    }

    // Reads the halls' parts of the list as they are needed.
    async fn list_halls(&self) {
        while !self.state.borrow().peers.has_complete_list() {
            let now = self.clock.now();
            let next = {
                let state = self.state.borrow();
                state.peers.next_hall_to_list(now, &state.topology)
            };
            match next {
                Some(hall) => self.list_gateways(Some(&hall)).await,
                None => tokio::time::sleep(LIST_CHECK_PAUSE).await,
            }
        }
    }

    // Reads the store's list of gateways, or its part for one data hall.
    async fn list_gateways(&self, hall: Option<&str>) {
        let mut failures = 0;
        let (sent, list) = loop {
            let sent = self.clock.now();
            match read_all(&self.store, Topic::Gateways, hall, self.jitter).await {
                Ok(list) => {
                    self.record_list(Topic::Gateways, sent, &list);
                    self.count_bytes(Topic::Gateways, list.rows.bytes);
                    break (sent, list);
                }
                Err(error) => {
                    self.record_list_failure(&error);
                    tokio::time::sleep(self.backoff_after(failures)).await;
                    failures += 1;
                }
            }
        };
        self.store_answers.notify_waiters();
        let now = self.clock.now();
        let rows = list.rows.rows.iter();
        let listed = rows.filter_map(|row| gossip::listed_of(&row.key, row.value.as_deref()?));
        let mut state = self.state.borrow_mut();
        // A gateway that does not read the other topics from the store needs the store's time to apply
        // confirmations of other gateways.
        let _ = state.store_clock.earliest(sent, now, list.rows.stamp);
        state.record_store_call(now.saturating_sub(sent));
        match hall {
            Some(hall) => state.peers.apply_hall_list(now, hall, listed),
            None => state.peers.apply_list(now, listed),
        }
        self.update_endpoint_need(&mut state, now);
        // If the store turns out to be near, the topics are read from it now.
        let followed = state.followed.values();
        followed.for_each(|followed| followed.wake.notify_one());
    }

    fn record_list_failure(&self, error: &StoreError) {
        self.metrics.count(Counter::PlatformUnanswered);
        self.state.borrow_mut().list_refused = *error == StoreError::Refused;
    }

    fn backoff_after(&self, failures: u32) -> Duration {
        let pause = FAILED_PAUSE * (1 << failures.min(2));
        pause.mul_f64(0.75 + self.jitter / 2.0)
    }

    /// Processes tallies of the traffic thread and sends reports to the other gateways.
    pub async fn report(self: Rc<Self>, socket: Rc<UdpSocket>, tallies: flume::Receiver<Tally>) {
        loop {
            let mut changed = false;
            let mut long_prompt = false;
            tokio::select! {
                tally = tallies.recv_async() => match tally {
                    Ok(tally) => long_prompt = self.apply_tally(tally),
                    Err(_) => return,
                },
                () = self.urgent.notified() => changed = true,
            };
            let now = self.clock.now();
            for (content, targets) in self.due(now, changed, long_prompt) {
                let bytes = self.encoded_message(now, content);
                for target in targets {
                    self.send(&socket, &bytes, target).await;
                }
            }
            self.forward_usage(&socket, now).await;
            self.send_evidence(&socket, now).await;
        }
    }

    /// Processes messages of the other gateways.
    pub async fn receive(self: Rc<Self>, socket: Rc<UdpSocket>) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
                tokio::time::sleep(FAILED_PAUSE).await;
                continue;
            };
            match schema::decode::<Gossip>(&buffer[..length]) {
                Ok(gossip) => {
                    let now = self.clock.now();
                    let was_alive = self.state.borrow().peers.is_alive(now, &gossip.gateway);
                    self.receive_gossip(&gossip, from);
                    if !was_alive && !gossip.stopping && gossip.gateway != self.source.gateway {
                        let answer = self.encoded_message(now, Content::Digest);
                        self.send(&socket, &answer, from).await;
                    }
                }
                Err(_) => self.metrics.count(Counter::PacketsDropped),
            }
        }
    }

    /// Sends one datagram. A lost datagram is compensated by later ones.
    pub async fn send(&self, socket: &UdpSocket, bytes: &[u8], target: SocketAddr) {
        match socket.send_to(bytes, target).await {
            Ok(_) => {
                self.metrics.count(Counter::PacketsSent);
                self.metrics.add(Counter::BytesSent, bytes.len() as u64);
            }
            Err(_) => self.metrics.count(Counter::PacketsDropped),
        }
    }

    // Returns whether the tally holds a long prompt, which must be reported at once.
    fn apply_tally(&self, tally: Tally) -> bool {
        let mut state = self.state.borrow_mut();
        let urgent = tally
            .sent
            .iter()
            .any(|s| s.unread_tokens >= LONG_PROMPT_TOKENS);
        for (tenant, wall) in tally.begun {
            let window = state.reporter.window_at(wall);
            state.ledger.count(window, &self.source, &tenant);
        }
        for sent in &tally.sent {
            state.demand.add(sent.at, sent.endpoint, sent.unread_tokens);
        }
        for reported in &tally.rollout_answers {
            state.rollouts.record_answer(reported);
        }
        self.record_own_observations(&mut state, tally.observations);
        state.unsent_requests.extend(tally.sent);
        state.queue_sights(tally.sights);
        state.limits.extend(tally.limits);
        state.team_totals = tally.taken;
        state.loads = tally.loads;
        state.has_lost_paths = tally.has_lost_paths;
        urgent
    }

    fn receive_gossip(self: &Rc<Self>, gossip: &Gossip, from: SocketAddr) {
        if gossip.gateway == self.source.gateway {
            return;
        }
        self.metrics.count(Counter::PacketsReceived);
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let was_alive = state.peers.is_alive(now, &gossip.gateway);
        let receipt = state.peers.receive(now, gossip::greeting(gossip, from));
        let source = Source {
            gateway: gossip.gateway.clone(),
            incarnation: gossip.incarnation,
        };
        for reported in &gossip.usage {
            state
                .ledger
                .merge(reported.window, &source, &reported.begun);
        }
        for (window, source, begun) in gossip::received_forwarded(gossip) {
            state.ledger.merge(window, &source, begun);
        }
        for reported in gossip.evidence.iter().flatten() {
            state.rollouts.receive_evidence(&source, reported);
        }
        if receipt == Receipt::Stale {
            return;
        }
        state.engines.receive(now, gossip);
        if let Some(offset_us) = gossip::received_day(now, gossip) {
            state.day.receive(now, &gossip.gateway, offset_us);
        }
        if state.should_contact_addresses(now) {
            for address in gossip::received_addresses(gossip) {
                state.peers.add_address(now, address);
            }
        }
        if gossip.lease_epoch > 0 {
            state.peers.receive_lease(now, gossip.lease_epoch, from);
        }
        let mut actions = Vec::new();
        if let Some(head) = gossip::received_lease(gossip) {
            actions.extend(state.lease.step(now, LeaseEvent::HeadReported(head)));
        }
        if let Some(epoch) = gossip.lease_given_up {
            state.peers.receive_give_up(now, epoch);
            actions.extend(state.lease.step(now, LeaseEvent::GiveUpReported(epoch)));
        }
        if gossip.stopping {
            state.peers.remove(now, &gossip.gateway);
            if was_alive {
                info!(self.log, "gateway stops"; "gateway" => &gossip.gateway);
            }
        }
        let measured = state.measured_round_trip(now, &self.source.gateway, gossip);
        let dispatches = gossip.dispatches.iter();
        let dispatches: Vec<_> = dispatches
            .map(|d| gossip::received_dispatch(now, d))
            .collect();
        for dispatch in &dispatches {
            let (at, tokens) = (dispatch.sent_at, dispatch.unread_tokens);
            state.demand.add(at, dispatch.endpoint, tokens);
        }
        let hall = gossip.hall.as_deref().unwrap_or_default();
        let is_far = state.topology.distance(hall) == Distance::OtherRegion;
        drop(state);
        if let Some((hall, round_trip)) = measured {
            self.update(Update::RoundTripMeasured { hall, round_trip });
        }
        self.perform_lease_actions(actions);
        self.receive_rollouts(gossip);
        self.receive_contents(gossip);
        for (topic, reported) in gossip::received_heads(gossip) {
            self.receive_digest(topic, reported, from, is_far);
        }
        if !dispatches.is_empty() {
            self.update(Update::PeerDispatches(dispatches));
        }
        if let Some(told) = &gossip.sights {
            let sights = told.iter().map(|told| received_sight(now, told));
            self.update(Update::PeerSights(sights.collect()));
        }
        let limits = received_limits(now, gossip.limits.as_ref());
        if !limits.is_empty() {
            self.update(Update::PeerLimits(limits));
        }
        if !gossip.taken.is_empty() {
            self.update(Update::PeerTaken {
                gateway: gossip.gateway.clone(),
                incarnation: gossip.incarnation,
                taken: gossip::received_totals(gossip),
                recent: has_started_recently(now, gossip::uptime(gossip)),
            });
        }
    }

    /// Sends an update to the traffic thread.
    pub fn update(&self, update: Update) {
        if self.updates.send(update).is_err() {
            warn!(
                self.log,
                "update not delivered; the traffic thread has ended"
            );
        }
    }
}

impl ControlState {
    // The sender's hall and the round-trip time to it, if its message echoes one of this gateway.
    fn measured_round_trip(
        &mut self,
        now: Duration,
        own: &str,
        gossip: &Gossip,
    ) -> Option<(String, Duration)> {
        let echoes = self.echoes.as_mut()?;
        if gossip.coordinates == Some(true) {
            echoes.receive(now, &gossip.gateway, gossip.uptime_ms?);
        }
        let round_trip_time = round_trip(now, own, gossip.echo.as_ref()?)?;
        Some((gossip.hall.clone()?, round_trip_time))
    }
}
