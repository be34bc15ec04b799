//! Assignment of cells to nodes. Each test names the failure that it guards against.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use tanager_jobs::FleetConfig;
use tanager_jobs::PoolConfig;
use tanager_jobs::ResourceAmount;
use tanager_jobs::record::decode_record;
use tanager_jobs::record::encode_record;
use tanager_service::membership::NODE_DEATH_TIMEOUT;
use tanager_service::membership::choose_cell_to_release;
use tanager_service::membership::choose_cells_to_acquire;
use tanager_service::records::CellWorkersRecord;
use tanager_service::records::LedgerWorker;
use tanager_service::records::NodeRecord;
use tanager_service::records::OwnerRecord;
use tanager_service::records::PoolRecord;
use tanager_service::records::former_capacities;
use tanager_service::records::new_incarnation;
use tanager_service::records::start_of;
use tanager_service::table_watch::ReadSituation;
use tanager_service::table_watch::worker_period;
use tanager_service::view::FleetView;
use tanager_service::view::assign_racks;

const POOLS: [&str; 4] = ["alpha", "beta", "gamma", "delta"];

fn node(incarnation: u64, cores: f64) -> NodeRecord {
    NodeRecord {
        incarnation,
        peer: SocketAddr::from(([127, 0, 0, 1], 1)),
        heartbeat: 1,
        leaving: false,
        cores,
    }
}

fn view(nodes: &[(&str, f64)]) -> FleetView {
    let mut view = view_of_pools();
    let rows = (nodes.iter().enumerate())
        .map(|(number, (name, cores))| {
            let version = 1 + number as u64;
            ((*name).to_owned(), Some(node(10, *cores)), version)
        })
        .collect();
    view.apply_node_rows(rows, true, true, Duration::ZERO);
    view
}

/// Returns a view in which no node has been read.
fn view_of_pools() -> FleetView {
    let mut view = FleetView::default();
    let pools: BTreeMap<String, PoolConfig> = (POOLS.iter())
        .map(|name| {
            let pool = PoolConfig {
                name: (*name).to_owned(),
                enforces_capacity: true,
                spare: false,
            };
            ((*name).to_owned(), pool)
        })
        .collect();
    view.apply_config(FleetConfig {
        version: 1,
        pools,
        ..FleetConfig::default()
    });
    for name in POOLS {
        let record = PoolRecord {
            cells: 1,
            ..PoolRecord::default()
        };
        view.pools.insert(name.to_owned(), (record, 1));
    }
    view
}

fn set_owner(view: &mut FleetView, cell: &str, node: &str, incarnation: u64) {
    let record = OwnerRecord {
        node: node.to_owned(),
        incarnation,
        ..OwnerRecord::default()
    };
    let version = 100 + view.owners.len() as u64;
    view.apply_owner(cell, record, version);
}

fn names(cells: &[&str]) -> BTreeSet<String> {
    cells.iter().map(|cell| (*cell).to_owned()).collect()
}

fn cells_chosen_by(view: &mut FleetView, own_node: &str, owned_cells: &[&str]) -> BTreeSet<String> {
    choose_cells_to_acquire(view, own_node, &names(owned_cells), true, Duration::ZERO)
        .into_iter()
        .collect()
}

fn cells_chosen_at(view: &mut FleetView, own_node: &str, now: Duration) -> BTreeSet<String> {
    choose_cells_to_acquire(view, own_node, &BTreeSet::new(), true, now)
        .into_iter()
        .collect()
}

const ALL: [&str; 5] = ["duty", "alpha/0", "beta/0", "gamma/0", "delta/0"];

/// Guards against cells that two nodes try to acquire, or none.
#[test]
fn every_cell_has_exactly_one_first_candidate() {
    let nodes = [("a", 0.25), ("b", 0.25), ("c", 0.25)];
    let mut chosen = Vec::new();
    for (name, _) in nodes {
        chosen.extend(cells_chosen_by(&mut view(&nodes), name, &[]));
    }
    chosen.sort();
    let mut all: Vec<String> = names(&ALL).into_iter().collect();
    all.sort();
    assert_eq!(chosen, all);
}

/// Guards against weak nodes that own cells while stronger ones have none.
#[test]
fn strong_nodes_acquire_more_cells() {
    let nodes = [("weak", 0.12), ("strong", 0.5)];
    let strong = cells_chosen_by(&mut view(&nodes), "strong", &[]);
    assert!(strong.len() >= 4, "{strong:?}");
}

