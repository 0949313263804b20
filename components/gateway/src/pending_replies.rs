//! Matches replies of coordinators to pending queries, one datagram each.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::Duration;

use tokio::sync::oneshot;

/// Queries that have no reply yet, by their numbers.
#[derive(Debug)]
pub(crate) struct PendingReplies<R> {
    senders: RefCell<HashMap<i64, oneshot::Sender<R>>>,
    number: Cell<i64>,
}

impl<R> Default for PendingReplies<R> {
    fn default() -> Self {
        PendingReplies {
            senders: RefCell::default(),
            number: Cell::default(),
        }
    }
}

impl<R> PendingReplies<R> {
    /// Returns an unused query number.
    pub fn next_number(&self) -> i64 {
        self.number.set(self.number.get() + 1);
        self.number.get()
    }

    /// Registers a query that is about to be sent.
    pub fn register(&self, number: i64) -> oneshot::Receiver<R> {
        let (sender, reply) = oneshot::channel();
        self.senders.borrow_mut().insert(number, sender);
        reply
    }

    /// Waits up to `timeout` for the reply.
    pub async fn wait(
        &self,
        timeout: Duration,
        number: i64,
        reply: oneshot::Receiver<R>,
    ) -> Option<R> {
        let reply = tokio::time::timeout(timeout, reply).await;
        self.senders.borrow_mut().remove(&number);
        reply.ok()?.ok()
    }

    /// Delivers a reply to its waiting query. A late reply is dropped.
    pub fn deliver(&self, number: i64, reply: R) {
        let sender = self.senders.borrow_mut().remove(&number);
        if let Some(sender) = sender {
            let _ = sender.send(reply);
        }
    }
}
