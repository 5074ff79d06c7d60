//! Runs the lab as a process.
#![allow(dead_code)] // each test file uses a part of it

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

/// The root of the workspace.
pub fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Runs the lab with these arguments, in the root of the workspace.
pub fn lab(args: &[&str]) -> Output {
    let output = Command::new(env!("CARGO_BIN_EXE_ravenspar-lab")).args(args).current_dir(root()).output();
    output.expect("run the lab")
}

/// Plays a day and returns the lab's exit code and output.
pub fn day(name: &str) -> (Option<i32>, String) {
    let output = lab(&["day", &format!("examples/days/{name}.yaml")]);
    let text =
        String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr);
    println!("{text}");
    (output.status.code(), text)
}

/// Asserts that a day keeps all rules.
pub fn keeps_the_rules(name: &str) {
    let (code, output) = day(name);
    assert!(output.contains("all rules kept"), "{output}");
    assert_eq!(code, Some(0));
}

/// Asserts that a day breaks a rule, which shows that the judge detects it.
pub fn breaks(name: &str, rule: &str) {
    let (code, output) = day(name);
    assert!(output.contains(&format!("{rule}: BROKEN")), "{output}");
    assert_eq!(code, Some(1));
}
