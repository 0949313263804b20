//! A way between two ends on loopback that can be made bad.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use socket2::SockRef;

use crate::plan::Way;

/// Pause between looks at whether a held way is sound again.
const LOOK: Duration = Duration::from_millis(20);
/// Largest piece passed at once, in bytes.
const PIECE: usize = 16 << 10;

/// Both ends of a connection that is passed on.
struct Passing {
    near: TcpStream,
    far: TcpStream,
    is_reset: AtomicBool,
}

impl Passing {
    // Resets the near end once both directions have stopped.
    fn reset(&self) {
        self.is_reset.store(true, Ordering::SeqCst);
        let _ = SockRef::from(&self.near).set_linger(Some(Duration::ZERO));
        let _ = self.near.shutdown(Shutdown::Read);
        let _ = self.far.shutdown(Shutdown::Both);
    }
}

struct Inner {
    target: SocketAddr,
    way: Mutex<Way>,
    open: Mutex<BTreeMap<u64, Arc<Passing>>>,
    opened: AtomicU64,
    is_closed: AtomicBool,
}

/// A listener that passes connections on.
#[derive(Clone)]
pub(crate) struct Link {
    /// Where it listens.
    pub address: SocketAddr,
    inner: Arc<Inner>,
}

impl Link {
    /// A sound way to a target.
    pub fn to(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let inner = Arc::new(Inner {
            target,
            way: Mutex::new(Way::Sound),
            open: Mutex::default(),
            opened: AtomicU64::new(0),
            is_closed: AtomicBool::new(false),
        });
        let accepting = Arc::clone(&inner);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.is_closed.load(Ordering::SeqCst) {
                    return;
                }
                let inner = Arc::clone(&accepting);
                thread::spawn(move || inner.pass(stream));
            }
        });
        Ok(Link { address, inner })
    }

    /// Makes the way so from now on.
    pub fn set(&self, way: Way) {
        *lock(&self.inner.way) = way;
        if way == Way::Cut {
            for passing in lock(&self.inner.open).values() {
                passing.reset();
            }
        }
    }

    /// Refuses new connections from now on, as the address of a process that has ended does. Open ones stay.
    pub fn close(&self) {
        self.inner.is_closed.store(true, Ordering::SeqCst);
        // The listener closes when it has accepted one more connection.
        while TcpStream::connect(self.address).is_ok() {}
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Inner {
    fn way(&self) -> Way {
        *lock(&self.way)
    }

    fn pass(self: Arc<Self>, near: TcpStream) {
        if self.way() == Way::Cut {
            return;
        }
        let Ok(far) = TcpStream::connect(self.target) else {
            return;
        };
        let number = self.opened.fetch_add(1, Ordering::Relaxed);
        let passing = Arc::new(Passing {
            near,
            far,
            is_reset: AtomicBool::new(false),
        });
        lock(&self.open).insert(number, Arc::clone(&passing));
        let (back, passing_back) = (Arc::clone(&self), Arc::clone(&passing));
        let answers = thread::spawn(move || back.pump(&passing_back, true));
        self.pump(&passing, false);
        let _ = answers.join();
        lock(&self.open).remove(&number);
    }

    fn pump(&self, passing: &Passing, answers: bool) {
        let (mut from, mut to) = match answers {
            true => (&passing.far, &passing.near),
            false => (&passing.near, &passing.far),
        };
        let _ = to.set_nodelay(true);
        let mut piece = vec![0; PIECE];
        while let Ok(length) = from.read(&mut piece) {
            self.hold(length, answers);
            if length == 0 || to.write_all(&piece[..length]).is_err() {
                break;
            }
        }
        if !passing.is_reset.load(Ordering::SeqCst) {
            let _ = to.shutdown(Shutdown::Write);
            let _ = from.shutdown(Shutdown::Read);
        }
    }

    // Bytes on a silent way wait, as they do in a sender's buffer.
    fn hold(&self, length: usize, answers: bool) {
        loop {
            match self.way() {
                Way::Silent => thread::sleep(LOOK),
                Way::Answerless if answers => thread::sleep(LOOK),
                Way::Delayed(ms) => return thread::sleep(Duration::from_millis(ms)),
                Way::Thin(rate) => {
                    let seconds = length as f64 / rate as f64;
                    return thread::sleep(Duration::from_secs_f64(seconds));
                }
                Way::Sound | Way::Cut | Way::Answerless => return,
            }
        }
    }
}
