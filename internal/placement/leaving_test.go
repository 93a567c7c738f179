package placement

import (
	"testing"

	"github.com/matryer/is"

	"balsamfork/internal/fleet"
	"balsamfork/internal/records"
)

// Guards against instances that all leave at once and never stop, because each
// waits for another to take over its records.
func TestHandedOverWhenAllInstancesLeave(t *testing.T) {
	is := is.New(t)
	e := New(Options{Self: "a", Records: records.LimitsFor(1 << 10)})
	view := &fleet.View{Self: "a", Instances: []fleet.Instance{
		{ID: "a", Region: "r", State: fleet.Leaving}, {ID: "b", Region: "r", State: fleet.Alive},
	}}
	e.SetView(1, view)
	is.True(!e.HandedOver()) // b has not been asked yet
	view.Instances[1].State = fleet.Leaving
	e.SetView(2, view)
	is.True(e.HandedOver())
}
