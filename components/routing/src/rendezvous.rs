//! Rendezvous hashing: every node ranks the same names in the same order without exchanging
//! messages.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the weight of `name` for `key`; the highest weight wins.
pub fn weight(key: u64, name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), key)
}

/// Returns the `count` names with the highest weights for `key`, best first.
pub fn rank<'a>(key: u64, names: impl Iterator<Item = &'a str>, count: usize) -> Vec<&'a str> {
    let mut weighted: Vec<(u64, &str)> = names.map(|name| (weight(key, name), name)).collect();
    weighted.sort_unstable_by(|a, b| b.cmp(a));
    weighted.truncate(count);
    weighted.into_iter().map(|(_, name)| name).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn removing_a_name_moves_only_its_own_keys() {
        let all = ["a", "b", "c", "d"];
        for key in 0..200 {
            let before = rank(key, all.into_iter(), 1)[0];
            let after = rank(key, all.into_iter().filter(|n| *n != "c"), 1)[0];
            assert!(before == "c" || before == after, "key {key}");
        }
    }
}
