package main

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"balsamfork/platform/platformtest"
)

// lossWindow is the time before the loss of a request in which a disturbance may be its
// cause: the time in which it is sent, and that after which the fabric has removed an
// instance from rotation.
const lossWindow = 3 * time.Second

// recordLoss counts a request without an answer by what was disturbed.
func (s *soakRun) recordLoss(flow *platformtest.Flow) {
	reasons := append(s.instanceLosses(flow), s.serverLosses(flow)...)
	if s.cutSince(time.Now().Add(-lossWindow)) {
		reasons = append(reasons, "data centres cut")
	}
	if reasons == nil {
		reasons = []string{"nothing found"}
	}
	slices.Sort(reasons)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.losses[strings.Join(slices.Compact(reasons), ", ")]++
}

// instanceLosses returns what was disturbed on the way from the caller through the
// instances.
func (s *soakRun) instanceLosses(flow *platformtest.Flow) (reasons []string) {
	for _, to := range flow.SentTo {
		if to == (netip.AddrPort{}) {
			reasons = append(reasons, "packet lost")
			continue
		}
		for _, i := range s.instances {
			if i.address == to.Addr() && i.disturbedSince(time.Now().Add(-lossWindow)) {
				reasons = append(reasons, "instance "+*i.fault.Load())
			}
		}
	}
	return reasons
}

// serverLosses returns whether the flow's server stopped responding.
func (s *soakRun) serverLosses(flow *platformtest.Flow) (reasons []string) {
	s.deployment.mu.Lock()
	defer s.deployment.mu.Unlock()
	for _, server := range s.ended {
		if server.Dropped(flow.Local) {
			reasons = append(reasons, "server ended")
		}
	}
	return reasons
}

// cutSince reports whether packets between data centres were lost since a time.
func (s *soakRun) cutSince(at time.Time) bool {
	for from := range s.partitioned {
		for to := range s.partitioned[from] {
			if s.partitioned[from][to].Load() {
				return true
			}
		}
	}
	return s.partitionEnded.Load() > at.UnixNano()
}
