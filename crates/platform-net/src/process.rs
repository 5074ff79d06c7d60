//! What the process uses of what it may use.

/// Resident memory in kilobytes, 0 where the system does not say.
pub fn memory_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}

/// Open descriptors, 0 where the system does not say.
pub fn descriptors() -> usize {
    std::fs::read_dir("/proc/self/fd").map_or(0, |all| all.count().saturating_sub(1))
}
