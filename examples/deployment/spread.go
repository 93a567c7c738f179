package deployment

import (
	"fmt"

	"balsamfork/declare"
)

// The ports of a backend server: GRE in UDP has 4754 by RFC 8086.
const (
	packetsPort  = 4754
	requestsPort = 8080
	healthPort   = 8081
)

// spread adds count backend servers to a service, in turn over the data
// centres. Each has a loopback address of its own in 127.0.net.0/24.
func spread(s *declare.Service, in []*declare.DataCentre, name string, net, count int) {
	for i := range count {
		host := fmt.Sprintf("127.0.%d.%d", net, i+1)
		s.Server(fmt.Sprintf("%s-%02d", name, i+1), in[i%len(in)],
			declare.Packets(fmt.Sprintf("%s:%d", host, packetsPort)),
			declare.Requests(fmt.Sprintf("%s:%d", host, requestsPort)),
			declare.Health(fmt.Sprintf("http://%s:%d/health", host, healthPort)),
		)
	}
}
