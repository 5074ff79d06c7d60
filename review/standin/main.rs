//! Stand-in for the platform of a small deployment: relay and store, channel, proxies, hosts, discovery and
//! collectors, on loopback sockets and the real clock. It starts stewards with the deploy file's `run`, plays one case
//! and judges it by what crossed the sockets. Standard library only.

mod cases;
mod discovery;
mod forwarder;
mod json;
mod list_store;
mod proxies;
mod relay;
mod steward;
mod world;

fn main() {
    let name = std::env::args().nth(1).unwrap_or_default();
    let record = std::env::args().nth(2).unwrap_or_else(|| "record.txt".to_owned());
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    std::process::exit(cases::play(&name, trouble, &record));
}
