//! Measures duties and jobs on real processes of the program and prints Markdown tables.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

use ravenspar::print_line;
use ravenspar_standin::effects::Call;
use ravenspar_standin::{Time, SECOND};
use ravenspar_store::{at, put, FencedWriter};
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::day::{Bounds, FaultKind, Jobs, ScheduledFault, Work, WorkDay};
use super::play::{Fleet, PREFIX};
use crate::day::Span;
use crate::measure::format_quantiles;
use crate::processes::Process;
use crate::stage::LabError;

/// Seconds without jobs over which the idle load is measured.
const IDLE_S: u64 = 20;

/// Number of sites where throughput is measured.
const SITES: usize = 8;
/// Jobs that each of these sites runs at a time.
const SITE_CAPACITY: usize = 50;

fn day(
    stewards: usize,
    sites: usize,
    capacity: usize,
    jobs: Vec<Jobs>,
    faults: Vec<ScheduledFault>,
) -> WorkDay {
    WorkDay {
        about: String::new(),
        seed: 1,
        work: Work { stewards, sites, capacity, jobs, ..Work::default() },
        faults,
        judge: Bounds::default(),
    }
}

fn jobs(count: usize, steps: u64, step: Time) -> Jobs {
    Jobs { count, user: "lender".to_owned(), steps, step: Span(step), ..Jobs::default() }
}

/// Starts a fleet and waits until it is ready.
async fn open(day: WorkDay) -> Result<(Rc<Fleet>, tempfile::TempDir), LabError> {
    let dir = tempfile::tempdir()?;
    let (stewards, sites) = (day.work.stewards, day.work.sites);
    let fleet = Fleet::open(day, dir.path()).await?;
    for n in 0..stewards {
        fleet.start_steward(n).await?;
    }
    for n in 0..sites {
        fleet.start_site(n).await?;
    }
    fleet.wait_until_ready().await?;
    Ok((fleet, dir))
}

/// Makes the leader of the jobs duty fail in the given way. Returns the seconds from then until another steward holds the
/// duty at the store.
async fn leader_change(fleet: &Rc<Fleet>, failure: &str) -> Result<f64, LabError> {
    let key = format!("{PREFIX}duty/jobs");
    let leader = fleet.leader().ok_or_else(|| LabError::Failed("there is no leader".to_owned()))?;
    let who = vec![format!("steward-{leader}")];
    let lasts = Span(8 * SECOND);
    let what = match failure {
        "killed" => FaultKind::Kill { who, back: Some(lasts) },
        "stopped" => FaultKind::Stop { who, lasts },
        "cut from the store" => {
            FaultKind::Cut { from: who, to: vec!["store".to_owned()], one_way: false, lasts }
        }
        "cut from all else" => FaultKind::Cut {
            from: who,
            to: vec!["sites".to_owned()],
            one_way: false,
            lasts: Span(14 * SECOND),
        },
        _ => FaultKind::Leave { who, back: Some(Span(SECOND)) },
    };
    let before = fleet.store.get(key.as_bytes()).map(|(incarnation, _)| incarnation);
    let from = fleet.store.now();
    let injection = spawn_local(fleet.clone().inject_now(vec![ScheduledFault { at: Span(0), what }]));
    let until = Instant::now() + Duration::from_secs(40);
    let took = loop {
        let claims: Vec<_> = fleet
            .store
            .changes()
            .into_iter()
            .filter(|change| change.key == key && change.at >= from)
            .collect();
        let other = claims.iter().find(|change| {
            change.value.as_ref().is_some_and(|incarnation| Some(incarnation.as_bytes()) != before.as_deref())
        });
        if let Some(other) = other {
            // A leader that hands its duty over acts until then, and one that is cut off from the sites alone acts all along.
            let handed_over = ["ended in order", "cut from all else"].contains(&failure);
            let released =
                claims.iter().find(|change| change.value.is_none()).map_or(other.at, |release| release.at);
            break if handed_over { other.at - released } else { other.at - from };
        }
        if Instant::now() >= until {
            return Err(LabError::Failed(format!("{failure}: no other steward became leader")));
        }
        sleep(Duration::from_millis(5)).await;
    };
    injection.await.map_err(|e| LabError::Failed(e.to_string()))??;
    fleet.wait_until_ready().await?;
    Ok(took as f64 / SECOND as f64)
}

