//! Checks the heads of answers as they are received: their line ends and their size.
//!
//! hyper takes a line feed alone for the end of a line. A line feed that was written over the first byte of a field then ends
//! the head there, and the other fields become the body. And it reads informational answers without a limit.

use std::cell::RefCell;
use std::fmt;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::connection::MAX_BUFFER_BYTES;
use crate::tcp::SharedStream;

/// Position of the first digit of the status in a status line.
const STATUS_POSITION: usize = "HTTP/1.1 ".len();

/// What is being received on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Position {
    /// The status line of a head.
    StatusLine,
    /// A field of a head, or its empty last line.
    Field,
    /// What follows the head.
    Body,
}

/// Why the head of an answer isn't read on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HeadFault {
    /// A line doesn't end with CR and LF.
    LineEnd,
    /// The head and the informational answers before it are too long.
    TooLong,
}

impl fmt::Display for HeadFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            HeadFault::LineEnd => write!(f, "a line of the head does not end with CR and LF"),
            HeadFault::TooLong => write!(
                f,
                "the head and the informational answers before it exceed {MAX_BUFFER_BYTES} bytes"
            ),
        }
    }
}

impl std::error::Error for HeadFault {}

/// Follows the lines of the heads of one answer, the informational ones before it included.
#[derive(Debug)]
pub(crate) struct HeadLines {
    position: Position,
    is_informational: bool,
    received_bytes: usize,
    line_length: usize,
    previous: u8,
}

impl Default for HeadLines {
    fn default() -> Self {
        HeadLines {
            position: Position::StatusLine,
            is_informational: false,
            received_bytes: 0,
            line_length: 0,
            previous: 0,
        }
    }
}

impl HeadLines {
    /// Follows received bytes up to the end of the head.
    pub fn follow(&mut self, bytes: &[u8]) -> Result<(), HeadFault> {
        for byte in bytes {
            if self.position == Position::Body {
                break;
            }
            self.received_bytes += 1;
            match *byte {
                b'\n' if self.previous == b'\r' => self.end_line(),
                b'\n' => return Err(HeadFault::LineEnd),
                byte => self.follow_line(byte),
            }
            self.previous = *byte;
        }
        match self.received_bytes > MAX_BUFFER_BYTES {
            true => Err(HeadFault::TooLong),
            false => Ok(()),
        }
    }

    fn follow_line(&mut self, byte: u8) {
        if self.position == Position::StatusLine && self.line_length == STATUS_POSITION {
            self.is_informational = byte == b'1';
        }
        self.line_length += 1;
    }

    fn end_line(&mut self) {
        let is_empty = self.line_length == 1;
        self.line_length = 0;
        self.position = match self.position {
            // hyper skips empty lines before a status line.
            Position::StatusLine if is_empty => Position::StatusLine,
            Position::StatusLine => Position::Field,
            Position::Field if !is_empty => Position::Field,
            Position::Field if self.is_informational => Position::StatusLine,
            Position::Field | Position::Body => Position::Body,
        };
    }
}

/// A stream whose reads fail at a fault in the head of an answer.
#[derive(Clone, Debug)]
pub(crate) struct CheckedStream {
    stream: SharedStream,
    lines: Rc<RefCell<HeadLines>>,
}

impl CheckedStream {
    /// Checks the answers on a stream.
    pub fn new(stream: SharedStream) -> Self {
        CheckedStream {
            stream,
            lines: Rc::default(),
        }
    }

    /// Expects the answer to another request.
    pub fn expect_answer(&self) {
        self.lines.replace(HeadLines::default());
    }
}

impl AsyncRead for CheckedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let followed = self.lines.borrow_mut().follow(&buffer.filled()[before..]);
        let invalid = |fault| io::Error::new(io::ErrorKind::InvalidData, fault);
        Poll::Ready(followed.map_err(invalid))
    }
}

impl AsyncWrite for CheckedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
