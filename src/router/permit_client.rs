//! Client side of permits: requests them from the VM that dispatches for a
//! service.
//!
//! The dispatcher of a keyed service is the VM that plans it. The dispatcher of
//! any other service is the highest ranked VM that responds. A VM that does not
//! respond is skipped for a while. If no dispatcher responds, this VM assigns
//! the request from its own state, so that callers are served even if all other
//! VMs are down.

use crate::{
    core::{
        cold,
        permit::{
            Outcome,
            Reason,
            Refusal,
            Request, //
        },
        rate_limit::Report,
        registry::{
            Endpoint,
            Member, //
        },
    },
    kernel::{
        clock,
        runtime::{
            sleep,
            timeout, //
        },
    },
    router::{
        datagram::send,
        state::{
            State,
            View, //
        },
        wire::{
            self,
            Cold,
            Datagram,
            Load,
            RateLimit, //
        },
    },
};
use std::{
    net::SocketAddr,
    sync::{
        atomic::Ordering,
        Arc,
        Mutex, //
    },
    time::{
        Duration,
        Instant, //
    },
};

/// How long a dispatcher may take to acknowledge a request; several round trips between zones.
const ACK_TIMEOUT: Duration = Duration::from_millis(40);

/// Times a request is sent to a dispatcher before the dispatcher is skipped.
const MAX_TRIES: u32 = 3;

/// Interval at which a queued request is sent again to confirm that it is still queued.
const QUEUED_RETRY_INTERVAL: Duration = Duration::from_millis(150);

/// Dispatchers tried for one request.
const MAX_CANDIDATES: usize = 2;

/// Times a dispatcher is asked again because it does not know the rate limit of the endpoint that
/// it chose.
const MAX_CORRECTIONS: usize = 4;

/// Interval at which dispatchers get the list of open permits.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// How long a dispatcher still gets an empty list after its last permit was opened.
const REPORT_TAIL: Duration = Duration::from_millis(1_000);

/// Most requests that this VM has at one endpoint when no dispatcher responds.
const MAX_LOCAL_PER_ENDPOINT: usize = 2;

/// Result of a permit request.
pub enum Answer {
    /// The request may be sent to an endpoint.
    Granted(Permit),
    /// The request may not be sent.
    Refused(Refusal),
}

enum Reply {
    Queued,
    Granted {
        endpoint: Box<Endpoint>,
        expected: Duration,
        is_return: bool,
        rate_limit: Option<Report>,
        cold: Option<cold::Report>,
    },
    /// The same, with the hash of the endpoint's record instead of the record.
    GrantedKnown {
        hash: u64,
        expected: Duration,
        is_return: bool,
        rate_limit: Option<Report>,
        cold: Option<cold::Report>,
    },
    Refused(Refusal),
    NotDispatcher,
}

struct Pending {
    number: u64,
    dispatcher: SocketAddr,
    replies: async_channel::Sender<Reply>,
}

/// Open permits of one service at one dispatcher.
struct Group {
    dispatcher: SocketAddr,
    service: Box<str>,
    numbers: Vec<u64>,
    last_used: Instant,
}

/// Client for permits, with the requests of this VM that wait for one or hold one.
pub struct Client {
    last_number: Mutex<u64>,
    pending: Mutex<Vec<Pending>>,
    open_permits: Mutex<Vec<Group>>,
    local_permits: Mutex<Vec<(Box<str>, usize)>>,
}

impl Client {
    /// Creates a client whose request numbers start at `run`, above those of all earlier runs.
    pub fn new(run: u64) -> Self {
        Self {
            last_number: Mutex::new(run),
            pending: Mutex::new(Vec::new()),
            open_permits: Mutex::new(Vec::new()),
            local_permits: Mutex::new(Vec::new()),
        }
    }

