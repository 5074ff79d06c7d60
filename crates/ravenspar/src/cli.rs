//! The command line. Exit codes: 0 success, 1 failure, 2 invalid input.

use std::ffi::OsString;
use std::io::Write as _;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Parser, Subcommand, ValueEnum};
use ravenspar_record::Record;

use crate::failpoint::Failpoint;
use crate::process::CommandError;
use crate::serve::serve;
use crate::{logs, members, print_line, settings, shared};

#[derive(Parser)]
#[command(name = "ravenspar", version, about = "Publishes key ranges to plain proxies")]
struct Cli {
    /// The format of the logs.
    #[arg(long, global = true, value_enum, default_value = "text")]
    log_format: LogFormat,
    /// The lowest level that is logged.
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
    /// Runs a steward until SIGTERM; prints `listening on ADDRESS` once it listens.
    Serve {
        file: PathBuf,
        /// Abort the Nth time that a failpoint is reached, as recorded:N, for tests; `failpoint.rs` lists the points.
        #[arg(long, hide = true)]
        halt: Option<Failpoint>,
        /// Stop the process (SIGSTOP) at a failpoint, for tests.
        #[arg(long, hide = true, conflicts_with = "halt")]
        pause: Option<Failpoint>,
        /// Shift the wall clock by this number of seconds, for tests.
        #[arg(long, hide = true, default_value_t = 0, allow_hyphen_values = true)]
        clock_off: i64,
        /// Disable a part of the view of the fleet, to test that the checks notice.
        #[arg(long, hide = true)]
        without: Vec<Without>,
    },
    /// Runs a steward on the platform until SIGTERM, with the configuration file that RELAY_CONFIG names.
    Platform {
        /// The configuration file.
        #[arg(long, env = "RELAY_CONFIG", value_name = "FILE")]
        config: PathBuf,
    },
    /// Checks a settings file.
    Check { file: PathBuf },
    /// Shows the members of the fleet: from the view of the steward that runs with these settings, or, if they have no
    /// `fleet`, from the shared store, with the number of slices assigned to each.
    Members {
        file: PathBuf,
        #[arg(long)]
        json: bool,
        /// Keeps running, and prints the fleet again after each change.
        #[arg(long)]
        watch: bool,
        /// Reads the shared store even if the settings have a `fleet`.
        #[arg(long, conflicts_with = "watch")]
        store: bool,
    },
    /// Accepts a shared store that is another one, or at an older revision, than was last seen: after a restore from a
    /// backup. Use it only once every other steward is stopped and every forwarder's lease has expired.
    Accept { file: PathBuf },
    /// Commands for a server list in a store.
    #[command(subcommand)]
    List(ListCommand),
    /// Shows the record that a settings file names.
    Record {
        file: PathBuf,
        #[arg(long)]
        json: bool,
    },
}

/// The parts of the view that tests can disable.
#[derive(Clone, Copy, Debug, ValueEnum)]
enum Without {
    Observers,
    Suspicion,
    Comparison,
}

#[derive(Subcommand)]
enum ListCommand {
    /// Accepts a store that is another one, or at an older revision, than was last followed. The steward has to be stopped.
    Accept { file: PathBuf },
}

/// Runs the program with these arguments; the first is the program's name.
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
            start(&file, halt.or(pause.map(Failpoint::pausing)), clock_off, &without)
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
        Err(CommandError::InvalidInput(why)) => {
            logs.write_line(&why);
            ExitCode::from(2)
        }
        Err(CommandError::Failed(why)) => {
            logs.write_line(&why);
            ExitCode::FAILURE
        }
    }
}

fn load(file: &Path) -> Result<settings::ValidatedSettings, CommandError> {
    settings::load(file).map_err(|errors| CommandError::InvalidInput(errors.to_string()))
}

fn runtime() -> Result<tokio::runtime::Runtime, CommandError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.map_err(|e| CommandError::Failed(format!("the runtime: {e}")))
}

fn platform(config: &Path) -> Result<(), CommandError> {
    use ravenspar_platform_net::ServeError as PlatformError;
    runtime()?.block_on(ravenspar_platform_net::serve(config)).map_err(|error| match error {
        PlatformError::InvalidConfig(why) => CommandError::InvalidInput(why),
        PlatformError::Failed(why) => CommandError::Failed(why),
    })
}

