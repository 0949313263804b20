//! Whether an endpoint ended when an answer of it was cut off.

use std::rc::Rc;
use std::time::Duration;

use routing::placement::Placement;
use slog::info;
use tokio::task::JoinHandle;
use transport::Connection;

use crate::job::SharedJob;
use crate::ports::Dialect;
use crate::traffic::Traffic;

/// Longest time that a connection to the endpoint may take; whoever closed connections and then takes none is gone.
const LOOK_TIME: Duration = Duration::from_millis(400);
/// What is sent on waits this long for the look: an ended endpoint's VM refuses within a way there and back.
const LOOK_WAIT: Duration = Duration::from_millis(100);
/// How long the endpoint is taken to keep a connection on which nothing was sent: long enough for the next request, short
/// enough that it isn't closed under one.
const LOOK_KEEP: Duration = Duration::from_secs(1);

impl<D: Dialect + 'static> Traffic<D> {
    /// An endpoint cut an answer off. Looks whether it ended, also if the caller leaves meanwhile; what is sent on next waits
    /// a moment for that.
    pub async fn look_after_cut(self: &Rc<Self>, job: &SharedJob, placement: &Placement) {
        let look = self.look(job, placement);
        // Slower looks end on their own.
        let _ = tokio::time::timeout(LOOK_WAIT, look).await;
    }

    fn look(self: &Rc<Self>, job: &SharedJob, placement: &Placement) -> JoinHandle<()> {
        let (traffic, job, placement) = (Rc::clone(self), Rc::clone(job), placement.clone());
        tokio::task::spawn_local(async move {
            if traffic.was_to_leave(&placement.endpoint) {
                return;
            }
            let has_ended = traffic.has_ended(&job, &placement).await;
            info!(traffic.log, "answer cut off"; "id" => &job.head.id, "content" => %job.content,
                "endpoint" => &placement.endpoint, "endpoint_ended" => has_ended);
            if has_ended == Some(true) {
                traffic.note_end(&job, &placement.endpoint);
            }
        })
    }

    // Whether no connection can be made any more; `None` if none may be opened.
    async fn has_ended(&self, job: &SharedJob, placement: &Placement) -> Option<bool> {
        let most = self.most_connections(job);
        let endpoint = &placement.endpoint;
        let reserved = self.state.borrow_mut().pool.reserve(endpoint, most);
        reserved.ok()?;
        let opened = Connection::open(placement.address, LOOK_TIME).await;
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        match opened {
            Ok(connection) => {
                state.pool.rest(now, endpoint, connection, Some(LOOK_KEEP));
                Some(false)
            }
            Err(_) => {
                state.pool.closed(endpoint);
                Some(true)
            }
        }
    }

    // Whether the endpoint said that it leaves, or its record is gone: its end says nothing of what it ran. Where endpoints
    // aren't followed this is not known.
    fn was_to_leave(&self, endpoint: &str) -> bool {
        let state = self.state.borrow();
        let known = state.board.endpoint(endpoint);
        state.endpoints_known && !known.is_some_and(|known| known.is_ready())
    }
}
