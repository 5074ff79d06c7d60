//! Queries to a discovery in simulated time: its answers come in pieces, stall, never come or fail.

use super::*;

/// The resolution of the simulated time.
const STEP: Time = SECOND / 100;

/// How the answers of one query are delivered.
#[derive(Clone, Copy, Debug)]
enum Delivery {
    /// In this number of pieces, the first at once and the others at this interval.
    Pieces {
        count: u64,
        interval: Time,
    },
    /// One piece, and nothing more.
    Stalled,
    /// One piece at every interval, without end.
    Endless {
        interval: Time,
    },
    Silent,
    /// The connection fails.
    Refused,
}

const AT_ONCE: Delivery = Delivery::Pieces { count: 1, interval: 0 };

/// An attempt that discovery has received.
struct Served {
    id: u64,
    query: ListQuery,
    sent_at: Time,
    delivery: Delivery,
    /// When the answer began, and the version that it has.
    began: Option<(Time, u64)>,
    received: u64,
}

/// Discovery, and the queries to it.
struct World {
    requests: ListRequests,
    now: Time,
    version: u64,
    complete: Delivery,
    changes: Delivery,
    served: Vec<Served>,
    /// The version held, as in the session.
    held: Option<u64>,
    sent: Vec<(Time, ListQuery)>,
    abandoned: usize,
    most_attempts: usize,
    last_complete_at: Option<Time>,
}

impl World {
    fn new(complete: Delivery, changes: Delivery) -> World {
        World::with_stored(None, complete, changes)
    }

    /// A world in which the process has a stored list of this version.
    fn with_stored(version: Option<u64>, complete: Delivery, changes: Delivery) -> World {
        World {
            requests: ListRequests::new(0, version),
            now: 0,
            version: 1,
            complete,
            changes,
            served: Vec::new(),
            held: None,
            sent: Vec::new(),
            abandoned: 0,
            most_attempts: 0,
            last_complete_at: None,
        }
    }

    /// A world that has received the complete list, and whose answers are delivered like this from then on.
    fn serving(complete: Delivery, changes: Delivery) -> World {
        let mut world = World::new(AT_ONCE, AT_ONCE);
        world.run(3 * SECOND);
        assert_eq!(world.held, Some(1));
        (world.complete, world.changes) = (complete, changes);
        world
    }

    fn run(&mut self, span: Time) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    /// Publishes a change, and returns how long it takes until it is received, if it is within `limit`.
    fn change(&mut self, limit: Time) -> Option<Time> {
        self.version += 1;
        let (version, began) = (self.version, self.now);
        while self.now < began + limit {
            self.step();
            if self.held.is_some_and(|held| held >= version) {
                return Some(self.now - began);
            }
        }
        None
    }

    fn step(&mut self) {
        self.now += STEP;
        for index in (0..self.served.len()).rev() {
            self.deliver(index);
        }
        while let Some(action) = self.requests.poll(self.now) {
            match action {
                ListAction::Send { id, query } => self.serve(id, query),
                ListAction::Abandon { id } => {
                    self.abandoned += 1;
                    self.served.retain(|served| served.id != id);
                }
            }
        }
        self.most_attempts = self.most_attempts.max(self.served.len());
        assert!(self.requests.next_timeout() > self.now, "nothing is due that was not polled");
    }

    fn serve(&mut self, id: u64, query: ListQuery) {
        self.sent.push((self.now, query));
        let delivery = if query == ListQuery::Complete { self.complete } else { self.changes };
        self.served.push(Served { id, query, sent_at: self.now, delivery, began: None, received: 0 });
    }

    /// Delivers what is due of an answer.
    fn deliver(&mut self, index: usize) {
        let (now, version) = (self.now, self.version);
        let served = &mut self.served[index];
        let is_due = match served.query {
            ListQuery::Complete => true,
            ListQuery::ChangesSince(since) => version > since || now >= served.sent_at + SECOND,
        };
        if is_due && served.began.is_none() {
            served.began = Some((now, version));
        }
        let Some((began, version)) = served.began else { return };
        let (id, query) = (served.id, served.query);
        let (pieces, count) = match served.delivery {
            Delivery::Pieces { count, interval } => ((now - began) / interval.max(1) + 1, count),
            Delivery::Endless { interval } => ((now - began) / interval + 1, u64::MAX),
            Delivery::Stalled => (1, u64::MAX),
            Delivery::Silent => return,
            Delivery::Refused => {
                self.served.remove(index);
                self.requests.handle_failed(now, id);
                return;
            }
        };
        let pieces = (pieces as u64).min(count);
        if pieces > served.received {
            served.received = pieces;
            self.requests.handle_progress(id, pieces, now);
        }
        if pieces == count {
            self.served.remove(index);
            self.take_in(id, query, version);
        }
    }

