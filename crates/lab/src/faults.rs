//! Injects the faults of a day.

use ravenspar::print_line;
use std::io;
use std::rc::Rc;

use ravenspar_standin::server::{InjectedFaults, Server};
use ravenspar_standin::store::Faults;
use ravenspar_standin::{duration, Event, Time, SECOND};
use tokio::time::sleep;

use crate::day::{Ends, FaultKind, ForwarderPause, How, Span, StewardPause};
use crate::links::{Endpoint, Link};
use crate::stage::Fleet;

/// Injects one fault and returns when it has ended.
pub async fn inject(fleet: &Rc<Fleet>, what: &FaultKind, began: Time) -> io::Result<()> {
    let text = format!("{what:?}");
    print_line(format_args!("{:7.3} s  {text}", (fleet.capture.now() - began) as f64 / SECOND as f64));
    fleet.capture.note(|at| Event::FaultInjected { at, text });
    let wait = |span: Span| sleep(duration(span.0));
    match what {
        FaultKind::Drain { servers, stay } => {
            for server in pick_servers(fleet, *servers) {
                fleet.listing.show(&server, "draining");
                let (fleet, stay) = (fleet.clone(), *stay);
                tokio::task::spawn_local(async move { retire(&fleet, &server, stay).await });
            }
            wait(*stay).await;
        }
        FaultKind::Deploy { servers, at_once, every, stay } => {
            let leavers = pick_servers(fleet, *servers);
            let mut waves = Vec::new();
            for wave in leavers.chunks((*at_once).max(1)) {
                for server in wave {
                    let (fleet, server, stay) = (fleet.clone(), server.clone(), *stay);
                    waves.push(tokio::task::spawn_local(async move {
                        fleet.listing.show(&server, "draining");
                        retire(&fleet, &server, stay).await;
                        start_cold(&fleet).await
                    }));
                }
                wait(*every).await;
            }
            for wave in waves {
                wave.await.map_err(io::Error::other)??;
            }
        }
        FaultKind::Kill { servers, back_after } => {
            kill_and_revive(fleet, pick_servers(fleet, *servers), *back_after).await?
        }
        FaultKind::LoseZone { zone, back_after } => {
            let zones = &fleet.day.servers.zones;
            let name = &zones[zone % zones.len()];
            let all = running_servers(fleet).into_iter().filter(|server| server.zone == *name).collect();
            kill_and_revive(fleet, all, *back_after).await?;
        }
        FaultKind::RestartAll { within } => {
            let all = running_servers(fleet);
            let gap = duration(within.0 / all.len().max(1) as Time);
            for server in all {
                server.crash();
                sleep(gap).await;
                server.restart()?;
                let fleet = fleet.clone();
                tokio::task::spawn_local(async move {
                    sleep(duration(fleet.day.notice.0)).await;
                    fleet.listing.show(&server, "ready");
                });
            }
            wait(fleet.day.notice).await;
        }
        FaultKind::Hang { servers, lasts } => {
            degrade_servers(fleet, *servers, *lasts, |faults| faults.hung = true).await
        }
        FaultKind::Fail { servers, share, kind, silent, lasts } => {
            let names: Vec<&String> = fleet.day.clients.shares.keys().collect();
            let kinds = fleet.day.steward.get("kinds").and_then(|kinds| kinds.as_array());
            let index_of =
                |name: &String| kinds?.iter().position(|kind| kind.get("name").is_some_and(|n| n == name));
            let failing_kind = match kind {
                Some(name) => Some(index_of(name).ok_or_else(|| {
                    io::Error::other(format!("fail: kind {name} is unknown, expected one of {names:?}"))
                })? as u64),
                None => None,
            };
            degrade_servers(fleet, *servers, *lasts, |faults| {
                (faults.failing, faults.failing_kind, faults.silent) = (*share, failing_kind, *silent);
            })
            .await;
        }
        FaultKind::FalseLoad { servers, says, lasts } => {
            degrade_servers(fleet, *servers, *lasts, |faults| faults.reported_util = Some(*says)).await;
        }
        FaultKind::SlowConnects { servers, by, lasts } => {
            degrade_servers(fleet, *servers, *lasts, |faults| faults.slow_connects = by.0).await;
        }
        FaultKind::ListDrops { servers, lasts } => {
            let hidden = pick_servers(fleet, *servers);
            fleet.listing.hide(&hidden, true);
            wait(*lasts).await;
            fleet.listing.hide(&hidden, false);
        }
        FaultKind::ListFlaps { servers, every, lasts } => {
            let hidden = pick_servers(fleet, *servers);
            let end = fleet.capture.now() + lasts.0;
            while fleet.capture.now() < end {
                fleet.listing.hide(&hidden, true);
                wait(*every).await;
                fleet.listing.hide(&hidden, false);
                wait(*every).await;
            }
        }
        FaultKind::ListEmpty { lasts } => {
            fleet.listing.set_empty(true);
            wait(*lasts).await;
            fleet.listing.set_empty(false);
        }
        FaultKind::ListTorn { lasts } => {
            fleet.listing.set_torn(true);
            wait(*lasts).await;
            fleet.listing.set_torn(false);
        }
        FaultKind::CutStreams { forwarders } => {
            let numbers = pick_forwarders(fleet, *forwarders);
            numbers.iter().flat_map(|&number| &fleet.relays[number]).for_each(|streams| streams.close_all());
        }
        FaultKind::Isolate { forwarders, lasts } => {
            let numbers = pick_forwarders(fleet, *forwarders);
            let pairs = pairs(&numbers, &all_stewards(fleet));
            close_links(fleet, &pairs, *lasts).await;
        }
        FaultKind::Deafen { forwarders, lasts } => {
            let numbers = pick_forwarders(fleet, *forwarders);
            let down =
                pairs(&numbers, &all_stewards(fleet)).into_iter().map(|(f, s)| (s, f)).collect::<Vec<_>>();
            cut_links(fleet, &down, *lasts).await;
        }
        FaultKind::KillForwarders { forwarders, back_after } => {
            let numbers = pick_forwarders(fleet, *forwarders);
            for &number in &numbers {
                fleet.kill_forwarder(number).await;
            }
            wait(*back_after).await;
            for number in numbers {
                fleet.start_forwarder(number).await?;
            }
        }
        FaultKind::PauseForwarders { forwarders, lasts } => {
            let numbers = pick_forwarders(fleet, *forwarders);
            for &number in &numbers {
                fleet.signal_forwarder(number, "STOP", "stopped").await;
            }
            wait(*lasts).await;
            for number in numbers {
                fleet.signal_forwarder(number, "CONT", "continued").await;
            }
        }
        FaultKind::RollForwarders { every } => {
            for number in 0..fleet.day.forwarders.count {
                fleet.kill_forwarder(number).await;
                fleet.start_forwarder(number).await?;
                wait(*every).await;
            }
        }
        FaultKind::KillSteward { back_after, which, stewards } => {
            let numbers = pick_stewards(fleet, which, *stewards);
            for &number in &numbers {
                fleet.kill_steward(number).await;
            }
            wait(*back_after).await;
            for number in numbers {
                fleet.start_steward(number).await?;
            }
        }
        FaultKind::PauseSteward { lasts, which, stewards } => {
            let numbers = pick_stewards(fleet, which, *stewards);
            for &number in &numbers {
                fleet.signal_steward(number, "STOP", "stopped").await;
            }
            wait(*lasts).await;
            for number in numbers {
                fleet.signal_steward(number, "CONT", "continued").await;
            }
        }
        FaultKind::CrawlSteward { on, off, lasts, which, stewards } => {
            let numbers = pick_stewards(fleet, which, *stewards);
            let until = fleet.capture.now() + lasts.0;
            while fleet.capture.now() < until {
                for &number in &numbers {
                    fleet.signal_steward(number, "STOP", "stopped").await;
                }
                wait(*off).await;
                for &number in &numbers {
                    fleet.signal_steward(number, "CONT", "continued").await;
                }
                wait(*on).await;
            }
        }
        FaultKind::RollStewards { every } => {
            for number in 0..fleet.stewards.len() {
                let code = fleet.end_steward(number).await;
                if code != Some(0) {
                    return Err(io::Error::other(format!("steward {number} ended with {code:?}")));
                }
                fleet.start_steward(number).await?;
                wait(*every).await;
            }
        }
        FaultKind::VexStewards { every, lasts } => {
            let inject = |fleet: Rc<Fleet>, what: FaultKind, began| -> crate::random_faults::InjectedFault {
                Box::pin(async move { inject(&fleet, &what, began).await })
            };
            crate::random_faults::inject_into_stewards(fleet, *every, *lasts, inject).await?;
        }
        FaultKind::CutStore { lasts, which, stewards } => {
            let numbers = pick_stewards(fleet, which, *stewards);
            let pairs: Vec<_> =
                numbers.into_iter().map(|n| (Endpoint::Steward(n), Endpoint::Store)).collect();
            close_links(fleet, &pairs, *lasts).await;
        }
        FaultKind::CutSteward { lasts, which, stewards } => {
            let pairs = pairs(&all_forwarders(fleet), &pick_stewards(fleet, which, *stewards));
            close_links(fleet, &pairs, *lasts).await;
        }
        FaultKind::OneStewardOnly { forwarders, lasts } => {
            let numbers = pick_forwarders(fleet, *forwarders);
            let count = fleet.stewards.len();
            let mut all = Vec::new();
            for number in numbers {
                let reachable = fleet.rng.borrow_mut().usize(0..count);
                let unreachable: Vec<usize> = (0..count).filter(|&steward| steward != reachable).collect();
                all.extend(pairs(&[number], &unreachable));
            }
            close_links(fleet, &all, *lasts).await;
        }
        FaultKind::Way { from, to, how, lasts } => {
            let ends =
                |all: &[Ends]| all.iter().flat_map(|ends| ends_of(fleet, *ends)).collect::<Vec<Endpoint>>();
            let (from, to) = (ends(from), ends(to));
            let links: Vec<(Endpoint, Endpoint)> =
                from.iter().flat_map(|&a| to.iter().map(move |&b| (a, b))).filter(|(a, b)| a != b).collect();
            fleet.links.change(links.iter().copied(), |link| apply_conditions(link, how));
            wait(*lasts).await;
            for (from, to) in links {
                let baseline = fleet.links.baseline(from, to);
                fleet.links.change([(from, to)], |link| restore_conditions(link, how, &baseline));
            }
        }
        FaultKind::HoldSteward { steward, lasts } => {
            let down = pairs(&all_forwarders(fleet), &[*steward])
                .into_iter()
                .map(|(f, s)| (s, f))
                .collect::<Vec<_>>();
            cut_links(fleet, &down, *lasts).await;
        }
        FaultKind::StoreAway { lasts } => {
            set_store(fleet, Faults { away: true, ..Faults::default() });
            wait(*lasts).await;
            set_store(fleet, Faults::default());
        }
        FaultKind::StoreSlow { by, lasts } => {
            set_store(fleet, Faults { slow: duration(by.0), ..Faults::default() });
            wait(*lasts).await;
            set_store(fleet, Faults::default());
        }
        FaultKind::LoseMember => {
            if let Some(store) = &fleet.store {
                let leases = store.leases();
                if let Some(&lease) = fleet.rng.borrow_mut().choice(&leases) {
                    store.lose_lease(lease);
                }
            }
        }
        FaultKind::Grow { servers } => {
            for _ in 0..*servers {
                start_cold(fleet).await?;
            }
        }
        FaultKind::Overload { times, lasts } => {
            fleet.clients.rate_multiplier.set(*times);
            wait(*lasts).await;
            fleet.clients.rate_multiplier.set(1.0);
        }
    }
    Ok(())
}

