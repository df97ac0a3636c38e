//! List of VMs over HTTP: the dialect `http-list`.
//!
//! `GET /vms` returns the list as JSON.

use crate::{
    edge::vms::{
        Client,
        Vm, //
    },
    kernel::{
        http::full,
        plugin::{
            Dialect,
            Factory, //
        },
        pool::{
            self,
            Pool, //
        },
        runtime::{
            timeout,
            Context, //
        },
    },
};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{
    header,
    Request,
    StatusCode, //
};
use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

/// Time limit for reading the list.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

inventory::submit! {
    Dialect { name: "http-list", factory: Factory::Vms(open) }
}

fn open(context: &Context, address: SocketAddr) -> Client {
    let pool = pool::open(context, address, 1);
    Client {
        read: Box::new(move || Box::pin(read(Arc::clone(&pool)))),
    }
}

async fn read(pool: Arc<Pool>) -> Option<Vec<Vm>> {
    let request = Request::builder()
        .uri("/vms")
        .header(header::HOST, pool.address().to_string())
        .body(full(Bytes::new()))
        .expect("the path is valid");
    let exchange = async {
        let response = pool.send(request, CALL_TIMEOUT).await.ok()?;
        if response.status() != StatusCode::OK {
            return None;
        }
        let collected = response.into_body().collect().await.ok()?;
        serde_json::from_slice(&collected.to_bytes()).ok()
    };
    timeout(CALL_TIMEOUT, exchange).await.flatten()
}
