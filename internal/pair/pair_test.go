package pair

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

var timing = Timing{Settle: time.Second, SilentMemory: 10 * time.Minute}

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
// instances that start within it, and lets some have ended, which only their own side
// can prove: at most one side has both of a pair.
func TestSidesOfPartition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 9).Draw(t, "instances")
		side := rapid.SliceOfN(rapid.IntRange(0, 1), n, n).Draw(t, "side")
		fresh := rapid.Bool().Draw(t, "fresh")
		name := rapid.Uint64().Draw(t, "name")
		ended := rapid.SliceOfN(rapid.Bool(), n, n).Draw(t, "ended")
		sides := 0
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
				if side[i] != s || ended[i] {
					states[i] = fleet.Dead
				}
			}
			e.Update(1, view(states...))
			for i := range states {
				if side[i] == s && ended[i] {
					e.Gone(1, fleet.ID(fmt.Sprint(i)), 0)
				}
			}
			p := e.Pair(name, "a", "r", int64(timing.SilentMemory))
			if k := e.ForKey(name, "a", int64(timing.SilentMemory)); k != p {
				t.Fatal("keys have another pair")
			}
			there := 0
			for _, id := range p.IDs() {
				if states[id[0]-'0'] == fleet.Alive {
					there++
				}
			}
			if there > 0 && there == len(p.IDs()) {
				sides++
			}
			if first, ok := e.First(name, "a", "r", 0); ok && states[first[0]-'0'] != fleet.Alive {
				t.Fatalf("%s is first and dead", first)
			}
		}
		if sides > 1 {
			t.Fatal("both sides have both of a pair")
		}
	})
}

// TestMemory follows who counts as instances die, end, leave, vanish and come back.
func TestMemory(t *testing.T) {
	is := is.New(t)
	e := New(timing)
	counts := func(at int64) int {
		n := 0
		for i := range e.members {
			if m := &e.members[i]; m.until == 0 || at < m.until {
				n++
			}
		}
		return n
	}
	long := int64(timing.SilentMemory)
	e.Update(0, view(fleet.Alive, fleet.Alive, fleet.Alive, fleet.Alive))
	before := e.Pair(1, "a", "r", 9)
	is.Equal(len(before.IDs()), 2)
	e.Update(10, view(fleet.Alive, fleet.Leaving, fleet.Dead, fleet.Alive))
	e.Update(20, view(fleet.Alive, fleet.Dead, 0, fleet.Dead)) // the one that left is dead now, another has vanished
	is.Equal(counts(9), 4)
	is.Equal(counts(10), 3)
	is.Equal(len(e.Silent("a", 20)), 2)
	is.Equal(len(e.Doubted("a", 20)), 2)
	e.Gone(30, "3", 0)
	e.Gone(40, "3", 0) // proved again
	is.Equal(counts(29), 3)
	is.Equal(counts(30), 2)
	is.Equal(len(e.Silent("a", 30)), 1)
	is.Equal(counts(10+long), 1)
	is.Equal(e.Pair(1, "a", "r", 9), before) // a name from before keeps its pair
	is.Equal(len(e.Silent("a", 10+long)), 0)
	e.Update(50, view(fleet.Alive, fleet.Dead, fleet.Suspect, fleet.Alive)) // old news of the one that has ended
	is.Equal(counts(2*long), 2)
	is.Equal(e.Doubted("a", 50)[0].ID, fleet.ID("2"))
	v := view(fleet.Alive, fleet.Alive, fleet.Suspect, fleet.Alive)
	v.Instances[3].Incarnation = 1
	e.Update(60, v)
	is.Equal(counts(2*long), 4)
	e.Gone(70, "3", 0) // of its former run
	is.Equal(counts(2*long), 4)
	seen := make(map[fleet.ID]bool)
	for skip := range 4 {
		id, ok := e.First(1, "a", "r", skip)
		is.True(ok)
		seen[id] = true
	}
	is.Equal(len(seen), 4)
	_, ok := e.First(1, "a", "r", 4)
	is.True(!ok)
	id, ok := e.First(1, "none", "r", 0) // a data centre without instances
	is.True(ok && seen[id])
	is.Equal(e.DataCentre("3"), "a")
	is.True(!e.Lost("2") && e.Lost("x"))
	e.Gone(80, "2", 0)
	is.True(e.Lost("2"))
	is.Equal(e.DataCentre("x"), "")
	is.Equal(e.Incarnation("3"), uint64(1))
	is.Equal(e.Incarnation("x"), uint64(0))
}
