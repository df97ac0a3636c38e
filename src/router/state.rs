//! State shared by the tasks of a router process.
//!
//! [`State`] holds this VM's mirror of the platform's store, the [`View`] built
//! from the mirror, and what is known about the other VMs beyond the store's
//! content.

use crate::{
    core::{
        caller_wait::Estimator,
        cold,
        evacuation::Zones,
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
        permit::reported_load::Reports,
        rate_limit::{
            self,
            Limits,
            Report, //
        },
        registry::{
            Endpoint,
            Member, //
        },
        rendezvous,
        roles::Rankings,
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
        permit_client::Client,
        settings::Settings,
        shutdown::Shutdown,
        wire::Heartbeat, //
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

/// Number of relays, the VMs that watch the store on behalf of the others.
pub const RELAY_COUNT: usize = 3;

/// How long a VM that did not respond is skipped.
const SUSPECT_PERIOD: Duration = Duration::from_millis(1_500);

/// Time without a datagram from a member after which a relay calls the member unavailable.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(700);

/// Age of the last read from which the store counts as unreachable.
pub const STORE_TIMEOUT: Duration = Duration::from_millis(1_700);

/// How long a VM counts as cut off from the store after one of its calls failed.
const STORE_FAILURE_PERIOD: Duration = Duration::from_millis(4_000);

/// Time without dispatching by itself after which a VM starts to do so anew.
const LOCAL_RATE_IDLE: Duration = Duration::from_millis(3_000);

/// How long after its start a process holds requests until it has read the store.
const STARTUP_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Consistent snapshot of what is known about the platform.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Configuration with the highest version seen.
    pub manifest: Option<Arc<Manifest>>,
    /// Endpoints, sorted by identity.
    pub endpoints: Vec<Entry>,
    /// VMs of the system, sorted by name.
    pub members: Vec<Member>,
    /// Key tables with their revisions, sorted by service.
    pub tables: Vec<(u64, Arc<Table>)>,
    /// Rankings of the members for the services.
    pub rankings: Arc<Rankings>,
    /// Evacuated zones.
    pub evacuations: Zones,
}

/// An endpoint in a [`View`].
#[derive(Clone, Debug)]
pub struct Entry {
    /// Endpoint, as it describes itself.
    pub endpoint: Arc<Endpoint>,
    /// Hash by which VMs refer to the endpoint.
    pub hash: u64,
    /// When this VM first had this record of the endpoint.
    pub changed_at: Instant,
    /// When the endpoint has warmed up after its start.
    pub cold_until: Instant,
    /// What its entry says of its cold time, and the evacuations of its zone.
    pub cold: cold::Statement,
    /// When the endpoint was first seen to be leaving.
    pub leaving_since: Option<Instant>,
}

impl View {
    /// Returns an endpoint by its identity.
    pub fn endpoint(&self, id: &str) -> Option<&Entry> {
        let place = self
            .endpoints
            .binary_search_by(|entry| (*entry.endpoint.id).cmp(id));
        place.ok().map(|index| &self.endpoints[index])
    }

    /// Returns the only endpoint of a service that has a hash.
    pub fn endpoint_by_hash<'a>(&'a self, service: &'a str, hash: u64) -> Option<&'a Entry> {
        let mut found = self
            .endpoints_of(service)
            .filter(|entry| entry.hash == hash);
        let entry = found.next()?;
        found.next().is_none().then_some(entry)
    }

    /// Returns the table of a service and the table's revision.
    pub fn table(&self, service: &str) -> Option<&(u64, Arc<Table>)> {
        let place = self
            .tables
            .binary_search_by(|(_, table)| (*table.service).cmp(service));
        place.ok().map(|index| &self.tables[index])
    }

    /// Returns the endpoints of a service, sorted by identity.
    pub fn endpoints_of<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Entry> + 'a {
        let all = self.endpoints.iter();
        all.filter(move |entry| *entry.endpoint.service == *service)
    }

    /// Returns whether an endpoint is in an evacuated zone.
    pub fn is_evacuated(&self, endpoint: &Endpoint) -> bool {
        self.evacuations.contains(&endpoint.zone)
    }

    /// Returns whether an endpoint gets no more requests because its zone is evacuated.
    pub fn is_closed(&self, id: &str, now: Instant) -> bool {
        let zone = self.endpoint(id).map(|entry| &entry.endpoint.zone);
        zone.is_some_and(|zone| self.evacuations.is_closed(zone, now))
    }

    /// Returns whether each key of a service belongs to one endpoint.
    pub fn is_keyed(&self, service: &str) -> bool {
        let manifest = self.manifest.as_ref();
        let found = manifest.and_then(|manifest| manifest.service(service));
        found.is_some_and(|service| service.is_keyed)
    }
}

