//! Decides whether a relayed request that an instance did not take is relayed to another instance of
//! the region.

/// Number of unreachable instances after which a request is not relayed to further instances of a
/// region.
const MAX_UNREACHABLE_INSTANCES: usize = 2;

/// Number of instances of a region that say that they are cut off from its targets after which a
/// request is relayed to no further one.
const MAX_CUT_OFF_INSTANCES: usize = 4;

/// Why an instance did not take a relayed request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotTaken {
    /// The instance could not be reached.
    NotReached,
    /// The instance is cut off from the targets of its region.
    CutOff,
    /// The instance leaves.
    Leaving,
}

/// The instances of one region that did not take a request.
#[derive(Debug, Clone, Default)]
pub struct RelayTries {
    unreachable: usize,
    cut_off: usize,
}

impl RelayTries {
    /// Records that an instance did not take the request.
    ///
    /// Leaving instances are not counted: they refuse at once, each tells a sender once, and they say
    /// nothing about the other instances of their region.
    pub fn record(&mut self, why: NotTaken) {
        match why {
            NotTaken::NotReached => self.unreachable += 1,
            NotTaken::CutOff => self.cut_off += 1,
            NotTaken::Leaving => {}
        }
    }

    /// Tells whether the request may be relayed to another instance of the region.
    pub fn may_continue(&self) -> bool {
        self.unreachable < MAX_UNREACHABLE_INSTANCES && self.cut_off < MAX_CUT_OFF_INSTANCES
    }
}
