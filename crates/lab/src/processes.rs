//! The processes of a day (stewards, forwarders, agents): all are started from this binary, and can be signalled and killed.

use std::ffi::OsString;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Stdio;

use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};

/// How long a steward may take to shut down: 10 s to leave (`docs/design/sharing.md`), the timeout of a store call in progress
/// (`share.call_within`, 1 s by default), and 1 s for its record, which syncs the disk five times on shutdown.
pub const SHUTDOWN_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(12);

/// A child process. It is killed when dropped.
pub struct Process {
    child: Child,
    /// Where it listens.
    pub address: SocketAddr,
    out: BufReader<tokio::process::ChildStdout>,
}

impl Process {
    /// Starts this binary with these arguments and waits until it prints its address. Its stderr is appended to `log`.
    pub async fn start(args: Vec<OsString>, log: &Path) -> io::Result<Process> {
        let log = std::fs::OpenOptions::new().create(true).append(true).open(log)?;
        let mut command = Command::new(std::env::current_exe()?);
        command.args(&args).stdin(Stdio::null()).stdout(Stdio::piped()).stderr(log).kill_on_drop(true);
        let mut child = command.spawn()?;
        let out = child.stdout.take().ok_or_else(|| io::Error::other("no output"))?;
        let mut line = String::new();
        let mut out = BufReader::new(out);
        out.read_line(&mut line).await?;
        let address = line.trim().strip_prefix("listening on ").and_then(|address| address.parse().ok());
        let address = address.ok_or_else(|| {
            let first = args.first().map(|arg| arg.to_string_lossy().into_owned()).unwrap_or_default();
            io::Error::other(format!("the {first} did not start, see its log"))
        })?;
        Ok(Process { child, address, out })
    }

    /// Reads the second line of output: the address where a steward that schedules jobs accepts agents of sites.
    pub async fn read_agent_address(&mut self) -> io::Result<SocketAddr> {
        let mut line = String::new();
        self.out.read_line(&mut line).await?;
        let address = line.trim().strip_prefix("agents at ").and_then(|address| address.parse().ok());
        address.ok_or_else(|| io::Error::other("it did not print the address for agents"))
    }

    /// Kills it and waits for its end.
    pub async fn kill(&mut self) {
        let _ = self.child.kill().await;
    }

    /// Returns true if it is no longer running.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// The process id, while it runs.
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    fn stat(&self) -> Option<procfs::process::Stat> {
        let id = i32::try_from(self.child.id()?).ok()?;
        procfs::process::Process::new(id).and_then(|process| process.stat()).ok()
    }

    /// CPU time used so far, in seconds; 0 if it has ended.
    pub fn cpu_seconds(&self) -> f64 {
        let ticks = self.stat().map_or(0, |stat| stat.utime + stat.stime);
        ticks as f64 / procfs::ticks_per_second() as f64
    }

    /// Returns true if it is stopped by a signal.
    pub fn is_stopped(&self) -> bool {
        let state = self.stat().and_then(|stat| stat.state().ok());
        state == Some(procfs::process::ProcState::Stopped)
    }

    /// Sends it a signal by name (`STOP`, `CONT`, ...).
    pub async fn signal(&self, name: &str) {
        if let Some(id) = self.child.id() {
            send_signal(id, name).await;
        }
    }

    /// Shuts it down and returns its exit code. Returns `None` if it died by a signal, or had to be killed because it did not
    /// end within `SHUTDOWN_TIMEOUT`.
    pub async fn end(&mut self) -> Option<i32> {
        self.end_within(SHUTDOWN_TIMEOUT).await
    }

    /// Like [`Process::end`], with another timeout.
    pub async fn end_within(&mut self, timeout: std::time::Duration) -> Option<i32> {
        self.signal("TERM").await;
        let waited = tokio::time::timeout(timeout, self.child.wait()).await;
        match waited {
            Ok(status) => status.ok().and_then(|status| status.code()),
            Err(_) => {
                self.kill().await;
                None
            }
        }
    }
}

/// Sends a signal by name to one of the day's processes.
pub async fn send_signal(id: u32, name: &str) {
    let _ = Command::new("kill").args([&format!("-{name}"), &id.to_string()]).status().await;
}
