//! What can go wrong on a day, piece by piece.

use ravenspar::say;
use std::io;
use std::rc::Rc;

use ravenspar_standin::server::{Ills, Server};
use ravenspar_standin::store::Faults;
use ravenspar_standin::{duration, Event, Time, SECOND};
use tokio::time::sleep;

use crate::day::{Pause, Span, Stops, What};
use crate::play::Fleet;
use crate::relay::Relay;

/// Causes one piece and sees it to its end.
pub async fn cause(fleet: &Rc<Fleet>, what: &What, began: Time) -> io::Result<()> {
    let said = format!("{what:?}");
    say(format_args!("{:7.3} s  {said}", (fleet.capture.now() - began) as f64 / SECOND as f64));
    fleet.capture.note(|at| Event::Trouble { at, text: said });
    let wait = |span: Span| sleep(duration(span.0));
    match what {
        What::Drain { servers, stay } => {
            for server in draw(fleet, *servers) {
                fleet.listing.show(&server, "draining");
                let (fleet, stay) = (fleet.clone(), *stay);
                tokio::task::spawn_local(async move { leave(&fleet, &server, stay).await });
            }
            wait(*stay).await;
        }
        What::Deploy { servers, at_once, every, stay } => {
            let leavers = draw(fleet, *servers);
            let mut waves = Vec::new();
            for wave in leavers.chunks((*at_once).max(1)) {
                for server in wave {
                    let (fleet, server, stay) = (fleet.clone(), server.clone(), *stay);
                    waves.push(tokio::task::spawn_local(async move {
                        fleet.listing.show(&server, "draining");
                        leave(&fleet, &server, stay).await;
                        start_cold(&fleet).await
                    }));
                }
                wait(*every).await;
            }
            for wave in waves {
                wave.await.map_err(io::Error::other)??;
            }
        }
        What::Kill { servers, back_after } => {
            down_and_back(fleet, draw(fleet, *servers), *back_after).await?
        }
        What::LoseZone { zone, back_after } => {
            let zones = &fleet.day.servers.zones;
            let name = &zones[zone % zones.len()];
            let all = up(fleet).into_iter().filter(|server| server.zone == *name).collect();
            down_and_back(fleet, all, *back_after).await?;
        }
        What::RestartAll { within } => {
            let all = up(fleet);
            let gap = duration(within.0 / all.len().max(1) as Time);
            for server in all {
                server.die();
                sleep(gap).await;
                server.revive()?;
                let fleet = fleet.clone();
                tokio::task::spawn_local(async move {
                    sleep(duration(fleet.day.notice.0)).await;
                    fleet.listing.show(&server, "ready");
                });
            }
            wait(fleet.day.notice).await;
        }
        What::Hang { servers, lasts } => ail(fleet, *servers, *lasts, |ills| ills.hung = true).await,
        What::Fail { servers, share, kind, silent, lasts } => {
            let names: Vec<&String> = fleet.day.clients.shares.keys().collect();
            let kinds = fleet.day.steward.get("kinds").and_then(|kinds| kinds.as_array());
            let place =
                |name: &String| kinds?.iter().position(|kind| kind.get("name").is_some_and(|n| n == name));
            let failing_kind = match kind {
                Some(name) => Some(place(name).ok_or_else(|| {
                    io::Error::other(format!("fail: kind {name} is unknown, expected one of {names:?}"))
                })? as u64),
                None => None,
            };
            ail(fleet, *servers, *lasts, |ills| {
                (ills.failing, ills.failing_kind, ills.silent) = (*share, failing_kind, *silent);
            })
            .await;
        }
        What::FalseLoad { servers, says, lasts } => {
            ail(fleet, *servers, *lasts, |ills| ills.says = Some(*says)).await;
        }
        What::SlowConnects { servers, by, lasts } => {
            ail(fleet, *servers, *lasts, |ills| ills.slow_connects = by.0).await;
        }
        What::ListDrops { servers, lasts } => {
            let hidden = draw(fleet, *servers);
            fleet.listing.hide(&hidden, true);
            wait(*lasts).await;
            fleet.listing.hide(&hidden, false);
        }
        What::ListFlaps { servers, every, lasts } => {
            let hidden = draw(fleet, *servers);
            let end = fleet.capture.now() + lasts.0;
            while fleet.capture.now() < end {
                fleet.listing.hide(&hidden, true);
                wait(*every).await;
                fleet.listing.hide(&hidden, false);
                wait(*every).await;
            }
        }
        What::ListEmpty { lasts } => {
            fleet.listing.set_empty(true);
            wait(*lasts).await;
            fleet.listing.set_empty(false);
        }
        What::ListTorn { lasts } => {
            fleet.listing.set_torn(true);
            wait(*lasts).await;
            fleet.listing.set_torn(false);
        }
        What::CutStreams { forwarders } => {
            ways(fleet, &draw_forwarders(fleet, *forwarders)).for_each(|relay| relay.cut());
        }
        What::Isolate { forwarders, lasts } => {
            let numbers = draw_forwarders(fleet, *forwarders);
            ways(fleet, &numbers).for_each(|relay| relay.set_closed(true));
            wait(*lasts).await;
            ways(fleet, &numbers).for_each(|relay| relay.set_closed(false));
        }
        What::Deafen { forwarders, lasts } => {
            let numbers = draw_forwarders(fleet, *forwarders);
            ways(fleet, &numbers).for_each(|relay| relay.set_deaf(true));
            wait(*lasts).await;
            ways(fleet, &numbers).for_each(|relay| relay.set_deaf(false));
        }
        What::KillForwarders { forwarders, back_after } => {
            let numbers = draw_forwarders(fleet, *forwarders);
            for &number in &numbers {
                fleet.kill_forwarder(number).await;
            }
            wait(*back_after).await;
            for number in numbers {
                fleet.start_forwarder(number).await?;
            }
        }
        What::PauseForwarders { forwarders, lasts } => {
            let numbers = draw_forwarders(fleet, *forwarders);
            for &number in &numbers {
                fleet.signal_forwarder(number, "STOP", "stopped").await;
            }
            wait(*lasts).await;
            for number in numbers {
                fleet.signal_forwarder(number, "CONT", "continued").await;
            }
        }
        What::RollForwarders { every } => {
            for number in 0..fleet.day.forwarders.count {
                fleet.kill_forwarder(number).await;
                fleet.start_forwarder(number).await?;
                wait(*every).await;
            }
        }
        What::KillSteward { back_after, which, stewards } => {
            let numbers = draw_stewards(fleet, which, *stewards);
            for &number in &numbers {
                fleet.kill_steward(number).await;
            }
            wait(*back_after).await;
            for number in numbers {
                fleet.start_steward(number).await?;
            }
        }
        What::PauseSteward { lasts, which, stewards } => {
            let numbers = draw_stewards(fleet, which, *stewards);
            for &number in &numbers {
                fleet.signal_steward(number, "STOP", "stopped").await;
            }
            wait(*lasts).await;
            for number in numbers {
                fleet.signal_steward(number, "CONT", "continued").await;
            }
        }
        What::RollStewards { every } => {
            for number in 0..fleet.stewards.len() {
                let code = fleet.end_steward(number).await;
                if code != Some(0) {
                    return Err(io::Error::other(format!("steward {number} ended with {code:?}")));
                }
                fleet.start_steward(number).await?;
                wait(*every).await;
            }
        }
        What::VexStewards { every, lasts } => crate::vex::stewards(fleet, *every, *lasts).await?,
        What::CutStore { lasts, which, stewards } => {
            let numbers = draw_stewards(fleet, which, *stewards);
            let pipes: Vec<_> = numbers.iter().filter_map(|&number| fleet.pipes.get(number)).collect();
            pipes.iter().for_each(|pipe| pipe.set_cut(true));
            wait(*lasts).await;
            pipes.iter().for_each(|pipe| pipe.set_cut(false));
        }
        What::CutSteward { lasts, which, stewards } => {
            let numbers = draw_stewards(fleet, which, *stewards);
            let ways = || numbers.iter().flat_map(|&number| fleet.relays.iter().map(move |own| &own[number]));
            ways().for_each(|relay| relay.set_closed(true));
            wait(*lasts).await;
            ways().for_each(|relay| relay.set_closed(false));
        }
        What::OneStewardOnly { forwarders, lasts } => {
            let numbers = draw_forwarders(fleet, *forwarders);
            let count = fleet.stewards.len();
            let kept: Vec<usize> =
                numbers.iter().map(|_| fleet.chance.borrow_mut().usize(0..count)).collect();
            let others = |at: usize, number: usize| {
                let ways = fleet.relays[number].iter().enumerate();
                ways.filter(|(steward, _)| *steward != kept[at]).map(|(_, relay)| relay).collect::<Vec<_>>()
            };
            let all: Vec<_> =
                numbers.iter().enumerate().flat_map(|(at, &number)| others(at, number)).collect();
            all.iter().for_each(|relay| relay.set_closed(true));
            wait(*lasts).await;
            all.iter().for_each(|relay| relay.set_closed(false));
        }
        What::HoldSteward { steward, lasts } => {
            let ways = || fleet.relays.iter().filter_map(|own| own.get(*steward));
            ways().for_each(|relay| relay.set_deaf(true));
            wait(*lasts).await;
            ways().for_each(|relay| relay.set_deaf(false));
        }
        What::StoreAway { lasts } => {
            set_store(fleet, Faults { away: true, ..Faults::default() });
            wait(*lasts).await;
            set_store(fleet, Faults::default());
        }
        What::StoreSlow { by, lasts } => {
            set_store(fleet, Faults { slow: duration(by.0), ..Faults::default() });
            wait(*lasts).await;
            set_store(fleet, Faults::default());
        }
        What::LoseMember => {
            if let Some(store) = &fleet.store {
                let leases = store.leases();
                if let Some(&lease) = fleet.chance.borrow_mut().choice(&leases) {
                    store.lose_lease(lease);
                }
            }
        }
        What::Grow { servers } => {
            for _ in 0..*servers {
                start_cold(fleet).await?;
            }
        }
        What::Overload { times, lasts } => {
            fleet.clients.times.set(*times);
            wait(*lasts).await;
            fleet.clients.times.set(1.0);
        }
    }
    Ok(())
}

