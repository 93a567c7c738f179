package pair

import (
	"flag"
	"fmt"
	"maps"
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

var timing = Timing{Settle: time.Second, UnreachableRetention: 10 * time.Minute}

func view(states ...fleet.State) *fleet.View {
	v := &fleet.View{}
	for i, s := range states {
		if s != 0 {
			v.Instances = append(v.Instances, fleet.Instance{ID: fleet.ID(fmt.Sprint(i)), DataCentre: "a", Region: "r", State: s})
		}
	}
	return v
}

// TestPairIsWholeOnAtMostOneSideOfPartition checks that at most one side of any
// network partition can reach all members of a pair. It includes instances that
// start during the partition, and instances that have ended, which only their own
// side can prove.
func TestPairIsWholeOnAtMostOneSideOfPartition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 9).Draw(t, "instances")
		side := rapid.SliceOfN(rapid.IntRange(0, 1), n, n).Draw(t, "side")
		fresh := rapid.Bool().Draw(t, "fresh")
		name := rapid.Uint64().Draw(t, "name")
		ended := rapid.SliceOfN(rapid.Bool(), n, n).Draw(t, "ended")
		wholeSides := 0
		for s := range 2 {
			table := New(timing)
			states := make([]fleet.State, n)
			for i := range states {
				states[i] = fleet.Alive
			}
			if !fresh {
				table.Update(0, view(states...))
			}
			for i := range states {
				if side[i] != s || ended[i] {
					states[i] = fleet.Dead
				}
			}
			table.Update(1, view(states...))
			for i := range states {
				if side[i] == s && ended[i] {
					table.ConfirmEnded(1, fleet.ID(fmt.Sprint(i)), 0)
				}
			}
			p := table.Pair(name, "a", "r", int64(timing.UnreachableRetention))
			if k := table.ForKey(name, "a", int64(timing.UnreachableRetention)); k != p {
				t.Fatal("ForKey and Pair return different pairs")
			}
			reachable := 0
			for _, id := range p.IDs() {
				if states[id[0]-'0'] == fleet.Alive {
					reachable++
				}
			}
			if reachable > 0 && reachable == len(p.IDs()) {
				wholeSides++
			}
			if first, ok := table.First(name, "a", "r", 0); ok && states[first[0]-'0'] != fleet.Alive {
				t.Fatalf("First returns the dead instance %s", first)
			}
		}
		if wholeSides > 1 {
			t.Fatal("both sides of the partition reach all members of a pair")
		}
	})
}

// TestCountedMembers checks which instances count after instances are found dead,
// proved to have ended, leave, are missing from the view or restart.
func TestCountedMembers(t *testing.T) {
	is := is.New(t)
	table := New(timing)
	counts := func(at int64) int {
		n := 0
		for i := range table.members {
			if m := &table.members[i]; m.countsUntil == 0 || at < m.countsUntil {
				n++
			}
		}
		return n
	}
	retention := int64(timing.UnreachableRetention)
	table.Update(0, view(fleet.Alive, fleet.Alive, fleet.Alive, fleet.Alive))
	before := table.Pair(1, "a", "r", 9)
	is.Equal(len(before.IDs()), 2)
	table.Update(10, view(fleet.Alive, fleet.Leaving, fleet.Dead, fleet.Alive))
	table.Update(20, view(fleet.Alive, fleet.Dead, 0, fleet.Dead)) // the leaving one is dead now, another is missing
	is.Equal(counts(9), 4)
	is.Equal(counts(10), 3)
	is.Equal(len(table.UnreachableCounted("a", 20)), 2)
	is.Equal(len(table.EndUnconfirmed("a", 20)), 2)
	table.ConfirmEnded(30, "3", 0)
	table.ConfirmEnded(40, "3", 0) // a repeated proof
	is.Equal(counts(29), 3)
	is.Equal(counts(30), 2)
	is.Equal(len(table.UnreachableCounted("a", 30)), 1)
	is.Equal(counts(10+retention), 1)
	is.Equal(table.Pair(1, "a", "r", 9), before) // the pair at an earlier time is unchanged
	is.Equal(len(table.UnreachableCounted("a", 10+retention)), 0)
	table.Update(50, view(fleet.Alive, fleet.Dead, fleet.Suspect, fleet.Alive)) // an outdated view of the one that has ended
	is.Equal(counts(2*retention), 2)
	is.Equal(table.EndUnconfirmed("a", 50)[0].ID, fleet.ID("2"))
	v := view(fleet.Alive, fleet.Alive, fleet.Suspect, fleet.Alive)
	v.Instances[3].Incarnation = 1
	table.Update(60, v)
	is.Equal(counts(2*retention), 4)
	table.ConfirmEnded(70, "3", 0) // of its previous run
	is.Equal(counts(2*retention), 4)
	seen := make(map[fleet.ID]bool)
	for skip := range 4 {
		id, ok := table.First(1, "a", "r", skip)
		is.True(ok)
		seen[id] = true
	}
	is.Equal(len(seen), 4)
	_, ok := table.First(1, "a", "r", 4)
	is.True(!ok)
	id, ok := table.First(1, "none", "r", 0) // a data centre without instances
	is.True(ok && seen[id])
	is.Equal(table.DataCentre("3"), "a")
	is.True(!table.Unreachable("2") && table.Unreachable("x"))
	table.ConfirmEnded(80, "2", 0)
	is.True(table.Unreachable("2"))
	is.Equal(table.DataCentre("x"), "")
	is.Equal(table.Incarnation("3"), uint64(1))
	is.Equal(table.Incarnation("x"), uint64(0))
}

