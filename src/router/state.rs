//! What the parts of a router process share.

use crate::{
    core::{
        caller_wait::Estimator,
        manifest::{
            Manifest,
            RoundRobin,
            Route, //
        },
        mirror::{
            Kind,
            Mirror,
            Object,
            Value, //
        },
        ownership::Table,
        registry::{
            Endpoint,
            Member, //
        },
        rendezvous,
        time::Instant,
    },
    edge::{
        fields::Fields,
        lease,
        objects, //
    },
    kernel::{
        clock, pool,
        runtime::{
            timeout,
            Context, //
        },
    },
    router::{
        attempt,
        datagram::Socket,
        dispatcher::Job,
        peer,
        permit_client::Asks,
        settings::Settings,
        wire::Beat, //
    },
};
use event_listener::Event;
use std::{
    net::SocketAddr,
    sync::{
        atomic::{
            AtomicBool,
            AtomicU64,
            Ordering, //
        },
        Arc,
        Mutex, //
    },
    time::Duration,
};

/// VMs that read the store for the others.
pub const RELAYS: usize = 3;

/// How long a VM that did not answer is passed over.
const SUSPECT_FOR: Duration = Duration::from_millis(1_500);

/// Silence after which a relay calls a member absent.
const SILENCE: Duration = Duration::from_millis(700);

/// Age from which the store counts as out of reach.
pub const STORE_LOST: Duration = Duration::from_millis(1_700);

/// How long a VM counts as cut off from the store after a call of its own failed.
const STORE_DOUBT: Duration = Duration::from_millis(4_000);

/// How long after its start a process holds requests until it has a copy of the store.
const START_HOLD: Duration = Duration::from_millis(1_000);

/// What is known of the platform, as one consistent set.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The configuration with the highest version seen.
    pub manifest: Option<Arc<Manifest>>,
    /// Endpoints, sorted by identity.
    pub endpoints: Vec<Listed>,
    /// VMs of the system, sorted by name.
    pub members: Vec<Member>,
    /// Tables with their revisions, sorted by service.
    pub tables: Vec<(u64, Arc<Table>)>,
}

/// An endpoint of the view.
#[derive(Clone, Debug)]
pub struct Listed {
    /// What it says of itself.
    pub endpoint: Arc<Endpoint>,
    /// Until when it is cold.
    pub cold_until: Instant,
    /// When it was first seen to be leaving.
    pub leaving_since: Option<Instant>,
}

impl View {
    /// Finds an endpoint.
    pub fn endpoint(&self, id: &str) -> Option<&Listed> {
        let place = self
            .endpoints
            .binary_search_by(|listed| (*listed.endpoint.id).cmp(id));
        place.ok().map(|index| &self.endpoints[index])
    }

    /// Finds the table of a service.
    pub fn table(&self, service: &str) -> Option<&(u64, Arc<Table>)> {
        let place = self
            .tables
            .binary_search_by(|(_, table)| (*table.service).cmp(service));
        place.ok().map(|index| &self.tables[index])
    }

    /// Returns the endpoints of a service, sorted by identity.
    pub fn endpoints_of<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Listed> + 'a {
        let all = self.endpoints.iter();
        all.filter(move |listed| *listed.endpoint.service == *service)
    }

    /// Tells whether each key of a service belongs to one endpoint.
    pub fn is_keyed(&self, service: &str) -> bool {
        let manifest = self.manifest.as_ref();
        let found = manifest.and_then(|manifest| manifest.service(service));
        found.is_some_and(|service| service.is_keyed)
    }
}

/// What is known of a peer beyond what the store says.
#[derive(Clone, Debug)]
struct Peer {
    address: SocketAddr,
    heard: Option<Instant>,
    is_absent: bool,
    suspect_until: Instant,
}

/// Signs of life of the other VMs.
#[derive(Debug, Default)]
struct Peers {
    peers: Vec<Peer>,
    told: Vec<Box<str>>,
    said: Vec<Box<str>>,
    hears_all: bool,
}