/// What is known about a peer beyond the store's content.
#[derive(Clone, Debug)]
struct Peer {
    address: SocketAddr,
    last_heard: Option<Instant>,
    is_unavailable: bool,
    suspect_until: Instant,
}

/// Availability of the other VMs.
#[derive(Debug, Default)]
struct Peers {
    peers: Vec<Peer>,
    reported_unavailable: Vec<Box<str>>,
    unavailable_members: Vec<Box<str>>,
    receives_all_heartbeats: bool,
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
                    last_heard: None,
                    is_unavailable: false,
                    suspect_until: Instant::default(),
                },
            );
            index
        });
        &mut self.peers[index]
    }
}

/// This VM's role as a relay.
#[derive(Clone, Copy, Debug)]
struct Role {
    position: usize,
    since: Instant,
}

/// Counters and gauges for the summary log line.
#[derive(Debug, Default)]
pub struct Counters {
    /// Requests received.
    pub requests: AtomicU64,
    /// Requests answered by an endpoint.
    pub answered: AtomicU64,
    /// Requests refused without being run.
    pub refused: AtomicU64,
    /// Requests that failed in any other way.
    pub failed: AtomicU64,
    /// Callers that disconnected before their response.
    pub disconnected: AtomicU64,
    /// Longest delay of a timer since the last summary line, in milliseconds; shows how long
    /// the process waited for its CPU.
    pub lag_ms: AtomicU64,
}

/// State shared by the tasks of one process.
pub struct State {
    /// Runtime that tasks are started on.
    pub context: Context,
    /// Settings of the process.
    pub settings: Settings,
    /// Number of this run of the process.
    pub run: u64,
    /// Names of header fields.
    pub fields: Fields,
    /// Client of the store; replaced when the store's address changes.
    pub store: Mutex<Arc<objects::Client>>,
    /// Client for grants and releases.
    pub lease: lease::Client,
    /// Connection pools to endpoints.
    pub endpoints: pool::Set,
    /// Connection pools to peers.
    pub peer_pools: pool::Set,
    /// Socket for datagrams.
    pub socket: Socket,
    /// Client for permits, with the requests of this VM that wait for one or hold one.
    pub permit_client: Client,
    /// Services that this VM dispatches for, sorted by name.
    pub jobs: Mutex<Vec<Arc<Job>>>,
    /// Notified of each change of the view.
    pub changed: Event,
    /// Notified when this VM's position among the relays changes.
    pub role_changed: Event,
    /// Counters for the summary log line.
    pub counters: Counters,
    mirror: Mutex<Mirror>,
    view: Mutex<Arc<View>>,
    peers: Mutex<Peers>,
    round_robins: Mutex<Vec<(Box<str>, u64, RoundRobin)>>,
    synced_at: Mutex<Instant>,
    read_at: Mutex<Instant>,
    /// When the evacuations in the mirror were last known to be complete.
    evacuations_known_at: Mutex<Instant>,
    /// When the store was last found to have been restored from an old copy.
    restored_at: Mutex<Option<Instant>>,
    /// Oldest era of the store from which this VM has objects, also by way of others.
    oldest_era: Mutex<Option<u64>>,
    role: Mutex<Option<Role>>,
    store_failed_at: Mutex<Option<Instant>>,
    caller_wait: Mutex<Estimator>,
    /// Rate limits that endpoints named, as used while this VM reaches no dispatcher.
    pub rate_limits: Mutex<Limits>,
    /// Load that endpoints reported to this VM.
    pub load_reports: Mutex<Reports>,
    /// Cold endpoints, with the buckets that are used while this VM reaches no dispatcher.
    pub cold: Mutex<cold::Endpoints>,
    unreliable_connections: Mutex<Vec<(Box<str>, Instant)>>,
    /// Progress of the shutdown of this process.
    pub shutdown: Shutdown,
    is_leaving: AtomicBool,
    is_registered: AtomicBool,
    /// When the process was started.
    pub started: Instant,
}

