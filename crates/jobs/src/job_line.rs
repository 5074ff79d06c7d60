//! A job's line at the store, and how an outcome changes it.

use serde::{Deserialize, Serialize};

use crate::{Incarnation, Token};

/// A job as it was submitted. Unknown fields are for its submitter and the agent only.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Job {
    /// The user that it runs for: a lender or a branch.
    pub user: String,
    #[serde(default)]
    pub group: String,
    /// The job must not be run, or must be stopped.
    #[serde(default)]
    pub cancel: bool,
}

/// The state of a job. A submitted job without a line is waiting.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    Waiting,
    /// Leased to the site of this incarnation; the line's revision is the token.
    Leased(Incarnation),
    /// Cancelled while it was leased: the site stops it, or its incarnation ends.
    Ending(Incarnation),
    Done,
    /// Given up for good, with the reason in `why`.
    Parked,
    Cancelled,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
/// The scheduling state of a job.
pub struct JobLine {
    pub state: State,
    /// The last token that it was leased under, other than the line's own revision; 0 if there is none.
    #[serde(default)]
    pub last: Token,
    /// How often it has been leased.
    #[serde(default)]
    pub attempts: u32,
    /// The term of the duty under which it was last leased or ended.
    #[serde(default)]
    pub term: u64,
    #[serde(default, skip_serializing_if = "String::is_empty")]
    /// Why the job is in this state, where there is something to say.
    pub why: String,
}

impl JobLine {
    /// A line of a job that was never leased.
    pub fn new(state: State) -> JobLine {
        JobLine { state, last: 0, attempts: 0, term: 0, why: String::new() }
    }

    /// Returns the token of the latest lease. `modified`: the line's revision.
    pub fn token(&self, modified: u64) -> Token {
        match self.state {
            State::Leased(_) => modified,
            _ => self.last,
        }
    }

    /// Returns the site that holds the job.
    pub fn site(&self) -> Option<Incarnation> {
        match self.state {
            State::Leased(site) | State::Ending(site) => Some(site),
            _ => None,
        }
    }
}

/// How a job ended at its site.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Ended {
    Done,
    /// Failed, with the reason.
    Failed(String),
    /// Stopped, since it was cancelled.
    Stopped,
}

/// The decision on an outcome.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Write this line if it is still as it was read; the outcome is accepted only once that is done.
    Accept(JobLine),
    /// It was accepted before.
    AlreadyAccepted,
    /// It is refused for good, with the reason.
    Refused(&'static str),
}

/// Decides on an outcome that bears a token. `line` is the job's line at the store and `modified` its revision.
///
/// A late outcome, from a lease that has ended, is accepted if the job was not leased again since: the work is done.
pub fn decide_outcome(line: &JobLine, modified: u64, token: Token, ended: &Ended) -> Verdict {
    let last = line.token(modified);
    if token == 0 || token > last {
        return Verdict::Refused("the job was never given out under this token");
    }
    if token < last {
        return Verdict::Refused("the job was given out again since");
    }
    let accept = |state: State, why: &str| {
        Verdict::Accept(JobLine {
            state,
            last,
            attempts: line.attempts,
            term: line.term,
            why: why.to_owned(),
        })
    };
    match (line.state, ended) {
        (State::Done, Ended::Done) => Verdict::AlreadyAccepted,
        (State::Leased(_) | State::Waiting | State::Ending(_), Ended::Done) => accept(State::Done, ""),
        (State::Leased(_), Ended::Failed(why)) => accept(State::Waiting, why),
        // Its lease ended before, and the attempt is counted already.
        (State::Waiting, Ended::Failed(_) | Ended::Stopped) => Verdict::AlreadyAccepted,
        (State::Ending(_), Ended::Failed(_) | Ended::Stopped) => accept(State::Cancelled, "cancelled"),
        (State::Leased(_), Ended::Stopped) => accept(State::Waiting, "its site stopped it"),
        (State::Parked, Ended::Done) => accept(State::Done, ""),
        (State::Cancelled | State::Parked, _) => Verdict::Refused("the job is not wanted any more"),
        (State::Done, _) => Verdict::Refused("the job is done"),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn leased() -> JobLine {
        JobLine { attempts: 1, ..JobLine::new(State::Leased(5)) }
    }

    #[test]
    fn an_outcome_is_accepted_once_per_token() {
        let Verdict::Accept(done) = decide_outcome(&leased(), 70, 70, &Ended::Done) else {
            panic!("refused")
        };
        assert_eq!((done.state, done.last), (State::Done, 70));
        assert_eq!(decide_outcome(&done, 71, 70, &Ended::Done), Verdict::AlreadyAccepted);
        assert!(matches!(decide_outcome(&done, 71, 69, &Ended::Done), Verdict::Refused(_)));
        assert!(
            matches!(decide_outcome(&leased(), 70, 71, &Ended::Done), Verdict::Refused(_)),
            "a token that was never issued"
        );
        assert!(matches!(decide_outcome(&leased(), 70, 0, &Ended::Done), Verdict::Refused(_)));
    }

    #[test]
    fn a_late_outcome_is_accepted_unless_the_job_was_leased_again() {
        let waiting = JobLine { state: State::Waiting, last: 70, ..leased() };
        assert!(matches!(decide_outcome(&waiting, 90, 70, &Ended::Done), Verdict::Accept(_)));
        assert_eq!(
            decide_outcome(&waiting, 90, 70, &Ended::Failed("x".into())),
            Verdict::AlreadyAccepted,
            "the attempt is counted already"
        );
        let leased_again = JobLine { state: State::Leased(6), last: 70, ..leased() };
        assert_eq!(
            decide_outcome(&leased_again, 95, 70, &Ended::Done),
            Verdict::Refused("the job was given out again since")
        );
        assert!(matches!(decide_outcome(&leased_again, 95, 95, &Ended::Done), Verdict::Accept(_)));
    }

    #[test]
    fn a_job_cancelled_while_leased_is_stopped_or_done() {
        let cancelling = JobLine { state: State::Ending(5), last: 70, ..leased() };
        let Verdict::Accept(line) = decide_outcome(&cancelling, 80, 70, &Ended::Stopped) else {
            panic!("refused")
        };
        assert_eq!(line.state, State::Cancelled);
        let Verdict::Accept(line) = decide_outcome(&cancelling, 80, 70, &Ended::Done) else {
            panic!("refused")
        };
        assert_eq!(line.state, State::Done, "a finished job stays done");
        assert!(matches!(decide_outcome(&line, 81, 70, &Ended::Stopped), Verdict::Refused(_)));
    }

    #[test]
    fn a_line_survives_a_round_trip() {
        for state in [State::Waiting, State::Leased(u64::MAX), State::Ending(7), State::Done, State::Parked] {
            let line = JobLine { why: "a \"reason\"".to_owned(), ..JobLine::new(state) };
            let text = serde_json::to_string(&line).expect("a line serialises");
            assert_eq!(serde_json::from_str::<JobLine>(&text).expect("a line deserialises"), line);
        }
    }
}
