//! A steward's end of the sessions of the agents connected to it: it renews their incarnations at the store, sends
//! them orders that follow from the lines, and passes their outcomes to the store. It decides nothing that isn't in a
//! line.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::{decide_outcome, Ended, Incarnation, JobLine, State, Time, Token, Verdict};

/// An action that the caller carries out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Create the site's lease and key if they don't exist.
    Register { stream: u64, site: Hello },
    /// End incarnations that are over according to their agent.
    End { incarnations: Vec<Incarnation> },
    /// Renew the incarnation, then call [`AgentSessions::renewed`].
    Renew { stream: u64, incarnation: Incarnation, sent: u64 },
    /// Tell the agent that the renewal sent at `sent` was carried out.
    Kept { stream: u64, incarnation: Incarnation, sent: u64 },
    /// Tell the agent that the incarnation is over at the store.
    Over { stream: u64, incarnation: Incarnation },
    /// Order the agent to begin a job.
    Begin { stream: u64, term: u64, incarnation: Incarnation, job: String, token: Token },
    /// Order the agent to stop a job.
    Stop { stream: u64, term: u64, job: String, token: Token },
    /// Write the line if its revision is still `seen`, then call [`AgentSessions::settled`].
    Settle { job: String, seen: u64, line: JobLine, token: Token, ended: Ended },
    /// Tell the agent that an outcome was accepted, or refused for good with the reason.
    Verdict { stream: u64, job: String, token: Token, refused: Option<String> },
    /// Close the stream: the agent broke the protocol.
    Close { stream: u64, why: &'static str },
}

/// What an agent reports of itself at the start of a session or of an incarnation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hello {
    pub incarnation: Incarnation,
    pub boot: u64,
    pub room: usize,
    pub name: String,
}

#[derive(Clone, Debug)]
struct Agent {
    hello: Hello,
    /// The incarnation is registered at the store.
    registered: bool,
    renewals: usize,
    last_message_at: Time,
}

/// Metrics of the sessions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Metrics {
    pub agents: usize,
    /// Outcomes that wait for the store, and those turned away since too many did.
    pub settling: usize,
    pub turned_away: u64,
    pub renewals_left_out: u64,
    pub taken: u64,
    pub refused: u64,
    /// Orders that agents refused since they knew a higher term.
    pub outdated: u64,
}

#[derive(Clone, Debug)]
struct Settling {
    stream: u64,
    token: Token,
    ended: Ended,
}

/// A steward's end of the sessions of the agents connected to it.
#[derive(Clone, Debug, Default)]
pub struct AgentSessions {
    agents: BTreeMap<u64, Agent>,
    /// Lines with their revisions. Those of jobs that are over are kept only while an outcome of theirs may still
    /// come.
    lines: BTreeMap<String, (JobLine, u64)>,
    /// The jobs that each incarnation holds.
    held: BTreeMap<Incarnation, BTreeMap<String, Token>>,
    settling: BTreeMap<String, Settling>,
    /// The highest term of the duty seen.
    term: u64,
    /// The revision of the store up to which lines are known.
    known_revision: u64,
    actions: VecDeque<Action>,
    metrics: Metrics,
}

impl AgentSessions {
    /// The number of outcomes that may wait for the store: some transactions' worth. An agent sends an outcome that was
    /// turned away again.
    const MAX_SETTLING: usize = 1_000;

    /// An agent counts as reached if it sent something within this time: three of its pings.
    const REACHABLE_WITHIN: Time = 30_000;

    /// The number of renewals of one agent that may be under way: a store that answers late costs no incarnation.
    const MAX_RENEWALS: usize = 4;

    /// Returns the next action to carry out.
    pub fn poll(&mut self) -> Option<Action> {
        self.actions.pop_front()
    }

    /// Returns the current metrics.
    pub fn metrics(&self) -> Metrics {
        Metrics { agents: self.agents.len(), settling: self.settling.len(), ..self.metrics }
    }

    /// Returns the number of sites whose agents sent something lately.
    pub fn reached(&self, now: Time) -> usize {
        let reached =
            self.agents.values().filter(|agent| now < agent.last_message_at + Self::REACHABLE_WITHIN);
        reached.map(|agent| agent.hello.name.as_str()).collect::<BTreeSet<_>>().len()
    }

