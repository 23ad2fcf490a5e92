//! Heartbeats and state exchanged with other routers.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Instant;

use briarhall_mesh::PullReply;
use briarhall_mesh::PullRequest;
use briarhall_policy::members::Heartbeat;
use rand::seq::SliceRandom;

use super::Control;
use super::messages::PullPlan;

/// Routers pulled from in each round.
const PULLS_PER_ROUND: usize = 3;

impl Control {
    pub(super) fn heartbeat(&mut self, now: Instant) {
        self.heartbeat_counter += 1;
        let heartbeat = Heartbeat {
            router: self.me.name.clone(),
            counter: self.heartbeat_counter,
            held: self.config_store.held(),
            newest: self.config_store.newest(),
            caller_address: self.me.caller_address,
            mesh_address: self.me.mesh_address,
            zone: self.me.zone.clone(),
            draining: self.draining,
        };
        self.members.set_own_heartbeat(heartbeat, now);
    }

    pub(super) fn pull_plan(&mut self, now: Instant) -> PullPlan {
        self.heartbeat(now);
        let mut addresses = self.known_addresses(now);
        addresses.shuffle(&mut self.rng);
        addresses.truncate(PULLS_PER_ROUND);
        let heartbeat = self.members.heartbeat(&self.me.name);
        let heartbeat = heartbeat.expect("a router's own heartbeat was just made");
        PullPlan {
            addresses,
            req: PullRequest {
                heartbeat: heartbeat.clone(),
                held: self.config_store.held(),
            },
        }
    }

    /// Returns the addresses of live routers and the roster's members, or the
    /// seeds if no other router is known.
    fn known_addresses(&self, now: Instant) -> Vec<SocketAddr> {
        let live = self.members.live(now).map(|h| h.mesh_address);
        let roster = self.config_store.roster();
        let members = roster.members.iter().map(|member| member.mesh_address);
        let mut known = live.chain(members).collect::<BTreeSet<_>>();
        known.remove(&self.me.mesh_address);
        if known.is_empty() {
            known.extend(&self.settings.mesh_seeds);
            known.remove(&self.me.mesh_address);
        }
        known.into_iter().collect()
    }

    pub(super) fn pulled(&mut self, reply: PullReply, asked: Instant, now: Instant) {
        if let Some(update) = reply.update {
            self.apply_update(update, now);
        }
        self.members.apply_pull(reply.answer, asked, now);
        for notice in &reply.blocked {
            self.suspects.apply_notice(notice, now);
        }
        self.check_acceptance(now);
    }

    pub(super) fn answer_pull(&mut self, req: PullRequest, now: Instant) -> PullReply {
        let lacks = req.held < self.config_store.held()
            && req.heartbeat.newest < self.config_store.newest();
        let update = lacks.then(|| self.config_store.update_since(req.held));
        self.members.apply_push(req.heartbeat, now);
        self.heartbeat(now);
        PullReply {
            answer: self.members.answer(now),
            update,
            blocked: self.suspects.blocked(now),
        }
    }
}
