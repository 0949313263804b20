//! Collects the log lines of a gateway.

use std::sync::{Arc, Mutex};

use slog::{o, Drain, Logger, Never, OwnedKVList, Record};

/// Messages of all log lines so far, without their key-value pairs.
#[derive(Clone, Debug, Default)]
pub struct LogLines {
    messages: Arc<Mutex<Vec<String>>>,
}

impl LogLines {
    /// A logger that appends to these lines.
    pub fn logger(&self) -> Logger {
        Logger::root(self.clone(), o!())
    }

    /// Number of lines with exactly this message.
    pub fn count(&self, message: &str) -> usize {
        let messages = self.messages.lock().unwrap();
        messages.iter().filter(|logged| *logged == message).count()
    }
}

impl Drain for LogLines {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record, _: &OwnedKVList) -> Result<(), Never> {
        let message = record.msg().to_string();
        self.messages.lock().unwrap().push(message);
        Ok(())
    }
}
