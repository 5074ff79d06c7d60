//! Decodes a batch line by line, passes each event to its steward, and encodes the resulting orders as the reply.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::{self, BufRead, Write};
use std::str::FromStr;

use ravenspar_steward::{
    from_seconds, Health, IdTable, ListScope, Order, Settings, Steward, Time, FULL_WEIGHT, SECOND,
};

/// One steward with its own id tables. Instances share no state.
struct Instance {
    steward: Steward,
    servers: IdTable<u32>,
    kinds: IdTable<String>,
    slices: usize,
}

/// All stewards of a simulation, and the state of the batch that is being read.
#[derive(Default)]
pub struct Drill {
    instances: BTreeMap<u32, Instance>,
    /// The numbered server lists as raw lines; they are decoded for each instance whose event names one.
    lists: BTreeMap<u8, Vec<String>>,
    /// Number of the list that the next entries belong to.
    open_list: Option<u8>,
    /// Instances with an event in this batch, in order of their first one.
    active: Vec<u32>,
    /// Required settings that were missing, by instance.
    missing_settings: BTreeMap<u32, &'static str>,
}

/// A decoded input line: the name of the message and its fields.
struct Message<'a> {
    name: &'a str,
    fields: Vec<(&'a str, &'a str)>,
}

impl<'a> Message<'a> {
    fn parse(text: &'a str) -> Message<'a> {
        let mut parts = text.split(' ').filter(|part| !part.is_empty());
        let name = parts.next().unwrap_or("");
        Message { name, fields: parts.filter_map(|part| part.split_once('=')).collect() }
    }

    fn text(&self, field: &str) -> Result<&'a str, String> {
        let found = self.fields.iter().find(|(name, _)| *name == field);
        found.map(|(_, value)| *value).ok_or_else(|| format!("{}: field {field} is missing", self.name))
    }

    fn get<T: FromStr>(&self, field: &str) -> Result<T, String> {
        let value = self.text(field)?;
        value.parse().map_err(|_| format!("{}: field {field} can't be read: {value:.80}", self.name))
    }

    fn number(&self, field: &str) -> Result<f64, String> {
        let value: f64 = self.get(field)?;
        if value.is_finite() && value.abs() < 1e12 {
            Ok(value)
        } else {
            Err(format!("{}: field {field} is out of range: {value}", self.name))
        }
    }

    fn time(&self, field: &str) -> Result<Time, String> {
        self.number(field).map(from_seconds)
    }

    fn flag(&self, field: &str) -> Result<bool, String> {
        match self.text(field)? {
            "1" | "true" => Ok(true),
            "0" | "false" => Ok(false),
            value => Err(format!("{}: field {field} can't be read: {value:.80}", self.name)),
        }
    }

    fn instance(&self) -> Result<u32, String> {
        let value = self.text("i")?;
        let number = value.strip_prefix("steward-").and_then(|number| number.parse().ok());
        number.ok_or_else(|| format!("{}: field i can't be read: {value:.80}", self.name))
    }
}

impl Drill {
    /// Answers batches until the input ends; errors in single lines go to `report_error`.
    pub fn run(
        &mut self,
        input: impl BufRead,
        mut out: impl Write,
        mut report_error: impl FnMut(&str),
    ) -> io::Result<()> {
        let mut batch: Option<(Time, u64)> = None;
        for line in input.split(b'\n') {
            let bytes = line?;
            let text = String::from_utf8_lossy(&bytes);
            let text = text.trim_end_matches('\r');
            let line = Message::parse(text);
            let result = match (line.name, batch) {
                ("", _) => Ok(()),
                ("BEGIN_BATCH", open) => {
                    if open.is_some() {
                        report_error("BEGIN_BATCH: the batch before it has no YOUR_TURN");
                    }
                    self.active.clear();
                    self.open_list = None;
                    line.time("ts_s").and_then(|now| line.get("seq").map(|seq| batch = Some((now, seq))))
                }
                (name, None) => Err(format!("{name:.80}: outside a batch")),
                ("YOUR_TURN", Some((now, seq))) => {
                    let reply = self.reply(now, seq);
                    out.write_all(reply.as_bytes())?;
                    out.flush()?;
                    batch = None;
                    Ok(())
                }
                (_, Some((now, _))) => self.event(now, &line, text),
            };
            if let Err(error) = result {
                report_error(&error);
            }
        }
        match batch {
            None => Ok(()),
            Some(_) => Err(io::Error::new(io::ErrorKind::UnexpectedEof, "the input ends within a batch")),
        }
    }

