// Package capacity reckons what control costs an instance at a size, from slopes
// that its tests measure with many decision tables in one process.
package capacity

// daySeconds is the length of a day in seconds.
const daySeconds = 86400

// Size is a deployment that the fleet is to carry.
type Size struct {
	Instances   int
	DataCentres int
	Services    int
	Servers     int
	Flows       int
	// NewFlows is a second, in the whole fleet.
	NewFlows int
	// Changes, Crashes, Restarts and Verdicts are a day: of configuration, of
	// instances, of instances, and of backend servers' conditions.
	Changes  int
	Crashes  int
	Restarts int
	Verdicts int
	// Unsettled is how many services have unsettled buckets at a time.
	Unsettled int
}

// Today is the size of the larger of the two deployments.
func Today() Size {
	return Size{
		Instances: 18, DataCentres: 3, Services: 2, Servers: 18,
		Flows: 77_400, NewFlows: 900,
		Changes: 650, Crashes: 9, Restarts: 290, Verdicts: 100, Unsettled: 2,
	}
}

// Planned is the size to design for.
func Planned() Size {
	return Size{
		Instances: 410, DataCentres: 7, Services: 290, Servers: 3300,
		Flows: 4_000_000, NewFlows: 20_000,
		Changes: 650, Crashes: 9, Restarts: 290, Verdicts: 2000, Unsettled: 27,
	}
}

// Budget is what control may cost one instance.
type Budget struct {
	// Bytes a second, sent.
	Bytes float64
	// Core is a share of one core.
	Core float64
	// Memory is in bytes.
	Memory float64
}

// BudgetToday and BudgetPlanned are the budgets at the two sizes.
func BudgetToday() Budget { return Budget{Bytes: 3_000, Core: 0.031, Memory: 128e6} }

// BudgetPlanned is the budget at the planned size.
func BudgetPlanned() Budget { return Budget{Bytes: 21_000, Core: 0.031, Memory: 128e6} }

// Slopes are the measured costs, in bytes that one instance sends.
type Slopes struct {
	// Idle is a second.
	Idle float64
	// Version, Crash, Restart and Announcement are for each such event.
	Version      float64
	Crash        float64
	Restart      float64
	Announcement float64
	// Probe is one probe of a backend server, ProbesPerServer how many there are a
	// second over all instances.
	Probe           float64
	ProbesPerServer float64
	// Delta is what one change of the configuration makes an instance send.
	Delta float64
	// Settle is one question about an unsettled service, or its answer.
	Settle float64
}

// settleSeconds is the mean time between two questions about a service over an
// hour in which it is unsettled: the waits grow from 2 s to a minute.
const settleSeconds = 54

// Row is one line of the reckoning, in bytes a second.
type Row struct {
	Name  string
	Bytes float64
}

// Control returns the mean rate of control bytes that one instance sends at a
// size, part by part.
func Control(s Size, c Slopes) []Row {
	daily := func(events int, bytes float64) float64 { return float64(events) * bytes / daySeconds }
	return []Row{
		{"membership, idle", c.Idle},
		{"membership, confirmed versions", daily(s.Changes, c.Version)},
		{"membership, crashes", daily(s.Crashes, c.Crash)},
		{"membership, restarts", daily(s.Restarts, c.Restart)},
		{"announcements", daily(s.Verdicts, c.Announcement)},
		{"health, probes", float64(s.Servers) * c.ProbesPerServer * c.Probe / float64(s.Instances)},
		{"configuration, deltas", daily(s.Changes, c.Delta)},
	}
}

// Settling returns what settling makes each instance send, and what it makes the
// instance send that settles one service besides, in bytes a second.
func Settling(s Size, c Slopes) []Row {
	return []Row{
		{"settling, answers about all unsettled services", float64(s.Unsettled) * c.Settle / settleSeconds},
		{"settling, questions about one service", float64(s.Instances-1) * c.Settle / settleSeconds},
	}
}

// Sum returns the total of the rows.
func Sum(rows []Row) float64 {
	total := 0.0
	for _, r := range rows {
		total += r.Bytes
	}
	return total
}
