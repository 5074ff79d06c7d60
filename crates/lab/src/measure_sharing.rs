//! Measures stewards that share a store: take-overs, planned hand-overs, moved slices, and requests to the store. Prints
//! Markdown.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::ffi::OsString;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use ravenspar::print_line;
use ravenspar_protocol::DecodeError;
use ravenspar_protocol::{kind, tag, Body, Frame};
use ravenspar_standin::store::Store;
use tokio::task::spawn_local;

use crate::links::{make_key, DatagramProxy, Link, Links};
use crate::measure::{format_quantiles, run_stream, wait_until, write_server_list};
use crate::processes::Process;
use crate::stage::LabError;

const SERVERS: usize = 60;
const FORWARDERS: usize = 12;
/// Lease of a membership, in seconds.
const MEMBER_LEASE: u64 = 3;

/// A slice as a forwarder knows it.
#[derive(Clone, Default)]
struct SliceState {
    term: u64,
    steward: usize,
    /// Whether it has an owner, at least for reads.
    has_owner: bool,
    /// Whether writes are open.
    open: bool,
    /// When its steward announced that it leaves the slice, and when the slice was assigned to the next.
    left_at: Option<Instant>,
    assigned_at: Option<Instant>,
    /// When it could last be written under the previous steward, and first under this one.
    last_writable: Option<Instant>,
    first_writable: Option<Instant>,
}

#[derive(Default)]
struct Received {
    slices: Vec<SliceState>,
    /// By steward: when its lease ends.
    leases: Vec<Option<Instant>>,
    assignments: u64,
    /// Slices that were assigned to another steward and had no owner after that frame.
    ownerless: u64,
}

type Shared = Rc<RefCell<Vec<Received>>>;

