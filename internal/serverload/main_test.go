package serverload

import (
	"testing"

	"balsamfork/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Run(m) }
