//! The cases: each plays one disruption that the pages name, and checks one rule as written.

use std::collections::HashMap;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::discovery::{Agent, Host};
use crate::forwarder;
use crate::list_store::ListStore;
use crate::proxies::{self, Directory, Running};
use crate::steward::{collect, Steward};
use crate::world::{run_events, Shared, Site, World};
use crate::{relay, world};

/// The rule held, was broken, or the case couldn't run.
const HELD: i32 = 0;
const BROKEN: i32 = 1;
const COULD_NOT_RUN: i32 = 2;

pub fn play(name: &str, trouble: bool, record: &str) -> i32 {
    let played = match name {
        "removed" => removed(trouble, record),
        "pieces" => pieces(trouble, record),
        "reordered" => reordered(trouble, record),
        _ => Err(std::io::Error::other("no such case")),
    };
    played.unwrap_or_else(|error| {
        let text = format!("verdict:\nthe case couldn't run: {error}\ncould not run\n");
        eprint!("{text}");
        drop(std::fs::write(record, text));
        COULD_NOT_RUN
    })
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// A free address whose port the system gives to nobody else while the steward is away: below the ephemeral ones.
fn free_port(number: usize) -> std::io::Result<String> {
    let first = (std::process::id() as usize * 7 + number * 4_000) % 8_000;
    let free = (0..8_000).map(|n| format!("127.0.0.1:{}", 20_000 + (first + n) % 8_000));
    let mut free = free.filter(|address| std::net::TcpListener::bind(address).is_ok());
    free.next().ok_or(std::io::Error::other("no free port"))
}

fn pause(seconds: f64) {
    std::thread::sleep(Duration::from_secs_f64(seconds));
}

/// fortaleza-plans, with figures from the ranges of its brief and site file.
fn fortaleza() -> Site {
    Site {
        proxies: 6,
        slices: 50,
        stewards: 1,
        lease_s: 1.5,
        settle_s: 1.22,
        rate: 35_000.0,
        head: 16.0,
        late_s: (0.11, 0.32),
        redial_s: (0.34, 2.0),
        sync_s: (0.2, 0.47),
        grace_s: 3.0,
        messages: 12,
        cycle_s: 0.5,
        reports_late_s: 0.71,
        reqs_per_s: 170.0,
        cold_from: 0.16,
        cold_s: 17.0,
    }
}

fn settings(site: &Site) -> String {
    format!(
        r#"{{"azs":["a"],"balancers":{stewards},"discovery":"pushed","models":["m2"],"locality":"a",
"classes":[{{"name":"quote","aim_s":1.0,"hard_limit_s":3.0,"worth":1.0,"effect":"pure"}},
{{"name":"commit","aim_s":0.8,"hard_limit_s":1.2,"worth":2.0,"effect":"side_effect"}}],
"family_info":{{"admit":"ratio","base_mode":0,"channel_rate":{rate},"conns_least":960,"cycle_s":{cycle},"fails_to_eject":0,
"fixed_cost":{head},"hold_s":0.5,"initial_set":6,"intake_per_s":500,"late_s":0.215,"mutating":[false,true],
"pending_max":{pending},"pick":"lottery","proxy_count":{proxies},"pushes_allowed":{messages},"ranges":{slices},
"settle_s":{settle},"single_writer":true,"transit_max_s":0.54,"unserved_max_s":9.0,"update_window_s":10.0,
"write_lease_s":{lease}}},
"limits":{{"idle_close_s":15.0,"streams_per_conn":32,"probes":false,"may_tell":true}},
"safety":{{"cold_from":{cold_from},"cold_s":{cold_s},"drain_grace_s":{grace},"fall_multiple":2.5,"fall_s":1.5}},"tick_s":0.002}}"#,
        stewards = site.stewards,
        rate = site.rate,
        cycle = site.cycle_s,
        head = site.head,
        pending = site.rate * 2.0,
        proxies = site.proxies,
        messages = site.messages,
        slices = site.slices,
        settle = site.settle_s,
        lease = site.lease_s,
        cold_from = site.cold_from,
        cold_s = site.cold_s,
        grace = site.grace_s,
    )
}

