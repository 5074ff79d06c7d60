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
enum Record {
    Term(u64),
    #[serde(rename = "life")]
    Incarnation(u64),
    /// Job, token, why it failed (`None` if it didn't), whether it was stopped.
    Outcome(String, u64, Option<String>, bool),
    Delivered(String, u64),
    /// Token, total usage, job.
    #[serde(rename = "used")]
    FinalUsage(u64, Time, String),
    #[serde(rename = "counted")]
    UsageAcknowledged(u64, String),
}

/// The state recovered from the log.
#[derive(Default)]
pub struct Recovered {
    pub term: u64,
    pub incarnations: Vec<u64>,
    pub outcomes: Vec<(String, u64, Ended)>,
    pub used: BTreeMap<(u64, String), (Time, bool)>,
}

/// The log of an agent, open for appending.
pub struct Disk {
    file: File,
    forgets: bool,
}

impl Disk {
    /// Opens an agent's log in its folder and recovers the state from it.
    pub fn open(dir: &Path, forgets: bool) -> io::Result<(Disk, Recovered)> {
        std::fs::create_dir_all(dir)?;
        let path = dir.join("agent.jsonl");
        let mut recovered = Recovered::default();
        let mut outcomes = BTreeMap::new();
        if path.exists() {
            for line in BufReader::new(File::open(&path)?).lines() {
                // A torn last line was never synced, so nothing was done by it.
                let Ok(line) = serde_json::from_str(&line?) else { continue };
                match line {
                    Record::Term(term) => recovered.term = recovered.term.max(term),
                    Record::Incarnation(incarnation) => recovered.incarnations.push(incarnation),
                    Record::Outcome(job, token, why, stopped) => {
                        let ended = match (why, stopped) {
                            (_, true) => Ended::Stopped,
                            (Some(why), _) => Ended::Failed(why),
                            (None, _) => Ended::Done,
                        };
                        outcomes.insert((job, token), ended);
                    }
                    Record::Delivered(job, token) => _ = outcomes.remove(&(job, token)),
                    Record::FinalUsage(token, used, job) => {
                        _ = recovered.used.insert((token, job), (used, true))
                    }
                    Record::UsageAcknowledged(token, job) => _ = recovered.used.remove(&(token, job)),
                }
            }
        }
        let recent = recovered.incarnations.len().saturating_sub(4);
        recovered.incarnations.drain(..recent);
        recovered.outcomes = outcomes.into_iter().map(|((job, token), ended)| (job, token, ended)).collect();
        let file = OpenOptions::new().create(true).append(true).open(&path)?;
        Ok((Disk { file, forgets }, recovered))
    }

    fn write(&mut self, record: &Record) {
        let mut bytes = serde_json::to_vec(record).unwrap_or_default();
        bytes.push(b'\n');
        // The agent must not continue without durable state.
        if self.file.write_all(&bytes).and_then(|()| self.file.sync_data()).is_err() {
            std::process::abort();
        }
    }

    pub fn term(&mut self, term: u64) {
        self.write(&Record::Term(term));
    }

    pub fn incarnation(&mut self, incarnation: u64) {
        self.write(&Record::Incarnation(incarnation));
    }

    pub fn outcome(&mut self, job: &str, token: u64, ended: &Ended) {
        if self.forgets {
            return;
        }
        let why = match ended {
            Ended::Failed(why) => Some(why.clone()),
            Ended::Done | Ended::Stopped => None,
        };
        self.write(&Record::Outcome(job.to_owned(), token, why, *ended == Ended::Stopped));
    }

    pub fn delivered(&mut self, job: &str, token: u64) {
        if !self.forgets {
            self.write(&Record::Delivered(job.to_owned(), token));
        }
    }

    pub fn final_usage(&mut self, token: u64, used: Time, job: &str) {
        self.write(&Record::FinalUsage(token, used, job.to_owned()));
    }

    pub fn usage_acknowledged(&mut self, token: u64, job: &str) {
        self.write(&Record::UsageAcknowledged(token, job.to_owned()));
    }
}
