//! Any steward's side of the agents that are connected to it: it renews their lives at the store, tells them what the lines
//! say, and hands outcomes to the store. It decides nothing that isn't in a line.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::{judge, Ended, Life, Line, State, Time, Token, Verdict};

/// What is to be done outside.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Act {
    /// Make the site's lease and key, if they are not there.
    Register {
        stream: u64,
        site: Hello,
    },
    /// End lives that are surely over, as their agent says.
    End {
        lives: Vec<Life>,
    },
    /// Renew the life, and tell what came of it.
    Renew {
        stream: u64,
        life: Life,
        sent: u64,
    },
    /// The renewal that was sent then is answered.
    Kept {
        stream: u64,
        life: Life,
        sent: u64,
    },
    /// The life is over at the store.
    Over {
        stream: u64,
        life: Life,
    },
    Give {
        stream: u64,
        term: u64,
        life: Life,
        job: String,
        token: Token,
    },
    Stop {
        stream: u64,
        term: u64,
        job: String,
        token: Token,
    },
    /// Write the line, compared with what it was, and tell what came of it.
    Settle {
        job: String,
        seen: u64,
        line: Line,
        token: Token,
        ended: Ended,
    },
    /// An outcome is taken, or refused for good with the reason.
    Verdict {
        stream: u64,
        job: String,
        token: Token,
        refused: Option<String>,
    },
    /// The agent said something that it can't mean.
    Close {
        stream: u64,
        why: &'static str,
    },
}

/// What an agent says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hello {
    pub life: Life,
    pub boot: u64,
    pub room: usize,
    pub name: String,
}

#[derive(Clone, Debug)]
struct Agent {
    hello: Hello,
    /// The life is at the store.
    registered: bool,
    renewals: usize,
    heard: Time,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    pub agents: usize,
    /// Outcomes that wait for the store, and those turned away as too many did.
    pub settling: usize,
    pub turned_away: u64,
    pub renewals_left_out: u64,
    pub taken: u64,
    pub refused: u64,
    /// Agents that knew a higher term than this steward.
    pub outdated: u64,
}

#[derive(Clone, Debug)]
struct Settling {
    stream: u64,
    token: Token,
    ended: Ended,
}

#[derive(Clone, Debug, Default)]
pub struct Desk {
    agents: BTreeMap<u64, Agent>,
    /// Lines, with their revisions; those that are over are kept only while an outcome of theirs may come again.
    lines: BTreeMap<String, (Line, u64)>,
    /// Held by each life.
    held: BTreeMap<Life, BTreeMap<String, Token>>,
    settling: BTreeMap<String, Settling>,
    /// The term of the duty, and the revision at which it was seen.
    term: u64,
    /// Lines are known up to this revision.
    known: u64,
    acts: VecDeque<Act>,
    figures: Figures,
}

impl Desk {
    /// Outcomes that wait for the store at most: some transactions' worth. An agent whose outcome is turned away sends it
    /// again.
    const SETTLING: usize = 1_000;

    /// An agent is reached that was heard of within this: three of its pings.
    const HEARD: Time = 30_000;

    /// Renewals of one agent under way at most: a store that answers late costs no life.
    const RENEWALS: usize = 4;

    pub fn poll(&mut self) -> Option<Act> {
        self.acts.pop_front()
    }

    pub fn figures(&self) -> Figures {
        Figures { agents: self.agents.len(), settling: self.settling.len(), ..self.figures }
    }

    /// Sites heard of lately.
    pub fn reached(&self, now: Time) -> usize {
        let heard = self.agents.values().filter(|agent| now < agent.heard + Self::HEARD);
        heard.map(|agent| agent.hello.name.as_str()).collect::<BTreeSet<_>>().len()
    }

    /// Something came from an agent.
    pub fn heard(&mut self, now: Time, stream: u64) {
        if let Some(agent) = self.agents.get_mut(&stream) {
            agent.heard = now;
        }
    }

    /// Under which term orders go out.
    pub fn term(&mut self, term: u64) {
        self.term = self.term.max(term);
    }

    /// An agent says hello, or that it goes on under another life. `before`: lives of its that are surely over.
    pub fn hello(&mut self, now: Time, stream: u64, hello: Hello, before: Vec<Life>) {
        if !before.is_empty() {
            self.acts.push_back(Act::End { lives: before });
        }
        self.acts.push_back(Act::Register { stream, site: hello.clone() });
        self.agents.insert(stream, Agent { hello, registered: false, renewals: 0, heard: now });
    }

    /// A registration was tried. Where it was not carried out, another steward may have been quicker, or the life is over:
    /// the next renewal tells.
    pub fn registered(&mut self, stream: u64, life: Life) {
        if let Some(agent) = self.agents.get_mut(&stream).filter(|agent| agent.hello.life == life) {
            agent.registered = true;
        }
    }

