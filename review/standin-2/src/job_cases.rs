//! Cases about jobs that stewards hand out to sites.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use ravenspar_standin::store::Store;
use ravenspar_standin::{Time, SECOND};
use tokio::task::spawn_local;

use crate::agent::{self, Site};
use crate::gate::{self, Gate};
use crate::list_cases::CLUSTER;
use crate::stage::{self, free_address, Settings, Stage};
use crate::{Place, Unplayed, Verdict};

/// Settings of a steward with the duty of jobs, with its store at this address and a lease of sites.
fn settings(store: SocketAddr, agents: SocketAddr, lease: &str) -> Settings {
    Settings {
        list: format!(
            "{{path: servers.yaml}}\nstore: etcd\nshare: {{name: steward-1, endpoints: [\"http://{store}\"]}}\n\
             jobs: {{listen: \"{agents}\", lease: {lease}}}"
        ),
        ..Settings::of_list(&[])
    }
}

/// A planned restart with a longer lease of sites, and then a site that reaches no steward.
pub async fn lease(place: &Place) -> Result<Verdict, Unplayed> {
    let mut stage = Stage::new(place, 2, stage::load()).await?;
    let store = Store::new(CLUSTER);
    let at = store.listen().await?;
    let agents = free_address()?;
    stage.write_list(&["ready"; 2])?;
    stage.write_settings(&settings(at, agents, "5s"))?;
    stage.start_steward().await?;
    let mut gate = Gate::start(agents).await?;
    let north = Site::new("site-north", stage.notes());
    let south = Site::new("site-south", stage.notes());
    spawn_local(agent::run(north.clone(), gate.address));
    stage.wait(20).await;
    stage.note("a job is handed in");
    store.put_key("/ravenspar/job/settle-1", r#"{"user": "lender-a", "loans": 200}"#);
    let until = stage.now() + 20 * SECOND;
    while north.borrow().worked.is_empty() {
        if stage.now() > until {
            return Err("the job is not given out".into());
        }
        stage.wait(1).await;
    }
    spawn_local(agent::run(south.clone(), agents));
    stage.wait(20).await;
    if place.trouble {
        stage.write_settings(&settings(at, agents, "20s"))?;
        stage.note("the settings have jobs.lease 20s instead of 5s");
    }
    stage.end_steward().await?;
    stage.wait(3).await;
    stage.start_steward().await?;
    stage.wait(60).await;
    stage.note("site-north reaches no steward from here on");
    gate.down();
    stage.wait(150).await;
    gate.up().await?;
    stage.note("site-north reaches the steward again");
    stage.wait(60).await;
    let (north, south) = (north.borrow(), south.borrow());
    for site in [&north, &south] {
        for (at, job, token) in &site.worked {
            site.notes.borrow_mut().push((*at, format!("{} works on {job} under token {token}", site.name)));
        }
    }
    let Some(first) = south.worked.first().map(|(at, ..)| *at) else {
        stage.write_record()?;
        return Err("the job was not given out again".into());
    };
    let both: Vec<Time> = north.worked.iter().map(|(at, ..)| *at).filter(|at| *at > first).collect();
    let lasted = both.last().map_or(0.0, |last| (last - first) as f64 / SECOND as f64);
    stage.note(format!("both sites worked on the job for {lasted:.1} s"));
    stage.write_record()?;
    Ok(match both.len() {
        0 => Verdict::Held,
        steps => Verdict::Broken(format!(
            "{steps} steps of a job at one site after another had begun it, for {lasted:.1} s"
        )),
    })
}

/// One call to the store is lost, by a connection that is reset: the one that makes a site known.
pub async fn registration(place: &Place) -> Result<Verdict, Unplayed> {
    const JOB: &str = "settle-1";
    let mut stage = Stage::new(place, 2, stage::load()).await?;
    let store = Store::new(CLUSTER);
    let lost = Rc::new(Cell::new(false));
    let at = gate::lose_first_site(store.listen().await?, place.trouble, lost.clone()).await?;
    let agents = free_address()?;
    stage.write_list(&["ready"; 2])?;
    stage.write_settings(&settings(at, agents, "10s"))?;
    stage.start_steward().await?;
    stage.wait(30).await;
    let site = Site::new("site-north", stage.notes());
    spawn_local(agent::run(site.clone(), agents));
    stage.wait(40).await;
    if lost.get() != place.trouble {
        return Err("the call was not lost".into());
    }
    if lost.get() {
        stage.note(
            "one connection to the store was reset, with the call that names the site; all calls pass since",
        );
    }
    stage.note("a job is handed in");
    store.put_key(&format!("/ravenspar/job/{JOB}"), r#"{"user": "lender-a", "loans": 200}"#);
    stage.wait(800).await;
    let site = site.borrow();
    let renewed = site.may_work();
    stage.note(format!("site-north is told that its life is renewed: {renewed}"));
    let line = store.get(format!("/ravenspar/line/{JOB}").as_bytes());
    stage.note(format!(
        "the job's line: {:?}",
        line.map(|(value, _)| String::from_utf8_lossy(&value).into_owned())
    ));
    for (at, job, token) in &site.worked {
        site.notes.borrow_mut().push((*at, format!("{} works on {job} under token {token}", site.name)));
    }
    stage.write_record()?;
    Ok(match (site.worked.is_empty(), renewed) {
        (false, _) => Verdict::Held,
        (true, true) => Verdict::Broken(
            "a job was given to nobody for 80 s, beside an idle site whose life is renewed".into(),
        ),
        (true, false) => return Err("the site has no life".into()),
    })
}
