package selection

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"balsamfork/internal/catalogue"
	"balsamfork/internal/table"
)

const now = int64(time.Hour)

type fakeView struct {
	suspected map[string]bool
	load      map[string]float64
	refuse    bool
}

func (v fakeView) Suspected(b *catalogue.Backend, _ int64) bool { return v.suspected[b.Name] }
func (v fakeView) Load(b *catalogue.Backend) float64            { return v.load[b.Name] }
func (v fakeView) Cold(b *catalogue.Backend, now int64) bool    { return b.Cold(now) }
func (v fakeView) AdmitCold(*catalogue.Backend, int64) bool     { return !v.refuse }

// snapshot returns a snapshot with n servers s0, s1, ... of service desk in data
// centre a, each modified by change, and with the records more.
func snapshot(n int, change func(i int, r *catalogue.Record), more ...catalogue.Record) *catalogue.Snapshot {
	m := catalogue.NewMirror()
	var records []catalogue.Record
	for i := range n {
		r := catalogue.Record{
			ID:       catalogue.ID{Kind: catalogue.KindServer, Name: fmt.Sprint("s", i)},
			Revision: uint64(i + 1),
			Created:  uint64(i + 1),
			Server: &catalogue.Server{
				Number: uint64(i + 1), Address: netip.MustParseAddrPort("10.0.0.1:80"), Service: "desk", DataCentre: "a", Slots: 4,
			},
		}
		if change != nil {
			change(i, &r)
		}
		records = append(records, r)
	}
	m.Apply(catalogue.Delta{Complete: true, Revision: 1000, Records: append(records, more...)}, now, 0)
	return m.Snapshot()
}

func TestTiers(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(i int, r *catalogue.Record)
		more   []catalogue.Record
		view   fakeView
		want   string
		tier   Tier
	}{
		{"own data centre first", func(i int, r *catalogue.Record) { r.Server.DataCentre = []string{"b", "a", "b"}[i] }, nil, fakeView{}, "s1", Local},
		{"draining servers never", func(i int, r *catalogue.Record) { r.Server.Draining = i != 2 }, nil, fakeView{}, "s2", Local},
		{"cold servers last", func(i int, r *catalogue.Record) {
			if i != 0 {
				r.Server.Warmup = time.Second
				return
			}
			r.Server.DataCentre = "b"
		}, nil, fakeView{}, "s0", Remote},
		{"suspected servers last", nil, nil, fakeView{suspected: map[string]bool{"s0": true, "s1": true}}, "s2", Local},
		{"evacuated data centres never", func(i int, r *catalogue.Record) { r.Server.DataCentre = []string{"a", "a", "b"}[i] },
			[]catalogue.Record{{ID: catalogue.ID{Kind: catalogue.KindEvacuation, Name: "a"}, Revision: 9}}, fakeView{}, "s2", Remote},
		{"unreadable servers never", func(i int, r *catalogue.Record) {
			if i != 1 {
				r.Server = nil
			}
		}, nil, fakeView{}, "s1", Local},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			snap := snapshot(3, c.change, c.more...)
			for hash := range uint64(50) {
				got := Selector{DataCentre: "a"}.Choose(snap, Request{Service: "desk", Hash: table.Mix(hash)}, c.view, now)
				is.True(got.Backend != nil)
				is.Equal(got.Backend.Name, c.want)
				is.Equal(got.Tier, c.tier)
			}
		})
	}
}