/// Guards against a cell that no node acquires: the store carries out the acquiring write after the
/// node has abandoned it, so the row names a node that does not run the cell (lt-hallein,
/// late-answers-and-takeover: LOST).
#[test]
fn cell_whose_row_names_an_idle_node_is_acquired_again() {
    let mut view = view(&[("a", 0.25), ("b", 0.25)]);
    for cell in ALL {
        set_owner(&mut view, cell, "a", 10);
    }
    let owned_cells = ["duty", "alpha/0", "beta/0", "gamma/0"];
    assert_eq!(
        cells_chosen_by(&mut view, "a", &owned_cells),
        names(&["delta/0"])
    );
    assert!(cells_chosen_by(&mut view, "b", &[]).is_empty());
}

/// Guards against cells that have no owner for seconds after a restart of their owner.
#[test]
fn restarted_node_reacquires_its_cells_at_once() {
    let mut view = view(&[("a", 0.25), ("b", 0.25)]);
    for cell in ALL {
        set_owner(&mut view, cell, "a", 9);
    }
    let owned_cells = names(&[]);
    let cells = choose_cells_to_acquire(&mut view, "a", &owned_cells, false, Duration::ZERO);
    assert_eq!(cells.len(), ALL.len());
}

/// Guards against acquiring a cell from a live process whose node row was not read yet.
#[test]
fn owner_newer_than_its_node_row_is_live() {
    let mut view = view(&[("a", 0.25), ("b", 0.25)]);
    for cell in ALL {
        set_owner(&mut view, cell, "a", 11);
    }
    assert!(cells_chosen_by(&mut view, "b", &[]).is_empty());
}

/// Guards against an owner that takes a row that it cannot decode for its own, and against nodes that
/// try to take the cell from the unknown owner again and again.
#[test]
fn owner_row_that_cannot_be_decoded_ends_the_ownership() {
    let mut view = view(&[("a", 0.25), ("b", 0.25)]);
    for cell in ALL {
        set_owner(&mut view, cell, "a", 10);
    }
    let token = view.owners["duty"].version;
    assert!(!view.has_newer_owner("duty", token));
    view.apply_unreadable_owner("duty", 200);
    assert!(view.has_newer_owner("duty", token));
    let others = ["alpha/0", "beta/0", "gamma/0", "delta/0"];
    assert!(cells_chosen_by(&mut view, "a", &others).is_empty());
    // A row that was written before the unreadable one and is read after it.
    view.apply_owner("duty", OwnerRecord::default(), 199);
    assert!(view.has_newer_owner("duty", 199));
    view.apply_owner("duty", OwnerRecord::default(), 201);
    assert!(!view.has_newer_owner("duty", 201));
    let chosen = [("a", &others[..]), ("b", &[][..])]
        .map(|(node, owned)| cells_chosen_by(&mut view, node, owned).contains("duty"));
    assert!(chosen.contains(&true));
}

fn released_by(view: &FleetView, own_node: &str, owned_cells: &[&str]) -> Option<String> {
    choose_cell_to_release(view, own_node, &names(owned_cells), Duration::ZERO)
        .map(|(cell, _)| cell)
}

/// Guards against a cell that stays on a weak node, which acquired it while stronger ones were silent
/// (fmra-atlas-grown: SHORT).
#[test]
fn weak_owner_releases_its_cell_to_a_strong_node() {
    let mut view = view(&[("weak", 0.12), ("strong", 0.5), ("other", 0.5)]);
    for cell in ALL {
        set_owner(&mut view, cell, "strong", 10);
    }
    let row = OwnerRecord {
        node: "weak".to_owned(),
        incarnation: 10,
        ..OwnerRecord::default()
    };
    view.apply_owner("beta/0", row, 900);
    let chosen = choose_cell_to_release(&view, "weak", &names(&["beta/0"]), Duration::ZERO);
    assert_eq!(chosen, Some(("beta/0".to_owned(), "other".to_owned())));
}

