//! Tests of the table of request ids.

use super::*;

fn id(number: usize) -> Bytes {
    format!("id-{number}").into()
}

#[test]
fn id_is_taken_while_its_request_is_open_and_remembered_only_after_side_effects() {
    let ids = Arc::<RequestIds>::default();
    for has_side_effects in [false, true] {
        let claimed = ids.claim(&id(1), has_side_effects).ok();
        assert!(claimed.is_some());
        assert_eq!(ids.claim(&id(1), has_side_effects).err(), Some(IdConflict::Open));
        drop(claimed);
    }
    assert_eq!(ids.claim(&id(1), false).err(), Some(IdConflict::MayHaveRun));
}

#[test]
fn id_of_a_request_that_was_never_executed_is_free() {
    let ids = Arc::<RequestIds>::default();
    let mut claimed = ids.claim(&id(1), true).ok().unwrap();
    claimed.set_never_executed();
    drop(claimed);
    assert!(ids.claim(&id(1), true).is_ok());
}

#[test]
fn number_of_remembered_ids_is_limited_and_the_latest_are_kept() {
    let ids = Arc::<RequestIds>::default();
    for number in 0..2 * MAX_REMEMBERED_IDS {
        drop(ids.claim(&id(number), true));
    }
    let table = ids.lock();
    assert_eq!((table.remembered.len(), table.oldest_first.len()), (MAX_REMEMBERED_IDS, MAX_REMEMBERED_IDS));
    drop(table);
    assert!(ids.claim(&id(0), false).is_ok());
    assert_eq!(
        ids.claim(&id(MAX_REMEMBERED_IDS), true).err(),
        Some(IdConflict::MayHaveRun),
        "the oldest of those that are kept"
    );
}
