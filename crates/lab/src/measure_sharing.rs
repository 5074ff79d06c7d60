//! Measures stewards that share: take-overs, planned hand-overs, moves, and what the store is asked. Prints Markdown.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::ffi::OsString;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use ravenspar::print_line;
use ravenspar_protocol::{kind, tag, Body, DecodeError, Frame};
use ravenspar_standin::store::Store;
use tokio::task::spawn_local;

use crate::measure::{forward, list, quantiles, wait};
use crate::processes::Process;
use crate::stage::Fault;
use crate::ways::{make_key, Datagrams, Way, Ways};

const SERVERS: usize = 60;
const FORWARDERS: usize = 12;
/// Seconds of a membership, as forwarders' leases.
const LEASE: u64 = 3;

/// What a forwarder holds of a slice.
#[derive(Clone, Default)]
struct Held {
    term: u64,
    steward: usize,
    /// Whether it has an owner, for reads at least.
    owned: bool,
    open: bool,
    /// When its steward left it, and since when it is in charge of the next.
    left: Option<Instant>,
    owned_since: Option<Instant>,
    /// When it could be written last under the steward before, and first under this one.
    until: Option<Instant>,
    written: Option<Instant>,
}

#[derive(Default)]
struct Received {
    slices: Vec<Held>,
    /// By steward: how long its lease lasts.
    leases: Vec<Option<Instant>>,
    assignments: u64,
    /// Slices that came into another's charge and had no owner once the frame was taken in.
    bare: u64,
}

type Shared = Rc<RefCell<Vec<Received>>>;

