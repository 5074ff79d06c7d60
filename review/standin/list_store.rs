//! A list of servers in a store with etcd's public API, as much of it as a follower calls: a range, and a watch with
//! progress. HTTP/2 and gRPC are spoken by hand; the two calls are told apart by their first message.

use std::collections::{BTreeMap, HashMap};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::world::Shared;

const PREFIX: &str = "/ravenspar/servers/";

#[derive(Default)]
pub struct Keys {
    revision: i64,
    keys: BTreeMap<String, (String, i64)>,
    /// All changes: revision, id, and the value if it was put.
    log: Vec<(i64, String, Option<String>)>,
    sockets: Vec<TcpStream>,
    away: bool,
    /// Grows as connections are broken; a watch of an earlier one delivers nothing more.
    broken: u64,
    /// The next watch that has two events to deliver gets the later one first.
    pub reorder: bool,
    /// When each change was written to the follower.
    pub written: Vec<(i64, Instant)>,
}

#[derive(Clone)]
pub struct ListStore {
    pub address: SocketAddr,
    pub keys: Arc<Mutex<Keys>>,
}

impl ListStore {
    pub fn start(world: &Shared) -> std::io::Result<ListStore> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = ListStore { address: listener.local_addr()?, keys: Arc::default() };
        let (serving, world) = (store.clone(), world.clone());
        std::thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let (serving, world) = (serving.clone(), world.clone());
                std::thread::spawn(move || drop(serving.serve(socket, &world)));
            }
        });
        Ok(store)
    }

    pub fn with<T>(&self, act: impl FnOnce(&mut Keys) -> T) -> T {
        act(&mut self.keys.lock().unwrap_or_else(|poisoned| poisoned.into_inner()))
    }

    /// Puts a server's key, or deletes it; returns the revision.
    pub fn set(&self, id: &str, value: Option<String>) -> i64 {
        self.with(|keys| {
            keys.revision += 1;
            let revision = keys.revision;
            match &value {
                Some(value) => drop(keys.keys.insert(id.to_owned(), (value.clone(), revision))),
                None => drop(keys.keys.remove(id)),
            }
            keys.log.push((revision, id.to_owned(), value));
            revision
        })
    }

    /// Breaks all connections and takes no new one, until it is back.
    pub fn set_away(&self, away: bool) {
        self.with(|keys| {
            keys.away = away;
            keys.broken += 1;
            keys.sockets.drain(..).for_each(|socket| drop(socket.shutdown(Shutdown::Both)));
        });
    }

    pub fn written(&self, revision: i64) -> Option<Instant> {
        self.with(|keys| keys.written.iter().find(|(at, _)| *at == revision).map(|(_, when)| *when))
    }

    fn serve(&self, mut socket: TcpStream, world: &Shared) -> std::io::Result<()> {
        if self.with(|keys| keys.away) {
            return Ok(());
        }
        socket.set_nodelay(true)?;
        let copy = socket.try_clone()?;
        self.with(|keys| keys.sockets.push(copy));
        let writer = Arc::new(Mutex::new(socket.try_clone()?));
        let mut preface = [0; 24];
        socket.read_exact(&mut preface)?;
        send(&writer, 4, 0, 0, &[])?;
        let mut bodies: HashMap<u32, Vec<u8>> = HashMap::new();
        loop {
            let mut head = [0; 9];
            socket.read_exact(&mut head)?;
            let length = u32::from_be_bytes([0, head[0], head[1], head[2]]) as usize;
            let (kind, flags) = (head[3], head[4]);
            let stream = u32::from_be_bytes([head[5], head[6], head[7], head[8]]) & 0x7fff_ffff;
            let mut payload = vec![0; length];
            socket.read_exact(&mut payload)?;
            match kind {
                0 => {
                    let body = bodies.entry(stream).or_default();
                    body.extend(payload);
                    while body.len() >= 5 {
                        let length = u32::from_be_bytes([body[1], body[2], body[3], body[4]]) as usize;
                        if body.len() < 5 + length {
                            break;
                        }
                        let message: Vec<u8> = body.drain(..5 + length).skip(5).collect();
                        self.message(world, &writer, stream, &message)?;
                    }
                }
                4 if flags & 1 == 0 => send(&writer, 4, 1, 0, &[])?,
                6 if flags & 1 == 0 => send(&writer, 6, 1, 0, &payload)?,
                _ => {}
            }
        }
    }

    fn header(&self) -> Vec<u8> {
        let revision = self.with(|keys| keys.revision);
        [number(1, 7), number(2, 1), number(3, revision as u64), number(4, 1)].concat()
    }

    fn message(
        &self,
        world: &Shared,
        writer: &Arc<Mutex<TcpStream>>,
        stream: u32,
        message: &[u8],
    ) -> std::io::Result<()> {
        match (message.first(), message.get(2).copied()) {
            // A progress request.
            (Some(0x1a), _) => respond(writer, stream, &bytes(1, &self.header())),
            // A watch: its create request begins with the key.
            (Some(0x0a), Some(0x0a)) => {
                let from = field(&message[2..], 3).unwrap_or(1) as i64;
                world.note(format!("the list's store: a watch from revision {from} begins"));
                open(writer, stream)?;
                respond(writer, stream, &[bytes(1, &self.header()), number(3, 1)].concat())?;
                let (store, writer, world) = (self.clone(), writer.clone(), world.clone());
                std::thread::spawn(move || store.watch(&world, &writer, stream, from));
                Ok(())
            }
            _ => {
                open(writer, stream)?;
                let entries: Vec<Vec<u8>> = self.with(|keys| {
                    keys.keys
                        .iter()
                        .map(|(id, (value, at))| bytes(2, &key_value(id, Some(value), *at)))
                        .collect()
                });
                let count = entries.len() as u64;
                let body = [bytes(1, &self.header()), entries.concat(), number(4, count)].concat();
                respond(writer, stream, &body)?;
                world.note(format!("the list's store: {count} keys are read"));
                let status = [&[0x00, 11][..], b"grpc-status", &[1], b"0"].concat();
                send(writer, 1, 4 | 1, stream, &status)
            }
        }
    }

    /// Delivers the changes from a revision on.
    fn watch(
        &self,
        world: &Shared,
        writer: &Arc<Mutex<TcpStream>>,
        stream: u32,
        from: i64,
    ) -> std::io::Result<()> {
        let mut next = from;
        let opened = self.with(|keys| keys.broken);
        loop {
            std::thread::sleep(Duration::from_millis(20));
            if world.lock().over || self.with(|keys| keys.broken != opened) {
                return Ok(());
            }
            let (mut due, reorder) = self.with(|keys| {
                let due = keys.log.iter().filter(|(at, ..)| *at >= next).cloned().collect::<Vec<_>>();
                (due, keys.reorder)
            });
            if let Some((last, ..)) = due.last() {
                next = last + 1;
            }
            if reorder && due.len() >= 2 {
                self.with(|keys| keys.reorder = false);
                due.reverse();
            }
            for (at, id, value) in due {
                let kind = if value.is_some() { Vec::new() } else { number(1, 1) };
                let event = [kind, bytes(2, &key_value(&id, value.as_deref(), at))].concat();
                respond(writer, stream, &[bytes(1, &self.header()), bytes(11, &event)].concat())?;
                self.with(|keys| keys.written.push((at, Instant::now())));
                let what = value.unwrap_or_else(|| "deleted".to_owned());
                world.note(format!("the list's store writes the event of revision {at}: {id} {what}"));
                std::thread::sleep(Duration::from_millis(100));
            }
        }
    }
}