/// Continues a forwarder that stops itself, once its pause is over.
pub async fn continue_forwarder(fleet: Rc<Fleet>, pause: ForwarderPause) {
    loop {
        sleep(std::time::Duration::from_millis(20)).await;
        let stopped = match fleet.forwarders[pause.forwarder].lock().await.as_ref() {
            Some(process) => process.is_stopped(),
            None => false,
        };
        if stopped {
            fleet.capture.note(|at| Event::Forwarder {
                at,
                number: pause.forwarder as u64,
                state: "stopped between pick and send".to_owned(),
            });
            sleep(duration(pause.lasts.0)).await;
            fleet.signal_forwarder(pause.forwarder, "CONT", "continued").await;
            return;
        }
    }
}

/// Continues a steward that stops itself, once its pause is over.
pub async fn continue_steward(fleet: Rc<Fleet>, pause: StewardPause) {
    loop {
        sleep(std::time::Duration::from_millis(20)).await;
        let slot = fleet.stewards[pause.steward].lock().await;
        let stopped = slot.as_ref().filter(|process| process.is_stopped()).and_then(|process| process.id());
        drop(slot);
        if let Some(id) = stopped {
            let text = format!("steward {} stands still at {}", pause.steward, pause.at);
            print_line(&text);
            fleet.capture.note(|at| Event::FaultInjected { at, text });
            fleet.record_steward_state(pause.steward, "stopped");
            sleep(duration(pause.lasts.0)).await;
            // Signalled by its id: if it is being shut down by now, it is no longer in its slot.
            crate::processes::send_signal(id, "CONT").await;
            fleet.record_steward_state(pause.steward, "continued");
            return;
        }
    }
}

