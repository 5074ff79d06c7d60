//! Steward processes, started with the deploy file's `run`, and the collector of their zone.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::world::Shared;

pub struct Steward {
    pub number: usize,
    pub listen: String,
    pub config: PathBuf,
    pub log: PathBuf,
    child: Option<Child>,
}

extern "C" {
    fn prctl(option: i32, ...) -> i32;
}

/// The command of a steward, which ends with this process, however that ends.
fn command(run: &str) -> Command {
    const PR_SET_PDEATHSIG: i32 = 1;
    const SIGKILL: std::ffi::c_ulong = 9;
    let mut command = Command::new("/bin/sh");
    command.args(["-c", run]);
    // SAFETY: prctl is a bare system call, and allowed between fork and exec.
    unsafe {
        command.pre_exec(|| match prctl(PR_SET_PDEATHSIG, SIGKILL) {
            0 => Ok(()),
            _ => Err(std::io::Error::last_os_error()),
        });
    }
    command
}

/// The line `run` of the deploy file.
fn run_line(root: &str) -> Option<String> {
    let deploy = std::fs::read_to_string(format!("{root}/deploy/balancer.toml")).ok()?;
    let line = deploy.lines().find_map(|line| line.strip_prefix("run = \"")?.strip_suffix('"'))?;
    Some(line.to_owned())
}

impl Steward {
    pub fn new(number: usize, listen: String, folder: &std::path::Path) -> Steward {
        let config = folder.join(format!("n{number}.json"));
        let log = folder.join(format!("n{number}.log"));
        Steward { number, listen, config, log, child: None }
    }

    pub fn start(&mut self, world: &Shared, discovery: &str) -> std::io::Result<()> {
        let root = std::env::var("ROOT").unwrap_or_else(|_| ".".to_owned());
        let run = run_line(&root).ok_or(std::io::Error::other("no line run"))?;
        let log = std::fs::OpenOptions::new().create(true).append(true).open(&self.log)?;
        let child = command(&run)
            .current_dir(&root)
            .env("RELAY_NAME", format!("n{}", self.number))
            .env("RELAY_LISTEN", &self.listen)
            .env("RELAY_DISCOVERY", discovery)
            .env("RELAY_CONFIG", &self.config)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        world.note(format!("n{} starts", self.number));
        self.child = Some(child);
        Ok(())
    }

    /// Starts a steward of one's own with the settings at `config`, by the program that the deploy file builds and runs.
    pub fn start_own(&mut self, world: &Shared) -> std::io::Result<()> {
        let root = std::env::var("ROOT").unwrap_or_else(|_| ".".to_owned());
        let run = run_line(&root).ok_or(std::io::Error::other("no line run"))?;
        let run = run.replace(" platform", &format!(" serve {}", self.config.display()));
        let log = std::fs::OpenOptions::new().create(true).append(true).open(&self.log)?;
        let child = command(&run)
            .current_dir(&root)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        world.note(format!("n{} starts", self.number));
        self.child = Some(child);
        Ok(())
    }

    /// Waits until PING is answered; returns when it was.
    pub fn wait_ready(&self, world: &Shared) -> Option<Instant> {
        let end = Instant::now() + Duration::from_secs(30);
        while Instant::now() < end {
            if let Ok(mut socket) = TcpStream::connect(&self.listen) {
                let _ = socket.set_read_timeout(Some(Duration::from_millis(500)));
                let mut answer = [0; 14 + 4];
                if socket.write_all(&frame(r#"{"msg":"PING"}"#)).is_ok()
                    && socket.read_exact(&mut answer).is_ok()
                {
                    let now = Instant::now();
                    world.lock().links[self.number].first_pong = Some(now);
                    world.note(format!("n{} answers PING", self.number));
                    return Some(now);
                }
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        None
    }

    pub fn kill(&mut self, world: &Shared) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            let mut state = world.lock();
            state.died(self.number, &world.site);
            let begun = world.begun;
            state.note(begun, format!("n{} is killed", self.number));
        }
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(Some(_)) | Err(_)))
    }
}

impl Drop for Steward {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

pub fn frame(body: &str) -> Vec<u8> {
    [&(body.len() as u32).to_le_bytes(), body.as_bytes()].concat()
}

/// Passes on the reports of one zone to a steward, late by the site's figure.
pub fn collect(world: Shared, steward: usize, listen: String) {
    let late = Duration::from_secs_f64(world.site.reports_late_s);
    let cycle = Duration::from_secs_f64(world.site.cycle_s);
    let over = world.site.cycle_s * 1e3;
    let mut socket: Option<TcpStream> = None;
    let mut from = Instant::now();
    loop {
        std::thread::sleep(cycle);
        let to = from + cycle;
        std::thread::sleep((to + late).saturating_duration_since(Instant::now()));
        let mut hosts: BTreeMap<String, (u64, u64)> = BTreeMap::new();
        let mut slices: BTreeMap<(usize, usize), (u64, u64)> = BTreeMap::new();
        {
            let state = world.lock();
            if state.over {
                return;
            }
            let tries = state.tries.iter().rev().take_while(|one| one.at >= from);
            for one in tries.filter(|one| one.at < to && one.charge == Some(steward)) {
                let failed = u64::from(!one.answered);
                let host = hosts.entry(one.host.clone()).or_default();
                *host = (host.0 + 1, host.1 + failed);
                let slice = slices.entry((one.slice, one.class)).or_default();
                *slice = (slice.0 + 1, slice.1 + failed);
            }
        }
        from = to;
        let mut text = Vec::new();
        for (host, (count, failed)) in hosts {
            text.extend(frame(&format!(
                r#"{{"msg":"LOAD","site":"a","target":"{host}","count":{count},"fail":{failed},"mean":150.0,"over":{over:.1},"util":{{"cpu_share":0.4}}}}"#
            )));
        }
        for ((slice, class), (count, failed)) in slices {
            let lane = ["quote", "commit"][class];
            text.extend(frame(&format!(
                r#"{{"msg":"SHARD","range":{slice},"lane":"{lane}","count":{count},"fail":{failed},"over":{over:.1}}}"#
            )));
        }
        if socket.is_none() {
            socket = TcpStream::connect(&listen).ok();
            if let Some(open) = &mut socket {
                if open.write_all(&frame(r#"{"msg":"SOURCE","site":"a"}"#)).is_err() {
                    socket = None;
                }
            }
        }
        if socket.as_mut().is_some_and(|open| open.write_all(&text).is_err()) {
            socket = None;
        }
    }
}
