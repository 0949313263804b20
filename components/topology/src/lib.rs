//! Data halls and the regions they lie in. Pure.
//!
//! A region is the unit that must serve alone while its link to the others is full or cut, a data hall the unit
//! that may vanish at once. A deployment of one region is the case in which no hall is elsewhere.

use std::collections::{BTreeMap, BTreeSet};

/// How far another data hall is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// It is the own hall.
    SameHall,
    /// It is another hall of the own region.
    SameRegion,
    /// It lies in another region.
    OtherRegion,
}

/// The halls of a deployment, seen from one of them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Topology {
    hall: String,
    region: String,
    // Region by hall; empty where the settings name none.
    regions: BTreeMap<String, String>,
}

impl Topology {
    /// The halls as the settings name them, seen from `hall` in `region`.
    pub fn new(hall: &str, region: &str, regions: &BTreeMap<String, String>) -> Self {
        Topology {
            hall: hall.to_string(),
            region: region.to_string(),
            regions: regions.clone(),
        }
    }

    /// The own hall.
    pub fn hall(&self) -> &str {
        &self.hall
    }

    /// The own region.
    pub fn region(&self) -> &str {
        &self.region
    }

    /// Region of a hall. A hall that the settings do not name is taken to lie in the own one: a wrong guess costs
    /// time on the way, while one that is taken to be far would get no work.
    pub fn region_of<'a>(&'a self, hall: &str) -> &'a str {
        self.regions.get(hall).unwrap_or(&self.region)
    }

    /// How far a hall is.
    pub fn distance(&self, hall: &str) -> Distance {
        if hall == self.hall {
            return Distance::SameHall;
        }
        match self.region_of(hall) == self.region {
            true => Distance::SameRegion,
            false => Distance::OtherRegion,
        }
    }

    /// All halls that the settings name, the own one included.
    pub fn halls(&self) -> BTreeSet<&str> {
        let named = self.regions.keys().map(String::as_str);
        named.chain([self.hall.as_str()]).collect()
    }

    /// Halls of a region.
    pub fn halls_of(&self, region: &str) -> BTreeSet<&str> {
        let mut halls = self.halls();
        halls.retain(|hall| self.region_of(hall) == region);
        halls
    }

    /// All regions, the own one included.
    pub fn regions(&self) -> BTreeSet<&str> {
        let named = self.regions.values().map(String::as_str);
        named.chain([self.region.as_str()]).collect()
    }

    /// Place of a hall's region among all: 0 for the own one, then the others by name.
    pub fn region_index_of(&self, hall: &str) -> usize {
        let region = self.region_of(hall);
        let others = self.regions();
        let mut others = others.into_iter().filter(|other| *other != self.region);
        match region == self.region {
            true => 0,
            false => others
                .position(|other| other == region)
                .map_or(0, |i| i + 1),
        }
    }

    /// The region at a place; the own one where there is none.
    pub fn region_by_index(&self, index: usize) -> &str {
        let mut others = self
            .regions()
            .into_iter()
            .filter(|other| *other != self.region);
        match index {
            0 => &self.region,
            index => others.nth(index - 1).unwrap_or(&self.region),
        }
    }

    /// Whether there is more than one hall.
    pub fn has_several_halls(&self) -> bool {
        self.halls().len() > 1
    }

    /// Whether there is more than one region.
    pub fn has_several_regions(&self) -> bool {
        self.regions().len() > 1
    }
}
