package demo

import (
	"fmt"
	"net/netip"
	"time"

	"balsamfork/internal/config"
)

// Deployment is the size and the names of one deployment.
type Deployment struct {
	Name        string
	Region      string
	DataCentres []string
	Instances   int
	// Connections is how many flows a backend server has as a rule.
	Connections int
	Services    []ServicePlan
}

// ServicePlan is one service of a deployment.
type ServicePlan struct {
	Name    string
	Address netip.AddrPort
	Servers int
	Slots   int
	// IdleLimit is that of the configuration; zero means without limit.
	IdleLimit time.Duration
	// Orders is set if its requests must not run twice.
	Orders bool
}

const (
	instances      = 13
	orderServers   = 14
	sheetServers   = 4
	sheetIdleLimit = 10 * time.Second
	rampStart      = 0.1
	rampDuration   = 5 * time.Second
)

// Kernhaven returns the deployment of Kernhaven Roasting Orders.
func Kernhaven() Deployment {
	return Deployment{
		Name:        "kernhaven",
		Region:      "ost-plain",
		DataCentres: []string{"ost-plain-a", "ost-plain-b", "ost-plain-c"},
		Instances:   instances,
		Connections: 4300,
		Services:    services("order-desk", "catalogue", 4),
	}
}

// Vitols returns the deployment of the Vītols broom-makers' co-operative.
func Vitols() Deployment {
	return Deployment{
		Name:        "vitols",
		Region:      "kurzeme",
		DataCentres: []string{"kuldiga", "talsi", "ventspils"},
		Instances:   instances,
		Connections: 4500,
		Services:    services("order-board", "pattern-library", 3),
	}
}

func services(orders, sheets string, slots int) []ServicePlan {
	return []ServicePlan{
		{Name: orders, Address: netip.MustParseAddrPort("203.0.113.10:443"), Servers: orderServers, Slots: slots, Orders: true},
		{Name: sheets, Address: netip.MustParseAddrPort("203.0.113.20:443"), Servers: sheetServers, Slots: slots, IdleLimit: sheetIdleLimit},
	}
}

// Find returns the deployment of a name, or an error that lists the names.
func Find(name string) (Deployment, error) {
	for _, d := range []Deployment{Kernhaven(), Vitols()} {
		if d.Name == name {
			return d, nil
		}
	}
	return Deployment{}, Error.New("no deployment %q: kernhaven and vitols are known", name)
}

// dataCentre returns where the i-th of anything is placed.
func (d Deployment) dataCentre(i int) string {
	return d.DataCentres[i%len(d.DataCentres)]
}

// instanceID names the n-th instance that was ever started in a data centre.
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
