//! Runs a steward: alone with its own record, or as one of several that share a store.

use std::net::SocketAddr;
use std::rc::Rc;

use ravenspar_host::{Host, Server};
use ravenspar_record::{Record, ServerRow, SliceRow};
use ravenspar_sharing::steward_count::StewardCount;
use ravenspar_steward::{Health, ListScope, LiveNumber, Time};
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::mpsc;

use crate::failpoint::Failpoint;
use crate::list::{self, ListFile, Notification, Source};
use crate::list_store::EtcdList;
use crate::process::{CommandError, ProcessContext};
use crate::recorder::{RecordUpdate, Recorder};
use crate::settings::ValidatedSettings;
use crate::shared::{history_error, JoinParams, Keys, MemberSession, Snapshot};
use crate::state::{Core, End, Shared};
use ravenspar_net::Clock;

/// Maps an I/O error to a failure that names what failed.
fn io_error(what: &str) -> impl Fn(std::io::Error) -> CommandError + '_ {
    move |error| CommandError::Failed(format!("{what}: {error}"))
}

/// Returns when SIGTERM or SIGINT has arrived.
async fn shutdown_signal(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

/// Serves until SIGTERM or SIGINT. `clock_off` shifts the wall clock, for tests. `listening` is called with the
/// address of the listener for proxies and that for agents of sites.
pub async fn serve(
    mut cfg: ValidatedSettings,
    failpoint: Option<Failpoint>,
    clock_off: Time,
    listening: impl FnOnce(SocketAddr, Option<SocketAddr>),
) -> Result<(), CommandError> {
    let record = Record::open(&cfg.record).map_err(|error| CommandError::InvalidInput(error.to_string()))?;
    let contents = record.contents().map_err(|error| CommandError::Failed(error.to_string()))?;
    let seen = record.store_position().map_err(|error| CommandError::Failed(error.to_string()))?;
    let term = match cfg.share {
        None => record.next_term().map_err(|error| CommandError::Failed(error.to_string()))?,
        Some(_) => 0,
    };
    let at: SocketAddr =
        cfg.listen.parse().map_err(|_| CommandError::InvalidInput(format!("listen: {}", cfg.listen)))?;
    let listener = ravenspar_net::listen(at).map_err(io_error(&cfg.listen))?;
    let address = listener.local_addr().map_err(io_error("listen"))?;
    let (notifications, list) = mpsc::channel(4);
    let refresh_list = std::sync::Arc::new(tokio::sync::Notify::new());
    match &cfg.list_store {
        None => ListFile { path: cfg.list.clone(), refresh: refresh_list.clone() }.follow(notifications),
        Some(store) => {
            let followed = record.list_state().map_err(|error| CommandError::Failed(error.to_string()))?;
            let (cluster, revision, retired) = followed.unwrap_or_default();
            let kept = ravenspar_list::FollowState { cluster, revision, retired };
            let client = ravenspar_etcd::Client::new(&store.endpoints, store.call_within, cfg.seed);
            let client = std::sync::Arc::new(client.map_err(CommandError::InvalidInput)?);
            let (prefix, seed) = (store.prefix.clone(), cfg.seed ^ u64::from(std::process::id()));
            EtcdList { client, prefix, kept, refresh: refresh_list.clone(), seed }.follow(notifications);
        }
    }
    let clock = Clock::new().with_offset(clock_off);
    let fleet = match &cfg.fleet {
        None => None,
        Some(settings) => {
            let seed = cfg.seed ^ clock.now() as u64 ^ (u64::from(std::process::id()) << 40);
            Some(
                crate::fleet::open(settings, clock, seed)
                    .await
                    .map_err(|why| CommandError::InvalidInput(format!("fleet: {why}")))?,
            )
        }
    };
    let agents = match &cfg.jobs {
        None => None,
        Some(jobs) => {
            let name = format!("jobs.listen: {}", jobs.listen);
            let listener = ravenspar_net::listen(jobs.listen).map_err(io_error(&name))?;
            let at = listener.local_addr().map_err(io_error(&name))?;
            tracing::info!(%at, "listening for agents of sites");
            Some(std::sync::Arc::new(listener))
        }
    };
    let steward_count = cfg.fleet.as_ref().and(cfg.share.as_ref()).map(|_| {
        let planned = cfg.map.number("balancers").unwrap_or(1.0);
        let live = LiveNumber::new(planned);
        cfg.map.set_live("balancers", live.clone());
        (StewardCount::new(planned as usize), live)
    });
    let mut process = ProcessContext {
        clock,
        listener,
        list,
        refresh_list,
        embedded: Rc::new(Recorder::in_thread(record).map_err(io_error("the record's thread"))?),
        terminate: signal(SignalKind::terminate()).map_err(io_error("signals"))?,
        interrupt: signal(SignalKind::interrupt()).map_err(io_error("signals"))?,
        max_streams: cfg.map.number("family_info.proxy_count").unwrap_or(0.0) as usize * 2 + 16,
        failpoint,
        agents,
        fleet,
        steward_count,
        last_list: contents.servers,
    };
    let served = match &cfg.share {
        None => {
            let owned =
                |row: &SliceRow| Some((row.slice as usize, row.owner.clone()?, row.weight as f64 / 1e6));
            let lines: Vec<_> = contents.slices.iter().filter_map(owned).collect();
            let last = last_seen(&process.last_list);
            let host = Host::new(process.clock.now(), cfg.seed, cfg.map.clone(), term, &last, &lines)
                .map_err(unusable)?;
            tracing::info!(%address, term, slices = lines.len(), servers = last.len(), "serving");
            listening(address, None);
            Core::new(&mut process, host, None).run().await.map(|_| ())
        }
        Some(_) => {
            listening(address, process.agents.as_ref().and_then(|agents| agents.local_addr().ok()));
            serve_shared(&cfg, &mut process, address, seen).await
        }
    };
    if let Some(fleet) = &process.fleet {
        fleet.leave().await;
    }
    if let Some(recorder) = Rc::into_inner(process.embedded) {
        if recorder.end().await.is_err() {
            tracing::warn!("the last updates of the record are not written yet and are not waited for any longer; nothing was sent that depends on them");
        }
    }
    served
}

fn unusable(name: &str) -> CommandError {
    CommandError::InvalidInput(format!("the setting {name} is missing or unusable"))
}

/// The servers of the last list, as the host takes them.
fn last_seen(rows: &[ServerRow]) -> Vec<(Server, Health, Time)> {
    let server =
        |row: &ServerRow| Server { id: row.id.clone(), zone: row.zone.clone(), address: row.address.clone() };
    rows.iter().map(|row| (server(row), list::health(row.health), row.boot)).collect()
}

/// Serves as one of several stewards. When an incarnation ends, the steward joins again as a new one, which has no slices
/// assigned at first.
async fn serve_shared(
    cfg: &ValidatedSettings,
    process: &mut ProcessContext,
    address: SocketAddr,
    mut seen: Option<(u64, u64)>,
) -> Result<(), CommandError> {
    let Some(share) = cfg.share.clone() else { return Ok(()) };
    // Random numbers differ between processes and between incarnations, even with equal settings.
    let mut rng = fastrand::Rng::with_seed(
        cfg.seed ^ process.clock.now() as u64 ^ (u64::from(std::process::id()) << 40),
    );
    let client = ravenspar_etcd::Client::new(&share.endpoints, share.call_within, rng.u64(..));
    let store: ravenspar_store::SharedStore =
        std::sync::Arc::new(client.map_err(CommandError::InvalidInput)?);
    let keys = Keys::new(&share.prefix);
    let join_params = JoinParams {
        store,
        keys: keys.clone(),
        clock: process.clock,
        slices: cfg.map.number("family_info.ranges").unwrap_or(0.0) as usize,
        hand_over_interval: ravenspar_sharing::Fleet::pace(
            cfg.map.time("family_info.update_window_s").unwrap_or(0),
            cfg.map.number("family_info.pushes_allowed").unwrap_or(0.0) as Time,
        ),
        debts: cfg.debts.clone(),
        jobs: cfg.jobs.clone().zip(process.agents.clone()),
        share,
    };
    // The shared record may refer to server starts that other stewards know from the list: the list is read before any
    // slice is.
    let rows = tokio::select! {
        () = shutdown_signal(&mut process.terminate, &mut process.interrupt) => return Ok(()),
        list = first_list(&mut process.list, &process.embedded) => list?,
    };
    process.embedded.write(RecordUpdate::List(rows.clone()));
    process.last_list = rows;
    let mut failures = 0;
    let failpoint = process.failpoint;
    loop {
        let number = rng.u64(1..i64::MAX as u64);
        let address = address.to_string();
        let joined = tokio::select! {
            () = shutdown_signal(&mut process.terminate, &mut process.interrupt) => return Ok(()),
            joined = join(&join_params, number, &address, seen, failpoint.filter(|_| failures == 0)) => joined,
        };
        let why = match joined {
            Ok((session, snapshot)) => {
                seen = Some((snapshot.cluster, snapshot.revision));
                failures = 0;
                let term = session.term;
                let last = last_seen(&process.last_list);
                // Read from its source before the first incarnation, and sent again only once it changes.
                let scope = ListScope::Complete;
                let now = process.clock.now();
                let host = Host::without_slices(now, cfg.seed, cfg.map.clone(), term, scope, &last);
                let host = host.map_err(unusable)?;
                tracing::info!(%address, life = %format_args!("{number:016x}"), term, servers = last.len(), "a member");
                let mut core = Core::new(process, host, Some(Shared::new(session, seen)));
                let end = core.run().await?;
                seen = core.shared.as_ref().map_or(seen, |shared| shared.seen);
                let shared = core.shared.take();
                let leaving = shared.as_ref().is_some_and(|shared| shared.session.fleet.is_leaving());
                drop(core);
                if let Some((cluster, revision)) = seen {
                    process.embedded.write(RecordUpdate::Seen(cluster, revision));
                }
                if let Some(shared) = shared {
                    // Nothing is sent any more, so that the other stewards need not wait for the lease to expire. A store
                    // that doesn't answer is not waited for.
                    let _ = tokio::time::timeout(join_params.share.call_within, shared.session.end()).await;
                }
                match end {
                    End::Stopped => return Ok(()),
                    // The signal was received in this incarnation: one that joined again would never end.
                    End::MembershipEnded(why) if leaving => {
                        tracing::warn!(%why, "the membership ended before all slices were handed over");
                        return Ok(());
                    }
                    End::MembershipEnded(why) => why,
                }
            }
            Err(JoinError::StoreMismatch(why)) => return Err(CommandError::Failed(why)),
            Err(JoinError::Failed(why)) => why,
        };
        failures += 1;
        tracing::warn!(%why, failures, "not a member");
        // Random back-off of at most 4 s, so that stewards that were cut off together don't rejoin together.
        let most = (250u64 << failures.min(4)).min(4_000);
        let wait = std::time::Duration::from_millis(rng.u64(most / 4..=most));
        tokio::select! {
            () = shutdown_signal(&mut process.terminate, &mut process.interrupt) => return Ok(()),
            () = tokio::time::sleep(wait) => {}
        }
    }
}

/// Waits for the first list that can be read.
async fn first_list(
    notifications: &mut mpsc::Receiver<Notification>,
    recorder: &Recorder,
) -> Result<Vec<ServerRow>, CommandError> {
    loop {
        match list::next(notifications).await? {
            Notification::Complete(rows) => return Ok(rows),
            Notification::FollowState(state) => recorder.write(RecordUpdate::FollowState(state)),
            Notification::Failed(why) => {
                tracing::error!(%why, "the list can't be read, no slice is taken until it can")
            }
        }
    }
}

/// Why a steward could not join.
enum JoinError {
    Failed(String),
    /// The store is another one, or at an older revision than was seen.
    StoreMismatch(String),
}

/// Joins if the store is the one that was last seen, at the same revision or a newer one.
async fn join(
    join_params: &JoinParams,
    number: u64,
    address: &str,
    seen: Option<(u64, u64)>,
    failpoint: Option<Failpoint>,
) -> Result<(MemberSession, Snapshot), JoinError> {
    let snapshot = crate::shared::snapshot(&*join_params.store, &join_params.keys, 0).await;
    let snapshot = snapshot.map_err(|error| JoinError::Failed(error.to_string()))?;
    history_error(&snapshot, seen).map_or(Ok(()), |why| Err(JoinError::StoreMismatch(why)))?;
    let session =
        MemberSession::join(join_params, number, address, failpoint).await.map_err(JoinError::Failed)?;
    Ok((session, snapshot))
}
