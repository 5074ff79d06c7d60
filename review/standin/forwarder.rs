//! A forwarder of the plain stream (`docs/protocol.md`): it holds the table that one steward publishes.

use std::collections::{BTreeMap, HashMap};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use crate::list_store::{read_varint, varint};
use crate::proxies::send;
use crate::world::{Shared, Try};

fn frame(kind: u8, fields: &[(u8, Vec<u64>, &str)]) -> Vec<u8> {
    let mut body = vec![kind];
    for (tag, numbers, text) in fields {
        let mut content: Vec<u8> = numbers.iter().flat_map(|number| varint(*number)).collect();
        content.extend(text.as_bytes());
        body.push(*tag);
        body.extend(varint(content.len() as u64));
        body.extend(content);
    }
    [&(body.len() as u32).to_be_bytes()[..], &body].concat()
}

#[derive(Default)]
struct Table {
    servers: HashMap<u64, (String, String)>,
    lines: BTreeMap<u64, u64>,
}

impl Table {
    /// Takes in one field.
    fn take(&mut self, tag: u8, content: &[u8]) -> Option<()> {
        let mut at = 0;
        let mut number = || read_varint(content, &mut at);
        match tag {
            14 | 15 => {
                let server = number()?;
                let text = String::from_utf8_lossy(&content[at..]).into_owned();
                let entry = self.servers.entry(server).or_default();
                *(if tag == 14 { &mut entry.0 } else { &mut entry.1 }) = text;
            }
            16 | 28 => {
                let (slice, server) = (number()?, number()?);
                self.lines.insert(slice, server);
            }
            17 => {
                let slice = number()?;
                self.lines.remove(&slice);
            }
            27 | 29 => {
                let (first, count) = (number()?, number()?);
                self.lines.retain(|slice, _| !(first..first + count).contains(slice));
            }
            _ => {}
        }
        Some(())
    }
}

/// Follows a steward and sends requests by its table, until the case is over.
pub fn run(world: Shared, proxy: usize, steward: String) -> std::io::Result<()> {
    let mut socket = TcpStream::connect(&steward)?;
    socket.set_nodelay(true)?;
    let rate = world.site.reqs_per_s / world.site.proxies as f64;
    let usual = (rate * 1e6) as u64;
    socket.write_all(&frame(
        1,
        &[
            (1, vec![2], ""),
            (2, vec![proxy as u64], ""),
            (3, vec![proxy as u64 + 1], ""),
            (4, vec![usual], ""),
            (5, vec![], "a"),
        ],
    ))?;
    socket.set_read_timeout(Some(Duration::from_millis(2)))?;
    let (mut table, mut partial) = (Table::default(), Table::default());
    let (mut received, mut open) = (Vec::new(), HashMap::new());
    let begun = Instant::now();
    let (mut next_ping, mut next_report) = (begun, begun);
    let mut next_req = begun;
    let (mut met, mut arrived) = (BTreeMap::<u64, (u64, u64)>::new(), BTreeMap::<(u64, u64), u64>::new());
    loop {
        let mut part = [0; 65_536];
        match socket.read(&mut part) {
            Ok(0) => return Ok(()),
            Ok(read) => received.extend_from_slice(&part[..read]),
            Err(error)
                if matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {}
            Err(error) => return Err(error),
        }
        while received.len() >= 4 {
            let length = u32::from_be_bytes([received[0], received[1], received[2], received[3]]) as usize;
            if received.len() < 4 + length {
                break;
            }
            let body: Vec<u8> = received.drain(..4 + length).skip(4).collect();
            let (kind, mut at, mut answers) = (body[0], 1, Vec::new());
            while at < body.len() {
                let tag = body[at];
                at += 1;
                let Some(length) = read_varint(&body, &mut at) else { break };
                let content = &body[at..at + length as usize];
                at += length as usize;
                match (kind, tag) {
                    (4 | 5, 20 | 21) => {
                        answers.push((tag, vec![read_varint(content, &mut 0).unwrap_or(0)], ""));
                        if kind == 4 {
                            table = std::mem::take(&mut partial);
                        }
                    }
                    (4, _) => drop(partial.take(tag, content)),
                    (5, _) => drop(table.take(tag, content)),
                    _ => {}
                }
            }
            if !answers.is_empty() {
                socket.write_all(&frame(6, &answers))?;
            }
        }
        let now = Instant::now();
        if now >= next_ping {
            next_ping = now + Duration::from_millis(200);
            let sent = begun.elapsed().as_micros() as u64 / 100;
            socket.write_all(&frame(7, &[(22, vec![sent], "")]))?;
        }
        if now >= next_report {
            next_report = now + Duration::from_millis(500);
            let mut fields = vec![(23, vec![5_000], "")];
            for (server, (tries, failed)) in std::mem::take(&mut met) {
                fields.push((24, vec![server, tries, failed, 1_500], ""));
            }
            for ((slice, kind), count) in std::mem::take(&mut arrived) {
                fields.push((25, vec![slice, kind, count], ""));
            }
            socket.write_all(&frame(9, &fields))?;
        }
        if now < next_req {
            continue;
        }
        next_req += Duration::from_secs_f64(1.0 / rate);
        let (slice, class) = {
            let mut state = world.lock();
            if state.over {
                return Ok(());
            }
            let slice = (state.random() * world.site.slices as f64) as usize;
            // Reads alone: they need no lease.
            (slice, 0)
        };
        *arrived.entry((slice as u64, class as u64)).or_default() += 1;
        let Some((server, (host, address))) = table
            .lines
            .get(&(slice as u64))
            .and_then(|server| Some((*server, table.servers.get(server)?.clone())))
        else {
            world.lock().refused += 1;
            continue;
        };
        let at = Instant::now();
        let sent = send(&mut open, &host, &address, &format!("{proxy} {slice}\n"));
        if sent.is_err() {
            open.remove(&host);
        }
        let entry = met.entry(server).or_default();
        *entry = (entry.0 + 1, entry.1 + u64::from(sent.is_err()));
        world.lock().tries.push(Try {
            at,
            proxy,
            slice,
            class,
            host,
            answered: sent.is_ok(),
            charge: Some(0),
            joined: Some(begun),
            given: Some(begun),
        });
    }
}
