//! Boxes that are cut off from all engines, while callers, the store and the other boxes reach them.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

use jb_site_fakes::cut::Cut;
use jb_site_fakes::engine::Action;
use rand::Rng as _;
use rand::seq::SliceRandom as _;
use rand_chacha::ChaCha8Rng;
use tokio::time::sleep;

use crate::callers::Exchange;
use crate::checks::{Checks, Promise};
use crate::world::World;

/// Time after the start of a cut, and after another fault of the box, from which requests are checked.
const CONTACT: Duration = Duration::from_secs(3);
/// Length of a cut, in milliseconds: some heal before it is checked.
const CUT_MS: std::ops::Range<u64> = 300..12_000;
/// Time for which an engine answers nothing.
const SILENCE: Duration = Duration::from_millis(1100);
/// Requests that a silent engine holds.
const SILENT_REQUESTS: usize = 6;
/// Length of the moments in which boxes are compared.
const MOMENT: Duration = Duration::from_millis(250);
/// Failed first attempts that are tolerated in addition to one in [`TOLERATED_ONE_IN`].
const TOLERATED: usize = 10;
/// See [`TOLERATED`].
const TOLERATED_ONE_IN: usize = 50;

/// A cut of some boxes from all engines.
#[derive(Clone, Debug)]
pub struct Period {
    /// Indexes of the boxes.
    boxes: Vec<usize>,
    from: Instant,
    until: Instant,
}

/// Cuts some boxes off for a while: one, or all but one.
pub async fn cut(world: &World, random: &mut ChaCha8Rng) {
    let kind = [Cut::Hang, Cut::Reset, Cut::RefuseNew][random.random_range(0..3)];
    let duration = Duration::from_millis(random.random_range(CUT_MS));
    let mut boxes: Vec<usize> = (0..world.boxes.len()).collect();
    boxes.shuffle(random);
    boxes.truncate(if random.random_bool(0.5) {
        1
    } else {
        world.boxes.len() - 1
    });
    // A box that another cut has is left to it, and one box always stays connected.
    boxes.retain(|at| world.paths[*at].state() == Cut::None);
    let connected = world.paths.iter().filter(|paths| paths.state() == Cut::None);
    boxes.truncate(connected.count().saturating_sub(1));
    world.log(&format!("{kind:?} boxes {boxes:?} for {duration:?}"));
    let from = Instant::now();
    boxes.iter().for_each(|at| world.paths[*at].cut(kind));
    sleep(duration).await;
    boxes.iter().for_each(|at| world.paths[*at].cut(Cut::None));
    let until = Instant::now();
    world.cuts.borrow_mut().push(Period { boxes, from, until });
}

/// Makes an engine answer its next requests late, as if it were silent.
pub fn silence(world: &World, engine: usize) {
    world.engines[engine].enqueue(&vec![Action::Late(SILENCE); SILENT_REQUESTS]);
}

/// Checks that boxes which were cut off served their callers about as often as the others.
pub fn check(world: &Rc<World>, checks: &mut Checks) {
    let exchanges = world.exchanges.borrow();
    for period in world.cuts.borrow().iter() {
        let from = period.from + CONTACT;
        let counted = |one: &&Exchange| {
            let sent = one.request.sent;
            let is_undisturbed = !world.had_fault_since(one.request.at, sent - CONTACT, sent);
            from <= sent && sent < period.until && is_undisturbed
        };
        let (mut cut, mut others): (Vec<&Exchange>, Vec<&Exchange>) = exchanges
            .iter()
            .filter(counted)
            .partition(|one| period.boxes.contains(&one.request.at));
        // Faults of engines and roll-outs hit all boxes, so only the same moments are compared.
        let moment = |one: &&Exchange| (one.request.sent - from).as_millis() / MOMENT.as_millis();
        let (of_cut, of_others): (BTreeSet<u128>, BTreeSet<u128>) = (
            cut.iter().map(moment).collect(),
            others.iter().map(moment).collect(),
        );
        cut.retain(|one| of_others.contains(&moment(one)));
        others.retain(|one| of_cut.contains(&moment(one)));
        let served = |all: &[&Exchange]| all.iter().filter(|one| one.status == Some(200)).count();
        let failed = cut.len() - served(&cut);
        let tolerated = TOLERATED + (cut.len() + others.len()) / TOLERATED_ONE_IN;
        // Two thirds of the share that the others serve.
        let is_as_good = 3 * served(&cut) * others.len() >= 2 * served(&others) * cut.len();
        if !cut.is_empty() && !others.is_empty() {
            checks.check(Promise::Reach, is_as_good || failed <= tolerated, || {
                format!(
                    "boxes {:?} without engines served {} of {}, the others {} of {}",
                    period.boxes,
                    served(&cut),
                    cut.len(),
                    served(&others),
                    others.len()
                )
            });
        }
    }
}
