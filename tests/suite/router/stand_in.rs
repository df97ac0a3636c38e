//! Fake platform that runs in the test process: a store with revisions and
//! watches, and endpoints that run requests only for keys that they hold.

use async_io::block_on;
use hyper::{
    body::Incoming,
    header::{
        HeaderName,
        HeaderValue, //
    },
    Request,
    Response,
    StatusCode, //
};
use rhubarbpick::{
    core::{
        mirror::{
            Kind,
            Object,
            Value, //
        },
        ownership::{
            Grant,
            Outcome,
            Release,
            Table, //
        },
        registry::Endpoint,
        retry_limit::Limit,
    },
    edge::{
        fields::Fields,
        lease::{
            self,
            Channel,
            Status, //
        },
        objects::{
            Client,
            Error,
            Page,
            Write, //
        },
    },
    kernel::{
        http::{
            self,
            answer,
            Body,
            Limits,
            Listener, //
        },
        plugin::{
            Dialect,
            Factory, //
        },
        runtime::{
            sleep,
            timeout,
            Context, //
        },
        settings::Provider,
    },
    router::{
        self,
        settings::{
            Addresses,
            Bounds,
            Settings, //
        },
        Router,
    },
};
use std::{
    net::SocketAddr,
    sync::{
        atomic::{
            AtomicBool,
            AtomicU64,
            Ordering, //
        },
        Arc,
        Mutex,
        OnceLock, //
    },
    time::{
        Duration,
        Instant, //
    },
};

/// Name under which the dialects are registered.
const DIALECT: &str = "stand-in";

/// Interval at which a waiting watch checks for changes.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(2);

inventory::submit! {
    Dialect { name: DIALECT, factory: Factory::Objects(open_store) }
}

inventory::submit! {
    Dialect { name: DIALECT, factory: Factory::Lease(open_lease) }
}

inventory::submit! {
    Dialect { name: DIALECT, factory: Factory::Fields(fields) }
}

fn fields() -> Fields {
    Fields {
        request_id: HeaderName::from_static("x-id"),
        deadline: HeaderName::from_static("x-deadline"),
        target: HeaderName::from_static("x-target"),
        signature: HeaderName::from_static("x-signature"),
        not_run: HeaderName::from_static("x-not-run"),
        rate_limit: HeaderName::from_static("x-limit"),
        load: HeaderName::from_static("x-load"),
        cold_left: HeaderName::from_static("x-cold"),
        key: HeaderName::from_static("x-key"),
    }
}

/// Stores by the addresses that identify them.
type Stores = Mutex<Vec<(SocketAddr, Arc<Store>)>>;

fn stores() -> &'static Stores {
    static STORES: OnceLock<Stores> = OnceLock::new();
    STORES.get_or_init(Mutex::default)
}

fn servers() -> &'static Mutex<Vec<Arc<Server>>> {
    static SERVERS: OnceLock<Mutex<Vec<Arc<Server>>>> = OnceLock::new();
    SERVERS.get_or_init(Mutex::default)
}

/// Fake store.
#[derive(Default)]
pub struct Store {
    state: Mutex<(u64, Vec<Object>)>,
    is_down: AtomicBool,
    are_watches_stalled: AtomicBool,
    are_responses_held: AtomicBool,
    /// Id of an endpoint, see [`Store::fail_after_reassigning`].
    fails_after: Mutex<Option<Box<str>>>,
    /// Number of calls so far.
    pub calls: AtomicU64,
}

impl Store {
    /// Creates a store. Its address only identifies it and is not bound.
    pub fn open() -> (SocketAddr, Arc<Self>) {
        let address = free_address();
        let store = Arc::new(Self::default());
        stores().lock().unwrap().push((address, Arc::clone(&store)));
        (address, store)
    }

    /// Makes the store refuse calls, or serve them again.
    pub fn set_down(&self, is_down: bool) {
        self.is_down.store(is_down, Ordering::SeqCst);
    }

    /// Makes watches wait forever, or return again.
    pub fn set_watches_stalled(&self, are_watches_stalled: bool) {
        self.are_watches_stalled
            .store(are_watches_stalled, Ordering::SeqCst);
    }

    /// Withholds the responses to writes, or sends them.
    pub fn set_responses_held(&self, are_responses_held: bool) {
        self.are_responses_held
            .store(are_responses_held, Ordering::SeqCst);
    }

