package store

import (
	"errors"
	"net/http"
	"net/http/httptest"
)

var errBroken = errors.New("connection broken")

// RoundTrip answers a call in process, without a socket, so that the server can
// stand in for a transport.
func (s *Server) RoundTrip(request *http.Request) (answer *http.Response, err error) {
	if err := request.Context().Err(); err != nil {
		return nil, err
	}
	defer func() {
		if cause := recover(); cause != nil {
			if cause != http.ErrAbortHandler {
				panic(cause)
			}
			answer, err = nil, errBroken
		}
	}()
	recorder := httptest.NewRecorder()
	s.ServeHTTP(recorder, request)
	if err := request.Context().Err(); err != nil {
		return nil, err
	}
	return recorder.Result(), nil
}
