//! A steady load of binding requests, and what came of them.

use crate::{
    backend::{Backend, Kind},
    client::{self, Request},
    record::Record,
    store::Store,
    system::{self, Folder, Front},
};
use std::{
    collections::HashMap,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread::{self, JoinHandle},
    time::Duration,
};

pub const HOST: &str = "bids.example";
pub const PATH: &str = "/bid/1";

/// A request that was sent.
#[derive(Clone)]
pub struct Sent {
    pub id: String,
    pub front: usize,
    pub at: u64,
    pub status: u16,
    /// When an answer came that says that its backend leaves.
    pub told_at: Option<u64>,
}

pub struct Load {
    is_over: Arc<AtomicBool>,
    sent: Arc<Mutex<Vec<Sent>>>,
    threads: Vec<JoinHandle<()>>,
}

impl Load {
    /// Sends a request to each front every `gap`.
    pub fn start(fronts: &[Front], gap: Duration, record: &Arc<Record>) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let sent = Arc::new(Mutex::new(Vec::new()));
        let threads = fronts.iter().enumerate().map(|(index, front)| {
            let (is_over, sent) = (Arc::clone(&is_over), Arc::clone(&sent));
            let (record, address) = (Arc::clone(record), front.address);
            thread::spawn(move || {
                let mut number = 0;
                while !is_over.load(Ordering::SeqCst) {
                    number += 1;
                    let id = format!("f{index}n{number}");
                    let (sent, record) = (Arc::clone(&sent), Arc::clone(&record));
                    thread::spawn(move || {
                        let at = record.now();
                        let request = Request {
                            front: address,
                            method: "POST",
                            path: PATH,
                            host: HOST,
                            id: &id,
                            key: None,
                            deadline_ms: 2500,
                            body: b"a binding bid",
                        };
                        let answer = client::send(&request, &record);
                        let told_at = answer.is_leaving.then(|| record.now());
                        let status = answer.status;
                        sent.lock().unwrap().push(Sent { id, front: index, at, status, told_at });
                    });
                    thread::sleep(gap);
                }
            })
        });
        Self { threads: threads.collect(), is_over, sent }
    }

    /// Ends the load and returns all requests.
    pub fn finish(self) -> Vec<Sent> {
        self.is_over.store(true, Ordering::SeqCst);
        for thread in self.threads {
            let _ = thread.join();
        }
        thread::sleep(Duration::from_millis(3_000));
        self.sent.lock().unwrap().clone()
    }
}

/// The manifest of a deployment whose only service is that of the bids.
pub fn manifest() -> String {
    "{\"version\":\"r1\",\"services\":[{\"name\":\"drazba\",\"health_check\":\"/health\",\
      \"max_connections\":110,\"protocol\":\"h1\",\"tls\":false}],\
      \"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\
      \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\
      \"virtual_hosts\":[{\"host\":\"bids.example\",\"paths\":[{\"name\":\"bid-place\",\
      \"path_prefix\":\"/bid/\",\"kind\":\"non_idempotent\",\"timeout_ms\":1200,\
      \"target_latency_ms\":400,\"priority\":1,\"service\":\"drazba\",\"max_attempts\":2}]}]}"
        .to_owned()
}

/// A deployment with three fronts and the backends of the bids.
pub struct Deployment {
    pub fronts: Vec<Front>,
    pub store: Arc<Store>,
    pub backends: Vec<Arc<Backend>>,
    _folder: Folder,
}

/// Starts a deployment whose backends work for `work_ms` on a bid; `None` if it does not get ready.
pub fn deploy(work_ms: u64, record: &Arc<Record>) -> Option<Deployment> {
    let folder = Folder::create();
    let store = Store::start();
    let backends = (1..=4).map(|number| {
        let id = format!("i-{number}");
        let backend = Backend::start(&Kind { id: &id, service: "drazba", work_ms }, record);
        store.put("servers", &id, Some(&backend.entry("ready")));
        backend
    });
    let backends = backends.collect();
    store.put("config", "main", Some(&manifest()));
    let zones = ["osijek", "vinkovci", "pozega"].iter();
    let fronts = zones
        .map(|zone| system::start_front(&folder, &format!("front-{zone}-1"), zone, &store))
        .collect();
    let deployment = Deployment { fronts, store, backends, _folder: folder };
    system::wait_ready(&deployment.fronts, record).then_some(deployment)
}

/// Returns when requests reached a backend, as recorded.
pub fn runs_of(backend: &str) -> HashMap<String, u64> {
    let text = std::fs::read_to_string(crate::record_path()).unwrap_or_default();
    let mut runs = HashMap::new();
    for line in text.lines() {
        let words: Vec<&str> = line.split_whitespace().collect();
        if let [at, "run", id, other] = words[..] {
            if other == format!("backend={backend}") {
                runs.insert(id.trim_start_matches("id=").to_owned(), at.parse().unwrap_or(0));
            }
        }
    }
    runs
}
