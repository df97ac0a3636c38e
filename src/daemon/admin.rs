//! The operators' API: HTTP with JSON, described in `docs/openapi.yaml`.
//!
//! An intent is answered with a plan. Nothing takes effect until the plan is
//! confirmed; a confirm names the plan and the version that it was drawn on,
//! so any process can serve it and a repeated confirm does no harm.

use crate::{
    core::{
        intent::{
            self,
            Intent,
            Record, //
        },
        membership,
        plan::{
            self,
            Outcome,
            Plan, //
        },
        shard,
        table::{
            Event,
            Table, //
        },
    },
    daemon::{
        beat,
        operator::{
            self,
            Operator,
            Role, //
        },
        plan::AUDIT,
        state::State,
        watch::INTENTS, //
    },
    edge::{
        peer,
        store::{
            Condition,
            Error as StoreError,
            Watch,
            Write, //
        },
    },
    kernel::{
        clock,
        http::{
            collect,
            json,
            Body, //
        },
        runtime::sleep,
        wire,
    },
};
use displaydoc::Display;
use hyper::{
    body::Incoming,
    Method,
    Request,
    Response,
    StatusCode, //
};
use serde::Serialize;
use std::{
    sync::Arc,
    time::Duration, //
};

/// Largest intent in bytes.
const INTENT_LIMIT: usize = 256 * 1024;

/// How often a confirm whose answer was lost is read back.
const READ_BACK_TRIES: u32 = 20;

/// Pause between two such reads.
const READ_BACK_PAUSE: Duration = Duration::from_millis(100);

/// Why a call is refused.
#[derive(Debug, Display)]
pub enum Error {
    /// a valid token is needed; send it as "Authorization: Bearer TOKEN"
    Token,
    /// the token does not allow this; it needs the role {0}
    Role(&'static str),
    /// service {0} is not one of this operator's
    Foreign(Box<str>),
    /// there is no such resource; see docs/openapi.yaml
    Path,
    /// parameter {0} is missing or not valid
    Parameter(&'static str),
    /// the body is too long or broke off
    Body,
    /// the intent is refused
    Intent(intent::Error),
    /// the plan is refused
    Plan(plan::Error),
    /// the store cannot be used now; nothing was changed, so try again
    Store(StoreError),
    /// the store did not say whether the change took effect; repeat the same confirm to find out
    Unknown,
}

impl std::error::Error for Error {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Intent(source) => Some(source),
            Self::Plan(source) => Some(source),
            Self::Store(source) => Some(source),
            _ => None,
        }
    }
}

#[derive(Serialize)]
struct Refused {
    code: &'static str,
    detail: String,
}

#[derive(Serialize)]
struct InForce {
    service: Box<str>,
    version: u64,
    repeated: bool,
}

#[derive(Serialize)]
struct Status {
    name: Box<str>,
    members: Vec<MemberStatus>,
    services: Vec<ServiceStatus>,
}

#[derive(Serialize)]
struct MemberStatus {
    name: Box<str>,
    zone: Box<str>,
    state: &'static str,
}

#[derive(Serialize)]
struct ServiceStatus {
    service: Box<str>,
    version: u64,
    held_by: usize,
    processes: usize,
    cell: Option<CellStatus>,
}

#[derive(Serialize)]
struct CellStatus {
    token: String,
    planner: Box<str>,
    unowned_shards: usize,
    moving_shards: usize,
    endpoints: Vec<EndpointStatus>,
}

#[derive(Serialize)]
struct EndpointStatus {
    name: Box<str>,
    zone: Box<str>,
    state: String,
    shards: usize,
    renewers: Vec<Box<str>>,
}

#[derive(Serialize)]
struct Explanation {
    service: Box<str>,
    key: Box<str>,
    shard: u32,
    token: String,
    owner: Option<Box<str>>,
    renewers: Vec<Box<str>>,
    moving_from: Option<Box<str>>,
    last_changes: Vec<Event>,
}

type Answered = Result<Response<Body>, Error>;

/// Answers an operator.
pub async fn handle(state: Arc<State>, request: Request<Incoming>) -> Response<Body> {
    serve(&state, request)
        .await
        .unwrap_or_else(|error| refuse(&error))
}

