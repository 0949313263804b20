//! TCP streams to endpoints: how they are opened, and what the kernel reports of them.

use std::cell::RefCell;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Where a connect to an address really goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// To this address.
    Address(SocketAddr),
    /// Nowhere: the connect gets no answer, as over a path that drops all packets.
    Unanswered,
}

type Redirect = Arc<dyn Fn(SocketAddr) -> Target + Send + Sync>;

/// Opens TCP connections. Tests replace the targets to simulate lost paths.
#[derive(Clone, Default)]
pub struct Dialer {
    redirect: Option<Redirect>,
}

impl fmt::Debug for Dialer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Dialer")
            .field("is_redirected", &self.redirect.is_some())
            .finish()
    }
}

impl Dialer {
    /// A dialer that connects to `redirect(address)` instead of `address`.
    pub fn redirected(redirect: impl Fn(SocketAddr) -> Target + Send + Sync + 'static) -> Self {
        Dialer {
            redirect: Some(Arc::new(redirect)),
        }
    }

    /// Connects to an address. Fails with [`io::ErrorKind::TimedOut`] after `timeout`.
    pub async fn dial(&self, address: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
        let redirect = self.redirect.as_ref();
        let target = redirect.map_or(Target::Address(address), |redirect| redirect(address));
        let connecting = async {
            match target {
                Target::Address(address) => TcpStream::connect(address).await,
                Target::Unanswered => std::future::pending().await,
            }
        };
        let connected = tokio::time::timeout(timeout, connecting).await;
        connected.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
    }
}

/// What the kernel reports of a TCP connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TcpStatus {
    /// Time since the last acknowledgement arrived.
    pub acknowledged_ago: Duration,
    /// Whether segments that were sent are not acknowledged yet.
    pub has_unacknowledged: bool,
}

/// A stream that can be inspected while another task reads and writes it.
#[derive(Clone, Debug)]
pub struct SharedStream(Rc<RefCell<TcpStream>>);

/// A [`SharedStream`] that is not kept open.
#[derive(Clone, Debug, Default)]
pub struct WeakStream(Weak<RefCell<TcpStream>>);

impl WeakStream {
    /// Whether the stream is closed, by this end or by the other one.
    pub fn is_closed(&self) -> bool {
        let stream = self.0.upgrade().map(SharedStream);
        stream.is_none_or(|stream| stream.is_closed_by_peer())
    }
}

impl SharedStream {
    /// Shares a stream among the tasks of a thread.
    pub fn new(stream: TcpStream) -> Self {
        SharedStream(Rc::new(RefCell::new(stream)))
    }

    /// A reference that does not keep the stream open.
    pub fn downgrade(&self) -> WeakStream {
        WeakStream(Rc::downgrade(&self.0))
    }

    /// Whether the other end has closed the connection, or its sending side, also behind bytes that are not read yet. Always
    /// false where the platform does not report it.
    pub fn is_closed_by_peer(&self) -> bool {
        kernel::is_closed_by_peer(&self.0.borrow())
    }

    /// Polls for bytes to read, or the end of them. The task that reads the stream has to be the one that polls.
    pub fn poll_read_ready(&self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.0.borrow().poll_read_ready(context)
    }

    /// What the kernel reports of it, where the platform supports that.
    pub fn status(&self) -> Option<TcpStatus> {
        kernel::status(&self.0.borrow())
    }
}

impl AsyncRead for SharedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.0.borrow_mut()).poll_read(context, buffer)
    }
}

impl AsyncWrite for SharedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut *self.0.borrow_mut()).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut *self.0.borrow_mut()).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.0.borrow().is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.0.borrow_mut()).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.0.borrow_mut()).poll_shutdown(context)
    }
}

#[cfg(target_os = "linux")]
mod kernel {
    use std::time::Duration;

    use nix::sys::socket::getsockopt;
    use nix::{getsockopt_impl, sockopt_impl};
    use tokio::net::TcpStream;

    use super::TcpStatus;

    // The beginning of `struct tcp_info`, which is the same in all kernels: eight bytes, then the members from
    // `tcpi_rto` to `tcpi_last_ack_recv`.
    type TcpInfoPrefix = [u32; 15];
    // Position of `tcpi_unacked`, in segments.
    const UNACKED: usize = 6;
    // Position of `tcpi_last_ack_recv`, in milliseconds.
    const LAST_ACK_RECV: usize = 14;

    sockopt_impl!(
        TcpInfo,
        GetOnly,
        libc::IPPROTO_TCP,
        libc::TCP_INFO,
        TcpInfoPrefix
    );

    // States of `tcpi_state` in which the other end has sent everything: TIME_WAIT, CLOSE, CLOSE_WAIT, LAST_ACK, CLOSING.
    const CLOSED_BY_PEER: [u8; 5] = [6, 7, 8, 9, 11];

    pub fn is_closed_by_peer(stream: &TcpStream) -> bool {
        let info = getsockopt(stream, TcpInfo);
        info.is_ok_and(|info| CLOSED_BY_PEER.contains(&info[0].to_ne_bytes()[0]))
    }

    pub fn status(stream: &TcpStream) -> Option<TcpStatus> {
        let info = getsockopt(stream, TcpInfo).ok()?;
        Some(TcpStatus {
            acknowledged_ago: Duration::from_millis(info[LAST_ACK_RECV].into()),
            has_unacknowledged: info[UNACKED] > 0,
        })
    }
}

#[cfg(not(target_os = "linux"))]
mod kernel {
    use tokio::net::TcpStream;

    use super::TcpStatus;

    pub fn status(_: &TcpStream) -> Option<TcpStatus> {
        None
    }

    pub fn is_closed_by_peer(_: &TcpStream) -> bool {
        false
    }
}
