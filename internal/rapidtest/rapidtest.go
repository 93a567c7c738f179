// Package rapidtest sets a fixed seed for property tests, so that every run of the
// test suite generates the same cases.
package rapidtest

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// Run runs the tests of a package with a fixed seed and without writing fail files,
// and exits. Packages with property tests call it from TestMain.
func Run(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
	}
	os.Exit(m.Run())
}