fn refuse(error: &Error) -> Response<Body> {
    use StatusCode as S;
    let (status, code) = match error {
        Error::Token => (S::UNAUTHORIZED, "token"),
        Error::Role(_) => (S::FORBIDDEN, "role"),
        Error::Foreign(_) => (S::FORBIDDEN, "foreign_service"),
        Error::Path => (S::NOT_FOUND, "path"),
        Error::Parameter(_) => (S::BAD_REQUEST, "parameter"),
        Error::Body => (S::PAYLOAD_TOO_LARGE, "body"),
        Error::Intent(_) => (S::UNPROCESSABLE_ENTITY, "intent"),
        Error::Plan(plan::Error::BaseChanged { .. }) => (S::CONFLICT, "ground_changed"),
        Error::Plan(_) => (S::UNPROCESSABLE_ENTITY, "plan"),
        Error::Store(StoreError::Conflict) => (S::CONFLICT, "ground_changed"),
        Error::Store(_) => (S::SERVICE_UNAVAILABLE, "store"),
        Error::Unknown => (S::GATEWAY_TIMEOUT, "unknown"),
    };
    let detail = crate::kernel::error::format_chain(error);
    json(status, &Refused { code, detail })
}

async fn serve(state: &Arc<State>, request: Request<Incoming>) -> Answered {
    let operator = operator::authenticate(&state.operators, request.headers());
    let operator = operator.ok_or(Error::Token)?.clone();
    let query: Box<str> = request.uri().query().unwrap_or_default().into();
    let path: Box<str> = request.uri().path().into();
    match (request.method(), &*path) {
        (&Method::POST, "/v1/plans") => draw(state, &operator, request).await,
        (&Method::POST, "/v1/confirms") => confirm(state, &operator, &query, request).await,
        (&Method::GET, "/v1/services") => Ok(services(state, &operator)),
        (&Method::GET, "/v1/status") => Ok(status(state, &operator)),
        (&Method::GET, "/v1/explain") => explain(state, &operator, &query),
        (&Method::GET, "/v1/audit") => audit(state, &operator, &query).await,
        _ => Err(Error::Path),
    }
}

async fn read_intent(operator: &Operator, request: Request<Incoming>) -> Result<Intent, Error> {
    let bytes = collect(request.into_body(), INTENT_LIMIT)
        .await
        .ok_or(Error::Body)?;
    let text = std::str::from_utf8(&bytes).map_err(|_| Error::Body)?;
    let intent = Intent::parse(text).map_err(Error::Intent)?;
    if intent.operator != operator.name {
        return Err(Error::Foreign(intent.service));
    }
    Ok(intent)
}

fn need(operator: &Operator, role: Role, name: &'static str) -> Result<(), Error> {
    if operator.role < role {
        return Err(Error::Role(name));
    }
    Ok(())
}

async fn draw(state: &State, operator: &Operator, request: Request<Incoming>) -> Answered {
    need(operator, Role::Plan, "plan")?;
    let intent = read_intent(operator, request).await?;
    let current = stored_intent(state, &intent.service)
        .await
        .map_err(Error::Store)?;
    let current = current.as_ref().map(|(_, confirmed)| confirmed);
    let snapshot = state.tables.current();
    let others: Vec<&Record> = snapshot.intents.iter().map(|other| &**other).collect();
    let cell = snapshot.cell(&intent.service).map(|cell| &**cell);
    let plan: Plan = plan::build(current, &others, cell, &intent).map_err(Error::Plan)?;
    Ok(json(StatusCode::OK, &plan))
}

