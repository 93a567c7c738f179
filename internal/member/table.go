package member

import (
	"math/rand/v2"
	"slices"
	"time"

	"balsamfork/internal/config"
	"balsamfork/internal/fleet"
	"balsamfork/internal/flow"
)

// Table is one instance's view of the fleet, with the state of the protocol. All times
// are nanoseconds of Unix time and must not decrease. It is not safe for concurrent use.
type Table struct {
	params Params
	self   *row
	rows   rows
	random *rand.Rand

	successors   []fleet.ID
	predecessors []fleet.ID
	// watchers are the instances that heartbeats are sent to: the successors on the
	// rings and, while one of them is suspected, the backup watchers.
	watchers []fleet.ID
	// neighboursStale is set when the neighbours have to be recomputed.
	neighboursStale bool

	watches          []watch
	syncs            []syncRecord
	seeds            []fleet.Instance
	serverConditions conditions
	pending          []pendingUpdate
	outbox           []Outgoing
	newer            []InstanceVersion

	epoch         uint64
	viewDirty     bool
	startedAt     int64
	lastTick      int64
	changedAt     int64
	nextHeartbeat int64
	nextReconnect int64
	nextSync      int64
	// noDeathBefore is the time until which, after a pause of this instance, no other
	// is declared dead.
	noDeathBefore int64
	synced        bool
}

// New returns a table that contains only its own instance. self.Incarnation is the
// start time in milliseconds of Unix time, so that it grows with each start.
func New(self fleet.Instance, p Params, seed uint64, now int64) *Table {
	self.State = fleet.Joining
	t := &Table{
		params:          p,
		random:          rand.New(rand.NewPCG(seed, self.Incarnation)),
		startedAt:       now,
		lastTick:        now,
		changedAt:       now,
		viewDirty:       true,
		neighboursStale: true,
	}
	t.self = t.rows.insert(self)
	t.nextHeartbeat = now + t.random.Int64N(int64(p.Heartbeat))
	t.nextReconnect = now
	return t
}

// Seed sets the instances that the platform lists. Unknown ones are pinged; none is
// added to the table until it answers, and none is removed for not being listed.
func (t *Table) Seed(list []fleet.Instance) {
	t.seeds = t.seeds[:0]
	for _, i := range list {
		if i.ID != t.self.ID {
			t.seeds = append(t.seeds, i)
		}
	}
}

// SetApplied sets the configuration version that this instance has applied. A version
// that is not newer than the current one is ignored.
func (t *Table) SetApplied(now int64, v config.Version) {
	if v <= t.self.Applied {
		return
	}
	t.self.Applied = v
	t.markChanged(now, t.self)
	t.broadcast(Update{Kind: StatusUpdate, Instance: t.self.Instance}, "")
}

// Leave announces that this instance is leaving, and that it leaves after
// Params.LeaveNotice.
func (t *Table) Leave(now int64) {
	if t.self.State >= fleet.Leaving {
		return
	}
	t.self.LeavesAt = uint64(time.Duration(now)+t.params.LeaveNotice) / uint64(time.Millisecond)
	t.setState(now, t.self, fleet.Leaving)
	t.broadcast(Update{Kind: StatusUpdate, Instance: t.self.Instance}, "")
}

// AnnounceLeft announces that this instance has left, so that the others declare it
// dead without a suspicion.
func (t *Table) AnnounceLeft(now int64) {
	if t.self.State == fleet.Dead {
		return
	}
	t.refreshNeighbours(now)
	t.setState(now, t.self, fleet.Dead)
	t.broadcast(Update{Kind: StatusUpdate, Instance: t.self.Instance, Final: true}, "")
}

// Announce disseminates a condition of a backend server to the fleet.
func (t *Table) Announce(now int64, a flow.Announcement) {
	if t.serverConditions.merge(a) {
		t.changedAt = now
		t.pending = append(t.pending, pendingUpdate{announcement: &a})
	}
}

// Announcements returns all known announcements, in order of Server.
func (t *Table) Announcements() []flow.Announcement { return slices.Clone(t.serverConditions.list) }

