//! A TCP proxy that injects faults.
//!
//! Each direction of a route passes bytes, delays them or holds them back.
//! Held bytes are neither lost nor reordered, as on a real cut that heals.

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

/// Bytes read at a time.
const CHUNK: usize = 16 * 1024;

/// Chunks under way in one direction.
const CHUNKS: usize = 64;

/// How often a held direction looks whether it may go on.
const HOLD_POLL: Duration = Duration::from_millis(2);

/// What happens to the bytes of one direction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// They pass.
    Pass,
    /// They arrive later by this time.
    Delay(Duration),
    /// They are held back.
    Stall,
}

/// Modes of the connections that come from one address.
#[derive(Clone, Copy, Debug)]
struct Pair {
    source: IpAddr,
    to_server: Mode,
    to_client: Mode,
}

#[derive(Clone, Debug)]
struct Modes {
    to_server: Mode,
    to_client: Mode,
    refuse: bool,
    pairs: Vec<Pair>,
}

impl Modes {
    fn pair(&self, source: IpAddr) -> Option<&Pair> {
        self.pairs.iter().find(|pair| pair.source == source)
    }

    fn to_server(&self, source: IpAddr) -> Mode {
        self.pair(source)
            .map_or(self.to_server, |pair| pair.to_server)
    }

    fn to_client(&self, source: IpAddr) -> Mode {
        self.pair(source)
            .map_or(self.to_client, |pair| pair.to_client)
    }
}

/// A running route.
pub struct Proxy {
    /// Address that clients connect to.
    pub address: SocketAddr,
    modes: Arc<Mutex<Modes>>,
    open: Arc<Mutex<Vec<Weak<Async<TcpStream>>>>>,
    bytes: Arc<AtomicU64>,
}

/// Starts a route from `address` to `target`.
pub fn bind(context: &Context, address: SocketAddr, target: SocketAddr) -> Result<Proxy, Error> {
    let failed = |source| Error::Bind { address, source };
    let socket = Async::<TcpListener>::bind(address).map_err(failed)?;
    let address = socket.get_ref().local_addr().map_err(failed)?;
    let modes = Arc::new(Mutex::new(Modes {
        to_server: Mode::Pass,
        to_client: Mode::Pass,
        refuse: false,
        pairs: Vec::new(),
    }));
    let open = Arc::new(Mutex::new(Vec::new()));
    let bytes = Arc::new(AtomicU64::new(0));
    let route = Proxy {
        address,
        modes: Arc::clone(&modes),
        open: Arc::clone(&open),
        bytes: Arc::clone(&bytes),
    };
    let accept_context = context.clone();
    context.detach(async move {
        loop {
            let Ok((client, peer)) = socket.accept().await else {
                // Too many connections are open; some will close.
                sleep(HOLD_POLL).await;
                continue;
            };
            if modes.lock().unwrap().refuse {
                continue;
            }
            let client = Arc::new(client);
            remember(&mut open.lock().unwrap(), &client);
            let modes = Arc::clone(&modes);
            let bytes = Arc::clone(&bytes);
            let context = accept_context.clone();
            let open = Arc::clone(&open);
            accept_context.detach(async move {
                pass(&context, client, peer.ip(), target, modes, bytes, open).await
            });
        }
    });
    Ok(route)
}

impl Proxy {
    /// Sets what happens to the bytes of both directions.
    pub fn set_modes(&self, to_server: Mode, to_client: Mode) {
        let mut modes = self.modes.lock().unwrap();
        modes.to_server = to_server;
        modes.to_client = to_client;
    }

    /// Sets what happens to the bytes of connections that come from `source`.
    pub fn set_modes_for(&self, source: IpAddr, to_server: Mode, to_client: Mode) {
        let mut modes = self.modes.lock().unwrap();
        modes.pairs.retain(|pair| pair.source != source);
        modes.pairs.push(Pair {
            source,
            to_server,
            to_client,
        });
    }

    /// Returns how many bytes have passed in both directions.
    pub fn byte_count(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Closes all connections and every new one at once.
    pub fn set_refusing(&self, refuse: bool) {
        self.modes.lock().unwrap().refuse = refuse;
        if refuse {
            self.close_connections();
        }
    }

    /// Closes all connections that are open now.
    pub fn close_connections(&self) {
        for stream in self.open.lock().unwrap().drain(..) {
            if let Some(stream) = stream.upgrade() {
                let _ = stream.get_ref().shutdown(Shutdown::Both);
            }
        }
    }
}

/// Adds a connection to those that can be reset, and forgets those that ended.
fn remember(open: &mut Vec<Weak<Async<TcpStream>>>, stream: &Arc<Async<TcpStream>>) {
    open.retain(|known| known.strong_count() > 0);
    open.push(Arc::downgrade(stream));
}

async fn pass(
    context: &Context,
    client: Arc<Async<TcpStream>>,
    source: IpAddr,
    target: SocketAddr,
    modes: Arc<Mutex<Modes>>,
    bytes: Arc<AtomicU64>,
    open: Arc<Mutex<Vec<Weak<Async<TcpStream>>>>>,
) {
    let Ok(server) = Async::<TcpStream>::connect(target).await else {
        let _ = client.get_ref().shutdown(Shutdown::Both);
        return;
    };
    let _ = client.get_ref().set_nodelay(true);
    let _ = server.get_ref().set_nodelay(true);
    let server = Arc::new(server);
    remember(&mut open.lock().unwrap(), &server);
    let to_server = Arc::clone(&modes);
    let up = copy(
        context,
        Arc::clone(&client),
        Arc::clone(&server),
        Arc::clone(&bytes),
        move || to_server.lock().unwrap().to_server(source),
    );
    let down = copy(context, server, client, bytes, move || {
        modes.lock().unwrap().to_client(source)
    });
    futures_lite::future::zip(up, down).await;
}

struct Chunk {
    read: Instant,
    bytes: Vec<u8>,
}

async fn copy(
    context: &Context,
    from: Arc<Async<TcpStream>>,
    to: Arc<Async<TcpStream>>,
    bytes: Arc<AtomicU64>,
    mode: impl Fn() -> Mode + Send + Sync + 'static,
) {
    let (sender, receiver) = async_channel::bounded::<Chunk>(CHUNKS);
    let writer = context.start(async move {
        while let Ok(chunk) = receiver.recv().await {
            wait(&mode, chunk.read).await;
            if (&*to).write_all(&chunk.bytes).await.is_err() {
                break;
            }
        }
        let _ = to.get_ref().shutdown(Shutdown::Write);
    });
    let mut buffer = vec![0; CHUNK];
    while let Ok(count) = (&*from).read(&mut buffer).await {
        bytes.fetch_add(count as u64, Ordering::Relaxed);
        let chunk = Chunk {
            read: Instant::now(),
            bytes: buffer[..count].to_vec(),
        };
        if count == 0 || sender.send(chunk).await.is_err() {
            break;
        }
    }
    drop(sender);
    writer.await;
}

async fn wait(mode: &(impl Fn() -> Mode + Sync), read: Instant) {
    loop {
        match mode() {
            Mode::Pass => return,
            Mode::Delay(span) => {
                sleep((read + span).saturating_duration_since(Instant::now())).await;
                return;
            }
            Mode::Stall => sleep(HOLD_POLL).await,
        }
    }
}
