//! A short fault soak of the real program.

use std::path::PathBuf;

use soak::{run, Options, Plan, Programs};

/// Any seed must do; a fixed one has the same plan each time.
const SEED: u64 = 1;
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
    let report = run(&Plan::new(SEED, SECONDS, GATEWAYS), &options).expect("it runs");
    assert!(report.is_sound(), "{report}");
    for check in [
        "own answers",
        "once",
        "refused",
        "streams",
        "in force",
        "leaving",
        "leaving, as told",
        "pauses",
        "named limits",
        "held back",
        "part held back",
    ] {
        assert!(report.verdicts.judged.contains_key(check), "{report}");
    }
}
