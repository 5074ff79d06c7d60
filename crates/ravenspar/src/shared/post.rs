//! Notes to and from other stewards, over UDP.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

use ravenspar_notes::{Inbox, Outbox, LENGTH};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use super::life::Event;
use crate::settings::Notes;

/// What lasts as long as the process: the socket and the key.
#[derive(Clone)]
pub struct Office {
    socket: Arc<UdpSocket>,
    key: Arc<Vec<u8>>,
    /// Where others reach it.
    pub address: SocketAddr,
}

impl Office {
    /// Fails with what is wrong.
    pub async fn open(notes: &Notes) -> Result<Office, String> {
        let key = read_key(&notes.key)?;
        let socket = UdpSocket::bind(notes.listen).await.map_err(|e| format!("{}: {e}", notes.listen))?;
        let own = socket.local_addr().map_err(|e| e.to_string())?;
        let address = notes.address.unwrap_or(own);
        Ok(Office { socket: Arc::new(socket), key: Arc::new(key), address })
    }
}

/// A key that others than its owner may read is no key.
pub fn read_key(path: &Path) -> Result<Vec<u8>, String> {
    use std::os::unix::fs::PermissionsExt as _;
    /// As long as the hash, RFC 2104.
    const LEAST: usize = 32;
    let shown = path.display();
    let meta = std::fs::metadata(path).map_err(|e| format!("{shown}: {e}"))?;
    if meta.permissions().mode() & 0o077 != 0 {
        return Err(format!("{shown}: others may read it, expected mode 0600"));
    }
    let key = std::fs::read(path).map_err(|e| format!("{shown}: {e}"))?;
    match key.len() >= LEAST {
        true => Ok(key),
        false => Err(format!("{shown}: {} bytes, expected {LEAST} or more", key.len())),
    }
}

/// One life's notes.
pub struct Post {
    office: Office,
    pub inbox: Inbox,
    outbox: Outbox,
    /// The other members that take notes.
    others: Vec<SocketAddr>,
}

impl Post {
    pub fn new(office: Office, life: u64) -> Post {
        let (inbox, outbox) = (Inbox::new(&office.key), Outbox::new(&office.key, life));
        Post { office, inbox, outbox, others: Vec::new() }
    }

    /// Reads notes until nobody takes them; where the core is behind, they wait in the system's buffer and are lost at
    /// its bound, as notes may be.
    pub fn receive(&self, events: mpsc::Sender<Event>) -> tokio::task::AbortHandle {
        let socket = self.office.socket.clone();
        let task = tokio::spawn(async move {
            let mut buffer = [0; LENGTH + 1];
            loop {
                let Ok((length, _)) = socket.recv_from(&mut buffer).await else {
                    // An answer of the system to an earlier note; the socket goes on.
                    tokio::time::sleep(std::time::Duration::from_millis(10)).await;
                    continue;
                };
                if events.send(Event::Note(buffer[..length].to_vec())).await.is_err() {
                    return;
                }
            }
        });
        task.abort_handle()
    }

    /// Who is a member, and where its notes go.
    pub fn members(&mut self, me: u64, members: &[(u64, super::Member)]) {
        let lives: Vec<u64> = members.iter().map(|(life, _)| *life).filter(|life| *life != me).collect();
        self.inbox.members(&lives);
        let others = members.iter().filter(|(life, _)| *life != me);
        self.others = others.filter_map(|(_, member)| member.notes.parse().ok()).collect();
    }

    /// Sends a note to all others, each once; what the socket does not take at once is lost.
    pub fn tell(&mut self, kind: u8, number: u64) {
        let note = self.outbox.note(kind, number);
        for address in &self.others {
            let _ = self.office.socket.try_send_to(&note, *address);
        }
    }
}
