//! Store of objects over HTTP with entity tags: the dialect `http-etag`.
//!
//! - `GET /objects/NAME` returns the object and its `ETag`, or 404.
//! - `PUT /objects/NAME` with `If-Match: TAG` or `If-None-Match: *` updates the
//!   object and returns its new `ETag`, or 412 if the condition does not hold.
//! - `GET /objects?prefix=P&wait_ms=W` lists names and tags as JSON. With
//!   `If-None-Match: TAG` the response waits at most `W` ms until the tag of the
//!   list differs from `TAG`, and is 304 if it does not change.

use crate::{
    edge::store::{
        Client,
        Condition,
        Error,
        Item,
        List,
        Object,
        Watch,
        Write, //
    },
    kernel::{
        http::{
            full,
            Body, //
        },
        plugin::{
            Dialect,
            Factory, //
        },
        pool::{
            self,
            Pool,
            Stream, //
        },
        runtime::Context,
    },
};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{
    header,
    Method,
    Request,
    Response,
    StatusCode, //
};
use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

/// Maximum number of connections to the store, waiting list calls included.
const CONNECTIONS: usize = 16;

/// Time limit for a call that does not wait for a change.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

inventory::submit! {
    Dialect { name: "http-etag", factory: Factory::Store(open) }
}

fn open(context: &Context, address: SocketAddr) -> Client {
    let pool = pool::open(context, address, CONNECTIONS);
    let get_pool = Arc::clone(&pool);
    let put_pool = Arc::clone(&pool);
    Client {
        get: Box::new(move |name| Box::pin(get(Arc::clone(&get_pool), name.into()))),
        put: Box::new(move |update| Box::pin(put(Arc::clone(&put_pool), update))),
        list: Box::new(move |watch| Box::pin(list(Arc::clone(&pool), watch))),
    }
}

async fn get(pool: Arc<Pool>, name: Box<str>) -> Result<Option<Object>, Error> {
    let request = request(&pool, Method::GET, &format!("/objects/{name}"));
    let response = call(&pool, request, CALL_TIMEOUT).await?;
    match response.status() {
        StatusCode::NOT_FOUND => Ok(None),
        StatusCode::OK => {
            let tag = tag(&response)?;
            let bytes = body(response, CALL_TIMEOUT).await?;
            Ok(Some(Object { tag, bytes }))
        }
        status => Err(Error::Protocol(status.as_u16())),
    }
}

async fn put(pool: Arc<Pool>, update: Write) -> Result<Box<str>, Error> {
    let mut request = request(&pool, Method::PUT, &format!("/objects/{}", update.name));
    let (field, value) = match &update.condition {
        Condition::Absent => (header::IF_NONE_MATCH, "*"),
        Condition::Tag(tag) => (header::IF_MATCH, &**tag),
    };
    let value = header::HeaderValue::from_str(value).map_err(|_| Error::Protocol(0))?;
    request.headers_mut().insert(field, value);
    *request.body_mut() = full(update.bytes);
    let response = call(&pool, request, CALL_TIMEOUT).await?;
    match response.status() {
        StatusCode::OK | StatusCode::CREATED => tag(&response),
        StatusCode::PRECONDITION_FAILED => Err(Error::Conflict),
        StatusCode::SERVICE_UNAVAILABLE => Err(Error::Unknown),
        status => Err(Error::Protocol(status.as_u16())),
    }
}

async fn list(pool: Arc<Pool>, watch: Watch) -> Result<Option<List>, Error> {
    let wait = watch.wait.as_millis();
    let path = format!("/objects?prefix={}&wait_ms={wait}", watch.prefix);
    let mut request = request(&pool, Method::GET, &path);
    if let Some(tag) = &watch.tag {
        let value = header::HeaderValue::from_str(tag).map_err(|_| Error::Protocol(0))?;
        request.headers_mut().insert(header::IF_NONE_MATCH, value);
    }
    let span = CALL_TIMEOUT + watch.wait;
    let response = call(&pool, request, span).await?;
    match response.status() {
        StatusCode::NOT_MODIFIED => Ok(None),
        StatusCode::OK => {
            let tag = tag(&response)?;
            let bytes = body(response, CALL_TIMEOUT).await?;
            let items: Vec<Item> =
                serde_json::from_slice(&bytes).map_err(|_| Error::Protocol(200))?;
            Ok(Some(List { tag, items }))
        }
        status => Err(Error::Protocol(status.as_u16())),
    }
}

fn request(pool: &Pool, method: Method, path: &str) -> Request<Body> {
    Request::builder()
        .method(method)
        .uri(path)
        .header(header::HOST, pool.address().to_string())
        .body(full(Bytes::new()))
        .expect("object names are valid path segments")
}

async fn call(
    pool: &Arc<Pool>,
    request: Request<Body>,
    span: Duration,
) -> Result<Response<Stream>, Error> {
    pool.send(request, span)
        .await
        .map_err(|rejected| match rejected.unsent {
            Some(_) => Error::Unreachable,
            None => Error::Unknown,
        })
}

fn tag(response: &Response<Stream>) -> Result<Box<str>, Error> {
    let value = response.headers().get(header::ETAG);
    let tag = value.and_then(|value| value.to_str().ok());
    tag.map(Into::into)
        .ok_or(Error::Protocol(response.status().as_u16()))
}

async fn body(response: Response<Stream>, span: Duration) -> Result<Bytes, Error> {
    let collected = crate::kernel::runtime::timeout(span, response.into_body().collect()).await;
    match collected {
        Some(Ok(collected)) => Ok(collected.to_bytes()),
        _ => Err(Error::Unknown),
    }
}
