//! Progress of the exchange of the member list.

/// Number of consecutive acknowledgements from members that know more members, after which the full list is read.
const BEHIND_ACKS_BEFORE_FULL_PASS: u32 = 3;

/// Properties of a page of another member's list. Its updates have been applied already.
pub(crate) struct ReceivedPage {
    /// Whether no page follows.
    pub(crate) is_last: bool,
    /// Name of the last member in the page, or `None` if the page was empty.
    pub(crate) last_name: Option<String>,
    /// Whether the page contained members that were not known before.
    pub(crate) has_new_members: bool,
}

/// Progress of the exchange.
#[derive(Default)]
pub(crate) struct ExchangeState {
    /// Name after which the next page starts. Empty if it starts at the beginning of the list.
    page_after: String,
    /// Whether the list is read to its end without waiting between the pages.
    is_full_pass: bool,
    /// Number of consecutive acknowledgements from members that know more members.
    behind_acks: u32,
}

impl ExchangeState {
    /// Returns the name after which the next page starts.
    pub(crate) fn page_after(&self) -> &str {
        &self.page_after
    }

    /// Compares the number of present members with that of a member that has just acknowledged a probe.
    pub(crate) fn compare_counts(&mut self, own: u32, theirs: u32) {
        self.behind_acks = if theirs > own { self.behind_acks + 1 } else { 0 };
    }

    /// Starts a full pass if three consecutive members knew more members. Returns whether it started one.
    pub(crate) fn start_full_pass_if_behind(&mut self) -> bool {
        if self.behind_acks < BEHIND_ACKS_BEFORE_FULL_PASS {
            return false;
        }
        self.behind_acks = 0;
        self.is_full_pass = true;
        self.page_after.clear();
        true
    }

    /// Records a received page. Returns whether the next page is to be requested at once.
    ///
    /// This is so in a full pass, which also begins with a page that contains a member not known before.
    pub(crate) fn on_page(&mut self, page: ReceivedPage) -> bool {
        self.is_full_pass |= page.has_new_members;
        self.page_after = page.last_name.filter(|_| !page.is_last).unwrap_or_default();
        self.is_full_pass &= !self.page_after.is_empty();
        self.is_full_pass
    }
}
