//! A proxy whose open connections can go silent while new ones work.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc,
    },
    thread,
};

pub struct Proxy {
    pub address: SocketAddr,
    /// Number of times that the open connections went silent.
    silences: AtomicU64,
    is_cut: AtomicBool,
}

impl Proxy {
    pub fn start(target: SocketAddr) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let proxy = Arc::new(Self {
            address: listener.local_addr().unwrap(),
            silences: AtomicU64::new(0),
            is_cut: AtomicBool::new(false),
        });
        let serving = Arc::clone(&proxy);
        thread::spawn(move || {
            let mut unanswered = Vec::new();
            for inner in listener.incoming().flatten() {
                if serving.is_cut.load(Ordering::SeqCst) {
                    unanswered.push(inner);
                    continue;
                }
                let Ok(outer) = TcpStream::connect(target) else { continue };
                let _ = (inner.set_nodelay(true), outer.set_nodelay(true));
                let opened = serving.silences.load(Ordering::SeqCst);
                let copies = (inner.try_clone(), outer.try_clone());
                let (Ok(inner_copy), Ok(outer_copy)) = copies else { continue };
                for (from, to) in [(inner, outer_copy), (outer, inner_copy)] {
                    let proxy = Arc::clone(&serving);
                    thread::spawn(move || proxy.pump(from, to, opened));
                }
            }
        });
        proxy
    }

    /// Lets nothing more through on the connections that are open now. They stay open.
    pub fn silence(&self) {
        self.silences.fetch_add(1, Ordering::SeqCst);
    }

    /// Lets nothing through while `is_cut` is set.
    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
        if is_cut {
            self.silence();
        }
    }

    fn pump(&self, mut from: TcpStream, mut to: TcpStream, opened: u64) {
        let mut buffer = [0; 16 * 1024];
        loop {
            let count = from.read(&mut buffer).unwrap_or(0);
            if self.silences.load(Ordering::SeqCst) != opened {
                // Neither bytes nor the end of the connection get through.
                thread::park();
            }
            if count == 0 || to.write_all(&buffer[..count]).is_err() {
                let _ = to.shutdown(std::net::Shutdown::Both);
                return;
            }
        }
    }
}
