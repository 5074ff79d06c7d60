//! Cases in which a steward follows a server list in a store with etcd's API.

use std::cell::RefCell;
use std::rc::Rc;

use ravenspar_standin::store::Store;
use ravenspar_standin::{Clock, SECOND};
use tokio::task::spawn_local;

use crate::gate::Gate;
use crate::observer::{self, Published};
use crate::stage::{self, Settings, Stage, FORWARDERS, GRACE, SLACK, SLICES};
use crate::{Place, Unplayed, Verdict};

/// Before the ids of servers, in the list's store.
const PREFIX: &str = "/ravenspar/servers/";
/// The id of each store.
pub const CLUSTER: u64 = 0x1f2e;

fn key(server: usize) -> String {
    format!("{PREFIX}plan-{server}")
}

/// Starts everything around a steward whose list is at these endpoints, until all slices are served.
async fn begin(stage: &mut Stage, endpoints: &[std::net::SocketAddr]) -> Result<Published, Unplayed> {
    stage.write_settings(&Settings::of_list(endpoints))?;
    stage.start_steward().await?;
    stage.start_forwarders(&[stage.address; FORWARDERS]).await?;
    let published: Published = Rc::new(RefCell::new(Vec::new()));
    spawn_local(observer::follow(stage.address, FORWARDERS as u64, Clock::default(), published.clone()));
    stage.warm_up(SLICES).await?;
    Ok(published)
}

/// Adds the published lines to the record.
fn note_published(stage: &Stage, published: &Published) {
    let notes = stage.notes();
    for (at, slice, server) in published.borrow().iter() {
        let text = match server {
            Some(server) => format!("published: slice {slice} is at {server}"),
            None => format!("published: slice {slice} has no server"),
        };
        notes.borrow_mut().push((*at, text));
    }
}

/// A planned restart of the steward between a server's drain and the end of its key, and a late write of the start that
/// has left.
pub async fn restart(place: &Place) -> Result<Verdict, Unplayed> {
    let mut stage = Stage::new(place, 4, stage::load()).await?;
    let store = Store::new(CLUSTER);
    (0..4).for_each(|server| store.put_key(&key(server), &stage.value(server, "ready")));
    let at = store.listen().await?;
    let published = begin(&mut stage, &[at]).await?;
    stage.note("plan-0 drains");
    store.put_key(&key(0), &stage.value(0, "draining"));
    stage.servers[0].drain();
    stage.wait(90).await;
    if place.trouble {
        stage.end_steward().await?;
    }
    stage.wait(10).await;
    stage.note("plan-0 has ended, and its key is deleted");
    stage.servers[0].crash();
    store.delete_key(&key(0));
    stage.wait(20).await;
    if place.trouble {
        stage.start_steward().await?;
    }
    stage.wait(50).await;
    let late = stage.now();
    stage.note("a late write of the start that has left: plan-0 is ready, with the boot that it had");
    store.put_key(&key(0), &stage.value(0, "ready"));
    stage.wait(20).await;
    stage.note("plan-1 drains, as in any deploy");
    store.put_key(&key(1), &stage.value(1, "draining"));
    stage.servers[1].drain();
    stage.wait(250).await;
    let shown: Vec<u64> = published
        .borrow()
        .iter()
        .filter(|(at, _, server)| *at > late && server.as_deref() == Some("plan-0"))
        .map(|(_, slice, _)| *slice)
        .collect();
    note_published(&stage, &published);
    stage.note(format!("slices published at plan-0, which has left: {shown:?}"));
    stage.write_record()?;
    Ok(match shown.len() {
        0 => Verdict::Held,
        count => Verdict::Broken(format!("{count} lines show a server that has left")),
    })
}

/// The member of the store that the steward follows is away for a while, and the one that is left lags by one write.
pub async fn lag(place: &Place) -> Result<Verdict, Unplayed> {
    let mut stage = Stage::new(place, 5, stage::load()).await?;
    let (first, second) = (Store::new(CLUSTER), Store::new(CLUSTER));
    for store in [&first, &second] {
        (0..4).for_each(|server| store.put_key(&key(server), &stage.value(server, "ready")));
    }
    let mut leader = Gate::start(first.listen().await?).await?;
    let follower = Gate::start(second.listen().await?).await?;
    let published = begin(&mut stage, &[leader.address, follower.address]).await?;
    stage.send_load(75);
    stage.note("plan-4 comes; the second member has not got that yet");
    first.put_key(&key(4), &stage.value(4, "ready"));
    stage.wait(5).await;
    if place.trouble {
        stage.note("the first member is away");
        leader.down();
        stage.wait(180).await;
        leader.up().await?;
        stage.note("the first member is back");
    }
    second.put_key(&key(4), &stage.value(4, "ready"));
    stage.note("the second member has caught up");
    stage.wait(100).await;
    let put = stage.now();
    stage.note("plan-0 drains, at both members");
    for store in [&first, &second] {
        store.put_key(&key(0), &stage.value(0, "draining"));
    }
    stage.wait(300).await;
    // The platform's page: what discovery has to tell counts as told at the latest 6 s later.
    let deadline = put + 6 * SECOND + GRACE + SLACK;
    let late = stage.tries_at(0, deadline, stage.now())?;
    note_published(&stage, &published);
    stage.note(format!(
        "{late} tries reached plan-0 later than {:.1} s after it was listed as draining",
        (deadline - put) as f64 / SECOND as f64
    ));
    stage.write_record()?;
    Ok(match late {
        0 => Verdict::Held,
        _ => Verdict::Broken(format!("{late} tries reached a draining server after the grace")),
    })
}
