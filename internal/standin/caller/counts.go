package caller

// Counts is what the callers of one service have tried and seen, by Count.
type Counts [kinds]uint64

// Count is one kind of event.
type Count uint8

// The events that are counted.
const (
	// Flows are begun, then Opened once answered, or Unopened: never answered or
	// refused. Closed ones have ended in order.
	Flows Count = iota
	Opened
	Unopened
	Closed
	// Packets are all that were sent, Retransmits the repeated ones of them.
	Packets
	Retransmits
	Answers
	// Reset, Moved and Silent are established flows that broke: by a reset, by an
	// answer of another backend server, by no answer to all retransmissions.
	Reset
	Moved
	Silent
	// Excused are flows that broke at a backend server that was meant to go.
	Excused

	kinds
)

// Broken returns how many established flows broke without an excuse.
func (c Counts) Broken() uint64 { return c[Reset] + c[Moved] + c[Silent] }

// Live returns how many flows are established now.
func (c Counts) Live() uint64 { return c[Opened] - c[Closed] - c[Excused] - c.Broken() }

// Plus returns the sum of two counts.
func (c Counts) Plus(o Counts) Counts {
	for i := range c {
		c[i] += o[i]
	}
	return c
}

// Since returns what was counted after an earlier reading.
func (c Counts) Since(e Counts) Counts {
	for i := range c {
		c[i] -= e[i]
	}
	return c
}

// Counts returns the counts of each service, by name.
func (c *Callers) Counts() map[string]Counts {
	sum := make(map[string]Counts)
	for _, l := range c.lines {
		l.addTo(sum)
	}
	return sum
}

func (l *line) addTo(sum map[string]Counts) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, n := range l.counts {
		sum[name] = sum[name].Plus(*n)
	}
}
