//! Decisions of an entry instance, on a clock that the tests set.

mod baselines;
mod delegations;
mod ending;
mod foreign;
mod limit;
mod limits;
mod network;
mod overload;
mod placement;
mod proof;
mod quarantine;
mod quota;
mod random;
mod rejections;
mod repeats;
mod resumptions;
mod rollouts;
mod site;
mod spill;
mod watermark;
mod zones;