/// Kills a site that holds a job. Returns the seconds until another site works on that job.
async fn site_loss(fleet: &Rc<Fleet>, round: usize) -> Result<f64, LabError> {
    let job = format!("probe-{round}");
    let spec = r#"{"user":"lender","steps":60,"step_ms":100}"#;
    fleet.store.put_key(&format!("{PREFIX}job/{job}"), spec);
    let first_call = |from: Time, except: Option<&str>| {
        fleet.effects.landings().into_iter().find_map(|landing| match landing.call {
            Call::Open { site, job: called_job, .. } | Call::Step { site, job: called_job, .. }
                if called_job == job && landing.at >= from && Some(site.as_str()) != except =>
            {
                Some((landing.at, site))
            }
            _ => None,
        })
    };
    let until = Instant::now() + Duration::from_secs(40);
    let wait = async |from: Time, except: Option<&str>| loop {
        if let Some(found) = first_call(from, except) {
            return Ok(found);
        }
        if Instant::now() >= until {
            return Err(LabError::Failed(format!("no site works on {job}")));
        }
        sleep(Duration::from_millis(5)).await;
    };
    let (_, site) = wait(0, None).await?;
    let from = fleet.store.now();
    let what = FaultKind::Kill { who: vec![site.clone()], back: Some(Span(6 * SECOND)) };
    let injection = spawn_local(fleet.clone().inject_now(vec![ScheduledFault { at: Span(0), what }]));
    let (at, _) = wait(from, Some(&site)).await?;
    injection.await.map_err(|e| LabError::Failed(e.to_string()))??;
    fleet.wait_until_ready().await?;
    Ok((at - from) as f64 / SECOND as f64)
}

/// CPU seconds that these processes have used so far.
fn cpu(processes: &[Option<Process>]) -> f64 {
    processes.iter().flatten().map(Process::cpu_seconds).sum()
}

/// Measures, for each number of stewards: the time without a leader by kind of failure, the time from the loss of a site
/// until its job runs elsewhere, the throughput of jobs, and the idle load. Then measures the fail-over with many jobs at
/// the store.
pub async fn measure(counts: &[usize], rounds: usize) -> Result<(), LabError> {
    let failures = ["killed", "stopped", "cut from the store", "cut from all else", "ended in order"];
    print_line(format_args!(
        "Leases of members and sites of 3 s, {rounds} times each; s as median / 99th / worst.\n\n\
         | stewards | {} | site killed to its job elsewhere |\n| ---: |{} ---: |",
        failures.join(" | "),
        " ---: |".repeat(failures.len())
    ));
    for &count in counts {
        let (fleet, _dir) = open(day(count, 4, 8, Vec::new(), Vec::new())).await?;
        let mut columns = Vec::new();
        for failure in failures {
            let mut took = Vec::new();
            for _ in 0..rounds {
                took.push(leader_change(&fleet, failure).await?);
            }
            columns.push(format_quantiles(took, 2));
        }
        let mut took = Vec::new();
        for round in 0..rounds {
            took.push(site_loss(&fleet, round).await?);
        }
        columns.push(format_quantiles(took, 2));
        print_line(format_args!("| {count} | {} |", columns.join(" | ")));
    }
    print_line(format_args!(
        "\n{SITES} sites with capacity for {SITE_CAPACITY} jobs; 2,000 jobs of one step of 1 ms. Sequential: compare-and-swap writes one \
         after the other, each of a job's line.\n\n| stewards | jobs/s | sequential writes/s | idle bytes/s with the store, per steward | with agents | idle CPU per steward |\n\
         | ---: | ---: | ---: | ---: | ---: | ---: |"
    ));
    for &count in counts {
        let (fleet, _dir) =
            open(day(count, SITES, SITE_CAPACITY, vec![jobs(2_000, 1, 10)], Vec::new())).await?;
        sleep(Duration::from_secs(2)).await;
        let bytes_relayed = || fleet.bytes_relayed.each_ref().map(|count| count.get() as f64);
        let before = (bytes_relayed(), cpu(&fleet.stewards.borrow()));
        sleep(Duration::from_secs(IDLE_S)).await;
        let after = (bytes_relayed(), cpu(&fleet.stewards.borrow()));
        let each = IDLE_S as f64 * count as f64;
        let began = Instant::now();
        fleet.clone().submit_jobs().await;
        while !fleet.all_finished() {
            if began.elapsed() > Duration::from_secs(120) {
                return Err(LabError::Failed("the jobs did not finish in time".to_owned()));
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
            sequential_writes_per_s(&fleet).await?,
            (after.0[0] - before.0[0]) / each,
            (after.0[1] - before.0[1]) / each,
            (after.1 - before.1) / each * 100.0
        ));
    }
    print_line("\n| stewards | jobs at the store | claim to first line, the first leader, s | the next, the first one killed, s |\n| ---: | ---: | ---: | ---: |");
    for jobs in [10_000, 100_000] {
        let [first, next] = claim_to_line_times(3, jobs).await?;
        print_line(format_args!("| 3 | {jobs} | {first:.2} | {next:.2} |"));
    }
    Ok(())
}

