//! `ravenspar-lab`: plays scripted days with real processes on loopback, and judges them by what crossed the sockets.

mod day;
mod faults;
mod fleet;
mod judge;
mod links;
mod listing;
mod measure;
mod measure_sharing;
mod play;
mod processes;
mod random_faults;
mod soak;
mod stage;
mod work;

use ravenspar::print_line;
use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use ravenspar_standin::forwarder;

use crate::day::Day;
use crate::stage::LabError;

#[derive(Parser)]
#[command(
    name = "ravenspar-lab",
    version,
    about = "Plays scripted days against a real steward and judges them"
)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Plays a day and judges it. Exit codes: 0 all rules kept, 1 broken or it could not be played, 2 bad input.
    Day {
        file: PathBuf,
        /// Keep the capture and the logs in this folder, which is created.
        #[arg(long, value_name = "DIR")]
        keep: Option<PathBuf>,
        /// Use this seed instead of the file's.
        #[arg(long)]
        seed: Option<u64>,
    },
    /// Judges a kept capture again.
    Judge { dir: PathBuf },
    /// Measures a real steward over loopback: hand-overs, CPU, memory, starts, durable writes.
    Measure {
        #[arg(long, value_delimiter = ',', default_values_t = [10, 100, 290])]
        forwarders: Vec<usize>,
        #[arg(long, default_value_t = 1_700)]
        slices: usize,
        #[arg(long, default_value_t = 260)]
        servers: usize,
        /// Measure only hand-overs.
        #[arg(long)]
        hand_overs: bool,
    },
    /// Measures stewards that share a store: take-overs, planned hand-overs, moved slices, store requests.
    MeasureSharing {
        #[arg(long, value_delimiter = ',', default_values_t = [3, 5, 9])]
        stewards: Vec<usize>,
        #[arg(long, value_delimiter = ',', default_values_t = [1_700, 20_000])]
        slices: Vec<usize>,
        #[arg(long, default_value_t = 3)]
        rounds: usize,
    },
    /// Measures the stewards' view of the fleet: crashes, joins, healed splits, and its cost when idle.
    MeasureView {
        #[arg(long, value_delimiter = ',', default_values_t = [3, 5, 9, 25])]
        stewards: Vec<usize>,
        #[arg(long, default_value_t = 20)]
        rounds: usize,
    },
    /// Measures duties and jobs: time without a leader, time from the loss of a site until its jobs run elsewhere, throughput
    /// of jobs, and the cost when idle.
    MeasureWork {
        #[arg(long, value_delimiter = ',', default_values_t = [3, 5, 9])]
        stewards: Vec<usize>,
        #[arg(long, default_value_t = 10)]
        rounds: usize,
    },
    /// Plays a day repeatedly, each time with the next seed. Exit code 1 if a day broke a rule.
    Soak {
        #[arg(long)]
        minutes: f64,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Days played concurrently.
        #[arg(long, default_value_t = 1)]
        at_once: usize,
        #[arg(long, default_value = "examples/days/stewards-killed.yaml")]
        file: PathBuf,
        /// Folder for the captures of days that broke a rule.
        #[arg(long, value_name = "DIR", default_value = "target/soak")]
        keep: PathBuf,
    },
    /// The steward's own program, which days start.
    #[command(hide = true, disable_help_flag = true)]
    Steward {
        #[arg(trailing_var_arg = true, allow_hyphen_values = true)]
        args: Vec<OsString>,
    },
    /// A stand-in for a site's agent, which days start.
    #[command(hide = true)]
    Agent(AgentArgs),
    /// A stand-in forwarder, which days start.
    #[command(hide = true)]
    Forwarder(ForwarderArgs),
}

// Options of `ravenspar_standin::agent`.
#[derive(clap::Args)]
struct AgentArgs {
    #[arg(long)]
    name: String,
    #[arg(long)]
    dir: PathBuf,
    #[arg(long)]
    effects: SocketAddr,
    #[arg(long)]
    room: usize,
    #[arg(long)]
    lease_ms: i64,
    #[arg(long)]
    seed: u64,
    #[arg(long, required = true)]
    steward: Vec<SocketAddr>,
    #[arg(long)]
    ignores_lease: bool,
    #[arg(long)]
    forgets: bool,
    #[arg(long)]
    doubles: bool,
    #[arg(long)]
    pause_at: Option<u64>,
    #[arg(long, default_value_t = 1)]
    lies: u64,
}

