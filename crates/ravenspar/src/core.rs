//! One loop that hands the host what sockets, record, list and store bring, and carries out what it says.

use ravenspar_duty::Pace;
use ravenspar_host::Output;
use ravenspar_notes::kind;
use ravenspar_record::SliceRow;
use ravenspar_steward::{Scope, Time};

use crate::failpoint::{Halt, Point};
use crate::fleet::{Fleet, FleetEvent};
use crate::list::{self, Notification};
use crate::process::Fault;
use crate::recorder::Batch;
use crate::shared::Event;
use crate::state::{Core, End, Shared};
use crate::streams::{self, Input, Stream};

/// The next event of a life; none ever without one.
async fn next(shared: &mut Option<Shared>) -> Event {
    match shared {
        Some(shared) => shared.life.next().await,
        None => std::future::pending().await,
    }
}

/// The next event of the fleet; never anything without a view.
async fn next_fleet_event(fleet: &mut Option<Fleet>) -> FleetEvent {
    match fleet {
        Some(fleet) => fleet.next_event().await,
        None => std::future::pending().await,
    }
}

impl Core<'_> {
    pub async fn run(&mut self) -> Result<End, Fault> {
        let end = self.steps().await;
        let figures = self.host.figures();
        tracing::info!(
            joined = figures.joined,
            updates = figures.updates,
            messages = figures.messages,
            most_waiting = figures.most_waiting,
            holds = figures.holds,
            broken = figures.broken,
            stray_answers = figures.stray_answers,
            lines = self.ran.lines,
            batches = self.ran.batches,
            commits = self.recorder.commits(),
            refused = self.ran.refused,
            "ending"
        );
        let streams = std::mem::take(&mut self.streams);
        if matches!(end, Ok(End::Over(_))) {
            // Not a line that was decided in this life may arrive any more.
            streams.into_values().for_each(Stream::reset);
        }
        end
    }

    async fn steps(&mut self) -> Result<End, Fault> {
        loop {
            let now = self.clock.now();
            let mut wake = self.wake(now);
            if self.shared.is_some() && self.door.fleet.is_some() {
                if !self.pace.is_asked() {
                    self.pace.asks(now);
                }
                wake = wake.min(now + Pace::TICK);
            }
            let wake = tokio::time::Instant::from_std(self.clock.instant(wake));
            let mut event = None;
            tokio::select! {
                _ = self.door.terminate.recv() => if self.stop() { return Ok(End::Stopped) },
                _ = self.door.interrupt.recv() => if self.stop() { return Ok(End::Stopped) },
                Ok((socket, _)) = self.door.listener.accept() => self.accept(socket),
                Some(input) = self.queue.recv() => {
                    self.input(input);
                    // What has come in meanwhile is learnt before anything is decided.
                    for _ in 0..streams::INPUTS {
                        let Ok(input) = self.queue.try_recv() else { break };
                        self.input(input);
                    }
                }
                notification = list::next(&mut self.door.list) => self.handle_list(notification?),
                next = next(&mut self.shared) => event = Some(next),
                fleet_event = next_fleet_event(&mut self.door.fleet) => match fleet_event {
                    FleetEvent::Shown => self.view_changed(),
                    FleetEvent::Hint(kind, number) => self.hint(kind, number),
                    FleetEvent::Ended => return Err(Fault::Failed("the view of the fleet has failed".to_owned())),
                },
                () = self.recorder.changed() => {}
                () = tokio::time::sleep_until(wake) => {}
            }
            self.pace.runs(self.clock.now());
            if let Some(why) = event.and_then(|event| self.event(event)) {
                return Ok(End::Over(why));
            }
            if let Some(fault) = self.door.kept.fault() {
                return Err(Fault::Failed(format!(
                    "the record failed, and nothing may go out without it: {fault}"
                )));
            }
            if let Some(fault) = self.recorder.fault() {
                return Ok(End::Over(fault));
            }
            if let Some(ticket) = self.recorder.durable() {
                if self.ran.durable.replace(ticket) != Some(ticket) {
                    tracing::debug!(ticket, "lines are durable");
                    Halt::meet(&mut self.door.halt, Point::Recorded);
                }
                self.host.recorded(ticket);
            }
            self.host.timeout(self.clock.now());
            self.tell_reach();
            if let Some(end) = self.share() {
                return Ok(end);
            }
            if let Some(why) = self.carry_out() {
                return Ok(End::Over(why));
            }
        }
    }

    /// Says to the other stewards which forwarders are joined here.
    fn tell_reach(&mut self) {
        /// As often as figures are looked at; the view's rounds carry it on.
        const EVERY: Time = ravenspar_steward::SECOND;
        let now = self.clock.now();
        if let Some(fleet) = self.door.fleet.as_ref().filter(|_| now >= self.reach_at) {
            let reach = ravenspar_view::Reach::of(self.host.joined());
            fleet.set_reach(reach);
            self.reach_at = now + EVERY;
            let shown = fleet.shown.borrow();
            let others = shown.settled.then(|| shown.reaches.clone());
            let members = shown.settled.then_some(shown.members.len());
            drop(shown);
            self.be_of_use(reach.joined, others.as_deref());
            self.count_stewards(members);
        }
    }

    /// When to look again.
    fn wake(&self, now: Time) -> Time {
        let host = self.host.next_timeout(now);
        let Some(shared) = &self.shared else { return host };
        let membership = shared.life.membership.renew_at().min(shared.life.membership.until());
        let step = if shared.arrived.is_empty() {
            shared.life.fleet.next_at()
        } else {
            shared.arrived.ready_at(self.host.room()).min(shared.life.fleet.gives_up_at())
        };
        host.min(membership).min(step)
    }

    fn accept(&mut self, socket: tokio::net::TcpStream) {
        if self.streams.len() >= self.door.most {
            self.ran.refused += 1;
            tracing::warn!(open = self.streams.len(), "a stream is refused: as many are open as may be");
            return;
        }
        let number = self.next;
        self.next += 1;
        self.streams.insert(number, Stream::start(number, socket, &self.inputs, streams::FRAMES));
        self.host.opened(self.clock.now(), number);
    }

    fn input(&mut self, input: Input) {
        let now = self.clock.now();
        match input {
            Input::Frame(stream, body) => self.host.frame(now, stream, &body),
            Input::Sent(stream) => self.host.sent(now, stream),
            Input::Closed(stream) => {
                if self.streams.remove(&stream).is_some() {
                    tracing::info!(stream, "a stream ended");
                }
                self.host.closed(now, stream);
            }
        }
    }

    fn handle_list(&mut self, notification: Notification) {
        let now = self.clock.now();
        match notification {
            Notification::Whole(rows) => {
                tracing::info!(servers = rows.len(), "the list has changed");
                self.ran.list_failed = false;
                // On record before any slice goes to a server that only this list names.
                self.door.kept.write(Batch::List(rows.clone()));
                self.host.list_begin(Scope::Whole);
                for row in &rows {
                    self.host.list_entry(
                        &row.id,
                        &row.zone,
                        &row.address,
                        list::health(row.health),
                        row.boot,
                    );
                }
                self.host.list_end(Scope::Whole);
                self.door.rows = rows;
                self.give_hint(kind::LIST, 0);
            }
            Notification::Followed(kept) => self.door.kept.write(Batch::Followed(kept)),
            Notification::Failed(why) => {
                if !std::mem::replace(&mut self.ran.list_failed, true) {
                    tracing::error!(%why, "the list can't be read, the last good one holds");
                }
                self.host.list_failed(now);
            }
        }
    }

    /// Returns why this life is over, if it is.
    fn carry_out(&mut self) -> Option<String> {
        loop {
            let now = self.clock.now();
            // Looked at before each thing that goes out: a pause may fall between any two.
            if self.shared.as_ref().is_some_and(|shared| !shared.life.membership.holds(now)) {
                return Some("the membership could not be renewed in time".to_owned());
            }
            let output = self.host.poll(now)?;
            match output {
                Output::Record { ticket, epoch, routes } => {
                    self.ran.batches += 1;
                    self.ran.lines += routes.len() as u64;
                    let row = |&(slice, owner, weight): &(usize, Option<usize>, f64)| SliceRow {
                        slice: slice as u32,
                        owner: owner.map(|server| self.host.server(server).id.clone()),
                        weight: (weight * 1e6).round() as u64,
                        mark: epoch,
                        term: self.host.term(slice),
                        boot: owner.map_or(0, |server| self.host.boot(server)),
                    };
                    let rows: Vec<SliceRow> = routes.iter().map(row).collect();
                    tracing::debug!(epoch, lines = rows.len(), "lines to record");
                    self.ran.ticket = Some(ticket);
                    self.recorder.write(Batch::Slices { ticket, rows });
                }
                Output::Frame { stream, body } => {
                    self.ran.messages += u64::from(body.first() == Some(&ravenspar_protocol::kind::TABLE));
                    if body.first() == Some(&ravenspar_protocol::kind::TABLE) {
                        Halt::meet(&mut self.door.halt, Point::Message);
                        tracing::debug!(stream, bytes = body.len(), "a message leaves");
                    }
                    if let Some(stream) = self.streams.get(&stream) {
                        stream.write(body);
                    }
                }
                Output::Close { stream, why } => {
                    tracing::warn!(stream, ?why, "a stream is broken off");
                    self.streams.remove(&stream);
                }
                Output::Joined { stream, proxy } => tracing::info!(stream, proxy, "a proxy has joined"),
                // The file source tells of every change unasked.
                Output::Watch => {}
            }
        }
    }
}
