//! Starts the running steward: alone on its own record, or as one of several that share a store.

use std::net::SocketAddr;
use std::rc::Rc;

use ravenspar_host::{Host, Server};
use ravenspar_record::{Record, ServerRow, SliceRow};
use ravenspar_sharing::counted::Counted;
use ravenspar_steward::{Health, Live, Time};
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::mpsc;

use crate::failpoint::Halt;
use crate::list::{self, File, Notification, Source};
use crate::list_store::Stored;
use crate::process::{Door, Fault};
use crate::recorder::{Batch, Recorder};
use crate::settings::Checked;
use crate::shared::{backward, Joining, Keys, Life, Snapshot};
use crate::state::{Core, End, Shared};
use ravenspar_net::Clock;

fn failed(what: &str) -> impl Fn(std::io::Error) -> Fault + '_ {
    move |error| Fault::Failed(format!("{what}: {error}"))
}

/// Returns when the process is asked to end.
async fn stopped(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

/// Serves until SIGTERM or SIGINT. `clock_off`: by how much its wall clock is off, for tests. `listening` is told the address, and where agents of sites come.
pub async fn serve(
    mut cfg: Checked,
    halt: Option<Halt>,
    clock_off: Time,
    listening: impl FnOnce(SocketAddr, Option<SocketAddr>),
) -> Result<(), Fault> {
    let record = Record::open(&cfg.record).map_err(|fault| Fault::Input(fault.to_string()))?;
    let kept = record.contents().map_err(|fault| Fault::Failed(fault.to_string()))?;
    let seen = record.seen().map_err(|fault| Fault::Failed(fault.to_string()))?;
    let term = match cfg.share {
        None => record.next_term().map_err(|fault| Fault::Failed(fault.to_string()))?,
        Some(_) => 0,
    };
    let at: SocketAddr = cfg.listen.parse().map_err(|_| Fault::Input(format!("listen: {}", cfg.listen)))?;
    let listener = ravenspar_net::listen(at).map_err(failed(&cfg.listen))?;
    let address = listener.local_addr().map_err(failed("listen"))?;
    let (notifications, list) = mpsc::channel(4);
    let look = std::sync::Arc::new(tokio::sync::Notify::new());
    match &cfg.list_store {
        None => File { path: cfg.list.clone(), look: look.clone() }.follow(notifications),
        Some(store) => {
            let followed = record.followed().map_err(|fault| Fault::Failed(fault.to_string()))?;
            let (cluster, revision, retired) = followed.unwrap_or_default();
            let kept = ravenspar_list::Kept { cluster, revision, retired };
            let client = ravenspar_etcd::Client::new(&store.endpoints, store.call_within, cfg.seed);
            let client = std::sync::Arc::new(client.map_err(Fault::Input)?);
            let (prefix, seed) = (store.prefix.clone(), cfg.seed ^ u64::from(std::process::id()));
            Stored { client, prefix, kept, look: look.clone(), seed }.follow(notifications);
        }
    }
    let clock = Clock::new().off_by(clock_off);
    let fleet = match &cfg.fleet {
        None => None,
        Some(with) => {
            let seed = cfg.seed ^ clock.now() as u64 ^ (u64::from(std::process::id()) << 40);
            Some(
                crate::fleet::open(with, clock, seed)
                    .await
                    .map_err(|why| Fault::Input(format!("fleet: {why}")))?,
            )
        }
    };
    let agents = match &cfg.jobs {
        None => None,
        Some(jobs) => {
            let name = format!("jobs.listen: {}", jobs.listen);
            let listener = ravenspar_net::listen(jobs.listen).map_err(failed(&name))?;
            let at = listener.local_addr().map_err(failed(&name))?;
            tracing::info!(%at, "agents of sites come here");
            Some(std::sync::Arc::new(listener))
        }
    };
    let counted = cfg.fleet.as_ref().and(cfg.share.as_ref()).map(|_| {
        let planned = cfg.map.number("balancers").unwrap_or(1.0);
        let live = Live::new(planned);
        cfg.map.set_live("balancers", live.clone());
        (Counted::new(planned as usize), live)
    });
    let mut door = Door {
        clock,
        listener,
        list,
        look,
        kept: Rc::new(Recorder::in_thread(record).map_err(failed("the record's thread"))?),
        terminate: signal(SignalKind::terminate()).map_err(failed("signals"))?,
        interrupt: signal(SignalKind::interrupt()).map_err(failed("signals"))?,
        most: cfg.map.number("family_info.proxy_count").unwrap_or(0.0) as usize * 2 + 16,
        halt,
        agents,
        fleet,
        counted,
        rows: kept.servers,
    };
    let served = match &cfg.share {
        None => {
            let owned =
                |row: &SliceRow| Some((row.slice as usize, row.owner.clone()?, row.weight as f64 / 1e6));
            let lines: Vec<_> = kept.slices.iter().filter_map(owned).collect();
            let last = last_seen(&door.rows);
            let host = Host::new(door.clock.now(), cfg.seed, cfg.map.clone(), term, &last, &lines)
                .map_err(unusable)?;
            tracing::info!(%address, term, slices = lines.len(), servers = last.len(), "serving");
            listening(address, None);
            Core::new(&mut door, host, None).run().await.map(|_| ())
        }
        Some(_) => {
            listening(address, door.agents.as_ref().and_then(|agents| agents.local_addr().ok()));
            share(&cfg, &mut door, address, seen).await
        }
    };
    if let Some(fleet) = &door.fleet {
        fleet.leave().await;
    }
    if let Some(kept) = Rc::into_inner(door.kept) {
        if kept.end().await.is_err() {
            tracing::warn!("the record is not written to its end, and is not waited for any longer; nobody was told of the rest");
        }
    }
    served
}

fn unusable(name: &str) -> Fault {
    Fault::Input(format!("the setting {name} is missing or unusable"))
}

fn last_seen(rows: &[ServerRow]) -> Vec<(Server, Health, Time)> {
    let server =
        |row: &ServerRow| Server { id: row.id.clone(), zone: row.zone.clone(), address: row.address.clone() };
    rows.iter().map(|row| (server(row), list::health(row.health), row.boot)).collect()
}

/// Serves as one of several, in one life after the other: each joins anew, in charge of nothing at first.
async fn share(
    cfg: &Checked,
    door: &mut Door,
    address: SocketAddr,
    mut seen: Option<(u64, u64)>,
) -> Result<(), Fault> {
    let Some(share) = cfg.share.clone() else { return Ok(()) };
    // No two processes, and no two lives, draw the same numbers, whatever their settings say.
    let mut chance =
        fastrand::Rng::with_seed(cfg.seed ^ door.clock.now() as u64 ^ (u64::from(std::process::id()) << 40));
    let client = ravenspar_etcd::Client::new(&share.endpoints, share.call_within, chance.u64(..));
    let store: ravenspar_store::Shared = std::sync::Arc::new(client.map_err(Fault::Input)?);
    let keys = Keys::new(&share.prefix);
    let joining = Joining {
        store,
        keys: keys.clone(),
        clock: door.clock,
        slices: cfg.map.number("family_info.ranges").unwrap_or(0.0) as usize,
        pace: ravenspar_sharing::Fleet::pace(
            cfg.map.time("family_info.update_window_s").unwrap_or(0),
            cfg.map.number("family_info.pushes_allowed").unwrap_or(0.0) as Time,
        ),
        debts: cfg.debts.clone(),
        jobs: cfg.jobs.clone().zip(door.agents.clone()),
        share,
    };
    // The record speaks of starts of servers that the list has shown to others: it is read before any slice is.
    let rows = tokio::select! {
        () = stopped(&mut door.terminate, &mut door.interrupt) => return Ok(()),
        list = list(&mut door.list, &door.kept) => list?,
    };
    door.kept.write(Batch::List(rows.clone()));
    door.rows = rows;
    let mut failures = 0;
    let halt = door.halt;
    loop {
        let number = chance.u64(1..i64::MAX as u64);
        let address = address.to_string();
        let joined = tokio::select! {
            () = stopped(&mut door.terminate, &mut door.interrupt) => return Ok(()),
            joined = join(&joining, number, &address, seen, halt.filter(|_| failures == 0)) => joined,
        };
        let why = match joined {
            Ok((life, snapshot)) => {
                seen = Some((snapshot.cluster, snapshot.revision));
                failures = 0;
                let term = life.term;
                let last = last_seen(&door.rows);
                let host = Host::sharing(door.clock.now(), cfg.seed, cfg.map.clone(), term, &last);
                let host = host.map_err(unusable)?;
                tracing::info!(%address, life = %format_args!("{number:016x}"), term, servers = last.len(), "a member");
                let mut core = Core::new(door, host, Some(Shared::new(life, seen)));
                let end = core.run().await?;
                seen = core.shared.as_ref().map_or(seen, |shared| shared.seen);
                let shared = core.shared.take();
                let leaving = shared.as_ref().is_some_and(|shared| shared.life.fleet.is_leaving());
                drop(core);
                if let Some((cluster, revision)) = seen {
                    door.kept.write(Batch::Seen(cluster, revision));
                }
                if let Some(shared) = shared {
                    // Nothing goes out any more: others need not wait for the lease. A store that is away is not waited for.
                    let _ = tokio::time::timeout(joining.share.call_within, shared.life.end()).await;
                }
                match end {
                    End::Stopped => return Ok(()),
                    // The signal was heard in this life: one that joined anew would never end.
                    End::Over(why) if leaving => {
                        tracing::warn!(%why, "the life is over before all slices were given away");
                        return Ok(());
                    }
                    End::Over(why) => why,
                }
            }
            Err(Refused::Backward(why)) => return Err(Fault::Failed(why)),
            Err(Refused::Not(why)) => why,
        };
        failures += 1;
        tracing::warn!(%why, failures, "not a member");
        // Spread, so that stewards which were cut off together don't come back together; 4 s at most.
        let most = (250u64 << failures.min(4)).min(4_000);
        let wait = std::time::Duration::from_millis(chance.u64(most / 4..=most));
        tokio::select! {
            () = stopped(&mut door.terminate, &mut door.interrupt) => return Ok(()),
            () = tokio::time::sleep(wait) => {}
        }
    }
}

/// The first list that can be read.
async fn list(
    notifications: &mut mpsc::Receiver<Notification>,
    kept: &Recorder,
) -> Result<Vec<ServerRow>, Fault> {
    loop {
        match list::next(notifications).await? {
            Notification::Whole(rows) => return Ok(rows),
            Notification::Followed(followed) => kept.write(Batch::Followed(followed)),
            Notification::Failed(why) => {
                tracing::error!(%why, "no slice is taken before the list can be read")
            }
        }
    }
}

enum Refused {
    Not(String),
    /// The store is another, or older than what was seen of it.
    Backward(String),
}

/// Joins if the store is the one that was last seen, and no older.
async fn join(
    joining: &Joining,
    number: u64,
    address: &str,
    seen: Option<(u64, u64)>,
    halt: Option<Halt>,
) -> Result<(Life, Snapshot), Refused> {
    let snapshot = crate::shared::snapshot(&*joining.store, &joining.keys, 0).await;
    let snapshot = snapshot.map_err(|fault| Refused::Not(fault.to_string()))?;
    backward(&snapshot, seen).map_or(Ok(()), |why| Err(Refused::Backward(why)))?;
    let life = Life::join(joining, number, address, halt).await.map_err(Refused::Not)?;
    Ok((life, snapshot))
}