    /// Passes a dispatcher's reply to the request that waits for it.
    pub fn deliver(&self, from: SocketAddr, datagram: Datagram) {
        let (number, reply) = match datagram {
            Datagram::Queued { number } => (number, Reply::Queued),
            Datagram::Granted {
                number,
                endpoint,
                expected_us,
                is_return,
                rate_limit,
                cold,
            } => (
                number,
                Reply::Granted {
                    endpoint,
                    expected: Duration::from_micros(expected_us),
                    is_return,
                    rate_limit,
                    cold,
                },
            ),
            Datagram::GrantedKnown {
                number,
                hash,
                expected_us,
                is_return,
                rate_limit,
                cold,
            } => (
                number,
                Reply::GrantedKnown {
                    hash,
                    expected: Duration::from_micros(expected_us),
                    is_return,
                    rate_limit,
                    cold,
                },
            ),
            Datagram::Refused {
                number,
                reason,
                retry_ms,
                is_return,
            } => {
                let refusal = Refusal {
                    reason,
                    retry_after: Duration::from_millis(u64::from(retry_ms)),
                    is_return,
                };
                (number, Reply::Refused(refusal))
            }
            Datagram::NotDispatcher { number } => (number, Reply::NotDispatcher),
            _ => return,
        };
        let pending = self.pending.lock().unwrap();
        let place = pending.binary_search_by_key(&number, |pending| pending.number);
        if let Ok(index) = place {
            if pending[index].dispatcher == from {
                // A full channel already holds a reply.
                let _ = pending[index].replies.try_send(reply);
            }
        }
    }

    fn add_pending(&self, request: Pending) {
        let mut pending = self.pending.lock().unwrap();
        let place = pending.partition_point(|pending| pending.number < request.number);
        pending.insert(place, request);
    }

    fn add_permit(&self, dispatcher: SocketAddr, service: &str, number: u64) {
        let mut open_permits = self.open_permits.lock().unwrap();
        let found = open_permits
            .iter_mut()
            .find(|group| group.dispatcher == dispatcher && *group.service == *service);
        match found {
            Some(group) => {
                group.numbers.push(number);
                group.last_used = Instant::now();
            }
            None => open_permits.push(Group {
                dispatcher,
                service: service.into(),
                numbers: vec![number],
                last_used: Instant::now(),
            }),
        }
    }

    fn remove_permit(&self, dispatcher: SocketAddr, service: &str, number: u64) {
        let mut open_permits = self.open_permits.lock().unwrap();
        let found = open_permits
            .iter_mut()
            .find(|group| group.dispatcher == dispatcher && *group.service == *service);
        if let Some(group) = found {
            group.numbers.retain(|&other| other != number);
        }
    }
}

/// Permission to send a request to an endpoint; ends when dropped.
pub struct Permit {
    /// Endpoint, as the dispatcher knows it.
    pub endpoint: Box<Endpoint>,
    /// Expected duration of the request at the endpoint.
    pub expected: Duration,
    /// Whether the caller was refused before, as far as the dispatcher knows.
    pub is_return: bool,
    /// Whether a dispatcher assigned it, rather than this VM itself.
    pub is_dispatched: bool,
    /// Whether the dispatcher does not know that the endpoint is cold or has a rate limit, which
    /// this VM knows.
    ignores_rate_limit: bool,
    state: Arc<State>,
    service: Box<str>,
    dispatcher: SocketAddr,
    number: u64,
    began: Instant,
    outcome: Outcome,
}

impl Permit {
    /// Ends the permit with the outcome of the request.
    pub fn end(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if !self.is_dispatched {
            let mut local_permits = self.state.permit_client.local_permits.lock().unwrap();
            let place = local_permits.binary_search_by(|(id, _)| id.cmp(&self.endpoint.id));
            if let Ok(index) = place {
                local_permits[index].1 -= 1;
                if local_permits[index].1 == 0 {
                    local_permits.remove(index);
                }
            }
            return;
        }
        self.state
            .permit_client
            .remove_permit(self.dispatcher, &self.service, self.number);
        let done = Datagram::Done {
            number: self.number,
            service: self.service.clone(),
            outcome: self.outcome,
            took_us: self.began.elapsed().as_micros() as u64,
            rate_limit: known_rate_limit(&self.state, &self.endpoint.id),
            load: known_load(&self.state, &self.endpoint.id),
            cold: known_cold(&self.state, &self.endpoint.id),
        };
        send(&self.state, self.dispatcher, done);
    }
}