/// A light forwarder's streams to one steward, one after the other.
async fn follow(
    address: Rc<RefCell<Vec<Option<std::net::SocketAddr>>>>,
    steward: usize,
    number: usize,
    received: Shared,
) {
    loop {
        let at = address.borrow()[steward];
        if let Some(at) = at {
            let _ = stream(at, steward, number, &received).await;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

async fn stream(
    address: std::net::SocketAddr,
    steward: usize,
    number: usize,
    received: &Shared,
) -> std::io::Result<()> {
    let mut lease = Duration::ZERO;
    forward(address, number, |began, body| {
        take(&mut received.borrow_mut()[number], steward, body, began, &mut lease)
    })
    .await
}

fn take(
    received: &mut Received,
    steward: usize,
    body: &[u8],
    began: Instant,
    lease: &mut Duration,
) -> Result<Option<Bytes>, DecodeError> {
    let now = Instant::now();
    let mut body = Body::new(body)?;
    let (mut answer, mut asked) = (Frame::new(kind::ANSWER), false);
    let mut came = Vec::new();
    while let Some((tag, mut field)) = body.field()? {
        match tag {
            tag::LEASE => *lease = Duration::from_micros(field.number()? * 100),
            tag::SENT if body.kind() == kind::ECHO => {
                let until = began + Duration::from_micros(field.number()? * 100) + *lease;
                received.leases[steward] = received.leases[steward].max(Some(until));
                // Slices that came with no lease yet can be written from here on.
                let held = received.slices.iter_mut().filter(|held| held.steward == steward && held.open);
                held.for_each(|held| held.written = held.written.or(Some(now)));
            }
            tag::CHARGE => {
                let (first, count, term) = (field.index()?, field.index()?, field.number()?);
                for slice in first..first + count {
                    if received.slices[slice].term < term {
                        let old = received.slices[slice].clone();
                        let until = received.leases[old.steward].filter(|_| old.open && old.term > 0);
                        received.slices[slice] = Held {
                            term,
                            steward,
                            left: old.left,
                            owned_since: Some(now),
                            until,
                            ..Held::default()
                        };
                        received.assignments += 1;
                        came.extend(Some(slice).filter(|_| old.term > 0));
                    }
                }
            }
            tag::LINE | tag::HELD => {
                let (slice, _, whole) = (field.index()?, field.number()?, field.fraction()? >= 1.0);
                let leased = received.leases[steward].is_some_and(|until| until > now);
                let held = &mut received.slices[slice];
                if held.steward == steward {
                    (held.owned, held.open) = (true, whole);
                    if whole && leased {
                        held.written = held.written.or(Some(now));
                    }
                }
            }
            tag::LEFT => {
                let (first, count) = (field.index()?, field.index()?);
                for held in &mut received.slices[first..first + count] {
                    if held.steward == steward {
                        held.left = Some(now);
                    }
                }
            }
            tag::DROP => {
                let held = &mut received.slices[field.index()?];
                if held.steward == steward {
                    (held.owned, held.open) = (false, false);
                }
            }
            tag::MARK | tag::END => {
                answer.numbers(tag, &[field.number()?]);
                asked = true;
            }
            _ => {}
        }
    }
    received.bare += came.into_iter().filter(|&slice| !received.slices[slice].owned).count() as u64;
    Ok(asked.then(|| answer.finish()))
}

struct Rig {
    dir: tempfile::TempDir,
    store: Store,
    stewards: Vec<Option<Process>>,
    addresses: Rc<RefCell<Vec<Option<std::net::SocketAddr>>>>,
    received: Shared,
    datagrams: Option<Rc<Datagrams>>,
}

impl Rig {
    /// `view`: how the ways are by which stewards keep a view among themselves; none: they keep none.
    async fn start(stewards: usize, slices: usize, view: Option<Way>) -> Result<Rig, Fault> {
        let dir = tempfile::tempdir()?;
        list(dir.path(), SERVERS, &[])?;
        let store = Store::new(1);
        let address = store.listen().await?;
        let mut datagrams = None;
        if let Some(baseline) = view {
            make_key(dir.path())?;
            datagrams = Some(Datagrams::open(&Ways::new(1, baseline), stewards, false).await?);
        }
        for steward in 0..stewards {
            let view =
                datagrams.as_ref().map_or(String::new(), |of| format!("fleet: {}\n", of.settings(steward)));
            std::fs::write(
                dir.path().join(format!("{steward}.yaml")),
                settings(steward, stewards, slices, address) + &view,
            )?;
        }
        let received: Shared = Rc::default();
        let new = || Received {
            slices: vec![Held::default(); slices],
            leases: vec![None; stewards],
            assignments: 0,
            bare: 0,
        };
        received.borrow_mut().resize_with(FORWARDERS, new);
        let mut rig = Rig {
            dir,
            store,
            stewards: (0..stewards).map(|_| None).collect(),
            addresses: Rc::new(RefCell::new(vec![None; stewards])),
            received,
            datagrams,
        };
        for steward in 0..stewards {
            rig.start_steward(steward).await?;
        }
        for number in 0..FORWARDERS {
            for steward in 0..stewards {
                spawn_local(follow(rig.addresses.clone(), steward, number, rig.received.clone()));
            }
        }
        rig.settled(None).await?;
        Ok(rig)
    }

    async fn start_steward(&mut self, steward: usize) -> Result<(), Fault> {
        let args = ["steward", "--log", "warn", "serve"].map(OsString::from).into_iter();
        let args = args.chain([self.dir.path().join(format!("{steward}.yaml")).into_os_string()]).collect();
        let process = Process::start(args, &self.dir.path().join(format!("{steward}.log"))).await?;
        self.addresses.borrow_mut()[steward] = Some(process.address);
        self.stewards[steward] = Some(process);
        Ok(())
    }

    /// Waits until every slice can be written at every forwarder, in even shares, by none but those who are there.
    async fn settled(&self, gone: Option<usize>) -> Result<(), Fault> {
        let there: Vec<usize> = (0..self.stewards.len()).filter(|steward| Some(*steward) != gone).collect();
        wait("slices are open in even shares", || {
            self.received.borrow().iter().all(|received| {
                let mut counts = vec![0; self.stewards.len()];
                let open = received.slices.iter().all(|held| {
                    counts[held.steward] += 1;
                    held.open && held.written.is_some() && there.contains(&held.steward)
                });
                let shares = there.iter().map(|&steward| counts[steward]);
                open && shares.clone().max().unwrap_or(0) - shares.min().unwrap_or(0) <= 1
            })
        })
        .await
    }

    /// Slices by steward, as the first forwarder has them.
    fn shares(&self) -> BTreeMap<usize, Vec<usize>> {
        let mut shares: BTreeMap<usize, Vec<usize>> = BTreeMap::new();
        for (slice, held) in self.received.borrow()[0].slices.iter().enumerate() {
            shares.entry(held.steward).or_default().push(slice);
        }
        shares
    }

    /// From a moment until each of some slices could be written again, and how long it could not, in ms, in order.
    fn gaps(&self, slices: &[usize], from: Instant) -> (Vec<f64>, Vec<f64>) {
        let ms = |span: Duration| span.as_secs_f64() * 1e3;
        let (mut until, mut gaps) = (Vec::new(), Vec::new());
        for received in self.received.borrow().iter() {
            for held in slices.iter().map(|&slice| &received.slices[slice]) {
                if let Some(written) = held.written {
                    until.push(ms(written.saturating_duration_since(from)));
                    gaps.push(ms(held
                        .until
                        .map_or(Duration::ZERO, |last| written.saturating_duration_since(last))));
                }
            }
        }
        until.sort_by(f64::total_cmp);
        gaps.sort_by(f64::total_cmp);
        (until, gaps)
    }
}

fn settings(steward: usize, stewards: usize, slices: usize, store: std::net::SocketAddr) -> String {
    format!(
        "listen: 127.0.0.1:0\nrecord: {steward}.redb\nlist: {{path: servers.yaml}}\nforwarders: {FORWARDERS}\n\
         slices: {slices}\nstewards: {stewards}\nstore: etcd\n\
         share: {{name: steward-{steward}, endpoints: [\"http://{store}\"], member_lease: {LEASE}s}}\n\
         lease: 4s\nsettle: 1s\nhold: 300ms\nunserved_most: 20s\nsilent_after: 3s\n\
         channel: {{lines_per_s: 130000, waiting_lines: 260000, message_cost: 16, messages: 20, messages_within: 10s}}\n\
         reports: {{every: 2s, lines_per_s: 600}}\n\
         cold: {{from: 0.2, for: 18s, fall_multiple: 2.5, fall_for: 2s}}\ndrain: {{grace: 3s}}\nkinds:\n  \
         - {{name: quote, response_target: 3s, client_timeout: 7500ms, credit: 1, repeats: replayable, writes: false}}\n  \
         - {{name: commit, response_target: 3s, client_timeout: 5s, credit: 3, repeats: non-replayable, writes: true}}\n"
    )
}

/// The fewest charges that have to change hands for even shares.
fn fewest(shares: &BTreeMap<usize, Vec<usize>>, before: usize, after: usize, slices: usize) -> usize {
    if after < before {
        // Those of whoever leaves.
        return shares.values().map(Vec::len).min().unwrap_or(0);
    }
    slices / after
}

/// Deaths, leaves and joins: `rounds` of each.
pub async fn take_overs(stewards: &[usize], slices: &[usize], rounds: usize) -> Result<(), Fault> {
    print_line(format_args!(
        "\n{FORWARDERS} forwarders, memberships of {LEASE} s, forwarders' leases of 4 s; ms as median / 99th / worst \
         over slices and forwarders, {rounds} rounds. `bare`: slices that had no owner for reads when they came into another's charge."
    ));
    print_line("\n| stewards | slices | view | at rest: store requests/s | bare | death: to next write | death: without writes | requests in it | join: moves (fewest) | leave: moves (fewest) |");
    print_line("| ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |");
    let runs = stewards.iter().flat_map(|&count| slices.iter().map(move |&slices| (count, slices)));
    for (count, slices) in runs {
        for view in [false, true] {
            let mut rig = Rig::start(count, slices, view.then(Way::default)).await?;
            let (mut until, mut gaps) = (Vec::new(), Vec::new());
            let (mut asked, mut joins, mut leaves) = (0, Vec::new(), Vec::new());
            let (before, began) = (rig.store.requests(), Instant::now());
            tokio::time::sleep(Duration::from_secs(4)).await;
            let rest = (rig.store.requests() - before) as f64 / began.elapsed().as_secs_f64();
            for round in 0..rounds {
                let gone = round % count;
                let own = rig.shares().remove(&gone).unwrap_or_default();
                let before = rig.store.requests();
                rig.addresses.borrow_mut()[gone] = None;
                let from = Instant::now();
                if let Some(mut process) = rig.stewards[gone].take() {
                    process.kill().await;
                }
                rig.settled(Some(gone)).await?;
                asked += rig.store.requests() - before;
                let (mut a, mut b) = rig.gaps(&own, from);
                until.append(&mut a);
                gaps.append(&mut b);
                let moved = |rig: &Rig| rig.received.borrow()[0].assignments;
                let (shares, before) = (rig.shares(), moved(&rig));
                rig.start_steward(gone).await?;
                rig.settled(None).await?;
                joins.push((moved(&rig) - before, fewest(&shares, count - 1, count, slices)));
                let (shares, before) = (rig.shares(), moved(&rig));
                let leaver = (gone + 1) % count;
                rig.addresses.borrow_mut()[leaver] = None;
                if let Some(mut process) = rig.stewards[leaver].take() {
                    process.end().await;
                }
                rig.settled(Some(leaver)).await?;
                leaves.push((moved(&rig) - before, fewest(&shares, count, count - 1, slices)));
                rig.start_steward(leaver).await?;
                rig.settled(None).await?;
            }
            until.sort_by(f64::total_cmp);
            gaps.sort_by(f64::total_cmp);
            let moves = |all: &[(u64, usize)]| {
                all.iter().map(|(moved, fewest)| format!("{moved} ({fewest})")).collect::<Vec<_>>().join(", ")
            };
            let bare: u64 = rig.received.borrow().iter().map(|received| received.bare).sum();
            print_line(format_args!(
                "| {count} | {slices} | {} | {rest:.1} | {bare} | {} | {} | {} | {} | {} |",
                if view { "yes" } else { "no" },
                quantiles(until, 0),
                quantiles(gaps, 0),
                asked / rounds as u64,
                moves(&joins),
                moves(&leaves)
            ));
        }
    }
    Ok(())
}

/// Planned hand-overs without a view, with one and its hints, and with parts of its datagrams lost.
pub async fn planned(stewards: usize, slices: usize, rounds: usize) -> Result<(), Fault> {
    print_line(format_args!(
        "\nA steward of {stewards} ends in order, {slices} slices, {rounds} times: from a forwarder's hearing that a slice is \
         left until it hears who is in charge; ms as median / 99th / worst. Writes go on meanwhile."
    ));
    print_line("\n| view | left to in charge | without writes |");
    print_line("| --- | ---: | ---: |");
    let bad = Way { loss: 0.3, doubled: 0.1, late: Duration::from_millis(25), ..Way::default() };
    let views = [("no", None), ("yes", Some(Way::default())), ("yes, 30% lost, doubled, late", Some(bad))];
    for (name, view) in views {
        let mut rig = Rig::start(stewards, slices, view).await?;
        let (mut waits, mut gaps) = (Vec::new(), Vec::new());
        for round in 0..rounds {
            let leaver = round % stewards;
            let own = rig.shares().remove(&leaver).unwrap_or_default();
            let from = Instant::now();
            if let Some(mut process) = rig.stewards[leaver].take() {
                process.end().await;
            }
            rig.addresses.borrow_mut()[leaver] = None;
            rig.settled(Some(leaver)).await?;
            for received in rig.received.borrow().iter() {
                for held in own.iter().map(|&slice| &received.slices[slice]) {
                    if let (Some(left), Some(owned_since)) = (held.left, held.owned_since) {
                        waits.push(owned_since.saturating_duration_since(left).as_secs_f64() * 1e3);
                    }
                }
            }
            gaps.append(&mut rig.gaps(&own, from).1);
            rig.start_steward(leaver).await?;
            rig.settled(None).await?;
        }
        waits.sort_by(f64::total_cmp);
        gaps.sort_by(f64::total_cmp);
        let lost = rig.datagrams.as_ref().map_or(String::new(), |of| format!(" ({})", of.counts()));
        print_line(format_args!("| {name}{lost} | {} | {} |", quantiles(waits, 0), quantiles(gaps, 0)));
    }
    Ok(())
}

/// All of it.
pub async fn sharing(stewards: &[usize], slices: &[usize], rounds: usize) -> Result<(), Fault> {
    take_overs(stewards, slices, rounds).await?;
    planned(3, 1_700, rounds.max(3)).await
}
