//! Resource use of this process, from `/proc`.

/// Returns the resident memory in kilobytes, or 0 if the system does not tell.
pub fn memory_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}

/// Returns the number of open descriptors, or 0 if the system does not tell.
pub fn descriptors() -> usize {
    std::fs::read_dir("/proc/self/fd").map_or(0, |all| all.count().saturating_sub(1))
}
