//! Finds endpoints by id, by hash and by address.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use crate::placement::endpoint_hash;
use crate::placement::entry::EndpointEntry;

/// Keys of all endpoints. An endpoint that is added or removed costs as much as a search, however many there are.
#[derive(Debug, Default)]
pub(crate) struct EndpointIndex {
    service_of: HashMap<Arc<str>, String>,
    id_by_hash: HashMap<u64, Arc<str>>,
    // An address may be reused before the record of its last endpoint is removed.
    by_address: BTreeSet<(SocketAddr, Arc<str>)>,
}

impl EndpointIndex {
    /// Adds an endpoint.
    pub fn insert(&mut self, entry: &EndpointEntry) {
        let id: Arc<str> = entry.spec.id.as_str().into();
        for hash in hashes_of(entry) {
            self.id_by_hash.insert(hash, Arc::clone(&id));
        }
        self.by_address
            .insert((entry.spec.address, Arc::clone(&id)));
        self.service_of.insert(id, entry.spec.service.clone());
    }

    /// Removes an endpoint.
    pub fn remove(&mut self, entry: &EndpointEntry) {
        let Some((id, _)) = self.service_of.remove_entry(entry.spec.id.as_str()) else {
            return;
        };
        for hash in hashes_of(entry) {
            if self.id_by_hash.get(&hash) == Some(&id) {
                self.id_by_hash.remove(&hash);
            }
        }
        self.by_address.remove(&(entry.spec.address, id));
    }

    /// Records the new address of an endpoint.
    pub fn readdress(&mut self, id: &str, before: SocketAddr, after: SocketAddr) {
        if before == after {
            return;
        }
        let id: Arc<str> = id.into();
        self.by_address.remove(&(before, Arc::clone(&id)));
        self.by_address.insert((after, id));
    }

    /// Returns the service of an endpoint.
    pub fn service_of(&self, id: &str) -> Option<&str> {
        self.service_of.get(id).map(String::as_str)
    }

    /// Returns the id of the endpoint with this hash, either of its id or of its current incarnation.
    pub fn id_of(&self, hash: u64) -> Option<&str> {
        self.id_by_hash.get(&hash).map(AsRef::as_ref)
    }

    /// Returns the id of an endpoint at an address.
    pub fn id_at(&self, address: SocketAddr) -> Option<&str> {
        let from = (address, Arc::from(""));
        let (found, id) = self.by_address.range(from..).next()?;
        (*found == address).then_some(id.as_ref())
    }

    /// Returns the number of endpoints.
    pub fn len(&self) -> usize {
        self.service_of.len()
    }
}

fn hashes_of(entry: &EndpointEntry) -> [u64; 2] {
    [endpoint_hash(&entry.spec.id), entry.incarnation()]
}
