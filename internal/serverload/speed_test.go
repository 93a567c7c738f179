package serverload

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestLongResponseLimit guards against an overflow of the limit times the responses, which made
// the mean response time negative.
func TestLongResponseLimit(t *testing.T) {
	is := is.New(t)
	var r responses
	r.add(maxCount, time.Hour, 4*time.Hour)
	is.Equal(r.all.sum, time.Hour.Seconds())
	is.True(r.recent.sum > 0)
}
