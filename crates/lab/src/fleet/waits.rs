//! Samples how long each process of a day waited for a CPU core, so that faults of the program can be told from a machine that
//! was too busy.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Interval between two samples: shorter than the shortest time after which a view drops a member.
pub const SAMPLE_INTERVAL: Duration = Duration::from_millis(500);

/// How long a process waited for a CPU core between two samples.
#[derive(Clone, Debug, PartialEq)]
pub struct CpuWait {
    /// Milliseconds since the start of the day.
    pub at: u64,
    pub process: String,
    /// Milliseconds between the two samples for which the process was runnable but had no core. This is for the main thread
    /// alone, on which all of the view and of the lab runs. Time paused by a signal doesn't count.
    pub waited_ms: f64,
    /// Milliseconds between the two samples: more than [`SAMPLE_INTERVAL`] if the lab was late.
    pub interval_ms: u64,
    /// Milliseconds by which the lab took the sample too late.
    pub late_ms: f64,
}

/// All samples of a day. The total of a process restarts from 0 when its process id changes.
pub struct CpuWaits {
    /// Process id and total wait in nanoseconds at the last sample, by process name.
    last: BTreeMap<String, (u32, u64)>,
    last_at: u64,
    due: Instant,
    pub all: Vec<CpuWait>,
}

impl Default for CpuWaits {
    fn default() -> CpuWaits {
        CpuWaits { last: BTreeMap::new(), last_at: 0, due: Instant::now(), all: Vec::new() }
    }
}

impl CpuWaits {
    /// Returns when the next sample is due.
    pub fn due(&self) -> Instant {
        self.due
    }

    /// Samples these processes, given by name and process id. `at` is in milliseconds since the start of the day.
    pub fn sample(&mut self, at: u64, processes: &[(String, u32)]) {
        let now = Instant::now();
        let late_ms = now.saturating_duration_since(self.due).as_secs_f64() * 1e3;
        self.due = now + SAMPLE_INTERVAL;
        let interval_ms = at.saturating_sub(self.last_at);
        self.last_at = at;
        for (process, id) in processes {
            if let Some(total) = total_wait_ns(*id) {
                self.record(at, process, *id, total, interval_ms, late_ms);
            }
        }
    }

    fn record(&mut self, at: u64, process: &str, id: u32, total: u64, interval_ms: u64, late_ms: f64) {
        let before = self.last.insert(process.to_owned(), (id, total)).filter(|(known, _)| *known == id);
        let since = before.map_or(0, |(_, total)| total);
        let waited_ms = total.saturating_sub(since) as f64 / 1e6;
        self.all.push(CpuWait { at, process: process.to_owned(), waited_ms, interval_ms, late_ms });
    }

    /// All samples as JSON lines, for `waits.jsonl`.
    pub fn to_json_lines(&self) -> String {
        let line = |wait: &CpuWait| {
            serde_json::json!({"at_ms": wait.at, "of": wait.process, "waited_ms": wait.waited_ms, "over_ms": wait.interval_ms, "late_ms": wait.late_ms})
                .to_string()
        };
        self.all.iter().map(line).collect::<Vec<_>>().join("\n")
    }

    /// Describes the longest wait of each process and the longest delay of the lab.
    pub fn worst(&self) -> Vec<String> {
        let mut worst: BTreeMap<&str, &CpuWait> = BTreeMap::new();
        for wait in &self.all {
            let known = worst.entry(&wait.process).or_insert(wait);
            if wait.waited_ms > known.waited_ms {
                *known = wait;
            }
        }
        let seconds = |at: u64| at as f64 / 1e3;
        let latest = self.all.iter().max_by(|a, b| a.late_ms.total_cmp(&b.late_ms));
        let lab_delay = latest
            .map(|wait| format!("the lab woke {:.0} ms late at {:.1} s", wait.late_ms, seconds(wait.at)));
        let one = |(process, wait): (&&str, &&CpuWait)| {
            format!(
                "{process} waited {:.0} ms for a core within {} ms, at {:.1} s",
                wait.waited_ms,
                wait.interval_ms,
                seconds(wait.at)
            )
        };
        lab_delay.into_iter().chain(worst.iter().map(one)).collect()
    }
}

/// Total nanoseconds for which the main thread of a process was runnable but had no core.
fn total_wait_ns(id: u32) -> Option<u64> {
    let process = procfs::process::Process::new(i32::try_from(id).ok()?).ok()?;
    process.schedstat().ok().map(|stat| stat.run_delay)
}

#[cfg(test)]
mod tests;
