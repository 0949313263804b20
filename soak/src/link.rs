//! A way between two ends on loopback that can be made bad.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use crate::plan::Way;

/// Pause between looks at whether a held way is sound again.
const LOOK: Duration = Duration::from_millis(20);
/// Largest piece passed at once, in bytes.
const PIECE: usize = 16 << 10;

struct Inner {
    target: SocketAddr,
    way: Mutex<Way>,
    open: Mutex<BTreeMap<u64, [TcpStream; 2]>>,
    opened: AtomicU64,
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
        });
        let accepting = Arc::clone(&inner);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
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
            for stream in lock(&self.inner.open).values().flatten() {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
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
        let ends = (near.try_clone(), far.try_clone());
        let (Ok(near_again), Ok(far_again)) = ends else {
            return;
        };
        let number = self.opened.fetch_add(1, Ordering::Relaxed);
        if let (Ok(near), Ok(far)) = (near.try_clone(), far.try_clone()) {
            lock(&self.open).insert(number, [near, far]);
        }
        let back = Arc::clone(&self);
        let answers = thread::spawn(move || back.pump(far_again, near_again, true));
        self.pump(near, far, false);
        let _ = answers.join();
        lock(&self.open).remove(&number);
    }

    fn pump(&self, mut from: TcpStream, mut to: TcpStream, answers: bool) {
        let _ = to.set_nodelay(true);
        let mut piece = vec![0; PIECE];
        while let Ok(length) = from.read(&mut piece) {
            self.hold(length, answers);
            if length == 0 || to.write_all(&piece[..length]).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Write);
        let _ = from.shutdown(Shutdown::Read);
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
