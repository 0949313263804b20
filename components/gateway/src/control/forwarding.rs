//! Forwarding of usage and roll-out evidence to the holder of the lease.

use std::net::SocketAddr;
use std::time::Duration;

use schema::messages::{EvidenceReport, SourceUsage};
use slog::info;
use tokio::net::UdpSocket;

use crate::control::messages::Content;
use crate::control::{ControlState, Shared};
use crate::gossip;
use crate::ports::{Orders, Store};

impl<S: Store + 'static, O: Orders + 'static> Shared<S, O> {
    /// Forwards the usage of ended windows to the holder of the lease, for the gateways whose first coordinator
    /// is this one.
    pub async fn forward_usage(&self, socket: &UdpSocket, now: Duration) {
        let Some((holder, messages)) = self.usage_messages(now) else {
            return;
        };
        for message in messages {
            self.send(socket, &message, holder).await;
        }
    }

    /// Sends the answers that this gateway saw to the gateway that carries out their roll-out.
    pub async fn send_evidence(&self, socket: &UdpSocket, now: Duration) {
        let messages: Vec<_> = {
            let mut state = self.state.borrow_mut();
            let due = state.rollouts.evidence_due(now, self.peer_address);
            let message = |(holder, reported): (SocketAddr, EvidenceReport)| {
                let mut message = self.build_message(&mut state, now, Content::Usage);
                message.evidence = Some(vec![Box::new(reported)]);
                (holder, schema::encode(&message).unwrap_or_default())
            };
            due.into_iter().map(message).collect()
        };
        for (holder, message) in messages {
            self.send(socket, &message, holder).await;
        }
    }

    fn usage_messages(&self, now: Duration) -> Option<(SocketAddr, Vec<Vec<u8>>)> {
        let mut state = self.state.borrow_mut();
        let (epoch, holder) = state.peers.lease_holder()?;
        if !state.peers.is_coordinator(now) || state.lease.order_epoch(now).is_some() {
            return None;
        }
        let windows = state.forwarding.due(self.clock.wall_time(), epoch);
        if windows.is_empty() {
            return None;
        }
        let reported = self.usage_to_pass_on(&state, now, &windows);
        info!(self.log, "usage passed on"; "windows" => ?windows, "sources" => reported.len(),
            "holder" => %holder, "epoch" => epoch);
        let mut messages = Vec::new();
        for some in reported.chunks(gossip::MAX_FORWARDED) {
            let mut message = self.build_message(&mut state, now, Content::Usage);
            message.forwarded = Some(some.iter().cloned().map(Box::new).collect());
            messages.push(schema::encode(&message).unwrap_or_default());
        }
        Some((holder, messages))
    }

    fn usage_to_pass_on(
        &self,
        state: &ControlState,
        now: Duration,
        windows: &[i64],
    ) -> Vec<SourceUsage> {
        let mut reported = Vec::new();
        for window in windows.iter().copied() {
            let sources = state.ledger.sources(window);
            let passed_on = sources
                .filter(|(source, _)| state.peers.should_forward_usage_of(now, &source.gateway));
            reported.extend(passed_on.map(|(s, counts)| gossip::forwarded_of(window, s, counts)));
        }
        reported
    }
}
