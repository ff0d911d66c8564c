//! Room for a request at a brittle upstream.

use jb_policy::brittle;

use super::run::Exchange;
use super::selection::Choice;
use crate::peers::{self, Admission, Prompt, Reservation};

/// The selected upstream has no room for the request.
pub(super) struct NoRoom;

impl Exchange<'_> {
    /// Reserves room for the request if the selected upstream is brittle; it is released when the reservation is
    /// dropped. If the box that counts all requests doesn't answer, this box uses its share without a reservation.
    ///
    /// # Errors
    /// There is no room. The upstream is then not available for a moment when the next one is selected.
    pub(super) async fn reserve_room(&self, choice: &Choice) -> Result<Option<Reservation>, NoRoom> {
        let core = self.core;
        let request = self.message.request;
        let instance = &choice.instance;
        if !core.upstreams.borrow().is_brittle(&request.service, core.now()) {
            return Ok(None);
        }
        let prompt = Prompt {
            shared: &[],
            unshared: request.prompt_tokens() + request.max_output_tokens,
            deadline: request.deadline,
        };
        let id = peers::draw_reservation_id(core);
        let reservation = peers::hold_reservation(core, instance, id);
        match peers::request_reservation(core, instance, id, &prompt, Admission::Room).await {
            Some(state) if state.is_reserved => return Ok(Some(reservation)),
            None if self.is_within_own_share(choice) => return Ok(None),
            Some(_) | None => {}
        }
        if let Some(upstream) = core.upstreams.borrow_mut().instance_mut(instance) {
            upstream.mark_full(core.now() + brittle::FULL_PAUSE);
        }
        Err(NoRoom)
    }

    fn is_within_own_share(&self, choice: &Choice) -> bool {
        let boxes = self.core.directory.borrow().boxes();
        let upstreams = self.core.upstreams.borrow();
        upstreams
            .instance(&choice.instance)
            .is_some_and(|upstream| upstream.running < brittle::own_share(upstream.entry.slots, boxes))
    }
}
