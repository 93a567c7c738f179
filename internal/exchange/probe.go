package exchange

import (
	"sync"
	"time"
)

const (
	// probeInterval is how often a data centre that is being probed receives a ping.
	probeInterval = 400 * time.Millisecond
	// probeDuration is how long a data centre is probed; it covers the longest
	// network partition between data centres that is planned for.
	probeDuration = 30 * time.Second
	// probePeers is how many instances are pinged at a time, as one may be gone.
	probePeers = 2
)

// probes holds the data centres that are being probed, and until when.
type probes struct {
	mu    sync.Mutex
	until map[string]int64
}

// ProbeDataCentre pings instances of a data centre until one answers, and then
// calls OnContact. It does not block.
func (e *Exchange) ProbeDataCentre(dataCentre string) {
	e.probes.mu.Lock()
	defer e.probes.mu.Unlock()
	if e.probes.until == nil {
		e.probes.until = map[string]int64{}
	}
	_, running := e.probes.until[dataCentre]
	e.probes.until[dataCentre] = e.Clock() + int64(probeDuration)
	if !running {
		go e.probe(dataCentre)
	}
}

func (e *Exchange) probe(dataCentre string) {
	for e.probing(dataCentre) {
		e.sendAll(message{From: e.peers.self, Ping: true}, e.peers.inDataCentre(dataCentre, probePeers))
		select {
		case <-e.ctx.Done():
			return
		case <-time.After(probeInterval):
		}
	}
}

// probing reports whether a data centre is still being probed.
func (e *Exchange) probing(dataCentre string) bool {
	e.probes.mu.Lock()
	defer e.probes.mu.Unlock()
	until, found := e.probes.until[dataCentre]
	if found && e.Clock() > until {
		delete(e.probes.until, dataCentre)
		found = false
	}
	return found
}

// endProbe stops probing a data centre that has answered.
func (e *Exchange) endProbe(dataCentre string) {
	e.probes.mu.Lock()
	_, running := e.probes.until[dataCentre]
	delete(e.probes.until, dataCentre)
	e.probes.mu.Unlock()
	if running {
		e.OnContact(dataCentre)
	}
}