/// Returns the servers that are up.
fn running_servers(fleet: &Fleet) -> Vec<Rc<Server>> {
    fleet.servers.borrow().iter().filter(|server| server.is_up()).cloned().collect()
}

/// Picks servers that are up, at random from the day's seed.
fn pick_servers(fleet: &Fleet, count: usize) -> Vec<Rc<Server>> {
    let mut all = running_servers(fleet);
    fleet.rng.borrow_mut().shuffle(&mut all);
    all.truncate(count);
    all
}

/// Replaces the faults of the store, if there is one.
fn set_store(fleet: &Fleet, faults: Faults) {
    fleet.store.iter().for_each(|store| store.set_faults(faults.clone()));
}

fn all_stewards(fleet: &Fleet) -> Vec<usize> {
    (0..fleet.stewards.len()).collect()
}

fn all_forwarders(fleet: &Fleet) -> Vec<usize> {
    (0..fleet.day.forwarders.count).collect()
}

/// All pairs of a forwarder and a steward.
fn pairs(forwarders: &[usize], stewards: &[usize]) -> Vec<(Endpoint, Endpoint)> {
    let pair = |f: usize| stewards.iter().map(move |&s| (Endpoint::Forwarder(f), Endpoint::Steward(s)));
    forwarders.iter().flat_map(|&f| pair(f)).collect()
}