    fn event(&mut self, now: Time, line: &Message, text: &str) -> Result<(), String> {
        if line.name == "M" {
            let sheet = self.open_list.ok_or("M: no SNAPSHOT_ROWS before it")?;
            self.lists.entry(sheet).or_default().push(text.to_owned());
            return Ok(());
        }
        self.open_list = None;
        if line.name == "SNAPSHOT_ROWS" {
            let sheet = line.get("sheet")?;
            if sheet > 15 {
                return Err(format!("SNAPSHOT_ROWS: field sheet is out of range: {sheet}"));
            }
            self.open_list = Some(sheet);
            self.lists.insert(sheet, Vec::new());
            return line.get::<usize>("hosts").map(|_| ());
        }
        let number = line.instance()?;
        if line.name == "BEGIN" {
            self.instances.remove(&number);
            self.mark_active(number);
            return self.begin(now, number, line);
        }
        if line.name == "STOP" {
            self.active.retain(|&active| active != number);
            return match self.instances.remove(&number) {
                Some(_) => Ok(()),
                None => Err(format!("STOP: steward-{number} was never started")),
            };
        }
        let instance = self
            .instances
            .get_mut(&number)
            .ok_or_else(|| format!("{}: steward-{number} was never started", line.name))?;
        instance.apply(now, line, &self.lists)?;
        self.mark_active(number);
        Ok(())
    }

    fn mark_active(&mut self, number: u32) {
        if !self.active.contains(&number) {
            self.active.push(number);
        }
    }

    fn begin(&mut self, now: Time, number: u32, line: &Message) -> Result<(), String> {
        let seed = line.get("rng_seed")?;
        let mut settings = Settings::default();
        line.fields.iter().for_each(|(name, value)| settings.set(name, value));
        let (kinds, slices) = (settings.kinds(), settings.slices());
        match Steward::new(now, seed, settings) {
            Ok(steward) => {
                self.instances
                    .insert(number, Instance { steward, servers: IdTable::default(), kinds, slices });
            }
            Err(name) => {
                self.missing_settings.insert(number, name);
            }
        }
        Ok(())
    }

    fn reply(&mut self, now: Time, seq: u64) -> String {
        let mut reply = String::new();
        for number in self.active.drain(..) {
            if let Some(name) = self.missing_settings.remove(&number) {
                let _ = writeln!(reply, "GIVE_IN i=steward-{number} words=the setting {name} is missing");
            }
            if let Some(instance) = self.instances.get_mut(&number) {
                instance.steward.notification_received(now);
                while let Some(order) = instance.steward.next_order(now) {
                    instance.write_order(number, &order, &mut reply);
                }
            }
        }
        let _ = writeln!(reply, "FINISHED seq={seq}");
        reply
    }
}

impl Instance {
    fn server(&mut self, line: &Message) -> Result<usize, String> {
        Ok(self.servers.index(&line.get("host")?))
    }

    fn slice(&self, line: &Message) -> Result<usize, String> {
        let slice = line.get("map_id")?;
        if slice < self.slices {
            Ok(slice)
        } else {
            Err(format!("{}: field map_id is out of range: {slice}", line.name))
        }
    }

