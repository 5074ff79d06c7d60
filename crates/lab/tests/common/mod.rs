//! The lab as a process.
#![allow(dead_code)] // each test file uses a part of it

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

pub fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

pub fn lab(args: &[&str]) -> Output {
    let output = Command::new(env!("CARGO_BIN_EXE_ravenspar-lab")).args(args).current_dir(root()).output();
    output.expect("the lab starts")
}

/// Plays a day and returns its exit code and what it said.
pub fn day(name: &str) -> (Option<i32>, String) {
    let output = lab(&["day", &format!("examples/days/{name}.yaml")]);
    let said =
        String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr);
    println!("{said}");
    (output.status.code(), said)
}

pub fn keeps_the_rules(name: &str) {
    let (code, said) = day(name);
    assert!(said.contains("all rules kept"), "{said}");
    assert_eq!(code, Some(0));
}

pub fn breaks(name: &str, rule: &str) {
    let (code, said) = day(name);
    assert!(said.contains(&format!("{rule}: BROKEN")), "{said}");
    assert_eq!(code, Some(1));
}
