package deployment

import (
	"time"

	"balsamfork/declare"
)

// Kernhaven declares two services of a roastery, the order desk and the catalogue,
// in three data centres of one region.
func Kernhaven() *declare.Config {
	c := declare.New()
	dataCentres := []*declare.DataCentre{
		c.DataCentre("ost-plain-a", declare.Region("ost-plain")),
		c.DataCentre("ost-plain-b", declare.Region("ost-plain")),
		c.DataCentre("ost-plain-c", declare.Region("ost-plain")),
	}
	// Batch status feeds may be idle between two roasts.
	desk := c.TCP("order-desk", "203.0.113.10:443",
		declare.Slots(4),
		declare.IdleLimit(15*time.Minute),
		declare.Ramp(0.1, time.Minute),
	)
	addServers(desk, dataCentres, "desk", 10, 14)
	catalogue := c.TCP("catalogue", "203.0.113.11:443",
		declare.Slots(4),
		declare.IdleLimit(time.Minute),
		declare.Ramp(0.1, time.Minute),
	)
	addServers(catalogue, dataCentres, "catalogue", 11, 4)
	return c
}
