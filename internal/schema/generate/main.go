// Command generate prints the JSON schema of the configuration document.
package main

import (
	"fmt"
	"os"

	"balsamfork/internal/schema"
)

func main() {
	data, err := schema.Generate()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	_, _ = os.Stdout.Write(data)
}