    /// Records that a message came from an agent.
    pub fn message_received(&mut self, now: Time, stream: u64) {
        if let Some(agent) = self.agents.get_mut(&stream) {
            agent.last_message_at = now;
        }
    }

    /// Sets the term under which orders are sent, if it is higher than the last one.
    pub fn term(&mut self, term: u64) {
        self.term = self.term.max(term);
    }

    /// An agent opens its session, or continues as another incarnation. `before`: its earlier incarnations, which are
    /// over.
    pub fn hello(&mut self, now: Time, stream: u64, hello: Hello, before: Vec<Incarnation>) {
        if !before.is_empty() {
            self.actions.push_back(Action::End { incarnations: before });
        }
        self.actions.push_back(Action::Register { stream, site: hello.clone() });
        self.agents.insert(stream, Agent { hello, registered: false, renewals: 0, last_message_at: now });
    }

    /// A registration was tried. If it was not carried out, another steward was quicker or the incarnation is over:
    /// the next renewal shows which.
    pub fn registered(&mut self, stream: u64, incarnation: Incarnation) {
        if let Some(agent) =
            self.agents.get_mut(&stream).filter(|agent| agent.hello.incarnation == incarnation)
        {
            agent.registered = true;
        }
    }

    /// A stream was closed.
    pub fn closed(&mut self, stream: u64) {
        self.agents.remove(&stream);
    }

    /// The agent renews its incarnation and lists the jobs that it holds or has outcomes of, with their tokens. It is
    /// ordered to begin what it lacks and to stop what is not its any more; what is newer than the lines known here
    /// is left alone.
    pub fn renewal_received(&mut self, stream: u64, sent: u64, reported_leases: &BTreeSet<(String, Token)>) {
        let Some(agent) = self.agents.get_mut(&stream) else {
            self.actions.push_back(Action::Close { stream, why: "a renewal before a hello" });
            return;
        };
        let incarnation = agent.hello.incarnation;
        if agent.registered && agent.renewals < Self::MAX_RENEWALS {
            agent.renewals += 1;
            self.actions.push_back(Action::Renew { stream, incarnation, sent });
        } else {
            self.metrics.renewals_left_out += 1;
        }
        let held =
            self.held.get(&incarnation).into_iter().flatten().map(|(job, token)| (job.clone(), *token));
        let missing: Vec<(String, Token)> = held.filter(|lease| !reported_leases.contains(lease)).collect();
        for (job, token) in missing {
            self.actions.push_back(Action::Begin { stream, term: self.term, incarnation, job, token });
        }
        for (job, token) in reported_leases.iter().filter(|(_, token)| *token <= self.known_revision) {
            let over = match self.lines.get(job) {
                Some((line, modified)) => {
                    line.token(*modified) != *token || !matches!(line.state, State::Leased(_))
                }
                // The line was deleted since the job was over.
                None => true,
            };
            if over {
                self.actions.push_back(Action::Stop {
                    stream,
                    term: self.term,
                    job: job.clone(),
                    token: *token,
                });
            }
        }
    }

    /// Completes a renewal; `None` if its result is unknown.
    pub fn renewed(&mut self, stream: u64, incarnation: Incarnation, sent: u64, held: Option<bool>) {
        let Some(agent) = self.agents.get_mut(&stream) else { return };
        agent.renewals = agent.renewals.saturating_sub(1);
        match held {
            Some(true) => self.actions.push_back(Action::Kept { stream, incarnation, sent }),
            Some(false) => self.actions.push_back(Action::Over { stream, incarnation }),
            None => {}
        }
    }

