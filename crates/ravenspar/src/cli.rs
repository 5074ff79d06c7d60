//! The command line. Exit codes: 0, 1 it failed, 2 bad input.

use std::ffi::OsString;
use std::io::Write as _;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Parser, Subcommand, ValueEnum};
use ravenspar_record::Record;

use crate::failpoint::Halt;
use crate::process::Fault;
use crate::serve::serve;
use crate::{logs, members, print_line, settings, shared};

#[derive(Parser)]
#[command(name = "ravenspar", version, about = "Publishes key ranges to plain proxies")]
struct Cli {
    /// How logs are written.
    #[arg(long, global = true, value_enum, default_value = "text")]
    log_format: LogFormat,
    /// The least level that is logged.
    #[arg(long, global = true, value_name = "LEVEL", default_value = "info")]
    log: String,
    #[command(subcommand)]
    command: Command,
}

#[derive(Clone, Copy, ValueEnum)]
enum LogFormat {
    Text,
    Json,
}

#[derive(Subcommand)]
enum Command {
    /// Runs a steward until SIGTERM; prints `listening on ADDRESS` when it does.
    Serve {
        file: PathBuf,
        /// Die at a point, for tests: as `halt.rs` names them, as recorded:N.
        #[arg(long, hide = true)]
        halt: Option<Halt>,
        /// Stand still at a point, for tests.
        #[arg(long, hide = true, conflicts_with = "halt")]
        pause: Option<Halt>,
        /// Have a wall clock that is off by so many seconds, for tests.
        #[arg(long, hide = true, default_value_t = 0, allow_hyphen_values = true)]
        clock_off: i64,
        /// Leave a part of the view of the fleet out, for tests of what judges it.
        #[arg(long, hide = true)]
        without: Vec<Without>,
    },
    /// Runs a steward on the platform, by the file that the variable RELAY_CONFIG names, until SIGTERM.
    Platform {
        /// The configuration.
        #[arg(long, env = "RELAY_CONFIG", value_name = "FILE")]
        config: PathBuf,
    },
    /// Says whether a settings file can be served by.
    Check { file: PathBuf },
    /// Shows the fleet: by the view of the steward that these settings start, or, where they have no `fleet`, by what the
    /// shared store says, with how many slices each is in charge of.
    Members {
        file: PathBuf,
        #[arg(long)]
        json: bool,
        /// Goes on, and says so each time something has changed.
        #[arg(long)]
        watch: bool,
        /// By the store, whatever the settings have.
        #[arg(long, conflicts_with = "watch")]
        store: bool,
    },
    /// Takes a shared store that is another, or older, than the one last seen: after it was restored from a backup.
    /// Only once every other steward is stopped, and every forwarder's lease is over.
    Accept { file: PathBuf },
    /// The server list in a store.
    #[command(subcommand)]
    List(ListCommand),
    /// Shows the record that a settings file names.
    Record {
        file: PathBuf,
        #[arg(long)]
        json: bool,
    },
}

#[derive(Clone, Copy, Debug, ValueEnum)]
enum Without {
    Observers,
    Suspicion,
    Comparison,
}

#[derive(Subcommand)]
enum ListCommand {
    /// Takes a store that is another, or older, than the one last followed. The steward has to be stopped.
    Accept { file: PathBuf },
}

/// Runs the program with these arguments, the program's name first.
pub fn run(args: impl IntoIterator<Item = OsString>) -> ExitCode {
    let cli = match Cli::try_parse_from(args) {
        Ok(cli) => cli,
        Err(error) => {
            let _ = error.print();
            return ExitCode::from(if error.use_stderr() { 2 } else { 0 });
        }
    };
    let format = if matches!(cli.log_format, LogFormat::Json) { "json" } else { "text" };
    let logs = match logs::start(format, &cli.log) {
        Ok(logs) => logs,
        Err(why) => {
            let _ = writeln!(std::io::stderr(), "{why}");
            return ExitCode::from(2);
        }
    };
    let done = match cli.command {
        Command::Serve { file, halt, pause, clock_off, without } => {
            start(&file, halt.or(pause.map(Halt::that_stands_still)), clock_off, &without)
        }
        Command::Platform { config } => platform(&config),
        Command::Check { file } => check(&file),
        Command::Members { file, json, watch, store } => show_members(&file, json, watch, store),
        Command::Accept { file } => accept(&file),
        Command::List(ListCommand::Accept { file }) => accept_list(&file),
        Command::Record { file, json } => show(&file, json),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(Fault::Input(why)) => {
            logs.write_line(&why);
            ExitCode::from(2)
        }
        Err(Fault::Failed(why)) => {
            logs.write_line(&why);
            ExitCode::FAILURE
        }
    }
}

fn load(file: &Path) -> Result<settings::Checked, Fault> {
    settings::load(file).map_err(|faults| Fault::Input(faults.to_string()))
}