/// Guards against a cell that is released to a node that may be dead, while another cell has no owner, or on
/// the grounds of rows that were read long ago.
#[test]
fn cell_is_released_only_to_a_node_that_lives() {
    let mut view = view(&[("weak", 0.12), ("strong", 0.5)]);
    for cell in ALL {
        set_owner(&mut view, cell, "weak", 10);
    }
    assert!(released_by(&view, "weak", &ALL).is_some());
    let later = Duration::from_secs(2);
    assert!(choose_cell_to_release(&view, "weak", &names(&ALL), later).is_none());
    for millis in [1_000, 2_000] {
        let rows = vec![("weak".to_owned(), Some(node(10, 0.12)), 50 + millis)];
        view.apply_node_rows(rows, false, true, Duration::from_millis(millis));
    }
    assert!(choose_cell_to_release(&view, "weak", &names(&ALL), later).is_none());
    let rows = vec![("strong".to_owned(), Some(node(10, 0.5)), 9_000)];
    view.apply_node_rows(rows, false, true, later);
    assert!(choose_cell_to_release(&view, "weak", &names(&ALL), later).is_some());
    view.apply_owner("delta/0", OwnerRecord::default(), 900);
    assert!(choose_cell_to_release(&view, "weak", &names(&ALL), later).is_none());
}

/// Guards against orders to VMs that wait for seconds because the coordinator's cell changes its owner.
#[test]
fn coordinator_stays_on_a_weak_node() {
    let mut view = view(&[("weak", 0.12), ("strong", 0.5)]);
    for cell in ALL {
        set_owner(&mut view, cell, "strong", 10);
    }
    let row = OwnerRecord {
        node: "weak".to_owned(),
        incarnation: 10,
        ..OwnerRecord::default()
    };
    view.apply_owner("duty", row, 900);
    assert_eq!(released_by(&view, "weak", &["duty"]), None);
}

/// Guards against cells that move to and fro, or that stay on weak nodes, from whichever nodes they start.
#[test]
fn cells_settle_on_strong_nodes() {
    let strengths = [0.12, 0.12, 0.12, 0.25, 0.5, 0.5];
    let labels = ["a", "b", "c", "d", "e", "f"];
    let nodes: Vec<(&str, f64)> = labels.into_iter().zip(strengths).collect();
    for start in 0..labels.len().pow(4) {
        let mut view = view(&nodes);
        let mut owners = BTreeMap::from([("duty", "e".to_owned())]);
        for (position, cell) in ALL[1..].iter().enumerate() {
            let node = start / labels.len().pow(position as u32) % labels.len();
            owners.insert(*cell, labels[node].to_owned());
        }
        for (cell, node) in &owners {
            set_owner(&mut view, cell, node, 10);
        }
        let mut moves = 0;
        let mut version = 1_000;
        while let Some((cell, successor)) = labels.iter().find_map(|node| {
            let owned: Vec<&str> = (owners.iter())
                .filter(|(_, owner)| owner.as_str() == *node)
                .map(|(cell, _)| *cell)
                .collect();
            choose_cell_to_release(&view, node, &names(&owned), Duration::ZERO)
        }) {
            moves += 1;
            version += 1;
            assert!(moves <= 8, "start {start}: {owners:?}");
            let cell = ALL.into_iter().find(|name| **name == cell).expect("a cell");
            let row = OwnerRecord {
                node: successor.clone(),
                incarnation: 10,
                ..OwnerRecord::default()
            };
            view.apply_owner(cell, row, version);
            owners.insert(cell, successor);
        }
        let weak = ["a", "b", "c"];
        assert!(
            owners.values().all(|owner| !weak.contains(&owner.as_str())),
            "start {start}: {owners:?}"
        );
    }
}

/// Guards against a node that reacquires a cell that it has just released.
#[test]
fn releasing_node_is_not_a_candidate() {
    let mut view = view(&[("a", 0.25), ("b", 0.25)]);
    for cell in ALL {
        let record = OwnerRecord {
            released_by: "a".to_owned(),
            ..OwnerRecord::default()
        };
        view.apply_owner(cell, record, 50);
    }
    assert_eq!(cells_chosen_by(&mut view, "b", &[]), names(&ALL));
}

/// Guards against acquiring cells of live nodes, and against leaving cells with dead ones.
#[test]
fn unresponsive_time_is_counted_while_reads_succeed() {
    let step = Duration::from_millis(500);
    let mut view = view(&[("a", 0.25), ("b", 0.25)]);
    for cell in ALL {
        set_owner(&mut view, cell, "a", 10);
    }
    let mut now = Duration::ZERO;
    let mut version = 10;
    while now < NODE_DEATH_TIMEOUT {
        assert!(
            cells_chosen_by(&mut view, "b", &[]).is_empty(),
            "at {now:?}"
        );
        now += step;
        version += 1;
        let rows = vec![("b".to_owned(), Some(node(10, 0.25)), version)];
        view.apply_node_rows(rows, false, true, now);
    }
    assert_eq!(cells_chosen_by(&mut view, "b", &[]), names(&ALL));
}