    /// Executes the write of a table that gives keys of an endpoint to others without asking it to
    /// release them, does not respond, and is down from then on.
    pub fn fail_after_reassigning(&self, endpoint: &str) {
        *self.fails_after.lock().unwrap() = Some(endpoint.into());
    }

    /// Returns whether the store fails after a write that it has not executed yet.
    fn fails_after(&self, write: &Write) -> bool {
        let mut fails_after = self.fails_after.lock().unwrap();
        let (Value::Table(next), Some(endpoint)) = (&write.value, &*fails_after) else {
            return false;
        };
        let Some(table) = self.table(&write.name) else {
            return false;
        };
        let is_owned = |table: &Table, key| {
            let owner = table.range(key).and_then(|range| range.owner.as_ref());
            owner.is_some_and(|owner| owner.endpoint == *endpoint)
        };
        let is_reassigned = next.ranges.iter().any(|range| {
            range.previous.is_none() && is_owned(&table, range.from) && !is_owned(next, range.from)
        });
        if is_reassigned {
            *fails_after = None;
        }
        is_reassigned
    }

    /// Returns whether the store refuses calls.
    pub fn is_down(&self) -> bool {
        self.is_down.load(Ordering::SeqCst)
    }

    /// Returns the table of a service.
    pub fn table(&self, service: &str) -> Option<Arc<Table>> {
        match self.get(Kind::Table, service)?.value {
            Some(Value::Table(table)) => Some(table),
            _ => None,
        }
    }

    /// Writes an object unconditionally.
    pub fn put(&self, kind: Kind, name: &str, value: Option<Value>) -> u64 {
        let mut state = self.state.lock().unwrap();
        state.0 += 1;
        let revision = state.0;
        state
            .1
            .retain(|object| object.kind != kind || *object.name != *name);
        state.1.push(Object {
            kind,
            name: name.into(),
            revision,
            value,
        });
        revision
    }

    fn begin_call(&self) -> Result<(), Error> {
        self.calls.fetch_add(1, Ordering::SeqCst);
        if self.is_down.load(Ordering::SeqCst) {
            return Err(Error::Unavailable(503));
        }
        Ok(())
    }

    fn page(&self, kind: Kind, after: u64, is_list: bool) -> Page {
        let state = self.state.lock().unwrap();
        let objects = state.1.iter().filter(|object| {
            let is_included = object.value.is_some() || !is_list;
            object.kind == kind && object.revision > after && is_included
        });
        Page {
            objects: objects.cloned().collect(),
            as_of: state.0,
        }
    }

    fn write(&self, write: &Write) -> Result<u64, Error> {
        let known = self.get(write.kind, &write.name);
        let revision = known.as_ref().map(|object| object.revision);
        if revision != write.revision {
            return Err(Error::Conflict(known.map(Box::new)));
        }
        Ok(self.put(write.kind, &write.name, Some(write.value.clone())))
    }

    fn get(&self, kind: Kind, name: &str) -> Option<Object> {
        let state = self.state.lock().unwrap();
        let mut objects = state.1.iter();
        objects
            .find(|object| object.kind == kind && *object.name == *name && object.value.is_some())
            .cloned()
    }
}

fn open_store(_: &Context, address: SocketAddr) -> Client {
    let stores = stores().lock().unwrap();
    let found = stores.iter().find(|(other, _)| *other == address);
    let store = Arc::clone(
        &found
            .expect("the store must be created before it is opened")
            .1,
    );
    let (list_store, watch_store, get_store, put_store, remove_store) = (
        Arc::clone(&store),
        Arc::clone(&store),
        Arc::clone(&store),
        Arc::clone(&store),
        store,
    );
    Client {
        list: Box::new(move |kind, _| {
            let store = Arc::clone(&list_store);
            Box::pin(async move {
                store.begin_call()?;
                Ok(store.page(kind, 0, true))
            })
        }),
        watch: Box::new(move |kind, after, wait| {
            let store = Arc::clone(&watch_store);
            Box::pin(async move {
                store.begin_call()?;
                let end = Instant::now() + wait;
                loop {
                    let page = store.page(kind, after, false);
                    let is_over = !page.objects.is_empty() || Instant::now() >= end;
                    if is_over && !store.are_watches_stalled.load(Ordering::SeqCst) {
                        return Ok(page);
                    }
                    if store.is_down.load(Ordering::SeqCst) {
                        return Err(Error::Unknown);
                    }
                    sleep(WATCH_POLL_INTERVAL).await;
                }
            })
        }),
        get: Box::new(move |kind, name| {
            let (store, name) = (Arc::clone(&get_store), Box::<str>::from(name));
            Box::pin(async move {
                store.begin_call()?;
                Ok(store.get(kind, &name))
            })
        }),
        put: Box::new(move |write| {
            let store = Arc::clone(&put_store);
            Box::pin(async move {
                store.begin_call()?;
                let fails = store.fails_after(&write);
                let written = store.write(&write);
                if fails && written.is_ok() {
                    store.set_down(true);
                    return Err(Error::Unknown);
                }
                while store.are_responses_held.load(Ordering::SeqCst) {
                    sleep(WATCH_POLL_INTERVAL).await;
                }
                written
            })
        }),
        remove: Box::new(move |kind, name, _| {
            let (store, name) = (Arc::clone(&remove_store), Box::<str>::from(name));
            Box::pin(async move {
                store.begin_call()?;
                store.put(kind, &name, None);
                Ok(())
            })
        }),
    }
}

