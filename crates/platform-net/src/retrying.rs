//! A socket whose reads and writes are tried again where the system refuses them for a moment.

use std::future::Future;
use std::io::{Error, ErrorKind, IoSlice, Result};
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{sleep, Sleep};

/// Between two tries.
const AGAIN: Duration = Duration::from_millis(5);

/// Interrupted by a signal, or out of memory or buffers: the connection lives, and nothing of it was read or written.
fn is_for_a_moment(error: &Error) -> bool {
    const ENOMEM: i32 = 12;
    const ENOBUFS: i32 = 105;
    error.kind() == ErrorKind::Interrupted || matches!(error.raw_os_error(), Some(ENOMEM | ENOBUFS))
}

/// The socket, and the pauses that its reads and writes make after a refusal. How long to go on is the caller's, by a
/// deadline.
pub struct Retrying<S> {
    socket: S,
    read_pause: Option<Pin<Box<Sleep>>>,
    write_pause: Option<Pin<Box<Sleep>>>,
}

impl<S> Retrying<S> {
    pub fn new(socket: S) -> Retrying<S> {
        Retrying { socket, read_pause: None, write_pause: None }
    }
}

/// Tries until it is done, fails for good, or has to wait.
fn try_again<T>(
    pause: &mut Option<Pin<Box<Sleep>>>,
    cx: &mut Context<'_>,
    mut attempt: impl FnMut(&mut Context<'_>) -> Poll<Result<T>>,
) -> Poll<Result<T>> {
    loop {
        if let Some(waiting) = pause {
            ready!(waiting.as_mut().poll(cx));
            *pause = None;
        }
        match ready!(attempt(cx)) {
            Err(error) if is_for_a_moment(&error) => *pause = Some(Box::pin(sleep(AGAIN))),
            done => return Poll::Ready(done),
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Retrying<S> {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buffer: &mut ReadBuf<'_>) -> Poll<Result<()>> {
        let Retrying { socket, read_pause, .. } = self.get_mut();
        try_again(read_pause, cx, |cx| Pin::new(&mut *socket).poll_read(cx, buffer))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Retrying<S> {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<Result<usize>> {
        let Retrying { socket, write_pause, .. } = self.get_mut();
        try_again(write_pause, cx, |cx| Pin::new(&mut *socket).poll_write(cx, bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let Retrying { socket, write_pause, .. } = self.get_mut();
        try_again(write_pause, cx, |cx| Pin::new(&mut *socket).poll_write_vectored(cx, slices))
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        let Retrying { socket, write_pause, .. } = self.get_mut();
        try_again(write_pause, cx, |cx| Pin::new(&mut *socket).poll_flush(cx))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.get_mut().socket).poll_shutdown(cx)
    }
}
