//! Datagrams between the VMs of the system.

use crate::{
    kernel::{
        failure::Error,
        wire::{
            decode,
            encode_compact, //
        },
    },
    router::{
        dispatcher,
        planner,
        state::State,
        wire::Datagram, //
    },
};
use async_io::Async;
use futures_lite::future;
use std::{
    io::{
        self,
        ErrorKind, //
    },
    net::{
        SocketAddr,
        UdpSocket, //
    },
    sync::Arc,
};

/// Largest datagram that is read.
const DATAGRAM_MAX: usize = 16 * 1024;

/// Most datagrams that are taken in before the other tasks get their turn.
const BATCH: usize = 32;

/// A bound socket.
pub struct Socket {
    /// Address that it is bound to.
    pub address: SocketAddr,
    socket: Async<UdpSocket>,
}

/// Binds a socket.
pub fn bind(address: SocketAddr) -> Result<Socket, Error> {
    let failed = |source| Error::Bind { address, source };
    let socket = Async::<UdpSocket>::bind(address).map_err(failed)?;
    let address = socket.get_ref().local_addr().map_err(failed)?;
    Ok(Socket { address, socket })
}

/// Sends a datagram; to this process itself it goes at once.
pub fn send(state: &Arc<State>, to: SocketAddr, datagram: Datagram) {
    if to == state.socket.address {
        handle(state, to, datagram);
        dispatcher::serve(state);
        return;
    }
    let bytes = encode_compact(&datagram);
    // A datagram that is not sent is like one that is lost: it is repeated.
    let _ = state.socket.socket.get_ref().send_to(&bytes, to);
}

/// Receives datagrams for as long as the process runs.
///
/// They are taken in by the batch: permits are handed out once for all of it,
/// and a flood of datagrams leaves the other tasks their share of the processor.
pub async fn run(state: Arc<State>) {
    let mut buffer = vec![0; DATAGRAM_MAX];
    loop {
        let socket = &state.socket.socket;
        let first = socket.recv_from(&mut buffer).await;
        if let Some((length, from)) = log_error(first) {
            take(&state, from, &buffer[..length]);
        }
        for _ in 1..BATCH {
            let next = socket.get_ref().recv_from(&mut buffer);
            if matches!(&next, Err(error) if error.kind() == ErrorKind::WouldBlock) {
                break;
            }
            if let Some((length, from)) = log_error(next) {
                take(&state, from, &buffer[..length]);
            }
        }
        dispatcher::serve(&state);
        future::yield_now().await;
    }
}

/// Passes on what was received; errors tell of an earlier datagram that found no listener.
fn log_error(received: io::Result<(usize, SocketAddr)>) -> Option<(usize, SocketAddr)> {
    received
        .inspect_err(|error| log::debug!("event=datagram_error why=\"{error}\""))
        .ok()
}

fn take(state: &Arc<State>, from: SocketAddr, bytes: &[u8]) {
    match decode::<Datagram>(bytes) {
        Ok(datagram) => {
            state.hear(from);
            handle(state, from, datagram);
        }
        Err(error) => log::warn!("event=datagram_unreadable from={from} why=\"{error}\""),
    }
}

fn handle(state: &Arc<State>, from: SocketAddr, datagram: Datagram) {
    match datagram {
        Datagram::Ask {
            number,
            service,
            ask,
        } => dispatcher::ask(state, from, number, &service, ask),
        Datagram::Done {
            number,
            service,
            outcome,
            took_us,
        } => dispatcher::done(state, from, number, &service, outcome, took_us),
        Datagram::Open { service, numbers } => dispatcher::open(state, from, &service, &numbers),
        Datagram::Yield {
            service,
            run,
            revision,
        } => planner::yielded(state, from, &service, run, revision),
        Datagram::Beat(beat) => state.hear_beat(from, &beat),
        Datagram::Queued { .. }
        | Datagram::Go { .. }
        | Datagram::No { .. }
        | Datagram::Elsewhere { .. } => state.asks.deliver(from, datagram),
    }
}
