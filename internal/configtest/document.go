// Package configtest generates configuration documents of a given size for the tests
// of other packages.
package configtest

import (
	"fmt"
	"net/netip"

	"balsamfork/internal/config"
)

const (
	servicePort = 443
	packetsPort = 4754
	weight      = 100
	slots       = 4
)

// Document returns a document with the given number of services, named service-0 and
// so on, each with the given number of backend servers, named server-0 and so on,
// which are assigned to the data centres round-robin. At least one data centre must be
// given, and at most 256 backend servers per service: more would share addresses.
func Document(services, servers int, dataCentres ...string) config.Document {
	doc := config.Document{Format: config.DocumentFormat, Services: []config.ServiceDocument{}}
	for _, name := range dataCentres {
		doc.DataCentres = append(doc.DataCentres, config.DataCentreSpec{Name: name})
	}
	for i := range services {
		s := config.ServiceDocument{ServiceSpec: config.ServiceSpec{
			Name:     fmt.Sprintf("service-%d", i),
			Protocol: config.TCP,
			Slots:    slots,
			Address:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), servicePort),
		}}
		for j := range servers {
			s.BackendServers = append(s.BackendServers, server(i, j, dataCentres[j%len(dataCentres)]))
		}
		doc.Services = append(doc.Services, s)
	}
	return doc
}

func server(service, index int, dataCentre string) config.ServerSpec {
	host := netip.AddrFrom4([4]byte{127, byte(service >> 8), byte(service), byte(index + 1)})
	return config.ServerSpec{
		Name:       fmt.Sprintf("server-%d", index),
		DataCentre: dataCentre,
		Weight:     weight,
		State:      config.Active,
		Packets:    netip.AddrPortFrom(host, packetsPort),
	}
}
