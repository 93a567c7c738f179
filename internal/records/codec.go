package records

import (
	"encoding/binary"

	"github.com/zeebo/errs"

	"balsamfork/internal/table"
)

// Invalid is the class of errors for bytes that cannot be decoded as records or
// buckets.
var Invalid = errs.Class("records: invalid")

// recordBytes is the length of an encoded record: 8 bytes of flow hash, then 24 bits
// of backend server number and 8 bits of kind and closed flag.
const recordBytes = 12

// Append appends an encoded record to b. The time of the last packet is left out,
// since the receiver counts from its own clock.
func Append(b []byte, r Record) []byte {
	b = binary.LittleEndian.AppendUint64(b, r.Flow)
	return binary.LittleEndian.AppendUint32(b, r.server)
}

// Decode returns the records that Append encoded, with seen, in seconds of Unix time,
// as the time of their last refresh. Errors are Invalid.
func Decode(b []byte, seen uint32) ([]Record, error) {
	if len(b)%recordBytes != 0 {
		return nil, Invalid.New("%d bytes are not a whole number of records", len(b))
	}
	out := make([]Record, 0, len(b)/recordBytes)
	for ; len(b) > 0; b = b[recordBytes:] {
		r := Record{
			Flow:   binary.LittleEndian.Uint64(b),
			server: binary.LittleEndian.Uint32(b[8:]),
			Seen:   seen,
		}
		if r.empty() || r.Kind() >= kindCount || r.server&^(numberMask|kindMask|closedFlag) != 0 {
			return nil, Invalid.New("record %d has no backend server, an unknown kind or unknown flags", len(out))
		}
		out = append(out, r)
	}
	return out, nil
}

// AppendBuckets appends the buckets that are set in m to b, encoded as varints of the
// distances between them.
func AppendBuckets(b []byte, m *table.Bitmap) []byte {
	last := -1
	for bucket := range table.Buckets {
		if m.Has(bucket) {
			b = binary.AppendUvarint(b, uint64(bucket-last))
			last = bucket
		}
	}
	return b
}

// DecodeBuckets returns the buckets that AppendBuckets encoded. Errors are Invalid.
func DecodeBuckets(b []byte) (*table.Bitmap, error) {
	m := &table.Bitmap{}
	bucket := -1
	for len(b) > 0 {
		d, n := binary.Uvarint(b)
		if n <= 0 || d == 0 || d > uint64(table.Buckets-1-bucket) {
			return nil, Invalid.New("bucket that follows %d is out of range", bucket)
		}
		bucket += int(d)
		m.Set(bucket)
		b = b[n:]
	}
	return m, nil
}