impl State {
    /// Creates the state of a process that has not read the store yet.
    pub fn new(
        context: &Context,
        settings: Settings,
        run: u64,
        fields: Fields,
        store: objects::Client,
        lease: lease::Client,
        socket: Socket,
    ) -> Self {
        Self {
            context: context.clone(),
            run,
            fields,
            store: Mutex::new(Arc::new(store)),
            lease,
            endpoints: pool::Set::with_config(context, attempt::POOL_CONFIG),
            peer_pools: pool::Set::with_config(context, peer::POOL_CONFIG),
            socket,
            permit_client: Client::new(run),
            jobs: Mutex::new(Vec::new()),
            changed: Event::new(),
            role_changed: Event::new(),
            counters: Counters::default(),
            mirror: Mutex::new(Mirror::default()),
            view: Mutex::new(Arc::new(View::default())),
            peers: Mutex::new(Peers::default()),
            round_robins: Mutex::new(Vec::new()),
            synced_at: Mutex::new(Instant::default()),
            read_at: Mutex::new(Instant::default()),
            evacuations_known_at: Mutex::new(Instant::default()),
            restored_at: Mutex::new(None),
            oldest_era: Mutex::new(None),
            role: Mutex::new(None),
            store_failed_at: Mutex::new(None),
            caller_wait: Mutex::new(Estimator::default()),
            rate_limits: Mutex::new(Limits::new(rate_limit::local_share(1), rand::random())),
            load_reports: Mutex::default(),
            cold: Mutex::new(cold::Endpoints::new(cold::local_share(1), rand::random())),
            unreliable_connections: Mutex::new(Vec::new()),
            shutdown: Shutdown::default(),
            is_leaving: AtomicBool::new(false),
            is_registered: AtomicBool::new(false),
            started: clock::now(),
            settings,
        }
    }

    /// Returns the client of the store.
    pub fn store(&self) -> Arc<objects::Client> {
        Arc::clone(&self.store.lock().unwrap())
    }

    /// Returns the current view.
    pub fn view(&self) -> Arc<View> {
        Arc::clone(&self.view.lock().unwrap())
    }

    /// Returns the number of the last change and the objects changed after change `number`.
    pub fn changes_since(&self, number: u64) -> (u64, Vec<Object>) {
        let mirror = self.mirror.lock().unwrap();
        (mirror.last_change(), mirror.changes_since(number))
    }

    /// Returns the number of the mirror's last change.
    pub fn last_change(&self) -> u64 {
        self.mirror.lock().unwrap().last_change()
    }

