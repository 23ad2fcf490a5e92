//! Configuration held, and when a change is accepted.

use std::time::Instant;

use briarhall_policy::config_store::Update;
use briarhall_policy::members::FRESH_FOR;
use briarhall_policy::members::SyncState;
use briarhall_types::Revision;

use super::AppliedWait;
use super::Control;

/// Revisions that somebody waits for.
#[derive(Debug, Default)]
pub(super) struct Acceptance {
    waits: Vec<Waiting>,
    /// Everything up to this revision is accepted.
    accepted: Revision,
}

#[derive(Debug)]
struct Waiting {
    revision: Revision,
    quorum_since: Option<Instant>,
    wait: Option<AppliedWait>,
}

impl Acceptance {
    /// Returns the revision up to which everything is accepted.
    pub(super) fn accepted(&self) -> Revision {
        self.accepted
    }
}

impl Control {
    pub(super) fn take_update(&mut self, update: Update, now: Instant) {
        let before = self.config_store.newest();
        if !self.config_store.apply(update) {
            return;
        }
        if self.config_store.newest() != before {
            log::info!(newest = self.config_store.newest(), held = self.config_store.held(); "configuration taken up");
            self.renew_limits(now);
            self.await_acceptance(self.config_store.newest(), None);
        }
        self.heartbeat(now);
    }

    pub(super) fn wait_accepted(&mut self, wait: AppliedWait) {
        let revision = wait.revision;
        self.await_acceptance(revision, Some(wait));
    }

    fn await_acceptance(&mut self, revision: Revision, wait: Option<AppliedWait>) {
        self.acceptance.waits.push(Waiting {
            revision,
            quorum_since: None,
            wait,
        });
    }

    /// A change is accepted when a quorum has held it for as long as a router
    /// may act on old news.
    pub(super) fn check_acceptance(&mut self, now: Instant) {
        let roster = self.config_store.roster();
        let mut waits = std::mem::take(&mut self.acceptance.waits);
        for waiting in &mut waits {
            let holds = self.members.quorum_holds(&roster, waiting.revision);
            if holds && waiting.quorum_since.is_none() {
                waiting.quorum_since = Some(now);
            }
        }
        for waiting in waits {
            let accepted = waiting.quorum_since.is_some_and(|at| now >= at + FRESH_FOR);
            if !accepted {
                self.acceptance.waits.push(waiting);
                continue;
            }
            self.acceptance.accepted = self.acceptance.accepted.max(waiting.revision);
            if let Some(wait) = waiting.wait {
                wait.reply.send(());
            }
        }
    }

    pub(super) fn sync_state(&self, now: Instant) -> SyncState {
        self.members
            .sync_state(&self.config_store.roster(), self.config_store.held(), now)
    }
}
