//! The tables and intents that this process holds.
//!
//! A table or an intent is adopted only if it is newer than the one held,
//! whether it comes from a peer or the store, so none is ever replaced by an
//! older version. Readers get an immutable [`Snapshot`] and never see a partial
//! change.

use crate::core::{
    intent::Record,
    table::Table, //
};
use event_listener::{
    Event,
    EventListener, //
};
use std::sync::{
    Arc,
    RwLock, //
};

/// All tables and intents held at one time.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Tables, sorted by the name of their cell.
    pub cells: Vec<Arc<Table>>,
    /// Intents in effect, sorted by service.
    pub intents: Vec<Arc<Record>>,
}

impl Snapshot {
    /// Returns the table of the cell called `name`.
    pub fn cell(&self, name: &str) -> Option<&Arc<Table>> {
        let found = self.cells.binary_search_by(|table| (*table.name).cmp(name));
        found.ok().map(|index| &self.cells[index])
    }

    /// Returns the intent of the service called `name`.
    pub fn intent(&self, name: &str) -> Option<&Arc<Record>> {
        let found = self
            .intents
            .binary_search_by(|intent| (*intent.intent.service).cmp(name));
        found.ok().map(|index| &self.intents[index])
    }

    /// Returns the first intent whose path prefix matches `path`.
    pub fn service(&self, path: &str) -> Option<&Arc<Record>> {
        self.intents
            .iter()
            .find(|record| path.starts_with(&*record.intent.prefix))
    }
}

/// The current snapshot, and a notification of its changes.
#[derive(Default)]
pub struct Tables {
    snapshot: RwLock<Arc<Snapshot>>,
    changed: Event,
}

impl Tables {
    /// Returns the current snapshot.
    pub fn current(&self) -> Arc<Snapshot> {
        Arc::clone(&self.snapshot.read().unwrap())
    }

    /// Returns a future that completes at the next change.
    pub fn listen(&self) -> EventListener {
        self.changed.listen()
    }

    /// Adopts a table if it is newer than the one held, and returns whether it was.
    ///
    /// `on_change` is called under the write lock after an adoption, so the calls are
    /// in the order of the changes.
    pub fn adopt_cell(&self, table: Arc<Table>, on_change: impl FnOnce()) -> bool {
        self.update(on_change, |snapshot| {
            let found = snapshot
                .cells
                .binary_search_by(|held| held.name.cmp(&table.name));
            match found {
                Ok(index) if snapshot.cells[index].token >= table.token => false,
                Ok(index) => {
                    snapshot.cells[index] = table;
                    true
                }
                Err(index) => {
                    snapshot.cells.insert(index, table);
                    true
                }
            }
        })
    }

    /// Adopts an intent if it is newer than the one held; otherwise as [`Self::adopt_cell`].
    pub fn adopt_intent(&self, record: Arc<Record>, on_change: impl FnOnce()) -> bool {
        self.update(on_change, |snapshot| {
            let service = &record.intent.service;
            let found = snapshot
                .intents
                .binary_search_by(|held| held.intent.service.cmp(service));
            match found {
                Ok(index) if snapshot.intents[index].version >= record.version => false,
                Ok(index) => {
                    snapshot.intents[index] = record;
                    true
                }
                Err(index) => {
                    snapshot.intents.insert(index, record);
                    true
                }
            }
        })
    }

    fn update(&self, on_change: impl FnOnce(), change: impl FnOnce(&mut Snapshot) -> bool) -> bool {
        let mut held = self.snapshot.write().unwrap();
        let mut next = (**held).clone();
        if !change(&mut next) {
            return false;
        }
        *held = Arc::new(next);
        on_change();
        drop(held);
        self.changed.notify(usize::MAX);
        true
    }
}
