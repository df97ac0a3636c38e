//! Stand-ins of a platform, in this process: a store with revisions and
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
            Release, //
        },
        registry::Endpoint,
        retry_limit::Limit,
    },
    edge::{
        fields::Fields,
        lease::{
            self,
            Channel,
            Line, //
        },
        objects::{
            Error,
            Handle,
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
            Opener, //
        },
        runtime::{
            sleep,
            timeout,
            Context, //
        },
        settings::Outside,
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

/// Name of the dialects.
const NAME: &str = "stand-in";

/// How often a waiting watch looks for changes.
const WATCH_POLL: Duration = Duration::from_millis(2);

inventory::submit! {
    Dialect { name: NAME, open: Opener::Objects(open_store) }
}

inventory::submit! {
    Dialect { name: NAME, open: Opener::Lease(open_lease) }
}

inventory::submit! {
    Dialect { name: NAME, open: Opener::Fields(fields) }
}

fn fields() -> Fields {
    Fields {
        request_id: HeaderName::from_static("x-id"),
        deadline: HeaderName::from_static("x-deadline"),
        target: HeaderName::from_static("x-target"),
        signature: HeaderName::from_static("x-signature"),
        not_run: HeaderName::from_static("x-not-run"),
        key: HeaderName::from_static("x-key"),
    }
}

/// Stores by the address that names them.
type Stores = Mutex<Vec<(SocketAddr, Arc<Store>)>>;

fn stores() -> &'static Stores {
    static STORES: OnceLock<Stores> = OnceLock::new();
    STORES.get_or_init(Mutex::default)
}

fn servers() -> &'static Mutex<Vec<Arc<Server>>> {
    static SERVERS: OnceLock<Mutex<Vec<Arc<Server>>>> = OnceLock::new();
    SERVERS.get_or_init(Mutex::default)
}

/// A store.
#[derive(Default)]
pub struct Store {
    state: Mutex<(u64, Vec<Object>)>,
    is_down: AtomicBool,
    is_deaf: AtomicBool,
    /// Calls so far.
    pub calls: AtomicU64,
}

impl Store {
    /// Opens a store under an address that only names it.
    pub fn open() -> (SocketAddr, Arc<Self>) {
        let address = free_address();
        let store = Arc::new(Self::default());
        stores().lock().unwrap().push((address, Arc::clone(&store)));
        (address, store)
    }

    /// Makes the store turn calls away, or serve again.
    pub fn set_down(&self, is_down: bool) {
        self.is_down.store(is_down, Ordering::SeqCst);
    }

    /// Makes watches wait without end, or return again.
    pub fn set_deaf(&self, is_deaf: bool) {
        self.is_deaf.store(is_deaf, Ordering::SeqCst);
    }

    /// Puts an object, whatever was there.
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

    fn check(&self) -> Result<(), Error> {
        self.calls.fetch_add(1, Ordering::SeqCst);
        if self.is_down.load(Ordering::SeqCst) {
            return Err(Error::Busy(503));
        }
        Ok(())
    }

