//! Contents that ran to their end lately.

use std::time::Duration;

use crate::Fingerprint;

/// A whole run speaks for its content this long.
const SPEAKS_FOR: Duration = Duration::from_secs(60);
/// Contents remembered; the newest of those that share a place stays. 24 bytes each.
const PLACES: usize = 1024;

/// A bounded memory of contents that ran to their end. What many callers ask for runs often enough to be found here, so an
/// endpoint that ends under it says nothing against it.
#[derive(Debug)]
pub(crate) struct WholeRuns {
    places: Vec<Option<(Fingerprint, Duration)>>,
}

impl Default for WholeRuns {
    fn default() -> Self {
        WholeRuns {
            places: vec![None; PLACES],
        }
    }
}

impl WholeRuns {
    /// Notes a whole run.
    pub fn note(&mut self, now: Duration, content: Fingerprint) {
        self.places[region_index_of(content)] = Some((content, now));
    }

    /// Whether a content ran whole lately.
    pub fn has(&self, now: Duration, content: Fingerprint) -> bool {
        let noted = self.places[region_index_of(content)];
        noted.is_some_and(|(noted, at)| noted == content && now < at + SPEAKS_FOR)
    }
}

fn region_index_of(content: Fingerprint) -> usize {
    (content.0 % PLACES as u64) as usize
}