/// Continues a forwarder that stops itself, some time after it has.
pub async fn continue_stopped(fleet: Rc<Fleet>, stops: Stops) {
    loop {
        sleep(std::time::Duration::from_millis(20)).await;
        let stopped = match fleet.forwarders[stops.forwarder].lock().await.as_ref() {
            Some(process) => process.is_stopped(),
            None => false,
        };
        if stopped {
            fleet.capture.note(|at| Event::Forwarder {
                at,
                number: stops.forwarder as u64,
                state: "stopped between pick and send".to_owned(),
            });
            sleep(duration(stops.lasts.0)).await;
            fleet.signal_forwarder(stops.forwarder, "CONT", "continued").await;
            return;
        }
    }
}

/// The same for a steward.
pub async fn continue_paused(fleet: Rc<Fleet>, pause: Pause) {
    loop {
        sleep(std::time::Duration::from_millis(20)).await;
        let place = fleet.stewards[pause.steward].lock().await;
        if place.as_ref().is_some_and(|process| process.is_stopped()) {
            drop(place);
            let said = format!("steward {} stands still at {}", pause.steward, pause.at);
            say(&said);
            fleet.capture.note(|at| Event::Trouble { at, text: said });
            fleet.note_steward(pause.steward, "stopped");
            sleep(duration(pause.lasts.0)).await;
            fleet.signal_steward(pause.steward, "CONT", "continued").await;
            return;
        }
    }
}