    pub fn closed(&mut self, stream: u64) {
        self.agents.remove(&stream);
    }

    /// The agent renews its life, and says which jobs it has in hand or outcomes of, under which tokens. What it lacks it is
    /// given, and what is not its any more it is told to stop; what this steward can't know yet is left alone.
    pub fn keep(&mut self, stream: u64, sent: u64, hands: &BTreeSet<(String, Token)>) {
        let Some(agent) = self.agents.get_mut(&stream) else {
            self.acts.push_back(Act::Close { stream, why: "a renewal before a hello" });
            return;
        };
        let life = agent.hello.life;
        if agent.registered && agent.renewals < Self::RENEWALS {
            agent.renewals += 1;
            self.acts.push_back(Act::Renew { stream, life, sent });
        } else {
            self.figures.renewals_left_out += 1;
        }
        let held = self.held.get(&life).into_iter().flatten().map(|(job, token)| (job.clone(), *token));
        let lacks: Vec<(String, Token)> = held.filter(|lease| !hands.contains(lease)).collect();
        for (job, token) in lacks {
            self.acts.push_back(Act::Give { stream, term: self.term, life, job, token });
        }
        for (job, token) in hands.iter().filter(|(_, token)| *token <= self.known) {
            let over = match self.lines.get(job) {
                Some((line, modified)) => {
                    line.token(*modified) != *token || !matches!(line.state, State::Leased(_))
                }
                // A line that is not there any more was deleted when the job was over.
                None => true,
            };
            if over {
                self.acts.push_back(Act::Stop { stream, term: self.term, job: job.clone(), token: *token });
            }
        }
    }

    /// What came of a renewal; none: nobody knows.
    pub fn renewed(&mut self, stream: u64, life: Life, sent: u64, held: Option<bool>) {
        let Some(agent) = self.agents.get_mut(&stream) else { return };
        agent.renewals = agent.renewals.saturating_sub(1);
        match held {
            Some(true) => self.acts.push_back(Act::Kept { stream, life, sent }),
            Some(false) => self.acts.push_back(Act::Over { stream, life }),
            None => {}
        }
    }

