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
        dispatcher, planner,
        state::State,
        wire::{
            self,
            Datagram, //
        },
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

/// Sends a datagram without waiting for its arrival.
///
/// A datagram to this process itself is neither encoded nor sent. It is handled before this
/// function returns, and so is the dispatch of the requests that can then be assigned.
pub fn send(state: &Arc<State>, to: SocketAddr, datagram: Datagram) {
    if to == state.socket.address {
        handle(state, to, datagram);
        dispatcher::dispatch_all(state);
        return;
    }
    let bytes = encode_compact(&datagram);
    // A datagram that cannot be sent is treated like one lost in the network: requests are
    // repeated until there is a reply, a lost completion is noticed from the lists of open
    // permits, and heartbeats are sent periodically.
    let _ = state.socket.socket.get_ref().send_to(&bytes, to);
}

/// Receives and handles datagrams for as long as the process runs.
///
/// Datagrams are handled in batches. This VM's dispatchers assign waiting requests to endpoints
/// once per batch, and other tasks may run between two batches even if datagrams arrive without
/// pause.
pub async fn run(state: Arc<State>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let socket = &state.socket.socket;
        let first = socket.recv_from(&mut buffer).await;
        if let Some((length, from)) = ok_or_log(first) {
            receive(&state, from, &buffer[..length]);
        }
        for _ in 1..MAX_BATCH {
            let next = socket.get_ref().recv_from(&mut buffer);
            if matches!(&next, Err(error) if error.kind() == ErrorKind::WouldBlock) {
                break;
            }
            if let Some((length, from)) = ok_or_log(next) {
                receive(&state, from, &buffer[..length]);
            }
        }
        dispatcher::dispatch_all(&state);
        future::yield_now().await;
    }
}

/// Returns what was received; logs an error and returns `None`.
///
/// An error may be about an earlier datagram that was sent from this socket to an address where
/// no process listens.
fn ok_or_log(received: io::Result<(usize, SocketAddr)>) -> Option<(usize, SocketAddr)> {
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
            lacks_record,
        } => dispatcher::submit(state, from, number, &service, request, lacks_record),
        Datagram::Done {
            number,
            service,
            outcome,
            took_us,
            rate_limit,
            load,
            cold,
        } => {
            dispatcher::record_load(state, from, number, &service, load);
            let known = (rate_limit, cold);
            dispatcher::complete(state, from, number, &service, outcome, took_us, known);
        }
        Datagram::OpenPermits { service, numbers } => {
            dispatcher::reconcile(state, from, &service, &wire::sums(numbers))
        }
        Datagram::Claimed {
            service,
            run,
            revision,
        } => planner::on_claimed(state, from, service, run, revision),
        Datagram::Yielded {
            service,
            run,
            revision,
            history,
        } => planner::on_yield(state, from, &service, run, revision, history),
        Datagram::Heartbeat(heartbeat) => state.record_heartbeat(from, &heartbeat),
        Datagram::Queued { .. }
        | Datagram::Granted { .. }
        | Datagram::GrantedKnown { .. }
        | Datagram::Refused { .. }
        | Datagram::NotDispatcher { .. } => state.permit_client.deliver(from, datagram),
    }
}
