//! Measures a real steward over loopback: hand-overs, CPU, memory, starts, durable writes. Prints Markdown.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::ffi::OsString;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use ravenspar::print_line;
use ravenspar_protocol::{codec, kind, tag, Body, DecodeError, Frame, MAX_BODY_FROM_STEWARD, VERSION};
use ravenspar_record::{Record, SliceRow};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

use crate::processes::Process;
use crate::stage::Fault;

/// What a forwarder has received, and when.
#[derive(Default)]
struct Received {
    names: BTreeMap<u64, String>,
    /// Owner and whether writes are open.
    lines: BTreeMap<u64, (u64, bool)>,
    read: bool,
    echoes: u64,
    frames: u64,
    /// The last frame with a drop, with a line, and with a line that opens writes.
    dropped: Option<Instant>,
    first_route: Option<Instant>,
    opened: Option<Instant>,
}

type Shared = Rc<RefCell<Vec<Received>>>;

type Frames =
    (FramedRead<OwnedReadHalf, LengthDelimitedCodec>, FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>);

/// Opens a stream as a forwarder of this number.
pub async fn dial(address: std::net::SocketAddr, number: usize) -> std::io::Result<Frames> {
    let socket = TcpStream::connect(address).await?;
    socket.set_nodelay(true)?;
    let (read, write) = socket.into_split();
    let read = FramedRead::new(read, codec(MAX_BODY_FROM_STEWARD));
    let mut write = FramedWrite::new(write, codec(MAX_BODY_FROM_STEWARD));
    let mut hello = Frame::new(kind::HELLO);
    hello.numbers(tag::VERSION, &[VERSION]).numbers(tag::PROXY, &[number as u64]).numbers(tag::BOOT, &[1]);
    write.send(hello.numbers(tag::USUAL, &[1_000_000]).finish()).await?;
    Ok((read, write))
}

/// One light forwarder: reads, answers at once, pings. `handle` takes in a frame, with when the stream began, and returns
/// the answer that is due.
pub async fn forward(
    address: std::net::SocketAddr,
    number: usize,
    mut handle: impl FnMut(Instant, &[u8]) -> Result<Option<Bytes>, DecodeError>,
) -> std::io::Result<()> {
    let broken = |fault: DecodeError| std::io::Error::other(fault.to_string());
    let (mut read, mut write) = dial(address, number).await?;
    let began = Instant::now();
    let mut ping = tokio::time::interval(Duration::from_millis(250));
    loop {
        tokio::select! {
            body = read.next() => {
                let Some(body) = body else { return Ok(()) };
                let answer = handle(began, &body?).map_err(broken)?;
                if let Some(answer) = answer {
                    write.send(answer).await?;
                }
            }
            _ = ping.tick() => {
                let sent = began.elapsed().as_micros() as u64 / 100;
                write.send(Frame::new(kind::PING).numbers(tag::SENT, &[sent]).finish()).await?;
            }
        }
    }
}

async fn forwarder(address: std::net::SocketAddr, number: usize, received: Shared) -> std::io::Result<()> {
    forward(address, number, |_, body| take(&mut received.borrow_mut()[number], body)).await
}

fn take(received: &mut Received, body: &[u8]) -> Result<Option<Bytes>, DecodeError> {
    let now = Instant::now();
    let mut body = Body::new(body)?;
    received.frames += 1;
    received.echoes += u64::from(body.kind() == kind::ECHO);
    let (mut answer, mut asked) = (Frame::new(kind::ANSWER), false);
    while let Some((tag, mut field)) = body.field()? {
        match tag {
            tag::SERVER => {
                let server = field.number()?;
                received.names.insert(server, field.text()?.to_owned());
            }
            tag::LINE => {
                let (slice, server, whole) = (field.number()?, field.number()?, field.fraction()? >= 1.0);
                received.lines.insert(slice, (server, whole));
                received.first_route = received.first_route.or(Some(now));
                received.opened = if whole { Some(now) } else { received.opened };
            }
            tag::DROP => {
                received.lines.remove(&field.number()?);
                received.dropped = Some(now);
            }
            tag::MARK | tag::END => {
                received.read |= tag == tag::END;
                answer.numbers(tag, &[field.number()?]);
                asked = true;
            }
            _ => {}
        }
    }
    Ok(asked.then(|| answer.finish()))
}

