//! The tables and intents that this process holds.
//!
//! Whatever way a table or an intent arrives, it is taken in only if it is
//! newer than the one held, so none ever reverts. Readers take a whole
//! [`Snapshot`] and never see one half of a change.

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

/// Everything held at one moment.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Tables, sorted by name.
    pub cells: Vec<Arc<Table>>,
    /// Intents, sorted by service.
    pub intents: Vec<Arc<Record>>,
}

impl Snapshot {
    /// Returns the table of the cell called `name`.
    pub fn cell(&self, name: &str) -> Option<&Arc<Table>> {
        let found = self.cells.binary_search_by(|cell| (*cell.name).cmp(name));
        found.ok().map(|index| &self.cells[index])
    }

    /// Returns the intent of the service called `name`.
    pub fn intent(&self, name: &str) -> Option<&Arc<Record>> {
        let found = self
            .intents
            .binary_search_by(|intent| (*intent.intent.service).cmp(name));
        found.ok().map(|index| &self.intents[index])
    }

    /// Returns the service that a path belongs to.
    pub fn service(&self, path: &str) -> Option<&Arc<Record>> {
        self.intents
            .iter()
            .find(|confirmed| path.starts_with(&*confirmed.intent.prefix))
    }
}

/// Holder of the current snapshot.
#[derive(Default)]
pub struct Tables {
    snapshot: RwLock<Arc<Snapshot>>,
    changed: Event,
}

impl Tables {
    /// Returns what is held now.
    pub fn current(&self) -> Arc<Snapshot> {
        Arc::clone(&self.snapshot.read().unwrap())
    }

    /// Returns a future that ends with the next change.
    pub fn listen(&self) -> EventListener {
        self.changed.listen()
    }

    /// Takes in a table if it is newer than the one held; `note` is called
    /// before any other change, so notes are in the order of the changes.
    pub fn adopt_cell(&self, cell: Arc<Table>, note: impl FnOnce()) -> bool {
        self.update(note, |snapshot| {
            let found = snapshot
                .cells
                .binary_search_by(|held| held.name.cmp(&cell.name));
            match found {
                Ok(index) if snapshot.cells[index].token >= cell.token => false,
                Ok(index) => {
                    snapshot.cells[index] = cell;
                    true
                }
                Err(index) => {
                    snapshot.cells.insert(index, cell);
                    true
                }
            }
        })
    }

    /// Takes in an intent if it is newer than the one held, and notes it likewise.
    pub fn adopt_intent(&self, confirmed: Arc<Record>, note: impl FnOnce()) -> bool {
        self.update(note, |snapshot| {
            let service = &confirmed.intent.service;
            let found = snapshot
                .intents
                .binary_search_by(|held| held.intent.service.cmp(service));
            match found {
                Ok(index) if snapshot.intents[index].version >= confirmed.version => false,
                Ok(index) => {
                    snapshot.intents[index] = confirmed;
                    true
                }
                Err(index) => {
                    snapshot.intents.insert(index, confirmed);
                    true
                }
            }
        })
    }

    fn update(&self, note: impl FnOnce(), change: impl FnOnce(&mut Snapshot) -> bool) -> bool {
        let mut held = self.snapshot.write().unwrap();
        let mut next = (**held).clone();
        if !change(&mut next) {
            return false;
        }
        *held = Arc::new(next);
        note();
        drop(held);
        self.changed.notify(usize::MAX);
        true
    }
}