/// Expands the endpoints named in a day file.
fn ends_of(fleet: &Fleet, ends: Ends) -> Vec<Endpoint> {
    match ends {
        Ends::Store => vec![Endpoint::Store],
        Ends::Stewards(Some(n)) => vec![Endpoint::Steward(n)],
        Ends::Forwarders(Some(n)) => vec![Endpoint::Forwarder(n)],
        Ends::Stewards(None) => all_stewards(fleet).into_iter().map(Endpoint::Steward).collect(),
        Ends::Forwarders(None) => all_forwarders(fleet).into_iter().map(Endpoint::Forwarder).collect(),
    }
}

/// Closes links in both directions for a time. Where faults overlap, the last to end reopens them.
async fn close_links(fleet: &Fleet, pairs: &[(Endpoint, Endpoint)], lasts: Span) {
    fleet.links.change_both_directions(pairs.iter().copied(), |link| link.closed += 1);
    sleep(duration(lasts.0)).await;
    fleet.links.change_both_directions(pairs.iter().copied(), |link| link.closed -= 1);
}

/// Holds back what crosses links in one direction for a time.
async fn cut_links(fleet: &Fleet, links: &[(Endpoint, Endpoint)], lasts: Span) {
    fleet.links.change(links.iter().copied(), |link| link.cut += 1);
    sleep(duration(lasts.0)).await;
    fleet.links.change(links.iter().copied(), |link| link.cut -= 1);
}

