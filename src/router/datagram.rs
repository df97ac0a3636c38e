//! Sending and receiving datagrams between the VMs of the system.

use crate::{
    kernel::{
        error::Error,
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

/// Largest datagram that is received; a longer one is truncated and cannot be decoded.
const MAX_DATAGRAM_BYTES: usize = 16 * 1024;

/// Most datagrams received before other tasks may run.
const MAX_BATCH: usize = 32;

/// A bound UDP socket.
pub struct Socket {
    /// Address that it is bound to.
    pub address: SocketAddr,
    socket: Async<UdpSocket>,
}

/// Binds a socket to `address`.
pub fn bind(address: SocketAddr) -> Result<Socket, Error> {
    let failed = |source| Error::Bind { address, source };
    let socket = Async::<UdpSocket>::bind(address).map_err(failed)?;
    let address = socket.get_ref().local_addr().map_err(failed)?;
    Ok(Socket { address, socket })
}

/// Sends a datagram; one addressed to this process is handled immediately.
pub fn send(state: &Arc<State>, to: SocketAddr, datagram: Datagram) {
    if to == state.socket.address {
        handle(state, to, datagram);
        dispatcher::dispatch_all(state);
        return;
    }
    let bytes = encode_compact(&datagram);
    // A failed send is treated like a lost datagram: the sender repeats it.
    let _ = state.socket.socket.get_ref().send_to(&bytes, to);
}

/// Receives datagrams for as long as the process runs.
///
/// Datagrams are handled in batches. Permits are assigned once per batch, and other tasks may
/// run between batches even if datagrams arrive without pause.
pub async fn run(state: Arc<State>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let socket = &state.socket.socket;
        let first = socket.recv_from(&mut buffer).await;
        if let Some((length, from)) = log_error(first) {
            receive(&state, from, &buffer[..length]);
        }
        for _ in 1..MAX_BATCH {
            let next = socket.get_ref().recv_from(&mut buffer);
            if matches!(&next, Err(error) if error.kind() == ErrorKind::WouldBlock) {
                break;
            }
            if let Some((length, from)) = log_error(next) {
                receive(&state, from, &buffer[..length]);
            }
        }
        dispatcher::dispatch_all(&state);
        future::yield_now().await;
    }
}

/// Logs receive errors, which report that an earlier datagram found no listener.
fn log_error(received: io::Result<(usize, SocketAddr)>) -> Option<(usize, SocketAddr)> {
    received
        .inspect_err(|error| log::debug!("event=datagram_error why=\"{error}\""))
        .ok()
}

fn receive(state: &Arc<State>, from: SocketAddr, bytes: &[u8]) {
    match decode::<Datagram>(bytes) {
        Ok(datagram) => {
            state.record_datagram(from);
            handle(state, from, datagram);
        }
        Err(error) => log::warn!("event=datagram_unreadable from={from} why=\"{error}\""),
    }
}

fn handle(state: &Arc<State>, from: SocketAddr, datagram: Datagram) {
    match datagram {
        Datagram::Request {
            number,
            service,
            request,
        } => dispatcher::submit(state, from, number, &service, request),
        Datagram::Done {
            number,
            service,
            outcome,
            took_us,
        } => dispatcher::complete(state, from, number, &service, outcome, took_us),
        Datagram::OpenPermits { service, numbers } => {
            dispatcher::reconcile(state, from, &service, &numbers)
        }
        Datagram::Yielded {
            service,
            run,
            revision,
        } => planner::on_yield(state, from, &service, run, revision),
        Datagram::Heartbeat(heartbeat) => state.record_heartbeat(from, &heartbeat),
        Datagram::Queued { .. }
        | Datagram::Granted { .. }
        | Datagram::Refused { .. }
        | Datagram::NotDispatcher { .. } => state.permit_client.deliver(from, datagram),
    }
}