/// A deployment under way.
struct Play {
    world: Shared,
    directory: Directory,
    running: HashMap<String, Running>,
    hosts: HashMap<String, Host>,
    agents: Vec<Agent>,
    relays: Vec<String>,
    stewards: Vec<Steward>,
    record: String,
    folder: PathBuf,
}

impl Play {
    /// Hosts `h0` and on, all long warm; the slices are dealt to them in turn, all in charge of steward 0.
    fn new(site: Site, hosts: usize, record: &str) -> std::io::Result<Play> {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let world = World::new(site);
        let mut play = Play {
            world: world.clone(),
            directory: Arc::new(Mutex::new(HashMap::new())),
            running: HashMap::new(),
            hosts: HashMap::new(),
            agents: Vec::new(),
            relays: Vec::new(),
            stewards: Vec::new(),
            record: record.to_owned(),
            folder,
        };
        for number in 0..world.site.stewards {
            play.agents.push(Agent::start(&world, &format!("n{number}"))?);
            play.relays.push(relay::start(&world, number)?.to_string());
            play.stewards.push(Steward::new(number, free_port(number)?, &play.folder));
        }
        (0..hosts).try_for_each(|n| play.add_host(&format!("h{n}"), 0))?;
        {
            let mut state = world.lock();
            for slice in 0..world.site.slices {
                state.slices[slice].charge = Some(0);
                state.slices[slice].given_at = Some(Instant::now());
                state.slices[slice].line = (hosts > 0).then(|| format!("h{}", slice % hosts.max(1)));
                let line = state.slices[slice].line.clone();
                state.proxies.iter_mut().for_each(|proxy| proxy.held[slice].line = line.clone());
            }
        }
        let events = world.clone();
        std::thread::spawn(move || run_events(events));
        Ok(play)
    }

    fn add_host(&mut self, id: &str, started_ms: u64) -> std::io::Result<()> {
        let running = Running::start()?;
        let host =
            Host { id: id.to_owned(), address: running.address.clone(), lifecycle: "active", started_ms };
        self.directory
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
            .insert(id.to_owned(), running.address.clone());
        self.agents.iter().for_each(|agent| agent.set(&host));
        self.running.insert(id.to_owned(), running);
        self.hosts.insert(id.to_owned(), host);
        Ok(())
    }

    fn list_as(&mut self, id: &str, lifecycle: &'static str) {
        if let Some(host) = self.hosts.get_mut(id) {
            host.lifecycle = lifecycle;
            self.agents.iter().for_each(|agent| agent.set(host));
            self.world.note(format!("the list says: {id} {lifecycle}"));
        }
    }

    fn write_config(&self, number: usize, known: &str) -> std::io::Result<()> {
        let steward = &self.stewards[number];
        let text = format!(
            r#"{{"name":"n{number}","listen":"{}","discovery":"{}","seed":"8c1f30d27a5be96{number}","limits":{{"cores":1.0,"memory_mb":192,"sockets":512}},"relay":{{"address":"{}"}},"known":{known},"settings":{}}}"#,
            steward.listen,
            self.agents[number].address,
            self.relays[number],
            settings(&self.world.site)
        );
        std::fs::write(&steward.config, text)
    }

    fn start_steward(&mut self, number: usize) -> std::io::Result<Instant> {
        let discovery = self.agents[number].address.to_string();
        self.stewards[number].start(&self.world, &discovery)?;
        self.stewards[number].wait_ready(&self.world).ok_or(std::io::Error::other("a steward is not ready"))
    }

    fn start_traffic(&self) {
        for proxy in 0..self.world.site.proxies {
            let (world, directory) = (self.world.clone(), self.directory.clone());
            std::thread::spawn(move || proxies::run(world, proxy, directory));
        }
        for number in 0..self.world.site.stewards {
            let (world, listen) = (self.world.clone(), self.stewards[number].listen.clone());
            std::thread::spawn(move || collect(world, number, listen));
        }
    }