impl Peers {
    fn get(&mut self, address: SocketAddr) -> &mut Peer {
        let place = self
            .peers
            .binary_search_by_key(&address, |peer| peer.address);
        let index = place.unwrap_or_else(|index| {
            self.peers.insert(
                index,
                Peer {
                    address,
                    heard: None,
                    is_absent: false,
                    suspect_until: Instant::default(),
                },
            );
            index
        });
        &mut self.peers[index]
    }
}

/// A VM's part in reading the store for the others.
#[derive(Clone, Copy, Debug)]
struct Reading {
    place: usize,
    since: Instant,
}

/// Figures counted for the log's summary lines.
#[derive(Debug, Default)]
pub struct Counts {
    /// Requests taken in.
    pub requests: AtomicU64,
    /// Answered by an endpoint.
    pub answered: AtomicU64,
    /// Refused as not run.
    pub refused: AtomicU64,
    /// Failed otherwise.
    pub failed: AtomicU64,
    /// Callers that left.
    pub left: AtomicU64,
    /// Most that a timer was late since the last summary line, in milliseconds:
    /// how long this process had to wait for its processor.
    pub lag_ms: AtomicU64,
}

/// Shared by the parts of one process.
pub struct State {
    /// Starts tasks.
    pub context: Context,
    /// Settings.
    pub settings: Settings,
    /// Run of this process.
    pub run: u64,
    /// Names of header fields.
    pub fields: Fields,
    /// The store; another one after its address changed.
    pub store: Mutex<Arc<objects::Handle>>,
    /// Grants.
    pub lease: lease::Handle,
    /// Connections to endpoints.
    pub endpoints: pool::Set,
    /// Connections to peers.
    pub peer_pools: pool::Set,
    /// Datagrams.
    pub socket: Socket,
    /// Requests of this VM that wait for a permit or have one.
    pub asks: Asks,
    /// Services for which this VM hands out permits.
    pub jobs: Mutex<Vec<Arc<Job>>>,
    /// Told of each change of the view.
    pub changed: Event,
    /// Told when this VM becomes a relay or ceases to be one.
    pub role_changed: Event,
    /// Figures.
    pub counts: Counts,
    mirror: Mutex<Mirror>,
    view: Mutex<Arc<View>>,
    peers: Mutex<Peers>,
    dealers: Mutex<Vec<(Box<str>, u64, RoundRobin)>>,
    fresh_at: Mutex<Instant>,
    own_fresh_at: Mutex<Instant>,
    reading: Mutex<Option<Reading>>,
    store_failed: Mutex<Option<Instant>>,
    patience: Mutex<Estimator>,
    wary: Mutex<Vec<(Box<str>, Instant)>>,
    is_leaving: AtomicBool,
    is_joined: AtomicBool,
    started: Instant,
}

impl State {
    /// Starts with nothing known.
    pub fn new(
        context: &Context,
        settings: Settings,
        run: u64,
        fields: Fields,
        store: objects::Handle,
        lease: lease::Handle,
        socket: Socket,
    ) -> Self {
        Self {
            context: context.clone(),
            run,
            fields,
            store: Mutex::new(Arc::new(store)),
            lease,
            endpoints: pool::Set::open(context, attempt::KEEP),
            peer_pools: pool::Set::open(context, peer::KEEP),
            socket,
            asks: Asks::new(run),
            jobs: Mutex::new(Vec::new()),
            changed: Event::new(),
            role_changed: Event::new(),
            counts: Counts::default(),
            mirror: Mutex::new(Mirror::default()),
            view: Mutex::new(Arc::new(View::default())),
            peers: Mutex::new(Peers::default()),
            dealers: Mutex::new(Vec::new()),
            fresh_at: Mutex::new(Instant::default()),
            own_fresh_at: Mutex::new(Instant::default()),
            reading: Mutex::new(None),
            store_failed: Mutex::new(None),
            patience: Mutex::new(Estimator::default()),
            wary: Mutex::new(Vec::new()),
            is_leaving: AtomicBool::new(false),
            is_joined: AtomicBool::new(false),
            started: clock::now(),
            settings,
        }
    }

