//! The configuration in force, as traffic threads read it.

use schema::settings::{Configuration, Pool, PoolKind, Team};
use state::Version;
use subtle::ConstantTimeEq;

/// An immutable view of one configuration version.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// Version in force.
    pub version: Version,
    /// The text of the configuration, for nodes that ask for it.
    pub body: String,
    /// The configuration.
    pub configuration: Configuration,
}

impl Snapshot {
    /// A view of nothing, before any configuration is in force.
    pub fn empty() -> Self {
        Snapshot {
            version: Version::default(),
            body: String::new(),
            configuration: Configuration::new(Vec::new(), Vec::new(), Vec::new(), Vec::new()),
        }
    }

    /// The team of a credential; all teams are compared, in constant time each.
    pub fn team_of(&self, credential: &str) -> Option<&Team> {
        let hash = settings::credential_hash(credential);
        let mut found = None;
        for team in &self.configuration.teams {
            let same = team.credential_sha256.as_bytes().ct_eq(hash.as_bytes());
            if bool::from(same) {
                found = Some(team);
            }
        }
        found
    }

    /// The pool of the team that serves a model.
    pub fn model_pool<'a>(&'a self, team: &'a Team, model: &str) -> Option<&'a Pool> {
        self.pools_of(team)
            .find(|p| p.kind == PoolKind::MODEL && p.route == model)
    }

    /// The pool of the team that serves a path: the one with the longest prefix.
    pub fn service_pool<'a>(&'a self, team: &'a Team, path: &str) -> Option<&'a Pool> {
        self.pools_of(team)
            .filter(|p| p.kind == PoolKind::SERVICE && path.starts_with(&p.route))
            .max_by_key(|p| p.route.len())
    }

    fn pools_of<'a>(&'a self, team: &'a Team) -> impl Iterator<Item = &'a Pool> {
        let pools = self.configuration.pools.iter();
        pools.filter(move |p| team.pools.contains(&p.name))
    }
}