    /// Applies `change` to the mirror and rebuilds the view if anything changed.
    pub fn merge(&self, change: impl FnOnce(&mut Mirror) -> bool) {
        {
            let mut mirror = self.mirror.lock().unwrap();
            let is_first = mirror.last_change() == 0;
            let known_era = mirror.era();
            let is_changed = change(&mut mirror);
            let era = mirror.era();
            if is_first {
                self.set_oldest_era(era);
            } else if era > known_era {
                metrics::counter!("rhubarbpick_store_restores_total").increment(1);
                log::warn!("event=store_restored era={era} known_era={known_era}");
                *self.restored_at.lock().unwrap() = Some(clock::now());
            }
            if !is_changed {
                return;
            }
            let mut view = self.view.lock().unwrap();
            let new_view = self.build_view(&mirror, &view, clock::now());
            log_evacuations(&view, &new_view);
            *view = Arc::new(new_view);
        }
        self.changed.notify(usize::MAX);
    }

    /// Returns the era of the store, as far as this VM knows.
    pub fn era(&self) -> u64 {
        self.mirror.lock().unwrap().era()
    }

    /// Returns when the store was last found to have been restored from an old copy.
    pub fn restored_at(&self) -> Option<Instant> {
        *self.restored_at.lock().unwrap()
    }

    /// Records that this VM has objects from an era of the store.
    pub fn set_oldest_era(&self, era: u64) {
        let mut oldest_era = self.oldest_era.lock().unwrap();
        *oldest_era = Some(oldest_era.map_or(era, |oldest| oldest.min(era)));
    }

    /// Returns the oldest era of the store from which this VM has objects.
    pub fn oldest_era(&self) -> u64 {
        self.oldest_era
            .lock()
            .unwrap()
            .unwrap_or_else(|| self.era())
    }

    /// Returns the revision of an object, if it exists.
    pub fn revision(&self, kind: Kind, name: &str) -> Option<u64> {
        let mirror = self.mirror.lock().unwrap();
        mirror.get(kind, name).map(|object| object.revision)
    }

    /// Records that the view matched the store at `at`.
    pub fn set_synced_at(&self, at: Instant) {
        let mut synced_at = self.synced_at.lock().unwrap();
        *synced_at = (*synced_at).max(at);
    }

    /// Records that the evacuations in the mirror were complete at `at`.
    pub fn set_evacuations_known_at(&self, at: Instant) {
        let mut known_at = self.evacuations_known_at.lock().unwrap();
        *known_at = (*known_at).max(at);
    }

    /// Builds the view of a mirror, which takes the place of `old`.
    fn build_view(&self, mirror: &Mirror, old: &View, now: Instant) -> View {
        let mut view = build_view(mirror, old, now);
        if let Some(bound) = self.settings.bounds.evacuation_timeout {
            let objects = mirror.objects(Kind::Evacuation);
            let names = objects.map(|object| &*object.name);
            let known_at = *self.evacuations_known_at.lock().unwrap();
            view.evacuations = old.evacuations.update(names, bound, known_at, now);
            self.mark_cold_after_evacuation(&mut view, old, now);
        }
        view
    }

    /// Marks the endpoints of zones whose evacuation has ended as cold.
    fn mark_cold_after_evacuation(&self, view: &mut View, old: &View, now: Instant) {
        let mut endpoints = std::mem::take(&mut view.endpoints);
        for zone in old.evacuations.missing_in(&view.evacuations) {
            for entry in &mut endpoints {
                let rule = self.cold_rule(view, &entry.endpoint.service);
                if let (Some(rule), true) = (rule, *entry.endpoint.zone == *zone) {
                    entry.cold = entry.cold.after_evacuation(rule.duration, now);
                }
            }
        }
        view.endpoints = endpoints;
    }

    /// Returns the rule of a service for its cold endpoints, if it has one.
    pub fn cold_rule(&self, view: &View, service: &str) -> Option<cold::Rule> {
        let service = view.manifest.as_ref()?.service(service)?;
        let per_s = service.cold_per_1000_s? as f64 / 1_000.0;
        let duration = Duration::from_millis(service.cold_ms);
        let bounds = &self.settings.bounds;
        Some(cold::Rule::new(
            duration,
            per_s,
            bounds.cold_rate_factor,
            bounds.cold_rate_tolerance,
        ))
    }

