//! Bytes that are counted as held until they are written.

use std::any::Any;
use std::cell::RefCell;
use std::rc::Rc;

use bytes::{Buf, Bytes};
use memory::{Hold, Kind};

use crate::caller::Caller;

/// A part of an answer on its way to a caller. What it holds is given back once its last byte is written.
#[derive(Debug)]
pub(crate) struct HeldBytes {
    bytes: Bytes,
    _hold: Option<Hold>,
    waits_for: Option<(Rc<Caller>, u64)>,
    guard: Option<Rc<dyn Any>>,
}

impl HeldBytes {
    /// Bytes of the gateway's own, too few to be counted.
    pub fn uncounted(bytes: Bytes) -> Self {
        HeldBytes {
            bytes,
            _hold: None,
            waits_for: None,
            guard: None,
        }
    }

    /// Bytes that wait for a caller, held on its account.
    pub fn counted(bytes: Bytes, hold: Hold, caller: &Rc<Caller>) -> Self {
        let length = bytes.len() as u64;
        caller.add_unsent(length);
        HeldBytes {
            bytes,
            _hold: Some(hold),
            waits_for: Some((Rc::clone(caller), length)),
            guard: None,
        }
    }

    /// Keeps a value until the last byte is written.
    pub fn set_guard(&mut self, guard: Option<Rc<dyn Any>>) {
        self.guard = guard;
    }

    /// Bytes that are left.
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
        if let Some((caller, length)) = &self.waits_for {
            caller.remove_unsent(*length);
        }
    }
}

/// A body that was read as a whole, with what it holds.
#[derive(Debug)]
pub(crate) struct BufferedBody {
    pub bytes: Bytes,
    pub hold: Hold,
}

/// A caller's body, kept while its request may be sent once more.
#[derive(Debug)]
pub(crate) struct KeptBody {
    length: usize,
    kept: RefCell<Option<BufferedBody>>,
}

impl KeptBody {
    /// Keeps a whole body.
    pub fn new(mut body: BufferedBody) -> Self {
        body.hold.change(Kind::BodyKept);
        KeptBody {
            length: body.bytes.len(),
            kept: RefCell::new(Some(body)),
        }
    }

    /// Its length in bytes, also after it was let go.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether it has no bytes.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// The whole body; nothing after it was let go.
    pub fn bytes(&self) -> Bytes {
        let kept = self.kept.borrow();
        kept.as_ref()
            .map(|body| body.bytes.clone())
            .unwrap_or_default()
    }

    /// Whether the request can be sent once more, as far as its body goes.
    pub fn is_kept(&self) -> bool {
        self.kept.borrow().is_some()
    }

    /// The request is not sent again: gives the memory back.
    pub fn discard(&self) {
        self.kept.borrow_mut().take();
    }
}
