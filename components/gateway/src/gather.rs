//! Reading a body as a whole into memory that is reserved first.

use std::time::Duration;

use bytes::Bytes;
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use memory::Hold;

use crate::buffers::BufferedBody;
use crate::memory_manager::MemoryManager;

/// A body that is read grows by at least this part of itself, so that it is seldom moved.
const GROWTH_DIVISOR: usize = 8;

/// Why a body is not known as a whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum GatherError {
    /// It is larger than it may be.
    TooLarge,
    /// It broke off.
    Broken,
    /// There was no memory in time for so many bytes more.
    NoRoom(u64),
}

impl MemoryManager {
    /// Reads a body as a whole. Where there is no memory, waits for it as long as `patience` says for the bytes that
    /// are still needed; without an end if it says nothing. An answer reserves its length before anything of it is read:
    /// answers that are read in part can then not wait for each other.
    pub async fn gather(
        &self,
        mut body: Incoming,
        mut hold: Hold,
        most: usize,
        patience: Option<&dyn Fn(u64) -> Duration>,
    ) -> Result<BufferedBody, GatherError> {
        let expected = body.size_hint().exact().map(|length| length as usize);
        if expected.is_some_and(|length| length > most) {
            return Err(GatherError::TooLarge);
        }
        if patience.is_none() {
            self.reserve(&mut hold, expected.unwrap_or(0) as u64).await;
        }
        let mut bytes: Vec<u8> = Vec::new();
        let mut latest = None;
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| GatherError::Broken)?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let length = bytes.len() + data.len();
            if length > most {
                return Err(GatherError::TooLarge);
            }
            self.grow_for(&mut hold, length, expected);
            if let Some(lacks) = (length as u64).checked_sub(hold.bytes()).filter(|n| *n > 0) {
                let waits = self.reserve(&mut hold, lacks);
                match patience {
                    None => waits.await,
                    Some(patience) => {
                        let needed = expected.unwrap_or(length).max(length) - bytes.len();
                        let needed = needed as u64;
                        let until =
                            *latest.get_or_insert_with(|| self.clock.now() + patience(needed));
                        let waited = self.clock.timeout_at(until, waits);
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

    // Takes more than is needed at once, if there is plenty.
    fn grow_for(&self, hold: &mut Hold, length: usize, expected: Option<usize>) {
        let held = hold.bytes() as usize;
        if length <= held {
            return;
        }
        let roomy = held + held / GROWTH_DIVISOR;
        let wanted = length
            .max(roomy)
            .min(expected.unwrap_or(usize::MAX).max(length));
        hold.grow((wanted - held) as u64);
    }
}
