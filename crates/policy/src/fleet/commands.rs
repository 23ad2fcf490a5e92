//! Updates of endpoints and attempts.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use briarhall_types::EndpointName;
use briarhall_types::EndpointRecord;
use briarhall_types::LoadReport;
use slotmap::SlotMap;

use super::Attempt;
use super::AttemptKey;
use super::Endpoint;
use super::EndpointKey;
use super::Fleet;
use super::Policy;
use super::Reported;
use super::Requirements;
use crate::rendezvous;

/// Time for which an endpoint receives no new work after a failure.
const DOWN_FOR: Duration = Duration::from_secs(1);

impl Fleet {
    /// Creates an empty fleet whose load reports lag by at most `report_lag`.
    #[must_use]
    pub fn new(policy: Policy, report_lag: Duration) -> Self {
        Self {
            policy,
            report_lag,
            endpoints: SlotMap::with_key(),
            attempts: SlotMap::with_key(),
            by_name: HashMap::new(),
            groups: BTreeMap::new(),
        }
    }

    /// Applies the platform's list and removes the endpoints that are not on it.
    pub fn set_endpoints(&mut self, records: Vec<EndpointRecord>) {
        let listed = records.iter().map(|r| r.name.clone());
        let listed = listed.collect::<HashSet<EndpointName>>();
        self.by_name.retain(|name, _| listed.contains(name));
        self.endpoints
            .retain(|_, endpoint| listed.contains(&endpoint.record.name));
        for record in records {
            self.put(record);
        }
        self.regroup();
    }

    fn put(&mut self, record: EndpointRecord) {
        if let Some(key) = self.by_name.get(&record.name) {
            let endpoint = &mut self.endpoints[*key];
            if endpoint.record.address != record.address {
                // Another process now has the same name.
                endpoint.draining = false;
                endpoint.reported = None;
            }
            endpoint.record = record;
            return;
        }
        let name = record.name.clone();
        let key = self.endpoints.insert(Endpoint {
            record,
            reported: None,
            draining: false,
            down_until: None,
            own_requests: 0,
            recent: VecDeque::new(),
        });
        self.by_name.insert(name, key);
    }

    /// Orders the endpoints of each group by a hash, the same at every router.
    fn regroup(&mut self) {
        for group in self.groups.values_mut() {
            group.keys.clear();
        }
        for (key, endpoint) in &self.endpoints {
            let serves = endpoint.record.serves.clone();
            self.groups.entry(serves).or_default().keys.push(key);
        }
        self.groups.retain(|_, group| !group.keys.is_empty());
        for (serves, group) in &mut self.groups {
            let name = |key: &EndpointKey| &self.endpoints[*key].record.name;
            group
                .keys
                .sort_by_key(|key| (rendezvous::weight(serves, name(key)), name(key).clone()));
        }
    }

    /// Applies a load report that arrived at `now`.
    pub fn report(&mut self, name: &str, report: LoadReport, now: Instant) {
        let Some(key) = self.by_name.get(name) else {
            return;
        };
        let endpoint = &mut self.endpoints[*key];
        endpoint.draining = report.draining;
        endpoint.down_until = None;
        let made_after = now.checked_sub(self.report_lag);
        while let Some(oldest) = endpoint.recent.front() {
            let attempt = self.attempts.get(*oldest);
            if attempt.is_some_and(|attempt| {
                made_after.is_none_or(|made_after| attempt.sent >= made_after)
            }) {
                break;
            }
            endpoint.recent.pop_front();
        }
        endpoint.reported = Some(Reported {
            report,
            received: now,
        });
    }

    /// Records an attempt that is about to be sent.
    pub fn sent(
        &mut self,
        key: EndpointKey,
        requirements: &Requirements,
        now: Instant,
    ) -> AttemptKey {
        if let Some(group) = self.groups.get_mut(&requirements.serves) {
            group.cursor = group.cursor.wrapping_add(1);
        }
        let attempt = self.attempts.insert(Attempt {
            endpoint: key,
            tokens: requirements.tokens,
            max_tokens: requirements.max_tokens,
            sent: now,
            first_token_received: false,
        });
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.own_requests += 1;
            endpoint.recent.push_back(attempt);
        }
        attempt
    }

    /// Records a request for the sizes of the lanes.
    pub fn arrived(&mut self, serves: &str, tokens: u64, max_tokens: u64, now: Instant) {
        if let Some(group) = self.groups.get_mut(serves) {
            group.lanes.record(tokens, max_tokens, now);
        }
    }

    /// Records that the first token of an attempt has arrived.
    pub fn first_token(&mut self, key: AttemptKey) {
        if let Some(attempt) = self.attempts.get_mut(key) {
            attempt.first_token_received = true;
        }
    }

    /// Records that an attempt has ended.
    pub fn ended(&mut self, key: AttemptKey) {
        let Some(attempt) = self.attempts.remove(key) else {
            return;
        };
        if let Some(endpoint) = self.endpoints.get_mut(attempt.endpoint) {
            endpoint.own_requests = endpoint.own_requests.saturating_sub(1);
        }
    }

    /// Records that an endpoint could not be reached or its connection broke.
    pub fn failed(&mut self, key: EndpointKey, now: Instant) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.down_until = Some(now + DOWN_FOR);
        }
    }

    /// Records that an endpoint reported that it is draining.
    pub fn set_draining(&mut self, key: EndpointKey) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.draining = true;
        }
    }
}
