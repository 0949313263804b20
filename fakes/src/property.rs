//! Seeded property checks: the verdict is the same every time.

use quickcheck::{Gen, QuickCheck};

/// Seed of the cases.
pub const SEED: u64 = 20261202;
const SIZE: usize = 100;

/// Checks a property over so many seeded cases.
pub fn check(cases: u64, property: fn(u64) -> bool) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(SIZE, SEED))
        .tests(cases)
        .max_tests(cases * 10)
        .quickcheck(property);
}