/// Returns what this VM knows of the rate limit of an endpoint.
fn known_rate_limit(state: &State, endpoint: &str) -> Option<RateLimit> {
    let rate_limits = state.rate_limits.lock().unwrap();
    let report = rate_limits.report(endpoint, clock::now())?;
    Some(RateLimit {
        endpoint: endpoint.into(),
        report,
    })
}

/// Returns what an endpoint reported to this VM of its load, unless that is stale.
fn known_load(state: &State, endpoint: &str) -> Option<Load> {
    let reports = state.load_reports.lock().unwrap();
    let (report, age) = reports.latest(endpoint, clock::now())?;
    Some(Load {
        report,
        age_us: age.as_micros() as u64,
    })
}

/// Returns what this VM knows of the cold time of an endpoint.
fn known_cold(state: &State, endpoint: &str) -> Option<Cold> {
    let report = state.cold.lock().unwrap().report(endpoint, clock::now())?;
    Some(Cold {
        endpoint: endpoint.into(),
        report,
    })
}

/// Returns whether a dispatcher does not know of a rate limit that this VM knows, given what the
/// dispatcher knows.
fn is_rate_limit_unknown(state: &State, endpoint: &str, theirs: Option<Report>) -> bool {
    let rate_limits = state.rate_limits.lock().unwrap();
    rate_limits.is_news(endpoint, theirs, clock::now())
}

/// Removes a request from the pending ones when dropped, and from the dispatcher's queue unless
/// the dispatcher has decided it.
struct Guard {
    state: Arc<State>,
    dispatcher: SocketAddr,
    service: Box<str>,
    number: u64,
    is_decided: bool,
}

impl Drop for Guard {
    fn drop(&mut self) {
        let mut pending = self.state.permit_client.pending.lock().unwrap();
        pending.retain(|pending| pending.number != self.number);
        drop(pending);
        if self.is_decided {
            return;
        }
        let done = Datagram::Done {
            number: self.number,
            service: self.service.clone(),
            outcome: Outcome::Dropped,
            took_us: 0,
            rate_limit: None,
            load: None,
            cold: None,
        };
        send(&self.state, self.dispatcher, done);
    }
}

/// Requests a permit from the candidates in turn; decides locally if none of them responds.
pub async fn request_permit(state: &Arc<State>, service: &str, request: Request) -> Answer {
    let began = Instant::now();
    let remaining_request = || request.with_elapsed(began.elapsed().as_micros() as u64);
    let view = state.view();
    for dispatcher in candidates(state, &view, service) {
        for _ in 0..MAX_CORRECTIONS {
            match request_from(state, dispatcher, service, &remaining_request()).await {
                // The end of the permit tells the dispatcher about the limit.
                Some(Answer::Granted(permit)) if permit.ignores_rate_limit => drop(permit),
                Some(answer) => return answer,
                None => break,
            }
        }
        log::info!("event=dispatcher_lost service={service} dispatcher={dispatcher}");
        state.suspect(dispatcher);
    }
    assign_locally(state, &view, service, &remaining_request())
}

/// Returns the VMs that may dispatch for a service, in order of preference.
pub fn candidates(state: &State, view: &View, service: &str) -> Vec<SocketAddr> {
    let mut candidates = Vec::new();
    if view.is_keyed(service) {
        let claim = view.table(service).map(|(_, table)| &table.claim);
        let planner = claim.and_then(|claim| {
            let mut members = view.members.iter();
            members.find(|member| member.name == claim.node && member.run == claim.run)
        });
        if let Some(planner) = planner.filter(|planner| state.is_usable(planner)) {
            candidates.push(planner.datagrams);
        }
    }
    for member in ranked_members(state, view, service) {
        if candidates.len() < MAX_CANDIDATES && !candidates.contains(&member.datagrams) {
            candidates.push(member.datagrams);
        }
    }
    candidates
}

/// Returns the usable members in the order in which they take over work for a service.
pub fn ranked_members<'a>(state: &State, view: &'a View, service: &str) -> Vec<&'a Member> {
    let mut ranked_members = view.rankings.rank(&view.members, service);
    ranked_members.retain(|member| state.is_usable(member));
    ranked_members
}

