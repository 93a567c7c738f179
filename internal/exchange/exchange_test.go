package exchange

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"balsamfork/internal/catalogue"
	"balsamfork/internal/deflate"
	"balsamfork/internal/suspicion"
)

// instance is an exchange with a catalogue that is only updated by its peers.
type instance struct {
	*Exchange
	mirror  *catalogue.Mirror
	scope   tally.TestScope
	mu      sync.Mutex
	known   int64
	reports []suspicion.Report
	regular atomic.Bool
	// asked counts how often the instance was asked to stand by, and turnedAway says that
	// the store does not let it wait.
	settled    atomic.Bool
	asked      atomic.Int64
	turnedAway atomic.Bool
	// resumed is the end of a simulated pause.
	resumed atomic.Int64
	// contacts holds the data centres that have answered.
	contacts []string
	// loadsBySender holds the load reports received, sums those of services received, by
	// data centre, and ownSums what digests carry.
	loadsBySender map[netip.Addr][]string
	sums          map[string][]ServiceSum
	ownSums       []ServiceSum
	// returns is what digests carry of servers that may have started again.
	returns atomic.Pointer[[]suspicion.Report]
}

func (i *instance) Known() (int64, int64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.known, i.known
}

func (i *instance) ApplyDelta(d catalogue.Delta, age time.Duration) bool {
	_, ok := i.mirror.Apply(d, clock(), age)
	if ok {
		i.advanceKnown(clock() - int64(age))
	}
	return ok
}

func (i *instance) Confirm(p catalogue.Position, age time.Duration) {
	if p == i.mirror.Snapshot().Position {
		i.advanceKnown(clock() - int64(age))
	}
}

func (i *instance) advanceKnown(at int64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.known = max(i.known, at)
}

func (i *instance) Regular() bool { return i.regular.Load() }

func (i *instance) Yield() { i.regular.Store(false) }

func (i *instance) Settled() bool { return i.settled.Load() }

func (i *instance) StandBy() { i.asked.Add(1) }

func (i *instance) Awaiting() bool { return !i.turnedAway.Load() }

func (i *instance) reportCount() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return len(i.reports)
}

// epoch is in the past, so that tests can use times before their start.
var epoch = time.Now().Add(-time.Minute)

func clock() int64 { return int64(time.Since(epoch)) }

// freePort returns a port that is free on the loopback address.
func freePort(t testing.TB) uint16 {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return netip.MustParseAddrPort(l.Addr().String()).Port()
}

func start(t *testing.T, port uint16, last byte, dataCentre string, seeds ...netip.Addr) *instance {
	i := open(t, port, last, dataCentre)
	i.SetSeeds(seeds)
	go i.Run()
	go i.Receive()
	go i.Serve()
	return i
}

// open returns an instance whose goroutines have not been started.
func open(t testing.TB, port uint16, last byte, dataCentre string) *instance {
	i := &instance{mirror: catalogue.NewMirror(), scope: tally.NewTestScope("", nil), loadsBySender: map[netip.Addr][]string{}, sums: map[string][]ServiceSum{}}
	e, err := Open(Options{
		Listen:     netip.AddrPortFrom(address(last), port),
		DataCentre: dataCentre,
		Mirror:     i.mirror,
		Catalogue:  i,
		Reader:     i,
		OnReport: func(r suspicion.Report) {
			i.mu.Lock()
			defer i.mu.Unlock()
			i.reports = append(i.reports, r)
		},
		OnContact: func(dataCentre string) {
			i.mu.Lock()
			defer i.mu.Unlock()
			i.contacts = append(i.contacts, dataCentre)
		},
		OnResize: func(int, int) {},
		OnLoad: func(sender netip.Addr, report []byte) {
			i.mu.Lock()
			defer i.mu.Unlock()
			i.loadsBySender[sender] = append(i.loadsBySender[sender], string(report))
		},
		Returns: func() []suspicion.Report {
			if r := i.returns.Load(); r != nil {
				return *r
			}
			return nil
		},
		ServiceSums: func() []ServiceSum { return i.ownSums },
		OnServiceSums: func(dataCentre string, sums []ServiceSum) {
			i.mu.Lock()
			defer i.mu.Unlock()
			i.sums[dataCentre] = sums
		},
		Random:     rand.New(rand.NewPCG(uint64(last), 1)),
		LastResume: func(int64) int64 { return i.resumed.Load() },
		Clock:      clock,
		Log:        slog.New(slog.DiscardHandler),
		Scope:      i.scope,
	})
	if err != nil {
		t.Fatal(err)
	}
	i.Exchange = e
	t.Cleanup(func() { _ = e.Close() })
	return i
}

