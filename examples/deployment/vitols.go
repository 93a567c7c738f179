package deployment

import (
	"time"

	"balsamfork/declare"
)

// Vitols declares two services of a co-operative of broom-makers, the order board
// and the pattern library, in three data centres of one region.
func Vitols() *declare.Config {
	c := declare.New()
	dataCentres := []*declare.DataCentre{
		c.DataCentre("Kuldīga", declare.Region("Kurzeme")),
		c.DataCentre("Talsi", declare.Region("Kurzeme")),
		c.DataCentre("Ventspils", declare.Region("Kurzeme")),
	}
	// Members keep connections to the order board open overnight.
	board := c.TCP("order-board", "203.0.113.20:443",
		declare.Slots(3),
		declare.IdleLimit(15*time.Minute),
		declare.Ramp(0.1, time.Minute),
	)
	addServers(board, dataCentres, "board", 20, 14)
	patterns := c.TCP("pattern-library", "203.0.113.21:443",
		declare.Slots(3),
		declare.IdleLimit(time.Minute),
		declare.Ramp(0.1, time.Minute),
	)
	addServers(patterns, dataCentres, "patterns", 21, 4)
	return c
}
