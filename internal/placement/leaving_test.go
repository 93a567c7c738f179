package placement

import (
	"testing"

	"github.com/matryer/is"

	"balsamfork/internal/fleet"
	"balsamfork/internal/records"
)

// When all instances leave at once, none waits for another to take its records.
func TestNobodyIsLeftToHandOverTo(t *testing.T) {
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