/// Behavior of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Runs requests and responds to them.
    Normal,
    /// Runs requests, but never responds.
    Silent,
    /// Refuses requests without running them.
    Shed,
    /// Refuses requests as if it did not hold their keys.
    Misdirect,
    /// Runs requests and responds with a server error.
    Fail,
}

/// Fake endpoint.
pub struct Server {
    /// Endpoint, as it describes itself in the store.
    pub endpoint: Endpoint,
    /// Identities of the requests that were run.
    pub runs: Mutex<Vec<Box<str>>>,
    /// When each request arrived.
    pub arrivals: Mutex<Vec<Instant>>,
    rate_limit: Mutex<Option<f64>>,
    load: Mutex<Option<Box<str>>>,
    cold_until: Mutex<Option<Instant>>,
    mode: Mutex<Mode>,
    is_running: AtomicBool,
    is_cut_off: AtomicBool,
    leases: Mutex<Vec<(u16, u16, u64, Instant)>>,
    is_keyed: bool,
    service_time: Duration,
    listener: Mutex<Option<Listener>>,
}

impl Server {
    /// Starts an endpoint in a zone and registers it in the store.
    pub fn start(
        context: &Context,
        store: &Store,
        zone: &str,
        id: &str,
        service: &str,
        keyed: bool,
    ) -> Arc<Self> {
        let address = free_address();
        let endpoint = Endpoint {
            id: id.into(),
            service: service.into(),
            address,
            zone: zone.into(),
            slots: 2,
            is_leaving: false,
            cold_ms: 0,
            born: 1,
        };
        let server = Arc::new(Self {
            endpoint: endpoint.clone(),
            runs: Mutex::default(),
            arrivals: Mutex::default(),
            rate_limit: Mutex::default(),
            load: Mutex::default(),
            cold_until: Mutex::default(),
            mode: Mutex::new(Mode::Normal),
            is_running: AtomicBool::new(true),
            is_cut_off: AtomicBool::new(false),
            leases: Mutex::default(),
            is_keyed: keyed,
            service_time: Duration::from_millis(20),
            listener: Mutex::new(None),
        });
        let handler_server = Arc::clone(&server);
        let handler: http::Handler = Arc::new(move |request| {
            let server = Arc::clone(&handler_server);
            Box::pin(async move { server.handle(request).await })
        });
        let listener = http::bind(context, address, Limits::default(), handler).unwrap();
        *server.listener.lock().unwrap() = Some(listener);
        servers().lock().unwrap().push(Arc::clone(&server));
        store.put(
            Kind::Endpoint,
            id,
            Some(Value::Endpoint(Arc::new(endpoint))),
        );
        server
    }

    /// Sets the behavior.
    pub fn set_mode(&self, mode: Mode) {
        *self.mode.lock().unwrap() = mode;
    }

    /// Names a limit, in requests per second, in the responses to all requests that it runs from
    /// now on, or names none.
    pub fn set_rate_limit(&self, per_s: Option<f64>) {
        *self.rate_limit.lock().unwrap() = per_s;
    }

    /// Reports this load in the responses to all requests from now on, also those that it does
    /// not run, or none.
    pub fn set_load(&self, load: Option<&str>) {
        *self.load.lock().unwrap() = load.map(Into::into);
    }

