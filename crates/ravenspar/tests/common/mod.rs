//! Test harness: the program as a process, and proxies that speak the plain stream over blocking sockets.
#![allow(dead_code)] // each test file uses a part of it

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

use ravenspar_protocol::{kind, tag, Body, Frame, VERSION};
use ravenspar_standin::store::Store;

/// Enough for a busy machine; a wait that takes this long has failed.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// A temporary folder with a steward's settings, its list of servers and its record.
pub struct Dir {
    pub dir: tempfile::TempDir,
}

impl Dir {
    /// Creates settings for this many slices and forwarders, and a list of these servers.
    pub fn new(slices: usize, forwarders: usize, servers: &[&str]) -> Dir {
        let dir = Dir { dir: tempfile::tempdir().expect("a temporary folder") };
        let text = format!(
            "listen: 127.0.0.1:0\nrecord: steward.redb\nlist: {{path: servers.yaml}}\nforwarders: {forwarders}\n\
             slices: {slices}\nlease: 400ms\nsettle: 400ms\nhold: 200ms\nunserved_most: 5s\nsilent_after: 700ms\n\
             channel: {{lines_per_s: 1000000, waiting_lines: 10000000, message_cost: 12, messages: 0, messages_within: 10s}}\n\
             reports: {{every: 500ms, lines_per_s: 250}}\n\
             cold: {{from: 0.2, for: 1s, fall_multiple: 2.5, fall_for: 1500ms}}\ndrain: {{grace: 2s}}\nkinds:\n  \
             - {{name: quote, response_target: 300ms, client_timeout: 400ms, credit: 1, repeats: replayable, writes: false}}\n  \
             - {{name: commit, response_target: 300ms, client_timeout: 400ms, credit: 2, repeats: non-replayable, writes: true}}\n"
        );
        std::fs::write(dir.settings(), text).expect("the file is written");
        dir.list(servers);
        dir
    }

    pub fn settings(&self) -> PathBuf {
        self.dir.path().join("steward.yaml")
    }

    pub fn record(&self) -> PathBuf {
        self.dir.path().join("steward.redb")
    }

    /// Publishes a list of servers, all ready.
    pub fn list(&self, servers: &[&str]) {
        let entry = |id: &&str| format!("  - {{id: {id}, zone: z, address: \"127.0.0.1:9\"}}\n");
        let text: String = servers.iter().map(entry).collect();
        let draft = self.dir.path().join("draft");
        std::fs::write(&draft, format!("servers:\n{text}")).expect("the file is written");
        std::fs::rename(draft, self.dir.path().join("servers.yaml")).expect("the list is renamed");
    }

    /// Returns the recorded slices: number, owner and state.
    pub fn recorded(&self) -> Vec<(u64, Option<String>, String)> {
        let output = run(&["record", "--json", self.settings().to_str().expect("a path")]);
        assert_eq!(output.status.code(), Some(0), "{}", String::from_utf8_lossy(&output.stderr));
        let value: serde_json::Value = serde_json::from_slice(&output.stdout).expect("JSON");
        let rows = value["slices"].as_array().expect("slices").iter();
        let text = |value: &serde_json::Value| value.as_str().map(str::to_owned);
        rows.map(|row| {
            (
                row["slice"].as_u64().expect("a slice"),
                text(&row["owner"]),
                text(&row["state"]).expect("a state"),
            )
        })
        .collect()
    }

    /// Starts a steward with this folder's settings.
    pub fn serve(&self, args: &[&str]) -> Serving {
        start(&self.settings(), args)
    }
}

/// Starts a steward with these settings and waits until it listens.
pub fn start(settings: &Path, args: &[&str]) -> Serving {
    start_in(settings, args, &[])
}

/// Does the same with additional environment variables.
pub fn start_in(settings: &Path, args: &[&str], environment: &[(&str, &Path)]) -> Serving {
    try_start(settings, args, environment, Stdio::inherit()).expect("the steward listens")
}

