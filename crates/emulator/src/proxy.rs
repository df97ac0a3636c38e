//! TCP proxy that injects network faults.
//!
//! Each direction of a connection forwards bytes, delays them or stalls. Bytes
//! of a stalled direction are neither lost nor reordered, as in a network
//! partition that heals. The modes can differ by the client's address, so that
//! a test can partition some VMs and not others.

use async_io::Async;
use futures_lite::{
    AsyncReadExt,
    AsyncWriteExt, //
};
use rhubarbpick::kernel::{
    error::Error,
    runtime::{
        sleep,
        Context, //
    },
};
use std::{
    net::{
        IpAddr,
        Shutdown,
        SocketAddr,
        TcpListener,
        TcpStream, //
    },
    sync::{
        atomic::{
            AtomicU64,
            Ordering, //
        },
        Arc,
        Mutex,
        Weak, //
    },
    time::{
        Duration,
        Instant, //
    },
};

/// Most bytes per read.
const CHUNK_BYTES: usize = 16 * 1024;

/// Most chunks that wait in one direction; a full queue stops the reads.
const QUEUE_CHUNKS: usize = 64;

/// Interval at which a stalled direction checks its mode; also the pause after a failed accept.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Treatment of the bytes of one direction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Forwards them at once.
    Pass,
    /// Forwards each chunk this long after it was read.
    Delay(Duration),
    /// Keeps them back until the mode changes.
    Stall,
}

/// Modes of the connections from one address.
#[derive(Clone, Copy, Debug)]
struct Override {
    source: IpAddr,
    to_server: Mode,
    to_client: Mode,
}

#[derive(Clone, Debug)]
struct Modes {
    to_server: Mode,
    to_client: Mode,
    is_refusing: bool,
    overrides: Vec<Override>,
}

impl Modes {
    fn find_override(&self, source: IpAddr) -> Option<&Override> {
        self.overrides.iter().find(|found| found.source == source)
    }

    fn to_server(&self, source: IpAddr) -> Mode {
        self.find_override(source)
            .map_or(self.to_server, |found| found.to_server)
    }

    fn to_client(&self, source: IpAddr) -> Mode {
        self.find_override(source)
            .map_or(self.to_client, |found| found.to_client)
    }
}

/// Handle of a running proxy.
pub struct Proxy {
    /// Address that clients connect to.
    pub address: SocketAddr,
    modes: Arc<Mutex<Modes>>,
    streams: Arc<Mutex<Vec<Weak<Async<TcpStream>>>>>,
    byte_count: Arc<AtomicU64>,
}

/// Starts a proxy that listens on `address` and connects to `target`.
pub fn bind(context: &Context, address: SocketAddr, target: SocketAddr) -> Result<Proxy, Error> {
    let bind_error = |source| Error::Bind { address, source };
    let listener = Async::<TcpListener>::bind(address).map_err(bind_error)?;
    let address = listener.get_ref().local_addr().map_err(bind_error)?;
    let modes = Arc::new(Mutex::new(Modes {
        to_server: Mode::Pass,
        to_client: Mode::Pass,
        is_refusing: false,
        overrides: Vec::new(),
    }));
    let streams = Arc::new(Mutex::new(Vec::new()));
    let byte_count = Arc::new(AtomicU64::new(0));
    let proxy = Proxy {
        address,
        modes: Arc::clone(&modes),
        streams: Arc::clone(&streams),
        byte_count: Arc::clone(&byte_count),
    };
    let accept_context = context.clone();
    context.detach(async move {
        loop {
            let Ok((client, peer)) = listener.accept().await else {
                // The process is out of file descriptors; retry when connections have closed.
                sleep(POLL_INTERVAL).await;
                continue;
            };
            if modes.lock().unwrap().is_refusing {
                continue;
            }
            let client = Arc::new(client);
            track(&mut streams.lock().unwrap(), &client);
            let modes = Arc::clone(&modes);
            let byte_count = Arc::clone(&byte_count);
            let context = accept_context.clone();
            let streams = Arc::clone(&streams);
            accept_context.detach(async move {
                relay(
                    &context,
                    client,
                    peer.ip(),
                    target,
                    modes,
                    byte_count,
                    streams,
                )
                .await
            });
        }
    });
    Ok(proxy)
}

impl Proxy {
    /// Sets the modes of both directions for the connections from all addresses without modes
    /// of their own.
    pub fn set_modes(&self, to_server: Mode, to_client: Mode) {
        let mut modes = self.modes.lock().unwrap();
        modes.to_server = to_server;
        modes.to_client = to_client;
    }

