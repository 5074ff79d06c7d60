//! The command line. Exit codes: 0, 1 it failed, 2 bad input.

use std::ffi::OsString;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Parser, Subcommand, ValueEnum};
use ravenspar_record::Record;

use crate::serve::{serve, Fault, Halt};
use crate::{logs, say, settings};

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
        /// Stop dead at a point, for tests: recorded:N or message:N.
        #[arg(long, hide = true)]
        halt: Option<Halt>,
    },
    /// Says whether a settings file can be served by.
    Check { file: PathBuf },
    /// Shows the record that a settings file names.
    Record {
        file: PathBuf,
        #[arg(long)]
        json: bool,
    },
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
    if let Err(why) = logs::start(format, &cli.log) {
        return end(Err(Fault::Input(why)));
    }
    end(match cli.command {
        Command::Serve { file, halt } => start(&file, halt),
        Command::Check { file } => check(&file),
        Command::Record { file, json } => show(&file, json),
    })
}

fn end(result: Result<(), Fault>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(Fault::Input(why)) => {
            eprintln!("{why}");
            ExitCode::from(2)
        }
        Err(Fault::Failed(why)) => {
            eprintln!("{why}");
            ExitCode::FAILURE
        }
    }
}

fn load(file: &Path) -> Result<settings::Checked, Fault> {
    settings::load(file).map_err(|faults| Fault::Input(faults.to_string()))
}

fn start(file: &Path, halt: Option<Halt>) -> Result<(), Fault> {
    let cfg = load(file)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| Fault::Failed(format!("the runtime: {e}")))?;
    runtime.block_on(serve(cfg, halt, |address| say(format_args!("listening on {address}"))))
}

fn check(file: &Path) -> Result<(), Fault> {
    load(file)?;
    say(format_args!("{}: can be served by", file.display()));
    Ok(())
}

fn show(file: &Path, json: bool) -> Result<(), Fault> {
    let cfg = load(file)?;
    let record = Record::read(&cfg.record).map_err(|fault| Fault::Input(fault.to_string()))?;
    let state = |owner: &Option<String>, weight: u64| match owner {
        None => "ownerless",
        Some(_) if weight < 1_000_000 => "reads only",
        Some(_) => "owned",
    };
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
        say(serde_json::json!({ "term": record.term, "slices": slices }));
        return Ok(());
    }
    say(format_args!("{:>6}  {:<24}  {:<10}  {:>8}  {:>6}", "slice", "owner", "state", "mark", "term"));
    for row in &record.slices {
        let owner = row.owner.as_deref().unwrap_or("-");
        let state = state(&row.owner, row.weight);
        say(format_args!("{:>6}  {owner:<24}  {state:<10}  {:>8}  {:>6}", row.slice, row.mark, row.term));
    }
    Ok(())
}