    /// Returns the open store.
    pub fn store(&self) -> Arc<objects::Handle> {
        Arc::clone(&self.store.lock().unwrap())
    }

    /// Returns the present view.
    pub fn view(&self) -> Arc<View> {
        Arc::clone(&self.view.lock().unwrap())
    }

    /// Returns what changed in the copy of the store after change `number`.
    pub fn changes(&self, number: u64) -> (u64, Vec<Object>) {
        let mirror = self.mirror.lock().unwrap();
        (mirror.last_change(), mirror.changes_since(number))
    }

    /// Returns the number of the last change.
    pub fn number(&self) -> u64 {
        self.mirror.lock().unwrap().last_change()
    }

    /// Changes the copy of the store and renews the view if anything changed.
    pub fn merge(&self, change: impl FnOnce(&mut Mirror) -> bool) {
        {
            let mut mirror = self.mirror.lock().unwrap();
            if !change(&mut mirror) {
                return;
            }
            let mut view = self.view.lock().unwrap();
            *view = Arc::new(renew(&mirror, &view, clock::now()));
        }
        self.changed.notify(usize::MAX);
    }

    /// Returns the revision of an object, if it exists.
    pub fn revision(&self, kind: Kind, name: &str) -> Option<u64> {
        let mirror = self.mirror.lock().unwrap();
        mirror.get(kind, name).map(|object| object.revision)
    }

    /// Notes that the view was as the store is at `at`.
    pub fn set_fresh(&self, at: Instant) {
        let mut fresh = self.fresh_at.lock().unwrap();
        *fresh = (*fresh).max(at);
    }

    /// Notes that this VM itself read the store at `at`.
    pub fn set_own_fresh(&self, at: Instant) {
        let mut fresh = self.own_fresh_at.lock().unwrap();
        *fresh = (*fresh).max(at);
        drop(fresh);
        *self.store_failed.lock().unwrap() = None;
        self.set_fresh(at);
    }

    /// Returns how long ago the view was as the store is.
    pub fn age(&self) -> Duration {
        clock::now().since(*self.fresh_at.lock().unwrap())
    }

    /// Returns how long ago this VM itself read the store.
    pub fn own_age(&self) -> Duration {
        clock::now().since(*self.own_fresh_at.lock().unwrap())
    }

    /// Sets this VM's place among those that read the store, if it has one.
    pub fn set_reads_store(&self, place: Option<usize>) {
        let mut reading = self.reading.lock().unwrap();
        if reading.map(|reading| reading.place) != place {
            self.role_changed.notify(usize::MAX);
        }
        let since = reading.map_or_else(clock::now, |reading| reading.since);
        *reading = place.map(|place| Reading { place, since });
    }

    /// Returns this VM's place among those that read the store.
    pub fn reads_store(&self) -> Option<usize> {
        self.reading.lock().unwrap().map(|reading| reading.place)
    }

    /// Notes that the store did not take a call of this VM.
    pub fn set_store_failed(&self) {
        *self.store_failed.lock().unwrap() = Some(clock::now());
    }

    /// Tells whether this VM uses the store, but lately without success.
    pub fn is_cut_off(&self) -> bool {
        let failed = *self.store_failed.lock().unwrap();
        if failed.is_some_and(|at| clock::now().since(at) < STORE_DOUBT) {
            return true;
        }
        let reading = *self.reading.lock().unwrap();
        let Some(Reading { since, .. }) = reading else {
            return false;
        };
        let is_lost = self.own_age().min(clock::now().since(since)) >= STORE_LOST;
        if is_lost {
            // Remembered, as it stops reading for others and would not notice again.
            self.set_store_failed();
        }
        is_lost
    }

