//! Assignment of servers to entries, and selection of the configuration watchers.

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

/// Guards against servers with no links or far too many links, and against links to other zones although the entry's own
/// zone has enough servers.
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

/// Guards against an entry without links when its zone has no servers, and against uncovered servers when there are few
/// entries.
#[test]
fn subset_grows_when_the_zone_has_no_servers_or_entries_are_few() {
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

/// Guards against the loss of one server that moves many links.
#[test]
fn loss_of_one_server_moves_few_links() {
    let (entry_names, server_names) = (names("entry", 40), names("server", 120));
    let (entries, servers) = (members(&entry_names), members(&server_names));
    let size = SubsetSize {
        servers_per_entry: 12,
        entries_per_server: 2,
    };
    let before = assign(&entries, &servers, size);
    let mut worst = 0;
    for index in 0..20 {
        let mut remaining = servers.clone();
        remaining.remove(index * 5);
        let after = assign(&entries, &remaining, size);
        let added = |entry: &&str| after[*entry].difference(&before[*entry]).count();
        worst = worst.max(before.keys().map(added).sum());
    }
    assert!(worst <= 48, "{worst} of 480 links moved");
}

/// Guards against zones without watchers, and against watchers that change when another member leaves.
#[test]
fn each_zone_has_stable_watchers() {
    let names = names("process", 40);
    let all = members(&names);
    let before = watchers(&all, 3);
    assert_eq!(before.len(), 12);
    let non_watcher = all
        .iter()
        .position(|member| !before.contains(member.process_id))
        .unwrap();
    let mut remaining = all.clone();
    remaining.remove(non_watcher);
    assert_eq!(watchers(&remaining, 3), before);
    let watcher = remaining
        .iter()
        .position(|member| before.contains(member.process_id))
        .unwrap();
    let lost = remaining.remove(watcher);
    let after = watchers(&remaining, 3);
    assert_eq!(
        before.difference(&after).collect::<Vec<_>>(),
        [&lost.process_id]
    );
    assert_eq!(after.len(), 12);
}
