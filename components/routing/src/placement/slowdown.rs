//! How long work takes at an endpoint now, in parts of what is usual there, since its machine is shared with others.
//!
//! What an answer says of it describes the moment of its head, and the next request comes later. So word of it is believed
//! less the older it is, by what earlier word of the same service's endpoints was worth after such a time.

use std::time::Duration;

/// Figures that are believed, in parts of 100: work that takes a tenth of its usual time, or fifty times as long, is a
/// fault of the figure.
const PERCENTS: std::ops::RangeInclusive<u32> = 10..=5_000;
/// Word that differs from what was expected by less than this part changes no choice.
const NOTABLE_PART: f64 = 0.25;
/// Ages up to which pairs of word are counted together: the first range, each further one twice as long.
const FIRST_AGE: Duration = Duration::from_millis(25);
/// Ranges of ages; with the last one, word of three seconds and more is worth nothing.
const AGES: usize = 8;
/// Half-life of word while nothing is known of it.
const FIRST_HALF_LIFE: Duration = Duration::from_millis(200);
/// Pairs that the first half-life weighs in each range, in squares of a notable difference.
const FIRST_WEIGHT: f64 = 4.0;
/// Weight of new word in the usual figure of a service.
const USUAL_WEIGHT: f64 = 0.01;
/// Words for which the service's mean counts beside those of an endpoint, and the most of these that count.
const PRIOR_WORDS: u32 = 2;
const MOST_WORDS: u32 = 100;
/// Pairs count for half after so many more.
const PAIRS_KEPT: f64 = 5_000.0;

/// Time that work takes, in parts of the usual.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Slowdown(f64);

impl Slowdown {
    /// Work takes as long as usual.
    pub const NONE: Slowdown = Slowdown(1.0);

    /// A figure in parts of 100, unless it cannot be one.
    pub fn from_percent(percent: u32) -> Option<Self> {
        let is_believed = PERCENTS.contains(&percent);
        is_believed.then(|| Slowdown(f64::from(percent) / 100.0))
    }

    /// In parts of 100.
    pub fn percent(self) -> u32 {
        (self.0 * 100.0).round() as u32
    }

    /// Parts of the usual time.
    pub fn factor(self) -> f64 {
        self.0
    }

    /// Whether a choice that was made by `expected` could have been another one with this.
    pub fn differs_from(self, expected: Slowdown) -> bool {
        (self.0 / expected.0 - 1.0).abs() > NOTABLE_PART
    }
}

// What an endpoint told at one moment.
#[derive(Clone, Copy, Debug)]
struct Word {
    slowdown: f64,
    at: Duration,
}

/// What an endpoint told so far.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Told {
    last: Word,
    // By which it shows what word is worth after longer than between two answers.
    earlier: Word,
    // Mean of what it told: one that works slowly is slow for good.
    usual: f64,
    words: u32,
}

impl Told {
    /// When it told something last.
    pub fn at(&self) -> Duration {
        self.last.at
    }
}

/// What the endpoints of one service told, and what that is worth after a time.
#[derive(Clone, Debug)]
pub(crate) struct Memory {
    // Mean over what all of them told.
    usual: f64,
    ranges: [Range; AGES],
}

// Pairs of word of one endpoint so long apart, as differences from its mean.
#[derive(Clone, Copy, Debug)]
struct Range {
    squares: f64,
    products: f64,
}

impl Default for Memory {
    fn default() -> Self {
        let ranges = std::array::from_fn(|i| {
            let age = FIRST_AGE.as_secs_f64() * f64::from(1 << i) * 0.75;
            let kept = (-age / FIRST_HALF_LIFE.as_secs_f64()).exp2();
            let squares = FIRST_WEIGHT * NOTABLE_PART * NOTABLE_PART;
            Range {
                squares,
                products: squares * kept,
            }
        });
        Memory { usual: 1.0, ranges }
    }
}

impl Memory {
    /// Takes what an endpoint tells, after what it told before.
    pub fn hear(&mut self, told: Option<Told>, at: Duration, slowdown: Slowdown) -> Told {
        let word = Word {
            slowdown: slowdown.0,
            at,
        };
        let mut told = told.unwrap_or(Told {
            last: word,
            earlier: word,
            usual: self.usual,
            words: PRIOR_WORDS,
        });
        self.note_pair(told.usual, told.last, word);
        match range_of(age(told.earlier, at)) {
            Some(_) => self.note_pair(told.usual, told.earlier, word),
            None => told.earlier = word,
        }
        told.last = word;
        told.words = (told.words + 1).min(MOST_WORDS);
        told.usual += (word.slowdown - told.usual) / f64::from(told.words);
        self.usual += (word.slowdown - self.usual) * USUAL_WEIGHT;
        told
    }

    /// How long work is taken to need now at an endpoint that told this.
    pub fn expected(&self, now: Duration, told: Option<Told>) -> Slowdown {
        let Some(told) = told else {
            return Slowdown(self.usual);
        };
        let worth = range_of(age(told.last, now)).map_or(0.0, |range| self.worth(range));
        Slowdown(told.usual + (told.last.slowdown - told.usual) * worth)
    }

    /// The same in parts of the mean of the service's endpoints, which is what is learnt of them otherwise: whoever plans
    /// with that counts on slow moments too.
    pub fn against_usual(&self, now: Duration, told: Option<Told>) -> f64 {
        self.expected(now, told).0 / self.usual
    }

    /// How long work takes on the whole at an endpoint that told this, in the same parts.
    pub fn on_the_whole(&self, told: Option<Told>) -> f64 {
        told.map_or(1.0, |told| told.usual / self.usual)
    }

    fn note_pair(&mut self, usual: f64, earlier: Word, later: Word) {
        let Some(range) = range_of(age(earlier, later.at)).filter(|_| earlier.at < later.at) else {
            return;
        };
        let first = earlier.slowdown / usual - 1.0;
        let second = later.slowdown / usual - 1.0;
        let range = &mut self.ranges[range];
        range.squares += first * first - range.squares / PAIRS_KEPT;
        range.products += first * second - range.products / PAIRS_KEPT;
    }

    // Part of a difference that is left after so long.
    fn worth(&self, range: usize) -> f64 {
        let Range { squares, products } = self.ranges[range];
        match squares > 0.0 {
            true => (products / squares).clamp(0.0, 1.0),
            false => 0.0,
        }
    }
}

fn age(word: Word, now: Duration) -> Duration {
    now.saturating_sub(word.at)
}

// `None` beyond the last one.
fn range_of(age: Duration) -> Option<usize> {
    let mut end = FIRST_AGE;
    for range in 0..AGES {
        if age < end {
            return Some(range);
        }
        end *= 2;
    }
    None
}