    /// Notes a datagram from a peer.
    pub fn hear(&self, address: SocketAddr) {
        let mut peers = self.peers.lock().unwrap();
        let peer = peers.get(address);
        peer.heard = Some(clock::now());
        peer.suspect_until = Instant::default();
    }

    /// Notes a heartbeat.
    pub fn hear_beat(&self, address: SocketAddr, beat: &Beat) {
        let mut peers = self.peers.lock().unwrap();
        peers.get(address).is_absent = beat.is_leaving || !beat.has_store;
    }

    /// Passes a peer over for a while, as it did not answer.
    pub fn suspect(&self, address: SocketAddr) {
        let mut peers = self.peers.lock().unwrap();
        peers.get(address).suspect_until = clock::now().after(SUSPECT_FOR);
    }

    /// Takes over which members a relay found absent.
    pub fn set_told(&self, absent: Vec<Box<str>>) {
        self.peers.lock().unwrap().told = absent;
    }

    /// Returns which members a relay found absent.
    pub fn told(&self) -> Vec<Box<str>> {
        self.peers.lock().unwrap().told.clone()
    }

    /// Tells whether a member is believed to be alive and of use.
    pub fn is_usable(&self, member: &Member) -> bool {
        if *member.name == *self.settings.name {
            return !self.is_leaving() && !self.is_cut_off();
        }
        let mut peers = self.peers.lock().unwrap();
        if peers.told.binary_search(&member.name).is_ok() {
            return false;
        }
        peers.get(member.datagrams).suspect_until <= clock::now()
    }

    /// Works out which members this VM calls absent if it hears all of them `since` then.
    ///
    /// Returns whether that differs from the last time.
    pub fn find_absent(&self, since: Option<Instant>) -> bool {
        let now = clock::now();
        let view = self.view();
        let mut peers = self.peers.lock().unwrap();
        let mut absent = Vec::new();
        for member in &view.members {
            let Some(since) = since else { break };
            if *member.name == *self.settings.name {
                continue;
            }
            let peer = peers.get(member.datagrams);
            let heard = peer.heard.unwrap_or(since).max(since);
            if peer.is_absent || now.since(heard) > SILENCE {
                absent.push(member.name.clone());
            }
        }
        peers.hears_all = since.is_some();
        let is_changed = peers.said != absent;
        peers.said = absent;
        is_changed
    }

    /// Tells whether this VM hears all members itself.
    pub fn hears_all(&self) -> bool {
        self.peers.lock().unwrap().hears_all
    }

    /// Returns the members that this VM calls absent.
    pub fn absent(&self) -> Vec<Box<str>> {
        self.peers.lock().unwrap().said.clone()
    }

    /// Returns the VMs that read the store for the others.
    pub fn relays(&self, view: &View) -> Vec<Member> {
        let relays =
            rendezvous::select_relays(&view.members, RELAYS, |member| self.is_usable(member));
        relays.into_iter().cloned().collect()
    }

    /// Deals a request of a route out to one of its services.
    pub fn deal(&self, route: &Route, version: u64) -> Option<usize> {
        if route.parts.len() == 1 {
            return Some(0);
        }
        let mut dealers = self.dealers.lock().unwrap();
        let place = dealers.binary_search_by(|(name, _, _)| name.cmp(&route.name));
        let index = match place {
            Ok(index) => index,
            Err(index) => {
                let dealer = RoundRobin::new(&route.parts, self.run as usize);
                dealers.insert(index, (route.name.clone(), version, dealer));
                index
            }
        };
        let entry = &mut dealers[index];
        if entry.1 != version {
            entry.1 = version;
            entry.2 = RoundRobin::new(&route.parts, self.run as usize);
        }
        entry.2.next(&route.parts)
    }

    /// Returns the time that a caller with this deadline has waited at least.
    pub fn spent(&self, class: u32, deadline_ms: u64) -> Duration {
        self.patience.lock().unwrap().min_wait(class, deadline_ms)
    }

