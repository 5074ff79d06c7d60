//! Stewards killed, stopped, cut off and revived at random, from the day's seed.

use std::io;
use std::rc::Rc;

use ravenspar_standin::{duration, Time};
use tokio::time::sleep;

use crate::day::{Span, What};
use crate::stage::Fleet;

/// A trouble under way.
pub type Caused = std::pin::Pin<Box<dyn std::future::Future<Output = io::Result<()>>>>;

/// One trouble after the other, each at a random moment and for a random time; several may overlap, but each steward's
/// process has one at a time.
pub async fn stewards(
    fleet: &Rc<Fleet>,
    every: Span,
    lasts: Span,
    cause: impl Fn(Rc<Fleet>, What, Time) -> Caused,
) -> io::Result<()> {
    let began = fleet.capture.now();
    let end = began + lasts.0;
    let mut busy: Vec<Option<tokio::task::JoinHandle<io::Result<()>>>> =
        fleet.stewards.iter().map(|_| None).collect();
    let mut cuts: Vec<tokio::task::JoinHandle<io::Result<()>>> = Vec::new();
    while fleet.capture.now() < end {
        let (wait, number, kind, span, more) = {
            let mut chance = fleet.chance.borrow_mut();
            let wait = chance.i64(every.0 / 4..=every.0 * 7 / 4);
            let span = Span(chance.i64(1_000..60_000));
            (wait, chance.usize(0..busy.len()), chance.u32(0..100), span, chance.usize(1..3))
        };
        sleep(duration(wait)).await;
        let which = vec![number];
        let (process, what) = match kind {
            0..30 => (true, What::KillSteward { back_after: span, which, stewards: 1 }),
            30..60 => (true, What::PauseSteward { lasts: span, which, stewards: 1 }),
            60..70 => (false, What::CutStore { lasts: span, which, stewards: 1 }),
            70..80 => (false, What::CutSteward { lasts: span, which, stewards: 1 }),
            80..86 => (false, What::OneStewardOnly { forwarders: more, lasts: span }),
            86..90 => (false, What::Isolate { forwarders: 1, lasts: span }),
            90..95 => (false, What::LoseMember),
            _ => (false, What::StoreAway { lasts: Span(span.0 / 3) }),
        };
        if process {
            if let Some(task) = busy[number].take() {
                if !task.is_finished() {
                    busy[number] = Some(task);
                    continue;
                }
                task.await.map_err(io::Error::other)??;
            }
        }
        let task = tokio::task::spawn_local(cause(fleet.clone(), what, began));
        match process {
            true => busy[number] = Some(task),
            false => cuts.push(task),
        }
    }
    for task in busy.into_iter().flatten().chain(cuts) {
        task.await.map_err(io::Error::other)??;
    }
    Ok(())
}
