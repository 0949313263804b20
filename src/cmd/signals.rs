//! Waiting for the signals that ask for a planned stop.

use error_stack::{Report, ResultExt};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use super::CommandError;

/// Signals that are kept from the moment this is made.
pub struct StopSignals(Signals);

impl StopSignals {
    /// Starts to listen.
    pub fn new() -> Result<Self, Report<CommandError>> {
        Signals::new([SIGTERM, SIGINT])
            .map(StopSignals)
            .change_context(CommandError("signals could not be listened to"))
    }

    /// Whether one came.
    pub fn pending(&mut self) -> bool {
        self.0.pending().next().is_some()
    }

    /// Blocks until one comes.
    pub fn wait(&mut self) {
        self.0.forever().next();
    }
}
