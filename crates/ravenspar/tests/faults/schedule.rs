//! The library of system-call faults that tests preload, and rules for it by chance.

use std::ops::Range;
use std::path::PathBuf;
use std::time::Duration;

use fastrand::Rng;

/// The library to preload, which is built with the tests.
pub fn library() -> PathBuf {
    let own = std::env::current_exe().expect("a test has a path");
    let beside = own.parent().expect("a folder").join("libravenspar_faults.so");
    assert!(beside.exists(), "{}", beside.display());
    beside
}

/// Rules for the library that is preloaded: calls that fail now and then within a time; `fault` is how long each rule holds, in milliseconds.
pub fn schedule(chance: &mut Rng, length: Duration, fault: Range<u64>) -> String {
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
    for _ in 0..chance.usize(0..4) {
        let (call, faults) = CALLS[chance.usize(0..CALLS.len())];
        let (from, every) = (chance.u64(200..end), chance.u64(1..40));
        let to = end.min(from + chance.u64(fault.clone()));
        rules += &format!("{call} {} {from} {to} {every}\n", faults[chance.usize(0..faults.len())]);
    }
    rules + &format!("realtime {} {}\n", chance.i64(-3_600..3_600), chance.u64(0..end))
}
