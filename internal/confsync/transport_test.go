package confsync

import (
	"errors"
	"net/http"

	"balsamfork/internal/fleet"
)

// storeTransport carries calls from one instance to the store.
type storeTransport struct {
	testBed *testBed
	id      fleet.ID
}

func (r storeTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	sleep(request.Context(), oneWayDelay, nil)
	r.testBed.mu.Lock()
	cut, server := r.testBed.storeCutOff[r.testBed.partition[r.id]], r.testBed.store
	r.testBed.mu.Unlock()
	if cut {
		sleep(request.Context(), 1<<62, nil) // a partition drops the request without an answer
		return nil, errors.New("store unreachable across a partition")
	}
	return server.RoundTrip(request)
}
