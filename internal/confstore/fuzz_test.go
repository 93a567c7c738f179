package confstore

import (
	"encoding/json"
	"testing"

	"balsamfork/internal/config"
	"balsamfork/internal/storeclient"
	"balsamfork/platform"
	"balsamfork/platform/platformtest"
)

// FuzzRead stores arbitrary bytes as the head, a value, the allocations or a
// page of the audit trail. Reading and writing may fail, but must not panic.
func FuzzRead(f *testing.F) {
	server := platformtest.NewStore()
	client := storeclient.New(storeclient.Options{Service: platform.NewStore(platform.StoreOptions{URL: "http://store", Transport: server}), FleetSize: 1})
	r := New(client)
	doc := document(2, 2)
	if _, err := r.Apply(f.Context(), doc, change("first", 0)); err != nil {
		f.Fatal(err)
	}
	keys := []string{headKey, valueKey(1), allocationKey, auditPrefix + "/0"}
	original := map[string][]byte{}
	for i, key := range keys {
		value, err := client.Get(f.Context(), key)
		if err != nil {
			f.Fatal(err)
		}
		original[key] = value.Data
		f.Add(i, value.Data)
	}
	f.Add(0, []byte(`{"header":{"version":1},"services":[{"name":"x","value":1}]}`))
	f.Fuzz(func(t *testing.T, index int, data []byte) {
		server := platformtest.NewStore()
		client := storeclient.New(storeclient.Options{Service: platform.NewStore(platform.StoreOptions{URL: "http://store", Transport: server}), FleetSize: 1})
		r := New(client)
		for i, key := range keys {
			stored := original[key]
			if i == index {
				stored = data
			}
			if _, err := client.CompareAndSwap(t.Context(), key, 0, stored); err != nil {
				t.Fatal(err)
			}
		}
		if s, err := r.Read(t.Context(), Snapshot{}); err == nil && s.State != nil {
			_, _ = s.State.Config()
		}
		_, _ = r.Audit(t.Context(), 0)
		_, _ = r.Apply(t.Context(), doc, config.Change{ID: "next", BaseVersion: 1})
		_, _ = r.Apply(t.Context(), withDrainedServer(t, doc, 0, 0), config.Change{ID: "after", BaseVersion: 1})
	})
}

// FuzzDelta applies arbitrary deltas, such as a faulty peer or one of another
// release might send.
func FuzzDelta(f *testing.F) {
	base, _, err := config.Accept(nil, document(2, 2), change("first", 0))
	if err != nil {
		f.Fatal(err)
	}
	next, _, err := config.Accept(base, withDrainedServer(f, document(2, 2), 0, 0), change("second", 1))
	if err != nil {
		f.Fatal(err)
	}
	for _, have := range []*config.State{nil, base} {
		data, _ := json.Marshal(next.DeltaFrom(have.VersionID()))
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var d config.Delta
		if json.Unmarshal(data, &d) != nil {
			return
		}
		for _, have := range []*config.State{nil, base} {
			if got, err := d.Apply(have); err == nil {
				_, _ = got.Config()
			}
		}
	})
}
