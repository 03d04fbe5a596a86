//! Published test vectors of the algorithm, and the encoding of numbers and byte strings.

use pebblepost_stable_hash::{Fnv1a, fnv1a};

#[test]
fn matches_the_published_test_vectors() {
    let vectors: [(&[u8], u64); 3] =
        [(b"", 0xcbf2_9ce4_8422_2325), (b"a", 0xaf63_dc4c_8601_ec8c), (b"foobar", 0x8594_4171_f739_67e8)];
    for (text, hash) in vectors {
        assert_eq!(fnv1a(&[text]), hash, "{text:?}");
    }
    assert_eq!(fnv1a(&[b"foo", b"", b"bar"]), fnv1a(&[b"foobar"]));
}

#[test]
fn prefixes_byte_strings_with_their_length() {
    let framed = |parts: &[&[u8]]| {
        let mut hash = Fnv1a::default();
        parts.iter().for_each(|part| hash.bytes(part));
        hash.finish()
    };
    assert_ne!(framed(&[b"foo", b"bar"]), framed(&[b"foob", b"ar"]));
    assert_eq!(framed(&[b"ab"]), fnv1a(&[&[2, 0, 0, 0, 0, 0, 0, 0], b"ab"]));
}