fn up(fleet: &Fleet) -> Vec<Rc<Server>> {
    fleet.servers.borrow().iter().filter(|server| server.is_up()).cloned().collect()
}

/// Some of the servers that are up, drawn from the day's seed.
fn draw(fleet: &Fleet, count: usize) -> Vec<Rc<Server>> {
    let mut all = up(fleet);
    fleet.chance.borrow_mut().shuffle(&mut all);
    all.truncate(count);
    all
}

fn set_store(fleet: &Fleet, faults: Faults) {
    fleet.store.iter().for_each(|store| store.set_faults(faults.clone()));
}

/// All ways of some forwarders to stewards.
fn ways<'a>(fleet: &'a Fleet, numbers: &'a [usize]) -> impl Iterator<Item = &'a Rc<Relay>> {
    numbers.iter().flat_map(|&number| &fleet.relays[number])
}

/// The stewards named, or some that are drawn from the day's seed.
fn draw_stewards(fleet: &Fleet, which: &[usize], count: usize) -> Vec<usize> {
    if !which.is_empty() {
        return which.iter().copied().filter(|&number| number < fleet.stewards.len()).collect();
    }
    let mut all: Vec<usize> = (0..fleet.stewards.len()).collect();
    fleet.chance.borrow_mut().shuffle(&mut all);
    all.truncate(count);
    all
}

fn draw_forwarders(fleet: &Fleet, count: usize) -> Vec<usize> {
    let mut all: Vec<usize> = (0..fleet.day.forwarders.count).collect();
    fleet.chance.borrow_mut().shuffle(&mut all);
    all.truncate(count);
    all
}

/// A server that was listed as draining takes nothing new after its stay, and goes when it has finished.
async fn leave(fleet: &Fleet, server: &Rc<Server>, stay: Span) {
    sleep(duration(stay.0)).await;
    server.drain();
    server.die();
    sleep(duration(fleet.day.notice.0)).await;
    fleet.listing.drop(server);
}

async fn start_cold(fleet: &Fleet) -> io::Result<()> {
    let server = fleet.new_server().await?;
    server.come_up();
    sleep(duration(fleet.day.notice.0)).await;
    fleet.listing.show(&server, "ready");
    Ok(())
}

async fn down_and_back(fleet: &Rc<Fleet>, servers: Vec<Rc<Server>>, back_after: Span) -> io::Result<()> {
    servers.iter().for_each(|server| server.die());
    let notice = fleet.day.notice;
    let told = {
        let (fleet, servers) = (fleet.clone(), servers.clone());
        tokio::task::spawn_local(async move {
            sleep(duration(notice.0)).await;
            servers.iter().filter(|server| !server.is_up()).for_each(|server| fleet.listing.drop(server));
        })
    };
    sleep(duration(back_after.0)).await;
    for server in &servers {
        server.revive()?;
    }
    sleep(duration(notice.0)).await;
    told.await.map_err(io::Error::other)?;
    servers.iter().filter(|server| server.is_up()).for_each(|server| fleet.listing.show(server, "ready"));
    Ok(())
}

async fn ail(fleet: &Fleet, count: usize, lasts: Span, set: impl Fn(&mut Ills)) {
    let servers = draw(fleet, count);
    for server in &servers {
        let mut ills = Ills::default();
        set(&mut ills);
        server.set_ills(ills);
    }
    sleep(duration(lasts.0)).await;
    servers.iter().for_each(|server| server.set_ills(Ills::default()));
}
