package capacity_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"balsamfork/internal/capacity"
	"balsamfork/internal/member/membertest"
)

var printTable = flag.Bool("print", false, "measure every size and print the tables")

// unitCosts combines the measured costs at one size. Each instance receives a delta once
// from a peer, so each sends one on average, with a notification and a call.
func unitCosts(m memberCosts, h healthCosts, c configCosts, settle float64) capacity.Costs {
	wire, _ := membertest.WireBytes(0)
	return capacity.Costs{
		Idle: m.idle, Version: m.version, Crash: m.crash, Restart: m.restart, Announcement: m.announcement,
		Probe: h.probe, ProbesPerServer: h.perServer,
		Delta:  c.delta + 3*float64(wire),
		Settle: settle,
	}
}

func TestBoundControlBytesToday(t *testing.T) {
	is := is.New(t)
	s := capacity.CurrentSize()
	costs, c := measureConfig(t, s)
	m := measureMembership(t, s.Instances, s.DataCentres, false)
	total := capacity.Sum(capacity.ControlTraffic(s, unitCosts(m, measureHealth(t, s, c), costs, 0)))
	t.Logf("%.0f bytes a second", total)
	is.True(total <= capacity.CurrentBudget().Bytes)
}

func TestBoundControlBytesPlanned(t *testing.T) {
	is := is.New(t)
	s := capacity.PlannedSize()
	costs, c := measureConfig(t, s)
	m := measureMembership(t, s.Instances, s.DataCentres, false)
	total := capacity.Sum(capacity.ControlTraffic(s, unitCosts(m, measureHealth(t, s, c), costs, 0)))
	t.Logf("%.0f bytes a second", total)
	is.True(total <= capacity.PlannedBudget().Bytes)
	is.True(m.versionTime <= time.Second)
	is.True(m.crashTime <= 2*time.Second)
}

func TestBoundMemoryPlanned(t *testing.T) {
	is := is.New(t)
	s := capacity.PlannedSize()
	costs, c := measureConfig(t, s)
	total := costs.memory + measureHealth(t, s, c).memory + measureFlows(t, s, c).memory
	t.Logf("%.1f MB", total/1e6)
	is.True(total <= capacity.PlannedBudget().Memory)
}

func TestCapacity(t *testing.T) {
	if !*printTable {
		t.Skip("without -print")
	}
	fmt.Printf("| membership, of one instance | 18 | 100 | 410 |\n|---|---|---|---|\n")
	all := []memberCosts{measureMembership(t, 18, 3, true), measureMembership(t, 100, 3, true), measureMembership(t, 410, 7, true)}
	printRow(all, "idle, bytes a second sent", "%.0f", func(c memberCosts) any { return c.idle })
	printRow(all, "idle, messages a second sent", "%.1f", func(c memberCosts) any { return c.messages })
	printRow(all, "idle, share of a core", "%.3f%%", func(c memberCosts) any { return 100 * c.core })
	printRow(all, "table, kB", "%.0f", func(c memberCosts) any { return c.memory / 1e3 })
	printRow(all, "a version confirmed by all, known to all", "%v", func(c memberCosts) any { return c.versionTime })
	printRow(all, "a version confirmed by all, bytes sent", "%.0f", func(c memberCosts) any { return c.version })
	printRow(all, "a crash known to all", "%v", func(c memberCosts) any { return c.crashTime })
	printRow(all, "a crash, bytes sent", "%.0f", func(c memberCosts) any { return c.crash })
	printRow(all, "a restart, bytes sent", "%.0f", func(c memberCosts) any { return c.restart })
	printRow(all, "an announcement known to all", "%v", func(c memberCosts) any { return c.announcementTime })
	printRow(all, "an announcement, bytes sent", "%.0f", func(c memberCosts) any { return c.announcement })
	printRow(all, "two halves agree after 30 s apart", "%v", func(c memberCosts) any { return c.healTime })
	printRow(all, "two halves agree, bytes sent", "%.0f", func(c memberCosts) any { return c.heal })
	printSize(t, "18 instances", capacity.CurrentSize(), all[0])
	printSize(t, "410 instances", capacity.PlannedSize(), all[2])
	for _, count := range []int{100_000, 1_000_000} {
		bytes, put := measureRecords(count)
		fmt.Printf("\n%d flow records: %.1f bytes and %v to put each\n", count, bytes, put)
	}
}

func printRow(all []memberCosts, name, format string, value func(memberCosts) any) {
	fmt.Printf("| %s |", name)
	for _, c := range all {
		fmt.Printf(" "+format+" |", value(c))
	}
	fmt.Println()
}

func printSize(t *testing.T, name string, s capacity.Size, m memberCosts) {
	t.Helper()
	costs, c := measureConfig(t, s)
	h := measureHealth(t, s, c)
	f := measureFlows(t, s, c)
	fmt.Printf("\n| %s, bytes a second of one instance | |\n|---|---|\n", name)
	rows := capacity.ControlTraffic(s, unitCosts(m, h, costs, f.settle))
	for _, r := range rows {
		fmt.Printf("| %s | %.0f |\n", r.Name, r.Bytes)
	}
	fmt.Printf("| sum | %.0f |\n", capacity.Sum(rows))
	for _, r := range capacity.SettlingTraffic(s, unitCosts(m, h, costs, f.settle)) {
		fmt.Printf("| %s, beyond the sum | %.0f |\n", r.Name, r.Bytes)
	}
	fmt.Printf("\n| %s | memory, MB | processor |\n|---|---|---|\n", name)
	fmt.Printf("| membership | %.2f | %.3f%% of a core |\n", m.memory/1e6, 100*m.core)
	fmt.Printf("| health | %.2f | %.3f%% of a core, %v to choose probers |\n", h.memory/1e6, 100*h.core, h.assign.Round(time.Microsecond))
	fmt.Printf("| configuration | %.2f | whole %.0f kB, a change %.0f bytes of JSON |\n", costs.memory/1e6, costs.whole/1e3, costs.delta)
	fmt.Printf("| tables of flows | %.2f | %v to build |\n", f.memory/1e6, f.build.Round(time.Millisecond))
	fmt.Printf("| one question and answer of settling | | %.0f bytes sent |\n", f.settle)
}