fn key_value(id: &str, value: Option<&str>, at: i64) -> Vec<u8> {
    let key = bytes(1, format!("{PREFIX}{id}").as_bytes());
    match value {
        Some(value) => {
            [key, number(2, at as u64), number(3, at as u64), number(4, 1), bytes(5, value.as_bytes())]
                .concat()
        }
        None => [key, number(3, at as u64)].concat(),
    }
}

pub fn varint(mut value: u64) -> Vec<u8> {
    let mut out = Vec::new();
    while value >= 0x80 {
        out.push(value as u8 | 0x80);
        value >>= 7;
    }
    out.push(value as u8);
    out
}

fn number(field: u64, value: u64) -> Vec<u8> {
    [varint(field << 3), varint(value)].concat()
}

fn bytes(field: u64, content: &[u8]) -> Vec<u8> {
    [varint(field << 3 | 2), varint(content.len() as u64), content.to_vec()].concat()
}

pub fn read_varint(bytes: &[u8], at: &mut usize) -> Option<u64> {
    let (mut value, mut shift) = (0, 0);
    loop {
        let byte = *bytes.get(*at)?;
        *at += 1;
        value |= u64::from(byte & 0x7f) << shift;
        if byte < 0x80 {
            return Some(value);
        }
        shift += 7;
    }
}

/// Returns a number field of a message.
fn field(message: &[u8], wanted: u64) -> Option<u64> {
    let mut at = 0;
    while at < message.len() {
        let tag = read_varint(message, &mut at)?;
        let value = read_varint(message, &mut at)?;
        match tag & 7 {
            0 if tag >> 3 == wanted => return Some(value),
            2 => at += value as usize,
            _ => {}
        }
    }
    None
}

fn send(writer: &Mutex<TcpStream>, kind: u8, flags: u8, stream: u32, payload: &[u8]) -> std::io::Result<()> {
    let length = (payload.len() as u32).to_be_bytes();
    let head = [&length[1..], &[kind, flags], &stream.to_be_bytes()].concat();
    let mut socket = writer.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    socket.write_all(&[&head, payload].concat())
}

/// Opens the response: status 200, and the content type.
fn open(writer: &Mutex<TcpStream>, stream: u32) -> std::io::Result<()> {
    send(writer, 1, 4, stream, &[&[0x88, 0x0f, 0x10, 16][..], b"application/grpc"].concat())
}

fn respond(writer: &Mutex<TcpStream>, stream: u32, message: &[u8]) -> std::io::Result<()> {
    let length = (message.len() as u32).to_be_bytes();
    send(writer, 0, 0, stream, &[&[0][..], &length, message].concat())
}
