//! Reads a complete body into memory that is reserved first.

use std::time::Duration;

use bytes::Bytes;
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use memory::Reservation;

use crate::buffers::BufferedBody;
use crate::memory_manager::MemoryManager;

/// The buffer grows by at least its size divided by this, so that its contents are seldom moved.
const GROWTH_DIVISOR: usize = 8;

/// Reason why a body was not read completely.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum GatherError {
    /// It exceeds the maximum size.
    TooLarge,
    /// The connection was lost, or the length was wrong.
    Broken,
    /// The memory for this many more bytes was not available in time.
    NoRoom(u64),
}

impl MemoryManager {
    /// Reads a complete body of at most `max_bytes`. If memory is short, waits for it for the time that
    /// `wait_time` returns for the number of missing bytes, or without a limit if it is `None`. In that case,
    /// which is that of answers, the full length is reserved before the first read: otherwise partly read
    /// answers could wait for each other's memory forever.
    pub async fn gather(
        &self,
        mut body: Incoming,
        mut hold: Reservation,
        max_bytes: usize,
        wait_time: Option<&dyn Fn(u64) -> Duration>,
    ) -> Result<BufferedBody, GatherError> {
        let expected = body.size_hint().exact().map(|length| length as usize);
        if expected.is_some_and(|length| length > max_bytes) {
            return Err(GatherError::TooLarge);
        }
        if wait_time.is_none() {
            self.reserve(&mut hold, expected.unwrap_or(0) as u64).await;
        }
        let mut bytes: Vec<u8> = Vec::new();
        let mut deadline = None;
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| GatherError::Broken)?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let length = bytes.len() + data.len();
            if length > max_bytes {
                return Err(GatherError::TooLarge);
            }
            self.grow_for(&mut hold, length, expected);
            if let Some(missing) = (length as u64).checked_sub(hold.bytes()).filter(|n| *n > 0) {
                let reservation = self.reserve(&mut hold, missing);
                match wait_time {
                    None => reservation.await,
                    Some(wait_time) => {
                        let needed = expected.unwrap_or(length).max(length) - bytes.len();
                        let needed = needed as u64;
                        let until =
                            *deadline.get_or_insert_with(|| self.clock.now() + wait_time(needed));
                        let waited = self.clock.timeout_at(until, reservation);
                        waited.await.map_err(|_| GatherError::NoRoom(needed))?;
                    }
                }
            }
            if bytes.capacity() < length {
                bytes.reserve_exact(hold.bytes() as usize - bytes.len());
            }
            bytes.extend_from_slice(&data);
        }
        if expected.is_some_and(|expected| expected != bytes.len()) {
            return Err(GatherError::Broken);
        }
        Ok(BufferedBody {
            bytes: Bytes::from(bytes),
            reservation: hold,
        })
    }

    // Reserves more than needed if memory is plentiful.
    fn grow_for(&self, hold: &mut Reservation, length: usize, expected: Option<usize>) {
        let held = hold.bytes() as usize;
        if length <= held {
            return;
        }
        let grown = held + held / GROWTH_DIVISOR;
        let wanted = length
            .max(grown)
            .min(expected.unwrap_or(usize::MAX).max(length));
        hold.grow((wanted - held) as u64);
    }
}
