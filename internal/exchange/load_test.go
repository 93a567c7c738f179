package exchange

import (
	"crypto/rand"
	"fmt"
	"log/slog"
	"math"
	"net"
	"net/netip"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/zeebo/errs"

	"balsamfork/internal/catalogue"
	"balsamfork/internal/suspicion"
)

func (i *instance) loadsOf(sender byte) []string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.loadsBySender[address(sender)]
}

func (i *instance) sumsOf(dataCentre string) []ServiceSum {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.sums[dataCentre]
}

// TestLoadReportsReachTheDataCentre guards against reports that miss an instance of the
// data centre or leave it, and against a buffer that the sender reuses at once.
func TestLoadReportsReachTheDataCentre(t *testing.T) {
	is := is.New(t)
	port := freePort(t)
	all := []*instance{start(t, port, 1, "a"), start(t, port, 2, "a", address(1)), start(t, port, 3, "a", address(1)), start(t, port, 4, "b", address(1))}
	for _, i := range all {
		eventually(t, "instances don't know one another", func() bool { return i.peers.size() == len(all) })
	}
	a := all[0]
	report := []byte("\x01 report")
	is.NoErr(a.ShareLoad(report))
	clear(report)
	for _, i := range all[1:3] {
		eventually(t, "the report was not received", func() bool { return len(i.loadsOf(1)) == 1 })
		is.Equal(i.loadsOf(1)[0], "\x01 report")
	}
	eventually(t, "sends are not counted", func() bool { return a.count("load_reports_sent") == 2 })
	is.Equal(a.count("load_bytes_sent"), all[1].count("load_bytes_received")+all[2].count("load_bytes_received"))
	is.Equal(all[3].count("load_reports_received"), int64(0))
	is.Equal(len(a.loadsOf(1)), 0)

	for _, report := range [][]byte{nil, make([]byte, maxLoadReport+1)} {
		is.True(MalformedLoad.Has(a.ShareLoad(report)))
	}
}

// TestNewerLoadReportReplacesTheOneThatWaits guards against a queue of outdated reports,
// and a caller that is blocked, while nothing is sent.
func TestNewerLoadReportReplacesTheOneThatWaits(t *testing.T) {
	is := is.New(t)
	port := freePort(t)
	a, b := open(t, port, 1, "a"), open(t, port, 2, "a")
	a.peers.heard(b.peers.self, clock())
	for n := range 5 {
		is.NoErr(a.ShareLoad([]byte{byte(n)}))
	}
	go a.sendLoads()
	go b.Receive()
	eventually(t, "no report was received", func() bool { return len(b.loadsOf(1)) > 0 })
	is.Equal(b.loadsOf(1), []string{"\x04"})
	is.Equal(a.count("load_reports_replaced"), int64(4))
}

// TestLoadReportsThatWaitedDuringAPauseAreDiscarded guards against old reports that count
// as recent: those in the receiver's socket, and one that waits on the sender.
func TestLoadReportsThatWaitedDuringAPauseAreDiscarded(t *testing.T) {
	is := is.New(t)
	port := freePort(t)
	a, b := open(t, port, 1, "a"), open(t, port, 2, "a")
	a.peers.heard(b.peers.self, clock())
	for range 3 {
		a.sendLoad(&loadReport{data: []byte("old"), at: clock()})
	}
	b.resumed.Store(clock())
	go b.Receive()
	eventually(t, "messages were not discarded", func() bool { return b.count("messages_outdated") == 3 })
	a.resumed.Store(clock())
	a.sendLoad(&loadReport{data: []byte("old"), at: a.resumed.Load() - 1})
	is.Equal(a.count("load_reports_outdated"), int64(1))
	a.sendLoad(&loadReport{data: []byte("new"), at: clock()})
	eventually(t, "no later report is received", func() bool { return len(b.loadsOf(1)) > 0 })
	is.Equal(b.loadsOf(1), []string{"new"})
}

// TestDigestsCarrySumsToOtherDataCentres guards against sums that do not arrive, that
// count in their own data centre, and that make a digest fail to encode.
func TestDigestsCarrySumsToOtherDataCentres(t *testing.T) {
	is := is.New(t)
	port := freePort(t)
	a, near, far := open(t, port, 1, "a"), start(t, port, 2, "a"), start(t, port, 3, "b")
	a.SetSeeds([]netip.Addr{address(2), address(3)})
	a.gossip(false)
	eventually(t, "digests without sums are not received", func() bool { return far.peers.contains(address(1)) })
	is.Equal(far.sumsOf("a"), nil)
	a.ownSums = []ServiceSum{
		{Service: "A", Load: 1.23456, Slots: 240, AgeMS: 250},
		{Service: "not a number", Load: math.NaN()},
		{Service: "infinite", Load: math.Inf(1)},
		{Service: "negative", Slots: -1},
		{Service: strings.Repeat("x", maxServiceName+1)},
		{Service: "B"},
	}
	a.gossip(false)
	eventually(t, "the sums were not received", func() bool { return far.sumsOf("a") != nil })
	is.Equal(far.sumsOf("a"), []ServiceSum{{Service: "A", Load: 1.235, Slots: 240, AgeMS: 250}, {Service: "B"}})
	is.Equal(near.sumsOf("a"), nil)
	is.Equal(a.count("load_reports_malformed"), int64(4))

	a.ownSums = nil
	for n := range maxServiceSums + 1 {
		a.ownSums = append(a.ownSums, ServiceSum{Service: fmt.Sprint(n)})
	}
	a.gossip(false)
	eventually(t, "a long list was not received", func() bool { return len(far.sumsOf("a")) == maxServiceSums })
}

