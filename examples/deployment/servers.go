package deployment

import (
	"fmt"

	"balsamfork/declare"
)

// Ports of a backend server. 4754 is the port of GRE in UDP (RFC 8086).
const (
	packetsPort  = 4754
	requestsPort = 8080
	healthPort   = 8081
)

// addServers adds count backend servers to a service and places them in the data
// centres round-robin. Each has its own loopback address in 127.0.subnet.0/24 and a
// name that consists of namePrefix and its number.
func addServers(s *declare.Service, dataCentres []*declare.DataCentre, namePrefix string, subnet, count int) {
	for i := range count {
		host := fmt.Sprintf("127.0.%d.%d", subnet, i+1)
		s.Server(fmt.Sprintf("%s-%02d", namePrefix, i+1), dataCentres[i%len(dataCentres)],
			declare.Packets(fmt.Sprintf("%s:%d", host, packetsPort)),
			declare.Requests(fmt.Sprintf("%s:%d", host, requestsPort)),
			declare.Health(fmt.Sprintf("http://%s:%d/health", host, healthPort)),
		)
	}
}
