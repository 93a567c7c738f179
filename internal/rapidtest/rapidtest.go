// Package rapidtest sets a fixed seed for property tests that use pgregory.net/rapid,
// so that every run of a package's tests generates the same cases.
package rapidtest

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// Run runs the tests of a package with a fixed seed and without writing rapid's fail
// files, and exits. It is called from the TestMain of a package that uses rapid.
func Run(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
	}
	os.Exit(m.Run())
}
