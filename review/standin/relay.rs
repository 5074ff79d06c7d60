//! The relay: calls, and subscriptions to the store's news.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use crate::json::Json;
use crate::world::{Change, Event, Shared, State};

/// Starts the relay of one steward.
pub fn start(world: &Shared, steward: usize) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let world = world.clone();
    std::thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let world = world.clone();
            std::thread::spawn(move || drop(serve(&world, steward, socket)));
        }
    });
    Ok(address)
}

fn serve(world: &Shared, steward: usize, socket: TcpStream) -> std::io::Result<()> {
    socket.set_nodelay(true)?;
    let number = {
        let mut state = world.lock();
        if state.links[steward].away {
            return Ok(());
        }
        state.links[steward].connections += 1;
        state.links[steward].connections
    };
    let mut writer = socket.try_clone()?;
    let mut lines = BufReader::new(socket);
    let mut line = String::new();
    while lines.read_line(&mut line)? > 0 {
        let call = Json::parse(line.trim()).unwrap_or(Json::Null);
        line.clear();
        let id = call.get("id").number().unwrap_or(0.0) as u64;
        match call.get("method").text() {
            Some("subscribe") => subscribe(world, steward, number, id, writer.try_clone()?)?,
            Some("commit") => {
                let mut state = world.lock();
                state.links[steward].calls += 1;
                let taken = commit(&mut state, world, steward, call.get("params").get("changes").list());
                drop(state);
                writeln!(writer, r#"{{"jsonrpc":"2.0","id":{id},"result":{{"ok_count":{taken}}}}}"#)?;
            }
            _ => writeln!(
                writer,
                r#"{{"jsonrpc":"2.0","id":{id},"error":{{"code":-32600,"message":"ValidationError"}}}}"#
            )?,
        }
    }
    world.lock().links[steward].news.retain(|(of, _)| *of != number);
    Ok(())
}

/// What stands comes first, then the news.
fn subscribe(
    world: &Shared,
    steward: usize,
    number: u64,
    id: u64,
    mut socket: TcpStream,
) -> std::io::Result<()> {
    let mut state = world.lock();
    let mut text = format!("{{\"jsonrpc\":\"2.0\",\"id\":{id},\"result\":true}}\n");
    for proxy in 0..world.site.proxies {
        if state.proxies[proxy].joined[steward].is_some() {
            text += &state.joined_line(proxy, steward, &world.site);
            text.push('\n');
        }
    }
    for slice in 0..world.site.slices {
        if state.slices[slice].charge == Some(steward) && state.slices[slice].kept_for.is_none() {
            for line in state.grant_lines(slice) {
                text += &line;
                text.push('\n');
            }
        }
    }
    socket.write_all(text.as_bytes())?;
    socket.set_write_timeout(Some(Duration::from_millis(200)))?;
    state.links[steward].news.push((number, socket));
    let begun = world.begun;
    state.note(begun, format!("relay of n{steward}: subscription begins"));
    if !state.links[steward].up {
        state.came_up(steward, &world.site);
    }
    Ok(())
}

/// Carries out a call's orders, and returns how many it took. What it orders is one message for each joined proxy.
fn commit(state: &mut State, world: &Shared, steward: usize, orders: &[Json]) -> usize {
    let site = &world.site;
    let mut changes = Vec::new();
    let mut words = Vec::new();
    let class = |name: &Json| ["quote", "commit"].iter().position(|class| name.text() == Some(class));
    for order in orders {
        let slice = order.get("cluster").number().map(|slice| slice as usize);
        let held = slice
            .is_none_or(|slice| state.slices.get(slice).is_some_and(|entry| entry.charge == Some(steward)));
        match order.get("verb").text() {
            Some("share") => {
                let (Some(slice), Some(host)) = (slice, order.get("target").text()) else { break };
                words.push(format!("{slice}->{host}"));
                if held {
                    state.slices[slice].line = Some(host.to_owned());
                    changes.push(Change::Line(slice, Some(host.to_owned())));
                }
            }
            Some("clear") => {
                let Some(slice) = slice else { break };
                words.push(format!("{slice}->none"));
                if held {
                    state.slices[slice].line = None;
                    changes.push(Change::Line(slice, None));
                }
            }
            Some("admit") => {
                let Some(level) = order.get("admit").number() else { break };
                let classes: Vec<usize> = order.get("routes").list().iter().filter_map(class).collect();
                let classes = if classes.is_empty() { vec![0, 1] } else { classes };
                words.push(format!("{slice:?}@{level}"));
                if held {
                    changes.push(Change::Level(slice, classes, level));
                }
            }
            Some("mark") => {
                let Some(number) = order.get("nonce_out").number() else { break };
                words.push(format!("mark {number}"));
                changes.push(Change::Mark(number as u64));
            }
            _ => break,
        }
    }
    let taken = words.len();
    state.note(world.begun, format!("call of n{steward}: {}", words.join(" ")));
    // One message for each joined proxy: the head and its lines.
    let now = Instant::now();
    let mut at = state.links[steward].channel_free.map_or(now, |free| free.max(now));
    for proxy in 0..site.proxies {
        if state.proxies[proxy].joined[steward].is_none() {
            continue;
        }
        at += Duration::from_secs_f64((site.head + changes.len() as f64) / site.rate);
        let epoch = state.proxies[proxy].epoch[steward];
        let arrives = at + state.between(site.late_s);
        state.schedule(arrives, Event::Apply { proxy, steward, epoch, changes: changes.clone(), sent: now });
    }
    state.links[steward].channel_free = Some(at);
    state.links[steward].written.push(now);
    taken
}