// TestMessagesOfOtherVersions guards against a malformed load or list of sums that takes
// the rest of the message with it, and against values out of bounds that are believed.
// The rest is the address of a lower regular reader, to which this instance yields.
func TestMessagesOfOtherVersions(t *testing.T) {
	oversized := strings.Repeat("AAAA", maxLoadReport/3+1)
	for name, c := range map[string]struct {
		dataCentre, fields string
		loads              int
		sums               int
		malformed          int64
	}{
		"without the fields":      {"a", ``, 0, 0, 0},
		"unknown fields":          {"a", `,"load":"AQID","weather":{"wind":3}`, 1, 0, 0},
		"largest report":          {"a", `,"load":"` + oversized[:maxLoadReport/3*4] + `"`, 1, 0, 0},
		"oversized report":        {"a", `,"load":"` + oversized + `"`, 0, 0, 1},
		"empty report":            {"a", `,"load":""`, 0, 0, 1},
		"not base64":              {"a", `,"load":"*"`, 0, 0, 1},
		"another type":            {"a", `,"load":{"run":1}`, 0, 0, 1},
		"another data centre":     {"b", `,"load":"AQID","services":[{"service":"A"}]`, 0, 1, 0},
		"sums of its own":         {"a", `,"load":"AQID","services":[{"service":"A"}]`, 1, 0, 0},
		"sums of another type":    {"b", `,"services":{"A":1}`, 0, 0, 1},
		"a sum of another type":   {"b", `,"services":[{"service":"A","slots":"many"}]`, 0, 0, 1},
		"sums with more fields":   {"b", `,"services":[{"service":"A","load":2,"speed":1}]`, 0, 1, 0},
		"sums out of bounds":      {"b", `,"services":[{"service":"A","load":1e9},{"service":"B","ageMs":-1},{"service":"C"},{"slots":2}]`, 0, 1, 3},
		"too many sums":           {"b", `,"services":[{}` + strings.Repeat(",{}", maxServiceSums) + `]`, 0, 0, 1},
		"without its data centre": {"", `,"services":[{"service":"A"}]`, 0, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			i := open(t, freePort(t), 2, "a")
			i.regular.Store(true)
			m, ok := parse([]byte(`{"from":{"address":"127.0.7.1","dataCentre":"` + c.dataCentre + `"},"regular":true` + c.fields + `}`))
			is.True(ok)
			i.handle(&m)
			is.True(!i.Regular())
			is.Equal(len(i.loadsOf(1)), c.loads)
			is.Equal(len(i.sumsOf(c.dataCentre)), c.sums)
			is.Equal(i.count("load_reports_malformed"), c.malformed)
			i.OnLoad, i.ServiceSums, i.OnServiceSums = nil, nil, nil // off
			i.handle(&m)
			is.Equal(i.digestSums(), nil)
			is.Equal(i.count("load_reports_malformed"), c.malformed)
		})
	}
}

// TestPreviousVersionReadsTheRest decodes a message with load and sums as the version
// before them does.
func TestPreviousVersionReadsTheRest(t *testing.T) {
	is := is.New(t)
	data, err := encode(message{
		From: Peer{Address: address(1), DataCentre: "a"}, Revision: 7, AgeMS: 20, Regular: true, Peers: []Peer{{Address: address(2)}},
		Report: &suspicion.Report{Server: 5}, Load: []byte(`"` + strings.Repeat("AAAA", 400) + `"`), Services: []byte(`[{"service":"A"}]`),
	})
	is.NoErr(err)
	var previous struct {
		From     Peer              `json:"from"`
		Revision uint64            `json:"revision,omitempty"`
		AgeMS    int64             `json:"ageMs,omitempty"`
		Regular  bool              `json:"regular,omitempty"`
		Peers    []Peer            `json:"peers,omitempty"`
		Report   *suspicion.Report `json:"report,omitempty"`
	}
	is.NoErr(decode(data, &previous))
	is.Equal(previous.From.Address, address(1))
	is.Equal(previous.Revision, uint64(7))
	is.Equal(previous.AgeMS, int64(20))
	is.True(previous.Regular)
	is.Equal(len(previous.Peers), 1)
	is.Equal(previous.Report.Server, uint32(5))
}

