//! An order, and the row of the shared store that states how far it is carried out.

use std::time::{Duration, Instant};

use crate::entry::watermark::Era;
use crate::id;

/// What an operator orders of a service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// The version to which its traffic is to be moved.
    pub to: id::Release,
    /// The same as the operator wrote it.
    pub name: String,
    /// The time that this may take; none where the order states no valid one.
    pub duration: Option<Duration>,
    /// The store's version of the order.
    pub version: u64,
}

/// How far a rollout is.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Step {
    /// The new version gets less than the allowed share.
    Canary,
    /// It gets a quarter of the requests, as far as the limit on all of them allows.
    Quarter,
    /// It gets half of them, with the same limit.
    Half,
    /// It gets all but those that resume streams of the old version.
    All,
    /// The old version gets nothing more.
    Closing,
    /// Nothing runs on the old version any more.
    Succeeded,
    /// The new version gets nothing more.
    RolledBack,
}

/// All steps, in their order.
const STEPS: [Step; 7] = [
    Step::Canary,
    Step::Quarter,
    Step::Half,
    Step::All,
    Step::Closing,
    Step::Succeeded,
    Step::RolledBack,
];

impl Step {
    /// Its number in messages; 0 stands for no step.
    ///
    /// ```
    /// use rosemarypond_core::entry::rollout::Step;
    /// assert_eq!(Step::Canary.rank(), 1);
    /// assert_eq!(Step::from_rank(7), Some(Step::RolledBack));
    /// assert_eq!(Step::from_rank(0), None);
    /// ```
    pub fn rank(self) -> u32 {
        self as u32 + 1
    }

    /// The step with this number.
    pub fn from_rank(rank: u32) -> Option<Step> {
        STEPS.into_iter().find(|step| step.rank() == rank)
    }

    /// Whether the rollout has ended.
    pub fn is_final(self) -> bool {
        matches!(self, Step::Succeeded | Step::RolledBack)
    }

    /// The step with this name.
    pub fn named(name: &str) -> Option<Step> {
        STEPS.into_iter().find(|step| step.as_str() == name)
    }

    /// Its name in logs and in the store.
    pub fn as_str(self) -> &'static str {
        match self {
            Step::Canary => "canary",
            Step::Quarter => "quarter",
            Step::Half => "half",
            Step::All => "all",
            Step::Closing => "closing",
            Step::Succeeded => "succeeded",
            Step::RolledBack => "rolled-back",
        }
    }
}

/// The row of a service in the shared store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Row {
    /// The order that is carried out.
    pub order: Order,
    /// How far.
    pub step: Step,
    /// When the order was seen first, by the store's clock in `era`.
    pub started: Duration,
    /// The store's era when the row was written.
    pub era: Era,
    /// The instance that wrote it.
    pub judge: id::Instance,
    /// The store's version of the row.
    pub version: u64,
}

/// What is to be written.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// The service.
    pub service: id::Service,
    /// The order that is carried out.
    pub order: Order,
    /// How far.
    pub step: Step,
    /// The time since the order was seen first.
    pub age: Duration,
    /// The instance that writes it.
    pub judge: id::Instance,
    /// The version of the row that is replaced; 0 if there is none.
    pub replaces: u64,
}

/// What was read in the shared store.
#[derive(Clone, Debug)]
pub struct Read {
    /// When the read began.
    pub began: Instant,
    /// The store's era.
    pub era: Era,
    /// The store's clock at its answer, if the answer states it.
    pub answered_at: Option<Duration>,
    /// The row of each service.
    pub rows: Vec<(id::Service, Row)>,
}
