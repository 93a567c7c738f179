package confsync

import (
	"math/rand/v2"
	"testing"

	"balsamfork/internal/config"
	"balsamfork/internal/configtest"
	"balsamfork/internal/peer"
)

// FuzzAnswers calls the methods with parameters that a faulty peer might send.
func FuzzAnswers(f *testing.F) {
	state, _, err := config.Accept(nil, configtest.Document(2, 2, "dc0"), config.Change{ID: "first", HashKey: [16]byte{1}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add([]byte(`{"version":1,"changeID":"first","names":"7"}`))
	f.Add([]byte(`{"version":18446744073709551615}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		n := &node{handlers: map[string]peer.Handler{}}
		s := New(Options{Self: "a", Peers: n, Random: rand.New(rand.NewPCG(1, 1))}, n)
		s.holder.adopt(state, fromPeer)
		for _, method := range []string{MethodGet, MethodVersion} {
			_, _ = n.handlers[method](t.Context(), "b", data)
		}
		if s.State() != state {
			t.Fatal("a request from a peer changed the version in force")
		}
	})
}