    /// Makes the endpoint say in its responses that it is cold for `duration` from now on.
    pub fn set_cold(&self, duration: Duration) {
        *self.cold_until.lock().unwrap() = Some(Instant::now() + duration);
    }

    /// Stops the endpoint without notice.
    pub fn crash(&self) {
        self.is_running.store(false, Ordering::SeqCst);
        self.leases.lock().unwrap().clear();
        let listener = self.listener.lock().unwrap().take();
        drop(listener);
    }

    /// Lets no order reach the endpoint, or lets them reach it again.
    pub fn set_cut_off(&self, is_cut_off: bool) {
        self.is_cut_off.store(is_cut_off, Ordering::SeqCst);
    }

    fn is_reachable(&self) -> bool {
        self.is_running.load(Ordering::SeqCst) && !self.is_cut_off.load(Ordering::SeqCst)
    }

    /// Returns whether the endpoint holds a key.
    pub fn holds(&self, key: u16) -> bool {
        let now = Instant::now();
        let leases = self.leases.lock().unwrap();
        let mut covering = leases.iter();
        covering.any(|&(from, to, _, until)| from <= key && key <= to && until > now)
    }

    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        self.arrivals.lock().unwrap().push(Instant::now());
        let mut response = self.serve(request).await;
        let has_run = !response.headers().contains_key(fields().not_run);
        if let (Some(per_s), true) = (*self.rate_limit.lock().unwrap(), has_run) {
            let value = HeaderValue::from_str(&per_s.to_string()).unwrap();
            response.headers_mut().insert(fields().rate_limit, value);
        }
        if let Some(load) = &*self.load.lock().unwrap() {
            let value = HeaderValue::from_str(load).unwrap();
            response.headers_mut().insert(fields().load, value);
        }
        let cold_until = *self.cold_until.lock().unwrap();
        let left = cold_until.map(|until| until.saturating_duration_since(Instant::now()));
        if let (Some(left), true) = (left, has_run) {
            let value = HeaderValue::from(left.as_millis() as u64);
            response.headers_mut().insert(fields().cold_left, value);
        }
        response
    }

    async fn serve(&self, request: Request<Incoming>) -> Response<Body> {
        let fields = fields();
        let text = |name: &HeaderName| {
            let value = request.headers().get(name);
            value
                .and_then(|value| value.to_str().ok())
                .map(Box::<str>::from)
        };
        let id = text(&fields.request_id).unwrap_or_default();
        let key: Option<u16> = text(&fields.key).and_then(|key| key.parse().ok());
        let mode = *self.mode.lock().unwrap();
        let is_target = text(&fields.target).as_ref() == Some(&self.endpoint.id);
        let is_held = !self.is_keyed || key.is_some_and(|key| self.holds(key));
        let is_refusing = matches!(mode, Mode::Shed | Mode::Misdirect);
        if !is_target || !is_held || is_refusing {
            let status = if mode == Mode::Shed && is_target {
                StatusCode::SERVICE_UNAVAILABLE
            } else {
                StatusCode::MISDIRECTED_REQUEST
            };
            let mut response = answer(status, "text/plain", "not run");
            let headers = response.headers_mut();
            headers.insert(fields.not_run, HeaderValue::from_static("1"));
            headers.insert(fields.request_id, HeaderValue::from_str(&id).unwrap());
            return response;
        }
        self.runs.lock().unwrap().push(id.clone());
        if mode == Mode::Silent || !self.is_running.load(Ordering::SeqCst) {
            std::future::pending::<()>().await;
        }
        sleep(self.service_time).await;
        let status = match mode {
            Mode::Fail => StatusCode::INTERNAL_SERVER_ERROR,
            _ => StatusCode::OK,
        };
        let mut response = answer(status, "text/plain", format!("answer to {id}"));
        let headers = response.headers_mut();
        headers.insert(fields.request_id, HeaderValue::from_str(&id).unwrap());
        headers.insert(
            fields.signature,
            HeaderValue::from_str(&self.endpoint.id).unwrap(),
        );
        response
    }

    fn grant(&self, grant: &Grant) -> Outcome {
        if !self.is_reachable() {
            return Outcome::Unreachable;
        }
        for other in servers().lock().unwrap().iter() {
            let is_other = other.endpoint.service == self.endpoint.service
                && other.endpoint.id != self.endpoint.id;
            assert!(
                !(is_other && other.holds(grant.from)),
                "key {} is held by {} and granted to {}",
                grant.from,
                other.endpoint.id,
                self.endpoint.id
            );
        }
        let mut leases = self.leases.lock().unwrap();
        let overlaps =
            |lease: &(u16, u16, u64, Instant)| lease.0 <= grant.to && grant.from <= lease.1;
        if leases
            .iter()
            .any(|lease| overlaps(lease) && lease.2 > grant.fence)
        {
            return Outcome::Fenced;
        }
        leases.retain(|lease| !(grant.from <= lease.0 && lease.1 <= grant.to));
        leases.push((
            grant.from,
            grant.to,
            grant.fence,
            Instant::now() + grant.duration,
        ));
        Outcome::Done(None)
    }

    fn release(&self, release: Release) -> Outcome {
        if !self.is_reachable() {
            return Outcome::Unreachable;
        }
        let mut leases = self.leases.lock().unwrap();
        let mut kept = Vec::new();
        for (from, to, fence, until) in leases.drain(..) {
            if to < release.from || release.to < from {
                kept.push((from, to, fence, until));
                continue;
            }
            if from < release.from {
                kept.push((from, release.from - 1, fence, until));
            }
            if to > release.to {
                kept.push((release.to + 1, to, fence, until));
            }
        }
        *leases = kept;
        Outcome::Done(Some("state".into()))
    }
}

