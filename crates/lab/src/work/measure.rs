//! Measures duties and jobs on processes of the program. Prints Markdown.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

use ravenspar::print_line;
use ravenspar_standin::effects::Call;
use ravenspar_standin::{Time, SECOND};
use ravenspar_store::{at, put, FencedWriter};
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::day::{Bounds, Jobs, Trouble, What, Work, WorkDay};
use super::play::{Fleet, PREFIX};
use crate::day::Span;
use crate::measure::quantiles;
use crate::processes::Process;
use crate::stage::Fault;

/// Seconds at rest over which load is counted.
const REST: u64 = 20;

/// Sites, and jobs that each takes, where jobs are counted.
const SITES: usize = 8;
const ROOM: usize = 50;

fn day(stewards: usize, sites: usize, room: usize, jobs: Vec<Jobs>, troubles: Vec<Trouble>) -> WorkDay {
    WorkDay {
        about: String::new(),
        seed: 1,
        work: Work { stewards, sites, room, jobs, ..Work::default() },
        troubles,
        judge: Bounds::default(),
    }
}

fn jobs(count: usize, steps: u64, step: Time) -> Jobs {
    Jobs { count, user: "lender".to_owned(), steps, step: Span(step), ..Jobs::default() }
}

async fn open(day: WorkDay) -> Result<(Rc<Fleet>, tempfile::TempDir), Fault> {
    let dir = tempfile::tempdir()?;
    let (stewards, sites) = (day.work.stewards, day.work.sites);
    let fleet = Fleet::open(day, dir.path()).await?;
    for n in 0..stewards {
        fleet.start_steward(n).await?;
    }
    for n in 0..sites {
        fleet.start_site(n).await?;
    }
    fleet.gets_there().await?;
    Ok((fleet, dir))
}

/// The owner changes by what befalls it; returns from then until another may act by the store, in seconds.
async fn change(fleet: &Rc<Fleet>, way: &str) -> Result<f64, Fault> {
    let key = format!("{PREFIX}duty/jobs");
    let owner = fleet.owner().ok_or_else(|| Fault::Failed("there is no owner".to_owned()))?;
    let who = vec![format!("steward-{owner}")];
    let lasts = Span(8 * SECOND);
    let what = match way {
        "killed" => What::Kill { who, back: Some(lasts) },
        "stopped" => What::Stop { who, lasts },
        "cut from the store" => What::Cut { from: who, to: vec!["store".to_owned()], one_way: false, lasts },
        "cut from all else" => {
            What::Cut { from: who, to: vec!["sites".to_owned()], one_way: false, lasts: Span(14 * SECOND) }
        }
        _ => What::Leave { who, back: Some(Span(SECOND)) },
    };
    let before = fleet.store.get(key.as_bytes()).map(|(life, _)| life);
    let from = fleet.store.now();
    let befalls = spawn_local(fleet.clone().troubles_of(vec![Trouble { at: Span(0), what }]));
    let until = Instant::now() + Duration::from_secs(40);
    let took = loop {
        let claims: Vec<_> = fleet
            .store
            .changes()
            .into_iter()
            .filter(|change| change.key == key && change.at >= from)
            .collect();
        let other = claims.iter().find(|change| {
            change.value.as_ref().is_some_and(|life| Some(life.as_bytes()) != before.as_deref())
        });
        if let Some(other) = other {
            // One that gives it acts until then; one that is cut off from sites alone acts all the time.
            let gave = ["ended in order", "cut from all else"].contains(&way);
            let gone = claims.iter().find(|change| change.value.is_none()).map_or(other.at, |gone| gone.at);
            break if gave { other.at - gone } else { other.at - from };
        }
        if Instant::now() >= until {
            return Err(Fault::Failed(format!("{way}: nobody else became owner")));
        }
        sleep(Duration::from_millis(5)).await;
    };
    befalls.await.map_err(|e| Fault::Failed(e.to_string()))??;
    fleet.gets_there().await?;
    Ok(took as f64 / SECOND as f64)
}

