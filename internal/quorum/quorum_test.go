package quorum

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"balsamfork/internal/fleet"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

var timing = Timing{Settle: time.Second, DeadMemory: 10 * time.Minute, LeaveMemory: 10 * time.Second}

func view(states ...fleet.State) *fleet.View {
	v := &fleet.View{}
	for i, s := range states {
		if s != 0 {
			v.Instances = append(v.Instances, fleet.Instance{ID: fleet.ID(fmt.Sprint(i)), DataCentre: "a", Region: "r", State: s})
		}
	}
	return v
}

// TestSidesOfPartition gives both sides of any partition their views, also to
// instances that start within it: at most one side has a majority.
func TestSidesOfPartition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 9).Draw(t, "instances")
		side := rapid.SliceOfN(rapid.IntRange(0, 1), n, n).Draw(t, "side")
		fresh := rapid.Bool().Draw(t, "fresh")
		name := rapid.Uint64().Draw(t, "name")
		majorities := 0
		for s := range 2 {
			e := New(timing)
			states := make([]fleet.State, n)
			for i := range states {
				states[i] = fleet.Alive
			}
			if !fresh {
				e.Update(0, view(states...))
			}
			for i := range states {
				if side[i] != s {
					states[i] = fleet.Dead
				}
			}
			e.Update(1, view(states...))
			g := e.Group(name, "a", "r", int64(timing.DeadMemory))
			votes := 0
			for _, id := range g.IDs() {
				if states[id[0]-'0'] == fleet.Alive {
					votes++
				}
			}
			if votes >= g.Majority() {
				majorities++
			}
			if first, ok := e.First(name, "a", "r", 0); ok && states[first[0]-'0'] != fleet.Alive {
				t.Fatalf("%s is first and dead", first)
			}
		}
		if majorities > 1 {
			t.Fatal("both sides have a majority")
		}
	})
}

// TestMemory follows who counts as instances die, leave, vanish and come back.
func TestMemory(t *testing.T) {
	is := is.New(t)
	e := New(timing)
	size := func(at int64) int { g := e.Group(1, "a", "r", at); return len(g.IDs()) }
	e.Update(0, view(fleet.Alive, fleet.Alive, fleet.Alive))
	is.Equal(size(0), 3)
	e.Update(10, view(fleet.Alive, fleet.Leaving, fleet.Dead))
	e.Update(20, view(fleet.Alive, fleet.Dead, 0)) // the one that left is dead now, the other has vanished
	is.Equal(size(int64(timing.LeaveMemory)), 3)
	is.Equal(size(10+int64(timing.LeaveMemory)), 2)
	is.Equal(size(int64(timing.DeadMemory)), 2)
	is.Equal(size(10+int64(timing.DeadMemory)), 1)
	is.Equal(size(0), 3) // a name from before keeps its group
	e.Update(30, view(fleet.Alive, fleet.Alive, fleet.Suspect))
	is.Equal(size(int64(timing.DeadMemory)*2), 3)
	seen := make(map[fleet.ID]bool)
	for skip := range 3 {
		id, ok := e.First(1, "a", "r", skip)
		is.True(ok)
		seen[id] = true
	}
	is.Equal(len(seen), 3)
	_, ok := e.First(1, "a", "r", 3)
	is.True(!ok)
	id, ok := e.First(1, "none", "r", 0) // a data centre without instances
	is.True(ok && seen[id])
}
