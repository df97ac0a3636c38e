//! Which VMs get the roles of relay, dispatcher and planner.

use rhubarbpick::core::{
    registry::Member,
    rendezvous::{
        rank_members,
        select_relays, //
    },
    roles::Rankings,
};

/// Number of relays.
const RELAYS: usize = 3;

/// A deployment: sizes of its VMs with their numbers, and its services.
struct Deployment {
    sizes: &'static [(u32, usize)],
    services: &'static [&'static str],
}

/// The two deployments of `docs/LOAD.md`.
const H: Deployment = Deployment {
    sizes: &[(500, 6), (100, 69)],
    services: &["balance", "settle", "ledger"],
};
const K: Deployment = Deployment {
    sizes: &[(500, 6), (250, 19), (75, 56)],
    services: &["till", "yard"],
};

fn member(name: String, zone: usize, cpu_millis: u32) -> Member {
    Member {
        name: name.into(),
        run: 1,
        peers: "10.0.0.1:1".parse().unwrap(),
        datagrams: "10.0.0.1:2".parse().unwrap(),
        zone: ["a", "b", "c"][zone % 3].into(),
        cpu_millis,
    }
}

/// The members of a deployment; `seed` changes their names and so the hashes.
fn members(deployment: &Deployment, seed: usize) -> Vec<Member> {
    let sizes = deployment.sizes.iter();
    let sizes = sizes.flat_map(|&(size, count)| std::iter::repeat_n(size, count));
    let mut members: Vec<Member> = sizes
        .enumerate()
        .map(|(index, size)| member(format!("vm-{seed}-{index}"), index, size))
        .collect();
    members.sort_by(|one, other| one.name.cmp(&other.name));
    members
}

/// Returns the members with a role: the relays, then one for each service.
fn roles<'a>(members: &'a [Member], services: &[&str]) -> Vec<&'a Member> {
    let mut chosen = select_relays(members, RELAYS, |_| true);
    let rankings = Rankings::new(members, services.iter().copied(), RELAYS);
    chosen.extend(
        services
            .iter()
            .map(|service| rankings.rank(members, service)[0]),
    );
    chosen
}

fn without(members: &[Member], name: &str) -> Vec<Member> {
    let others = members.iter().filter(|member| *member.name != *name);
    others.cloned().collect()
}

/// Returns the number of roles that another member has after a change.
fn moved(before: &[&Member], after: &[&Member]) -> usize {
    let relays = |roles: &[&Member]| {
        let mut names: Vec<Box<str>> = roles[..RELAYS].iter().map(|m| m.name.clone()).collect();
        names.sort_unstable();
        names
    };
    let (old, new) = (relays(before), relays(after));
    let moved_relays = new.iter().filter(|name| !old.contains(name)).count();
    let services = before[RELAYS..].iter().zip(&after[RELAYS..]);
    moved_relays + services.filter(|(old, new)| old.name != new.name).count()
}

#[test]
fn largest_vms_have_one_role_each() {
    // Guards against medium VMs that plan a service while large ones have no role, and against
    // large VMs with two roles.
    for deployment in [H, K] {
        for seed in 0..200 {
            let members = members(&deployment, seed);
            let roles = roles(&members, deployment.services);
            let mut names: Vec<&str> = roles.iter().map(|member| &*member.name).collect();
            names.sort_unstable();
            names.dedup();
            assert_eq!(names.len(), RELAYS + deployment.services.len());
            assert!(
                roles.iter().all(|member| member.cpu_millis == 500),
                "{roles:?}"
            );
        }
    }
}

#[test]
fn roles_go_to_large_vms_when_one_is_lost() {
    // Guards against a small VM that takes over a role while a large one can have a second one.
    for (deployment, least) in [(H, 500), (K, 250)] {
        for seed in 0..50 {
            let all = members(&deployment, seed);
            for first in roles(&all, deployment.services) {
                let rest = without(&all, &first.name);
                for second in roles(&rest, deployment.services) {
                    let rest = without(&rest, &second.name);
                    let roles = roles(&rest, deployment.services);
                    assert!(roles.iter().all(|member| member.cpu_millis >= least));
                }
            }
        }
    }
}

#[test]
fn services_of_a_vm_that_does_not_respond_go_to_large_vms_without_a_role() {
    // Guards against a second role for a VM while another one of its size has none.
    let members = members(&K, 1);
    let rankings = Rankings::new(&members, K.services.iter().copied(), RELAYS);
    let with_role = roles(&members, K.services);
    for service in K.services {
        let next = rankings.rank(&members, service)[1];
        assert_eq!(next.cpu_millis, 500);
        assert!(with_role.iter().all(|member| member.name != next.name));
    }
    assert_eq!(rankings.rank(&members, "till").len(), members.len());
}

#[test]
fn few_roles_move_when_a_member_comes_or_goes() {
    // Guards against an assignment that is computed anew for all roles at each change, which
    // costs callers a takeover of each of them.
    for deployment in [H, K] {
        let services = deployment.services;
        let (mut changes, mut moves) = (0, 0);
        for seed in 0..100 {
            let all = members(&deployment, seed);
            let before = roles(&all, services);
            for lost in &all {
                let had_role = before.iter().any(|member| member.name == lost.name);
                let rest = without(&all, &lost.name);
                let after = roles(&rest, services);
                let count = moved(&before, &after);
                if !had_role {
                    assert_eq!(count, 0, "{} had no role", lost.name);
                    continue;
                }
                assert!(count <= 4, "{count} roles moved");
                changes += 1;
                moves += count;
            }
        }
        println!("{moves} roles moved in {changes} changes");
        assert!(
            moves <= changes * 2,
            "{moves} roles moved in {changes} changes"
        );
    }
}

#[test]
fn order_of_the_members_does_not_matter() {
    // Guards against VMs that disagree because they have learned of members in another order.
    for deployment in [H, K] {
        let members = members(&deployment, 3);
        let mut reversed = members.clone();
        reversed.reverse();
        let names = |members: &[Member], services: &[&str]| -> Vec<Box<str>> {
            let roles = roles(members, services);
            roles.iter().map(|member| member.name.clone()).collect()
        };
        let expected = names(&members, deployment.services);
        assert_eq!(names(&reversed, deployment.services), expected);
    }
}

#[test]
fn nothing_changes_where_all_vms_have_the_same_size() {
    // Guards against roles that move in existing deployments.
    let deployment = Deployment {
        sizes: &[(200, 24)],
        services: &["one", "two", "three"],
    };
    let members = members(&deployment, 0);
    let rankings = Rankings::new(&members, deployment.services.iter().copied(), RELAYS);
    for service in deployment.services {
        let expected = rank_members(&members, service);
        assert_eq!(rankings.rank(&members, service), expected);
    }
}

#[test]
fn relays_are_large_before_they_are_in_different_zones() {
    // Guards against a relay on the smallest VM because the large ones share two zones.
    let mut members: Vec<Member> = (0..6)
        .map(|index| member(format!("vm-{index}"), index % 2, 500))
        .collect();
    members.extend((6..30).map(|index| member(format!("vm-{index}"), 2, 75)));
    let relays = select_relays(&members, RELAYS, |_| true);
    assert!(relays.iter().all(|relay| relay.cpu_millis == 500));
    assert_ne!(relays[0].zone, relays[1].zone);
    let small = select_relays(&members, RELAYS, |member| member.cpu_millis < 500);
    assert_eq!(
        small.len(),
        RELAYS,
        "small VMs take over when no other responds"
    );
}
