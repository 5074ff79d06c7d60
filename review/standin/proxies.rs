//! Hosts that answer requests, and proxies that send them by the tables they hold.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::world::{Shared, Try};

/// The addresses of all hosts, whether listed or not.
pub type Directory = Arc<Mutex<HashMap<String, String>>>;

/// A host process: answers each line with one line until it ends.
pub struct Running {
    pub address: String,
    ended: Arc<AtomicBool>,
}

impl Running {
    pub fn start() -> std::io::Result<Running> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?.to_string();
        let ended = Arc::new(AtomicBool::new(false));
        let over = ended.clone();
        std::thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                if over.load(Ordering::Relaxed) {
                    return;
                }
                let over = over.clone();
                std::thread::spawn(move || -> std::io::Result<()> {
                    socket.set_nodelay(true)?;
                    let mut writer = socket.try_clone()?;
                    let mut lines = BufReader::new(socket);
                    let mut line = String::new();
                    while lines.read_line(&mut line)? > 0 {
                        if over.load(Ordering::Relaxed) {
                            return Ok(());
                        }
                        writer.write_all(b"done\n")?;
                        line.clear();
                    }
                    Ok(())
                });
            }
        });
        Ok(Running { address, ended })
    }

    /// Ends: open connections and new ones are closed without an answer.
    pub fn end(&self) {
        self.ended.store(true, Ordering::Relaxed);
        drop(TcpStream::connect(&self.address));
    }
}

pub fn send(
    open: &mut HashMap<String, BufReader<TcpStream>>,
    host: &str,
    address: &str,
    text: &str,
) -> std::io::Result<()> {
    if !open.contains_key(host) {
        let to: std::net::SocketAddr = address.parse().map_err(|_| std::io::Error::other("no address"))?;
        let socket = TcpStream::connect_timeout(&to, Duration::from_millis(250))?;
        socket.set_nodelay(true)?;
        socket.set_read_timeout(Some(Duration::from_millis(1_200)))?;
        open.insert(host.to_owned(), BufReader::new(socket));
    }
    let Some(lines) = open.get_mut(host) else { return Ok(()) };
    lines.get_mut().write_all(text.as_bytes())?;
    let mut answer = String::new();
    match lines.read_line(&mut answer)? {
        0 => Err(std::io::Error::other("closed")),
        _ => Ok(()),
    }
}

/// Sends the requests that come to one proxy, until the case is over.
pub fn run(world: Shared, proxy: usize, directory: Directory) {
    let pause = Duration::from_secs_f64(world.site.proxies as f64 / world.site.reqs_per_s);
    let mut open = HashMap::new();
    let mut next = Instant::now();
    let mut number = 0u64;
    loop {
        next += pause;
        std::thread::sleep(next.saturating_duration_since(Instant::now()));
        let picked = {
            let mut state = world.lock();
            if state.over {
                return;
            }
            let slice = (state.random() * world.site.slices as f64) as usize;
            let class = usize::from(state.random() < 0.47);
            let admitted = state.random();
            let held = state.proxies[proxy].held[slice].clone();
            let may_write = held.writes_until.is_none_or(|until| Instant::now() < until);
            let shut = admitted >= held.levels[class] || class == 1 && !may_write;
            match held.line.filter(|_| !shut) {
                Some(host) => Some((slice, class, host)),
                None => {
                    state.refused += 1;
                    None
                }
            }
        };
        let Some((slice, class, host)) = picked else { continue };
        number += 1;
        let address = directory.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).get(&host).cloned();
        let at = Instant::now();
        let sent =
            send(&mut open, &host, &address.unwrap_or_default(), &format!("{proxy}-{number} {slice}\n"));
        if sent.is_err() {
            open.remove(&host);
        }
        let mut state = world.lock();
        let entry = state.slices[slice].clone();
        let joined = entry.charge.and_then(|steward| state.proxies[proxy].joined[steward]);
        state.tries.push(Try {
            at,
            proxy,
            slice,
            class,
            host,
            answered: sent.is_ok(),
            charge: entry.charge,
            joined,
            given: entry.given_at,
        });
    }
}