    /// Takes a line as the store has it and orders the agents concerned to begin or stop the job.
    pub fn line(&mut self, job: &str, line: JobLine, modified: u64) {
        if self.lines.get(job).is_some_and(|(_, seen)| *seen >= modified) {
            return;
        }
        let before = self.lines.get(job).and_then(|(line, seen)| Some((line.site()?, line.token(*seen))));
        let now = line.site().map(|site| (site, line.token(modified)));
        if let Some((site, token)) =
            before.filter(|_| before != now || line.state != State::Leased(before.map_or(0, |b| b.0)))
        {
            if let Some(held) = self.held.get_mut(&site) {
                held.remove(job);
                if held.is_empty() {
                    self.held.remove(&site);
                }
            }
            // A site needs no order for a job that is done: it sent the outcome.
            if line.state != State::Done {
                for stream in self.streams(site) {
                    let stop = Action::Stop { stream, term: self.term, job: job.to_owned(), token };
                    self.actions.push_back(stop);
                }
            }
        }
        if let State::Leased(incarnation) = line.state {
            self.held.entry(incarnation).or_default().insert(job.to_owned(), modified);
            for stream in self.streams(incarnation) {
                let give = Action::Begin {
                    stream,
                    term: self.term,
                    incarnation,
                    job: job.to_owned(),
                    token: modified,
                };
                self.actions.push_back(give);
            }
        }
        match line.state {
            // Lines that no site holds or held are not needed here.
            State::Cancelled | State::Done | State::Parked => _ = self.lines.remove(job),
            _ => _ = self.lines.insert(job.to_owned(), (line, modified)),
        }
    }

    /// Sets the revision of the store up to which lines are known.
    pub fn set_known_revision(&mut self, revision: u64) {
        self.known_revision = self.known_revision.max(revision);
    }

    fn streams(&self, incarnation: Incarnation) -> Vec<u64> {
        let matching = self.agents.iter().filter(|(_, agent)| agent.hello.incarnation == incarnation);
        matching.map(|(stream, _)| *stream).collect()
    }

    /// An outcome arrives. Its line is read again from the store, as the one known here may be old. Returns true if
    /// the outcome is taken up, and false if it was turned away.
    pub fn outcome_received(&mut self, stream: u64, job: &str, token: Token, ended: Ended) -> bool {
        if self.settling.len() >= Self::MAX_SETTLING || self.settling.contains_key(job) {
            self.metrics.turned_away += 1;
            return false;
        }
        self.settling.insert(job.to_owned(), Settling { stream, token, ended });
        true
    }

    /// Decides on a waiting outcome by the job's line, which was just read; `None` if there is no line.
    pub fn read(&mut self, job: &str, line: Option<(JobLine, u64)>) {
        let Some(Settling { stream, token, ended }) = self.settling.get(job).cloned() else { return };
        let verdict = match &line {
            None => Verdict::Refused("there is no such job"),
            Some((line, modified)) => decide_outcome(line, *modified, token, &ended),
        };
        match verdict {
            Verdict::Accept(to) => {
                let seen = line.map_or(0, |(_, modified)| modified);
                self.actions.push_back(Action::Settle { job: job.to_owned(), seen, line: to, token, ended });
            }
            Verdict::AlreadyAccepted => self.complete_outcome(stream, job, token, None),
            Verdict::Refused(why) => self.complete_outcome(stream, job, token, Some(why.to_owned())),
        }
    }

    /// Completes the write of an outcome. If it was not carried out, the agent sends the outcome again.
    pub fn settled(&mut self, job: &str, written: bool) {
        let Some(Settling { stream, token, .. }) = self.settling.get(job).cloned() else { return };
        match written {
            true => self.complete_outcome(stream, job, token, None),
            false => _ = self.settling.remove(job),
        }
    }

    fn complete_outcome(&mut self, stream: u64, job: &str, token: Token, refused: Option<String>) {
        self.settling.remove(job);
        match refused {
            None => self.metrics.taken += 1,
            Some(_) => self.metrics.refused += 1,
        }
        self.actions.push_back(Action::Verdict { stream, job: job.to_owned(), token, refused });
    }