fn runtime() -> Result<tokio::runtime::Runtime, Fault> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.map_err(|e| Fault::Failed(format!("the runtime: {e}")))
}

fn platform(config: &Path) -> Result<(), Fault> {
    use ravenspar_platform_net::Fault as Platform;
    runtime()?.block_on(ravenspar_platform_net::serve(config)).map_err(|fault| match fault {
        Platform::Input(why) => Fault::Input(why),
        Platform::Failed(why) => Fault::Failed(why),
    })
}

fn start(file: &Path, halt: Option<Halt>, clock_off: i64, without: &[Without]) -> Result<(), Fault> {
    let mut cfg = load(file)?;
    if let Some(fleet) = &mut cfg.fleet {
        for part in without {
            match part {
                Without::Observers => fleet.switches.single_observer = true,
                Without::Suspicion => fleet.switches.no_suspicion = true,
                Without::Comparison => fleet.switches.no_comparison = true,
            }
        }
    }
    runtime()?.block_on(serve(cfg, halt, clock_off * ravenspar_steward::SECOND, |address, agents| {
        print_line(format_args!("listening on {address}"));
        agents.into_iter().for_each(|at| print_line(format_args!("agents at {at}")));
    }))
}

fn check(file: &Path) -> Result<(), Fault> {
    load(file)?;
    print_line(format_args!("{}: can be served by", file.display()));
    Ok(())
}

fn show(file: &Path, json: bool) -> Result<(), Fault> {
    let cfg = load(file)?;
    if let Some(share) = &cfg.share {
        return show_shared(&cfg, share, json);
    }
    let record = Record::read(&cfg.record).map_err(|fault| Fault::Input(fault.to_string()))?;
    if json {
        let slices: Vec<_> = record
            .slices
            .iter()
            .map(|row| {
                serde_json::json!({
                    "slice": row.slice, "owner": row.owner, "state": state(&row.owner, row.weight),
                    "mark": row.mark, "term": row.term,
                })
            })
            .collect();
        print_line(serde_json::json!({ "term": record.term, "slices": slices }));
        return Ok(());
    }
    print_line(format_args!(
        "{:>6}  {:<24}  {:<10}  {:>8}  {:>6}",
        "slice", "owner", "state", "mark", "term"
    ));
    for row in &record.slices {
        let owner = row.owner.as_deref().unwrap_or("-");
        let state = state(&row.owner, row.weight);
        print_line(format_args!(
            "{:>6}  {owner:<24}  {state:<10}  {:>8}  {:>6}",
            row.slice, row.mark, row.term
        ));
    }
    Ok(())
}

fn state(owner: &Option<String>, weight: u64) -> &'static str {
    match owner {
        None => "ownerless",
        Some(_) if weight < 1_000_000 => "reads only",
        Some(_) => "owned",
    }
}

/// Asks the shared store, from a runtime of its own.
fn ask<T>(
    share: &settings::Share,
    call: impl AsyncFnOnce(&dyn ravenspar_store::Store, &shared::Keys) -> Result<T, ravenspar_store::Fault>,
) -> Result<T, Fault> {
    runtime()?.block_on(async {
        let client =
            ravenspar_etcd::Client::new(&share.endpoints, share.call_within, u64::from(std::process::id()));
        let client = client.map_err(Fault::Input)?;
        let answer = call(&client, &shared::Keys::new(&share.prefix)).await;
        answer.map_err(|fault| Fault::Failed(format!("the shared store: {fault}")))
    })
}

fn shared_of(cfg: &settings::Checked, file: &Path) -> Result<settings::Share, Fault> {
    cfg.share.clone().ok_or_else(|| Fault::Input(format!("{}: expected store: etcd", file.display())))
}