/// Requests a permit from one dispatcher; returns `None` if it does not respond.
async fn request_from(
    state: &Arc<State>,
    dispatcher: SocketAddr,
    service: &str,
    request: &Request,
) -> Option<Answer> {
    let (replies, receiver) = async_channel::bounded(4);
    let number = {
        let mut last_number = state.permit_client.last_number.lock().unwrap();
        *last_number += 1;
        *last_number
    };
    state.permit_client.add_pending(Pending {
        number,
        dispatcher,
        replies,
    });
    let mut guard = Guard {
        state: Arc::clone(state),
        dispatcher,
        service: service.into(),
        number,
        is_decided: false,
    };
    let began = Instant::now();
    let mut tries = 0;
    let mut wait = ACK_TIMEOUT;
    let mut lacks_record = false;
    loop {
        if tries == MAX_TRIES {
            return None;
        }
        tries += 1;
        let elapsed = began.elapsed().as_micros() as u64;
        let datagram = Datagram::Request {
            number,
            service: service.into(),
            request: request.with_elapsed(elapsed),
            lacks_record,
        };
        send(state, dispatcher, datagram);
        while let Some(reply) = timeout(wait, receiver.recv()).await {
            let reply = match reply.ok()? {
                Reply::GrantedKnown {
                    hash,
                    expected,
                    is_return,
                    rate_limit,
                    cold,
                } => {
                    let view = state.view();
                    let Some(entry) = view.endpoint_by_hash(service, hash) else {
                        if lacks_record {
                            continue;
                        }
                        lacks_record = true;
                        tries = 0;
                        metrics::counter!(
                            "rhubarbpick_missing_records_total",
                            "service" => service.to_owned()
                        )
                        .increment(1);
                        break;
                    };
                    Reply::Granted {
                        endpoint: Box::new((*entry.endpoint).clone()),
                        expected,
                        is_return,
                        rate_limit,
                        cold,
                    }
                }
                other => other,
            };
            match reply {
                // Replaced above.
                Reply::GrantedKnown { .. } => {}
                Reply::Queued => {
                    tries = 0;
                    wait = QUEUED_RETRY_INTERVAL;
                }
                Reply::Granted {
                    endpoint,
                    expected,
                    is_return,
                    rate_limit,
                    cold,
                } => {
                    guard.is_decided = true;
                    state.permit_client.add_permit(dispatcher, service, number);
                    let ignores_rate_limit = is_rate_limit_unknown(state, &endpoint.id, rate_limit)
                        || state.is_cold_unknown(&endpoint, cold);
                    if let Some(report) = rate_limit {
                        state.merge_rate_limit(&endpoint.id, report);
                    }
                    let rule = state.cold_rule(&state.view(), service);
                    if let (Some(report), Some(rule)) = (cold, rule) {
                        state.merge_cold(&endpoint.id, report, rule);
                    }
                    return Some(Answer::Granted(Permit {
                        endpoint,
                        expected,
                        is_return,
                        is_dispatched: true,
                        ignores_rate_limit,
                        state: Arc::clone(state),
                        service: service.into(),
                        dispatcher,
                        number,
                        began: Instant::now(),
                        outcome: Outcome::Dropped,
                    }));
                }
                Reply::Refused(refusal) => {
                    guard.is_decided = true;
                    return Some(Answer::Refused(refusal));
                }
                Reply::NotDispatcher => return None,
            }
        }
        wait = ACK_TIMEOUT;
    }
}

