//! The current configuration, indexed for use on each request.

use std::collections::HashMap;
use std::sync::Arc;

use briarhall_types::ClientLimits;
use briarhall_types::Configuration;
use briarhall_types::ConfigurationVersion;
use briarhall_types::EngineSpec;
use briarhall_types::Organisation;
use briarhall_types::Route;
use briarhall_types::ServiceName;
use compact_str::CompactString;

use crate::zone_delays::ZoneDelays;

/// Index of routes, organisations and engines; built once per version.
#[derive(Debug, Clone)]
pub struct RouteTable {
    version: ConfigurationVersion,
    limits: ClientLimits,
    by_host: HashMap<CompactString, Vec<Arc<Route>>>,
    by_key: HashMap<CompactString, Arc<Organisation>>,
    engines: HashMap<ServiceName, Arc<EngineSpec>>,
    delays: ZoneDelays,
    has_cold_limits: bool,
    requires_key: bool,
}

impl RouteTable {
    /// Indexes a configuration.
    #[must_use]
    pub fn new(configuration: Configuration) -> Self {
        let mut by_host = HashMap::<CompactString, Vec<Arc<Route>>>::new();
        for route in configuration.routes {
            let host = route.host.to_ascii_lowercase();
            by_host.entry(host).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| usize::MAX - route.path_prefix.len());
        }
        let requires_key = !configuration.organisations.is_empty();
        let mut by_key = HashMap::new();
        for organisation in configuration.organisations {
            let organisation = Arc::new(organisation);
            for key in &organisation.keys {
                by_key.insert(key.clone(), Arc::clone(&organisation));
            }
        }
        let delays = ZoneDelays::new(&configuration.services);
        let has_cold_limits = configuration.services.iter().any(|s| s.cold.is_some());
        let engines = configuration.services.into_iter();
        let engines = engines.filter_map(|s| Some((s.name, Arc::new(s.engine?))));
        Self {
            version: configuration.version,
            limits: configuration.limits,
            by_host,
            by_key,
            engines: engines.collect(),
            delays,
            has_cold_limits,
            requires_key,
        }
    }

    /// Returns the operator's version of the configuration.
    #[must_use]
    pub fn version(&self) -> ConfigurationVersion {
        self.version
    }

    /// Returns the limits on what clients send.
    #[must_use]
    pub fn limits(&self) -> ClientLimits {
        self.limits
    }

    /// Returns the route of `host` with the longest prefix of `path`.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _port)| name);
        let routes = self.by_host.get(name.to_ascii_lowercase().as_str())?;
        routes
            .iter()
            .find(|route| path.starts_with(route.path_prefix.as_str()))
    }

    /// Returns whether requests need a key unless their route is anonymous.
    #[must_use]
    pub fn requires_key(&self) -> bool {
        self.requires_key
    }

    /// Returns the organisation that a key belongs to.
    #[must_use]
    pub fn organisation(&self, key: &str) -> Option<&Arc<Organisation>> {
        self.by_key.get(key)
    }

    /// Returns the delays of the links between availability zones.
    #[must_use]
    pub fn delays(&self) -> &ZoneDelays {
        &self.delays
    }

    /// Returns whether the configuration states slow links between zones or limits of cold
    /// replicas. Placement then counts on stale views and on too little room.
    #[must_use]
    pub fn expects_hard_load(&self) -> bool {
        self.delays.has_slow_links() || self.has_cold_limits
    }

    /// Returns the engine parameters of a service; `None` for a plain service.
    #[must_use]
    pub fn engine(&self, service: &str) -> Option<&Arc<EngineSpec>> {
        self.engines.get(service)
    }
}

/// Chooses a route's service by weight; `draw` is a random number from 0 to 1.
#[must_use]
pub fn choose_service(route: &Route, draw: f64) -> Option<&ServiceName> {
    let total = route.targets.iter().map(|t| t.weight).sum::<f64>();
    let mut remaining = draw * total;
    let weighted = route.targets.iter().filter(|target| target.weight > 0.0);
    let mut last = None;
    for target in weighted {
        last = Some(&target.service);
        remaining -= target.weight;
        if remaining < 0.0 {
            return last;
        }
    }
    last
}