/// Keeps a light forwarder connected to one steward; reconnects when the stream ends.
async fn keep_connected(
    address: Rc<RefCell<Vec<Option<std::net::SocketAddr>>>>,
    steward: usize,
    number: usize,
    received: Shared,
) {
    loop {
        let at = address.borrow()[steward];
        if let Some(at) = at {
            let _ = run_one_stream(at, steward, number, &received).await;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

async fn run_one_stream(
    address: std::net::SocketAddr,
    steward: usize,
    number: usize,
    received: &Shared,
) -> std::io::Result<()> {
    let mut lease = Duration::ZERO;
    run_stream(address, number, |began, body| {
        handle_frame(&mut received.borrow_mut()[number], steward, body, began, &mut lease)
    })
    .await
}

/// Applies a frame, and returns the answer if one was asked for.
fn handle_frame(
    received: &mut Received,
    steward: usize,
    body: &[u8],
    began: Instant,
    lease: &mut Duration,
) -> Result<Option<Bytes>, DecodeError> {
    let now = Instant::now();
    let mut body = Body::new(body)?;
    let (mut answer, mut asked) = (Frame::new(kind::ANSWER), false);
    let mut taken_over = Vec::new();
    while let Some((tag, mut field)) = body.field()? {
        match tag {
            tag::LEASE => *lease = Duration::from_micros(field.number()? * 100),
            tag::SENT if body.kind() == kind::ECHO => {
                let until = began + Duration::from_micros(field.number()? * 100) + *lease;
                received.leases[steward] = received.leases[steward].max(Some(until));
                // Slices that were opened before the first lease become writable now.
                let open = received.slices.iter_mut().filter(|state| state.steward == steward && state.open);
                open.for_each(|state| state.first_writable = state.first_writable.or(Some(now)));
            }
            tag::CHARGE => {
                let (first, count, term) = (field.index()?, field.index()?, field.number()?);
                for slice in first..first + count {
                    if received.slices[slice].term < term {
                        let old = received.slices[slice].clone();
                        let last_writable = received.leases[old.steward].filter(|_| old.open && old.term > 0);
                        received.slices[slice] = SliceState {
                            term,
                            steward,
                            left_at: old.left_at,
                            assigned_at: Some(now),
                            last_writable,
                            ..SliceState::default()
                        };
                        received.assignments += 1;
                        taken_over.extend(Some(slice).filter(|_| old.term > 0));
                    }
                }
            }
            tag::LINE | tag::HELD => {
                let (slice, _, full_weight) = (field.index()?, field.number()?, field.fraction()? >= 1.0);
                let leased = received.leases[steward].is_some_and(|until| until > now);
                let state = &mut received.slices[slice];
                if state.steward == steward {
                    (state.has_owner, state.open) = (true, full_weight);
                    if full_weight && leased {
                        state.first_writable = state.first_writable.or(Some(now));
                    }
                }
            }
            tag::LEFT => {
                let (first, count) = (field.index()?, field.index()?);
                for state in &mut received.slices[first..first + count] {
                    if state.steward == steward {
                        state.left_at = Some(now);
                    }
                }
            }
            tag::DROP => {
                let state = &mut received.slices[field.index()?];
                if state.steward == steward {
                    (state.has_owner, state.open) = (false, false);
                }
            }
            tag::MARK | tag::END => {
                answer.numbers(tag, &[field.number()?]);
                asked = true;
            }
            _ => {}
        }
    }
    received.ownerless +=
        taken_over.into_iter().filter(|&slice| !received.slices[slice].has_owner).count() as u64;
    Ok(asked.then(|| answer.finish()))
}

/// Stewards with a store and light forwarders.
struct TestBed {
    dir: tempfile::TempDir,
    store: Store,
    stewards: Vec<Option<Process>>,
    addresses: Rc<RefCell<Vec<Option<std::net::SocketAddr>>>>,
    received: Shared,
    datagrams: Option<Rc<DatagramProxy>>,
}

impl TestBed {
    /// `view`: conditions of the links by which the stewards keep a view; `None` for no view.
    async fn start(stewards: usize, slices: usize, view: Option<Link>) -> Result<TestBed, LabError> {
        let dir = tempfile::tempdir()?;
        write_server_list(dir.path(), SERVERS, &[])?;
        let store = Store::new(1);
        let address = store.listen().await?;
        let mut datagrams = None;
        if let Some(baseline) = view {
            make_key(dir.path())?;
            datagrams = Some(DatagramProxy::open(&Links::new(1, baseline), stewards, false).await?);
        }
        for steward in 0..stewards {
            let view = datagrams
                .as_ref()
                .map_or(String::new(), |proxy| format!("fleet: {}\n", proxy.settings(steward)));
            std::fs::write(
                dir.path().join(format!("{steward}.yaml")),
                settings(steward, stewards, slices, address) + &view,
            )?;
        }
        let received: Shared = Rc::default();
        let new = || Received {
            slices: vec![SliceState::default(); slices],
            leases: vec![None; stewards],
            assignments: 0,
            ownerless: 0,
        };
        received.borrow_mut().resize_with(FORWARDERS, new);
        let mut bed = TestBed {
            dir,
            store,
            stewards: (0..stewards).map(|_| None).collect(),
            addresses: Rc::new(RefCell::new(vec![None; stewards])),
            received,
            datagrams,
        };
        for steward in 0..stewards {
            bed.start_steward(steward).await?;
        }
        for number in 0..FORWARDERS {
            for steward in 0..stewards {
                spawn_local(keep_connected(bed.addresses.clone(), steward, number, bed.received.clone()));
            }
        }
        bed.wait_settled(None).await?;
        Ok(bed)
    }

    async fn start_steward(&mut self, steward: usize) -> Result<(), LabError> {
        let args = ["steward", "--log", "warn", "serve"].map(OsString::from).into_iter();
        let args = args.chain([self.dir.path().join(format!("{steward}.yaml")).into_os_string()]).collect();
        let process = Process::start(args, &self.dir.path().join(format!("{steward}.log"))).await?;
        self.addresses.borrow_mut()[steward] = Some(process.address);
        self.stewards[steward] = Some(process);
        Ok(())
    }

    /// Waits until every slice is writable at every forwarder, with slices assigned evenly to all stewards except `gone`.
    async fn wait_settled(&self, gone: Option<usize>) -> Result<(), LabError> {
        let present: Vec<usize> = (0..self.stewards.len()).filter(|steward| Some(*steward) != gone).collect();
        wait_until("slices are open in even shares", || {
            self.received.borrow().iter().all(|received| {
                let mut counts = vec![0; self.stewards.len()];
                let open = received.slices.iter().all(|state| {
                    counts[state.steward] += 1;
                    state.open && state.first_writable.is_some() && present.contains(&state.steward)
                });
                let shares = present.iter().map(|&steward| counts[steward]);
                open && shares.clone().max().unwrap_or(0) - shares.min().unwrap_or(0) <= 1
            })
        })
        .await
    }

    /// Returns the slices of each steward, according to the first forwarder.
    fn shares(&self) -> BTreeMap<usize, Vec<usize>> {
        let mut shares: BTreeMap<usize, Vec<usize>> = BTreeMap::new();
        for (slice, state) in self.received.borrow()[0].slices.iter().enumerate() {
            shares.entry(state.steward).or_default().push(slice);
        }
        shares
    }

    /// For these slices at all forwarders: time from `from` until each was writable again, and how long each was not writable.
    /// Both in ms, sorted.
    fn gaps(&self, slices: &[usize], from: Instant) -> (Vec<f64>, Vec<f64>) {
        let ms = |span: Duration| span.as_secs_f64() * 1e3;
        let (mut until_write, mut gaps) = (Vec::new(), Vec::new());
        for received in self.received.borrow().iter() {
            for state in slices.iter().map(|&slice| &received.slices[slice]) {
                if let Some(first_writable) = state.first_writable {
                    until_write.push(ms(first_writable.saturating_duration_since(from)));
                    gaps.push(ms(state
                        .last_writable
                        .map_or(Duration::ZERO, |last| first_writable.saturating_duration_since(last))));
                }
            }
        }
        until_write.sort_by(f64::total_cmp);
        gaps.sort_by(f64::total_cmp);
        (until_write, gaps)
    }
}

/// The settings of one steward.
fn settings(steward: usize, stewards: usize, slices: usize, store: std::net::SocketAddr) -> String {
    format!(
        "listen: 127.0.0.1:0\nrecord: {steward}.redb\nlist: {{path: servers.yaml}}\nforwarders: {FORWARDERS}\n\
         slices: {slices}\nstewards: {stewards}\nstore: etcd\n\
         share: {{name: steward-{steward}, endpoints: [\"http://{store}\"], member_lease: {MEMBER_LEASE}s}}\n\
         lease: 4s\nsettle: 1s\nhold: 300ms\nunserved_most: 20s\nsilent_after: 3s\n\
         channel: {{lines_per_s: 130000, waiting_lines: 260000, message_cost: 16, messages: 20, messages_within: 10s}}\n\
         reports: {{every: 2s, lines_per_s: 600}}\n\
         cold: {{from: 0.2, for: 18s, fall_multiple: 2.5, fall_for: 2s}}\ndrain: {{grace: 3s}}\nkinds:\n  \
         - {{name: quote, response_target: 3s, client_timeout: 7500ms, credit: 1, repeats: replayable, writes: false}}\n  \
         - {{name: commit, response_target: 3s, client_timeout: 5s, credit: 3, repeats: non-replayable, writes: true}}\n"
    )
}

/// Returns how many slices must move at least for even shares.
fn min_moves(shares: &BTreeMap<usize, Vec<usize>>, before: usize, after: usize, slices: usize) -> usize {
    if after < before {
        // Those of the steward that leaves.
        return shares.values().map(Vec::len).min().unwrap_or(0);
    }
    slices / after
}

/// Measures `rounds` crashes, joins and orderly leaves of stewards.
pub async fn take_overs(stewards: &[usize], slices: &[usize], rounds: usize) -> Result<(), LabError> {
    print_line(format_args!(
        "\n{FORWARDERS} forwarders, memberships of {MEMBER_LEASE} s, forwarders' leases of 4 s; ms as median / 99th / worst \
         over slices and forwarders, {rounds} rounds. `bare`: slices that had no owner for reads when they came into another's charge."
    ));
    print_line("\n| stewards | slices | view | at rest: store requests/s | bare | death: to next write | death: without writes | requests in it | join: moves (fewest) | leave: moves (fewest) |");
    print_line("| ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |");
    let runs = stewards.iter().flat_map(|&count| slices.iter().map(move |&slices| (count, slices)));
    for (count, slices) in runs {
        for view in [false, true] {
            let mut bed = TestBed::start(count, slices, view.then(Link::default)).await?;
            let (mut until_write, mut gaps) = (Vec::new(), Vec::new());
            let (mut asked, mut joins, mut leaves) = (0, Vec::new(), Vec::new());
            let (before, began) = (bed.store.requests(), Instant::now());
            tokio::time::sleep(Duration::from_secs(4)).await;
            let rest = (bed.store.requests() - before) as f64 / began.elapsed().as_secs_f64();
            for round in 0..rounds {
                let gone = round % count;
                let own = bed.shares().remove(&gone).unwrap_or_default();
                let before = bed.store.requests();
                bed.addresses.borrow_mut()[gone] = None;
                let from = Instant::now();
                if let Some(mut process) = bed.stewards[gone].take() {
                    process.kill().await;
                }
                bed.wait_settled(Some(gone)).await?;
                asked += bed.store.requests() - before;
                let (mut a, mut b) = bed.gaps(&own, from);
                until_write.append(&mut a);
                gaps.append(&mut b);
                let moved = |bed: &TestBed| bed.received.borrow()[0].assignments;
                let (shares, before) = (bed.shares(), moved(&bed));
                bed.start_steward(gone).await?;
                bed.wait_settled(None).await?;
                joins.push((moved(&bed) - before, min_moves(&shares, count - 1, count, slices)));
                let (shares, before) = (bed.shares(), moved(&bed));
                let leaver = (gone + 1) % count;
                bed.addresses.borrow_mut()[leaver] = None;
                if let Some(mut process) = bed.stewards[leaver].take() {
                    process.end().await;
                }
                bed.wait_settled(Some(leaver)).await?;
                leaves.push((moved(&bed) - before, min_moves(&shares, count, count - 1, slices)));
                bed.start_steward(leaver).await?;
                bed.wait_settled(None).await?;
            }
            until_write.sort_by(f64::total_cmp);
            gaps.sort_by(f64::total_cmp);
            let moves = |all: &[(u64, usize)]| {
                all.iter()
                    .map(|(moved, min_moves)| format!("{moved} ({min_moves})"))
                    .collect::<Vec<_>>()
                    .join(", ")
            };
            let ownerless: u64 = bed.received.borrow().iter().map(|received| received.ownerless).sum();
            print_line(format_args!(
                "| {count} | {slices} | {} | {rest:.1} | {ownerless} | {} | {} | {} | {} | {} |",
                if view { "yes" } else { "no" },
                format_quantiles(until_write, 0),
                format_quantiles(gaps, 0),
                asked / rounds as u64,
                moves(&joins),
                moves(&leaves)
            ));
        }
    }
    Ok(())
}

/// Measures planned hand-overs without a view, with a view and its hints, and with a view over bad links.
pub async fn planned(stewards: usize, slices: usize, rounds: usize) -> Result<(), LabError> {
    print_line(format_args!(
        "\nA steward of {stewards} ends in order, {slices} slices, {rounds} times: from a forwarder's notification that a \
         slice is left until the one of its new steward; ms as median / 99th / worst. Writes go on meanwhile."
    ));
    print_line("\n| view | left to in charge | without writes |");
    print_line("| --- | ---: | ---: |");
    let bad_link = Link { loss: 0.3, doubled: 0.1, late: Duration::from_millis(25), ..Link::default() };
    let views =
        [("no", None), ("yes", Some(Link::default())), ("yes, 30% lost, doubled, late", Some(bad_link))];
    for (name, view) in views {
        let mut bed = TestBed::start(stewards, slices, view).await?;
        let (mut waits, mut gaps) = (Vec::new(), Vec::new());
        for round in 0..rounds {
            let leaver = round % stewards;
            let own = bed.shares().remove(&leaver).unwrap_or_default();
            let from = Instant::now();
            if let Some(mut process) = bed.stewards[leaver].take() {
                process.end().await;
            }
            bed.addresses.borrow_mut()[leaver] = None;
            bed.wait_settled(Some(leaver)).await?;
            for received in bed.received.borrow().iter() {
                for state in own.iter().map(|&slice| &received.slices[slice]) {
                    if let (Some(left_at), Some(assigned_at)) = (state.left_at, state.assigned_at) {
                        waits.push(assigned_at.saturating_duration_since(left_at).as_secs_f64() * 1e3);
                    }
                }
            }
            gaps.append(&mut bed.gaps(&own, from).1);
            bed.start_steward(leaver).await?;
            bed.wait_settled(None).await?;
        }
        waits.sort_by(f64::total_cmp);
        gaps.sort_by(f64::total_cmp);
        let lost = bed.datagrams.as_ref().map_or(String::new(), |proxy| format!(" ({})", proxy.counts()));
        print_line(format_args!(
            "| {name}{lost} | {} | {} |",
            format_quantiles(waits, 0),
            format_quantiles(gaps, 0)
        ));
    }
    Ok(())
}

/// Runs all measurements.
pub async fn run_all(stewards: &[usize], slices: &[usize], rounds: usize) -> Result<(), LabError> {
    take_overs(stewards, slices, rounds).await?;
    planned(3, 1_700, rounds.max(3)).await
}