fn find_server(endpoint: &Endpoint) -> Arc<Server> {
    let servers = servers().lock().unwrap();
    let mut servers = servers.iter();
    let found = servers.find(|server| server.endpoint.address == endpoint.address);
    Arc::clone(found.expect("grants and releases must go to endpoints that were started"))
}

fn open_lease(_: &Context) -> lease::Client {
    lease::Client {
        open: Box::new(|endpoint| {
            let server = find_server(endpoint);
            Box::pin(async move {
                if !server.is_reachable() {
                    return Err(Outcome::Unreachable);
                }
                let line_server = Arc::clone(&server);
                Ok(Channel {
                    grant: Box::new(move |grant| {
                        let outcome = server.grant(&grant);
                        Box::pin(async move { outcome })
                    }),
                    status: Box::new(
                        move || match line_server.is_running.load(Ordering::SeqCst) {
                            true => Status::Open,
                            false => Status::Ended,
                        },
                    ),
                })
            })
        }),
        release: Box::new(|endpoint, release, _| {
            let outcome = find_server(endpoint).release(release);
            Box::pin(async move { outcome })
        }),
    }
}

/// Returns the bounds of routers.
pub fn bounds() -> Bounds {
    Bounds {
        retry_limit: Limit {
            ratio_permille: 200,
            slack: 60,
            window: Duration::from_secs(10),
        },
        ..Bounds::default()
    }
}

/// Starts a router in the test process.
pub fn start_router(context: &Context, store: SocketAddr, name: &str, bounds: Bounds) -> Router {
    let settings = Settings {
        name: name.into(),
        zone: "a".into(),
        listen: Addresses {
            callers: free_address(),
            ready: free_address(),
            peers: free_address(),
            datagrams: free_address(),
        },
        ready_path: "/ready".into(),
        store: Provider {
            dialect: DIALECT.into(),
            address: store,
        },
        lease_dialect: DIALECT.into(),
        header_dialect: DIALECT.into(),
        source_address: None,
        cpu_millis: 1_000,
        memory_bytes: 1 << 28,
        max_file_descriptors: 4_096,
        bounds,
        has_zone_affinity: false,
        log_level: "info".into(),
    };
    router::spawn(context, settings, None).expect("the addresses must be free")
}

/// Port of all addresses, below the range from which outgoing connections get their ports.
const PORT: u16 = 7_001;

/// Returns a loopback address that nothing else in this process uses.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let number = NEXT.fetch_add(1, Ordering::SeqCst);
    let (high, low) = (number / 250, number % 250 + 1);
    SocketAddr::from(([127, 77, high as u8, low as u8], PORT))
}

/// Waits until `condition` holds, at most for `time_limit`; returns whether it does.
pub fn wait_until(time_limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let waited = async {
        while !condition() {
            sleep(Duration::from_millis(10)).await;
        }
    };
    block_on(timeout(time_limit, waited)).is_some()
}