/// Guards against declaring all nodes dead after the store was unavailable.
#[test]
fn gap_between_reads_is_not_unresponsive_time() {
    let mut view = view(&[("a", 0.25), ("b", 0.25)]);
    for cell in ALL {
        set_owner(&mut view, cell, "a", 10);
    }
    view.apply_node_rows(Vec::new(), false, true, Duration::from_secs(10));
    assert!(cells_chosen_by(&mut view, "b", &[]).is_empty());
}

/// Guards against taking the cells of an owner that is back: a node that stood still writes its own
/// heartbeat before it has read those of the others again.
#[test]
fn silence_that_was_seen_long_ago_proves_nothing() {
    let step = Duration::from_millis(500);
    let mut view = view(&[("a", 0.25), ("b", 0.25)]);
    for cell in ALL {
        set_owner(&mut view, cell, "a", 10);
    }
    let mut now = Duration::ZERO;
    while now < NODE_DEATH_TIMEOUT {
        now += step;
        view.apply_node_rows(Vec::new(), false, true, now);
    }
    assert_eq!(cells_chosen_at(&mut view, "b", now), names(&ALL));
    let resumed = now + Duration::from_secs(3);
    assert!(cells_chosen_at(&mut view, "b", resumed).is_empty());
    let rows = vec![("a".to_owned(), Some(node(10, 0.25)), 10)];
    view.apply_node_rows(rows, false, true, resumed);
    assert!(cells_chosen_at(&mut view, "b", resumed).is_empty());
}

/// Guards against taking the cells of live owners before the rows of their nodes were read, for
/// instance by a node that starts while the store is slow (kusluk-ladder-grown trouble-2, seed
/// 676075769862: CONFIG, LOST).
#[test]
fn owners_of_unread_nodes_are_not_replaced() {
    let mut view = view_of_pools();
    view.record_own_node("b".to_owned(), node(10, 0.12), 1);
    for cell in ALL {
        set_owner(&mut view, cell, "a", 10);
    }
    for number in 0..20 {
        let now = Duration::from_millis(500) * number;
        assert!(
            cells_chosen_at(&mut view, "b", now).is_empty(),
            "at {now:?}"
        );
    }
    // The nodes were read, but the row of the owner's node is missing.
    let rows = vec![("b".to_owned(), Some(node(10, 0.12)), 2)];
    let start = Duration::from_secs(10);
    view.apply_node_rows(rows, true, true, start);
    assert!(cells_chosen_at(&mut view, "b", start).is_empty());
    let end = start + NODE_DEATH_TIMEOUT;
    let just_before = end - Duration::from_millis(1);
    view.apply_node_rows(Vec::new(), false, true, just_before);
    assert!(cells_chosen_at(&mut view, "b", just_before).is_empty());
    assert_eq!(cells_chosen_at(&mut view, "b", end), names(&ALL));
}

/// Guards against taking the cells of live owners after the store refused the heartbeats of all
/// nodes for a while (lt-hallein-large: 14 cells within 0.05 s).
#[test]
fn silence_proves_nothing_while_own_heartbeats_fail() {
    let step = Duration::from_millis(500);
    let mut view = view(&[("a", 0.25), ("b", 0.25)]);
    for cell in ALL {
        set_owner(&mut view, cell, "a", 10);
    }
    let mut now = Duration::ZERO;
    for _ in 0..20 {
        now += step;
        view.apply_node_rows(Vec::new(), false, false, now);
        assert!(
            cells_chosen_by(&mut view, "b", &[]).is_empty(),
            "at {now:?}"
        );
    }
    let regained = now;
    while now < regained + NODE_DEATH_TIMEOUT {
        assert!(
            cells_chosen_by(&mut view, "b", &[]).is_empty(),
            "at {now:?}"
        );
        now += step;
        view.apply_node_rows(Vec::new(), false, true, now);
    }
    assert_eq!(cells_chosen_by(&mut view, "b", &[]), names(&ALL));
}

/// Guards against stopping long-running tasks on a worker that the ledger names but whose entry
/// this node has not read yet (lt-hallein, roll-in-wave-and-surge, seed 437963268550: AVAIL).
#[test]
fn worker_of_the_ledger_is_not_considered_draining() {
    let worker = LedgerWorker {
        worker: "i-1".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        started_ms: 7,
        capacity: None,
    };
    let entry = worker.placeholder_entry(&"alpha".to_owned());
    assert!(!entry.draining);
    assert_eq!(entry.capacity.cpu, 0);
}

