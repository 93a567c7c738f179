package deployment_test

import (
	"bytes"
	"fmt"

	"balsamfork/declare"
	"balsamfork/examples/deployment"
	"balsamfork/internal/config"
)

func ExampleKernhaven() {
	printSummary(deployment.Kernhaven())
	// Output:
	// data centres ost-plain-a ost-plain-b ost-plain-c
	// order-desk at 203.0.113.10:443: 14 backend servers with 4 slots
	// catalogue at 203.0.113.11:443: 4 backend servers with 4 slots
}

func ExampleVitols() {
	printSummary(deployment.Vitols())
	// Output:
	// data centres Kuldīga Talsi Ventspils
	// order-board at 203.0.113.20:443: 14 backend servers with 3 slots
	// pattern-library at 203.0.113.21:443: 4 backend servers with 3 slots
}

func printSummary(c *declare.Config) {
	var b bytes.Buffer
	if err := c.Print(&b); err != nil {
		fmt.Println(err)
		return
	}
	doc, err := config.ParseDocument(b.Bytes())
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Print("data centres")
	for _, dc := range doc.DataCentres {
		fmt.Print(" ", dc.Name)
	}
	fmt.Println()
	for _, s := range doc.Services {
		fmt.Printf("%s at %v: %d backend servers with %d slots\n", s.Name, s.Address, len(s.BackendServers), s.Slots)
	}
}
