//! Assignment of the services to the VMs that dispatch for them or plan them.
//!
//! One VM grants all permits of a service, so the largest VMs have to do it, and none of them
//! for two services, or as a relay besides, while another one has no role. Designed for up to 81
//! VMs, of which 6 have 0.5 cores and the others 0.25 to 0.075, and services with up to 1,329
//! requests per second.
//!
//! All VMs compute the same assignment from the members and the names of the services. Relays
//! are selected first ([`rendezvous::select_relays`]), as they are needed before a configuration
//! is known. Then the pairs of a service and a VM are taken in the order of size and hash; a pair
//! counts if neither its service nor its VM has been assigned. Only when every VM of sufficient
//! size has a role do they get a second one. A member without a role that joins or leaves changes
//! nothing, unless it takes a role over; other changes move the roles of one VM and, at times,
//! one or two others.
//!
//! Where all VMs have the same size, the ranking is that of [`rendezvous::rank_members`].

use crate::core::{
    registry::Member,
    rendezvous, //
};
use std::cmp::Reverse;

/// Rankings of the members for each service.
#[derive(Clone, Debug, Default)]
pub struct Rankings {
    /// Services, sorted by name, with the positions of the members, the preferred one first.
    by_service: Vec<(Box<str>, Vec<usize>)>,
}

impl Rankings {
    /// Ranks `members` for each of `services`, with `relay_count` of them being relays.
    pub fn new<'a>(
        members: &[Member],
        services: impl IntoIterator<Item = &'a str>,
        relay_count: usize,
    ) -> Self {
        let mut services: Vec<&str> = services.into_iter().collect();
        services.sort_unstable();
        services.dedup();
        let is_uniform = members
            .windows(2)
            .all(|pair| pair[0].cpu_millis == pair[1].cpu_millis);
        if is_uniform {
            // `rank` computes the ranking.
            return Self::default();
        }
        let loads = assign(members, &services, relay_count);
        let by_service = services.iter().zip(&loads.assignees);
        let by_service = by_service.map(|(&service, &assignee)| {
            let mut order: Vec<usize> = (0..members.len()).collect();
            order.sort_by_cached_key(|&index| {
                let member = &members[index];
                (
                    assignee != Some(index),
                    rendezvous::is_small(members, member),
                    loads.roles[index],
                    Reverse(member.cpu_millis),
                    rendezvous::hash(member, service),
                )
            });
            (service.into(), order)
        });
        Self {
            by_service: by_service.collect(),
        }
    }

    /// Returns `members`, for which the rankings were computed, in the order in which they take
    /// over the work for a service.
    pub fn rank<'a>(&self, members: &'a [Member], service: &str) -> Vec<&'a Member> {
        let place = self
            .by_service
            .binary_search_by(|(name, _)| (**name).cmp(service));
        match place {
            Ok(index) => {
                let order = &self.by_service[index].1;
                order
                    .iter()
                    .filter_map(|&index| members.get(index))
                    .collect()
            }
            Err(_) => rendezvous::rank_members(members, service),
        }
    }
}

/// Roles of the members, by their positions.
struct Assignment {
    /// Member assigned to each service.
    assignees: Vec<Option<usize>>,
    /// Number of roles of each member.
    roles: Vec<usize>,
}

fn assign(members: &[Member], services: &[&str], relay_count: usize) -> Assignment {
    let relays = rendezvous::select_relays(members, relay_count, |_| true);
    let is_relay = |member: &Member| relays.iter().any(|relay| relay.name == member.name);
    let mut assignment = Assignment {
        assignees: vec![None; services.len()],
        roles: members
            .iter()
            .map(|member| usize::from(is_relay(member)))
            .collect(),
    };
    let is_large = |index: &usize| !rendezvous::is_small(members, &members[*index]);
    let mut pairs: Vec<(usize, usize)> = (0..members.len())
        .filter(is_large)
        .flat_map(|member| (0..services.len()).map(move |service| (service, member)))
        .collect();
    pairs.sort_by_cached_key(|&(service, member)| {
        let (service, member) = (services[service], &members[member]);
        (
            Reverse(member.cpu_millis),
            rendezvous::hash(member, service),
        )
    });
    let mut max_roles = 1;
    while !pairs.is_empty() {
        for &(service, member) in &pairs {
            if assignment.assignees[service].is_none() && assignment.roles[member] < max_roles {
                assignment.assignees[service] = Some(member);
                assignment.roles[member] += 1;
            }
        }
        pairs.retain(|&(service, _)| assignment.assignees[service].is_none());
        max_roles += 1;
    }
    assignment
}