// Options of `ravenspar_standin::forwarder`.
#[derive(clap::Args)]
struct ForwarderArgs {
    #[arg(long)]
    number: u64,
    #[arg(long)]
    zone: String,
    #[arg(long, required = true)]
    steward: Vec<SocketAddr>,
    #[arg(long)]
    seed: u64,
    #[arg(long, default_value_t = 0.0)]
    usual: f64,
    #[arg(long, default_value_t = 0)]
    stall_us: u64,
    #[arg(long, default_value_t = 0)]
    away_after: u32,
    #[arg(long, default_value_t = 0)]
    away_for_ms: i64,
    #[arg(long)]
    lies: bool,
    #[arg(long)]
    ignores_terms: bool,
    #[arg(long)]
    stop_at: Option<u64>,
}

fn main() -> ExitCode {
    let result =
        match Cli::parse().command {
            Command::Day { file, keep, seed } => run_day(&file, keep, seed),
            Command::Judge { dir } => judge_dir(&dir),
            Command::Measure { forwarders, slices, servers, hand_overs } => {
                measure(&forwarders, slices, servers, hand_overs)
            }
            Command::MeasureSharing { stewards, slices, rounds } => {
                let is_valid = stewards.iter().all(|count| (2..=64).contains(count))
                    && slices.iter().all(|count| (1..=65_535).contains(count))
                    && rounds > 0;
                match is_valid {
                    true => block_on(measure_sharing::run_all(&stewards, &slices, rounds))
                        .and_then(|measured| measured.map(|()| true)),
                    false => Err(LabError::Input(
                        "measure-sharing: expected 2 to 64 stewards, 1 to 65535 slices, 1 round or more"
                            .to_owned(),
                    )),
                }
            }
            Command::MeasureView { stewards, rounds } => {
                let is_valid = stewards.iter().all(|count| (2..=25).contains(count)) && rounds > 0;
                match is_valid {
                    true => block_on(fleet::measure(&stewards, rounds))
                        .and_then(|measured| measured.map(|()| true)),
                    false => Err(LabError::Input(
                        "measure-view: expected 2 to 25 stewards, 1 round or more".to_owned(),
                    )),
                }
            }
            Command::MeasureWork { stewards, rounds } => {
                let is_valid = stewards.iter().all(|count| (2..=9).contains(count)) && rounds > 0;
                match is_valid {
                    true => block_on(work::measure(&stewards, rounds))
                        .and_then(|measured| measured.map(|()| true)),
                    false => Err(LabError::Input(
                        "measure-work: expected 2 to 9 stewards, 1 round or more".to_owned(),
                    )),
                }
            }
            Command::Soak { minutes, seed, at_once, file, keep } => {
                run_soak(&file, minutes, seed, at_once, &keep)
            }
            Command::Steward { args } => {
                return ravenspar::cli::run([OsString::from("ravenspar")].into_iter().chain(args))
            }
            Command::Agent(args) => run_agent(args),
            Command::Forwarder(args) => run_forwarder(args),
        };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(LabError::Input(message)) => {
            eprintln!("{message}");
            ExitCode::from(2)
        }
        Err(LabError::Failed(message)) => {
            eprintln!("{message}");
            ExitCode::FAILURE
        }
    }
}

/// Runs a future, and the tasks that it spawns locally, on this thread.
fn block_on<T>(future: impl std::future::Future<Output = T>) -> Result<T, LabError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    Ok(tokio::task::LocalSet::new().block_on(&runtime, future))
}

/// Plays a day of any kind and judges it. Returns true if it kept all rules.
fn run_day(file: &Path, keep: Option<PathBuf>, seed: Option<u64>) -> Result<bool, LabError> {
    if fleet::FleetDay::recognizes(file) {
        let mut day = fleet::FleetDay::load(file).map_err(LabError::Input)?;
        day.seed = seed.unwrap_or(day.seed);
        return in_folder(keep, |dir| {
            let verdict = block_on(fleet::play(day, dir))??;
            std::fs::write(dir.join("verdict.txt"), verdict.report())?;
            print_line(verdict.report());
            Ok(verdict.kept())
        });
    }
    if work::WorkDay::recognizes(file) {
        let mut day = work::WorkDay::load(file).map_err(LabError::Input)?;
        day.seed = seed.unwrap_or(day.seed);
        return in_folder(keep, |dir| {
            let verdict = block_on(work::play(day, dir))??;
            std::fs::write(dir.join("verdict.txt"), verdict.report())?;
            print_line(verdict.report());
            Ok(verdict.kept())
        });
    }
    let mut day = Day::load(file).map_err(LabError::Input)?;
    day.seed = seed.unwrap_or(day.seed);
    in_folder(keep, |dir| {
        block_on(play::play(day, file, dir))??;
        judge_dir(dir)
    })
}