/// Does the same with the log redirected. Returns `None` if it ended before it listened.
pub fn try_start(
    settings: &Path,
    args: &[&str],
    environment: &[(&str, &Path)],
    log: impl Into<Stdio>,
) -> Option<Serving> {
    let mut command = Command::new(env!("CARGO_BIN_EXE_ravenspar"));
    command.args(["--log", "warn", "serve"]).arg(settings).args(args).envs(environment.iter().copied());
    let mut child = command.stdout(Stdio::piped()).stderr(log).spawn().expect("the process starts");
    let mut line = String::new();
    BufReader::new(child.stdout.take().expect("output")).read_line(&mut line).expect("a line");
    let Some(address) = line.trim().strip_prefix("listening on ") else {
        child.wait().expect("the process has exited");
        return None;
    };
    Some(Serving { address: address.parse().expect("an address"), child })
}

/// Runs the program to its end.
pub fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_ravenspar")).args(args).output().expect("the program runs")
}

/// A steward process, killed on drop.
pub struct Serving {
    pub address: SocketAddr,
    pub child: Child,
}

impl Drop for Serving {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Serving {
    /// Waits until it has exited by itself.
    pub fn wait_exit(&mut self) -> std::process::ExitStatus {
        let until = Instant::now() + TEST_TIMEOUT;
        while Instant::now() < until {
            if let Some(status) = self.child.try_wait().expect("a status") {
                return status;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        panic!("the process did not exit in time");
    }

    pub fn signal(&self, name: &str) {
        let status = Command::new("kill").args([&format!("-{name}"), &self.child.id().to_string()]).status();
        assert!(status.expect("`kill` runs").success());
    }
}

/// A proxy that follows the protocol as far as tests need it.
pub struct Proxy {
    pub socket: TcpStream,
    started: Instant,
    /// The server that each slice is granted to, as far as it was notified.
    pub owners: std::collections::BTreeMap<u64, u64>,
    /// The server that each slice was last dropped from, until it is granted again.
    pub dropped: std::collections::BTreeMap<u64, u64>,
    /// The names of the servers by their numbers.
    pub names: std::collections::BTreeMap<u64, String>,
    pub term: u64,
    /// Echoes received: answers to pings.
    pub echoes: usize,
    /// Messages with lines.
    pub tables: usize,
    pub closed: bool,
}

impl Proxy {
    /// Connects as proxy `number` in its start `boot`, and sends the hello.
    pub fn dial(address: SocketAddr, number: u64, boot: u64) -> Proxy {
        let socket = TcpStream::connect(address).expect("the steward listens");
        let mut proxy = Proxy {
            socket,
            started: Instant::now(),
            owners: Default::default(),
            dropped: Default::default(),
            names: Default::default(),
            term: 0,
            echoes: 0,
            tables: 0,
            closed: false,
        };
        let mut hello = Frame::new(kind::HELLO);
        hello.numbers(tag::VERSION, &[VERSION]).numbers(tag::PROXY, &[number]).numbers(tag::BOOT, &[boot]);
        proxy.send(&hello.finish());
        proxy
    }

    /// Sends a message. A stream that has ended shows when it is read.
    pub fn send(&mut self, body: &[u8]) {
        let length = (body.len() as u32).to_be_bytes();
        let _ = self.socket.write_all(&length).and_then(|()| self.socket.write_all(body));
    }

    pub fn ping(&mut self) {
        let sent = self.started.elapsed().as_micros() as u64 / 100;
        self.send(&Frame::new(kind::PING).numbers(tag::SENT, &[sent]).finish());
    }

    /// Reports that tries at this server succeed, if its number is known.
    pub fn report_success(&mut self, server: &str) {
        const WINDOW: u64 = 5_000;
        const TRIES: u64 = 50;
        const MEAN_TIME: u64 = 50;
        let Some(number) = self.names.iter().find_map(|(number, name)| (name == server).then_some(*number))
        else {
            return;
        };
        let mut report = Frame::new(kind::REPORT);
        report.numbers(tag::WINDOW, &[WINDOW]).numbers(tag::MET, &[number, TRIES, 0, MEAN_TIME]);
        self.send(&report.finish());
    }

    /// Pings, and handles and answers what arrives within 100 ms.
    pub fn step(&mut self) {
        self.ping();
        self.socket.set_read_timeout(Some(Duration::from_millis(100))).expect("a timeout");
        let mut head = [0; 4];
        let until = Instant::now() + Duration::from_millis(100);
        while Instant::now() < until {
            match self.socket.read(&mut head[..1]) {
                Ok(0) => {
                    self.closed = true;
                    return;
                }
                Ok(_) => {}
                Err(e)
                    if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) =>
                {
                    return
                }
                Err(_) => {
                    self.closed = true;
                    return;
                }
            }
            self.socket.set_read_timeout(Some(TEST_TIMEOUT)).expect("a timeout");
            let mut body = Vec::new();
            let read = self.socket.read_exact(&mut head[1..]).and_then(|()| {
                body = vec![0; u32::from_be_bytes(head) as usize];
                self.socket.read_exact(&mut body)
            });
            if read.is_err() {
                self.closed = true;
                return;
            }
            self.handle(&body);
            self.socket.set_read_timeout(Some(Duration::from_millis(20))).expect("a timeout");
        }
    }

    fn handle(&mut self, body: &[u8]) {
        let mut body = Body::new(body).expect("a frame");
        let message_kind = body.kind();
        let (mut answer, mut must_answer) = (Frame::new(kind::ANSWER), false);
        self.echoes += usize::from(message_kind == kind::ECHO);
        self.tables += usize::from(message_kind == kind::TABLE);
        while let Some((tag, mut field)) = body.field().expect("a field") {
            match tag {
                tag::TERM => self.term = field.number().expect("a term"),
                tag::SERVER => {
                    let server = field.number().expect("a server");
                    self.names.insert(server, field.text().expect("an id").to_owned());
                }
                tag::LINE | tag::HELD => {
                    let (slice, server) =
                        (field.number().expect("a slice"), field.number().expect("a server"));
                    self.owners.insert(slice, server);
                    self.dropped.remove(&slice);
                }
                tag::DROP => {
                    let slice = field.number().expect("a slice");
                    self.dropped.extend(self.owners.remove(&slice).map(|server| (slice, server)));
                }
                tag::MARK | tag::END => {
                    answer.numbers(tag, &[field.number().expect("a number")]);
                    must_answer = true;
                }
                _ => {}
            }
        }
        if must_answer {
            let body = answer.finish();
            self.send(&body);
        }
    }

    /// Returns the name of the server that a slice is granted to.
    pub fn owner(&self, slice: u64) -> Option<&str> {
        self.names.get(self.owners.get(&slice)?).map(String::as_str)
    }
}

/// Lets proxies go on until a condition holds.
pub fn wait_until(what: &str, proxies: &mut [&mut Proxy], mut condition: impl FnMut(&[&mut Proxy]) -> bool) {
    let end = Instant::now() + TEST_TIMEOUT;
    while !condition(proxies) {
        assert!(Instant::now() < end, "not within {TEST_TIMEOUT:?}: {what}");
        proxies.iter_mut().for_each(|proxy| proxy.step());
    }
}

/// Starts two stewards that share six slices, each with a proxy: the first is assigned all of them, and then
/// hands three over to the second.
pub fn start_sharing(one: &Path, two: &Path) -> ((Serving, Proxy), (Serving, Proxy)) {
    let first = start(one, &[]);
    let mut proxy = Proxy::dial(first.address, 0, 1);
    wait_until("one is assigned all slices", &mut [&mut proxy], |all| all[0].owners.len() == 6);
    let second = start(two, &[]);
    let mut other = Proxy::dial(second.address, 0, 1);
    wait_until("two has its share", &mut [&mut proxy, &mut other], |all| all[1].owners.len() == 3);
    ((first, proxy), (second, other))
}

pub fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

pub fn path(path: &Path) -> &str {
    path.to_str().expect("a path")
}

/// Starts a store that serves until the process ends.
pub fn store(cluster: u64) -> (Store, SocketAddr) {
    let store = Store::new(cluster);
    let (address_tx, address) = std::sync::mpsc::channel();
    let own = store.clone();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        runtime.block_on(async {
            address_tx.send(own.listen().await.expect("the steward listens")).expect("the caller waits");
            std::future::pending::<()>().await;
        });
    });
    (store, address.recv().expect("an address"))
}