    /// Stores what is known of the cold time of an endpoint.
    pub fn merge_cold(&self, endpoint: &str, report: cold::Report, rule: cold::Rule) {
        let mut cold = self.cold.lock().unwrap();
        if cold.merge(endpoint, report, rule, clock::now()) {
            log_cold(endpoint, report.left_us);
        }
    }

    /// Records that an endpoint could not be reached.
    pub fn on_endpoint_unreachable(&self, endpoint: &Endpoint) {
        if let Some(rule) = self.cold_rule(&self.view(), &endpoint.service) {
            let mut cold = self.cold.lock().unwrap();
            if cold.on_unreachable(&endpoint.id, rule, clock::now()) {
                log_cold(&endpoint.id, u64::MAX);
            }
        }
    }

    /// Records a response of an endpoint, and for how long it says that it stays cold, if it does.
    pub fn on_endpoint_response(&self, endpoint: &Endpoint, said: Option<Duration>) {
        if let Some(rule) = self.cold_rule(&self.view(), &endpoint.service) {
            let mut cold = self.cold.lock().unwrap();
            if cold.on_response(&endpoint.id, said, rule, clock::now()) {
                log_cold(&endpoint.id, said.map_or(0, |left| left.as_micros() as u64));
            }
        }
    }

    /// Merges what an endpoint's entry says into what this VM knows of its cold time; returns
    /// whether its service has a rule for cold endpoints.
    fn merge_entry_cold(&self, endpoint: &Endpoint) -> bool {
        let view = self.view();
        let Some(rule) = self.cold_rule(&view, &endpoint.service) else {
            return false;
        };
        if let Some(entry) = view.endpoint(&endpoint.id) {
            self.merge_cold(&endpoint.id, entry.cold.report(clock::now()), rule);
        }
        true
    }

    /// Returns whether this VM knows that an endpoint is cold, and a dispatcher that has `theirs`
    /// does not.
    pub fn is_cold_unknown(&self, endpoint: &Endpoint, theirs: Option<cold::Report>) -> bool {
        let has_rule = self.merge_entry_cold(endpoint);
        let cold = self.cold.lock().unwrap();
        has_rule && cold.is_news(&endpoint.id, theirs, clock::now())
    }

    /// Returns whether an endpoint is cold and gets few requests.
    pub fn is_cold(&self, endpoint: &Endpoint) -> bool {
        let has_rule = self.merge_entry_cold(endpoint);
        let cold = self.cold.lock().unwrap();
        has_rule && cold.rate(&endpoint.id, clock::now()).is_some()
    }

    /// Records that this VM itself read the store at `at`.
    pub fn set_read_at(&self, at: Instant) {
        let mut read_at = self.read_at.lock().unwrap();
        *read_at = (*read_at).max(at);
        drop(read_at);
        *self.store_failed_at.lock().unwrap() = None;
        self.set_synced_at(at);
    }

    /// Returns how long ago the view is known to have matched the store.
    pub fn age(&self) -> Duration {
        clock::now().since(*self.synced_at.lock().unwrap())
    }

    /// Returns how long ago this VM itself read the store.
    pub fn read_age(&self) -> Duration {
        clock::now().since(*self.read_at.lock().unwrap())
    }

    /// Sets this VM's position among the relays, `None` if it is not a relay.
    pub fn set_relay_position(&self, position: Option<usize>) {
        let mut role = self.role.lock().unwrap();
        if role.map(|role| role.position) != position {
            self.role_changed.notify(usize::MAX);
        }
        let since = role.map_or_else(clock::now, |role| role.since);
        *role = position.map(|position| Role { position, since });
    }

    /// Returns this VM's position among the relays, if it is a relay.
    pub fn relay_position(&self) -> Option<usize> {
        self.role.lock().unwrap().map(|role| role.position)
    }

