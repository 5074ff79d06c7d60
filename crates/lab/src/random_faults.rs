//! Injects random faults into stewards, drawn from the day's seed.

use std::io;
use std::rc::Rc;

use ravenspar_standin::{duration, Time};
use tokio::time::sleep;

use crate::day::{FaultKind, Span};
use crate::stage::Fleet;

/// A fault being injected; resolves when it has ended.
pub type InjectedFault = std::pin::Pin<Box<dyn std::future::Future<Output = io::Result<()>>>>;

/// Injects faults for `lasts`, on average one in each `every`, each of a random kind and duration. They may overlap, but a
/// steward's process has one at a time.
pub async fn inject_into_stewards(
    fleet: &Rc<Fleet>,
    every: Span,
    lasts: Span,
    inject: impl Fn(Rc<Fleet>, FaultKind, Time) -> InjectedFault,
) -> io::Result<()> {
    let began = fleet.capture.now();
    let end = began + lasts.0;
    // By steward: the fault that affects its process.
    let mut busy: Vec<Option<tokio::task::JoinHandle<io::Result<()>>>> =
        fleet.stewards.iter().map(|_| None).collect();
    let mut other_faults: Vec<tokio::task::JoinHandle<io::Result<()>>> = Vec::new();
    while fleet.capture.now() < end {
        let (wait, steward, kind, span, forwarders) = {
            let mut rng = fleet.rng.borrow_mut();
            let wait = rng.i64(every.0 / 4..=every.0 * 7 / 4);
            let span = Span(rng.i64(1_000..60_000));
            (wait, rng.usize(0..busy.len()), rng.u32(0..100), span, rng.usize(1..3))
        };
        sleep(duration(wait)).await;
        let which = vec![steward];
        let (of_process, fault) = match kind {
            0..30 => (true, FaultKind::KillSteward { back_after: span, which, stewards: 1 }),
            30..60 => (true, FaultKind::PauseSteward { lasts: span, which, stewards: 1 }),
            60..70 => (false, FaultKind::CutStore { lasts: span, which, stewards: 1 }),
            70..80 => (false, FaultKind::CutSteward { lasts: span, which, stewards: 1 }),
            80..86 => (false, FaultKind::OneStewardOnly { forwarders, lasts: span }),
            86..90 => (false, FaultKind::Isolate { forwarders: 1, lasts: span }),
            90..95 => (false, FaultKind::LoseMember),
            _ => (false, FaultKind::StoreAway { lasts: Span(span.0 / 3) }),
        };
        if of_process {
            if let Some(task) = busy[steward].take() {
                if !task.is_finished() {
                    busy[steward] = Some(task);
                    continue;
                }
                task.await.map_err(io::Error::other)??;
            }
        }
        let task = tokio::task::spawn_local(inject(fleet.clone(), fault, began));
        match of_process {
            true => busy[steward] = Some(task),
            false => other_faults.push(task),
        }
    }
    for task in busy.into_iter().flatten().chain(other_faults) {
        task.await.map_err(io::Error::other)??;
    }
    Ok(())
}