struct Rig {
    dir: tempfile::TempDir,
    servers: usize,
    received: Shared,
    steward: Process,
}

fn settings(slices: usize, forwarders: usize) -> String {
    format!(
        "listen: 127.0.0.1:0\nrecord: steward.redb\nlist: {{path: servers.yaml}}\nforwarders: {forwarders}\n\
         slices: {slices}\nlease: 1s\nsettle: 1s\nhold: 300ms\nunserved_most: 20s\nsilent_after: 3s\n\
         channel: {{lines_per_s: 130000, waiting_lines: 260000, message_cost: 16, messages: 12, messages_within: 10s}}\n\
         reports: {{every: 2s, lines_per_s: 600}}\n\
         cold: {{from: 0.2, for: 18s, fall_multiple: 2.5, fall_for: 2s}}\ndrain: {{grace: 3s}}\nkinds:\n  \
         - {{name: quote, response_target: 3s, client_timeout: 7500ms, credit: 1, repeats: replayable, writes: false}}\n  \
         - {{name: commit, response_target: 3s, client_timeout: 5s, credit: 3, repeats: non-replayable, writes: true}}\n"
    )
}

pub fn list(dir: &Path, servers: usize, draining: &[usize]) -> std::io::Result<()> {
    let mut text = "servers:\n".to_owned();
    for n in 0..servers {
        let state = if draining.contains(&n) { "draining" } else { "ready" };
        text +=
            &format!("  - {{id: plan-{n}, zone: z-{}, address: \"127.0.0.1:9\", state: {state}}}\n", n % 3);
    }
    std::fs::write(dir.join("draft"), text)?;
    std::fs::rename(dir.join("draft"), dir.join("servers.yaml"))
}

async fn start_steward(dir: &Path, level: &str) -> std::io::Result<Process> {
    let args = ["steward", "--log", level, "--log-format", "json", "serve"].map(OsString::from).into_iter();
    let args = args.chain([dir.join("steward.yaml").into_os_string()]).collect();
    Process::start(args, &dir.join("steward.log")).await
}

