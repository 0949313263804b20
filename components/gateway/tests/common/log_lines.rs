//! What a gateway logs.

use std::sync::{Arc, Mutex};

use slog::{o, Drain, Logger, Never, OwnedKVList, Record};

/// Messages of all lines so far, without their fields.
#[derive(Clone, Debug, Default)]
pub struct LogLines {
    messages: Arc<Mutex<Vec<String>>>,
}

impl LogLines {
    /// A logger that writes here.
    pub fn logger(&self) -> Logger {
        Logger::root(self.clone(), o!())
    }

    /// How many lines with this message there are.
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