    fn take_in(&mut self, id: u64, query: ListQuery, version: u64) {
        if self.held.is_some_and(|held| version < held) {
            return self.requests.handle_overtaken(self.now, id);
        }
        self.held = Some(version);
        if query == ListQuery::Complete {
            self.last_complete_at = Some(self.now);
        }
        self.requests.handle_accepted(self.now, id, version);
    }

    fn complete_queries(&self) -> usize {
        self.sent.iter().filter(|(_, query)| *query == ListQuery::Complete).count()
    }
}

#[test]
fn answers_that_come_at_once_are_queried_once_each() {
    let mut world = World::new(AT_ONCE, AT_ONCE);
    world.run(35 * SECOND);
    assert_eq!((world.complete_queries(), world.abandoned, world.most_attempts), (4, 0, 1));
    assert_eq!(world.change(SECOND), Some(STEP));
    // The watch goes on: the next query for changes follows an answer within 200 ms.
    let changes: Vec<Time> =
        world.sent.iter().filter(|(_, query)| *query != ListQuery::Complete).map(|(at, _)| *at).collect();
    assert!(changes.windows(2).all(|pair| pair[1] - pair[0] <= SECOND + 2 * STEP), "{changes:?}");
}

/// Guards against answers that are cut off although they would be complete in time: all that the pages allow of pieces is
/// that the complete list takes up to 6 s, and changes up to 2 s after the wait of a second.
#[test]
fn answers_in_pieces_are_read_to_their_end() {
    let paces = [(9, 225), (2, 5_900), (3, 2_900), (25, 240), (60, 100), (5, 1_400), (4, 1_600)];
    for (count, interval_ms) in paces {
        let pace = Delivery::Pieces { count, interval: interval_ms * SECOND / 1_000 };
        let in_two = Delivery::Pieces { count: 2, interval: 19 * SECOND / 10 };
        for changes in [in_two, Delivery::Pieces { count: 3, interval: 225 * SECOND / 1_000 }] {
            let mut world = World::serving(pace, changes);
            for _ in 0..30 {
                world.run(SECOND / 3);
                let took = world.change(20 * SECOND);
                assert!(took.is_some_and(|took| took <= 6 * SECOND), "{pace:?} {changes:?}: {took:?}");
            }
            // One that is in progress may be overtaken by the last change.
            world.run(30 * SECOND);
            let age = world.now - world.last_complete_at.expect("a complete list");
            // The interval, a query for changes that is awaited first, and the answer.
            let limit = COMPLETE_LIST_INTERVAL + STALL_TIMEOUT + ANSWER_TIMEOUT;
            assert!(age <= limit, "{pace:?}: {age}");
        }
    }
}

/// Guards against a change that waits for an answer which began before it: each slow answer is followed by another one that
/// began soon after it, and is not cut off by it.
#[test]
fn a_change_during_a_slow_answer_is_received_with_one_that_began_soon_after() {
    for answer_ms in [1_000, 2_500, 4_000, 5_500] {
        let pace = Delivery::Pieces { count: 11, interval: answer_ms * SECOND / 10_000 };
        for complete in [AT_ONCE, pace] {
            let mut world = World::serving(complete, pace);
            let limit = STALL_TIMEOUT + answer_ms * SECOND / 1_000 + 2 * STEP;
            for n in 0..200 {
                world.run(SECOND / 20 + n % 37 * SECOND / 13);
                let took = world.change(20 * SECOND);
                assert!(took.is_some_and(|took| took <= limit), "{answer_ms} ms, {complete:?}: {took:?}");
            }
            assert!(world.most_attempts <= 2 * MAX_ATTEMPTS);
        }
    }
}

/// Answers without end beside them leave the others the time in which discovery has to have answered.
#[test]
fn a_slow_answer_beside_answers_without_end_is_read_to_its_end() {
    let mut world = World::serving(AT_ONCE, Delivery::Endless { interval: SECOND / 10 });
    world.complete = Delivery::Silent;
    world.run(30 * SECOND);
    world.changes = Delivery::Pieces { count: 6, interval: 11 * SECOND / 10 };
    let took = world.change(20 * SECOND);
    let limit = STALL_TIMEOUT + 55 * SECOND / 10 + 2 * STEP;
    assert!(took.is_some_and(|took| took <= limit), "{took:?}");
}