async fn confirm(
    state: &Arc<State>,
    operator: &Operator,
    query: &str,
    request: Request<Incoming>,
) -> Answered {
    need(operator, Role::Confirm, "confirm")?;
    let id = parameter(query, "plan").ok_or(Error::Parameter("plan"))?;
    let base = parameter(query, "base").and_then(|text| text.parse().ok());
    let base = base.ok_or(Error::Parameter("base"))?;
    let intent = read_intent(operator, request).await?;
    let stored = stored_intent(state, &intent.service)
        .await
        .map_err(Error::Store)?;
    let current = stored.as_ref().map(|(_, confirmed)| confirmed);
    let snapshot = state.tables.current();
    let others: Vec<&Record> = snapshot.intents.iter().map(|other| &**other).collect();
    let time_ms = clock::wall_millis();
    let verdict = plan::confirm(current, &others, &intent, id, base, &operator.name, time_ms);
    match verdict.map_err(Error::Plan)? {
        Outcome::AlreadyApplied(version) => Ok(in_force(&intent.service, version, true)),
        Outcome::Store(confirmed) => {
            let condition = match stored {
                None => Condition::Absent,
                Some((tag, _)) => Condition::Tag(tag),
            };
            store(state, &confirmed, condition).await?;
            log::info!(
                "event=intent_confirmed service={} version={} by={}",
                confirmed.intent.service,
                confirmed.version,
                confirmed.by
            );
            let version = confirmed.version;
            state.adopt_intent((*confirmed).clone());
            beat::push(state, peer::INTENT_PATH, *confirmed);
            Ok(in_force(&intent.service, version, false))
        }
    }
}

fn in_force(service: &str, version: u64, repeated: bool) -> Response<Body> {
    let text = InForce {
        service: service.into(),
        version,
        repeated,
    };
    json(StatusCode::OK, &text)
}

/// Reads the intent in force and its tag from the store.
async fn stored_intent(
    state: &State,
    service: &str,
) -> Result<Option<(Box<str>, Record)>, StoreError> {
    let name = format!("{INTENTS}{service}");
    let Some(object) = (state.store.get)(&name).await? else {
        return Ok(None);
    };
    let confirmed = wire::decode(&object.bytes).map_err(|_| StoreError::Protocol(200))?;
    Ok(Some((object.tag, confirmed)))
}

/// Stores an intent; a lost answer is settled by reading back.
async fn store(state: &State, confirmed: &Record, condition: Condition) -> Result<(), Error> {
    let put = Write {
        name: format!("{INTENTS}{}", confirmed.intent.service).into(),
        bytes: wire::encode(confirmed),
        condition,
    };
    match (state.store.put)(put).await {
        Ok(_) => return Ok(()),
        Err(StoreError::Unknown) => {}
        Err(error) => return Err(Error::Store(error)),
    }
    for _ in 0..READ_BACK_TRIES {
        let stored = stored_intent(state, &confirmed.intent.service).await;
        if let Ok(Some((_, found))) = stored {
            if found == *confirmed {
                return Ok(());
            }
            if found.version >= confirmed.version {
                return Err(Error::Store(StoreError::Conflict));
            }
        }
        sleep(READ_BACK_PAUSE).await;
    }
    Err(Error::Unknown)
}

fn services(state: &State, operator: &Operator) -> Response<Body> {
    let snapshot = state.tables.current();
    let intents = snapshot.intents.iter();
    let own: Vec<&Record> = intents
        .filter(|confirmed| confirmed.intent.operator == operator.name)
        .map(|confirmed| &**confirmed)
        .collect();
    json(StatusCode::OK, &own)
}

fn status(state: &State, operator: &Operator) -> Response<Body> {
    let now = clock::now();
    let members = {
        let view = state.view();
        let members = view.members().iter();
        let described = members.map(|member| MemberStatus {
            name: member.peer.node.name.clone(),
            zone: member.peer.zone.clone(),
            state: match view.state(&member.peer.node, now) {
                membership::Liveness::Alive => "alive",
                membership::Liveness::Leaving => "leaving",
                membership::Liveness::Silent => "silent",
            },
        });
        described.collect()
    };
    let snapshot = state.tables.current();
    let own = snapshot
        .intents
        .iter()
        .filter(|found| found.intent.operator == operator.name);
    let services = own.map(|confirmed| ServiceStatus {
        service: confirmed.intent.service.clone(),
        version: confirmed.version,
        held_by: held_by(state, confirmed),
        processes: 1 + state.holdings.lock().unwrap().len(),
        cell: snapshot
            .cell(&confirmed.intent.service)
            .map(|cell| cell_status(cell)),
    });
    let text = Status {
        name: state.me().name.clone(),
        members,
        services: services.collect(),
    };
    json(StatusCode::OK, &text)
}

/// Counts the processes that hold this version or a later one.
fn held_by(state: &State, confirmed: &Record) -> usize {
    let holdings = state.holdings.lock().unwrap();
    let has = |known: &peer::Version| {
        known.service == confirmed.intent.service && known.version >= confirmed.version
    };
    let others = holdings
        .iter()
        .filter(|holding| holding.intents.iter().any(has));
    1 + others.count()
}