    fn apply(&mut self, now: Time, line: &Message, lists: &BTreeMap<u8, Vec<String>>) -> Result<(), String> {
        let proxy = |line: &Message| line.get::<u16>("client_lb").map(usize::from);
        match line.name {
            "MEMBERSHIP" => self.list(now, line, lists)?,
            "JOINED" => self.steward.proxy_joined(proxy(line)?, line.number("heft").unwrap_or(0.0)),
            "STREAM_DOWN" => self.steward.proxy_disconnected(now, proxy(line)?),
            "INSTALLED" => self.steward.mark_answered(now, proxy(line)?, line.get("number")?),
            "GIVEN" => {
                let slice = self.slice(line)?;
                match line.flag("active")? {
                    true => self.steward.slice_assigned(now, slice),
                    false => self.steward.slice_unassigned(slice),
                }
            }
            "ON_RECORD" => {
                let slice = self.slice(line)?;
                let weight = line.number("heft")?;
                let server = self.server(line)?;
                self.steward.line_recorded(now, slice, server, weight);
            }
            "TRAFFIC_REPORT" => {
                let (count, failed) = (line.number("tries_n")?, line.number("failed")?);
                let took = line.time("took_s")?;
                let loads = line.text("feedback").unwrap_or("").split(',');
                let util =
                    loads.filter_map(|load| load.split_once(':')).find(|(name, _)| *name == "cpu_share");
                let util =
                    util.and_then(|(_, value)| value.parse().ok()).filter(|util: &f64| util.is_finite());
                let server = self.server(line)?;
                self.steward.traffic_reported(now, server, count, failed, took, util);
            }
            "HOTNESS" => {
                let name = line.text("qos")?;
                let kind = self.kinds.find(&name.to_owned());
                let kind = kind.ok_or_else(|| format!("HOTNESS: field qos is unknown: {name:.80}"))?;
                let (slice, count) = (self.slice(line)?, line.number("tries_n")?);
                self.steward.demand_reported(now, slice, kind, count, line.time("window_s")?);
            }
            "REMINDER" => self.steward.reminder(),
            "TRAFFIC" | "HEARD" | "PING_RESULT" => {}
            name => return Err(format!("{name:.80}: unknown message")),
        }
        Ok(())
    }

    fn list(&mut self, now: Time, line: &Message, lists: &BTreeMap<u8, Vec<String>>) -> Result<(), String> {
        let scope = match line.text("scope")? {
            "error" => {
                self.steward.list_failed(now);
                return Ok(());
            }
            "diff" => ListScope::Changes,
            "snapshot" => ListScope::Complete,
            "disk" => ListScope::Stored,
            value => return Err(format!("MEMBERSHIP: field scope can't be read: {value:.80}")),
        };
        let sheet: u8 = line.get("sheet")?;
        let entries =
            lists.get(&sheet).ok_or_else(|| format!("MEMBERSHIP: field sheet is unknown: {sheet}"))?;
        let mut error = Ok(());
        self.steward.list_begin(scope);
        for entry in entries {
            error = error.and(self.list_entry(&Message::parse(entry)));
        }
        self.steward.list_end(scope);
        error
    }

    fn list_entry(&mut self, entry: &Message) -> Result<(), String> {
        let health = match entry.text("health")? {
            "healthy" => Health::Ready,
            "cordoned" => Health::Draining,
            "deregistered" => Health::Gone,
            value => return Err(format!("M: field health can't be read: {value:.80}")),
        };
        let boot = if entry.text("boot_time_s").is_ok() { entry.time("boot_time_s")? } else { 0 };
        let server = self.server(entry)?;
        self.steward.list_entry(server, health, boot);
        Ok(())
    }

    /// Writes an order as a line of the reply, with the ids from this instance's tables.
    fn write_order(&self, number: u32, order: &Order, reply: &mut String) {
        let host = |server: &usize| self.servers.id(*server).copied().unwrap_or_default();
        let i = format!("i=steward-{number}");
        // Writing to a string can't fail.
        let _ = match order {
            Order::SetLine { slice, server } => {
                writeln!(reply, "SET_LINE {i} map_id={slice} heft={FULL_WEIGHT} host={}", host(server))
            }
            Order::DropLines { slice } => writeln!(reply, "DROP_LINES {i} map_id={slice}"),
            Order::SetLevel { slice, kinds, share } => {
                let table = slice.unwrap_or(65_535);
                writeln!(reply, "RATION {i} quota={share} only={kinds} retry_mode=0 map_id={table}")
            }
            Order::Withdraw { server, out } => {
                writeln!(reply, "WITHDRAW {i} host={} active={}", host(server), u8::from(*out))
            }
            Order::Mark { number } => writeln!(reply, "STAMP {i} number={number} active=1"),
            Order::SubscribeList => writeln!(reply, "STREAM_CHANGES {i} active=1"),
            Order::Remind { at } => {
                writeln!(reply, "REMIND {i} ctx=1 time_s={}.{:04}", at / SECOND, at % SECOND)
            }
        };
    }
}

#[cfg(test)]
mod tests;