    /// The store shows a line. Those that say so are told at once.
    pub fn line(&mut self, job: &str, line: Line, modified: u64) {
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
            // Done is no news to the site: its outcome was taken.
            if line.state != State::Done {
                for stream in self.streams(site) {
                    let stop = Act::Stop { stream, term: self.term, job: job.to_owned(), token };
                    self.acts.push_back(stop);
                }
            }
        }
        if let State::Leased(life) = line.state {
            self.held.entry(life).or_default().insert(job.to_owned(), modified);
            for stream in self.streams(life) {
                let give = Act::Give { stream, term: self.term, life, job: job.to_owned(), token: modified };
                self.acts.push_back(give);
            }
        }
        match line.state {
            // What nobody holds or held is of no use here.
            State::Cancelled | State::Done | State::Parked => _ = self.lines.remove(job),
            _ => _ = self.lines.insert(job.to_owned(), (line, modified)),
        }
    }

    /// Lines are known up to this revision of the store.
    pub fn known(&mut self, revision: u64) {
        self.known = self.known.max(revision);
    }

    fn streams(&self, life: Life) -> Vec<u64> {
        let of = self.agents.iter().filter(|(_, agent)| agent.hello.life == life);
        of.map(|(stream, _)| *stream).collect()
    }

    /// An outcome arrives. The line is read anew for it, so that an old one that is known here decides nothing.
    pub fn outcome(&mut self, stream: u64, job: &str, token: Token, ended: Ended) -> bool {
        if self.settling.len() >= Self::SETTLING || self.settling.contains_key(job) {
            self.figures.turned_away += 1;
            return false;
        }
        self.settling.insert(job.to_owned(), Settling { stream, token, ended });
        true
    }

    /// The line of a job whose outcome waits, as it was just read; none: there is none.
    pub fn read(&mut self, job: &str, line: Option<(Line, u64)>) {
        let Some(Settling { stream, token, ended }) = self.settling.get(job).cloned() else { return };
        let verdict = match &line {
            None => Verdict::Refused("there is no such job"),
            Some((line, modified)) => judge(line, *modified, token, &ended),
        };
        match verdict {
            Verdict::Take(to) => {
                let seen = line.map_or(0, |(_, modified)| modified);
                self.acts.push_back(Act::Settle { job: job.to_owned(), seen, line: to, token, ended });
            }
            Verdict::Taken => self.verdict(stream, job, token, None),
            Verdict::Refused(why) => self.verdict(stream, job, token, Some(why.to_owned())),
        }
    }

    /// What came of settling: carried out, or not (then the agent sends its outcome again).
    pub fn settled(&mut self, job: &str, done: bool) {
        let Some(Settling { stream, token, .. }) = self.settling.get(job).cloned() else { return };
        match done {
            true => self.verdict(stream, job, token, None),
            false => _ = self.settling.remove(job),
        }
    }

    fn verdict(&mut self, stream: u64, job: &str, token: Token, refused: Option<String>) {
        self.settling.remove(job);
        match refused {
            None => self.figures.taken += 1,
            Some(_) => self.figures.refused += 1,
        }
        self.acts.push_back(Act::Verdict { stream, job: job.to_owned(), token, refused });
    }

    /// An agent has refused an order as it knows a higher term.
    pub fn outdated(&mut self) {
        self.figures.outdated += 1;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn hello(life: Life) -> Hello {
        Hello { life, boot: 1, room: 4, name: "north".to_owned() }
    }

    fn acts(desk: &mut Desk) -> Vec<Act> {
        std::iter::from_fn(|| desk.poll()).collect()
    }

    fn hands(of: &[(&str, Token)]) -> BTreeSet<(String, Token)> {
        of.iter().map(|(job, token)| ((*job).to_owned(), *token)).collect()
    }

    fn leased(life: Life) -> Line {
        Line::new(State::Leased(life))
    }

    #[test]
    fn an_agent_is_given_what_its_lines_say_again_until_it_has_it() {
        let mut desk = Desk::default();
        desk.term(3);
        desk.hello(0, 1, hello(9), vec![8]);
        assert!(matches!(&acts(&mut desk)[..], [Act::End { .. }, Act::Register { .. }]));
        desk.registered(1, 9);
        desk.line("a", leased(9), 70);
        let give = Act::Give { stream: 1, term: 3, life: 9, job: "a".into(), token: 70 };
        assert_eq!(acts(&mut desk), std::slice::from_ref(&give));
        desk.keep(1, 5, &hands(&[("b", 70)]));
        assert_eq!(acts(&mut desk), [Act::Renew { stream: 1, life: 9, sent: 5 }, give]);
        desk.keep(1, 6, &hands(&[("a", 70)]));
        assert_eq!(acts(&mut desk), [Act::Renew { stream: 1, life: 9, sent: 6 }]);
        desk.renewed(1, 9, 5, Some(true));
        desk.renewed(1, 9, 6, None);
        assert_eq!(acts(&mut desk), [Act::Kept { stream: 1, life: 9, sent: 5 }]);
    }

    #[test]
    fn it_is_told_to_stop_what_is_not_its_any_more() {
        let mut desk = Desk::default();
        desk.hello(0, 1, hello(9), Vec::new());
        desk.line("a", leased(9), 70);
        acts(&mut desk);
        desk.line("a", Line { last: 70, ..Line::new(State::Waiting) }, 80);
        let stop = Act::Stop { stream: 1, term: 0, job: "a".into(), token: 70 };
        assert_eq!(acts(&mut desk), std::slice::from_ref(&stop));
        desk.known(80);
        desk.keep(1, 7, &hands(&[("a", 70), ("new", 90)]));
        assert!(acts(&mut desk).contains(&stop), "and nothing of what is newer than what is known here");
        desk.line("a", leased(9), 60);
        assert_eq!(acts(&mut desk), [], "older news");
        // Cancelled in hand.
        desk.line("b", leased(9), 90);
        desk.line("b", Line { last: 90, ..Line::new(State::Ending(9)) }, 91);
        assert!(matches!(&acts(&mut desk)[..], [Act::Give { .. }, Act::Stop { token: 90, .. }]));
    }

    #[test]
    fn an_outcome_is_settled_by_the_line_as_it_is_read_for_it() {
        let mut desk = Desk::default();
        desk.hello(0, 1, hello(9), Vec::new());
        acts(&mut desk);
        assert!(desk.outcome(1, "a", 70, Ended::Done));
        assert!(!desk.outcome(1, "a", 70, Ended::Done), "one is under way");
        desk.read("a", Some((leased(9), 70)));
        assert!(matches!(&acts(&mut desk)[..], [Act::Settle { seen: 70, token: 70, .. }]));
        desk.settled("a", false);
        assert_eq!(acts(&mut desk), [], "another write came between: it is sent again");
        assert!(desk.outcome(1, "a", 70, Ended::Done));
        desk.read("a", Some((Line { last: 70, ..Line::new(State::Done) }, 71)));
        assert!(matches!(&acts(&mut desk)[..], [Act::Verdict { refused: None, .. }]));
        assert!(desk.outcome(1, "gone", 70, Ended::Done));
        desk.read("gone", None);
        assert!(matches!(&acts(&mut desk)[..], [Act::Verdict { refused: Some(_), .. }]));
        assert_eq!((desk.figures().taken, desk.figures().refused, desk.figures().turned_away), (1, 1, 1));
    }
}