fn start(
    file: &Path,
    failpoint: Option<Failpoint>,
    clock_off: i64,
    without: &[Without],
) -> Result<(), CommandError> {
    let mut cfg = load(file)?;
    if let Some(fleet) = &mut cfg.fleet {
        for part in without {
            match part {
                Without::Observers => fleet.toggles.single_observer = true,
                Without::Suspicion => fleet.toggles.no_suspicion = true,
                Without::Comparison => fleet.toggles.no_comparison = true,
            }
        }
    }
    runtime()?.block_on(serve(cfg, failpoint, clock_off * ravenspar_steward::SECOND, |address, agents| {
        print_line(format_args!("listening on {address}"));
        agents.into_iter().for_each(|agents| print_line(format_args!("agents at {agents}")));
    }))
}

fn check(file: &Path) -> Result<(), CommandError> {
    load(file)?;
    print_line(format_args!("{}: can be served by", file.display()));
    Ok(())
}

fn show(file: &Path, json: bool) -> Result<(), CommandError> {
    let cfg = load(file)?;
    if let Some(share) = &cfg.share {
        return show_shared(&cfg, share, json);
    }
    let record = Record::read(&cfg.record).map_err(|error| CommandError::InvalidInput(error.to_string()))?;
    if json {
        let slices: Vec<_> = record
            .slices
            .iter()
            .map(|row| {
                serde_json::json!({
                    "slice": row.slice, "owner": row.owner, "state": slice_state(&row.owner, row.weight),
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
        let state = slice_state(&row.owner, row.weight);
        print_line(format_args!(
            "{:>6}  {owner:<24}  {state:<10}  {:>8}  {:>6}",
            row.slice, row.mark, row.term
        ));
    }
    Ok(())
}

/// The state of a slice, as the tables show it.
fn slice_state(owner: &Option<String>, weight: u64) -> &'static str {
    match owner {
        None => "ownerless",
        Some(_) if weight < 1_000_000 => "reads only",
        Some(_) => "owned",
    }
}

/// Calls the shared store from a new runtime.
fn call_store<T>(
    share: &settings::Share,
    call: impl AsyncFnOnce(&dyn ravenspar_store::Store, &shared::Keys) -> Result<T, ravenspar_store::StoreError>,
) -> Result<T, CommandError> {
    runtime()?.block_on(async {
        let client =
            ravenspar_etcd::Client::new(&share.endpoints, share.call_within, u64::from(std::process::id()));
        let client = client.map_err(CommandError::InvalidInput)?;
        let result = call(&client, &shared::Keys::new(&share.prefix)).await;
        result.map_err(|error| CommandError::Failed(format!("the shared store: {error}")))
    })
}

/// The settings of the shared store, which the command needs.
fn share_settings(cfg: &settings::ValidatedSettings, file: &Path) -> Result<settings::Share, CommandError> {
    cfg.share
        .clone()
        .ok_or_else(|| CommandError::InvalidInput(format!("{}: expected store: etcd", file.display())))
}

fn show_members(file: &Path, json: bool, watch: bool, store: bool) -> Result<(), CommandError> {
    let cfg = load(file)?;
    if let Some(fleet) = cfg.fleet.as_ref().filter(|_| !store) {
        return runtime()?.block_on(members::show(fleet, json, watch)).map_err(CommandError::Failed);
    }
    if watch {
        return Err(CommandError::InvalidInput(format!(
            "{}: --watch: expected settings with a fleet",
            file.display()
        )));
    }
    let share = share_settings(&cfg, file)?;
    let snapshot = call_store(&share, async |store, keys| {
        shared::with_duties(store, keys, shared::snapshot(store, keys, 0).await?).await
    })?;
    let name = |incarnation: u64| {
        let member = snapshot.members.iter().find(|(member, _)| *member == incarnation);
        member.map_or("gone", |(_, member)| &member.name)
    };
    let slices = cfg.map.number("family_info.ranges").unwrap_or(0.0) as usize;
    let slice_count = |incarnation: u64| {
        snapshot.assignments.iter().filter(|(_, steward, _)| *steward == incarnation).count()
    };
    let is_member = |incarnation: u64| snapshot.members.iter().any(|(member, _)| *member == incarnation);
    let unassigned = slices
        - snapshot
            .assignments
            .iter()
            .filter(|(slice, incarnation, _)| *slice < slices && is_member(*incarnation))
            .count();
    if json {
        let all: Vec<_> = snapshot
            .members
            .iter()
            .map(|(incarnation, member)| {
                serde_json::json!({
                    "life": format!("{incarnation:016x}"), "name": member.name, "address": member.address,
                    "leaving": member.leaving, "resting": member.resting, "slices": slice_count(*incarnation),
                })
            })
            .collect();
        let cluster = format!("{:x}", snapshot.cluster);
        let duties: Vec<_> = snapshot
            .duties
            .iter()
            .map(|(duty, leader, term)| {
                let incarnation = format!("{leader:016x}");
                serde_json::json!({ "duty": duty, "owner": name(*leader), "life": incarnation, "term": term })
            })
            .collect();
        print_line(serde_json::json!({
            "cluster": cluster, "revision": snapshot.revision, "members": all, "in_charge_of_nobody": unassigned,
            "duties": duties, "sites": snapshot.sites,
        }));
        return Ok(());
    }
    print_line(format_args!("{:<16}  {:<20}  {:<21}  {:>6}  state", "life", "name", "address", "slices"));
    for (incarnation, member) in &snapshot.members {
        let state = match (member.leaving, member.resting) {
            (true, _) => "leaving",
            (false, true) => "resting",
            (false, false) => "in",
        };
        let (name, address) = (&member.name, &member.address);
        print_line(format_args!(
            "{incarnation:016x}  {name:<20}  {address:<21}  {:>6}  {state}",
            slice_count(*incarnation)
        ));
    }
    for (duty, leader, term) in &snapshot.duties {
        print_line(format_args!(
            "duty {duty}: {} ({leader:016x}), term {term}; {} sites",
            name(*leader),
            snapshot.sites
        ));
    }
    print_line(format_args!(
        "in charge of nobody: {unassigned} of {slices} slices; cluster {:x}, revision {}",
        snapshot.cluster, snapshot.revision
    ));
    Ok(())
}

fn accept(file: &Path) -> Result<(), CommandError> {
    let cfg = load(file)?;
    share_settings(&cfg, file)?;
    let record = Record::open(&cfg.record).map_err(|error| CommandError::InvalidInput(error.to_string()))?;
    record.save_store_position(None).map_err(|error| CommandError::Failed(error.to_string()))?;
    print_line(format_args!("{}: whatever store is there next is taken", cfg.record.display()));
    Ok(())
}

fn accept_list(file: &Path) -> Result<(), CommandError> {
    let cfg = load(file)?;
    if cfg.list_store.is_none() {
        return Err(CommandError::InvalidInput(format!("{}: expected list.source: etcd", file.display())));
    }
    let record = Record::open(&cfg.record).map_err(|error| CommandError::InvalidInput(error.to_string()))?;
    record.forget_list_position().map_err(|error| CommandError::Failed(error.to_string()))?;
    print_line(format_args!("{}: whatever list is there next is followed", cfg.record.display()));
    Ok(())
}

/// Shows the record in a shared store, with the steward that each slice is assigned to.
fn show_shared(
    cfg: &settings::ValidatedSettings,
    share: &settings::Share,
    json: bool,
) -> Result<(), CommandError> {
    let slices = cfg.map.number("family_info.ranges").unwrap_or(0.0) as usize;
    let (snapshot, rows) = call_store(share, async |store, keys| {
        let snapshot = shared::snapshot(store, keys, 0).await?;
        Ok((snapshot, shared::read_slices(store, keys, 0, slices.saturating_sub(1)).await?))
    })?;
    let name = |incarnation: u64| {
        let member = snapshot.members.iter().find(|(member, _)| *member == incarnation);
        member.map_or("gone", |(_, member)| &member.name)
    };
    let entries = snapshot.assignments.iter().map(|&(slice, incarnation, term)| {
        let row = rows.iter().find(|row| row.slice as usize == slice);
        let owner = row.and_then(|row| row.owner.clone());
        let (weight, mark) = row.map_or((0, 0), |row| (row.weight, row.mark));
        (slice, incarnation, term, slice_state(&owner, weight), owner, mark)
    });
    if json {
        let slices: Vec<_> = entries
            .map(|(slice, incarnation, term, state, owner, mark)| {
                serde_json::json!({
                    "slice": slice, "steward": name(incarnation), "life": format!("{incarnation:016x}"), "term": term,
                    "owner": owner, "state": state, "mark": mark,
                })
            })
            .collect();
        print_line(serde_json::json!({ "revision": snapshot.revision, "slices": slices }));
        return Ok(());
    }
    print_line(format_args!(
        "{:>6}  {:<20}  {:>8}  {:<24}  {:<10}  {:>8}",
        "slice", "steward", "term", "owner", "state", "mark"
    ));
    for (slice, incarnation, term, state, owner, mark) in entries {
        let owner = owner.as_deref().unwrap_or("-");
        print_line(format_args!(
            "{slice:>6}  {:<20}  {term:>8}  {owner:<24}  {state:<10}  {mark:>8}",
            name(incarnation)
        ));
    }
    Ok(())
}