    /// Records that a call of this VM to the store failed.
    pub fn mark_store_failed(&self) {
        *self.store_failed_at.lock().unwrap() = Some(clock::now());
    }

    /// Returns whether this VM uses the store but lately could not reach it.
    pub fn is_store_unreachable(&self) -> bool {
        let failed = *self.store_failed_at.lock().unwrap();
        if failed.is_some_and(|at| clock::now().since(at) < STORE_FAILURE_PERIOD) {
            return true;
        }
        let role = *self.role.lock().unwrap();
        let Some(Role { since, .. }) = role else {
            return false;
        };
        let is_lost = self.read_age().min(clock::now().since(since)) >= STORE_TIMEOUT;
        if is_lost {
            // Recorded because this VM stops being a relay and would then not notice the
            // failure again.
            self.mark_store_failed();
        }
        is_lost
    }

    /// Records a datagram from a peer.
    pub fn record_datagram(&self, address: SocketAddr) {
        let mut peers = self.peers.lock().unwrap();
        let peer = peers.get(address);
        peer.last_heard = Some(clock::now());
        peer.suspect_until = Instant::default();
    }

    /// Records a heartbeat from a peer.
    pub fn record_heartbeat(&self, address: SocketAddr, heartbeat: &Heartbeat) {
        let mut peers = self.peers.lock().unwrap();
        peers.get(address).is_unavailable = heartbeat.is_leaving || !heartbeat.has_store;
    }

    /// Skips a peer for a while because it did not respond.
    pub fn suspect(&self, address: SocketAddr) {
        let mut peers = self.peers.lock().unwrap();
        peers.get(address).suspect_until = clock::now().after(SUSPECT_PERIOD);
    }

    /// Stores which members a relay reported as unavailable.
    pub fn set_reported_unavailable(&self, unavailable: Vec<Box<str>>) {
        self.peers.lock().unwrap().reported_unavailable = unavailable;
    }

    /// Returns the members that a relay reported as unavailable.
    pub fn reported_unavailable(&self) -> Vec<Box<str>> {
        self.peers.lock().unwrap().reported_unavailable.clone()
    }

    /// Returns whether a member is believed to be alive and able to do work.
    pub fn is_usable(&self, member: &Member) -> bool {
        if *member.name == *self.settings.name {
            return !self.is_leaving() && !self.is_store_unreachable();
        }
        let mut peers = self.peers.lock().unwrap();
        if peers
            .reported_unavailable
            .binary_search(&member.name)
            .is_ok()
        {
            return false;
        }
        peers.get(member.datagrams).suspect_until <= clock::now()
    }

    /// Determines which members are unavailable.
    ///
    /// `since` is the time since when this VM has received the heartbeats of all members. If it
    /// is `None`, this VM does not receive them and calls no member unavailable.
    ///
    /// Returns whether the result differs from the previous one.
    pub fn update_unavailable_members(&self, since: Option<Instant>) -> bool {
        let now = clock::now();
        let view = self.view();
        let mut peers = self.peers.lock().unwrap();
        let mut unavailable = Vec::new();
        for member in &view.members {
            let Some(since) = since else { break };
            if *member.name == *self.settings.name {
                continue;
            }
            let peer = peers.get(member.datagrams);
            let heard = peer.last_heard.unwrap_or(since).max(since);
            if peer.is_unavailable || now.since(heard) > HEARTBEAT_TIMEOUT {
                unavailable.push(member.name.clone());
            }
        }
        peers.receives_all_heartbeats = since.is_some();
        let is_changed = peers.unavailable_members != unavailable;
        peers.unavailable_members = unavailable;
        is_changed
    }

    /// Returns whether this VM itself receives the heartbeats of all members.
    pub fn receives_all_heartbeats(&self) -> bool {
        self.peers.lock().unwrap().receives_all_heartbeats
    }

