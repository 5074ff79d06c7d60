//! The event loop: passes events of sockets, record, list and store to the host, and carries out the host's outputs.

use ravenspar_duty::Pace;
use ravenspar_host::Output;
use ravenspar_notes::kind;
use ravenspar_record::SliceRow;
use ravenspar_steward::{ListScope, Time};

use crate::failpoint::{Failpoint, Point};
use crate::fleet::{Fleet, FleetEvent};
use crate::list::{self, Notification};
use crate::process::CommandError;
use crate::recorder::RecordUpdate;
use crate::shared::Event;
use crate::state::{Core, End, Shared};
use crate::streams::{self, Stream, StreamEvent};

/// Waits for the next event of the incarnation; forever if the steward doesn't share.
async fn next_sharing_event(shared: &mut Option<Shared>) -> Event {
    match shared {
        Some(shared) => shared.session.next().await,
        None => std::future::pending().await,
    }
}

/// Waits for the next event of the fleet; forever if there is no view.
async fn next_fleet_event(fleet: &mut Option<Fleet>) -> FleetEvent {
    match fleet {
        Some(fleet) => fleet.next_event().await,
        None => std::future::pending().await,
    }
}

impl Core<'_> {
    /// Runs until the incarnation ends, and logs its totals.
    pub async fn run(&mut self) -> Result<End, CommandError> {
        let end = self.run_until_end().await;
        let figures = self.host.metrics();
        tracing::info!(
            joined = figures.joined,
            updates = figures.updates,
            messages = figures.messages,
            most_waiting = figures.most_waiting,
            holds = figures.holds,
            broken = figures.broken,
            stray_answers = figures.stray_answers,
            lines = self.stats.lines,
            batches = self.stats.batches,
            commits = self.recorder.commits(),
            refused = self.stats.refused,
            "ending"
        );
        let streams = std::mem::take(&mut self.streams);
        if matches!(end, Ok(End::MembershipEnded(_))) {
            // No line that was decided in this incarnation may arrive any more.
            streams.into_values().for_each(Stream::reset);
        }
        end
    }

    async fn run_until_end(&mut self) -> Result<End, CommandError> {
        loop {
            let now = self.clock.now();
            let mut wakeup = self.next_wakeup(now);
            if self.shared.is_some() && self.process.fleet.is_some() {
                if !self.pace.is_scheduled() {
                    self.pace.schedule_tick(now);
                }
                wakeup = wakeup.min(now + Pace::TICK);
            }
            let wakeup = tokio::time::Instant::from_std(self.clock.instant(wakeup));
            let mut sharing_event = None;
            tokio::select! {
                _ = self.process.terminate.recv() => if self.begin_shutdown() { return Ok(End::Stopped) },
                _ = self.process.interrupt.recv() => if self.begin_shutdown() { return Ok(End::Stopped) },
                Ok((socket, _)) = self.process.listener.accept() => self.accept(socket),
                Some(event) = self.stream_events.recv() => {
                    self.handle_stream_event(event);
                    // Takes in all that has arrived meanwhile before anything is decided.
                    for _ in 0..streams::EVENT_QUEUE_CAPACITY {
                        let Ok(event) = self.stream_events.try_recv() else { break };
                        self.handle_stream_event(event);
                    }
                }
                notification = list::next(&mut self.process.list) => self.handle_list(notification?),
                event = next_sharing_event(&mut self.shared) => sharing_event = Some(event),
                fleet_event = next_fleet_event(&mut self.process.fleet) => match fleet_event {
                    FleetEvent::ViewChanged => self.view_changed(),
                    FleetEvent::Hint(kind, number) => self.handle_hint(kind, number),
                    FleetEvent::Ended => return Err(CommandError::Failed("the view of the fleet has failed".to_owned())),
                },
                () = self.recorder.changed() => {}
                () = tokio::time::sleep_until(wakeup) => {}
            }
            self.pace.record_wakeup(self.clock.now());
            if let Some(why) = sharing_event.and_then(|event| self.handle_sharing_event(event)) {
                return Ok(End::MembershipEnded(why));
            }
            if let Some(error) = self.process.embedded.error() {
                return Err(CommandError::Failed(format!(
                    "the record failed, and nothing may be sent without it: {error}"
                )));
            }
            if let Some(error) = self.recorder.error() {
                return Ok(End::MembershipEnded(error));
            }
            if let Some(ticket) = self.recorder.durable() {
                if self.stats.last_durable.replace(ticket) != Some(ticket) {
                    tracing::debug!(ticket, "lines are durable");
                    Failpoint::hit(&mut self.process.failpoint, Point::Recorded);
                }
                self.host.recorded(ticket);
            }
            self.host.timeout(self.clock.now());
            self.publish_reach();
            if let Some(end) = self.advance_sharing() {
                return Ok(end);
            }
            if let Some(why) = self.process_outputs() {
                return Ok(End::MembershipEnded(why));
            }
        }
    }

    /// Notifies the other stewards which forwarders are joined here, and compares that with what they report.
    fn publish_reach(&mut self) {
        /// How often the metrics are read; the rounds of the view spread them.
        const INTERVAL: Time = ravenspar_steward::SECOND;
        let now = self.clock.now();
        if let Some(fleet) = self.process.fleet.as_ref().filter(|_| now >= self.next_reach_at) {
            let reach = ravenspar_view::ForwarderSummary::from_numbers(self.host.joined());
            fleet.set_forwarders(reach);
            self.next_reach_at = now + INTERVAL;
            let view = fleet.view.borrow();
            let others = view.settled.then(|| view.reaches.clone());
            let members = view.settled.then_some(view.members.len());
            drop(view);
            self.update_resting(reach.joined, others.as_deref());
            self.update_steward_count(members);
        }
    }

    /// Returns when the loop has to run again if no event comes before.
    fn next_wakeup(&self, now: Time) -> Time {
        let host = self.host.next_timeout(now);
        let Some(shared) = &self.shared else { return host };
        let membership = shared.session.membership.renew_at().min(shared.session.membership.until());
        let step = if shared.new_assignments.is_empty() {
            shared.session.fleet.next_at()
        } else {
            shared.new_assignments.ready_at(self.host.spare_lines()).min(shared.session.fleet.gives_up_at())
        };
        host.min(membership).min(step)
    }

    fn accept(&mut self, socket: tokio::net::TcpStream) {
        if self.streams.len() >= self.process.max_streams {
            self.stats.refused += 1;
            tracing::warn!(open = self.streams.len(), "stream refused: the limit on open streams is reached");
            return;
        }
        let number = self.next_stream;
        self.next_stream += 1;
        self.streams.insert(
            number,
            Stream::start(number, socket, &self.stream_events_tx, streams::MAX_QUEUED_FRAMES),
        );
        self.host.opened(self.clock.now(), number);
    }

    fn handle_stream_event(&mut self, event: StreamEvent) {
        let now = self.clock.now();
        match event {
            StreamEvent::Frame(stream, body) => self.host.frame(now, stream, &body),
            StreamEvent::Sent(stream) => self.host.sent(now, stream),
            StreamEvent::Closed(stream) => {
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
            Notification::Complete(rows) => {
                tracing::info!(servers = rows.len(), "the list has changed");
                self.stats.list_failed = false;
                // Recorded before any slice goes to a server that only this list names.
                self.process.embedded.write(RecordUpdate::List(rows.clone()));
                self.host.list_begin(ListScope::Complete);
                for row in &rows {
                    self.host.list_entry(
                        &row.id,
                        &row.zone,
                        &row.address,
                        list::health(row.health),
                        row.boot,
                    );
                }
                self.host.list_end(ListScope::Complete);
                self.process.last_list = rows;
                self.send_hint(kind::SERVER_LIST_CHANGED, 0);
            }
            Notification::FollowState(state) => self.process.embedded.write(RecordUpdate::FollowState(state)),
            Notification::Failed(why) => {
                if !std::mem::replace(&mut self.stats.list_failed, true) {
                    tracing::error!(%why, "the list can't be read, the last good one stays in use");
                }
                self.host.list_failed(now);
            }
        }
    }

    /// Carries out the host's outputs. Returns why the membership has ended, if it has.
    fn process_outputs(&mut self) -> Option<String> {
        loop {
            let now = self.clock.now();
            // Checked before each output: the process may be paused between any two.
            if self.shared.as_ref().is_some_and(|shared| !shared.session.membership.holds(now)) {
                return Some("the membership could not be renewed in time".to_owned());
            }
            let output = self.host.poll(now)?;
            match output {
                Output::Record { ticket, epoch, routes } => {
                    self.stats.batches += 1;
                    self.stats.lines += routes.len() as u64;
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
                    self.stats.last_ticket = Some(ticket);
                    self.recorder.write(RecordUpdate::Slices { ticket, rows });
                }
                Output::Frame { stream, body } => {
                    self.stats.messages += u64::from(body.first() == Some(&ravenspar_protocol::kind::TABLE));
                    if body.first() == Some(&ravenspar_protocol::kind::TABLE) {
                        Failpoint::hit(&mut self.process.failpoint, Point::Message);
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
                // The list source reports every change unasked.
                Output::Watch => {}
            }
        }
    }
}
