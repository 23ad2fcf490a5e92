//! Applies configuration updates and decides when a change is accepted.

use std::time::Instant;

use briarhall_policy::config_store::Update;
use briarhall_policy::members::FRESH_FOR;
use briarhall_policy::members::SyncState;
use briarhall_types::Revision;

use super::AcceptanceWait;
use super::Control;

/// Revisions that are not accepted yet, and the newest accepted one.
#[derive(Debug, Default)]
pub(super) struct Acceptance {
    pending: Vec<PendingRevision>,
    /// Everything up to this revision is accepted.
    accepted: Revision,
}

#[derive(Debug)]
struct PendingRevision {
    revision: Revision,
    quorum_since: Option<Instant>,
    wait: Option<AcceptanceWait>,
}

impl Acceptance {
    /// Returns the revision up to which everything is accepted.
    pub(super) fn accepted(&self) -> Revision {
        self.accepted
    }
}

impl Control {
    pub(super) fn apply_update(&mut self, update: Update, now: Instant) {
        let before = self.config_store.newest();
        if !self.config_store.apply(update) {
            return;
        }
        if self.config_store.newest() != before {
            log::info!(newest = self.config_store.newest(), held = self.config_store.held(); "configuration updated");
            self.renew_limits(now);
            self.await_acceptance(self.config_store.newest(), None);
        }
        self.heartbeat(now);
    }

    pub(super) fn wait_accepted(&mut self, wait: AcceptanceWait) {
        let revision = wait.revision;
        self.await_acceptance(revision, Some(wait));
    }

    fn await_acceptance(&mut self, revision: Revision, wait: Option<AcceptanceWait>) {
        self.acceptance.pending.push(PendingRevision {
            revision,
            quorum_since: None,
            wait,
        });
    }

    /// Accepts a revision when a quorum has held it for [`FRESH_FOR`], the
    /// longest time that a router may act on older state.
    pub(super) fn check_acceptance(&mut self, now: Instant) {
        let roster = self.config_store.roster();
        let mut pending = std::mem::take(&mut self.acceptance.pending);
        for entry in &mut pending {
            let holds = self.members.quorum_holds(&roster, entry.revision);
            if holds && entry.quorum_since.is_none() {
                entry.quorum_since = Some(now);
            }
        }
        for entry in pending {
            let accepted = entry.quorum_since.is_some_and(|at| now >= at + FRESH_FOR);
            if !accepted {
                self.acceptance.pending.push(entry);
                continue;
            }
            self.acceptance.accepted = self.acceptance.accepted.max(entry.revision);
            if let Some(wait) = entry.wait {
                wait.reply.send(());
            }
        }
    }

    pub(super) fn sync_state(&self, now: Instant) -> SyncState {
        self.members
            .sync_state(&self.config_store.roster(), self.config_store.held(), now)
    }
}
