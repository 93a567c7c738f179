package demo

import (
	"fmt"
	"net/netip"
	"time"

	"balsamfork/internal/config"
)

// Deployment describes the size and the names of one deployment.
type Deployment struct {
	Name        string
	Region      string
	DataCentres []string
	Instances   int
	// DefaultFlowsPerServer is the usual number of flows of a backend server.
	DefaultFlowsPerServer int
	Services              []ServicePlan
}

// ServicePlan describes one service of a deployment.
type ServicePlan struct {
	Name    string
	Address netip.AddrPort
	Servers int
	// Slots is the number of requests that a backend server runs concurrently.
	Slots int
	// IdleLimit is the idle limit in the configuration; zero means no limit.
	IdleLimit time.Duration
	// NonRepeatable is set if some of its requests must not run twice.
	NonRepeatable bool
}

const (
	numInstances       = 13
	orderServers       = 14
	catalogueServers   = 4
	catalogueIdleLimit = 10 * time.Second
	// rampStart is the fraction of the weight with which a ramp starts.
	rampStart    = 0.1
	rampDuration = 5 * time.Second
)

// Kernhaven returns the deployment of Kernhaven Roasting Orders.
func Kernhaven() Deployment {
	return Deployment{
		Name:                  "kernhaven",
		Region:                "ost-plain",
		DataCentres:           []string{"ost-plain-a", "ost-plain-b", "ost-plain-c"},
		Instances:             numInstances,
		DefaultFlowsPerServer: 4300,
		Services:              services("order-desk", "catalogue", 4),
	}
}

// Vitols returns the deployment of the Vītols broom-makers' co-operative.
func Vitols() Deployment {
	return Deployment{
		Name:                  "vitols",
		Region:                "kurzeme",
		DataCentres:           []string{"kuldiga", "talsi", "ventspils"},
		Instances:             numInstances,
		DefaultFlowsPerServer: 4500,
		Services:              services("order-board", "pattern-library", 3),
	}
}

func services(orders, catalogue string, slots int) []ServicePlan {
	return []ServicePlan{
		{Name: orders, Address: netip.MustParseAddrPort("203.0.113.10:443"), Servers: orderServers, Slots: slots, NonRepeatable: true},
		{Name: catalogue, Address: netip.MustParseAddrPort("203.0.113.20:443"), Servers: catalogueServers, Slots: slots, IdleLimit: catalogueIdleLimit},
	}
}

// Find returns the deployment with the given name, or an error that lists the known
// names.
func Find(name string) (Deployment, error) {
	for _, d := range []Deployment{Kernhaven(), Vitols()} {
		if d.Name == name {
			return d, nil
		}
	}
	return Deployment{}, Error.New("unknown deployment %q; known deployments are kernhaven and vitols", name)
}

// dataCentre returns the data centre of the i-th instance or backend server, which
// are placed round-robin.
func (d Deployment) dataCentre(i int) string {
	return d.DataCentres[i%len(d.DataCentres)]
}

// instanceID returns the ID of the n-th instance started in a data centre.
func instanceID(dataCentre string, n int) string {
	return fmt.Sprintf("%s-%d", dataCentre, n)
}

// document returns the configuration without backend servers.
func (d Deployment) document() config.Document {
	doc := config.Document{Format: config.DocumentFormat}
	for _, name := range d.DataCentres {
		doc.DataCentres = append(doc.DataCentres, config.DataCentreSpec{Name: name, Region: d.Region})
	}
	for _, s := range d.Services {
		doc.Services = append(doc.Services, config.ServiceDocument{ServiceSpec: config.ServiceSpec{
			Name:      s.Name,
			Address:   s.Address,
			Protocol:  config.TCP,
			IdleLimit: config.Duration(s.IdleLimit),
			Slots:     s.Slots,
			Ramp:      config.RampSpec{Start: rampStart, Duration: config.Duration(rampDuration)},
		}})
	}
	return doc
}
