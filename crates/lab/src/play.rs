//! Plays a day: starts the fleet, waits until every slice is served, then runs the clients and injects the faults.

use std::io;
use std::path::Path;

use ravenspar::print_line;
use ravenspar_standin::{duration, Event};
use tokio::task::spawn_local;

use crate::day::Day;
use crate::processes::SHUTDOWN_TIMEOUT;
use crate::stage::{write_settings, Fleet, LabError};

/// Plays a day in `dir`, and leaves its capture there.
pub async fn play(day: Day, file: &Path, dir: &Path) -> Result<(), LabError> {
    let (checked, rules) = write_settings(&day, file, dir)?;
    print_line(format_args!("day {}: {}", file.display(), day.about));
    print_line(format_args!(
        "seed {}; {} servers, {} forwarders, {} slices",
        day.seed, day.servers.count, day.forwarders.count, rules.slices
    ));
    let fleet = Fleet::start(day, dir, &rules).await?;
    fleet.warm_up(&checked).await?;
    print_line("every slice is served; clients begin");
    fleet.capture.note(|at| Event::Began { at });
    let began = fleet.capture.now();
    let mut injected = Vec::new();
    for fault in fleet.day.faults.clone() {
        let fleet = fleet.clone();
        injected.push(spawn_local(async move {
            tokio::time::sleep(duration(began + fault.at.0 - fleet.capture.now())).await;
            crate::faults::inject(&fleet, &fault.what, began).await
        }));
    }
    if let Some(pause) = fleet.day.forwarders.pause.clone() {
        spawn_local(crate::faults::continue_forwarder(fleet.clone(), pause));
    }
    for pause in fleet.day.pauses.clone() {
        spawn_local(crate::faults::continue_steward(fleet.clone(), pause));
    }
    fleet.clients.send_until(began + fleet.day.length.0).await;
    for task in injected {
        // Faults that outlast the clients are awaited too, so that their effects are judged.
        if let Err(why) = task.await.map_err(io::Error::other).and_then(|result| result) {
            return Err(LabError::Failed(format!("a fault could not be injected: {why}")));
        }
    }
    while fleet.clients.open() > 0 {
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
    let mut codes = Vec::new();
    for number in 0..fleet.stewards.len() {
        codes.push(fleet.end_steward(number).await);
    }
    if let Some(store) = &fleet.store {
        print_line(format_args!("the store was asked {} times", store.requests()));
    }
    fleet.capture.finish()?;
    let errors = codes.iter().enumerate().filter_map(|(number, code)| abnormal_end(number, *code));
    let errors: Vec<String> = errors.collect();
    match errors.is_empty() {
        true => Ok(()),
        false => Err(LabError::Failed(format!("{}, see their logs", errors.join("; ")))),
    }
}

/// Describes how a steward ended, unless it shut down in order.
fn abnormal_end(number: usize, code: Option<i32>) -> Option<String> {
    match code {
        Some(0) => None,
        Some(code) => Some(format!("steward {number} ended with exit code {code}")),
        None => Some(format!(
            "steward {number} died by a signal, or was killed because it had not shut down within {} s",
            SHUTDOWN_TIMEOUT.as_secs()
        )),
    }
}