fn cell_status(cell: &Table) -> CellStatus {
    let endpoints = cell
        .indexed_endpoints()
        .map(|(key, endpoint)| EndpointStatus {
            name: endpoint.name.clone(),
            zone: endpoint.zone.clone(),
            state: format!("{:?}", endpoint.state).to_lowercase(),
            shards: cell.owners.shards_of(key).len(),
            renewers: endpoint
                .renewers
                .iter()
                .map(|node| node.name.clone())
                .collect(),
        });
    CellStatus {
        token: cell.token.to_string(),
        planner: cell.planner.name.clone(),
        unowned_shards: cell
            .owners
            .iter()
            .filter(|(_, owner)| owner.is_none())
            .count(),
        moving_shards: cell.transits.len(),
        endpoints: endpoints.collect(),
    }
}

fn explain(state: &State, operator: &Operator, query: &str) -> Answered {
    let service = parameter(query, "service").ok_or(Error::Parameter("service"))?;
    let key = parameter(query, "key").ok_or(Error::Parameter("key"))?;
    let cell = own_cell(state, operator, service)?;
    let shard = shard::of_key(key.as_bytes(), cell.owners.count());
    let owner = cell.owner(shard).map(|(_, endpoint)| endpoint);
    let transit = cell.transits.iter().find(|transit| transit.shard == shard);
    let seats = owner
        .map(|endpoint| endpoint.renewers.as_slice())
        .unwrap_or_default();
    let explanation = Explanation {
        service: service.into(),
        key: key.into(),
        shard: shard.0,
        token: cell.token.to_string(),
        owner: owner.map(|endpoint| endpoint.name.clone()),
        renewers: seats.iter().map(|node| node.name.clone()).collect(),
        moving_from: transit.map(|transit| cell.endpoint(transit.from).name.clone()),
        last_changes: cell.trail.clone(),
    };
    Ok(json(StatusCode::OK, &explanation))
}

fn own_cell(state: &State, operator: &Operator, service: &str) -> Result<Arc<Table>, Error> {
    let snapshot = state.tables.current();
    let confirmed = snapshot.intent(service);
    let own = confirmed.filter(|confirmed| confirmed.intent.operator == operator.name);
    if own.is_none() {
        return Err(Error::Foreign(service.into()));
    }
    snapshot.cell(service).cloned().ok_or(Error::Path)
}

/// Returns a page of the trail: the page that starts at `after`, or the latest.
async fn audit(state: &State, operator: &Operator, query: &str) -> Answered {
    let service = parameter(query, "service").ok_or(Error::Parameter("service"))?;
    let cell = own_cell(state, operator, service)?;
    let Some(after) = parameter(query, "after") else {
        return Ok(json(StatusCode::OK, &cell.trail));
    };
    let after: u64 = after.parse().map_err(|_| Error::Parameter("after"))?;
    if after >= cell.trail_paged {
        return Ok(json(StatusCode::OK, &cell.trail));
    }
    let name = audit_page(state, service, after).await?;
    let object = (state.store.get)(&name).await.map_err(Error::Store)?;
    let object = object.ok_or(Error::Parameter("after"))?;
    let page: Vec<Event> =
        wire::decode(&object.bytes).map_err(|_| Error::Store(StoreError::Protocol(200)))?;
    Ok(json(StatusCode::OK, &page))
}

/// Finds the first page of the trail that starts at `after` or later.
async fn audit_page(state: &State, service: &str, after: u64) -> Result<Box<str>, Error> {
    let prefix = format!("{AUDIT}{service}/");
    let first = format!("{prefix}{after:012}");
    let watch = Watch {
        prefix: prefix.into(),
        tag: None,
        wait: Duration::ZERO,
    };
    let list = (state.store.list)(watch).await.map_err(Error::Store)?;
    let items = list.map(|list| list.items).unwrap_or_default();
    let found = items.into_iter().find(|item| *item.name >= *first);
    found.map(|item| item.name).ok_or(Error::Parameter("after"))
}

/// Finds a parameter in a query of plain names.
fn parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let mut named = pairs.filter(|(found, _)| *found == name);
    named.next().map(|(_, value)| value)
}
