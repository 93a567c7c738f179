package flowd

import (
	"log/slog"
	"net/netip"
	"time"

	"balsamfork/internal/exchange"
	"balsamfork/internal/flowpath"
)

// maxSumAge is the age above which sums are not sent: no receiver uses them.
const maxSumAge = 5 * time.Second

// connectLoad connects load sharing of the packet path with the exchange.
func connectLoad(h *hooks, e *exchange.Exchange, p *flowpath.Path, log *slog.Logger) {
	h.shareLoad = func(report []byte) {
		if err := e.ShareLoad(report); err != nil {
			log.Error("Failed to encode a message.", "part", "exchange", "error", err)
		}
	}
	h.loadReported = func(sender netip.Addr, report []byte) {
		if err := p.PeerLoad(sender, report); err != nil {
			e.RejectLoad(sender, err)
		}
	}
	h.serviceSums = func() []exchange.ServiceSum { return toExchange(p.ServiceSums(), processClock.Now()) }
	h.remoteSums = func(dataCentre string, sums []exchange.ServiceSum) {
		p.RemoteServiceSums(dataCentre, fromExchange(sums))
	}
}

// toExchange returns the sums of this data centre with their age now, in nanoseconds.
func toExchange(sums []flowpath.ServiceSum, now int64) []exchange.ServiceSum {
	var out []exchange.ServiceSum
	for _, s := range sums {
		age := time.Duration(now - s.MeasuredAt)
		if age > maxSumAge {
			continue
		}
		out = append(out, exchange.ServiceSum{Service: s.Service, Load: s.Load, Slots: s.Slots, AgeMS: max(0, age.Milliseconds())})
	}
	return out
}

func fromExchange(sums []exchange.ServiceSum) []flowpath.RemoteSum {
	var out []flowpath.RemoteSum
	for _, s := range sums {
		age := time.Duration(s.AgeMS) * time.Millisecond
		out = append(out, flowpath.RemoteSum{Service: s.Service, Load: s.Load, Slots: s.Slots, Age: age})
	}
	return out
}
