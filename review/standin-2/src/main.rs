//! Drivers of the review's cases 6 to 10: each starts the program as separate processes, plays one case against stand-ins
//! on loopback, and exits with 0 if the rule held, 1 if it was broken and 2 if the case couldn't run.

mod agent;
mod gate;
mod job_cases;
mod lease_cases;
mod list_cases;
mod observer;
mod stage;

use std::path::PathBuf;
use std::process::ExitCode;

/// What a case has found.
pub enum Verdict {
    Held,
    Broken(String),
}

/// A case that could not be played.
pub type Unplayed = Box<dyn std::error::Error>;

/// Where a case finds its program and leaves its files.
#[derive(Clone)]
pub struct Place {
    /// The program that the deploy file builds.
    pub program: PathBuf,
    /// A temporary folder.
    pub dir: PathBuf,
    /// Where the record goes.
    pub record: PathBuf,
    /// False: the same without the disruption.
    pub trouble: bool,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [name, program, dir, record] = args.as_slice() else {
        eprintln!("expected: CASE PROGRAM FOLDER RECORD");
        return ExitCode::from(2);
    };
    let place = Place {
        program: program.into(),
        dir: dir.into(),
        record: record.into(),
        trouble: std::env::var("TROUBLE").map_or(true, |trouble| trouble != "0"),
    };
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(2);
        }
    };
    let local = tokio::task::LocalSet::new();
    let played = local.block_on(&runtime, async {
        let limit = std::time::Duration::from_secs(115);
        let played = async {
            match name.as_str() {
                "list-restart" => list_cases::restart(&place).await,
                "list-lag" => list_cases::lag(&place).await,
                "lease-change" => lease_cases::change(&place).await,
                "job-lease" => job_cases::lease(&place).await,
                "job-registration" => job_cases::registration(&place).await,
                _ => Err("no such case".into()),
            }
        };
        tokio::time::timeout(limit, played).await.unwrap_or_else(|_| Err("not within its time".into()))
    });
    match played {
        Ok(Verdict::Held) => {
            println!("held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken(what)) => {
            println!("broken: {what}");
            ExitCode::from(1)
        }
        Err(why) => {
            println!("not played: {why}");
            ExitCode::from(2)
        }
    }
}
