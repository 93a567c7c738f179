package caller

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"balsamfork/internal/standin/fabric"
	"balsamfork/internal/standin/wire"
)

type state uint8

const (
	idle state = iota
	opening
	open
	closing
)

// entry is one flow. due is when it acts next; attempts counts how often the
// packet that waits for an answer was sent.
type entry struct {
	service  *Service
	short    bool
	port     uint16
	state    state
	waiting  bool
	attempts int
	due      time.Time
	opened   time.Time
	ends     time.Time
	server   string
}

// line is one socket with its flows.
type line struct {
	config  Config
	address netip.Addr
	conn    *net.UDPConn
	picker  *fabric.Picker
	codec   *wire.Codec
	reader  *wire.Codec
	random  *rand.Rand

	mu       sync.Mutex
	counts   map[string]*Counts
	entries  []entry
	byPort   map[uint16]int
	lastPort int
}

func newLine(c Config, index int, address netip.Addr, f *fabric.Fabric) (*line, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	_ = conn.SetReadBuffer(socketSize)
	f.Register(address, conn.LocalAddr().(*net.UDPAddr).AddrPort())
	l := &line{
		config:  c,
		address: address,
		conn:    conn,
		picker:  f.Picker(uint64(index)),
		codec:   wire.NewCodec(),
		reader:  wire.NewCodec(),
		random:  rand.New(rand.NewPCG(c.Seed, uint64(index))),
		counts:  make(map[string]*Counts),
		byPort:  make(map[uint16]int),
	}
	l.fill(index, time.Now())
	return l, nil
}

// fill makes this socket's part of all flows, to begin within OpenTime.
func (l *line) fill(index int, now time.Time) {
	for i := range l.config.Services {
		service := &l.config.Services[i]
		l.counts[service.Name] = &Counts{}
		for n := index; n < service.Flows; n += l.config.Sockets {
			wait := time.Duration(l.random.Float64() * float64(l.config.OpenTime))
			short := l.random.Float64() < l.config.ShortShare
			l.entries = append(l.entries, entry{service: service, short: short, due: now.Add(wait)})
		}
	}
}

func (l *line) run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			l.tick(now)
		}
	}
}

// tick lets each flow act that is due.
func (l *line) tick(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.entries {
		if e := &l.entries[i]; !e.due.After(now) {
			l.act(now, i, e)
		}
	}
}

func (l *line) act(now time.Time, i int, e *entry) {
	switch {
	case e.waiting && e.attempts >= maxAttempts:
		l.giveUp(now, e)
	case e.waiting:
		l.count(e, Retransmits)
		l.send(now, e)
	case e.state == idle:
		l.begin(now, i, e)
	case !e.ends.IsZero() && now.After(e.ends):
		l.start(now, e, closing)
	default:
		l.start(now, e, open)
	}
}

// begin opens a flow from a port that no flow of this socket uses.
func (l *line) begin(now time.Time, i int, e *entry) {
	for {
		l.lastPort = (l.lastPort + 1) % portRange
		e.port = uint16(firstPort + l.lastPort)
		if _, used := l.byPort[e.port]; !used {
			break
		}
	}
	l.byPort[e.port] = i
	e.server = ""
	e.ends = time.Time{}
	if e.short {
		e.ends = now.Add(l.around(l.config.ShortLife))
	}
	l.count(e, Flows)
	l.start(now, e, opening)
}

// start sends the first copy of a packet that expects an answer.
func (l *line) start(now time.Time, e *entry, s state) {
	e.state, e.waiting, e.attempts = s, true, 0
	l.send(now, e)
}

func (l *line) send(now time.Time, e *entry) {
	wait := min(firstRetransmit<<e.attempts, maxRetransmit)
	e.due = now.Add(wait)
	e.attempts++
	l.count(e, Packets)
	instance, ok := l.picker.Pick()
	if !ok {
		return
	}
	data, err := l.codec.Build(l.segment(e))
	if err != nil {
		return
	}
	_, _ = l.conn.WriteToUDPAddrPort(data, instance.Packets)
}

func (l *line) segment(e *entry) wire.Segment {
	s := wire.Segment{
		From:     netip.AddrPortFrom(l.address, e.port),
		To:       e.service.Address,
		Protocol: e.service.Protocol,
		Flags:    wire.ACK,
		Data:     []byte("data"),
	}
	switch e.state {
	case opening:
		s.Flags, s.Data = wire.SYN, nil
	case closing:
		s.Flags, s.Data = wire.FIN|wire.ACK, nil
	}
	return s
}

func (l *line) count(e *entry, c Count) { l.counts[e.service.Name][c]++ }

// around returns a time between half and one and a half of mean.
func (l *line) around(mean time.Duration) time.Duration {
	return time.Duration((0.5 + l.random.Float64()) * float64(mean))
}
