package requestpath

import (
	"encoding/json"

	"balsamfork/internal/admission"
	"balsamfork/internal/atmostonce"
	"balsamfork/internal/pair"
	"balsamfork/internal/request"
)

// Methods that callers use.
const (
	methodDo     = "request.do"
	methodCancel = "request.cancel"
	methodHome   = "request.home"
)

// Methods between instances. All are answered immediately: results and outcomes are
// returned by separate calls, so that long requests do not block the link.
const (
	peerRun     = "request.run"
	peerDrop    = "request.drop"
	peerClaim   = "request.claim"
	peerAdmit   = "request.admit"
	peerStop    = "request.stop"
	peerHold    = "request.hold"
	peerRelease = "request.release"
	peerResult  = "request.result"
	peerOutcome = "request.outcome"
)

// ServerCancel is the method that cancels a request at a backend server.
// CodeCancelled and CodeNotRun are the error codes by which a backend server reports
// that it has cancelled the request, or that it has not run it. ServerCancel and
// CodeCancelled are those of the Language Server Protocol for the same purpose.
const (
	ServerCancel  = "$/cancelRequest"
	CodeCancelled = -32800
	CodeNotRun    = -32050
)

// CancelParams are the params of "request.cancel".
type CancelParams struct {
	ID string `json:"id"`
}

// HomeResult is the result of "request.home": the home and the creation time for a
// key that is made now.
type HomeResult struct {
	Home string `json:"home"`
	// Now is the clock of the instance in milliseconds of Unix time.
	Now int64 `json:"now"`
}

// copyID identifies one copy of a request: the instance that sent it and the ID of
// the waiter there.
type copyID struct {
	From pair.Holder `json:"from"`
	Seq  uint64      `json:"seq"`
}

type runParams struct {
	Copy    copyID           `json:"copy"`
	Request *request.Request `json:"request"`
	// Join asks for the result of a request that has been started, and starts none.
	Join bool `json:"join,omitempty"`
}

type resultParams struct {
	Copy   copyID         `json:"copy"`
	Result request.Result `json:"result"`
}

type outcomeParams struct {
	ID      admission.AttemptID `json:"id"`
	Outcome admission.Outcome   `json:"outcome"`
}

type dropParams struct {
	Copy   copyID `json:"copy"`
	Cancel bool   `json:"cancel"`
}

type claimResult struct {
	Verdict atmostonce.Verdict  `json:"verdict"`
	By      atmostonce.Claimant `json:"by"`
}

type holdResult struct {
	Granted []admission.Grant `json:"granted"`
}

// CancelServerParams are the params of ServerCancel: the ID of the JSON-RPC request
// to cancel.
type CancelServerParams struct {
	ID string `json:"id"`
}

// ServerParams are the params of a request to a backend server. The answer must
// carry the same Attempt: a ServerResult, or an error with ServerFault as its data.
type ServerParams struct {
	Attempt string `json:"attempt"`
	Key     string `json:"key"`
	// Deadline is when the request must have ended, in milliseconds of Unix time.
	Deadline int64           `json:"deadline"`
	Params   json.RawMessage `json:"params,omitempty"`
}

// ServerResult is the result of a request at a backend server.
type ServerResult struct {
	Attempt string          `json:"attempt"`
	Value   json.RawMessage `json:"value"`
}

// ServerFault is the data of an error response of a backend server.
type ServerFault struct {
	Attempt string          `json:"attempt"`
	Data    json.RawMessage `json:"data,omitempty"`
}

// decodeParams decodes the params of a message from another instance. It returns
// request.InvalidError.
func decodeParams[T any](raw json.RawMessage) (T, error) {
	var v T
	if err := json.Unmarshal(raw, &v); err != nil {
		return v, request.InvalidError.Wrap(err)
	}
	return v, nil
}

func decodeAttempt(raw json.RawMessage) (admission.Attempt, error) {
	a, err := decodeParams[admission.Attempt](raw)
	if err != nil {
		return a, err
	}
	if a.Request == nil {
		return a, request.InvalidError.New("request: missing")
	}
	return a, a.Request.Validate()
}