func address(last byte) netip.Addr { return netip.AddrFrom4([4]byte{127, 0, 7, last}) }

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatal(what)
}

func (i *instance) readStore(revision uint64, servers int) {
	i.mirror.Apply(catalogue.Delta{Complete: true, Revision: revision, Records: records(revision, servers, 0)}, clock(), 0)
	i.advanceKnown(clock())
	i.Announce(catalogue.Position{})
}

// records returns servers with random numbers, which compress as poorly as real ones.
func records(revision uint64, n int, warmup time.Duration) []catalogue.Record {
	random := rand.New(rand.NewPCG(1, 1))
	var out []catalogue.Record
	for range n {
		number := random.Uint64()
		out = append(out, catalogue.Record{
			ID:       catalogue.ID{Kind: catalogue.KindServer, Name: fmt.Sprintf("i-%x", number)},
			Revision: revision,
			Server: &catalogue.Server{
				Number: number, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(number >> 8), byte(number)}), 80),
				Service: "desk", DataCentre: "a", Slots: 1, Warmup: warmup,
			},
		})
	}
	return out
}

// pulled reports whether changes are too large for a datagram and have to be pulled.
func pulled(t *testing.T, m *catalogue.Mirror, since uint64) bool {
	data, err := encode(m.Since(at(since), clock()))
	if err != nil {
		t.Fatal(err)
	}
	return len(data) > maxDigestSize
}

// TestStartOfAFleet starts instances that know only one seed. All discover one
// another, and what one reads reaches those of its data centre and of the other one.
func TestStartOfAFleet(t *testing.T) {
	port := freePort(t)
	seed := address(1)
	var all []*instance
	for n := range byte(8) {
		all = append(all, start(t, port, n+1, string('a'+rune(n%2)), seed))
	}
	for n, i := range all {
		eventually(t, fmt.Sprint("instance ", n, " does not know the others"), func() bool { return i.peers.size() == len(all) })
	}
	all[2].readStore(7, 3)
	for n, i := range all {
		eventually(t, fmt.Sprint("instance ", n, " has not received the revision"), func() bool { return i.mirror.Snapshot().Revision == 7 })
	}
	// A change that does not fit a datagram is pulled.
	all[2].readStore(9, 500)
	is.New(t).True(pulled(t, all[2].mirror, 7))
	for n, i := range all {
		eventually(t, fmt.Sprint("instance ", n, " has not pulled"), func() bool { return len(i.mirror.Snapshot().Backends("desk")) == 500 })
	}
}

// TestWarmUpTimeIsPreserved sends what was read a second ago, in a datagram and by a
// pull: a server must not count as warm earlier on the receiver than on the instance
// that read it.
func TestWarmUpTimeIsPreserved(t *testing.T) {
	for _, c := range []struct {
		name    string
		servers int
		pulled  bool
	}{
		{"in a datagram", 3, false},
		{"compressed", 100, false},
		{"pulled", 500, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			port := freePort(t)
			a, b := start(t, port, 61, "a", address(62)), start(t, port, 62, "a", address(61))
			eventually(t, "instances don't know one another", func() bool { return a.peers.size() == 2 && b.peers.size() == 2 })
			a.announced.Store(&catalogue.Position{Revision: 1})
			b.mirror.Apply(catalogue.Delta{Complete: true, Revision: 1}, clock(), 0)
			readAt := clock() - int64(time.Second)
			a.mirror.Apply(catalogue.Delta{Complete: true, Revision: 2, Records: records(2, c.servers, 10*time.Second)}, readAt, 0)
			a.advanceKnown(readAt)
			is.New(t).Equal(pulled(t, a.mirror, 1), c.pulled)
			a.Announce(catalogue.Position{})
			eventually(t, "nothing was received", func() bool { return len(b.mirror.Snapshot().Backends("desk")) == c.servers })
			early := a.mirror.Snapshot().Backends("desk")[0].WarmAt - b.mirror.Snapshot().Backends("desk")[0].WarmAt
			if early > int64(100*time.Millisecond) {
				t.Fatalf("server is warm %v early", time.Duration(early))
			}
		})
	}
}

