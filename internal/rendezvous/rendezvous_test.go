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

// TestTop removes one instance at a time: only the keys that were assigned to it move,
// each to the instance that ranked next.
func TestTop(t *testing.T) {
	is := is.New(t)
	all := instances(18)
	const keys = 2000
	assigned := map[fleet.ID]int{}
	for key := range uint64(keys) {
		top := Top(all, table.Mix(key), 3)
		is.Equal(len(top), 3)
		assigned[top[0]]++
		for removed := range all {
			rest := slices.Delete(slices.Clone(all), removed, removed+1)
			want := slices.DeleteFunc(slices.Clone(top), func(id fleet.ID) bool { return id == all[removed] })
			is.Equal(Top(rest, table.Mix(key), len(want)), want)
		}
	}
	for _, n := range assigned {
		is.True(n > keys/18/2 && n < keys/18*2) // keys are evenly distributed
	}
	is.Equal(Top(all[:2], 1, 5), Top(all[:2], 1, 2))
	is.Equal(len(Top(nil, 1, 2)), 0)
}

func TestFirst(t *testing.T) {
	is := is.New(t)
	v := &fleet.View{Instances: []fleet.Instance{{ID: "a", State: fleet.Dead}, {ID: "b", State: fleet.Alive}}}
	id, found := First(v, KeyOf("orders"))
	is.True(found)
	is.Equal(id, fleet.ID("b"))
	_, found = First(&fleet.View{}, 1)
	is.True(!found)
}
