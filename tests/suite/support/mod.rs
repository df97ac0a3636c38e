//! Builder of whole systems out of real processes.
//!
//! The store and the proxies run in the test's own process, so that a test
//! can make them fail; entries and endpoints are processes of their own, so
//! that a test can kill and freeze them. Each VM speaks from its own loopback
//! address, by which a proxy tells who is cut off from whom.

pub mod fixture;
pub mod judge;
pub mod keyed_load;
pub mod measure;
pub mod process;

use self::process::Process;
use emulator::{
    deployment::{
        free_address,
        zone, //
    },
    load::{
        self,
        Load,
        Record,
        Stream, //
    },
    proxy::{
        self,
        Mode,
        Proxy, //
    },
    store::{
        self,
        Store, //
    },
};
use rhubarbpick::{
    core::{
        intent::{
            self,
            Class,
            Intent, //
        },
        table::Table,
    },
    kernel::{
        clock,
        runtime::Context,
        wire, //
    },
    ops::client::{
        self,
        Client, //
    },
};
use std::{
    fs,
    net::{
        IpAddr,
        Ipv4Addr,
        SocketAddr, //
    },
    path::PathBuf,
    sync::{
        Mutex,
        MutexGuard, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    },
};

/// Token of the only operator.
pub const TOKEN: &str = "the-operator-token-of-tests";

/// Token of an operator without services.
pub const OTHER_TOKEN: &str = "the-token-of-another-operator";

/// Only one system runs at a time, so that tests do not slow each other down.
static TURN: Mutex<()> = Mutex::new(());

/// Waits until no other system and no search runs.
pub fn turn() -> MutexGuard<'static, ()> {
    TURN.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// Longest time until a new system serves every key.
const READY_WITHIN: Duration = Duration::from_secs(15);

/// Time for answers after the end of a load.
const GRACE: Duration = Duration::from_secs(20);

/// An entry VM.
pub struct Vm {
    pub process: Process,
    pub callers: SocketAddr,
    pub admin: SocketAddr,
    pub source: IpAddr,
    pub peers: Proxy,
    settings: PathBuf,
}

/// An endpoint.
pub struct Server {
    pub process: Process,
    pub route: Proxy,
    pub ledger: PathBuf,
    name: Box<str>,
    listen: SocketAddr,
}

/// A system of real processes.
pub struct System {
    pub context: Context,
    pub store: Store,
    pub store_route: Proxy,
    pub vms: Vec<Vm>,
    pub servers: Vec<Server>,
    pub kills: Vec<judge::Kill>,
    pub folder: PathBuf,
    pub intent: Intent,
    started: Vec<Process>,
    is_proxied: bool,
    _turn: MutexGuard<'static, ()>,
}

/// What a system is to be like.
#[derive(Clone, Debug)]
pub struct Builder {
    name: &'static str,
    vms: usize,
    servers: usize,
    shards: u32,
    is_proxied: bool,
}

/// Starts to describe a system.
pub fn system(name: &'static str) -> Builder {
    Builder {
        name,
        vms: 5,
        servers: 4,
        shards: 64,
        is_proxied: true,
    }
}

impl Builder {
    pub fn vms(mut self, vms: usize) -> Self {
        self.vms = vms;
        self
    }

    pub fn servers(mut self, servers: usize) -> Self {
        self.servers = servers;
        self
    }

    pub fn shards(mut self, shards: u32) -> Self {
        self.shards = shards;
        self
    }

    /// Lets the system reach its endpoints without a proxy, which then cannot be cut off.
    pub fn without_proxies(mut self) -> Self {
        self.is_proxied = false;
        self
    }

    /// Starts the system and waits until it serves every key at every entry.
    pub fn start(self) -> System {
        let turn = turn();
        let context = Context::spawn(3);
        let folder =
            std::env::temp_dir().join(format!("rhubarbpick-{}-{}", self.name, rand_number()));
        fs::create_dir_all(&folder).unwrap();
        fs::write(folder.join("secret"), "a-secret-of-the-tests\n").unwrap();
        let operators = format!("bala confirm {TOKEN}\nother confirm {OTHER_TOKEN}\n");
        fs::write(folder.join("operators"), operators).unwrap();
        let any = SocketAddr::new(Ipv4Addr::LOCALHOST.into(), 0);
        let store = store::bind(&context, any).unwrap();
        let store_route = proxy::bind(&context, any, store.address).unwrap();
        let mut system = System {
            intent: intent(self.shards),
            context,
            store,
            store_route,
            vms: Vec::new(),
            servers: Vec::new(),
            kills: Vec::new(),
            folder,
            started: Vec::new(),
            is_proxied: self.is_proxied,
            _turn: turn,
        };
        for _ in 0..self.servers {
            system.add_server();
        }
        for _ in 0..self.vms {
            system.add_vm();
        }
        system.confirm();
        system.wait_ready();
        system
    }
}