/// Assigns a request to an endpoint using only the state of this VM.
fn assign_locally(state: &Arc<State>, view: &View, service: &str, request: &Request) -> Answer {
    let refused = |reason, retry_after| {
        Answer::Refused(Refusal {
            reason,
            retry_after,
            is_return: request.is_return,
        })
    };
    if request.is_repeat {
        return refused(Reason::Budget, ACK_TIMEOUT);
    }
    let mut local_permits = state.permit_client.local_permits.lock().unwrap();
    let local_count = |id: &str| {
        let place = local_permits.binary_search_by(|(other, _)| (**other).cmp(id));
        place.map_or(0, |index| local_permits[index].1)
    };
    let chosen: Option<Box<Endpoint>> = match request.key {
        Some(key) => {
            let range = view.table(service).and_then(|(_, table)| table.range(key));
            let owner = range.and_then(|range| range.owner.as_ref());
            let entry = owner.and_then(|owner| view.endpoint(&owner.endpoint));
            if entry.is_some_and(|entry| view.is_closed(&entry.endpoint.id, clock::now())) {
                return refused(Reason::Evacuated, QUEUED_RETRY_INTERVAL);
            }
            entry.map(|entry| Box::new((*entry.endpoint).clone()))
        }
        None => {
            let available = view
                .endpoints_of(service)
                .map(|entry| &entry.endpoint)
                .filter(|endpoint| !endpoint.is_leaving && !request.avoid.contains(&endpoint.id))
                .filter(|endpoint| !view.is_evacuated(endpoint));
            let rate_limits = state.rate_limits.lock().unwrap();
            let least_loaded = available.min_by_key(|endpoint| {
                let hash =
                    xxhash_rust::xxh3::xxh3_64_with_seed(endpoint.id.as_bytes(), request.left_us);
                (
                    rate_limits.rate(&endpoint.id).is_some() || state.is_cold(endpoint),
                    local_count(&endpoint.id),
                    endpoint.zone != request.zone,
                    hash,
                )
            });
            least_loaded.map(|endpoint| Box::new((**endpoint).clone()))
        }
    };
    let Some(endpoint) = chosen else {
        let mut endpoints = view.endpoints_of(service).map(|entry| &entry.endpoint);
        let is_evacuated = endpoints.any(|endpoint| view.is_evacuated(endpoint));
        let reason = match is_evacuated && request.key.is_none() {
            true => Reason::Evacuated,
            false => Reason::NoOwner,
        };
        return refused(reason, QUEUED_RETRY_INTERVAL);
    };
    if local_count(&endpoint.id) >= MAX_LOCAL_PER_ENDPOINT {
        return refused(Reason::Full, QUEUED_RETRY_INTERVAL);
    }
    if !state.try_take_local_rate(&endpoint) {
        return refused(Reason::Full, QUEUED_RETRY_INTERVAL);
    }
    match local_permits.binary_search_by(|(id, _)| id.cmp(&endpoint.id)) {
        Ok(index) => local_permits[index].1 += 1,
        Err(index) => local_permits.insert(index, (endpoint.id.clone(), 1)),
    }
    drop(local_permits);
    Answer::Granted(Permit {
        endpoint,
        expected: Duration::from_micros(request.goal_us),
        is_return: request.is_return,
        is_dispatched: false,
        ignores_rate_limit: false,
        state: Arc::clone(state),
        service: service.into(),
        dispatcher: state.socket.address,
        number: 0,
        began: Instant::now(),
        outcome: Outcome::Dropped,
    })
}

/// Sends dispatchers the lists of open permits, for as long as the process runs.
pub async fn run(state: Arc<State>) {
    loop {
        let began = Instant::now();
        sleep(REPORT_INTERVAL).await;
        let lag = began.elapsed().saturating_sub(REPORT_INTERVAL);
        let lag_ms = lag.as_millis() as u64;
        state.counters.lag_ms.fetch_max(lag_ms, Ordering::Relaxed);
        let mut lists = Vec::new();
        {
            let mut open_permits = state.permit_client.open_permits.lock().unwrap();
            open_permits.retain(|group| {
                !group.numbers.is_empty() || group.last_used.elapsed() < REPORT_TAIL
            });
            for group in open_permits.iter() {
                lists.push((
                    group.dispatcher,
                    group.service.clone(),
                    group.numbers.clone(),
                ));
            }
        }
        for (dispatcher, service, numbers) in lists {
            send(
                &state,
                dispatcher,
                Datagram::OpenPermits {
                    service,
                    numbers: wire::differences(numbers),
                },
            );
        }
    }
}