/// Returns the seconds from a leader's claim to its first line with this many jobs at the store: for the first leader, and
/// for its successor after the first was killed.
async fn claim_to_line_times(stewards: usize, jobs: usize) -> Result<[f64; 2], LabError> {
    let dir = tempfile::tempdir()?;
    let fleet = Fleet::open(day(stewards, SITES, SITE_CAPACITY, Vec::new(), Vec::new()), dir.path()).await?;
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
            // All sites are full by now; the loss of one lets its jobs be assigned again.
            let leader = fleet.leader().ok_or_else(|| LabError::Failed("there is no leader".to_owned()))?;
            let who = vec![format!("steward-{leader}"), "site-0".to_owned()];
            known = fleet.store.revision();
            let what = FaultKind::Kill { who, back: None };
            fleet.clone().inject_now(vec![ScheduledFault { at: Span(0), what }]).await?;
        }
        *took = claim_to_line(&fleet, &mut known).await?;
        sleep(Duration::from_secs(8)).await;
    }
    Ok(took)
}

/// Returns the seconds from the next claim of the jobs duty to the first line written after it. `known` is the last revision
/// that was looked at.
async fn claim_to_line(fleet: &Fleet, known: &mut i64) -> Result<f64, LabError> {
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
    Err(LabError::Failed("no line was written".to_owned()))
}

/// Compare-and-swap writes per second by one writer, one after the other, as a baseline.
async fn sequential_writes_per_s(fleet: &Fleet) -> Result<f64, LabError> {
    const WRITES: u32 = 500;
    let failed = |why: String| LabError::Failed(why);
    let address = fleet.store.listen().await?;
    let client = ravenspar_etcd::Client::new(&[format!("http://{address}")], Duration::from_secs(2), 1);
    let store: ravenspar_store::SharedStore = std::sync::Arc::new(client.map_err(failed)?);
    store.grant(77, 60).await.map_err(|fault| failed(fault.to_string()))?;
    let mut hand = FencedWriter::new(store, 77, b"floor/witness".to_vec());
    let (mut revision, began) = (0, Instant::now());
    for _ in 0..WRITES {
        let key = b"floor/line".to_vec();
        let then = vec![put(key.clone(), b"line".to_vec(), 0)];
        revision =
            hand.commit(vec![at(key, revision)], then).await.map_err(|stop| failed(format!("{stop:?}")))?;
    }
    Ok(f64::from(WRITES) / began.elapsed().as_secs_f64())
}
