//! The deployments of both users, run in one process.
//!
//! The store, the endpoints and the entries run as tasks of one process,
//! because the programs start no other processes. Tests that kill or freeze
//! parts of a system run them as separate processes instead.

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

/// Number of shards of a keyed service.
const KEYED_SHARDS: u32 = 1024;

/// A service of a deployment.
#[derive(Clone, Debug)]
pub struct Service {
    /// Name, which is also the first segment of its paths.
    pub name: &'static str,
    /// Number of endpoints.
    pub endpoint_count: usize,
    /// Whether it is divided into shards by key.
    pub keyed: bool,
    /// Number of endpoints that refuse all requests with status 503.
    pub shedding_endpoints: usize,
    /// Request classes.
    pub classes: Vec<Class>,
}

/// The services of one operator.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Name of the operator.
    pub operator: &'static str,
    /// Token with which the operator confirms intents.
    pub token: &'static str,
    /// Most connections that an endpoint takes from the whole system.
    pub connections: u32,
    /// Number of requests that an endpoint runs concurrently.
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

/// Returns the deployment of the auction house Slavonska Bala.
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

/// Returns the deployment of the subscription business Kettenwachs Gemeinschaft Steiermark.
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

/// A running system; its temporary folder is removed on drop.
pub struct System {
    /// Object store and list of VMs.
    pub store: Store,
    /// Endpoints of all services.
    pub endpoints: Vec<Endpoint>,
    /// Daemons of the entry VMs.
    pub daemons: Vec<Daemon>,
    /// Addresses at which the entries take callers' requests.
    pub entries: Vec<SocketAddr>,
    /// Addresses of the entries' administration API.
    pub admins: Vec<SocketAddr>,
    folder: PathBuf,
}

impl Drop for System {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl System {
    /// Stops the daemons and endpoints, each with a short wait for requests in flight.
    pub async fn stop(mut self) {
        let span = Duration::from_millis(50);
        for daemon in self.daemons.drain(..) {
            daemon.close(span).await;
        }
        for endpoint in self.endpoints.drain(..) {
            endpoint.close(span).await;
        }
    }

    /// Counts the repeated effects of protected requests at all endpoints.
    pub fn duplicate_effects(&self) -> usize {
        let lists = self.endpoints.iter().flat_map(Endpoint::tickets);
        let mut tickets: Vec<Box<str>> = lists.collect();
        tickets.sort_unstable();
        tickets.windows(2).filter(|pair| pair[0] == pair[1]).count()
    }
}

/// First port to try.
///
/// The range ends below 32768, where the ephemeral ports of the operating
/// system begin.
const PORT_MIN: u16 = 12_000;

/// Number of ports to try.
const PORT_COUNT: u16 = 20_000;

/// Returns a loopback address with a free port.
///
/// Successive calls go through the range, so a port is not returned again soon.
pub fn free_address() -> SocketAddr {
    static NEXT: OnceLock<AtomicU16> = OnceLock::new();
    let next = NEXT.get_or_init(|| AtomicU16::new(rand::random()));
    loop {
        let port = PORT_MIN + next.fetch_add(1, Ordering::Relaxed) % PORT_COUNT;
        let address = SocketAddr::new(Ipv4Addr::LOCALHOST.into(), port);
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// Loopback address that lets the operating system choose the port.
const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Starts a system with `entries` entry VMs and confirms the intents of `deployments`.
pub async fn spawn(
    context: &Context,
    deployments: &[Deployment],
    entries: usize,
    dispatch: Dispatch,
) -> Result<System, Error> {
    let folder = std::env::temp_dir().join(format!("rhubarbpick-{}", rand::random::<u64>()));
    let folder_error = |source| Error::Read {
        path: folder.display().to_string().into(),
        source,
    };
    fs::create_dir_all(&folder).map_err(folder_error)?;
    fs::write(folder.join("secret"), "the-demo-secret-of-this-run\n").map_err(folder_error)?;
    let operators: String = deployments
        .iter()
        .map(|deployment| format!("{} confirm {}\n", deployment.operator, deployment.token))
        .collect();
    fs::write(folder.join("operators"), operators).map_err(folder_error)?;
    let store = store::bind(context, ANY_PORT)?;
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

/// Returns the availability zone of the VM or endpoint with the given index.
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
        let endpoint = endpoint::bind(context, ANY_PORT, settings, None)?;
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
        shards: if service.keyed { KEYED_SHARDS } else { 0 },
        slots: deployment.slots,
        connections: deployment.connections,
        endpoints,
        classes: service.classes.clone(),
    })
}

async fn confirm(context: &Context, system: &System, deployment: &Deployment, intent: &Intent) {
    let client = Client::open(context, system.admins[0], deployment.token);
    let text = serde_norway::to_string(intent).expect("an intent is encodable as YAML");
    let result = client::plan_and_confirm(&client, &text).await;
    result.expect("the daemon confirms the intents of a deployment");
}