    /// Ends all processes and writes the record; returns the verdict.
    fn finish(mut self, broken: &[String], valid: Result<(), String>) -> std::io::Result<i32> {
        let crashed: Vec<usize> =
            self.stewards.iter_mut().filter_map(|one| one.has_ended().then_some(one.number)).collect();
        self.stewards.iter_mut().for_each(|steward| steward.kill(&self.world));
        let mut state = self.world.lock();
        state.over = true;
        let mut text = state.record.join("\n");
        text += "\n\ntries by second and host, answered/not answered:\n";
        let mut seconds: std::collections::BTreeMap<(u64, String), (u64, u64)> = Default::default();
        for one in &state.tries {
            let entry = seconds.entry((self.world.seconds(one.at) as u64, one.host.clone())).or_default();
            *entry = (entry.0 + u64::from(one.answered), entry.1 + u64::from(!one.answered));
        }
        let mut last = u64::MAX;
        for ((second, host), (answered, not)) in seconds {
            if second != last {
                text += &format!("\n{second:4} s:");
                last = second;
            }
            text += &format!(" {host} {answered}/{not}");
        }
        text += &format!("\n\nrequests that found no server: {}\n", state.refused);
        text += "\nrequests sent: time, proxy, slice, class, host, how it ended:\n";
        for one in &state.tries {
            text += &format!(
                "{:8.3} p{} {} {} {} {}\n",
                self.world.seconds(one.at),
                one.proxy,
                one.slice,
                ["quote", "commit"][one.class],
                one.host,
                if one.answered { "answered" } else { "not answered" }
            );
        }
        text += "\nlog of the stewards:\n";
        for steward in &self.stewards {
            text += &std::fs::read_to_string(&steward.log).unwrap_or_default();
        }
        text += "\nverdict:\n";
        broken.iter().for_each(|line| text += &format!("BROKEN {line}\n"));
        // Another matter than the rule of the case: it can't be judged then.
        let valid = match crashed.first() {
            Some(number) => Err(format!("n{number} has ended by itself")),
            None => valid,
        };
        let verdict = match (&valid, broken.is_empty()) {
            (Err(why), _) => {
                text += &format!("the case couldn't run: {why}\n");
                COULD_NOT_RUN
            }
            (Ok(()), true) => HELD,
            (Ok(()), false) => BROKEN,
        };
        text += ["held\n", "broken\n", "could not run\n"][verdict as usize];
        std::fs::write(&self.record, &text)?;
        let tail: Vec<&str> = text.lines().rev().take_while(|line| *line != "verdict:").collect();
        tail.iter().rev().for_each(|line| println!("{line}"));
        drop(state);
        Ok(verdict)
    }

    /// The drain rule: tries of joined proxies at a host later than the grace after the steward in charge was told that
    /// it leaves or is gone, with the slack of the protocol page.
    fn late_tries(&self, host: &str, steward: usize, from: Instant) -> Vec<String> {
        let grace = Duration::from_secs_f64(self.world.site.grace_s + 0.3);
        let Some(told) = self.agents[steward].told(host, from) else { return Vec::new() };
        let state = self.world.lock();
        let Some(first) = state.links[steward].first_pong else { return Vec::new() };
        let at_least = told.max(first + Duration::from_secs(1));
        let mut late: Vec<&world::Try> = state
            .tries
            .iter()
            .filter(|one| one.host == host && one.charge == Some(steward))
            .filter(|one| {
                let (Some(joined), Some(given)) = (one.joined, one.given) else { return false };
                one.at > at_least.max(joined).max(given) + grace
            })
            .collect();
        late.sort_by_key(|one| one.at);
        let (Some(first), Some(last)) = (late.first(), late.last()) else { return Vec::new() };
        let lost = late.iter().filter(|one| !one.answered).count();
        vec![format!(
            "{} requests ({lost} of them never answered) went to {host} later than {:.1} s after n{steward} was told that it is gone (told at {:.3}, first late one at {:.3}, slice {} of proxy {}; last at {:.3})",
            late.len(),
            grace.as_secs_f64(),
            self.world.seconds(told),
            self.world.seconds(first.at),
            first.slice,
            first.proxy,
            self.world.seconds(last.at),
        )]
    }
}