/// Guards against a drain that is not seen at a start while the complete list is on its way.
#[test]
fn changes_since_the_stored_list_do_not_wait_for_a_slow_complete_list() {
    let slow = Delivery::Pieces { count: 60, interval: SECOND / 10 };
    let mut world = World::with_stored(Some(1), slow, AT_ONCE);
    assert!(world.change(SECOND).is_some_and(|took| took <= COMPLETE_LIST_HEAD_START + 2 * STEP));
    world.run(7 * SECOND);
    assert!(world.last_complete_at.is_some(), "the complete list is still read to its end");
    let mut world = World::with_stored(Some(1), AT_ONCE, AT_ONCE);
    world.run(2 * STEP);
    assert_eq!(world.sent[0].1, ListQuery::Complete);
    assert_eq!(
        (world.held, world.most_attempts),
        (Some(1), 1),
        "one query at a time while answers come at once"
    );
}

/// The same at another address. There the first complete list is asked for again until it is accepted, as versions may be
/// numbered differently.
#[test]
fn changes_at_another_address_do_not_wait_for_a_slow_complete_list() {
    let mut world = World::serving(Delivery::Pieces { count: 100, interval: SECOND / 10 }, AT_ONCE);
    world.requests.restart(world.now);
    world.served.clear();
    for _ in 0..5 {
        assert!(world.change(SECOND).is_some_and(|took| took <= COMPLETE_LIST_HEAD_START + 2 * STEP));
        world.run(SECOND);
    }
    let began = world.now;
    world.run(25 * SECOND);
    // The first one was overtaken; the one after it is asked for at once.
    assert!(world.last_complete_at.is_some_and(|at| at > began && at < began + 17 * SECOND));
}

/// The same at the start, where nothing else is known.
#[test]
fn a_first_list_in_pieces_is_read_to_its_end() {
    for (count, interval) in
        [(9, SECOND / 4), (2, 59 * SECOND / 10), (400, SECOND / 10), (30, 14 * SECOND / 10)]
    {
        let mut world = World::new(Delivery::Pieces { count, interval }, AT_ONCE);
        world.run(count as Time * interval + STEP);
        assert_eq!(world.held, Some(1), "{count} pieces, one in {interval}");
        assert_eq!(world.change(SECOND), Some(STEP));
    }
}

/// A list that takes longer than discovery's time limit holds up no change, and is still read to its end.
#[test]
fn changes_are_received_while_a_complete_list_takes_long() {
    let mut world = World::serving(Delivery::Pieces { count: 400, interval: SECOND / 10 }, AT_ONCE);
    for _ in 0..300 {
        world.run(SECOND / 4);
        let took = world.change(SECOND);
        assert!(took.is_some_and(|took| took <= COMPLETE_LIST_HEAD_START + 2 * STEP), "{took:?}");
    }
    assert!(world.most_attempts <= 1 + MAX_ATTEMPTS);
    // The one in progress may be overtaken by the last change.
    world.run(100 * SECOND);
    assert!(world.last_complete_at.is_some_and(|at| at > world.now - 60 * SECOND));
}

#[test]
fn an_answer_that_stalls_is_queried_again_on_another_connection() {
    for fault in [Delivery::Stalled, Delivery::Silent] {
        let mut world = World::serving(fault, fault);
        world.run(SECOND);
        // The queries in progress never end; those from here on do.
        (world.complete, world.changes) = (AT_ONCE, AT_ONCE);
        let took = world.change(10 * SECOND);
        assert!(took.is_some_and(|took| took <= STALL_TIMEOUT + 2 * STEP), "{fault:?}: {took:?}");
        world.run(20 * SECOND);
        assert!(world.served.len() <= 1, "the stalled attempts are gone");
    }
}

/// An answer without end keeps a connection, and holds up neither the other query nor its own next attempt.
#[test]
fn an_answer_without_end_holds_up_nothing() {
    let endless = Delivery::Endless { interval: SECOND };
    let mut world = World::serving(endless, endless);
    world.run(30 * SECOND);
    assert!(world.most_attempts <= 2 * MAX_ATTEMPTS);
    (world.complete, world.changes) = (AT_ONCE, AT_ONCE);
    let took = world.change(20 * SECOND);
    assert!(took.is_some_and(|took| took <= ANSWER_TIMEOUT + STEP), "{took:?}");
    let mut world = World::serving(endless, AT_ONCE);
    world.run(30 * SECOND);
    assert_eq!(world.change(SECOND), Some(STEP), "the changes are independent of the complete list");
    let mut world = World::serving(AT_ONCE, endless);
    world.run(30 * SECOND);
    let took = world.change(20 * SECOND);
    assert!(took.is_some_and(|took| took <= COMPLETE_LIST_INTERVAL + 2 * STEP), "{took:?}");
}

