//! Buffers of bodies and answers that are accounted for until they are written or dropped.

use std::any::Any;
use std::cell::RefCell;
use std::rc::Rc;

use bytes::{Buf, Bytes};
use memory::{Kind, Reservation};

use crate::caller::Caller;

/// Bytes of an answer that are queued for a caller. Their memory is released after the last byte is written.
#[derive(Debug)]
pub(crate) struct HeldBytes {
    bytes: Bytes,
    _reservation: Option<Reservation>,
    queued_for: Option<(Rc<Caller>, u64)>,
    guard: Option<Rc<dyn Any>>,
}

impl HeldBytes {
    /// Wraps bytes of the gateway itself, which are too few to be accounted for.
    pub fn uncounted(bytes: Bytes) -> Self {
        HeldBytes {
            bytes,
            _reservation: None,
            queued_for: None,
            guard: None,
        }
    }

    /// Wraps bytes that are queued for a caller and held on its account.
    pub fn counted(bytes: Bytes, reservation: Reservation, caller: &Rc<Caller>) -> Self {
        let length = bytes.len() as u64;
        caller.add_unsent(length);
        HeldBytes {
            bytes,
            _reservation: Some(reservation),
            queued_for: Some((Rc::clone(caller), length)),
            guard: None,
        }
    }

    /// Sets the value that is dropped after the last byte is written.
    pub fn set_guard(&mut self, guard: Option<Rc<dyn Any>>) {
        self.guard = guard;
    }

    /// Remaining length in bytes.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }
}

impl Buf for HeldBytes {
    fn remaining(&self) -> usize {
        self.bytes.remaining()
    }

    fn chunk(&self) -> &[u8] {
        self.bytes.chunk()
    }

    fn advance(&mut self, written: usize) {
        self.bytes.advance(written);
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        if let Some((caller, length)) = &self.queued_for {
            caller.remove_unsent(*length);
        }
    }
}

/// A complete body and the reservation of its memory.
#[derive(Debug)]
pub(crate) struct BufferedBody {
    pub bytes: Bytes,
    pub reservation: Reservation,
}

/// A caller's body, kept while its request may be sent again.
#[derive(Debug)]
pub(crate) struct KeptBody {
    length: usize,
    kept: RefCell<Option<BufferedBody>>,
}

impl KeptBody {
    /// Keeps a complete body.
    pub fn new(mut body: BufferedBody) -> Self {
        body.reservation.change_kind(Kind::BodyKept);
        KeptBody {
            length: body.bytes.len(),
            kept: RefCell::new(Some(body)),
        }
    }

    /// Length in bytes, also after the body was discarded.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether the length is zero.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// The body; empty after it was discarded.
    pub fn bytes(&self) -> Bytes {
        let kept = self.kept.borrow();
        kept.as_ref()
            .map(|body| body.bytes.clone())
            .unwrap_or_default()
    }

    /// Whether the body is still there, so that the request can be sent again.
    pub fn is_kept(&self) -> bool {
        self.kept.borrow().is_some()
    }

    /// Releases the body's memory; the request can't be sent again.
    pub fn discard(&self) {
        self.kept.borrow_mut().take();
    }
}