impl Drop for Play {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// A steward is killed and starts again with a known list that is older than one of the hosts; meanwhile that host has
/// left the list.
fn removed(trouble: bool, record: &str) -> std::io::Result<i32> {
    let mut play = Play::new(fortaleza(), 10, record)?;
    let known = play.agents[0].with(|list| list.body());
    // Host h10 came after the known list was kept, and has been warm for long.
    play.add_host("h10", unix_ms() - 600_000)?;
    for slice in (0..play.world.site.slices).step_by(10) {
        let mut state = play.world.lock();
        let line = Some("h10".to_owned());
        state.slices[slice].line = line.clone();
        state.proxies.iter_mut().for_each(|proxy| proxy.held[slice].line = line.clone());
    }
    play.write_config(0, &known)?;
    play.start_steward(0)?;
    play.start_traffic();
    pause(8.0);
    let from = Instant::now();
    if trouble {
        play.stewards[0].kill(&play.world);
    }
    pause(2.0);
    play.list_as("h10", "left");
    pause(4.0);
    if trouble {
        play.start_steward(0)?;
    }
    // Its process works on for a while, and ends well after the grace.
    pause(6.0);
    play.running["h10"].end();
    play.world.note("the process of h10 ends");
    pause(8.0);
    let broken = play.late_tries("h10", 0, from);
    let told = play.agents[0].told("h10", from).is_some();
    let valid = if told { Ok(()) } else { Err("discovery never wrote the list".to_owned()) };
    play.finish(&broken, valid)
}

/// Discovery's answers are delivered in pieces, each answer whole within 2 s; meanwhile a host drains and ends.
fn pieces(trouble: bool, record: &str) -> std::io::Result<i32> {
    let mut play = Play::new(fortaleza(), 11, record)?;
    let known = play.agents[0].with(|list| list.body());
    play.write_config(0, &known)?;
    play.start_steward(0)?;
    play.start_traffic();
    pause(3.0);
    if trouble {
        play.agents[0].with(|list| list.pieces = Some((200, Duration::from_millis(225))));
        play.world.note("from now on discovery's answers come in pieces of 200 bytes, 225 ms apart");
    }
    pause(15.0);
    let from = Instant::now();
    play.list_as("h10", "leaving");
    pause(10.0);
    play.running["h10"].end();
    play.world.note("h10 has finished what it had, and its process ends");
    pause(6.0);
    let (delivered, cut_off) = play.agents[0].with(|list| (list.delivered, list.cut_off));
    play.world.note(format!("answers delivered whole: {delivered}, cut off by the steward: {cut_off}"));
    if play.agents[0].told("h10", from).is_none() {
        // Told at the latest 6 s later, whether it arrived or not.
        play.agents[0].with(|list| list.told.push(("h10".to_owned(), from + Duration::from_secs(6))));
    }
    let broken = play.late_tries("h10", 0, from);
    play.finish(&broken, Ok(()))
}

/// The settings of a steward of one's own that follows its list in a store, with the figures of the site.
fn own_settings(site: &Site, listen: &str, store: &str) -> String {
    format!(
        r#"listen: {listen}
record: steward.redb
list: {{source: etcd, endpoints: ["http://{store}"]}}
forwarders: {forwarders}
slices: {slices}
lease: {lease}ms
settle: {settle}ms
hold: 500ms
unserved_most: 9s
silent_after: 2s
channel: {{lines_per_s: {rate}, waiting_lines: {waiting}, message_cost: {head}, messages: {messages}, messages_within: 10s}}
reports: {{every: 500ms, lines_per_s: 500}}
cold: {{from: {cold_from}, for: {cold_s}s, fall_multiple: 2.5, fall_for: 1500ms}}
drain: {{grace: {grace}s}}
kinds:
  - {{name: quote, response_target: 1s, client_timeout: 3s, credit: 1, repeats: replayable, writes: false}}
  - {{name: commit, response_target: 800ms, client_timeout: 1200ms, credit: 2, repeats: non-replayable, writes: true}}
"#,
        forwarders = site.proxies,
        slices = site.slices,
        lease = site.lease_s * 1e3,
        settle = site.settle_s * 1e3,
        rate = site.rate,
        waiting = site.rate * 2.0,
        head = site.head,
        messages = site.messages,
        cold_from = site.cold_from,
        cold_s = site.cold_s,
        grace = site.grace_s,
    )
}

/// The list's store is away for a moment; after the reconnect two events arrive out of order, one of them a drain.
fn reordered(trouble: bool, record: &str) -> std::io::Result<i32> {
    let mut play = Play::new(fortaleza(), 0, record)?;
    let store = ListStore::start(&play.world)?;
    let mut hosts = HashMap::new();
    let value = |address: &str, state: &str| {
        Some(format!(r#"{{"zone": "a", "address": "{address}", "state": "{state}", "boot": 100}}"#))
    };
    for n in 0..10 {
        let running = Running::start()?;
        store.set(&format!("h{n}"), value(&running.address, "ready"));
        hosts.insert(n, running);
    }
    let settings = own_settings(&play.world.site, &play.stewards[0].listen, &store.address.to_string());
    std::fs::write(&play.stewards[0].config, settings)?;
    play.stewards[0].start_own(&play.world)?;
    let end = Instant::now() + Duration::from_secs(10);
    while std::net::TcpStream::connect(&play.stewards[0].listen).is_err() {
        if Instant::now() > end {
            return Err(std::io::Error::other("the steward does not listen"));
        }
        pause(0.02);
    }
    for proxy in 0..play.world.site.proxies {
        let (world, listen) = (play.world.clone(), play.stewards[0].listen.clone());
        std::thread::spawn(move || drop(forwarder::run(world, proxy, listen)));
    }
    // Without a record each slice waits a lease and a settling first.
    pause(10.0);
    store.set_away(true);
    play.world.note("the list's store is away");
    pause(1.0);
    let drain = store.set("h9", value(&hosts[&9].address, "draining"));
    let newcomer = Running::start()?;
    store.set("h10", value(&newcomer.address, "ready"));
    store.with(|keys| keys.reorder = trouble);
    store.set_away(false);
    play.world.note("the list's store is back");
    let end = Instant::now() + Duration::from_secs(12);
    let told = loop {
        match store.written(drain) {
            Some(told) => break told,
            None if Instant::now() > end => return Err(std::io::Error::other("the watch did not come back")),
            None => pause(0.02),
        }
    };
    pause(8.0);
    hosts[&9].end();
    play.world.note("h9 has finished what it had, and its process ends");
    pause(4.0);
    store.set("h9", None);
    pause(4.0);
    let grace = Duration::from_secs_f64(play.world.site.grace_s + 0.3);
    let mut broken = Vec::new();
    let mut served = false;
    {
        let state = play.world.lock();
        served |= state.tries.iter().any(|one| one.host == "h9" && one.at < told);
        let late: Vec<_> =
            state.tries.iter().filter(|one| one.host == "h9" && one.at > told + grace).collect();
        if let (Some(first), Some(last)) = (late.first(), late.last()) {
            let lost = late.iter().filter(|one| !one.answered).count();
            broken.push(format!(
                "{} requests ({lost} of them never answered) went to h9 later than {:.1} s after its drain was written to the steward (at {:.3}; the first late one at {:.3}, the last at {:.3})",
                late.len(),
                grace.as_secs_f64(),
                play.world.seconds(told),
                play.world.seconds(first.at),
                play.world.seconds(last.at),
            ));
        }
    }
    let valid = if served { Ok(()) } else { Err("h9 had no slice".to_owned()) };
    play.finish(&broken, valid)
}
