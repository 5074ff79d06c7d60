//! A proxy between two parties that can cut them off from each other.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, AbortHandle};

/// An address through which another one is reached, until it is closed: its connections are reset then, and new ones
/// refused.
pub struct Gate {
    pub address: SocketAddr,
    backend: SocketAddr,
    tasks: Arc<Mutex<Vec<AbortHandle>>>,
}

impl Gate {
    pub async fn start(backend: SocketAddr) -> std::io::Result<Gate> {
        let mut member = Gate { address: crate::stage::free_address()?, backend, tasks: Arc::default() };
        member.up().await?;
        Ok(member)
    }

    pub async fn up(&mut self) -> std::io::Result<()> {
        let socket = tokio::net::TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(self.address)?;
        let listener = socket.listen(64)?;
        let (backend, tasks) = (self.backend, self.tasks.clone());
        let accept = spawn_local(accept(listener, backend, tasks.clone())).abort_handle();
        self.lock().push(accept);
        Ok(())
    }

    pub fn down(&mut self) {
        self.lock().drain(..).for_each(|task| task.abort());
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<AbortHandle>> {
        self.tasks.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

async fn accept(listener: TcpListener, backend: SocketAddr, tasks: Arc<Mutex<Vec<AbortHandle>>>) {
    while let Ok((mut client, _)) = listener.accept().await {
        let task = spawn_local(async move {
            let _ = client.set_nodelay(true);
            if let Ok(mut server) = TcpStream::connect(backend).await {
                let _ = server.set_nodelay(true);
                let _ = tokio::io::copy_bidirectional(&mut client, &mut server).await;
            }
        });
        tasks.lock().unwrap_or_else(std::sync::PoisonError::into_inner).push(task.abort_handle());
    }
}

/// A proxy in front of a store that resets a connection once: when the first write of a site's key is about to pass. That
/// call does not reach the store; all else passes, also the same call again.
pub async fn lose_first_site(
    backend: SocketAddr,
    armed: bool,
    lost: Rc<Cell<bool>>,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    spawn_local(async move {
        while let Ok((client, _)) = listener.accept().await {
            let lost = lost.clone();
            spawn_local(async move {
                let Ok(server) = TcpStream::connect(backend).await else { return };
                let _ = (client.set_nodelay(true), server.set_nodelay(true));
                let (mut from_client, mut to_client) = client.into_split();
                let (mut from_server, mut to_server) = server.into_split();
                let up = async {
                    let mut bytes = vec![0; 64 * 1024];
                    while let Ok(count @ 1..) = from_client.read(&mut bytes).await {
                        if armed && !lost.get() && names_a_site(&bytes[..count]) {
                            lost.set(true);
                            return;
                        }
                        if to_server.write_all(&bytes[..count]).await.is_err() {
                            return;
                        }
                    }
                };
                let down = tokio::io::copy(&mut from_server, &mut to_client);
                tokio::select! {
                    () = up => {}
                    _ = down => {}
                }
            });
        }
    });
    Ok(address)
}

/// Returns true if these bytes have the key of a site's life, and not just the prefix that polls read.
fn names_a_site(bytes: &[u8]) -> bool {
    const PREFIX: &[u8] = b"/ravenspar/site/";
    bytes.windows(PREFIX.len() + 16).any(|window| {
        window.starts_with(PREFIX) && window[PREFIX.len()..].iter().all(|byte| byte.is_ascii_hexdigit())
    })
}
