//! A caller's connection: its memory account and its progress.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use memory::{Account, Delivery, Reservation};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::Notify;
use transport::{SharedStream, WeakStream};

use crate::clock::Clock;

/// Interval of the checks whether a caller has closed its connection behind bytes that are not read yet.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// A caller's connection, which serves one request at a time.
#[derive(Debug)]
pub(crate) struct Caller {
    /// Account of the memory held for its request.
    pub account: Account,
    /// Notified when the connection is to be closed because memory is short.
    pub close_requested: Notify,
    clock: Clock,
    stream: RefCell<WeakStream>,
    // Memory of the connection itself.
    _connection: Reservation,
    running: Cell<u32>,
    idle_since: Cell<Duration>,
    head_started_at: Cell<Option<Duration>>,
    unsent: Cell<u64>,
    progress_at: Cell<Duration>,
    unread_since: Cell<Option<Duration>>,
    request: RefCell<Request>,
}

#[derive(Clone, Debug, Default)]
struct Request {
    id: String,
    deadline: Duration,
}

impl Caller {
    /// Creates the state of a connection that was just accepted.
    pub fn new(clock: Clock, account: Account, connection: Reservation) -> Self {
        let now = clock.now();
        Caller {
            account,
            close_requested: Notify::new(),
            clock,
            stream: RefCell::default(),
            _connection: connection,
            running: Cell::new(0),
            idle_since: Cell::new(now),
            head_started_at: Cell::new(None),
            unsent: Cell::new(0),
            progress_at: Cell::new(now),
            unread_since: Cell::new(None),
            request: RefCell::default(),
        }
    }

    /// Sets the stream of the connection.
    pub fn set_stream(&self, stream: WeakStream) {
        *self.stream.borrow_mut() = stream;
    }

    /// Whether the caller has closed its connection, or its side of it, so that it waits for no answer.
    pub fn has_left(&self) -> bool {
        self.stream.borrow().is_closed()
    }

    /// Sets the request whose head was read, and the deadline of its answer.
    pub fn set_request(&self, id: &str, deadline: Duration) {
        let mut request = self.request.borrow_mut();
        request.id.clear();
        request.id.push_str(id);
        request.deadline = deadline;
    }

    /// Id of the request, for logs.
    pub fn request_id(&self) -> String {
        self.request.borrow().id.clone()
    }

    /// Records that a request starts.
    pub fn start_request(&self) {
        self.running.set(self.running.get() + 1);
        self.head_started_at.set(None);
    }

    /// Records that a request has ended: the last byte of its answer was written, or the answer was dropped.
    pub fn finish_request(&self) {
        self.running.set(self.running.get() - 1);
        self.idle_since.set(self.clock.now());
    }

    /// How long the connection has been idle, if it is.
    pub fn idle_time(&self, now: Duration) -> Option<Duration> {
        let is_idle = self.running.get() == 0;
        is_idle.then(|| now.saturating_sub(self.idle_since.get()))
    }

    /// How long the head of the next request has been arriving, if it has begun.
    pub fn head_receive_time(&self, now: Duration) -> Option<Duration> {
        let since = self.head_started_at.get()?;
        Some(now.saturating_sub(since))
    }

    /// Adds bytes of an answer that are queued for the caller.
    pub fn add_unsent(&self, bytes: u64) {
        if self.unsent.get() == 0 {
            self.progress_at.set(self.clock.now());
        }
        self.unsent.set(self.unsent.get() + bytes);
    }

    /// Bytes of an answer that are queued for the caller.
    pub fn unsent_bytes(&self) -> u64 {
        self.unsent.get()
    }

    /// Removes bytes that were written or dropped.
    pub fn remove_unsent(&self, bytes: u64) {
        self.unsent.set(self.unsent.get() - bytes);
    }

    /// Sets whether the endpoint's answer is read; `false` while there is no memory for it. Returns how long reading was
    /// paused.
    pub fn set_reading(&self, is_reading: bool) -> Duration {
        let now = self.clock.now();
        if is_reading {
            let since = self.unread_since.take();
            return since.map_or(Duration::ZERO, |since| now.saturating_sub(since));
        }
        self.unread_since.set(Some(now));
        Duration::ZERO
    }

    /// Progress of the answer.
    pub fn delivery(&self, now: Duration) -> Delivery {
        let unread = self.unread_since.get();
        Delivery {
            held: self.unsent.get(),
            stalled: now.saturating_sub(self.progress_at.get()),
            unread: unread.map(|since| now.saturating_sub(since)),
        }
    }

    /// Restarts the stall time after a time in which the caller could make no progress.
    pub fn reset_progress(&self, now: Duration) {
        self.progress_at.set(now);
    }

    /// Whether the answer's deadline has passed and the caller has taken nothing for more than `idle`.
    pub fn is_stalled_past_deadline(&self, now: Duration, idle: Duration) -> bool {
        let delivery = self.delivery(now);
        delivery.held > 0 && delivery.stalled > idle && now > self.request.borrow().deadline
    }

    fn record_read(&self, bytes: usize) {
        if bytes > 0 && self.running.get() == 0 && self.head_started_at.get().is_none() {
            self.head_started_at.set(Some(self.clock.now()));
        }
    }

    fn record_write(&self) {
        self.progress_at.set(self.clock.now());
    }
}

/// A caller's socket that reports progress to its [`Caller`].
#[derive(Debug)]
pub(crate) struct ProgressStream {
    pub stream: SharedStream,
    pub caller: Rc<Caller>,
}

/// Waits until a caller closes its connection, or its side of it. The server looks for that only while it has read nothing
/// behind the current request, but the caller may have sent bytes of the next one. Must be polled by the task that serves
/// the connection.
pub(crate) async fn wait_for_close(stream: &SharedStream) {
    loop {
        let ready = poll_fn(|context| stream.poll_read_ready(context)).await;
        if ready.is_err() || stream.is_closed_by_peer() {
            return;
        }
        // Boxed, so that other connections hold no memory for it.
        Box::pin(tokio::time::sleep(CLOSE_CHECK_INTERVAL)).await;
    }
}

impl AsyncRead for ProgressStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        self.caller.record_read(buffer.filled().len() - before);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ProgressStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write(context, bytes))?;
        self.caller.record_write();
        Poll::Ready(Ok(written))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write_vectored(context, slices))?;
        self.caller.record_write();
        Poll::Ready(Ok(written))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
