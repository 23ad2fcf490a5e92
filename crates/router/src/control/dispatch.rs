//! Dispatches messages to the control state, one at a time.

use std::time::Instant;

use async_channel::Receiver;
use briarhall_types::EndpointKind;

use super::Control;
use super::Msg;
use super::Wakeup;

impl Control {
    /// Handles messages until all senders are dropped.
    pub async fn run(mut self, rx: Receiver<Msg>) {
        while let Ok(msg) = rx.recv().await {
            self.handle(msg, Instant::now());
        }
    }

    fn handle(&mut self, msg: Msg, now: Instant) {
        match msg {
            Msg::Admit(call, reply) => reply.send(self.admit(&call, now)),
            Msg::RequestEnded(request_key) => self.request_ended(request_key),
            Msg::Route(call, reply) => reply.send(self.route(&call, now)),
            Msg::Gang(call, reply) => reply.send(self.gang(&call, now)),
            Msg::LargestSingle(model, reply) => reply.send(self.fleet.largest_single(&model)),
            Msg::FirstToken(attempt) => self.fleet.first_token(attempt),
            Msg::AttemptEnded(attempt, end) => self.attempt_ended(attempt, end, now),
            Msg::Claim(claim, until, reply) => self.claim(claim, until, reply),
            Msg::ClaimWriter(key, reply) => reply.send(self.claim_writer(&key, now)),
            Msg::ClaimStarted(claim) => self.results.started(claim),
            Msg::ClaimEnded(claim, result) => self.results.ended(claim, &result),
            Msg::ClaimResult(claim, reply) => self.results.wait(&claim, reply),
            Msg::Customer(key, reply) => {
                let contract = self.config_store.by_key(&key);
                reply.send(contract.map(|c| c.contract.customer.clone()));
            }
            Msg::Addresses(customer, reply) => reply.send(self.addresses(&customer, now)),
            Msg::ApplyNotices(notices) => {
                for notice in &notices {
                    self.suspects.apply_notice(notice, now);
                }
            }
            Msg::TakeNotices(reply) => {
                let others = self.members.live(now).filter(|h| h.router != self.me.name);
                let addresses = others.map(|h| h.mesh_address).collect();
                reply.send((addresses, std::mem::take(&mut self.notices)));
            }
            Msg::ChainStep(range, reply) => reply.send(self.chain_step(range, now)),
            Msg::ChainEvent(range, event) => self.chain_event(range, event, now),
            Msg::ChainTrim(reply) => reply.send(self.trim_chains(now)),
            Msg::MeshAddress(router, reply) => {
                let heartbeat = self.members.heartbeat(&router);
                reply.send(heartbeat.map(|h| h.mesh_address));
            }
            Msg::Update(update) => self.apply_update(*update, now),
            Msg::Confirmed(update, asked) => {
                let up_to = update.up_to;
                self.apply_update(*update, now);
                if self.config_store.held() >= up_to {
                    self.members.record_confirmation(asked);
                }
            }
            Msg::Contract(customer, reply) => {
                let contract = self.config_store.contract(&customer);
                reply.send(contract.map(|c| (c.version, c.contract)));
            }
            Msg::WaitAccepted(wait) => self.wait_accepted(wait),
            Msg::PullPlan(reply) => reply.send(self.pull_plan(now)),
            Msg::Pulled(answer, asked) => self.pulled(*answer, asked, now),
            Msg::Pull(req, reply) => reply.send(self.answer_pull(*req, now)),
            Msg::ConfirmPlan(reply) => reply.send(self.confirm_plan(now)),
            Msg::RosterPlan(reply) => reply.send(self.roster_plan(now)),
            Msg::Listed(records) => {
                let endpoints = records
                    .into_iter()
                    .filter(|record| record.kind != EndpointKind::Router);
                self.fleet.set_endpoints(endpoints.collect());
            }
            Msg::Engines(reply) => {
                let engines = self.fleet.engines();
                reply.send(engines.map(|r| (r.name.clone(), r.address)).collect());
            }
            Msg::Load(name, report) => self.fleet.report(&name, report, now),
            Msg::SharePlans(reply) => reply.send(self.share_plans(now)),
            Msg::Share(req, reply) => reply.send(self.share(&req, now)),
            Msg::Granted(grants, asked) => self.granted(&grants, asked, now),
            Msg::Status(reply) => reply.send(self.status(now)),
            Msg::Drain => {
                self.draining = true;
                self.heartbeat(now);
            }
            Msg::CloseIfIdle(reply) => reply.send(self.close_if_idle()),
            Msg::Tick => self.tick(now),
        }
    }

    fn tick(&mut self, now: Instant) {
        self.expire_claims(now);
        self.check_acceptance(now);
        self.suspects.remove_expired(now);
        self.share_allocator.remove_silent(now);
        self.metrics.gauge("in_flight", self.requests.len() as u64);
    }

    pub(super) fn wake(&self, wakeup: Wakeup) {
        // The channel is unbounded and its receiver lives as long as `self`.
        let _ending = self.wakeups.try_send(wakeup);
    }
}
