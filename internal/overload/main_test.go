package overload

import (
	"testing"
	"time"

	"balsamfork/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Run(m) }

const (
	ms  = int64(time.Millisecond)
	sec = int64(time.Second)
)
