//! The lab as a process.

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
