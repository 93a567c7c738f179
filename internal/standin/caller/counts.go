package caller

// Counts are the totals of one service's flows, by Event.
type Counts [numEvents]uint64

// Event is a kind of counted event.
type Event uint8

// The counted events.
const (
	// Flows counts flows started. Each is then Opened by the first reply, or
	// OpenFailed if it is reset or gets no reply. Closed counts orderly closes.
	Flows Event = iota
	Opened
	OpenFailed
	Closed
	// Packets counts all packets sent, Retransmits those sent again.
	Packets
	Retransmits
	Replies
	// Reset, WrongServer and TimedOut count established flows that broke: by a
	// reset, by a reply from another backend server, and by no reply to any
	// transmission of a packet.
	Reset
	WrongServer
	TimedOut
	// ExpectedBreak counts flows that broke as Config.ExpectedBreak expects.
	ExpectedBreak

	numEvents
)

// Broken returns the number of established flows that broke unexpectedly.
func (c Counts) Broken() uint64 { return c[Reset] + c[WrongServer] + c[TimedOut] }

// Live returns the number of flows established now.
func (c Counts) Live() uint64 { return c[Opened] - c[Closed] - c[ExpectedBreak] - c.Broken() }

// Add returns the sum of c and other.
func (c Counts) Add(other Counts) Counts {
	for i := range c {
		c[i] += other[i]
	}
	return c
}

// Sub returns the difference between c and an earlier reading.
func (c Counts) Sub(earlier Counts) Counts {
	for i := range c {
		c[i] -= earlier[i]
	}
	return c
}

// Counts returns the totals of each service, by name.
func (c *Callers) Counts() map[string]Counts {
	sum := make(map[string]Counts)
	for _, ep := range c.endpoints {
		ep.addCounts(sum)
	}
	return sum
}

func (ep *endpoint) addCounts(sum map[string]Counts) {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	for name, n := range ep.counts {
		sum[name] = sum[name].Add(*n)
	}
}
