//! The routers whose agreement counts.
//!
//! While a roster changes, agreement counts in the old and the new one, so that
//! any number of VMs can be replaced in one step.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use briarhall_types::RouterName;
use briarhall_types::ZoneName;
use serde::Deserialize;
use serde::Serialize;

/// One router on the roster. A restarted process is another member.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Member {
    /// Name, unique for each incarnation.
    pub name: RouterName,
    /// Where routers reach it.
    pub mesh_address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
}

/// The routers whose agreement counts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roster {
    /// The members, by name.
    pub members: Vec<Member>,
    /// The members before, while a change is under way.
    #[serde(default)]
    pub previous: Vec<Member>,
    /// Members known for certain to have ended: another process has taken
    /// their address. They can admit nothing any more.
    #[serde(default)]
    pub ended: Vec<RouterName>,
}

impl Roster {
    /// Returns whether a change of members is under way.
    #[must_use]
    pub fn is_changing(&self) -> bool {
        !self.previous.is_empty()
    }

    /// Returns whether a router is a member.
    #[must_use]
    pub fn contains(&self, name: &str) -> bool {
        self.members.iter().any(|member| member.name == name)
    }

    /// Returns whether the routers for which `counts` holds are enough for a
    /// router to act on what they say.
    pub fn is_quorum<F>(&self, counts: F) -> bool
    where
        F: Fn(&RouterName) -> bool,
    {
        is_majority(&self.members, &counts)
            && (self.previous.is_empty() || is_majority(&self.previous, &counts))
    }

    /// Returns whether a change that the routers for which `holds` is true
    /// hold is accepted: each side has a majority, or nobody is left on it who
    /// could lack the change.
    pub fn accepts<F>(&self, holds: F) -> bool
    where
        F: Fn(&RouterName) -> bool,
    {
        let side =
            |members: &[Member]| is_majority(members, &holds) || self.all_left(members, &holds);
        // A router that has not read the roster yet must not take its own word
        // for everyone's.
        !self.members.is_empty()
            && side(&self.members)
            && (self.previous.is_empty() || side(&self.previous))
    }

    fn all_left<F>(&self, members: &[Member], holds: &F) -> bool
    where
        F: Fn(&RouterName) -> bool,
    {
        let mut left = members.iter().filter(|m| !self.ended.contains(&m.name));
        left.all(|member| holds(&member.name))
    }

    /// Returns the roster that replaces this one when `joining` come and
    /// `leaving` go, or nothing when that changes nothing.
    ///
    /// While a change is under way the previous members stay as they are: they
    /// are what the old and every new roster have in common.
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

    /// Returns the roster without the previous members, once the change is
    /// accepted.
    #[must_use]
    pub fn settled(&self) -> Self {
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
