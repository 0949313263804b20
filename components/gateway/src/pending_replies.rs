//! Questions to coordinators, one datagram each, that wait for their replies.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::Duration;

use tokio::sync::oneshot;

/// Questions without a reply yet, by their numbers.
#[derive(Debug)]
pub(crate) struct PendingReplies<R> {
    waiting: RefCell<HashMap<i64, oneshot::Sender<R>>>,
    number: Cell<i64>,
}

impl<R> Default for PendingReplies<R> {
    fn default() -> Self {
        PendingReplies {
            waiting: RefCell::default(),
            number: Cell::default(),
        }
    }
}

impl<R> PendingReplies<R> {
    /// A number that no question had before.
    pub fn next_number(&self) -> i64 {
        self.number.set(self.number.get() + 1);
        self.number.get()
    }

    /// Awaits the reply to a question that is about to be sent.
    pub fn register(&self, number: i64) -> oneshot::Receiver<R> {
        let (sender, reply) = oneshot::channel();
        self.waiting.borrow_mut().insert(number, sender);
        reply
    }

    /// The reply, if it comes in time.
    pub async fn wait(
        &self,
        time: Duration,
        number: i64,
        reply: oneshot::Receiver<R>,
    ) -> Option<R> {
        let reply = tokio::time::timeout(time, reply).await;
        self.waiting.borrow_mut().remove(&number);
        reply.ok()?.ok()
    }

    /// Hands a reply to whoever waits for it. One that comes too late is for nobody.
    pub fn deliver(&self, number: i64, reply: R) {
        let waiting = self.waiting.borrow_mut().remove(&number);
        if let Some(waiting) = waiting {
            let _ = waiting.send(reply);
        }
    }
}
