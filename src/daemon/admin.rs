//! The operators' API: HTTP with JSON, described in `docs/openapi.yaml`.
//!
//! The response to an intent is a plan. Nothing takes effect until the plan is
//! confirmed. A confirm request names the plan and the version of the intent that
//! the plan is based on, so any process can serve it, and repeating it is safe.

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
        plan::AUDIT_PREFIX,
        state::State,
        watch::INTENT_PREFIX, //
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

/// Maximum size of an intent.
const MAX_INTENT_BYTES: usize = 256 * 1024;

/// How many times the stored intent is read to find out whether a write whose response
/// was lost took effect.
const MAX_READ_BACKS: u32 = 20;

/// Time between two of these reads.
const READ_BACK_INTERVAL: Duration = Duration::from_millis(100);

/// Why a request failed.
#[derive(Debug, Display)]
pub enum Error {
    /// the token is missing or not valid; send it as "Authorization: Bearer TOKEN"
    Token,
    /// the token does not permit this request; use one with the role {0}
    Role(&'static str),
    /// service {0} does not belong to the operator of the token
    Foreign(Box<str>),
    /// no such resource or method; see docs/openapi.yaml
    Path,
    /// query parameter {0} is missing or not valid
    Parameter(&'static str),
    /// the body exceeds 256 KiB, was cut off or is not UTF-8
    Body,
    /// the intent is not valid
    Intent(intent::Error),
    /// the plan was rejected
    Plan(plan::Error),
    /// a call to the store failed; nothing was changed, so try again
    Store(StoreError),
    /// no response from the store; repeat the same request to learn whether the change took effect
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
struct Problem {
    code: &'static str,
    detail: String,
}

#[derive(Serialize)]
struct Confirmation {
    service: Box<str>,
    version: u64,
    repeated: bool,
}

#[derive(Serialize)]
struct Status {
    name: Box<str>,
    members: Vec<Member>,
    services: Vec<Service>,
}

#[derive(Serialize)]
struct Member {
    name: Box<str>,
    zone: Box<str>,
    state: &'static str,
}

#[derive(Serialize)]
struct Service {
    service: Box<str>,
    version: u64,
    held_by: usize,
    processes: usize,
    cell: Option<Cell>,
}

#[derive(Serialize)]
struct Cell {
    token: String,
    planner: Box<str>,
    unowned_shards: usize,
    moving_shards: usize,
    endpoints: Vec<Endpoint>,
}

#[derive(Serialize)]
struct Endpoint {
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

type Reply = Result<Response<Body>, Error>;

/// Responds to an operator.
pub async fn handle(state: Arc<State>, request: Request<Incoming>) -> Response<Body> {
    serve(&state, request)
        .await
        .unwrap_or_else(|error| error_response(&error))
}

fn error_response(error: &Error) -> Response<Body> {
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
    json(status, &Problem { code, detail })
}

async fn serve(state: &Arc<State>, request: Request<Incoming>) -> Reply {
    let operator = operator::authenticate(&state.operators, request.headers());
    let operator = operator.ok_or(Error::Token)?.clone();
    let query: Box<str> = request.uri().query().unwrap_or_default().into();
    let path: Box<str> = request.uri().path().into();
    match (request.method(), &*path) {
        (&Method::POST, "/v1/plans") => build_plan(state, &operator, request).await,
        (&Method::POST, "/v1/confirms") => confirm(state, &operator, &query, request).await,
        (&Method::GET, "/v1/services") => Ok(services(state, &operator)),
        (&Method::GET, "/v1/status") => Ok(status(state, &operator)),
        (&Method::GET, "/v1/explain") => explain(state, &operator, &query),
        (&Method::GET, "/v1/audit") => audit(state, &operator, &query).await,
        _ => Err(Error::Path),
    }
}

async fn read_intent(operator: &Operator, request: Request<Incoming>) -> Result<Intent, Error> {
    let bytes = collect(request.into_body(), MAX_INTENT_BYTES)
        .await
        .ok_or(Error::Body)?;
    let text = std::str::from_utf8(&bytes).map_err(|_| Error::Body)?;
    let intent = Intent::parse(text).map_err(Error::Intent)?;
    if intent.operator != operator.name {
        return Err(Error::Foreign(intent.service));
    }
    Ok(intent)
}

fn require_role(operator: &Operator, role: Role, name: &'static str) -> Result<(), Error> {
    if operator.role < role {
        return Err(Error::Role(name));
    }
    Ok(())
}

async fn build_plan(state: &State, operator: &Operator, request: Request<Incoming>) -> Reply {
    require_role(operator, Role::Plan, "plan")?;
    let intent = read_intent(operator, request).await?;
    let current = stored_intent(state, &intent.service)
        .await
        .map_err(Error::Store)?;
    let current = current.as_ref().map(|(_, record)| record);
    let snapshot = state.tables.current();
    let others: Vec<&Record> = snapshot.intents.iter().map(|other| &**other).collect();
    let table = snapshot.cell(&intent.service).map(|table| &**table);
    let plan: Plan = plan::build(current, &others, table, &intent).map_err(Error::Plan)?;
    Ok(json(StatusCode::OK, &plan))
}

async fn confirm(
    state: &Arc<State>,
    operator: &Operator,
    query: &str,
    request: Request<Incoming>,
) -> Reply {
    require_role(operator, Role::Confirm, "confirm")?;
    let id = parameter(query, "plan").ok_or(Error::Parameter("plan"))?;
    let base = parameter(query, "base").and_then(|text| text.parse().ok());
    let base = base.ok_or(Error::Parameter("base"))?;
    let intent = read_intent(operator, request).await?;
    let stored = stored_intent(state, &intent.service)
        .await
        .map_err(Error::Store)?;
    let current = stored.as_ref().map(|(_, record)| record);
    let snapshot = state.tables.current();
    let others: Vec<&Record> = snapshot.intents.iter().map(|other| &**other).collect();
    let time_ms = clock::wall_millis();
    let outcome = plan::confirm(current, &others, &intent, id, base, &operator.name, time_ms);
    match outcome.map_err(Error::Plan)? {
        Outcome::AlreadyApplied(version) => Ok(confirmation(&intent.service, version, true)),
        Outcome::Store(record) => {
            let condition = match stored {
                None => Condition::Absent,
                Some((tag, _)) => Condition::Tag(tag),
            };
            store(state, &record, condition).await?;
            log::info!(
                "event=intent_confirmed service={} version={} by={}",
                record.intent.service,
                record.version,
                record.by
            );
            let version = record.version;
            state.adopt_intent((*record).clone());
            beat::push(state, peer::INTENT_PATH, *record);
            Ok(confirmation(&intent.service, version, false))
        }
    }
}

fn confirmation(service: &str, version: u64, repeated: bool) -> Response<Body> {
    let body = Confirmation {
        service: service.into(),
        version,
        repeated,
    };
    json(StatusCode::OK, &body)
}

/// Reads the intent in effect and its tag from the store.
async fn stored_intent(
    state: &State,
    service: &str,
) -> Result<Option<(Box<str>, Record)>, StoreError> {
    let name = format!("{INTENT_PREFIX}{service}");
    let Some(object) = (state.store.get)(&name).await? else {
        return Ok(None);
    };
    let record = wire::decode(&object.bytes).map_err(|_| StoreError::Protocol(200))?;
    Ok(Some((object.tag, record)))
}

/// Stores an intent. If the response is lost, reads the stored intent to find out whether the
/// write took effect.
async fn store(state: &State, record: &Record, condition: Condition) -> Result<(), Error> {
    let write = Write {
        name: format!("{INTENT_PREFIX}{}", record.intent.service).into(),
        bytes: wire::encode(record),
        condition,
    };
    match (state.store.put)(write).await {
        Ok(_) => return Ok(()),
        Err(StoreError::Unknown) => {}
        Err(error) => return Err(Error::Store(error)),
    }
    for _ in 0..MAX_READ_BACKS {
        let stored = stored_intent(state, &record.intent.service).await;
        if let Ok(Some((_, found))) = stored {
            if found == *record {
                return Ok(());
            }
            if found.version >= record.version {
                return Err(Error::Store(StoreError::Conflict));
            }
        }
        sleep(READ_BACK_INTERVAL).await;
    }
    Err(Error::Unknown)
}

fn services(state: &State, operator: &Operator) -> Response<Body> {
    let snapshot = state.tables.current();
    let intents = snapshot.intents.iter();
    let own: Vec<&Record> = intents
        .filter(|record| record.intent.operator == operator.name)
        .map(|record| &**record)
        .collect();
    json(StatusCode::OK, &own)
}

fn status(state: &State, operator: &Operator) -> Response<Body> {
    let now = clock::now();
    let members = {
        let view = state.view();
        let members = view.members().iter();
        let described = members.map(|member| Member {
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
    let services = own.map(|record| Service {
        service: record.intent.service.clone(),
        version: record.version,
        held_by: held_by(state, record),
        processes: 1 + state.holdings.lock().unwrap().len(),
        cell: snapshot
            .cell(&record.intent.service)
            .map(|table| describe_cell(table)),
    });
    let body = Status {
        name: state.me().name.clone(),
        members,
        services: services.collect(),
    };
    json(StatusCode::OK, &body)
}

/// Counts the processes that hold this version of an intent or a later one.
fn held_by(state: &State, record: &Record) -> usize {
    let holdings = state.holdings.lock().unwrap();
    let has = |known: &peer::Version| {
        known.service == record.intent.service && known.version >= record.version
    };
    let others = holdings
        .iter()
        .filter(|holding| holding.intents.iter().any(has));
    1 + others.count()
}

fn describe_cell(table: &Table) -> Cell {
    let endpoints = table.indexed_endpoints().map(|(index, endpoint)| Endpoint {
        name: endpoint.name.clone(),
        zone: endpoint.zone.clone(),
        state: format!("{:?}", endpoint.state).to_lowercase(),
        shards: table.owners.shards_of(index).len(),
        renewers: endpoint
            .renewers
            .iter()
            .map(|node| node.name.clone())
            .collect(),
    });
    Cell {
        token: table.token.to_string(),
        planner: table.planner.name.clone(),
        unowned_shards: table
            .owners
            .iter()
            .filter(|(_, owner)| owner.is_none())
            .count(),
        moving_shards: table.transits.len(),
        endpoints: endpoints.collect(),
    }
}

fn explain(state: &State, operator: &Operator, query: &str) -> Reply {
    let service = parameter(query, "service").ok_or(Error::Parameter("service"))?;
    let key = parameter(query, "key").ok_or(Error::Parameter("key"))?;
    let table = own_table(state, operator, service)?;
    let shard = shard::of_key(key.as_bytes(), table.owners.count());
    let owner = table.owner(shard).map(|(_, endpoint)| endpoint);
    let transit = table.transits.iter().find(|transit| transit.shard == shard);
    let renewers = owner
        .map(|endpoint| endpoint.renewers.as_slice())
        .unwrap_or_default();
    let explanation = Explanation {
        service: service.into(),
        key: key.into(),
        shard: shard.0,
        token: table.token.to_string(),
        owner: owner.map(|endpoint| endpoint.name.clone()),
        renewers: renewers.iter().map(|node| node.name.clone()).collect(),
        moving_from: transit.map(|transit| table.endpoint(transit.from).name.clone()),
        last_changes: table.trail.clone(),
    };
    Ok(json(StatusCode::OK, &explanation))
}

fn own_table(state: &State, operator: &Operator, service: &str) -> Result<Arc<Table>, Error> {
    let snapshot = state.tables.current();
    let record = snapshot.intent(service);
    let own = record.filter(|record| record.intent.operator == operator.name);
    if own.is_none() {
        return Err(Error::Foreign(service.into()));
    }
    snapshot.cell(service).cloned().ok_or(Error::Path)
}

/// Returns a page of the audit trail: the first one that starts at `after` or later, or the
/// events in the table if there is no `after` or it lies within them.
async fn audit(state: &State, operator: &Operator, query: &str) -> Reply {
    let service = parameter(query, "service").ok_or(Error::Parameter("service"))?;
    let table = own_table(state, operator, service)?;
    let Some(after) = parameter(query, "after") else {
        return Ok(json(StatusCode::OK, &table.trail));
    };
    let after: u64 = after.parse().map_err(|_| Error::Parameter("after"))?;
    if after >= table.trail_paged {
        return Ok(json(StatusCode::OK, &table.trail));
    }
    let name = find_audit_page(state, service, after).await?;
    let object = (state.store.get)(&name).await.map_err(Error::Store)?;
    let object = object.ok_or(Error::Parameter("after"))?;
    let page: Vec<Event> =
        wire::decode(&object.bytes).map_err(|_| Error::Store(StoreError::Protocol(200)))?;
    Ok(json(StatusCode::OK, &page))
}

/// Finds the first stored page of the audit trail that starts at `after` or later.
async fn find_audit_page(state: &State, service: &str, after: u64) -> Result<Box<str>, Error> {
    let prefix = format!("{AUDIT_PREFIX}{service}/");
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

/// Returns the value of a query parameter, without percent-decoding.
fn parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let mut named = pairs.filter(|(found, _)| *found == name);
    named.next().map(|(_, value)| value)
}