func TestRemovedServersStayUsableForGracePeriod(t *testing.T) {
	is := is.New(t)
	snap := snapshot(1, func(_ int, r *catalogue.Record) { r.Removed, r.Server = true, nil })
	is.Equal(len(snap.Backends("desk")), 0) // the server was never present
	m := catalogue.NewMirror()
	known := snapshot(1, nil)
	m.Apply(catalogue.Delta{Complete: true, Revision: 1, Records: []catalogue.Record{{
		ID: catalogue.ID{Kind: catalogue.KindServer, Name: "s0"}, Revision: 1, Server: &known.Backends("desk")[0].Server,
	}}}, now, 0)
	m.Apply(catalogue.Delta{Complete: true, Revision: 2}, now, 0)
	choose := func(at int64) Choice {
		return Selector{"a"}.Choose(m.Snapshot(), Request{Service: "desk", Hash: 1}, fakeView{}, at)
	}
	is.True(choose(now+int64(RemovedGracePeriod)).Backend != nil)
	is.True(choose(now+int64(RemovedGracePeriod)+1).Backend == nil)
}

func TestColdServersNeedAdmission(t *testing.T) {
	is := is.New(t)
	snap := snapshot(2, func(_ int, r *catalogue.Record) { r.Server.Warmup = time.Second })
	is.Equal(Selector{"a"}.Choose(snap, Request{Service: "desk", Hash: 1}, fakeView{}, now).Tier, Cold)
	got := Selector{"a"}.Choose(snap, Request{Service: "desk", Hash: 1}, fakeView{refuse: true}, now)
	is.True(got.Backend == nil)
	is.Equal(got.Tier, Cold)
}

// TestLeastLoadedOfThree checks that the least loaded of three servers is chosen, since
// long flows leave servers unevenly loaded.
func TestLeastLoadedOfThree(t *testing.T) {
	is := is.New(t)
	snap := snapshot(3, nil)
	view := fakeView{load: map[string]float64{"s0": 2, "s1": 1, "s2": 3}}
	for hash := range uint64(20) {
		is.Equal(Selector{"a"}.Choose(snap, Request{Service: "desk", Hash: table.Mix(hash)}, view, now).Backend.Name, "s1")
	}
}

// TestViewsMostlyAgree checks that with equal loads a new server moves only the flows
// that it is chosen for.
func TestViewsMostlyAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 30).Draw(t, "servers")
		before, after := snapshot(n, nil), snapshot(n+1, nil)
		for range 20 {
			hash := rapid.Uint64().Draw(t, "hash")
			a := Selector{"a"}.Choose(before, Request{Service: "desk", Hash: hash}, fakeView{}, now).Backend
			b := Selector{"a"}.Choose(after, Request{Service: "desk", Hash: hash}, fakeView{}, now).Backend
			if a.Name != b.Name && b.Name != fmt.Sprint("s", n) {
				t.Fatalf("a flow moved from %s to %s", a.Name, b.Name)
			}
		}
	})
}

func TestExcludedServerIsNotChosen(t *testing.T) {
	is := is.New(t)
	snap := snapshot(2, nil)
	for hash := range uint64(50) {
		first := Selector{"a"}.Choose(snap, Request{Service: "desk", Hash: hash}, fakeView{}, now).Backend
		second := Selector{"a"}.Choose(snap, Request{Service: "desk", Hash: hash, Exclude: first.Cookie}, fakeView{}, now).Backend
		is.True(first.Name != second.Name)
	}
}

func TestSpillPrefersOtherDataCentres(t *testing.T) {
	is := is.New(t)
	snap := snapshot(4, func(i int, r *catalogue.Record) { r.Server.DataCentre = []string{"a", "b", "a", "b"}[i] })
	view := fakeView{load: map[string]float64{"s0": 1, "s1": 9, "s2": 0.5}}
	is.Equal(Selector{"a"}.LocalLoad(snap, "desk", view, now), 0.75)
	for hash := range uint64(20) {
		got := Selector{"a"}.Choose(snap, Request{Service: "desk", Hash: hash, Spill: true}, view, now)
		is.Equal(got.Backend.DataCentre, "b")
		is.Equal(got.Tier, Remote)
	}
	alone := snapshot(2, nil)
	is.Equal(Selector{"a"}.Choose(alone, Request{Service: "desk", Spill: true}, view, now).Tier, Local)
}