    /// An agent refused an order since it knows a higher term.
    pub fn order_refused(&mut self) {
        self.metrics.outdated += 1;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn hello(incarnation: Incarnation) -> Hello {
        Hello { incarnation, boot: 1, room: 4, name: "north".to_owned() }
    }

    fn actions(sessions: &mut AgentSessions) -> Vec<Action> {
        std::iter::from_fn(|| sessions.poll()).collect()
    }

    fn leases(all: &[(&str, Token)]) -> BTreeSet<(String, Token)> {
        all.iter().map(|(job, token)| ((*job).to_owned(), *token)).collect()
    }

    fn leased(incarnation: Incarnation) -> JobLine {
        JobLine::new(State::Leased(incarnation))
    }

    #[test]
    fn an_order_is_repeated_until_the_agent_has_the_job() {
        let mut sessions = AgentSessions::default();
        sessions.term(3);
        sessions.hello(0, 1, hello(9), vec![8]);
        assert!(matches!(&actions(&mut sessions)[..], [Action::End { .. }, Action::Register { .. }]));
        sessions.registered(1, 9);
        sessions.line("a", leased(9), 70);
        let give = Action::Begin { stream: 1, term: 3, incarnation: 9, job: "a".into(), token: 70 };
        assert_eq!(actions(&mut sessions), std::slice::from_ref(&give));
        sessions.renewal_received(1, 5, &leases(&[("b", 70)]));
        assert_eq!(actions(&mut sessions), [Action::Renew { stream: 1, incarnation: 9, sent: 5 }, give]);
        sessions.renewal_received(1, 6, &leases(&[("a", 70)]));
        assert_eq!(actions(&mut sessions), [Action::Renew { stream: 1, incarnation: 9, sent: 6 }]);
        sessions.renewed(1, 9, 5, Some(true));
        sessions.renewed(1, 9, 6, None);
        assert_eq!(actions(&mut sessions), [Action::Kept { stream: 1, incarnation: 9, sent: 5 }]);
    }

    #[test]
    fn an_agent_is_ordered_to_stop_jobs_that_it_lost() {
        let mut sessions = AgentSessions::default();
        sessions.hello(0, 1, hello(9), Vec::new());
        sessions.line("a", leased(9), 70);
        actions(&mut sessions);
        sessions.line("a", JobLine { last: 70, ..JobLine::new(State::Waiting) }, 80);
        let stop = Action::Stop { stream: 1, term: 0, job: "a".into(), token: 70 };
        assert_eq!(actions(&mut sessions), std::slice::from_ref(&stop));
        sessions.set_known_revision(80);
        sessions.renewal_received(1, 7, &leases(&[("a", 70), ("new", 90)]));
        assert!(
            actions(&mut sessions).contains(&stop),
            "but no order for a token newer than the known lines"
        );
        sessions.line("a", leased(9), 60);
        assert_eq!(actions(&mut sessions), [], "an older line is ignored");
        // Cancelled while leased.
        sessions.line("b", leased(9), 90);
        sessions.line("b", JobLine { last: 90, ..JobLine::new(State::Ending(9)) }, 91);
        assert!(matches!(
            &actions(&mut sessions)[..],
            [Action::Begin { .. }, Action::Stop { token: 90, .. }]
        ));
    }

    #[test]
    fn an_outcome_is_decided_by_a_line_read_for_it() {
        let mut sessions = AgentSessions::default();
        sessions.hello(0, 1, hello(9), Vec::new());
        actions(&mut sessions);
        assert!(sessions.outcome_received(1, "a", 70, Ended::Done));
        assert!(!sessions.outcome_received(1, "a", 70, Ended::Done), "one outcome is under way");
        sessions.read("a", Some((leased(9), 70)));
        assert!(matches!(&actions(&mut sessions)[..], [Action::Settle { seen: 70, token: 70, .. }]));
        sessions.settled("a", false);
        assert_eq!(
            actions(&mut sessions),
            [],
            "another write came first, and the agent sends the outcome again"
        );
        assert!(sessions.outcome_received(1, "a", 70, Ended::Done));
        sessions.read("a", Some((JobLine { last: 70, ..JobLine::new(State::Done) }, 71)));
        assert!(matches!(&actions(&mut sessions)[..], [Action::Verdict { refused: None, .. }]));
        assert!(sessions.outcome_received(1, "gone", 70, Ended::Done));
        sessions.read("gone", None);
        assert!(matches!(&actions(&mut sessions)[..], [Action::Verdict { refused: Some(_), .. }]));
        assert_eq!(
            (sessions.metrics().taken, sessions.metrics().refused, sessions.metrics().turned_away),
            (1, 1, 1)
        );
    }
}