/// Applies conditions to a link. Cuts and closes of several faults add up; other conditions replace earlier ones.
fn apply_conditions(link: &mut Link, how: &How) {
    link.cut += usize::from(how.cut);
    link.closed += usize::from(how.closed);
    if how.lost > 0.0 {
        link.loss = how.lost;
    }
    if how.doubled > 0.0 {
        link.doubled = how.doubled;
    }
    if how.late.0 > 0 {
        link.late = duration(how.late.0);
    }
    link.bytes_per_s = how.bytes_per_s.or(link.bytes_per_s);
}

/// Undoes [`apply_conditions`]. Where faults overlap, the first to end restores loss, duplicates, delay and bandwidth.
fn restore_conditions(link: &mut Link, how: &How, baseline: &Link) {
    link.cut -= usize::from(how.cut);
    link.closed -= usize::from(how.closed);
    if how.lost > 0.0 {
        link.loss = baseline.loss;
    }
    if how.doubled > 0.0 {
        link.doubled = baseline.doubled;
    }
    if how.late.0 > 0 {
        link.late = baseline.late;
    }
    link.bytes_per_s = link.bytes_per_s.filter(|_| how.bytes_per_s.is_none());
}

/// Returns the stewards named, or else picks some at random from the day's seed.
fn pick_stewards(fleet: &Fleet, which: &[usize], count: usize) -> Vec<usize> {
    if !which.is_empty() {
        return which.iter().copied().filter(|&number| number < fleet.stewards.len()).collect();
    }
    let mut all: Vec<usize> = (0..fleet.stewards.len()).collect();
    fleet.rng.borrow_mut().shuffle(&mut all);
    all.truncate(count);
    all
}

/// Picks forwarders at random from the day's seed.
fn pick_forwarders(fleet: &Fleet, count: usize) -> Vec<usize> {
    let mut all: Vec<usize> = (0..fleet.day.forwarders.count).collect();
    fleet.rng.borrow_mut().shuffle(&mut all);
    all.truncate(count);
    all
}

/// Stops a server that was listed as draining after its stay, and removes it from the list.
async fn retire(fleet: &Fleet, server: &Rc<Server>, stay: Span) {
    sleep(duration(stay.0)).await;
    server.drain();
    server.crash();
    sleep(duration(fleet.day.notice.0)).await;
    fleet.listing.remove(server);
}

/// Starts another server, cold, and lists it.
async fn start_cold(fleet: &Fleet) -> io::Result<()> {
    let server = fleet.new_server().await?;
    server.start_cold();
    sleep(duration(fleet.day.notice.0)).await;
    fleet.listing.show(&server, "ready");
    Ok(())
}

/// Kills servers and starts them again, cold; the list follows with the day's notice.
async fn kill_and_revive(fleet: &Rc<Fleet>, servers: Vec<Rc<Server>>, back_after: Span) -> io::Result<()> {
    servers.iter().for_each(|server| server.crash());
    let notice = fleet.day.notice;
    let unlisting = {
        let (fleet, servers) = (fleet.clone(), servers.clone());
        tokio::task::spawn_local(async move {
            sleep(duration(notice.0)).await;
            servers.iter().filter(|server| !server.is_up()).for_each(|server| fleet.listing.remove(server));
        })
    };
    sleep(duration(back_after.0)).await;
    for server in &servers {
        server.restart()?;
    }
    sleep(duration(notice.0)).await;
    unlisting.await.map_err(io::Error::other)?;
    servers.iter().filter(|server| server.is_up()).for_each(|server| fleet.listing.show(server, "ready"));
    Ok(())
}

/// Makes servers misbehave for a time.
async fn degrade_servers(fleet: &Fleet, count: usize, lasts: Span, configure: impl Fn(&mut InjectedFaults)) {
    let servers = pick_servers(fleet, count);
    for server in &servers {
        let mut faults = InjectedFaults::default();
        configure(&mut faults);
        server.inject_faults(faults);
    }
    sleep(duration(lasts.0)).await;
    servers.iter().for_each(|server| server.inject_faults(InjectedFaults::default()));
}
