//! The users' deployments, built from stand-ins in one process.
//!
//! A process of the product starts no other process, so the embedded
//! defaults run the store, the endpoints and the entries as tasks of one
//! program. Tests of failures run them as separate processes instead.

use crate::{
    endpoint::{
        self,
        Endpoint, //
    },
    store::{
        self,
        Store, //
    },
};
use rhubarbpick::{
    core::intent::{
        self,
        Class,
        Intent, //
    },
    daemon::{
        self,
        Daemon, //
    },
    kernel::{
        error::Error,
        runtime::Context,
        settings::{
            Dispatch,
            Listen,
            Provider,
            Settings, //
        },
    },
    ops::client::{
        self,
        Client, //
    },
};
use std::{
    fs,
    net::{
        Ipv4Addr,
        SocketAddr,
        TcpListener, //
    },
    path::PathBuf,
    sync::{
        atomic::{
            AtomicU16,
            Ordering, //
        },
        OnceLock,
    },
    time::Duration, //
};

/// Shards of a keyed service.
const SHARDS: u32 = 1024;

/// Service of one deployment.
#[derive(Clone, Debug)]
pub struct Service {
    /// Name; paths start with it.
    pub name: &'static str,
    /// Number of endpoints.
    pub endpoint_count: usize,
    /// Whether it is divided by key.
    pub keyed: bool,
    /// How many of the endpoints refuse all work.
    pub shedding_endpoints: usize,
    /// Kinds of requests.
    pub classes: Vec<Class>,
}

/// Deployment of one operator.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Operator.
    pub operator: &'static str,
    /// Token with which the operator confirms.
    pub token: &'static str,
    /// Connections that an endpoint takes.
    pub connections: u32,
    /// Requests that an endpoint runs at a time.
    pub slots: u32,
    /// Services.
    pub services: Vec<Service>,
}

fn class(name: &str, method: &str, suffix: &str, deadline_ms: u64, rank: u8) -> Class {
    Class {
        name: name.into(),
        method: method.into(),
        suffix: suffix.into(),
        protected: false,
        repeatable: method == "GET",
        deadline_ms,
        rank,
    }
}

fn protected(name: &str, suffix: &str, deadline_ms: u64) -> Class {
    Class {
        protected: true,
        repeatable: false,
        ..class(name, "POST", suffix, deadline_ms, 0)
    }
}

/// The auction of Slavonska Bala.
pub fn slavonska_bala() -> Deployment {
    Deployment {
        operator: "slavonska-bala",
        token: "slavonska-bala-demo-token",
        connections: 110,
        slots: 2,
        services: vec![
            Service {
                name: "catalogue",
                endpoint_count: 9,
                keyed: true,
                shedding_endpoints: 0,
                classes: vec![
                    protected("bid", "/bids", 3000),
                    class("listing", "GET", "", 3000, 1),
                    class("upload", "POST", "/photos", 60_000, 2),
                ],
            },
            Service {
                name: "inspections",
                endpoint_count: 8,
                keyed: false,
                shedding_endpoints: 0,
                classes: vec![class("upload", "POST", "", 60_000, 2)],
            },
            Service {
                name: "prices",
                endpoint_count: 8,
                keyed: false,
                shedding_endpoints: 0,
                classes: vec![
                    class("price", "GET", "", 2000, 1),
                    class("upload", "POST", "/photos", 60_000, 2),
                ],
            },
            Service {
                name: "settlements",
                endpoint_count: 8,
                keyed: false,
                shedding_endpoints: 0,
                classes: vec![class("history", "GET", "", 60_000, 3)],
            },
        ],
    }
}

/// The subscriptions of Kettenwachs Gemeinschaft Steiermark.
pub fn kettenwachs() -> Deployment {
    Deployment {
        operator: "kettenwachs",
        token: "kettenwachs-demo-token",
        connections: 45,
        slots: 2,
        services: vec![
            Service {
                name: "archive",
                endpoint_count: 11,
                keyed: true,
                shedding_endpoints: 0,
                classes: vec![
                    protected("renewal", "/renewals", 3000),
                    class("shipments", "GET", "", 10_000, 2),
                    class("upload", "POST", "/photos", 60_000, 2),
                ],
            },
            Service {
                name: "photos",
                endpoint_count: 8,
                keyed: false,
                shedding_endpoints: 0,
                classes: vec![class("upload", "POST", "", 60_000, 2)],
            },
            Service {
                name: "shop",
                endpoint_count: 9,
                keyed: false,
                shedding_endpoints: 0,
                classes: vec![
                    class("page", "GET", "", 2000, 1),
                    class("upload", "POST", "/photos", 60_000, 2),
                ],
            },
            Service {
                name: "invoices",
                endpoint_count: 8,
                keyed: false,
                shedding_endpoints: 0,
                classes: vec![class("invoice", "GET", "", 60_000, 3)],
            },
        ],
    }
}

/// A system that runs in this process.
pub struct System {
    /// The store.
    pub store: Store,
    /// Endpoints of all services.
    pub endpoints: Vec<Endpoint>,
    /// Entries.
    pub daemons: Vec<Daemon>,
    /// Callers' addresses of the entries.
    pub entries: Vec<SocketAddr>,
    /// Administration addresses of the entries.
    pub admins: Vec<SocketAddr>,
    folder: PathBuf,
}

