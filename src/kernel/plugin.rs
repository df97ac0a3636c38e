//! Registry of dialects.
//!
//! A dialect is the protocol of one external system, such as the object store
//! or the endpoints. A module that implements one registers a [`Dialect`] with
//! `inventory::submit!`, and the settings select it by its name. A new dialect
//! therefore needs no change to existing modules.

use crate::{
    edge::{
        fields::Fields,
        lease,
        objects,
        order,
        store,
        vms, //
    },
    kernel::{
        error::Error,
        runtime::Context, //
    },
};
use std::net::SocketAddr;

/// Constructor of a client for one kind of external system.
pub enum Factory {
    /// The platform's store of objects with entity tags.
    Store(fn(&Context, SocketAddr) -> store::Client),
    /// Renewal orders to endpoints.
    Order(fn(&Context) -> order::Client),
    /// The platform's list of VMs.
    Vms(fn(&Context, SocketAddr) -> vms::Client),
    /// The platform's store of versioned objects.
    Objects(fn(&Context, SocketAddr) -> objects::Client),
    /// Grants of keys to endpoints, and releases.
    Lease(fn(&Context) -> lease::Client),
    /// Names of the header fields of callers and endpoints.
    Fields(fn() -> Fields),
}

/// A registered dialect.
pub struct Dialect {
    /// Name in the settings.
    pub name: &'static str,
    /// Its constructor.
    pub factory: Factory,
}

inventory::collect!(Dialect);

/// Creates a client of the store whose dialect is called `name`.
pub fn open_store(
    name: &str,
    context: &Context,
    address: SocketAddr,
) -> Result<store::Client, Error> {
    let opener = find(name, |open| match open {
        Factory::Store(open) => Some(*open),
        _ => None,
    })?;
    Ok(opener(context, address))
}

/// Creates a client for renewal orders in the dialect called `name`.
pub fn open_order(name: &str, context: &Context) -> Result<order::Client, Error> {
    let opener = find(name, |open| match open {
        Factory::Order(open) => Some(*open),
        _ => None,
    })?;
    Ok(opener(context))
}

/// Creates a client of the VM list whose dialect is called `name`.
pub fn open_vms(name: &str, context: &Context, address: SocketAddr) -> Result<vms::Client, Error> {
    let opener = find(name, |open| match open {
        Factory::Vms(open) => Some(*open),
        _ => None,
    })?;
    Ok(opener(context, address))
}

/// Creates a client of the store of versioned objects whose dialect is called
/// `name`.
pub fn open_objects(
    name: &str,
    context: &Context,
    address: SocketAddr,
) -> Result<objects::Client, Error> {
    let opener = find(name, |open| match open {
        Factory::Objects(open) => Some(*open),
        _ => None,
    })?;
    Ok(opener(context, address))
}

/// Creates a client for grants in the dialect called `name`.
pub fn open_lease(name: &str, context: &Context) -> Result<lease::Client, Error> {
    let opener = find(name, |open| match open {
        Factory::Lease(open) => Some(*open),
        _ => None,
    })?;
    Ok(opener(context))
}

/// Returns the header field names of the dialect called `name`.
pub fn open_fields(name: &str) -> Result<Fields, Error> {
    let opener = find(name, |open| match open {
        Factory::Fields(open) => Some(*open),
        _ => None,
    })?;
    Ok(opener())
}

/// Finds the constructor of the dialect called `name` for which `select`
/// returns one.
fn find<T>(name: &str, select: impl Fn(&Factory) -> Option<T>) -> Result<T, Error> {
    let dialects = inventory::iter::<Dialect>();
    let mut named = dialects.into_iter().filter(|dialect| dialect.name == name);
    named
        .find_map(|dialect| select(&dialect.factory))
        .ok_or_else(|| unknown_dialect(name))
}

fn unknown_dialect(name: &str) -> Error {
    let mut known: Vec<&str> = inventory::iter::<Dialect>()
        .map(|dialect| dialect.name)
        .collect();
    known.sort_unstable();
    Error::Plugin {
        name: name.into(),
        known: known.join(", ").into(),
    }
}