// TestTwoRegularReaders covers two parts of a fleet that reconnect after a network
// partition.
func TestTwoRegularReaders(t *testing.T) {
	port := freePort(t)
	low, high := start(t, port, 41, "a", address(42)), start(t, port, 42, "a", address(41))
	low.regular.Store(true)
	high.regular.Store(true)
	low.readStore(3, 1)
	high.readStore(3, 1)
	eventually(t, "both still read the store", func() bool { return low.Regular() && !high.Regular() })
}

func TestReportsReachTheDataCentre(t *testing.T) {
	is := is.New(t)
	port := freePort(t)
	a, b, other := start(t, port, 21, "a", address(22)), start(t, port, 22, "a", address(21)), start(t, port, 23, "b", address(21))
	eventually(t, "instances don't know one another", func() bool { return a.peers.size() == 3 && b.peers.size() == 3 })
	a.Report(suspicion.Report{Kind: suspicion.NoHandshake, Server: 5, DataCentre: "a"})
	eventually(t, "the report was not received", func() bool { return b.reportCount() == 1 })
	is.True(b.reports[0].Source != 0)
	is.Equal(b.reports[0].Server, uint32(5))
	is.Equal(other.reportCount(), 0)
}

// TestProbeUntilADataCentreAnswers covers a network partition that ends.
func TestProbeUntilADataCentreAnswers(t *testing.T) {
	is := is.New(t)
	port := freePort(t)
	a := start(t, port, 51, "a", address(52))
	a.peers.heard(Peer{Address: address(52), DataCentre: "b"}, clock())
	a.ProbeDataCentre("b")
	time.Sleep(100 * time.Millisecond)
	is.True(a.probing("b")) // no instance of it is running
	start(t, port, 52, "b", address(51))
	eventually(t, "no contact", func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		return len(a.contacts) == 1 && a.contacts[0] == "b"
	})
	is.True(!a.probing("b"))
}

func TestMalformedMessagesAreDropped(t *testing.T) {
	port := freePort(t)
	i := start(t, port, 31, "a")
	conn, err := net.Dial("udp4", netip.AddrPortFrom(address(31), port).String())
	if err != nil {
		t.Fatal(err)
	}
	for _, text := range []string{"", "{", "{}", `{"from":{"address":"::1"},"revision":9}`, `{"from":7}`} {
		if _, err := conn.Write([]byte(text)); err != nil {
			t.Fatal(err)
		}
	}
	j := start(t, port, 32, "a", address(31))
	j.readStore(4, 1)
	eventually(t, "the instance no longer receives messages", func() bool { return i.mirror.Snapshot().Revision == 4 })
}

