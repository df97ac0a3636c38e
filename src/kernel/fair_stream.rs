//! TCP streams whose peers cannot keep a worker thread busy.
//!
//! The HTTP library reads a connection for as long as it has bytes and skips some of them without
//! an end: informational responses, or leading zeros of a chunk's size. All tasks share few
//! threads, so a peer that sends such bytes would keep the others from running, timers included.
//! A stream therefore lets other tasks run after each burst of bytes. A client's stream also
//! fails if it receives too many bytes without any progress of the response.

use async_io::Async;
use futures_lite::io::{
    AsyncRead,
    AsyncWrite, //
};
use std::{
    io::{
        self,
        ErrorKind,
        IoSlice, //
    },
    net::TcpStream,
    pin::Pin,
    sync::{
        atomic::{
            AtomicUsize,
            Ordering, //
        },
        Arc, //
    },
    task::{
        Context,
        Poll, //
    },
};

/// Number of bytes after which other tasks may run.
const MAX_BURST_BYTES: usize = 64 * 1024;

/// Size of the read buffer of a client's connection, which also limits the head of a response.
pub const MAX_BUFFER_BYTES: usize = 64 * 1024;

/// Number of bytes that may be received without progress: several times what is read ahead.
const MAX_IDLE_BYTES: usize = 4 * MAX_BUFFER_BYTES;

/// Counts the bytes that a client's stream has received since the last progress.
#[derive(Clone, Debug, Default)]
pub struct Meter(Arc<AtomicUsize>);

impl Meter {
    /// Records progress: a request was sent, or a part of its response was received.
    pub fn reset(&self) {
        self.0.store(0, Ordering::Relaxed);
    }

    fn add(&self, count: usize) -> io::Result<()> {
        if self.0.fetch_add(count, Ordering::Relaxed) + count > MAX_IDLE_BYTES {
            let error = "received bytes without end that are no part of a response";
            return Err(io::Error::new(ErrorKind::InvalidData, error));
        }
        Ok(())
    }
}

/// A TCP stream.
pub struct Stream {
    inner: Async<TcpStream>,
    meter: Option<Meter>,
    burst_bytes: usize,
}

/// Wraps the stream of a server's connection.
pub fn server(inner: Async<TcpStream>) -> Stream {
    Stream {
        inner,
        meter: None,
        burst_bytes: 0,
    }
}

/// Wraps the stream of a client's connection.
pub fn client(inner: Async<TcpStream>) -> (Stream, Meter) {
    let meter = Meter::default();
    let stream = Stream {
        inner,
        meter: Some(meter.clone()),
        burst_bytes: 0,
    };
    (stream, meter)
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.burst_bytes >= MAX_BURST_BYTES {
            self.burst_bytes = 0;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let polled = Pin::new(&mut self.inner).poll_read(context, buffer);
        match polled {
            Poll::Ready(Ok(count)) => {
                self.burst_bytes += count;
                let counted = self.meter.as_ref().map_or(Ok(()), |meter| meter.add(count));
                Poll::Ready(counted.map(|()| count))
            }
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            Poll::Pending => {
                self.burst_bytes = 0;
                Poll::Pending
            }
        }
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(context, slices)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(context)
    }
}