    /// Returns the members that this VM determined to be unavailable.
    pub fn unavailable_members(&self) -> Vec<Box<str>> {
        self.peers.lock().unwrap().unavailable_members.clone()
    }

    /// Returns the relays in order.
    pub fn relays(&self, view: &View) -> Vec<Member> {
        let relays =
            rendezvous::select_relays(&view.members, RELAY_COUNT, |member| self.is_usable(member));
        relays.into_iter().cloned().collect()
    }

    /// Chooses the target of a route's next request by weight; returns its index.
    pub fn select_target(&self, route: &Route, version: u64) -> Option<usize> {
        if route.parts.len() == 1 {
            return Some(0);
        }
        let mut round_robins = self.round_robins.lock().unwrap();
        let place = round_robins.binary_search_by(|(name, _, _)| name.cmp(&route.name));
        let index = match place {
            Ok(index) => index,
            Err(index) => {
                let round_robin = RoundRobin::new(&route.parts, self.run as usize);
                round_robins.insert(index, (route.name.clone(), version, round_robin));
                index
            }
        };
        let entry = &mut round_robins[index];
        if entry.1 != version {
            entry.1 = version;
            entry.2 = RoundRobin::new(&route.parts, self.run as usize);
        }
        entry.2.next(&route.parts)
    }

    /// Returns the least time that a caller with this deadline must already have waited.
    pub fn min_wait(&self, class: u32, deadline_ms: u64) -> Duration {
        self.caller_wait
            .lock()
            .unwrap()
            .min_wait(class, deadline_ms)
    }

    /// Stores what an endpoint said about its rate limit.
    pub fn merge_rate_limit(&self, endpoint: &str, report: Report) {
        let mut rate_limits = self.rate_limits.lock().unwrap();
        if rate_limits.merge(endpoint, report, clock::now()) {
            log::info!(
                "event=rate_limit endpoint={endpoint} per_1000_s={}",
                report
                    .per_1000_s
                    .map_or("none".to_owned(), |limit| limit.to_string())
            );
        }
    }

    /// Counts a request that this VM sends without asking a dispatcher; returns whether the rate
    /// limit of the endpoint allows it, and whether the endpoint is warm enough.
    pub fn try_take_local_rate(&self, endpoint: &Endpoint) -> bool {
        let now = clock::now();
        let members = self.view().members.len();
        if self.merge_entry_cold(endpoint) {
            let mut cold = self.cold.lock().unwrap();
            cold.set_share(cold::local_share(members), now);
            cold.restart_after(&endpoint.id, LOCAL_RATE_IDLE, now);
            if !cold.try_take(&endpoint.id, now) {
                return false;
            }
        }
        let endpoint = &endpoint.id;
        let mut rate_limits = self.rate_limits.lock().unwrap();
        rate_limits.set_share(rate_limit::local_share(members), now);
        rate_limits.restart_after(endpoint, LOCAL_RATE_IDLE, now);
        rate_limits.try_take(endpoint, now)
    }

    /// Marks idle connections to a service's endpoints as unreliable for a while.
    pub fn mark_connections_unreliable(&self, service: &str) {
        let until = clock::now().after(attempt::UNRELIABLE_PERIOD);
        let mut unreliable_connections = self.unreliable_connections.lock().unwrap();
        match unreliable_connections.binary_search_by(|(name, _)| (**name).cmp(service)) {
            Ok(index) => unreliable_connections[index].1 = until,
            Err(index) => unreliable_connections.insert(index, (service.into(), until)),
        }
    }

    /// Returns whether idle connections to a service's endpoints are marked as unreliable.
    pub fn has_unreliable_connections(&self, service: &str) -> bool {
        let unreliable_connections = self.unreliable_connections.lock().unwrap();
        let place = unreliable_connections.binary_search_by(|(name, _)| (**name).cmp(service));
        place.is_ok_and(|index| unreliable_connections[index].1 > clock::now())
    }

