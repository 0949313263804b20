//! Whole events of an event stream. Pure.

use std::fmt;

use bytes::{Bytes, BytesMut};

/// Longest event that is waited for, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// One whole event, with the blank line that ends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Its number, if it has one.
    pub id: Option<u64>,
    /// Its bytes as they came.
    pub bytes: Bytes,
}

/// An event that is longer than any event may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SplitError;

impl fmt::Display for SplitError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "an event exceeds {MAX_EVENT_BYTES} bytes")
    }
}

impl std::error::Error for SplitError {}

/// Splits a stream of bytes into events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    // Bytes already searched for an end.
    searched: usize,
}

impl EventSplitter {
    /// Takes bytes as they came.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), SplitError> {
        self.buffer.extend_from_slice(bytes);
        match self.buffer.len() > MAX_EVENT_BYTES {
            true => Err(SplitError),
            false => Ok(()),
        }
    }

    /// The next whole event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.find_end()?;
        let bytes = self.buffer.split_to(end).freeze();
        self.searched = 0;
        Some(Event {
            id: id_of(&bytes),
            bytes,
        })
    }

    /// Whether a part of an event is left over.
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

fn id_of(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
