//! The list of tests that are known to fail: CI passes over exactly these, says when one passes, and takes no line that
//! names nothing.

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

/// Plays cargo: two tests, of which `red` fails.
const CARGO: &str = r#"#!/usr/bin/env bash
case "$*" in
*--list*) printf 'red: test\ngreen: test\nred_too: test\n' ;;
*green) exit 0 ;;
*) exit 101 ;;
esac
"#;

struct Project {
    folder: PathBuf,
}

impl Project {
    fn with_list(name: &str, list: &str) -> Self {
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(folder.join(".ci")).unwrap();
        let script = Path::new(env!("CARGO_MANIFEST_DIR")).join(".ci/known-red");
        fs::copy(script, folder.join(".ci/known-red")).unwrap();
        fs::write(folder.join("cargo"), CARGO).unwrap();
        fs::set_permissions(folder.join("cargo"), PermissionsExt::from_mode(0o755)).unwrap();
        fs::write(folder.join("KNOWN-RED.txt"), list).unwrap();
        Project { folder }
    }

    fn run(&self, verb: &str) -> Output {
        let path = std::env::var("PATH").unwrap();
        Command::new("bash")
            .arg(self.folder.join(".ci/known-red"))
            .arg(verb)
            .env("PATH", format!("{}:{path}", self.folder.display()))
            .output()
            .unwrap()
    }

    fn says(&self, verb: &str) -> String {
        String::from_utf8(self.run(verb).stdout).unwrap()
    }

    fn passes_check(&self) -> bool {
        self.run("check").status.success()
    }
}

#[test]
fn exactly_the_listed_tests_are_passed_over() {
    let project = Project::with_list("listed", "# a remark\n\nred | a fault | 7\n");
    assert!(project.passes_check());
    assert_eq!(project.says("skip"), "--skip\nred\n");
}

#[test]
fn without_a_list_nothing_is_passed_over() {
    let project = Project::with_list("empty", "");
    assert!(project.passes_check());
    assert_eq!(
        (project.says("skip"), project.says("tell")),
        Default::default()
    );
}

#[test]
fn listed_tests_are_told_with_their_cause_and_one_that_passes_is_named() {
    let project = Project::with_list("told", "red | a fault | 7\ngreen | mended | 8\n");
    let told = project.says("tell");
    assert!(told.contains("red fails: a fault (issue 7)"), "{told}");
    assert!(told.contains("green PASSES; take its line off"), "{told}");
}

#[test]
fn a_line_that_names_no_test_or_no_cause_fails() {
    for (name, list) in [("nameless", "gone | a fault | 7\n"), ("bare", "red\n")] {
        assert!(!Project::with_list(name, list).passes_check(), "{list}");
    }
}

#[test]
fn more_than_three_lines_fail() {
    let line = "red | a fault | 7\n";
    assert!(Project::with_list("three", &line.repeat(3)).passes_check());
    assert!(!Project::with_list("four", &line.repeat(4)).passes_check());
}
