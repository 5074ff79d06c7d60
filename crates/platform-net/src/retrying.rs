//! A socket wrapper that retries reads and writes after transient errors of the system.

use std::future::Future;
use std::io::{Error, ErrorKind, IoSlice, Result};
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{sleep, Sleep};

/// Pause between two attempts.
const RETRY_PAUSE: Duration = Duration::from_millis(5);

/// Returns true if the call was interrupted by a signal or the system is out of memory or buffers: the
/// connection is intact, and nothing was read or written.
fn is_transient(error: &Error) -> bool {
    const ENOMEM: i32 = 12;
    const ENOBUFS: i32 = 105;
    error.kind() == ErrorKind::Interrupted || matches!(error.raw_os_error(), Some(ENOMEM | ENOBUFS))
}

/// A socket whose reads and writes pause and retry after a transient error. The caller limits how long by a
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

/// Polls `attempt` until it completes, fails for good or has to wait.
fn poll_with_retry<T>(
    pause: &mut Option<Pin<Box<Sleep>>>,
    cx: &mut Context<'_>,
    mut attempt: impl FnMut(&mut Context<'_>) -> Poll<Result<T>>,
) -> Poll<Result<T>> {
    loop {
        if let Some(timer) = pause {
            ready!(timer.as_mut().poll(cx));
            *pause = None;
        }
        match ready!(attempt(cx)) {
            Err(error) if is_transient(&error) => *pause = Some(Box::pin(sleep(RETRY_PAUSE))),
            result => return Poll::Ready(result),
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Retrying<S> {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buffer: &mut ReadBuf<'_>) -> Poll<Result<()>> {
        let Retrying { socket, read_pause, .. } = self.get_mut();
        poll_with_retry(read_pause, cx, |cx| Pin::new(&mut *socket).poll_read(cx, buffer))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Retrying<S> {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<Result<usize>> {
        let Retrying { socket, write_pause, .. } = self.get_mut();
        poll_with_retry(write_pause, cx, |cx| Pin::new(&mut *socket).poll_write(cx, bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let Retrying { socket, write_pause, .. } = self.get_mut();
        poll_with_retry(write_pause, cx, |cx| Pin::new(&mut *socket).poll_write_vectored(cx, slices))
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        let Retrying { socket, write_pause, .. } = self.get_mut();
        poll_with_retry(write_pause, cx, |cx| Pin::new(&mut *socket).poll_flush(cx))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.get_mut().socket).poll_shutdown(cx)
    }
}
