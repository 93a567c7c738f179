// Package capacity estimates the cost of the control plane for one instance at a given
// size of deployment, from unit costs that its tests measure in one process, with a
// simulated fleet.
package capacity

// secondsPerDay is the length of a day in seconds.
const secondsPerDay = 86400

// Size is the size of a deployment and its rate of events.
type Size struct {
	Instances   int
	DataCentres int
	Services    int
	Servers     int
	Flows       int
	// NewFlows is the number of new flows per second in the whole fleet.
	NewFlows int
	// ConfigChanges, Crashes, Restarts and ConditionChanges are the numbers of events
	// per day: changes of the configuration, crashes and restarts of instances, and
	// changes of the condition of backend servers.
	ConfigChanges    int
	Crashes          int
	Restarts         int
	ConditionChanges int
	// Unsettled is the number of services that have unsettled buckets at a time.
	Unsettled int
}

// CurrentSize returns the size of the larger of the two present deployments.
func CurrentSize() Size {
	return Size{
		Instances: 18, DataCentres: 3, Services: 2, Servers: 18,
		Flows: 77_400, NewFlows: 900,
		ConfigChanges: 650, Crashes: 9, Restarts: 290, ConditionChanges: 100, Unsettled: 2,
	}
}

// PlannedSize returns the size that the system is designed for.
func PlannedSize() Size {
	return Size{
		Instances: 410, DataCentres: 7, Services: 290, Servers: 3300,
		Flows: 4_000_000, NewFlows: 20_000,
		ConfigChanges: 650, Crashes: 9, Restarts: 290, ConditionChanges: 2000, Unsettled: 27,
	}
}

// Budget is the maximum cost of the control plane for one instance.
type Budget struct {
	// Bytes is in bytes sent per second.
	Bytes float64
	// Core is a share of one processor core.
	Core float64
	// Memory is in bytes.
	Memory float64
}

// CurrentBudget returns the budget at the current size.
func CurrentBudget() Budget { return Budget{Bytes: 3_000, Core: 0.031, Memory: 128e6} }

// PlannedBudget returns the budget at the planned size.
func PlannedBudget() Budget { return Budget{Bytes: 21_000, Core: 0.031, Memory: 128e6} }

// Costs are the measured unit costs of one instance, in bytes that it sends.
type Costs struct {
	// Idle is the membership traffic per second without events.
	Idle float64
	// Version is the cost of the messages by which all instances learn that all have
	// applied a configuration version. Crash, Restart and Announcement are the costs of
	// one such event.
	Version      float64
	Crash        float64
	Restart      float64
	Announcement float64
	// Probe is the cost of one probe of a backend server, ProbesPerServer the number of
	// probes of one server per second by all instances together.
	Probe           float64
	ProbesPerServer float64
	// Delta is the cost of distributing one change of the configuration.
	Delta float64
	// Settle is the cost of a request for the summary of an unsettled service, or of the
	// response.
	Settle float64
}

// settleIntervalSeconds is the mean time in seconds between two requests about a service
// that is unsettled for an hour: the interval grows from 2 s to a minute.
const settleIntervalSeconds = 54

// Row is one line of the estimate, in bytes per second.
type Row struct {
	Name  string
	Bytes float64
}

// ControlTraffic returns the mean rate of control traffic that one instance sends at a
// size, itemised by cause.
func ControlTraffic(s Size, c Costs) []Row {
	daily := func(events int, bytes float64) float64 { return float64(events) * bytes / secondsPerDay }
	return []Row{
		{"membership, idle", c.Idle},
		{"membership, confirmed versions", daily(s.ConfigChanges, c.Version)},
		{"membership, crashes", daily(s.Crashes, c.Crash)},
		{"membership, restarts", daily(s.Restarts, c.Restart)},
		{"announcements", daily(s.ConditionChanges, c.Announcement)},
		{"health, probes", float64(s.Servers) * c.ProbesPerServer * c.Probe / float64(s.Instances)},
		{"configuration, deltas", daily(s.ConfigChanges, c.Delta)},
	}
}

// SettlingTraffic returns the rate of bytes that each instance sends for settling, and
// the rate that the instance which settles a service sends in addition.
func SettlingTraffic(s Size, c Costs) []Row {
	return []Row{
		{"settling, answers about all unsettled services", float64(s.Unsettled) * c.Settle / settleIntervalSeconds},
		{"settling, questions about one service", float64(s.Instances-1) * c.Settle / settleIntervalSeconds},
	}
}

// Sum returns the total of the rows in bytes per second.
func Sum(rows []Row) float64 {
	total := 0.0
	for _, r := range rows {
		total += r.Bytes
	}
	return total
}
