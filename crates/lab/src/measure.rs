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
use ravenspar_protocol::DecodeError;
use ravenspar_protocol::{codec, kind, tag, Body, Frame, MAX_BODY_FROM_STEWARD, VERSION};
use ravenspar_record::{Record, SliceRow};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

use crate::processes::Process;
use crate::stage::LabError;

/// What a light forwarder has received, and when.
#[derive(Default)]
struct Received {
    /// Servers by number.
    names: BTreeMap<u64, String>,
    /// By slice: the owner, and whether it has full weight, so that writes are open.
    lines: BTreeMap<u64, (u64, bool)>,
    /// Whether the initial table is complete.
    read: bool,
    echoes: u64,
    frames: u64,
    /// Times of the last drop, of the first line, and of the last line that opens writes.
    dropped: Option<Instant>,
    first_line: Option<Instant>,
    opened: Option<Instant>,
}

type Shared = Rc<RefCell<Vec<Received>>>;

type Frames =
    (FramedRead<OwnedReadHalf, LengthDelimitedCodec>, FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>);

/// Opens a stream to a steward as the forwarder with this number.
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

/// Runs the stream of a light forwarder, which reads, answers at once and pings. `handle` is called with the start of the
/// stream and a frame, and returns the answer to send, if any.
pub async fn run_stream(
    address: std::net::SocketAddr,
    number: usize,
    mut handle: impl FnMut(Instant, &[u8]) -> Result<Option<Bytes>, DecodeError>,
) -> std::io::Result<()> {
    let invalid = |error: DecodeError| std::io::Error::other(error.to_string());
    let (mut read, mut write) = dial(address, number).await?;
    let began = Instant::now();
    let mut ping = tokio::time::interval(Duration::from_millis(250));
    loop {
        tokio::select! {
            body = read.next() => {
                let Some(body) = body else { return Ok(()) };
                let answer = handle(began, &body?).map_err(invalid)?;
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
    run_stream(address, number, |_, body| handle_frame(&mut received.borrow_mut()[number], body)).await
}

/// Applies a frame, and returns the answer if one was asked for.
fn handle_frame(received: &mut Received, body: &[u8]) -> Result<Option<Bytes>, DecodeError> {
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
                let (slice, server, full_weight) =
                    (field.number()?, field.number()?, field.fraction()? >= 1.0);
                received.lines.insert(slice, (server, full_weight));
                received.first_line = received.first_line.or(Some(now));
                received.opened = if full_weight { Some(now) } else { received.opened };
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

/// A steward with light forwarders, all of which have every slice open for writes.
struct TestBed {
    dir: tempfile::TempDir,
    servers: usize,
    received: Shared,
    steward: Process,
}

/// The steward's settings.
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

/// Publishes a list of servers, some of them draining, by replacing the file.
pub fn write_server_list(dir: &Path, servers: usize, draining: &[usize]) -> std::io::Result<()> {
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

/// Waits until a condition holds. Fails after two minutes.
pub async fn wait_until(what: &str, mut holds: impl FnMut() -> bool) -> Result<(), LabError> {
    const TIMEOUT: Duration = Duration::from_secs(120);
    let began = Instant::now();
    while !holds() {
        if began.elapsed() > TIMEOUT {
            return Err(LabError::Failed(format!("not within {TIMEOUT:?}: {what}")));
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    Ok(())
}

impl TestBed {
    async fn start(
        slices: usize,
        servers: usize,
        forwarders: usize,
        level: &str,
    ) -> Result<TestBed, LabError> {
        let dir = tempfile::tempdir()?;
        std::fs::write(dir.path().join("steward.yaml"), settings(slices, forwarders))?;
        write_server_list(dir.path(), servers, &[])?;
        let steward = start_steward(dir.path(), level).await?;
        let received: Shared = Rc::default();
        received.borrow_mut().resize_with(forwarders, Received::default);
        for number in 0..forwarders {
            spawn_local(forwarder(steward.address, number, received.clone()));
        }
        let bed = TestBed { dir, servers, received, steward };
        bed.wait_settled(slices, &[]).await?;
        Ok(bed)
    }

    /// Waits until every forwarder has every slice open for writes, none of them at a server in `without`.
    async fn wait_settled(&self, slices: usize, without: &[usize]) -> Result<(), LabError> {
        let removed: Vec<String> = without.iter().map(|n| format!("plan-{n}")).collect();
        wait_until("every slice is open at every forwarder", || {
            self.received.borrow().iter().all(|received| {
                let good = |(server, full_weight): &(u64, bool)| {
                    *full_weight && !removed.contains(&received.names[server])
                };
                received.lines.len() == slices && received.lines.values().all(good)
            })
        })
        .await
    }

    /// Resident memory of the steward in MiB.
    fn memory(&self) -> f64 {
        let status =
            self.steward.id().and_then(|id| std::fs::read_to_string(format!("/proc/{id}/status")).ok());
        let line =
            status.iter().flat_map(|status| status.lines()).find_map(|line| line.strip_prefix("VmRSS:"));
        line.and_then(|line| line.trim().trim_end_matches(" kB").parse::<f64>().ok()).unwrap_or(0.0) / 1024.0
    }

    /// Clears the times that forwarders have noted.
    fn clear(&self) {
        for received in self.received.borrow_mut().iter_mut() {
            (received.dropped, received.first_line, received.opened) = (None, None, None);
        }
    }
}

/// Returns when the steward reached the phases of its first update after `began`, in ms from then, according to its log: list
/// read, update decided, lines durable, first and last message passed to a socket. `None` if the log lacks one of them.
fn update_phases(log: &Path, began: std::time::SystemTime) -> std::io::Result<Option<[f64; 5]>> {
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
            continue; // before `began`
        }
        let place = match entry["message"].as_str().unwrap_or("") {
            "the list has changed" => 0,
            "lines to record" => 1,
            "lines are durable" => 2,
            "a message leaves" => 3,
            _ => continue,
        };
        // The phases follow one another; the lines of a second update end the first.
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

/// Formats the median, the 99th percentile and the maximum, with this many decimals.
pub fn format_quantiles(values: Vec<f64>, digits: usize) -> String {
    /// Resolution of a unit: the histogram counts integers.
    const RESOLUTION: f64 = 1e4;
    // Three significant digits are enough for these measurements. `new` fails only for more than five.
    let Ok(mut histogram) = hdrhistogram::Histogram::<u64>::new(3) else { return String::new() };
    // The histogram resizes itself, so recording doesn't fail.
    values.iter().for_each(|value| _ = histogram.record((value.max(0.0) * RESOLUTION).round() as u64));
    let at = |q: f64| histogram.value_at_quantile(q) as f64 / RESOLUTION;
    format!("{:.digits$} / {:.digits$} / {:.digits$}", at(0.5), at(0.99), histogram.max() as f64 / RESOLUTION)
}

fn median(column: &mut [f64]) -> f64 {
    column.sort_by(f64::total_cmp);
    column.get(column.len() / 2).copied().unwrap_or(f64::NAN)
}

/// Measures hand-overs after a drain of one server, for each count of forwarders.
pub async fn hand_overs(slices: usize, servers: usize, forwarders: &[usize]) -> Result<(), LabError> {
    const ROUNDS: usize = 5;
    print_line(format_args!(
        "Drain of one of {servers} servers, {slices} slices; ms, median and worst of {ROUNDS} drains.\n"
    ));
    print_line("| forwarders | list to first revoke | to last revoke | to first new line | to last line open for writes |");
    print_line("| --- | --- | --- | --- | --- |");
    let mut phase_rows = Vec::new();
    for &count in forwarders {
        let bed = TestBed::start(slices, servers, count, "debug").await?;
        let mut columns: [Vec<f64>; 4] = Default::default();
        let mut phases: [Vec<f64>; 5] = Default::default();
        let mut draining = Vec::new();
        for round in 0..ROUNDS {
            // Longer than the message window, so that every drain starts with the full message allowance.
            tokio::time::sleep(Duration::from_secs(11)).await;
            bed.clear();
            draining.push(round);
            let (began, wall) = (Instant::now(), std::time::SystemTime::now());
            write_server_list(bed.dir.path(), bed.servers, &draining)?;
            bed.wait_settled(slices, &draining).await?;
            if let Some(times) = update_phases(&bed.dir.path().join("steward.log"), wall)? {
                phases.iter_mut().zip(times).for_each(|(column, time)| column.push(time));
            }
            let received = bed.received.borrow();
            let since =
                |at: Option<Instant>| at.map_or(0.0, |at| at.duration_since(began).as_secs_f64() * 1000.0);
            let all = |pick: &dyn Fn(&Received) -> Option<Instant>| {
                received.iter().map(|t| since(pick(t))).collect::<Vec<_>>()
            };
            let first = |times: Vec<f64>| times.into_iter().fold(f64::INFINITY, f64::min);
            let last = |times: Vec<f64>| times.into_iter().fold(0.0, f64::max);
            columns[0].push(first(all(&|t| t.dropped)));
            columns[1].push(last(all(&|t| t.dropped)));
            columns[2].push(first(all(&|t| t.first_line)));
            columns[3].push(last(all(&|t| t.opened)));
        }
        let shown = columns.map(|mut column| {
            let worst = column.iter().copied().fold(0.0, f64::max);
            format!("{:.1} / {worst:.1}", median(&mut column))
        });
        print_line(format_args!("| {count} | {} |", shown.join(" | ")));
        let phases = phases.map(|mut column| format!("{:.2}", median(&mut column)));
        phase_rows.push(format!("| {count} | {} |", phases.join(" | ")));
    }
    print_line("\nThe same drains by the steward's own log: ms from the list's change, median.\n");
    print_line(
        "| forwarders | list read | turn decided | lines durable | first message out | last message out |",
    );
    print_line("| --- | --- | --- | --- | --- | --- |");
    phase_rows.iter().for_each(print_line);
    Ok(())
}

/// Returns the record's totals that the steward logged at its end: lines, updates with lines, commits.
fn record_totals(log: &Path) -> std::io::Result<String> {
    let text = std::fs::read_to_string(log)?;
    let mut entries = text.lines().filter_map(|line| serde_json::from_str::<serde_json::Value>(line).ok());
    let last = entries.rfind(|entry| entry["message"] == "ending").unwrap_or_default();
    Ok(format!("{}, {}, {}", last["lines"], last["batches"], last["commits"]))
}

/// Measures CPU and memory, idle and while a third of the servers leaves in three waves.
pub async fn load(slices: usize, servers: usize, forwarders: &[usize]) -> Result<(), LabError> {
    print_line(format_args!(
        "\nCPU (share of a core) and memory of the steward, {servers} servers, {slices} slices.\n"
    ));
    print_line("| forwarders | CPU at rest | MiB at rest | release takes | CPU in it | MiB after | messages a forwarder | lines recorded, in turns, in commits |");
    print_line("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for &count in forwarders {
        let mut bed = TestBed::start(slices, servers, count, "info").await?;
        let (before, began) = (bed.steward.cpu_seconds(), Instant::now());
        tokio::time::sleep(Duration::from_secs(10)).await;
        let rest = (bed.steward.cpu_seconds() - before) / began.elapsed().as_secs_f64();
        let memory = bed.memory();
        let frames = |bed: &TestBed| bed.received.borrow().iter().map(|t| t.frames - t.echoes).sum::<u64>();
        let (before, began, sent) = (bed.steward.cpu_seconds(), Instant::now(), frames(&bed));
        let mut draining = Vec::new();
        for wave in 0..3 {
            draining.extend((0..servers / 9).map(|n| wave * (servers / 9) + n));
            write_server_list(bed.dir.path(), bed.servers, &draining)?;
            tokio::time::sleep(Duration::from_secs(4)).await;
        }
        bed.wait_settled(slices, &draining).await?;
        let took = began.elapsed().as_secs_f64();
        let busy = (bed.steward.cpu_seconds() - before) / took;
        let each = (frames(&bed) - sent) as f64 / count as f64;
        let after = bed.memory();
        bed.steward.end().await;
        let totals = record_totals(&bed.dir.path().join("steward.log"))?;
        print_line(format_args!(
            "| {count} | {rest:.3} | {memory:.1} | {took:.1} s | {busy:.3} | {after:.1} | {each:.1} | {totals} |"
        ));
    }
    Ok(())
}

/// Measures the time from the start of the process until it listens, and until a forwarder has the whole table, for each
/// count of recorded slices.
pub async fn starts(slices: &[usize]) -> Result<(), LabError> {
    print_line("\nStart with slices on record; ms, median of 5.\n");
    print_line("| slices | until it listens | until a forwarder has the whole table |");
    print_line("| --- | --- | --- |");
    for &count in slices {
        let dir = tempfile::tempdir()?;
        std::fs::write(dir.path().join("steward.yaml"), settings(count, 1))?;
        write_server_list(dir.path(), 100, &[])?;
        let failed = |error: ravenspar_record::RecordError| LabError::Failed(error.to_string());
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
            wait_until("the table is read", || received.borrow()[0].read).await?;
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

/// Measures durable writes per second, for several counts of lines in a commit.
pub fn writes() -> Result<(), LabError> {
    print_line("\nDurable writes, each synced, on the machine's temporary folder.\n");
    print_line("| lines a commit | rest before each | a commit takes | commits/s | lines/s |");
    print_line("| --- | --- | --- | --- | --- |");
    for (lines, rest) in [(1usize, 0), (10, 0), (100, 0), (1_000, 0), (10, 500)] {
        let dir = tempfile::tempdir()?;
        let failed = |error: ravenspar_record::RecordError| LabError::Failed(error.to_string());
        let record = Record::open(&dir.path().join("steward.redb")).map_err(failed)?;
        let (began, mut commits, mut busy) = (Instant::now(), 0, Duration::ZERO);
        while began.elapsed() < Duration::from_secs(3) {
            // A commit after an idle time takes longer than one of a series.
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
