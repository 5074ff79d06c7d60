//! A socket wrapper that records how many bytes were received, and when.

use std::io::{IoSlice, Result};
use std::pin::Pin;
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};

use ravenspar_steward::Time;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::Clock;

/// The bytes received since the last reset, shared by a socket and its observer.
#[derive(Debug, Default)]
pub struct Progress {
    received: AtomicU64,
    last_at: AtomicI64,
}

impl Progress {
    /// Starts counting from zero.
    pub fn reset(&self) {
        self.received.store(0, Ordering::Relaxed);
    }

    /// Returns the number of bytes received, and when the last of them were.
    pub fn get(&self) -> (u64, Time) {
        (self.received.load(Ordering::Relaxed), self.last_at.load(Ordering::Relaxed))
    }

    fn add(&self, bytes: usize, now: Time) {
        self.received.fetch_add(bytes as u64, Ordering::Relaxed);
        self.last_at.store(now, Ordering::Relaxed);
    }
}

/// A socket that records what it receives.
pub struct Observed<S> {
    socket: S,
    clock: Clock,
    progress: Arc<Progress>,
}

impl<S> Observed<S> {
    pub fn new(socket: S, clock: Clock, progress: Arc<Progress>) -> Observed<S> {
        Observed { socket, clock, progress }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Observed<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.socket).poll_read(cx, buffer);
        let received = buffer.filled().len() - before;
        if received > 0 {
            self.progress.add(received, self.clock.now());
        }
        result
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Observed<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<Result<usize>> {
        Pin::new(&mut self.socket).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.socket).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.socket).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}
