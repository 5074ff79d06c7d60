//! A proxy between two parties that can cut them off from each other.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

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
