package rendezvous

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"balsamfork/internal/fleet"
	"balsamfork/internal/table"
)

func instances(n int) []fleet.ID {
	ids := make([]fleet.ID, n)
	for i := range ids {
		ids[i] = fleet.ID(fmt.Sprintf("i%03d", i))
	}
	return ids
}

// TestTop removes one instance at a time: only the names that it was first for
// get another first, and the first is who was second.
func TestTop(t *testing.T) {
	is := is.New(t)
	all := instances(18)
	const names = 2000
	firsts := map[fleet.ID]int{}
	for name := range uint64(names) {
		top := Top(all, table.Mix(name), 3)
		is.Equal(len(top), 3)
		firsts[top[0]]++
		for gone := range all {
			rest := slices.Delete(slices.Clone(all), gone, gone+1)
			want := slices.DeleteFunc(slices.Clone(top), func(id fleet.ID) bool { return id == all[gone] })
			is.Equal(Top(rest, table.Mix(name), len(want)), want)
		}
	}
	for _, n := range firsts {
		is.True(n > names/18/2 && n < names/18*2) // evenly spread
	}
	is.Equal(Top(all[:2], 1, 5), Top(all[:2], 1, 2))
	is.Equal(len(Top(nil, 1, 2)), 0)
}

func TestFirst(t *testing.T) {
	is := is.New(t)
	v := &fleet.View{Instances: []fleet.Instance{{ID: "a", State: fleet.Dead}, {ID: "b", State: fleet.Alive}}}
	id, found := First(v, Name("orders"))
	is.True(found)
	is.Equal(id, fleet.ID("b"))
	_, found = First(&fleet.View{}, 1)
	is.True(!found)
}
