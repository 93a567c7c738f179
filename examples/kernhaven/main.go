// Command kernhaven prints the configuration of the Kernhaven deployment as the JSON
// document that "balsamfork apply" takes.
package main

import (
	"fmt"
	"os"

	"balsamfork/examples/deployment"
)

func main() {
	if err := deployment.Kernhaven().Print(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