#[test]
fn a_silent_discovery_gets_a_bounded_number_of_queries() {
    let mut world = World::serving(Delivery::Silent, Delivery::Silent);
    let sent = world.sent.len();
    world.run(60 * SECOND);
    assert!(world.most_attempts <= 2 * MAX_ATTEMPTS, "{}", world.most_attempts);
    let queries = world.sent.len() - sent;
    assert!((60..=90).contains(&queries), "{queries} in a minute");
    (world.complete, world.changes) = (AT_ONCE, AT_ONCE);
    let took = world.change(10 * SECOND);
    assert!(took.is_some_and(|took| took <= STALL_TIMEOUT + STEP), "{took:?}");
}

#[test]
fn failed_queries_are_repeated_at_once_and_then_with_pauses() {
    let mut world = World::new(Delivery::Refused, AT_ONCE);
    world.run(SECOND);
    let times: Vec<Time> = world.sent.iter().map(|(at, _)| *at).collect();
    assert_eq!(times[1] - times[0], STEP, "the first retry is immediate");
    assert!(times[1..].windows(2).all(|pair| pair[1] - pair[0] >= RETRY_PAUSE), "{times:?}");
    assert!(times.len() > 8 && world.requests.failures() as usize >= times.len() - 1);
    world.complete = AT_ONCE;
    world.run(SECOND / 4);
    assert_eq!((world.held, world.requests.failures()), (Some(1), 0));
}

#[test]
fn the_complete_list_is_queried_soon_if_changes_fail() {
    let mut world = World::serving(AT_ONCE, Delivery::Refused);
    let took = world.change(10 * SECOND);
    assert!(took.is_some_and(|took| took <= 2 * SECOND), "{took:?}");
    let complete_queries = world.complete_queries();
    world.run(SECOND);
    assert!(world.complete_queries() - complete_queries <= 11, "with pauses");
}

#[test]
fn a_stalled_attempt_beside_failing_ones_causes_no_flood() {
    let mut world = World::serving(Delivery::Stalled, AT_ONCE);
    world.run(10 * SECOND);
    world.complete = Delivery::Refused;
    let complete_queries = world.complete_queries();
    world.run(4 * SECOND);
    assert!(world.complete_queries() - complete_queries <= 4);
}

#[test]
fn a_discovery_that_starts_over_is_watched_from_its_new_version() {
    let mut world = World::serving(AT_ONCE, AT_ONCE);
    world.run(SECOND / 2);
    let watched = world.served.iter().map(|served| served.id).next().expect("a watch");
    (world.version, world.held) = (40, None);
    let complete = world.requests.complete.attempts.len();
    assert_eq!(complete, 0);
    world.requests.handle_accepted(world.now, watched, 40);
    world.run(9 * SECOND);
    // The complete list of a discovery that counts from 1 again, as the session accepts it in time.
    (world.version, world.held) = (2, None);
    world.run(3 * SECOND);
    assert_eq!(world.held, Some(2));
    assert!(world.sent.iter().any(|(_, query)| *query == ListQuery::ChangesSince(2)));
    assert_eq!(world.change(SECOND), Some(STEP));
}

#[test]
fn another_address_is_asked_for_the_complete_list_first() {
    let mut world = World::serving(AT_ONCE, AT_ONCE);
    let in_progress = world.served.len();
    world.requests.restart(world.now);
    let sent = world.sent.len();
    world.step();
    assert_eq!(world.sent[sent..].iter().map(|(_, query)| *query).collect::<Vec<_>>(), [ListQuery::Complete]);
    assert_eq!(world.abandoned, in_progress);
    // Its list may be overtaken by one that came from the former address: it is asked again.
    let id = world.served[0].id;
    world.served.clear();
    world.requests.handle_overtaken(world.now, id);
    world.run(2 * STEP);
    assert_eq!(world.sent.last().map(|(_, query)| *query), Some(ListQuery::ChangesSince(1)));
    assert_eq!(world.complete_queries(), 3);
}