/// Guards against an unbounded usage after a takeover from a node of an earlier version, whose rows have
/// no capacities.
#[test]
fn ledger_without_capacities_is_bounded_by_the_fleet() {
    let row = br#"{"workers":[{"worker":"i-1","address":"127.0.0.1:1","born_ms":7},
        {"worker":"i-2","address":"127.0.0.1:2","born_ms":7,"capacity":{"cpu":4000,"memory_mb":9000,"gpu":0}}]}"#;
    let record: CellWorkersRecord = decode_record("a/0", row).expect("a record");
    let listed = ResourceAmount {
        cpu: 8_000,
        memory_mb: 1_000,
        gpu: 0,
    };
    let capacities = former_capacities(&record.workers, [listed].into_iter());
    assert_eq!(
        capacities.bound(&"i-1".to_owned(), None),
        Some([8_000, 9_000, 0])
    );
    assert_eq!(
        capacities.bound(&"i-2".to_owned(), None),
        Some([4_000, 9_000, 0])
    );
    let unknown = former_capacities(&record.workers[..1], [].into_iter());
    assert_eq!(unknown.bound(&"i-1".to_owned(), None), None);
}

/// Guards against cells of very different sizes, and against racks that move between cells.
#[test]
fn racks_are_assigned_evenly_and_permanently() {
    let racks: BTreeSet<String> = (0..6).map(|number| format!("r-{number}")).collect();
    let first = assign_racks(&PoolRecord::default(), 70, &racks);
    assert!(first.cells >= 5, "{first:?}");
    let new_racks: BTreeSet<String> = ["r-9".to_owned()].into();
    let extended = assign_racks(&first, 80, &new_racks);
    assert_eq!(extended.cells, first.cells);
    assert!(
        first
            .racks
            .iter()
            .all(|(rack, cell)| extended.racks[rack] == *cell)
    );
    assert!(extended.later_racks.contains("r-9"));
}

/// Guards against VMs that were moved to a pool in a surge and get no tasks until the next regular
/// read of their entries, and against such frequent reads by nodes that do not need them.
#[test]
fn workers_are_read_more_often_while_tasks_wait() {
    let owner = ReadSituation {
        owns_cells: true,
        ..ReadSituation::default()
    };
    let waiting = ReadSituation {
        has_waiting_tasks: true,
        ..owner
    };
    assert!(worker_period(waiting) * 3 < worker_period(owner));
    assert!(worker_period(owner) < worker_period(ReadSituation::default()));
    let relayed = ReadSituation {
        is_store_failing: true,
        ..waiting
    };
    assert!(worker_period(relayed) > worker_period(owner));
}

/// Guards against a node that acquires a cell again at each start although the cell ends each of its processes, so that no
/// other node gets it.
#[test]
fn node_whose_processes_keep_ending_lets_others_come_first() {
    for (early_ends, own_first) in [(0, true), (2, true), (3, false), (9, false)] {
        let mut view = view(&[("strong", 0.5), ("weak", 0.12)]);
        for cell in ALL {
            set_owner(&mut view, cell, "weak", 10);
        }
        let row = OwnerRecord {
            node: "strong".to_owned(),
            // The process has ended; a later one of the node asks.
            incarnation: 5,
            early_ends,
            ..OwnerRecord::default()
        };
        view.apply_owner("beta/0", row, 900);
        let at_once = cells_chosen_at(&mut view, "strong", Duration::ZERO);
        assert_eq!(at_once.contains("beta/0"), own_first, "{early_ends}");
        if !own_first {
            let chosen =
                choose_cells_to_acquire(&mut view, "weak", &names(&ALL), true, Duration::ZERO);
            assert!(chosen.contains(&"beta/0".to_owned()));
            // Without another one it still gets the cell.
            let later = cells_chosen_at(&mut view, "strong", Duration::from_millis(700));
            assert!(later.contains("beta/0"));
        }
    }
}

/// Guards against rows of owners that nodes of earlier versions cannot read, and against rows of theirs.
#[test]
fn early_ends_are_absent_from_ordinary_owner_rows() {
    let row = OwnerRecord {
        node: "a".to_owned(),
        incarnation: new_incarnation(1_700_000_000_000, 7),
        ..OwnerRecord::default()
    };
    let text = String::from_utf8(encode_record(&row).expect("encoded")).expect("text");
    assert!(!text.contains("early_ends"), "{text}");
    assert_eq!(start_of(row.incarnation), 1_700_000_000_000);
    let decoded: OwnerRecord = decode_record("owner", text.as_bytes()).expect("decoded");
    assert_eq!(decoded, row);
}