func FuzzMessage(f *testing.F) {
	f.Add(deflate.Pack([]byte(`{"from":{"address":"10.0.0.1","dataCentre":"a"},"revision":4,"hello":false,"relay":false}`)))
	f.Add([]byte(`{"from":{"address":"10.0.0.1","dataCentre":"a"},"load":"AQID","services":7}`))
	f.Add([]byte(`{"from":{"address":"10.0.0.1","dataCentre":"b"},"load":[],"services":[{"service":"A","load":1e9,"slots":-1,"ageMs":5}]}`))
	f.Add([]byte(`{"from":{"address":"10.0.0.1","dataCentre":"a"},"revision":4,"delta":{"revision":4,"records":[{"kind":1}]}}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		i := &instance{mirror: catalogue.NewMirror(), scope: tally.NewTestScope("", nil)}
		e := &Exchange{Options: Options{
			Mirror: i.mirror, Catalogue: i, Reader: i, Clock: clock, OnReport: func(suspicion.Report) {}, OnResize: func(int, int) {},
			DataCentre: "a", OnLoad: func(netip.Addr, []byte) {}, OnServiceSums: func(string, []ServiceSum) {},
			Log: slog.New(slog.DiscardHandler),
		}, peers: newPeers(Peer{Address: address(1), DataCentre: "a"}, rand.New(rand.NewPCG(1, 1))), metrics: newMetrics(tally.NoopScope)}
		e.pulling.Store(true)
		if m, ok := parse(data); ok && !m.Hello && !m.Relay {
			e.handle(&m)
		}
	})
}

// TestMessagesThatWaitedDuringAPauseAreDiscarded sends a digest and a report to an
// instance, which reads them only after a pause: the digest does not make its catalogue
// recent, and the report counts for nothing. Later messages do.
func TestMessagesThatWaitedDuringAPauseAreDiscarded(t *testing.T) {
	is := is.New(t)
	port := freePort(t)
	a, b := start(t, port, 71, "a", address(72)), start(t, port, 72, "a", address(71))
	eventually(t, "instances don't know one another", func() bool { return a.peers.size() == 2 && b.peers.size() == 2 })
	a.readStore(5, 1)
	eventually(t, "nothing was received", func() bool { return b.mirror.Snapshot().Revision == 5 })
	b.resumed.Store(clock()) // the next messages waited during a pause that ends now
	before, _ := b.Known()
	a.Report(suspicion.Report{Kind: suspicion.NoHandshake, Server: 1, DataCentre: "a"})
	a.readStore(5, 1)
	time.Sleep(50 * time.Millisecond)
	after, _ := b.Known()
	is.Equal(after, before)
	is.Equal(b.reportCount(), 0)
	a.readStore(6, 1)
	eventually(t, "later messages are not received", func() bool { return b.mirror.Snapshot().Revision == 6 })
}

func (i *instance) count(name string) int64 {
	if c := i.scope.Snapshot().Counters()["exchange."+name+"+"]; c != nil {
		return c.Value()
	}
	return 0
}

// TestLargeChangeCrossesDataCentresOnce announces a change that does not fit a datagram
// to another data centre (a release on a large site, or a return of power): the
// instances there pull it from one another, and the announcing one serves only those it
// has sent the announcement to.
func TestLargeChangeCrossesDataCentresOnce(t *testing.T) {
	is := is.New(t)
	port := freePort(t)
	seed := address(81)
	reader := start(t, port, 81, "a", seed)
	var others []*instance
	for n := range byte(12) {
		others = append(others, start(t, port, 82+n, "b", seed))
	}
	all := append([]*instance{reader}, others...)
	for _, i := range all {
		eventually(t, "instances don't know one another", func() bool { return i.peers.size() == len(all) })
	}
	reader.readStore(3, 1)
	for _, i := range others {
		eventually(t, "the first revision is not known", func() bool { return i.mirror.Snapshot().Revision == 3 })
	}
	// The first catalogue is pulled from one instance, and is not counted.
	before := make([]int64, len(all))
	for n, i := range all {
		before[n] = i.count("pulls_answered")
	}
	reader.readStore(900, 800)
	is.True(pulled(t, reader.mirror, 3))
	for _, i := range others {
		eventually(t, "the change has not arrived", func() bool { return i.mirror.Snapshot().Revision == 900 })
	}
	// Periodic digests, one a second, may add a pull to those of the announcement.
	is.True(reader.count("pulls_answered")-before[0] <= 2*relaysPerDataCentre)
	for n, i := range others {
		is.True(i.count("pulls_answered")-before[n+1] <= 2*pullFanOut)
	}
}

// TestFirstCatalogueIsPulledAtOnce announces a revision to twelve instances that have
// just started and whose catalogues are empty, as after a total loss: each pulls from the
// announcing instance at the first announcement and waits for no other one.
func TestFirstCatalogueIsPulledAtOnce(t *testing.T) {
	is := is.New(t)
	port := freePort(t)
	reader := start(t, port, 140, "a")
	others := make([]*instance, 12)
	for i := range others {
		others[i] = start(t, port, byte(141+i), "a", address(140))
	}
	eventually(t, "instances don't know one another", func() bool { return reader.peers.size() == len(others)+1 })
	reader.readStore(900, 800)
	reader.Announce(catalogue.Position{})
	for _, i := range others {
		eventually(t, "the catalogue has not arrived", func() bool { return i.mirror.Snapshot().Revision == 900 })
		is.Equal(i.count("pulls_answered"), int64(0))
	}
	is.Equal(reader.count("pulls_answered"), int64(len(others)))
}

// TestRestoredStoreReachesPeers guards against peers that take the catalogue of a restored
// store for an older one, or for the one that they have: it may have a lower revision or
// the same one, and may be too large for a datagram.
func TestRestoredStoreReachesPeers(t *testing.T) {
	for n, c := range []struct {
		revision uint64
		servers  int
	}{{900, 3}, {850, 3}, {900, 700}, {850, 700}} {
		is := is.New(t)
		port := freePort(t)
		low := byte(160 + 3*n)
		a, b, far := start(t, port, low, "a"), start(t, port, low+1, "a", address(low)), start(t, port, low+2, "b", address(low))
		all := []*instance{a, b, far}
		for _, i := range all {
			eventually(t, "instances don't know one another", func() bool { return i.peers.size() == len(all) })
		}
		a.readStore(900, 800)
		for _, i := range all {
			eventually(t, "the catalogue has not arrived", func() bool { return i.mirror.Snapshot().Revision == 900 })
		}
		restored := catalogue.Position{Epoch: 1, Revision: c.revision}
		delta := catalogue.Delta{Complete: true, Epoch: 1, Revision: c.revision, Records: records(c.revision, c.servers, 0)}
		for i := range delta.Records {
			delta.Records[i].Epoch = 1
		}
		_, ok := a.mirror.Apply(delta, clock(), 0)
		is.True(ok)
		a.advanceKnown(clock())
		a.Announce(catalogue.Position{})
		for _, i := range all {
			eventually(t, "the restored catalogue has not arrived", func() bool { return i.mirror.Snapshot().Position == restored })
		}
	}
}

// TestCompleteCatalogueIsPulledOnlyIfNeeded lets an instance that has read the whole
// store announce its revision to one that is a few revisions behind, as all do after the
// start of a fleet: the removals in between are unknown there. The one behind does not
// pull the whole catalogue while its own is recent, since it reads the changes from the
// store sooner; if it cannot, it does.
func TestCompleteCatalogueIsPulledOnlyIfNeeded(t *testing.T) {
	is := is.New(t)
	port := freePort(t)
	a, b := start(t, port, 97, "a", address(98)), start(t, port, 98, "a", address(97))
	eventually(t, "instances don't know one another", func() bool { return a.peers.size() == 2 && b.peers.size() == 2 })
	b.mirror.Apply(catalogue.Delta{Complete: true, Revision: 898, Records: records(898, 800, 0)}, clock(), 0)
	b.advanceKnown(clock())
	a.readStore(900, 800)
	eventually(t, "nothing was pulled", func() bool { return b.count("pulls") > 0 })
	time.Sleep(50 * time.Millisecond)
	is.Equal(b.mirror.Snapshot().Revision, uint64(898))
	b.mu.Lock()
	b.known = clock() - int64(outdatedAge) - 1 // the store cannot be read
	b.mu.Unlock()
	eventually(t, "the catalogue is not pulled", func() bool { a.Announce(catalogue.Position{}); return b.mirror.Snapshot().Revision == 900 })
}
