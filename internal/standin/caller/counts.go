package caller

// Counts is what the callers of one service have tried and seen.
type Counts struct {
	// Flows counts flows that were begun, Opened those that were answered.
	Flows  uint64
	Opened uint64
	Closed uint64
	// Packets counts all that was sent, Retransmits the repeated ones of them.
	Packets     uint64
	Retransmits uint64
	Answers     uint64
	// Unopened counts flows whose opening was never answered or refused.
	Unopened uint64
	// Reset, Moved and Silent count established flows that broke: by a reset, by
	// an answer of another backend server, by no answer to all retransmissions.
	Reset  uint64
	Moved  uint64
	Silent uint64
	// Excused counts flows that broke at a backend server that was meant to go.
	Excused uint64
	// Live is how many flows are established now.
	Live uint64
}

// Broken counts established flows that broke without an excuse.
func (c Counts) Broken() uint64 { return c.Reset + c.Moved + c.Silent }

// Since returns what was counted after an earlier reading.
func (c Counts) Since(e Counts) Counts {
	return Counts{
		Flows: c.Flows - e.Flows, Opened: c.Opened - e.Opened, Closed: c.Closed - e.Closed,
		Packets: c.Packets - e.Packets, Retransmits: c.Retransmits - e.Retransmits,
		Answers: c.Answers - e.Answers, Unopened: c.Unopened - e.Unopened,
		Reset: c.Reset - e.Reset, Moved: c.Moved - e.Moved, Silent: c.Silent - e.Silent,
		Excused: c.Excused - e.Excused, Live: c.Live,
	}
}

// Plus returns the sum of two counts.
func (c Counts) Plus(o Counts) Counts {
	return Counts{
		Flows: c.Flows + o.Flows, Opened: c.Opened + o.Opened, Closed: c.Closed + o.Closed,
		Packets: c.Packets + o.Packets, Retransmits: c.Retransmits + o.Retransmits,
		Answers: c.Answers + o.Answers, Unopened: c.Unopened + o.Unopened,
		Reset: c.Reset + o.Reset, Moved: c.Moved + o.Moved, Silent: c.Silent + o.Silent,
		Excused: c.Excused + o.Excused, Live: c.Live + o.Live,
	}
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
