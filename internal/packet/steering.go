package packet

import (
	"balsamfork/internal/config"
	"balsamfork/internal/flow"
)

// MaxHops is the largest number of hops that Steering carries.
const MaxHops = 1<<hopsBits - 1

const (
	serverBits = 24
	hopsBits   = 4
	originBits = 4
)

// Steering is what one instance tells another about a packet: the GRE key holds
// 4 bits of origin, 4 bits of hops and 24 bits of backend server number, from
// the highest bit.
type Steering struct {
	Origin flow.Origin
	Hops   uint8
	Server config.Number
}

// Key packs the steering into a GRE key. Hops beyond MaxHops stay at MaxHops.
func (s Steering) Key() uint32 {
	hops := min(s.Hops, MaxHops)
	key := uint32(s.Origin) << (hopsBits + serverBits)
	key |= uint32(hops) << serverBits
	return key | uint32(s.Server&config.MaxNumber)
}

// ParseSteering unpacks a GRE key. It returns false if the key holds no origin
// that instances use.
func ParseSteering(key uint32) (Steering, bool) {
	s := Steering{
		Origin: flow.Origin(key >> (hopsBits + serverBits)),
		Hops:   uint8(key>>serverBits) & MaxHops,
		Server: config.Number(key) & config.MaxNumber,
	}
	valid := s.Origin >= flow.FromFabric && s.Origin <= flow.Gathered
	return s, valid
}
