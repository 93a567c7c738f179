package confsync

import (
	"errors"
	"net/http"

	"balsamfork/internal/fleet"
)

// reach is the way from one instance to the store.
type reach struct {
	bed *bed
	id  fleet.ID
}

func (r reach) RoundTrip(request *http.Request) (*http.Response, error) {
	sleep(request.Context(), oneWay, nil)
	r.bed.mu.Lock()
	cut, server := r.bed.cutStore[r.bed.group[r.id]], r.bed.store
	r.bed.mu.Unlock()
	if cut {
		sleep(request.Context(), 1<<62, nil) // no answer at all
		return nil, errors.New("cut off")
	}
	return server.RoundTrip(request)
}
