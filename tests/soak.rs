//! Short fault soaks of the real program.

use std::collections::BTreeSet;
use std::path::PathBuf;

use soak::{run, Options, Plan, Programs};

/// Any seed must do; fixed ones have the same plans each time. What a run has to judge follows from its plan and from what
/// its clients happen to meet, so one run alone may have no case of a check.
const SEEDS: [u64; 2] = [1, 7];
/// One bout of faults, a calm with a change, and the recovery of all.
const SECONDS: u64 = 36;
const GATEWAYS: usize = 3;

#[test]
fn gateways_keep_their_promises_through_a_bout_of_faults_and_come_back() {
    let options = Options {
        programs: Programs {
            current: PathBuf::from(env!("CARGO_BIN_EXE_croftpond")),
            older: None,
        },
        out: PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("soak"),
        progress: false,
    };
    let mut judged = BTreeSet::new();
    for seed in SEEDS {
        let report = run(&Plan::new(seed, SECONDS, GATEWAYS), &options).expect("it runs");
        assert!(report.is_sound(), "{report}");
        judged.extend(report.verdicts.judged.into_keys());
    }
    for check in [
        "own answers",
        "once",
        "refused",
        "streams",
        "in force",
        "leaving",
        "leaving, as told",
        "abandoned",
        "pauses",
        "named limits",
        "held back",
        "part held back",
    ] {
        assert!(judged.contains(check), "{check} of {judged:?}");
    }
}
