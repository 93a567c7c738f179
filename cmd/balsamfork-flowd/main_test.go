package main

import (
	"os"
	"testing"
)

// instanceVariable is the environment variable that makes the test binary run as an
// instance, so that the tests start the real program in separate processes.
const instanceVariable = "BALSAMFORK_TEST_INSTANCE"

func TestMain(m *testing.M) {
	if os.Getenv(instanceVariable) != "" {
		os.Exit(run(nil))
	}
	os.Exit(m.Run())
}