/// A site that holds a job is killed; returns until its job is at work at another, in seconds.
async fn loss(fleet: &Rc<Fleet>, round: usize) -> Result<f64, Fault> {
    let job = format!("probe-{round}");
    let spec = r#"{"user":"lender","steps":60,"step_ms":100}"#;
    fleet.store.put_key(&format!("{PREFIX}job/{job}"), spec);
    let landed = |from: Time, but: Option<&str>| {
        fleet.effects.landings().into_iter().find_map(|landing| match landing.call {
            Call::Open { site, job: of, .. } | Call::Step { site, job: of, .. }
                if of == job && landing.at >= from && Some(site.as_str()) != but =>
            {
                Some((landing.at, site))
            }
            _ => None,
        })
    };
    let until = Instant::now() + Duration::from_secs(40);
    let wait = async |from: Time, but: Option<&str>| loop {
        if let Some(found) = landed(from, but) {
            return Ok(found);
        }
        if Instant::now() >= until {
            return Err(Fault::Failed(format!("{job} is at work nowhere")));
        }
        sleep(Duration::from_millis(5)).await;
    };
    let (_, site) = wait(0, None).await?;
    let from = fleet.store.now();
    let what = What::Kill { who: vec![site.clone()], back: Some(Span(6 * SECOND)) };
    let befalls = spawn_local(fleet.clone().troubles_of(vec![Trouble { at: Span(0), what }]));
    let (at, _) = wait(from, Some(&site)).await?;
    befalls.await.map_err(|e| Fault::Failed(e.to_string()))??;
    fleet.gets_there().await?;
    Ok((at - from) as f64 / SECOND as f64)
}

fn cpu(of: &[Option<Process>]) -> f64 {
    of.iter().flatten().map(Process::cpu).sum()
}

/// Time without an owner by each way of losing it, and from a site's loss to its jobs elsewhere.
pub async fn measure(counts: &[usize], rounds: usize) -> Result<(), Fault> {
    let ways = ["killed", "stopped", "cut from the store", "cut from all else", "ended in order"];
    print_line(format_args!(
        "Memberships and lives of sites of 3 s, {rounds} times each; s as median / 99th / worst.\n\n\
         | stewards | {} | site killed to its job elsewhere |\n| ---: |{} ---: |",
        ways.join(" | "),
        " ---: |".repeat(ways.len())
    ));
    for &count in counts {
        let (fleet, _dir) = open(day(count, 4, 8, Vec::new(), Vec::new())).await?;
        let mut columns = Vec::new();
        for way in ways {
            let mut took = Vec::new();
            for _ in 0..rounds {
                took.push(change(&fleet, way).await?);
            }
            columns.push(quantiles(took, 2));
        }
        let mut took = Vec::new();
        for round in 0..rounds {
            took.push(loss(&fleet, round).await?);
        }
        columns.push(quantiles(took, 2));
        print_line(format_args!("| {count} | {} |", columns.join(" | ")));
    }
    print_line(format_args!(
        "\n{SITES} sites with room for {ROOM}; 2,000 jobs of one step of 1 ms. The floor: compared writes one after the other, each \
         of a job's line.\n\n| stewards | jobs/s | floor, writes/s | bytes/s with the store at rest, a steward | with agents | CPU a steward at rest |\n\
         | ---: | ---: | ---: | ---: | ---: | ---: |"
    ));
    for &count in counts {
        let (fleet, _dir) = open(day(count, SITES, ROOM, vec![jobs(2_000, 1, 10)], Vec::new())).await?;
        sleep(Duration::from_secs(2)).await;
        let crossed = || fleet.crossed.each_ref().map(|count| count.get() as f64);
        let before = (crossed(), cpu(&fleet.stewards.borrow()));
        sleep(Duration::from_secs(REST)).await;
        let after = (crossed(), cpu(&fleet.stewards.borrow()));
        let each = REST as f64 * count as f64;
        let began = Instant::now();
        fleet.clone().hand_in().await;
        while !fleet.all_over() {
            if began.elapsed() > Duration::from_secs(120) {
                return Err(Fault::Failed("the jobs are not over".to_owned()));
            }
            sleep(Duration::from_millis(50)).await;
        }
        let outcomes = format!("{PREFIX}outcome/");
        let changes = fleet.store.changes();
        let ends: BTreeSet<Time> = changes
            .iter()
            .filter(|change| change.key.starts_with(&outcomes))
            .map(|change| change.at)
            .collect();
        let first = changes
            .iter()
            .find(|change| change.key.starts_with(&format!("{PREFIX}line/")))
            .map_or(0, |change| change.at);
        let took = ends.last().map_or(1, |last| last - first) as f64 / SECOND as f64;
        print_line(format_args!(
            "| {count} | {:.0} | {:.0} | {:.0} | {:.0} | {:.2}% |",
            2_000.0 / took,
            floor(&fleet).await?,
            (after.0[0] - before.0[0]) / each,
            (after.0[1] - before.0[1]) / each,
            (after.1 - before.1) / each * 100.0
        ));
    }
    print_line("\n| stewards | jobs at the store | claim to first line, the first owner, s | the next, its owner killed, s |\n| ---: | ---: | ---: | ---: |");
    for jobs in [10_000, 100_000] {
        let [first, next] = many(3, jobs).await?;
        print_line(format_args!("| 3 | {jobs} | {first:.2} | {next:.2} |"));
    }
    Ok(())
}

