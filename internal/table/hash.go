package table

import (
	"encoding/binary"

	"github.com/dchest/siphash"

	"balsamfork/internal/config"
	"balsamfork/internal/flow"
)

// Hasher hashes flows with SipHash-2-4 (Aumasson and Bernstein, 2012), so that a
// caller that does not know the key cannot choose its bucket.
type Hasher struct {
	k0, k1 uint64
}

// keyBytes is the length of an encoded 5-tuple: two addresses of 16 bytes, two ports
// of 2 bytes and the protocol in 1 byte.
const keyBytes = 37

// NewHasher returns a Hasher with the hash key of a configuration.
func NewHasher(key [config.HashKeySize]byte) Hasher {
	return Hasher{
		k0: binary.LittleEndian.Uint64(key[:8]),
		k1: binary.LittleEndian.Uint64(key[8:]),
	}
}

// Flow returns the keyed hash of a 5-tuple. The 5-tuple includes the address of the
// service, so flows of different services have equal hashes only by chance.
func (h Hasher) Flow(k *flow.Key) uint64 {
	var b [keyBytes]byte
	source := k.Source.Addr().As16()
	destination := k.Destination.Addr().As16()
	copy(b[:16], source[:])
	copy(b[16:32], destination[:])
	binary.LittleEndian.PutUint16(b[32:], k.Source.Port())
	binary.LittleEndian.PutUint16(b[34:], k.Destination.Port())
	b[36] = byte(k.Protocol)
	return siphash.Hash(h.k0, h.k1, b[:])
}

// Bucket returns the bucket of a flow hash, in the range from 0 to Buckets-1.
func Bucket(hash uint64) int {
	return int(hash & (Buckets - 1))
}

// Mix applies the finalizer of SplitMix64 (Steele, Lea and Flood, 2014) to mix the
// bits of a value. It is not keyed: use it only for values that no caller can choose.
func Mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