/// Runs `play` in an empty folder: the one to keep, or else a temporary one.
fn in_folder(
    keep: Option<PathBuf>,
    play: impl FnOnce(&Path) -> Result<bool, LabError>,
) -> Result<bool, LabError> {
    let temp;
    let dir = match &keep {
        Some(dir) => {
            std::fs::create_dir_all(dir)?;
            let is_used = std::fs::read_dir(dir)?.next().is_some();
            if is_used {
                return Err(LabError::Input(format!("{}: expected an empty folder", dir.display())));
            }
            dir.as_path()
        }
        None => {
            temp = tempfile::tempdir()?;
            temp.path()
        }
    };
    play(dir)
}

fn measure(forwarders: &[usize], slices: usize, servers: usize, hand_overs: bool) -> Result<bool, LabError> {
    let is_valid = |&count: &usize| (1..=10_000).contains(&count);
    if !forwarders.iter().all(is_valid) || !(1..=65_535).contains(&slices) || !(9..=10_000).contains(&servers)
    {
        return Err(LabError::Input(
            "measure: expected 1 to 10000 forwarders, 1 to 65535 slices, 9 to 10000 servers".to_owned(),
        ));
    }
    block_on(async {
        if !hand_overs {
            measure::starts(&[1_700, 20_000]).await?;
            measure::writes()?;
            measure::load(slices, servers, forwarders).await?;
        }
        measure::hand_overs(slices, servers, forwarders).await
    })??;
    Ok(true)
}

fn run_soak(file: &Path, minutes: f64, seed: u64, at_once: usize, keep: &Path) -> Result<bool, LabError> {
    let is_valid = minutes > 0.0 && minutes <= 1e4 && (1..=64).contains(&at_once);
    if !is_valid {
        return Err(LabError::Input(
            "soak: expected more than 0 minutes, and 1 to 64 days at once".to_owned(),
        ));
    }
    match (fleet::FleetDay::recognizes(file), work::WorkDay::recognizes(file)) {
        (true, _) => _ = fleet::FleetDay::load(file).map_err(LabError::Input)?,
        (_, true) => _ = work::WorkDay::load(file).map_err(LabError::Input)?,
        _ => _ = Day::load(file).map_err(LabError::Input)?,
    }
    block_on(soak::soak(file, minutes, seed, at_once, keep))?
}

/// Judges the capture in a folder and prints the report. Returns true if it kept all rules.
fn judge_dir(dir: &Path) -> Result<bool, LabError> {
    let (_, rules) = stage::load_rules(dir).map_err(LabError::Input)?;
    let path = dir.join("capture.jsonl");
    let events = ravenspar_standin::capture::read(&path);
    let events = events.map_err(|e| LabError::Input(format!("{}: {e}", path.display())))?;
    let verdict = judge::judge(&events, &rules);
    print_line(verdict.report());
    Ok(verdict.kept())
}

fn run_agent(args: AgentArgs) -> Result<bool, LabError> {
    let options = ravenspar_standin::agent::Options {
        name: args.name,
        stewards: args.steward,
        effects: args.effects,
        dir: args.dir,
        room: args.room,
        lease: args.lease_ms * 10,
        seed: args.seed,
        ignores_lease: args.ignores_lease,
        forgets: args.forgets,
        doubles: args.doubles,
        pause_at: args.pause_at,
        lies: args.lies,
    };
    // An agent doesn't listen. `Process::start` waits for this line to know that it runs.
    print_line("listening on 127.0.0.1:0");
    block_on(ravenspar_standin::agent::run(options))??;
    Ok(true)
}

fn run_forwarder(args: ForwarderArgs) -> Result<bool, LabError> {
    let options = forwarder::Options {
        number: args.number,
        zone: args.zone,
        stewards: args.steward,
        seed: args.seed,
        usual: args.usual,
        stall_us: args.stall_us,
        away_after: args.away_after,
        away_for: args.away_for_ms * 10,
        lies: args.lies,
        ignores_terms: args.ignores_terms,
        stop_at: args.stop_at,
    };
    block_on(forwarder::run(options, |address| print_line(format_args!("listening on {address}"))))??;
    Ok(true)
}
