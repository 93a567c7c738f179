package main

import (
	"os"
	"testing"
)

// asInstance is the variable by which the test binary runs as an instance, so that
// the tests have the real program as separate processes.
const asInstance = "BALSAMFORK_TEST_INSTANCE"

func TestMain(m *testing.M) {
	if os.Getenv(asInstance) != "" {
		os.Exit(run(nil))
	}
	os.Exit(m.Run())
}
