//! News of members that rides on other packets until enough of them carried it.

use std::collections::BTreeMap;

use schema::messages::MemberNews;

/// Times a piece of news is sent, for each doubling of the cell.
const SENDS_PER_DOUBLING: u32 = 4;
/// News of members in one packet.
const MAX_PER_PACKET: usize = 6;

/// News that is being spread.
#[derive(Debug, Default)]
pub struct Rumors {
    news: BTreeMap<String, (u32, MemberNews)>,
}

impl Rumors {
    /// Spreads news through a cell of this size; newer news of a member replaces older.
    pub fn add(&mut self, news: MemberNews, cell_size: usize) {
        let sends = SENDS_PER_DOUBLING * (usize::BITS - cell_size.leading_zeros());
        self.news.insert(news.name.clone(), (sends, news));
    }

    /// The news for the next packet: that which was sent least.
    pub fn take(&mut self) -> Vec<MemberNews> {
        let mut waiting: Vec<(u32, String)> = self
            .news
            .iter()
            .map(|(name, (sends, _))| (*sends, name.clone()))
            .collect();
        waiting.sort_unstable_by(|a, b| b.cmp(a));
        waiting.truncate(MAX_PER_PACKET);
        let taken = waiting.iter().filter_map(|(_, name)| self.send(name));
        taken.collect()
    }

    fn send(&mut self, name: &str) -> Option<MemberNews> {
        let (sends, news) = self.news.get_mut(name)?;
        *sends -= 1;
        let (left, news) = (*sends, news.clone());
        if left == 0 {
            self.news.remove(name);
        }
        Some(news)
    }
}
