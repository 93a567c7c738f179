package config

import (
	"encoding/json"
	"testing"
)

// planned returns the stored form with 290 services and 3,300 backend servers, and
// the one after a drain.
func planned(b *testing.B) (*State, *State) {
	sizes := make([]int, 290)
	for i := range sizes {
		sizes[i] = 11
		if i < 110 {
			sizes[i] = 12
		}
	}
	doc := deployment(sizes...)
	old := must(b, nil, doc, false)
	drained, err := doc.WithServerState("service-7", "s7-3", Draining)
	if err != nil {
		b.Fatal(err)
	}
	return old, must(b, old, drained, false)
}

// BenchmarkFollow is what one change costs an instance: to decode the delta, apply
// it, check the whole and build the configuration.
func BenchmarkFollow(b *testing.B) {
	old, next := planned(b)
	follow(b, old, next)
}

// BenchmarkWhole is what a start costs: the same from nothing.
func BenchmarkWhole(b *testing.B) {
	_, next := planned(b)
	follow(b, nil, next)
}

func follow(b *testing.B, old, next *State) {
	data, err := json.Marshal(next.DeltaFrom(old.Held()))
	if err != nil {
		b.Fatal(err)
	}
	b.SetBytes(int64(len(data)))
	b.ReportAllocs()
	for b.Loop() {
		var d Delta
		if err := json.Unmarshal(data, &d); err != nil {
			b.Fatal(err)
		}
		state, err := d.Apply(old)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := state.Config(); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkAccept is what a change costs the operator's tool.
func BenchmarkAccept(b *testing.B) {
	old, next := planned(b)
	doc := next.Document()
	b.ReportAllocs()
	for b.Loop() {
		if _, _, err := Accept(old, doc, change("x", 1)); err != nil {
			b.Fatal(err)
		}
	}
}
