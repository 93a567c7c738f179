package confsettle

import (
	"context"
	"testing"

	"balsamfork/internal/config"
	"balsamfork/internal/fleet"
	"balsamfork/internal/peer"
)

// FuzzAnswer calls MethodSettle with parameters that a faulty peer might send.
func FuzzAnswer(f *testing.F) {
	f.Add([]byte(`{"service":"a","action":"rebase","seen":3}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		l := testLink{&network{handlers: map[fleet.ID]peer.Handler{}}, "a"}
		s := New(Options{Self: "a", Writer: refusingWriter{}, Peers: l}, l)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go s.Run(ctx)
		result, err := l.handlers["a"](ctx, "b", data)
		if err == nil && result.(settleResult).Class != classConflict {
			t.Fatalf("result %+v, want an error or a conflict", result)
		}
	})
}

// refusingWriter rejects every settlement with config.Conflict.
type refusingWriter struct{}

func (refusingWriter) Settle(_ context.Context, all []config.Settlement) ([]error, error) {
	errs := make([]error, len(all))
	for i := range errs {
		errs[i] = config.Conflict.New("refused")
	}
	return errs, nil
}
