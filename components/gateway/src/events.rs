//! Splits an event stream into complete events, without I/O.

use std::fmt;

use bytes::{Bytes, BytesMut};

/// Maximum number of buffered bytes, and so of the bytes of an event.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// One complete event, including the blank line that ends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Value of its `id` field, if that is a number.
    pub id: Option<u64>,
    /// Bytes as received.
    pub bytes: Bytes,
}

/// Error of an event that exceeds the maximum size.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SplitError;

impl fmt::Display for SplitError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "an event exceeds {MAX_EVENT_BYTES} bytes")
    }
}

impl std::error::Error for SplitError {}

/// Splits a byte stream into events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    // Number of bytes already searched for the end of an event.
    searched: usize,
}

impl EventSplitter {
    /// Appends received bytes. Fails if the buffer exceeds the maximum size of an event.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), SplitError> {
        self.buffer.extend_from_slice(bytes);
        match self.buffer.len() > MAX_EVENT_BYTES {
            true => Err(SplitError),
            false => Ok(()),
        }
    }

    /// Removes and returns the next complete event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.find_end()?;
        let bytes = self.buffer.split_to(end).freeze();
        self.searched = 0;
        Some(Event {
            id: parse_id(&bytes),
            bytes,
        })
    }

    /// Whether bytes of an incomplete event are buffered.
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    fn find_end(&mut self) -> Option<usize> {
        let from = self.searched.saturating_sub(3);
        for at in from..self.buffer.len() {
            let rest = &self.buffer[at..];
            if rest.starts_with(b"\n\n") {
                return Some(at + 2);
            }
            if rest.starts_with(b"\n\r\n") {
                return Some(at + 3);
            }
        }
        self.searched = self.buffer.len();
        None
    }
}

fn parse_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
