package placement

import (
	"encoding/binary"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"balsamfork/internal/config"
	"balsamfork/internal/flow"
	"balsamfork/internal/table"
)

// plan is compiled from one configuration and the announced conditions. It is
// immutable except for the times that its services share with later plans.
type plan struct {
	config    *config.Config
	hasher    table.Hasher
	services  []*service
	byName    map[string]*service
	serviceOf map[config.Number]*service
	// slots is a hash table of the services by address and protocol, with linear
	// probing.
	slots []*service
}

// service is one service of a plan.
type service struct {
	index    int
	name     string
	address  netip.AddrPort
	protocol config.Protocol
	idle     time.Duration
	ramp     config.Ramp
	declared *config.Service
	servers  []server
	// The tables give a position in the settled set for the base and in the current
	// set for the target; base and target map it to the position in servers.
	baseTable   *table.Table
	targetTable *table.Table
	base        []uint16
	target      []uint16
	// unsettled is nil when every bucket is settled.
	unsettled *table.Bitmap
	// tablesDiffer is set if base and target differ on some bucket, basesGone if
	// the base is gone on each of those.
	tablesDiffer bool
	basesGone    bool
	// since is the version that last changed where flows go, changedAt the time at
	// which this instance learned of that or of the newest announcement.
	since     config.Version
	changedAt int64
	*serviceTimes
}

// serviceTimes are the times that become known after a plan was built.
type serviceTimes struct {
	// confirmed is when every instance had confirmed the service's version,
	// or zero.
	confirmed atomic.Int64
	// overflowAt is when an older flow last could not be recorded, or zero.
	overflowAt atomic.Int64
}

// server is one backend server of a service.
type server struct {
	number      config.Number
	address     netip.AddrPort
	state       config.ServerState
	weight      uint32
	joined      config.Version
	condition   flow.Condition
	announcedAt int64
	// warm is set for a backend server that is in the settled set and has not
	// returned after it was gone: its ramp is over.
	warm  bool
	times *serverTimes
}

// serverTimes are the times that this instance has observed for a backend
// server.
type serverTimes struct {
	// ramp is when its ramp began, or zero; gone is when this instance learned that
	// it is gone, or zero.
	ramp atomic.Int64
	gone atomic.Int64
	// returned is set once it was listed in another state after it was gone.
	returned atomic.Bool
}

// observe updates the times from the state of a backend server at now.
func (t *serverTimes) observe(now int64, state config.ServerState) {
	if state == config.Gone {
		t.gone.CompareAndSwap(0, now)
		return
	}
	if t.gone.Swap(0) != 0 {
		t.returned.Store(true)
		t.ramp.Store(0)
	}
}

// find returns the service of an address and protocol, or nil.
func (p *plan) find(address netip.AddrPort, protocol config.Protocol) *service {
	mask := len(p.slots) - 1
	for i := addressHash(address, protocol) & mask; p.slots[i] != nil; i = (i + 1) & mask {
		if s := p.slots[i]; s.address == address && s.protocol == protocol {
			return s
		}
	}
	return nil
}

func addressHash(a netip.AddrPort, protocol config.Protocol) int {
	b := a.Addr().As16()
	high := binary.LittleEndian.Uint64(b[:8])
	low := binary.LittleEndian.Uint64(b[8:])
	port := uint64(a.Port())<<8 | uint64(protocol)
	return int(table.Mix(high^table.Mix(low^port<<32)) >> 1)
}

func (p *plan) buildSlots() {
	n := 2
	for n < 2*len(p.services)+2 {
		n *= 2
	}
	p.slots = make([]*service, n)
	for _, s := range p.services {
		i := addressHash(s.address, s.protocol) & (n - 1)
		for p.slots[i] != nil {
			i = (i + 1) & (n - 1)
		}
		p.slots[i] = s
	}
}

func (s *service) isUnsettled(bucket int) bool {
	return s.unsettled != nil && s.unsettled.Has(bucket)
}

func (s *service) baseOf(bucket int) *server {
	return s.serverAt(s.baseTable[bucket], s.base)
}

func (s *service) targetOf(bucket int) *server {
	return s.serverAt(s.targetTable[bucket], s.target)
}

func (s *service) serverAt(position uint16, index []uint16) *server {
	if position == table.None {
		return nil
	}
	return &s.servers[index[position]]
}

// server returns the backend server with a number, or nil.
func (s *service) server(n config.Number) *server {
	i, ok := slices.BinarySearchFunc(s.servers, n, func(a server, n config.Number) int {
		return int(a.number) - int(n)
	})
	if !ok {
		return nil
	}
	return &s.servers[i]
}
