//! Routing, retries and suspects.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use briarhall_policy::fleet::AttemptKey;
use briarhall_policy::fleet::EndpointKey;
use briarhall_policy::fleet::NoEndpoint;
use briarhall_policy::fleet::Want;
use briarhall_policy::gang;
use briarhall_policy::gang::NoGang;
use briarhall_policy::gang::Part;
use briarhall_policy::suspects::Suspicion;
use briarhall_policy::suspects::Witness;
use briarhall_types::Objective;
use briarhall_types::Problem;

use super::AttemptEnd;
use super::Control;
use super::GangPart;
use super::GangPlan;
use super::Kick;
use super::NoRoute;
use super::RouteCall;
use super::Routed;
use super::Running;
use super::admit::convicted;

/// When a request that found every endpoint down is tried again.
const ALL_DOWN_RETRY: Duration = Duration::from_millis(200);
/// When a request that found the retry budget spent is tried again.
const BUDGET_RETRY: Duration = Duration::from_millis(500);
/// Tokens of prefill a second, to turn lengths into allowances of time.
const ALLOWANCE_RATE: u64 = 10_000;
/// How much more time than its prefill a prompt is allowed where short
/// requests weigh more.
const SHORT_FIRST_FACTOR: u64 = 8;

impl Control {
    pub(super) fn route(&mut self, call: &RouteCall, now: Instant) -> Result<Routed, NoRoute> {
        let suspicion = self.suspects.suspicion(&call.fingerprint);
        if suspicion == Some(Suspicion::Convicted) {
            return Err(NoRoute::Refused(convicted()));
        }
        if call.is_retry && !self.retries.spend() {
            self.metrics.count("retry.budget_spent");
            return Err(NoRoute::NotNow(BUDGET_RETRY));
        }
        let choice = self.fleet.choose(&call.want, &mut self.rng, now);
        let choice = choice.map_err(|e| no_endpoint(e, &call.want))?;
        if !call.is_retry {
            self.retries.earn();
            self.fleet.arrived(&call.want, now);
            check_time(choice.first_token, call.time_left)?;
        }
        let attempt = self.fleet.sent(choice.key, &call.want, now);
        let on_probation = suspicion == Some(Suspicion::Suspect);
        self.running.insert(
            attempt,
            Running {
                endpoint: choice.key,
                fingerprint: call.fingerprint,
                on_probation,
            },
        );
        Ok(Routed {
            attempt,
            endpoint: choice.key,
            record: choice.record,
            on_probation,
            priority: priority(&call.want),
        })
    }

    pub(super) fn gang(&mut self, call: &RouteCall, now: Instant) -> Result<GangPlan, NoGang> {
        let rooms = self.fleet.rooms(&call.want, now);
        let total = call.want.tokens + call.want.max_tokens;
        let parts = gang::choose(&rooms, total)?;
        let parts = parts
            .into_iter()
            .filter_map(|part| self.gang_part(call, &part, now));
        Ok(GangPlan {
            parts: parts.collect(),
            priority: priority(&call.want),
        })
    }

    fn gang_part(&mut self, call: &RouteCall, part: &Part, now: Instant) -> Option<GangPart> {
        let address = self.fleet.record(part.key)?.address;
        let want = Want {
            tokens: part.tokens,
            max_tokens: 0,
            ..call.want.clone()
        };
        let attempt = self.fleet.sent(part.key, &want, now);
        self.running.insert(
            attempt,
            Running {
                endpoint: part.key,
                fingerprint: call.fingerprint,
                on_probation: false,
            },
        );
        Some(GangPart {
            attempt,
            address,
            tokens: part.tokens,
            allowance: part.allowance,
        })
    }

    pub(super) fn attempt_ended(&mut self, key: AttemptKey, end: AttemptEnd, now: Instant) {
        let running = self.running.get(&key).copied();
        if let Some(running) = running {
            match end {
                AttemptEnd::Done => self.suspects.cleared(&running.fingerprint),
                AttemptEnd::GivenUp | AttemptEnd::Full => {}
                AttemptEnd::Leaving => self.fleet.said_leaving(running.endpoint),
                AttemptEnd::Failed => self.fleet.failed(running.endpoint, now),
                AttemptEnd::Died => {
                    self.fleet.failed(running.endpoint, now);
                    self.endpoint_died(running.endpoint, now);
                }
            }
        }
        self.running.remove(&key);
        self.fleet.ended(key);
    }

    /// Everything this router ran there is judged at once; attempts that
    /// report the same death later are not there any more.
    fn endpoint_died(&mut self, endpoint: EndpointKey, now: Instant) {
        let died = |running: &Running| running.endpoint == endpoint;
        let keys = self.running.iter().filter(|(_, r)| died(r));
        let keys = keys.map(|(key, _)| *key).collect::<Vec<_>>();
        let witnesses = keys.iter().filter_map(|key| self.running.remove(key));
        let witnesses = witnesses
            .map(|running| Witness {
                fingerprint: running.fingerprint,
                on_probation: running.on_probation,
            })
            .collect::<Vec<_>>();
        let found = self.suspects.engine_died(&witnesses, now);
        self.metrics.count("endpoint.died");
        log::warn!(suspects = found.len(); "an engine died");
        self.notices.extend(found);
        self.kick(Kick::Notices);
    }
}

/// A request whose first token would come after its deadline is refused at
/// once, with the time by which the queue will be shorter.
fn check_time(first_token: Duration, time_left: Duration) -> Result<(), NoRoute> {
    if first_token <= time_left {
        return Ok(());
    }
    let detail = "the queue is longer than the request's time limit";
    let problem = Problem::not_run(503, "overloaded", detail);
    Err(NoRoute::Refused(
        problem.retry_after(first_token.checked_sub(time_left).unwrap()),
    ))
}

fn no_endpoint(e: NoEndpoint, want: &Want) -> NoRoute {
    match e {
        NoEndpoint::Unknown => {
            let detail = format!("no endpoint runs `{}` now", want.serves);
            let problem = Problem::not_run(503, "no-endpoint", detail);
            NoRoute::Refused(problem.retry_after(Duration::from_secs(1)))
        }
        NoEndpoint::AllDown => NoRoute::NotNow(ALL_DOWN_RETRY),
    }
}

/// A virtual deadline in milliseconds since the epoch; engines run the earliest
/// first. A long prompt is allowed more time, so short ones pass it, yet it
/// rises as it waits.
fn priority(want: &Want) -> i64 {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let now = now.unwrap_or_default().as_millis();
    let factor = match want.objective {
        Objective::ShortSlowdown => SHORT_FIRST_FACTOR,
        Objective::FirstToken => 1,
    };
    let allowance = want.tokens * factor * 1_000 / ALLOWANCE_RATE;
    i64::try_from(now + u128::from(allowance)).unwrap_or(i64::MAX)
}