fn rand_number() -> u64 {
    clock::wall_micros()
}

fn intent(shards: u32) -> Intent {
    let class = |name: &str, method: &str, suffix: &str, protected: bool| Class {
        name: name.into(),
        method: method.into(),
        suffix: suffix.into(),
        protected,
        repeatable: method == "GET",
        deadline_ms: 4000,
        rank: 0,
    };
    Intent {
        service: "lots".into(),
        operator: "bala".into(),
        prefix: "/lots/".into(),
        shards,
        slots: 8,
        connections: 110,
        endpoints: Vec::new(),
        classes: vec![
            class("bid", "POST", "/bids", true),
            class("upload", "POST", "", false),
            class("listing", "GET", "", false),
        ],
    }
}

impl System {
    /// Adds an endpoint to the system and to the intent, which is not confirmed here.
    pub fn add_server(&mut self) {
        let index = self.servers.len();
        let name: Box<str> = format!("server-{index}").into();
        let listen = free_address();
        let any = SocketAddr::new(Ipv4Addr::LOCALHOST.into(), 0);
        let route = proxy::bind(&self.context, any, listen).unwrap();
        let ledger = self.folder.join(format!("{name}.ledger"));
        self.intent.endpoints.push(intent::Endpoint {
            name: name.clone(),
            address: if self.is_proxied {
                route.address
            } else {
                listen
            },
            zone: zone(index),
            checks_fences: true,
        });
        let process = process::endpoint(&name, listen, &ledger, &self.folder);
        self.servers.push(Server {
            process,
            route,
            ledger,
            name,
            listen,
        });
    }

    /// Adds an entry VM.
    pub fn add_vm(&mut self) {
        let index = self.vms.len();
        let name = format!("vm-{index}");
        let source = IpAddr::V4(Ipv4Addr::new(127, 0, 1, 1 + index as u8));
        let listen_peers = free_address();
        let any = SocketAddr::new(Ipv4Addr::LOCALHOST.into(), 0);
        let peers = proxy::bind(&self.context, any, listen_peers).unwrap();
        let (callers, admin, health) = (free_address(), free_address(), free_address());
        let seeds: Vec<String> = self
            .vms
            .iter()
            .map(|vm| format!("  - {}\n", vm.peers.address))
            .collect();
        let peer_list = if seeds.is_empty() {
            " []\n".into()
        } else {
            format!("\n{}", seeds.concat())
        };
        let folder = self.folder.display();
        let store = self.store_route.address;
        let text = format!(
            "name: {name}\nzone: {}\nlisten:\n  callers: {callers}\n  peers: {listen_peers}\n  \
             advertise: {}\n  admin: {admin}\n  health: {health}\nstore: {{dialect: http-etag, \
             address: {store}}}\nvms: {{dialect: http-list, address: {store}}}\norders: \
             http-json\npeers:{peer_list}secret_file: {folder}/secret\noperators_file: \
             {folder}/operators\nsource: {source}\ndrain_ms: 8000\nentries: 5\n",
            zone(index),
            peers.address,
        );
        let settings = self.folder.join(format!("{name}.yaml"));
        fs::write(&settings, text).unwrap();
        let process = process::daemon(&name, &settings, &self.folder);
        self.vms.push(Vm {
            process,
            callers,
            admin,
            source,
            peers,
            settings,
        });
    }