impl Drop for System {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl System {
    /// Ends the entries and closes all listeners.
    pub async fn stop(mut self) {
        let brief = Duration::from_millis(50);
        for daemon in self.daemons.drain(..) {
            daemon.close(brief).await;
        }
        for endpoint in self.endpoints.drain(..) {
            endpoint.close(brief).await;
        }
    }

    /// Counts protected requests that took effect more than once.
    pub fn doubled(&self) -> usize {
        let lists = self.endpoints.iter().flat_map(Endpoint::tickets);
        let mut tickets: Vec<Box<str>> = lists.collect();
        tickets.sort_unstable();
        tickets.windows(2).filter(|pair| pair[0] == pair[1]).count()
    }
}

/// First port that stand-ins ask for; the system gives out ports from 32768 on by itself.
const PORT_MIN: u16 = 12_000;

/// Number of ports that stand-ins ask for.
const PORTS: u16 = 20_000;

/// Returns a loopback address with a free port that is not returned again soon.
pub fn free_address() -> SocketAddr {
    static NEXT: OnceLock<AtomicU16> = OnceLock::new();
    let next = NEXT.get_or_init(|| AtomicU16::new(rand::random()));
    loop {
        let port = PORT_MIN + next.fetch_add(1, Ordering::Relaxed) % PORTS;
        let address = SocketAddr::new(Ipv4Addr::LOCALHOST.into(), port);
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Starts a system with `entries` entry VMs for some deployments and confirms their intents.
pub async fn spawn(
    context: &Context,
    deployments: &[Deployment],
    entries: usize,
    dispatch: Dispatch,
) -> Result<System, Error> {
    let folder = std::env::temp_dir().join(format!("rhubarbpick-{}", rand::random::<u64>()));
    let failed = |source| Error::Read {
        path: folder.display().to_string().into(),
        source,
    };
    fs::create_dir_all(&folder).map_err(failed)?;
    fs::write(folder.join("secret"), "the-demo-secret-of-this-run\n").map_err(failed)?;
    let operators: String = deployments
        .iter()
        .map(|deployment| format!("{} confirm {}\n", deployment.operator, deployment.token))
        .collect();
    fs::write(folder.join("operators"), operators).map_err(failed)?;
    let store = store::bind(context, ANY)?;
    let mut system = System {
        entries: Vec::new(),
        admins: Vec::new(),
        daemons: Vec::new(),
        endpoints: Vec::new(),
        folder,
        store,
    };
    start_entries(context, &mut system, entries, dispatch)?;
    for deployment in deployments {
        for service in &deployment.services {
            let intent = start_service(context, &mut system, deployment, service)?;
            confirm(context, &system, deployment, &intent).await;
        }
    }
    Ok(system)
}

fn start_entries(
    context: &Context,
    system: &mut System,
    entries: usize,
    dispatch: Dispatch,
) -> Result<(), Error> {
    let mut seeds: Vec<SocketAddr> = Vec::new();
    for index in 0..entries {
        let listen = Listen {
            callers: free_address(),
            peers: free_address(),
            advertise: None,
            admin: free_address(),
            health: free_address(),
        };
        let settings = Settings {
            name: format!("vm-{index}").into(),
            zone: zone(index),
            store: Provider {
                dialect: "http-etag".into(),
                address: system.store.address,
            },
            vms: Provider {
                dialect: "http-list".into(),
                address: system.store.address,
            },
            orders: "http-json".into(),
            peers: seeds.clone(),
            secret_file: system.folder.join("secret").display().to_string().into(),
            operators_file: system.folder.join("operators").display().to_string().into(),
            source: None,
            log: "warn".into(),
            threads: 1,
            drain_ms: 5000,
            dispatch,
            entries: entries as u32,
            listen,
        };
        seeds.push(settings.listen.peers);
        system.entries.push(settings.listen.callers);
        system.admins.push(settings.listen.admin);
        system.daemons.push(daemon::spawn(context, settings, None)?);
    }
    Ok(())
}

/// Names the availability zone of the VM or endpoint with some index.
pub fn zone(index: usize) -> Box<str> {
    const ZONES: [&str; 4] = ["a", "b", "c", "d"];
    ZONES[index % ZONES.len()].into()
}

fn start_service(
    context: &Context,
    system: &mut System,
    deployment: &Deployment,
    service: &Service,
) -> Result<Intent, Error> {
    let mut endpoints = Vec::new();
    for index in 0..service.endpoint_count {
        let name: Box<str> = format!("{}-{index}", service.name).into();
        let settings = endpoint::Settings {
            name: name.clone(),
            slots: deployment.slots as usize,
            keyed: service.keyed,
            sheds: index < service.shedding_endpoints,
        };
        let endpoint = endpoint::bind(context, ANY, settings, None)?;
        endpoints.push(intent::Endpoint {
            name,
            address: endpoint.address,
            zone: zone(index),
            checks_fences: true,
        });
        system.endpoints.push(endpoint);
    }
    Ok(Intent {
        service: service.name.into(),
        operator: deployment.operator.into(),
        prefix: format!("/{}/", service.name).into(),
        shards: if service.keyed { SHARDS } else { 0 },
        slots: deployment.slots,
        connections: deployment.connections,
        endpoints,
        classes: service.classes.clone(),
    })
}

async fn confirm(context: &Context, system: &System, deployment: &Deployment, intent: &Intent) {
    let client = Client::open(context, system.admins[0], deployment.token);
    let text = serde_norway::to_string(intent).expect("an intent can be written");
    let result = client::plan_and_confirm(&client, &text).await;
    result.expect("the deployment's intents are valid");
}
