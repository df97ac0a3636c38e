//! TCP streams whose peers cannot keep a worker thread busy.
//!
//! The HTTP library reads a connection for as long as it has bytes and skips some of them without
//! an end: informational responses, or leading zeros of a chunk's size. All tasks share few
//! threads, so a peer that sends such bytes would keep the others from running, timers included.
//! A stream therefore lets other tasks run after each burst of bytes. A client's stream also
//! fails if it receives too many bytes without any progress of the response.
//!
//! A server's stream reads in small pieces and reserves memory for a long request head.

use crate::{
    core::memory_budget::Purpose,
    kernel::memory::{
        Account,
        Reservation, //
    },
};
use async_io::Async;
use futures_lite::io::{
    AsyncRead,
    AsyncWrite, //
};
use hyper::rt::ReadBufCursor;
use smol_hyper::rt::FuturesIo;
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

/// Largest read from a connection. The HTTP library doubles its read buffer whenever a read fills
/// it, from 8 KiB on, so that limits the buffer.
const MAX_READ_BYTES: usize = 16 * 1024 - 1;

/// Largest read from a metered server's connection.
const MAX_METERED_READ_BYTES: usize = 8 * 1024 - 1;

/// Length of a request head up to which it is covered by what its connection reserves.
const MAX_FREE_HEAD_BYTES: usize = 8 * 1024;

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
    metered: Option<Metered>,
}

/// What a server's stream holds for its client.
struct Metered {
    account: Arc<Account>,
    /// Number of requests so far when bytes were last received.
    requests: usize,
    /// Bytes received while no request was handled; nearly all of a head that is incomplete.
    head_bytes: usize,
    head: Option<Reservation>,
}

impl Metered {
    fn record_read(&mut self, count: usize) -> io::Result<()> {
        self.account.record_moved(count);
        let (running, all) = self.account.requests();
        if all != self.requests {
            self.requests = all;
            self.head_bytes = 0;
            self.head = None;
        }
        if running > 0 {
            return Ok(());
        }
        self.head_bytes += count;
        let reserved = self.head.as_ref().map_or(0, Reservation::bytes);
        if self.head_bytes <= MAX_FREE_HEAD_BYTES + reserved {
            return Ok(());
        }
        // The read buffer is doubled when it is full.
        let more = self.head_bytes.max(MAX_FREE_HEAD_BYTES);
        let is_reserved = match &mut self.head {
            Some(head) => head.try_grow(Purpose::Small, more),
            None => {
                self.head = self.account.try_reserve(Purpose::Small, more);
                if let Some(head) = &mut self.head {
                    head.set_held_by_client(true);
                }
                self.head.is_some()
            }
        };
        if is_reserved {
            Ok(())
        } else {
            Err(io::Error::new(
                ErrorKind::OutOfMemory,
                "no memory for a head",
            ))
        }
    }
}

/// Wraps the stream of a server's connection, whose memory is reserved from `account` if there
/// is one.
pub fn server(inner: Async<TcpStream>, account: Option<Arc<Account>>) -> Stream {
    Stream {
        inner,
        meter: None,
        burst_bytes: 0,
        metered: account.map(|account| Metered {
            account,
            requests: 0,
            head_bytes: 0,
            head: None,
        }),
    }
}

/// Wraps the stream of a client's connection.
pub fn client(inner: Async<TcpStream>) -> (Stream, Meter) {
    let meter = Meter::default();
    let stream = Stream {
        inner,
        meter: Some(meter.clone()),
        burst_bytes: 0,
        metered: None,
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
        let limit = match self.metered {
            Some(_) => MAX_METERED_READ_BYTES,
            None => MAX_READ_BYTES,
        };
        let length = buffer.len().min(limit);
        let polled = Pin::new(&mut self.inner).poll_read(context, &mut buffer[..length]);
        match polled {
            Poll::Ready(Ok(count)) => {
                self.burst_bytes += count;
                if let Some(metered) = &mut self.metered {
                    metered.record_read(count)?;
                }
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

impl Stream {
    fn record_written(&self, polled: &Poll<io::Result<usize>>) {
        if let (Some(metered), Poll::Ready(Ok(count))) = (&self.metered, polled) {
            metered.account.record_moved(*count);
        }
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write(context, bytes);
        self.record_written(&polled);
        polled
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write_vectored(context, slices);
        self.record_written(&polled);
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(context)
    }
}

/// A stream for the HTTP library, which writes the parts of a body without copying them into a
/// buffer of its own. Memory that belongs to a body is therefore freed only when it was written.
pub struct Io<S = Stream>(FuturesIo<S>);

/// Makes a stream usable by the HTTP library.
pub fn io<S>(stream: S) -> Io<S> {
    Io(FuturesIo::new(stream))
}

impl<S: AsyncRead + Unpin> hyper::rt::Read for Io<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_read(context, buffer)
    }
}

impl<S: AsyncWrite + Unpin> hyper::rt::Write for Io<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(self.0.get_mut()).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(self.0.get_mut()).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(self.0.get_mut()).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(self.0.get_mut()).poll_close(context)
    }
}
