//! Data halls and the regions that contain them. The code does no I/O.
//!
//! A region must be able to serve alone while its link to the others is full or cut. A data hall is
//! the largest unit that may fail at once. In a deployment with one region, all halls are in it.

use std::collections::{BTreeMap, BTreeSet};

/// Distance from this gateway's hall to another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// The own hall.
    SameHall,
    /// Another hall of the own region.
    SameRegion,
    /// A hall of another region.
    OtherRegion,
}

/// The halls of a deployment, seen from one of them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Topology {
    hall: String,
    region: String,
    // Region by hall; empty if the settings list no halls.
    regions: BTreeMap<String, String>,
}

impl Topology {
    /// Creates the topology from the regions of the halls in the settings, seen from `hall` in
    /// `region`.
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

    /// Region of a hall. A hall that is not in the settings counts as part of the own region: if
    /// that is wrong, requests take longer on the way, while a hall wrongly taken to be remote
    /// would get no work.
    pub fn region_of<'a>(&'a self, hall: &str) -> &'a str {
        self.regions.get(hall).unwrap_or(&self.region)
    }

    /// Distance to a hall.
    pub fn distance(&self, hall: &str) -> Distance {
        if hall == self.hall {
            return Distance::SameHall;
        }
        match self.region_of(hall) == self.region {
            true => Distance::SameRegion,
            false => Distance::OtherRegion,
        }
    }

    /// All halls in the settings, and the own one.
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

    /// All regions, including the own one.
    pub fn regions(&self) -> BTreeSet<&str> {
        let named = self.regions.values().map(String::as_str);
        named.chain([self.region.as_str()]).collect()
    }

    /// Index of a hall's region: 0 for the own region, then the others in the order of their names.
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

    /// Region with an index as returned by [`Topology::region_index_of`]; the own region if there
    /// is none.
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
