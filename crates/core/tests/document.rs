//! Properties of documents that entries hand on.

use proptest::prelude::*;
use tanagerford_core::document::{
    Delta, MAX_DOCUMENT_BYTES, PackedDocument, Packing, Step, StoredDocument, UnpackError, hash,
    wire,
};

/// Documents of few different pieces, so that versions share parts, repeat them and change their order.
fn any_document() -> impl Strategy<Value = Vec<u8>> {
    let piece = prop::sample::select(vec![
        "{a},",
        "{b},",
        "{c}",
        "[",
        "{\"d\":{e}},",
        "",
        "\u{e9}",
    ]);
    prop::collection::vec(piece, 0..30).prop_map(|pieces| pieces.concat().into_bytes())
}

/// Returns versions of a document, each made from the one before.
fn versions(documents: &[Vec<u8>]) -> Vec<StoredDocument> {
    let mut versions: Vec<StoredDocument> = Vec::new();
    for document in documents {
        let next = match versions.last() {
            Some(previous) => previous.next(document.clone()),
            None => StoredDocument::new(document.clone()),
        };
        versions.push(next);
    }
    versions
}

proptest! {
    /// Guards against a difference that leads to another document than the one it was made from.
    #[test]
    fn a_delta_leads_to_its_target(base in any_document(), target in any_document()) {
        let delta = Delta::between(&base, &target);
        prop_assert_eq!(delta.apply(&base), Ok(target));
    }

    /// Guards against a receiver that gets another document than the newest one, whichever of the recent versions it has: it
    /// gets that one, or learns that it needs the whole document.
    #[test]
    fn changes_since_any_version_lead_to_the_newest(
        documents in prop::collection::vec(any_document(), 1..24), receiver in any_document(),
    ) {
        let versions = versions(&documents);
        let newest = versions.last().unwrap();
        let receivers = documents.iter().chain([&receiver]);
        for base in receivers {
            if let Some(packed) = newest.changes_since(hash(base)) {
                let received = wire::decode(&wire::encode(packed)).unwrap();
                prop_assert_eq!(received.unpack(Some(base)), Ok(newest.document().to_vec()));
                // A receiver that has another version by now notices.
                if *base != receiver {
                    prop_assert_eq!(received.unpack(Some(&receiver)), Err(UnpackError::UnknownBase));
                }
            }
        }
        let whole = wire::decode(&wire::encode(newest.whole())).unwrap();
        prop_assert_eq!(whole.unpack(None), Ok(newest.document().to_vec()));
    }

    /// Guards against a damaged message that is taken for a document, or that ends its reader.
    #[test]
    fn a_damaged_message_yields_no_other_document(
        base in any_document(), target in any_document(), position in any::<prop::sample::Index>(),
        byte in any::<u8>(), is_cut in any::<bool>(), is_whole in any::<bool>(),
    ) {
        let next = StoredDocument::new(base.clone()).next(target.clone());
        let packed = if is_whole { next.whole() } else { next.changes_since(hash(&base)).unwrap() };
        let mut message = wire::encode(packed);
        let position = position.index(message.len());
        if is_cut {
            message.truncate(position);
        } else {
            message[position] = byte;
        }
        let unpacked = wire::decode(&message).map(|packed| packed.unpack(Some(&base)));
        if let Some(Ok(document)) = unpacked {
            prop_assert_eq!(document, target);
        }
    }

    /// Guards against a message of any content that ends its reader.
    #[test]
    fn any_message_is_decoded_or_refused(message in prop::collection::vec(any::<u8>(), 0..200)) {
        if let Some(packed) = wire::decode(&message) {
            let _ = packed.unpack(Some(b"{a}"));
        }
    }
}

/// Guards against a receiver that runs out of memory: a few kilobytes can decompress to any length, and changes can copy
/// the same part again and again.
#[test]
fn documents_beyond_the_size_limit_are_refused() {
    let long = StoredDocument::new(vec![b'x'; MAX_DOCUMENT_BYTES + 1]);
    assert_eq!(long.whole().unpack(None), Err(UnpackError::TooLong));
    let base = vec![b'x'; MAX_DOCUMENT_BYTES];
    let next = StoredDocument::new(base.clone()).next([&base[..], b"}"].concat());
    let packed = next.changes_since(hash(&base)).unwrap();
    assert_eq!(packed.unpack(Some(&base)), Err(UnpackError::TooLong));
}

/// Guards against a receiver that applies changes for as long as a sender likes, and against changes that are none.
#[test]
fn unusual_numbers_of_steps_are_refused() {
    let document = StoredDocument::new("{a}").next("{a}");
    let base = hash(b"{a}");
    let Packing::Steps(steps) = document.changes_since(base).unwrap().packing else {
        panic!("changes");
    };
    let repeated = |count: usize| -> PackedDocument {
        let steps: Vec<Step> = steps.iter().cycle().take(count).cloned().collect();
        PackedDocument {
            hash: base,
            packing: Packing::Steps(steps),
        }
    };
    let results = [0, 1, 16, 17].map(|count| repeated(count).unpack(Some(b"{a}")).map(|_| ()));
    let refused = Err(UnpackError::Malformed);
    assert_eq!(results, [refused, Ok(()), Ok(()), refused]);
}

/// Guards against memory that grows with the number of changes.
#[test]
fn changes_are_kept_for_a_limited_number_of_versions() {
    let documents: Vec<_> = (0..100)
        .map(|version| format!("{{{version}}}").into_bytes())
        .collect();
    let versions = versions(&documents);
    let newest = versions.last().unwrap();
    let known = documents
        .iter()
        .filter(|base| newest.changes_since(hash(base)).is_some());
    assert_eq!(known.count(), 16);
}
