//! Cases about jobs that stewards hand out to sites.

use ravenspar_standin::store::Store;
use ravenspar_standin::{Time, SECOND};
use tokio::task::spawn_local;

use crate::agent::{self, Site};
use crate::gate::Gate;
use crate::list_cases::CLUSTER;
use crate::stage::{self, free_address, Settings, Stage};
use crate::{Place, Unplayed, Verdict};

/// A planned restart with a longer lease of sites, and then a site that reaches no steward.
pub async fn lease(place: &Place) -> Result<Verdict, Unplayed> {
    let mut stage = Stage::new(place, 2, stage::load()).await?;
    let store = Store::new(CLUSTER);
    let at = store.listen().await?;
    let agents = free_address()?;
    let settings = |lease: &str| Settings {
        list: format!(
            "{{path: servers.yaml}}\nstore: etcd\nshare: {{name: steward-1, endpoints: [\"http://{at}\"]}}\n\
             jobs: {{listen: \"{agents}\", lease: {lease}}}"
        ),
        ..Settings::of_list(&[])
    };
    stage.write_list(&["ready"; 2])?;
    stage.write_settings(&settings("5s"))?;
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
        stage.write_settings(&settings("20s"))?;
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
