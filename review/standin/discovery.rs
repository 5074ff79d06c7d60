//! The discovery agent on a steward's machine: the whole list, and watches that wait for changes.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::world::Shared;

#[derive(Clone, Debug)]
pub struct Host {
    pub id: String,
    pub address: String,
    pub lifecycle: &'static str,
    pub started_ms: u64,
}

impl Host {
    pub fn json(&self) -> String {
        format!(
            r#"{{"instanceId":"{}","hostPort":"{}","zone":"a","machineType":"m2","cell":0,"lifecycle":"{}","weight":1.0,"startedAtMs":{}}}"#,
            self.id, self.address, self.lifecycle, self.started_ms
        )
    }
}

#[derive(Default)]
pub struct List {
    pub generation: u64,
    pub hosts: Vec<Host>,
    pub changes: Vec<(u64, Host)>,
    /// When a list or change was first written that shows a host as leaving or gone: host, kind, time.
    pub told: Vec<(String, Instant)>,
    /// Answers wait.
    pub silent: bool,
    /// Answers are delivered in pieces: bytes of a piece, and the pause before the next one.
    pub pieces: Option<(usize, Duration)>,
    /// Answers delivered whole, and those whose connection the steward closed before.
    pub delivered: usize,
    pub cut_off: usize,
}

impl List {
    pub fn body(&self) -> String {
        let hosts: Vec<String> = self.hosts.iter().map(Host::json).collect();
        format!(r#"{{"generation":{},"reset":true,"instances":[{}]}}"#, self.generation, hosts.join(","))
    }
}

/// The agent of one steward.
pub struct Agent {
    pub address: SocketAddr,
    pub list: Arc<(Mutex<List>, Condvar)>,
}

impl Agent {
    pub fn start(world: &Shared, name: &str) -> std::io::Result<Agent> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let list = Arc::new((Mutex::new(List::default()), Condvar::new()));
        let (held, world, name) = (list.clone(), world.clone(), name.to_owned());
        std::thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let (held, world, name) = (held.clone(), world.clone(), name.clone());
                std::thread::spawn(move || drop(serve(socket, &held, &world, &name)));
            }
        });
        Ok(Agent { address, list })
    }

    pub fn with<T>(&self, act: impl FnOnce(&mut List) -> T) -> T {
        let result = act(&mut self.list.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner()));
        self.list.1.notify_all();
        result
    }

    /// Adds a host, or changes it; `left` removes it.
    pub fn set(&self, host: &Host) {
        self.with(|list| {
            list.generation += 1;
            list.hosts.retain(|known| known.id != host.id);
            if host.lifecycle != "left" {
                list.hosts.push(host.clone());
            }
            let generation = list.generation;
            list.changes.push((generation, host.clone()));
        });
    }

    /// When the steward of this agent was told that the host leaves or is gone, if it was since `from`.
    pub fn told(&self, id: &str, from: Instant) -> Option<Instant> {
        self.with(|list| list.told.iter().find(|(host, at)| host == id && *at >= from).map(|(_, at)| *at))
    }
}

fn serve(
    socket: TcpStream,
    held: &(Mutex<List>, Condvar),
    world: &Shared,
    name: &str,
) -> std::io::Result<()> {
    socket.set_nodelay(true)?;
    let mut writer = socket.try_clone()?;
    let mut lines = BufReader::new(socket);
    let mut last = None;
    loop {
        let mut request = String::new();
        if lines.read_line(&mut request)? == 0 {
            return Ok(());
        }
        loop {
            let mut header = String::new();
            if lines.read_line(&mut header)? == 0 {
                return Ok(());
            }
            if header.trim().is_empty() {
                break;
            }
        }
        let path = request.split(' ').nth(1).unwrap_or("").to_owned();
        let field = |name: &str| -> Option<u64> {
            let query = path.split_once('?')?.1;
            query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
        };
        let since = field("since");
        let until = Instant::now() + Duration::from_millis(field("timeout_ms").unwrap_or(0));
        let mut list = held.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        loop {
            let now = Instant::now();
            let due = since.is_none_or(|since| list.generation > since) || now >= until;
            if due && !list.silent {
                break;
            }
            let wait = if list.silent { Duration::from_millis(50) } else { until - now };
            list = held.1.wait_timeout(list, wait).unwrap_or_else(|poisoned| poisoned.into_inner()).0;
        }
        let body = match since {
            None => list.body(),
            Some(since) => {
                let changes = list.changes.iter().filter(|(generation, _)| *generation > since);
                let changes: Vec<String> = changes.map(|(_, host)| host.json()).collect();
                let generation = list.generation;
                format!(r#"{{"generation":{generation},"reset":false,"instances":[{}]}}"#, changes.join(","))
            }
        };
        let generation = list.generation;
        let shown: Vec<String> = match since {
            None => {
                // A host absent from a complete list is removed.
                let gone = list.changes.iter().map(|(_, host)| host.id.clone());
                gone.filter(|id| !list.hosts.iter().any(|host| host.id == *id && host.lifecycle == "active"))
                    .collect()
            }
            Some(since) => {
                let changes = list.changes.iter().filter(|(generation, _)| *generation > since);
                changes
                    .filter(|(_, host)| host.lifecycle != "active")
                    .map(|(_, host)| host.id.clone())
                    .collect()
            }
        };
        let pieces = list.pieces;
        drop(list);
        let answer = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        let (size, pause) = pieces.unwrap_or((answer.len(), Duration::ZERO));
        let mut written = Ok(());
        for (n, piece) in answer.as_bytes().chunks(size).enumerate() {
            if n > 0 {
                std::thread::sleep(pause);
            }
            // A close is seen only where it is looked for.
            written = written.and_then(|()| is_open(&writer)).and_then(|()| writer.write_all(piece));
        }
        let now = Instant::now();
        let mut list = held.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        if written.is_err() {
            list.cut_off += 1;
            return written;
        }
        list.delivered += 1;
        shown.into_iter().for_each(|id| list.told.push((id, now)));
        drop(list);
        if last != Some(generation) || since.is_none() {
            last = Some(generation);
            let kind = if since.is_none() { "whole list" } else { "changes" };
            world.note(format!("discovery writes to {name}: {kind}, generation {generation}"));
        }
    }
}

/// Fails if the other end has closed the connection.
fn is_open(socket: &TcpStream) -> std::io::Result<()> {
    socket.set_nonblocking(true)?;
    let ended = matches!(socket.peek(&mut [0]), Ok(0));
    socket.set_nonblocking(false)?;
    if ended {
        return Err(std::io::Error::other("closed by the steward"));
    }
    Ok(())
}