fn show_members(file: &Path, json: bool, watch: bool, store: bool) -> Result<(), Fault> {
    let cfg = load(file)?;
    if let Some(fleet) = cfg.fleet.as_ref().filter(|_| !store) {
        return runtime()?.block_on(members::show(fleet, json, watch)).map_err(Fault::Failed);
    }
    if watch {
        return Err(Fault::Input(format!("{}: --watch: expected settings with a fleet", file.display())));
    }
    let share = shared_of(&cfg, file)?;
    let snapshot = ask(&share, async |store, keys| {
        shared::with_duties(store, keys, shared::snapshot(store, keys, 0).await?).await
    })?;
    let name = |life: u64| {
        let member = snapshot.members.iter().find(|(member, _)| *member == life);
        member.map_or("gone", |(_, member)| &member.name)
    };
    let slices = cfg.map.number("family_info.ranges").unwrap_or(0.0) as usize;
    let count = |life: u64| snapshot.charges.iter().filter(|(_, steward, _)| *steward == life).count();
    let there = |life: u64| snapshot.members.iter().any(|(member, _)| *member == life);
    let orphans =
        slices - snapshot.charges.iter().filter(|(slice, life, _)| *slice < slices && there(*life)).count();
    if json {
        let all: Vec<_> = snapshot
            .members
            .iter()
            .map(|(life, member)| {
                serde_json::json!({
                    "life": format!("{life:016x}"), "name": member.name, "address": member.address,
                    "leaving": member.leaving, "resting": member.resting, "slices": count(*life),
                })
            })
            .collect();
        let cluster = format!("{:x}", snapshot.cluster);
        let duties: Vec<_> = snapshot
            .duties
            .iter()
            .map(|(duty, life, term)| {
                let life_shown = format!("{life:016x}");
                serde_json::json!({ "duty": duty, "owner": name(*life), "life": life_shown, "term": term })
            })
            .collect();
        print_line(serde_json::json!({
            "cluster": cluster, "revision": snapshot.revision, "members": all, "in_charge_of_nobody": orphans,
            "duties": duties, "sites": snapshot.sites,
        }));
        return Ok(());
    }
    print_line(format_args!("{:<16}  {:<20}  {:<21}  {:>6}  state", "life", "name", "address", "slices"));
    for (life, member) in &snapshot.members {
        let state = match (member.leaving, member.resting) {
            (true, _) => "leaving",
            (false, true) => "resting",
            (false, false) => "in",
        };
        let (name, address) = (&member.name, &member.address);
        print_line(format_args!("{life:016x}  {name:<20}  {address:<21}  {:>6}  {state}", count(*life)));
    }
    for (duty, life, term) in &snapshot.duties {
        print_line(format_args!(
            "duty {duty}: {} ({life:016x}), term {term}; {} sites",
            name(*life),
            snapshot.sites
        ));
    }
    print_line(format_args!(
        "in charge of nobody: {orphans} of {slices} slices; cluster {:x}, revision {}",
        snapshot.cluster, snapshot.revision
    ));
    Ok(())
}

fn accept(file: &Path) -> Result<(), Fault> {
    let cfg = load(file)?;
    shared_of(&cfg, file)?;
    let record = Record::open(&cfg.record).map_err(|fault| Fault::Input(fault.to_string()))?;
    record.see(None).map_err(|fault| Fault::Failed(fault.to_string()))?;
    print_line(format_args!("{}: whatever store is there next is taken", cfg.record.display()));
    Ok(())
}

fn accept_list(file: &Path) -> Result<(), Fault> {
    let cfg = load(file)?;
    if cfg.list_store.is_none() {
        return Err(Fault::Input(format!("{}: expected list.source: etcd", file.display())));
    }
    let record = Record::open(&cfg.record).map_err(|fault| Fault::Input(fault.to_string()))?;
    record.unfollow().map_err(|fault| Fault::Failed(fault.to_string()))?;
    print_line(format_args!("{}: whatever list is there next is followed", cfg.record.display()));
    Ok(())
}

/// The record in a shared store, with who is in charge of each slice.
fn show_shared(cfg: &settings::Checked, share: &settings::Share, json: bool) -> Result<(), Fault> {
    let slices = cfg.map.number("family_info.ranges").unwrap_or(0.0) as usize;
    let (snapshot, rows) = ask(share, async |store, keys| {
        let snapshot = shared::snapshot(store, keys, 0).await?;
        Ok((snapshot, shared::record(store, keys, 0, slices.saturating_sub(1)).await?))
    })?;
    let name = |life: u64| {
        let member = snapshot.members.iter().find(|(member, _)| *member == life);
        member.map_or("gone", |(_, member)| &member.name)
    };
    let all = snapshot.charges.iter().map(|&(slice, life, term)| {
        let row = rows.iter().find(|row| row.slice as usize == slice);
        let owner = row.and_then(|row| row.owner.clone());
        let (weight, mark) = row.map_or((0, 0), |row| (row.weight, row.mark));
        (slice, life, term, state(&owner, weight), owner, mark)
    });
    if json {
        let all: Vec<_> = all
            .map(|(slice, life, term, state, owner, mark)| {
                serde_json::json!({
                    "slice": slice, "steward": name(life), "life": format!("{life:016x}"), "term": term,
                    "owner": owner, "state": state, "mark": mark,
                })
            })
            .collect();
        print_line(serde_json::json!({ "revision": snapshot.revision, "slices": all }));
        return Ok(());
    }
    print_line(format_args!(
        "{:>6}  {:<20}  {:>8}  {:<24}  {:<10}  {:>8}",
        "slice", "steward", "term", "owner", "state", "mark"
    ));
    for (slice, life, term, state, owner, mark) in all {
        let owner = owner.as_deref().unwrap_or("-");
        print_line(format_args!(
            "{slice:>6}  {:<20}  {term:>8}  {owner:<24}  {state:<10}  {mark:>8}",
            name(life)
        ));
    }
    Ok(())
}
