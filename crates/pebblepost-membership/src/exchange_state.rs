//! How far the exchange of the member list has come.

/// Acknowledgements in a row from members that know more, before the full list is read.
const MAX_BEHIND: u32 = 3;

/// A page of another member's list, whose updates are applied already.
pub(crate) struct ReceivedPage {
    /// No page follows.
    pub(crate) is_last: bool,
    /// The last name in it; `None` if it was empty.
    pub(crate) last_name: Option<String>,
    /// It held members that were not known before.
    pub(crate) has_new_members: bool,
}

/// How far the exchange has come.
#[derive(Default)]
pub(crate) struct ExchangeState {
    /// Name after which the next page starts; empty: from the start.
    page_after: String,
    /// The list is read to its end without waiting between its pages.
    is_full_pass: bool,
    /// Acknowledgements in a row from members that know more members.
    behind_count: u32,
}

impl ExchangeState {
    /// Name after which the next page starts.
    pub(crate) fn page_after(&self) -> &str {
        &self.page_after
    }

    /// Compares the number of members present with that of a member that has just answered.
    pub(crate) fn compare_counts(&mut self, own: u32, theirs: u32) {
        self.behind_count = if theirs > own { self.behind_count + 1 } else { 0 };
    }

    /// Starts a full pass if several members in a row knew more; whether it did.
    pub(crate) fn start_full_pass_if_behind(&mut self) -> bool {
        if self.behind_count < MAX_BEHIND {
            return false;
        }
        self.behind_count = 0;
        self.is_full_pass = true;
        self.page_after.clear();
        true
    }

    /// Takes note of a page; whether the next one is to be requested at once: in a full pass, which
    /// also begins with the first page that brings a member not known before.
    pub(crate) fn on_page(&mut self, page: ReceivedPage) -> bool {
        self.is_full_pass |= page.has_new_members;
        self.page_after = page.last_name.filter(|_| !page.is_last).unwrap_or_default();
        self.is_full_pass &= !self.page_after.is_empty();
        self.is_full_pass
    }
}
