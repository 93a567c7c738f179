package exchange

import (
	"bytes"
	"encoding/json"
	"maps"
	"math"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
)

// MalformedLoad is the class of errors of load reports and sums of services that are
// refused.
var MalformedLoad = errs.Class("exchange: malformed load report")

const (
	// maxLoadReport bounds a load report, in bytes. The message then fits into one network
	// packet once it is compressed.
	maxLoadReport = 1200
	// loadBatch is how many instances a report is sent to at a time, and loadBatchGap the
	// time between two batches. The largest report then takes about half of a link of
	// 10 Mbit/s while it is sent, holds up a packet there by 9 ms at most, and reaches 100
	// instances within 0.2 s.
	loadBatch    = 8
	loadBatchGap = 16 * time.Millisecond
	// loadLogInterval is the least time between two log lines on one sender's malformed
	// reports.
	loadLogInterval = time.Minute
)

const (
	// maxServiceSums bounds the services on a digest, and maxServiceName the name of one,
	// in bytes: a digest goes out every second, and control has 21 kB a second in all.
	maxServiceSums = 64
	maxServiceName = 256
	// maxServiceLoad, in work in progress per slot, maxServiceSlots and maxServiceAge
	// bound a sum that is believed; real ones are far below.
	maxServiceLoad  = 1000
	maxServiceSlots = 1 << 24
	maxServiceAge   = time.Hour
	// serviceLoadPrecision is the number of steps per unit in which a load is sent.
	serviceLoadPrecision = 1000
)

// ServiceSum is what a data centre's instances know together of one service there.
type ServiceSum struct {
	Service string `json:"service"`
	// Load is the work in progress per slot.
	Load float64 `json:"load"`
	// Slots is the number of slots of the usable servers.
	Slots int `json:"slots"`
	// AgeMS is the age of the sum when it was sent, in milliseconds.
	AgeMS int64 `json:"ageMs"`
}

// check returns MalformedLoad if a value is out of its bounds.
func (s *ServiceSum) check() error {
	switch {
	case s.Service == "" || len(s.Service) > maxServiceName:
		return MalformedLoad.New("services.service: %d bytes, must be 1 to %d", len(s.Service), maxServiceName)
	case !(s.Load >= 0 && s.Load <= maxServiceLoad): // also false for NaN
		return MalformedLoad.New("services.load: %g, must be 0 to %d", s.Load, maxServiceLoad)
	case s.Slots < 0 || s.Slots > maxServiceSlots:
		return MalformedLoad.New("services.slots: %d, must be 0 to %d", s.Slots, maxServiceSlots)
	case s.AgeMS < 0 || s.AgeMS > maxServiceAge.Milliseconds():
		return MalformedLoad.New("services.ageMs: %d, must be 0 to %d", s.AgeMS, maxServiceAge.Milliseconds())
	}
	return nil
}

// loads holds the load report that waits to be sent, and limits the log lines on
// malformed ones.
type loads struct {
	waiting atomic.Pointer[loadReport]
	// ready has an element if a report may wait.
	ready chan struct{}
	lines senderLimit
}

// loadReport is a report of this instance, and when it was shared, in nanoseconds.
type loadReport struct {
	data []byte
	at   int64
}

// ShareLoad sends a load report to all other instances of the data centre. It does not
// block: Run sends the report, and a newer one replaces a report that still waits. The
// bytes are copied. The error is MalformedLoad for an empty report or one above 1,200
// bytes.
func (e *Exchange) ShareLoad(report []byte) error {
	if err := checkLoad(report); err != nil {
		return err
	}
	if e.loads.waiting.Swap(&loadReport{data: bytes.Clone(report), at: e.Clock()}) != nil {
		e.metrics.loadReplaced.Inc(1)
	}
	select {
	case e.loads.ready <- struct{}{}:
	default:
	}
	return nil
}

func checkLoad(report []byte) error {
	if len(report) == 0 || len(report) > maxLoadReport {
		return MalformedLoad.New("load: %d bytes, must be 1 to %d", len(report), maxLoadReport)
	}
	return nil
}

// sendLoads sends the reports that ShareLoad hands over, until the exchange is closed.
func (e *Exchange) sendLoads() {
	for {
		select {
		case <-e.ctx.Done():
			return
		case <-e.loads.ready:
		}
		if r := e.loads.waiting.Swap(nil); r != nil {
			e.sendLoad(r)
		}
	}
}

