package caller

import (
	"time"

	"balsamfork/internal/standin/wire"
)

func (l *line) receive() {
	buf := make([]byte, maxPacket)
	for {
		n, _, err := l.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if in, ok := l.reader.Read(buf[:n]); ok {
			l.answer(time.Now(), in)
		}
	}
}

// answer handles one packet from a backend server.
func (l *line) answer(now time.Time, in wire.Segment) {
	l.mu.Lock()
	defer l.mu.Unlock()
	i, ok := l.byPort[in.To.Port()]
	if !ok || l.entries[i].service.Address != in.From {
		return
	}
	e := &l.entries[i]
	l.count(e, Answers)
	reset := in.Has(wire.RST)
	switch {
	case reset && e.state == closing:
		// The answer to the closing packet was lost, and this is to its copy.
		l.closed(now, e)
	case reset && e.state == opening:
		l.count(e, Unopened)
		l.end(now, e)
	case reset:
		l.broken(now, e, Reset)
	case e.state == opening:
		l.opened(now, e, string(in.Data))
	case in.Has(wire.SYN):
		// A copy of the opening packet may have reached another backend server; the
		// flow is at the one that answered first.
	case string(in.Data) != e.server:
		l.broken(now, e, Moved)
	case e.state == closing && in.Has(wire.FIN):
		l.closed(now, e)
	case e.state == open:
		l.rest(now, e)
	}
}

func (l *line) opened(now time.Time, e *entry, server string) {
	l.count(e, Opened)
	e.server = server
	e.opened = now
	e.state = open
	l.rest(now, e)
}

// rest waits until the flow's next packet.
func (l *line) rest(now time.Time, e *entry) {
	e.waiting = false
	e.due = now.Add(l.around(l.config.Pause))
}

func (l *line) closed(now time.Time, e *entry) {
	l.count(e, Closed)
	l.end(now, e)
}

// giveUp ends a flow that got no answer.
func (l *line) giveUp(now time.Time, e *entry) {
	if e.state == opening {
		l.count(e, Unopened)
		l.end(now, e)
		return
	}
	l.broken(now, e, Silent)
}

func (l *line) broken(now time.Time, e *entry, cause Count) {
	if l.config.Excused != nil && l.config.Excused(e.server, e.opened) {
		cause = Excused
	}
	l.count(e, cause)
	l.end(now, e)
}

// end frees the port; a new flow begins in its place after a pause.
func (l *line) end(now time.Time, e *entry) {
	delete(l.byPort, e.port)
	e.state = idle
	e.waiting = false
	e.due = now.Add(firstRetransmit)
}