    /// Sets the modes of both directions for the connections from `source`.
    pub fn set_modes_for(&self, source: IpAddr, to_server: Mode, to_client: Mode) {
        let mut modes = self.modes.lock().unwrap();
        modes.overrides.retain(|known| known.source != source);
        modes.overrides.push(Override {
            source,
            to_server,
            to_client,
        });
    }

    /// Returns the number of bytes read so far in both directions.
    pub fn byte_count(&self) -> u64 {
        self.byte_count.load(Ordering::Relaxed)
    }

    /// If `is_refusing`, closes all connections now and each new one right after it is accepted.
    pub fn set_refusing(&self, is_refusing: bool) {
        self.modes.lock().unwrap().is_refusing = is_refusing;
        if is_refusing {
            self.close_connections();
        }
    }

    /// Shuts down all open connections, on the side of the client and of the target.
    pub fn close_connections(&self) {
        for stream in self.streams.lock().unwrap().drain(..) {
            if let Some(stream) = stream.upgrade() {
                let _ = stream.get_ref().shutdown(Shutdown::Both);
            }
        }
    }
}

/// Adds a connection to those that can be shut down, and drops the closed ones.
fn track(streams: &mut Vec<Weak<Async<TcpStream>>>, stream: &Arc<Async<TcpStream>>) {
    streams.retain(|known| known.strong_count() > 0);
    streams.push(Arc::downgrade(stream));
}

/// Connects to the target and copies both directions until they end.
async fn relay(
    context: &Context,
    client: Arc<Async<TcpStream>>,
    source: IpAddr,
    target: SocketAddr,
    modes: Arc<Mutex<Modes>>,
    byte_count: Arc<AtomicU64>,
    streams: Arc<Mutex<Vec<Weak<Async<TcpStream>>>>>,
) {
    let Ok(server) = Async::<TcpStream>::connect(target).await else {
        let _ = client.get_ref().shutdown(Shutdown::Both);
        return;
    };
    let _ = client.get_ref().set_nodelay(true);
    let _ = server.get_ref().set_nodelay(true);
    let server = Arc::new(server);
    track(&mut streams.lock().unwrap(), &server);
    let server_modes = Arc::clone(&modes);
    let to_server = copy(
        context,
        Arc::clone(&client),
        Arc::clone(&server),
        Arc::clone(&byte_count),
        move || server_modes.lock().unwrap().to_server(source),
    );
    let to_client = copy(context, server, client, byte_count, move || {
        modes.lock().unwrap().to_client(source)
    });
    futures_lite::future::zip(to_server, to_client).await;
}

struct Chunk {
    read_at: Instant,
    bytes: Vec<u8>,
}

/// Copies one direction; a second task writes, so that delayed chunks do not stop the reads.
async fn copy(
    context: &Context,
    from: Arc<Async<TcpStream>>,
    to: Arc<Async<TcpStream>>,
    byte_count: Arc<AtomicU64>,
    mode: impl Fn() -> Mode + Send + Sync + 'static,
) {
    let (sender, receiver) = async_channel::bounded::<Chunk>(QUEUE_CHUNKS);
    let writer = context.start(async move {
        while let Ok(chunk) = receiver.recv().await {
            wait_until_due(&mode, chunk.read_at).await;
            if (&*to).write_all(&chunk.bytes).await.is_err() {
                break;
            }
        }
        let _ = to.get_ref().shutdown(Shutdown::Write);
    });
    let mut buffer = vec![0; CHUNK_BYTES];
    while let Ok(count) = (&*from).read(&mut buffer).await {
        byte_count.fetch_add(count as u64, Ordering::Relaxed);
        let chunk = Chunk {
            read_at: Instant::now(),
            bytes: buffer[..count].to_vec(),
        };
        if count == 0 || sender.send(chunk).await.is_err() {
            break;
        }
    }
    drop(sender);
    writer.await;
}

/// Waits until the mode lets a chunk pass that was read at `read_at`.
async fn wait_until_due(mode: &(impl Fn() -> Mode + Sync), read_at: Instant) {
    loop {
        match mode() {
            Mode::Pass => return,
            Mode::Delay(span) => {
                sleep((read_at + span).saturating_duration_since(Instant::now())).await;
                return;
            }
            Mode::Stall => sleep(POLL_INTERVAL).await,
        }
    }
}
