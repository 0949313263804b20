//! Checks the line ends in the heads of answers as they are received.
//!
//! hyper takes a line feed alone for the end of a line. A line feed that was written over the first byte of a field then ends
//! the head there, and the other fields become the body.

use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

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

/// Follows the lines of the heads of one answer, the informational ones before it included.
#[derive(Debug)]
pub(crate) struct HeadLines {
    position: Position,
    is_informational: bool,
    line_length: usize,
    previous: u8,
}

impl Default for HeadLines {
    fn default() -> Self {
        HeadLines {
            position: Position::StatusLine,
            is_informational: false,
            line_length: 0,
            previous: 0,
        }
    }
}

impl HeadLines {
    /// Follows received bytes. Returns whether all lines of the head end with CR and LF.
    pub fn follow(&mut self, bytes: &[u8]) -> bool {
        for byte in bytes {
            if self.position == Position::Body {
                return true;
            }
            if *byte != b'\n' {
                self.follow_line(*byte);
            } else if self.previous == b'\r' {
                self.end_line();
            } else {
                return false;
            }
            self.previous = *byte;
        }
        true
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

/// A stream whose reads fail at a line of a head that doesn't end with CR and LF.
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
        let is_valid = self.lines.borrow_mut().follow(&buffer.filled()[before..]);
        Poll::Ready(match is_valid {
            true => Ok(()),
            false => Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "a line of the head does not end with CR and LF",
            )),
        })
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
