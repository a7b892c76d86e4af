//! HTTP clients that do nothing behind our backs: no redirects, no proxies, and
//! statuses are answers.

use std::time::Duration;

use ureq::config::ConfigBuilder;
use ureq::typestate::AgentScope;

/// The settings that all clients have in common.
pub fn config() -> ConfigBuilder<AgentScope> {
    ureq::Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .max_redirects_will_error(false)
        .proxy(None)
}

/// A client whose calls take `timeout` at most.
///
/// ```
/// let agent = rosemarypond::agent::agent(std::time::Duration::from_millis(200));
/// assert!(agent.get("http://127.0.0.1:1/").call().is_err());
/// ```
pub fn agent(timeout: Duration) -> ureq::Agent {
    config().timeout_global(Some(timeout)).build().into()
}