    /// Records that this VM is registered as a member.
    pub fn set_registered(&self) {
        self.is_registered.store(true, Ordering::Release);
    }

    /// Returns whether this VM is registered as a member.
    pub fn is_registered(&self) -> bool {
        self.is_registered.load(Ordering::Acquire)
    }

    /// Starts the shutdown: this VM is no longer ready, and its heartbeats say that it is
    /// leaving.
    pub fn begin_shutdown(&self) {
        self.is_leaving.store(true, Ordering::Release);
    }

    /// Returns whether the process is shutting down.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::Acquire)
    }

    /// Returns whether an endpoint existed and was removed.
    pub fn is_removed(&self, endpoint: &str) -> bool {
        let mirror = self.mirror.lock().unwrap();
        mirror.is_removed(Kind::Endpoint, endpoint)
    }

    /// Returns whether the process started so recently that it may not have read the store yet.
    pub fn is_starting(&self) -> bool {
        clock::now().since(self.started) < STARTUP_TIMEOUT
    }

    /// Waits until the process is ready, but not beyond the time allowed for its start.
    pub async fn wait_until_ready(&self) {
        while !self.is_ready() && !self.is_leaving() && self.is_starting() {
            let changed = self.changed.listen();
            if !self.is_ready() {
                let remaining = self.started.after(STARTUP_TIMEOUT).since(clock::now());
                timeout(remaining, changed).await;
            }
        }
    }

    /// Returns whether callers can be served.
    pub fn is_ready(&self) -> bool {
        let view = self.view();
        !self.is_leaving() && view.manifest.is_some() && !view.endpoints.is_empty()
    }
}

fn log_cold(endpoint: &str, left_us: u64) {
    let left_ms = match left_us {
        u64::MAX => "unknown".to_owned(),
        left_us => (left_us / 1_000).to_string(),
    };
    log::info!("event=endpoint_cold endpoint={endpoint} left_ms={left_ms}");
}

/// Logs the evacuations that began or ended between two views.
fn log_evacuations(old: &View, new: &View) {
    for zone in new.evacuations.missing_in(&old.evacuations) {
        log::warn!("event=evacuation_began zone={zone:?}");
    }
    for zone in old.evacuations.missing_in(&new.evacuations) {
        log::warn!("event=evacuation_ended zone={zone:?}");
    }
    if old.evacuations != new.evacuations {
        let count = new.evacuations.len() as f64;
        metrics::gauge!("rhubarbpick_evacuated_zones").set(count);
    }
}

fn build_view(mirror: &Mirror, old: &View, now: Instant) -> View {
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
        let entry = match known {
            Some(known) if Arc::ptr_eq(&known.endpoint, endpoint) => known.clone(),
            _ => Entry {
                endpoint: Arc::clone(endpoint),
                hash: endpoint.identity_hash(),
                changed_at: now,
                cold_until: now.after(Duration::from_millis(endpoint.cold_ms)),
                cold: cold::Statement::of_entry(
                    known.map(|known| known.cold),
                    endpoint.cold_ms,
                    known.is_some_and(|known| known.endpoint.born != endpoint.born),
                    now,
                ),
                leaving_since: endpoint.is_leaving.then(|| {
                    let since = known.and_then(|known| known.leaving_since);
                    since.unwrap_or(now)
                }),
            },
        };
        view.endpoints.push(entry);
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
    let is_manifest_new =
        view.manifest.as_ref().map(Arc::as_ptr) != old.manifest.as_ref().map(Arc::as_ptr);
    view.rankings = if is_manifest_new || view.members != old.members {
        let services = view.manifest.iter().flat_map(|manifest| &manifest.services);
        let names = services.map(|service| &*service.name);
        Arc::new(Rankings::new(&view.members, names, RELAY_COUNT))
    } else {
        Arc::clone(&old.rankings)
    };
    view
}