    /// Plans and confirms the intent through some VM that answers.
    pub fn confirm(&self) {
        let text = serde_norway::to_string(&self.intent).unwrap();
        let end = Instant::now() + READY_WITHIN;
        loop {
            for vm in &self.vms {
                let client = Client::open(&self.context, vm.admin, TOKEN);
                if async_io::block_on(client::plan_and_confirm(&client, &text)).is_ok() {
                    return;
                }
            }
            assert!(Instant::now() < end, "no VM took the confirm");
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// Waits until every entry serves.
    pub fn wait_ready(&self) {
        let entries = self.entries();
        let ready = load::wait_ready(&self.context, &entries, "/lots/any", READY_WITHIN);
        assert!(async_io::block_on(ready), "the system did not get ready");
        let end = Instant::now() + READY_WITHIN;
        while !self.is_settled() {
            assert!(
                Instant::now() < end,
                "shards without an owner: {:?}",
                self.cell()
            );
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Tells whether every shard has an owner and every listed endpoint is held.
    pub fn is_settled(&self) -> bool {
        let cell = self.cell();
        let owned = cell.owners.iter().all(|(_, owner)| owner.is_some());
        owned && cell.transits.is_empty()
    }

    pub fn entries(&self) -> Vec<SocketAddr> {
        self.vms.iter().map(|vm| vm.callers).collect()
    }

    /// Reads the stored table.
    pub fn cell(&self) -> Table {
        let bytes = self
            .store
            .object("cells/lots")
            .expect("the cell was created");
        wire::decode(&bytes).expect("the stored table can be read")
    }

    /// Returns the index of the VM that plans.
    pub fn planner(&self) -> usize {
        let cell = self.cell();
        let name = cell.planner.name.strip_prefix("vm-").unwrap();
        name.parse().unwrap()
    }

    /// Returns the indices of the VMs that renew the endpoint `server`.
    pub fn renewers(&self, server: usize) -> Vec<usize> {
        let cell = self.cell();
        let name = format!("server-{server}");
        let endpoint = cell
            .endpoints
            .iter()
            .find(|found| *found.name == *name)
            .unwrap();
        let seats = endpoint.renewers.iter();
        seats
            .map(|node| node.name.strip_prefix("vm-").unwrap().parse().unwrap())
            .collect()
    }

    /// Kills an endpoint.
    pub fn kill_server(&mut self, server: usize) {
        self.servers[server].process.kill();
        self.kills.push(judge::Kill {
            server,
            at: clock::now().0,
        });
    }

    /// Starts a killed endpoint again at the same address.
    pub fn restart_server(&mut self, server: usize) {
        let found = &mut self.servers[server];
        found.process = process::endpoint(&found.name, found.listen, &found.ledger, &self.folder);
    }

    /// Starts a VM again with the same settings.
    pub fn restart_vm(&mut self, vm: usize) {
        let name = format!("vm-{vm}");
        let settings = self.vms[vm].settings.clone();
        let process = process::daemon(&name, &settings, &self.folder);
        let old = std::mem::replace(&mut self.vms[vm].process, process);
        self.started.push(old);
    }

    /// Cuts a VM off from an endpoint, or heals the cut.
    pub fn cut_server(&self, vm: usize, server: usize, to_server: Mode, to_client: Mode) {
        let route = &self.servers[server].route;
        route.set_modes_for(self.vms[vm].source, to_server, to_client);
    }

    /// Cuts one VM off from all others in both directions, or heals the cut.
    pub fn isolate_vm(&self, vm: usize, mode: Mode) {
        for (index, other) in self.vms.iter().enumerate() {
            if index != vm {
                other.peers.set_modes_for(self.vms[vm].source, mode, mode);
                self.vms[vm].peers.set_modes_for(other.source, mode, mode);
            }
        }
    }

    /// Starts the ordinary load of a test.
    pub fn load(&self, span_ms: u64, seed: u64) -> load::Run {
        load::spawn(&self.context, ordinary(span_ms, seed), self.entries())
    }

    /// Waits for the end of a load, judges what happened and returns the records.
    pub fn judge(&self, running: load::Run) -> Vec<Record> {
        let records = async_io::block_on(running.finish(GRACE));
        let ledgers: Vec<_> = self
            .servers
            .iter()
            .map(|server| emulator::ledger::read(&server.ledger).unwrap())
            .collect();
        let verdict = judge::judge(&ledgers, &self.kills, &records);
        judge::check_logs(&self.folder);
        assert!(verdict.is_empty(), "{}", verdict.join("\n"));
        records
    }
}

/// Listings and bids on keys of all shards.
pub fn ordinary(span_ms: u64, seed: u64) -> Load {
    let listing = Stream {
        name: "listing".into(),
        method: "GET".into(),
        prefix: "/lots/".into(),
        suffix: "".into(),
        rate: 150.0,
        keys: 1000,
        zipf: 0.0,
        body_bytes: 0,
        answer_bytes: 0,
        work_ms: 3,
        straggler_share: 0.02,
        straggler_times: 20.0,
        protected: false,
        bursts: false,
    };
    let bid = Stream {
        name: "bid".into(),
        method: "POST".into(),
        suffix: "/bids".into(),
        rate: 80.0,
        protected: true,
        ..listing.clone()
    };
    let upload = Stream {
        name: "upload".into(),
        method: "POST".into(),
        rate: 8.0,
        body_bytes: 300_000,
        work_ms: 30,
        ..listing.clone()
    };
    Load {
        streams: vec![listing, bid, upload],
        burst: None,
        span_ms,
        seed,
    }
}
