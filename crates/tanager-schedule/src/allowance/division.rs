//! Division of a cap among cells.

use crate::allowance::Amounts;
use crate::allowance::add;
use crate::allowance::is_within;
use crate::allowance::larger;
use crate::allowance::multiply;
use crate::allowance::smaller;
use crate::allowance::subtract;

/// Demand of a cell for a workspace.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CellDemand {
    /// Amount in use.
    pub used: Amounts,
    /// Sum of the waiting tasks.
    pub wanted: Amounts,
    /// Smallest amount with which a waiting task or gang starts; zero if none waits.
    pub smallest: Amounts,
    /// Recent peak of `used`.
    pub peak: Amounts,
    /// Whether no waiting task fitted for long. At most one cell is served first for that.
    pub is_starved: bool,
}

impl CellDemand {
    fn total(&self) -> Amounts {
        add(&self.used, &self.wanted)
    }

    fn is_waiting(&self) -> bool {
        self.wanted != Amounts::default()
    }
}

/// Divides a cap by max-min fairness over the demands in the scarcest resource; 0 in `cap` means no
/// limit.
///
/// The sum of the parts is within the cap. Where a cell's part is above its usage, it consists of
/// whole tasks of the smallest waiting size, because a fraction would stand idle. What demand
/// leaves over goes to cells whose usage was higher a moment ago, unless a task waits elsewhere.
pub fn divide(cap: &Amounts, cells: &[CellDemand]) -> Vec<Amounts> {
    let mut parts: Vec<Amounts> = cells.iter().map(CellDemand::total).collect();
    if is_within(&sum(&parts), cap, cap) {
        return keep_peaks(cap, cells, parts);
    }
    let starved = cells.iter().position(|cell| {
        let least = add(&cell.used, &cell.smallest);
        cell.is_starved && cell.is_waiting() && is_within(&least, cap, cap)
    });
    let is_too_large = |cell: &CellDemand| {
        cell.is_starved && cell.is_waiting() && !is_within(&cell.smallest, cap, cap)
    };
    if let Some(first) = cells.iter().position(is_too_large) {
        // The task starts above the cap, once less than half of it is in use.
        parts.fill(Amounts::default());
        parts[first] = smaller(&cells[first].used, cap);
        return parts;
    }
    let mut left = *cap;
    if let Some(first) = starved {
        parts[first] = add(&cells[first].used, &cells[first].smallest);
        left = subtract(cap, &parts[first]);
    }
    for resource in by_scarcity(cap, &sum(&parts)) {
        fill(&mut parts, cells, resource, left[resource], starved);
    }
    for (index, cell) in cells.iter().enumerate() {
        if cell.is_waiting() && Some(index) != starved {
            parts[index] = whole_tasks(cap, cell, &parts[index]);
        }
    }
    distribute_rest(cap, cells, &mut parts);
    parts
}

/// Returns the largest amount within `part` that is the usage plus whole tasks of the smallest size.
/// A part below the usage is returned as it is.
pub fn whole_tasks(cap: &Amounts, cell: &CellDemand, part: &Amounts) -> Amounts {
    if !is_within(&cell.used, part, cap) {
        return *part;
    }
    let room = subtract(part, &cell.used);
    let count = (0..3)
        .filter(|&index| cap[index] > 0 && cell.smallest[index] > 0)
        .map(|index| room[index] / cell.smallest[index])
        .min();
    match count {
        None => smaller(&cell.total(), &larger(part, &cell.used)),
        Some(count) => {
            let tasks = smaller(&multiply(&cell.smallest, count), &cell.wanted);
            add(&cell.used, &tasks)
        }
    }
}

fn sum(parts: &[Amounts]) -> Amounts {
    (parts.iter()).fold(Amounts::default(), |total, part| add(&total, part))
}

/// Returns the limited resources, the scarcest first.
fn by_scarcity(cap: &Amounts, demand: &Amounts) -> Vec<usize> {
    let mut resources: Vec<usize> = (0..3).filter(|&index| cap[index] > 0).collect();
    let scarcity = |index: usize| demand[index] as f64 / cap[index] as f64;
    resources.sort_by(|&left, &right| scarcity(right).total_cmp(&scarcity(left)));
    resources
}

/// Reduces the parts, except one, so that they have at most `left` of a resource, the largest parts
/// first.
fn fill(
    parts: &mut [Amounts],
    cells: &[CellDemand],
    resource: usize,
    left: u64,
    exempt: Option<usize>,
) {
    let mut order: Vec<usize> = (0..parts.len())
        .filter(|&index| Some(index) != exempt)
        .collect();
    order.sort_by_key(|&index| (parts[index][resource], index));
    let mut left = left;
    let mut others = order.len() as u64;
    for index in order {
        let demand = parts[index][resource];
        let part = demand.min(left / others);
        if part < demand {
            parts[index] = reduce(&parts[index], &cells[index].used, resource, part);
        }
        left -= part;
        others -= 1;
    }
}

/// Reduces a part to `amount` of a resource. What it has of the other resources above the usage is for
/// waiting tasks and is reduced in proportion to them: a part below the usage in any resource lets no
/// task start.
fn reduce(part: &Amounts, used: &Amounts, resource: usize, amount: u64) -> Amounts {
    let room = part[resource].saturating_sub(used[resource]);
    let left = amount.saturating_sub(used[resource]);
    std::array::from_fn(|other| {
        if other == resource {
            return amount;
        }
        let spare = part[other].saturating_sub(used[other]);
        part[other] - spare + scale(spare, left, room)
    })
}

/// Returns `amount` times `numerator` / `denominator`, rounded down.
pub(crate) fn scale(amount: u64, numerator: u64, denominator: u64) -> u64 {
    let product = u128::from(amount) * u128::from(numerator);
    u64::try_from(product / u128::from(denominator.max(1))).unwrap_or(u64::MAX)
}

/// Gives what is left of the cap to waiting cells, one task at a time, the smallest parts first.
fn distribute_rest(cap: &Amounts, cells: &[CellDemand], parts: &mut [Amounts]) {
    for _ in 0..cells.len() * 4 {
        let left = subtract(cap, &sum(parts));
        let share = |part: &Amounts| {
            (0..3)
                .filter(|&index| cap[index] > 0)
                .map(|index| scale(part[index], 1_000_000, cap[index]))
                .max()
        };
        let next = (cells.iter().enumerate())
            .filter(|(index, cell)| {
                let part = parts[*index];
                let is_waiting = cell.is_waiting() && is_within(&part, &cell.total(), cap);
                let has_all = is_within(&cell.total(), &part, cap);
                is_waiting
                    && !has_all
                    && is_within(&cell.used, &part, cap)
                    && is_within(&cell.smallest, &left, cap)
            })
            .min_by_key(|(index, _)| (share(&parts[*index]), *index));
        let Some((index, cell)) = next else { return };
        parts[index] = add(&parts[index], &cell.smallest);
    }
}

fn keep_peaks(cap: &Amounts, cells: &[CellDemand], mut parts: Vec<Amounts>) -> Vec<Amounts> {
    for (index, cell) in cells.iter().enumerate() {
        let left = subtract(cap, &sum(&parts));
        let missing = subtract(&cell.peak, &parts[index]);
        parts[index] = add(&parts[index], &smaller(&missing, &left));
    }
    parts
}
