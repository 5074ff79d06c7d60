//! A job's line at the store, and what an outcome does to it.

use serde::{Deserialize, Serialize};

use crate::{Life, Token};

/// A job as it is handed in. Unknown fields are its owner's and the agent's affair.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Job {
    /// On whose behalf it runs: a lender or a branch.
    pub user: String,
    #[serde(default)]
    pub group: String,
    /// Not to be run, or to be stopped.
    #[serde(default)]
    pub cancel: bool,
}

/// Where a job is. A job that was handed in and has no line is waiting.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    Waiting,
    /// Held by the site of this life; the line's revision is the token.
    Leased(Life),
    /// Cancelled while it was held: the site stops it, or its life ends.
    Ending(Life),
    Done,
    /// Given up, with the reason in the line.
    Parked,
    Cancelled,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Line {
    pub state: State,
    /// The last token that it was given out under, but for the line's own; 0: none.
    #[serde(default)]
    pub last: Token,
    /// How often it has been given out.
    #[serde(default)]
    pub attempts: u32,
    /// The term of the duty under which it was last given out or ended.
    #[serde(default)]
    pub term: u64,
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub why: String,
}

impl Line {
    pub fn new(state: State) -> Line {
        Line { state, last: 0, attempts: 0, term: 0, why: String::new() }
    }

    /// The token of whoever was last given the job. `modified`: the line's revision.
    pub fn token(&self, modified: u64) -> Token {
        match self.state {
            State::Leased(_) => modified,
            _ => self.last,
        }
    }

    pub fn site(&self) -> Option<Life> {
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
    /// With the reason.
    Failed(String),
    /// It was stopped, as it was cancelled.
    Stopped,
}

/// What becomes of an outcome.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The line is to be written so, compared with what it is; only once that is done the outcome is taken.
    Take(Line),
    /// It has been taken before.
    Taken,
    /// It is refused for good.
    Refused(&'static str),
}

/// Decides on an outcome that bears a token. `line`: as it is at the store, with its revision.
///
/// One that comes late, from a lease that has ended, is taken where nobody was given the job since: the work is done.
pub fn judge(line: &Line, modified: u64, token: Token, ended: &Ended) -> Verdict {
    let last = line.token(modified);
    if token == 0 || token > last {
        return Verdict::Refused("the job was never given out under this token");
    }
    if token < last {
        return Verdict::Refused("the job was given out again since");
    }
    let to = |state: State, why: &str| {
        Verdict::Take(Line { state, last, attempts: line.attempts, term: line.term, why: why.to_owned() })
    };
    match (line.state, ended) {
        (State::Done, Ended::Done) => Verdict::Taken,
        (State::Leased(_) | State::Waiting | State::Ending(_), Ended::Done) => to(State::Done, ""),
        (State::Leased(_), Ended::Failed(why)) => to(State::Waiting, why),
        // Its lease ended before: the attempt is counted already.
        (State::Waiting, Ended::Failed(_) | Ended::Stopped) => Verdict::Taken,
        (State::Ending(_), Ended::Failed(_) | Ended::Stopped) => to(State::Cancelled, "cancelled"),
        (State::Leased(_), Ended::Stopped) => to(State::Waiting, "its site stopped it"),
        (State::Parked, Ended::Done) => to(State::Done, ""),
        (State::Cancelled | State::Parked, _) => Verdict::Refused("the job is not wanted any more"),
        (State::Done, _) => Verdict::Refused("the job is done"),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn leased() -> Line {
        Line { attempts: 1, ..Line::new(State::Leased(5)) }
    }

    #[test]
    fn an_outcome_is_taken_once_by_its_token() {
        let Verdict::Take(done) = judge(&leased(), 70, 70, &Ended::Done) else { panic!("refused") };
        assert_eq!((done.state, done.last), (State::Done, 70));
        assert_eq!(judge(&done, 71, 70, &Ended::Done), Verdict::Taken);
        assert!(matches!(judge(&done, 71, 69, &Ended::Done), Verdict::Refused(_)));
        assert!(matches!(judge(&leased(), 70, 71, &Ended::Done), Verdict::Refused(_)), "no such token yet");
        assert!(matches!(judge(&leased(), 70, 0, &Ended::Done), Verdict::Refused(_)));
    }

    #[test]
    fn a_late_outcome_is_taken_unless_the_job_was_given_out_since() {
        let waiting = Line { state: State::Waiting, last: 70, ..leased() };
        assert!(matches!(judge(&waiting, 90, 70, &Ended::Done), Verdict::Take(_)));
        assert_eq!(judge(&waiting, 90, 70, &Ended::Failed("x".into())), Verdict::Taken, "counted already");
        let again = Line { state: State::Leased(6), last: 70, ..leased() };
        assert_eq!(
            judge(&again, 95, 70, &Ended::Done),
            Verdict::Refused("the job was given out again since")
        );
        assert!(matches!(judge(&again, 95, 95, &Ended::Done), Verdict::Take(_)));
    }

    #[test]
    fn what_is_cancelled_in_hand_is_stopped_or_done() {
        let ending = Line { state: State::Ending(5), last: 70, ..leased() };
        let Verdict::Take(line) = judge(&ending, 80, 70, &Ended::Stopped) else { panic!("refused") };
        assert_eq!(line.state, State::Cancelled);
        let Verdict::Take(line) = judge(&ending, 80, 70, &Ended::Done) else { panic!("refused") };
        assert_eq!(line.state, State::Done, "what is done is done");
        assert!(matches!(judge(&line, 81, 70, &Ended::Stopped), Verdict::Refused(_)));
    }

    #[test]
    fn lines_read_back_as_they_were_written() {
        for state in [State::Waiting, State::Leased(u64::MAX), State::Ending(7), State::Done, State::Parked] {
            let line = Line { why: "a \"reason\"".to_owned(), ..Line::new(state) };
            let text = serde_json::to_string(&line).expect("written");
            assert_eq!(serde_json::from_str::<Line>(&text).expect("read"), line);
        }
    }
}
