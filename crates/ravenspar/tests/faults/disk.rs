//! A steward whose file calls fail by a schedule, with its log in a file.

use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use crate::common::{run, try_start, wait_until, Dir, Proxy, Serving};
use crate::library;

/// A steward's folder with its schedule of faults.
pub struct Disk {
    pub dir: Dir,
    started: Instant,
}

impl Disk {
    pub fn new(dir: Dir) -> Disk {
        Disk { dir, started: Instant::now() }
    }

    fn file(&self, name: &str) -> PathBuf {
        self.dir.dir.path().join(name)
    }

    /// Starts the steward under this schedule. Returns `None` if it ended before it listened.
    pub fn start(&mut self, settings: &Path, schedule: &str) -> Option<Serving> {
        std::fs::write(self.file("schedule"), schedule).expect("the schedule is written");
        let (library, rules, delivered) = (library(), self.file("schedule"), self.file("delivered"));
        let environment = [
            ("LD_PRELOAD", library.as_path()),
            (ravenspar_faults::SCHEDULE, rules.as_path()),
            (ravenspar_faults::DELIVERED, delivered.as_path()),
        ];
        let log = std::fs::File::options()
            .append(true)
            .create(true)
            .open(self.file("log"))
            .expect("the log file opens");
        self.started = Instant::now();
        try_start(settings, &[], &environment, log)
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(self.file("log")).unwrap_or_default()
    }

    /// Returns true if a fault of this kind was delivered.
    pub fn delivered(&self, what: &str) -> bool {
        std::fs::read_to_string(self.file("delivered")).unwrap_or_default().contains(what)
    }

    /// Waits for a moment of the schedule, in milliseconds since the process started, while the streams go
    /// on.
    pub fn wait_until(&self, at_ms: u64, proxies: &mut [&mut Proxy]) {
        let at = self.started + Duration::from_millis(at_ms);
        wait_until("the moment of the schedule", proxies, |_| Instant::now() >= at);
    }

    /// Lets a forwarder go on until a moment of the schedule, or until its stream ends.
    pub fn go_on(&self, at_ms: u64, proxy: &mut Proxy) {
        let at = self.started + Duration::from_millis(at_ms);
        while Instant::now() < at && !proxy.closed {
            proxy.step();
        }
    }

    /// Checks that what a forwarder was notified of is on record: its term, the server of each slice that it
    /// holds, unless the record has taken the slice from there since, and that a dropped slice is no longer
    /// at the server that it was dropped from. Only for lists by which no slice returns to a server that it
    /// has left.
    pub fn check_recorded(&self, proxy: &Proxy) -> Result<(), String> {
        if proxy.term == 0 {
            return Ok(());
        }
        let output = run(&["record", "--json", self.dir.settings().to_str().expect("a path")]);
        let json = String::from_utf8_lossy(&output.stdout).into_owned();
        let value: serde_json::Value = serde_json::from_str(&json)
            .map_err(|_| format!("no record: {}", String::from_utf8_lossy(&output.stderr)))?;
        if value["term"].as_u64().is_none_or(|term| term < proxy.term) {
            return Err(format!("notified of term {}, on record is {}", proxy.term, value["term"]));
        }
        let rows = value["slices"].as_array().ok_or("no slices")?;
        for (&slice, server) in &proxy.owners {
            let row = rows.iter().find(|row| row["slice"] == slice);
            let row = row.ok_or_else(|| format!("slice {slice} was granted and is not on record"))?;
            let owner = row["owner"].as_str();
            let granted_to = proxy.names.get(server).map(String::as_str);
            if owner.is_some() && owner != granted_to {
                return Err(format!("slice {slice}: granted to {granted_to:?}, on record at {owner:?}"));
            }
        }
        for (&slice, server) in &proxy.dropped {
            let row = rows.iter().find(|row| row["slice"] == slice);
            let owner = row.and_then(|row| row["owner"].as_str());
            if owner.is_some() && owner == proxy.names.get(server).map(String::as_str) {
                return Err(format!("slice {slice}: dropped from {owner:?}, where the record still has it"));
            }
        }
        Ok(())
    }
}
