//! Subsets of pools and watchers of the configuration.

use std::collections::BTreeMap;

use tanagerford_core::subset::{Participant, SubsetSize, assign, watchers};

const ZONES: [&str; 4] = ["a", "b", "c", "d"];

fn names(kind: &str, count: usize) -> Vec<String> {
    (0..count).map(|index| format!("{kind}-{index}")).collect()
}

fn members(names: &[String]) -> Vec<Participant<'_>> {
    names
        .iter()
        .enumerate()
        .map(|(index, process_id)| Participant {
            process_id,
            availability_zone: ZONES[index % ZONES.len()],
        })
        .collect()
}

fn links_per_server<'a>(
    subsets: &BTreeMap<&str, std::collections::BTreeSet<&'a str>>,
) -> BTreeMap<&'a str, usize> {
    let mut links = BTreeMap::new();
    for server in subsets.values().flatten() {
        *links.entry(*server).or_default() += 1;
    }
    links
}

/// Guards against servers that no entry or far too many entries link to, and against links into other zones while the
/// own zone has enough servers.
#[test]
fn servers_are_covered_evenly_in_their_zone() {
    let (entry_names, server_names) = (names("entry", 40), names("server", 120));
    let size = SubsetSize {
        servers_per_entry: 12,
        entries_per_server: 2,
    };
    let subsets = assign(&members(&entry_names), &members(&server_names), size);
    let links = links_per_server(&subsets);
    assert_eq!(links.len(), 120);
    let (fewest, most) = (links.values().min().unwrap(), links.values().max().unwrap());
    assert!(
        *fewest >= 2 && *most <= 5,
        "links per server range from {fewest} to {most}"
    );
    for (entry, subset) in &subsets {
        let zone = |name: &str| name.rsplit('-').next().unwrap().parse::<usize>().unwrap() % 4;
        assert!(
            subset.iter().all(|server| zone(server) == zone(entry)),
            "{entry} links into another zone"
        );
    }
}

/// Guards against an entry without servers when its zone has none, and against too narrow subsets when there are few
/// entries.
#[test]
fn a_subset_widens_when_servers_or_entries_are_short() {
    let (entry_names, server_names) = (names("entry", 3), names("server", 30));
    let servers = members(&server_names);
    let far: Vec<Participant> = servers
        .iter()
        .filter(|server| server.availability_zone == "d")
        .copied()
        .collect();
    let subsets = assign(&members(&entry_names), &far, SubsetSize::default());
    assert!(subsets.values().all(|subset| subset.len() == far.len()));
    let narrow = SubsetSize {
        servers_per_entry: 2,
        entries_per_server: 2,
    };
    let links = links_per_server(&assign(&members(&entry_names), &servers, narrow));
    assert!(servers.iter().all(|server| links[server.process_id] >= 2));
}

/// Guards against a change of one server that moves links all over the fleet.
#[test]
fn one_lost_server_moves_few_links() {
    let (entry_names, server_names) = (names("entry", 40), names("server", 120));
    let (entries, servers) = (members(&entry_names), members(&server_names));
    let size = SubsetSize {
        servers_per_entry: 12,
        entries_per_server: 2,
    };
    let before = assign(&entries, &servers, size);
    let mut worst = 0;
    for lost in 0..20 {
        let mut left = servers.clone();
        left.remove(lost * 5);
        let after = assign(&entries, &left, size);
        let added = |entry: &&str| after[*entry].difference(&before[*entry]).count();
        worst = worst.max(before.keys().map(added).sum());
    }
    assert!(worst <= 48, "{worst} of 480 links moved");
}

/// Guards against watchers that are missing in a zone or change without need.
#[test]
fn each_zone_has_stable_watchers() {
    let names = names("process", 40);
    let all = members(&names);
    let before = watchers(&all, 3);
    assert_eq!(before.len(), 12);
    let unneeded = all
        .iter()
        .position(|member| !before.contains(member.process_id))
        .unwrap();
    let mut left = all.clone();
    left.remove(unneeded);
    assert_eq!(watchers(&left, 3), before);
    let needed = left
        .iter()
        .position(|member| before.contains(member.process_id))
        .unwrap();
    let lost = left.remove(needed);
    let after = watchers(&left, 3);
    assert_eq!(
        before.difference(&after).collect::<Vec<_>>(),
        [&lost.process_id]
    );
    assert_eq!(after.len(), 12);
}