// TestMalformedLoadIsLoggedOnceAMinute guards against a sender that fills the log.
func TestMalformedLoadIsLoggedOnceAMinute(t *testing.T) {
	is := is.New(t)
	i := open(t, freePort(t), 1, "a")
	var log strings.Builder
	now := int64(time.Hour)
	i.Log, i.Clock = slog.New(slog.NewTextHandler(&log, nil)), func() int64 { return now }
	lines := func() int { return strings.Count(log.String(), "Dropped a malformed load report.") }
	for range 3 {
		i.RejectLoad(address(2), errs.New("version: 9, must be 1"))
		i.RejectLoad(address(3), errs.New("version: 9, must be 1"))
	}
	is.Equal(lines(), 2)
	now += int64(loadLogInterval)
	i.RejectLoad(address(2), errs.New("version: 9, must be 1"))
	is.Equal(lines(), 3)
	is.Equal(len(i.loads.lines.last), 1) // those of the minute before are removed
	is.Equal(i.count("load_reports_malformed"), int64(7))
}

// TestRelayedDigestHasNoLoadOfItsSender guards against an instance that passes on
// another's report as its own: it relays digests in its own name.
func TestRelayedDigestHasNoLoadOfItsSender(t *testing.T) {
	is := is.New(t)
	port := freePort(t)
	a, near := open(t, port, 1, "a"), start(t, port, 2, "a")
	a.peers.heard(near.peers.self, clock())
	a.mirror.Apply(catalogue.Delta{Complete: true, Revision: 5}, clock(), 0)
	a.handle(&message{From: Peer{Address: address(3), DataCentre: "b"}, Revision: 5, Relay: true, Load: []byte(`"AQID"`)})
	is.Equal(a.count("relays"), int64(1))
	eventually(t, "the digest was not relayed", func() bool { return near.peers.contains(address(1)) })
	is.Equal(near.count("load_reports_received"), int64(0))
}

// reportSizes are the sizes in bytes of reports with 30 and 50 samples, as package
// serverload encodes them, and of the largest one, the only one that is compressed.
var reportSizes = map[string]int{"30 samples": 430, "50 samples": 700, "largest": maxLoadReport}

// BenchmarkSendLoad sends a report to the other instances of a data centre, and states
// the processor time of that, with the delivery to the receivers' sockets.
func BenchmarkSendLoad(b *testing.B) {
	for name, size := range reportSizes {
		for _, instances := range []int{24, 45, 59, 100} {
			b.Run(fmt.Sprint(name, "/instances=", instances), func(b *testing.B) {
				i := open(b, freePort(b), 1, "a")
				sink, err := net.ListenUDP("udp4", nil)
				if err != nil {
					b.Fatal(err)
				}
				defer func() { _ = sink.Close() }()
				i.Listen = netip.AddrPortFrom(i.Listen.Addr(), sink.LocalAddr().(*net.UDPAddr).AddrPort().Port())
				for n := range instances - 1 {
					i.peers.heard(Peer{Address: address(byte(2 + n)), DataCentre: "a"}, clock())
				}
				report := randomReport(size)
				began := processorTime(b)
				for b.Loop() {
					i.sendLoad(&loadReport{data: report, at: clock()})
				}
				b.ReportMetric(float64((processorTime(b)-began).Microseconds())/float64(b.N), "cpu-µs/op")
				b.ReportMetric(float64(i.count("load_bytes_sent"))/float64(i.count("load_reports_sent")), "bytes/message")
			})
		}
	}
}

// processorTime returns the processor time that the process has used.
func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkReceiveLoad reads a report from the socket, decodes it and passes it on.
func BenchmarkReceiveLoad(b *testing.B) {
	const batch = 32 // fits the socket's buffer
	for name, size := range reportSizes {
		b.Run(name, func(b *testing.B) {
			port := freePort(b)
			from, to := open(b, port, 1, "a"), open(b, port, 2, "a")
			from.peers.heard(to.peers.self, clock())
			to.OnLoad = func(netip.Addr, []byte) {}
			report := randomReport(size)
			buffer := make([]byte, receiveBufferSize)
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				if n%batch == 0 {
					b.StopTimer()
					for range batch {
						from.sendLoad(&loadReport{data: report, at: clock()})
					}
					b.StartTimer()
				}
				size, err := to.conn.Read(buffer)
				if err != nil {
					b.Fatal(err)
				}
				m, ok := parse(buffer[:size])
				if !ok {
					b.Fatal("malformed message")
				}
				to.handle(&m)
			}
		})
	}
}

// BenchmarkShareLoad hands over a report, as the packet path does.
func BenchmarkShareLoad(b *testing.B) {
	i := open(b, freePort(b), 1, "a")
	report := randomReport(maxLoadReport)
	b.ReportAllocs()
	for b.Loop() {
		if err := i.ShareLoad(report); err != nil {
			b.Fatal(err)
		}
	}
}

// randomReport returns random bytes, which compress as poorly as possible.
func randomReport(size int) []byte {
	report := make([]byte, size)
	_, _ = rand.Read(report)
	return report
}
