//! The routers that vote on changes.
//!
//! While a roster changes, a quorum needs a majority of the old and of the new
//! members, so that any number of VMs can be replaced in one step.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use briarhall_types::RouterName;
use briarhall_types::ZoneName;
use serde::Deserialize;
use serde::Serialize;

/// One router on the roster. A restarted process is a new member.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Member {
    /// Name, unique for each incarnation.
    pub name: RouterName,
    /// Address for other routers.
    pub mesh_address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
}

/// The routers that vote on changes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roster {
    /// The members, by name.
    pub members: Vec<Member>,
    /// The previous members while a change is in progress; empty otherwise.
    #[serde(default)]
    pub previous: Vec<Member>,
    /// Members known to have ended, because another process uses their address.
    /// They can no longer admit requests.
    #[serde(default)]
    pub ended: Vec<RouterName>,
}

impl Roster {
    /// Returns whether a change of members is in progress.
    #[must_use]
    pub fn is_changing(&self) -> bool {
        !self.previous.is_empty()
    }

    /// Returns whether a router is a member.
    #[must_use]
    pub fn contains(&self, name: &str) -> bool {
        self.members.iter().any(|member| member.name == name)
    }

    /// Returns whether the routers for which `counts` returns true are a quorum:
    /// a majority of the members and, during a change, of the previous members.
    pub fn is_quorum<F>(&self, counts: F) -> bool
    where
        F: Fn(&RouterName) -> bool,
    {
        is_majority(&self.members, &counts)
            && (self.previous.is_empty() || is_majority(&self.previous, &counts))
    }

    /// Returns whether a change is accepted that the routers for which `holds`
    /// returns true hold. Among the members and among the previous members,
    /// either a majority or all that have not ended must hold it.
    pub fn accepts<F>(&self, holds: F) -> bool
    where
        F: Fn(&RouterName) -> bool,
    {
        let enough_hold = |members: &[Member]| {
            is_majority(members, &holds) || self.all_running_hold(members, &holds)
        };
        // The roster is empty on a router that has not read it yet. Such a router
        // must not treat a change as accepted.
        !self.members.is_empty()
            && enough_hold(&self.members)
            && (self.previous.is_empty() || enough_hold(&self.previous))
    }

    fn all_running_hold<F>(&self, members: &[Member], holds: &F) -> bool
    where
        F: Fn(&RouterName) -> bool,
    {
        let mut running = members.iter().filter(|m| !self.ended.contains(&m.name));
        running.all(|member| holds(&member.name))
    }

    /// Returns the roster after `joining` are added and `leaving` removed, or
    /// `None` if the members stay the same.
    ///
    /// While a change is in progress, the previous members stay unchanged: they
    /// are the part that the old roster and every new roster have in common.
    #[must_use]
    pub fn change(&self, joining: &[Member], leaving: &BTreeSet<RouterName>) -> Option<Self> {
        let replaced = |member: &Member| {
            let takes_over =
                |j: &Member| j.mesh_address == member.mesh_address && j.name != member.name;
            joining.iter().any(takes_over)
        };
        let stays = |member: &&Member| !leaving.contains(&member.name) && !replaced(member);
        let staying = self.members.iter().filter(stays);
        let is_new = |member: &&Member| !self.contains(&member.name);
        let new = joining.iter().filter(is_new);
        let mut members = staying.chain(new).cloned().collect::<Vec<_>>();
        members.sort();
        members.dedup();
        if members == self.members {
            return None;
        }
        let previous = if self.is_changing() {
            self.previous.clone()
        } else {
            self.members.clone()
        };
        let ended = previous.iter().filter(|member| replaced(member));
        let mut ended = ended.map(|member| member.name.clone()).collect::<Vec<_>>();
        ended.extend(self.ended.iter().cloned());
        ended.sort();
        ended.dedup();
        Some(Self {
            members,
            previous,
            ended,
        })
    }

    /// Returns the roster without the previous members, to be written once the
    /// change is accepted.
    #[must_use]
    pub fn without_previous(&self) -> Self {
        Self {
            members: self.members.clone(),
            previous: Vec::new(),
            ended: Vec::new(),
        }
    }
}

fn is_majority<F>(members: &[Member], counts: &F) -> bool
where
    F: Fn(&RouterName) -> bool,
{
    let counted = members.iter().filter(|member| counts(&member.name));
    counted.count() * 2 > members.len()
}
