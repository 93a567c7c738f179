package exchange

import (
	"sync"
	"time"
)

const (
	// seekEvery is how often a data centre that is sought is written to.
	seekEvery = 400 * time.Millisecond
	// seekFor is how long it is sought; it covers the longest cut between data centres that is planned for.
	seekFor = 30 * time.Second
	// seekPeers is how many instances are written to at a time, as one may be gone.
	seekPeers = 2
)

// sought holds until when data centres are sought.
type sought struct {
	mu    sync.Mutex
	until map[string]int64
}

// Seek writes to instances of a data centre until one answers, which Contact is
// told. It does not block.
func (e *Exchange) Seek(dataCentre string) {
	e.sought.mu.Lock()
	defer e.sought.mu.Unlock()
	if e.sought.until == nil {
		e.sought.until = map[string]int64{}
	}
	_, running := e.sought.until[dataCentre]
	e.sought.until[dataCentre] = e.Clock() + int64(seekFor)
	if !running {
		go e.seek(dataCentre)
	}
}

func (e *Exchange) seek(dataCentre string) {
	for e.seeking(dataCentre) {
		e.sendAll(message{From: e.peers.self, Ping: true}, e.peers.some(dataCentre, seekPeers))
		select {
		case <-e.ctx.Done():
			return
		case <-time.After(seekEvery):
		}
	}
}

// seeking reports whether a data centre is still sought.
func (e *Exchange) seeking(dataCentre string) bool {
	e.sought.mu.Lock()
	defer e.sought.mu.Unlock()
	until, found := e.sought.until[dataCentre]
	if found && e.Clock() > until {
		delete(e.sought.until, dataCentre)
		found = false
	}
	return found
}

// found ends the search for a data centre.
func (e *Exchange) found(dataCentre string) {
	e.sought.mu.Lock()
	_, running := e.sought.until[dataCentre]
	delete(e.sought.until, dataCentre)
	e.sought.mu.Unlock()
	if running {
		e.Contact(dataCentre)
	}
}
