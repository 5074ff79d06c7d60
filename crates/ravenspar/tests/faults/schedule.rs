//! The preloaded library of system-call faults, and random rules for it.

use std::ops::Range;
use std::path::PathBuf;
use std::time::Duration;

use fastrand::Rng;

/// Returns the path of the library to preload, which is built with the tests.
pub fn library() -> PathBuf {
    let test_binary = std::env::current_exe().expect("the path of the test binary");
    let library = test_binary.parent().expect("a folder").join("libravenspar_faults.so");
    assert!(library.exists(), "{}", library.display());
    library
}

/// Draws rules for the library: calls that fail now and then within `length`. `rule_ms` is the range of how
/// long each rule applies, in milliseconds.
pub fn schedule(rng: &mut Rng, length: Duration, rule_ms: Range<u64>) -> String {
    const CALLS: [(&str, &[&str]); 6] = [
        ("accept4", &["24", "103", "105"]),
        ("socket", &["24", "105"]),
        ("connect", &["99", "101", "110", "113"]),
        ("recv", &["short", "4", "104"]),
        ("send", &["short", "4", "104", "105"]),
        ("epoll_wait", &["4"]),
    ];
    let end = length.as_millis() as u64;
    let mut rules = String::new();
    for _ in 0..rng.usize(0..4) {
        let (call, faults) = CALLS[rng.usize(0..CALLS.len())];
        let (from, every) = (rng.u64(200..end), rng.u64(1..40));
        let to = end.min(from + rng.u64(rule_ms.clone()));
        rules += &format!("{call} {} {from} {to} {every}\n", faults[rng.usize(0..faults.len())]);
    }
    rules + &format!("realtime {} {}\n", rng.i64(-3_600..3_600), rng.u64(0..end))
}
