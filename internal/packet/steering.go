package packet

import (
	"balsamfork/internal/config"
	"balsamfork/internal/flow"
)

// MaxHops is the maximum hop count that Steering can encode.
const MaxHops = 1<<hopsBits - 1

const (
	serverBits = 24
	hopsBits   = 4
	originBits = 4
)

// Steering is the information that an instance adds to a packet that it relays to
// another instance. It is encoded in the GRE key: from the most significant bit,
// 4 bits of origin, 4 bits of hop count and 24 bits of backend server number.
type Steering struct {
	Origin flow.Origin
	Hops   uint8
	Server config.Number
}

// Key encodes the steering as a GRE key. Hops is limited to MaxHops.
func (s Steering) Key() uint32 {
	hops := min(s.Hops, MaxHops)
	key := uint32(s.Origin) << (hopsBits + serverBits)
	key |= uint32(hops) << serverBits
	return key | uint32(s.Server&config.MaxNumber)
}

// ParseSteering decodes a GRE key. It returns false if the key does not contain a
// valid origin.
func ParseSteering(key uint32) (Steering, bool) {
	s := Steering{
		Origin: flow.Origin(key >> (hopsBits + serverBits)),
		Hops:   uint8(key>>serverBits) & MaxHops,
		Server: config.Number(key) & config.MaxNumber,
	}
	valid := s.Origin >= flow.FromFabric && s.Origin <= flow.RelayedFragment
	return s, valid
}