// observer is an instance's table in a schedule of changes that it learns of late.
type observer struct {
	table *Table
	// view is what the instance knows, by index of the instance.
	known map[int]fleet.Instance
}

func (o *observer) update(now int64) {
	v := &fleet.View{Self: "observer"}
	for i := range scheduleSize {
		if in, found := o.known[i]; found {
			v.Instances = append(v.Instances, in)
		}
	}
	o.table.Update(now, v)
}

// scheduleSize is the number of instances of a schedule of changes.
const scheduleSize = 8

// TestKeyPairsConvergeAfterChanges lets instances join, leave and restart while others
// learn of each change after up to half of the settling time, and starts observers
// between the changes. Once every observer knows all changes, all compute the same
// pair for a key, whenever it was created since the start of the newest observer.
// Otherwise a claim of the key would be withheld by the pair for as long as it is
// repeated.
func TestKeyPairsConvergeAfterChanges(t *testing.T) {
	const second = int64(time.Second)
	timing := Timing{Settle: time.Second, RecordsAfter: 4 * time.Second, UnreachableRetention: 10 * time.Minute}
	rapid.Check(t, func(t *rapid.T) {
		start := 1000 * second
		instance := func(i int, at int64) fleet.Instance {
			return fleet.Instance{ID: fleet.ID(fmt.Sprint(i)), DataCentre: "a", Region: "r", State: fleet.Alive, Incarnation: uint64(at / 1e6)}
		}
		truth := make(map[int]fleet.Instance)
		for i := range scheduleSize - 3 {
			truth[i] = instance(i, start-rapid.Int64Range(0, 100).Draw(t, "age")*second)
		}
		var observers []*observer
		observe := func(now int64) {
			o := &observer{table: New(timing), known: maps.Clone(truth)}
			o.update(now)
			observers = append(observers, o)
		}
		observe(start)
		now, newest := start, start
		for range rapid.IntRange(1, 6).Draw(t, "changes") {
			now += rapid.Int64Range(second/2, 3*second).Draw(t, "pause")
			i := rapid.IntRange(0, scheduleSize-1).Draw(t, "instance")
			in, known := truth[i]
			switch {
			case !known || in.State == fleet.Leaving && now/1e6 > int64(in.LeavesAt):
				in = instance(i, now)
			case in.State == fleet.Alive:
				in.State, in.LeavesAt = fleet.Leaving, uint64(now/1e6)+200
			}
			truth[i] = in
			late := now
			for _, o := range observers {
				at := now + rapid.Int64Range(0, second/2).Draw(t, "delay")
				o.known[i] = in
				o.update(at)
				late = max(late, at)
			}
			if rapid.Bool().Draw(t, "observer starts") {
				newest = late
				observe(newest)
			}
			now = late
		}
		name := rapid.Uint64().Draw(t, "name")
		for range 20 {
			created := rapid.Int64Range(newest, now+10*second).Draw(t, "created")
			want := observers[0].table.ForKey(name, "a", created)
			for _, o := range observers[1:] {
				if got := o.table.ForKey(name, "a", created); got != want {
					t.Fatalf("key created at %v: pairs %v and %v", time.Duration(created-start), want.IDs(), got.IDs())
				}
			}
		}
	})
}