/// Lets time pass until something holds; fails when it never does.
pub async fn wait(what: &str, mut holds: impl FnMut() -> bool) -> Result<(), Fault> {
    const PATIENCE: Duration = Duration::from_secs(120);
    let began = Instant::now();
    while !holds() {
        if began.elapsed() > PATIENCE {
            return Err(Fault::Failed(format!("not within {PATIENCE:?}: {what}")));
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    Ok(())
}

impl Rig {
    async fn start(slices: usize, servers: usize, forwarders: usize, level: &str) -> Result<Rig, Fault> {
        let dir = tempfile::tempdir()?;
        std::fs::write(dir.path().join("steward.yaml"), settings(slices, forwarders))?;
        list(dir.path(), servers, &[])?;
        let steward = start_steward(dir.path(), level).await?;
        let received: Shared = Rc::default();
        received.borrow_mut().resize_with(forwarders, Received::default);
        for number in 0..forwarders {
            spawn_local(forwarder(steward.address, number, received.clone()));
        }
        let rig = Rig { dir, servers, received, steward };
        rig.settled(slices, &[]).await?;
        Ok(rig)
    }

    /// Waits until every forwarder has every slice open for writes, and none at these servers.
    async fn settled(&self, slices: usize, without: &[usize]) -> Result<(), Fault> {
        let left: Vec<String> = without.iter().map(|n| format!("plan-{n}")).collect();
        wait("every slice is open at every forwarder", || {
            self.received.borrow().iter().all(|received| {
                let good = |(server, whole): &(u64, bool)| *whole && !left.contains(&received.names[server]);
                received.lines.len() == slices && received.lines.values().all(good)
            })
        })
        .await
    }

    fn memory(&self) -> f64 {
        let status =
            self.steward.id().and_then(|id| std::fs::read_to_string(format!("/proc/{id}/status")).ok());
        let line =
            status.iter().flat_map(|status| status.lines()).find_map(|line| line.strip_prefix("VmRSS:"));
        line.and_then(|line| line.trim().trim_end_matches(" kB").parse::<f64>().ok()).unwrap_or(0.0) / 1024.0
    }

    fn clear(&self) {
        for received in self.received.borrow_mut().iter_mut() {
            (received.dropped, received.first_route, received.opened) = (None, None, None);
        }
    }
}

/// When the steward's log says that it came to the parts of the turn after a moment, in ms from then: the list read,
/// the turn decided, its lines durable, its first and its last message handed to a socket.
fn parts(log: &Path, began: std::time::SystemTime) -> std::io::Result<Option<[f64; 5]>> {
    const DAY: f64 = 86_400.0;
    let since = began.duration_since(std::time::UNIX_EPOCH).map_or(0.0, |since| since.as_secs_f64() % DAY);
    let mut at = [None; 5];
    for line in std::fs::read_to_string(log)?.lines() {
        let Ok(entry) = serde_json::from_str::<serde_json::Value>(line) else { continue };
        // Times read as 2026-12-01T13:00:02.070942Z.
        let Some(time) = entry["timestamp"].as_str().and_then(|time| time.get(11..26)) else { continue };
        let seconds = time
            .split(':')
            .filter_map(|part| part.parse::<f64>().ok())
            .fold(0.0, |sum, part| sum * 60.0 + part);
        let after = (seconds - since).rem_euclid(DAY) * 1000.0;
        if after > DAY * 500.0 {
            continue; // before the moment
        }
        let place = match entry["message"].as_str().unwrap_or("") {
            "the list has changed" => 0,
            "lines to record" => 1,
            "lines are durable" => 2,
            "a message leaves" => 3,
            _ => continue,
        };
        // Each part follows the one before; a second turn's lines end the first.
        if place == 1 && at[1].is_some() {
            break;
        }
        if place == 0 || at[place - 1].is_some() {
            at[place] = at[place].or(Some(after));
            at[4] = if place == 3 { Some(after) } else { at[4] };
        }
    }
    let [Some(a), Some(b), Some(c), Some(d), Some(e)] = at else { return Ok(None) };
    Ok(Some([a, b, c, d, e]))
}

/// Median, 99th and worst, with so many digits.
pub fn quantiles(of: Vec<f64>, digits: usize) -> String {
    /// Parts of a unit that are told apart: the histogram counts whole numbers.
    const PARTS: f64 = 1e4;
    // Three digits are more than such measurements bear; it fails for more than five alone.
    let Ok(mut all) = hdrhistogram::Histogram::<u64>::new(3) else { return String::new() };
    // It grows as far as it has to.
    of.iter().for_each(|value| _ = all.record((value.max(0.0) * PARTS).round() as u64));
    let at = |q: f64| all.value_at_quantile(q) as f64 / PARTS;
    format!("{:.digits$} / {:.digits$} / {:.digits$}", at(0.5), at(0.99), all.max() as f64 / PARTS)
}

fn median(column: &mut [f64]) -> f64 {
    column.sort_by(f64::total_cmp);
    column.get(column.len() / 2).copied().unwrap_or(f64::NAN)
}

/// Hand-overs after a drain of one server, by forwarders.
pub async fn hand_overs(slices: usize, servers: usize, forwarders: &[usize]) -> Result<(), Fault> {
    const ROUNDS: usize = 5;
    print_line(format_args!(
        "Drain of one of {servers} servers, {slices} slices; ms, median and worst of {ROUNDS} drains.\n"
    ));
    print_line("| forwarders | list to first revoke | to last revoke | to first new line | to last line open for writes |");
    print_line("| --- | --- | --- | --- | --- |");
    let mut within = Vec::new();
    for &count in forwarders {
        let rig = Rig::start(slices, servers, count, "debug").await?;
        let mut columns: [Vec<f64>; 4] = Default::default();
        let mut inside: [Vec<f64>; 5] = Default::default();
        let mut gone = Vec::new();
        for round in 0..ROUNDS {
            // The ledger's window is past, so that every drain meets the same allowance.
            tokio::time::sleep(Duration::from_secs(11)).await;
            rig.clear();
            gone.push(round);
            let (began, wall) = (Instant::now(), std::time::SystemTime::now());
            list(rig.dir.path(), rig.servers, &gone)?;
            rig.settled(slices, &gone).await?;
            if let Some(parts) = parts(&rig.dir.path().join("steward.log"), wall)? {
                inside.iter_mut().zip(parts).for_each(|(column, part)| column.push(part));
            }
            let received = rig.received.borrow();
            let since =
                |at: Option<Instant>| at.map_or(0.0, |at| at.duration_since(began).as_secs_f64() * 1000.0);
            let all = |pick: &dyn Fn(&Received) -> Option<Instant>| {
                received.iter().map(|t| since(pick(t))).collect::<Vec<_>>()
            };
            let first = |of: Vec<f64>| of.into_iter().fold(f64::INFINITY, f64::min);
            let last = |of: Vec<f64>| of.into_iter().fold(0.0, f64::max);
            columns[0].push(first(all(&|t| t.dropped)));
            columns[1].push(last(all(&|t| t.dropped)));
            columns[2].push(first(all(&|t| t.first_route)));
            columns[3].push(last(all(&|t| t.opened)));
        }
        let shown = columns.map(|mut column| {
            let worst = column.iter().copied().fold(0.0, f64::max);
            format!("{:.1} / {worst:.1}", median(&mut column))
        });
        print_line(format_args!("| {count} | {} |", shown.join(" | ")));
        let inside = inside.map(|mut column| format!("{:.2}", median(&mut column)));
        within.push(format!("| {count} | {} |", inside.join(" | ")));
    }
    print_line("\nThe same drains by the steward's own log: ms from the list's change, median.\n");
    print_line(
        "| forwarders | list read | turn decided | lines durable | first message out | last message out |",
    );
    print_line("| --- | --- | --- | --- | --- | --- |");
    within.iter().for_each(print_line);
    Ok(())
}

/// What the steward said of its record when it ended, over all of its run: lines, turns with lines, commits.
fn ended(log: &Path) -> std::io::Result<String> {
    let text = std::fs::read_to_string(log)?;
    let mut entries = text.lines().filter_map(|line| serde_json::from_str::<serde_json::Value>(line).ok());
    let last = entries.rfind(|entry| entry["message"] == "ending").unwrap_or_default();
    Ok(format!("{}, {}, {}", last["lines"], last["batches"], last["commits"]))
}

/// CPU and memory at rest and while a third of the servers leaves in three waves.
pub async fn load(slices: usize, servers: usize, forwarders: &[usize]) -> Result<(), Fault> {
    print_line(format_args!(
        "\nCPU (share of a core) and memory of the steward, {servers} servers, {slices} slices.\n"
    ));
    print_line("| forwarders | CPU at rest | MiB at rest | release takes | CPU in it | MiB after | messages a forwarder | lines recorded, in turns, in commits |");
    print_line("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for &count in forwarders {
        let mut rig = Rig::start(slices, servers, count, "info").await?;
        let (before, began) = (rig.steward.cpu(), Instant::now());
        tokio::time::sleep(Duration::from_secs(10)).await;
        let rest = (rig.steward.cpu() - before) / began.elapsed().as_secs_f64();
        let memory = rig.memory();
        let frames = |rig: &Rig| rig.received.borrow().iter().map(|t| t.frames - t.echoes).sum::<u64>();
        let (before, began, sent) = (rig.steward.cpu(), Instant::now(), frames(&rig));
        let mut gone = Vec::new();
        for wave in 0..3 {
            gone.extend((0..servers / 9).map(|n| wave * (servers / 9) + n));
            list(rig.dir.path(), rig.servers, &gone)?;
            tokio::time::sleep(Duration::from_secs(4)).await;
        }
        rig.settled(slices, &gone).await?;
        let took = began.elapsed().as_secs_f64();
        let busy = (rig.steward.cpu() - before) / took;
        let each = (frames(&rig) - sent) as f64 / count as f64;
        let after = rig.memory();
        rig.steward.end().await;
        let said = ended(&rig.dir.path().join("steward.log"))?;
        print_line(format_args!(
            "| {count} | {rest:.3} | {memory:.1} | {took:.1} s | {busy:.3} | {after:.1} | {each:.1} | {said} |"
        ));
    }
    Ok(())
}

/// From the start of the process until it listens, and until a forwarder has the whole table, with slices on record.
pub async fn starts(slices: &[usize]) -> Result<(), Fault> {
    print_line("\nStart with slices on record; ms, median of 5.\n");
    print_line("| slices | until it listens | until a forwarder has the whole table |");
    print_line("| --- | --- | --- |");
    for &count in slices {
        let dir = tempfile::tempdir()?;
        std::fs::write(dir.path().join("steward.yaml"), settings(count, 1))?;
        list(dir.path(), 100, &[])?;
        let failed = |fault: ravenspar_record::RecordError| Fault::Failed(fault.to_string());
        let record = Record::open(&dir.path().join("steward.redb")).map_err(failed)?;
        let row = |slice: usize| SliceRow {
            slice: slice as u32,
            owner: Some(format!("plan-{}", slice % 100)),
            weight: 1_000_000,
            mark: 1,
            term: 1,
            boot: 0,
        };
        record.write(&(0..count).map(row).collect::<Vec<_>>(), None).map_err(failed)?;
        drop(record);
        let (mut listens, mut reads) = (Vec::new(), Vec::new());
        for _ in 0..5 {
            let began = Instant::now();
            let mut steward = start_steward(dir.path(), "warn").await?;
            listens.push(began.elapsed().as_secs_f64() * 1000.0);
            let received: Shared = Rc::default();
            received.borrow_mut().push(Received::default());
            let task = spawn_local(forwarder(steward.address, 0, received.clone()));
            wait("the table is read", || received.borrow()[0].read).await?;
            reads.push(began.elapsed().as_secs_f64() * 1000.0);
            task.abort();
            steward.end().await;
        }
        listens.sort_by(f64::total_cmp);
        reads.sort_by(f64::total_cmp);
        print_line(format_args!("| {count} | {:.1} | {:.1} |", listens[2], reads[2]));
    }
    Ok(())
}

/// Durable writes a second by how many lines share one.
pub fn writes() -> Result<(), Fault> {
    print_line("\nDurable writes, each synced, on the machine's temporary folder.\n");
    print_line("| lines a commit | rest before each | a commit takes | commits/s | lines/s |");
    print_line("| --- | --- | --- | --- | --- |");
    for (lines, rest) in [(1usize, 0), (10, 0), (100, 0), (1_000, 0), (10, 500)] {
        let dir = tempfile::tempdir()?;
        let failed = |fault: ravenspar_record::RecordError| Fault::Failed(fault.to_string());
        let record = Record::open(&dir.path().join("steward.redb")).map_err(failed)?;
        let (began, mut commits, mut busy) = (Instant::now(), 0, Duration::ZERO);
        while began.elapsed() < Duration::from_secs(3) {
            // A commit after a rest costs more than one among many.
            std::thread::sleep(Duration::from_millis(rest));
            let commit = Instant::now();
            let row = |n: usize| SliceRow {
                slice: ((commits * lines + n) % 20_000) as u32,
                owner: Some(format!("plan-{}", (commits + n) % 260)),
                weight: 1_000_000,
                mark: commits as u64,
                term: 1,
                boot: 0,
            };
            record.write(&(0..lines).map(row).collect::<Vec<_>>(), None).map_err(failed)?;
            commits += 1;
            busy += commit.elapsed();
        }
        let a_second = commits as f64 / busy.as_secs_f64();
        let each = busy.as_secs_f64() * 1000.0 / commits as f64;
        print_line(format_args!(
            "| {lines} | {rest} ms | {each:.2} ms | {a_second:.0} | {:.0} |",
            a_second * lines as f64
        ));
    }
    Ok(())
}
