// Command vitols prints the configuration of the Vitols deployment as the JSON
// document that "balsamfork apply" takes.
package main

import (
	"fmt"
	"os"

	"balsamfork/examples/deployment"
)

func main() {
	if err := deployment.Vitols().Print(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