    fn page(&self, kind: Kind, after: u64, is_list: bool) -> Page {
        let state = self.state.lock().unwrap();
        let objects = state.1.iter().filter(|object| {
            let is_there = object.value.is_some() || !is_list;
            object.kind == kind && object.revision > after && is_there
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

fn open_store(_: &Context, address: SocketAddr) -> Handle {
    let stores = stores().lock().unwrap();
    let found = stores.iter().find(|(other, _)| *other == address);
    let store = Arc::clone(&found.expect("the store was opened").1);
    let (a, b, c, d, e) = (
        Arc::clone(&store),
        Arc::clone(&store),
        Arc::clone(&store),
        Arc::clone(&store),
        store,
    );
    Handle {
        list: Box::new(move |kind, _| {
            let store = Arc::clone(&a);
            Box::pin(async move {
                store.check()?;
                Ok(store.page(kind, 0, true))
            })
        }),
        watch: Box::new(move |kind, after, wait| {
            let store = Arc::clone(&b);
            Box::pin(async move {
                store.check()?;
                let end = Instant::now() + wait;
                loop {
                    let page = store.page(kind, after, false);
                    let is_over = !page.objects.is_empty() || Instant::now() >= end;
                    if is_over && !store.is_deaf.load(Ordering::SeqCst) {
                        return Ok(page);
                    }
                    if store.is_down.load(Ordering::SeqCst) {
                        return Err(Error::Unknown);
                    }
                    sleep(WATCH_POLL).await;
                }
            })
        }),
        get: Box::new(move |kind, name| {
            let (store, name) = (Arc::clone(&c), Box::<str>::from(name));
            Box::pin(async move {
                store.check()?;
                Ok(store.get(kind, &name))
            })
        }),
        put: Box::new(move |write| {
            let store = Arc::clone(&d);
            Box::pin(async move {
                store.check()?;
                store.write(&write)
            })
        }),
        remove: Box::new(move |kind, name, _| {
            let (store, name) = (Arc::clone(&e), Box::<str>::from(name));
            Box::pin(async move {
                store.check()?;
                store.put(kind, &name, None);
                Ok(())
            })
        }),
    }
}

/// How an endpoint treats requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// It runs and answers them.
    Well,
    /// It runs them and never answers.
    Mute,
    /// It refuses them.
    Sheds,
    /// It runs them and answers with a failure.
    Fails,
}

/// An endpoint.
pub struct Server {
    /// What it says of itself.
    pub endpoint: Endpoint,
    /// Requests run, by identity.
    pub runs: Mutex<Vec<Box<str>>>,
    mode: Mutex<Mode>,
    is_up: AtomicBool,
    holds: Mutex<Vec<(u16, u16, u64, Instant)>>,
    is_keyed: bool,
    work: Duration,
    listener: Mutex<Option<Listener>>,
}

impl Server {
    /// Starts an endpoint and registers it in the store.
    pub fn start(
        context: &Context,
        store: &Store,
        id: &str,
        service: &str,
        keyed: bool,
    ) -> Arc<Self> {
        let address = free_address();
        let endpoint = Endpoint {
            id: id.into(),
            service: service.into(),
            address,
            zone: "a".into(),
            slots: 2,
            is_leaving: false,
            cold_ms: 0,
            born: 1,
        };
        let server = Arc::new(Self {
            endpoint: endpoint.clone(),
            runs: Mutex::default(),
            mode: Mutex::new(Mode::Well),
            is_up: AtomicBool::new(true),
            holds: Mutex::default(),
            is_keyed: keyed,
            work: Duration::from_millis(20),
            listener: Mutex::new(None),
        });
        let for_handler = Arc::clone(&server);
        let handler: http::Handler = Arc::new(move |request| {
            let server = Arc::clone(&for_handler);
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

    /// Sets how requests are treated.
    pub fn set_mode(&self, mode: Mode) {
        *self.mode.lock().unwrap() = mode;
    }

    /// Ends the endpoint without notice.
    pub fn crash(&self) {
        self.is_up.store(false, Ordering::SeqCst);
        self.holds.lock().unwrap().clear();
        let listener = self.listener.lock().unwrap().take();
        drop(listener);
    }

    /// Tells whether it holds a key.
    pub fn holds(&self, key: u16) -> bool {
        let now = Instant::now();
        let holds = self.holds.lock().unwrap();
        let mut covering = holds.iter();
        covering.any(|&(from, to, _, until)| from <= key && key <= to && until > now)
    }

    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
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
        let is_meant = text(&fields.target).as_ref() == Some(&self.endpoint.id);
        let is_held = !self.is_keyed || key.is_some_and(|key| self.holds(key));
        if !is_meant || !is_held || mode == Mode::Sheds {
            let status = if mode == Mode::Sheds && is_meant {
                StatusCode::SERVICE_UNAVAILABLE
            } else {
                StatusCode::MISDIRECTED_REQUEST
            };
            let mut response = answer(status, "text/plain", "not run");
            let one = HeaderValue::from_static("1");
            response.headers_mut().insert(fields.not_run, one);
            return response;
        }
        self.runs.lock().unwrap().push(id.clone());
        if mode == Mode::Mute || !self.is_up.load(Ordering::SeqCst) {
            std::future::pending::<()>().await;
        }
        sleep(self.work).await;
        let status = match mode {
            Mode::Fails => StatusCode::INTERNAL_SERVER_ERROR,
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
        if !self.is_up.load(Ordering::SeqCst) {
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
        let mut holds = self.holds.lock().unwrap();
        let overlaps = |hold: &(u16, u16, u64, Instant)| hold.0 <= grant.to && grant.from <= hold.1;
        if holds
            .iter()
            .any(|hold| overlaps(hold) && hold.2 > grant.fence)
        {
            return Outcome::Fenced;
        }
        holds.retain(|hold| !(grant.from <= hold.0 && hold.1 <= grant.to));
        holds.push((
            grant.from,
            grant.to,
            grant.fence,
            Instant::now() + grant.duration,
        ));
        Outcome::Done(None)
    }

    fn release(&self, order: Release) -> Outcome {
        if !self.is_up.load(Ordering::SeqCst) {
            return Outcome::Unreachable;
        }
        let mut holds = self.holds.lock().unwrap();
        let mut kept = Vec::new();
        for (from, to, fence, until) in holds.drain(..) {
            if to < order.from || order.to < from {
                kept.push((from, to, fence, until));
                continue;
            }
            if from < order.from {
                kept.push((from, order.from - 1, fence, until));
            }
            if to > order.to {
                kept.push((order.to + 1, to, fence, until));
            }
        }
        *holds = kept;
        Outcome::Done(Some("state".into()))
    }
}

fn find(endpoint: &Endpoint) -> Arc<Server> {
    let servers = servers().lock().unwrap();
    let mut servers = servers.iter();
    let found = servers.find(|server| server.endpoint.address == endpoint.address);
    Arc::clone(found.expect("orders go to endpoints that were started"))
}

fn open_lease(_: &Context) -> lease::Handle {
    lease::Handle {
        open: Box::new(|endpoint| {
            let server = find(endpoint);
            Box::pin(async move {
                if !server.is_up.load(Ordering::SeqCst) {
                    return Err(Outcome::Unreachable);
                }
                let for_line = Arc::clone(&server);
                Ok(Channel {
                    grant: Box::new(move |grant| {
                        let answer = server.grant(&grant);
                        Box::pin(async move { answer })
                    }),
                    line: Box::new(move || match for_line.is_up.load(Ordering::SeqCst) {
                        true => Line::Open,
                        false => Line::Ended,
                    }),
                })
            })
        }),
        release: Box::new(|endpoint, order, _| {
            let answer = find(endpoint).release(order);
            Box::pin(async move { answer })
        }),
    }
}

/// Starts a router process in this one.
pub fn router(context: &Context, store: SocketAddr, name: &str) -> Router {
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
        store: Outside {
            dialect: NAME.into(),
            address: store,
        },
        lease_dialect: NAME.into(),
        header_dialect: NAME.into(),
        source_address: None,
        cpu_millis: 1_000,
        memory_bytes: 1 << 28,
        max_file_descriptors: 4_096,
        bounds: Bounds {
            retry_limit: Limit {
                ratio_permille: 200,
                slack: 60,
                window: Duration::from_secs(10),
            },
            ..Bounds::default()
        },
        log_level: "info".into(),
    };
    router::spawn(context, settings, None).expect("free addresses can be bound")
}

/// Port of all stand-ins, below those from which connections start.
const PORT: u16 = 7_001;

/// An address of the loopback that nothing else in this process uses.
fn free_address() -> SocketAddr {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let number = NEXT.fetch_add(1, Ordering::SeqCst);
    let (high, low) = (number / 250, number % 250 + 1);
    SocketAddr::from(([127, 77, high as u8, low as u8], PORT))
}

/// Waits until `is_so`, at most `span`.
pub fn wait(span: Duration, mut is_so: impl FnMut() -> bool) -> bool {
    let waited = async {
        while !is_so() {
            sleep(Duration::from_millis(10)).await;
        }
    };
    block_on(timeout(span, waited)).is_some()
}
