//! An agent's durable state: a log of JSON lines, each synced before the agent acts on it.

use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io::{self, BufRead, BufReader, Write};
use std::path::Path;

use ravenspar_jobs::Ended;
use serde::{Deserialize, Serialize};

use crate::Time;

#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Line {
    Term(u64),
    Life(u64),
    /// Job, token, why it failed (`None` if it didn't), whether it was stopped.
    Outcome(String, u64, Option<String>, bool),
    Delivered(String, u64),
    /// Token, total usage, job.
    Used(u64, Time, String),
    Counted(u64, String),
}

/// The state recovered from the log.
#[derive(Default)]
pub struct Kept {
    pub term: u64,
    pub lives: Vec<u64>,
    pub outcomes: Vec<(String, u64, Ended)>,
    pub used: BTreeMap<(u64, String), (Time, bool)>,
}

/// The log of an agent, open for appending.
pub struct Disk {
    file: File,
    forgets: bool,
}

impl Disk {
    pub fn open(dir: &Path, forgets: bool) -> io::Result<(Disk, Kept)> {
        std::fs::create_dir_all(dir)?;
        let path = dir.join("agent.jsonl");
        let mut kept = Kept::default();
        let mut outcomes = BTreeMap::new();
        if path.exists() {
            for line in BufReader::new(File::open(&path)?).lines() {
                // A torn last line was never synced, so nothing was done by it.
                let Ok(line) = serde_json::from_str(&line?) else { continue };
                match line {
                    Line::Term(term) => kept.term = kept.term.max(term),
                    Line::Life(life) => kept.lives.push(life),
                    Line::Outcome(job, token, why, stopped) => {
                        let ended = match (why, stopped) {
                            (_, true) => Ended::Stopped,
                            (Some(why), _) => Ended::Failed(why),
                            (None, _) => Ended::Done,
                        };
                        outcomes.insert((job, token), ended);
                    }
                    Line::Delivered(job, token) => _ = outcomes.remove(&(job, token)),
                    Line::Used(token, used, job) => _ = kept.used.insert((token, job), (used, true)),
                    Line::Counted(token, job) => _ = kept.used.remove(&(token, job)),
                }
            }
        }
        let recent = kept.lives.len().saturating_sub(4);
        kept.lives.drain(..recent);
        kept.outcomes = outcomes.into_iter().map(|((job, token), ended)| (job, token, ended)).collect();
        let file = OpenOptions::new().create(true).append(true).open(&path)?;
        Ok((Disk { file, forgets }, kept))
    }

    fn write(&mut self, line: &Line) {
        let mut bytes = serde_json::to_vec(line).unwrap_or_default();
        bytes.push(b'\n');
        // The agent must not continue without durable state.
        if self.file.write_all(&bytes).and_then(|()| self.file.sync_data()).is_err() {
            std::process::abort();
        }
    }

    pub fn term(&mut self, term: u64) {
        self.write(&Line::Term(term));
    }

    pub fn life(&mut self, life: u64) {
        self.write(&Line::Life(life));
    }

    pub fn outcome(&mut self, job: &str, token: u64, ended: &Ended) {
        if self.forgets {
            return;
        }
        let why = match ended {
            Ended::Failed(why) => Some(why.clone()),
            Ended::Done | Ended::Stopped => None,
        };
        self.write(&Line::Outcome(job.to_owned(), token, why, *ended == Ended::Stopped));
    }

    pub fn delivered(&mut self, job: &str, token: u64) {
        if !self.forgets {
            self.write(&Line::Delivered(job.to_owned(), token));
        }
    }

    pub fn used(&mut self, token: u64, used: Time, job: &str) {
        self.write(&Line::Used(token, used, job.to_owned()));
    }

    pub fn counted(&mut self, token: u64, job: &str) {
        self.write(&Line::Counted(token, job.to_owned()));
    }
}
