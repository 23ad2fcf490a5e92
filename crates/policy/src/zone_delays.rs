//! Delays of the links between availability zones, as the operator states them.

use std::collections::HashMap;
use std::time::Duration;

use briarhall_types::ServiceSpec;
use briarhall_types::ZoneName;

/// Delay of a link, one way, above which gateways in different zones know each other's
/// work too late for placement that is the same everywhere.
const SLOW_LINK: Duration = Duration::from_millis(2);

/// Delays of links, one way.
#[derive(Debug, Clone, Default)]
pub struct ZoneDelays {
    by_link: HashMap<ZoneName, HashMap<ZoneName, Duration>>,
    longest: Duration,
}

impl ZoneDelays {
    /// Collects the delays that services state; of several for one link, the longest.
    #[must_use]
    pub fn new(services: &[ServiceSpec]) -> Self {
        let mut delays = Self::default();
        for stated in services.iter().flat_map(|service| &service.delays) {
            let links = delays.by_link.entry(stated.from.clone()).or_default();
            let delay = links.entry(stated.to.clone()).or_default();
            *delay = stated.delay.max(*delay);
            if stated.from != stated.to {
                delays.longest = stated.delay.max(delays.longest);
            }
        }
        delays
    }

    /// Returns whether links between zones are so slow that load is spread evenly over
    /// the engines instead of by one order for all gateways.
    #[must_use]
    pub fn has_slow_links(&self) -> bool {
        self.longest > SLOW_LINK
    }

    /// Returns the delay from one zone to another; zero if none is stated.
    #[must_use]
    pub fn between(&self, from: &str, to: &str) -> Duration {
        let links = self.by_link.get(from);
        let delay = links.and_then(|links| links.get(to));
        delay.copied().unwrap_or_default()
    }
}
