//! The way of notes between stewards: some are lost, doubled, late and out of order.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::task::spawn_local;

#[derive(Default)]
struct Counts {
    came: Cell<u64>,
    lost: Cell<u64>,
}

/// One socket before each steward's own.
pub struct NotesWay {
    ways: Vec<(SocketAddr, SocketAddr)>,
    counts: Rc<Counts>,
}

impl NotesWay {
    /// `lose`: the share that is lost; with any lost, a tenth are doubled and each is up to 25 ms late (the brief's 5.4).
    /// Makes the key's file in the folder.
    pub async fn start(stewards: usize, lose: f64, dir: &Path) -> std::io::Result<NotesWay> {
        use std::os::unix::fs::PermissionsExt as _;
        let key = dir.join("notes.key");
        std::fs::write(&key, "a key for notes between stewards of a lab's day")?;
        std::fs::set_permissions(&key, std::fs::Permissions::from_mode(0o600))?;
        let counts: Rc<Counts> = Rc::default();
        let mut ways = Vec::new();
        for steward in 0..stewards {
            let near = UdpSocket::bind("127.0.0.1:0").await?;
            // A port that the system has just found free; the steward binds it at once.
            let far = std::net::UdpSocket::bind("127.0.0.1:0")?.local_addr()?;
            ways.push((near.local_addr()?, far));
            let counts = counts.clone();
            let chance = RefCell::new(fastrand::Rng::with_seed(steward as u64));
            spawn_local(async move {
                let near = Rc::new(near);
                let mut buffer = [0; 128];
                loop {
                    let Ok((length, _)) = near.recv_from(&mut buffer).await else { continue };
                    counts.came.set(counts.came.get() + 1);
                    if chance.borrow_mut().f64() < lose {
                        counts.lost.set(counts.lost.get() + 1);
                        continue;
                    }
                    let times = 1 + usize::from(lose > 0.0 && chance.borrow_mut().f64() < 0.1);
                    for _ in 0..times {
                        let late = if lose > 0.0 { chance.borrow_mut().u64(0..25) } else { 0 };
                        let (near, note) = (near.clone(), buffer[..length].to_vec());
                        spawn_local(async move {
                            tokio::time::sleep(Duration::from_millis(late)).await;
                            let _ = near.send_to(&note, far).await;
                        });
                    }
                }
            });
        }
        Ok(NotesWay { ways, counts })
    }

    /// What a steward's `share` says of notes, behind what else it says.
    pub fn settings(&self, steward: usize) -> String {
        let (near, far) = self.ways[steward];
        format!(", notes: {{listen: \"{far}\", address: \"{near}\", key: notes.key}}")
    }

    /// The same as JSON.
    pub fn share(&self, steward: usize) -> serde_json::Value {
        let (near, far) = self.ways[steward];
        serde_json::json!({ "listen": far.to_string(), "address": near.to_string(), "key": "notes.key" })
    }

    pub fn counts(&self) -> String {
        format!("{} sent, {} lost", self.counts.came.get(), self.counts.lost.get())
    }
}
