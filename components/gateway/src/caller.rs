//! One caller's connection: what is held for it, and whether it makes progress.

use std::cell::{Cell, RefCell};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use memory::{Account, Delivery, Hold};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;

use crate::clock::Clock;

/// One caller's connection. It serves one request at a time.
#[derive(Debug)]
pub(crate) struct Caller {
    /// What is held for its request.
    pub account: Account,
    /// Resolves once the connection is to be closed for want of memory.
    pub close_requested: Notify,
    clock: Clock,
    // The cost of the connection itself.
    _connection: Hold,
    running: Cell<u32>,
    rests_since: Cell<Duration>,
    head_since: Cell<Option<Duration>>,
    waiting: Cell<u64>,
    progress_at: Cell<Duration>,
    unread_since: Cell<Option<Duration>>,
    request: RefCell<Request>,
}

#[derive(Clone, Debug, Default)]
struct Request {
    id: String,
    until: Duration,
}

impl Caller {
    /// A connection that was just accepted.
    pub fn new(clock: Clock, account: Account, connection: Hold) -> Self {
        let now = clock.now();
        Caller {
            account,
            close_requested: Notify::new(),
            clock,
            _connection: connection,
            running: Cell::new(0),
            rests_since: Cell::new(now),
            head_since: Cell::new(None),
            waiting: Cell::new(0),
            progress_at: Cell::new(now),
            unread_since: Cell::new(None),
            request: RefCell::default(),
        }
    }

    /// Its request was read up to the body; the caller waits for an answer until a time.
    pub fn set_request(&self, id: &str, until: Duration) {
        let mut request = self.request.borrow_mut();
        request.id.clear();
        request.id.push_str(id);
        request.until = until;
    }

    /// Id of its request, for logs.
    pub fn request_id(&self) -> String {
        self.request.borrow().id.clone()
    }

    /// A request begins.
    pub fn start_request(&self) {
        self.running.set(self.running.get() + 1);
        self.head_since.set(None);
    }

    /// A request is over, up to the last byte of its answer.
    pub fn finish_request(&self) {
        self.running.set(self.running.get() - 1);
        self.rests_since.set(self.clock.now());
    }

    /// How long it has been at rest, if it is.
    pub fn idle_time(&self, now: Duration) -> Option<Duration> {
        let rests = self.running.get() == 0;
        rests.then(|| now.saturating_sub(self.rests_since.get()))
    }

    /// How long the head of its next request has been coming, if one has begun.
    pub fn head_receive_time(&self, now: Duration) -> Option<Duration> {
        let since = self.head_since.get()?;
        Some(now.saturating_sub(since))
    }

    /// Bytes of an answer begin to wait for it.
    pub fn add_unsent(&self, bytes: u64) {
        if self.waiting.get() == 0 {
            self.progress_at.set(self.clock.now());
        }
        self.waiting.set(self.waiting.get() + bytes);
    }

    /// Bytes of an answer that wait for it.
    pub fn unsent_bytes(&self) -> u64 {
        self.waiting.get()
    }

    /// Bytes of an answer wait no longer.
    pub fn remove_unsent(&self, bytes: u64) {
        self.waiting.set(self.waiting.get() - bytes);
    }

    /// Whether its endpoint's answer is read on; `false` while there is no memory for it. Returns how long it was not.
    pub fn set_reading(&self, reads: bool) -> Duration {
        let now = self.clock.now();
        if reads {
            let since = self.unread_since.take();
            return since.map_or(Duration::ZERO, |since| now.saturating_sub(since));
        }
        self.unread_since.set(Some(now));
        Duration::ZERO
    }

    /// Its answer on the way.
    pub fn delivery(&self, now: Duration) -> Delivery {
        let unread = self.unread_since.get();
        Delivery {
            held: self.waiting.get(),
            stalled: now.saturating_sub(self.progress_at.get()),
            unread: unread.map(|since| now.saturating_sub(since)),
        }
    }

    /// Counts its progress from now on, since it couldn't make any.
    pub fn reset_progress(&self, now: Duration) {
        self.progress_at.set(now);
    }

    /// Whether it takes nothing of its answer any more: its own time is over and it made no progress for `idle`.
    pub fn is_stalled_past_deadline(&self, now: Duration, idle: Duration) -> bool {
        let delivery = self.delivery(now);
        delivery.held > 0 && delivery.stalled > idle && now > self.request.borrow().until
    }

    fn has_read(&self, bytes: usize) {
        if bytes > 0 && self.running.get() == 0 && self.head_since.get().is_none() {
            self.head_since.set(Some(self.clock.now()));
        }
    }

    fn has_written(&self) {
        self.progress_at.set(self.clock.now());
    }
}

/// A caller's socket that tells its [`Caller`] of progress.
#[derive(Debug)]
pub(crate) struct ProgressStream {
    pub stream: TcpStream,
    pub caller: Rc<Caller>,
}

impl AsyncRead for ProgressStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        self.caller.has_read(buffer.filled().len() - before);
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
        self.caller.has_written();
        Poll::Ready(Ok(written))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write_vectored(context, slices))?;
        self.caller.has_written();
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