/// With so many jobs at the store: from the first steward's claim to its first line, and from the next one's, its owner
/// killed. In seconds.
async fn many(stewards: usize, jobs: usize) -> Result<[f64; 2], Fault> {
    let dir = tempfile::tempdir()?;
    let fleet = Fleet::open(day(stewards, SITES, ROOM, Vec::new(), Vec::new()), dir.path()).await?;
    let spec = r#"{"user":"lender","steps":600,"step_ms":1000}"#;
    (0..jobs).for_each(|n| fleet.store.put_key(&format!("{PREFIX}job/job-{n:06}"), spec));
    for m in 0..SITES {
        fleet.start_site(m).await?;
    }
    let mut took = [0.0; 2];
    let mut known = fleet.store.revision();
    for n in 0..stewards {
        fleet.start_steward(n).await?;
    }
    for (round, took) in took.iter_mut().enumerate() {
        if round > 0 {
            // All sites are full by now: a lost one makes room for lines.
            let owner = fleet.owner().ok_or_else(|| Fault::Failed("there is no owner".to_owned()))?;
            let who = vec![format!("steward-{owner}"), "site-0".to_owned()];
            known = fleet.store.revision();
            let what = What::Kill { who, back: None };
            fleet.clone().troubles_of(vec![Trouble { at: Span(0), what }]).await?;
        }
        *took = claim_to_line(&fleet, &mut known).await?;
        sleep(Duration::from_secs(8)).await;
    }
    Ok(took)
}

/// From the next claim of the duty of jobs to the first line after it.
async fn claim_to_line(fleet: &Fleet, known: &mut i64) -> Result<f64, Fault> {
    let (key, lines) = (format!("{PREFIX}duty/jobs"), format!("{PREFIX}line/"));
    let (until, mut claimed) = (Instant::now() + Duration::from_secs(60), None);
    while Instant::now() < until {
        for change in fleet.store.changes_after(*known) {
            *known = change.revision;
            if change.key == key && change.value.is_some() {
                claimed = Some(change.at);
            }
            if let Some(claimed) = claimed.filter(|_| change.key.starts_with(&lines)) {
                return Ok((change.at - claimed) as f64 / SECOND as f64);
            }
        }
        sleep(Duration::from_millis(5)).await;
    }
    Err(Fault::Failed("no line was written".to_owned()))
}

/// Compared writes a second, one after the other, by one hand.
async fn floor(fleet: &Fleet) -> Result<f64, Fault> {
    const WRITES: u32 = 500;
    let failed = |why: String| Fault::Failed(why);
    let address = fleet.store.listen().await?;
    let client = ravenspar_etcd::Client::new(&[format!("http://{address}")], Duration::from_secs(2), 1);
    let store: ravenspar_store::SharedStore = std::sync::Arc::new(client.map_err(failed)?);
    store.grant(77, 60).await.map_err(|fault| failed(fault.to_string()))?;
    let mut hand = FencedWriter::new(store, 77, b"floor/witness".to_vec());
    let (mut seen, began) = (0, Instant::now());
    for _ in 0..WRITES {
        let key = b"floor/line".to_vec();
        let then = vec![put(key.clone(), b"line".to_vec(), 0)];
        seen = hand.commit(vec![at(key, seen)], then).await.map_err(|stop| failed(format!("{stop:?}")))?;
    }
    Ok(f64::from(WRITES) / began.elapsed().as_secs_f64())
}