// sendLoad sends a report to the other instances of the data centre, in batches and in
// random order. A pause of the process ends it, since the receivers take a report for a
// recent one.
func (e *Exchange) sendLoad(r *loadReport) {
	// A byte slice cannot fail to encode.
	load, _ := json.Marshal(r.data)
	data, err := encode(message{From: e.peers.self, Load: load})
	if err != nil {
		e.Log.Error("Failed to encode a message.", "error", err)
		return
	}
	for n, address := range e.peers.local() {
		if n > 0 && n%loadBatch == 0 && !e.sleep(loadBatchGap) {
			return
		}
		if e.LastResume(e.Clock()) > r.at {
			e.metrics.loadOutdated.Inc(1)
			return
		}
		if e.send(data, address) {
			e.metrics.loadSent.Inc(1)
			e.metrics.loadBytesSent.Inc(int64(len(data)))
		}
	}
}

// digestSums returns the encoded sums of this data centre's services, nil if there are
// none. Those out of bounds are left out.
func (e *Exchange) digestSums() json.RawMessage {
	if e.ServiceSums == nil {
		return nil
	}
	sums := e.validSums(e.peers.self.Address, e.ServiceSums())
	if len(sums) == 0 {
		return nil
	}
	sums = sums[:min(len(sums), maxServiceSums)]
	for i := range sums {
		sums[i].Load = math.Round(sums[i].Load*serviceLoadPrecision) / serviceLoadPrecision
	}
	// Values within their bounds cannot fail to encode.
	data, _ := json.Marshal(sums)
	return data
}

// validSums returns those sums of a sender that are within their bounds, and rejects the
// others.
func (e *Exchange) validSums(sender netip.Addr, sums []ServiceSum) []ServiceSum {
	var out []ServiceSum
	for _, s := range sums {
		if err := s.check(); err != nil {
			e.RejectLoad(sender, err)
			continue
		}
		out = append(out, s)
	}
	return out
}

// receiveLoad passes on the load report and the sums in a message. The sender is the one
// that the message names, as in the table of peers, so that senders and instances are
// counted alike.
func (e *Exchange) receiveLoad(m *message) {
	local := m.From.DataCentre == e.DataCentre
	if len(m.Load) > 0 && e.OnLoad != nil && local && m.From.Address != e.peers.self.Address {
		var report []byte
		err := json.Unmarshal(m.Load, &report)
		if err == nil {
			err = checkLoad(report)
		}
		if err != nil {
			e.RejectLoad(m.From.Address, err)
		} else {
			e.OnLoad(m.From.Address, report)
		}
	}
	if len(m.Services) > 0 && e.OnServiceSums != nil && !local && m.From.DataCentre != "" {
		e.receiveSums(m)
	}
}

func (e *Exchange) receiveSums(m *message) {
	var sums []ServiceSum
	err := json.Unmarshal(m.Services, &sums)
	if err == nil && len(sums) > maxServiceSums {
		err = MalformedLoad.New("services: %d entries, over %d", len(sums), maxServiceSums)
	}
	if err != nil {
		e.RejectLoad(m.From.Address, err)
		return
	}
	if sums = e.validSums(m.From.Address, sums); len(sums) > 0 {
		e.OnServiceSums(m.From.DataCentre, sums)
	}
}

// RejectLoad counts a malformed load report or sum of a sender, and logs it at most once a
// minute for each sender. The receiver of OnLoad calls it for a report that it can't
// decode.
func (e *Exchange) RejectLoad(sender netip.Addr, err error) {
	e.metrics.loadMalformed.Inc(1)
	if e.loads.lines.allow(sender, e.Clock()) {
		e.Log.Warn("Dropped a malformed load report.", "peer", sender.String(), "error", MalformedLoad.Wrap(err))
	}
}

// senderLimit limits log lines to one per sender in loadLogInterval. It is safe for
// concurrent use.
type senderLimit struct {
	mu   sync.Mutex
	last map[netip.Addr]int64
}

// allow reports whether a line on a sender may be written at a time in nanoseconds.
func (l *senderLimit) allow(sender netip.Addr, now int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.last, func(_ netip.Addr, at int64) bool { return now-at >= int64(loadLogInterval) })
	if _, found := l.last[sender]; found || len(l.last) >= maxPeers {
		return false
	}
	if l.last == nil {
		l.last = map[netip.Addr]int64{}
	}
	l.last[sender] = now
	return true
}