    /// Trusts kept connections to a service's endpoints less for a while.
    pub fn be_wary(&self, service: &str) {
        let until = clock::now().after(attempt::WARY_FOR);
        let mut wary = self.wary.lock().unwrap();
        match wary.binary_search_by(|(name, _)| (**name).cmp(service)) {
            Ok(index) => wary[index].1 = until,
            Err(index) => wary.insert(index, (service.into(), until)),
        }
    }

    /// Tells whether kept connections to a service's endpoints are trusted less.
    pub fn is_wary(&self, service: &str) -> bool {
        let wary = self.wary.lock().unwrap();
        let place = wary.binary_search_by(|(name, _)| (**name).cmp(service));
        place.is_ok_and(|index| wary[index].1 > clock::now())
    }

    /// Notes that this VM is listed among the members.
    pub fn set_joined(&self) {
        self.is_joined.store(true, Ordering::Release);
    }

    /// Tells whether this VM has listed itself among the members.
    pub fn is_joined(&self) -> bool {
        self.is_joined.load(Ordering::Acquire)
    }

    /// Stops being ready and tells the peers.
    pub fn leave(&self) {
        self.is_leaving.store(true, Ordering::Release);
    }

    /// Tells whether the process is stopping.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::Acquire)
    }

    /// Tells whether an endpoint was there and is no more.
    pub fn is_removed(&self, endpoint: &str) -> bool {
        let mirror = self.mirror.lock().unwrap();
        mirror.is_removed(Kind::Endpoint, endpoint)
    }

    /// Tells whether the process may still be about to get its first copy.
    pub fn is_starting(&self) -> bool {
        clock::now().since(self.started) < START_HOLD
    }

    /// Waits for the first copy, as long as it may be about to come.
    pub async fn wait_for_copy(&self) {
        while !self.is_ready() && !self.is_leaving() && self.is_starting() {
            let changed = self.changed.listen();
            if !self.is_ready() {
                let left = self.started.after(START_HOLD).since(clock::now());
                timeout(left, changed).await;
            }
        }
    }

    /// Tells whether callers can be served.
    pub fn is_ready(&self) -> bool {
        let view = self.view();
        !self.is_leaving() && view.manifest.is_some() && !view.endpoints.is_empty()
    }
}

fn renew(mirror: &Mirror, old: &View, now: Instant) -> View {
    let mut view = View {
        manifest: old.manifest.clone(),
        ..View::default()
    };
    for object in mirror.objects(Kind::Manifest) {
        let Some(Value::Manifest(manifest)) = &object.value else {
            continue;
        };
        let known = view.manifest.as_ref().map(|known| known.version);
        if known.is_none_or(|known| known < manifest.version) {
            view.manifest = Some(Arc::clone(manifest));
        }
    }
    for object in mirror.objects(Kind::Endpoint) {
        let Some(Value::Endpoint(endpoint)) = &object.value else {
            continue;
        };
        let known = old.endpoint(&endpoint.id);
        let listed = match known {
            Some(known) if Arc::ptr_eq(&known.endpoint, endpoint) => known.clone(),
            _ => Listed {
                endpoint: Arc::clone(endpoint),
                cold_until: now.after(Duration::from_millis(endpoint.cold_ms)),
                leaving_since: endpoint.is_leaving.then(|| {
                    let since = known.and_then(|known| known.leaving_since);
                    since.unwrap_or(now)
                }),
            },
        };
        view.endpoints.push(listed);
    }
    for object in mirror.objects(Kind::Member) {
        if let Some(Value::Member(member)) = &object.value {
            view.members.push((**member).clone());
        }
    }
    for object in mirror.objects(Kind::Table) {
        if let Some(Value::Table(table)) = &object.value {
            view.tables.push((object.revision, Arc::clone(table)));
        }
    }
    view
}
