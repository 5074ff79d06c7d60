//! A steward's way to the store: bytes both ways, until it is cut.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, AbortHandle};

pub struct Pipe {
    pub address: SocketAddr,
    cut: Cell<usize>,
    open: RefCell<Vec<AbortHandle>>,
}

impl Pipe {
    pub async fn start(target: SocketAddr) -> std::io::Result<Rc<Pipe>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let pipe =
            Rc::new(Pipe { address: listener.local_addr()?, cut: Cell::new(0), open: RefCell::default() });
        let accepting = pipe.clone();
        spawn_local(async move {
            while let Ok((mut near, _)) = listener.accept().await {
                if accepting.cut.get() > 0 {
                    continue;
                }
                let task = spawn_local(async move {
                    let Ok(mut far) = TcpStream::connect(target).await else { return };
                    let _ = (near.set_nodelay(true), far.set_nodelay(true));
                    let _ = tokio::io::copy_bidirectional(&mut near, &mut far).await;
                });
                let mut open = accepting.open.borrow_mut();
                open.retain(|task| !task.is_finished());
                open.push(task.abort_handle());
            }
        });
        Ok(pipe)
    }

    /// Cuts it, or mends it; of several cuts at a time the last to be mended counts.
    pub fn set_cut(&self, cut: bool) {
        self.cut.set(if cut { self.cut.get() + 1 } else { self.cut.get().saturating_sub(1) });
        if cut {
            self.open.borrow_mut().drain(..).for_each(|task| task.abort());
        }
    }
}
