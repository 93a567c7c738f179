package config

import (
	"encoding/json"
	"testing"
)

// benchStates returns a version with 290 services and 3,300 backend servers, and the
// version after a drain.
func benchStates(b *testing.B) (*State, *State) {
	sizes := make([]int, 290)
	for i := range sizes {
		sizes[i] = 11
		if i < 110 {
			sizes[i] = 12
		}
	}
	doc := testDocument(sizes...)
	old := mustAccept(b, nil, doc, false)
	drained, err := doc.WithServerState("service-7", "s7-3", Draining)
	if err != nil {
		b.Fatal(err)
	}
	return old, mustAccept(b, old, drained, false)
}

// BenchmarkApplyDelta measures what one change costs an instance: decoding and
// applying the delta, checking the result and building the configuration.
func BenchmarkApplyDelta(b *testing.B) {
	old, next := benchStates(b)
	benchApplyDelta(b, old, next)
}

// BenchmarkApplyFull measures the same for a full copy, as at the start of an instance.
func BenchmarkApplyFull(b *testing.B) {
	_, next := benchStates(b)
	benchApplyDelta(b, nil, next)
}

func benchApplyDelta(b *testing.B, old, next *State) {
	data, err := json.Marshal(next.DeltaFrom(old.VersionID()))
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

// BenchmarkAccept measures what a change costs the operator's tool.
func BenchmarkAccept(b *testing.B) {
	old, next := benchStates(b)
	doc := next.Document()
	b.ReportAllocs()
	for b.Loop() {
		if _, _, err := Accept(old, doc, testChange("x", 1)); err != nil {
			b.Fatal(err)
		}
	}
}