// Lookup returns an instance, including its addresses, from the table or, if it is
// not there, from the platform's list.
func (t *Table) Lookup(id fleet.ID) (fleet.Instance, bool) {
	if x := t.rows.get(id); x != nil {
		return x.Instance, true
	}
	for _, s := range t.seeds {
		if s.ID == id {
			return s, true
		}
	}
	return fleet.Instance{}, false
}

// Digest returns a hash of the table that is equal for tables with equal contents.
func (t *Table) Digest() uint64 { return t.rows.digest ^ t.serverConditions.digest }

// Joined reports whether this instance has received the table from a peer or has
// waited JoinTimeout for one; alone reports that no peer has sent it.
func (t *Table) Joined(now int64) (joined, alone bool) {
	waited := now-t.startedAt >= int64(t.params.JoinTimeout)
	return t.synced || waited, !t.synced
}

// Tick runs the protocol and returns what has to be sent and what has changed.
func (t *Table) Tick(now int64) TickResult {
	t.compensatePause(now)
	t.completeJoin(now)
	t.refreshNeighbours(now)
	t.sendHeartbeats(now)
	t.checkWatched(now)
	t.expireSuspicions(now)
	t.reconnect(now)
	t.dropExpired(now)
	t.refreshNeighbours(now)
	t.flushPending(now)
	out := TickResult{Send: t.outbox, Newer: t.newer, Announcements: t.serverConditions.takeChanges()}
	t.outbox, t.newer = nil, nil
	if t.viewDirty {
		out.View = t.View()
		t.viewDirty = false
	}
	return out
}

// View returns a snapshot of the table.
func (t *Table) View() *fleet.View {
	v := &fleet.View{Self: t.self.ID, Epoch: t.epoch, Instances: make([]fleet.Instance, len(t.rows.list))}
	for at, x := range t.rows.list {
		v.Instances[at] = x.Instance
		if x.suspicion != nil && x.State == fleet.Alive {
			v.Instances[at].State = fleet.Suspect
		}
	}
	return v
}

// compensatePause gives the watched instances more time if this instance itself was
// paused. It also delays declarations of death, so that messages received during the
// pause are processed first.
func (t *Table) compensatePause(now int64) {
	gap := now - t.lastTick
	t.lastTick = now
	if gap < int64(t.params.PauseThreshold) {
		return
	}
	for n := range t.watches {
		t.watches[n].lastHeard += gap
		t.watches[n].probedAt = 0
	}
	t.noDeathBefore = now + int64(t.params.ConfirmedSuspicionTimeout)
}

// completeJoin makes this instance alive once it has applied a configuration and has
// received the table, or has found no peer to receive it from.
func (t *Table) completeJoin(now int64) {
	joined, _ := t.Joined(now)
	if t.self.State != fleet.Joining || !joined || t.self.Applied == 0 {
		return
	}
	t.setState(now, t.self, fleet.Alive)
	t.broadcast(Update{Kind: FullUpdate, Instance: t.self.Instance}, "")
}

func (t *Table) refreshNeighbours(now int64) {
	if !t.neighboursStale || t.self.State == fleet.Dead {
		return
	}
	t.neighboursStale = false
	previous := t.watchers
	t.successors, t.predecessors = nil, nil
	t.findNeighbours()
	t.heartbeatNewWatchers(previous)
	t.updateWatches(now)
}

// findNeighbours computes the neighbours on the rings.
func (t *Table) findNeighbours() {
	o := t.rows.ringOrders()
	watchers := o.watchers(t.self)
	for _, x := range watchers {
		t.successors = append(t.successors, x.ID)
	}
	t.predecessors = o.watchedBy(t.self)
	t.watchers = append(slices.Clone(t.successors), o.backupWatchers(t.self, watchers)...)
}

func (t *Table) setState(now int64, x *row, s fleet.State) {
	x.State = s
	t.epoch++
	t.neighboursStale = true
	t.markChanged(now, x)
}

// markChanged records that a row has changed.
func (t *Table) markChanged(now int64, x *row) {
	t.rows.updateDigest(x)
	t.changedAt = now
	t.viewDirty = true
}

func (t *Table) send(to fleet.ID, m Message) {
	m.Incarnation = t.self.Incarnation
	m.Applied = t.self.Applied
	t.outbox = append(t.outbox, Outgoing{To: to, Message: m})
}

func elapsed(now, since int64, d time.Duration) bool { return now-since >= int64(d) }
